"""Callers on raw sockets: they stay, leave, send early or repeat."""
import dataclasses
import json
import random
import socket
import struct
import threading
import time

PATIENCE_S = 20
LONGEST = 64


class Broken(Exception):
    """The connection ended before the whole answer."""


@dataclasses.dataclass
class Attempt:
    """One request of a caller and what the caller saw of it."""
    key: str
    router: int
    kind: str
    tokens: int = 0
    workspace: str = "khan"
    sent: float = 0.0
    ended: float = 0.0
    # How the caller left, and when its close was done.
    leave: str = ""
    closed: float = 0.0
    outcome: str = "unsent"
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: str = ""
    # Sent before the answer to the request ahead of it.
    early: bool = False

    @property
    def request(self):
        return self.headers.get("x-request-id", "")

    def encode(self, keys):
        head = {"Authorization": "Bearer " + keys[self.workspace],
                "Idempotency-Key": self.key, "Host": "fleet"}
        if self.kind == "call":
            path, body = "/ledger/charge", json.dumps({"for": self.key})
        else:
            path = "/v1/chat/completions"
            head["Content-Type"] = "application/json"
            body = json.dumps({
                "model": "draft-large", "stream": self.kind == "stream",
                "max_tokens": self.tokens, "messages": [
                    {"role": "user", "content": f"{self.key} wants text"}]})
        head["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {text}\r\n" for name, text in head.items())
        return f"POST {path} HTTP/1.1\r\n{lines}\r\n{body}".encode()


