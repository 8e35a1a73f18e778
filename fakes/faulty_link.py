"""A link between any two processes, and what can be wrong with it.

A relay on loopback that passes octets on, and does wrong what a drill asks for: by hand, by a script of
`Fault`s, or drawn from a seed. What it did is told to `say`. Buffers are bounded: in each direction of a
connection QUEUE pieces of at most CHUNK octets are on the way, and nothing more is read.
"""

from __future__ import annotations

import os
import socket
import struct
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from errno import EINPROGRESS
from random import Random
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskStatus
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from examples.fakes import Watched

CHUNK = 1 << 12
QUEUE = 16
CONNECT = 2.0  # seconds for the way on
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
THERE, BACK = "there", "back"  # from who connects to who is connected to, and the other way
# What can be wrong, and how much of it where a drill says nothing else.
FAULTS = {
    "cut": 0.0,  # connects are refused, what is established is reset
    THERE: 0.0,  # octets of one direction vanish; connections stay open
    BACK: 0.0,
    "late": 0.3,  # seconds that all octets come late
    "slow": 2000.0,  # octets a second, in each direction of each connection
    "reset": 0.0,  # what is established is reset, once
    "half": 50.0,  # so many octets more in each direction of each connection, then it is closed
    "hang": 0.0,  # connects are taken, and no octet passes until it is healed
}
ONCE = frozenset(("reset",))
BROKEN = 0.05  # seconds until one that broke in half is closed: what passed is read by then
Piece = tuple[float, bytes]  # when it may pass at the soonest, and its octets


class BrokeInHalf(Exception):
    """So many octets have passed."""


class Fault(NamedTuple):
    """`at`: seconds from the script's start. `lasts`: until it is healed; 0: it stays."""

    at: float
    what: str
    lasts: float = 0.0
    amount: float | None = None


def drawn(rng: Random, span: float, many: int, kinds: Iterable[str] = FAULTS) -> list[Fault]:
    """`many` faults within `span` seconds, each healed before the span is over."""
    kinds, found = list(kinds), []
    for _ in range(many):
        at, what = rng.uniform(0, 0.8 * span), rng.choice(kinds)
        amount = FAULTS[what] * rng.uniform(0.5, 2.0)
        found.append(Fault(at, what, rng.uniform(0.05, 0.2) * span, amount))
    return sorted(found, key=lambda one: one.at)


def held(host: str = "127.0.0.1", port: int = 0) -> socket.socket:
    """A port that stays ours though nobody listens: connects are refused, and nobody else is given it. A
    listener that reuses addresses can take it meanwhile."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.bind((host, port))
    return found


class Way:
    """One direction of one connection."""

    def __init__(self, link: Link, name: str) -> None:
        self.link, self.name = link, name
        self.left: float | None = None  # octets, while it breaks in half
        self.lost = False  # octets vanished: what comes later would make no sense

    async def read(self, source: socket.socket, out: MemoryObjectSendStream[Piece]) -> None:
        with out:
            while True:
                await anyio.wait_readable(source)
                with suppress(BlockingIOError):
                    if not (data := source.recv(CHUNK)):
                        return
                    await out.send((time.monotonic() + self.link.wrong.get("late", 0.0), data))

    async def write(self, sink: socket.socket, queue: MemoryObjectReceiveStream[Piece]) -> None:
        link = self.link
        with queue:
            async for due, data in queue:
                await anyio.sleep(max(0.0, due - time.monotonic()))
                await link.passes()
                if self.name in link.wrong:
                    self.lost = True
                    link.vanished += len(data)
                    continue
                if rate := link.wrong.get("slow"):
                    await anyio.sleep(len(data) / rate)
                await self._send(sink, self._half(data))
                if self.left is not None and self.left <= 0:
                    await anyio.sleep(BROKEN)
                    raise BrokeInHalf
        await link.passes()
        if self.name in link.wrong:  # an end is not seen either
            self.lost = True
        else:
            sink.shutdown(socket.SHUT_WR)

    def _half(self, data: bytes) -> bytes:
        if "half" not in self.link.wrong:
            return data
        left = self.link.wrong["half"] if self.left is None else self.left
        self.left = left - len(data)
        return data[: int(left)]

    async def _send(self, sink: socket.socket, data: bytes) -> None:
        self.link.passed += len(data)
        while data:
            await anyio.wait_writable(sink)
            with suppress(BlockingIOError):
                data = data[sink.send(data) :]


class Joint:
    """One connection: two sockets and what passes between them."""

    def __init__(self, link: Link, near: socket.socket, source: str) -> None:
        self.link, self.near, self.source = link, near, source
        self.far = socket.socket()
        self.ways = (Way(link, THERE), Way(link, BACK))
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        try:
            with self.scope, suppress(OSError, TimeoutError):
                await self.link.passes()
                await self._on()
                try:
                    await self._pass()
                except* BrokeInHalf:
                    pass
                except* (OSError, anyio.BrokenResourceError):
                    self._resets()
        finally:
            self.near.close()
            self.far.close()

    async def _on(self) -> None:
        """The way on, from the caller's own address where that is kept."""
        for end in (self.near, self.far):
            end.setblocking(False)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.link.keeps_source:
            self.far.bind((self.source, 0))
        with anyio.fail_after(CONNECT):
            if self.far.connect_ex(self.link.target) == EINPROGRESS:
                await anyio.wait_writable(self.far)
        if error := self.far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._resets()  # on loopback the caller is connected by now: it is told as soon as can be
            raise OSError(error, os.strerror(error))

    async def _pass(self) -> None:
        async with anyio.create_task_group() as tasks:
            ends = ((self.near, self.far), (self.far, self.near))
            for way, (source, sink) in zip(self.ways, ends, strict=True):
                out, queue = anyio.create_memory_object_stream[Piece](QUEUE)
                tasks.start_soon(way.read, source, out)
                tasks.start_soon(way.write, sink, queue)

    def _resets(self) -> None:
        for end in (self.near, self.far):
            with suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    def end(self) -> None:
        self._resets()
        self.scope.cancel()


