"""bronzeward-fleet under overlapping disruptions, as real processes.

    python3 test/process/FleetSoakTest.py --seeds A-B [--seconds S]
        [--machines N]

All choices are drawn from the seed. Without arguments, one fixed seed runs.
"""
import argparse
import pathlib
import signal
import sys
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import disruptions, fleet, load  # noqa: E402

CI_SEED = 2
CI_SECONDS = 25
MACHINES = 5
CALLERS = 24
# Bounds of the platform.
DRAIN_TIMEOUT_S = 2.0
RECOVER_S = 12.0
RECOVERED_PART = 0.25

KINDS = [load.Kind("/look/", 0.5, deadline_ms=1500),
         load.Kind("/chat/", 0.5, 2000, 6000, (1460, 60),
                   "5c1e07a2:800,91bd3f06:410")]


class Soak:
    """One seed, from an empty fleet to the list of broken promises."""

    def __init__(self, seed, seconds, machines):
        self.seed, self.seconds = seed, seconds
        self.fleet = fleet.Fleet(machines=machines)
        self.found = []
        self.disruptions = disruptions.Disruptions(self.fleet, seed)

    def run(self):
        try:
            self.prepare()
            callers = load.Load(self.fleet, KINDS, CALLERS, 0.25, self.seed)
            time.sleep(2)
            before = len(callers.sent())
            self.disruptions.run(self.seconds)
            self.check_running()
            self.restart_all()
            back = time.monotonic()
            time.sleep(RECOVER_S + 6)
            callers.stop()
            self.check_running()
            self.check_recovery(callers.sent(), back)
            self.check_drains(callers.sent())
            self.stop_all()
            served = sum(item.status == 200 for item in callers.sent())
            print(f"seed {self.seed}: {len(callers.sent())} sent "
                  f"({before} before), {served} served, "
                  f"{len(self.disruptions.made)} disruptions, "
                  f"{len(self.disruptions.left)} engines left", flush=True)
            return self.found + self.disruptions.found
        finally:
            self.keep_logs()
            self.fleet.stop()

    def prepare(self):
        self.fleet.configure(
            [fleet.route("/look/", "desk"),
             fleet.route("/chat/", "scribe", "streaming", attempts=1,
                         timeout_ms=6000, objective_ms=500)],
            [fleet.service("desk"), fleet.service("scribe", 3)])
        for _ in range(4):
            self.fleet.add_engine("desk", capacity=8)
        for _ in range(6):
            self.fleet.add_engine("scribe", events=12, event_gap_s=0.03)
        self.fleet.start()

    def check_running(self):
        for machine in range(self.fleet.machines):
            code = self.fleet.exit_code(machine)
            if code is not None:
                self.found.append(f"{self.fleet.name(machine)} ended by "
                                  f"itself with {code}")
                self.fleet.spawn(machine)

    def restart_all(self):
        """All machines lose power at once, and come back."""
        item = self.disruptions.note("kill all")
        for machine in range(self.fleet.machines):
            self.fleet.signal(machine, signal.SIGKILL)
        for machine in range(self.fleet.machines):
            self.fleet.processes[machine].wait()
        time.sleep(1.0)
        for machine in range(self.fleet.machines):
            self.fleet.spawn(machine)
        item.end = time.monotonic()

    def check_recovery(self, sent, back):
        late = [item for item in sent if item.began > back + RECOVER_S
                and item.ended]
        served = sum(item.status == 200 for item in late)
        if served < RECOVERED_PART * len(late):
            self.found.append(f"{served} of {len(late)} requests are served "
                              f"{RECOVER_S:.0f} s after the machines are back")

    def check_drains(self, sent):
        senders = {item.attempt: item for item in sent}
        for arrival in self.fleet.arrivals():
            left = self.disruptions.left.get(arrival.engine)
            if left is None or arrival.status == 421:
                continue
            late = arrival.at - left
            machine = senders[arrival.attempt].machine
            if late > DRAIN_TIMEOUT_S and self.disruptions.in_touch(
                    machine, arrival.at):
                self.found.append(
                    f"{arrival.attempt} reached {arrival.engine} {late:.3f} s "
                    f"after it left, from {self.fleet.name(machine)}")

    def stop_all(self):
        for machine in range(self.fleet.machines):
            self.fleet.signal(machine, signal.SIGTERM)
        until = time.monotonic() + disruptions.GRACE_S
        for machine in range(self.fleet.machines):
            while (self.fleet.exit_code(machine) is None and
                   time.monotonic() < until):
                time.sleep(0.05)
            code = self.fleet.exit_code(machine)
            if code != 0:
                self.found.append(f"{self.fleet.name(machine)} ended with "
                                  f"{code} in the last stop")

    def keep_logs(self):
        """Says where the logs are, if something was found."""
        if self.found or self.disruptions.found:
            print(f"seed {self.seed}: logs in {self.fleet.folder}", flush=True)
            for item in self.disruptions.made:
                print(f"  {item.begin:.3f} to {item.end:.3f} {item.what} "
                      f"{item.machine}", flush=True)


class FleetSoak(unittest.TestCase):
    def test_fixed_seed(self):
        self.assertEqual(Soak(CI_SEED, CI_SECONDS, MACHINES).run(), [])


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="")
    parser.add_argument("--seconds", type=float, default=CI_SECONDS)
    parser.add_argument("--machines", type=int, default=MACHINES)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        found = Soak(seed, options.seconds, options.machines).run()
        for text in found:
            print(f"seed {seed}: {text}", flush=True)
        broken += bool(found)
    print(f"{broken} seeds with broken promises", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        sys.exit(main())
    unittest.main()
