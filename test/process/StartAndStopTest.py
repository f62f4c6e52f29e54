"""Starts and stops of the daemons as real processes: signals at any moment,
addresses that are in use, settings that are being replaced, and descriptors
that run out."""
import http.client
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import disruptions, fleet, messages  # noqa: E402

PATIENCE_S = 20
STOPS = (signal.SIGTERM, signal.SIGINT)


async def long_answer(engine, arrival, reader, writer):
    """Answers with more bytes than the buffers of a connection hold."""
    writer.write(messages.answer(200, [("X-Instance-Id", engine.id)],
                                 b"z" * 12_000_000))
    await writer.drain()
    return True


class StartAndStop(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(machines=1,
                                 replace={"unready_notice_ms": "100"})
        self.addCleanup(self.fleet.stop)
        self.fleet.configure([fleet.route("/look/", "desk", timeout_ms=9000)],
                             [fleet.service("desk")])
        self.fleet.add_engine("desk")

    def wait_until(self, what, condition):
        until = time.monotonic() + PATIENCE_S
        while not condition():
            self.assertIsNone(self.fleet.exit_code(0), self.fleet.log(0))
            self.assertLess(time.monotonic(), until, what)
            time.sleep(0.02)

    def stop(self):
        self.fleet.signal(0, signal.SIGTERM)
        self.assertEqual(self.fleet.processes[0].wait(PATIENCE_S), 0,
                         self.fleet.log(0))

    # Signals.

    def start_with_signals(self, program, numbers):
        """Starts a daemon that reads its flags from a pipe and sends it
        signals before the pipe has data; returns the process."""
        pipe = self.fleet.folder / f"pipe-{time.monotonic_ns()}"
        os.mkfifo(pipe)
        binary = pathlib.Path(self.fleet.program).parent / program
        process = subprocess.Popen([binary, f"--flagfile={pipe}"],
                                   stdout=subprocess.DEVNULL,
                                   stderr=subprocess.DEVNULL)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        # Blocks until the program opens the pipe.
        flags = os.open(pipe, os.O_WRONLY)
        for number in numbers:
            process.send_signal(number)
        time.sleep(0.05)
        ip = self.fleet.ip(1)
        try:
            os.write(flags, f"--instance=a\n--failure_domain=d\n"
                     f"--listen={ip}:{fleet.FRONT_PORT}\n"
                     f"--operator_listen={ip}:{fleet.READY_PORT}\n"
                     f"--peer_listen={ip}:{fleet.PEER_PORT}\n"
                     f"--store={ip}:1\n".encode())
        except BrokenPipeError:
            self.fail(f"{program} ended with {process.wait()}")
        finally:
            os.close(flags)
        return process

    def live(self):
        connection = http.client.HTTPConnection(self.fleet.ip(1),
                                                fleet.READY_PORT, timeout=1)
        try:
            connection.request("GET", "/livez")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def test_reload_signals_before_the_handlers_are_harmless(self):
        for program in ("bronzeward", "bronzeward-fleet"):
            process = self.start_with_signals(
                program, [signal.SIGHUP, signal.SIGPIPE, signal.SIGHUP])
            until = time.monotonic() + PATIENCE_S
            while not self.live():
                self.assertIsNone(process.poll(), program)
                self.assertLess(time.monotonic(), until, program)
                time.sleep(0.02)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(PATIENCE_S), 0, program)

    def test_stop_signals_before_the_handlers_end_with_success(self):
        for program in ("bronzeward", "bronzeward-fleet"):
            for number in STOPS:
                process = self.start_with_signals(
                    program, [signal.SIGHUP, number, number])
                self.assertEqual(process.wait(PATIENCE_S), 0, program)

    def test_signals_in_series_do_not_lengthen_a_stop(self):
        self.fleet.engines[0].handle = long_answer
        self.fleet.start()
        with socket.create_connection(
                (self.fleet.ip(1), fleet.FRONT_PORT)) as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.sendall(f"GET /look/1 HTTP/1.1\r\nHost: {fleet.HOST}\r\n"
                           f"X-Attempt-Id: a1\r\nX-Deadline-Ms: 9000\r\n"
                           f"Authorization: Bearer {fleet.KEY}\r\n\r\n"
                           .encode())
            self.wait_until("the answer begins",
                            lambda: caller.recv(1, socket.MSG_PEEK))
            process, began = self.fleet.processes[0], time.monotonic()
            while (process.poll() is None and
                   time.monotonic() < began + disruptions.GRACE_S):
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                time.sleep(0.1)
            self.assertEqual(process.poll(), 0, self.fleet.log(0))

    # Addresses.

    def take(self, port):
        holder = socket.create_server((self.fleet.ip(1), port))
        self.addCleanup(holder.close)
        return holder

    def accepts(self, port):
        with socket.socket() as probe:
            return probe.connect_ex((self.fleet.ip(1), port)) == 0

    def test_address_held_for_a_moment_does_not_end_the_process(self):
        for port in (fleet.FRONT_PORT, fleet.READY_PORT, fleet.PEER_PORT):
            holder = self.take(port)
            self.fleet.spawn(0)
            time.sleep(0.3)
            holder.close()
            self.fleet.await_ready(0)
            self.stop()

    def test_taken_metrics_address_does_not_end_the_process(self):
        holder = self.take(fleet.METRICS_PORT)
        self.fleet.spawn(0)
        self.fleet.await_ready(0)
        self.assertIn("listen for metrics", self.fleet.log(0))
        holder.close()
        self.wait_until("metrics are served",
                        lambda: self.accepts(fleet.METRICS_PORT))

    def test_stop_while_an_address_is_in_use_ends_with_success(self):
        self.take(fleet.FRONT_PORT)
        self.fleet.spawn(0)
        time.sleep(0.3)
        self.stop()

    # Settings.

    def test_settings_written_in_part_are_read_again(self):
        path = self.fleet.folder / f"{self.fleet.name(0)}.flags"
        whole = self.fleet.settings(0)
        for part in ("", whole[:len(whole) // 2]):
            self.fleet.settings = lambda machine, text=part: text
            self.fleet.spawn(0)
            time.sleep(0.3)
            path.write_text(whole)
            self.fleet.await_ready(0)
            self.stop()

    def test_invalid_settings_end_the_process_and_are_named(self):
        self.fleet.replace["store_timeout_ms"] = "1"
        self.fleet.spawn(0)
        self.assertEqual(self.fleet.processes[0].wait(PATIENCE_S), 2)
        self.assertIn("--store_timeout_ms", self.fleet.log(0))

    # Descriptors.

    def test_lack_of_descriptors_does_not_end_the_process(self):
        def few():
            resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))
        self.fleet.prepare = few
        self.fleet.start()
        holders = [socket.create_connection((self.fleet.ip(1), port))
                   for port in (fleet.FRONT_PORT, fleet.PEER_PORT)
                   for _ in range(60)]
        self.fleet.signal(0, signal.SIGHUP)
        time.sleep(1.0)
        for holder in holders:
            holder.close()
        self.wait_until("requests are served", lambda: self.fleet.request(
            0, "/look/1", f"a{time.monotonic_ns():x}").status == 200)
        self.stop()

    # The log.

    def test_log_is_on_standard_output(self):
        errors = os.memfd_create("errors")
        self.addCleanup(os.close, errors)
        self.fleet.prepare = lambda: os.dup2(errors, 2)
        self.fleet.spawn(0)
        self.fleet.await_ready(0)
        self.stop()
        self.assertEqual(os.fstat(errors).st_size, 0)
        for event in ("started", "process", "signal", "stopped"):
            self.assertTrue(self.fleet.events(0, event), event)

    def test_closed_log_does_not_end_the_process(self):
        reader, writer = os.pipe()

        def redirect():
            os.dup2(writer, 1)
            os.dup2(writer, 2)
        self.fleet.prepare = redirect
        self.fleet.spawn(0)
        os.close(writer)
        os.close(reader)
        self.fleet.await_ready(0)
        self.fleet.signal(0, signal.SIGHUP)
        self.stop()


if __name__ == "__main__":
    unittest.main()
