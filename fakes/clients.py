"""Customers, each from an address of its own out of 127.0.0.0/8, and what is counted of them.

A customer speaks as routers do (MessagePack-RPC) through a node, keeps its connection for a few ops, closes
it and comes again within the linger, to whichever node its route leads. Keyed ops are repeated, often on
another connection. The stand-in processors' results tell which app server it was.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Collection, Iterable
from contextlib import asynccontextmanager
from random import Random
from secrets import token_hex
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from examples.fakes import LOST, Router
from fakes.processes import Drill

PATIENCE = 2.0  # seconds that a customer gives an op
SLACK = 1.0  # for the turns of a busy machine
CONNECT = 3.0
AGAIN = 0.05  # seconds until the next try of a connect that failed
KEEPS = 6  # ops of one connection, at most
REPEATED = 0.5  # of the keyed ops
REPEATS_WITHIN = 0.6  # of the window of keyed ops
WITHOUT = 0.4  # of those that are repeated: their connection is closed before the answer


class Line(Router):
    """A router's connection from an address of its own."""

    came = 0.0  # when it asked for the connection

    @classmethod
    async def come(cls, tasks: TaskGroup, source: str, host: str, port: int) -> Line:
        came = time.time()
        line = cls(await anyio.connect_tcp(host, port, local_host=source))
        line.came = came
        tasks.start_soon(line._read)
        return line


class Try(NamedTuple):
    """One op on the wire, and what came of it: acked, nacked, failed, lost (with its connection, closed by
    the other side), left (closed by the customer), or late (no answer in time on an open connection)."""

    at: float
    took: float
    customer: int
    node: str
    server: str  # as the result tells; "" without one
    fate: str
    body: bytes
    came: float  # when its connection was asked for


class Moved(NamedTuple):
    """A customer that met another app server than before."""

    at: float
    customer: int
    was: str
    now: str
    node: str  # by which it came
    came: float  # when it asked for that connection
    asked: float  # and for the op
    unseen: float  # seconds since it was answered before, when it asked
    before: str  # the node by which it was
    before_came: float  # when it asked for that connection


class Owed(NamedTuple):
    """A keyed op that is to be repeated."""

    body: bytes
    key: str
    since: float  # its first try: a repeat long after it would be another op


def source(number: int) -> str:
    """A customer's address: 127.64.0.1 and on."""
    return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


