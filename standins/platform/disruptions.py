"""Disruptions of a fleet, drawn from a seed; they overlap."""
import dataclasses
import random
import signal
import threading
import time

GRACE_S = 8.0


@dataclasses.dataclass
class Disruption:
    """What was done to a machine; machine None: to the store or to all."""
    what: str
    machine: int
    begin: float
    end: float = float("inf")


class Disruptions:
    """Runs disruptions in threads of their own until it is told to stop."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.draw = random.Random(f"{seed}/disruptions")
        self.made = []
        # Broken promises that show at once, as text.
        self.found = []
        self.left = {}
        self.busy = [threading.Lock() for _ in range(fleet.machines)]
        self.ending = threading.Event()
        self.threads = []

    def run(self, seconds):
        """Begins disruptions for some seconds, then awaits their ends."""
        kinds = [(3, self.stop_machine), (2, self.kill_machine),
                 (2, self.freeze_machine), (2, self.reload_machine),
                 (3, self.disturb_store), (1, self.disturb_store_for_all),
                 (1, self.forget_history), (3, self.drain_engine),
                 (2, self.remove_engine), (1, self.crash_engine)]
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            kind = self.draw.choices([k for _, k in kinds],
                                     [w for w, _ in kinds])[0]
            seed = self.draw.getrandbits(64)
            thread = threading.Thread(target=kind,
                                      args=(random.Random(seed),), daemon=True)
            thread.start()
            self.threads.append(thread)
            time.sleep(self.draw.uniform(0.1, 1.6))
        for thread in self.threads:
            thread.join()

    def note(self, what, machine=None):
        item = Disruption(what, machine, time.monotonic())
        self.made.append(item)
        return item

    def in_touch(self, machine, at, contact_s=3.0):
        """Returns whether nothing disrupted a machine or the store in the
        time before a moment."""
        return not any(item.begin <= at and item.end >= at - contact_s
                       for item in self.made
                       if item.machine in (machine, None))

    # Machines.

    def free_machine(self, draw):
        """Returns a machine that no other disruption works on, locked."""
        order = list(range(self.fleet.machines))
        draw.shuffle(order)
        for machine in order:
            if self.busy[machine].acquire(blocking=False):
                return machine
        return None

    def stop_machine(self, draw):
        """Stops and starts a machine, with signals in series."""
        machine = self.free_machine(draw)
        if machine is None:
            return
        item = self.note("stop", machine)
        began = time.monotonic()
        self.fleet.signal(machine, signal.SIGTERM)
        while self.fleet.exit_code(machine) is None:
            if time.monotonic() - began > GRACE_S:
                self.found.append(
                    f"{self.fleet.name(machine)} outlived its grace")
                self.fleet.kill(machine)
                break
            time.sleep(0.02)
            if draw.random() < 0.01:
                self.fleet.signal(machine, draw.choice(
                    [signal.SIGTERM, signal.SIGHUP]))
        code = self.fleet.exit_code(machine)
        if code not in (0, -signal.SIGKILL):
            self.found.append(f"{self.fleet.name(machine)} ended with {code} "
                              "when it was stopped")
        time.sleep(draw.uniform(0.0, 1.0))
        self.start_machine(machine, draw)
        item.end = time.monotonic()
        self.busy[machine].release()

    def kill_machine(self, draw):
        machine = self.free_machine(draw)
        if machine is None:
            return
        item = self.note("kill", machine)
        self.fleet.kill(machine)
        time.sleep(draw.uniform(0.0, 2.0))
        self.start_machine(machine, draw)
        item.end = time.monotonic()
        self.busy[machine].release()

    def start_machine(self, machine, draw):
        """Starts a machine; its settings may change meanwhile."""
        self.fleet.spawn(machine)
        # What happens before is the matter of EarlySignalTest.
        self.fleet.await_signal_handling(machine)
        if draw.random() < 0.5:
            time.sleep(draw.uniform(0.0, 0.05))
            self.fleet.signal(machine, signal.SIGHUP)

    def freeze_machine(self, draw):
        machine = self.free_machine(draw)
        if machine is None:
            return
        item = self.note("freeze", machine)
        self.fleet.signal(machine, signal.SIGSTOP)
        time.sleep(draw.uniform(0.3, 4.0))
        self.fleet.signal(machine, signal.SIGCONT)
        item.end = time.monotonic()
        self.busy[machine].release()

    def reload_machine(self, draw):
        for _ in range(draw.randint(1, 5)):
            self.fleet.signal(draw.randrange(self.fleet.machines),
                              signal.SIGHUP)
            time.sleep(draw.uniform(0.0, 0.2))

    # The store.

    def disturb_store(self, draw):
        machine = draw.randrange(self.fleet.machines)
        kind = draw.choice(["reset", "refuse", "silent", "deaf"])
        item = self.note(f"store {kind}", machine)
        self.fleet.store_fault(machine, kind)
        time.sleep(draw.uniform(0.5, 5.0))
        self.fleet.store_fault(machine, "", cut=kind in ("silent", "deaf"))
        item.end = time.monotonic()

    def disturb_store_for_all(self, draw):
        kind = draw.choice(["reset", "refuse", "silent", "slow"])
        item = self.note(f"store {kind}")
        if kind == "slow":
            self.fleet.store_fault_for_all("", delay_s=0.3)
        else:
            self.fleet.store_fault_for_all(kind)
        time.sleep(draw.uniform(1.0, 5.0))
        self.fleet.store_fault_for_all("", cut=kind == "silent")
        item.end = time.monotonic()

    def forget_history(self, draw):
        item = self.note("history forgotten")
        self.fleet.do(self.fleet.store.forget_history)
        item.end = time.monotonic()

    # Engines.

    def free_engine(self, draw):
        usable = [engine for engine in self.fleet.engines
                  if engine.listed and engine.state == "ready" and
                  engine.server is not None and
                  not engine.__dict__.setdefault("busy", False)]
        if not usable:
            return None
        engine = draw.choice(usable)
        engine.busy = True
        return engine

    def drain_engine(self, draw, leave=False):
        """An engine leaves, serves on for a while, and comes back anew."""
        engine = self.free_engine(draw)
        if engine is None:
            return
        name = engine.id
        at = self.fleet.do(engine.leave if leave else engine.drain)
        self.left[name] = at
        time.sleep(draw.uniform(2.5, 6.0))
        if not leave:
            self.fleet.do(engine.leave)
        self.fleet.run(engine.crash(down_s=None))
        time.sleep(draw.uniform(2.0, 3.0))
        self.fleet.run(engine.start())
        engine.busy = False

    def remove_engine(self, draw):
        self.drain_engine(draw, leave=True)

    def crash_engine(self, draw):
        engine = self.free_engine(draw)
        if engine is None:
            return
        self.fleet.run(engine.crash(down_s=draw.uniform(1.0, 4.0)))
        time.sleep(5.0)
        engine.busy = False
