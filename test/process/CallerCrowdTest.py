"""Callers that make a real router hold as much as they can: it lives on."""
import os
import pathlib
import selectors
import signal
import socket
import sys
import unittest

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import fleet as fleet_module  # noqa: E402

MEMORY_MB = 96
MAX_DESCRIPTORS = 200
MAX_BODY = 4 * 1024 * 1024
# Longest wait for a socket of the crowd to take bytes before it is left as is.
QUIET_S = 2
START = b"POST /ledger/charge HTTP/1.1\r\nHost: x\r\n"


def counted(length, sent):
    return START + b"Content-Length: %d\r\n\r\n" % length + b"a" * sent


def chunked(chunk, total, last=b""):
    pieces = (b"%x\r\n" % chunk + b"a" * chunk + b"\r\n") * (total // chunk)
    return START + b"Transfer-Encoding: chunked\r\n\r\n" + pieces + last


def charge(key):
    return (START + b"Authorization: Bearer khan-key\r\n"
            b"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n" %
            (key, MAX_BODY // 4) + b"a" * (MAX_BODY // 4))


class CallerCrowd(unittest.TestCase):
    def setUp(self):
        os.environ["BRONZEWARD_MEMORY_MB"] = str(MEMORY_MB)
        self.fleet = fleet_module.Fleet(
            routers=1, engines=1,
            router_flags=["--max_connections=100",
                          "--read_timeout_ms=60000",
                          f"--max_body_bytes={MAX_BODY}"])
        self.fleet.start()
        self.fleet.ctl("topup", "khan", "10000000", "--operation=t")
        self.open = []

    def tearDown(self):
        for connection in self.open:
            connection.close()
        self.fleet.stop()

    def crowd(self, messages, piece=1 << 20):
        """Sends all messages side by side, a piece at a time; stays open."""
        waiting = selectors.DefaultSelector()
        for message in messages:
            connection = socket.create_connection(
                ("127.0.0.1", self.fleet.callers[0]), 30)
            connection.setblocking(False)
            self.open.append(connection)
            waiting.register(connection, selectors.EVENT_WRITE,
                             memoryview(message))
        while waiting.get_map():
            ready = waiting.select(QUIET_S)
            if not ready:
                break
            for key, _ in ready:
                try:
                    count = key.fileobj.send(key.data[:piece])
                except OSError:
                    waiting.unregister(key.fileobj)
                    continue
                if count == len(key.data):
                    waiting.unregister(key.fileobj)
                else:
                    waiting.modify(key.fileobj, selectors.EVENT_WRITE,
                                   key.data[count:])

    def check_router(self):
        name = self.fleet.router_names[0]
        self.assertTrue(self.fleet.running(name), "the process has ended")
        process = pathlib.Path("/proc") / str(self.fleet.processes[name].pid)
        fields = dict(line.split(":", 1) for line in
                      (process / "status").read_text().splitlines())
        peak_mb = int(fields["VmHWM"].split()[0]) / 1024
        descriptors = len(list((process / "fd").iterdir()))
        print(f"{self.id()}: peak {peak_mb:.0f} MB, {descriptors} descriptors")
        self.assertLessEqual(peak_mb, MEMORY_MB)
        self.assertLessEqual(descriptors, MAX_DESCRIPTORS)

    def check_ordinary(self):
        self.assertTrue(self.fleet.complete(0, "ordinary").whole)

    def check_large(self):
        """A body at the limit is read once the crowd has gone."""
        for connection in self.open:
            connection.close()
        self.open = []

        def read():
            with socket.create_connection(
                    ("127.0.0.1", self.fleet.callers[0]), 30) as connection:
                connection.sendall(counted(MAX_BODY, MAX_BODY))
                return b"wrong-key" in connection.recv(65536)
        fleet_module.wait_until("a body at the limit is read", read)

    def check_after(self):
        self.check_router()
        self.check_ordinary()
        self.check_large()
        self.check_router()

    def test_large_bodies_that_stop_just_short(self):
        self.crowd([counted(MAX_BODY, MAX_BODY - 1)] * 40)
        self.check_after()

    def test_large_bodies_piece_by_piece(self):
        self.crowd([counted(MAX_BODY, MAX_BODY - 1)] * 40, piece=16384)
        self.check_after()

    def test_large_chunks_that_stop_just_short(self):
        self.crowd([chunked(65536, MAX_BODY - 65536)] * 40)
        self.check_after()

    def test_small_chunks_that_stop_just_short(self):
        self.crowd([chunked(64, MAX_BODY // 2)] * 40)
        self.check_after()

    def test_bodies_over_the_limit(self):
        self.crowd([counted(25 * MAX_BODY, 2 * MAX_BODY)] * 20 +
                   [chunked(65536, 2 * MAX_BODY)] * 20)
        self.check_after()

    def test_bodies_kept_until_the_answer(self):
        self.fleet.signal("plain", signal.SIGSTOP)
        self.crowd([charge(b"kept-%d" % i) for i in range(60)])
        self.check_router()
        self.check_ordinary()
        self.fleet.signal("plain", signal.SIGCONT)
        self.check_after()


if __name__ == "__main__":
    unittest.main()
