"""The listener, and an actor for each router connection."""

from __future__ import annotations

import logging
import math

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.net import log, rpc
from thymeyoke.net.clock import clock
from thymeyoke.net.mail import (
    Answer,
    Arrived,
    Checked,
    Emptied,
    Event,
    Gone,
    Leaving,
    Telling,
    Trim,
    Verdict,
    post,
    waiting,
)
from thymeyoke.start import Address, Names

OPEN_OPS = 32  # of one connection
OUTBOX = 4 * OPEN_OPS  # answers that a router may leave unread
SPARE_DESCRIPTORS = 56  # kept for the links, the list, calls and the interpreter
ACCEPT_PAUSE = 0.05  # after a failed accept
BACKLOG = 256
GRACE = 1.0  # a router that was told `leaving` closes by itself; past this it is done for it
HALF_SAID = 1.5  # a router finishes what it says, and says something once connected, sooner than this
LOOK = 0.25  # between looks at what is unused or unfinished
UNCLEAR_LIMIT = 4  # ops of one connection that are not understood; a router sends none


class Connection:
    """One router connection. `open` is emptied by answers, cancels and the connection's end."""

    def __init__(self, stream: SocketStream, names: Names, desk: MemoryObjectSendStream[Event]) -> None:
        self.stream, self.desk, self.reader = stream, desk, rpc.Reader(names)
        self.open: dict[int, str] = {}
        self.outbox, self.unsent = anyio.create_memory_object_stream[Telling | None](OUTBOX)
        self.scope = anyio.CancelScope()
        self.used, self.leaving_since, self.ended = clock(), math.inf, False
        self.half_since = self.used  # since when something is awaited: the first message, or the rest of one
        self.unclear, self.heard = 0, False

    def tell(self, what: Telling | None) -> None:
        if isinstance(what, Answer):
            self.open.pop(what.number, None)
        elif isinstance(what, Leaving):
            self.leaving_since = min(self.leaving_since, clock())
        try:
            self.outbox.send_nowait(what)
        except anyio.WouldBlock:  # it reads no answers: it is closed, and its ops with it
            log.counts["outbox_full"] += 1
            self.scope.cancel()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            log.counts["answer_unsent"] += 1

    async def run(self) -> None:
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write)
                    await self._read()
        except Exception as error:
            log.counts["connection_error"] += 1
            log.say(logging.ERROR, "connection ends", error)
        finally:
            self.unsent.close()
            self.outbox.close()
            with anyio.CancelScope(shield=True):
                lost, self.open = list(self.open.values()), {}
                for id in lost:
                    await post(self.desk, Gone(id, self))
                await anyio.aclose_forcefully(self.stream)

    async def _read(self) -> None:
        try:
            while True:
                data = await self.stream.receive(rpc.CHUNK)
                self.used = clock()
                for message in self.reader.feed(data):
                    await self._take(message)
                    self.heard, self.half_since = True, self.used
                if self.heard and not self.reader.half():
                    self.half_since = math.inf
                elif self.half_since == math.inf:
                    self.half_since = self.used
        except anyio.EndOfStream:  # only its sending half ended: what is open may still be answered
            self.ended = True
            self.tell(None)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.scope.cancel()
        except rpc.BadFrame as error:
            log.counts["bad_frame"] += 1
            log.of_peer("connection closed", why=str(error))
            self.scope.cancel()

    async def _take(self, message: rpc.Message) -> None:
        match message:
            case rpc.Ask(number, order):
                if number in self.open:
                    raise rpc.BadFrame(f"number {number} is open already")
                if len(self.open) >= OPEN_OPS:
                    raise rpc.BadFrame("too many ops open")
                self.open[number] = order.id
                await post(self.desk, Arrived(self, number, order))
            case rpc.Check(number):
                await post(self.desk, Checked(self, number))
            case rpc.Cancel(number):
                if id := self.open.pop(number, None):
                    await post(self.desk, Gone(id, self))
            case rpc.Unclear(number, why):
                log.counts["unclear"] += 1
                log.of_peer("op not understood", why=why)
                self.tell(Answer(number, Verdict.NACK))
                self.unclear += 1
                if self.unclear > UNCLEAR_LIMIT:  # the same again as soon as it is turned away, for ever
                    raise rpc.BadFrame("too many ops that are not understood")

    async def _write(self) -> None:
        try:
            async for first in self.unsent:
                batch = [first, *waiting(self.unsent)]
                if data := b"".join(rpc.encode(what) for what in batch if what is not None):
                    await self.stream.send(data)
                    self.used = clock()
                if self.ended and not self.open and not self.unsent.statistics().current_buffer_used:
                    self.scope.cancel()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.scope.cancel()


