"""What a node holds at once, and who is let in next.

Pure. The arithmetic is that of `choice.py`, called: a line for each tenant, the oldest of a tenant within its
share first; where only tenants over their share wait, the place is lent to the oldest. docs/proxy.md has the
rules as a table.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from thymeyoke.admission.controller import SHARE, Hold

SILENT = (
    3.0  # seconds in which a customer says something: twice what an app server waits for its first message
)
SPARED = 0.5  # seconds of them in which it gives way to nobody: the way to it and back may be long
WAIT = 5.0  # seconds that one who has spoken waits for a place


class _Kind(NamedTuple):
    """All connections matter alike."""

    importance: float = 1.0


_KIND = _Kind()


class Waiter:
    """One connection that waits, with what `Hold` reads of it. `what` is whoever asks for the place."""

    __slots__ = ("came", "cost", "key", "kind", "line", "queued", "reached", "what")

    def __init__(self, now: float, tenant: int, what: Any) -> None:
        self.what, self.came, self.reached = what, now, now
        self.key, self.kind, self.line = tenant, _KIND, (tenant, _KIND.importance)
        self.cost, self.queued = 0.0, False


class Table:
    """`most` connections are held; as many may wait, the silent ones among them. Tenants are numbers."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held: dict[int, int] = {}  # by tenant; one goes at zero
        self.many = 0  # held, of all tenants
        self.hold = Hold()  # those that have spoken; emptied by `next`, `drop`
        self.room: dict[int, dict[Waiter, None]] = {}  # all that wait, by tenant; likewise
        self.waiting = 0
        self.silent: dict[Waiter, None] = {}  # in the order of their coming; emptied by `spoke`, `drop`

    @property
    def share(self) -> float:
        """What a tenant gets of a full table while others wait, and of a full room."""
        return max(1.0, self.most * SHARE)

    def come(self, now: float, tenant: int, what: Any) -> tuple[Waiter | None, Waiter | None]:
        """A new one: its wait, or None where it is closed at once; and who is pushed out of a full room for
        it."""
        pushed = None
        if self.waiting >= self.most:
            if (pushed := self._gives_way(now, tenant)) is None:
                return None, None
            self.drop(pushed)
        waiter = Waiter(now, tenant, what)
        self.room.setdefault(tenant, {})[waiter] = None
        self.silent[waiter] = None
        self.waiting += 1
        return waiter, pushed

    def _gives_way(self, now: float, tenant: int) -> Waiter | None:
        """Of a full room, to one of this tenant: who has been silent for longest, so that a flood of those
        who say nothing keeps out nobody who speaks. Where none has been for long, the last that came of the
        tenant that has the most there, if that is more."""
        silent = next(iter(self.silent), None)
        if silent is not None and now >= silent.came + SPARED:
            return silent
        mine = len(self.room.get(tenant, ())) + 1
        if mine > self.share:
            return None
        crowd = max(self.room.values(), key=len)
        return next(reversed(crowd)) if mine < len(crowd) else None

    def spoke(self, now: float, waiter: Waiter) -> None:
        """Its first octet is there: from now on it stands in its tenant's line."""
        del self.silent[waiter]
        waiter.reached = now
        self.hold.add(waiter)  # type: ignore[arg-type]

    def drop(self, waiter: Waiter) -> None:
        """It waits no longer."""
        if waiter.queued:
            self.hold.drop(waiter)  # type: ignore[arg-type]
        self.silent.pop(waiter, None)
        mine = self.room[waiter.key]
        del mine[waiter]
        if not mine:
            del self.room[waiter.key]
        self.waiting -= 1

    def next(self) -> Waiter | None:
        """Who takes the next place, while one is free."""
        if self.many >= self.most:
            return None
        waiter: Any = self.hold.next(self.held, self.share)
        if waiter is not None:
            self.drop(waiter)
            self.held[waiter.key] = self.held.get(waiter.key, 0) + 1
            self.many += 1
        return waiter

    def give_back(self, tenant: int) -> None:
        self.many -= 1
        self.held[tenant] -= 1
        if not self.held[tenant]:
            del self.held[tenant]

    def late(self, now: float) -> list[Waiter]:
        """Those whose time is over. They wait on until they are dropped."""
        found = []
        for waiter in self.silent:
            if now < waiter.came + SILENT:
                break
            found.append(waiter)
        for line in self.hold.lines.values():
            for waiter in line:
                if now < waiter.reached + WAIT:
                    break
                found.append(waiter)  # type: ignore[arg-type]
        return found

    def next_late(self) -> float:
        """The moment from which on `late` may name somebody."""
        silent = next(iter(self.silent), None)
        moments = [line[0].reached + WAIT for line in self.hold.lines.values()]
        return min([*moments, silent.came + SILENT if silent else float("inf")])
