"""The listener of an app server: accepts connections and closes those that are unused."""

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

SPARE_DESCRIPTORS = 56  # kept for the peers, dependency calls and the interpreter
ACCEPT_BACKOFF_SECONDS = 0.05  # after a failed accept
ACCEPTS_PER_TURN = 64  # of the event loop
SHUTDOWN_NOTICE_GRACE_SECONDS = 1.0  # a notified client closes by itself; past this the server does
INCOMPLETE_MESSAGE_SECONDS = 1.5  # a router sends its first message, and the rest of one, within this
FLUSH_POLL_SECONDS = 0.005
SWEEP_SECONDS = 0.25  # between looks at what is unused or incomplete
SWEEPS_PER_IDLE_TIMEOUT = 10


class Listener:
    """Accepts connections and closes what is unused. `connections` is emptied as they end."""

    def __init__(
        self, names: RequestNames, max_descriptors: int, idle_timeout: float,
        dispatcher: MemoryObjectSendStream[Event],
    ) -> None:  # fmt: skip
        """`idle_timeout`: seconds after which clients close unused connections themselves; 0: never."""
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
        """Listen, and return the address with its port; OSError where it cannot be had.

        Clients that reconnect all at once wait in the backlog, as many as there is room for later.
        """
        listener = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port, backlog=self.max_connections
        )
        self.socket = listener.listeners[0].extra(SocketAttribute.raw_socket)
        bound: Any = listener.listeners[0].extra(SocketAttribute.local_address)
        return Address(str(bound[0]), int(bound[1]))

    async def run(self) -> None:
        """Accept until the listener is closed, and serve until the last connection has ended."""
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self._sweep_periodically)
            with suppress(anyio.ClosedResourceError):
                await self._accept()

    async def flush(self) -> None:
        """Wait until all that is queued is written; some client may never take it."""
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
        """Accept what waits; False where the system allows no more.

        There is no turn of the loop between an accept and the connection's place in `connections`: one that
        was cancelled there would be reset, with the request that was written on it.
        """
        for _ in range(max_accepts):
            if self.socket is None or self.tasks is None:
                return True
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return True
            except OSError as error:  # no descriptors
                logs.counters["accepts_failed"] += 1
                logs.log_event(logging.WARNING, "accept_failed", error)
                return False
            if len(self.connections) >= self.max_connections and not self._evict_connection():
                accepted.close()  # nothing ran for it: its client may go elsewhere
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
        """Close the listener, with nobody in its backlog: what was written there is this server's already."""
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
        """Close an unused connection for a new one; whether there was any.

        A client that never sent a complete message goes first, then the one that sent its last one longest
        ago.
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
        """Close connections that were idle for long and have no open request, after a notice to the client.

        An incomplete message ends its connection too, once what is open beside it is answered.
        """
        for connection in list(self.connections):
            if connection.scope.cancel_called:  # it ends already
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
        """Close a connection whose client was notified and did not close it itself."""
        reads_no_answers = now > connection.used_at + self.client_idle_timeout
        # A slow writer may be in the middle of a message that it began before it read the notice.
        is_unused = connection.is_idle() and not connection.reader.is_incomplete()
        if is_unused or reads_no_answers:
            connection.scope.cancel()
