"""Ops whose keys are retained, their results, and the repeats that wait for one."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Any, NamedTuple

from thymeyoke.runtime import logs

Key = tuple[int, str]  # an op type and what marks its repeats


class Result(NamedTuple):
    body: bytes | None  # None where the op failed or never ran
    at: float


class Kept:
    """A retained op. A repeat finds it while it lives, by when the repeat reached the machine."""

    def __init__(self, id: str, key: Key, end: float, fresh: float, mark: int) -> None:
        self.id, self.key, self.end, self.fresh = id, key, end, fresh
        self.mark = mark  # of its body, which all its tries carry
        self.result: Result | None = None
        self.waiting: list[str] = []  # emptied by the result
        self.older: str | None = None  # the request whose key this one took over

    def names(self, reached: float) -> bool:
        """Whether a repeat that reached the machine then is one of this op's."""
        if reached > self.end:
            return False
        done = self.result
        return not self.fresh or done is None or (done.body is not None and reached <= done.at + self.fresh)


class Keys:
    """`by_key` and `by_id` are emptied by `purge` as spans pass, and by `forget`.

    Entries outlive their span by `unread`, the longest that an op can wait to be read: a repeat counts by
    when it reached the machine. Results take `most_bytes` in all; past that the bodies of the oldest go and
    their keys stay: their repeats fail, and none is run.
    """

    def __init__(self, unread: float, most_bytes: float = math.inf) -> None:
        self.unread, self.next_purge = unread, 0.0
        self.most_bytes, self.bytes = most_bytes, 0
        self.with_body: OrderedDict[str, None] = OrderedDict()  # by when the results came
        self.by_key: dict[Key, Kept] = {}
        self.by_id: dict[str, Kept] = {}

    def find(self, key: Key, reached: float) -> str | None:
        """A newer request names all tries that its older ones would: they get its result."""
        kept = self.by_key.get(key)
        return kept.id if kept and kept.names(reached) else None

    def keep(self, id: str, key: Key, end: float, fresh: float = 0.0, mark: int = 0) -> None:
        """Retain an op, or renew it; a newer op takes its key over."""
        if kept := self.by_id.get(id):
            kept.end = end
            return
        kept = Kept(id, key, end, fresh, mark)
        if older := self.by_key.get(key):
            kept.older = older.id
        self.by_key[key] = self.by_id[id] = kept

    def forget(self, id: str) -> list[str]:
        """Drop an op's entry; hands back the repeats that waited for it."""
        kept = self.by_id.pop(id, None)
        if kept is None:
            return []
        self._drop_body(kept)
        if self.by_key.get(kept.key) is kept:
            self._hand_back(kept)
        return kept.waiting

    def _hand_back(self, kept: Kept) -> None:
        """The key of a request that is dropped goes back to the one before it: a late-read try of that one is
        still none to be run."""
        older = self.by_id.get(kept.older) if kept.older else None
        if older is not None and older.key == kept.key:
            self.by_key[kept.key] = older
        else:
            del self.by_key[kept.key]

    def over(self, id: str, result: Result) -> list[str]:
        """An op's run is over; hands back the repeats that waited for it."""
        kept = self.by_id.get(id)
        if kept is None:
            return []
        kept.result, waiting, kept.waiting = result, kept.waiting, []
        if result.body:
            self.with_body[id] = None
            self.bytes += len(result.body)
        while self.bytes > self.most_bytes:
            logs.counts["results_dropped"] += 1
            self._drop_body(self.by_id[next(iter(self.with_body))])
        return waiting

    def _drop_body(self, kept: Kept) -> None:
        if kept.id in self.with_body and kept.result and kept.result.body:
            del self.with_body[kept.id]
            self.bytes -= len(kept.result.body)
            kept.result = kept.result._replace(body=None)

    def repeat(self, id: str, of: Any) -> Result | None:
        """The result for a repeat, or None where it has to wait. Of an op that is unknown nothing came."""
        kept = self.by_id.get(of)
        if kept is None:
            return Result(None, 0.0)
        if kept.result is None:
            kept.waiting.append(id)
        return kept.result

    def purge(self, now: float) -> None:
        if now < self.next_purge:
            return
        self.next_purge = now + 1.0
        for kept in [kept for kept in self.by_id.values() if kept.end + self.unread < now]:
            if kept.result is not None:  # one without is in hand, and goes later
                self.forget(kept.id)
            elif self.by_key.get(kept.key) is kept:
                del self.by_key[kept.key]
