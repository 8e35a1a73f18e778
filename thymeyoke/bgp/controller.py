"""What is announced, and how: facts of this instance and of others' paths in, a wanted level for each
address out.

Pure. docs/bgp.md has the rules as a table, and why no crowd leaves an address without a path.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from thymeyoke.bgp.configuration import Prefix

BUSY = (
    0.9  # of the cores: below, nacks come from elsewhere than the cores, and would follow the ops elsewhere
)
FULL_TABLE = 0.95  # of the connections that are taken
COOL = 1 / 4  # of the heat at which a crowd is one: below, it is over
STAYS = 2.0  # times that heat: the crowd stays though less was sent here, and only going away is left
TOP = 2.5  # times that heat: no crowd is remembered for longer
AWAY = 2  # times `crowded_after`: the first time away for a crowd
AWAY_TOP = 60.0  # seconds
FORGET = 60.0  # seconds in which the count of times away halves
DRAIN_PART = 1 / 4  # of the time until the door shuts: less preferred for so long, then withdrawn
MINUTE = 60.0


class Level(IntEnum):
    WITHDRAWN = 0
    LESS = 1
    FULL = 2


class Why(NamedTuple):
    level: Level
    text: str
    forced: bool = False  # the budget of changes does not hold it back


class Look(NamedTuple):
    """One look at the server. Counts run from its start, moments are the clock's."""

    up: bool
    linked: bool  # the processor's link
    warm_at: float
    busy: float | None  # of the cores, 0 to 1
    ops: int
    nacked: int
    connections: int
    most: int
    late: bool = False  # the server did not answer the look in time


class Terms(NamedTuple):
    """What the operators say; docs/bgp.md. Times in seconds."""

    least_others: int
    crowded_share: float
    crowded_after: float
    settle: float
    changes: int


class Bucket:
    """A budget: so many at once, refilled over a span."""

    def __init__(self, size: float, span: float) -> None:
        self.size, self.rate = size, size / span
        self.left, self.at = size, 0.0

    def has(self, now: float, many: float = 1.0) -> bool:
        self.left = min(self.size, self.left + max(0.0, now - self.at) * self.rate)
        self.at = max(now, self.at)
        return self.left >= many

    def take(self, now: float, many: float = 1.0) -> None:
        """Also what is not there: what had to be is paid for later, down to an empty budget and no
        further."""
        self.has(now)
        self.left = max(0.0, self.left - many)

    def when(self, now: float, many: float = 1.0) -> float:
        """The moment at which `many` are there."""
        return now if self.has(now, many) else now + (many - self.left) / self.rate


class Crowd:
    """Whether the cores stay crowded: seconds in a crowd against seconds out of one, with two thresholds."""

    def __init__(self, terms: Terms) -> None:
        self.terms, self.heat, self.hot = terms, 0.0, False
        self.last: Look | None = None
        self.at = 0.0

    def look(self, now: float, look: Look) -> None:
        span = min(max(0.0, now - self.at), self.terms.crowded_after / 2) if self.last else 0.0
        crowded = self.crowded(look)
        self.last, self.at = look, now
        self.heat = min(TOP * self.terms.crowded_after, max(0.0, self.heat + (span if crowded else -span)))
        if self.heat >= self.terms.crowded_after:
            self.hot = True
        elif self.heat <= COOL * self.terms.crowded_after:
            self.hot = False

    @property
    def stays(self) -> bool:
        return self.heat >= STAYS * self.terms.crowded_after

    def crowded(self, look: Look) -> bool:
        if look.late or look.connections >= FULL_TABLE * look.most:
            return True
        before = self.last
        if before is None or look.busy is None or look.busy < BUSY:
            return False
        ops = look.ops - before.ops
        return ops > 0 and look.nacked - before.nacked >= self.terms.crowded_share * ops


class Address:
    """Where one address stands."""

    def __init__(self, now: float) -> None:
        self.level, self.why, self.since = Level.WITHDRAWN, "not yet looked at", now
        self.others = 0
        self.crowded_out = False  # withdrawn for a crowd, and not yet back
        self.back_at = 0.0
        self.changes = 0


