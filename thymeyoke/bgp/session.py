"""One BGP session's state machine, RFC 4271 section 8, as a table. Pure: events in, actions out, timers as
moments.

`TABLE` has a row for every state and event, `Session` carries rows out. What is off, by the names of
section 8.1.1: DelayOpen, SendNOTIFICATIONwithoutOPEN, CollisionDetectEstablishedState; on:
DampPeerOscillations. One departure: a NOTIFICATION is never answered with one (section 6.4 leaves an error
in it unreported), where the table of 8.2.2 would say FSM error.
"""

from __future__ import annotations

from enum import Enum, IntEnum, unique
from random import Random
from typing import NamedTuple

from thymeyoke.bgp import attributes, wire
from thymeyoke.bgp.wire import Cap, Capability, Code, Family, Open, Wrong

LARGE_HOLD = 4  # times the hold time told: how long a peer has for its OPEN
KEEPALIVES = 3  # in a hold time, RFC 4271 section 4.4
JITTER = 0.75  # the least part of a timer's span, section 10
IDLE = 1 / 3  # of the hold time told: the first idle hold
DOUBLINGS = 6  # of it, at the most
CALM = 20  # hold times in which the penalty for flaps halves


class State(IntEnum):
    IDLE = 0
    CONNECT = 1
    ACTIVE = 2
    OPEN_SENT = 3
    OPEN_CONFIRM = 4
    ESTABLISHED = 5


class Event(IntEnum):
    """By the numbers of section 8.1; REFRESH is RFC 2918's, SEND_HOLD_EXPIRES RFC 9687's."""

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
    RETRY = Event.RETRY_EXPIRES
    HOLD = Event.HOLD_EXPIRES
    KEEPALIVE = Event.KEEPALIVE_EXPIRES
    IDLE = Event.IDLE_HOLD_EXPIRES
    SEND = Event.SEND_HOLD_EXPIRES


@unique
class Do(Enum):
    DIAL = "open the transport connection"
    DROP = "close it"
    OPEN = "send OPEN"
    KEEPALIVE = "send KEEPALIVE"
    NOTIFY = "send the NOTIFICATION that the event calls for"
    RETRY_ON = "restart the ConnectRetryTimer"
    RETRY_OFF = "stop the ConnectRetryTimer"
    COUNT = "one more flap"
    LARGE = "set the HoldTimer to a large value"
    HOLD = "restart the HoldTimer with the negotiated value"
    KEEP_ON = "restart the KeepaliveTimer"
    IDLE_ON = "start the IdleHoldTimer"
    IDLE_OFF = "stop the IdleHoldTimer"
    UP = "announce"
    RELEASE = "forget what the peer announced"
    TAKE = "take what the message says"


class Row(NamedTuple):
    does: tuple[Do, ...]
    to: State


# Actions.


class Dial(NamedTuple):
    pass


class Drop(NamedTuple):
    """Close the transport. `said`: a NOTIFICATION went before it, which should still arrive."""

    said: bool


class Send(NamedTuple):
    message: wire.Message


class Up(NamedTuple):
    agreed: wire.Agreed


class Down(NamedTuple):
    """It was established and is no longer: what the peer announced is forgotten."""


class Took(NamedTuple):
    heard: attributes.Heard


class Refreshed(NamedTuple):
    said: wire.Refresh


Action = Dial | Drop | Send | Up | Down | Took | Refreshed


