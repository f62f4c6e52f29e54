"""Upstreams whose answers are invalid, as real processes: what a client gets
is an upstream's whole answer or a failure, and other clients are served."""
import asyncio
import pathlib
import socket
import sys
import threading
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import engine, fleet, messages  # noqa: E402

DEADLINE_MS = 6000
# A failure that waits for nothing takes less, also on a busy machine.
AT_ONCE_S = 3.0
MEMORY_MB = 100
UPLOADS = (65536, 1 << 20, 4 << 20)
PART = b"part of the answer"
EVENT = b"data: three tokens\n\n"
# What an upstream sends at most if nobody stops it.
FLOOD_BYTES = 64 << 20
CALLERS = 40


class RawEngine(engine.Engine):
    """An engine that gets only the head of a request.

    The last segment of the target names the coroutine that goes on.
    """

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            head = await messages.read_head(reader)
            if head is not None:
                (_, target, _), headers = head
                await getattr(self, target.rsplit("/", 1)[-1])(
                    headers, reader, writer)
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def begin(self, headers, writer, status="200", *more):
        """Writes a head that states no length unless `more` does."""
        lines = [f"HTTP/1.1 {status} X",
                 f"X-Attempt-Id: {headers['x-attempt-id']}",
                 "X-Response-Signature: s", *more]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def read_body(self, headers, reader, divisor=1):
        length = int(headers.get("content-length", 0))
        await reader.readexactly(length // divisor)

    async def outlast(self, reader):
        """Leaves the connection open until the peer closes it."""
        await reader.read()

    async def whole(self, headers, reader, writer):
        await self.read_body(headers, reader)
        self.begin(headers, writer)
        writer.write(PART)
        await writer.drain()

    async def part_and_reset(self, headers, reader, writer):
        self.begin(headers, writer)
        writer.write(PART)
        await writer.drain()
        messages.reset(writer)

    async def part_and_late_reset(self, headers, reader, writer):
        self.begin(headers, writer)
        writer.write(PART)
        await asyncio.sleep(0.3)
        messages.reset(writer)

    async def half_read_and_reset(self, headers, reader, writer):
        await self.read_body(headers, reader, 2)
        await self.part_and_late_reset(headers, reader, writer)

    async def all_read_and_reset(self, headers, reader, writer):
        await self.read_body(headers, reader)
        await self.part_and_late_reset(headers, reader, writer)


    async def end_unread(self, headers, reader, writer):
        """Ends the answer while most of the upload waits to be received."""
        writer.transport.pause_reading()
        self.begin(headers, writer)
        writer.write(PART)
        writer.write_eof()
        await asyncio.sleep(0.5)
        messages.reset(writer)

    async def flood(self, headers, reader, writer, first, part, *more):
        """Sends a part again and again, until the connection is closed."""
        self.begin(headers, writer, "200", *more)
        writer.write(first)
        for _ in range(FLOOD_BYTES // len(part)):
            writer.write(part)
            await writer.drain()

    async def endless_body(self, headers, reader, writer):
        await self.flood(headers, reader, writer, b"", b"x" * 65536)

    async def endless_event(self, headers, reader, writer):
        await self.flood(headers, reader, writer, b"data: ", b"x" * 65536,
                         "Content-Type: text/event-stream")

    async def endless_stream(self, headers, reader, writer):
        await self.flood(headers, reader, writer, b"", EVENT * 3000,
                         "Content-Type: text/event-stream")

    async def endless_lines(self, headers, reader, writer):
        await self.flood(headers, reader, writer, b"", b"data: x\n" * 8192,
                         "Content-Type: text/event-stream")


def status(number, *more):
    async def answer(self, headers, reader, writer):
        self.begin(headers, writer, number, f"Content-Length: {len(PART)}",
                   *more)
        writer.write(PART)
        await self.outlast(reader)
    return answer


STATUSES = ("000", "099", "101", "600", "999")
for item in STATUSES:
    setattr(RawEngine, f"status_{item}", status(item))


class InvalidAnswer(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = fleet.Fleet(machines=1, memory_mb=MEMORY_MB)
        cls.fleet.configure(
            [fleet.route("/raw/", "raw", "non_idempotent", attempts=1,
                         timeout_ms=DEADLINE_MS),
             fleet.route("/stream/", "raw", "streaming", attempts=1,
                         timeout_ms=DEADLINE_MS),
             fleet.route("/plain/", "plain")],
            [fleet.service("raw"), fleet.service("plain")])
        for _ in range(4):
            cls.fleet.add_engine("raw", kind=RawEngine)
        cls.fleet.add_engine("plain")
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def send(self, conduct, size=0):
        name = f"{conduct}-{size}-{time.monotonic_ns():x}"
        return self.fleet.request(0, f"/raw/{conduct}", name, "POST",
                                  b"x" * size, DEADLINE_MS)

    def test_part_of_an_answer_is_not_taken_for_the_whole(self):
        for conduct in ("part_and_reset", "part_and_late_reset",
                        "half_read_and_reset", "all_read_and_reset"):
            for size in UPLOADS:
                with self.subTest(conduct, size=size):
                    self.assertEqual(self.send(conduct, size).status, 502)

    def test_answer_does_not_end_before_its_request_is_received(self):
        for size in UPLOADS[1:]:
            with self.subTest(size=size):
                self.assertEqual(self.send("end_unread", size).status, 502)

    def flood(self, prefix, conduct):
        """Callers of endless answers, all at once; returns what they got."""
        answers = []

        def call(number):
            answers.append(self.fleet.request(
                0, prefix + conduct, f"{conduct}-{number}", "POST", b"",
                DEADLINE_MS))
        callers = [threading.Thread(target=call, args=(number,))
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return answers

    def test_endless_answers_leave_memory_to_other_callers(self):
        for prefix, conduct in (("/raw/", "endless_body"),
                                ("/stream/", "endless_event"),
                                ("/stream/", "endless_lines")):
            with self.subTest(conduct):
                statuses = {item.status for item in
                            self.flood(prefix, conduct)}
                peak = self.fleet.memory_mb_of(0)
                print(f"{conduct}: peak {peak:.0f} MB", flush=True)
                self.assertEqual(statuses, {502})
                self.assertLessEqual(peak, MEMORY_MB)
                other = self.fleet.request(0, "/plain/x", f"after-{conduct}")
                self.assertEqual(other.status, 200)
                self.assertIsNone(self.fleet.exit_code(0))

    def test_endless_events_to_callers_that_read_nothing(self):
        callers = []
        for number in range(CALLERS):
            caller = socket.create_connection(
                (self.fleet.ip(1), fleet.FRONT_PORT), fleet.PATIENCE_S)
            callers.append(caller)
            caller.sendall(
                f"GET /stream/endless_stream HTTP/1.1\r\nHost: {fleet.HOST}"
                f"\r\nX-Attempt-Id: unread-{number}\r\nX-Deadline-Ms: "
                f"{DEADLINE_MS}\r\nAuthorization: Bearer {fleet.KEY}"
                "\r\n\r\n".encode())
        time.sleep(3)
        peak = self.fleet.memory_mb_of(0)
        print(f"unread streams: peak {peak:.0f} MB", flush=True)
        self.assertLessEqual(peak, MEMORY_MB)
        other = self.fleet.request(0, "/plain/x", "beside-unread")
        self.assertEqual(other.status, 200)
        for caller in callers:
            caller.close()

    def test_whole_answer_without_length_is_passed_on(self):
        for size in UPLOADS:
            with self.subTest(size=size):
                answer = self.send("whole", size)
                self.assertEqual((answer.status, answer.body), (200, PART))

    def test_undefined_status_is_a_failure_at_once(self):
        for number in STATUSES:
            with self.subTest(number):
                answer = self.send(f"status_{number}")
                self.assertEqual(answer.status, 502)
                self.assertLess(answer.ended - answer.began, AT_ONCE_S)


if __name__ == "__main__":
    unittest.main()