class Customer:
    def __init__(self, crowd: Crowd, number: int, tenant: str) -> None:
        self.crowd, self.number, self.tenant = crowd, number, tenant
        self.source, self.rng = source(number), Random(crowd.drill.seed * 100_003 + number)
        self.ops = self.came = 0
        self.owed: Owed | None = None
        self.pause = crowd.pause

    async def run(self, stay: bool = False) -> None:
        self.crowd.there += 1
        try:
            await (self._stay() if stay else self._come_and_go())
        finally:
            self.crowd.there -= 1

    async def _come_and_go(self) -> None:
        """A few ops on a connection, then a pause that is shorter than the linger."""
        crowd = self.crowd
        await anyio.sleep(self.rng.uniform(0, 2 * crowd.pause))
        while not crowd.over:
            async with self._there() as (line, node):
                if line is None:
                    continue
                for _ in range(self.rng.randint(1, KEEPS)):
                    if not await self._op(line, node) or crowd.over:
                        break
                    await anyio.sleep(self.rng.uniform(0.5, 1.5) * self.pause)
            await anyio.sleep(self.rng.uniform(0.1, 0.4) * crowd.drill.linger)

    async def _stay(self) -> None:
        """Keep one connection, with an op now and then; come again when it is closed."""
        while not self.crowd.over:
            async with self._there() as (line, node):
                while line and await self._op(line, node, whole=True) and not self.crowd.over:
                    await anyio.sleep(self.rng.uniform(0.5, 1.5) * self.pause)

    @asynccontextmanager
    async def _there(self) -> AsyncIterator[tuple[Line | None, str]]:
        """A connection to the node that its route leads to, closed at the end; None, after a moment, where
        there is no route or the connect failed."""
        node = self.crowd.route(self)
        if node is None or (line := await self._come(node)) is None:
            await anyio.sleep(AGAIN)
            yield None, ""
            return
        try:
            yield line, node
        finally:
            await anyio.aclose_forcefully(line.stream)

    async def _come(self, node: str) -> Line | None:
        crowd = self.crowd
        host, port = crowd.where(node, self.tenant)
        try:
            with anyio.fail_after(CONNECT):
                return await Line.come(crowd.drill.tasks, self.source, host, port)
        except (OSError, TimeoutError):
            crowd.unreached[node] += 1
            return None

    async def _op(self, line: Line, node: str, whole: bool = False) -> bool:
        """One op; whether the connection can go on."""
        at = time.time()
        owed, self.owed = self.owed, None
        if owed and at > owed.since + REPEATS_WITHIN * self.crowd.drill.window:
            owed = None
        keyed = owed is not None or self.rng.random() < 0.5
        if owed is None:
            self.ops += 1
            owed = Owed(b"%s-%d" % (self.source.encode(), self.ops), token_hex(8), at)
        self.crowd.bodies[owed.body] = keyed
        repeated = keyed and self.rng.random() < REPEATED
        leaves = repeated and not whole and self.rng.random() < WITHOUT
        if repeated:
            self.owed = owed
        fields = {"replay": owed.key} if keyed else {}
        try:
            number = await line.ask(
                "buy" if keyed else "look", owed.body, project=self.tenant, allow=f"{PATIENCE * 1000:.0f}",
                **fields,
            )  # fmt: skip
            if leaves:  # what came of it is asked on the next connection
                await anyio.sleep(self.rng.uniform(0, 0.05))
            else:
                with anyio.move_on_after(PATIENCE + SLACK):
                    await line.until(lambda: number in line.answers or line.closed, PATIENCE + 2 * SLACK)
        except (OSError, *LOST):
            number = 0
        server, fate = self._fate(line, number, leaves)
        if keyed and fate in ("lost", "late"):
            self.owed = owed  # a repeat finds its result, or runs it for the first time
        self.crowd.tell(Try(at, time.time() - at, self.number, node, server, fate, owed.body, line.came))
        return fate not in ("lost", "late", "left") and not line.closed and not line.notices

    def _fate(self, line: Line, number: int, leaves: bool) -> tuple[str, str]:
        if (told := line.answers.get(number)) is None:
            if leaves:
                return "", "left"
            return "", "lost" if line.closed or not number else "late"
        error, result = told
        if error is not None:
            return "", "nacked" if error[0] == "Shed" else "failed"
        return result[0].split(b" ", 2)[1].decode(), "acked"


