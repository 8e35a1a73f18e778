"""Usage of a request, the period it is counted in, and sums of usage. Pure, no I/O.

Amounts are integers: requests, calls and bytes; run times in microseconds, priority weights in millionths. An
entry never changes; a correction is a further entry that refers to the one it corrects.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

MICRO_UNITS = 1_000_000
CLOSE_DELAY_SHARE = 1 / 10  # of a period's length
MIN_CLOSE_DELAY = 0.5  # seconds


class Kind(IntEnum):
    """How a request ended. The names are written in lower case to statements, the numbers to the database."""

    ACKED = 1
    NACKED = 2
    FAILED = 3
    GONE = 4
    REPEAT = 5  # answered with the result of an earlier request
    CORRECTION = 6


UNCHARGED_KINDS = frozenset((Kind.REPEAT,))  # counted, but with amounts of 0


class Amounts(NamedTuple):
    """Amounts of usage. The field names are column names and wire names."""

    ops: int = 0
    run: int = 0  # microseconds
    calls: int = 0
    importance: int = 0  # millionths
    octets: int = 0

    def plus(self, other: Amounts) -> Amounts:
        """Return the sum of two amounts."""
        return Amounts(*(a + b for a, b in zip(self, other, strict=True)))


class RequestUsage(NamedTuple):
    """The usage of one request, reported when it ends."""

    ended_at: float  # Unix seconds: when it was answered or its client disconnected
    tenant: str
    request_class: str
    kind: Kind
    run_time: float  # seconds, as reported by the processor
    calls: int
    priority_weight: float
    size_bytes: int
    request_id: str = ""  # as on the wire

    def amounts(self) -> Amounts:
        """Return the amounts to charge."""
        if self.kind in UNCHARGED_KINDS:
            return Amounts(ops=1)
        return Amounts(
            1,
            round(self.run_time * MICRO_UNITS),
            self.calls,
            round(self.priority_weight * MICRO_UNITS),
            self.size_bytes,
        )


class UsageKey(NamedTuple):
    """What usage is summed up by.

    For a correction, `corrects` is the ID of the entry, and `who` and `why` are its reasons.
    """

    tenant: str
    type: str
    kind: Kind
    corrects: str = ""
    who: str = ""
    why: str = ""


class Entry(NamedTuple):
    """An entry of the journal.

    `start` counts the starts of the app server, `number` the entries over all starts.
    """

    start: int
    number: int
    period: int
    key: UsageKey
    amounts: Amounts
    request_id: str = ""

    @property
    def id(self) -> str:
        """The ID that operators use, as start.number."""
        return f"{self.start}.{self.number}"


def sum_by_key(entries: Iterable[tuple[UsageKey, Amounts]]) -> dict[UsageKey, Amounts]:
    """Sum up amounts by key; each correction has a key of its own."""
    totals: dict[UsageKey, Amounts] = {}
    for key, amounts in entries:
        totals[key] = totals[key].plus(amounts) if key in totals else amounts
    return totals


class Periods:
    """Assigns entries to periods and decides which periods may close.

    Periods are `length` seconds of Unix time. `latest_seen` never goes back, even over restarts: after the
    clock was set back, entries go to the first open period until the clock has caught up. `closed` is the
    last closed period; only corrections are added to it and to earlier ones.
    """

    def __init__(self, length: int, latest_seen: float = 0.0, closed: int = -1) -> None:
        self.length, self.latest_seen, self.closed = length, latest_seen, closed

    def period_of(self, at: float) -> int:
        """Return the period of a point in time; entries of closed periods go to the first open one."""
        self.latest_seen = max(self.latest_seen, at)
        return max(int(at // self.length), self.closed + 1)

    def close_delay(self) -> float:
        """Return how long a period stays open after its end, for entries that are not written yet."""
        return max(MIN_CLOSE_DELAY, self.length * CLOSE_DELAY_SHARE)

    def closable_periods(self, now: float, periods: Iterable[int]) -> list[int]:
        """Return which of the given periods may close now, oldest first."""
        moment = max(now, self.latest_seen)
        ended = int((moment - self.close_delay()) // self.length) - 1
        return sorted(period for period in set(periods) if self.closed < period <= ended)

    def mark_closed(self, period: int) -> None:
        """Record that a period is closed."""
        self.closed = max(self.closed, period)

    def next_close_at(self, now: float) -> float:
        """Return when the next period may close."""
        moment = max(now, self.latest_seen) - self.close_delay()
        return now + (int(moment // self.length) + 1) * self.length - moment


class RecentRunTimes:
    """Run time by tenant over a sliding window, kept in memory only."""

    def __init__(self, span: float = 60.0, slots: int = 12, max_tenants: int = 256) -> None:
        self.slot_seconds, self.slots, self.max_tenants = span / slots, slots, max_tenants
        self.run_times_by_slot: dict[int, dict[str, float]] = {}

    def add(self, at: float, tenant: str, run: float) -> None:
        """Add the run time of a request; tenants over the limit of a slot are counted together."""
        slot = int(at // self.slot_seconds)
        self._purge(slot)
        slot_times = self.run_times_by_slot.setdefault(slot, {})
        key = tenant if tenant in slot_times or len(slot_times) < self.max_tenants else ""
        slot_times[key] = slot_times.get(key, 0.0) + run

    def _purge(self, slot: int) -> None:
        """Remove slots that have left the window."""
        for expired in [expired for expired in self.run_times_by_slot if expired <= slot - self.slots]:
            del self.run_times_by_slot[expired]

    def shares(self, now: float) -> dict[str, float]:
        """Return each tenant's share of the run time, largest first."""
        self._purge(int(now // self.slot_seconds))
        total: dict[str, float] = {}
        for slot_times in self.run_times_by_slot.values():
            for tenant, run in slot_times.items():
                total[tenant] = total.get(tenant, 0.0) + run
        whole = sum(total.values())
        return {
            tenant: run / whole for tenant, run in sorted(total.items(), key=lambda row: -row[1]) if whole
        }
