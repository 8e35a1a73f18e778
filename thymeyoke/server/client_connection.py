"""The actor of one client connection, which reads requests and writes answers."""

from __future__ import annotations

import logging
import math
import select
import socket
from contextlib import suppress

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.configuration.start_file import RequestNames
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import Answer, Verdict
from thymeyoke.runtime.mailbox import post, take_all
from thymeyoke.runtime.msgpack_rpc import READ_BYTES, InvalidFrameError
from thymeyoke.server import routers_wire
from thymeyoke.server.messages import (
    ClientGone,
    ClientMessage,
    Event,
    HealthAnswer,
    HealthCheckReceived,
    RequestReceived,
    ShutdownNotice,
)

MAX_OPEN_REQUESTS = 32  # per connection
OUTBOX_SIZE = 4 * MAX_OPEN_REQUESTS  # answers that a client may leave unread
CLOSE_LINGER_SECONDS = 0.05  # how long a closing connection reads and discards late data
CLOSE_LINGER_READS = 8  # after this many reads in a row the connection is reset
MAX_INVALID_REQUESTS = 4  # per connection; a correct router sends none


class ClientConnection:
    """One client connection; entries of `open_requests` go with the answer, a cancel or the connection.

    It reads and writes its socket directly instead of through a stream. Data is either in the socket, where
    `is_quiet` finds it, or has been decoded and is handled in the same step. In a stream's buffer a request
    would be invisible, and the connection would appear unused.
    """

    def __init__(
        self, accepted: socket.socket, names: RequestNames, dispatcher: MemoryObjectSendStream[Event]
    ) -> None:
        self.socket, self.dispatcher = accepted, dispatcher
        self.reader = routers_wire.RequestReader(names)
        self.open_requests: dict[int, str | None] = {}  # request ids by number; None for a health check
        self.outbox, self.outbox_reader = anyio.create_memory_object_stream[ClientMessage | None](OUTBOX_SIZE)
        self.scope = anyio.CancelScope()
        self.used_at = clock()
        self.notified_at = math.inf  # when the shutdown notice was queued
        self.has_ended = False  # the client has closed its sending half
        self.incomplete_since = self.used_at  # since when a first or partial message has been incomplete
        self.invalid_requests = 0
        self.has_sent_message = False
        self.is_posting = False  # while messages that were read wait for the dispatcher's mailbox
        self.unsent_count = 0  # messages that are queued and not yet written
        self.unwritten = memoryview(b"")  # rest of the data that is being written

    def send(self, message: ClientMessage | None) -> None:
        """Queue a message; None only wakes the writer. A client whose outbox is full is disconnected."""
        if isinstance(message, Answer | HealthAnswer):
            self.open_requests.pop(message.number, None)
        elif isinstance(message, ShutdownNotice):
            self.notified_at = min(self.notified_at, clock())
        try:
            self.outbox.send_nowait(message)
            self.unsent_count += 1
        except anyio.WouldBlock:
            logs.counters["client_outboxes_full"] += 1
            self.scope.cancel()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            logs.counters["answers_unsent"] += 1

    async def run(self) -> None:
        """Serve the client until either side closes the connection."""
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write)
                    await self._read()
        except Exception as error:
            logs.counters["connection_errors"] += 1
            logs.log_event(logging.ERROR, "connection_failed", error)
        finally:
            with anyio.CancelScope(shield=True):
                await self._end()

    def evict(self) -> None:
        """Close it at once: its descriptor is free when this returns.

        Unlike `_end` it does not wait for data that is still on its way. The connection's task would close it
        two loop iterations later, and a burst of accepts would run out of descriptors.
        """
        self.scope.cancel()
        self._finish_sending()
        self._discard_unread()
        anyio.notify_closing(self.socket)
        self.socket.close()

    def _finish_sending(self) -> None:
        """Write as much of the queued data as possible without blocking, and shut down the sending half."""
        with suppress(OSError):
            self.socket.send(b"".join([self.unwritten, *map(_encode, take_all(self.outbox_reader))]))
        with suppress(OSError):  # the client has closed the connection already
            self.socket.shutdown(socket.SHUT_WR)
        self.unsent_count = 0

    async def _end(self) -> None:
        """Write queued data, shut down the sending half, discard late data, and close the socket.

        Closing a socket with unread data would reset the connection, and a request that is read once no
        answer can be written must not be handled.
        """
        lost, self.open_requests = [id for id in self.open_requests.values() if id], {}
        self._finish_sending()
        self.outbox_reader.close()
        self.outbox.close()
        for id in lost:
            await post(self.dispatcher, ClientGone(id, self))
        with anyio.move_on_after(CLOSE_LINGER_SECONDS), suppress(anyio.ClosedResourceError):
            while not self._discard_unread():
                await anyio.wait_readable(self.socket)
        self.socket.close()

    def _discard_unread(self) -> bool:
        """Discard unread data; return whether the client has closed its side too."""
        try:
            for _ in range(CLOSE_LINGER_READS):
                if not self.socket.recv(READ_BYTES):
                    break
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def is_idle(self) -> bool:
        """Whether it can be closed without loss: no open request, no queued message and no unread data."""
        return not self.open_requests and not self.unsent_count and not self.is_posting and self.is_quiet()

    def is_quiet(self) -> bool:
        """Whether there is no unread data, in which a request could be lost when the connection is closed."""
        if self.socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return not poll.poll(0)

    async def _read(self) -> None:
        try:
            while data := await self._receive():
                self.used_at = clock()
                await self._feed(data)
            self.has_ended = True  # open requests may still be answered
            self.send(None)
        except (OSError, anyio.ClosedResourceError):
            self.scope.cancel()
        except InvalidFrameError as error:
            logs.counters["invalid_frames"] += 1
            logs.log_peer_fault("invalid_frame_received", reason=str(error))
            self.scope.cancel()

    async def _receive(self) -> bytes:
        """Receive the next chunk, or b"" at end of file; raises `OSError` if the connection is lost."""
        while self.socket.fileno() >= 0:  # it may be evicted before its task begins
            await anyio.wait_readable(self.socket)
            with suppress(BlockingIOError):
                return self.socket.recv(READ_BYTES)
        raise anyio.ClosedResourceError

    async def _feed(self, data: bytes) -> None:
        messages = self.reader.feed(data)
        self.is_posting = True
        for message in messages:
            if not self.scope.cancel_called:  # no answer can be written after that
                await self._handle(message)
        self.is_posting = False
        self.has_sent_message = self.has_sent_message or bool(messages)
        if self.has_sent_message and not self.reader.is_incomplete():
            self.incomplete_since = math.inf
        elif messages or self.incomplete_since == math.inf:
            self.incomplete_since = self.used_at

    async def _handle(self, message: routers_wire.Message) -> None:
        match message:
            case routers_wire.RequestMessage(number, header):
                self._open_request(number, header.id)
                await post(self.dispatcher, RequestReceived(self, number, header))
            case routers_wire.HealthCheckMessage(number):
                self._open_request(number, None)
                await post(self.dispatcher, HealthCheckReceived(self, number))
            case routers_wire.CancelMessage(number):
                if id := self.open_requests.get(number):
                    del self.open_requests[number]
                    await post(self.dispatcher, ClientGone(id, self))
            case routers_wire.InvalidRequestMessage(number, reason):
                self._reject_invalid(number, reason)

    def _reject_invalid(self, number: int, reason: str) -> None:
        """Reject a malformed request; a client that sends too many of them is disconnected."""
        self._check_unused(number)
        logs.counters["invalid_requests"] += 1
        logs.log_peer_fault("invalid_request_received", reason=reason)
        self.send(Answer(number, Verdict.REJECTED))
        self.invalid_requests += 1
        if self.invalid_requests > MAX_INVALID_REQUESTS:
            raise InvalidFrameError("too many invalid requests")

    def _open_request(self, number: int, id: str | None) -> None:
        self._check_unused(number)
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            raise InvalidFrameError("too many open requests")
        self.open_requests[number] = id

    def _check_unused(self, number: int) -> None:
        """Reject a number that is still open: its two answers could not be told apart."""
        if number in self.open_requests:
            raise InvalidFrameError(f"request number {number} is already in use")

    async def _write(self) -> None:
        try:
            async for first in self.outbox_reader:
                batch = [first, *take_all(self.outbox_reader)]
                if data := b"".join(map(_encode, batch)):
                    await self._send(data)
                    self.used_at = clock()
                self.unsent_count -= len(batch)
                if self.has_ended and not self.open_requests and not self.unsent_count:
                    self.scope.cancel()
        except (OSError, anyio.ClosedResourceError):
            self.scope.cancel()

    async def _send(self, data: bytes) -> None:
        self.unwritten = memoryview(data)
        while self.unwritten:
            try:
                self.unwritten = self.unwritten[self.socket.send(self.unwritten) :]
            except BlockingIOError:
                await anyio.wait_writable(self.socket)


def _encode(message: ClientMessage | None) -> bytes:
    return b"" if message is None else routers_wire.encode(message)
