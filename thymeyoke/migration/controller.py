"""Which tenant should go to which node, and how far it is: views in, levels of announcing out.

Pure. One `Mover` a node. Call `saw` with each new view, then `settle`; say `part` and `holds` in this node's
own snapshot. Recommendations are the same at every node that sees the same; only the present holder begins
one, with consent (`consent.py`), and only where the operators say `act = move`. docs/migration.md has the
states and rules as tables, and what is promised fault by fault.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import IntEnum, StrEnum
from functools import partial
from hashlib import blake2b
from typing import NamedTuple

from msgspec import structs

from thymeyoke.membership import view as members
from thymeyoke.membership.view import Member, Trust, View
from thymeyoke.migration import load_ranges, planner, quorum, wire
from thymeyoke.migration.load_ranges import Loads, Range, Terms
from thymeyoke.migration.planner import Advice, Allowed, Plan, Step
from thymeyoke.migration.quorum import Known, Said, Voter
from thymeyoke.migration.wire import Ask, Bad, Can, Hold, Part, Vote

__all__ = [
    "Action", "Event", "Full", "Less", "Level", "Mover", "Recommendation", "State", "Terms", "Withdrawn",
]  # fmt: skip

PLAN = 1 / 12  # of `settle`: recommendations are worked out no more often on new figures,
FRESH = 1 / 60  # and no more often on who is there
STABLE = 1 / 4  # of `settle`: a node is over its bound for so long before it asks for a move
BRIEF = 1 / 12  # of `settle`: less preferred for so long at least, before it is withdrawn
CAUSE = 1 / 2  # of what is too uneven: by more than that, and its range, a load must change to be a new cause
# A move makes two stamps at most, and [moves] allows 3,600 an hour: in fifty years one tenant gets no further
# than this. What is claimed further above what is known of it here, nobody honest holds.
NEAR = 1 << 32
HISTORY = 1024  # recommendations that are over, shown for an hour
HOUR = 3600.0
NEVER = float("inf")


class Level(IntEnum):
    WITHDRAWN = 0
    LESS = 1
    FULL = 2


class Full(NamedTuple):
    """Announce the tenant's address in full from now on."""

    tenant: str


class Less(NamedTuple):
    """Less preferred."""

    tenant: str


class Withdrawn(NamedTuple):
    tenant: str


Action = Full | Less | Withdrawn
ACTIONS: dict[Level, Callable[[str], Action]] = {
    Level.FULL: Full,
    Level.LESS: Less,
    Level.WITHDRAWN: Withdrawn,
}


class State(StrEnum):
    PROPOSED = "proposed"
    BEGUN = "begun"  # the target announces in full
    SETTLING = "settling"  # it says that it holds the tenant; the source is less preferred
    KEPT = "kept"  # the source has withdrawn
    UNDONE = "undone"  # the source is back in full
    EXPIRED = "expired"  # it never began


class Event(StrEnum):
    """What can happen to a recommendation at its source; at other nodes `unwanted` alone."""

    LIFE = "new life"  # others took this node for dead, or it starts anew in their eyes
    OFF = "not to move"  # by a new operators' file
    GONE = "target gone"  # dead, leaving, in a new life, or it no longer holds the tenant
    SETTLED = "settled"  # the source's connections are gone, or the settling time is over
    HELD = "target holds"
    LATE = "late"
    NO_ROOM = "target full"
    CONSENT = "consent"
    UNWANTED = "unwanted"


# Every other pair stays as it is.
NEXT = {
    (State.PROPOSED, Event.LIFE): State.EXPIRED,
    (State.PROPOSED, Event.OFF): State.EXPIRED,
    (State.PROPOSED, Event.GONE): State.EXPIRED,
    (State.PROPOSED, Event.LATE): State.EXPIRED,
    (State.PROPOSED, Event.NO_ROOM): State.EXPIRED,
    (State.PROPOSED, Event.UNWANTED): State.EXPIRED,
    (State.PROPOSED, Event.HELD): State.EXPIRED,
    (State.PROPOSED, Event.CONSENT): State.BEGUN,
    (State.BEGUN, Event.LIFE): State.UNDONE,
    (State.BEGUN, Event.OFF): State.UNDONE,
    (State.BEGUN, Event.GONE): State.UNDONE,
    (State.BEGUN, Event.LATE): State.UNDONE,
    (State.BEGUN, Event.NO_ROOM): State.UNDONE,
    (State.BEGUN, Event.HELD): State.SETTLING,
    (State.SETTLING, Event.LIFE): State.UNDONE,
    (State.SETTLING, Event.OFF): State.UNDONE,
    (State.SETTLING, Event.GONE): State.UNDONE,
    (State.SETTLING, Event.LATE): State.UNDONE,
    (State.SETTLING, Event.NO_ROOM): State.UNDONE,
    (State.SETTLING, Event.SETTLED): State.KEPT,
    (State.KEPT, Event.GONE): State.UNDONE,
}
LEVELS = {State.SETTLING: Level.LESS, State.KEPT: Level.WITHDRAWN, State.UNDONE: Level.FULL}
OVER = (State.KEPT, State.UNDONE, State.EXPIRED)


