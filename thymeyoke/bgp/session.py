"""State machine of a BGP session, RFC 4271 section 8. Pure: events in, actions out, timers as points in time.

`TRANSITIONS` has a row for each state and event; `Session` executes the rows. Of the optional attributes in
section 8.1.1, DampPeerOscillations is on; DelayOpen, SendNOTIFICATIONwithoutOPEN and
CollisionDetectEstablishedState are off. One deviation: a NOTIFICATION is never answered with another one
(section 6.4), where the table in section 8.2.2 has an FSM error.
"""

from __future__ import annotations

from enum import Enum, IntEnum, unique
from random import Random
from typing import NamedTuple

from thymeyoke.bgp import attributes, wire
from thymeyoke.bgp.wire import Capability, CapabilityCode, ErrorCode, Family, Open, ProtocolError

OPEN_HOLD_FACTOR = 4  # of the hold time: time for the peer to send its OPEN
KEEPALIVES_PER_HOLD_TIME = 3  # RFC 4271 section 4.4
MIN_JITTER = 0.75  # smallest factor of a jittered timer, RFC 4271 section 10
IDLE_HOLD_FACTOR = 1 / 3  # of the hold time: first delay before reconnecting
MAX_DOUBLINGS = 6  # of the delay before reconnecting
FLAP_HALF_LIFE_FACTOR = 20  # of the hold time: half-life of the flap penalty


class State(IntEnum):
    """States of section 8.2.2."""

    IDLE = 0
    CONNECT = 1
    ACTIVE = 2
    OPEN_SENT = 3
    OPEN_CONFIRM = 4
    ESTABLISHED = 5


class Event(IntEnum):
    """Events with the numbers of section 8.1; REFRESH is from RFC 2918, SEND_HOLD_EXPIRES from RFC 9687."""

    STOP = 2
    START = 3
    START_PASSIVE = 5
    RETRY_EXPIRES = 9
    HOLD_EXPIRES = 10
    KEEPALIVE_EXPIRES = 11
    IDLE_HOLD_EXPIRES = 13
    TCP_UP = 17
    TCP_FAILS = 18
    OPEN = 19
    HEADER_ERROR = 21
    OPEN_ERROR = 22
    COLLISION = 23
    NOTIFICATION_VERSION = 24
    NOTIFICATION = 25
    KEEPALIVE = 26
    UPDATE = 27
    UPDATE_ERROR = 28
    SEND_HOLD_EXPIRES = 29
    REFRESH = 30
    REFRESH_ERROR = 31


class Timer(Enum):
    """Timers, by the event that each one causes."""

    RETRY = Event.RETRY_EXPIRES
    HOLD = Event.HOLD_EXPIRES
    KEEPALIVE = Event.KEEPALIVE_EXPIRES
    IDLE = Event.IDLE_HOLD_EXPIRES
    SEND = Event.SEND_HOLD_EXPIRES


@unique
class Effect(Enum):
    """Effects of a transition, in the order of the row."""

    CONNECT = "open the transport connection"
    CLOSE = "close it"
    SEND_OPEN = "send OPEN"
    SEND_KEEPALIVE = "send KEEPALIVE"
    SEND_NOTIFICATION = "send the NOTIFICATION that the event calls for"
    START_RETRY = "restart the ConnectRetryTimer"
    STOP_RETRY = "stop the ConnectRetryTimer"
    COUNT_FLAP = "one more flap"
    START_OPEN_HOLD = "set the HoldTimer to a large value"
    RESTART_HOLD = "restart the HoldTimer with the negotiated value"
    RESTART_KEEPALIVE = "restart the KeepaliveTimer"
    START_IDLE_HOLD = "start the IdleHoldTimer"
    STOP_IDLE_HOLD = "stop the IdleHoldTimer"
    SESSION_UP = "announce"
    RELEASE_ROUTES = "forget what the peer announced"
    DELIVER = "take what the message says"


class Transition(NamedTuple):
    """A row of the table: effects and next state."""

    effects: tuple[Effect, ...]
    next_state: State


# Actions.


class Connect(NamedTuple):
    """Open a transport connection."""

    pass


class CloseConnection(NamedTuple):
    """Close the transport; if `notified`, a NOTIFICATION was sent before and should still arrive."""

    notified: bool


class SendMessage(NamedTuple):
    """Send a message."""

    message: wire.Message


