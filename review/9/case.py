"""A request that crashes engines is sent to engines again after all processes
have been restarted, although the fleet had held it back."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-2"))
import case  # noqa: E402
from case import fleet  # noqa: E402
from standins.platform import crashes  # noqa: E402

MACHINES = 3
ENGINES = 6
DOWN_S = 3.0
CONTACT_S = 3.0
RESTART_S = 0.5
# Arrivals later than contact_ms after the third crash that are allowed.
ALLOWED = 3
GAP_S = 2.0
BEFORE_S, AFTER_S = 26.0, 40.0
CALLERS = 6


class Caller(threading.Thread):
    """Sends sound requests that may not be repeated, one after the other."""

    def __init__(self, machines, number):
        super().__init__(daemon=True)
        self.machines, self.number = machines, number
        self.ending = threading.Event()
        self.lost = 0

    def run(self):
        sent = 0
        while not self.ending.wait(0.02):
            sent += 1
            attempt = f"sound{self.number}x{sent}"
            answer = self.machines.request(self.number % MACHINES,
                                           "/file/" + attempt, attempt, "POST",
                                           b"x" * 100)
            self.lost += answer.status == 502


def run(record):
    deadly = crashes.DeadlyContent("deadly", down_s=DOWN_S)
    machines = fleet.Fleet(machines=MACHINES)
    try:
        machines.store_fault_for_all("", delay_s=case.STORE_ANSWER_S)
        machines.configure(
            [fleet.route("/file/", "desk", kind="non_idempotent", attempts=1)],
            [fleet.service("desk")])
        for _ in range(ENGINES):
            machines.add_engine("desk", handle=deadly.handle, work_s=0.06)
        machines.start()
        time.sleep(CONTACT_S)
        callers = [Caller(machines, n) for n in range(CALLERS)]
        for caller in callers:
            caller.start()
        repeated = crashes.RepeatingCallers(
            machines, "/file/deadly", gap_s=GAP_S, method="POST",
            body=b"y" * 100)
        time.sleep(BEFORE_S)
        repeated.stop()
        record.note(f"before: {len(deadly.crashes)} crashes, "
                    f"{len(deadly.late_runs(CONTACT_S))} late arrivals")
        if case.TROUBLE:
            for machine in range(MACHINES):
                machines.kill(machine)
            time.sleep(RESTART_S)
            for machine in range(MACHINES):
                machines.spawn(machine)
            for machine in range(MACHINES):
                machines.await_ready(machine)
            record.note("all machines were killed and are ready again")
        time.sleep(CONTACT_S + 1.0)
        lost_before = sum(caller.lost for caller in callers)
        again = crashes.RepeatingCallers(
            machines, "/file/deadly", gap_s=GAP_S, seed=2, method="POST",
            body=b"y" * 100)
        time.sleep(AFTER_S)
        again.stop()
        for caller in callers:
            caller.ending.set()
        late = deadly.late_runs(CONTACT_S)
        for word, outcomes in (("before", repeated.outcomes),
                               ("after", again.outcomes)):
            record.note(f"{word}: the request was answered " + " ".join(
                str(outcome.status) for outcome in outcomes))
        record.note("arrivals of the request, seconds after the third crash: "
                    + " ".join(f"{at - sorted(deadly.crashes)[2]:.1f}"
                               for at in deadly.runs))
        record.note(f"{len(deadly.crashes)} crashes; {len(late)} arrivals "
                    f"later than {CONTACT_S:.0f} s after the third, {ALLOWED} "
                    "are allowed")
        record.note("sound requests that broke off since: "
                    f"{sum(c.lost for c in callers) - lost_before}")
        return case.BROKEN if len(late) > ALLOWED else case.HELD
    finally:
        machines.stop()


case.play(HERE, run)
