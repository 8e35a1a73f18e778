"""Decides how many connections a proxy node holds and which one is admitted next.

No I/O. The queue is that of admission control: a line for each tenant, the oldest connection of a tenant
within its quota first; if only tenants over their quota wait, the slot is lent to the oldest. docs/proxy.md
has the rules as a table.
"""

from __future__ import annotations

from typing import Any

from thymeyoke.admission.concurrency import QUOTA_SHARE
from thymeyoke.admission.fair_queue import FairQueue, QueueKey

SILENCE_TIMEOUT_SECONDS = 3.0  # for the first data of a client; twice that of an app server
SILENCE_GRACE_SECONDS = 0.5  # at first it is not evicted, as its round trip may be long
QUEUE_TIMEOUT_SECONDS = 5.0  # for a client that has sent data
PRIORITY_WEIGHT = 1.0  # all connections are equal


class WaitingConnection:
    """A connection that waits for a slot; `connection` is the session that it belongs to."""

    __slots__ = ("arrived_at", "came_at", "connection", "expected_run_time", "is_queued", "queue_key")

    def __init__(self, now: float, tenant: int, connection: Any) -> None:
        """Create a waiting connection that has sent nothing yet."""
        self.connection, self.came_at, self.arrived_at = connection, now, now
        self.queue_key = QueueKey(tenant, PRIORITY_WEIGHT)
        self.expected_run_time, self.is_queued = 0.0, False

    @property
    def tenant(self) -> int:
        """The tenant that the connection is for."""
        return self.queue_key.owner


class ConnectionTable:
    """The connection slots of a node.

    At most `max_connections` are held, and as many connections may wait, including silent ones.
    """

    def __init__(self, max_connections: int) -> None:
        """Create an empty table."""
        self.max_connections = max_connections
        self.held_by_tenant: dict[int, int] = {}  # without zeros
        self.held = 0  # total
        self.queue: FairQueue[WaitingConnection] = FairQueue()  # connections that have sent data
        self.waiting_by_tenant: dict[int, dict[WaitingConnection, None]] = {}  # including silent ones
        self.waiting = 0
        self.silent: dict[WaitingConnection, None] = {}  # oldest first

    @property
    def quota(self) -> float:
        """The share of a tenant in a full table while others wait, and in a full queue."""
        return max(1.0, self.max_connections * QUOTA_SHARE)

    def add(
        self, now: float, tenant: int, connection: Any
    ) -> tuple[WaitingConnection | None, WaitingConnection | None]:
        """Add a new connection; return it, or None if it is to be closed, and one to evict for it."""
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
        """The waiting connection to close for a new one of this tenant, if any.

        The one that has been silent for longest, so that silent connections cannot keep out others. If none
        has been silent for long, the newest of the tenant with the most waiting connections, if it has more
        than this tenant.
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
        """Move a connection that is no longer silent to its tenant's line."""
        del self.silent[waiter]
        waiter.arrived_at = now
        self.queue.add(waiter)

    def remove(self, waiter: WaitingConnection) -> None:
        """Remove a waiting connection."""
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
        """Release the slot of a held connection."""
        self.held -= 1
        self.held_by_tenant[tenant] -= 1
        if not self.held_by_tenant[tenant]:
            del self.held_by_tenant[tenant]

    def expired(self, now: float) -> list[WaitingConnection]:
        """Waiting connections whose time is over; they stay until they are removed."""
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
        """The time from which `expired` may return a connection."""
        silent = next(iter(self.silent), None)
        moments = [line[0].arrived_at + QUEUE_TIMEOUT_SECONDS for line in self.queue.lines.values()]
        return min([*moments, silent.came_at + SILENCE_TIMEOUT_SECONDS if silent else float("inf")])
