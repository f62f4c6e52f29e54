"""Upstreams whose answers are invalid, as real processes: what a client gets
is an upstream's whole answer or a failure, and other clients are served."""
import asyncio
import pathlib
import sys
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
             fleet.route("/plain/", "plain")],
            [fleet.service("raw"), fleet.service("plain")])
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
