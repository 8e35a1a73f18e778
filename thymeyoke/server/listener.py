"""The listener, and an actor for each router connection."""

from __future__ import annotations

import logging
import math
import select
import socket
from contextlib import suppress

import anyio
from anyio.abc import SocketAttribute, TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.configuration.start_file import Address, Names
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import post, take_all
from thymeyoke.server import routers_wire
from thymeyoke.server.messages import (
    Answer,
    Arrived,
    Checked,
    Emptied,
    Event,
    Fitness,
    Gone,
    Leaving,
    Telling,
    Trim,
    Verdict,
)
from thymeyoke.server.socket_reader import Receiver

OPEN_OPS = 32  # of one connection
OUTBOX = 4 * OPEN_OPS  # answers that a router may leave unread
SPARE_DESCRIPTORS = 56  # kept for the links, the list, calls and the interpreter
ACCEPT_PAUSE = 0.05  # after a failed accept
ACCEPTS = 64  # in one turn of the event loop, while the door is open
GRACE = 1.0  # a router that was told `leaving` closes by itself; past this it is done for it
HALF_SAID = 1.5  # a router finishes what it says, and says something once connected, sooner than this
LINGER = 0.05  # what crosses a close comes within this: it is read and dropped, and meets no reset
LINGER_READS = 8  # of a chunk each; past them it is a flood, and a reset is what it gets
FLUSH_LOOK = 0.005
LOOK = 0.25  # between looks at what is unused or unfinished
UNCLEAR_LIMIT = 4  # ops of one connection that are not understood; a router sends none