class Recommendation(NamedTuple):
    """For people. Loads in connections."""

    tenant: str
    source: str
    target: str
    state: State
    why: str
    age: float  # seconds in this state
    load: float = 0.0
    connections: int = 0  # stay behind until they close
    opened: float = 0.0  # a second, come to the target
    gain: float = 0.0
    cost: float = 0.0


Key = tuple[str, str, str]  # tenant, source, target


class Record:
    """One recommendation, at its source or where it is only shown."""

    def __init__(self, now: float, step: Step, why: str) -> None:
        self.step, self.why, self.reason = step, "", why
        self.state, self.born, self.since = State.PROPOSED, now, now
        # Once it is asked for:
        self.ask: Ask | None = None
        self.life = self.target_life = 0
        self.until = NEVER  # when this state is late
        self.ends = NEVER  # when the move is over, whatever happens
        self.engaged = False  # its target was, at any time while it was asked

    @property
    def key(self) -> Key:
        return self.step.tenant, self.step.source, self.step.target


class Place:
    """One tenant that this node can hold: how it is announced, and by what right."""

    def __init__(self, now: float, home: str, level: Level) -> None:
        self.level, self.home, self.since, self.born = level, home, now, now
        self.stamp = 0  # by the operators' file; by a move, one more than the hold it took over
        self.seen = 0  # the highest stamp that was seen of this home
        self.gave_to, self.gave_life = "", 0  # who held it when this node made way
        self.came: tuple[str, int, int] | None = None  # by which ask: source, its life, its number
        self.on_way = False  # that move is not over yet
        self.orphan = NEVER  # since when nobody holds it
        self.offered = ""  # to whom, by the last ask
        self.doubt = False  # in this life somebody else may have come to hold it by right


class Bar(NamedTuple):
    """No such move without new cause: until the load of either side has changed, see CAUSE."""

    other: str
    life: int
    since: float
    mine: Range | None = None  # as they were once this node had rested
    theirs: Range | None = None


