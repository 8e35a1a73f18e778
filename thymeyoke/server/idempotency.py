"""Retained requests, their results, and the retries that wait for a result."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

from thymeyoke.runtime import logs

PURGE_PERIOD_SECONDS = 1.0

IdempotencyKey = tuple[int, str]  # the request class, and the key that all attempts of a request share


class Result(NamedTuple):
    """The result of a retained request."""

    body: bytes | None  # None if it failed or never ran
    completed_at: float


class RetainedRequest:
    """A retained request; it matches retries that reached the machine before `expires_at`."""

    def __init__(
        self, id: str, key: IdempotencyKey, expires_at: float, freshness: float, body_hash: int
    ) -> None:
        """Retain a request; for `freshness` seconds, if not 0, its result answers other requests."""
        self.id, self.key = id, key
        self.expires_at, self.freshness = expires_at, freshness
        self.body_hash = body_hash  # a request with another body is not a retry of this one
        self.result: Result | None = None
        self.waiting_ids: list[str] = []  # retries that wait for the result
        self.previous_id: str | None = None  # the request that held this key before

    def answers(self, reached_at: float) -> bool:
        """Whether a retry that reached the machine at `reached_at` may get its result."""
        if reached_at > self.expires_at:
            return False
        result = self.result
        if not self.freshness or result is None:
            return True
        return result.body is not None and reached_at <= result.completed_at + self.freshness


class IdempotencyCache:
    """Retained requests by id and by key; `purge` removes expired ones.

    Entries are kept for `max_queueing_delay` past their expiry, the longest that a request can wait to be
    read, because a retry is matched by the time at which it reached the machine. Results take at most
    `max_bytes` in total: beyond that the oldest bodies are dropped while their keys stay, so that retries of
    those requests fail and are not run.
    """

    def __init__(self, max_queueing_delay: float, max_bytes: float = math.inf) -> None:
        """Create a cache; `max_queueing_delay` is in seconds."""
        self.max_queueing_delay, self.next_purge_at = max_queueing_delay, 0.0
        self.max_bytes, self.size_bytes = max_bytes, 0
        self.ids_with_body: OrderedDict[str, None] = OrderedDict()  # oldest result first
        self.by_key: dict[IdempotencyKey, RetainedRequest] = {}
        self.by_id: dict[str, RetainedRequest] = {}

    def find(self, key: IdempotencyKey, reached_at: float) -> str | None:
        """The id of the newest retained request with this key, if its result may answer a retry."""
        retained = self.by_key.get(key)
        return retained.id if retained and retained.answers(reached_at) else None

    def retain(
        self, id: str, key: IdempotencyKey, expires_at: float, freshness: float = 0.0, body_hash: int = 0
    ) -> None:
        """Retain a request, or extend its expiry; a newer request takes over the key."""
        if retained := self.by_id.get(id):
            retained.expires_at = expires_at
            return
        retained = RetainedRequest(id, key, expires_at, freshness, body_hash)
        if previous := self.by_key.get(key):
            retained.previous_id = previous.id
        self.by_key[key] = self.by_id[id] = retained

    def release(self, id: str) -> list[str]:
        """Drop a request's entry; return the ids of the retries that waited for it."""
        retained = self.by_id.pop(id, None)
        if retained is None:
            return []
        self._drop_body(retained)
        if self.by_key.get(retained.key) is retained:
            self._restore_previous(retained)
        return retained.waiting_ids

    def _restore_previous(self, retained: RetainedRequest) -> None:
        """Give the key of a dropped request back to the previous request that held it.

        A late retry of that previous request must still not run.
        """
        previous = self.by_id.get(retained.previous_id) if retained.previous_id else None
        if previous is not None and previous.key == retained.key:
            self.by_key[retained.key] = previous
        else:
            del self.by_key[retained.key]

    def complete(self, id: str, result: Result) -> list[str]:
        """Store a request's result; return the ids of the retries that waited for it."""
        retained = self.by_id.get(id)
        if retained is None:
            return []
        waiting_ids, retained.waiting_ids = retained.waiting_ids, []
        retained.result = result
        if result.body:
            self.ids_with_body[id] = None
            self.size_bytes += len(result.body)
        while self.size_bytes > self.max_bytes:
            logs.counters["results_dropped"] += 1
            self._drop_body(self.by_id[next(iter(self.ids_with_body))])
        return waiting_ids

    def _drop_body(self, retained: RetainedRequest) -> None:
        if retained.id in self.ids_with_body and retained.result and retained.result.body:
            del self.ids_with_body[retained.id]
            self.size_bytes -= len(retained.result.body)
            retained.result = retained.result._replace(body=None)

    def result_for(self, id: str, original_id: str | None) -> Result | None:
        """The result for a retry, None if it has to wait, or an empty result if the original is unknown."""
        retained = self.by_id.get(original_id) if original_id is not None else None
        if retained is None:
            return Result(None, 0.0)
        if retained.result is None:
            retained.waiting_ids.append(id)
        return retained.result

    def purge(self, now: float) -> None:
        """Drop expired entries; an entry without a result is still in flight and only loses its key."""
        if now < self.next_purge_at:
            return
        self.next_purge_at = now + PURGE_PERIOD_SECONDS
        expired = [one for one in self.by_id.values() if one.expires_at + self.max_queueing_delay < now]
        for retained in expired:
            if retained.result is not None:
                self.release(retained.id)
            elif self.by_key.get(retained.key) is retained:
                del self.by_key[retained.key]
