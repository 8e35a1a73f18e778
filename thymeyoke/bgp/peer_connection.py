"""One peer's actor: its connections and the bytes on them. It decides nothing: the session's table and the
announcer's levels say what is to be done. A peer that is slow, silent or says what it should not ends its
session, nothing else.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup

from thymeyoke.bgp import routes, tcp, wire
from thymeyoke.bgp.attributes import Route, Way
from thymeyoke.bgp.configuration import Announce, Peer, Prefix
from thymeyoke.bgp.controller import Bucket, Level
from thymeyoke.bgp.presentation import Shown, place
from thymeyoke.bgp.session import (
    CALM,
    Action,
    Dial,
    Down,
    Drop,
    Event,
    Mine,
    Penalty,
    Refreshed,
    Send,
    Session,
    State,
    Timer,
    Took,
    Up,
    loses,
)
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import HostConfigurationError

CHUNK = 1 << 14
FLOOD, FLOOD_SPAN = float(1 << 20), 8.0  # octets that a peer may say at once, and until it may again
PENDING = 8  # messages of a session that wait for the writer: an OPEN, KEEPALIVEs, a NOTIFICATION
LOST = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


def mine(told: Announce, peer: Peer) -> Mine:
    families = tuple(dict.fromkeys(place(prefix)[0] for prefix in told.addresses))
    return Mine(told.as_, told.id.packed, peer.as_, peer.hold, families)


class Talk:
    """One connection of a peer, with its session. A new one is made for each connection that the peer
    opens."""

    def __init__(self, speaker: Speaker, session: Session, opened: bool) -> None:
        self.speaker, self.session, self.opened = speaker, session, opened  # opened: by this side
        self.stream: SocketStream | None = None
        self.reader = wire.Reader()
        self.pending: list[bytes] = []
        self.again: list[wire.Refresh] = []  # refreshes asked for and not yet answered, one a family
        self.sent: dict[Prefix, Route] = {}  # what the peer holds of ours; goes with the session
        self.scope = self.dialing = anyio.CancelScope()
        self.stirred, self.over = anyio.Event(), anyio.Event()
        self.writing = False
        self.total = self.mark = 0  # octets given to the machine; how many of them must be taken in time
        self.flood = Bucket(FLOOD, FLOOD_SPAN)

    def stir(self) -> None:
        self.stirred.set()

    def hear(self, event: Event, error: wire.Wrong | None = None) -> None:
        self.do(self.session.hear(clock(), event, error))

    # Carrying out.

    def do(self, actions: list[Action]) -> None:
        speaker = self.speaker
        for action in actions:
            match action:
                case Dial():
                    speaker.tasks.start_soon(self._dial)
                case Drop(said):
                    self._drop(said)
                case Send(message):
                    self.pending.append(wire.encode(message, self.session.agreed))
                    if len(self.pending) > PENDING:  # unread for so long that only closing is left
                        del self.pending[PENDING:]
                    self.stir()
                case Up():
                    self.sent.clear()
                    speaker.up(self)
                    self.stir()
                case Down():
                    self.sent.clear()
                    self.again.clear()
                    speaker.down(self)
                case Took(heard):
                    for way, text in heard.faults:
                        logs.counters[
                            "announce_" + ("treated_as_withdrawn" if way == Way.WITHDRAW else "discarded")
                        ] += 1
                        logs.log_peer_fault("bgp_attribute_invalid", peer=speaker.peer.name, reason=text)
                    speaker.shown.heard(speaker.peer.name, heard)
                    speaker.changed()
                case Refreshed(said):
                    if said.kind:
                        speaker.shown.refreshed(speaker.peer.name, said)
                        speaker.changed()
                    elif said not in self.again and said.family in self.session.agreed.families:
                        self.again.append(said)
                        self.stir()
        if any(isinstance(action, Drop) for action in actions):
            speaker.ended(self)
        speaker.woken()

    def _drop(self, said: bool) -> None:
        self.dialing.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            # With the writer in the middle of something no NOTIFICATION can be put behind it.
            went = said and not self.writing and tcp.last_words(stream, b"".join(self.pending))
            self.scope.cancel()
            self.speaker.tasks.start_soon(self._bye, stream, went, self.over)
        self.pending.clear()

    async def _bye(self, stream: SocketStream, said: bool, over: anyio.Event) -> None:
        with anyio.CancelScope(shield=True):
            await over.wait()
            await tcp.close(stream, said)

    async def _dial(self) -> None:
        self.opened = True
        with anyio.CancelScope() as scope:
            self.dialing = scope
            try:
                stream = await tcp.connect(self.speaker.peer)
            except (OSError, HostConfigurationError) as error:
                self.session.refused(clock(), str(error))
                return self.hear(Event.TCP_FAILS)
        if not scope.cancelled_caught:
            self.attach(stream)

    def attach(self, stream: SocketStream) -> None:
        self.stream, self.reader, self.over = stream, wire.Reader(), anyio.Event()
        self.writing, self.total, self.mark = False, 0, 0
        self.scope = anyio.CancelScope()
        self.speaker.tasks.start_soon(self._live, stream, self.scope, self.over)
        self.hear(Event.TCP_UP)

    # The connection.

    async def _live(self, stream: SocketStream, scope: anyio.CancelScope, over: anyio.Event) -> None:
        try:
            with scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, stream)
                    await self._read(stream)
                    scope.cancel()
        except Exception as error:
            logs.counters["announce_error"] += 1
            logs.log_event(logging.ERROR, "bgp_connection_failed", error, peer=self.speaker.peer.name)
        finally:
            over.set()
        if self.stream is stream:
            self.hear(Event.TCP_FAILS)

    async def _read(self, stream: SocketStream) -> None:
        while self.stream is stream:
            try:
                data = await stream.receive(CHUNK)
            except LOST:
                return
            now = clock()
            if not self.flood.has(now, len(data)):
                logs.counters["announce_floods"] += 1
                return self.hear(Event.UPDATE_ERROR, wire.Wrong(wire.Code.CEASE, 8))
            self.flood.take(now, len(data))
            try:
                for message in self.reader.feed(data):
                    self.take(now, message)
                    if self.stream is not stream:
                        return
                    self.reader.agreed = self.session.agreed
            except wire.Wrong as error:
                logs.counters["announce_garbled"] += 1
                return self.do(self.session.garbled(now, error))

    def take(self, now: float, message: wire.Message) -> None:
        logs.counters["announce_messages_in"] += 1
        before = self.session.state
        self.do(self.session.take(now, message))
        if before == State.OPEN_SENT and self.session.state == State.OPEN_CONFIRM:
            self.speaker.collide(self)

    async def _write(self, stream: SocketStream) -> None:
        while self.stream is stream:
            if not (batch := self._batch()):
                self.stirred = anyio.Event()
                await self.stirred.wait()
                continue
            self.writing = True
            self._watch(len(batch))
            try:
                await stream.send(batch)
            except LOST:
                return
            self.writing = False

    def _batch(self) -> bytes:
        """All that is to be said now. What changes while it is on its way is said by the next one, as one
        step."""
        out, self.pending = self.pending, []
        if self.session.state == State.ESTABLISHED:
            agreed, speaker = self.session.agreed, self.speaker
            for refresh in self.again:
                self.sent = {at: one for at, one in self.sent.items() if place(at)[0] != refresh.family}
                if agreed.enhanced:
                    out.append(wire.encode(refresh._replace(kind=1)))
            updates, self.sent = routes.difference(
                speaker.told, speaker.peer, speaker.wanted, self.sent, agreed)  # fmt: skip
            out += [wire.encode(update, agreed) for update in updates]
            if agreed.enhanced:
                out += [wire.encode(refresh._replace(kind=2)) for refresh in self.again]
            self.again.clear()
            logs.counters["announce_updates_out"] += len(updates)
        return b"".join(out)

    def _watch(self, size: int) -> None:
        """The send hold timer runs from the first octet that is not taken (RFC 9687); shorter while
        withdrawing."""
        if self.speaker.within is not None:
            self._past(clock())
        self.total += size
        if Timer.SEND not in self.session.timers or self.speaker.within is not None:
            self.mark = self.total
        self.session.unsent(clock(), True, self.speaker.within)
        self.speaker.woken()

    def hurry(self, within: float) -> None:
        """What is already on its way stands before what must leave now."""
        if self.stream is not None and (self.writing or tcp.unacknowledged(self.stream)):
            if not self.writing:
                self._past(clock())
            self.mark = self.total
            self.session.unsent(clock(), True, within)
            self.speaker.woken()

    def _past(self, now: float) -> None:
        """What was marked has been taken, but its timer is looked at only when it is due: it is none of what
        is marked next. Else a withdrawal just before that moment had no time at all."""
        if self.stream is not None and self.total - tcp.unacknowledged(self.stream) >= self.mark:
            self.session.unsent(now, False)

    def passed(self, now: float) -> None:
        due = self.session.timers.get(Timer.SEND, float("inf")) <= now
        if due and self.stream is not None and not self.writing:
            left = tcp.unacknowledged(self.stream)
            if self.total - left >= self.mark:
                self.speaker.within = None
                self.session.unsent(now, False)
                self.mark = self.total
                self.session.unsent(now, left > 0)
        self.do(self.session.passed(now))


class Speaker:
    """Speaks with one peer. `wanted` is set by the announcer, `stir` says that it has changed."""

    def __init__(
        self, told: Announce, peer: Peer, shown: Shown, rng: Random, changed: Callable[[], None]
    ) -> None:
        self.told, self.peer, self.shown, self.changed = told, peer, shown, changed
        self.rng, self.penalty = rng, Penalty(CALM * peer.hold)
        self.wanted: Mapping[Prefix, Level] = {}
        self.within: float | None = None  # how long what is sent may stay untaken, where that is short
        self.main = Talk(self, self._session(), not peer.passive)
        self.other: Talk | None = None  # a second connection, until it is told which one goes
        self.wake = anyio.Event()
        self.stopped = self.done = False  # told to end; ended

    def _session(self) -> Session:
        return Session(mine(self.told, self.peer), self.rng, self.penalty, self.peer.passive)

    def stir(self, wanted: Mapping[Prefix, Level], told: Announce, within: float | None) -> None:
        self.wanted, self.told, self.within = wanted, told, within
        if within is not None:
            self.main.hurry(within)
        self.main.stir()

    def woken(self) -> None:
        self.wake.set()

    async def run(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            try:
                await self._run()
            finally:
                if not self.stopped:
                    self.stop(wire.shutdown("the instance leaves"))

    async def _run(self) -> None:
        self.main.hear(Event.START_PASSIVE if self.peer.passive else Event.START)
        while not self.stopped:
            for talk in self.talks():
                talk.passed(clock())
            self.wake = anyio.Event()  # only now: what passed has woken nobody but this
            moment = min(talk.session.next() for talk in self.talks())
            with anyio.move_on_after(max(0.0, moment - clock())):
                await self.wake.wait()

    tasks: TaskGroup

    def talks(self) -> list[Talk]:
        return [self.main, *([self.other] if self.other else [])]

    def stop(self, why: wire.Notification) -> None:
        """Say why, and close. `run` ends when that has left."""
        for talk in self.talks():
            talk.hear(Event.STOP, wire.Wrong(*why))
        self.stopped = True
        self.wake.set()

    def status(self, now: float) -> dict[str, Any]:
        """Plain values for people."""
        session = self.main.session
        return {
            "peer": self.peer.name, "address": str(self.peer.address), "as": self.peer.as_,
            "state": session.state.name.lower(), "since": session.since,
            "for": max(0.0, now - session.since) if session.since else 0.0,
            "hold": session.hold if session.state == State.ESTABLISHED else None,
            "held": sorted(str(prefix) for prefix in self.main.sent), "flaps": session.flaps,
            "penalty": round(self.penalty.now(now), 2), "error": session.error,
            "error_at": session.error_at, "next": session.next() - now if session.timers else None,
        }  # fmt: skip

    # What the connections tell.

    def up(self, talk: Talk) -> None:
        logs.counters["announce_sessions_up"] += 1
        logs.log_event(logging.INFO, "bgp_session_established", peer=self.peer.name, hold=talk.session.hold)
        if talk is not self.main:
            self.other, self.main = self.main, talk
        if self.other:
            self.other.hear(Event.STOP, wire.Wrong(wire.Code.CEASE, 7))
            self.other = None

    def down(self, talk: Talk) -> None:
        logs.counters["announce_sessions_lost"] += 1
        logs.log_event(
            logging.WARNING, "bgp_session_closed", peer=self.peer.name, reason=talk.session.error or "stopped"
        )
        self.shown.lost(self.peer.name)
        self.changed()

    def ended(self, talk: Talk) -> None:
        if talk is self.other and talk.session.state in (State.IDLE, State.ACTIVE):
            self.other = None

    def accepted(self, stream: SocketStream) -> bool:
        """A connection that the peer opened, RFC 4271 section 8.2.1. False where there is no use for it."""
        if self.main.stream is None and self.main.session.state == State.ACTIVE:
            self.main.opened = False
            self.main.attach(stream)
            return True
        if self.other is not None or self.main.session.state in (State.IDLE, State.ESTABLISHED):
            return False
        self.other = Talk(self, Session(mine(self.told, self.peer), self.rng, self.penalty, True), False)
        self.other.hear(Event.START_PASSIVE)
        self.other.attach(stream)
        return True

    def collide(self, talk: Talk) -> None:
        """RFC 4271 section 6.8, when an OPEN has come on one of two connections."""
        rival = self.other if talk is self.main else self.main
        if rival is None or rival is talk or rival.session.state < State.OPEN_CONFIRM:
            return
        assert talk.session.theirs is not None
        own, theirs = self.told, talk.session.theirs
        if rival.session.state == State.ESTABLISHED:
            return talk.hear(Event.COLLISION)
        lost = loses(own.id.packed, own.as_, theirs.id, theirs.as_)
        victim, stays = (talk, rival) if talk.opened == (lost == "ours") else (rival, talk)
        self.main, self.other = stays, victim
        victim.hear(Event.COLLISION)
