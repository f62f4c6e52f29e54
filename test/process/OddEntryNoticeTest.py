"""An operator's change while the list of instances holds an entry of another
writer: the instances on later pages are told of the change."""
import json
import pathlib
import socket
import subprocess
import sys
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import fleet  # noqa: E402
from standins.platform import other_writer  # noqa: E402

INSTANCES = 3
INSTANCES_PREFIX = "bronzeward/instances/"
TEXT = fleet.ROOT / "examples" / "chair-lease.toml"
CONNECT_S = 2


class OddEntryNotice(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(machines=1)
        self.addCleanup(self.fleet.stop)
        self.writer = other_writer.OtherWriter(self.fleet)
        self.listeners = [self.add_instance(number + 1)
                          for number in range(INSTANCES)]

    def add_instance(self, number):
        """Writes an instance's entry; returns the socket that it names."""
        listener = socket.create_server(
            (self.fleet.ip(number), fleet.PEER_PORT))
        self.addCleanup(listener.close)
        listener.settimeout(CONNECT_S)
        entry = {"life": number, "failure_domain": "zone-a", "leaving": False,
                 "peer_address": f"{self.fleet.ip(number)}:{fleet.PEER_PORT}",
                 "capacity": 0.25}
        self.fleet.do(self.fleet.store.put,
                      INSTANCES_PREFIX + self.fleet.name(number),
                      json.dumps(entry).encode())
        return listener

    def apply(self):
        address = f"{self.fleet.store.host}:{fleet.STORE_PORT}"
        program = pathlib.Path(fleet.program()).with_name("bronzewardctl")
        return subprocess.run(
            [program, f"--store={address}", "--store_form=platform", "apply",
             TEXT], capture_output=True, text=True, timeout=fleet.PATIENCE_S)

    def check_notice(self):
        done = self.apply()
        self.assertEqual(done.returncode, 0, done.stderr)
        for listener in self.listeners:
            connection, _ = listener.accept()
            connection.close()

    def test_one_page(self):
        self.writer.write("a+b", prefix=INSTANCES_PREFIX)
        self.check_notice()

    def test_pages_of_one_entry(self):
        self.fleet.store.page_items = 1
        for name in ("a+b", "z+z"):
            self.writer.write(name, prefix=INSTANCES_PREFIX)
        self.check_notice()

    def test_entry_that_fills_a_page(self):
        self.writer.write("a+b", 1_000_000, INSTANCES_PREFIX)
        self.check_notice()

    def test_list_that_does_not_advance(self):
        self.fleet.store.page_items = 1
        self.fleet.store.repeated_key = \
            INSTANCES_PREFIX + self.fleet.name(INSTANCES)
        self.writer.write("z", prefix=INSTANCES_PREFIX)
        self.check_notice()


if __name__ == "__main__":
    unittest.main()
