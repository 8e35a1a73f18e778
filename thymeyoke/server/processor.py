"""The link to the processor: commands out, notices in, one JSON object a line."""

from __future__ import annotations

import logging
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

import anyio
import orjson
from anyio.abc import ByteStream
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.admission.settings import Outcome
from thymeyoke.configuration.start_file import Address, Names
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import post, take_all
from thymeyoke.server.messages import (
    Asked,
    Begin,
    Command,
    Down,
    Ended,
    Event,
    Gauge,
    Gauges,
    Interrupt,
    Move,
    Refused,
    Reply,
    Synced,
    TakeUp,
    Up,
    Without,
)
from thymeyoke.slow_start.connector import Standing
from thymeyoke.slow_start.controller import ColdStart

ENDS = {"OK": Outcome.OK, "ERROR": Outcome.ERROR, "STOPPED": Outcome.STOPPED, "MOOT": Outcome.MOOT}
OUTBOX = 1024
CHUNK = 1 << 16
LINE_LIMIT = 1 << 16
COMMANDS = {"begin": Begin, "interrupt": Interrupt, "goon": TakeUp, "without": Without, "answer": Reply,
            "usage": Gauge}  # fmt: skip
GAUGES, SYNC = "gauges", "sync"  # tickets; the second has the link's number behind it
MOST_UNPROVEN = 4096  # commands and asks for gauges; one that is older counts as read
LOST_SPAN = 0.3  # commands of the last 50 ms may be lost with a link, which is noticed up to so much later


class Sync(NamedTuple):
    """Ask for a sign that all notices before this link have been told."""

    link: int


class BadLine(Exception):
    """What the processor sent is not of the protocol."""


class Written(NamedTuple):
    """A command that changes a run, by its request's id, or an ask for gauges."""

    at: float
    id: str | None


class Unproven:
    """Which commands may not have reached the processor. It reads in order and answers each ask for gauges,
    so an answer proves all that was written before its ask; what was written since may be lost with the link,
    and so may, by the platform's page, what was written just before the loss, whatever was answered.

    By the time at which a command was handed to the link, one that was written late, or into a link that was
    dead already, once counted as read: its request failed in time, and its core stayed taken for good."""

    def __init__(self) -> None:
        self.written: deque[Written] = deque(maxlen=MOST_UNPROVEN)  # in order; emptied by answers and losses
        self.proven: deque[Written] = deque(maxlen=MOST_UNPROVEN)  # and younger than LOST_SPAN
        self.lost: set[str] = set()  # may be; emptied when the dispatcher is told of them

    def writes(self, now: float, command: Command | Sync) -> None:
        """Before it is written: half a command is none."""
        match command:
            case Gauge():
                self.written.append(Written(now, None))
            case Begin(id) | Reply(id) | TakeUp(id) | Without(id):  # interrupts go out again by themselves
                self.written.append(Written(now, id))

    def answered(self, now: float) -> None:
        """The oldest ask for gauges was."""
        while self.written and (oldest := self.written.popleft()).id is not None:
            self.proven.append(oldest)
        while self.proven and self.proven[0].at < now - LOST_SPAN:
            self.proven.popleft()

    def loses(self, now: float, unsent: Iterable[Command | Sync] = ()) -> None:
        """The link, with what it was still to write."""
        for command in unsent:
            self.writes(now, command)
        late = [each for each in self.proven if each.at >= now - LOST_SPAN]
        self.lost.update(each.id for each in (*self.written, *late) if each.id is not None)
        self.written.clear()
        self.proven.clear()

    def take_lost(self) -> frozenset[str]:
        lost, self.lost = frozenset(self.lost), set()
        return lost


def encode(command: Command | Sync, op_types: list[str]) -> bytes:
    match command:
        case Begin(id, type, body):
            said = {"event": "begin", "handle": id, "entry": op_types[type], "arg": b64encode(body).decode()}
        case Reply(id, body):
            said = {"event": "answer", "handle": id, "arg": b64encode(body).decode()}
        case Interrupt(id):
            said = {"event": "interrupt", "handle": id}
        case TakeUp(id):
            said = {"event": "goon", "handle": id}
        case Without(id):
            said = {"event": "without", "handle": id}
        case Gauge():
            said = {"event": "usage", "ticket": GAUGES}
        case Sync(link):
            said = {"event": "usage", "ticket": f"{SYNC}{link}"}
    return orjson.dumps(said) + b"\n"


