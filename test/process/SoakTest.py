"""Streams and departing callers on real processes under overlapping faults.

    python3 test/process/SoakTest.py --seed N --seconds S
    python3 test/process/SoakTest.py --seeds A-B --seconds S

All choices are drawn from the seed. Without arguments, one fixed seed runs.
"""
import argparse
import pathlib
import random
import signal
import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import fleet as fleet_module  # noqa: E402
from soak import callers, checks, faults  # noqa: E402

CI_SEED = 1
CI_SECONDS = 20
CALLERS = 16
IMPATIENT = 48
POLICY = "\n[policy]\nreclaim_after_ms = 5000\n"


class Soak:
    """One seed, from an empty fleet to the list of broken promises."""

    def __init__(self, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.fleet = fleet_module.Fleet(
            engine_flags=[f"--token_ms={int(checks.TOKEN_S * 1000)}",
                          f"--output_tokens={callers.LONGEST}",
                          "--slots=32"],
            router_flags=[f"--drain_timeout_s={faults.DRAIN_S}",
                          f"--seed={seed}"],
            policy=POLICY, linked=True)
        self.upstreams = [f"engine-{i + 1}" for i in
                          range(len(self.fleet.engines))] + ["plain"]
        self.prepaid = {"khan": 100_000_000, "poor": 20_000}
        self.attempts = []
        self.ended_alone = []
        self.calm = threading.Event()
        self.ending = threading.Event()
        self.faults = faults.Faults(self)
        self.figures = {}

    def run(self):
        try:
            self.fleet.start()
            for workspace, amount in self.prepaid.items():
                self.fleet.ctl("topup", workspace, str(amount),
                               f"--operation=soak-{workspace}")
            self.disturb()
            self.settle()
            found = checks.Checks(self)
            found.all()
            self.figures.update(found.figures)
            return [text + self.trace(attempt)
                    for text, attempt in found.found]
        finally:
            self.calm.set()
            self.ending.set()
            self.faults.join()
            self.fleet.stop()

    def disturb(self):
        workers = [callers.Caller(self, n) for n in range(CALLERS)]
        for worker in workers:
            worker.start()
        self.faults.start()
        time.sleep(self.seconds * 0.7)
        self.calm.set()
        self.faults.join()
        self.starve()
        self.ending.set()
        for worker in workers:
            worker.join()

    def starve(self):
        """Starves one router once all have run undisturbed for a while."""
        self.fleet.faults(outage=0, delay_ms=0, lose=0)
        self.fleet.wait_ready()
        time.sleep(checks.EXCUSE_S)
        draw = random.Random(f"{self.seed}/starve")
        index, share = draw.randrange(3), draw.uniform(0.04, 0.12)
        seconds = max(3.0, self.seconds * 0.2)
        until = time.monotonic() + seconds
        impatient = [callers.Impatient(self, index, n, until)
                     for n in range(IMPATIENT)]
        for caller in impatient:
            caller.start()
        self.faults.starve(index, seconds, share)
        for caller in impatient:
            caller.join()
        self.figures["starved share"] = round(share, 3)

    def settle(self):
        """Lets late work show, then stops all routers as planned."""
        time.sleep(2.5)
        self.note_ended()
        for name in self.fleet.router_names:
            self.faults.stop_for_good(name)

    def note_ended(self):
        for name, process in self.fleet.processes.items():
            if process.poll() is not None:
                self.ended_alone.append(
                    f"{name} ended by itself: {process.returncode}")

    def trace(self, attempt):
        if attempt is None:
            return ""
        lines = [f"\n  {attempt.kind} {attempt.key} request "
                 f"{attempt.request or '-'} at router-{attempt.router + 1}: "
                 f"{attempt.outcome} {attempt.status} {attempt.leave} "
                 f"sent {attempt.sent:.3f} ended {attempt.ended:.3f}"]
        for name in [*self.fleet.router_names, *self.upstreams]:
            for suffix in (".log", ".history"):
                path = self.fleet.work / (name + suffix)
                if path.exists():
                    lines += [f"  {path.name}: {line}" for line in
                              path.read_text(errors="replace").splitlines()
                              if self.names(line, attempt)]
        return "\n".join(lines[:40])

    @staticmethod
    def names(line, attempt):
        words = [attempt.key] + ([attempt.request] if attempt.request else [])
        return any(f"{word}{end}" in line for word in words
                   for end in ('"', " ", "/")) or line.endswith(attempt.key)


def play(seed, seconds):
    soak = Soak(seed, seconds)
    broken = soak.run()
    print(f"seed {seed}: {'FAILED' if broken else 'kept'} {soak.figures}",
          flush=True)
    for text in broken:
        print(f"seed {seed}: {text}", flush=True)
    return broken


class SoakTest(unittest.TestCase):
    def test_promises_hold_for_the_fixed_seed(self):
        self.assertEqual(play(CI_SEED, CI_SECONDS), [])


def main():
    # The processes are ended also when this one is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds")
    parser.add_argument("--seconds", type=float, default=CI_SECONDS)
    options = parser.parse_args()
    first, last = options.seed, options.seed
    if options.seeds:
        first, last = map(int, options.seeds.split("-"))
    failed = [seed for seed in range(first, last + 1)
              if play(seed, options.seconds)]
    print(f"{last - first + 1 - len(failed)} seeds kept, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        sys.exit(main())
    unittest.main()
