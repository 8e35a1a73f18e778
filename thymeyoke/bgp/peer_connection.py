"""Actor for one BGP peer: its transport connections and the bytes on them.

The decisions are in `session` and `controller`. A slow, silent or misbehaving peer ends only its own session.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup

from thymeyoke.bgp import routes, tcp, wire
from thymeyoke.bgp.attributes import ErrorAction, Route
from thymeyoke.bgp.configuration import Announce, Peer, Prefix
from thymeyoke.bgp.controller import Level, TokenBucket
from thymeyoke.bgp.presentation import ReceivedPaths, prefix_key
from thymeyoke.bgp.session import (
    FLAP_HALF_LIFE_FACTOR,
    Action,
    CloseConnection,
    Connect,
    Event,
    FlapDamping,
    LocalParameters,
    RefreshReceived,
    SendMessage,
    Session,
    SessionDown,
    SessionUp,
    State,
    Timer,
    UpdateReceived,
    losing_connection,
)
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import HostConfigurationError
from thymeyoke.runtime.streams import CONNECTION_LOST_ERRORS

READ_BYTES = 1 << 14
# Limit for received bytes, and its refill time
RECEIVE_BURST_BYTES = float(1 << 20)
RECEIVE_BURST_SECONDS = 8.0
MAX_PENDING_MESSAGES = 8  # more only accumulate if the peer does not read


def local_parameters(settings: Announce, peer: Peer) -> LocalParameters:
    """Return what this server sends in its OPEN to a peer."""
    families = tuple(dict.fromkeys(prefix_key(prefix)[0] for prefix in settings.addresses))
    return LocalParameters(settings.as_, settings.id.packed, peer.as_, peer.hold, families)


class Connection:
    """One transport connection with its session. A further one is created if the peer connects as well."""

    def __init__(self, peer_connection: PeerConnection, session: Session, opened_locally: bool) -> None:
        self.peer_connection = peer_connection
        self.session = session
        self.opened_locally = opened_locally
        self.stream: SocketStream | None = None
        self.reader = wire.MessageReader()
        self.pending: list[bytes] = []
        self.pending_refreshes: list[wire.RouteRefresh] = []  # requested and not answered, one per family
        self.sent_routes: dict[Prefix, Route] = {}  # of this session
        self.scope = self.connect_scope = anyio.CancelScope()
        self.write_requested, self.finished = anyio.Event(), anyio.Event()
        self.writing = False
        self.bytes_written = self.send_hold_mark = 0  # the send hold timer covers bytes up to the mark
        self.receive_limit = TokenBucket(RECEIVE_BURST_BYTES, RECEIVE_BURST_SECONDS)

    def request_write(self) -> None:
        """Wake up the writer."""
        self.write_requested.set()

    def handle_event(self, event: Event, error: wire.ProtocolError | None = None) -> None:
        """Pass an event to the session and perform the resulting actions."""
        self.perform(self.session.handle_event(clock(), event, error))

    # Actions of the session.

    def perform(self, actions: list[Action]) -> None:
        """Perform the actions of the session."""
        peer_connection = self.peer_connection
        for action in actions:
            match action:
                case Connect():
                    peer_connection.tasks.start_soon(self._connect)
                case CloseConnection(notified):
                    self._close(notified)
                case SendMessage(message):
                    self.pending.append(wire.encode(message, self.session.negotiated))
                    if len(self.pending) > MAX_PENDING_MESSAGES:  # the send hold timer will close the session
                        del self.pending[MAX_PENDING_MESSAGES:]
                    self.request_write()
                case SessionUp():
                    self.sent_routes.clear()
                    peer_connection.session_up(self)
                    self.request_write()
                case SessionDown():
                    self.sent_routes.clear()
                    self.pending_refreshes.clear()
                    peer_connection.session_down(self)
                case UpdateReceived(update):
                    for error_action, reason in update.faults:
                        logs.counters[
                            "announce_"
                            + (
                                "treated_as_withdrawn"
                                if error_action == ErrorAction.WITHDRAW
                                else "discarded"
                            )
                        ] += 1
                        logs.log_peer_fault(
                            "bgp_attribute_invalid", peer=peer_connection.peer.name, reason=reason
                        )
                    peer_connection.received_paths.receive_update(peer_connection.peer.name, update)
                    peer_connection.on_change()
                case RefreshReceived(refresh):
                    if refresh.subtype:
                        peer_connection.received_paths.receive_refresh(peer_connection.peer.name, refresh)
                        peer_connection.on_change()
                    elif (
                        refresh not in self.pending_refreshes
                        and refresh.family in self.session.negotiated.families
                    ):
                        self.pending_refreshes.append(refresh)
                        self.request_write()
        if any(isinstance(action, CloseConnection) for action in actions):
            peer_connection.connection_ended(self)
        peer_connection.wake_up()

    def _close(self, notified: bool) -> None:
        """Close the transport, after a final NOTIFICATION if possible."""
        self.connect_scope.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            # During a write the NOTIFICATION would end up within another message.
            sent = notified and not self.writing and tcp.send_final(stream, b"".join(self.pending))
            self.scope.cancel()
            self.peer_connection.tasks.start_soon(self._finish_closing, stream, sent, self.finished)
        self.pending.clear()

    async def _finish_closing(self, stream: SocketStream, notified: bool, finished: anyio.Event) -> None:
        """Close the socket once reader and writer have ended."""
        with anyio.CancelScope(shield=True):
            await finished.wait()
            await tcp.close(stream, notified)

    async def _connect(self) -> None:
        """Open a connection to the peer."""
        self.opened_locally = True
        with anyio.CancelScope() as scope:
            self.connect_scope = scope
            try:
                stream = await tcp.connect(self.peer_connection.peer)
            except (OSError, HostConfigurationError) as error:
                self.session.connect_failed(clock(), str(error))
                return self.handle_event(Event.TCP_FAILS)
        if not scope.cancelled_caught:
            self.attach(stream)

    def attach(self, stream: SocketStream) -> None:
        """Use an established connection."""
        self.stream, self.reader, self.finished = stream, wire.MessageReader(), anyio.Event()
        self.writing, self.bytes_written, self.send_hold_mark = False, 0, 0
        self.scope = anyio.CancelScope()
        self.peer_connection.tasks.start_soon(self._run_connection, stream, self.scope, self.finished)
        self.handle_event(Event.TCP_UP)

    # Reading and writing.

    async def _run_connection(
        self, stream: SocketStream, scope: anyio.CancelScope, finished: anyio.Event
    ) -> None:
        """Run reader and writer until one of them ends."""
        try:
            with scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, stream)
                    await self._read(stream)
                    scope.cancel()
        except Exception as error:
            logs.counters["announce_error"] += 1
            logs.log_event(logging.ERROR, "bgp_connection_failed", error, peer=self.peer_connection.peer.name)
        finally:
            finished.set()
        if self.stream is stream:
            self.handle_event(Event.TCP_FAILS)

    async def _read(self, stream: SocketStream) -> None:
        """Receive messages and pass them to the session."""
        while self.stream is stream:
            try:
                data = await stream.receive(READ_BYTES)
            except CONNECTION_LOST_ERRORS:
                return
            now = clock()
            if not self.receive_limit.has_tokens(now, len(data)):
                logs.counters["announce_floods"] += 1
                return self.handle_event(Event.UPDATE_ERROR, wire.ProtocolError(wire.ErrorCode.CEASE, 8))
            self.receive_limit.take(now, len(data))
            try:
                for message in self.reader.feed(data):
                    self.receive(now, message)
                    if self.stream is not stream:
                        return
                    self.reader.negotiated = self.session.negotiated
            except wire.ProtocolError as error:
                logs.counters["announce_garbled"] += 1
                return self.perform(self.session.receive_invalid(now, error))

    def receive(self, now: float, message: wire.Message) -> None:
        """Pass one message to the session; afterwards check for a connection collision."""
        logs.counters["announce_messages_in"] += 1
        previous_state = self.session.state
        self.perform(self.session.receive(now, message))
        if previous_state == State.OPEN_SENT and self.session.state == State.OPEN_CONFIRM:
            self.peer_connection.resolve_collision(self)

    async def _write(self, stream: SocketStream) -> None:
        """Send pending messages and route changes."""
        while self.stream is stream:
            if not (batch := self._next_batch()):
                self.write_requested = anyio.Event()
                await self.write_requested.wait()
                continue
            self.writing = True
            self._start_send_hold(len(batch))
            try:
                await stream.send(batch)
            except CONNECTION_LOST_ERRORS:
                return
            self.writing = False

    def _next_batch(self) -> bytes:
        """Return everything to be sent now.

        Changes during a write are combined into the next batch.
        """
        messages, self.pending = self.pending, []
        if self.session.state == State.ESTABLISHED:
            negotiated, peer_connection = self.session.negotiated, self.peer_connection
            for refresh in self.pending_refreshes:
                self.sent_routes = {
                    at: one for at, one in self.sent_routes.items() if prefix_key(at)[0] != refresh.family
                }
                if negotiated.enhanced_refresh:
                    messages.append(wire.encode(refresh._replace(subtype=1)))
            updates, self.sent_routes = routes.route_changes(
                peer_connection.settings,
                peer_connection.peer,
                peer_connection.wanted_levels,
                self.sent_routes,
                negotiated,
            )
            messages += [wire.encode(update, negotiated) for update in updates]
            if negotiated.enhanced_refresh:
                messages += [wire.encode(refresh._replace(subtype=2)) for refresh in self.pending_refreshes]
            self.pending_refreshes.clear()
            logs.counters["announce_updates_out"] += len(updates)
        return b"".join(messages)

    def _start_send_hold(self, size: int) -> None:
        """Start the send hold timer at the first unacknowledged byte (RFC 9687).

        The time is shorter while a withdrawal must arrive.
        """
        if self.peer_connection.withdrawal_timeout is not None:
            self._clear_send_hold(clock())
        self.bytes_written += size
        if Timer.SEND not in self.session.timers or self.peer_connection.withdrawal_timeout is not None:
            self.send_hold_mark = self.bytes_written
        self.session.update_send_hold(clock(), True, self.peer_connection.withdrawal_timeout)
        self.peer_connection.wake_up()

    def shorten_send_hold(self, withdrawal_timeout: float) -> None:
        """Shorten the send hold timer for bytes that are ahead of a withdrawal."""
        if self.stream is not None and (self.writing or tcp.unacknowledged_bytes(self.stream)):
            if not self.writing:
                self._clear_send_hold(clock())
            self.send_hold_mark = self.bytes_written
            self.session.update_send_hold(clock(), True, withdrawal_timeout)
            self.peer_connection.wake_up()

    def _clear_send_hold(self, now: float) -> None:
        """Stop the send hold timer if the bytes it was started for are acknowledged.

        The timer is otherwise checked only when it expires, and a withdrawal just before would get no time of
        its own.
        """
        if (
            self.stream is not None
            and self.bytes_written - tcp.unacknowledged_bytes(self.stream) >= self.send_hold_mark
        ):
            self.session.update_send_hold(now, False)

    def advance(self, now: float) -> None:
        """Handle expired timers; the send hold timer only if its bytes are still unacknowledged."""
        due = self.session.timers.get(Timer.SEND, float("inf")) <= now
        if due and self.stream is not None and not self.writing:
            left = tcp.unacknowledged_bytes(self.stream)
            if self.bytes_written - left >= self.send_hold_mark:
                self.peer_connection.withdrawal_timeout = None
                self.session.update_send_hold(now, False)
                self.send_hold_mark = self.bytes_written
                self.session.update_send_hold(now, left > 0)
        self.perform(self.session.advance(now))


class PeerConnection:
    """Actor that keeps the routes at one peer up to date."""

    def __init__(
        self,
        settings: Announce,
        peer: Peer,
        received_paths: ReceivedPaths,
        rng: Random,
        on_change: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.peer = peer
        self.received_paths = received_paths
        self.on_change = on_change
        self.rng, self.damping = rng, FlapDamping(FLAP_HALF_LIFE_FACTOR * peer.hold)
        self.wanted_levels: Mapping[Prefix, Level] = {}
        self.withdrawal_timeout: float | None = None  # seconds for withdrawals to be acknowledged
        self.primary = Connection(self, self._session(), not peer.passive)
        self.secondary: Connection | None = None  # until the collision is resolved
        self.wakeup = anyio.Event()
        self.stopped = self.done = False

    def _session(self) -> Session:
        """Create the session of a connection opened by this side."""
        return Session(local_parameters(self.settings, self.peer), self.rng, self.damping, self.peer.passive)

    def set_wanted_levels(
        self, wanted_levels: Mapping[Prefix, Level], settings: Announce, withdrawal_timeout: float | None
    ) -> None:
        """Set the levels to advertise; with a timeout if withdrawals must arrive soon."""
        self.wanted_levels = wanted_levels
        self.settings = settings
        self.withdrawal_timeout = withdrawal_timeout
        if withdrawal_timeout is not None:
            self.primary.shorten_send_hold(withdrawal_timeout)
        self.primary.request_write()

    def wake_up(self) -> None:
        """Wake up `run` because timers may have changed."""
        self.wakeup.set()

    async def run(self) -> None:
        """Keep up a session with the peer until stopped."""
        async with anyio.create_task_group() as self.tasks:
            try:
                await self._run()
            finally:
                if not self.stopped:
                    self.stop(wire.shutdown_notification("the instance leaves"))

    async def _run(self) -> None:
        """Run the timers of all connections."""
        self.primary.handle_event(Event.START_PASSIVE if self.peer.passive else Event.START)
        while not self.stopped:
            for connection in self.connections():
                connection.advance(clock())
            self.wakeup = anyio.Event()  # after advancing, which sets the previous event itself
            moment = min(connection.session.next_advance_at() for connection in self.connections())
            with anyio.move_on_after(max(0.0, moment - clock())):
                await self.wakeup.wait()

    tasks: TaskGroup

    def connections(self) -> list[Connection]:
        """Return the current connections."""
        return [self.primary, *([self.secondary] if self.secondary else [])]

    def stop(self, why: wire.Notification) -> None:
        """Send a NOTIFICATION and close; `run` ends when it was sent."""
        for connection in self.connections():
            connection.handle_event(Event.STOP, wire.ProtocolError(*why))
        self.stopped = True
        self.wakeup.set()

    def status(self, now: float) -> dict[str, Any]:
        """Return plain values for `announce show`."""
        session = self.primary.session
        return {
            "peer": self.peer.name, "address": str(self.peer.address), "as": self.peer.as_,
            "state": session.state.name.lower(), "since": session.since,
            "for": max(0.0, now - session.since) if session.since else 0.0,
            "hold": session.hold if session.state == State.ESTABLISHED else None,
            "held": sorted(str(prefix) for prefix in self.primary.sent_routes), "flaps": session.flaps,
            "penalty": round(self.damping.current(now), 2), "error": session.error,
            "error_at": session.error_at, "next": session.next_advance_at() - now if session.timers else None,
        }  # fmt: skip

    # Called by connections.

    def session_up(self, connection: Connection) -> None:
        """Handle an established session: it becomes the primary one."""
        logs.counters["announce_sessions_up"] += 1
        logs.log_event(
            logging.INFO, "bgp_session_established", peer=self.peer.name, hold=connection.session.hold
        )
        if connection is not self.primary:
            self.secondary, self.primary = self.primary, connection
        if self.secondary:
            self.secondary.handle_event(Event.STOP, wire.ProtocolError(wire.ErrorCode.CEASE, 7))
            self.secondary = None

    def session_down(self, connection: Connection) -> None:
        """Handle the end of an established session."""
        logs.counters["announce_sessions_lost"] += 1
        logs.log_event(
            logging.WARNING,
            "bgp_session_closed",
            peer=self.peer.name,
            reason=connection.session.error or "stopped",
        )
        self.received_paths.remove_peer(self.peer.name)
        self.on_change()

    def connection_ended(self, connection: Connection) -> None:
        """Handle the end of a connection."""
        if connection is self.secondary and connection.session.state in (State.IDLE, State.ACTIVE):
            self.secondary = None

    def accept(self, stream: SocketStream) -> bool:
        """Use a connection that the peer opened (RFC 4271 section 8.2.1); False if it is not needed."""
        if self.primary.stream is None and self.primary.session.state == State.ACTIVE:
            self.primary.opened_locally = False
            self.primary.attach(stream)
            return True
        if self.secondary is not None or self.primary.session.state in (State.IDLE, State.ESTABLISHED):
            return False
        self.secondary = Connection(
            self, Session(local_parameters(self.settings, self.peer), self.rng, self.damping, True), False
        )
        self.secondary.handle_event(Event.START_PASSIVE)
        self.secondary.attach(stream)
        return True

    def resolve_collision(self, connection: Connection) -> None:
        """Close one of two connections after an OPEN was received (RFC 4271 section 6.8)."""
        competing = self.secondary if connection is self.primary else self.primary
        if competing is None or competing is connection or competing.session.state < State.OPEN_CONFIRM:
            return
        assert connection.session.peer_open is not None
        own, peer_open = self.settings, connection.session.peer_open
        if competing.session.state == State.ESTABLISHED:
            return connection.handle_event(Event.COLLISION)
        lost = losing_connection(own.id.packed, own.as_, peer_open.id, peer_open.as_)
        loser, winner = (
            (connection, competing)
            if connection.opened_locally == (lost == "ours")
            else (competing, connection)
        )
        self.primary, self.secondary = winner, loser
        loser.handle_event(Event.COLLISION)
