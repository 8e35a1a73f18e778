"""What is counted of an op, in which period, and how sums are made of it. Pure.

Amounts are integers: ops, calls, octets; run times in microseconds, importance in millionths. An entry is
never changed; a correction is one more entry that names the one it corrects.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

MICRO = 1_000_000
LEDGE = (
    1 / 10
)  # of a period: after its end it stays open for so long, for what is still on its way to the book
LEAST_LEDGE = 0.5  # seconds


class Kind(IntEnum):
    ACKED = 1
    NACKED = 2
    FAILED = 3
    GONE = 4
    REPEAT = 5  # answered with the result of the op that it repeats
    CORRECTION = 6


FREE = frozenset((Kind.REPEAT,))  # counted, and charged nothing


class Amounts(NamedTuple):
    ops: int = 0
    run: int = 0  # microseconds
    calls: int = 0
    importance: int = 0  # millionths
    octets: int = 0

    def plus(self, other: Amounts) -> Amounts:
        return Amounts(*(a + b for a, b in zip(self, other, strict=True)))


class Use(NamedTuple):
    """What one op used, told at its end."""

    at: float  # Unix seconds, when it was answered or its caller went
    tenant: str
    type: str
    kind: Kind
    run: float  # seconds, as the processor told them
    calls: int
    importance: float
    octets: int
    op: str = ""  # its id, as the wire gave it

    def amounts(self) -> Amounts:
        if self.kind in FREE:
            return Amounts(ops=1)
        return Amounts(1, round(self.run * MICRO), self.calls, round(self.importance * MICRO), self.octets)


class Line(NamedTuple):
    """What sums are kept by, and a correction's reasons: `corrects` names the entry, as start.number."""

    tenant: str
    type: str
    kind: Kind
    corrects: str = ""
    who: str = ""
    why: str = ""


class Entry(NamedTuple):
    """As the book holds it: `start` counts the instance's starts, `number` goes on through all of them."""

    start: int
    number: int
    period: int
    line: Line
    amounts: Amounts
    op: str = ""

    @property
    def id(self) -> str:
        return f"{self.start}.{self.number}"


def sums(entries: Iterable[tuple[Line, Amounts]]) -> dict[Line, Amounts]:
    """Corrections stay one by one, all else is added up by its line."""
    found: dict[Line, Amounts] = {}
    for line, amounts in entries:
        found[line] = found[line].plus(amounts) if line in found else amounts
    return found


class Periods:
    """Which period an entry falls in, and which may close. Unix time cut in spans of `length` seconds.

    `latest` never steps back, over restarts as well: with a clock set back all falls in the first open
    period until the clock has caught up. `closed` is the last closed one: nothing but corrections falls in
    it or before.
    """

    def __init__(self, length: int, latest: float = 0.0, closed: int = -1) -> None:
        self.length, self.latest, self.closed = length, latest, closed

    def of(self, at: float) -> int:
        """The period of what happened at a moment: late entries go to the first one that is open."""
        self.latest = max(self.latest, at)
        return max(int(at // self.length), self.closed + 1)

    def ledge(self) -> float:
        return max(LEAST_LEDGE, self.length * LEDGE)

    def due(self, now: float, held: Iterable[int]) -> list[int]:
        """Of the periods that hold entries, those that may close now, oldest first. What is not yet in the
        book keeps its period open: it is not in `held` until it is."""
        moment = max(now, self.latest)
        ended = int((moment - self.ledge()) // self.length) - 1
        return sorted(period for period in set(held) if self.closed < period <= ended)

    def close(self, period: int) -> None:
        self.closed = max(self.closed, period)

    def next(self, now: float) -> float:
        """When the next one may close."""
        moment = max(now, self.latest) - self.ledge()
        return now + (int(moment // self.length) + 1) * self.length - moment


class Recent:
    """Run time by tenant over the last span: a window in slots, not the disk. Empties as slots pass."""

    def __init__(self, span: float = 60.0, slots: int = 12, most: int = 256) -> None:
        self.step, self.slots, self.most = span / slots, slots, most
        self.runs: dict[int, dict[str, float]] = {}

    def add(self, at: float, tenant: str, run: float) -> None:
        slot = int(at // self.step)
        self._purge(slot)
        here = self.runs.setdefault(slot, {})
        key = tenant if tenant in here or len(here) < self.most else ""
        here[key] = here.get(key, 0.0) + run

    def _purge(self, slot: int) -> None:
        for old in [old for old in self.runs if old <= slot - self.slots]:
            del self.runs[old]

    def shares(self, now: float) -> dict[str, float]:
        """Each tenant's part of what was run, most first."""
        self._purge(int(now // self.step))
        total: dict[str, float] = {}
        for here in self.runs.values():
            for tenant, run in here.items():
                total[tenant] = total.get(tenant, 0.0) + run
        whole = sum(total.values())
        return {
            tenant: run / whole for tenant, run in sorted(total.items(), key=lambda row: -row[1]) if whole
        }
