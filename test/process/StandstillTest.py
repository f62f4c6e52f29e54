"""Instances stand still while engines of a new version join. Consumers of
streams that began there take them up at these instances once they go on."""
import pathlib
import signal
import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import fleet  # noqa: E402

MACHINES = 3
IN_STEP = 2
STREAMS = 20
EVENTS, GAP_S = 60, 0.1
DEADLINE_MS = 15_000
STILL_S = 5.0
# Time from the join of a version until streams begin at it.
JOIN_S = 3.0
# Answers of the platform's store right after the standstill.
STORE_DELAYS_S = (0.004, 0.3, 0.5)
SIZE = {"X_Model": "m", "X_Token_Count": "1460,240",
        "X_Prompt_Prefix": "5c1e07a2:800"}


class Standstill(unittest.TestCase):
    def stream(self, machine, attempt, **headers):
        """Sends a consumer attempt, in a thread of its own."""
        threading.Thread(
            target=self.fleet.request, daemon=True,
            args=(machine, "/chat/" + attempt, attempt, "POST", b"x" * 100,
                  DEADLINE_MS),
            kwargs={**SIZE, **headers}).start()

    def add_engines(self, version):
        for _ in range(3):
            self.fleet.add_engine("scribe", events=EVENTS, event_gap_s=GAP_S,
                                  version=version)

    def versions_of(self, prefix):
        """Returns the versions that ran attempts, by number."""
        version_of = {}
        for engine in self.fleet.engines:
            for item in list(engine.arrivals):
                if item.attempt.startswith(prefix) and item.status == 200:
                    number = int(item.attempt.removeprefix(prefix))
                    version_of[number] = engine.version
        return version_of

    def signal_others(self, number):
        for machine in range(MACHINES):
            if machine != IN_STEP:
                self.fleet.signal(machine, number)

    def play(self, store_delay_s):
        self.fleet = fleet.Fleet(machines=MACHINES)
        try:
            self.check_take_ups(store_delay_s)
        finally:
            self.fleet.stop()

    def check_take_ups(self, store_delay_s):
        self.fleet.store_fault_for_all("", delay_s=0.004)
        self.fleet.configure(
            [fleet.route("/chat/", "scribe", kind="streaming", attempts=2,
                         timeout_ms=DEADLINE_MS, objective_ms=500,
                         stream_resume=True)],
            [fleet.service("scribe", tokens_per_event=3)])
        self.add_engines("v1")
        self.fleet.start()
        time.sleep(2)
        self.signal_others(signal.SIGSTOP)
        self.add_engines("v2")
        time.sleep(JOIN_S)
        for number in range(STREAMS):
            self.stream(IN_STEP, f"first{number}")
        time.sleep(STILL_S - JOIN_S)
        self.fleet.store_fault_for_all("", delay_s=store_delay_s)
        self.fleet.kill(IN_STEP)
        self.signal_others(signal.SIGCONT)
        for number in range(STREAMS):
            self.stream(number % IN_STEP, f"again{number}", Last_Event_Id="2",
                        Resumes=f"first{number}")
        time.sleep(1.5)
        began, went_on = self.versions_of("first"), self.versions_of("again")
        self.assertIn("v2", began.values())
        joined = [number for number, version in went_on.items()
                  if began.get(number) != version]
        self.assertEqual(joined, [], f"of streams that began at {began}, logs "
                                     f"in {self.fleet.folder}")

    def test_no_stream_goes_on_at_another_version(self):
        for store_delay_s in STORE_DELAYS_S:
            with self.subTest(store_delay_s=store_delay_s):
                self.play(store_delay_s)


if __name__ == "__main__":
    unittest.main()
