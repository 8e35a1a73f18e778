"""Members in simulated time: the decisions as they stand, one `Membership` a process, messages that are late
and lost, ways that are cut. Spans are seconds; the period is 1 s.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random

from fakes.simulated_fleet import Net, World
from thymeyoke.membership import wire
from thymeyoke.membership.controller import Membership
from thymeyoke.membership.failure_detector import Stand
from thymeyoke.membership.gossip import Message, Send
from thymeyoke.membership.view import Load, Snapshot, State

PERIOD = 1.0
LATE_LEAST, LATE_MOST = 0.001, 0.02
BEGINS = 1_700_000_000_000  # milliseconds, of the clock that incarnations are taken from
STEP = 0.1  # between two looks at whether all agree


class Talker:
    """One life of one process."""

    def __init__(self, talk: Talk, name: str, node: bool, address: str) -> None:
        self.talk, self.name, self.address, self.alive = talk, name, address, True
        world = talk.world
        loads = tuple(Load(f"t{at:04}", 40 - at, 0.5) for at in range(16)) if node else ()
        own = Snapshot(
            name, node, BEGINS + int(world.now * 1000), 0, State.SERVING, address,
            "" if node else "10.9.9.9:80", connections=200, room=1000, loads=loads,
            holds=tuple(one.tenant for one in loads))  # fmt: skip
        rng = Random(f"{world.seed} {name} {world.now}")
        self.membership = Membership(world.now, own, tuple(talk.seeds), rng, PERIOD)
        self.wake_at = inf
        self.settle()

    def settle(self) -> None:
        """Whatever is due now; called when something was heard, and at the moment that `next` names."""
        if not self.alive:
            return
        now = self.talk.world.now
        for action in self.membership.settle(now):
            if isinstance(action, Send):
                self.talk.send(self, action)
            elif action.what == "now_dead":
                self.talk.found_dead(self, action.name)
        moment = self.membership.next(now)
        if moment < self.wake_at or self.wake_at <= now:
            self.wake_at = moment
            if moment < inf:
                self.talk.world.at(moment, self._wake, moment)

    def _wake(self, moment: float) -> None:
        if moment == self.wake_at:
            self.wake_at = inf
            self.settle()

    def hear(self, sender: str, message: Message) -> None:
        if self.alive:
            self.membership.heard(self.talk.world.now, sender, message)
            self.settle()

    def stand(self, name: str) -> Stand:
        known = self.membership.known.get(name)
        return Stand.UNKNOWN if known is None else known.stand

    def life(self, name: str) -> int:
        known = self.membership.known.get(name)
        return -1 if known is None else known.figures.incarnation


class Talk:
    """All processes. The first three are the seeds of the others."""

    def __init__(self, seed: int, servers: int, nodes: int, loss: float = 0.01) -> None:
        self.world = World(seed)
        self.net = Net(self.world, loss)
        self.seeds: list[str] = []
        self.all: dict[str, Talker] = {}
        self.at: dict[str, Talker] = {}  # by address
        self.messages = self.octets = 0
        self.false_deaths: Counter[str] = Counter()  # found dead and alive, by name
        names = [f"n{at:02}" for at in range(nodes)] + [f"s{at:03}" for at in range(servers)]
        self.addresses = {name: f"10.1.{at >> 8}.{at & 255}:6001" for at, name in enumerate(names)}
        self.seeds = [self.addresses[name] for name in names[:3]]
        for name in names:
            self.start(name)

    def start(self, name: str) -> Talker:
        address = self.addresses.setdefault(name, f"10.2.0.{len(self.addresses) & 255}:6001")
        one = self.all[name] = self.at[address] = Talker(self, name, name.startswith("n"), address)
        return one

    def kill(self, name: str) -> None:
        self.all[name].alive = False

    def leave(self, name: str) -> None:
        one = self.all[name]
        one.membership.leave(self.world.now)
        one.settle()
        one.alive = False

    def send(self, source: Talker, action: Send) -> None:
        body = wire.encode(action.message)
        self.messages += 1
        self.octets += len(body)
        target = self.at.get(action.to)
        if target is None or not target.alive or not self.net.reaches(source.name, target.name):
            return
        if self.net.loses():
            return
        message = wire.decode(body)
        if message is not None:
            late = self.world.rng.uniform(LATE_LEAST, LATE_MOST)
            self.world.after(late, target.hear, source.address, message)

    def found_dead(self, by: Talker, name: str) -> None:
        if (one := self.all.get(name)) and one.alive:
            self.false_deaths[name] += 1

    def there(self) -> list[Talker]:
        return [one for one in self.all.values() if one.alive]

    def until(self, holds: Callable[[], bool], most: float) -> float:
        """Run on until it holds; how long that took, or inf."""
        began = self.world.now
        while self.world.now < began + most:
            self.world.run(self.world.now + STEP)
            if holds():
                return self.world.now - began
        return inf

    def all_say(self, name: str, *stands: Stand) -> bool:
        return all(one.stand(name) in stands for one in self.there() if one.name != name)

    def some_say(self, name: str, *stands: Stand) -> bool:
        return any(one.stand(name) in stands for one in self.there() if one.name != name)

    def all_have(self, name: str) -> bool:
        """In its present life, and sure."""
        life = self.all[name].membership.own.incarnation
        others = [one for one in self.there() if one.name != name]
        return all(one.stand(name) == Stand.SURE and one.life(name) == life for one in others)

    def agreed(self) -> bool:
        """All that are there have each other, and nobody else."""
        names = {one.name for one in self.there()}
        return all(
            {name for name in one.membership.known if one.stand(name) == Stand.SURE} == names - {one.name}
            for one in self.there()
        )
