"""Decides which connects to app servers are made, and how slow or failed ones affect later ones.

No I/O. The number of concurrent connects to one app server is limited by a window, which grows by one for
each window of successful connects and is halved after a slow or failed one. After a failure there is a
backoff with full jitter, and the attempts of each client connection are limited. A connection that has passed
data is never retried. docs/proxy.md has the rules as a table.
"""

from __future__ import annotations

from collections.abc import Container
from random import Random
from typing import NamedTuple

MAX_CONCURRENT_SHARE = 1 / 64  # of the table; concurrent connects to one app server
MIN_CONCURRENT = 4
MAX_ATTEMPTS = 3  # of one connection, before its first data
CONNECT_TIMEOUT_SECONDS = 1.25  # a lost SYN is retransmitted after 1 s
SLOW_CONNECT_SECONDS = CONNECT_TIMEOUT_SECONDS / 4  # beyond it the machine or the network is overloaded
QUEUE_TIMEOUT_SECONDS = 2 * CONNECT_TIMEOUT_SECONDS  # for a connect that waits
WINDOW_DECREASE = 0.5
FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 1.0  # after a failed connect, doubled with each failure
FAILURES_UNTIL_MOVE = 2  # consecutive failures after which waiting sessions move on too


class Open(NamedTuple):
    """Make a connect."""

    key: int
    server: str


class ReassignSession(NamedTuple):
    """The app server cannot be reached; the session needs another one."""

    key: int
    server: str


Action = Open | ReassignSession


class CircuitBreaker:
    """The connects to one app server."""

    __slots__ = ("decreased_at", "failed", "in_progress", "retry_at", "waiting", "window")

    def __init__(self, top: float) -> None:
        self.window, self.in_progress = top, 0
        self.waiting: dict[int, float] = {}  # by session: since when, oldest first
        self.failed, self.retry_at, self.decreased_at = 0, 0.0, float("-inf")

    def allows_connect(self, now: float) -> bool:
        """Whether one more connect may be made; after a failure only one at a time, as a probe."""
        return now >= self.retry_at and self.in_progress < (1 if self.failed else int(self.window))

    def decrease_window(self, now: float) -> None:
        """Halve the window, once for several simultaneous failures."""
        if now >= self.decreased_at + CONNECT_TIMEOUT_SECONDS:
            self.window, self.decreased_at = max(1.0, self.window * WINDOW_DECREASE), now


class UpstreamConnector:
    """The connects to all app servers; `key` is the number of a client session."""

    def __init__(self, max_connections: int, rng: Random) -> None:
        self.rng, self.top = rng, 0.0
        self.breakers: dict[str, CircuitBreaker] = {}  # by app server
        self.with_waiting: dict[str, CircuitBreaker] = {}  # those with waiting sessions
        self.server_by_key: dict[int, str] = {}  # sessions that wait or connect
        self.in_progress: dict[int, float] = {}  # since when, oldest first
        self.attempts: dict[int, int] = {}  # by key
        self.reassigned: list[ReassignSession] = []  # returned by the next `advance`
        self.resize(max_connections)

    def resize(self, max_connections: int) -> None:
        """Set the size of the connection table."""
        self.top = max(float(MIN_CONCURRENT), max_connections * MAX_CONCURRENT_SHARE)

    def observe(self, servers: Container[str]) -> None:
        """Update the present app servers; others are forgotten once nothing waits for them."""
        for name in [name for name in self.breakers if name not in servers]:
            if not (self.breakers[name].waiting or self.breakers[name].in_progress):
                del self.breakers[name]

    def request(self, now: float, key: int, server: str) -> bool:
        """Request a connect; return False if the session has no attempts left."""
        if self.attempts.get(key, 0) >= MAX_ATTEMPTS:
            return False
        self.attempts[key] = self.attempts.get(key, 0) + 1
        if (breaker := self.breakers.get(server)) is None:
            breaker = self.breakers[server] = CircuitBreaker(self.top)
        breaker.waiting[key] = now
        self.with_waiting[server], self.server_by_key[key] = breaker, server
        return True

    def connected(self, now: float, key: int) -> None:
        """Record a successful connect."""
        breaker, took = self._finish(now, key)
        del self.attempts[key]
        breaker.failed, breaker.retry_at = 0, 0.0
        if took > SLOW_CONNECT_SECONDS:
            breaker.decrease_window(now)
        else:
            breaker.window = min(self.top, breaker.window + 1 / breaker.window)

    def failed(self, now: float, key: int) -> None:
        """Record a connect that was refused, reset, unreachable or too late."""
        server = self.server_by_key[key]
        breaker, _ = self._finish(now, key)
        breaker.decrease_window(now)
        breaker.failed += 1
        pause = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2 ** min(breaker.failed, 16))
        breaker.retry_at = now + self.rng.uniform(FIRST_BACKOFF_SECONDS / 2, pause)
        if breaker.failed >= FAILURES_UNTIL_MOVE:
            for waits in list(breaker.waiting):
                self._reassign(waits, server)

    def forget(self, key: int) -> None:
        """Forget a session in any state."""
        self.attempts.pop(key, None)
        server = self.server_by_key.pop(key, None)
        if server is None:
            return
        breaker = self.breakers[server]
        breaker.waiting.pop(key, None)
        if self.in_progress.pop(key, None) is not None:
            breaker.in_progress -= 1

    def advance(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        for server, breaker in list(self.with_waiting.items()):
            for key, since in list(breaker.waiting.items()):
                if now < since + QUEUE_TIMEOUT_SECONDS:
                    break
                self._reassign(key, server)
        actions: list[Action] = list(self.reassigned)
        self.reassigned.clear()
        for server, breaker in list(self.with_waiting.items()):
            while breaker.waiting and breaker.allows_connect(now):
                key = next(iter(breaker.waiting))
                del breaker.waiting[key]
                breaker.in_progress += 1
                self.in_progress[key] = now
                actions.append(Open(key, server))
            if not breaker.waiting:
                del self.with_waiting[server]
        return actions

    def timed_out(self, now: float) -> list[int]:
        """Sessions whose connect takes too long.

        The caller checks once more whether it has succeeded, and reports the result.
        """
        found = []
        for key, since in self.in_progress.items():
            if now < since + CONNECT_TIMEOUT_SECONDS:
                break
            found.append(key)
        return found

    def next_advance_at(self, now: float) -> float:
        """The next time at which `advance` or `timed_out` may return something new without input."""
        moments = (
            [next(iter(self.in_progress.values())) + CONNECT_TIMEOUT_SECONDS] if self.in_progress else []
        )
        for breaker in self.with_waiting.values():
            if breaker.waiting:
                moments.append(next(iter(breaker.waiting.values())) + QUEUE_TIMEOUT_SECONDS)
            if breaker.retry_at > now and not breaker.in_progress:
                moments.append(breaker.retry_at)
        return now if self.reassigned else min(moments, default=float("inf"))

    def _finish(self, now: float, key: int) -> tuple[CircuitBreaker, float]:
        breaker = self.breakers[self.server_by_key.pop(key)]
        breaker.in_progress -= 1
        return breaker, now - self.in_progress.pop(key)

    def _reassign(self, key: int, server: str) -> None:
        del self.breakers[server].waiting[key]
        del self.server_by_key[key]
        self.reassigned.append(ReassignSession(key, server))