class SessionUp(NamedTuple):
    """The session is established."""

    negotiated: wire.NegotiatedOptions


class SessionDown(NamedTuple):
    """The session is no longer established; the peer's routes are invalid."""


class UpdateReceived(NamedTuple):
    """An update was received."""

    update: attributes.ReceivedUpdate


class RefreshReceived(NamedTuple):
    """A ROUTE-REFRESH was received."""

    message: wire.RouteRefresh


Action = Connect | CloseConnection | SendMessage | SessionUp | SessionDown | UpdateReceived | RefreshReceived


def _table() -> dict[tuple[State, Event], Transition]:
    """Build the transition table."""
    S, E, D = State, Event, Effect  # noqa: N806 (short, for a readable table)
    end = (D.STOP_RETRY, D.CLOSE, D.COUNT_FLAP, D.START_IDLE_HOLD)
    quiet_end = (D.STOP_RETRY, D.CLOSE, D.START_IDLE_HOLD)  # not counted as a flap
    rows: dict[tuple[State, Event], Transition] = {}

    def put(state: State, effects: tuple[Effect, ...], to: State, *events: Event) -> None:
        for event in events:
            rows[state, event] = Transition(effects, to)

    # Idle: only a start has an effect; a late connection is closed.
    put(S.IDLE, (), S.IDLE, *E)
    put(S.IDLE, (D.STOP_IDLE_HOLD,), S.IDLE, E.STOP)
    put(S.IDLE, (D.STOP_IDLE_HOLD, D.START_RETRY, D.CONNECT), S.CONNECT, E.START, E.IDLE_HOLD_EXPIRES)
    put(S.IDLE, (D.STOP_IDLE_HOLD, D.START_RETRY), S.ACTIVE, E.START_PASSIVE)
    put(S.IDLE, (D.CLOSE,), S.IDLE, E.TCP_UP)

    for state in (S.CONNECT, S.ACTIVE):
        put(state, end, S.IDLE, *E)
        put(state, (), state, E.START, E.START_PASSIVE)
        put(state, (D.STOP_RETRY, D.CLOSE), S.IDLE, E.STOP)
        put(state, (D.STOP_RETRY, D.SEND_OPEN, D.START_OPEN_HOLD), S.OPEN_SENT, E.TCP_UP)
        put(state, quiet_end, S.IDLE, E.NOTIFICATION_VERSION)
    put(S.CONNECT, (D.CLOSE, D.START_RETRY, D.CONNECT), S.CONNECT, E.RETRY_EXPIRES)
    put(S.ACTIVE, (D.START_RETRY, D.CONNECT), S.CONNECT, E.RETRY_EXPIRES)

    for state in (S.OPEN_SENT, S.OPEN_CONFIRM, S.ESTABLISHED):
        lost = (D.RELEASE_ROUTES,) if state == S.ESTABLISHED else ()
        put(state, (D.SEND_NOTIFICATION, *lost, *end), S.IDLE, *E)  # FSM error unless overwritten below
        put(state, (), state, E.START, E.START_PASSIVE)
        put(state, (D.SEND_NOTIFICATION, *lost, D.STOP_RETRY, D.CLOSE), S.IDLE, E.STOP)
        put(state, (*lost, *end), S.IDLE, E.TCP_FAILS, E.NOTIFICATION)
        put(state, (*lost, *quiet_end), S.IDLE, E.NOTIFICATION_VERSION)
    put(S.OPEN_SENT, (D.CLOSE, D.COUNT_FLAP, D.START_RETRY), S.ACTIVE, E.TCP_FAILS)
    put(
        S.OPEN_SENT,
        (D.STOP_RETRY, D.SEND_KEEPALIVE, D.RESTART_HOLD, D.RESTART_KEEPALIVE),
        S.OPEN_CONFIRM,
        E.OPEN,
    )
    put(S.OPEN_CONFIRM, (D.RESTART_HOLD, D.SESSION_UP), S.ESTABLISHED, E.KEEPALIVE)
    for state in (S.OPEN_CONFIRM, S.ESTABLISHED):
        put(state, (D.SEND_KEEPALIVE, D.RESTART_KEEPALIVE), state, E.KEEPALIVE_EXPIRES)
    put(S.ESTABLISHED, (D.RESTART_HOLD,), S.ESTABLISHED, E.KEEPALIVE)
    put(S.ESTABLISHED, (D.RESTART_HOLD, D.DELIVER), S.ESTABLISHED, E.UPDATE)
    put(S.ESTABLISHED, (D.DELIVER,), S.ESTABLISHED, E.REFRESH)
    return rows