class Front:
    """Takes connections and closes what is unused. `connections` is emptied as they end."""

    def __init__(
        self, names: Names, descriptors: int, idle: float, desk: MemoryObjectSendStream[Event]
    ) -> None:
        self.names, self.most, self.desk = names, max(1, descriptors - SPARE_DESCRIPTORS), desk
        self.connections: set[Connection] = set()
        self.idle, self.leaving = idle, False
        self.accepting = anyio.CancelScope()
        self.listener: SocketListener | None = None

    def tell(self, what: Trim | Leaving) -> None:
        if isinstance(what, Trim):
            self.idle = what.span
            return
        self.leaving = True
        self.accepting.cancel()
        for connection in self.connections:
            connection.tell(what)

    async def listen(self, where: Address) -> Address:
        many = await anyio.create_tcp_listener(local_host=where.host, local_port=where.port, backlog=BACKLOG)
        self.listener = many.listeners[0]
        host, port = self.listener.extra(SocketAttribute.local_address)[:2]
        return Address(host, port)

    async def run(self) -> None:
        assert self.listener is not None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._trim)
            async with self.listener:
                with self.accepting:
                    await self._accept(tasks, self.listener)

    async def _accept(self, tasks: TaskGroup, listener: SocketListener) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:  # no descriptors, or a peer that left while it waited
                log.counts["accept_failed"] += 1
                log.say(logging.WARNING, "accept failed", error)
                await anyio.sleep(ACCEPT_PAUSE)
                continue
            if len(self.connections) >= self.most and not self._make_room():
                await anyio.aclose_forcefully(stream)  # nothing ran for it: it may go elsewhere
                continue
            connection = Connection(stream, self.names, self.desk)
            self.connections.add(connection)
            tasks.start_soon(self._serve, connection)

    def _make_room(self) -> bool:
        """A full table once shut routers out for peers that hold a connection and say nothing: who never said
        a whole message goes first, then who said the last one longest ago. None with an op open."""
        log.counts["no_descriptor"] += 1
        idle = [connection for connection in self.connections if not connection.open]
        victim = min(idle, key=lambda connection: (connection.heard, connection.used), default=None)
        if victim is None:
            return False
        self.connections.discard(victim)
        victim.scope.cancel()
        return True

    async def _serve(self, connection: Connection) -> None:
        log.counts["connections"] += 1
        if self.leaving:
            connection.tell(Leaving())
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
            if self.leaving and not self.connections:
                with anyio.CancelScope(shield=True):
                    await post(self.desk, Emptied())

    async def _trim(self) -> None:
        """Close what is unused for long. Only connections with no op open, and the router is told first. A
        message that stands half said is waited for no longer, whoever sends it."""
        while True:
            await anyio.sleep(min(LOOK, max(ACCEPT_PAUSE, self.idle / 10)))
            now = clock()
            for connection in list(self.connections):
                if now > connection.half_since + HALF_SAID:
                    log.counts["half_said"] += 1
                    connection.scope.cancel()
                elif connection.open:
                    continue
                elif now > connection.leaving_since + GRACE:
                    connection.scope.cancel()
                elif now > connection.used + self.idle and connection.leaving_since == math.inf:
                    log.counts["trimmed"] += 1
                    connection.tell(Leaving())
