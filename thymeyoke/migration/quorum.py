"""Who may begin a move: numbered slots, votes told in snapshots, a majority of all nodes that are known of.

Pure. Two moves that are on their way in one slot would need two majorities, and any two share a voter; a
voter gives a slot, and a tenant, to one move at a time. docs/migration.md has the rules, and what they can't
do.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from thymeyoke.membership.view import Member, State, Trust, View
from thymeyoke.migration.load_ranges import Terms
from thymeyoke.migration.wire import Ask, Part, Vote

ASK = 1 / 2  # of `settle`, at least: for so long an ask stands without a majority
BEGIN = 1 / 2  # of `settle`, at least: for so long the target may take until it says that it holds the tenant
# Periods of [members] from one node's decision to another's: until it looks and says so, until its next beat,
# until the other one looks; a node looks once a period at least. And one more, for a snapshot that is lost.
WAY = 4
MARGIN = 1.25  # of the longest: a vote is held for so long, for the voter's clock may be that much faster
DAY = 86400.0  # a node that is dead for so long does not count any more
HOUR = 3600.0


def asking(terms: Terms) -> float:
    """Seconds that an ask stands: there and back at least, however short `settle` is."""
    return max(ASK * terms.settle, 2 * WAY * terms.period)


def beginning(terms: Terms) -> float:
    """Seconds that the target has: there, in full at the routers, and back at least."""
    return max(BEGIN * terms.settle, 2 * WAY * terms.period + terms.rise)


def longest(terms: Terms) -> float:
    """Seconds from asking to the end of a move: none is on its way for longer, by its source's own clock."""
    return asking(terms) + beginning(terms) + terms.settle