TRANSITIONS = _table()
EVENT_NOTIFICATIONS = {  # code and subcode for events without a message
    Event.STOP: (ErrorCode.CEASE, 2),
    Event.HOLD_EXPIRES: (ErrorCode.HOLD, 0),
    Event.COLLISION: (ErrorCode.CEASE, 7),
    Event.SEND_HOLD_EXPIRES: (ErrorCode.SEND_HOLD, 0),
}


PASSIVE_EVENTS = dict.fromkeys(
    (Event.START, Event.IDLE_HOLD_EXPIRES, Event.RETRY_EXPIRES), Event.START_PASSIVE
)


class LocalParameters(NamedTuple):
    """What this side sends in its OPEN, and the AS that it expects. `hold` is in seconds."""

    as_: int
    id: bytes
    peer_as: int
    hold: int
    families: tuple[Family, ...]

    @property
    def internal(self) -> bool:
        """Whether the peer belongs to the same AS."""
        return self.as_ == self.peer_as

    def open(self) -> Open:
        """Build the OPEN message."""
        capabilities = [
            Capability(CapabilityCode.MULTIPROTOCOL, f.afi.to_bytes(2, "big") + bytes((0, f.safi)))
            for f in self.families
        ]
        capabilities += [
            Capability(code, b"") for code in (CapabilityCode.ROUTE_REFRESH, CapabilityCode.EXTENDED_MESSAGE)
        ]
        capabilities.append(Capability(CapabilityCode.AS4, self.as_.to_bytes(4, "big")))
        receive = b"".join(f.afi.to_bytes(2, "big") + bytes((f.safi, 1)) for f in self.families)
        capabilities += [
            Capability(CapabilityCode.ADD_PATH, receive),
            Capability(CapabilityCode.ENHANCED_REFRESH, b""),
        ]
        return Open(
            self.as_ if self.as_ <= 0xFFFF else wire.AS_TRANS, self.hold, self.id, tuple(capabilities)
        )

    def check(self, peer_open: Open) -> None:
        """Check the peer's OPEN (RFC 4271 section 6.2); raises `ProtocolError`.

        A hold time of 0 is rejected too, because routes of a dead process would remain.
        """
        if peer_open.as_ != self.peer_as or (
            peer_open.two_byte_as != peer_open.as_ and peer_open.two_byte_as != wire.AS_TRANS
        ):
            raise ProtocolError(ErrorCode.OPEN, 2)
        if peer_open.id == bytes(4) or (self.internal and peer_open.id == self.id):  # RFC 6286 section 2.1
            raise ProtocolError(ErrorCode.OPEN, 3)
        if peer_open.hold < 3:
            raise ProtocolError(ErrorCode.OPEN, 6)
        if not peer_open.families & set(self.families):
            wanted = self.open().capabilities[: len(self.families)]
            raise ProtocolError(
                ErrorCode.OPEN, 7, b"".join(bytes((code, len(value))) + value for code, value in wanted)
            )


class FlapDamping:
    """Penalty for flaps, which halves over time.

    Delays before reconnecting double with each unit, up to `MAX_DOUBLINGS` times.
    """

    def __init__(self, half_life: float) -> None:
        self.half_life, self.weight, self.updated_at = half_life, 0.0, 0.0

    def current(self, now: float) -> float:
        """Return the decayed penalty."""
        return float(self.weight * 0.5 ** (max(0.0, now - self.updated_at) / self.half_life))

    def add_flap(self, now: float) -> None:
        """Add the penalty of one flap."""
        self.weight, self.updated_at = min(2.0 * MAX_DOUBLINGS, self.current(now) + 1), now

    def delay_factor(self, now: float) -> float:
        """Return the factor for reconnect delays."""
        return float(2.0 ** min(MAX_DOUBLINGS, max(0.0, self.current(now) - 1)))


