"""bronzeward-fleet under the memory of a small machine, as real processes."""
import pathlib
import sys
import threading
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import fleet, load  # noqa: E402

MEMORY_MB = 110
LARGE_BODY = b"y" * 4_000_000
ROUNDS = 6
LARGE_CALLERS = 4


class AddressSpaceLimit(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(
            machines=2, memory_mb=MEMORY_MB,
            prepare=fleet.limit_address_space(MEMORY_MB))
        self.addCleanup(self.fleet.stop)
        self.fleet.configure([fleet.route("/look/", "desk", timeout_ms=8000)],
                             [fleet.service("desk")])
        for _ in range(4):
            self.fleet.add_engine("desk", capacity=32)

    def send_large(self, number, statuses):
        for turn in range(ROUNDS):
            attempt = f"large{number}x{turn}"
            answer = self.fleet.request(number % 2, f"/look/{attempt}",
                                        attempt, "POST", LARGE_BODY, 8000)
            statuses.append(answer.status)

    def test_starts_and_serves_within_the_memory_of_the_machine(self):
        self.fleet.start()
        callers = load.Load(self.fleet, [load.Kind("/look/", 1.0, 17_000,
                                                   8000)], 16, 0.1, 1)
        statuses = []
        threads = [threading.Thread(target=self.send_large,
                                    args=(number, statuses))
                   for number in range(LARGE_CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        callers.stop()
        for machine in range(2):
            self.assertIsNone(self.fleet.exit_code(machine),
                              self.fleet.log(machine))
            self.assertEqual(self.fleet.events(machine, "exception"), [])
            self.assertLess(self.fleet.memory_mb_of(machine, "VmHWM"),
                            MEMORY_MB)
        self.assertEqual(set(statuses), {200})
        self.assertEqual({item.status for item in callers.sent()}, {200})


if __name__ == "__main__":
    unittest.main()