def decode(line: bytes, link: int) -> tuple[int, Event | None]:
    """A notice's number, 0 where it has none, and what it says."""
    try:
        said: dict[str, Any] = orjson.loads(line)
        cursor = int(said.get("cursor", 0))
        match said["event"]:
            case "hi":
                return cursor, Up(said["fate"] == "COLD", said["lasted"] / 1000)
            case "complete":
                result = b64decode(said.get("arg") or "", validate=True)
                lasted = said.get("lasted") or 0
                return cursor, Ended(said["handle"], ENDS[said["fate"]], result, float(lasted) / 1000)
            case "ask":
                return cursor, Asked(said["handle"], b64decode(said.get("arg") or "", validate=True))
            case "used" if said.get("ticket") == f"{SYNC}{link}":
                return cursor, Synced(link)
            case "used":
                return cursor, Gauges(tuple(float(value) for value in said["figures"]))
            case "reject":
                return cursor, Refused(said.get("handle", ""), COMMANDS.get(said.get("fate")))
            case "remark":
                return cursor, None
        raise BadLine(f"unknown event {str(said['event'])[:40]}")
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise BadLine(f"{type(error).__name__} {error} in {line[:80]!r}") from None


class Processor:
    """Keeps the link up. What a lost link swallowed is the desk's to send again, once it is `Synced`."""

    def __init__(
        self, where: Address, names: Names, desk: MemoryObjectSendStream[Event], cold: ColdStart | None = None
    ) -> None:
        self.where, self.op_types, self.desk = where, list(names.op_types), desk
        self.tries = (cold or ColdStart(clock())).link
        self.said = Standing.COMING
        self.outbox, self.unsent = anyio.create_memory_object_stream[Command | Sync](OUTBOX)
        self.scope = anyio.CancelScope()  # of the present link
        self.link = self.cursor = 0
        self.unproven = Unproven()

    def tell(self, command: Command | Sync | Move) -> None:
        if isinstance(command, Move):  # the new link takes up behind the last notice read on the old one
            self.where = command.where
            return self.scope.cancel()
        try:
            self.outbox.send_nowait(command)
        except anyio.WouldBlock:
            logs.counts["processor_outbox_full"] += 1
            self.unproven.loses(clock(), (command,))
            self.scope.cancel()

    async def run(self) -> None:
        while True:
            where = self.where
            try:
                with anyio.fail_after(1.0):
                    stream = await anyio.connect_tcp(where.host, where.port)
            except (OSError, TimeoutError):
                await self._rest(self.tries.refused(clock()))
                continue
            if where != self.where:  # moved while it connected: the old address takes no commands for long
                await anyio.aclose_forcefully(stream)
                continue
            self.tries.taken(clock())
            self.link += 1
            try:
                await self._live(stream)
            except Exception as error:
                logs.counts["processor_error"] += 1
                logs.say(logging.ERROR, "processor link ends", error)
            finally:
                await anyio.aclose_forcefully(stream)
            self.unproven.loses(clock())
            logs.counts["processor_links_lost"] += 1
            pause = self.tries.lost(clock())
            await post(self.desk, Down())
            await self._rest(pause)

    async def _rest(self, pause: float) -> None:
        """Until the next try. That it has failed is told once."""
        standing = self.tries.standing(clock())
        if standing is Standing.FAILED and self.said is not standing:
            logs.say(logging.WARNING, "processor out of reach", address=self.where, tries=self.tries.failures)
        self.said = standing
        await anyio.sleep(pause)

    async def _live(self, stream: ByteStream) -> None:
        self.unproven.loses(clock(), take_all(self.unsent))  # told to the link before: the desk sends again
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                hello = orjson.dumps({"event": "hello", "cursor": self.cursor})
                await stream.send(hello + b"\n")
                tasks.start_soon(self._write, stream)
                await self._read(stream)
                self.scope.cancel()

    async def _write(self, stream: ByteStream) -> None:
        try:
            async for command in self.unsent:
                batch, now = [command, *take_all(self.unsent)], clock()
                for each in batch:
                    self.unproven.writes(now, each)
                await stream.send(b"".join(encode(command, self.op_types) for command in batch))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.scope.cancel()

    async def _read(self, stream: ByteStream) -> None:
        rest = b""
        try:
            while True:
                *lines, rest = (rest + await stream.receive(CHUNK)).split(b"\n")
                if len(rest) > LINE_LIMIT:
                    raise BadLine("a line is too long")
                for line in lines:
                    await self._heard(line)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        except BadLine as error:
            logs.counts["processor_bad_line"] += 1
            logs.say(logging.WARNING, "processor link dropped", why=str(error))

    async def _heard(self, line: bytes) -> None:
        cursor, event = decode(line, self.link)
        if cursor:
            if cursor <= self.cursor:  # told before
                return
            self.cursor = cursor
        match event:
            case Up():
                self.tries.up(clock())
                # A processor that is not up carries out no command: what was written before is lost as well.
                self.unproven.loses(clock())
                self.tell(Sync(self.link))
            case Gauges():
                self.unproven.answered(clock())
            case Synced(link):
                event = Synced(link, self.unproven.take_lost())
        if event is not None:
            await post(self.desk, event)
