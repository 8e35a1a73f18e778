"""Calls that have no leave yet, and which calls are repeats. Pure; calls are opaque here.

First tries wait for the pace alone, repeats for the budget as well: none holds up the others. Each of the two
lines is oldest first, but for those whose time is nearly over. A line that is as long as its calls may wait
would else send each one just before that, to come back in time to nobody, and a sound database would look
like one in trouble for good.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import count
from math import inf
from typing import Generic, NamedTuple, TypeVar

from thymeyoke.slow_start.retry_budget import Budget

MOST = 4096  # calls that wait; ids that are remembered as failed

What = TypeVar("What")


class Waiting(NamedTuple, Generic[What]):
    turn: int
    since: float
    until: float  # its time is over then
    what: What

    def spent(self, now: float, need: float) -> bool:
        """Whether less time is left than a call takes, half of its own at most: a slow one is tried too."""
        return self.until < now + min(need, (self.until - self.since) / 2)


class Waits(Generic[What]):
    """Emptied as calls go out, are given up, or their time passes: whoever adds one drops it then."""

    def __init__(self, most: int = MOST) -> None:
        self.most, self.turns = most, count()
        self.firsts: OrderedDict[str, Waiting[What]] = OrderedDict()
        self.repeats: OrderedDict[str, Waiting[What]] = OrderedDict()
        self.spent: list[What] = []  # whose turn came too late; emptied by who asked for the next one

    def __len__(self) -> int:
        return len(self.firsts) + len(self.repeats)

    def add(self, now: float, id: str, what: What, repeat: bool, until: float = inf) -> bool:
        """Whether there was room, and none under this id."""
        if len(self) >= self.most or self.get(id) is not None:
            return False
        (self.repeats if repeat else self.firsts)[id] = Waiting(next(self.turns), now, until, what)
        return True

    def get(self, id: str) -> What | None:
        found = self.firsts.get(id) or self.repeats.get(id)
        return found and found.what

    def drop(self, id: str) -> What | None:
        found = self.firsts.pop(id, None) or self.repeats.pop(id, None)
        return found and found.what

    def all(self) -> list[What]:
        """Take all of them, the first tries first."""
        found = [one.what for line in (self.firsts, self.repeats) for one in line.values()]
        self.firsts.clear()
        self.repeats.clear()
        return found

    def next(self, now: float, budget: Budget, need: float = 0.0) -> What | None:
        """Take the oldest that may go and has `need` seconds left; a repeat is booked. Those before it are
        `spent`: they are over, as never run."""
        while True:
            lines = [self.firsts] if self.firsts else []
            if self.repeats and budget.has(now):
                lines.append(self.repeats)
            if not lines:
                return None
            line = min(lines, key=lambda line: next(iter(line.values())).turn)
            one = line.popitem(last=False)[1]
            if one.spent(now, need):
                self.spent.append(one.what)
                continue
            if line is self.repeats:
                budget.take(now)
            return one.what

    def age(self, now: float) -> float:
        """Seconds that the oldest first try has waited; 0 where none does."""
        return now - next(iter(self.firsts.values())).since if self.firsts else 0.0

    def when(self, now: float, budget: Budget) -> float:
        """From when on one may go, as far as the budget is concerned; never where none waits."""
        if self.firsts:
            return now
        return budget.when(now) if self.repeats else float("inf")


class Failed:
    """Ids whose last call failed: the next one under such an id is a repeat. Emptied by that call's success,
    and after `within` seconds, the longest that an op can ask again."""

    def __init__(self, within: float, most: int = MOST) -> None:
        self.within, self.most = within, most
        self.until: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, id: str) -> bool:
        return id in self.until

    def note(self, now: float, id: str) -> None:
        self.until.pop(id, None)
        if len(self.until) >= self.most:
            self.until.popitem(last=False)
        self.until[id] = now + self.within

    def worked(self, id: str) -> None:
        self.until.pop(id, None)

    def forget(self, now: float) -> None:
        """Those whose time has passed."""
        while self.until and next(iter(self.until.values())) <= now:
            self.until.popitem(last=False)
