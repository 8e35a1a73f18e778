"""Tests of the session's state machine against RFC 4271 section 8.2.2, its timers, checks and collisions."""

from __future__ import annotations

import copy
import unittest
from itertools import pairwise
from random import Random

from thymeyoke.bgp import session as bgp
from thymeyoke.bgp import wire
from thymeyoke.bgp.session import (
    TRANSITIONS,
    CloseConnection,
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
)
from thymeyoke.bgp.wire import IPV4, IPV6, Capability, CapabilityCode, ErrorCode, ProtocolError

LOCAL = LocalParameters(64512, bytes((192, 0, 2, 1)), 64500, 3, (IPV4, IPV6))
PEER_OPEN = LocalParameters(64500, bytes((192, 0, 2, 9)), 64512, 3, (IPV4, IPV6)).open()
# Next states according to the RFC: a column for each state (I C A S O E), a row for each event.
# Lower case: a NOTIFICATION is sent. Events 24 and 25 are never answered, see the module.
RFC = """
STOP                 IIIiii
START                CCASOE
START_PASSIVE        ACASOE
RETRY_EXPIRES        ICCiii
HOLD_EXPIRES         IIIiii
KEEPALIVE_EXPIRES    IIIiOE
IDLE_HOLD_EXPIRES    CIIiii
TCP_UP               ISSiii
TCP_FAILS            IIIAII
OPEN                 IIIOii
HEADER_ERROR         IIIiii
OPEN_ERROR           IIIiii
COLLISION            IIIiii
NOTIFICATION_VERSION IIIIII
NOTIFICATION         IIIIII
KEEPALIVE            IIIiEE
UPDATE               IIIiiE
UPDATE_ERROR         IIIiii
SEND_HOLD_EXPIRES    IIIiii
REFRESH              IIIiiE
REFRESH_ERROR        IIIiii
"""
LETTERS = dict(zip("ICASOE", State, strict=True))
RUNNING = {  # timers that may run in a state, and that must run
    State.IDLE: ({Timer.IDLE}, set()),
    State.CONNECT: ({Timer.RETRY}, {Timer.RETRY}),
    State.ACTIVE: ({Timer.RETRY}, {Timer.RETRY}),
    State.OPEN_SENT: ({Timer.HOLD}, {Timer.HOLD}),
    State.OPEN_CONFIRM: ({Timer.HOLD, Timer.KEEPALIVE}, {Timer.HOLD, Timer.KEEPALIVE}),
    State.ESTABLISHED: ({Timer.HOLD, Timer.KEEPALIVE, Timer.SEND}, {Timer.HOLD, Timer.KEEPALIVE}),
}
MESSAGES = (PEER_OPEN, wire.Keepalive(), wire.Update(), wire.RouteRefresh(IPV4), wire.Notification(6, 2),
            wire.Notification(2, 1), PEER_OPEN._replace(id=bytes(4)))  # fmt: skip
BY_MESSAGE = {Event.OPEN, Event.KEEPALIVE, Event.UPDATE, Event.REFRESH}


def fresh(passive: bool = False, local: LocalParameters = LOCAL) -> Session:
    return Session(local, Random(7), passive=passive)


def established(now: float = 0.0, peer_open: wire.Open = PEER_OPEN) -> Session:
    session = fresh()
    session.handle_event(now, Event.START)
    session.handle_event(now, Event.TCP_UP)
    session.receive(now, peer_open)
    session.receive(now, wire.Keepalive())
    assert session.state == State.ESTABLISHED
    return session


def sent(actions: list[bgp.Action]) -> list[wire.Message]:
    return [action.message for action in actions if isinstance(action, SendMessage)]


