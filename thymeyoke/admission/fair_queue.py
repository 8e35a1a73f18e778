"""The queue of requests that wait for a slot: fair between tenants or clients, oldest first."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Generic, NamedTuple, Protocol, TypeVar


class QueueKey(NamedTuple):
    """The line in which an entry waits."""

    owner: int  # the tenant or client whose quota it counts against
    priority_weight: float


class QueueEntry(Protocol):
    """What the queue reads of its entries, and the one mark that it sets."""

    is_queued: bool

    @property
    def queue_key(self) -> QueueKey:
        """The line in which it waits."""

    @property
    def expected_run_time(self) -> float:
        """Seconds that it is expected to run."""

    @property
    def arrived_at(self) -> float:
        """Seconds of the clock."""


Entry = TypeVar("Entry", bound=QueueEntry)


class FairQueue(Generic[Entry]):
    """Entries that wait, in a line for each owner and priority weight. A line goes when it is empty."""

    def __init__(self) -> None:
        self.lines: dict[QueueKey, deque[Entry]] = {}
        self.work: dict[QueueKey, float] = {}  # expected run time that waits, by line
        self.is_saturated = False  # some must miss their objectives: higher priority weights go first

    def __bool__(self) -> bool:
        return bool(self.lines)

    def add(self, entry: Entry) -> None:
        """Append an entry to its line."""
        entry.is_queued = True
        key = entry.queue_key
        self.lines.setdefault(key, deque()).append(entry)
        self.work[key] = self.work.get(key, 0.0) + entry.expected_run_time

    def remove(self, entry: Entry) -> None:
        """Take an entry out, from wherever it stands."""
        entry.is_queued = False
        key = entry.queue_key
        self.lines[key].remove(entry)
        self.work[key] -= entry.expected_run_time
        if not self.lines[key]:
            del self.lines[key], self.work[key]

    def work_ahead(self, priority_weight: float = 0.0, owner: int | None = None) -> float:
        """Expected run time ahead of a new entry of this weight; with `owner`, of that one alone."""
        least_weight = priority_weight if self.is_saturated else 0.0
        return sum(
            work
            for key, work in self.work.items()
            if key.priority_weight >= least_weight and (owner is None or owner == key.owner)
        )

    def next(self, running: Mapping[int, int], quota: float) -> Entry | None:
        """The oldest entry of an owner within its quota; where there is none, the slot is lent to the oldest.

        `running`: entries that run, by owner.
        """

        def rank(entry: Entry) -> tuple[bool, float, float]:
            is_over_quota = running.get(entry.queue_key.owner, 0) + 1 > quota
            return is_over_quota, -entry.queue_key.priority_weight * self.is_saturated, entry.arrived_at

        return min((line[0] for line in self.lines.values()), key=rank, default=None)
