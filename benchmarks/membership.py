"""Membership in simulated time, compared with leases sent to all. `python -m benchmarks.membership` prints a
table, or JSON lines with `--json`.

Tests use `Simulated` as well: the real protocol without sockets, a clock for each process, one seed. Seconds
are simulated and exact; microseconds depend on the machine, so compare the ratios.
"""

from __future__ import annotations

import statistics
import time
from collections import Counter
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from math import ceil, log, log2
from random import Random
from typing import Any

import click

from benchmarks import show
from thymeyoke.membership import wire
from thymeyoke.membership.controller import Membership
from thymeyoke.membership.failure_detector import Announcement, KnownMember, SnapshotLayer
from thymeyoke.membership.gossip import LogEvent, Message, MessageKind, Send
from thymeyoke.membership.view import Load, Snapshot, State, Trust

DELAY = 0.002  # seconds, in one direction
HEAD = 110  # approximate bytes of a notification's head, with its MAC
MEMBERS = (3, 64, 300, 1024)
MISSED = 3  # leases that a member must miss to be declared dead


class Process:
    """One member. `skew`: seconds by which its clock is ahead of the others."""

    def __init__(self, name: str, address: str, membership: Membership, skew: float) -> None:
        self.name, self.address, self.membership, self.skew = name, address, membership, skew
        self.alive, self.stopped = True, False
        self.inbox: list[Message] = []  # received while it was stopped
        self.notes: Counter[str] = Counter()
        self.messages = self.octets = 0  # sent


class Simulated:
    """Processes and the network between them. `passes(sender, receiver)`, by name, tells whether a message
    gets through; in addition, a share `loss` of all messages is lost."""

    def __init__(self, seed: int = 1, period: float = 1.0, loss: float = 0.0, weigh: bool = False) -> None:
        self.rng, self.period, self.loss, self.weigh = Random(seed), period, loss, weigh
        self.now = 1000.0
        self.processes: dict[str, Process] = {}  # by name, the latest incarnation
        self.by_address: dict[str, Process] = {}
        self.events: list[tuple[float, int, Process, Message | None]] = []
        self.count = 0
        self.passes: Callable[[str, str], bool] = lambda one, other: True
        self.deaths: list[tuple[float, str, str]] = []  # time, who declared it, name

    def start(
        self, name: str, node: bool = False, others: Iterable[str] = (), address: str = "", skew: float = 0.0,
        state: State = State.SERVING, incarnation: int | None = None, **figures: Any,
    ) -> Process:  # fmt: skip
        """Start a process; `others`: its seeds, as names of processes already started or as addresses."""
        count = len(self.by_address)
        address = address or f"10.{count >> 14 & 255}.{count >> 7 & 127}.{count % 128 + 1}:6001"
        seeds = tuple(self.processes[one].address if one in self.processes else one for one in others)
        clock = self.now + skew
        life = int(clock * 1000) if incarnation is None else incarnation
        own = Snapshot(name, node, life, 0, state, address, **figures)
        rng = Random(self.rng.getrandbits(64))
        one = Process(name, address, Membership(clock, own, seeds, rng, self.period), skew)
        self.processes[name] = self.by_address[address] = one
        self._wake(one)
        return one

    def fleet(self, many: int, nodes: int) -> list[Process]:
        """Start processes that already know each other."""
        all_ = [self.start(f"m{at}", at < nodes) for at in range(many)]
        own = [Announcement(one.membership.own) for one in all_]
        for one in all_:
            for said in own:
                if said.snapshot.name != one.name:
                    one.membership._apply_announcement(self.now, said, set())
            one.membership.gossip.transmissions.clear()
        return all_

    def kill(self, name: str) -> None:
        self.processes[name].alive = False

    def stop(self, name: str) -> None:
        self.processes[name].stopped = True

    def go_on(self, name: str) -> None:
        """Resume a stopped process, which first reads the messages received meanwhile."""
        one = self.processes[name]
        one.stopped, waiting, one.inbox = False, one.inbox, []
        for message in waiting:
            self._hear(one, message)
        self._settle(one)

    def run(self, span: float) -> None:
        until = self.now + span
        while self.events and self.events[0][0] <= until:
            self.now, _, one, message = heappop(self.events)
            if not one.alive:
                continue
            if message is None:
                if (
                    one.stopped
                    or self.now + one.skew < one.membership.next_advance_at(self.now + one.skew) - 1e-9
                ):
                    continue
            elif one.stopped:
                one.inbox.append(message)
                continue
            else:
                self._hear(one, message)
            self._settle(one)
        self.now = until

    def until(self, true: Callable[[], Any], most: float, step: float = 0.25) -> float:
        """Run until the condition holds; return the seconds, or more than `most` if it does not."""
        began = self.now
        while not true() and self.now - began <= most:
            self.run(step)
        return self.now - began

    def trust(self, of: str, name: str) -> Trust | None:
        member = self.view(of).members.get(name)
        return None if member is None else member.trust

    def view(self, of: str) -> Any:
        one = self.processes[of]
        return one.membership.view(self.now + one.skew)

    def agree(self, on: Iterable[str], there: Iterable[str]) -> bool:
        """Whether each of `on` is sure of exactly the processes `there`."""
        wanted = set(there)
        return all(
            {name for name, member in self.view(one).members.items() if member.is_present} == wanted
            and all(
                member.trust == Trust.SURE for member in self.view(one).members.values() if member.is_present
            )
            for one in on
        )

    def _hear(self, one: Process, message: Message) -> None:
        one.membership.receive(self.now + one.skew, message.sender.snapshot.address, message)

    def _settle(self, one: Process) -> None:
        for action in one.membership.advance(self.now + one.skew):
            if isinstance(action, LogEvent):
                one.notes[action.event] += 1
                if action.event == "now_dead":
                    self.deaths.append((self.now, one.name, action.name))
                continue
            self._carry(one, action)
        self._wake(one)

    def _carry(self, one: Process, send: Send) -> None:
        one.messages += 1
        if self.weigh:
            octets = len(wire.encode(send.message))
            one.octets += octets + HEAD * max(1, ceil(octets / wire.MAX_PART_BYTES))
        other = self.by_address.get(send.address)
        if other is None or not self.passes(one.name, other.name) or self.rng.random() < self.loss:
            return
        self.count += 1
        heappush(self.events, (self.now + DELAY, self.count, other, send.message))

    def _wake(self, one: Process) -> None:
        at = one.membership.next_advance_at(self.now + one.skew) - one.skew
        if at < float("inf"):
            self.count += 1
            heappush(self.events, (max(self.now, at), self.count, one, None))


