"""Faults in overlapping series, with the time of each."""
import dataclasses
import http.client
import json
import random
import signal
import subprocess
import threading
import time

DRAIN_S = 20


@dataclasses.dataclass
class Fault:
    kind: str
    target: str
    begin: float
    end: float = float("inf")


class Faults:
    """Threads that disturb the fleet; no process is under two faults."""

    def __init__(self, soak):
        self.soak = soak
        self.fleet = soak.fleet
        self.log = []
        self.problems = []
        self.busy = set()
        self.mutex = threading.Lock()
        self.threads = [
            threading.Thread(target=self.series, daemon=True,
                             args=(f"{body.__name__}/{number}", body))
            for number, body in enumerate(
                [self.router, self.router, self.engine, self.link, self.link,
                 self.store, self.operator])]

    def start(self):
        for thread in self.threads:
            thread.start()

    def join(self):
        for thread in self.threads:
            if thread.is_alive():
                thread.join()

    def series(self, name, body):
        draw = random.Random(f"{self.soak.seed}/{name}")
        while not self.soak.calm.wait(draw.uniform(0.2, 1.5)):
            try:
                for _ in range(draw.randint(1, 3)):
                    body(draw)
            except Exception as failure:
                self.problems.append(f"fault {name}: {failure!r}")
                raise

    def take(self, target):
        with self.mutex:
            if target in self.busy:
                return False
            self.busy.add(target)
            return True

    def give(self, target):
        with self.mutex:
            self.busy.discard(target)

    def begin(self, kind, target):
        process = self.fleet.processes.get(target)
        if process and process.poll() is not None:
            self.problems.append(
                f"{target} ended by itself: {process.returncode}")
        fault = Fault(kind, target, time.monotonic())
        self.log.append(fault)
        return fault

    def router(self, draw):
        index = draw.randrange(3)
        name = self.fleet.router_names[index]
        action = draw.choice([self.stop, self.kill, self.freeze])
        pause = draw.uniform(0.3, 3.0)
        if not self.take(name):
            return
        try:
            action(index, name, pause)
        finally:
            self.give(name)

    def stop(self, index, name, pause):
        """A planned stop and a start."""
        fault = self.begin("stop", name)
        self.fleet.signal(name, signal.SIGTERM)
        self.await_exit(name)
        time.sleep(pause / 3)
        self.restart(index, fault)

    def stop_for_good(self, name):
        self.begin("stop", name)
        self.fleet.signal(name, signal.SIGTERM)
        self.await_exit(name)

    def await_exit(self, name):
        process = self.fleet.processes[name]
        try:
            process.wait(DRAIN_S - 2)
        except subprocess.TimeoutExpired:
            self.problems.append(f"{name} still drains after {DRAIN_S - 2} s: "
                                 + self.drain_state(name))
        try:
            code = process.wait(4)
            if code != 0:
                self.problems.append(f"{name} exits {code} after SIGTERM")
        except subprocess.TimeoutExpired:
            self.problems.append(f"{name} runs past its drain time")
            self.fleet.kill(name)

    def drain_state(self, name):
        try:
            return json.dumps(self.fleet.status(
                self.fleet.router_names.index(name)))
        except (OSError, http.client.HTTPException) as failure:
            return repr(failure)

    def kill(self, index, name, pause):
        fault = self.begin("kill", name)
        self.fleet.kill(name)
        time.sleep(pause / 3)
        self.restart(index, fault)

    def restart(self, index, fault):
        self.fleet.start_router(index)
        time.sleep(0.5)
        fault.end = time.monotonic()

    def freeze(self, _, name, pause):
        fault = self.begin("freeze", name)
        self.fleet.signal(name, signal.SIGSTOP)
        time.sleep(pause)
        self.fleet.signal(name, signal.SIGCONT)
        fault.end = time.monotonic()

    def starve(self, index, seconds, share):
        """Runs a router for a share of each tenth of a second."""
        name = self.fleet.router_names[index]
        fault = self.begin("starve", name)
        while time.monotonic() < fault.begin + seconds:
            self.fleet.signal(name, signal.SIGSTOP)
            time.sleep(0.1 * (1 - share))
            self.fleet.signal(name, signal.SIGCONT)
            time.sleep(0.1 * share)
        fault.end = time.monotonic()

    def engine(self, draw):
        index = draw.randrange(len(self.fleet.engines))
        name = f"engine-{index + 1}"
        pause = draw.uniform(0.1, 1.0)
        self.soak.calm.wait(draw.uniform(0.5, 3.0))
        if not self.take(name):
            return
        fault = self.begin("crash", name)
        self.fleet.kill(name)
        time.sleep(pause)
        self.fleet.start_engine(index)
        fault.end = time.monotonic()
        self.give(name)

    def link(self, draw):
        index = draw.randrange(len(self.fleet.upstream_links))
        port = self.fleet.upstream_links[index]
        switch = draw.choice(["reset", "cut", "cut-forth", "cut-back",
                              f"delay-{draw.randint(20, 300)}"])
        pause = draw.uniform(0.3, 2.0)
        self.soak.calm.wait(draw.uniform(0.3, 2.0))
        target = self.soak.upstreams[index]
        if not self.take("link " + target):
            return
        fault = self.begin(switch, "link " + target)
        self.fleet.link(switch, port)
        time.sleep(0 if switch == "reset" else pause)
        self.fleet.link("heal", port)
        # Connections that lost bytes stay silent until they are reset.
        self.fleet.link("reset", port)
        fault.end = time.monotonic()
        self.give("link " + target)

    def store(self, draw):
        port = draw.choice([{}, {"port": draw.choice(self.fleet.store_ports)}])
        switch, healed = draw.choice([
            ({"outage": 1}, {"outage": 0}), ({"lose": 2}, {"lose": 0}),
            ({"delay_ms": draw.randint(50, 500)}, {"delay_ms": 0})])
        fault = self.begin(str(switch), "store")
        self.fleet.faults(**port, **switch)
        time.sleep(draw.uniform(0.3, 2.0))
        self.fleet.faults(**port, **healed)
        fault.end = time.monotonic()
        self.soak.calm.wait(draw.uniform(0.5, 2.0))

    def operator(self, draw):
        path = self.fleet.work / "soak.toml"
        path.write_text(self.fleet.text() +
                        f"# edition {draw.randrange(1 << 30)}\n")
        self.fleet.ctl("apply", str(path), check=False)
        self.soak.calm.wait(draw.uniform(0.5, 3.0))

    def during(self, targets, begin, end):
        return [fault for fault in self.log if fault.target in targets
                and fault.begin <= end and fault.end >= begin]
