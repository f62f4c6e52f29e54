"""Starts a small fleet on loopback: stand-ins, routers and their links."""
import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PATIENCE_S = 60


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def wait_until(what, condition):
    deadline = time.monotonic() + PATIENCE_S
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise RuntimeError("gave up waiting until " + what)


class Reply:
    """One whole HTTP answer, or what came of it before it broke off."""

    def __init__(self, status, headers, body, broken):
        self.status = status
        self.headers = headers
        self.body = body
        self.broken = broken

    @property
    def outcome(self):
        if "Bronzeward-Outcome" in self.headers:
            return self.headers["Bronzeward-Outcome"]
        return "ran" if self.whole else "unknown"

    @property
    def reason(self):
        return self.headers.get("Bronzeward-Reason", "")

    @property
    def whole(self):
        if self.broken or self.status is None or self.status >= 400:
            return False
        if "text/event-stream" in self.headers.get("Content-Type", ""):
            return "data: [DONE]" in self.body
        return True


class Stream:
    """An HTTP request whose answer is read piece by piece."""

    def __init__(self, port, method, path, headers, body):
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=PATIENCE_S)
        self.connection.request(method, path, body, headers)
        self.response = self.connection.getresponse()
        self.text = ""

    def read_until(self, mark):
        while mark not in self.text:
            piece = self.response.read1(4096)
            if not piece:
                return False
            self.text += piece.decode()
        return True

    def finish(self):
        broken = False
        try:
            self.text += self.response.read().decode()
        except (http.client.HTTPException, OSError):
            broken = True
        self.connection.close()
        return Reply(self.response.status, dict(self.response.getheaders()),
                     self.text, broken)


