"""The promises, checked against what callers saw and upstreams wrote down."""
import collections
import dataclasses
import json
import re

GRACE_S = 0.5
EXCUSE_S = 3.0
FEW = 3
TOKEN_S = 0.025
CALL_PRICE = 500
ROUTER_FAULTS = {"stop", "kill", "freeze"}


@dataclasses.dataclass
class Run:
    """One execution, as its upstream wrote it down."""
    upstream: str
    key: str
    arrived: float
    began: float = 0.0
    ended: float = 0.0
    cancelled: float = 0.0


def read_runs(path, upstream):
    runs = {}
    for line in path.read_text().splitlines():
        step, micros, name, key = line.split(" ")
        moment = int(micros) / 1e6
        if step == "arrived":
            runs[name] = Run(upstream, key, moment)
        elif name in runs:
            setattr(runs[name], step, moment)
    return list(runs.values())


class Checks:
    def __init__(self, soak):
        self.soak = soak
        self.faults = soak.faults
        self.attempts = [a for a in soak.attempts if a.outcome != "unsent"]
        self.by_key = collections.defaultdict(list)
        for attempt in self.attempts:
            self.by_key[attempt.key].append(attempt)
        self.runs = collections.defaultdict(list)
        for upstream in soak.upstreams:
            path = soak.fleet.work / f"{upstream}.history"
            for run in read_runs(path, upstream):
                self.runs[run.key].append(run)
        self.found = []
        self.figures = {}

    def all(self):
        self.streams()
        self.departures(False)
        self.departures(True)
        self.single_runs()
        self.money()
        self.planned_stops()
        for problem in self.faults.problems + self.soak.ended_alone:
            self.fail(problem)
        self.figures["outcomes"] = dict(collections.Counter(
            f"{a.kind} {a.outcome}" for a in self.attempts))
        self.figures["faults"] = dict(collections.Counter(
            f.kind.split("-")[0] for f in self.faults.log))
        return self.found

    def fail(self, text, attempt=None):
        self.found.append((text, attempt))

    # Streams.

    def streams(self):
        for attempt in self.attempts:
            if attempt.kind == "stream" and attempt.status == 200:
                problem = self.stream_problem(attempt)
                if problem:
                    self.fail(problem, attempt)
            elif attempt.kind == "model" and attempt.outcome == "complete":
                words = re.findall(r"word(\d+) ", attempt.body)
                if words != [str(n + 1) for n in range(attempt.tokens)]:
                    self.fail("an answer is not the engine's", attempt)

    def stream_problem(self, attempt):
        events = [block[6:] for block in attempt.body.split("\n\n")[:-1]
                  if block.startswith("data: ")]
        strange = [block for block in attempt.body.split("\n\n")[:-1]
                   if block and not block.startswith(("data: ", ":"))]
        if strange:
            return f"a stream holds {strange[0][:80]!r}"
        done = bool(events) and events[-1] == "[DONE]"
        parsed = [json.loads(event) for event in
                  (events[:-1] if done else events)]
        failed = bool(parsed) and "error" in parsed[-1]
        if attempt.outcome == "ended-early" and not failed:
            return "a stream ends without [DONE] or an error event"
        if failed and done:
            return "a stream ends with an error event and [DONE]"
        pieces = parsed[:-1] if failed else parsed
        return self.pieces_problem(attempt, pieces, done)

    def pieces_problem(self, attempt, pieces, done):
        if any("choices" not in piece for piece in pieces):
            return "an event of a stream is not the engine's"
        if len({piece["id"] for piece in pieces}) > 1:
            return "a stream joins two runs"
        words = [piece["choices"][0]["delta"].get("content", "").strip()
                 for piece in pieces]
        if done:
            if pieces[-1]["choices"][0]["finish_reason"] != "stop":
                return "a stream ends as complete before its end"
            words.pop()
            if len(words) != attempt.tokens:
                return f"{len(words)} events of {attempt.tokens}"
        if words != [f"word{n + 1}" for n in range(len(words))]:
            return "events are missing, repeated or out of order"
        known = {run.key for run in self.runs[attempt.key]}
        if pieces and attempt.key not in known:
            return "a stream of a request that did not run"
        return None

    # Callers that left.

    def excused(self, router, upstream, begin, end):
        name = self.soak.fleet.router_names[router]
        during = self.faults.during(
            {name, upstream, "link " + upstream}, begin, end)
        return any(fault.kind != "starve" for fault in during)

    def departed(self, starved):
        """Callers that left and whose key was used once only."""
        for attempt in self.attempts:
            if attempt.closed and self.starved(attempt) == starved \
                    and len(self.by_key[attempt.key]) == 1:
                yield attempt

    def starved(self, attempt):
        name = self.soak.fleet.router_names[attempt.router]
        return any(fault.kind == "starve" for fault in self.faults.during(
            {name}, attempt.sent, attempt.closed + GRACE_S))

    def departures(self, starved):
        late, lasting, working = [], [], []
        left = list(self.departed(starved))
        for attempt in left:
            for run in self.runs[attempt.key]:
                if attempt.leave == "partial":
                    self.fail("a request runs that was not whole", attempt)
                self.after_departure(attempt, run, late, lasting, working)
        self.figures["starved router" if starved else "departed"] = {
            "left": len(left), "reached late": len(late),
            "latest s": round(max((s for s, _ in late), default=0.0), 2),
            "would have lasted": len(lasting), "worked on": len(working)}
        where = "at the starved router " if starved else ""
        if len(late) > FEW:
            self.fail(f"{where}{len(late)} requests reach an upstream over "
                      "0.5 s after their callers left", late[0][1])
        if 4 * len(working) > len(lasting):
            self.fail(f"{where}{len(working)} of {len(lasting)} requests are "
                      "worked on 0.5 s after their callers left", working[0])

    def after_departure(self, attempt, run, late, lasting, working):
        limit = attempt.closed + GRACE_S
        if run.arrived > limit and not self.excused(
                attempt.router, run.upstream, run.arrived - EXCUSE_S,
                run.arrived):
            late.append((run.arrived - attempt.closed, attempt))
        if attempt.kind == "call" or not run.began or self.excused(
                attempt.router, run.upstream, attempt.closed - EXCUSE_S,
                max(limit, run.arrived)):
            return
        if run.began + attempt.tokens * TOKEN_S <= limit:
            return
        lasting.append(attempt)
        if (run.cancelled or run.ended or limit + 1) > limit:
            working.append(attempt)

    # Runs and money.

    def single_runs(self):
        for key, attempts in self.by_key.items():
            runs = len(self.runs[key])
            if attempts[0].kind == "call" and runs > 1:
                self.fail(f"a call runs {runs} times", attempts[0])
            if runs and all(a.outcome == "not-run" for a in attempts):
                self.fail("a request refused as not-run runs", attempts[0])
            if attempts[0].kind == "call" and not runs and any(
                    a.outcome == "complete" for a in attempts):
                self.fail("a call is answered and did not run", attempts[0])
        for key in self.runs:
            if key not in self.by_key:
                self.fail(f"an unasked request runs: {key}")

    def money(self):
        verified = self.soak.fleet.ctl("account", "--verify", check=False)
        if verified.returncode != 0:
            self.fail("accounts do not verify: " + verified.stdout[-300:]
                      + verified.stderr[-300:])
            return
        for workspace, account in self.soak.fleet.accounts().items():
            billed = collections.Counter(b["key"] for b in account["bills"])
            for key, count in billed.items():
                if count > 1:
                    self.fail(f"{workspace}: {count} bills",
                              self.by_key.get(key, [None])[0])
            if account["settled_micros"] > account["prepaid_micros"]:
                self.fail(f"{workspace} is overspent: {account}")
        calls = sum(len(self.runs[key]) for key, attempts in
                    self.by_key.items() if attempts[0].kind == "call"
                    and attempts[0].workspace == "poor")
        self.figures["calls of poor"] = calls
        if calls * CALL_PRICE > self.soak.prepaid["poor"]:
            self.fail(f"poor ran {calls} calls beyond its budget")

    # Planned stops.

    def planned_stops(self):
        for fault in self.faults.log:
            if fault.kind != "stop":
                continue
            router = self.soak.fleet.router_names.index(fault.target)
            for attempt in self.attempts:
                if attempt.router == router and not attempt.closed \
                        and attempt.sent < fault.begin + GRACE_S \
                        and fault.begin < attempt.ended \
                        and self.cut_by_stop(attempt, fault):
                    self.fail("a planned stop cuts a request", attempt)

    def cut_by_stop(self, attempt, fault):
        if attempt.outcome not in ("cut", "ended-early", "silent"):
            return False
        if attempt.ended > fault.end:
            return False
        # A request that crosses the close of its connection was not accepted.
        crossing = attempt.early or attempt.sent > fault.begin - 0.1
        if crossing and not attempt.status and not self.runs[attempt.key]:
            return False
        others = {"link " + name for name in self.soak.upstreams}
        others.update(self.soak.upstreams)
        begin = attempt.sent - EXCUSE_S
        earlier = [other for other in
                   self.faults.during({fault.target}, begin, attempt.ended)
                   if other is not fault]
        return not earlier and not self.faults.during(
            others, begin, attempt.ended)
