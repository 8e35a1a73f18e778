"""Routers for fault-injection tests: their connections to app servers, and all that was asked on them."""

from __future__ import annotations

import itertools
from collections.abc import Collection, Sequence
from contextlib import suppress
from typing import NamedTuple

import anyio

from examples.fakes import LOST, Router
from fakes.processes import Drill

OPEN = 32  # requests of one connection, as the protocol has it
SPARE = 12  # of them, for what is asked beside a trickle
EVERY = 0.03  # seconds between the requests of a trickle
PATIENCE = 30.0  # seconds for what comes, on however busy a machine
ALLOW = 2.0  # seconds that a router waits for a try, as the try tells


class Asked(NamedTuple):
    router: Router
    number: int
    body: bytes


class Routers:
    """Routers' connections, one to each app server at a time, and all that was asked on them."""

    def __init__(
        self, here: Drill, kinds: Sequence[str], keyed: Collection[str], allow: float = ALLOW
    ) -> None:
        self.here, self.kinds, self.keyed = here, kinds, keyed
        self.usual = {"allow": f"{allow * 1000:.0f}"}  # fields of every request
        self.sending, self.over = anyio.Lock(), False
        self.asked: list[Asked] = []  # as long as the drill
        self.lines: dict[str, Router] = {}

    async def connect(self, name: str) -> Router:
        router = await Router.connect(self.here.tasks, "127.0.0.1", self.here[name].listen)
        self.here.tasks.start_soon(self._leave, router)
        return router

    async def _leave(self, router: Router) -> None:
        """Told `leaving`, a router closes once all on the connection is answered."""
        await router.until(lambda: router.closed or (router.notices and not self.open(router)), 10 * PATIENCE)
        await anyio.aclose_forcefully(router.stream)

    def open(self, router: Router) -> int:
        return sum(one.router is router and one.number not in router.answers for one in self.asked)

    async def ask(self, name: str, kind: str | None = None) -> Asked:
        """One request, of the first class where none is named; two tries of it where it is keyed."""
        kind = kind or self.kinds[0]
        async with self.sending:
            router = self.lines.get(name)
            if router is None or router.closed or router.notices:
                router = self.lines[name] = await self.connect(name)
            body = f"{name} {len(self.asked)}".encode()
            fields, tries = ({"replay": body.hex()}, 2) if kind in self.keyed else ({}, 1)
            frames = [router.frame(kind, body, **self.usual, **fields) for _ in range(tries)]
            await router.stream.send(b"".join(data for _, data in frames))  # one that fails owes nothing
            self.asked += [Asked(router, number, body) for number, _ in frames]
            return self.asked[-1]

    async def each(self, name: str, times: int = 1) -> None:
        for kind in [*self.kinds] * times:
            await self.ask(name, kind)

    async def half(self, name: str) -> tuple[Router, bytes]:
        """Half a request on a connection of its own, which stays open for the rest that is given back."""
        router = await self.connect(name)
        await router.answer(await router.check())
        body = f"{name} half {id(router)}".encode()
        number, data = router.frame(self.kinds[0], body, **self.usual)
        await router.stream.send(data[:40])
        self.asked.append(Asked(router, number, body))
        return router, data[40:]

    async def trickle(self, name: str) -> None:
        """All classes in turn, until the app server is told to leave, or is killed."""
        for kind in itertools.cycle(self.kinds):
            line = self.lines.get(name)
            if self.over or not self.here[name].runs or (line is not None and line.notices):
                return
            if line is None or line.closed or self.open(line) < OPEN - SPARE:
                with suppress(OSError, *LOST):
                    await self.ask(name, kind)
            await anyio.sleep(EVERY)

    async def served(self, name: str) -> bool:
        """Whether a request on a new connection is."""
        self.lines.pop(name, None)
        one = await self.ask(name)
        return (await one.router.answer(one.number, PATIENCE))[0] is None
