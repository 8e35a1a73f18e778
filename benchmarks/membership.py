"""Members in simulated time, beside leases told to all. `python -m benchmarks.membership`: one table, or JSON
lines with `--json`.

`Simulated` is also what the tests play faults with: real decisions, no sockets, a clock of its own for each
process, one seed. Seconds of simulated time are exact; microseconds are this machine's, so quote the ratios.
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
from thymeyoke.membership.failure_detector import Known, Layer, Said
from thymeyoke.membership.gossip import Kind, Message, Noted, Send
from thymeyoke.membership.view import Load, Snapshot, State, Trust

DELAY = 0.002  # seconds of one way
HEAD = 110  # octets of a notification's head, about, with its MAC
MEMBERS = (3, 64, 300, 1024)
MISSED = 3  # leases that a member of the other way must miss to be dead


class Process:
    """One member. `skew`: seconds that its clock is ahead of the others'."""

    def __init__(self, name: str, address: str, membership: Membership, skew: float) -> None:
        self.name, self.address, self.membership, self.skew = name, address, membership, skew
        self.alive, self.stopped = True, False
        self.inbox: list[Message] = []  # what came while it stood still
        self.notes: Counter[str] = Counter()
        self.messages = self.octets = 0  # out


class Simulated:
    """Processes and what lies between them. `passes(from, to)`, by names, says whether a message comes
    through; besides, a share `loss` of them is lost."""

    def __init__(self, seed: int = 1, period: float = 1.0, loss: float = 0.0, weigh: bool = False) -> None:
        self.rng, self.period, self.loss, self.weigh = Random(seed), period, loss, weigh
        self.now = 1000.0
        self.processes: dict[str, Process] = {}  # by name, the last that was started
        self.by_address: dict[str, Process] = {}
        self.events: list[tuple[float, int, Process, Message | None]] = []
        self.count = 0
        self.passes: Callable[[str, str], bool] = lambda one, other: True
        self.deaths: list[tuple[float, str, str]] = []  # when, who found it, whom

    def start(
        self, name: str, node: bool = False, others: Iterable[str] = (), address: str = "", skew: float = 0.0,
        state: State = State.SERVING, incarnation: int | None = None, **figures: Any,
    ) -> Process:  # fmt: skip
        """`others`: names of processes that were started before, or addresses."""
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
        """Processes that know each other already: what a calm fleet looks like."""
        all_ = [self.start(f"m{at}", at < nodes) for at in range(many)]
        own = [Said(one.membership.own) for one in all_]
        for one in all_:
            for said in own:
                if said.snapshot.name != one.name:
                    one.membership._said(self.now, said, set())
            one.membership.fresh.told.clear()
        return all_

    def kill(self, name: str) -> None:
        self.processes[name].alive = False

    def stop(self, name: str) -> None:
        self.processes[name].stopped = True

    def go_on(self, name: str) -> None:
        """Woken: it reads first what had come in."""
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
                if one.stopped or self.now + one.skew < one.membership.next(self.now + one.skew) - 1e-9:
                    continue
            elif one.stopped:
                one.inbox.append(message)
                continue
            else:
                self._hear(one, message)
            self._settle(one)
        self.now = until

    def until(self, true: Callable[[], Any], most: float, step: float = 0.25) -> float:
        """Seconds until it holds; `most` and a step where it does not."""
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
        """Whether each of `on` is sure of just these."""
        wanted = set(there)
        return all(
            {name for name, member in self.view(one).members.items() if member.there} == wanted
            and all(member.trust == Trust.SURE for member in self.view(one).members.values() if member.there)
            for one in on
        )

    def _hear(self, one: Process, message: Message) -> None:
        one.membership.heard(self.now + one.skew, message.me.snapshot.address, message)

    def _settle(self, one: Process) -> None:
        for action in one.membership.settle(self.now + one.skew):
            if isinstance(action, Noted):
                one.notes[action.what] += 1
                if action.what == "now_dead":
                    self.deaths.append((self.now, one.name, action.name))
                continue
            self._carry(one, action)
        self._wake(one)

    def _carry(self, one: Process, send: Send) -> None:
        one.messages += 1
        if self.weigh:
            octets = len(wire.encode(send.message))
            one.octets += octets + HEAD * max(1, ceil(octets / wire.PART))
        other = self.by_address.get(send.to)
        if other is None or not self.passes(one.name, other.name) or self.rng.random() < self.loss:
            return
        self.count += 1
        heappush(self.events, (self.now + DELAY, self.count, other, send.message))

    def _wake(self, one: Process) -> None:
        at = one.membership.next(self.now + one.skew) - one.skew
        if at < float("inf"):
            self.count += 1
            heappush(self.events, (max(self.now, at), self.count, one, None))


# Leases on snapshots to all, as the other way: everybody tells everybody each period, and whoever is not
# heard for `MISSED` periods is dead, until heard again.


def leases(many: int, period: float, loss: float, span: float, seed: int) -> tuple[float, int]:
    """Time to find a death, as the mean over members, and how often one that lives was found dead, in all."""
    rng = Random(seed)
    pairs = min(many * (many - 1), 4096)  # independent of each other: a sample of them, and then the whole
    false = 0
    for _ in range(pairs):
        missed = 0
        for _ in range(int(span / period)):
            missed = missed + 1 if rng.random() < loss else 0
            false += missed == MISSED
    found = statistics.mean((MISSED + rng.random()) * period for _ in range(1024))
    return found, round(false * many * (many - 1) / pairs)


def figures_octets() -> int:
    """Of one lease: a snapshot alone, in its notification."""
    simulated = Simulated()
    one = simulated.start("app-server-100", serves="192.0.2.100:7001", connections=100, room=4000)
    other = simulated.start("app-server-101", others=["app-server-100"])
    other.membership.settle(simulated.now + 1.0)
    said = Said(one.membership.own)
    return len(wire.encode(Message(Kind.PUSH, said, 1.0))) + HEAD


# Rows.


def calm(many: int) -> list[dict[str, Any]]:
    """Messages and octets a second and member, once all is quiet; then one death."""
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
    """Deaths that were none, at losses and with one way cut between two."""
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
        # By leases m1 never hears m0 again: dead there for good, with everybody else seeing it alive.
        rows.append(row(f"{n} members, one way cut, {span:.0f} s: false deaths", wrong, "", float(wrong)))
        rows.append(row(f"{n} members, one way cut, {span:.0f} s: times unsure", unsure, "", None))
    return rows


def each(what: Callable[[], Any], least: float = 0.3) -> float:
    """Microseconds a call, the best of several spans."""
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
    known = Known(now, Said(full, 0.0, Layer.DETAIL))
    sequence = iter(range(10, 1 << 40))

    def merge() -> None:
        known.take(now, Said(full._replace(sequence=next(sequence)), 0.0, Layer.DETAIL))

    theirs = simulated.processes["m2"]
    many = sorted(simulated.processes)[3:33]

    def hear() -> None:
        sequence_now = next(sequence)
        owns = (simulated.processes[name].membership.own for name in many)
        said = tuple(Said(own._replace(sequence=sequence_now)) for own in owns)
        me = Said(theirs.membership.own._replace(sequence=sequence_now))
        one.membership.heard(now, theirs.address, Message(Kind.PUSH, me, 1.0, said=said))
        one.membership.out.clear()

    message = Message(Kind.PUSH, Said(full, 0.0, Layer.DETAIL), 1.0)
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
    """By arithmetic: periods until a death is suspected, and then found with three who confirm."""
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
