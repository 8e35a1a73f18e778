"""Calls to the database: one line and a body out, one line and sometimes a body back.

A connection carries one call at a time while there are enough of them: what spoils one reply costs no other.
When a call may go out is decided in `coldstart/`; what has no leave yet waits here, up to its `until`.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable
from contextlib import suppress
from heapq import heappop, heappush
from math import ceil
from time import monotonic
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.admission.settings import Outcome
from thymeyoke.configuration.start_file import Address
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import post, take_all
from thymeyoke.server.messages import Call, CallOver, Event, GiveUp, Move
from thymeyoke.slow_start.backoff import Waits
from thymeyoke.slow_start.controller import ColdStart

ENDS = {"ROWS": Outcome.OK, "FULL": Outcome.FULL, "FAIL": Outcome.ERROR, "TIMEOUT": Outcome.TIMEOUT,
        "NONE": Outcome.MOOT}  # fmt: skip
OUTBOX = 1024
CHUNK = 1 << 16
REPLY_LIMIT, HEAD_LIMIT = 1 << 16, 1 << 8
MOST = 32  # connections; past that calls share them
LINE_BOX = 64  # calls that one connection may have unsent
LIFE = 256  # calls of one connection
IDLE = 2.0  # the database closes an idle connection, or forgets it: no call should meet that
LOOK = 0.25  # between looks at what is idle or half said
HALF_SAID = 0.5  # the rest of a reply does not come any more
CONNECT = 1.0
END = b"\r\n"


class BadReply(Exception):
    """What the database sent is not of the protocol."""


class Back(NamedTuple):
    id: str
    outcome: Outcome
    body: bytes


class Reader:
    """The replies of one connection, however their bytes are cut."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Back]:
        self.rest += data
        replies: list[Back] = []
        while reply := self._one():
            replies.append(reply)
        return replies

    def _one(self) -> Back | None:
        head, end, after = self.rest.partition(END)
        if not end or len(head) > HEAD_LIMIT:
            if len(head) > HEAD_LIMIT:
                raise BadReply("a line does not end")
            return None
        try:
            id, word, *length = head.decode("ascii").split(" ")
            outcome, size = ENDS[word], int(length[0]) if length else -1
        except (KeyError, ValueError):
            raise BadReply(f"not a reply: {head[:80]!r}") from None
        if len(length) > 1 or not -1 <= size < REPLY_LIMIT:
            raise BadReply(f"not a reply: {head[:80]!r}")
        if size < 0:
            self.rest = after
            return Back(id, outcome, b"")
        if len(after) < size + len(END):
            return None
        if after[size : size + len(END)] != END:
            raise BadReply(f"a body does not end where it should: {head[:80]!r}")
        self.rest = after[size + len(END) :]
        return Back(id, outcome, after[:size])


def encode(what: Call | GiveUp, now: float) -> bytes:
    if isinstance(what, GiveUp):
        return f"X {what.id}".encode() + END
    wait = max(1, ceil((what.until - now) * 1000))
    return f"Q {what.id} {wait} {len(what.body)}".encode() + END + what.body + END


class Out(NamedTuple):
    until: float
    since: float