class Fleet:
    """The processes, their ports and calls to them."""

    def __init__(self, routers=3, engines=2, keep=False, engine_flags=(),
                 router_flags=(), policy="", linked=False):
        self.bin = pathlib.Path(
            os.environ.get("BRONZEWARD_BIN", ROOT / "build" / "bin"))
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="bronzeward-"))
        self.processes = {}
        self.keep = keep
        self.router_names = [f"router-{i + 1}" for i in range(routers)]
        self.domains = ["ub-1", "ub-2", "ub-3"]
        ports = iter(free_ports(6 * routers + 2 * engines + 5))
        self.control_store = next(ports)
        self.store_admin = next(ports)
        self.relay_admin = next(ports)
        self.store_ports = [next(ports) for _ in range(routers)]
        self.callers = [next(ports) for _ in range(routers)]
        self.operators = [next(ports) for _ in range(routers)]
        self.peers = [next(ports) for _ in range(routers)]
        self.links = [next(ports) for _ in range(routers)]
        self.engines = [next(ports) for _ in range(engines)]
        self.plain = next(ports)
        # Routers reach linked upstreams through the relay.
        self.linked = linked
        self.upstream_links = [next(ports) for _ in range(engines + 1)]
        self.engine_flags = list(engine_flags)
        self.router_flags = list(router_flags)
        self.policy = policy
        self.keys = {"khan": "khan-key", "poor": "poor-key"}

    # Processes.

    def spawn(self, name, program, *flags):
        with open(self.work / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(self.bin / program), *flags], stdout=log, stderr=log,
                start_new_session=True)

    def start(self):
        self.spawn("store", "bronzeward-standin-store",
                   "--ports=" + ",".join(
                       map(str, [self.control_store, *self.store_ports])),
                   f"--control_port={self.store_admin}")
        self.spawn("relay", "bronzeward-standin-relay",
                   "--links=" + ",".join(
                       f"{a}={b}" for a, b in zip(
                           self.links + self.upstream_links,
                           self.peers + self.engines + [self.plain])),
                   f"--control_port={self.relay_admin}")
        for index in range(len(self.engines)):
            self.start_engine(index)
        self.spawn("plain", "bronzeward-standin-plain",
                   f"--listen=127.0.0.1:{self.plain}",
                   f"--history={self.work / 'plain.history'}")
        for port in [self.store_admin, self.plain, *self.engines]:
            wait_until(f"port {port} answers",
                       lambda p=port: self.get(p, "/load").status)
        self.apply()
        for index in range(len(self.router_names)):
            self.start_router(index)
        self.wait_ready()

    def start_engine(self, index):
        name = f"engine-{index + 1}"
        self.spawn(name, "bronzeward-standin-engine",
                   f"--listen=127.0.0.1:{self.engines[index]}",
                   f"--history={self.work / name}.history",
                   *self.engine_flags)

    def start_router(self, index):
        self.spawn(self.router_names[index], "bronzeward",
                   f"--instance={self.router_names[index]}",
                   f"--failure_domain={self.domains[index % 3]}",
                   f"--listen=127.0.0.1:{self.callers[index]}",
                   f"--operator_listen=127.0.0.1:{self.operators[index]}",
                   f"--peer_listen=127.0.0.1:{self.peers[index]}",
                   f"--peer_advertise=127.0.0.1:{self.links[index]}",
                   f"--store=127.0.0.1:{self.store_ports[index]}",
                   *self.router_flags)

    def wait_ready(self, indices=None):
        indices = range(len(self.router_names)) if indices is None else indices
        for index in indices:
            wait_until(
                f"{self.router_names[index]} is ready",
                lambda i=index: self.get(self.operators[i],
                                         "/readyz").status == 200)
        count = sum(1 for i in range(len(self.router_names))
                    if self.running(self.router_names[i]))
        for index in indices:
            wait_until(
                "all instances see each other",
                lambda i=index: len(self.status(i)["members"]) == count)

    def running(self, name):
        return name in self.processes and self.processes[name].poll() is None

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self):
        if self.keep:
            return
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    # Configuration and operators.

    def text(self):
        def digest(key):
            return hashlib.sha256(key.encode()).hexdigest()
        parts = ['[deployment]\nname = "demo"\n', self.policy, """
[[service]]
name = "draft"
kind = "model"
models = ["draft-large"]
price = { input_token = 2, cached_token = 1, output_token = 6 }
max_output_tokens = 64

[[service]]
name = "ledger"
kind = "plain"
route = "/ledger"
price = { call = 500 }
"""]
        reached = self.upstream_links if self.linked else [
            *self.engines, self.plain]
        for index, port in enumerate(reached[:-1]):
            parts.append(f"""
[[upstream]]
name = "engine-{index + 1}"
service = "draft"
address = "127.0.0.1:{port}"
failure_domain = "{self.domains[index % 3]}"
""")
        parts.append(f"""
[[upstream]]
name = "ledger-1"
service = "ledger"
address = "127.0.0.1:{reached[-1]}"
failure_domain = "ub-3"
""")
        for name, key in self.keys.items():
            parts.append(f"""
[[workspace]]
name = "{name}"
key_sha256 = ["{digest(key)}"]
""")
        return "".join(parts)

    def ctl(self, *arguments, check=True):
        run = subprocess.run(
            [str(self.bin / "bronzewardctl"),
             f"--store=127.0.0.1:{self.control_store}", *arguments],
            capture_output=True, text=True)
        if check and run.returncode != 0:
            raise RuntimeError(f"bronzewardctl {arguments}: {run.stderr}")
        return run

    def apply(self):
        path = self.work / "services.toml"
        path.write_text(self.text())
        self.ctl("apply", str(path))

    def accounts(self):
        lines = self.ctl("account", "--verify", "--output=json").stdout
        found = [json.loads(line) for line in lines.splitlines()]
        return {item["workspace"]: item for item in found}

    # HTTP.

    def get(self, port, path, method="GET"):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        connection.request(method, path)
        response = connection.getresponse()
        body = response.read().decode()
        connection.close()
        return Reply(response.status, dict(response.getheaders()), body, False)

    def status(self, index):
        return json.loads(self.get(self.operators[index], "/status").body)

    def faults(self, **switches):
        query = "&".join(f"{name}={value}" for name, value in switches.items())
        self.get(self.store_admin, "/faults?" + query)

    def cut_peers(self, index, cut):
        word = "cut" if cut else "heal"
        self.get(self.relay_admin, f"/{word}/{self.links[index]}")

    def link(self, switch, port):
        self.get(self.relay_admin, f"/{switch}/{port}")

    def open(self, index, prompt, workspace="khan", key=None, tokens=16,
             stream=True):
        headers = {"Authorization": "Bearer " + self.keys[workspace],
                   "Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        body = json.dumps({
            "model": "draft-large", "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}]})
        return Stream(self.callers[index], "POST", "/v1/chat/completions",
                      headers, body)

    def complete(self, index, prompt, **options):
        try:
            return self.open(index, prompt, **options).finish()
        except (OSError, http.client.HTTPException):
            return Reply(None, {}, "", True)

    def call(self, index, key, body="{}", workspace="khan"):
        headers = {"Authorization": "Bearer " + self.keys[workspace]}
        if key:
            headers["Idempotency-Key"] = key
        try:
            return Stream(self.callers[index], "POST", "/ledger/charge",
                          headers, body).finish()
        except (OSError, http.client.HTTPException):
            return Reply(None, {}, "", True)

    def executions(self):
        return json.loads(self.get(self.plain, "/executions").body)