class Connection:
    """One router connection. `open` is emptied by answers, cancels and the connection's end.

    It reads and writes its socket itself: bytes are unread in the socket or in the receiver, where `quiet`
    sees them, or have become messages that are taken in the same step. With a stream's buffer between the
    two, a connection once looked unused while a request stood in that buffer.
    """

    def __init__(self, accepted: socket.socket, names: Names, desk: MemoryObjectSendStream[Event]) -> None:
        self.accepted, self.desk, self.reader = accepted, desk, routers_wire.Reader(names)
        self.receiver = Receiver(accepted)
        self.open: dict[int, str | None] = {}  # requests' ids by number, None for a health check
        self.outbox, self.unsent = anyio.create_memory_object_stream[Telling | None](OUTBOX)
        self.scope = anyio.CancelScope()
        self.used, self.leaving_since, self.ended = clock(), math.inf, False
        self.half_since = self.used  # since when something is awaited: the first message, or the rest of one
        self.unclear, self.heard = 0, False
        self.taking = False  # while messages that were read wait for room in the desk's mailbox
        self.owed = 0  # told and not yet written
        self.rest = memoryview(b"")  # of what is being written

    def tell(self, what: Telling | None) -> None:
        if isinstance(what, Answer | Fitness):
            self.open.pop(what.number, None)
        elif isinstance(what, Leaving):
            self.leaving_since = min(self.leaving_since, clock())
        try:
            self.outbox.send_nowait(what)
            self.owed += 1
        except anyio.WouldBlock:  # it reads no answers: it is closed, and its ops with it
            logs.counts["outbox_full"] += 1
            self.scope.cancel()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            logs.counts["answer_unsent"] += 1

    async def run(self) -> None:
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write)
                    await self._read()
        except Exception as error:
            logs.counts["connection_error"] += 1
            logs.say(logging.ERROR, "connection ends", error)
        finally:
            with anyio.CancelScope(shield=True):
                await self._end()

    def evict(self) -> None:
        """End it at once: its descriptor is free when this returns, and what may still cross the close is not
        waited for. Closed by their tasks, two turns later, up to three times ACCEPTS were held beside it."""
        self.scope.cancel()
        self.receiver.stop()
        self._shut()
        self._drained()
        anyio.notify_closing(self.accepted)
        self.accepted.close()

    def _shut(self) -> None:
        """Write what was told, as far as it is taken at once, and end the sending half."""
        with suppress(OSError):
            self.accepted.send(b"".join([self.rest, *map(_encode, take_all(self.unsent))]))
        with suppress(OSError):  # the router's side is gone already
            self.accepted.shutdown(socket.SHUT_WR)
        self.owed = 0

    async def _end(self) -> None:
        """What was told is written, then the sending half ends, then what still comes is read and dropped,
        then the socket is closed. A close over unread bytes is a reset, and a request that is read once no
        answer can be written must not be handed on."""
        lost, self.open = [id for id in self.open.values() if id], {}
        self.receiver.stop()
        self._shut()
        self.unsent.close()
        self.outbox.close()
        for id in lost:
            await post(self.desk, Gone(id, self))
        with anyio.move_on_after(LINGER), suppress(anyio.ClosedResourceError):  # evicted meanwhile
            while not self._drained():
                await anyio.wait_readable(self.accepted)
        self.accepted.close()

    def _drained(self) -> bool:
        """Drop what stands unread; whether the router's side has ended too."""
        try:
            for _ in range(LINGER_READS):
                if not self.accepted.recv(routers_wire.CHUNK):
                    break
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def idle(self) -> bool:
        """Whether it can be closed at no one's loss. An answer that is told is not written yet: once a close
        came between the two."""
        return not self.open and not self.owed and not self.taking and self.quiet()

    def quiet(self) -> bool:
        """Whether nothing stands unread on it. An op that was written before the close is lost with it, and a
        server that is behind with its reading has not heard of it yet."""
        if not self.receiver.empty:
            return False
        if self.accepted.fileno() < 0:
            return True
        look = select.poll()
        look.register(self.accepted, select.POLLIN)
        return not look.poll(0)

    async def _read(self) -> None:
        try:
            while data := await self.receiver.take():
                self.used = clock()
                await self._feed(data)
            self.ended = True  # only its sending half: what is open may still be answered
            self.tell(None)
        except OSError:
            self.scope.cancel()
        except routers_wire.BadFrame as error:
            logs.counts["bad_frame"] += 1
            logs.of_peer("connection closed", why=str(error))
            self.scope.cancel()

    async def _feed(self, data: bytes) -> None:
        messages = self.reader.feed(data)
        self.taking = True
        for message in messages:
            if not self.scope.cancel_called:  # closed meanwhile: nobody would read the answer
                await self._take(message)
        self.taking = False
        self.heard = self.heard or bool(messages)
        if self.heard and not self.reader.half():
            self.half_since = math.inf
        elif messages or self.half_since == math.inf:
            self.half_since = self.used

    async def _take(self, message: routers_wire.Message) -> None:
        match message:
            case routers_wire.Ask(number, order):
                self._open(number, order.id)
                await post(self.desk, Arrived(self, number, order))
            case routers_wire.Check(number):
                self._open(number, None)
                await post(self.desk, Checked(self, number))
            case routers_wire.Cancel(number):
                if id := self.open.get(number):
                    del self.open[number]
                    await post(self.desk, Gone(id, self))
            case routers_wire.Unclear(number, why):
                self._check_unused(number)
                logs.counts["unclear"] += 1
                logs.of_peer("op not understood", why=why)
                self.tell(Answer(number, Verdict.NACK))
                self.unclear += 1
                if self.unclear > UNCLEAR_LIMIT:  # the same again as soon as it is turned away, for ever
                    raise routers_wire.BadFrame("too many ops that are not understood")

    def _open(self, number: int, id: str | None) -> None:
        self._check_unused(number)
        if len(self.open) >= OPEN_OPS:
            raise routers_wire.BadFrame("too many ops open")
        self.open[number] = id

    def _check_unused(self, number: int) -> None:
        """The answer to a second message under an open number would pass for the answer to the first."""
        if number in self.open:
            raise routers_wire.BadFrame(f"number {number} is open already")

    async def _write(self) -> None:
        try:
            async for first in self.unsent:
                batch = [first, *take_all(self.unsent)]
                if data := b"".join(map(_encode, batch)):
                    await self._send(data)
                    self.used = clock()
                self.owed -= len(batch)
                if self.ended and not self.open and not self.owed:
                    self.scope.cancel()
        except (OSError, anyio.ClosedResourceError):
            self.scope.cancel()

    async def _send(self, data: bytes) -> None:
        self.rest = memoryview(data)
        while self.rest:
            try:
                self.rest = self.rest[self.accepted.send(self.rest) :]
            except BlockingIOError:
                await anyio.wait_writable(self.accepted)


def _encode(what: Telling | None) -> bytes:
    return b"" if what is None else routers_wire.encode(what)


