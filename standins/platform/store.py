"""Stand-in for the platform's metadata store, with a port for each machine."""
import asyncio
import base64
import dataclasses
import json
import time
import urllib.parse

from . import messages

FIRST_REVISION = 100
# Limits of one page of a list; a single item may exceed the second.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


@dataclasses.dataclass
class Fault:
    """What one machine meets at its port.

    refuse: calls get 503; silent: calls get no answer, on open and on new
    connections; deaf: watches that wait get no answer, other calls do;
    reset: connections are reset.
    """
    kind: str = ""
    delay_s: float = 0.0


class Store:
    def __init__(self, host):
        self.host = host
        self.items = {}
        self.history = []
        self.forgotten = 0
        self.leases = {}
        self.revision = FIRST_REVISION
        self.last_lease = 70000
        self.page_items, self.page_bytes = PAGE_ITEMS, PAGE_BYTES
        # A key after which the next page begins with that key again.
        self.repeated_key = None
        self.changed = asyncio.Event()
        self.faults = {}
        self.connections = {}
        # The prefix that each connection's watch waits for, and connections
        # on which nothing is sent any more.
        self.watching = {}
        self.lost = set()
        self.servers = []
        self.calls = []

    async def listen(self, port):
        async def serve(reader, writer):
            await self.serve(port, reader, writer)
        self.faults[port] = Fault()
        self.connections[port] = set()
        self.servers.append(
            await asyncio.start_server(serve, self.host, port, limit=1 << 22))

    def set_fault(self, port, kind, delay_s=0.0, cut=False):
        """Changes what one machine meets; cut also resets what is open."""
        self.faults[port] = Fault(kind, delay_s)
        if cut or kind == "reset":
            for writer in list(self.connections[port]):
                messages.reset(writer)

    def lose_watches(self, port, prefix):
        """Loses the replies of the watches of a prefix that wait now; nothing
        is sent on their connections any more. Returns their number."""
        lost = {writer for writer, watched in self.watching.items()
                if watched == prefix and writer in self.connections[port]}
        self.lost |= lost
        return len(lost)

    def forget_history(self):
        self.forgotten = self.revision
        self.history = []

    # Items.

    def put(self, key, value, lease=0):
        """Writes an item; returns its revision."""
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "rev": self.revision, "lease": lease,
                "create_revision":
                    old["create_revision"] if old else self.revision}
        self.items[key] = item
        self.note(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "rev": self.revision, "deleted": True})
        return self.revision

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number in [n for n, (_, end) in self.leases.items()
                           if end <= now]:
                self.end_lease(number)

    def end_lease(self, number):
        del self.leases[number]
        for key in [k for k, item in self.items.items()
                    if item["lease"] == number]:
            self.remove(key)

    # Calls.

    async def serve(self, port, reader, writer):
        if self.faults[port].kind == "reset":
            messages.reset(writer)
            return
        self.connections[port].add(writer)
        try:
            while True:
                request = await messages.read_request(reader)
                if request is None:
                    return
                if not await self.answer(port, request, writer):
                    return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections[port].discard(writer)
            self.watching.pop(writer, None)
            self.lost.discard(writer)
            writer.close()

    async def answer(self, port, request, writer):
        path, _, text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        call = path.rsplit("/", 1)[-1] if "kv-keep" not in path else "kv-keep"
        self.calls.append((time.monotonic(), port, call))
        if call == "kv-watch":
            self.watching[writer] = query["prefix"]
            reply = await self.watch(query)
            self.watching.pop(writer, None)
        else:
            reply = None
        fault = self.faults[port]
        if fault.delay_s:
            await asyncio.sleep(fault.delay_s)
            fault = self.faults[port]
        if writer in self.lost or fault.kind == "silent" or (fault.kind == "deaf" and
                                      call == "kv-watch"):
            # A connection on which an answer is lost returns nothing further.
            await asyncio.sleep(3600)
        if fault.kind == "reset":
            messages.reset(writer)
            return False
        if fault.kind == "refuse":
            reply = 503, {}
        elif reply is None:
            reply = self.handle(request.method, path, query, request.body)
        writer.write(messages.json_answer(*reply))
        await writer.drain()
        return True

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.forgotten or after > self.revision:
                return 410, {}
            events = [event for event in self.history if
                      event["rev"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events,
                             "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def handle(self, method, path, query, body):
        name = path.removeprefix("/bronzeward/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            found = {"store_revision": self.revision}
            return (200, {**item, **found}) if item else (404, found)
        if name == "kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if
                          k.startswith(query["prefix"]) and
                          (k > after or k == after == self.repeated_key))
            page = self.page([self.items[key] for key in keys])
            return 200, {"items": page, "has_more": len(keys) > len(page),
                         "store_revision": self.revision}
        if name == "kv-txn":
            return self.commit(json.loads(body))
        if name == "kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        number = int(name.rsplit("/", 1)[-1]) if "/" in name else 0
        if number not in self.leases:
            return 404, {}
        if name.startswith("kv-keep/"):
            ttl, _ = self.leases[number]
            self.leases[number] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if method == "DELETE":
            self.end_lease(number)
        return 200, {}

    def page(self, items):
        """Returns the items of the first page."""
        page, size = [], 0
        for item in items[:self.page_items]:
            size += len(json.dumps(item))
            if page and size > self.page_bytes:
                break
            page.append(item)
        return page

    def commit(self, call):
        rows = call.get("expected_rev", [])
        if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]
               for row in rows):
            return 412, {"items": [self.items[row["key"]] for row in rows
                                   if row["key"] in self.items]}
        writes, removed = call.get("writes", []), call.get("remove", [])
        if any(item.get("lease", 0) and item["lease"] not in self.leases
               for item in writes):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in
               [item["key"] for item in writes] + removed):
            return 403, {}
        for item in writes:
            self.put(item["key"], base64.b64decode(item["value"]),
                     item.get("lease", 0))
        for key in removed:
            self.remove(key)
        return 200, {"rev": self.revision}
