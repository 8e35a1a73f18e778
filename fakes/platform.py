"""A small platform on the simulator's wire: machines, a dependency and callers in simulated time, by seed.

`Platform` speaks for a few app servers. It makes up the events of each batch, sends them through a function
that answers with action lines, and carries the actions out. It knows nothing of how decisions are made; it
only keeps to the wire's page. Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

SECOND = 1_000_000
BATCH = 4_000  # microseconds between two batches
Exchange = Callable[[list[list[Any]]], list[list[Any]]]


@dataclass
class Request:
    """A request that one app server holds, runs, or waits with for its dependency."""

    id: int
    request_class: int
    work: int
    calls_left: int
    original: int
    state: str = "held"  # held, running, blocked, calling, echoing, paused, over
    answered: bool = False
    version: int = 0  # of its state: what was planned for an earlier one is void
    result: str = "pass"


@dataclass
class Server:
    """One app server's machine."""

    number: int
    settings: dict[str, Any]
    requests: dict[int, Request] = field(default_factory=dict)
    retained: dict[tuple[int, str], int] = field(default_factory=dict)
    keys: dict[int, tuple[int, str]] = field(default_factory=dict)
    events: list[list[Any]] = field(default_factory=list)
    leaving: bool = False

    def running(self) -> int:
        return sum(request.state == "running" for request in self.requests.values())