class Session:
    """State machine of one connection. `timers` has the running timers and when they expire."""

    def __init__(
        self, local: LocalParameters, rng: Random, damping: FlapDamping | None = None, passive: bool = False
    ) -> None:
        self.local, self.rng, self.passive = local, rng, passive
        self.damping = damping or FlapDamping(FLAP_HALF_LIFE_FACTOR * local.hold)
        self.state, self.since = State.IDLE, 0.0
        self.timers: dict[Timer, float] = {}
        self.hold = float(local.hold)  # negotiated with the OPEN
        self.peer_open: Open | None = None
        self.negotiated = wire.NegotiatedOptions()
        self.flaps, self.error, self.error_at = 0, "", 0.0  # last error and its time
        self.last_event: Event | None = None
        self.actions: list[Action] = []

    # Inputs.

    def handle_event(self, now: float, event: Event, message: ProtocolError | None = None) -> list[Action]:
        """Handle an event without a message, or with the error that a message caused."""
        self._handle(now, event, message, None)
        return self._take_actions()

    def receive(self, now: float, message: wire.Message) -> list[Action]:
        """Handle a decoded message."""
        try:
            event, received = self._event_for(message)
        except ProtocolError as error:
            kind = Event.OPEN_ERROR if error.code == ErrorCode.OPEN else Event.UPDATE_ERROR
            return self.handle_event(now, kind, error)
        if isinstance(message, wire.Notification):
            text = f": {message.text}" if message.text else ""
            self._record_error(now, f"peer: {message.name}{text}")
        self._handle(now, event, None, received)
        return self._take_actions()

    def receive_invalid(self, now: float, error: ProtocolError) -> list[Action]:
        """Handle bytes that could not be decoded."""
        kinds: dict[int, Event] = {
            ErrorCode.OPEN: Event.OPEN_ERROR,
            ErrorCode.UPDATE: Event.UPDATE_ERROR,
            ErrorCode.REFRESH: Event.REFRESH_ERROR,
        }
        return self.handle_event(now, kinds.get(error.code, Event.HEADER_ERROR), error)

    def advance(self, now: float) -> list[Action]:
        """Handle expired timers, earliest first."""
        while due := [(at, timer.value, timer) for timer, at in self.timers.items() if at <= now]:
            timer = min(due)[2]
            del self.timers[timer]
            self._handle(now, timer.value, None, None)
        return self._take_actions()

    def next_advance_at(self) -> float:
        """Return when the next timer expires."""
        return min(self.timers.values(), default=float("inf"))

    def update_send_hold(self, now: float, waiting: bool, within: float | None = None) -> None:
        """Start or stop the send hold timer, depending on whether sent bytes are unacknowledged (RFC 9687).

        A running timer is only ever shortened. The default time is the hold time.
        """
        if not waiting or self.state != State.ESTABLISHED:
            self.timers.pop(Timer.SEND, None)
        else:
            at = now + (self.hold if within is None else min(self.hold, within))
            self.timers[Timer.SEND] = min(at, self.timers.get(Timer.SEND, at))

    def connect_failed(self, now: float, why: str) -> None:
        """Record why a connection attempt failed; the event itself is `TCP_FAILS`."""
        self._record_error(now, f"connect: {why}")

    # Transitions.

    def _event_for(self, message: wire.Message) -> tuple[Event, UpdateReceived | RefreshReceived | None]:
        """Return the event for a message, and the action that delivers it."""
        match message:
            case wire.Open():
                if self.state == State.OPEN_SENT:
                    self.local.check(message)
                    self.peer_open, self.negotiated = message, wire.negotiate(self.local.open(), message)
                    self.hold = float(min(self.local.hold, message.hold))
                return Event.OPEN, None
            case wire.Update():
                if self.state != State.ESTABLISHED:
                    return Event.UPDATE, None
                return Event.UPDATE, UpdateReceived(
                    attributes.interpret_update(message, self.negotiated, self.local.internal)
                )
            case wire.Notification(ErrorCode.OPEN, 1):
                return Event.NOTIFICATION_VERSION, None
            case wire.Notification():
                return Event.NOTIFICATION, None
            case wire.RouteRefresh():
                return Event.REFRESH, RefreshReceived(message)
            case _:
                return Event.KEEPALIVE, None

    def _handle(
        self,
        now: float,
        event: Event,
        error: ProtocolError | None,
        received: UpdateReceived | RefreshReceived | None,
    ) -> None:
        """Execute the transition for an event."""
        if self.passive and self.state in (State.IDLE, State.ACTIVE):
            event = PASSIVE_EVENTS.get(event, event)
        self.last_event = event
        previous_state, row = self.state, TRANSITIONS[self.state, event]
        notified = False
        for effect in row.effects:
            match effect:
                case Effect.SEND_NOTIFICATION:
                    notified = True
                    self._send_notification(now, event, error)
                case Effect.CLOSE:
                    if previous_state >= State.OPEN_SENT and not notified:
                        self._record_error(now, "connection lost")
                    self.actions.append(CloseConnection(notified))
                    for timer in (Timer.HOLD, Timer.KEEPALIVE, Timer.SEND):
                        self.timers.pop(timer, None)
                case Effect.DELIVER:
                    assert received is not None
                    self.actions.append(received)
                case _:
                    self._apply(now, effect)
        if row.next_state != previous_state:
            self.state, self.since = row.next_state, now

    def _apply(self, now: float, effect: Effect) -> None:
        """Apply one effect that needs nothing but the state."""
        match effect:
            case Effect.CONNECT:
                self.actions.append(Connect())
            case Effect.SEND_OPEN:
                self.peer_open, self.negotiated = None, wire.NegotiatedOptions()
                self.actions.append(SendMessage(self.local.open()))
            case Effect.SEND_KEEPALIVE:
                self.actions.append(SendMessage(wire.Keepalive()))
            case Effect.START_RETRY if self.passive:
                pass  # a passive session never connects
            case Effect.START_RETRY:
                self._start_timer(now, Timer.RETRY, self.local.hold * self.damping.delay_factor(now))
            case Effect.STOP_RETRY:
                self.timers.pop(Timer.RETRY, None)
            case Effect.COUNT_FLAP:
                self.flaps += 1
                self.damping.add_flap(now)
            case Effect.START_OPEN_HOLD:
                self.timers[Timer.HOLD] = now + OPEN_HOLD_FACTOR * self.local.hold
            case Effect.RESTART_HOLD:
                self.timers[Timer.HOLD] = now + self.hold
            case Effect.RESTART_KEEPALIVE:
                self._start_timer(now, Timer.KEEPALIVE, self.hold / KEEPALIVES_PER_HOLD_TIME)
            case Effect.START_IDLE_HOLD:
                self._start_timer(
                    now, Timer.IDLE, self.local.hold * IDLE_HOLD_FACTOR * self.damping.delay_factor(now)
                )
            case Effect.STOP_IDLE_HOLD:
                self.timers.pop(Timer.IDLE, None)
            case Effect.SESSION_UP:
                self.actions.append(SessionUp(self.negotiated))
            case Effect.RELEASE_ROUTES:
                self.actions.append(SessionDown())

    def _send_notification(self, now: float, event: Event, error: ProtocolError | None) -> None:
        """Send the NOTIFICATION for an event or error."""
        if error is not None:
            message = wire.Notification(error.code, error.subcode, error.data)
        elif event in EVENT_NOTIFICATIONS:
            message = wire.Notification(*EVENT_NOTIFICATIONS[event])
        else:  # RFC 6608: the subcode is the state
            message = wire.Notification(ErrorCode.FSM, self.state - State.OPEN_SENT + 1)
        if event != Event.STOP:
            self._record_error(now, message.name)
        self.actions.append(SendMessage(message))

    def _record_error(self, now: float, name: str) -> None:
        """Record the last error; a lost connection does not replace its cause."""
        if not (name == "connection lost" and self.error_at == now):
            self.error, self.error_at = name, now

    def _start_timer(self, now: float, timer: Timer, span: float) -> None:
        """Start a timer with jitter."""
        self.timers[timer] = now + span * self.rng.uniform(MIN_JITTER, 1.0)

    def _take_actions(self) -> list[Action]:
        """Return the collected actions and clear them."""
        actions, self.actions = self.actions, []
        return actions


def losing_connection(own_id: bytes, own_as: int, peer_id: bytes, peer_as: int) -> str:
    """Return which of two connections to a peer is closed: `ours` (opened by this side) or `theirs`.

    The connection of the side with the lower identifier is closed, or of the lower AS if they are equal (RFC
    4271 section 6.8, RFC 6286).
    """
    return "ours" if (own_id, own_as) < (peer_id, peer_as) else "theirs"