def spacing(terms: Terms) -> float:
    """Seconds that a slot rests after a move: the rest, and what keeps the budget in time."""
    return max(terms.rest, HOUR / max(1, terms.an_hour // min(terms.at_once, terms.an_hour)))


def slots(terms: Terms, said: Mapping[str, Said]) -> int:
    """How many moves at once: the smallest that anyone who is surely there tells."""
    told = [one.part.at_once for one in said.values() if one.member.trust == Trust.SURE]
    return min([terms.at_once, terms.an_hour, *told])


def majority(many: int) -> int:
    return many // 2 + 1


class Said(NamedTuple):
    """A node, and what it says of moves."""

    member: Member
    part: Part

    @property
    def incarnation(self) -> int:
        return self.member.snapshot.incarnation

    def lists(self, number: int) -> bool:
        return any(ask.number == number for ask in self.part.asks)


class Known:
    """All nodes that were ever seen, and still count. A name goes a longest move after its farewell (votes
    that it gave are over by then), and after a day unseen; there are no more than the views had."""

    def __init__(self) -> None:
        self.there: dict[str, float] = {}  # when it was last there
        self.left: dict[str, float] = {}  # when its farewell was first seen

    def saw(self, now: float, view: View, hold: float) -> None:
        for member in view.nodes():
            if member.snapshot.state == State.GONE:
                if member.name in self.there:
                    self.left.setdefault(member.name, now)
                continue
            self.left.pop(member.name, None)
            if member.is_present:
                self.there[member.name] = now
            else:
                self.there.setdefault(member.name, now)
        over = [name for name, at in self.left.items() if now >= at + hold]
        over += [name for name, at in self.there.items() if now >= at + DAY]
        for name in over:
            self.there.pop(name, None)
            self.left.pop(name, None)

    @property
    def many(self) -> int:
        return len(self.there)


class Given(NamedTuple):
    """A vote, and what it was for. It ends at `until` whatever is heard."""

    ask: Ask
    source: str
    incarnation: int
    until: float

    @property
    def vote(self) -> Vote:
        return Vote(self.ask.slot, self.source, self.incarnation, self.ask.number)

    def same(self, source: str, incarnation: int, number: int) -> bool:
        return (self.source, self.incarnation, self.ask.number) == (source, incarnation, number)


class Voter:
    """This node's votes. At most one a slot; a slot's goes with the end of its move, or with its time."""

    def __init__(self, now: float) -> None:
        self.born = now
        self.given: dict[int, Given] = {}
        self.resting: dict[int, float] = {}  # slots that are not given before; at most one entry a slot

    def abstains_until(self, terms: Terms, said: Mapping[str, Said]) -> float:
        """A life that is new may have forgotten its votes: it gives none until those are over, and the slots
        have rested."""
        told = [one.part.longest for one in said.values()]
        return self.born + MARGIN * max([longest(terms), *told]) + spacing(terms)

    def release(
        self, now: float, said: Mapping[str, Said], members: Mapping[str, Member], terms: Terms
    ) -> None:
        for slot, one in list(self.given.items()):
            began = _over(now, one, said.get(one.source), members.get(one.source))
            if began is None:
                continue
            del self.given[slot]
            if began:
                self.resting[slot] = now + spacing(terms)
        for slot in [slot for slot, until in self.resting.items() if now >= until]:
            del self.resting[slot]

    def free(self, many: int) -> list[int]:
        return [slot for slot in range(many) if slot not in self.given and slot not in self.resting]

    def give(
        self, now: float, terms: Terms, said: Mapping[str, Said], accepts: Callable[[str, Ask], str | None],
        fits: Callable[[Vote], bool],
    ) -> dict[tuple[str, int], str]:  # fmt: skip
        """Votes for the asks that are seen, those that gain most first. Hands back why others got none."""
        none: dict[tuple[str, int], str] = {}
        asks = [(name, ask) for name, one in said.items() for ask in one.part.asks]
        many = slots(terms, said)
        early = now < self.abstains_until(terms, said)
        for name, ask in sorted(asks, key=lambda one: (-one[1].gain, one[0], one[1].number)):
            one = said[name]
            if ask.begun or any(it.same(name, one.incarnation, ask.number) for it in self.given.values()):
                continue
            why = "votes only once its former life's votes are over" if early else (
                self._against(name, ask, one, asks, many) or accepts(name, ask))  # fmt: skip
            vote = Vote(ask.slot, name, one.incarnation, ask.number)
            if not why and not fits(vote):
                why = "has no space for more votes"
            if why:
                none[name, ask.number] = why
                continue
            until = now + MARGIN * max(longest(terms), one.part.longest)
            self.given[ask.slot] = Given(ask, name, one.incarnation, until)
        return none

    def _against(
        self, source: str, ask: Ask, one: Said, asks: Iterable[tuple[str, Ask]], many: int
    ) -> str | None:
        if one.member.trust != Trust.SURE or one.member.snapshot.state != State.SERVING:
            return f"is not sure of {source}"
        if ask.tenant not in one.member.snapshot.holds:
            return f"does not see that {source} holds {ask.tenant}"
        if ask.slot >= many:
            return f"knows of {many} at once"
        if ask.slot in self.given:
            return f"gave slot {ask.slot} to {self.given[ask.slot].source}"
        if ask.slot in self.resting:
            return f"lets slot {ask.slot} rest"
        if any(it.ask.tenant == ask.tenant for it in self.given.values()):
            return f"gave {ask.tenant} to another move"
        for other, it in asks:
            if it.begun and (it.slot == ask.slot or it.tenant == ask.tenant) and (
                (other, it.number) != (source, ask.number)):  # fmt: skip
                return f"sees a move of {other} under way"
        return None


def _over(now: float, one: Given, said: Said | None, member: Member | None) -> bool | None:
    """None while the vote is held; else whether its move may have begun."""
    if now >= one.until:
        return True
    if member is None:
        return None
    life = member.snapshot.incarnation
    if life != one.incarnation:  # views never go back to an older life; what the new one holds may come later
        return None if said is None and member.is_present else True
    if member.snapshot.state == State.GONE:
        return True
    if said is None or said.lists(one.ask.number):
        return None
    return one.ask.number not in said.part.dropped


class Consent(NamedTuple):
    votes: tuple[str, ...]
    need: int
    target: bool  # whether it is among them

    @property
    def given(self) -> bool:
        return self.target and len(self.votes) >= self.need

    @property
    def text(self) -> str:
        target = "" if self.target else ", none of the target's"
        return f"{len(self.votes)} of {self.need} votes{target}"


def count(
    vote: Vote, target: str, me: str, own: Iterable[Given], known: int, said: Mapping[str, Said]
) -> Consent:
    """Votes for this node's ask. A majority of all nodes that this one, or any voter that is counted, knows
    of: whoever has seen more of the fleet is believed."""
    votes, most = [], known
    if any(one.same(me, vote.incarnation, vote.number) for one in own):
        votes.append(me)
    for name, one in said.items():
        if name != me and one.member.is_present and vote in one.part.votes:
            votes.append(name)
            most = max(most, one.part.known)
    return Consent(tuple(sorted(votes)), majority(most), target in votes)