class Connection:
    """One kept connection and a reader of its answers."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), 5)
        self.socket.settimeout(PATIENCE_S)
        self.data = b""

    def send(self, data):
        self.socket.sendall(data)

    def close(self, reset=False):
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   struct.pack("ii", 1, 0))
        self.socket.close()

    def more(self):
        piece = self.socket.recv(65536)
        if not piece:
            raise Broken()
        self.data += piece

    def until(self, mark):
        while mark not in self.data:
            self.more()
        found, self.data = self.data.split(mark, 1)
        return found

    def exactly(self, count):
        while len(self.data) < count:
            self.more()
        found, self.data = self.data[:count], self.data[count:]
        return found

    def head(self, attempt):
        lines = self.until(b"\r\n\r\n").decode().split("\r\n")
        attempt.status = int(lines[0].split()[1])
        attempt.headers = {
            name.lower(): text.strip() for name, text in
            (line.split(":", 1) for line in lines[1:])}

    def answer(self, attempt, events=None):
        """Reads one answer, or its first events if a number is given."""
        self.head(attempt)
        if "chunked" not in attempt.headers.get("transfer-encoding", ""):
            length = int(attempt.headers.get("content-length", "0"))
            attempt.body = self.exactly(length).decode()
            return
        while events is None or attempt.body.count("data:") < events:
            length = int(self.until(b"\r\n"), 16)
            attempt.body += self.exactly(length).decode()
            self.exactly(2)
            if length == 0:
                return


def judge(attempt):
    """Names the outcome of an answer that came to its end."""
    if attempt.status >= 400:
        reason = attempt.headers.get("bronzeward-outcome", "unknown")
        attempt.outcome = reason
    elif attempt.kind != "stream" or "data: [DONE]\n\n" in attempt.body:
        attempt.outcome = "complete"
    else:
        attempt.outcome = "ended-early"


class Caller(threading.Thread):
    """One thread that draws what to do from its own generator."""
    LEAVES = ["partial", "at-once", "after", "mid", "gap"]

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.name = f"c{number}"
        self.random = random.Random(f"{soak.seed}/caller/{number}")
        self.kept = {}
        self.made = 0

    def run(self):
        while not self.soak.ending.is_set():
            self.once()
            time.sleep(self.random.uniform(0, 0.05))
        for connection in self.kept.values():
            connection.close()

    def draw(self):
        self.made += 1
        kind = self.random.choices(["stream", "model", "call"], [6, 2, 2])[0]
        workspace = "poor" if self.random.random() < 0.1 else "khan"
        return Attempt(f"s{self.soak.seed}-{self.name}-{self.made}",
                       self.random.randrange(3), kind,
                       self.random.randint(4, LONGEST), workspace)

    def connection(self, router):
        if router not in self.kept:
            self.kept[router] = Connection(self.soak.fleet.callers[router])
        return self.kept[router]

    def drop(self, router, reset=False):
        connection = self.kept.pop(router, None)
        if connection:
            connection.close(reset)

    def once(self):
        attempt = self.draw()
        what = self.random.random()
        if what < 0.3:
            attempt.leave = self.random.choice(self.LEAVES)
            self.leave(attempt)
            if self.random.random() < 0.2:
                self.repeat(attempt)
        elif what < 0.4:
            self.early(attempt)
        else:
            self.stay([attempt])
            if attempt.outcome != "complete" and self.random.random() < 0.4:
                self.repeat(attempt)

    def repeat(self, attempt):
        self.stay([dataclasses.replace(
            attempt, router=(attempt.router + 1) % 3, outcome="unsent",
            headers={}, body="", status=0, leave="", ended=0.0,
            closed=0.0)])

    def early(self, attempt):
        following = self.draw()
        following.router = attempt.router
        following.early = True
        self.stay([attempt, following])

    def stay(self, attempts):
        """Sends all requests at once and reads their answers in turn."""
        router = attempts[0].router
        self.soak.attempts.extend(attempts)
        try:
            connection = self.connection(router)
            for attempt in attempts:
                attempt.sent = time.monotonic()
                attempt.outcome = "cut"
                connection.send(attempt.encode(self.soak.fleet.keys))
            for attempt in attempts:
                connection.answer(attempt)
                judge(attempt)
                attempt.ended = time.monotonic()
            if attempts[-1].headers.get("connection", "") == "close":
                self.drop(router)
        except socket.timeout:
            self.end(attempts, "silent")
            self.drop(router)
        except (OSError, Broken):
            self.end(attempts, None)
            self.drop(router)

    @staticmethod
    def end(attempts, outcome):
        for attempt in attempts:
            if not attempt.ended:
                attempt.ended = time.monotonic()
                attempt.outcome = outcome or attempt.outcome

    def leave(self, attempt):
        self.soak.attempts.append(attempt)
        try:
            connection = self.connection(attempt.router)
            data = attempt.encode(self.soak.fleet.keys)
            if attempt.leave == "partial":
                data = data[:self.random.randrange(1, len(data))]
            attempt.sent = time.monotonic()
            attempt.outcome = "left"
            connection.send(data)
            self.linger(connection, attempt)
        except (OSError, Broken):
            attempt.outcome = "cut"
        self.drop(attempt.router, self.random.random() < 0.5)
        attempt.closed = attempt.ended = time.monotonic()

    def linger(self, connection, attempt):
        if attempt.leave == "after":
            time.sleep(self.random.uniform(0, 0.05))
        elif attempt.leave == "gap":
            time.sleep(self.random.uniform(0.1, 0.6))
        elif attempt.leave == "mid":
            connection.socket.settimeout(self.random.uniform(0.05, 1.0))
            try:
                connection.answer(attempt, self.random.randint(1, 8))
            except socket.timeout:
                pass


class Impatient(threading.Thread):
    """Connects anew to one router and gives up after 0.2 s, until told."""

    def __init__(self, soak, router, number, until):
        super().__init__(daemon=True)
        self.soak = soak
        self.router = router
        self.name = f"i{number}"
        self.until = until

    def run(self):
        made = 0
        while time.monotonic() < self.until:
            made += 1
            self.once(Attempt(
                f"s{self.soak.seed}-{self.name}-{made}", self.router,
                "stream", LONGEST, leave="impatient"))

    def once(self, attempt):
        self.soak.attempts.append(attempt)
        give_up = time.monotonic() + 0.2
        connection = None
        try:
            connection = Connection(self.soak.fleet.callers[self.router])
            attempt.sent = time.monotonic()
            attempt.outcome = "left"
            connection.send(attempt.encode(self.soak.fleet.keys))
            connection.socket.settimeout(
                max(0.001, give_up - time.monotonic()))
            connection.head(attempt)
        except (OSError, Broken):
            pass
        time.sleep(max(0.0, give_up - time.monotonic()))
        if connection:
            connection.close()
        attempt.closed = attempt.ended = time.monotonic()