class Front:
    """Takes connections and closes what is unused. `connections` is emptied as they end."""

    def __init__(
        self, names: Names, descriptors: int, idle: float, desk: MemoryObjectSendStream[Event]
    ) -> None:
        self.names, self.most, self.desk = names, max(1, descriptors - SPARE_DESCRIPTORS), desk
        self.connections: set[Connection] = set()
        # A deployment that names no idle span has its clients close connections by themselves, or never.
        self.idle = self.idle_told = idle or math.inf
        self.leaving = False
        self.door: socket.socket | None = None
        self.tasks: TaskGroup | None = None  # while it runs

    def tell(self, what: Trim | Leaving) -> None:
        if isinstance(what, Trim):
            self.idle = what.span or math.inf
        elif not self.leaving:
            self.leaving = True
            self._shut()
            for connection in self.connections:
                connection.tell(what)

    async def listen(self, where: Address) -> Address:
        """Callers that come back all at once wait in the queue, as many as there is room for later."""
        listener = await anyio.create_tcp_listener(
            local_host=where.host, local_port=where.port, backlog=self.most)  # fmt: skip
        self.door = listener.listeners[0].extra(SocketAttribute.raw_socket)
        host, port = listener.listeners[0].extra(SocketAttribute.local_address)[:2]
        return Address(host, port)

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self._trim)
            with suppress(anyio.ClosedResourceError):  # the door is shut
                await self._accept()

    async def flush(self) -> None:
        """Until all that was told is written; some peer may never take it."""
        while any(connection.owed for connection in self.connections):
            await anyio.sleep(FLUSH_LOOK)

    def close(self) -> None:
        """For a server that ends without a drain."""
        if self.door is not None:
            self.door.close()

    async def _accept(self) -> None:
        while self.door is not None:
            await anyio.wait_readable(self.door)
            if not self._let_in(ACCEPTS):
                await anyio.sleep(ACCEPT_PAUSE)

    def _let_in(self, most: int) -> bool:
        """Accept what waits, without a turn of the loop between a connection and its place in `connections`:
        one that is cancelled there is reset, with the op that was written on it."""
        for _ in range(most):
            if self.door is None or self.tasks is None:
                return True
            try:
                accepted, _ = self.door.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return True
            except OSError as error:  # no descriptors
                logs.counts["accept_failed"] += 1
                logs.say(logging.WARNING, "accept failed", error)
                return False
            if len(self.connections) >= self.most and not self._make_room():
                accepted.close()  # nothing ran for it: it may go elsewhere
                continue
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(accepted, self.names, self.desk)
            self.connections.add(connection)
            self.tasks.start_soon(self._serve, connection)
        return True

    def _shut(self) -> None:
        """Close the listener, with nobody in its queue: what was written there is an op of ours already."""
        if self.door is not None:
            before = len(self.connections)
            self._let_in(self.most)
            door, self.door = self.door, None
            anyio.notify_closing(door)
            door.close()
            let_in = len(self.connections) - before
            logs.say(logging.INFO, "door shut", connections=len(self.connections), let_in=let_in)

    def _make_room(self) -> bool:
        """A full table once shut routers out for peers that hold a connection and say nothing: who never said
        a whole message goes first, then who said the last one longest ago. None with an op open."""
        logs.counts["no_descriptor"] += 1
        unused = [one for one in self.connections if not one.open and not one.owed and not one.taking]
        unused.sort(key=lambda one: (not one.scope.cancel_called, one.heard, one.used))
        victim = next((one for one in unused if one.scope.cancel_called or one.quiet()), None)
        if victim is None:
            return False
        self.connections.discard(victim)
        victim.evict()
        return True

    async def _serve(self, connection: Connection) -> None:
        logs.counts["connections"] += 1
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
            if self.leaving and not self.connections:
                with anyio.CancelScope(shield=True):
                    await post(self.desk, Emptied())

    async def _trim(self) -> None:
        while True:
            await anyio.sleep(min(LOOK, max(ACCEPT_PAUSE, self.idle / 10)))
            self._look(clock())

    def _look(self, now: float) -> None:
        """Close what is unused for long. Only connections with no op open, and the router is told first. A
        message that stands half said ends it too, once what is open beside it is answered."""
        for connection in list(self.connections):
            if connection.scope.cancel_called:  # it ends already
                continue
            if now > connection.half_since + HALF_SAID and connection.idle():
                logs.counts["half_said"] += 1
                connection.scope.cancel()
            elif connection.open:
                continue
            elif now > connection.leaving_since + GRACE:
                takes_no_answers = now > connection.used + self.idle_told
                # A slow writer may be in the middle of a message that it began before it read `leaving`.
                if (connection.idle() and not connection.reader.half()) or takes_no_answers:
                    connection.scope.cancel()
            elif now > connection.used + self.idle and connection.leaving_since == math.inf:
                logs.counts["trimmed"] += 1
                connection.tell(Leaving())
