"""Membership in simulated time: a real `Membership` per process, delayed and lost messages, cut links.

Times are in seconds; the protocol period is 1 s.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random

from fakes.simulated_fleet import Net, World
from thymeyoke.membership import wire
from thymeyoke.membership.controller import Membership
from thymeyoke.membership.failure_detector import MemberStatus
from thymeyoke.membership.gossip import Message, Send
from thymeyoke.membership.view import Load, Snapshot, State

PERIOD = 1.0
MIN_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.001, 0.02
CLOCK_START_MILLISECONDS = 1_700_000_000_000  # start of the clock from which incarnations are taken
POLL_SECONDS = 0.1  # between two checks of whether all agree


class SimulatedMember:
    """One incarnation of a process."""

    def __init__(self, fleet: SimulatedMembers, name: str, node: bool, address: str) -> None:
        self.fleet, self.name, self.address, self.alive = fleet, name, address, True
        world = fleet.world
        loads = tuple(Load(f"t{at:04}", 40 - at, 0.5) for at in range(16)) if node else ()
        own_snapshot = Snapshot(
            name, node, CLOCK_START_MILLISECONDS + int(world.now * 1000), 0, State.SERVING, address,
            "" if node else "10.9.9.9:80", connections=200, room=1000, loads=loads,
            holds=tuple(load.tenant for load in loads))  # fmt: skip
        rng = Random(f"{world.seed} {name} {world.now}")
        self.membership = Membership(world.now, own_snapshot, tuple(fleet.seeds), rng, PERIOD)
        self.wake_at = inf
        self.run_due_actions()

    def run_due_actions(self) -> None:
        """Carry out all due actions; called after each received message and at `next_advance_at`."""
        if not self.alive:
            return
        now = self.fleet.world.now
        for action in self.membership.advance(now):
            if isinstance(action, Send):
                self.fleet.send(self, action)
            elif action.event == "now_dead":
                self.fleet.declared_dead(self, action.name)
        wake_time = self.membership.next_advance_at(now)
        if wake_time < self.wake_at or self.wake_at <= now:
            self.wake_at = wake_time
            if wake_time < inf:
                self.fleet.world.at(wake_time, self._wake, wake_time)

    def _wake(self, wake_time: float) -> None:
        if wake_time == self.wake_at:
            self.wake_at = inf
            self.run_due_actions()

    def receive(self, sender: str, message: Message) -> None:
        if self.alive:
            self.membership.receive(self.fleet.world.now, sender, message)
            self.run_due_actions()

    def status(self, name: str) -> MemberStatus:
        known = self.membership.known.get(name)
        return MemberStatus.UNKNOWN if known is None else known.status

    def incarnation(self, name: str) -> int:
        known = self.membership.known.get(name)
        return -1 if known is None else known.figures.incarnation


class SimulatedMembers:
    """All processes; the first three are the seeds of the others."""

    def __init__(self, seed: int, servers: int, nodes: int, loss: float = 0.01) -> None:
        self.world = World(seed)
        self.net = Net(self.world, loss)
        self.seeds: list[str] = []
        self.all: dict[str, SimulatedMember] = {}
        self.at: dict[str, SimulatedMember] = {}  # by address
        self.messages = self.octets = 0
        self.false_deaths: Counter[str] = Counter()  # live processes declared dead, by name
        names = [f"n{at:02}" for at in range(nodes)] + [f"s{at:03}" for at in range(servers)]
        self.addresses = {name: f"10.1.{at >> 8}.{at & 255}:6001" for at, name in enumerate(names)}
        self.seeds = [self.addresses[name] for name in names[:3]]
        for name in names:
            self.start(name)

    def start(self, name: str) -> SimulatedMember:
        address = self.addresses.setdefault(name, f"10.2.0.{len(self.addresses) & 255}:6001")
        member = self.all[name] = self.at[address] = SimulatedMember(
            self, name, name.startswith("n"), address
        )
        return member

    def kill(self, name: str) -> None:
        self.all[name].alive = False

    def leave(self, name: str) -> None:
        member = self.all[name]
        member.membership.leave(self.world.now)
        member.run_due_actions()
        member.alive = False

    def send(self, source: SimulatedMember, action: Send) -> None:
        body = wire.encode(action.message)
        self.messages += 1
        self.octets += len(body)
        target = self.at.get(action.address)
        if target is None or not target.alive or not self.net.reaches(source.name, target.name):
            return
        if self.net.loses():
            return
        message = wire.decode(body)
        if message is not None:
            delay = self.world.rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
            self.world.after(delay, target.receive, source.address, message)

    def declared_dead(self, by: SimulatedMember, name: str) -> None:
        if (member := self.all.get(name)) and member.alive:
            self.false_deaths[name] += 1

    def alive_members(self) -> list[SimulatedMember]:
        return [member for member in self.all.values() if member.alive]

    def run_until(self, condition: Callable[[], bool], timeout: float) -> float:
        """Run until the condition holds; return the seconds that took, or inf after the timeout."""
        began = self.world.now
        while self.world.now < began + timeout:
            self.world.run(self.world.now + POLL_SECONDS)
            if condition():
                return self.world.now - began
        return inf

    def all_report(self, name: str, *statuses: MemberStatus) -> bool:
        return all(member.status(name) in statuses for member in self.alive_members() if member.name != name)

    def some_report(self, name: str, *statuses: MemberStatus) -> bool:
        return any(member.status(name) in statuses for member in self.alive_members() if member.name != name)

    def all_know(self, name: str) -> bool:
        """Whether all processes trust this one in its current incarnation."""
        incarnation = self.all[name].membership.own.incarnation
        others = [member for member in self.alive_members() if member.name != name]
        return all(
            member.status(name) == MemberStatus.SURE and member.incarnation(name) == incarnation
            for member in others
        )

    def all_agree(self) -> bool:
        """Whether each live process trusts exactly all other live processes."""
        names = {member.name for member in self.alive_members()}
        return all(
            {name for name in member.membership.known if member.status(name) == MemberStatus.SURE}
            == names - {member.name}
            for member in self.alive_members()
        )