class Crowd:
    """All customers of a drill. `nodes` are those that routers lead to now; where `follows` is given, it
    tells the nodes of a tenant instead."""

    def __init__(self, drill: Drill, pause: float = 0.2) -> None:
        self.drill, self.pause, self.over, self.there = drill, pause, False, 0
        self.nodes: list[str] = [node.name for node in drill.nodes if node.name not in drill.later]
        self.pinned: dict[int, str] = {}  # customers whose route leads to one node
        self.follows: Callable[[str], list[str]] | None = None  # by tenant: nodes, the best alone
        self.all: list[Customer] = []
        self.tries: list[Try] = []  # as long as the drill, as are the next three
        self.moved: list[Moved] = []
        self.bodies: dict[bytes, bool] = {}  # ops, and whether keyed
        self.last: dict[int, str] = {}  # by customer: the app server that answered last
        self.by: dict[int, tuple[str, float]] = {}  # and the node by which, on a connection since when
        self.seen: dict[int, float] = {}  # and when
        self.unreached: Counter[str] = Counter()
        self.fates: Counter[str] = Counter()

    def add(
        self, many: int, tenant: str = "", stay: bool = False, pause: float | None = None
    ) -> list[Customer]:
        """So many more, of a tenant or of all in turn; those that `stay` keep their connections."""
        names = self.drill.tenants
        new = []
        for _ in range(many):
            number = len(self.all) + 1
            one = Customer(self, number, tenant or names[number % len(names)])
            one.pause = self.pause if pause is None else pause
            self.all.append(one)
            new.append(one)
            self.drill.tasks.start_soon(one.run, stay)
        return new

    def route(self, customer: Customer) -> str | None:
        if pinned := self.pinned.get(customer.number):
            return pinned
        nodes = self.follows(customer.tenant) if self.follows else self.nodes
        customer.came += 1
        return nodes[(customer.number + customer.came) % len(nodes)] if nodes else None

    def where(self, node: str, tenant: str) -> tuple[str, int]:
        if link := self.drill.links.get(("customers", f"{node} {tenant}")):
            return "127.0.0.1", link.port
        return self.drill.address(tenant), self.drill.all[node].services[tenant]

    def tell(self, done: Try) -> None:
        self.tries.append(done)
        self.fates[done.fate] += 1
        if done.fate not in ("acked", "left"):
            self.drill.timeline.say(
                "op", fate=done.fate, customer=source(done.customer), node=done.node, took=done.took
            )
        if done.server:
            before, seen = self.last.get(done.customer, done.server), self.seen.get(done.customer, done.at)
            by = self.by.get(done.customer, (done.node, done.came))
            self.last[done.customer], self.seen[done.customer] = done.server, time.time()
            self.by[done.customer] = done.node, done.came
            if before != done.server:
                moved = Moved(
                    time.time(), done.customer, before, done.server, done.node, done.came, done.at,
                    max(0.0, done.at - seen), *by)  # fmt: skip
                self.moved.append(moved)
                self.drill.timeline.say(
                    "customer changed its server", customer=source(done.customer), was=before,
                    now=done.server, node=done.node)  # fmt: skip

    # What is counted.

    async def at_ease(self, within: float = 15.0) -> float:
        """Until all have been answered, and none has changed its server for two lingers; the moment."""
        calm = 2 * self.drill.linger
        begun = time.time()
        await self.drill.until(
            lambda: len(self.last) == len(self.all)
            and time.time() > max([begun, *(one.at for one in self.moved[-1:])]) + calm,
            within, "customers did not come to rest")  # fmt: skip
        self.drill.timeline.say("at ease", customers=len(self.all))
        return time.time()

    async def answered(self, many: int = 3, within: float = 15.0) -> None:
        """Until each customer has been acked so many times more."""
        since = len(self.tries)

        def all_of_them() -> bool:
            acked = Counter(one.customer for one in self.tries[since:] if one.fate == "acked")
            return all(acked[one.number] >= many for one in self.all)

        await self.drill.until(all_of_them, within, f"not each customer was acked {many} times")

    async def stop(self) -> None:
        """Each comes to the end of its op."""
        self.over = True
        within = CONNECT + PATIENCE + 2 * SLACK
        await self.drill.until(lambda: not self.there, within, "customers did not come to an end")

    def changed(self, since: float, besides: Collection[str] = ()) -> list[Moved]:
        """Customers that changed their server, but for those whose server was one of `besides`."""
        return [one for one in self.moved if one.at >= since and one.was not in besides]

    def ill(self, since: float = 0.0, besides: Collection[str] = ()) -> list[Try]:
        """Ops with no answer in time, but for those by way of one of these nodes, and those during which the
        machine stood still."""
        bad = [one for one in self.tries if one.fate in ("lost", "late") and one.at >= since]
        stood = self.drill.stood_still
        return [one for one in bad if one.node not in besides and not stood(one.at, one.at + one.took)]

    def twice(self, besides: Collection[str] = ()) -> list[tuple[bytes, list[str]]]:
        """Keyed ops that were run more than once, and where. A run of an app server that died is none of its
        successor's: what it kept died with it."""
        where: dict[bytes, list[str]] = {}
        for server in self.drill.servers:
            if server.name not in besides:
                for run in server.processor.ran:
                    if self.bodies.get(run.body):
                        where.setdefault(run.body, []).append(server.name)
        return [(body, names) for body, names in where.items() if len(names) > 1]

    def seats(self) -> Counter[str]:
        return Counter(self.last.values())


def full_or_less(routes: dict[str, bool]) -> list[str]:
    """What a router uses: nodes in full, else those that are less preferred."""
    return [name for name, full in routes.items() if full] or list(routes)


def described(some: Iterable[Any], most: int = 5) -> str:
    """A few of them, for an assertion's text."""
    found = list(some)
    return f"{len(found)}: {', '.join(map(str, found[:most]))}"
