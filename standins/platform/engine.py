"""Stand-in for an engine: registers itself, runs requests, may crash."""
import asyncio
import dataclasses
import json
import time

from . import messages

HEARTBEAT_S = 1.2
# Intervals without a heartbeat after which an entry is removed.
SILENT_HEARTBEATS = 3


@dataclasses.dataclass
class Arrival:
    """A request that reached an engine; times are of time.monotonic()."""
    at: float
    engine: str
    attempt: str
    request: messages.Message
    status: int = 0
    left_early: bool = False


class Engine:
    """One engine; `handle` may be replaced to give it another conduct.

    `handle(engine, arrival, reader, writer)` is a coroutine that answers a
    request and returns whether the connection is kept.
    """

    def __init__(self, store, service, host, port, name, handle=None,
                 capacity=64, work_s=0.015, events=0, event_gap_s=0.02,
                 version="v1"):
        self.store = store
        self.service, self.host, self.port = service, host, port
        self.name, self.capacity = name, capacity
        self.version = version
        self.work_s, self.events, self.event_gap_s = work_s, events, event_gap_s
        self.handle = handle or Engine.run
        self.boot = 0
        self.state = "ready"
        self.listed = True
        self.server = None
        self.writers = set()
        self.running = 0
        self.arrivals = []
        self.crashes = []

    @property
    def id(self):
        return f"i-{self.name}-{self.boot}"

    # Registration.

    async def start(self):
        self.boot += 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state, self.listed = "ready", True
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 22,
            reuse_address=True)
        self.announce()

    def announce(self):
        """Writes the entry; returns the store's revision."""
        self.sequence += 1
        entry = {"service": self.service, "zone": "zone-a",
                 "version": self.version, "address": f"{self.host}:{self.port}", "state": self.state,
                 "capacity": self.capacity, "warmup_left_ms": 0,
                 "sequence": self.sequence, "born": self.born}
        return self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.server is not None and self.listed:
                self.announce()

    def drain(self):
        """Reports that the engine is leaving; it serves on."""
        self.state = "draining"
        self.announce()
        return time.monotonic()

    def leave(self):
        """Removes the entry without a report; the engine serves on."""
        self.listed = False
        self.store.remove(f"servers/{self.id}")
        return time.monotonic()

    async def crash(self, down_s=3.0):
        """Resets all connections; comes back under a new id."""
        if self.server is None:
            return
        old, self.server = self.server, None
        old.close()
        self.crashes.append((time.monotonic(), self.id))
        gone = self.id
        for writer in list(self.writers):
            messages.reset(writer)
        loop = asyncio.get_running_loop()
        loop.call_later(SILENT_HEARTBEATS * HEARTBEAT_S,
                        self.store.remove, f"servers/{gone}")
        if down_s is not None:
            loop.call_later(down_s,
                            lambda: loop.create_task(self.start()))

    # Requests.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        boot = self.boot
        try:
            while self.boot == boot and self.server is not None:
                request = await messages.read_request(reader)
                if request is None or not await self.answer(request, reader,
                                                            writer):
                    break
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        if request.target == "/health":
            writer.write(messages.answer(
                200 if self.state == "ready" else 503,
                [("X-Instance-Id", self.id), self.load()]))
            await writer.drain()
            return True
        attempt = request.header("X-Attempt-Id")
        arrival = Arrival(time.monotonic(), self.id, attempt, request)
        expected = request.header("X-Expect-Instance")
        if expected and expected != self.id:
            arrival.status = 421
            self.arrivals.append(arrival)
            writer.write(messages.answer(421, [("X-Instance-Id", self.id)]))
            await writer.drain()
            return True
        self.arrivals.append(arrival)
        self.running += 1
        try:
            return await self.handle(self, arrival, reader, writer)
        finally:
            self.running -= 1

    def load(self):
        return "X-Server-Load", f"{self.running},0,{self.capacity}"

    def head(self, arrival):
        return [("X-Attempt-Id", arrival.attempt),
                ("X-Response-Signature", f"sig-{arrival.attempt}"),
                self.load(), ("Keep-Alive", "timeout=30")]

    async def run(self, arrival, reader, writer):
        """The ordinary conduct: an answer, or a stream of events."""
        await asyncio.sleep(self.work_s)
        arrival.status = 200
        if self.events == 0:
            writer.write(messages.answer(200, self.head(arrival),
                                         b"body of " +
                                         arrival.attempt.encode()))
            await writer.drain()
            return True
        await self.begin_stream(arrival, writer)
        for number in range(1, self.events + 1):
            await self.send_event(writer, number)
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def begin_stream(self, arrival, writer):
        lines = [f"{name}: {value}" for name, value in self.head(arrival)]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) +
                      "\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        await writer.drain()

    async def send_event(self, writer, number):
        event = f"id: {number}\ndata: three tokens\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()


class SteadyEngine(Engine):
    """An engine whose heartbeats leave its entry as it is, so that watches
    report it only once."""

    async def heartbeats(self):
        pass
