"""A list that takes so many reports a second and a database that falls over at a multiple of its usual calls.

Both record their load. How they bear it is the same on sockets and in simulated time: `Taking` and `Strength`
are pure, the rest speaks the protocols on loopback. They can be away, or there and of no use.
"""

from __future__ import annotations

import re
import time
from collections import deque
from collections.abc import Iterable
from contextlib import suppress

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from examples.fakes import LOST, Watched
from fakes.faulty_link import held

WINDOW = 0.1  # seconds over which load is looked at
TURN = 0.01  # seconds between looks at how late this process is itself
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
LIMIT = 1 << 12  # octets of a report, or of a line


class Load:
    """Moments at which something came in, as long as the play."""

    def __init__(self) -> None:
        self.moments: list[float] = []

    def came(self, now: float, many: int = 1) -> None:
        self.moments += [now] * many

    def within(self, since: float = float("-inf"), until: float = float("inf")) -> list[float]:
        return sorted(at for at in self.moments if since <= at < until)

    def steady(self, since: float, until: float) -> float:
        """A second, over a span."""
        return len(self.within(since, until)) / (until - since)

    def peak(
        self, since: float = float("-inf"), until: float = float("inf"), window: float = WINDOW
    ) -> float:
        """A second, in the fullest window that begins with one of the moments."""
        return most(self.within(since, until), window) / window


def most(moments: Iterable[float], window: float) -> int:
    """The most moments in one window."""
    inside: deque[float] = deque()
    found = 0
    for at in moments:
        inside.append(at)
        while inside[0] <= at - window:
            inside.popleft()
        found = max(found, len(inside))
    return found


class Turns:
    """How long this process did not get its own turn. What came in meanwhile is stamped at the end of it, so
    that a window over which load was looked at was that much longer."""

    def __init__(self) -> None:
        self.late: list[tuple[float, float]] = []  # moments, and seconds; as long as the play

    async def run(self) -> None:
        while True:
            planned = time.time() + TURN
            await anyio.sleep(TURN)
            now = time.time()
            self.late.append((now, now - planned))

    def longest(self, since: float = float("-inf"), until: float = float("inf")) -> float:
        """Seconds."""
        return max((late for at, late in self.late if since <= at < until + late), default=0.0)


class Taking:
    """So many a second, one after the other: when one that comes now is through."""

    def __init__(self, rate: float) -> None:
        self.rate, self.free_at = rate, 0.0

    def through(self, now: float) -> float:
        self.free_at = max(now, self.free_at) + 1 / self.rate
        return self.free_at


class Strength:
    """What a database bears in one window: calls, a new connection counting as one. Past `full` calls are
    turned away; past `falls` it falls over, and is down for `down` seconds."""

    def __init__(self, full: float, falls: float, down: float) -> None:
        self.full, self.falls, self.down = full, falls, down
        self.recent: deque[float] = deque()  # of one window
        self.down_until, self.fallen = 0.0, 0

    def up(self, now: float) -> bool:
        return now >= self.down_until

    def bears(self, now: float) -> bool:
        """One more comes in; whether it is taken. Look at `up` behind it."""
        while self.recent and self.recent[0] <= now - WINDOW:
            self.recent.popleft()
        self.recent.append(now)
        if len(self.recent) > self.falls and self.up(now):
            self.fallen += 1
            self.down_until = now + self.down
        return self.up(now) and len(self.recent) <= self.full


class Door(Watched):
    """A listener on loopback that can be away: then connections are refused, and those it had are cut."""

    def __init__(self) -> None:
        super().__init__()
        self.holder = held()  # its port stays its own while it is away
        self.port: int = self.holder.getsockname()[1]
        self.load, self.connects = Load(), Load()
        self.streams: set[SocketStream] = set()  # emptied as they end
        self.scope = anyio.CancelScope()
        self.shuts = 1  # reasons to be away: it may be shut, and fall over as well
        self.tasks: TaskGroup

    async def open(self, tasks: TaskGroup) -> None:
        self.tasks, self.shuts = tasks, self.shuts - 1
        if self.shuts:
            return
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port, backlog=1024)
        self.scope = anyio.CancelScope()

        async def serve() -> None:
            with self.scope:
                async with listener:
                    await listener.serve(self._serve)

        tasks.start_soon(serve)

    async def shut(self) -> None:
        self.shuts += 1
        self.scope.cancel()
        for stream in list(self.streams):
            await anyio.aclose_forcefully(stream)
        await anyio.sleep(0)

    async def _serve(self, stream: SocketStream) -> None:
        self.streams.add(stream)
        self.connects.came(time.time())
        try:
            with suppress(*LOST):
                await self.speak(stream)
        finally:
            self.streams.discard(stream)
            await anyio.aclose_forcefully(stream)

    async def speak(self, stream: SocketStream) -> None:
        raise NotImplementedError


class List(Door):
    """Takes `rate` reports a second. With a `status` other than 204 it says that; with 0 it hangs: what comes
    in is not answered, nor is anything later on that connection."""

    def __init__(self, rate: float) -> None:
        super().__init__()
        self.taking, self.status = Taking(rate), 204
        self.names: dict[str, float] = {}  # by name, when its last report was answered with 204

    async def speak(self, stream: SocketStream) -> None:
        lines = BufferedByteReceiveStream(stream)
        while True:
            head = await lines.receive_until(b"\r\n\r\n", LIMIT)
            found = LENGTH.search(head)
            await lines.receive_exactly(int(found[1]) if found else 0)
            now = time.time()
            name = head.split(b" ", 2)[1].rpartition(b"/")[2].decode()
            self.load.came(now)
            status = self.status
            if status == 204:
                await anyio.sleep(self.taking.through(now) - now)
            while not status:
                await stream.receive()  # until the other side has given up
            await stream.send(b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % status)
            if status == 204:
                self.names[name] = time.time()
            self._changes()

    async def says(self, status: int) -> None:
        self.status = status
        self._changes()


class Base(Door):
    """Answers each call after `took` seconds, as far as `strength` goes; it falls over by itself."""

    def __init__(self, took: float, strength: Strength) -> None:
        super().__init__()
        self.took, self.strength = took, strength
        self.borne = Load()  # calls and connections
        self.answered = self.turned_away = 0

    async def speak(self, stream: SocketStream) -> None:
        self._bears()  # a connection counts as well
        lines = BufferedByteReceiveStream(stream)
        while True:
            verb, id, *rest = (await lines.receive_until(b"\r\n", LIMIT)).decode().split(" ")
            if verb != "Q":
                continue
            body = (await lines.receive_exactly(int(rest[1]) + 2))[:-2]
            self.load.came(time.time())
            if self._bears():
                self.tasks.start_soon(self._answer, stream, id, body)
            else:
                self.turned_away += 1
                await stream.send(f"{id} FULL\r\n".encode())

    def _bears(self) -> bool:
        now = time.time()
        self.borne.came(now)
        was_up = self.strength.up(now)
        taken = self.strength.bears(now)
        if was_up and not self.strength.up(now):
            self.tasks.start_soon(self._fall)
        return taken

    async def bears(self, full: float) -> None:
        """From now on so many calls in one window."""
        self.strength.full = full

    async def _fall(self) -> None:
        await self.shut()
        await anyio.sleep(self.strength.down)
        await self.open(self.tasks)

    async def _answer(self, stream: SocketStream, id: str, body: bytes) -> None:
        await anyio.sleep(self.took)
        with suppress(*LOST):
            await stream.send(f"{id} ROWS {len(body)}\r\n".encode() + body + b"\r\n")
            self.answered += 1
