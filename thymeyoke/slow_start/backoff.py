"""The backlog of dependency calls that wait for the rate limiter, and the ids of failed calls. Pure.

First attempts wait only for the rate limiter, retries also for the retry budget; neither blocks the other.
Each of the two queues is oldest first, but skips calls with too little time left: otherwise, in a queue as
long as its calls may wait, each call would be sent just before its deadline and answered too late.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import count
from math import inf
from typing import Generic, NamedTuple, TypeVar

from thymeyoke.slow_start.retry_budget import RetryBudget

MAX_ENTRIES = 4096  # waiting calls, and remembered ids of failed calls

Call = TypeVar("Call")


class WaitingCall(NamedTuple, Generic[Call]):
    """A call that waits to be sent; times in seconds."""

    sequence: int  # order of arrival in both queues
    since: float
    deadline: float
    call: Call

    def is_expired(self, now: float, min_time_left: float) -> bool:
        """Whether too little time is left: less than `min_time_left` and than half of the initial time."""
        return self.deadline < now + min(min_time_left, (self.deadline - self.since) / 2)


class CallBacklog(Generic[Call]):
    """The waiting calls. The owner drops a call when it is cancelled or its deadline passes."""

    def __init__(self, max_calls: int = MAX_ENTRIES) -> None:
        self.max_calls, self.sequence = max_calls, count()
        self.first_attempts: OrderedDict[str, WaitingCall[Call]] = OrderedDict()
        self.retries: OrderedDict[str, WaitingCall[Call]] = OrderedDict()
        self.expired: list[Call] = []  # with too little time left; cleared by the caller of `take_next`

    def __len__(self) -> int:
        return len(self.first_attempts) + len(self.retries)

    def add(self, now: float, id: str, call: Call, is_retry: bool, deadline: float = inf) -> bool:
        """Add a call; returns False if the backlog is full or already has a call with this id."""
        if len(self) >= self.max_calls or self.get(id) is not None:
            return False
        (self.retries if is_retry else self.first_attempts)[id] = WaitingCall(
            next(self.sequence), now, deadline, call
        )
        return True

    def get(self, id: str) -> Call | None:
        """The waiting call with this id, or None."""
        found = self.first_attempts.get(id) or self.retries.get(id)
        return found and found.call

    def drop(self, id: str) -> Call | None:
        """Remove and return the call with this id, or return None."""
        found = self.first_attempts.pop(id, None) or self.retries.pop(id, None)
        return found and found.call

    def take_all(self) -> list[Call]:
        """Remove and return all calls, first attempts first."""
        queues = (self.first_attempts, self.retries)
        found = [waiting.call for queue in queues for waiting in queue.values()]
        self.first_attempts.clear()
        self.retries.clear()
        return found

    def take_next(self, now: float, budget: RetryBudget, min_time_left: float = 0.0) -> Call | None:
        """Remove and return the oldest call that may be sent and has enough time left.

        A retry is charged to the budget. Older calls with too little time left are moved to `expired`.
        """
        while True:
            queues = [self.first_attempts] if self.first_attempts else []
            if self.retries and budget.can_retry(now):
                queues.append(self.retries)
            if not queues:
                return None
            queue = min(queues, key=lambda queue: next(iter(queue.values())).sequence)
            waiting = queue.popitem(last=False)[1]
            if waiting.is_expired(now, min_time_left):
                self.expired.append(waiting.call)
                continue
            if queue is self.retries:
                budget.take(now)
            return waiting.call

    def oldest_age(self, now: float) -> float:
        """Seconds for which the oldest first attempt has waited; 0 if none waits."""
        return now - next(iter(self.first_attempts.values())).since if self.first_attempts else 0.0

    def next_at(self, now: float, budget: RetryBudget) -> float:
        """Earliest time at which the retry budget admits a waiting call; infinity if none waits."""
        if self.first_attempts:
            return now
        return budget.next_retry_at(now) if self.retries else float("inf")


class FailedCalls:
    """Ids of calls that failed: the next call with such an id is a retry.

    An id is removed when its call succeeds, and after the TTL, which is the longest time for which a request
    can retry.
    """

    def __init__(self, ttl: float, max_entries: int = MAX_ENTRIES) -> None:
        self.ttl, self.max_entries = ttl, max_entries
        self.expires_at: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, id: str) -> bool:
        return id in self.expires_at

    def add(self, now: float, id: str) -> None:
        """Add the id of a failed call; if the table is full the oldest id is removed."""
        self.expires_at.pop(id, None)
        if len(self.expires_at) >= self.max_entries:
            self.expires_at.popitem(last=False)
        self.expires_at[id] = now + self.ttl

    def remove(self, id: str) -> None:
        """Remove an id, if present."""
        self.expires_at.pop(id, None)

    def expire(self, now: float) -> None:
        """Remove the ids whose TTL has passed."""
        while self.expires_at and next(iter(self.expires_at.values())) <= now:
            self.expires_at.popitem(last=False)
