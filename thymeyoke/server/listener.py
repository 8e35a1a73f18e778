"""The listener of an app server: accepts connections and closes unused ones."""

from __future__ import annotations

import logging
import math
import socket
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import SocketAttribute, TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.configuration.start_file import Address, RequestNames
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import post
from thymeyoke.server.client_connection import ClientConnection
from thymeyoke.server.messages import (
    AllConnectionsClosed,
    CloseListener,
    Event,
    IdleTimeoutChanged,
    ShutdownNotice,
)

SPARE_DESCRIPTORS = 56  # for the peers, dependency connections and the interpreter
ACCEPT_BACKOFF_SECONDS = 0.05  # after a failed accept
ACCEPTS_PER_TURN = 64  # per iteration of the event loop
SHUTDOWN_NOTICE_GRACE_SECONDS = 1.0  # time for a notified client to close its connection itself
INCOMPLETE_MESSAGE_SECONDS = 1.5  # time for a client to complete its first or a partial message
FLUSH_POLL_SECONDS = 0.005
SWEEP_SECONDS = 0.25  # between checks for unused connections and incomplete messages
SWEEPS_PER_IDLE_TIMEOUT = 10


class Listener:
    """Accepts connections and closes unused ones; a connection leaves `connections` when it ends."""

    def __init__(
        self, names: RequestNames, max_descriptors: int, idle_timeout: float,
        dispatcher: MemoryObjectSendStream[Event],
    ) -> None:  # fmt: skip
        """Create a listener; clients close connections unused for `idle_timeout` seconds (0 for never)."""
        self.names, self.dispatcher = names, dispatcher
        self.max_connections = max(1, max_descriptors - SPARE_DESCRIPTORS)
        self.connections: set[ClientConnection] = set()
        self.idle_timeout = self.client_idle_timeout = idle_timeout or math.inf
        self.is_closed = False
        self.socket: socket.socket | None = None
        self.tasks: TaskGroup | None = None  # while it runs

    def notify(self, message: IdleTimeoutChanged | CloseListener) -> None:
        """Change the idle timeout, or close the listener and send all clients the shutdown notice."""
        if isinstance(message, IdleTimeoutChanged):
            self.idle_timeout = message.seconds or math.inf
        elif not self.is_closed:
            self.is_closed = True
            self._close_socket()
            for connection in self.connections:
                connection.send(ShutdownNotice())

    async def listen(self, address: Address) -> Address:
        """Bind the address and return it with the actual port; raises `OSError` if that fails.

        The backlog has room for `max_connections`, so that many clients can reconnect at the same time.
        """
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, backlog=self.max_connections
        )
        self.socket = listener.listeners[0].extra(SocketAttribute.raw_socket)
        bound: Any = listener.listeners[0].extra(SocketAttribute.local_address)
        return Address(str(bound[0]), int(bound[1]))

    async def run(self) -> None:
        """Accept connections until the listener is closed, and serve them until the last one has ended."""
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self._sweep_periodically)
            with suppress(anyio.ClosedResourceError):
                await self._accept()

    async def flush(self) -> None:
        """Wait until all queued messages are written; may never return if a client does not read."""
        while any(connection.unsent_count for connection in self.connections):
            await anyio.sleep(FLUSH_POLL_SECONDS)

    def close(self) -> None:
        """Close the socket of a server that ends without a drain."""
        if self.socket is not None:
            self.socket.close()

    async def _accept(self) -> None:
        while self.socket is not None:
            await anyio.wait_readable(self.socket)
            if not self._accept_waiting(ACCEPTS_PER_TURN):
                await anyio.sleep(ACCEPT_BACKOFF_SECONDS)

    def _accept_waiting(self, max_accepts: int) -> bool:
        """Accept waiting connections; return False if the system refuses to accept more.

        This does not yield between an accept and adding the connection to `connections`. A cancellation in
        between would reset the connection and lose a request that was sent on it.
        """
        for _ in range(max_accepts):
            if self.socket is None or self.tasks is None:
                return True
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return True
            except OSError as error:  # out of descriptors
                logs.counters["accepts_failed"] += 1
                logs.log_event(logging.WARNING, "accept_failed", error)
                return False
            if len(self.connections) >= self.max_connections and not self._evict_connection():
                accepted.close()  # no request was read, so the client can safely try another server
                continue
            self._start_connection(self.tasks, accepted)
        return True

    def _start_connection(self, tasks: TaskGroup, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(accepted, self.names, self.dispatcher)
        self.connections.add(connection)
        tasks.start_soon(self._serve, connection)

    def _close_socket(self) -> None:
        """Accept the connections in the backlog, which may carry requests, then close the listener."""
        if self.socket is None:
            return
        before = len(self.connections)
        self._accept_waiting(self.max_connections)
        closing, self.socket = self.socket, None
        anyio.notify_closing(closing)
        closing.close()
        connections = len(self.connections)
        accepted = connections - before
        logs.log_event(
            logging.INFO, "listener_closed", connections=connections, accepted_from_backlog=accepted
        )

    def _evict_connection(self) -> bool:
        """Close an unused connection to make room for a new one; return whether there was one.

        Connections that are closing already go first, then those that never sent a complete message, then the
        ones unused for longest.
        """
        logs.counters["connections_over_limit"] += 1
        unused = [
            one
            for one in self.connections
            if not one.open_requests and not one.unsent_count and not one.is_posting
        ]
        unused.sort(key=lambda one: (not one.scope.cancel_called, one.has_sent_message, one.used_at))
        victim = next((one for one in unused if one.scope.cancel_called or one.is_quiet()), None)
        if victim is None:
            return False
        self.connections.discard(victim)
        victim.evict()
        return True

    async def _serve(self, connection: ClientConnection) -> None:
        logs.counters["connections_accepted"] += 1
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
            if self.is_closed and not self.connections:
                with anyio.CancelScope(shield=True):
                    await post(self.dispatcher, AllConnectionsClosed())

    async def _sweep_periodically(self) -> None:
        while True:
            period = max(ACCEPT_BACKOFF_SECONDS, self.idle_timeout / SWEEPS_PER_IDLE_TIMEOUT)
            await anyio.sleep(min(SWEEP_SECONDS, period))
            self._sweep(clock())

    def _sweep(self, now: float) -> None:
        """Notify, then close, clients whose connections are idle and have no open request.

        A connection with a message that stays incomplete is closed once its open requests are answered.
        """
        for connection in list(self.connections):
            if connection.scope.cancel_called:  # already closing
                continue
            is_incomplete = now > connection.incomplete_since + INCOMPLETE_MESSAGE_SECONDS
            if is_incomplete and connection.is_idle():
                logs.counters["incomplete_messages"] += 1
                connection.scope.cancel()
            elif connection.open_requests:
                continue
            elif now > connection.notified_at + SHUTDOWN_NOTICE_GRACE_SECONDS:
                self._close_notified(now, connection)
            elif now > connection.used_at + self.idle_timeout and connection.notified_at == math.inf:
                logs.counters["idle_connections_closed"] += 1
                connection.send(ShutdownNotice())

    def _close_notified(self, now: float, connection: ClientConnection) -> None:
        """Close a connection that a notified client has not closed itself."""
        reads_no_answers = now > connection.used_at + self.client_idle_timeout
        # The client may be in the middle of a message that it began before it read the notice.
        is_unused = connection.is_idle() and not connection.reader.is_incomplete()
        if is_unused or reads_no_answers:
            connection.scope.cancel()