def _table() -> dict[tuple[State, Event], Row]:
    S, E, D = State, Event, Do
    end = (D.RETRY_OFF, D.DROP, D.COUNT, D.IDLE_ON)
    quiet_end = (D.RETRY_OFF, D.DROP, D.IDLE_ON)  # not the peer's flap
    rows: dict[tuple[State, Event], Row] = {}

    def put(state: State, does: tuple[Do, ...], to: State, *events: Event) -> None:
        for event in events:
            rows[state, event] = Row(does, to)

    # Idle: all is refused but a start; a connection that comes up late is closed.
    put(S.IDLE, (), S.IDLE, *E)
    put(S.IDLE, (D.IDLE_OFF,), S.IDLE, E.STOP)
    put(S.IDLE, (D.IDLE_OFF, D.RETRY_ON, D.DIAL), S.CONNECT, E.START, E.IDLE_HOLD_EXPIRES)
    put(S.IDLE, (D.IDLE_OFF, D.RETRY_ON), S.ACTIVE, E.START_PASSIVE)
    put(S.IDLE, (D.DROP,), S.IDLE, E.TCP_UP)

    for state in (S.CONNECT, S.ACTIVE):
        put(state, end, S.IDLE, *E)
        put(state, (), state, E.START, E.START_PASSIVE)
        put(state, (D.RETRY_OFF, D.DROP), S.IDLE, E.STOP)
        put(state, (D.RETRY_OFF, D.OPEN, D.LARGE), S.OPEN_SENT, E.TCP_UP)
        put(state, quiet_end, S.IDLE, E.NOTIFICATION_VERSION)
    put(S.CONNECT, (D.DROP, D.RETRY_ON, D.DIAL), S.CONNECT, E.RETRY_EXPIRES)
    put(S.ACTIVE, (D.RETRY_ON, D.DIAL), S.CONNECT, E.RETRY_EXPIRES)

    for state in (S.OPEN_SENT, S.OPEN_CONFIRM, S.ESTABLISHED):
        lost = (D.RELEASE,) if state == S.ESTABLISHED else ()
        put(state, (D.NOTIFY, *lost, *end), S.IDLE, *E)  # FSM error where nothing else is said
        put(state, (), state, E.START, E.START_PASSIVE)
        put(state, (D.NOTIFY, *lost, D.RETRY_OFF, D.DROP), S.IDLE, E.STOP)
        put(state, (*lost, *end), S.IDLE, E.TCP_FAILS, E.NOTIFICATION)
        put(state, (*lost, *quiet_end), S.IDLE, E.NOTIFICATION_VERSION)
    put(S.OPEN_SENT, (D.DROP, D.COUNT, D.RETRY_ON), S.ACTIVE, E.TCP_FAILS)
    put(S.OPEN_SENT, (D.RETRY_OFF, D.KEEPALIVE, D.HOLD, D.KEEP_ON), S.OPEN_CONFIRM, E.OPEN)
    put(S.OPEN_CONFIRM, (D.HOLD, D.UP), S.ESTABLISHED, E.KEEPALIVE)
    for state in (S.OPEN_CONFIRM, S.ESTABLISHED):
        put(state, (D.KEEPALIVE, D.KEEP_ON), state, E.KEEPALIVE_EXPIRES)
    put(S.ESTABLISHED, (D.HOLD,), S.ESTABLISHED, E.KEEPALIVE)
    put(S.ESTABLISHED, (D.HOLD, D.TAKE), S.ESTABLISHED, E.UPDATE)
    put(S.ESTABLISHED, (D.TAKE,), S.ESTABLISHED, E.REFRESH)
    return rows


TABLE = _table()
OWN = {  # the NOTIFICATION of events that no message brings
    Event.STOP: (Code.CEASE, 2), Event.HOLD_EXPIRES: (Code.HOLD, 0), Event.COLLISION: (Code.CEASE, 7),
    Event.SEND_HOLD_EXPIRES: (Code.SEND_HOLD, 0),
}  # fmt: skip


WAITS = dict.fromkeys((Event.START, Event.IDLE_HOLD_EXPIRES, Event.RETRY_EXPIRES), Event.START_PASSIVE)


class Mine(NamedTuple):
    """What this side says in its OPEN, and of whom it expects one. `hold` in seconds."""

    as_: int
    id: bytes
    peer_as: int
    hold: int
    families: tuple[Family, ...]

    @property
    def internal(self) -> bool:
        return self.as_ == self.peer_as

    def open(self) -> Open:
        told = [
            Capability(Cap.MULTIPROTOCOL, f.afi.to_bytes(2, "big") + bytes((0, f.safi)))
            for f in self.families
        ]
        told += [Capability(code, b"") for code in (Cap.ROUTE_REFRESH, Cap.EXTENDED_MESSAGE)]
        told.append(Capability(Cap.AS4, self.as_.to_bytes(4, "big")))
        receive = b"".join(f.afi.to_bytes(2, "big") + bytes((f.safi, 1)) for f in self.families)
        told += [Capability(Cap.ADD_PATH, receive), Capability(Cap.ENHANCED_REFRESH, b"")]
        return Open(self.as_ if self.as_ <= 0xFFFF else wire.AS_TRANS, self.hold, self.id, tuple(told))

    def check(self, theirs: Open) -> None:
        """RFC 4271 section 6.2. A hold time of 0 is turned away too: a dead process would stay announced."""
        if theirs.as_ != self.peer_as or (theirs.as2 != theirs.as_ and theirs.as2 != wire.AS_TRANS):
            raise Wrong(Code.OPEN, 2)
        if theirs.id == bytes(4) or (self.internal and theirs.id == self.id):  # RFC 6286 section 2.1
            raise Wrong(Code.OPEN, 3)
        if theirs.hold < 3:
            raise Wrong(Code.OPEN, 6)
        if not theirs.families & set(self.families):
            wanted = self.open().capabilities[: len(self.families)]
            raise Wrong(Code.OPEN, 7, b"".join(bytes((code, len(value))) + value for code, value in wanted))


