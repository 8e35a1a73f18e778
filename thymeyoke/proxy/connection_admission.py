"""What a proxy node holds at once, and which connection is admitted next.

Pure. The queue is the one of admission control: a line for each tenant, the oldest of a tenant within its
quota first; where only tenants over their quota wait, the slot is lent to the oldest. docs/proxy.md has the
rules as a table.
"""

from __future__ import annotations

from typing import Any

from thymeyoke.admission.concurrency import QUOTA_SHARE
from thymeyoke.admission.fair_queue import FairQueue, QueueKey

SILENCE_TIMEOUT_SECONDS = 3.0  # in which a client sends something: twice what an app server waits for it
SILENCE_GRACE_SECONDS = 0.5  # of them, in which it gives way to nobody: the way to it and back may be long
QUEUE_TIMEOUT_SECONDS = 5.0  # that a client which has sent something waits for a slot
PRIORITY_WEIGHT = 1.0  # all connections matter alike


class WaitingConnection:
    """One connection that waits; `connection` is whoever asks for the slot."""

    __slots__ = ("arrived_at", "came_at", "connection", "expected_run_time", "is_queued", "queue_key")

    def __init__(self, now: float, tenant: int, connection: Any) -> None:
        """It has sent nothing yet."""
        self.connection, self.came_at, self.arrived_at = connection, now, now
        self.queue_key = QueueKey(tenant, PRIORITY_WEIGHT)
        self.expected_run_time, self.is_queued = 0.0, False

    @property
    def tenant(self) -> int:
        """The tenant that the connection is for."""
        return self.queue_key.owner


class ConnectionTable:
    """At most `max_connections` are held; as many may wait, the silent ones among them."""

    def __init__(self, max_connections: int) -> None:
        """Nothing is held."""
        self.max_connections = max_connections
        self.held_by_tenant: dict[int, int] = {}  # a tenant goes at zero
        self.held = 0  # of all tenants
        self.queue: FairQueue[WaitingConnection] = FairQueue()  # those that have sent something
        self.waiting_by_tenant: dict[int, dict[WaitingConnection, None]] = {}  # silent ones as well
        self.waiting = 0
        self.silent: dict[WaitingConnection, None] = {}  # in the order of their coming

    @property
    def quota(self) -> float:
        """What a tenant gets of a full table while others wait, and of a full waiting room."""
        return max(1.0, self.max_connections * QUOTA_SHARE)

    def add(
        self, now: float, tenant: int, connection: Any
    ) -> tuple[WaitingConnection | None, WaitingConnection | None]:
        """A new connection: its wait, or None where it is closed at once; and the one closed for it."""
        evicted = None
        if self.waiting >= self.max_connections:
            if (evicted := self._pick_victim(now, tenant)) is None:
                return None, None
            self.remove(evicted)
        waiter = WaitingConnection(now, tenant, connection)
        self.waiting_by_tenant.setdefault(tenant, {})[waiter] = None
        self.silent[waiter] = None
        self.waiting += 1
        return waiter, evicted

    def _pick_victim(self, now: float, tenant: int) -> WaitingConnection | None:
        """Which waiting connection is closed for one of this tenant.

        The one that has been silent for longest, so that a flood of silent ones keeps out nobody who speaks.
        Where none has been for long, the newest of the tenant that has the most waiting, if that is more.
        """
        silent = next(iter(self.silent), None)
        if silent is not None and now >= silent.came_at + SILENCE_GRACE_SECONDS:
            return silent
        own = len(self.waiting_by_tenant.get(tenant, ())) + 1
        if own > self.quota:
            return None
        largest = max(self.waiting_by_tenant.values(), key=len)
        return next(reversed(largest)) if own < len(largest) else None

    def first_bytes_received(self, now: float, waiter: WaitingConnection) -> None:
        """It is not silent any more: from now on it stands in its tenant's line."""
        del self.silent[waiter]
        waiter.arrived_at = now
        self.queue.add(waiter)

    def remove(self, waiter: WaitingConnection) -> None:
        """It waits no longer."""
        if waiter.is_queued:
            self.queue.remove(waiter)
        self.silent.pop(waiter, None)
        of_tenant = self.waiting_by_tenant[waiter.tenant]
        del of_tenant[waiter]
        if not of_tenant:
            del self.waiting_by_tenant[waiter.tenant]
        self.waiting -= 1

    def admit_next(self) -> WaitingConnection | None:
        """Admit the next connection while a slot is free."""
        if self.held >= self.max_connections:
            return None
        waiter = self.queue.next(self.held_by_tenant, self.quota)
        if waiter is not None:
            self.remove(waiter)
            self.held_by_tenant[waiter.tenant] = self.held_by_tenant.get(waiter.tenant, 0) + 1
            self.held += 1
        return waiter

    def release(self, tenant: int) -> None:
        """A held connection of this tenant has ended."""
        self.held -= 1
        self.held_by_tenant[tenant] -= 1
        if not self.held_by_tenant[tenant]:
            del self.held_by_tenant[tenant]

    def expired(self, now: float) -> list[WaitingConnection]:
        """Connections whose time is over. They wait on until they are removed."""
        found = []
        for waiter in self.silent:
            if now < waiter.came_at + SILENCE_TIMEOUT_SECONDS:
                break
            found.append(waiter)
        for line in self.queue.lines.values():
            for waiter in line:
                if now < waiter.arrived_at + QUEUE_TIMEOUT_SECONDS:
                    break
                found.append(waiter)
        return found

    def next_expiry(self) -> float:
        """The moment from which on `expired` may name one."""
        silent = next(iter(self.silent), None)
        moments = [line[0].arrived_at + QUEUE_TIMEOUT_SECONDS for line in self.queue.lines.values()]
        return min([*moments, silent.came_at + SILENCE_TIMEOUT_SECONDS if silent else float("inf")])