class Line:
    """One connection and the calls on it. `out` is emptied by replies, by what is given up and with the
    connection; `carried`, all ops whose calls it ever had, goes with it."""

    def __init__(self, where: Address, over: Callable[[CallOver], Awaitable[None]]) -> None:
        self.where, self.over, self.reader = where, over, Reader()
        self.outbox, self.unsent = anyio.create_memory_object_stream[Call | GiveUp](LINE_BOX)
        self.out: dict[str, Out] = {}
        self.carried: set[str] = set()
        self.scope = anyio.CancelScope()
        self.used = self.heard = clock()
        self.doubtful = False  # a call on it never came back: it gets no other

    def takes(self, id: str, where: Address | None) -> bool:
        """Replies name an op, not a call: a late one, or a second copy, must not meet the op's next call."""
        sound = not self.doubtful and self.where == where and len(self.carried) < LIFE
        return sound and id not in self.carried

    def call(self, call: Call, now: float) -> bool:
        try:
            self.outbox.send_nowait(call)
        except (anyio.WouldBlock, anyio.ClosedResourceError):
            return False
        self.out[call.id], self.used = Out(call.until, now), now
        self.carried.add(call.id)
        return True

    def give_up(self, id: str) -> Out | None:
        """Closing gives up every call; while others are out this one is given up by a word of its own."""
        out = self.out.pop(id, None)
        self.doubtful = True
        if not self.out:
            self.end()
        elif out:
            # Without room it runs its course, for nobody; closed, the connection is at its end anyway.
            with suppress(anyio.WouldBlock, anyio.ClosedResourceError):
                self.outbox.send_nowait(GiveUp(id))
        return out

    def end(self) -> None:
        """It is closed, and gets no call while that takes its moment."""
        self.doubtful = True
        self.scope.cancel()

    def done(self, now: float, where: Address | None) -> bool:
        """Whether it is of no more use: idle, not to be trusted, at an old address, or stuck in a reply."""
        stuck = self.reader.rest and now > self.heard + HALF_SAID
        useless = now > self.used + IDLE or not self.takes("", where)
        return bool(stuck or (useless and not self.out))

    async def run(self) -> None:
        stream, sent = None, False
        try:
            with self.scope:
                with anyio.fail_after(CONNECT):
                    stream = await anyio.connect_tcp(self.where.host, self.where.port)
                sent = True
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, stream)
                    await self._read(stream)
        except (OSError, TimeoutError):
            logs.counts["database_unreached"] += 1
        except Exception as error:
            logs.counts["database_error"] += 1
            logs.say(logging.ERROR, "database connection ends", error)
        finally:
            unsent = {what.id for what in take_all(self.unsent)}
            self.outbox.close()
            self.unsent.close()
            if stream:
                await anyio.aclose_forcefully(stream)
        await self._lost(sent, unsent)

    async def _lost(self, sent: bool, unsent: set[str]) -> None:
        """A connection that breaks during a call proves nothing about it, but for what was never sent."""
        logs.counts["database_cut"] += bool(self.out) and sent
        for id in list(self.out):
            await self._over(id, Outcome.CUT if sent and id not in unsent else Outcome.UNREACHED)

    async def _write(self, stream: ByteStream) -> None:
        try:
            async for first in self.unsent:
                batch = [first, *take_all(self.unsent)]
                now = clock()
                await stream.send(b"".join(encode(what, now) for what in batch))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.end()

    async def _read(self, stream: ByteStream) -> None:
        try:
            while True:
                data = await stream.receive(CHUNK)
                self.heard = clock()
                for back in self.reader.feed(data):
                    await self._over(back.id, back.outcome, back.body)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        except BadReply as error:
            logs.counts["database_bad_reply"] += 1
            logs.of_peer("database connection dropped", why=str(error))
        self.end()

    async def _over(self, id: str, outcome: Outcome, body: bytes = b"") -> None:
        out = self.out.pop(id, None)
        if out is None:  # to a call given up, a second copy, or nobody's
            logs.counts["database_foreign_reply"] += 1
            return
        self.used = clock()
        await self.over(CallOver(id, outcome, body, self.used - out.since))