class Penalty:
    """Flaps weigh 1 each and halve with quiet: the idle hold doubles with each unit, up to `DOUBLINGS`
    times."""

    def __init__(self, half_life: float) -> None:
        self.half_life, self.weight, self.at = half_life, 0.0, 0.0

    def now(self, now: float) -> float:
        return float(self.weight * 0.5 ** (max(0.0, now - self.at) / self.half_life))

    def flap(self, now: float) -> None:
        self.weight, self.at = min(2.0 * DOUBLINGS, self.now(now) + 1), now

    def factor(self, now: float) -> float:
        return float(2.0 ** min(DOUBLINGS, max(0.0, self.now(now) - 1)))


class Session:
    """One connection's machine. `timers` holds what is running; a timer that is not in it is stopped."""

    def __init__(
        self, mine: Mine, rng: Random, penalty: Penalty | None = None, passive: bool = False
    ) -> None:
        self.mine, self.rng, self.passive = mine, rng, passive
        self.penalty = penalty or Penalty(CALM * mine.hold)
        self.state, self.since = State.IDLE, 0.0
        self.timers: dict[Timer, float] = {}
        self.hold = float(mine.hold)  # as negotiated, once it is
        self.theirs: Open | None = None
        self.agreed = wire.Agreed()
        self.flaps, self.error, self.error_at = 0, "", 0.0  # `error`: the last one's name
        self.last_event: Event | None = None
        self.out: list[Action] = []

    # What is heard.

    def hear(self, now: float, event: Event, said: Wrong | None = None) -> list[Action]:
        """An event without a message, or with the error that a message led to."""
        self._step(now, event, said, None)
        return self._taken()

    def take(self, now: float, message: wire.Message) -> list[Action]:
        """A message that could be decoded."""
        try:
            event, found = self._event(message)
        except Wrong as error:
            kind = Event.OPEN_ERROR if error.code == Code.OPEN else Event.UPDATE_ERROR
            return self.hear(now, kind, error)
        if isinstance(message, wire.Notification):
            text = f": {message.text}" if message.text else ""
            self._failed(now, f"peer: {message.name}{text}")
        self._step(now, event, None, found)
        return self._taken()

    def garbled(self, now: float, error: Wrong) -> list[Action]:
        """Bytes that are no message."""
        kinds: dict[int, Event] = {
            Code.OPEN: Event.OPEN_ERROR, Code.UPDATE: Event.UPDATE_ERROR, Code.REFRESH: Event.REFRESH_ERROR,
        }  # fmt: skip
        return self.hear(now, kinds.get(error.code, Event.HEADER_ERROR), error)

    def passed(self, now: float) -> list[Action]:
        """Timers whose moment has come, earliest first."""
        while due := [(at, timer.value, timer) for timer, at in self.timers.items() if at <= now]:
            timer = min(due)[2]
            del self.timers[timer]
            self._step(now, timer.value, None, None)
        return self._taken()

    def next(self) -> float:
        return min(self.timers.values(), default=float("inf"))

    def unsent(self, now: float, waiting: bool, within: float | None = None) -> None:
        """Whether what was sent is still on its way, and how long it may be (RFC 9687; the hold time by
        itself). A moment once set only comes nearer until all is sent."""
        if not waiting or self.state != State.ESTABLISHED:
            self.timers.pop(Timer.SEND, None)
        else:
            at = now + (self.hold if within is None else min(self.hold, within))
            self.timers[Timer.SEND] = min(at, self.timers.get(Timer.SEND, at))

    def refused(self, now: float, why: str) -> None:
        """No connection came about; the event itself is `TCP_FAILS`."""
        self._failed(now, f"connect: {why}")

    # What is done.

    def _event(self, message: wire.Message) -> tuple[Event, Took | Refreshed | None]:
        match message:
            case wire.Open():
                if self.state == State.OPEN_SENT:
                    self.mine.check(message)
                    self.theirs, self.agreed = message, wire.agree(self.mine.open(), message)
                    self.hold = float(min(self.mine.hold, message.hold))
                return Event.OPEN, None
            case wire.Update():
                if self.state != State.ESTABLISHED:
                    return Event.UPDATE, None
                return Event.UPDATE, Took(attributes.understand(message, self.agreed, self.mine.internal))
            case wire.Notification(Code.OPEN, 1):
                return Event.NOTIFICATION_VERSION, None
            case wire.Notification():
                return Event.NOTIFICATION, None
            case wire.Refresh():
                return Event.REFRESH, Refreshed(message)
            case _:
                return Event.KEEPALIVE, None

    def _step(self, now: float, event: Event, error: Wrong | None, found: Took | Refreshed | None) -> None:
        if self.passive and self.state in (State.IDLE, State.ACTIVE):
            event = WAITS.get(event, event)
        self.last_event = event
        before, row = self.state, TABLE[self.state, event]
        notified = False
        for do in row.does:
            match do:
                case Do.NOTIFY:
                    notified = True
                    self._notify(now, event, error)
                case Do.DROP:
                    if before >= State.OPEN_SENT and not notified:
                        self._failed(now, "connection lost")
                    self.out.append(Drop(notified))
                    for timer in (Timer.HOLD, Timer.KEEPALIVE, Timer.SEND):
                        self.timers.pop(timer, None)
                case Do.TAKE:
                    assert found is not None
                    self.out.append(found)
                case _:
                    self._do(now, do)
        if row.to != before:
            self.state, self.since = row.to, now

    def _do(self, now: float, do: Do) -> None:
        match do:
            case Do.DIAL:
                self.out.append(Dial())
            case Do.OPEN:
                self.theirs, self.agreed = None, wire.Agreed()
                self.out.append(Send(self.mine.open()))
            case Do.KEEPALIVE:
                self.out.append(Send(wire.Keepalive()))
            case Do.RETRY_ON if self.passive:
                pass  # it never dials: the peer comes, or nobody
            case Do.RETRY_ON:
                self._start(now, Timer.RETRY, self.mine.hold * self.penalty.factor(now))
            case Do.RETRY_OFF:
                self.timers.pop(Timer.RETRY, None)
            case Do.COUNT:
                self.flaps += 1
                self.penalty.flap(now)
            case Do.LARGE:
                self.timers[Timer.HOLD] = now + LARGE_HOLD * self.mine.hold
            case Do.HOLD:
                self.timers[Timer.HOLD] = now + self.hold
            case Do.KEEP_ON:
                self._start(now, Timer.KEEPALIVE, self.hold / KEEPALIVES)
            case Do.IDLE_ON:
                self._start(now, Timer.IDLE, self.mine.hold * IDLE * self.penalty.factor(now))
            case Do.IDLE_OFF:
                self.timers.pop(Timer.IDLE, None)
            case Do.UP:
                self.out.append(Up(self.agreed))
            case Do.RELEASE:
                self.out.append(Down())

    def _notify(self, now: float, event: Event, error: Wrong | None) -> None:
        if error is not None:
            said = wire.Notification(error.code, error.subcode, error.data)
        elif event in OWN:
            said = wire.Notification(*OWN[event])
        else:  # RFC 6608: the subcode tells the state
            said = wire.Notification(Code.FSM, self.state - State.OPEN_SENT + 1)
        if event != Event.STOP:
            self._failed(now, said.name)
        self.out.append(Send(said))

    def _failed(self, now: float, name: str) -> None:
        if not (name == "connection lost" and self.error_at == now):
            self.error, self.error_at = name, now

    def _start(self, now: float, timer: Timer, span: float) -> None:
        self.timers[timer] = now + span * self.rng.uniform(JITTER, 1.0)

    def _taken(self) -> list[Action]:
        out, self.out = self.out, []
        return out


def loses(own_id: bytes, own_as: int, peer_id: bytes, peer_as: int) -> str:
    """RFC 4271 section 6.8 with RFC 6286: which of two connections to one peer goes, `ours` (that we
    opened) or `theirs`: the one opened by the lower identifier, and by the lower AS where they are
    equal."""
    return "ours" if (own_id, own_as) < (peer_id, peer_as) else "theirs"
