"""The largest tenants in bounded memory: Space-Saving, as published by Metwally, Agrawal and El Abbadi
(2005), merged as by Agarwal and others (2012, Mergeable Summaries).

Pure. With m places and n counted in all, each place's count is never under the truth and over it by at most
n / m, which it states itself (`over`); whoever has more than n / m has a place.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from heapq import heappop, heappush, heapreplace, nlargest

from thymeyoke.membership.view import LOADS_MOST, Load


class Sketch:
    """Counts by name. `counts` holds at most `most` of them: the least gives way to a new one, which
    inherits its count and states it as its error."""

    def __init__(self, most: int = LOADS_MOST) -> None:
        self.most, self.total = most, 0
        self.counts: dict[str, int] = {}
        self.over: dict[str, int] = {}
        self.least: list[tuple[int, str]] = []  # one entry a name, its count at most what it is now

    def add(self, name: str, many: int = 1) -> None:
        """`many` is not negative: what is held at a moment is no stream, see `largest`."""
        self.total += many
        if name in self.counts:
            self.counts[name] += many
        elif len(self.counts) < self.most:
            self._put(name, many, 0)
        else:
            floor = self.floor
            _, loser = heappop(self.least)
            del self.counts[loser], self.over[loser]
            self._put(name, floor + many, floor)

    def _put(self, name: str, count: int, over: int) -> None:
        self.counts[name], self.over[name] = count, over
        heappush(self.least, (count, name))

    @property
    def floor(self) -> int:
        """What a name without a place can have at most."""
        if len(self.counts) < self.most:
            return 0
        while (held := self.counts[self.least[0][1]]) != self.least[0][0]:
            heapreplace(self.least, (held, self.least[0][1]))
        return self.least[0][0]

    def bounds(self, name: str) -> tuple[int, int]:
        """The least and the most that its true count can be."""
        if name not in self.counts:
            return 0, self.floor
        return self.counts[name] - self.over[name], self.counts[name]

    def merge(self, other: Sketch) -> Sketch:
        """Of both streams together; it does not matter which one is asked."""
        made = Sketch(min(self.most, other.most))
        made.total = self.total + other.total
        both: dict[str, tuple[int, int]] = {}
        for name in self.counts.keys() | other.counts.keys():
            (low, high), (lower, higher) = self.bounds(name), other.bounds(name)
            both[name] = high + higher, high + higher - low - lower
        kept = nlargest(made.most, both.items(), key=lambda item: (item[1][0], item[0]))
        for name, (count, over) in kept:
            made._put(name, count, over)
        # What has no place now is at most the least that has one: so says `floor`, if the places are full.
        return made

    def loads(self, opened: Mapping[str, float] | None = None) -> tuple[tuple[Load, ...], Load]:
        """Largest first, and all others as one sum."""
        rates = opened or {}
        ranked = sorted(self.counts.items(), key=lambda item: (-item[1], item[0]))
        loads = tuple(Load(name, many, rates.get(name, 0.0), self.over[name]) for name, many in ranked)
        sure = sum(load.connections - load.over for load in loads)
        out = sum(rate for name, rate in rates.items() if name not in self.counts)
        most = max(0, self.total - sure)
        return loads, Load("", most, out, min(most, sum(self.over.values())))


def largest(held: Iterable[tuple[str, int, float]], most: int = LOADS_MOST) -> tuple[tuple[Load, ...], Load]:
    """Of what is held at a moment and counted in full: the largest (name, connections, opened a second), and
    the rest as one sum. No errors."""
    rows = [Load(*row) for row in held]
    kept = nlargest(most, rows, key=lambda load: (load.connections, load.opened, load.tenant))
    names = {load.tenant for load in kept}
    others = [load for load in rows if load.tenant not in names]
    rest = Load("", sum(load.connections for load in others), sum(load.opened for load in others))
    return tuple(kept), rest
