"""The largest tenants in bounded memory: the Space-Saving algorithm (Metwally, Agrawal, El Abbadi, 2005).

Sketches are merged as in Mergeable Summaries (Agarwal and others, 2012). With m counters and a total count of
n, each counter is at least the true count and exceeds it by at most its recorded error, which is at most n /
m; each name with a true count above n / m has a counter.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from heapq import heappop, heappush, heapreplace, nlargest

from thymeyoke.membership.view import MAX_LOADS, Load


class LoadSketch:
    """Counters by name, at most `capacity`; a new name replaces the smallest counter.

    The new counter inherits the replaced one's count, and records it as its error.
    """

    def __init__(self, capacity: int = MAX_LOADS) -> None:
        self.capacity, self.total = capacity, 0
        self.counts: dict[str, int] = {}
        self.errors: dict[str, int] = {}
        self.min_heap: list[tuple[int, str]] = []  # one (count, name) per name; counts may be too low

    def add(self, name: str, count: int = 1) -> None:
        """Add to a name's count; for counts that also decrease, see `largest_loads`."""
        self.total += count
        if name in self.counts:
            self.counts[name] += count
        elif len(self.counts) < self.capacity:
            self._put(name, count, 0)
        else:
            max_untracked = self.max_untracked
            _, evicted = heappop(self.min_heap)
            del self.counts[evicted], self.errors[evicted]
            self._put(name, max_untracked + count, max_untracked)

    def _put(self, name: str, count: int, over: int) -> None:
        self.counts[name], self.errors[name] = count, over
        heappush(self.min_heap, (count, name))

    @property
    def max_untracked(self) -> int:
        """The highest possible count of a name without a counter."""
        if len(self.counts) < self.capacity:
            return 0
        while (count := self.counts[self.min_heap[0][1]]) != self.min_heap[0][0]:
            heapreplace(self.min_heap, (count, self.min_heap[0][1]))
        return self.min_heap[0][0]

    def bounds(self, name: str) -> tuple[int, int]:
        """The lowest and the highest possible true count of a name."""
        if name not in self.counts:
            return 0, self.max_untracked
        return self.counts[name] - self.errors[name], self.counts[name]

    def merge(self, other: LoadSketch) -> LoadSketch:
        """The sketch of both streams together; commutative."""
        merged = LoadSketch(min(self.capacity, other.capacity))
        merged.total = self.total + other.total
        intervals: dict[str, tuple[int, int]] = {}
        for name in self.counts.keys() | other.counts.keys():
            (low, high), (lower, higher) = self.bounds(name), other.bounds(name)
            intervals[name] = high + higher, high + higher - low - lower
        selected = nlargest(merged.capacity, intervals.items(), key=lambda item: (item[1][0], item[0]))
        for name, (count, over) in selected:
            merged._put(name, count, over)
        # A name without a counter has at most the smallest count, which `max_untracked` returns.
        return merged

    def loads(self, opened: Mapping[str, float] | None = None) -> tuple[tuple[Load, ...], Load]:
        """The loads of all tracked tenants, largest first, and the sum of all others."""
        rates = opened or {}
        ordered = sorted(self.counts.items(), key=lambda item: (-item[1], item[0]))
        loads = tuple(Load(name, count, rates.get(name, 0.0), self.errors[name]) for name, count in ordered)
        certain = sum(load.connections - load.over for load in loads)
        untracked_rate = sum(rate for name, rate in rates.items() if name not in self.counts)
        most = max(0, self.total - certain)
        return loads, Load("", most, untracked_rate, min(most, sum(self.errors.values())))


def largest_loads(
    counts: Iterable[tuple[str, int, float]], most: int = MAX_LOADS
) -> tuple[tuple[Load, ...], Load]:
    """The largest loads of exactly counted ones, and the sum of all others.

    `counts`: (name, connections, connections opened a second) of each tenant.
    """
    rows = [Load(*row) for row in counts]
    selected = nlargest(most, rows, key=lambda load: (load.connections, load.opened, load.tenant))
    names = {load.tenant for load in selected}
    others = [load for load in rows if load.tenant not in names]
    rest = Load("", sum(load.connections for load in others), sum(load.opened for load in others))
    return tuple(selected), rest
