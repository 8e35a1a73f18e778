"""Who is there: facts from other members in, messages to them out.

Pure. SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health and shrinking suspicion (Dadgar and
others 2018). Each period one member is probed, in a shuffled round; where it does not answer, through
others; then it is suspected, and dead when it has not refuted that in time. News rides on probes and
their answers; nodes besides tell each other of themselves each period, straight. docs/membership.md weighs it
against leases, and has the state table and the rules.

Orders decide, never clocks: `now` measures spans of this process alone.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil
from random import Random
from typing import NamedTuple

from thymeyoke.membership.failure_detector import (
    DEAD_STAYS,
    EPOCH,
    GONE_STAYS,
    HERE,
    TAKEN,
    TRUST,
    Event,
    Known,
    Layer,
    Said,
    Stand,
    Suspicion,
    brief,
    classify,
    epoch,
    step,
)
from thymeyoke.membership.gossip import (
    MESH_NEWS,
    NEWS,
    Action,
    Fresh,
    Item,
    Kind,
    Message,
    Noted,
    Rumour,
    Send,
    Verdict,
    detail_cost,
)
from thymeyoke.membership.limits import fault
from thymeyoke.membership.view import Member, Snapshot, State, Trust, View

MOST = 4096  # members known at once; then the dead make room, and without any strangers are left out
SPEAKS = 1 / 4  # of a probe's span: so long the member itself has to answer, then others ask it
ASKS = 1 / 4  # of a period: so long one who asks for another waits before it says that there is no answer
HELPERS = 3  # others who are asked to ping
WITNESSES = 4  # members, in the mean, that probe next whom another one suspects: they confirm, or clear it
HEALTH_TOP = 8  # of the local health, which is 0 at best; spans stretch by 1 + it
SHAKEN = 3  # the local health of a process that stood still
LATE = 1.0  # periods past its moment at which a settle is a process that stood still
PULL = 10.0  # periods between two whole tables, and more in a large fleet
PULL_FLEET = 32  # members from which on that is stretched, by the logarithm
TABLES = 1 << 15  # members in the whole tables of one beat: a quarter of a second's work, about
SEEDS = 3  # addresses asked at once while nobody is known
DEAD_ASKED = 5  # beats between two words to one that is dead: a cut heals though nobody is a seed
FANOUT = 8  # others that are told at once of a change of this process
DETAIL = 1 << 18  # octets of loads that a node tells others in a period, about; all in turn
RELAYS = 256  # pings for others at once
TELLINGS = 64  # that somebody was told what is known of its own name, in one beat
MARGIN = 2.0  # periods by which one life must be the longer one, to be the older
STALE, HALF = 3.0, 10.0  # periods from which on figures lose weight, and in which they lose half
GOSSIPED = 16  # members more, for each further period that figures by gossip may take


class Probe(NamedTuple):
    """One member that is being asked whether it is there."""

    name: str
    number: int
    began: float
    through: float  # when others are asked
    over: float
    helpers: tuple[str, ...] = ()
    nacks: frozenset[str] = frozenset()


class Relay(NamedTuple):
    """A ping for another member."""

    asker: str  # its address
    number: int  # as it counts
    about: str
    until: float


class Membership:
    """All that one process knows. Call `say` and `heard` as things happen, then `settle`; its actions are
    to be carried out in order. `next` says when to settle again. Times in seconds.

    `known` is emptied as the dead and the gone are forgotten; `relays`, `told` and `doubted` as their spans
    pass; `pulled` on each beat; `fresh` as news has been told; `unanswered_seeds` as they answer, others tell
    of them, or nobody listens there."""

    def __init__(self, now: float, own: Snapshot, seeds: tuple[str, ...], rng: Random, period: float) -> None:
        self.seeds = tuple(seed for seed in seeds if seed != own.address)
        # Guards against a view that passes for whole because words are slow: half of the fleet was heard of,
        # by its own questions, and the other half's answers were still on their way.
        self.unanswered_seeds = set(self.seeds)
        self.rng, self.period, self.began, self.now = rng, period, now, now
        self.own = own._replace(sequence=max(1, own.sequence))
        self.first = own.incarnation  # by this process's clock, at `began`: what is from tomorrow is later
        self.wanted = self.own  # what was last told of this process; it is said on the next beat
        self.said_at, self.state_at = now, now - own.since
        self.known: dict[str, Known] = {}  # by name, without this process
        self.fresh = Fresh()
        self.out: list[Action] = []
        self.version = 1
        self.counted = 0, 0  # the version, and how many are there by it
        self.health = 0
        self.probe: Probe | None = None
        self.round: list[str] = []  # whom to probe, and emptied by it
        self.number = 0
        self.relays: dict[int, Relay] = {}
        self.told: dict[str, float] = {}  # by address, when it was told of its own name
        self.pulled: set[str] = set()  # addresses that were told all since the last beat
        self.doubted: set[str] = set()  # names of those with a suspicion
        self.conflict = ""  # one sentence, where another process keeps this one's name
        self.left = False
        self.beats, self.turn = 0, 0
        self.beat_at = now + rng.random() * period  # its own phase: hundreds that start at once ask in turn
        self.probe_at = now + rng.random() * period
        self.pull_at = now + (1 + rng.random()) * period
        self.planned = now
        self.lag, self.lag_until = 0.0, now  # what is read just after a standstill may be that old
        self.woke_at = float("-inf")  # from the last one

    # Facts.

    def say(self, now: float, own: Snapshot) -> None:
        """Figures of this process, new. Name, address, life and order are the membership's own; a state
        only moves forward."""
        self.now, old = now, self.own
        state = max(old.state, own.state, self.wanted.state)
        self.wanted = own._replace(
            name=old.name, node=old.node, address=old.address, incarnation=old.incarnation,
            sequence=old.sequence, state=state)  # fmt: skip
        if state != old.state:
            self.state_at = now
        urgent = (state, own.serves, own.holds) != (old.state, old.serves, old.holds)
        if urgent and not self.mute:
            if state != old.state:
                self.version += 1
            self._renew(now)
            self._spread(now)

    def leave(self, now: float) -> None:
        """Farewell: said at once to some, who pass it on. Nothing follows it."""
        if not self.mute:
            self.say(now, self.wanted._replace(state=State.GONE))
        self.left = True

    def heard(self, now: float, sender: str, message: Message) -> None:
        """`sender`: the address that the message says it is from."""
        self._woke(now)
        me = message.me
        if self.mute:
            return
        if me.snapshot.address != sender or sender == self.own.address:
            return self._note("misplaced")
        if me.snapshot.name == self.own.name:
            return self._rival(now, message)
        dead = {
            (one.name, one.incarnation, one.epoch) for one in message.rumours if one.verdict == Verdict.DEAD
        }
        event = self._said(now, me, dead)
        if message.kind != Kind.PULL:  # who asks has not answered yet
            self._seed_answered(sender)
        for said in message.said:
            if self._said(now, said, dead) is not None:
                self._seed_answered(said.snapshot.address)
        for rumour in message.rumours:
            self._rumour(now, rumour)
        known = self.known.get(me.snapshot.name)
        if event is None or known is None:
            return
        behind = known.stand not in HERE or me.snapshot.order < known.figures.order
        if behind and event != Event.FAREWELL:
            self._tell(now, sender, known)  # what is known of its name is newer than what it says
        if known.figures.address != sender or known.figures.incarnation != me.snapshot.incarnation:
            return
        if now >= self.lag_until:
            known.heard_at = now
        self._answer(now, known, sender, message)

    def change(self, now: float, seeds: tuple[str, ...], period: float) -> None:
        """The operators' file, read anew. What is known stays."""
        self.seeds = tuple(seed for seed in seeds if seed != self.own.address)
        self.unanswered_seeds.intersection_update(self.seeds)
        if period != self.period:
            self.period, self.probe = period, None
            self.beat_at = self.probe_at = self.planned = now
            self.pull_at = now + period

    def refused(self, now: float, address: str) -> None:
        """A connect to the address was refused: nobody listens there."""
        self._woke(now)
        self._seed_answered(address)

    def begin(self, now: float) -> None:
        """It runs from now on: what lies between its making, or an error, and this is no standstill."""
        self.planned = max(self.planned, now)

    # Outcomes.

    def settle(self, now: float) -> list[Action]:
        """All that is to be told now."""
        self._woke(now)
        if not self.mute:
            if now >= self.beat_at:
                self._beat(now)
            self._suspicions(now)
            self._probing(now)
            self._relaying(now)
            if now >= self.pull_at:
                self._pull(now)
        out, self.out = self.out, []
        self.planned = self.next(now)
        return out

    def next(self, now: float) -> float:
        """The next moment at which `settle` may say something though nothing was heard."""
        if self.out:
            return now
        if self.mute:
            return float("inf")
        moments = [self.beat_at, self.pull_at, self._probe_next()]
        moments += [relay.until for relay in self.relays.values()]
        moments += [doubt.over_at for name in self.doubted if (doubt := self.known[name].suspicion)]
        return min(moments)

    def stood(self, now: float) -> tuple[float, float]:
        """When this process last woke from a standstill, and how old what it read then may have been: it may
        have been stopped a beat before it was missed."""
        self._woke(now)
        return self.woke_at, self.lag + self.period

    def view(self, now: float) -> View:
        own = self.wanted._replace(
            incarnation=self.own.incarnation, sequence=self.own.sequence, since=max(0.0, now - self.state_at)
        )
        members = {name: self._member(now, one) for name, one in self.known.items()}
        members[own.name] = Member(own, Trust.SURE, max(0.0, now - self.said_at), 1.0)
        return View(self.version, now, own.name, members, len(self.unanswered_seeds))

    @property
    def mute(self) -> bool:
        """It has left, or it has no name: nothing is said any more."""
        return self.left or bool(self.conflict)

    def here(self) -> list[Known]:
        return [one for one in self.known.values() if one.stand in HERE]

    def many(self) -> int:
        """Members that are there, this one among them. Counted anew where the version moved."""
        if self.counted[0] != self.version:
            self.counted = self.version, 1 + sum(one.stand in HERE for one in self.known.values())
        return self.counted[1]

    # What is known of others.

    def _member(self, now: float, known: Known) -> Member:
        shown = known.shown
        age = max(0.0, now - known.confirmed_at())
        return Member(shown, TRUST[known.stand], age, self._weight(age, known))

    def _weight(self, age: float, known: Known) -> float:
        """Full while it may still be the newest that there can be here, then halved again and again. What is
        unsure has half of it, what is dead none: its figures are not known, which is not "no load"."""
        if known.stand not in HERE:
            return 0.0
        straight = self.own.node and known.figures.node
        full = self.period * (STALE + len(self.known) / GOSSIPED * (1 / 2 if straight else 1))
        weight = float(0.5 ** (max(0.0, age - full) / (HALF * self.period)))
        return weight / 2 if known.stand == Stand.UNSURE else weight

    def _said(self, now: float, said: Said, dead: set[tuple[str, int, int]]) -> Event | None:
        """Take a snapshot, by the table. `dead`: lives that the same message says are over."""
        new = said.snapshot
        known = self.known.get(new.name)
        if known and said.layers == Layer.FIGURES and new.order <= known.figures.order \
                and new.address == known.figures.address:  # fmt: skip
            return Event.OLDER  # most of what is heard: nothing of it is taken
        if now < self.lag_until:
            said = said._replace(age=said.age + self.lag)
        if why := self._fault(now, said):
            self._note("snapshots_dropped", "", why)
            return None
        if new.name == self.own.name:
            self._of_me(now, said, dead)
            return None
        event = classify(known, said, self.period)
        if known is None:
            buried = (new.name, new.incarnation, epoch(new)) in dead
            if event != Event.NEW_LIFE or buried or not self._room():
                return event
            known = self.known[new.name] = Known(now, said)
        elif event == Event.ANOTHER_ADDRESS:
            self._note("another_address", new.name, new.address)
            self._tell(now, new.address, known)
        elif known.stand != Stand.GONE and backward(known, new, event):
            self._note("snapshots_dropped", "", "a state that goes back within a life")
            return None
        if known.stand in TAKEN.get(event, ()):
            changed = (known.figures.incarnation, known.figures.state) != (new.incarnation, new.state)
            known.take(now, said)
            self.fresh.put(new.name, waits=not changed and event == Event.NEWER)
            if changed and step(known.stand, event) == known.stand:
                self.version += 1
        elif event == Event.OLDER:
            known.also(now, said)
        self._step(now, known, event)
        return event

    def _seed_answered(self, address: str) -> None:
        if address in self.unanswered_seeds:
            self.unanswered_seeds.remove(address)
            self.version += not self.unanswered_seeds  # who waits for them looks at the view

    def _fault(self, now: float, said: Said) -> str:
        if not 0.0 <= said.age < float("inf"):
            return "an age that cannot be"
        return fault(said.snapshot, self.first + int((now - self.began) * 1000))

    def _room(self) -> bool:
        if len(self.known) < MOST:
            return True
        away = [one for one in self.known.values() if one.stand not in HERE]
        if not away:
            self._note("full")
            return False
        self._forget(min(away, key=lambda one: one.since))
        return True

    def _rumour(self, now: float, rumour: Rumour) -> None:
        """Counts for the very life and epoch that is known here: an older one is refuted already, and of a
        newer one nothing is known that could be doubted."""
        own = self.own
        if rumour.name == own.name:
            if rumour.incarnation == own.incarnation and rumour.epoch == epoch(own):
                self._refute(now)
            return
        known = self.known.get(rumour.name)
        if known is None or (rumour.incarnation, rumour.epoch) != (known.figures.incarnation, known.epoch):
            return
        doubt = known.suspicion
        if rumour.verdict == Verdict.DEAD and (doubt is None or rumour.by not in doubt.by):
            event = Event.FOUND_DEAD  # said again by one who suspects it already, it is no second one's word
        elif known.stand in HERE:
            event = Event.SUSPECTED
        else:
            return
        self._step(now, known, event, rumour.by)

    def _step(self, now: float, known: Known, event: Event, by: str = "") -> None:
        """One row of the table."""
        before, known.stand = known.stand, step(known.stand, event)
        if known.stand == Stand.UNSURE and event in (Event.UNANSWERED, Event.SUSPECTED, Event.FOUND_DEAD):
            self._doubt(now, known, event, by or self.own.name)
        if known.stand == before:
            return
        name = known.figures.name
        known.since = now
        self.version += 1
        self.fresh.put(name, waits=False)
        if known.stand != Stand.UNSURE:
            known.suspicion = None
            self.doubted.discard(name)
        if known.stand == Stand.UNKNOWN:
            return self._forget(known)
        if known.stand == Stand.SURE and before not in HERE and name not in self.round:
            self.round.insert(self.rng.randrange(len(self.round) + 1), name)  # not after a whole round only
        self._note("now_" + known.stand.value, name, event.value)

    def _doubt(self, now: float, known: Known, event: Event, by: str) -> None:
        if known.suspicion is None:
            unit = self.period * (1 + self.health)
            known.suspicion = Suspicion(now, by, self.many(), unit)
            self.doubted.add(known.figures.name)
            if by == self.own.name:  # it hears of it at once, and can refute
                self._send(known.figures.address, Kind.PUSH, known)
            elif self.rng.random() < WITNESSES / self.many():
                self.round.append(known.figures.name)
        elif known.suspicion.confirm(by):
            self.fresh.put(known.figures.name, waits=False)
        if event == Event.FOUND_DEAD:
            known.suspicion.sure()

    def _forget(self, known: Known) -> None:
        name = known.figures.name
        self.version += known.stand != Stand.UNKNOWN
        del self.known[name]
        self.doubted.discard(name)
        self.fresh.drop(name)

    def _suspicions(self, now: float) -> None:
        for name in sorted(self.doubted):
            known = self.known[name]
            if known.suspicion and known.suspicion.over_at <= now:
                self._step(now, known, Event.SUSPICION_OVER)

    def _stays(self, now: float) -> None:
        spans = {Stand.DEAD: DEAD_STAYS * self.period, Stand.GONE: GONE_STAYS * self.period}
        for known in list(self.known.values()):
            if now >= known.since + spans.get(known.stand, float("inf")):
                self._step(now, known, Event.STAY_OVER)

    # This process, as others see it.

    def _renew(self, now: float) -> None:
        """A new snapshot of this process."""
        self.own = self.wanted._replace(
            incarnation=self.own.incarnation, sequence=self.own.sequence + 1,
            since=max(0.0, now - self.state_at))  # fmt: skip
        self.said_at = now

    def _refute(self, now: float) -> None:
        """Others doubt this life: a higher epoch of it says that it is there. To be doubted is a sign that
        something is amiss here, too."""
        self._note("refuted")
        self._unwell(1)
        self.own = self.own._replace(sequence=(epoch(self.own) + 1) * EPOCH)
        self._renew(now)
        self._spread(now)

    def _relive(self, now: float, other: Snapshot) -> None:
        """A life of this name is known that looks newer, by a clock that was ahead: this one goes above."""
        self._note("incarnation_raised")
        self.own = self.own._replace(incarnation=other.incarnation + 1, sequence=0)
        self.version += 1
        self._renew(now)
        self._spread(now)

    def _of_me(self, now: float, said: Said, dead: set[tuple[str, int, int]]) -> None:
        """What others hold of this process's name."""
        theirs, mine = said.snapshot, self.own
        over = theirs.state == State.GONE or (theirs.name, theirs.incarnation, epoch(theirs)) in dead
        if theirs.address == mine.address or over:
            elsewhere = theirs.address != mine.address and theirs.incarnation >= mine.incarnation
            if theirs.order > mine.order or elsewhere:
                self._relive(now, theirs)
        else:  # another process is known by this name: it is asked itself, whether it is there
            self._once(now, theirs.address, Kind.PING)

    def _rival(self, now: float, message: Message) -> None:
        """Another process speaks under this one's name. The one that has lived longer keeps it; lives are
        spans, so that clocks do not matter. Lives about as long go by the address, as text."""
        address = message.me.snapshot.address
        if self._fault(now, message.me):
            return self._note("snapshots_dropped")
        mine, theirs = now - self.began, message.lived
        far = abs(mine - theirs) > MARGIN * self.period
        older = mine > theirs if far else self.own.address < address
        if older:
            self._note("rival", self.own.name, address)
            self._once(now, address, Kind.CONFLICT)
        elif message.kind == Kind.CONFLICT:
            name = self.own.name
            self.conflict = f"the name {name} is another process's, at {address}; give this one its own"
            self.out.clear()
            self._note("conflict", self.own.name, address)
        else:
            self._once(now, address, Kind.PING)

    def _woke(self, now: float) -> None:
        """A process that stood still doubts itself first: nothing that was to be answered meanwhile counts,
        suspicions get that time back, and what it reads now may be as old as the standstill."""
        self.now = now
        late = now - self.planned
        if late <= LATE * self.period:
            return
        self.planned = now
        self._note("stood_still", "", f"{late:.3g} s")
        self.lag, self.lag_until, self.woke_at = late, now + self.period, now
        self.health = max(self.health, SHAKEN)
        self.probe, self.probe_at = None, now + self.period
        self.relays.clear()
        for name in self.doubted:
            if doubt := self.known[name].suspicion:
                doubt.since += late + self.period  # what refutes it may stand unread

    def _unwell(self, by: int) -> None:
        self.health = min(HEALTH_TOP, max(0, self.health + by))

    # Probes.

    def _probe_next(self) -> float:
        if self.probe is None:
            return self.probe_at
        return self.probe.over if self.probe.helpers else min(self.probe.through, self.probe.over)

    def _probing(self, now: float) -> None:
        probe = self.probe
        if probe is not None and now >= probe.over:
            self._unanswered(now, probe)
            probe = None
        if probe is not None and not probe.helpers and now >= probe.through:
            self._ask_others(probe)
        if self.probe is None and now >= self.probe_at:
            self._begin(now)

    def _begin(self, now: float) -> None:
        span = self.period * (1 + self.health)
        self.probe_at = now + span
        while self.round or self._new_round():
            known = self.known.get(self.round.pop())
            if known is not None and known.stand in HERE:
                break
        else:
            return
        self.number += 1
        name = known.figures.name
        self.probe = Probe(name, self.number, now, now + SPEAKS * span, now + span)
        self._send(known.figures.address, Kind.PING, known, self.number, name)

    def _new_round(self) -> bool:
        self.round = sorted(one.figures.name for one in self.here())
        self.rng.shuffle(self.round)
        return bool(self.round)

    def _ask_others(self, probe: Probe) -> None:
        others = sorted(
            one.figures.name for one in self.known.values()
            if one.stand == Stand.SURE and one.figures.name != probe.name
        )  # fmt: skip
        helpers = tuple(self.rng.sample(others, min(HELPERS, len(others))))
        self.probe = probe._replace(helpers=helpers, through=probe.over)
        for name in helpers:
            helper = self.known[name]
            self._send(helper.figures.address, Kind.ASK, helper, probe.number, probe.name)

    def _unanswered(self, now: float, probe: Probe) -> None:
        """Its word to this process since then is an answer as well: its own way here may be the one that is
        open."""
        self.probe = None
        known = self.known.get(probe.name)
        if known is None or known.stand not in HERE:
            return
        if known.heard_at > probe.began:
            return self._unwell(-1)
        self._step(now, known, Event.UNANSWERED)  # by the health so far: this very probe is no sign of it yet
        self._unwell(1 + sum(name not in probe.nacks for name in probe.helpers))

    def _answered(self, probe: Probe) -> None:
        self.probe = None
        self._unwell(-1)

    def _answer(self, now: float, known: Known, sender: str, message: Message) -> None:
        """By the kind of a message of a member that is known."""
        name, number, about = known.figures.name, message.number, message.about
        match message.kind:
            case Kind.PING:
                self._send(sender, Kind.ACK, known, number, self.own.name)
            case Kind.ACK:
                self._acked(name, number, about)
            case Kind.ASK:
                self._ask(now, known, number, about)
            case Kind.NACK:
                probe = self.probe
                if probe is not None and number == probe.number and name in probe.helpers:
                    self.probe = probe._replace(nacks=probe.nacks | {name})
            case Kind.PULL:
                self._told_all(sender)

    def _told_all(self, sender: str) -> None:
        """Once a beat to each, and so many in all: a whole table is hundreds of times what asks for it, and
        one link may ask in the names of many. Who is turned away asks again, and hears the news meanwhile."""
        if sender in self.pulled or len(self.pulled) * len(self.known) >= TABLES:
            return self._note("pulls_turned_away")
        self.pulled.add(sender)
        self._whole(sender, Kind.PUSH)

    def _acked(self, name: str, number: int, about: str) -> None:
        probe = self.probe
        if (
            probe is not None
            and (number, about) == (probe.number, probe.name)
            and (name == probe.name or name in probe.helpers)
        ):
            return self._answered(probe)
        relay = self.relays.get(number)
        if relay is not None and relay.about == name == about:
            del self.relays[number]
            self._send(relay.asker, Kind.ACK, None, relay.number, name)

    def _ask(self, now: float, asker: Known, number: int, about: str) -> None:
        """Ping for another, at the address that is known here; the asker names no address."""
        known = self.known.get(about)
        if known is None or known.stand not in HERE or len(self.relays) >= RELAYS:
            return self._send(asker.figures.address, Kind.NACK, asker, number, about)
        self.number += 1
        self.relays[self.number] = Relay(asker.figures.address, number, about, now + ASKS * self.period)
        self._send(known.figures.address, Kind.PING, known, self.number, about)

    def _relaying(self, now: float) -> None:
        for number, relay in list(self.relays.items()):
            if now >= relay.until:
                del self.relays[number]
                self._send(relay.asker, Kind.NACK, None, relay.number, relay.about)

    # What is told.

    def _beat(self, now: float) -> None:
        """Once a period."""
        late = now - self.beat_at
        self.beat_at = now + self.period - (late if late < self.period else 0.0)
        self.beats += 1
        self._renew(now)
        self._stays(now)
        self.pulled.clear()
        self.told = {address: at for address, at in self.told.items() if now < at + self.period}
        self._ask_seeds()
        if self.beats % DEAD_ASKED == 0:
            self._ask_dead()
        if self.own.node:
            self._mesh(now)

    def _mesh(self, now: float) -> None:
        """A node tells each other one of itself. Loads go to all in turn where they are many."""
        nodes = sorted((one.figures.name, one.figures.address) for one in self.here() if one.figures.node)
        if not nodes:
            return
        in_full = max(1, min(len(nodes), DETAIL // detail_cost(self.own)))
        turn, self.turn = self.turn, (self.turn + in_full) % len(nodes)
        full = {(turn + at) % len(nodes) for at in range(in_full)}
        room = max(MESH_NEWS, NEWS // len(nodes))
        items = self.fresh.pick(self.many(), room, self._item, len(nodes))
        for at, (name, address) in enumerate(nodes):
            layers = Layer.PARTS | Layer.DETAIL if at in full else Layer.PARTS
            self._post(address, Kind.PUSH, items, to=self.known[name], layers=layers)

    def _ask_seeds(self) -> None:
        """Addresses where nobody is known to be, or whose member has not answered: one a beat, and some while
        alone. They tell all; what is known here they hear by and by, as news."""
        taken = {one.figures.address for one in self.here()}
        empty = [seed for seed in self.seeds if seed not in taken or seed in self.unanswered_seeds]
        for seed in self.rng.sample(empty, min(len(empty), 1 if taken else SEEDS)):
            self._post(seed, Kind.PULL, [])

    def _ask_dead(self) -> None:
        """One of the dead hears that it is thought so; where it lives, it refutes."""
        dead = sorted(one.figures.name for one in self.known.values() if one.stand == Stand.DEAD)
        if dead:
            known = self.known[self.rng.choice(dead)]
            self._send(known.figures.address, Kind.PING, known, 0, known.figures.name)

    def _pull(self, now: float) -> None:
        many = self.many()
        stretch = 1 + max(0, ceil(many / PULL_FLEET) - 1).bit_length()
        self.pull_at = now + PULL * stretch * self.period * (0.75 + self.rng.random() / 2)
        here = sorted(one.figures.name for one in self.here())
        if here:
            known = self.known[self.rng.choice(here)]
            self._whole(known.figures.address, Kind.PULL)

    def _whole(self, address: str, kind: Kind) -> None:
        self._post(address, kind, [self._told_of(one) for one in self.known.values()])

    def _spread(self, now: float) -> None:
        """A change of this process goes to some at once, nodes first: they pass it on."""
        here = sorted(self.here(), key=lambda one: one.figures.name)
        self.rng.shuffle(here)
        here.sort(key=lambda one: not one.figures.node)
        for known in here[:FANOUT]:
            self._post(known.figures.address, Kind.PUSH, [], to=known, layers=Layer.PARTS | Layer.DETAIL)

    def _tell(self, now: float, address: str, known: Known) -> None:
        """What is known of its own name, to whoever does not know it; once a period."""
        if self._first(now, address):
            self._post(address, Kind.PUSH, [self._told_of(known)])

    def _once(self, now: float, address: str, kind: Kind) -> None:
        if self._first(now, address):
            self._post(address, kind, [], about=self.own.name)

    def _first(self, now: float, address: str) -> bool:
        if address in self.told or len(self.told) >= TELLINGS or address == self.own.address:
            return False
        self.told[address] = now
        return True

    def _send(self, address: str, kind: Kind, to: Known | None, number: int = 0, about: str = "") -> None:
        """With news. Whoever is doubted hears that first."""
        told = [to.figures.name] if to is not None else []
        items = self.fresh.pick(self.many(), NEWS, self._item, without=told)
        self._post(address, kind, items, number, about, to)

    def _post(
        self, address: str, kind: Kind, items: Sequence[Item], number: int = 0, about: str = "",
        to: Known | None = None, layers: int = Layer.FIGURES,
    ) -> None:  # fmt: skip
        rumours = [rumour for item in items for rumour in item.rumours]
        if to is not None and to.stand != Stand.SURE:
            rumours[:0] = self._rumours(to)
        whole = self.own if layers & Layer.DETAIL else brief(self.own)
        if layers & Layer.PARTS:
            whole = whole._replace(parts=self.own.parts)
        me = Said(whole, max(0.0, self.now - self.said_at), layers)
        said, lived = tuple(item.said for item in items), max(0.0, self.now - self.began)
        self.out.append(Send(address, Message(kind, me, lived, number, about, said, tuple(rumours))))

    def _item(self, name: str) -> Item | None:
        known = self.known.get(name)
        return None if known is None else self._told_of(known)

    def _told_of(self, known: Known) -> Item:
        return Item(Said(known.figures, max(0.0, self.now - known.at)), self._rumours(known))

    def _rumours(self, known: Known) -> tuple[Rumour, ...]:
        one = known.figures
        if known.stand == Stand.DEAD:
            return (Rumour(one.name, one.incarnation, known.epoch, Verdict.DEAD, self.own.name),)
        if known.suspicion is None:
            return ()
        return tuple(
            Rumour(one.name, one.incarnation, known.epoch, Verdict.SUSPECTED, by)
            for by in sorted(known.suspicion.by)
        )

    def _note(self, what: str, name: str = "", why: str = "") -> None:
        self.out.append(Noted(what, name, why))


def backward(known: Known, new: Snapshot, event: Event) -> bool:
    """Whether a later snapshot of one life says that it went back to an earlier state."""
    return event in (Event.NEWER, Event.REFUTATION) and new.state < known.figures.state
