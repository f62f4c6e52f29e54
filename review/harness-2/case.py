"""What the scripts of cases have in common: a fleet of the deploy file's
program beside the project's stand-ins, consumers with kept channels, and the
record of what was sent, answered and run."""
import asyncio
import base64
import http.client
import json
import os
import pathlib
import select
import socket
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT))
os.environ.setdefault("BRONZEWARD_BIN", str(ROOT / "target" / "bin"))
from standins.platform import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# An answer of the platform's store takes 4 ms.
STORE_ANSWER_S = 0.004
# To a consumer and back: 3 ms one way.
ROUND_TRIP_S = 0.01
PIECE_BYTES = 65536
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt beside the script."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.note("with the disruption" if TROUBLE
                  else "without the disruption")

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
        self.file.flush()


class Channel:
    """A consumer's channel that is kept between requests."""

    def __init__(self, machines, machine, timeout_s=4.0):
        self.machine = machine
        self.connection = http.client.HTTPConnection(
            machines.ip(machine + 1), fleet.FRONT_PORT, timeout=timeout_s)
        self.connection.connect()
        # A channel that has ended is not opened again.
        self.connection.auto_open = 0

    def request(self, target, attempt, method="GET", body=None,
                deadline_ms=3000, **headers):
        fields = {"Host": fleet.HOST, "X-Attempt-Id": attempt,
                  "X-Deadline-Ms": str(deadline_ms),
                  "Authorization": f"Bearer {fleet.KEY}"}
        fields.update({name.replace("_", "-"): value
                       for name, value in headers.items()})
        try:
            self.connection.request(method, target, body, fields)
            answer = self.connection.getresponse()
            text = answer.read()
            return Answer(answer.status, answer.headers, text)
        except (OSError, http.client.HTTPException) as problem:
            return Answer(0, {}, str(problem).encode())

    def post_in_pieces(self, target, attempt, body, deadline_ms=3000):
        """Sends a body in pieces, as long as no answer has begun."""
        try:
            self.connection.putrequest("POST", target, skip_host=True,
                                       skip_accept_encoding=True)
            for name, value in (("Host", fleet.HOST),
                                ("X-Attempt-Id", attempt),
                                ("X-Deadline-Ms", str(deadline_ms)),
                                ("Authorization", f"Bearer {fleet.KEY}"),
                                ("Content-Length", str(len(body)))):
                self.connection.putheader(name, value)
            self.connection.endheaders()
            wait_s = ROUND_TRIP_S
            for begin in range(0, len(body), PIECE_BYTES):
                if select.select([self.connection.sock], [], [], wait_s)[0]:
                    break
                wait_s = 0
                self.connection.send(body[begin:begin + PIECE_BYTES])
            answer = self.connection.getresponse()
            text = answer.read()
            return Answer(answer.status, answer.headers, text)
        except (OSError, http.client.HTTPException) as problem:
            return Answer(0, {}, str(problem).encode())

    def close(self):
        self.connection.close()


class Answer:
    """What a consumer got; status 0 if no whole answer arrived."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    @property
    def signed(self):
        return "X-Response-Signature" in self.headers

    @property
    def denied(self):
        """Whether it is a refusal that counts for DENIED."""
        return (300 <= self.status < 500 and not self.signed and
                self.status not in (408, 421, 429))

    def __str__(self):
        if self.status == 0:
            return "no whole answer"
        reason = self.headers.get("Bronzeward-Reason", "")
        return f"{self.status} {reason}".strip()


def play(folder, run):
    """Runs `run(record)`, which returns a verdict, and ends with it."""
    record = Record(folder)
    try:
        verdict = run(record)
    except Exception as problem:  # pylint: disable=broad-except
        record.note(f"the case could not run: {problem!r}")
        verdict = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken",
             NOT_RUN: "not run"}
    record.note(words[verdict])
    print(words[verdict])
    sys.exit(verdict)