class Decider:
    """Levels for all addresses. Call `look`, `leave`, `seen` as things happen, then `settle`."""

    def __init__(self, now: float, terms: Terms, addresses: Iterable[Prefix]) -> None:
        self.terms, self.crowd = terms, Crowd(terms)
        self.addresses = {prefix: Address(now) for prefix in addresses}
        self.caps: Mapping[Prefix, Why] = {}  # told from outside: no address goes out at more than its cap
        self.budget = Bucket(terms.changes, MINUTE)
        self.away, self.away_at = 0.0, now  # times away for a crowd, halved by quiet
        self.unlinked_at = self.withdraw_at = self.door_at = float("inf")
        self.again_at = float("inf")  # when a change that the budget held back may be made

    @property
    def last(self) -> Look | None:
        """The last look, as the crowd keeps it."""
        return self.crowd.last

    def change(self, now: float, terms: Terms, addresses: Iterable[Prefix]) -> None:
        """New terms; addresses that stay keep their state. Those that went are no longer in `addresses`."""
        self.terms = self.crowd.terms = terms
        self.addresses = {prefix: self.addresses.get(prefix) or Address(now) for prefix in addresses}
        if terms.changes != self.budget.size:
            self.budget = Bucket(terms.changes, MINUTE)

    def look(self, now: float, look: Look) -> None:
        if look.linked:
            self.unlinked_at = float("inf")
        elif self.unlinked_at == float("inf"):
            self.unlinked_at = now
        self.crowd.look(now, look)

    def leave(self, now: float, door_at: float) -> None:
        """The notice of a drain: ops are taken until `door_at`. A second notice changes nothing."""
        if self.door_at == float("inf"):
            self.door_at = door_at
            self.withdraw_at = now + max(0.0, door_at - now) * DRAIN_PART

    def seen(self, prefix: Prefix, others: int) -> None:
        """How many others announce the address in full, as far as the peers tell."""
        if prefix in self.addresses:
            self.addresses[prefix].others = others

    def next(self, now: float) -> float:
        """The next moment at which `settle` may say something else though nothing was told."""
        steps = [self.withdraw_at if self.withdraw_at > now else float("inf"), self.again_at]
        for one in self.addresses.values():
            steps += [at for at in (one.since + self.terms.settle, one.back_at) if at > now]
        if self.last and self.last.warm_at > now:
            steps.append(self.last.warm_at)
        return min(steps)

    def settle(self, now: float) -> list[Prefix]:
        """Move the addresses to what is wanted now, as far as the budget allows; those that moved."""
        moved, spent, self.again_at = [], False, float("inf")
        for prefix, one in self.addresses.items():
            why = self.wanted(now, one)
            if (cap := self.caps.get(prefix)) and cap.level < why.level:
                why = cap
            if why.level == one.level:
                one.why = why.text
                continue
            price = 2.0 if why.level == Level.WITHDRAWN else 1.0  # the way back must be paid as well
            if not (why.forced or spent or self.budget.has(now, price)):
                one.why = f"{one.why.partition(' (')[0]} (budget of changes spent; wanted: {why.text})"
                self.again_at = min(self.again_at, self.budget.when(now, price))
                continue
            if not spent:
                self.budget.take(now)
            spent = True
            self._move(now, one, why)
            moved.append(prefix)
        return moved

    def _move(self, now: float, one: Address, why: Why) -> None:
        if why.level == Level.WITHDRAWN and not why.forced:
            self.away = self._times_away(now) + 1
            self.away_at = now
            one.crowded_out = True
            one.back_at = now + min(AWAY_TOP, AWAY * self.terms.crowded_after * 2 ** (self.away - 1))
        elif why.level != Level.WITHDRAWN:
            one.crowded_out = False
        one.level, one.why, one.since = why.level, why.text, now
        one.changes += 1

    def _times_away(self, now: float) -> float:
        return float(self.away * 0.5 ** (max(0.0, now - self.away_at) / FORGET))

    def wanted(self, now: float, one: Address) -> Why:
        """The rules, first that holds; docs/bgp.md names each."""
        look, terms = self.last, self.terms
        settled = now >= one.since + terms.settle
        if now >= self.withdraw_at:
            return Why(Level.WITHDRAWN, "drain", True)
        if look is None or not look.up:
            return Why(Level.WITHDRAWN, "the processor is not up yet", True)
        if self.door_at < float("inf"):
            return Why(min(one.level, Level.LESS), "drain", True)
        if self.unlinked_at <= now:
            if one.level == Level.FULL:
                return Why(Level.LESS, "the processor is away", True)
            gone = one.level == Level.WITHDRAWN or settled
            return Why(Level.WITHDRAWN if gone else Level.LESS, "the processor is away", True)
        if one.crowded_out:
            return self._while_away(now, one)
        if self.crowd.hot:
            enough = terms.least_others > 0 and one.others >= terms.least_others
            if one.level == Level.LESS and settled and enough and self.crowd.stays:
                return Why(Level.WITHDRAWN, f"crowded, {one.others} others in full")
            few = "" if enough else f", {one.others} others in full"
            return Why(Level.LESS, f"crowded{few}", one.level == Level.WITHDRAWN)
        if look.warm_at > now:
            return Why(Level.LESS, "cold", one.level == Level.WITHDRAWN)
        if one.level == Level.WITHDRAWN:  # up by a step at a time
            return Why(Level.LESS, "coming up", True)
        if one.level == Level.LESS and not settled:
            return Why(Level.LESS, one.why)
        return Why(Level.FULL, "can serve")

    def _while_away(self, now: float, one: Address) -> Why:
        if one.others < self.terms.least_others:  # the last one out comes back, whatever it costs
            return Why(Level.LESS, f"crowded, {one.others} others in full", True)
        if self.crowd.hot or now < one.back_at:
            return Why(Level.WITHDRAWN, one.why)
        return Why(Level.LESS, "coming up")