class Database:
    """Keeps calls. `lines` is emptied as connections end, `calls` as calls do; `waits` by leave, by what is
    given up, and by time."""

    def __init__(
        self, where: Address | None, desk: MemoryObjectSendStream[Event], cold: ColdStart | None = None
    ) -> None:
        self.where, self.desk = where, desk  # no address: nothing lies below, and no call is tried
        self.cold = cold or ColdStart(clock())
        self.pace = self.cold.pace
        self.outbox, self.unsent = anyio.create_memory_object_stream[Call | GiveUp | Move](OUTBOX)
        self.lines: set[Line] = set()
        self.calls: dict[str, Line] = {}
        self.waits: Waits[Call] = Waits()
        self.ends: list[tuple[float, str]] = []  # emptied as they pass
        self.next_look = 0.0
        self.seen, self.real = clock(), monotonic()  # of the last turn

    def tell(self, what: Call | GiveUp | Move) -> bool:
        """Whether it will be tried: a call that is not has not run."""
        if isinstance(what, Move):  # the old connections are still read: their calls may come back
            self.where = what.where
            self.pace.moved(clock())
        elif self.where is None and isinstance(what, Call):
            logs.counts["database_none"] += 1
            return False
        try:
            self.outbox.send_nowait(what)
        except anyio.WouldBlock:
            if isinstance(what, Move):  # it is awake, and finds the new address
                return True
            logs.counts["database_outbox_full"] += 1
            return False
        return True

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                planned = self._moment()
                what = None
                with anyio.move_on_after(max(0.0, planned - clock())):
                    what = await self.unsent.receive()
                now = clock()
                self.cold.stalled(now, now - planned)
                self._stood(now)
                for each in [what, *take_all(self.unsent)] if what else []:
                    await self._make(tasks, now, each)
                await self._let_out(tasks, now)
                await self._pass(now)

    def _stood(self, now: float) -> None:
        """Set back, the clock stands still for as long: real seconds are told then."""
        real = monotonic()
        if now == self.seen:
            self.pace.stood(real - self.real)
        self.seen, self.real = now, real

    def _moment(self) -> float:
        """When to look in again, whatever is told until then."""
        moments = [self.ends[0][0]] if self.ends else []
        if self.lines or not self.pace.open:
            moments.append(self.next_look)
        if self.waits:
            now = clock()
            moments.append(max(self.pace.when(now), self.waits.when(now, self.cold.budget)))
        return min(moments, default=math.inf)

    async def _make(self, tasks: TaskGroup, now: float, what: Call | GiveUp | Move) -> None:
        if not isinstance(what, Call):
            if isinstance(what, Move) or self.waits.drop(what.id):
                return
            if line := self.calls.pop(what.id, None):
                line.give_up(what.id)
            return
        repeat = what.id in self.cold.failed
        self.pace.asked += not repeat
        if not self.waits and self.pace.open and self.cold.may_repeat(now, what.id):
            return await self._send(tasks, now, what)
        if not self.waits.add(now, what.id, what, repeat, what.until):
            return await self._never_ran(what.id, "calls_turned_away")
        logs.counts["calls_waited"] += not self.pace.has(now)
        heappush(self.ends, (what.until, what.id))

    async def _let_out(self, tasks: TaskGroup, now: float) -> None:
        while self.waits and self.pace.has(now):
            what = self.waits.next(now, self.cold.budget, self.pace.need)
            spent, self.waits.spent = self.waits.spent, []
            for one in spent:
                await self._never_ran(one.id, "calls_without_leave")
            if what is None:
                break
            await self._send(tasks, now, what)
        if self.where is None:
            for one in self.waits.all():
                await self._never_ran(one.id, "database_none")

    async def _never_ran(self, id: str, why: str) -> None:
        logs.counts[why] += 1
        await self._back(CallOver(id, Outcome.UNREACHED, b"", 0.0))

    async def _send(self, tasks: TaskGroup, now: float, what: Call) -> None:
        if self.where is None:
            return await self._never_ran(what.id, "database_none")
        line = self._line(what.id, now)
        self.pace.spend(line is None)
        line = line or self._open(tasks)
        if not line.call(what, now):
            return await self._never_ran(what.id, "database_outbox_full")
        self.calls[what.id] = line
        heappush(self.ends, (what.until, what.id))

    def _line(self, id: str, now: float) -> Line | None:
        """The idle connection that was used last, else a new one; at the most of them, the least busy. Those
        to an address before count for none: the database takes nothing new there, and closes them soon."""
        fit = [line for line in self.lines if line.takes(id, self.where)]
        idle = [line for line in fit if not line.out and now <= line.used + IDLE]
        if idle:
            return max(idle, key=lambda line: line.used)
        here = [line for line in self.lines if line.where == self.where]
        if len(here) < MOST:
            return None
        return min(fit or here, key=lambda line: len(line.out))

    def _open(self, tasks: TaskGroup) -> Line:
        assert self.where is not None
        line = Line(self.where, self._over)
        self.lines.add(line)
        tasks.start_soon(self._keep, line)
        return line

    async def _keep(self, line: Line) -> None:
        try:
            await line.run()
        finally:
            self.lines.discard(line)

    async def _over(self, end: CallOver) -> None:
        """A call that went out is over."""
        self.cold.called(clock(), end.id, end.outcome, end.took)
        await self._back(end)

    async def _back(self, end: CallOver) -> None:
        self.calls.pop(end.id, None)
        await post(self.desk, end)

    async def _pass(self, now: float) -> None:
        """Give up calls whose time is over, and connections that are of no more use."""
        while self.ends and self.ends[0][0] <= now:
            until, id = heappop(self.ends)
            if (call := self.waits.get(id)) and call.until <= until:
                self.waits.drop(id)
                await self._never_ran(id, "calls_without_leave")
                continue
            line = self.calls.get(id)
            if line and (out := line.out.get(id)) and out.until <= until:
                line.give_up(id)
                await self._over(CallOver(id, Outcome.TIMEOUT, b"", now - out.since))
        if now >= self.next_look:
            self.next_look = now + LOOK
            self.cold.look(now, self.waits.age(now))
            for line in list(self.lines):
                if line.done(now, self.where):
                    line.end()