# For comparison, leases: every member sends to every other one in each period, and a member from which
# nothing arrives for `MISSED` periods is dead until something arrives again.


def leases(many: int, period: float, loss: float, span: float, seed: int) -> tuple[float, int]:
    """Mean time to detect a death, and the total number of false deaths."""
    rng = Random(seed)
    pairs = min(many * (many - 1), 4096)  # they are independent, so a sample is scaled up
    false = 0
    for _ in range(pairs):
        missed = 0
        for _ in range(int(span / period)):
            missed = missed + 1 if rng.random() < loss else 0
            false += missed == MISSED
    found = statistics.mean((MISSED + rng.random()) * period for _ in range(1024))
    return found, round(false * many * (many - 1) / pairs)


def figures_octets() -> int:
    """Bytes of one lease: one snapshot in a notification."""
    simulated = Simulated()
    one = simulated.start("app-server-100", serves="192.0.2.100:7001", connections=100, room=4000)
    other = simulated.start("app-server-101", others=["app-server-100"])
    other.membership.advance(simulated.now + 1.0)
    said = Announcement(one.membership.own)
    return len(wire.encode(Message(MessageKind.PUSH, said, 1.0))) + HEAD


# Rows.


def calm(many: int) -> list[dict[str, Any]]:
    """Messages and bytes per second and member in a stable fleet, then the detection of one death."""
    nodes = min(8, many // 3)
    simulated = Simulated(seed=many, weigh=True)
    all_ = simulated.fleet(many, nodes)
    span = 20.0 if many < 1000 else 6.0
    simulated.run(span / 2)
    before = [(one.messages, one.octets) for one in all_]
    simulated.run(span)
    rows = []
    lease = (many - 1, (many - 1) * figures_octets())
    kinds = (("node", all_[:nodes]), ("app server", all_[nodes:]))
    for kind, some in kinds:
        at = {one.name: each for one, each in zip(all_, before, strict=True)}
        messages = statistics.mean(one.messages - at[one.name][0] for one in some) / span
        octets = statistics.mean(one.octets - at[one.name][1] for one in some) / span
        rows.append(row(f"{many} members, {kind}: messages a second", messages, "", messages / lease[0]))
        rows.append(row(f"{many} members, {kind}: octets a second", octets, "B", octets / lease[1]))
    simulated.weigh = False
    victim = all_[-1].name
    simulated.kill(victim)
    began = simulated.now
    others = len(all_) - 1
    simulated.until(lambda: len({by for _, by, whom in simulated.deaths if whom == victim}) == others, 90.0)
    found = sorted(at - began for at, _, whom in simulated.deaths if whom == victim)
    lease_found = leases(many, 1.0, 0.0, 1.0, 1)[0]
    rows.append(row(f"{many} members: a death found by the first", found[0], "s", found[0] / lease_found))
    rows.append(row(f"{many} members: a death found by all", found[-1], "s", found[-1] / lease_found))
    false = len([1 for _, _, whom in simulated.deaths if whom != victim])
    rows.append(row(f"{many} members: found dead that live", false, "", None))
    return rows


def faults(many: int = 64, span: float = 300.0) -> list[dict[str, Any]]:
    """False deaths, with lost messages and with a link cut in one direction."""
    rows = []
    for loss in (0.01, 0.1):
        simulated = Simulated(seed=7, loss=loss)
        simulated.fleet(many, 4)
        simulated.run(span)
        wrong, unsure = len(simulated.deaths), sum(
            one.notes["now_unsure"] for one in simulated.processes.values())  # fmt: skip
        lease = leases(many, 1.0, loss, span, 7)[1]
        what = f"{many} members, {loss:.0%} lost, {span:.0f} s: "
        rows.append(row(what + "false deaths", wrong, "", wrong / lease if lease else None))
        rows.append(row(what + "times unsure", unsure, "", None))
        rows.append(row(what + "false deaths by leases", lease, "", 1.0 if lease else None))
    for n in (3, many):
        simulated = Simulated(seed=9)
        simulated.fleet(n, 2)
        simulated.passes = lambda one, other: (one, other) != ("m0", "m1")
        simulated.run(span)
        wrong, unsure = len(simulated.deaths), sum(
            one.notes["now_unsure"] for one in simulated.processes.values())  # fmt: skip
        # With leases m1 would never receive from m0 again, and m0 stay dead for m1 but alive for all others.
        rows.append(row(f"{n} members, one way cut, {span:.0f} s: false deaths", wrong, "", float(wrong)))
        rows.append(row(f"{n} members, one way cut, {span:.0f} s: times unsure", unsure, "", None))
    return rows


def each(what: Callable[[], Any], least: float = 0.3) -> float:
    """Microseconds per call, the best of several measurements."""
    best, many = float("inf"), 1
    began = time.perf_counter()
    while time.perf_counter() - began < least:
        at = time.perf_counter()
        for _ in range(many):
            what()
        took = time.perf_counter() - at
        best, many = min(best, took / many), many * 2 if took < least / 20 else many
    return best * 1e6


def speed() -> list[dict[str, Any]]:
    simulated = Simulated()
    one = simulated.fleet(1024, 8)[0]
    now = simulated.now + 1.0
    loads = tuple(Load(f"tenant-{at:04}", at, 0.5) for at in range(1000))
    full = one.membership.own._replace(name="m1", loads=loads)
    known = KnownMember(now, Announcement(full, 0.0, SnapshotLayer.DETAIL))
    sequence = iter(range(10, 1 << 40))

    def merge() -> None:
        known.update(now, Announcement(full._replace(sequence=next(sequence)), 0.0, SnapshotLayer.DETAIL))

    theirs = simulated.processes["m2"]
    many = sorted(simulated.processes)[3:33]

    def hear() -> None:
        sequence_now = next(sequence)
        owns = (simulated.processes[name].membership.own for name in many)
        said = tuple(Announcement(own._replace(sequence=sequence_now)) for own in owns)
        me = Announcement(theirs.membership.own._replace(sequence=sequence_now))
        one.membership.receive(now, theirs.address, Message(MessageKind.PUSH, me, 1.0, announcements=said))
        one.membership.outbox.clear()

    message = Message(MessageKind.PUSH, Announcement(full, 0.0, SnapshotLayer.DETAIL), 1.0)
    packed = wire.encode(message)
    took = each(merge)
    return [
        row("to merge a snapshot of 1,000 loads", took, "us", 1.0),
        row("to hear a message with 30 snapshots, all new", (heard := each(hear)), "us", heard / took),
        row("to make a view of 1,024", (v := each(lambda: one.membership.view(now))), "us", v / took),
        row("to write 1,000 loads", (w := each(lambda: wire.encode(message))), "us", w / took),
        row("to read 1,000 loads", (r := each(lambda: wire.decode(packed))), "us", r / took),
    ]


def row(what: str, value: float, unit: str, ratio: float | None) -> dict[str, Any]:
    return {"what": what, "value": float(value), "unit": unit, "ratio": ratio}


def least_found(many: int) -> float:
    """Calculated periods until a death is suspected, and then declared with three confirmations."""
    return 1 / (1 - (1 - 1 / (many - 1)) ** (many - 1)) + 1 + 3 * max(1.0, log(many, 10))


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--most", default=1024, help="members of the largest fleet")
def main(as_json: bool, most: int) -> None:
    rows = speed()
    for many in MEMBERS:
        if many <= most:
            rows += calm(many)
            rows.append(row(f"{many} members: a death found, by arithmetic", least_found(many), "s", None))
            rows.append(row(f"{many} members: times that news is told", ceil(3 * log2(many + 2)), "", None))
    show(rows + faults(), as_json)


if __name__ == "__main__":
    main()
