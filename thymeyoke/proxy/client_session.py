"""The client connections of a node, each from its accept to its end.

Callbacks of sockets move one connection through the table of `session_state.py`. `advance` asks the
connection table, the upstream connector and the affinity table what is next for all connections, and carries
it out. Nothing is read from a client before its app server is connected.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from thymeyoke.affinity.clients import client_key
from thymeyoke.affinity.controller import JOIN_TIMEOUT_MARGINS, AffinityTable, Assignment, AssignmentReason
from thymeyoke.proxy import relay, session_state
from thymeyoke.proxy.connection_admission import QUEUE_TIMEOUT_SECONDS, ConnectionTable, WaitingConnection
from thymeyoke.proxy.listener import Service
from thymeyoke.proxy.load import Rates
from thymeyoke.proxy.session_state import At, Do, Event
from thymeyoke.proxy.upstream_connector import Open, UpstreamConnector
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock

# Reasons to wait that concern all sessions.
SHARED_WAIT_REASONS = (
    AssignmentReason.JOINING,
    AssignmentReason.NO_SERVER,
)
RESET = select.POLLERR | select.POLLHUP
# Errors of this machine.
LOCAL_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
)

# Counters of connections closed without a run, by state and event.
CLOSE_COUNTERS = {
    (At.SILENT, Event.LATE): "node_silent",
    (At.SILENT, Event.LEFT): "node_left_early",
    (At.SILENT, Event.PUSHED): "node_pushed_out",
    (At.WAITING, Event.LATE): "node_waited_out",
    (At.WAITING, Event.LEFT): "node_left_early",
    (At.WAITING, Event.PUSHED): "node_pushed_out",
    (At.SEATING, Event.LATE): "node_no_place",
    (At.SEATING, Event.LEFT): "node_left_early",
    (At.SEATING, Event.UNSEATED): "node_no_place",
    (At.CONNECTING, Event.LATE): "node_no_place",
    (At.CONNECTING, Event.LEFT): "node_left_early",
    (At.CONNECTING, Event.UNSEATED): "node_no_place",
}


class UpstreamAddress(NamedTuple):
    """The address at which an app server accepts connections."""

    family: socket.AddressFamily
    address: tuple[str, int]


class ClientSession:
    """One client connection."""

    __slots__ = (
        "admitted_at",
        "at",
        "client",
        "number",
        "server",
        "service",
        "sock",
        "source",
        "upstream",
        "waiter",
    )

    def __init__(self, number: int, service: Service, sock: socket.socket, source: str) -> None:
        self.number, self.service, self.sock, self.source = number, service, sock, source
        self.client = 0  # the client's key, once admitted
        self.at, self.server = At.SILENT, ""
        self.admitted_at = 0.0  # 0 while it has no slot
        self.waiter: WaitingConnection | None = None  # while it waits for a slot
        self.upstream: socket.socket | None = None  # to its app server, until the relay starts


class ClientSessions:
    """All client connections of a node.

    Sessions leave `open_sessions` as they end. `wake` schedules a call of `advance`. `detect_stall` is called
    before callbacks of the event loop use the affinity table, as they may run before the node's own loop.
    """

    def __init__(
        self, max_connections: int, affinity: AffinityTable, rng: Random, loop: asyncio.AbstractEventLoop,
        wake: Callable[[], None], detect_stall: Callable[[float], None],
    ) -> None:  # fmt: skip
        self.affinity, self.loop, self.wake, self.detect_stall = affinity, loop, wake, detect_stall
        self.table, self.connector = ConnectionTable(max_connections), UpstreamConnector(max_connections, rng)
        self.relays, self.rates = relay.Relays(loop), Rates(clock())
        self.relays.max_lingering_directions = relay.max_lingering(max_connections)
        self.open_sessions: dict[int, ClientSession] = {}
        self.session_numbers = count(1)
        self.addresses: Mapping[str, UpstreamAddress] = {}
        # Sessions whose assignment is retried, by time. Sessions that wait for a reason common to all are in
        # `queue` instead, of which only the first is retried.
        self.retry_heap: list[tuple[float, int]] = []
        self.queue: deque[ClientSession] = deque()
        self.queue_at = float("inf")
        self.has_news = False  # assignments may have changed
        self.has_changes = False  # the affinity table was changed since its last run
        # Seconds that an admitted session waits for its assignment.
        self.assignment_timeout = max(QUEUE_TIMEOUT_SECONDS, JOIN_TIMEOUT_MARGINS * affinity.margin)
        self.handlers: dict[Do, Callable[[float, ClientSession], None]] = {
            Do.ASK_PLACE: self._ask_place, Do.ASK_SEAT: self._ask_seat, Do.ASK_CONNECT: self._ask_connect,
            Do.ASK_NEXT: self._ask_next, Do.PASS: self._pass, Do.GIVE_BACK: self._give_back,
            Do.LEAVE_SEAT: self._leave_seat, Do.CLOSE: self._close,
        }  # fmt: skip

    # Input.

    def resize(self, max_connections: int) -> None:
        """Change the size of the table."""
        self.table.max_connections = max_connections
        self.connector.resize(max_connections)
        self.relays.max_lingering_directions = relay.max_lingering(max_connections)
        self.wake()

    def observe(self, addresses: Mapping[str, UpstreamAddress]) -> None:
        """Update the addresses of the available app servers."""
        self.addresses, self.has_news = addresses, True
        self.connector.observe(addresses)

    def accept(self, service: Service, sock: socket.socket, source: str) -> None:
        """Take a newly accepted connection."""
        now = clock()
        logs.counters["node_accepted"] += 1
        session = ClientSession(next(self.session_numbers), service, sock, source)
        waiter, evicted = self.table.add(now, service.number, session)
        if evicted is not None:
            evicted.connection.waiter = None
            self._transition(now, evicted.connection, Event.PUSHED)
        if waiter is None:
            logs.counters["node_turned_away"] += 1
            return relay.reset(sock)
        session.waiter = waiter
        self.open_sessions[session.number] = session
        if not self._check_first_bytes(session):
            self.loop.add_reader(sock.fileno(), self._check_first_bytes, session)

    def close(self) -> None:
        """Close all connections."""
        self.relays.close()
        for session in list(self.open_sessions.values()):
            self._end(session)

    # Socket events.

    def _check_first_bytes(self, session: ClientSession) -> bool:
        """Whether the client has sent something or left; its data stays unread."""
        try:
            event = Event.SPOKE if session.sock.recv(1, socket.MSG_PEEK) else Event.LEFT
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            event = Event.LEFT
        self.loop.remove_reader(session.sock.fileno())
        self._transition(clock(), session, event)
        return True

    def _connect_finished(self, session: ClientSession) -> None:
        """Handle the result of a connect."""
        assert session.upstream is not None
        self.loop.remove_writer(session.upstream.fileno())
        now, error = clock(), session.upstream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        address = self.addresses.get(session.server)
        if not error and address and session.upstream.getsockname()[:2] == address.address:
            # A self-connect: nothing listens there, and the local port happens to be the same.
            error = errno.ECONNREFUSED
        if error:
            return self._connect_failed(now, session, error)
        self.connector.connected(now, session.number)
        self._transition(now, session, Event.CONNECTED)
        if self.connector.with_waiting:
            self.wake()

    def _connect_failed(self, now: float, session: ClientSession, error: int) -> None:
        logs.counters["node_connect_failed"] += 1
        logs.log_peer_fault(
            "upstream_connect_failed", server=session.server, reason=errno.errorcode.get(error, error)
        )
        self.connector.failed(now, session.number)
        self._close_upstream(session)
        self._transition(now, session, Event.FAILED)
        self.wake()

    def _relay_ended(self, session: ClientSession) -> None:
        """Handle the end of a relay."""
        self._transition(clock(), session, Event.ENDED)
        if self.table.waiting:
            self.wake()

    # Transitions of one connection.

    def _transition(self, now: float, session: ClientSession, event: Event) -> None:
        before, step = session.at, session_state.step(session.at, event)
        session.at = step.at
        if (what := CLOSE_COUNTERS.get((before, event))) is not None:
            logs.counters[what] += 1
        try:
            for do in step.out:
                self.handlers[do](now, session)
        except Exception as error:
            self._abort(session, error)
        if session.at is At.GONE:
            self.open_sessions.pop(session.number, None)

    def _abort(self, session: ClientSession, error: Exception) -> None:
        """End one connection after an unexpected error."""
        logs.counters["node_guest_error"] += 1
        logs.log_event(logging.ERROR, "client_session_failed", error, at=session.at.name.lower())
        self._end(session)

    def _end(self, session: ClientSession) -> None:
        """End a connection in any state."""
        now, session.at = clock(), At.GONE
        self._give_back(now, session)
        self._close(now, session)
        self.open_sessions.pop(session.number, None)

    def _ask_place(self, now: float, session: ClientSession) -> None:
        assert session.waiter is not None
        self.table.first_bytes_received(now, session.waiter)
        self.wake()

    def _ask_seat(self, now: float, session: ClientSession) -> None:
        session.client = client_key(session.service.settings.tenant, session.source)
        poll = select.poll()
        poll.register(session.sock, 0)
        if any(what & RESET for _, what in poll.poll(0)):  # the client has left meanwhile
            return self._transition(now, session, Event.LEFT)
        self._handle_assignment(now, session, self.affinity.assign(now, session.client))

    def _ask_next(self, now: float, session: ClientSession) -> None:
        self.detect_stall(now)
        self._handle_assignment(
            now, session, self.affinity.connect_failed(now, session.client, session.server)
        )

    def _mark_changed(self) -> None:
        if not self.has_changes:
            self.has_changes = True
            self.wake()

    def _handle_assignment(self, now: float, session: ClientSession, assignment: Assignment) -> None:
        self.has_changes = True
        logs.log_event(
            logging.DEBUG,
            "session_assigned",
            customer=session.client,
            server=assignment.server,
            reason=assignment.reason.value,
        )
        if assignment.server:  # if it has gone since, the connect fails and another one is assigned
            session.server = assignment.server
            self._transition(now, session, Event.SEATED)
        elif assignment.wait > 0 and assignment.reason in SHARED_WAIT_REASONS:
            self.queue.append(session)
            self.queue_at = min(self.queue_at, now + assignment.wait)
        elif assignment.wait > 0:
            heappush(
                self.retry_heap,
                (min(now + assignment.wait, session.admitted_at + self.assignment_timeout), session.number),
            )
        else:
            self._transition(now, session, Event.UNSEATED)

    def _ask_connect(self, now: float, session: ClientSession) -> None:
        if not self.connector.request(now, session.number, session.server):
            logs.counters["node_tries_over"] += 1
            self._transition(now, session, Event.UNSEATED)
        self.wake()

    def _pass(self, now: float, session: ClientSession) -> None:
        assert session.upstream is not None
        self.detect_stall(now)
        self.affinity.connection_opened(now, session.client, session.server)
        self._mark_changed()
        logs.counters["node_opened"] += 1
        self.rates.opened(session.service.settings.tenant)
        upstream, session.upstream = session.upstream, None
        self.relays.start(session.sock, upstream, partial(self._relay_ended, session))

    def _give_back(self, now: float, session: ClientSession) -> None:
        if session.admitted_at:
            session.admitted_at = 0.0
            self.table.release(session.service.number)

    def _leave_seat(self, now: float, session: ClientSession) -> None:
        self.affinity.connection_closed(now, session.client, session.server)
        self._mark_changed()

    def _close(self, now: float, session: ClientSession) -> None:
        """Close a connection of which nothing was read, so that the client can safely try elsewhere."""
        if session.waiter is not None:
            self.table.remove(session.waiter)
            session.waiter = None
        self.connector.forget(session.number)
        self._close_upstream(session)
        if session.sock.fileno() >= 0:
            self.loop.remove_reader(session.sock.fileno())
            relay.reset(session.sock)

    def _close_upstream(self, session: ClientSession) -> None:
        if session.upstream is not None:
            self.loop.remove_writer(session.upstream.fileno())
            relay.reset(session.upstream)
            session.upstream = None

    # Output.

    def next_advance_at(self, now: float) -> float:
        """The next time at which `advance` may do something without new input."""
        moments = [self.table.next_expiry(), self.connector.next_advance_at(now), self.queue_at]
        if self.retry_heap:
            moments.append(self.retry_heap[0][0])
        return min(moments)

    def advance(self, now: float) -> None:
        """Carry out what is due for all connections."""
        for waiter in self.table.expired(now):
            session: ClientSession = waiter.connection
            if session.at is At.SILENT and self._check_first_bytes(
                session
            ):  # its data arrived while this process was stalled
                continue
            self._transition(now, session, Event.LATE)
        self._retry_assignments(now)
        while (let_in := self.table.admit_next()) is not None:
            session = let_in.connection
            session.waiter, session.admitted_at = None, now
            self._transition(now, session, Event.LET_IN)
        for number in self.connector.timed_out(now):
            self._guarded(now, self.open_sessions[number], self._connect_timed_out)
        while actions := self.connector.advance(now):  # sessions have few attempts
            for action in actions:
                found = self.open_sessions.get(action.key)
                if found is None:
                    continue
                if isinstance(action, Open):
                    self._guarded(now, found, self._connect)
                else:
                    self._transition(now, found, Event.FAILED)

    def _retry_assignments(self, now: float) -> None:
        """Repeat assignments that are due, or all if the affinity table has new information."""
        if self.queue and (self.has_news or now >= self.queue_at):
            waiting, self.queue, self.queue_at = self.queue, deque(), float("inf")
            while waiting and not self.queue:  # until one has to wait again
                self._retry_assignment(now, waiting.popleft())
            self.queue.extend(waiting)
        self.has_news = False
        while self.retry_heap and self.retry_heap[0][0] <= now:
            if (session := self.open_sessions.get(heappop(self.retry_heap)[1])) is not None:
                self._retry_assignment(now, session)

    def _retry_assignment(self, now: float, session: ClientSession) -> None:
        if session.at is not At.SEATING:
            return
        if now >= session.admitted_at + self.assignment_timeout:
            return self._transition(now, session, Event.LATE)
        self._guarded(now, session, self._assign_again)

    def _assign_again(self, now: float, session: ClientSession) -> None:
        self._handle_assignment(now, session, self.affinity.assign(now, session.client))

    def _guarded(
        self, now: float, session: ClientSession, do: Callable[[float, ClientSession], None]
    ) -> None:
        """Call a handler; an error ends only this connection."""
        try:
            do(now, session)
        except Exception as error:
            self._abort(session, error)

    def _connect(self, now: float, session: ClientSession) -> None:
        address = self.addresses.get(session.server)
        if address is None:  # it has gone since
            return self._connect_failed(now, session, errno.EHOSTUNREACH)
        try:
            sock = session.upstream = socket.socket(address.family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            relay.configure_socket(sock)
            error = sock.connect_ex(address.address)
        except OSError as failed:
            error = failed.errno or errno.EIO
        if error in LOCAL_ERRORS:  # not counted as a failure of the app server
            logs.counters["node_no_descriptor"] += 1
            return self._transition(now, session, Event.UNSEATED)
        if error not in (0, errno.EINPROGRESS):
            return self._connect_failed(now, session, error)
        self.loop.add_writer(sock.fileno(), self._connect_finished, session)

    def _connect_timed_out(self, now: float, session: ClientSession) -> None:
        """Handle a connect that took too long, unless its result arrived while this process was stalled."""
        assert session.upstream is not None
        poll = select.poll()
        poll.register(session.upstream, select.POLLOUT)
        if poll.poll(0):
            return self._connect_finished(session)
        self._connect_failed(now, session, errno.ETIMEDOUT)
