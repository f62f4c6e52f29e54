"""Instances that start while the registry of engines holds an entry of another
writer: the entry names no engine, and the others are used."""
import pathlib
import sys
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import fleet  # noqa: E402
from standins.platform import other_writer  # noqa: E402
from standins.platform.engine import SteadyEngine  # noqa: E402

MACHINES = 3
ENGINES = 4
REQUESTS = 12
# The platform's limit on reads of all machines, and on the time until a
# machine serves after a restart.
READS_PER_S = 2000
RECOVER_S = 12
INSTANCES_PREFIX = "bronzeward/instances/"
# Time in which a running instance lists again after its watch failed.
LIST_AGAIN_S = 1.5
# Time in which an incomplete list is read again.
RELIST_S = 6
# Time after which an engine without an entry gets no more requests.
GONE_S = 2
# Time until a line that an instance wrote is in its log.
LOG_DELAY_S = 2
# A value that fills a page of its own.
LARGE = 1_000_000


class OddEntryRestart(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(machines=MACHINES)
        self.addCleanup(self.fleet.stop)
        self.writer = other_writer.OtherWriter(self.fleet)
        self.fleet.configure([fleet.route("/look/", "desk")],
                             [fleet.service("desk")])
        for _ in range(ENGINES):
            self.fleet.add_engine("desk", kind=SteadyEngine, work_s=0.005)
        self.sent = 0

    def restart_all(self):
        for machine in range(MACHINES):
            if self.fleet.processes[machine] is not None:
                self.fleet.kill(machine)
        for machine in range(MACHINES):
            self.fleet.spawn(machine)
        for machine in range(MACHINES):
            self.fleet.await_ready(machine, RECOVER_S)

    def statuses(self):
        found = []
        for number in range(REQUESTS):
            self.sent += 1
            found.append(self.fleet.request(
                number % MACHINES, f"/look/{self.sent}",
                f"odd{self.sent}").status)
        return found

    def check(self, step):
        """Checks that after a step all instances serve, and read from the
        store within its limit meanwhile."""
        began, calls = time.monotonic(), len(self.fleet.store.calls)
        step()
        self.assertEqual(self.statuses(), [200] * REQUESTS)
        took = time.monotonic() - began
        reads = [call for _, _, call in self.fleet.store.calls[calls:]
                 if call in ("kv-key", "kv-range")]
        self.assertLess(len(reads) / took, READS_PER_S)

    def list_again(self):
        """Makes the watches fail, so that running instances list again."""
        self.fleet.do(self.fleet.store.forget_history)
        self.fleet.store_fault_for_all("reset")
        self.fleet.store_fault_for_all("")
        time.sleep(LIST_AGAIN_S)

    def check_names(self, length):
        for name in other_writer.NAMES:
            with self.subTest(name=name):
                self.writer.write(name, length)
                try:
                    self.check(self.restart_all)
                finally:
                    self.writer.remove(name)

    def test_pages_of_one_entry(self):
        self.fleet.store.page_items = 1
        self.check_names(length=3)

    def test_entries_that_fill_a_page(self):
        self.check_names(length=LARGE)

    def check_engines(self, expected):
        """Checks that each instance chooses among just these engines. Which of
        them get requests depends on their measured times."""
        before = len(self.fleet.arrivals())
        first = self.sent + 1
        for _ in range(4):
            self.assertEqual(self.statuses(), [200] * REQUESTS)
        served = {item.engine for item in self.fleet.arrivals()[before:]}
        self.assertLessEqual(served, expected)
        for number in range(first, self.sent + 1):
            # The requests go to the machines in turn.
            choice = self.first_choice((number - 1) % MACHINES, f"odd{number}")
            # The line lists at most five engines, and counts all.
            self.assertEqual(choice["candidates"], len(expected))
            self.assertEqual({option["upstream"]
                              for option in choice["least_loaded"]}, expected)

    def first_choice(self, machine, request):
        """Returns an instance's log line of the first choice of an engine."""
        until = time.monotonic() + LOG_DELAY_S
        while True:
            for line in self.fleet.events(machine, "choice"):
                if line["request"] == request and line["attempt"] == 1:
                    return line
            self.assertLess(time.monotonic(), until, f"no choice of {request}")
            time.sleep(0.05)

    def test_list_that_does_not_advance(self):
        everyone = {engine.id for engine in self.fleet.engines}
        listed = set(sorted(everyone)[:2])
        self.restart_all()
        self.fleet.store.page_items = 1
        self.fleet.store.repeated_key = "servers/" + max(listed)
        self.check(self.list_again)
        time.sleep(GONE_S)
        self.check_engines(everyone)
        self.check(self.restart_all)
        self.check_engines(listed)
        # Entries that are removed or written meanwhile are noticed.
        gone = min(self.fleet.engines, key=lambda engine: engine.id)
        self.fleet.do(gone.leave)
        self.fleet.do(self.fleet.engines[-1].announce)
        time.sleep(LIST_AGAIN_S)
        self.check_engines(
            listed - {gone.id} | {self.fleet.engines[-1].id})
        self.fleet.store.repeated_key = None
        time.sleep(RELIST_S)
        self.check_engines(everyone - {gone.id})

    def test_list_of_instances_that_does_not_advance(self):
        self.restart_all()
        self.fleet.store.page_items = 1
        self.fleet.store.repeated_key = INSTANCES_PREFIX + self.fleet.name(0)
        self.check(self.list_again)
        self.check(self.restart_all)
        self.check(self.list_again)

    def test_entries_beside_those_of_operator_and_instances(self):
        self.fleet.store.page_items = 1
        for prefix in ("op/", INSTANCES_PREFIX):
            with self.subTest(prefix=prefix):
                self.writer.write("a+b", LARGE, prefix)
                self.writer.write("z+z", LARGE, prefix)
                self.writer.write_item("c", {"value": 7}, prefix)
                self.check(self.restart_all)
                self.check(self.list_again)

    def test_entries_like_those_of_instances(self):
        self.writer.write_lookalikes(
            {"life": 5, "failure_domain": "zone-a", "leaving": False,
             "peer_address": f"{self.fleet.ip(250)}:{fleet.PEER_PORT}",
             "capacity": 0.25}, INSTANCES_PREFIX)
        self.check(self.restart_all)
        self.check(self.list_again)

    def test_entries_like_those_of_engines(self):
        for address in (self.fleet.ip(250), self.fleet.engines[0].host):
            with self.subTest(address=address):
                names = self.writer.write_lookalikes(
                    {"service": "desk", "zone": "zone-a", "version": "v1",
                     "address": f"{address}:{fleet.ENGINE_PORT}",
                     "state": "ready", "capacity": 64, "warmup_left_ms": 0,
                     "sequence": 4})
                self.check(self.restart_all)
                self.check(self.list_again)
                for name in names:
                    self.writer.remove(name)

    def test_sound_values_under_odd_names(self):
        """An engine refuses calls that name another, and nothing listens at
        the second address."""
        self.fleet.store.page_items = 1
        for address in (self.fleet.engines[0].host, self.fleet.ip(250)):
            for name in ("a+b", "a b", "a&b", "a#b", "a%zz", " ab", "ab ",
                         self.fleet.engines[0].id + " "):
                with self.subTest(address=address, name=name):
                    self.writer.write_copy(name, self.fleet.engines[0].id,
                                           f"{address}:{fleet.ENGINE_PORT}")
                    self.check(self.restart_all)
                    self.writer.remove(name)

    def test_pages_of_a_slow_store(self):
        self.fleet.store.page_items = 1
        self.writer.write("a+b")
        self.restart_all()
        self.fleet.store_fault_for_all("", delay_s=0.4)
        self.check(self.restart_all)

    def test_pages_of_unreadable_items(self):
        self.fleet.store.page_items = 1
        for fields in other_writer.ITEMS:
            with self.subTest(fields=fields):
                self.writer.write_item("a", fields)
                self.check(self.restart_all)
                self.check(self.list_again)


if __name__ == "__main__":
    unittest.main()