class Table(unittest.TestCase):
    def test_next_states_are_the_rfcs(self) -> None:
        rows = [line.split() for line in RFC.split("\n") if line]
        self.assertEqual({name for name, _ in rows}, {event.name for event in Event})
        for name, letters in rows:
            for state, letter in zip(State, letters, strict=True):
                row = TRANSITIONS[state, Event[name]]
                with self.subTest(state=state.name, event=name):
                    self.assertEqual(row.next_state, LETTERS[letter.upper()])
                    self.assertEqual(bgp.Effect.SEND_NOTIFICATION in row.effects, letter.islower())

    def test_all_reachable_states(self) -> None:
        """Each reachable combination of state and running timers, with each event."""
        for passive in (False, True):
            start = fresh(passive)
            start.handle_event(0.0, Event.START_PASSIVE if passive else Event.START)
            found, left, walked = {self.key(start)}, [start], set()
            while left:
                here = left.pop()
                self.check(here, passive)
                for event, session, actions in self.steps(here):
                    self.check_step(here, event, session, actions)
                    walked.add((here.state, event))
                    if (key := self.key(session)) not in found:
                        found.add(key)
                        left.append(session)
            advertised = {state for state, _ in found}
            # A passive session never connects.
            self.assertEqual(advertised, set(State) - ({State.CONNECT} if passive else set()))
            for state in advertised:
                self.assertEqual({event for at, event in walked if at == state}, set(Event))
            self.assertGreaterEqual(len(found), 7)

    def key(self, session: Session) -> tuple[State, frozenset[Timer]]:
        return session.state, frozenset(session.timers)

    def steps(self, here: Session) -> list[tuple[Event, Session, list[bgp.Action]]]:
        out = []
        for event in set(Event) - BY_MESSAGE:
            if event in [timer.value for timer in Timer]:
                session = copy.deepcopy(here)
                session.timers.pop(Timer(event), None)
                out.append((event, session, session.handle_event(1.0, event)))
                continue
            session = copy.deepcopy(here)
            error = ProtocolError(ErrorCode.HEADER, 2) if event.name.endswith("ERROR") else None
            out.append((event, session, session.handle_event(1.0, event, error)))
        for message in MESSAGES:
            session = copy.deepcopy(here)
            actions = session.receive(1.0, message)
            out.append((session.last_event, session, actions))
        if here.state == State.ESTABLISHED:
            session = copy.deepcopy(here)
            session.update_send_hold(1.0, True)
            out.append((Event.START, session, []))
        return out

    def check(self, session: Session, passive: bool) -> None:
        may, must = RUNNING[session.state]
        running = set(session.timers)
        self.assertLessEqual(running, may, session.state)
        if not passive:
            self.assertLessEqual(must, running, session.state)
        # STOP leads to Idle from everywhere, without timers, and notifies a peer that was greeted.
        ended = copy.deepcopy(session)
        actions = ended.handle_event(1.0, Event.STOP)
        self.assertEqual((ended.state, set(ended.timers)), (State.IDLE, set()))
        self.assertEqual([type(one) for one in sent(actions)], [wire.Notification] * (session.state >= 3))
        # A timer runs unless the session was stopped or waits passively.
        if not running:
            self.assertTrue(session.state == State.IDLE or (passive and session.state == State.ACTIVE))

    def check_step(self, here: Session, event: Event, session: Session, actions: list[bgp.Action]) -> None:
        kinds = [type(action) for action in actions]
        was, now = here.state == State.ESTABLISHED, session.state == State.ESTABLISHED
        self.assertEqual(kinds.count(SessionUp), now and not was)
        self.assertEqual(kinds.count(SessionDown), was and not now)
        said = sent(actions)
        self.assertFalse([one for one in said if isinstance(one, wire.Update)])
        notes = [one for one in said if isinstance(one, wire.Notification)]
        self.assertLessEqual(len(notes), 1)
        if event in (Event.NOTIFICATION, Event.NOTIFICATION_VERSION):
            self.assertEqual(said, [])
        if here.state >= State.OPEN_SENT and session.state < State.OPEN_SENT:
            self.assertEqual(kinds.count(CloseConnection), 1)
            self.assertEqual(
                next(one for one in actions if isinstance(one, CloseConnection)).notified, bool(notes)
            )
        if UpdateReceived in kinds or RefreshReceived in kinds:
            self.assertTrue(was and now)
        if session.state == State.IDLE and here.state != State.IDLE and event != Event.STOP:
            self.assertIn(Timer.IDLE, session.timers)