class Mover:
    """`can`: tenants that this node could hold; `holds`: those that it holds by the operators' file, in full
    when this is made. All tables are by tenant of `can`, by node of the view, or have their bound
    beside them."""

    def __init__(self, now: float, me: str, terms: Terms, can: frozenset[str], holds: frozenset[str]) -> None:
        self.me, self.terms, self.counts = me, terms, Counter[str]()
        self.can, self.by_file = can, holds
        self.places = {one: self._place(now, one) for one in sorted(can)}
        self.told = {tenant: one.level for tenant, one in self.places.items()}  # by the last `settle`
        self.bits = Can.of(can).bits
        self.view: View | None = None
        self.life: int | None = None
        self.parts: dict[str, tuple[bytes, Part | None]] = {}  # by node, what it says and how that reads
        self.said: dict[str, Said] = {}
        self.holders: dict[str, list[Member]] = {}  # of tenants of `can`: others that hold it, and remain
        self.known, self.voter = Known(), Voter(now)
        self.loads = Loads((), {}, load_ranges.NOTHING, 0.0)
        self.plan, self.plan_at, self.planned = Plan(), -NEVER, -1
        self.records: dict[Key, Record] = {}  # not over: at most one a tenant and node of the plan
        self.history: deque[Record] = deque(maxlen=HISTORY)
        self.bars: dict[str, Bar] = {}  # by tenant of `can`, so that there are no more than those
        self.dropped: deque[int] = deque(maxlen=wire.DROPPED)
        self.number = 0
        self.rest_until = self.ask_at = now
        self.over_since = NEVER  # this node has been over its bound, with a move that would help
        self.against: dict[tuple[str, int], str] = {}  # asks that got no vote here; made anew each time
        self.met: dict[str, float] = {}  # nodes of the view, since when they were first there
        self.refused: set[tuple[str, str]] = set()  # tenant, node: claims not believed; made anew each time
        self.way_at = now  # then it makes way for another one that it can't tell to be right

    def _place(self, now: float, tenant: str) -> Place:
        return Place(now, self.me, Level.FULL if tenant in self.by_file else Level.WITHDRAWN)

    def change(self, now: float, terms: Terms, can: frozenset[str], holds: frozenset[str]) -> None:
        """A new operators' file. Tenants that stay keep their places; `settle` ends moves that may not go on.
        Of tenants that went nothing more is said: whoever listens for them stops."""
        self.terms, self.can = terms, can
        new, self.by_file = holds - self.by_file, holds
        for tenant in [tenant for tenant in self.places if tenant not in can]:
            del self.places[tenant], self.told[tenant]
            self.bars.pop(tenant, None)
        for tenant in sorted(can):
            if tenant not in self.places:
                self.places[tenant] = self._place(now, tenant)
                self.told[tenant] = Level.WITHDRAWN
            elif tenant in new and self.places[tenant].level == Level.WITHDRAWN:
                self.places[tenant] = self._place(now, tenant)
        self.bits = Can.of(can).bits

    @property
    def holds(self) -> frozenset[str]:
        """Tenants announced in full, for this node's own snapshot."""
        return frozenset(tenant for tenant, one in self.places.items() if one.level == Level.FULL)

    # What is heard

    def saw(self, now: float, view: View) -> None:
        self.view = view
        young, news = self._young(), quorum.beginning(self.terms)
        before, self.met = self.met, {}
        parts, self.said, self.holders = {}, {}, {}
        for member in view.nodes():
            if member.name != self.me:
                data = member.snapshot.parts.get("moves", b"")
                part = self._read(member.name, data)
                parts[member.name] = (data, part)
                if part is not None and member.is_present:
                    self.said[member.name] = Said(member, part)
                if member.is_present or member.name in before:
                    self.met[member.name] = before.get(member.name, now)
                if _remains(member):
                    is_new = now < self.met[member.name] + news  # figures come first, what it holds later
                    for tenant in self.can.intersection(member.snapshot.holds):
                        self.holders.setdefault(tenant, []).append(member)
                        place = self.places[tenant]
                        place.doubt = place.doubt or is_new or now < place.born + young
        self.parts = parts
        longest = max([quorum.longest(self.terms), *(one.part.longest for one in self.said.values())])
        self.known.saw(now, view, quorum.MARGIN * longest)
        own = view.members.get(self.me)
        life = own.snapshot.incarnation if own else None
        if self.life is not None and life is not None and life != self.life:
            for record in self._mine():
                self._go(now, record, Event.LIFE, "others took this node for another life of it")
        self.life = life if life is not None else self.life

    def _read(self, name: str, data: bytes) -> Part | None:
        """Once for each that is new. None where it says nothing of moves, or nothing that can be read."""
        before, part = self.parts.get(name, (b"", None))
        if data == before:
            return part
        if not data:
            return None
        read = wire.read(data)
        if isinstance(read, Bad):
            self.counts["moves_bad_part"] += 1
            return None
        return read

    # What is done

    def settle(self, now: float) -> list[Action]:
        """All that follows from what was seen and from the time; changes in how tenants are announced."""
        if self.view is not None and self.life is not None:
            own = self.view.members.get(self.me)
            if own is not None:
                self.said[self.me] = Said(own, self._part(now))
                self._arrive(now)
                self._make_way(now)
                self._recommend(now)
                self._carry(now)
                self._leave(now)
                self._take_back(now)
                self._ask(now)
                self.said[self.me] = Said(own, self._part(now))
                self.voter.release(now, self.said, self.view.members, self.terms)
                accepts = partial(self._accepts, now)
                self.against = self.voter.give(now, self.terms, self.said, accepts, self._fits)
            self._age(now)
        return self._differences()

    def _differences(self) -> list[Action]:
        made: list[Action] = []
        for tenant, place in self.places.items():
            if self.told[tenant] != place.level:
                self.told[tenant] = place.level
                made.append(ACTIONS[place.level](tenant))
        return made

    def next(self, now: float) -> float:
        """The next moment at which `settle` may say something else though nothing was seen."""
        settle = self.terms.settle
        steps = [self.plan_at + PLAN * settle, self.rest_until, self.ask_at, *self.voter.resting.values()]
        steps.append(self.way_at)
        steps += [one.until for one in self.voter.given.values()]
        steps += [self.voter.abstains_until(self.terms, self.said), self.over_since + STABLE * settle]
        for record in self._mine():
            steps += [record.until, record.ends, record.since + settle, record.since + BRIEF * settle]
        for place in self.places.values():
            if place.level == Level.LESS:
                steps += [place.since + BRIEF * settle, place.since + settle]
            steps.append(place.orphan + quorum.beginning(self.terms))
        return min((step for step in steps if step > now), default=NEVER)

    def _mine(self) -> list[Record]:
        return [record for record in self.records.values() if record.step.source == self.me]

    def _live(self) -> list[Record]:
        """Own moves that are asked for, or on their way."""
        return [record for record in self._mine() if record.ask is not None]

    def _member(self, name: str) -> Member | None:
        return self.view.members.get(name) if self.view else None

    def _lost(self, name: str, life: int) -> bool:
        """Whether that life of a node is over, or it leaves; where there is a new one, it has said what it
        holds."""
        member = self._member(name)
        if member is None or not _remains(member):
            return True
        return member.snapshot.incarnation != life and name in self.said

    def _leaving(self) -> bool:
        own = self._member(self.me)
        return own is not None and own.snapshot.state == members.State.LEAVING

    def _set(self, now: float, place: Place, level: Level) -> None:
        place.level, place.since, place.orphan = level, now, NEVER

    # As the target

    def _arrive(self, now: float) -> None:
        """Moves to this node that have begun with its vote; and tenants whose source died, or leaves, on the
        way. None once this node leaves itself: it would hold what it does not announce."""
        for given in () if self._leaving() else list(self.voter.given.values()):
            ask, came = given.ask, (given.source, given.incarnation, given.ask.number)
            place = self.places.get(ask.tenant)
            if ask.target != self.me or place is None or place.came == came or not self.terms.moves:
                continue
            said = self.said.get(given.source)
            same = said is not None and said.incarnation == given.incarnation
            listed = [it for it in said.part.asks if it.number == ask.number] if said and same else []
            begun = any(it.begun for it in listed)
            gone = not self.holders.get(ask.tenant) and self._lost(given.source, given.incarnation)
            if same and not listed:
                gone = False  # it leaves, and has given the move up
            if (begun or gone) and place.level == Level.WITHDRAWN:
                place.home, place.stamp, place.seen = ask.home, ask.stamp, ask.stamp
                place.came, place.on_way, place.gave_to = came, True, ""
                self._set(now, place, Level.FULL)
                self.counts["moves_arrived" if begun else "moves_taken_over"] += 1
        for tenant, place in self.places.items():
            if place.on_way and place.came and not self._on_way(place.came):
                place.on_way = False
                self._rest(now)
                if place.level == Level.FULL:
                    self._bar(now, tenant, place.came[0])

    def _on_way(self, came: tuple[str, int, int]) -> bool:
        source, life, number = came
        said = self.said.get(source)
        return said is not None and said.incarnation == life and said.lists(number)

    def _accepts(self, now: float, source: str, ask: Ask) -> str | None:
        """Why this node gives no vote for a move to itself; None where it does, or is not the target."""
        if ask.target != self.me:
            return None
        place, node = self.places.get(ask.tenant), self.loads.node(self.me)
        giver = self.loads.node(source)
        tenant = next((one for one in giver.tenants if one.name == ask.tenant), None) if giver else None
        if not self.terms.moves:
            return "may not move anything"
        if place is None or place.level != Level.WITHDRAWN:
            return f"can't take {ask.tenant}, or has it"
        if self._busy() or now < self.rest_until:
            return "is in another move, or rests"
        if ask.stamp > max(place.stamp, place.seen) + NEAR:
            return f"does not believe stamp {ask.stamp}"
        if node is None or tenant is None:
            return "does not know its load, or the tenant's"
        bound = self.terms.uneven * self.loads.mean.mid
        if node.load.high + tenant.load.high > bound:
            return f"would hold {node.load.high + tenant.load.high:.0f}, over its bound of {bound:.0f}"
        if tenant.connections > node.room:
            return f"has room for {node.room}, {ask.tenant} has {tenant.connections}"
        return None

    def _busy(self) -> bool:
        """In a move, or promised to one."""
        return (
            bool(self._live())
            or any(place.on_way for place in self.places.values())
            or any(given.ask.target == self.me for given in self.voter.given.values())
        )

    # As the source

    def _carry(self, now: float) -> None:
        for record in self._live():
            if record.state == State.PROPOSED:
                record.engaged = record.engaged or self._engaged(record.step.target)
            found = self._event(now, record)
            if found:
                self._go(now, record, *found)

    def _event(self, now: float, record: Record) -> tuple[Event, str] | None:
        """What happened to an own move, first that holds."""
        ask, settle = record.ask, self.terms.settle
        assert ask is not None
        tenant, target = ask.tenant, self._member(ask.target)
        if not self.terms.moves or tenant not in self.places:
            return Event.OFF, "the operators' file says so"
        if target is None or not target.is_present or target.snapshot.state != members.State.SERVING:
            return Event.GONE, f"{ask.target} is gone"
        if target.snapshot.incarnation != record.target_life:
            return Event.GONE, f"{ask.target} started anew"
        holds, claims = tenant in target.snapshot.holds, self._claims(ask)
        if record.state == State.SETTLING and not (holds or claims):
            return Event.GONE, f"{ask.target} no longer holds it"
        sure, stays = target.trust == Trust.SURE, self._stays(tenant)
        if record.state == State.SETTLING and sure and holds:
            span = now - record.since
            if (stays == 0 and span >= BRIEF * settle) or span >= settle:
                many = "some" if stays is None else stays
                return Event.SETTLED, f"{many} connections left after {span:.0f} s"
        if record.state == State.BEGUN and sure and holds and claims and now <= record.until:
            return Event.HELD, f"{ask.target} holds it"
        if now >= min(record.until, record.ends):
            return Event.LATE, self._late(record)
        if sure and (stays or 0) > target.snapshot.room:
            room = target.snapshot.room
            return Event.NO_ROOM, f"{ask.target} has room for {room}, {stays} are still to come"
        if record.state == State.PROPOSED:
            return self._asked(record, ask)
        return None

    def _claims(self, ask: Ask) -> bool:
        """Whether the target says that it holds the tenant by this move. What a snapshot `holds` may be
        older, and from another time that the target held it: that alone is not enough to make way."""
        said = self.said.get(ask.target)
        held = said.part.by if said else ()
        return any(
            (one.tenant, one.home) == (ask.tenant, ask.home) and one.stamp >= ask.stamp for one in held
        )

    def _engaged(self, name: str) -> bool:
        """Whether a node tells that it rests, or is in a move or promised to one: then it gives no vote for
        another to itself, and that says nothing of what it can hold."""
        one = self.said.get(name)
        if one is None:
            return False
        if one.part.resting > one.member.age or one.part.asks:
            return True
        to_it = [(by, it.incarnation, ask) for by, it in self.said.items() if by != self.me
                 for ask in it.part.asks if ask.target == name]  # fmt: skip
        return any(
            ask.begun or Vote(ask.slot, by, life, ask.number) in one.part.votes for by, life, ask in to_it
        )

    def _asked(self, record: Record, ask: Ask) -> tuple[Event, str] | None:
        if self.over_since == NEVER:
            return Event.UNWANTED, "by newer figures it is not needed"
        if self.places[ask.tenant].level != Level.FULL:
            return Event.HELD, "another node holds it, and took this one for dead"
        found = self._consent(ask)
        if found.given:
            return Event.CONSENT, f"{found.text}: {', '.join(found.votes)}"
        return None

    def _consent(self, ask: Ask) -> quorum.Consent:
        vote = Vote(ask.slot, self.me, self.life or 0, ask.number)
        given = self.voter.given.values()
        return quorum.count(vote, ask.target, self.me, given, self.known.many, self.said)

    def _late(self, record: Record) -> str:
        assert record.ask is not None
        match record.state:
            case State.PROPOSED:
                return self._consent(record.ask).text
            case State.BEGUN:
                return f"{record.step.target} did not say that it holds it"
            case _:
                return f"not sure of {record.step.target}"

    def _stays(self, tenant: str) -> int | None:
        """Connections that this node still has of a tenant; None where its snapshot does not tell."""
        own = self._member(self.me)
        if own is None:
            return None
        for one in own.snapshot.loads:
            if one.tenant == tenant:
                return one.connections
        return 0 if own.snapshot.rest.connections == 0 else None

    def _go(self, now: float, record: Record, event: Event, why: str) -> None:
        """The state table."""
        state = NEXT.get((record.state, event))
        if state is None:
            return
        settle, place, ask = self.terms.settle, self.places.get(record.step.tenant), record.ask
        if record.state == State.PROPOSED and ask and state == State.EXPIRED:
            self.dropped.append(ask.number)
            self.ask_at = now + STABLE * settle * (1 + _share(self.me, ask.number))
            found = self._consent(ask)
            but_for_it = event == Event.LATE and not found.target and len(found.votes) >= found.need
            if but_for_it and not record.engaged:
                self._bar(now, ask.tenant, ask.target)  # it can't, by its own figures
        record.state, record.why, record.since = state, why, now
        self.counts[f"moves_{state}"] += 1
        if place is not None and ask is not None and (level := LEVELS.get(state)) is not None:
            if state == State.SETTLING:
                place.gave_to, place.gave_life, place.seen = ask.target, record.target_life, ask.stamp
            if state == State.KEPT:
                self.bars.pop(ask.tenant, None)
            if state == State.UNDONE:
                self._again(place, ask.stamp)
            if level != place.level:
                self._set(now, place, level)
        if state == State.BEGUN:
            record.until = now + quorum.beginning(self.terms)
        elif state == State.SETTLING:
            record.until = NEVER
        elif state in OVER:
            if self.records.get(record.key) is record:
                del self.records[record.key]
                if ask or now >= record.born + STABLE * settle:
                    self.history.append(record)
            if state != State.EXPIRED and record.step.source == self.me:
                self._rest(now)
            if state == State.UNDONE:
                self._bar(now, record.step.tenant, record.step.target)

    def _again(self, place: Place, stamp: int) -> None:
        """This node holds it anew: over all that was seen."""
        place.stamp = max(place.stamp, place.seen, stamp) + 1
        place.seen, place.gave_to = place.stamp, ""

    def _rest(self, now: float) -> None:
        self.rest_until = max(self.rest_until, now + self.terms.rest)

    # Holders that meet

    def _make_way(self, now: float) -> None:
        """Another one surely holds what this node holds, of the same home and with a higher stamp: that one
        keeps it. Not where this node's own move to it is what is seen."""
        if not self.terms.moves:
            return
        under_way = {record.step.tenant for record in self._live() if record.state != State.PROPOSED}
        before, self.refused = self.refused, set()
        young = self._young()
        for tenant in sorted(self.holders):
            place = self.places[tenant]
            if place.level != Level.FULL or tenant in under_way:
                continue
            found = self._higher(tenant, place)
            if found is None:
                continue
            kin = {place.home, place.offered, place.came[0] if place.came else ""}
            if found[1] not in kin and now >= place.born + young:
                if now < self.way_at:
                    continue  # it stays beside the other one, which does no harm
                self.way_at = now + quorum.spacing(self.terms)
            self._give(place, found)
            self._set(now, place, Level.LESS)
            self.bars.pop(tenant, None)
            self.counts["moves_made_way"] += 1
        if news := self.refused - before:
            self.counts["moves_not_believed"] += len(news)

    def _young(self) -> float:
        """Seconds that a place is young: what a former life of this node gave away may be claimed at any
        time in these, and no move that it asked for begins later. By its own file: a member that tells of
        moves that take for days makes no place young for longer."""
        return quorum.MARGIN * quorum.longest(self.terms) + quorum.spacing(self.terms)

    def _higher(self, tenant: str, place: Place) -> tuple[int, str, int] | None:
        """Stamp, name and life of the holder that surely has the highest stamp, if it is above this node's
        own and can be believed: a tenant that is this node's own, that it asked nobody to take and that
        nobody held when this node was new to it, can't have become another one's."""
        found = []
        for other in self.holders.get(tenant, ()):
            said = self.said.get(other.name)
            if said is None or other.trust != Trust.SURE:
                continue
            for one in said.part.by:
                if (one.tenant, one.home) != (tenant, place.home) or not one.stamp or (
                    (one.stamp, other.name) <= (place.stamp, self.me)):  # fmt: skip
                    continue
                moved = place.doubt or place.offered or place.stamp or place.home != self.me
                if moved and one.stamp <= max(place.stamp, place.seen) + NEAR:
                    found.append((one.stamp, other.name, other.snapshot.incarnation))
                else:
                    self.refused.add((tenant, other.name))
        return max(found, default=None)

    def _give(self, place: Place, found: tuple[int, str, int]) -> None:
        stamp, place.gave_to, place.gave_life = found
        place.seen = max(place.seen, stamp)

    def _leave(self, now: float) -> None:
        """Places that made way without a move of their own: withdrawn once all is well, else back."""
        settling = {record.step.tenant for record in self._live()}
        for tenant, place in self.places.items():
            if place.level != Level.LESS or tenant in settling:
                continue
            other = self._member(place.gave_to)
            if other is None or not _remains(other) or tenant not in other.snapshot.holds:
                if found := self._higher(tenant, place):
                    self._give(place, found)
                    continue
                self._again(place, 0)
                self._set(now, place, Level.FULL)
                continue
            span = now - place.since
            gone = self._stays(tenant) == 0 and span >= BRIEF * self.terms.settle
            if other.trust == Trust.SURE and (gone or span >= self.terms.settle):
                self._set(now, place, Level.WITHDRAWN)

    def _take_back(self, now: float) -> None:
        """What this node gave away and nobody holds any more: at once where the one that took it is gone,
        else after as long as a target may take, for it may be on its way elsewhere. Not once this node
        leaves itself."""
        if self._leaving():
            return
        on_way = {ask.tenant for name, one in self.said.items() if name != self.me for ask in one.part.asks
                  if ask.begun}  # fmt: skip
        for tenant, place in self.places.items():
            if place.level != Level.WITHDRAWN or not place.gave_to:
                continue
            if self.holders.get(tenant) or tenant in on_way:
                place.orphan = NEVER
                continue
            place.orphan = min(place.orphan, now)
            lost = self._lost(place.gave_to, place.gave_life)
            if not lost and now < place.orphan + quorum.beginning(self.terms):
                continue
            self.counts["moves_taken_back"] += 1
            key = (tenant, self.me, place.gave_to)
            kept = [one for one in self.history if one.key == key and one.state == State.KEPT]
            if kept:
                self._go(now, kept[-1], Event.GONE, f"{place.gave_to} is gone, or holds it no longer")
            else:
                self._again(place, 0)
                self._set(now, place, Level.FULL)

    # Recommendations

    def _recommend(self, now: float) -> None:
        assert self.view is not None
        span = PLAN if self.planned == self.view.version else FRESH
        if now < self.plan_at + span * self.terms.settle:
            return
        self.plan_at, self.planned = now, self.view.version
        self.loads = load_ranges.read(self.view, self.terms)
        self._causes(now)
        self.plan = planner.plan(self.loads, self._allowed(), self.terms)
        over = any(step.source == self.me for step in self.plan.steps)
        self.over_since = min(self.over_since, now) if over else NEVER
        wanted = {(step.tenant, step.source, step.target): step for step in self.plan.steps}
        for key, step in wanted.items():
            if key not in self.records:
                self.records[key] = Record(now, step, self._why(step))
            elif self.records[key].state == State.PROPOSED:
                self.records[key].step, self.records[key].reason = step, self._why(step)
        for key, record in list(self.records.items()):
            if key not in wanted and record.state == State.PROPOSED and record.ask is None:
                self._go(now, record, Event.UNWANTED, "not needed by newer figures, or a node is in a move")

    def _allowed(self) -> Allowed:
        assert self.view is not None
        busy: set[str] = set()
        still: set[str] = set()
        barred: set[bytes] = set()
        for name, one in self.said.items():
            if one.part.resting > one.member.age:
                busy.add(name)
            for ask in one.part.asks:
                if ask.begun:
                    busy |= {name, ask.target}
                    still.add(ask.tenant)
            barred |= wire.pairs(one.part.barred)
        same = {one.part.can: Can(one.part.can) for one in self.said.values()}  # mostly one and the same
        takes: dict[str, Can] = {name: same[one.part.can] for name, one in self.said.items()}
        return Allowed(takes, frozenset(busy), frozenset(still), frozenset(barred))

    def _why(self, step: Step) -> str:
        source, target = self.loads.node(step.source), self.loads.node(step.target)
        middle = self.loads.mean.mid or 1.0
        assert source is not None and target is not None
        return (
            f"{step.source} holds {_figure(source.load)}, {source.load.mid / middle:.2f} of the mean "
            f"{middle:.0f}, bound {self.plan.bound:.0f}; {step.tenant} holds {_figure(step.load)}, "
            f"{step.target} {_figure(target.load)} with room for {target.room}; gains {step.gain:.0f}, "
            f"costs {step.cost:.0f}"
        )

    def _ask(self, now: float) -> None:
        """Asks for consent to the first own recommendation that has stood for long enough."""
        own = self._member(self.me)
        assert own is not None and self.life is not None
        if (
            not self.terms.moves or own.snapshot.state != members.State.SERVING or self._busy()
            or now < max(self.rest_until, self.ask_at, self.over_since + STABLE * self.terms.settle)
            or now < self.voter.abstains_until(self.terms, self.said)
        ):  # fmt: skip
            return
        for step in self.plan.steps:
            record = self.records.get((step.tenant, step.source, step.target))
            target = self.said.get(step.target)
            if (
                record is None or step.source != self.me or record.state != State.PROPOSED
                or target is None or not target.part.moves or target.member.trust != Trust.SURE
                or self.places.get(step.tenant) is None or self.places[step.tenant].level != Level.FULL
            ):  # fmt: skip
                continue
            slot = self._slot(now)
            if slot is None:
                return
            place = self.places[step.tenant]
            self.number += 1
            ask = Ask(slot, self.number, step.tenant, step.target, place.home,
                      max(place.stamp, place.seen) + 1, gain=max(0.0, step.gain))  # fmt: skip
            record.ask, record.life, record.target_life = ask, self.life, target.incarnation
            record.until = now + quorum.asking(self.terms)
            record.ends = now + quorum.longest(self.terms)
            if wire.fits(self._part(now)):
                place.offered = step.target
            else:
                record.ask = None
                self.counts["moves_no_space"] += 1
            return

    def _slot(self, now: float) -> int | None:
        """The same view gives each source a slot of its own: by its place among the plan's sources that may
        ask. Who has waited for long asks for any."""
        taken = {ask.slot for name, one in self.said.items() if name != self.me for ask in one.part.asks}
        free = [slot for slot in self.voter.free(quorum.slots(self.terms, self.said)) if slot not in taken]
        before: list[str] = []
        for step in self.plan.steps:
            if step.source == self.me:
                break
            said = self.said.get(step.source)
            if said and said.part.moves and not said.part.asks and step.source not in before:
                before.append(step.source)
        if len(before) < len(free):
            return free[len(before)]
        waited = now - self.over_since >= self.terms.settle * (1 + len(before))
        return free[len(before) % len(free)] if free and waited else None

    # No move back without new cause

    def _bar(self, now: float, tenant: str, other: str) -> None:
        there = self._member(other)
        self.bars.pop(tenant, None)
        if tenant in self.places:
            self.bars[tenant] = Bar(other, there.snapshot.incarnation if there else 0, now)

    def _causes(self, now: float) -> None:
        mine, by = self.loads.node(self.me), CAUSE * (self.terms.uneven - 1) * self.loads.mean.mid
        for tenant, bar in list(self.bars.items()):
            theirs, there = self.loads.node(bar.other), self._member(bar.other)
            another = there is not None and there.is_present and there.snapshot.incarnation != bar.life
            if now >= bar.since + quorum.DAY or (another and now >= bar.since + self.terms.rest):
                del self.bars[tenant]
            elif mine is None or theirs is None or now < bar.since + self.terms.rest:
                continue
            elif bar.mine is None or bar.theirs is None:
                self.bars[tenant] = bar._replace(mine=mine.load, theirs=theirs.load)
            elif bar.mine.apart(mine.load, by) or bar.theirs.apart(theirs.load, by):
                del self.bars[tenant]

    # What is said

    def part(self, now: float) -> bytes:
        """For this node's own snapshot, at most 2 KiB."""
        return wire.pack(self._part(now))

    def _part(self, now: float) -> Part:
        rests = self.rest_until
        if self.terms.moves:  # before, it gives no votes and asks for none: no plan is to rest on it
            rests = max(rests, self.voter.abstains_until(self.terms, self.said))
        return Part(
            moves=self.terms.moves,
            at_once=self.terms.at_once,
            longest=quorum.longest(self.terms),
            known=self.known.many,
            resting=min(max(0.0, rests - now), 86400.0),
            can=self.bits,
            asks=tuple(self._said(record) for record in self._live()),
            dropped=tuple(self.dropped),
            votes=tuple(one.vote for _, one in sorted(self.voter.given.items())),
            by=self._held(),
            barred=b"".join(wire.pair(tenant, bar.other) for tenant, bar in reversed(self.bars.items())),
        )

    def _said(self, record: Record) -> Ask:
        assert record.ask is not None
        begun, settling = record.state in (State.BEGUN, State.SETTLING), record.state == State.SETTLING
        return Ask(record.ask.slot, record.ask.number, record.ask.tenant, record.ask.target, record.ask.home,
                   record.ask.stamp, begun, record.ask.gain, settling)  # fmt: skip

    def _held(self) -> tuple[Hold, ...]:
        """What is held by a move and is to be known now: those on their way first, then those that another
        one holds as well."""
        found = [
            (not place.on_way, Hold(tenant, place.home, place.stamp))
            for tenant, place in self.places.items()
            if place.level == Level.FULL and place.stamp and (place.on_way or tenant in self.holders)
        ]
        return tuple(hold for _, hold in sorted(found, key=lambda one: (one[0], one[1].tenant)))

    def _fits(self, vote: Vote) -> bool:
        """Whether one more vote has its space in this node's part, and one ask of its own."""
        assert self.view is not None
        part = self._part(self.view.at)
        most = max(len(name.encode()) for name in (*self.can, *self.view.members))
        longest = Ask(63, 1 << 52, "x" * most, "x" * most, "x" * most, 1 << 52, True, 1e11, True)
        return wire.fits(structs.replace(
            part, resting=86399.9, asks=part.asks or (longest,), votes=(*part.votes, vote)
        ))  # fmt: skip

    def _age(self, now: float) -> None:
        while self.history and now >= self.history[0].since + HOUR:
            self.history.popleft()

    # For people

    def shown(self, now: float) -> list[Recommendation]:
        """Those that are not over, of all nodes, then those that are, as far as this node knew, the newest
        first."""
        made = [self._shown(now, one) for one in self.records.values()]
        told = {(one.tenant, one.source, one.target) for one in made if one.state != State.PROPOSED}
        for name, one in sorted(self.said.items()):
            for ask in one.part.asks if name != self.me else ():
                key = (ask.tenant, name, ask.target)
                if not ask.begun or key in told:
                    continue
                state = State.SETTLING if ask.settling else State.BEGUN
                made = [it for it in made if (it.tenant, it.source, it.target) != key]
                made.append(Recommendation(*key, state, f"{name} says so", one.member.age, gain=ask.gain))
        order = list(State)
        made.sort(key=lambda one: (-order.index(one.state), one.cost - one.gain, one.source, one.tenant))
        return [*made, *(self._shown(now, one) for one in reversed(self.history))]

    def _shown(self, now: float, one: Record) -> Recommendation:
        step, why = one.step, one.reason
        if one.why:
            why = f"{one.why}; {why}"
        elif one.ask:
            why = f"asks, {self._consent(one.ask).text}; {why}"
        return Recommendation(
            step.tenant, step.source, step.target, one.state, why, now - one.since, step.load.mid,
            step.connections, step.opened, step.gain, step.cost,
        )  # fmt: skip

    def advice(self) -> tuple[Advice, ...]:
        """What no move can mend, and why."""
        return self.plan.advice


def _remains(member: Member) -> bool:
    """Not where it leaves: its addresses are withdrawn then, and it says what it holds until its farewell."""
    return member.is_present and member.snapshot.state != members.State.LEAVING


def _figure(load: Range) -> str:
    if load.high - load.low < 1:
        return f"{load.mid:.0f}"
    return f"{load.mid:.0f} ({load.low:.0f} to {load.high:.0f})"


def _share(name: str, number: int) -> float:
    """0 to 1, another one for each name and number: so that two who met do not meet again."""
    return int.from_bytes(blake2b(f"{name}\0{number}".encode(), digest_size=4).digest(), "big") / (1 << 32)
