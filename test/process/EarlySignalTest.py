"""A reload signal right after a process was started."""
import pathlib
import signal
import sys
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import fleet  # noqa: E402

STARTS = 10


class EarlySignal(unittest.TestCase):
    def test_process_lives_that_is_told_to_reload_at_once(self):
        machines = fleet.Fleet(machines=1)
        self.addCleanup(machines.stop)
        ended = []
        for _ in range(STARTS):
            machines.spawn(0)
            machines.signal(0, signal.SIGHUP)
            time.sleep(0.3)
            ended.append(machines.exit_code(0))
            machines.kill(0)
        self.assertEqual(ended, [None] * STARTS)


if __name__ == "__main__":
    unittest.main()