class Sessions(unittest.TestCase):
    def test_timers(self) -> None:
        session = established()
        self.assertEqual(session.timers[Timer.HOLD], 3.0)
        self.assertTrue(0.75 <= session.timers[Timer.KEEPALIVE] <= 1.0)  # jitter, section 10
        self.assertEqual(sent(session.advance(1.0)), [wire.Keepalive()])
        session.receive(2.0, wire.Update())
        self.assertEqual(session.timers[Timer.HOLD], 5.0)
        session.receive(2.5, wire.RouteRefresh(IPV4))  # does not restart the hold timer, section 4.4
        self.assertEqual(session.timers[Timer.HOLD], 5.0)
        actions = session.advance(5.0)
        self.assertEqual(sent(actions)[-1], wire.Notification(ErrorCode.HOLD))
        self.assertEqual((session.state, session.error), (State.IDLE, "hold timer expired"))

    def test_a_silent_peer_has_four_hold_times_for_its_open(self) -> None:
        session = fresh()
        session.handle_event(0.0, Event.START)
        session.handle_event(0.0, Event.TCP_UP)
        self.assertEqual(session.advance(11.9), [])
        self.assertEqual(sent(session.advance(12.0)), [wire.Notification(ErrorCode.HOLD)])

    def test_send_hold(self) -> None:
        """RFC 9687: a running send hold timer is only shortened."""
        session = established()
        session.timers.pop(Timer.KEEPALIVE)
        session.update_send_hold(0.0, True)
        session.update_send_hold(1.0, True, 0.5)
        session.update_send_hold(1.2, True, 0.5)
        self.assertEqual(session.timers[Timer.SEND], 1.5)
        session.update_send_hold(1.3, False)
        self.assertNotIn(Timer.SEND, session.timers)
        session.update_send_hold(1.3, True, 0.5)
        self.assertEqual(sent(session.advance(1.8)), [wire.Notification(ErrorCode.SEND_HOLD)])

    def test_idle_hold_grows_with_flaps_and_falls_with_quiet(self) -> None:
        damping = FlapDamping(60.0)
        spans = []
        for at in range(8):
            damping.add_flap(float(at))
            spans.append(damping.delay_factor(float(at)))
        self.assertEqual(spans[0], 1.0)
        self.assertTrue(all(a < b for a, b in pairwise(spans[:6])))
        self.assertEqual(damping.delay_factor(7.0), 64.0)
        falls = [damping.delay_factor(7.0 + 60.0 * at) for at in range(5)]
        self.assertEqual((falls[-1], sorted(falls, reverse=True)), (1.0, falls))

    def test_a_peer_that_flaps_for_a_minute(self) -> None:
        """If a peer closes each session after its OPEN, attempts become rare, and frequent again after a
        quiet time."""
        session, now, dials = fresh(), 0.0, []
        actions = session.handle_event(now, Event.START)
        while now < 60.0:
            if any(isinstance(action, bgp.Connect) for action in actions):
                dials.append(now)
                session.handle_event(now, Event.TCP_UP)
                session.receive(now, PEER_OPEN)
                session.handle_event(now, Event.TCP_FAILS)
            now = session.next_advance_at()
            actions = session.advance(now)
        self.assertLessEqual(len(dials), 8)
        gaps = [b - a for a, b in pairwise(dials)]
        self.assertGreater(gaps[-1], 4 * gaps[0])
        self.assertLessEqual(max(gaps), 64 * bgp.IDLE_HOLD_FACTOR * LOCAL.hold)
        self.assertEqual(session.damping.delay_factor(now + 600), 1.0)

    def test_rejected_opens(self) -> None:
        inner = LOCAL._replace(peer_as=64512)
        own = PEER_OPEN._replace(two_byte_as=64512, capabilities=())
        only6 = (Capability(CapabilityCode.MULTIPROTOCOL, bytes((0, 25, 0, 65))),)
        four_byte_as = Capability(CapabilityCode.AS4, (64501).to_bytes(4, "big"))
        cases = [
            ((2, 2), LOCAL, PEER_OPEN._replace(two_byte_as=65000, capabilities=())),
            ((2, 2), LOCAL, PEER_OPEN._replace(capabilities=(four_byte_as,))),
            ((2, 2), LOCAL, PEER_OPEN._replace(two_byte_as=1)),
            ((2, 3), LOCAL, PEER_OPEN._replace(id=bytes(4))),
            ((2, 3), inner, own._replace(id=LOCAL.id)),
            ((2, 6), LOCAL, PEER_OPEN._replace(hold=1)),
            ((2, 6), LOCAL, PEER_OPEN._replace(hold=2)),
            ((2, 6), LOCAL, PEER_OPEN._replace(hold=0)),  # routes of a dead process would remain
            ((2, 7), LOCAL, PEER_OPEN._replace(capabilities=only6)),
        ]
        for code, local, peer_open in cases:
            with self.subTest(code=code, peer_open=peer_open):
                session = fresh(local=local)
                session.handle_event(0.0, Event.START)
                session.handle_event(0.0, Event.TCP_UP)
                (note,) = sent(session.receive(0.0, peer_open))
                assert isinstance(note, wire.Notification)
                self.assertEqual(((note.code, note.subcode), session.state), (code, State.IDLE))
                self.assertEqual(session.error, note.name)
        self.assertEqual(established(peer_open=PEER_OPEN._replace(hold=90)).hold, 3)
        old = PEER_OPEN._replace(capabilities=())
        self.assertEqual(established(peer_open=old).negotiated, wire.NegotiatedOptions())

    def test_errors_are_named(self) -> None:
        session = established()
        session.receive(1.0, wire.shutdown_notification("work on the rack"))
        self.assertEqual(session.error, "peer: administrative shutdown: work on the rack")
        session = established()
        session.handle_event(1.0, Event.TCP_FAILS)
        self.assertEqual(session.error, "connection lost")
        session = established()
        bad = wire.Update((), (wire.Attribute(0x40, 99, b""),))
        self.assertEqual(sent(session.receive(1.0, bad)), [wire.Notification(3, 2, b"\x40\x63\0")])
        session = established()
        self.assertEqual(sent(session.receive(1.0, PEER_OPEN)), [wire.Notification(ErrorCode.FSM, 3)])

    def test_collision(self) -> None:
        """Section 6.8 and RFC 6286: the connection opened by the higher identifier remains."""
        low, high = bytes((1, 1, 1, 1)), bytes((1, 1, 1, 2))
        cases = [(low, 1, high, 2, "ours"), (high, 1, low, 2, "theirs"), (low, 1, low, 2, "ours")]
        for own, own_as, peer, peer_as, lost in cases:
            self.assertEqual(bgp.losing_connection(own, own_as, peer, peer_as), lost)
            # Both sides choose the same connection.
            other = bgp.losing_connection(peer, peer_as, own, own_as)
            self.assertEqual(other, {"ours": "theirs", "theirs": "ours"}[lost])
