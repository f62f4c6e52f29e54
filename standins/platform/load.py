"""Callers of a fleet: they keep their connections until these are closed."""
import dataclasses
import http.client
import random
import threading
import time

from .fleet import FRONT_PORT


@dataclasses.dataclass
class Kind:
    """A kind of request; `body_bytes` 0 sends a GET. With `contents`, requests
    repeat so many targets."""
    prefix: str
    share: float
    body_bytes: int = 0
    deadline_ms: int = 3000
    tokens: tuple = ()
    parts: str = ""
    contents: int = 0


@dataclasses.dataclass
class Sent:
    """One request; times are of time.monotonic()."""
    attempt: str
    prefix: str
    machine: int
    began: float
    ended: float = 0.0
    status: int = 0
    reason: str = ""


class Balancer:
    """Spreads new connections over the machines that say they are ready: two
    misses in a row take one out."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = [0] * fleet.machines
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.ending.wait(1.0):
            for machine in range(self.fleet.machines):
                good = self.fleet.ready(machine)
                self.misses[machine] = 0 if good else self.misses[machine] + 1

    def pick(self, draw):
        ready = [m for m, misses in enumerate(self.misses) if misses < 2]
        return draw.choice(ready or range(self.fleet.machines))

    def stop(self):
        self.ending.set()
        self.thread.join()


class Caller(threading.Thread):
    """Sends requests one after the other over one connection."""

    def __init__(self, load, number):
        super().__init__(daemon=True)
        self.load, self.number = load, number
        self.draw = random.Random(f"{load.seed}/caller-{number}")
        self.connection = None
        self.machine = None
        self.sent = []

    def run(self):
        while not self.load.ending.is_set():
            time.sleep(self.draw.expovariate(1 / self.load.pause_s))
            self.send()
        self.disconnect()

    def send(self):
        kinds = self.load.kinds
        kind = self.draw.choices(kinds, [k.share for k in kinds])[0]
        if self.connection is None:
            self.machine = self.load.balancer.pick(self.draw)
            self.connection = http.client.HTTPConnection(
                self.load.fleet.ip(self.machine + 1), FRONT_PORT,
                timeout=kind.deadline_ms / 1000 + 1)
        attempt = f"{self.number:x}a{len(self.sent):x}s{self.load.seed:x}"
        item = Sent(attempt, kind.prefix, self.machine, time.monotonic())
        self.sent.append(item)
        more = {}
        if kind.tokens:
            more = {"X-Model": "m",
                    "X-Token-Count": "%d,%d" % kind.tokens,
                    "X-Prompt-Prefix": kind.parts +
                    f",{self.draw.getrandbits(32):08x}:100"}
        answer = self.load.fleet.request(
            self.machine, kind.prefix + (
                str(self.draw.randrange(kind.contents)) if kind.contents
                else attempt), attempt,
            "POST" if kind.body_bytes else "GET",
            b"x" * kind.body_bytes if kind.body_bytes else None,
            kind.deadline_ms, self.connection, **more)
        item.ended, item.status = answer.ended, answer.status
        item.reason = answer.reason
        if answer.status == 0 or answer.headers.get("Connection") == "close":
            self.disconnect()

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Load:
    """A number of callers; each waits `pause_s` on average."""

    def __init__(self, fleet, kinds, callers, pause_s, seed):
        self.fleet, self.kinds, self.pause_s = fleet, kinds, pause_s
        self.seed = seed
        self.ending = threading.Event()
        self.balancer = Balancer(fleet)
        self.callers = [Caller(self, n) for n in range(callers)]
        for caller in self.callers:
            caller.start()

    def stop(self):
        self.ending.set()
        for caller in self.callers:
            caller.join()
        self.balancer.stop()

    def sent(self):
        """Returns all requests, in the order in which they were sent."""
        return sorted((item for caller in self.callers
                       for item in list(caller.sent)),
                      key=lambda item: item.began)
