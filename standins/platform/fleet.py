"""Runs bronzeward-fleet as real processes on loopback, beside stand-ins.

Each machine has an address of its own and a port of its own at the store, so
that faults can be set for one machine. The settings are those of
deploy/settings.flags, filled in as the platform does.
"""
import asyncio
import http.client
import json
import os
import pathlib
import re
import resource
import signal
import socket
import subprocess
import tempfile
import threading
import time

from .engine import Engine
from .store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
FRONT_PORT, READY_PORT, PEER_PORT = 18227, 18220, 17340
METRICS_PORT, STORE_PORT, ENGINE_PORT = 19464, 18300, 18080
ZONES = ("zone-a", "zone-b", "zone-c")
PATIENCE_S = 30


def program():
    folder = os.environ.get("BRONZEWARD_BIN", str(ROOT / "build" / "bin"))
    return str(pathlib.Path(folder) / "bronzeward-fleet")


def route(prefix, service, kind="idempotent", attempts=2, timeout_ms=3000,
          objective_ms=300, **more):
    return {"name": f"r-{prefix.strip('/')}", "host": HOST, "prefix": prefix,
            "kind": kind, "timeout_ms": timeout_ms, "service": service,
            "target_latency_ms": objective_ms, "priority": 2,
            "attempts": attempts, "public": False, "session_affinity": False,
            "stream_resume": False, **more}


def service(name, tokens_per_event=0, max_connections=110):
    item = {"name": name, "health_path": "/health", "protocol": "h1",
            "max_connections": max_connections, "tls": False}
    if tokens_per_event:
        item["engine"] = {"capacity": 64, "kv_capacity": 536439,
                          "stride": tokens_per_event,
                          "models": [{"name": "m"}]}
    return item


class Outcome:
    """What a consumer got; status 0 if no whole answer arrived."""

    def __init__(self, status, headers, body, began, ended):
        self.status, self.headers, self.body = status, headers, body
        self.began, self.ended = began, ended

    @property
    def reason(self):
        return self.headers.get("Bronzeward-Reason", "")


