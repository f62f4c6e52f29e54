"""Upstreams that leave, while an instance hears of it late: no instance may
send them requests two seconds after the store's acknowledgement."""
import pathlib
import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import fleet  # noqa: E402

# Bound of the platform.
DRAIN_TIMEOUT_S = 2.0
ENGINES = 2
CALLERS = 6


class Callers:
    """Callers of one machine that send one request after the other."""

    def __init__(self, machines, machine):
        self.machines, self.machine = machines, machine
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(number,),
                                         daemon=True)
                        for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        sent = 0
        while not self.ending.is_set():
            attempt = f"late{number}x{sent}"
            sent += 1
            self.machines.request(self.machine, "/look/" + attempt, attempt)
            time.sleep(0.005)

    def stop(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()


class LateDrain(unittest.TestCase):
    def start(self, machines):
        self.fleet = fleet.Fleet(machines=machines)
        self.addCleanup(self.fleet.stop)
        self.fleet.configure([fleet.route("/look/", "desk")],
                             [fleet.service("desk")])
        for _ in range(ENGINES):
            self.fleet.add_engine("desk", work_s=0.005)
        self.fleet.start()
        self.callers = Callers(self.fleet, 0)
        time.sleep(1)

    def renew_watches(self):
        """Makes the watches begin anew, so that their age does not vary."""
        self.fleet.do(self.fleet.store.put, "servers/unreadable", b"")
        time.sleep(0.05)

    def lose_watch(self):
        """Loses the reply of a watch that has just begun."""
        while True:
            self.renew_watches()
            if self.fleet.do(self.fleet.store.lose_watches,
                             self.fleet.store_port(0), "servers/"):
                return

    def check_last_request(self, engine, left):
        """Awaits the last request at an engine that left at a time."""
        time.sleep(left + 5 - time.monotonic())
        self.callers.stop()
        own = [item.at for item in self.fleet.arrivals()
               if item.engine == engine.id]
        self.assertGreater(len(own), 0)
        self.assertLess(max(own) - left, DRAIN_TIMEOUT_S,
                        self.fleet.events(0, "upstream-departed"))

    def test_lost_watch_beside_peers(self):
        self.start(3)
        engine = self.fleet.engines[0]
        self.lose_watch()
        self.check_last_request(engine, self.fleet.do(engine.drain))

    def test_lost_watch_of_a_single_instance(self):
        self.start(1)
        engine = self.fleet.engines[0]
        self.lose_watch()
        self.check_last_request(engine, self.fleet.do(engine.leave))


if __name__ == "__main__":
    unittest.main()
