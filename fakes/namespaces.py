"""The list and the database in a process of their own, so that nothing the stand-ins beside them do holds up
what counts their load: hundreds of processors, routers and starts keep one process busy.

`Apart` starts it (`python -m fakes.namespaces`) and keeps two `Far`, used as the doors they stand for. Orders
go in and news comes out as JSON lines; moments are stamped over there. It ends with its standard input.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from contextlib import suppress
from subprocess import PIPE
from types import TracebackType
from typing import Any, Literal

import anyio
import orjson
from anyio.abc import Process, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from fakes.dependency import Base, List, Load, Strength, Turns

NEWS = 0.05  # seconds between two lines of news
LIMIT = 1 << 22  # octets of one line
LIVES = 900  # seconds that it may live
FIRST = -15  # of its priority, where the system lets it


class Far:
    """A door over there: what `List` and `Base` are to those who play with them."""

    def __init__(self, which: Literal["list", "base"], apart: Apart) -> None:
        self.which, self.apart, self.port, self.load = which, apart, 0, Load()
        self.names: dict[str, float] = {}
        self.shuts, self.fallen = 1, 0

    async def open(self, _: TaskGroup) -> None:
        self.shuts -= 1
        await self.apart.tell(self.which, "open")

    async def shut(self) -> None:
        self.shuts += 1
        await self.apart.tell(self.which, "shut")

    async def says(self, status: int) -> None:
        await self.apart.tell(self.which, "says", status)

    async def bears(self, full: float) -> None:
        await self.apart.tell(self.which, "bears", full)


class Apart:
    """`rate`: reports a second that the list takes; the database's terms as in `Base` and `Strength`."""

    def __init__(self, rate: float, took: float, full: float, falls: float, down: float) -> None:
        self.terms = [rate, took, full, falls, down]
        self.list, self.base, self.turns = Far("list", self), Far("base", self), Turns()
        self.process: Process
        self.up = anyio.Event()

    async def __aenter__(self) -> Apart:
        command = [sys.executable, "-m", "fakes.namespaces", *map(str, self.terms)]
        self.process = await anyio.open_process(command, stdin=PIPE, stdout=PIPE, stderr=None)
        return self

    async def __aexit__(self, *_: type[BaseException] | BaseException | TracebackType | None) -> None:
        with anyio.CancelScope(shield=True):
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.aclose()

    async def tell(self, which: str, what: str, value: float = 0.0) -> None:
        assert self.process.stdin is not None
        await self.process.stdin.send(orjson.dumps([which, what, value]) + b"\n")

    async def hear(self) -> None:
        """Its news, until it ends."""
        assert self.process.stdout is not None
        lines = BufferedByteReceiveStream(self.process.stdout)
        while True:
            news: dict[str, Any] = orjson.loads(await lines.receive_until(b"\n", LIMIT))
            for far in (self.list, self.base):
                far.port = news["ports"][far.which]
                far.load.moments += news[far.which]
            self.list.names.update(news["names"])
            self.base.fallen = news["fallen"]
            self.turns.late += news["late"]
            self.up.set()


class There:
    """The other side."""

    def __init__(self, rate: float, took: float, full: float, falls: float, down: float) -> None:
        self.list, self.base, self.turns = List(rate), Base(took, Strength(full, falls, down)), Turns()
        self.told = 0.0  # until when names have been told

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.turns.run)
            self.tasks.start_soon(self.news)
            async for line in anyio.wrap_file(sys.stdin.buffer):
                which, what, value = orjson.loads(line)
                await self.do(self.list if which == "list" else self.base, what, value)
            self.tasks.cancel_scope.cancel()

    async def do(self, door: List | Base, what: str, value: float) -> None:
        match what:
            case "open":
                await door.open(self.tasks)
            case "shut":
                await door.shut()
            case "says" if isinstance(door, List):
                await door.says(int(value))
            case "bears" if isinstance(door, Base):
                await door.bears(value)

    async def news(self) -> None:
        """What has come since the last line; nothing of it is kept."""
        out = anyio.wrap_file(sys.stdout.buffer)
        while True:
            since, self.told = self.told, time.time()
            loads = {"list": self.list.load.moments, "base": self.base.load.moments}
            names = {name: at for name, at in self.list.names.items() if at >= since}
            ports = {"list": self.list.port, "base": self.base.port}
            fallen = self.base.strength.fallen
            say = {"ports": ports, "names": names, "fallen": fallen, "late": self.turns.late}
            line = orjson.dumps(say | loads) + b"\n"
            for told in (*loads.values(), self.base.borne.moments, self.turns.late):
                told.clear()
            await out.write(line)
            await out.flush()
            await anyio.sleep(NEWS)


def main(*terms: str) -> None:
    signal.alarm(LIVES)
    try:
        os.setpriority(os.PRIO_PROCESS, 0, FIRST)
    except PermissionError:
        print("no priority: what it counts may come in later than it came", file=sys.stderr)

    async def play() -> None:
        await There(*map(float, terms)).run()

    anyio.run(play)


if __name__ == "__main__":
    main(*sys.argv[1:])
