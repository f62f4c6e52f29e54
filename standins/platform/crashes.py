"""Engines that a certain request crashes, and callers that repeat it."""
import asyncio
import random
import threading
import time
import zlib

from . import messages
from .engine import HEARTBEAT_S, SILENT_HEARTBEATS, Engine

REMOVAL_S = SILENT_HEARTBEATS * HEARTBEAT_S


class DeadlyContent:
    """Crashes each engine that begins to run a request with `word` in its
    target; `handle` is for Engine.

    `how` is "reset" (connections are reset, new ones refused), "closed" (they
    are closed in order), "silent" (nothing more is heard on any), or "hanging"
    (they are reset, new ones are accepted and never answered). The engine is
    back after `down_s`, under a new id.
    """

    def __init__(self, word, how="reset", down_s=3.0, delay_s=0.0,
                 in_event=False):
        self.word, self.how, self.down_s = word, how, down_s
        self.delay_s, self.in_event = delay_s, in_event
        self.runs = []
        self.crashes = []

    async def handle(self, engine, arrival, reader, writer):
        if self.word not in arrival.request.target:
            return await Engine.run(engine, arrival, reader, writer)
        self.runs.append(time.monotonic())
        if self.in_event:
            await engine.begin_stream(arrival, writer)
            await engine.send_event(writer, 1)
            writer.write(b"20\r\nid: 2\ndata: thr")
            await writer.drain()
        await asyncio.sleep(self.delay_s)
        if engine.server is None:
            return False
        self.crashes.append(time.monotonic())
        if self.how == "reset":
            await engine.crash(self.down_s)
        else:
            await self.end(engine)
        return False

    async def end(self, engine):
        """Ends an engine in another way than by resets and refusals."""
        engine.server.close()
        engine.server = None
        loop = asyncio.get_running_loop()
        loop.call_later(REMOVAL_S, engine.store.remove,
                        f"servers/{engine.id}")
        mute = None
        if self.how == "hanging":
            for writer in list(engine.writers):
                messages.reset(writer)
        elif self.how == "closed":
            for writer in list(engine.writers):
                writer.close()
        if self.how in ("hanging", "silent"):
            mute = await asyncio.start_server(
                never_answer, engine.host, engine.port, reuse_address=True)
        await asyncio.sleep(self.down_s)
        if mute is not None:
            mute.close()
        for writer in list(engine.writers):
            messages.reset(writer)
        await asyncio.sleep(0.01)
        await engine.start()

    def late_runs(self, contact_s, crashes=3):
        """Returns the runs later than `contact_s` after the third crash."""
        if len(self.crashes) < crashes:
            return []
        limit = sorted(self.crashes)[crashes - 1] + contact_s
        return [at for at in self.runs if at > limit]


async def never_answer(reader, writer):
    try:
        await reader.read(-1)
    except OSError:
        pass
    finally:
        writer.close()


class RepeatingCallers:
    """Callers that send one request again and again.

    Each sends it up to `tries` times at once, each time at another machine,
    until an answer forbids that, then waits `gap_s`.
    """

    def __init__(self, fleet, target, callers=1, tries=1, gap_s=1.0, seed=1,
                 deadline_ms=3000, method="GET", body=None, **headers):
        self.fleet, self.target, self.tries = fleet, target, tries
        self.gap_s, self.seed, self.deadline_ms = gap_s, seed, deadline_ms
        self.method, self.body, self.headers = method, body, headers
        self.ending = threading.Event()
        self.outcomes = []
        self.threads = [threading.Thread(target=self.send, args=(number,),
                                         daemon=True)
                        for number in range(callers)]
        for thread in self.threads:
            thread.start()

    def send(self, number):
        draw = random.Random(f"{self.target}/{self.seed}/{number}")
        sent = 0
        while not self.ending.is_set():
            order = draw.sample(range(self.fleet.machines),
                                self.fleet.machines)
            for attempt in range(self.tries):
                sent += 1
                outcome = self.fleet.request(
                    order[attempt % len(order)], self.target,
                    f"{zlib.crc32(self.target.encode()):x}n{number}a{sent:x}",
                    self.method, self.body, self.deadline_ms, **self.headers)
                self.outcomes.append(outcome)
                if 200 <= outcome.status < 500:
                    break
            self.ending.wait(self.gap_s)

    def stop(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()