class Platform:
    """App servers under load. `slow` and `failing` change what the dependency does, `rate` the load."""

    def __init__(self, seed: int, settings: dict[str, Any], servers: int, exchange: Exchange) -> None:
        self.random, self.now, self.exchange = Random(seed), SECOND, exchange
        self.settings = settings
        self.servers = {number: Server(number, settings) for number in range(servers)}
        self.planned: list[tuple[int, int, int, int, int, str]] = []
        self.timers: list[tuple[int, int, int]] = []
        self.sequence = self.last_id = self.batches = 0
        self.rate = 20.0  # requests a second and app server
        self.slow = 1.0  # factor on the time of a dependency call
        self.failing = 0.0  # part of the dependency calls that fail
        for number in self.servers:
            self.servers[number].events.append(["Launch", number, 1000 + seed + number, settings])

    def run(self, seconds: float) -> None:
        """Play on for so long."""
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self._batch()
            self.now += BATCH

    def leave(self, number: int, seconds: float) -> None:
        """Give one app server notice."""
        server = self.servers[number]
        server.leaving = True
        server.events.append(["TerminateSoon", number, int(seconds * SECOND)])

    def _batch(self) -> None:
        self._pass_time()
        for server in self.servers.values():
            self._arrive(server)
        events = [event for server in self.servers.values() for event in server.events]
        for server in self.servers.values():
            server.events = []
        self.batches += 1
        if not events:
            return
        lines = [["Tick", self.now, self.batches], *events, ["Commit"]]
        for action in self.exchange(lines):
            if action[0] != "Ack":
                self._act(self.servers[action[1]], action)

    def _pass_time(self) -> None:
        while self.planned and self.planned[0][0] <= self.now:
            _, _, number, id, version, what = heappop(self.planned)
            request = self.servers[number].requests.get(id)
            if request is not None and request.version == version:
                self._happen(self.servers[number], request, what)
        while self.timers and self.timers[0][0] <= self.now:
            _, number, mark = heappop(self.timers)
            server = self.servers[number]
            server.events.append(["Wakeup", number, mark, self._gauges(server)])

    def _gauges(self, server: Server) -> list[float]:
        cores = self.settings["family_info"]["cpus"]
        running = server.running()
        values = {
            "cpu_busy": round(min(1.0, running / cores), 3),
            "runnable": running + self.random.randrange(3),
            "mem_used": len(server.requests) * 20.0,
            "sockets": 10 + self.random.randrange(200),
        }
        return [values[name] for name in self.settings["family_info"]["gauges"]]

    def _plan(self, server: Server, request: Request, span: float, what: str) -> None:
        self.sequence += 1
        request.version += 1
        at = self.now + max(1, int(span))
        heappush(self.planned, (at, self.sequence, server.number, request.id, request.version, what))

    def _happen(self, server: Server, request: Request, what: str) -> None:
        if what == "end":
            self._over(server, request, "fault" if self.random.random() < 0.03 else "pass")
        elif what == "block":
            request.state = "blocked"
            request.calls_left -= 1
            server.events.append(["Blocked", server.number, request.id])
            if request.answered:
                self._over(server, request, "undone")
        elif what == "abort":
            if not request.answered and request.state != "over":
                server.events.append(["Aborted", server.number, request.id])
                request.answered = True
                if request.state in ("held", "echoing", "paused"):
                    request.state = "over"
                    server.requests.pop(request.id)
        elif what == "echoed":
            self._over(server, request, "pass")
        else:
            took = int(self.random.uniform(0.2, 1.0) * 40_000 * self.slow)
            if what != "no_route":
                server.events.append(["Called", server.number, request.id, took, what])
            else:
                server.events.append(["Called", server.number, request.id, 0, what])
            request.state = "running" if what == "pass" else "blocked"
            if what == "pass":
                self._go_on(server, request)

    def _over(self, server: Server, request: Request, result: str) -> None:
        request.state, request.result = "over", result
        server.requests.pop(request.id, None)
        server.events.append(["RunOver", server.number, request.id, result])

    def _go_on(self, server: Server, request: Request) -> None:
        request.state = "running"
        crowd = max(1.0, server.running() / self.settings["family_info"]["cpus"])
        part = request.work / (1 + request.calls_left) * crowd
        self._plan(server, request, part, "block" if request.calls_left else "end")

    def _arrive(self, server: Server) -> None:
        if server.leaving and self.random.random() < 0.9:
            return
        expected = self.rate * BATCH / SECOND
        many = int(expected) + (self.random.random() < expected % 1)
        for _ in range(many):
            self._order(server)

    def _order(self, server: Server) -> None:
        draw, family = self.random, self.settings["family_info"]
        classes = self.settings["request_classes"]
        at = draw.randrange(len(classes))
        row = classes[at]
        self.last_id += draw.randrange(1, 9)
        keyed = row["effect"] == "dedup"
        subject = None if keyed else f"{draw.randrange(20):016x}"
        key = (at, f"{draw.randrange(30)}" if keyed else str(subject))
        original = server.retained.get(key, 0)
        work = int(draw.expovariate(1 / 60_000)) + 2_000
        calls = draw.randrange(1, 3) if family.get("class_calls", [False] * 9)[at] else 0
        request = Request(self.last_id, at, work, calls, original)
        server.requests[request.id] = request
        server.keys[request.id] = key
        bits = draw.choice((0, 1, 1, 3, 4, 5))
        left = draw.randrange(300_000, row["deadline_us"]) if draw.random() < 0.8 else 0
        server.events.append([
            "Order", server.number, request.id, at, draw.randrange(len(self.settings.get("tenants", [0]))),
            draw.choice((10.0, 24.5, 40.0)), subject, bits, original, work * draw.choice((1, 1, 2)),
            round(draw.random(), 3), left, draw.randrange(6), draw.randrange(30_000)])  # fmt: skip
        if draw.random() < 0.05:
            self._plan(server, request, draw.randrange(SECOND), "abort")

    def _act(self, server: Server, action: list[Any]) -> None:
        name = action[0]
        if name == "WakeMe":
            heappush(self.timers, (self.now + action[3], server.number, action[2]))
        if name in ("WakeMe", "Say", "Fitness", "TrimAfter", "Remark"):
            return
        request = server.requests.get(action[2])
        if name == "Retain":
            server.retained[server.keys[action[2]]] = action[2]
        elif name == "DropKey":
            key = server.keys[action[2]]
            if server.retained.get(key) == action[2]:
                del server.retained[key]
        elif request is None:
            if name == "Begin":
                server.events.append(["RunOver", server.number, action[2], "stale_send"])
        elif name == "Begin":
            self._go_on(server, request)
        elif name == "GoOn":
            self._go_on(server, request)
        elif name == "Echo":
            request.state = "echoing"
            self._plan(server, request, self.random.randrange(5_000, 400_000), "echoed")
        elif name == "CallDep":
            self._call(server, request, action[3])
        elif name == "Suspend":
            self._suspend(server, request)
        elif name in ("SayNo", "FinishError"):
            self._answered(server, request)

    def _call(self, server: Server, request: Request, abandon_at: int) -> None:
        request.state = "calling"
        took = int(self.random.expovariate(1 / 40_000) * self.slow) + 1_000
        if self.now + took > abandon_at:
            return self._plan(server, request, abandon_at - self.now, "too_slow")
        fails = self.random.random() < self.failing
        ends = ("fault", "no_room", "no_route", "cut", "stale_send")
        self._plan(server, request, took, self.random.choice(ends) if fails else "pass")

    def _suspend(self, server: Server, request: Request) -> None:
        request.version += 1
        if request.answered or self.settings["family_info"].get("halt") == "discard":
            self._over(server, request, "undone")
        else:
            request.state = "paused"

    def _answered(self, server: Server, request: Request) -> None:
        request.answered = True
        if request.state in ("held", "echoing", "paused"):
            request.state = "over"
            del server.requests[request.id]
        elif request.state in ("blocked", "calling"):
            request.version += 1
            self._over(server, request, "undone")
