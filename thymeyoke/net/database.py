"""Calls to the database: one line and a body out, one line and sometimes a body back."""

from __future__ import annotations

import logging
from heapq import heappop, heappush
from math import ceil
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.net import log
from thymeyoke.net.clock import clock
from thymeyoke.net.mail import Call, CallOver, Event, GiveUp, Move, post, waiting
from thymeyoke.port.facts import Outcome
from thymeyoke.start import Address

ENDS = {"ROWS": Outcome.OK, "FULL": Outcome.FULL, "FAIL": Outcome.ERROR, "TIMEOUT": Outcome.TIMEOUT,
        "NONE": Outcome.MOOT}  # fmt: skip
OUTBOX = 1024
CHUNK = 1 << 16
REPLY_LIMIT = 1 << 16
IDLE = 7.0  # the database closes a connection after 10 s: closed here before, no call can meet that
LOOK = IDLE / 8  # between looks whether the calls that are out have come back
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
        if len(self.rest) > REPLY_LIMIT:
            raise BadReply("a reply is too long")
        return replies

    def _one(self) -> Back | None:
        head, end, after = self.rest.partition(END)
        if not end:
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


class Database:
    """Keeps calls. `out` is emptied by replies, by what is given up and with the connection."""

    def __init__(self, where: Address, desk: MemoryObjectSendStream[Event]) -> None:
        self.where, self.desk = where, desk
        self.outbox, self.unsent = anyio.create_memory_object_stream[Call | GiveUp](OUTBOX)
        self.out: dict[str, Out] = {}
        self.ends: list[tuple[float, str]] = []  # emptied as they pass
        self.stream: ByteStream | None = None
        self.used = 0.0

    def tell(self, what: Call | GiveUp | Move) -> bool:
        """Whether it will be tried: a call that is not has not run."""
        if isinstance(what, Move):  # the old connection is still read: its calls may come back
            self.where, self.stream = what.where, None
            return True
        try:
            self.outbox.send_nowait(what)
        except anyio.WouldBlock:
            log.counts["database_outbox_full"] += 1
            return False
        return True

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                await self._run(tasks)
        finally:
            await self._close()

    async def _close(self) -> None:
        if self.stream:
            stream, self.stream = self.stream, None
            await anyio.aclose_forcefully(stream)

    async def _run(self, tasks: TaskGroup) -> None:
        while True:
            now = clock()
            moment = self.ends[0][0] if self.ends else now + IDLE
            if self.stream:  # with calls out it is not idle, but may become so without a word from the desk
                moment = min(moment, max(self.used + IDLE, now + LOOK * bool(self.out)))
            what = None
            with anyio.move_on_after(max(0.0, moment - now)):
                what = await self.unsent.receive()
            if what is not None:  # outside the scope: the time-out would cut a call that is being sent
                await self._make(tasks, what)
            await self._pass(clock())

    async def _make(self, tasks: TaskGroup, what: Call | GiveUp) -> None:
        try:
            await self._do(tasks, what)
        except Exception as error:
            log.counts["database_error"] += 1
            log.say(logging.ERROR, "call not made", error)
            await self._over(what.id, Outcome.CUT)

    async def _do(self, tasks: TaskGroup, what: Call | GiveUp) -> None:
        now = clock()
        if isinstance(what, GiveUp):
            if self.out.pop(what.id, None):
                await self._send(encode(what, now))
            return
        self.out[what.id] = Out(what.until, now)
        heappush(self.ends, (what.until, what.id))
        if self.stream is None and not await self._open(tasks):
            return await self._unreached()
        await self._send(encode(what, now))

    async def _unreached(self) -> None:
        """What waits behind a failed connect is not made to wait for as many more."""
        for what in waiting(self.unsent):
            if isinstance(what, Call):
                self.out[what.id] = Out(what.until, clock())
        for id in list(self.out):
            await self._over(id, Outcome.UNREACHED)

    async def _open(self, tasks: TaskGroup) -> bool:
        try:
            with anyio.fail_after(CONNECT):
                self.stream = await anyio.connect_tcp(self.where.host, self.where.port)
        except (OSError, TimeoutError):
            log.counts["database_unreached"] += 1
            return False
        tasks.start_soon(self._read, self.stream)
        return True

    async def _send(self, data: bytes) -> None:
        if self.stream is None:
            return
        self.used = clock()
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._lost(self.stream)

    async def _read(self, stream: ByteStream) -> None:
        reader = Reader()
        try:
            while True:
                for back in reader.feed(await stream.receive(CHUNK)):
                    await self._over(back.id, back.outcome, back.body)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        except BadReply as error:
            log.counts["database_bad_reply"] += 1
            log.say(logging.WARNING, "database connection dropped", why=str(error))
        await self._lost(stream)

    async def _lost(self, stream: ByteStream) -> None:
        """A connection that breaks during a call proves nothing about it."""
        if self.stream is not stream:
            return
        await self._close()
        if self.out:
            log.counts["database_cut"] += 1
        for id in list(self.out):
            await self._over(id, Outcome.CUT)

    async def _over(self, id: str, outcome: Outcome, body: bytes = b"") -> None:
        if out := self.out.pop(id, None):
            await post(self.desk, CallOver(id, outcome, body, clock() - out.since))

    async def _pass(self, now: float) -> None:
        """Give up calls whose time is over, and close what is idle."""
        while self.ends and self.ends[0][0] <= now:
            until, id = heappop(self.ends)
            if (out := self.out.get(id)) and out.until <= until:
                await self._send(encode(GiveUp(id), now))
                await self._over(id, Outcome.TIMEOUT)
        if not self.out and now >= self.used + IDLE:
            await self._close()
