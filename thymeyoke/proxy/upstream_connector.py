"""Which connects to app servers go out, and what a slow or a failed one does to those that follow.

Pure. A node spares the app servers: so many connects at once to one of them and no more, a window that grows
by one a window's worth of good ones and halves with a slow or failed one, a pause with full jitter after a
failed one, so many tries a customer's connection. What has passed an octet is no connect any more, and is
never tried again. docs/proxy.md has the rules as a table.
"""

from __future__ import annotations

from collections.abc import Container
from random import Random
from typing import NamedTuple

AT_ONCE = 1 / 64  # of the table: connects that are out to one app server, at the most
LEAST_AT_ONCE = 4
TRIES = 3  # of one connection, before its first octet has passed
TIMEOUT = 1.25  # seconds: a lost SYN goes out again after one
SLOW = TIMEOUT / 4  # seconds: longer than that, and its machine or the way to it is crowded
PATIENCE = 2 * TIMEOUT  # seconds that one waits for its turn
DOWN = 0.5
PAUSE, PAUSE_TOP = 0.05, 1.0  # seconds after a failed connect, doubling
SURE = 2  # failed in a row: no longer one connect's trouble, and those that wait there move on as well


class Open(NamedTuple):
    """Connect."""

    key: int
    server: str


class Next(NamedTuple):
    """Its app server is not reached: it needs another place."""

    key: int
    server: str


Action = Open | Next


class Door:
    """The way to one app server."""

    __slots__ = ("again_at", "failed", "narrowed_at", "out", "waiting", "window")

    def __init__(self, top: float) -> None:
        self.window, self.out = top, 0
        self.waiting: dict[int, float] = {}  # since when, in that order; emptied as they go out or move on
        self.failed, self.again_at, self.narrowed_at = 0, 0.0, float("-inf")

    def room(self, now: float) -> bool:
        """Whether one more may go out. After a failed one it is one at a time, as a probe."""
        return now >= self.again_at and self.out < (1 if self.failed else int(self.window))

    def narrow(self, now: float) -> None:
        """Once for a crowd of them: they tell of one trouble."""
        if now >= self.narrowed_at + TIMEOUT:
            self.window, self.narrowed_at = max(1.0, self.window * DOWN), now


class Connects:
    """For all app servers. `key` is a customer's connection, a number of its own."""

    def __init__(self, most: int, rng: Random) -> None:
        self.rng, self.top = rng, 0.0
        self.doors: dict[str, Door] = {}  # by app server; emptied by `saw`
        self.wanted: dict[str, Door] = {}  # those that somebody waits at; emptied by `settle`
        self.where: dict[int, str] = {}  # by key: who waits or is out; emptied by `came`, `failed`, `gone`
        self.out: dict[int, float] = {}  # since when, in that order; likewise
        self.tries: dict[int, int] = {}  # by key; emptied by `came`, `gone`
        self.moved: list[Next] = []  # emptied by every `settle`
        self.change(most)

    def change(self, most: int) -> None:
        """The table's size."""
        self.top = max(float(LEAST_AT_ONCE), most * AT_ONCE)

    def saw(self, servers: Container[str]) -> None:
        """Who is there: the rest is forgotten once nobody waits for it."""
        for name in [name for name in self.doors if name not in servers]:
            if not (self.doors[name].waiting or self.doors[name].out):
                del self.doors[name]

    def ask(self, now: float, key: int, server: str) -> bool:
        """A connect is wanted. False where the connection was tried often enough."""
        if self.tries.get(key, 0) >= TRIES:
            return False
        self.tries[key] = self.tries.get(key, 0) + 1
        if (door := self.doors.get(server)) is None:
            door = self.doors[server] = Door(self.top)
        door.waiting[key] = now
        self.wanted[server], self.where[key] = door, server
        return True

    def came(self, now: float, key: int) -> None:
        """Connected: it is no connect any more."""
        door, took = self._back(now, key)
        del self.tries[key]
        door.failed, door.again_at = 0, 0.0
        if took > SLOW:
            door.narrow(now)
        else:
            door.window = min(self.top, door.window + 1 / door.window)

    def failed(self, now: float, key: int) -> None:
        """Refused, reset, unreachable, or too late."""
        server = self.where[key]
        door, _ = self._back(now, key)
        door.narrow(now)
        door.failed += 1
        pause = min(PAUSE_TOP, PAUSE * 2 ** min(door.failed, 16))
        door.again_at = now + self.rng.uniform(PAUSE / 2, pause)
        if door.failed >= SURE:
            for waits in list(door.waiting):
                self._move_on(waits, server)

    def gone(self, key: int) -> None:
        """Nobody wants it any more, wherever it stands."""
        self.tries.pop(key, None)
        server = self.where.pop(key, None)
        if server is None:
            return
        door = self.doors[server]
        door.waiting.pop(key, None)
        if self.out.pop(key, None) is not None:
            door.out -= 1

    def settle(self, now: float) -> list[Action]:
        for server, door in list(self.wanted.items()):
            for key, since in list(door.waiting.items()):
                if now < since + PATIENCE:
                    break
                self._move_on(key, server)
        actions: list[Action] = list(self.moved)
        self.moved.clear()
        for server, door in list(self.wanted.items()):
            while door.waiting and door.room(now):
                key = next(iter(door.waiting))
                del door.waiting[key]
                door.out += 1
                self.out[key] = now
                actions.append(Open(key, server))
            if not door.waiting:
                del self.wanted[server]
        return actions

    def late(self, now: float) -> list[int]:
        """Those that are out for too long. Whoever asks looks once more whether they came, and says."""
        found = []
        for key, since in self.out.items():
            if now < since + TIMEOUT:
                break
            found.append(key)
        return found

    def next(self, now: float) -> float:
        """The next moment at which `settle` or `late` may say something else though nothing was told."""
        moments = [next(iter(self.out.values())) + TIMEOUT] if self.out else []
        for door in self.wanted.values():
            if door.waiting:
                moments.append(next(iter(door.waiting.values())) + PATIENCE)
            if door.again_at > now and not door.out:
                moments.append(door.again_at)
        return now if self.moved else min(moments, default=float("inf"))

    def _back(self, now: float, key: int) -> tuple[Door, float]:
        door = self.doors[self.where.pop(key)]
        door.out -= 1
        return door, now - self.out.pop(key)

    def _move_on(self, key: int, server: str) -> None:
        del self.doors[server].waiting[key]
        del self.where[key]
        self.moved.append(Next(key, server))
