"""Streams that consumers take up again are refused once the instances that
knew their engines' version have restarted one after the other."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-2"))
import case  # noqa: E402
from case import fleet  # noqa: E402
from standins.platform.engine import Engine  # noqa: E402

MACHINES = 3
LAST = 2
STREAMS = 24
EVENTS, GAP_S = 80, 0.15
DEADLINE_MS = 15_000
RESTART_S = 0.5
CONTACT_S = 3.0
# As many take-ups at least count for the rule.
COUNTED = 12
SIZE = {"X_Model": "m", "X_Token_Count": "1460,240",
        "X_Prompt_Prefix": "5c1e07a2:800,91bd3f06:410"}


class VersionedEngine(Engine):
    """An engine of one version of its software, which goes on with a stream
    behind the last event that it is told."""

    def __init__(self, *arguments, version="v1", **more):
        super().__init__(*arguments, **more)
        self.version = version
        self.handle = VersionedEngine.stream

    def announce(self):
        put = self.store.put
        self.store.put = lambda key, value, lease=0: put(
            key, value.replace(b'"version": "v1"',
                               b'"version": "%s"' % self.version.encode()),
            lease)
        try:
            return super().announce()
        finally:
            self.store.put = put

    async def stream(self, arrival, reader, writer):
        arrival.status = 200
        await self.begin_stream(arrival, writer)
        first = int(arrival.request.header("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await case.asyncio.sleep(GAP_S)
            await self.send_event(writer, number)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Stream(threading.Thread):
    """One consumer attempt; reads events until the answer ends or breaks."""

    def __init__(self, machines, machine, attempt, first=None, **headers):
        super().__init__(daemon=True)
        self.machines, self.machine, self.attempt = machines, machine, attempt
        self.headers = headers
        # A consumer's tries share the time that it waits.
        self.until = first.until if first else (time.monotonic() +
                                                DEADLINE_MS / 1000)
        self.status, self.reason, self.last = 0, "", 0
        self.channel = None
        self.start()

    def run(self):
        try:
            self.channel = case.Channel(self.machines, self.machine, 20)
            connection = self.channel.connection
            fields = {"Host": fleet.HOST, "X-Attempt-Id": self.attempt,
                      "X-Deadline-Ms":
                          str(int(1000 * (self.until - time.monotonic()))),
                      "Authorization": f"Bearer {fleet.KEY}"}
            fields.update({name.replace("_", "-"): value for name, value in
                           {**SIZE, **self.headers}.items()})
            connection.request("POST", "/chat/" + self.attempt, b"x" * 100,
                               fields)
            answer = connection.getresponse()
            self.status = answer.status
            self.reason = answer.headers.get("Bronzeward-Reason", "")
            while line := answer.readline():
                if line.startswith(b"id: "):
                    self.last = int(line[4:])
        except (OSError, case.http.client.HTTPException, ValueError):
            pass

    @property
    def going(self):
        return self.status == 200 and self.last > 0

    def leave(self):
        """Breaks the channel, as a consumer whose network fails."""
        sock = self.channel.connection.sock
        if sock is not None:
            sock.shutdown(case.socket.SHUT_RDWR)


def kill_and_start(machines, record, chosen):
    for machine in chosen:
        machines.kill(machine)
        record.note(f"{machines.name(machine)}: SIGKILL")
    time.sleep(RESTART_S)
    for machine in chosen:
        machines.spawn(machine)
    for machine in chosen:
        machines.await_ready(machine)
        record.note(f"{machines.name(machine)} is ready again")


def share(streams):
    return sum(stream.going for stream in streams) / len(streams)


def run(record):
    machines = fleet.Fleet(machines=MACHINES)
    try:
        machines.store_fault_for_all("", delay_s=case.STORE_ANSWER_S)
        machines.configure(
            [fleet.route("/chat/", "scribe", kind="streaming", attempts=2,
                         timeout_ms=DEADLINE_MS, objective_ms=500,
                         stream_resume=True)],
            [fleet.service("scribe", tokens_per_event=3)])
        engines = [machines.add_engine("scribe", kind=VersionedEngine,
                                       version=version)
                   for version in ("v1", "v2", "v1", "v2")]
        machines.start()
        time.sleep(CONTACT_S)
        streams = [Stream(machines, LAST, f"first{n}") for n in range(STREAMS)]
        time.sleep(1.0)
        record.note(f"{sum(s.going for s in streams)} of {STREAMS} streams "
                    f"have begun at {machines.name(LAST)}")
        others = [m for m in range(MACHINES) if m != LAST]
        if case.TROUBLE:
            kill_and_start(machines, record, others)
        else:
            time.sleep(RESTART_S)
        time.sleep(CONTACT_S + 0.3)
        record.note("the other machines have run for over contact_ms")
        if case.TROUBLE:
            machines.kill(LAST)
            record.note(f"{machines.name(LAST)}: SIGKILL")
        else:
            for stream in streams:
                stream.leave()
            record.note("the consumers' channels break")
        for stream in streams:
            stream.join(5)
        served_by = {a.attempt: a.engine for a in machines.arrivals()}
        taken_up = [Stream(machines, others[n % len(others)], f"again{n}",
                           first=stream, Last_Event_Id=str(stream.last),
                           Resumes=stream.attempt)
                    for n, stream in enumerate(streams) if stream.last > 0]
        fresh = [Stream(machines, others[n % len(others)], f"fresh{n}")
                 for n in range(STREAMS)]
        time.sleep(2.5)
        for stream in taken_up:
            old = streams[int(stream.attempt.removeprefix("again"))]
            record.note(
                f"{stream.attempt}: {old.attempt} ran at "
                f"{served_by.get(old.attempt)} up to event {old.last}, taken "
                f"up at {machines.name(stream.machine)}: {stream.status} "
                f"{stream.reason}, event {stream.last}")
        for stream in fresh:
            record.note(f"{stream.attempt}: new stream at "
                        f"{machines.name(stream.machine)}: {stream.status} "
                        f"{stream.reason}")
        record.note("engines that serve: " + ", ".join(
            f"{e.id} {e.version}" for e in engines if e.server is not None))
        record.note(f"{len(taken_up)} streams were taken up, "
                    f"{share(taken_up):.2f} went on; {share(fresh):.2f} of "
                    "the new streams began")
        if len(taken_up) < COUNTED or share(fresh) == 0:
            return case.NOT_RUN
        broken = share(taken_up) < share(fresh) / 2
        return case.BROKEN if broken else case.HELD
    finally:
        machines.stop()


case.play(HERE, run)
