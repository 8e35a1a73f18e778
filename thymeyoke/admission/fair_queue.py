"""The queue of requests that wait to run: fair between tenants or clients, oldest first."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Generic, NamedTuple, Protocol, TypeVar


class QueueKey(NamedTuple):
    """Identifies the line (subqueue) in which an entry waits."""

    owner: int  # the tenant or client whose quota the entry counts against
    priority_weight: float


class QueueEntry(Protocol):
    """Attributes that the queue reads from its entries; it sets `is_queued`."""

    is_queued: bool

    @property
    def queue_key(self) -> QueueKey:
        """The line in which the entry waits."""

    @property
    def expected_run_time(self) -> float:
        """Expected run time in seconds."""

    @property
    def arrived_at(self) -> float:
        """Time of arrival, in seconds."""


Entry = TypeVar("Entry", bound=QueueEntry)


class FairQueue(Generic[Entry]):
    """Waiting entries, in one line for each owner and priority weight. Empty lines are removed."""

    def __init__(self) -> None:
        self.lines: dict[QueueKey, deque[Entry]] = {}
        self.work: dict[QueueKey, float] = {}  # sum of the expected run times of each line, in seconds
        self.is_saturated = False  # some entries must miss their objectives: serve by priority weight

    def __bool__(self) -> bool:
        return bool(self.lines)

    def add(self, entry: Entry) -> None:
        """Append an entry to its line."""
        entry.is_queued = True
        key = entry.queue_key
        self.lines.setdefault(key, deque()).append(entry)
        self.work[key] = self.work.get(key, 0.0) + entry.expected_run_time

    def remove(self, entry: Entry) -> None:
        """Remove an entry from its line, at any position."""
        entry.is_queued = False
        key = entry.queue_key
        self.lines[key].remove(entry)
        self.work[key] -= entry.expected_run_time
        if not self.lines[key]:
            del self.lines[key], self.work[key]

    def work_ahead(self, priority_weight: float = 0.0, owner: int | None = None) -> float:
        """Expected run time ahead of a new entry of this weight; with `owner`, only that owner's."""
        least_weight = priority_weight if self.is_saturated else 0.0
        return sum(
            work
            for key, work in self.work.items()
            if key.priority_weight >= least_weight and (owner is None or owner == key.owner)
        )

    def next(self, running: Mapping[int, int], quota: float) -> Entry | None:
        """The oldest entry whose owner is within its quota, or else the oldest of all; None if empty.

        `running`: number of running entries by owner.
        """

        def rank(entry: Entry) -> tuple[bool, float, float]:
            is_over_quota = running.get(entry.queue_key.owner, 0) + 1 > quota
            return is_over_quota, -entry.queue_key.priority_weight * self.is_saturated, entry.arrived_at

        return min((line[0] for line in self.lines.values()), key=rank, default=None)