class Fleet:
    """Machines, a store and engines.

    `replace` maps names of flags to values that differ from the settings
    file's; `prepare` runs in each new process before the program does.
    """

    def __init__(self, machines=3, memory_mb=110, replace=None, prepare=None,
                 program_path=None):
        self.machines = machines
        self.memory_mb = memory_mb
        self.replace = dict(replace or {})
        self.prepare = prepare
        self.program = program_path or program()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
        self.block = self.free_block()
        self.processes = [None] * machines
        self.version = 6
        self.engines = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()
        self.store = Store(self.ip(200))
        self.spawn_task(self.store.expire())
        for machine in range(machines):
            self.run(self.store.listen(STORE_PORT + machine))

    @staticmethod
    def free_block():
        """Returns the first free block of loopback addresses."""
        for offset in range(250):
            block = f"127.78.{1 + (os.getpid() + offset) % 250}."
            with socket.socket() as probe:
                try:
                    probe.bind((block + "200", STORE_PORT))
                    return block
                except OSError:
                    continue
        raise RuntimeError("no free block of loopback addresses")

    def ip(self, number):
        return self.block + str(number)

    # The stand-ins' loop.

    def run(self, coroutine, timeout=PATIENCE_S):
        """Runs a coroutine in the stand-ins' thread; returns its result."""
        return asyncio.run_coroutine_threadsafe(
            coroutine, self.loop).result(timeout)

    def do(self, function, *arguments):
        """Calls a function in the stand-ins' thread; returns its result."""
        async def call():
            return function(*arguments)
        return self.run(call())

    def spawn_task(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def store_port(self, machine):
        return STORE_PORT + machine

    def store_fault(self, machine, kind, delay_s=0.0, cut=False):
        self.do(self.store.set_fault, self.store_port(machine), kind, delay_s,
                cut)

    def store_fault_for_all(self, kind, delay_s=0.0, cut=False):
        for machine in range(self.machines):
            self.store_fault(machine, kind, delay_s, cut)

    # The operator and the engines.

    def configure(self, routes, services, prepaid=100_000_000, tenants=None):
        """Writes the next desired state; returns the time of its
        acknowledgement."""
        self.version += 1
        state = {"version": self.version, "routes": routes,
                 "services": services,
                 "limits": {"max_header_bytes": 16384,
                            "max_body_bytes": 4194304,
                            "header_timeout_ms": 3000,
                            "idle_timeout_ms": 15000},
                 "tenants": tenants or [{"name": "hule930", "api_keys": [KEY],
                                         "priority": 1, "prepaid": prepaid}]}
        self.do(self.store.put, "op/config", json.dumps(state).encode())
        return time.monotonic()

    def add_engine(self, service_name, kind=Engine, **more):
        """Adds an engine; `kind` is its class."""
        number = len(self.engines)
        engine = kind(self.store, service_name, self.ip(100 + number),
                      ENGINE_PORT, f"{service_name}-{number + 1}", **more)
        self.engines.append(engine)
        self.run(engine.start())
        self.spawn_task(engine.heartbeats())
        return engine

    def arrivals(self):
        """Returns all requests that engines got, in order of arrival."""
        return sorted((item for engine in self.engines
                       for item in list(engine.arrivals)),
                      key=lambda item: item.at)

    # Machines.

    def name(self, machine):
        return f"front-{machine + 1}"

    def settings(self, machine):
        ip = self.ip(machine + 1)
        fields = {"node_name": self.name(machine),
                  "zone": ZONES[machine % 3], "ip": ip,
                  "limits.cpu_share": "0.25",
                  "limits.memory_mb": str(self.memory_mb),
                  "bind.front": f"{ip}:{FRONT_PORT}",
                  "bind.ready": f"{ip}:{READY_PORT}",
                  "internal_ports.0": str(PEER_PORT),
                  "seed_nodes": ",".join(
                      f"{self.ip(n + 1)}:{PEER_PORT}"
                      for n in range(min(3, self.machines))),
                  "platform.address":
                      f"{self.store.host}:{self.store_port(machine)}",
                  "bounds.budget_ratio": "0.2", "bounds.budget_extra": "54",
                  "bounds.budget_window_s": "10"}
        text = (ROOT / "deploy" / "settings.flags").read_text()
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: fields.get(m[1], ""), text)
        # All machines of this fleet share one host.
        replace = {"metrics_listen": f"{ip}:{METRICS_PORT}", **self.replace}
        for flag, value in replace.items():
            text = re.sub(rf"(?m)^--{flag}=.*\n", "", text)
            text += f"--{flag}={value}\n"
        return text

    def spawn(self, machine):
        """Starts the process of a machine."""
        path = self.folder / f"{self.name(machine)}.flags"
        path.write_text(self.settings(machine))
        log = (self.folder / f"{self.name(machine)}.log").open("ab")
        self.processes[machine] = subprocess.Popen(
            [self.program], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": "/usr/bin:/bin", "BRONZEWARD_SETTINGS": str(path)},
            preexec_fn=self.prepare)
        log.close()
        return self.processes[machine]

    def start(self):
        """Starts all machines and waits until they are ready and know each
        other."""
        for machine in range(self.machines):
            self.spawn(machine)
        for machine in range(self.machines):
            self.await_ready(machine)
        time.sleep(2)

    def ready(self, machine):
        connection = http.client.HTTPConnection(self.ip(machine + 1),
                                                READY_PORT, timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def await_ready(self, machine, patience_s=PATIENCE_S):
        """Returns the seconds that it took; raises if it takes too long."""
        began = time.monotonic()
        while not self.ready(machine):
            if time.monotonic() - began > patience_s:
                raise RuntimeError(f"{self.name(machine)} is not ready:\n"
                                   + self.log(machine)[-2000:])
            time.sleep(0.05)
        return time.monotonic() - began

    def exit_code(self, machine):
        process = self.processes[machine]
        return None if process is None else process.poll()

    def signal(self, machine, number):
        if self.exit_code(machine) is None:
            self.processes[machine].send_signal(number)

    def await_signal_handling(self, machine):
        """Waits until a process no longer ends by a reload signal."""
        bit = 1 << (signal.SIGHUP - 1)
        status = pathlib.Path(f"/proc/{self.processes[machine].pid}/status")
        while self.exit_code(machine) is None:
            masks = re.findall(r"Sig(?:Blk|Cgt|Ign):\s+(\w+)",
                               status.read_text())
            if any(int(mask, 16) & bit for mask in masks):
                return
            time.sleep(0.0005)

    def kill(self, machine):
        self.signal(machine, signal.SIGKILL)
        self.processes[machine].wait()

    def log(self, machine):
        return (self.folder / f"{self.name(machine)}.log").read_text()

    def events(self, machine, event=""):
        """Returns the structured log lines of a machine."""
        found = []
        for line in self.log(machine).splitlines():
            try:
                item = json.loads(line)
            except ValueError:
                continue
            if not event or item.get("event") == event:
                found.append(item)
        return found

    def memory_mb_of(self, machine, field="VmHWM"):
        text = pathlib.Path(
            f"/proc/{self.processes[machine].pid}/status").read_text()
        return int(re.search(rf"{field}:\s+(\d+)", text)[1]) / 1024

    # Consumers.

    def request(self, machine, target, attempt, method="GET", body=None,
                deadline_ms=3000, connection=None, **headers):
        """Sends one request; never raises for what the answer is."""
        own = connection is None
        if own:
            connection = http.client.HTTPConnection(
                self.ip(machine + 1), FRONT_PORT,
                timeout=deadline_ms / 1000 + 1)
        fields = {"Host": HOST, "X-Attempt-Id": attempt,
                  "X-Deadline-Ms": str(deadline_ms),
                  "Authorization": f"Bearer {KEY}"}
        fields.update({name.replace("_", "-"): value
                       for name, value in headers.items()})
        began = time.monotonic()
        try:
            connection.request(method, target, body, fields)
            answer = connection.getresponse()
            text = answer.read()
            return Outcome(answer.status, answer.headers, text, began,
                           time.monotonic())
        except (OSError, http.client.HTTPException):
            return Outcome(0, {}, b"", began, time.monotonic())
        finally:
            if own:
                connection.close()

    # The end.

    def stop(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for engine in self.engines:
            if engine.server is not None:
                self.do(engine.server.close)
        for server in self.store.servers:
            self.do(server.close)
        self.run(self.cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(PATIENCE_S)

    async def cancel_tasks(self):
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def limit_address_space(megabytes):
    """Returns a function for `prepare` that bounds the address space."""
    def apply():
        size = int(megabytes * 1024 * 1024)
        resource.setrlimit(resource.RLIMIT_AS, (size, size))
    return apply