class Link(Watched):
    """The relay to one address. `joints` is emptied as connections end."""

    def __init__(
        self, target: tuple[str, int], name: str = "", say: Callable[..., Any] | None = None,
        keeps_source: bool = False,
    ) -> None:  # fmt: skip
        super().__init__()
        self.target, self.name, self.keeps_source = target, name, keeps_source
        self.say = say or (lambda what, **pairs: None)
        self.wrong: dict[str, float] = {}  # what is wrong now, and how much
        self.joints: set[Joint] = set()
        self.connections = self.passed = self.vanished = 0
        self.holder = held()
        self.port: int = self.holder.getsockname()[1]
        self.door: socket.socket | None = None

    # What a drill says.

    def put(self, what: str, amount: float | None = None) -> None:
        """Something goes wrong, until it is healed."""
        assert what in FAULTS, what
        amount = FAULTS[what] if amount is None else amount
        self.say("fault", link=self.name, fault=what, amount=amount)
        if what not in ONCE:
            self.wrong[what] = amount
        if what in ("cut", "reset"):
            self._drop()
        if what == "cut":
            self._shut()
        self._changes()

    def heal(self, what: str | None = None) -> None:
        """One fault, or all. A connection that lost octets does not go on as if it had not."""
        healed = list(self.wrong) if what is None else [what] if what in self.wrong else []
        if not healed:
            return
        for each in healed:
            del self.wrong[each]
        self.say("healed", link=self.name, fault=",".join(healed))
        for joint in list(self.joints):
            if any(way.lost for way in joint.ways):
                joint.end()
        if "cut" in healed:
            self._open()
        self._changes()

    async def play(self, script: Iterable[Fault]) -> None:
        """Each fault at its moment, and its healing at its own."""
        begun = time.monotonic()
        steps: list[tuple[float, str, float | None, bool]] = []
        for one in script:
            steps.append((one.at, one.what, one.amount, True))
            if one.lasts:
                steps.append((one.at + one.lasts, one.what, None, False))
        for at, what, amount, begins in sorted(steps, key=lambda step: step[0]):
            await anyio.sleep(max(0.0, begun + at - time.monotonic()))
            if begins:
                self.put(what, amount)
            else:
                self.heal(what)

    # The relay.

    async def run(self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        if "cut" not in self.wrong:
            self._open()
        task_status.started(self.port)
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    while (door := self.door) is None:
                        await self.changed.wait()
                    with suppress(anyio.ClosedResourceError, BlockingIOError, ConnectionAbortedError):
                        await anyio.wait_readable(door)
                        near, peer = door.accept()
                        tasks.start_soon(self._serve, Joint(self, near, peer[0]))
        finally:
            self._shut()
            self.holder.close()

    async def passes(self) -> None:
        """Until nothing hangs."""
        while "hang" in self.wrong:
            await self.changed.wait()

    async def _serve(self, joint: Joint) -> None:
        self.connections += 1
        self.joints.add(joint)
        try:
            await joint.run()
        finally:
            self.joints.discard(joint)

    def _open(self) -> None:
        if self.door is None:
            self.door = held(port=self.port)
            self.door.setblocking(False)
            self.door.listen(1024)

    def _shut(self) -> None:
        if self.door is not None:
            door, self.door = self.door, None
            anyio.notify_closing(door)
            door.close()

    def _drop(self) -> None:
        for joint in list(self.joints):
            joint.end()
