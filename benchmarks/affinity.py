"""Session affinity: costs of assignments and bindings, and how many clients each kind of change moves.
`python -m benchmarks.affinity`.

Prints a table, or JSON lines with `--json`. The second part runs in simulated time: many nodes without
sockets. Times depend on the machine; compare the ratios.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from typing import Any

import click

from benchmarks import show
from fakes.simulated_affinity import World
from thymeyoke.affinity import wire
from thymeyoke.affinity.clients import client_key
from thymeyoke.affinity.controller import AffinityTable
from thymeyoke.affinity.messages import LogChunk
from thymeyoke.affinity.rendezvous import RendezvousHash, hash_parameters
from thymeyoke.membership.view import Member, Snapshot, State, Trust, View

LINGER, MARGIN, OLD = 17.6, 2.2, 1e6
SERVERS = 300
Row = dict[str, Any]


def row(what: str, value: float, unit: str, base: float | None = None) -> Row:
    return {"what": what, "value": value, "unit": unit, "ratio": value / base if base else None}


def numbers(count: int) -> list[int]:
    return [client_key("tenant", f"10.{at >> 16 & 255}.{at >> 8 & 255}.{at & 255}") for at in range(count)]


def names(count: int) -> list[str]:
    return [f"server-{at}" for at in range(count)]


def took(act: Callable[[], Any]) -> float:
    begun = time.perf_counter()
    act()
    return time.perf_counter() - begun


class Fleet:
    """The membership: incarnation, state, start and trust of each server, and the nodes."""

    def __init__(self, servers: Iterable[str], nodes: Iterable[str]) -> None:
        self.servers = {name: (1, State.SERVING, -OLD, Trust.SURE) for name in servers}
        self.nodes = dict.fromkeys(nodes, Trust.SURE)

    def view(self, now: float, me: str) -> View:
        members = {name: Member(Snapshot(name, True, 1, 1, State.SERVING, ""), trust, 0.0, 1.0)
                   for name, trust in self.nodes.items()}  # fmt: skip
        for name, (life, state, begun, trust) in self.servers.items():
            said = Snapshot(name, False, life, 1, state, "", since=now - begun)
            members[name] = Member(said, trust, 0.0, 1.0)
        return View(1, now, me, members)


def alone(servers: int, most: int, others: Iterable[str] = ()) -> tuple[AffinityTable, Fleet]:
    """The table of a node that has joined."""
    fleet = Fleet(names(servers), ["a", *others])
    seats = AffinityTable(0.0, "a", LINGER, most, MARGIN)
    for now in (0.0, 2 * MARGIN, 2.1 * MARGIN):
        seats.observe(now, fleet.view(now, "a"))
        seats.advance(now)
    assert seats.has_joined
    return seats, fleet


# Costs.


def choices() -> list[Row]:
    many = numbers(5000)
    seats, fleet = alone(SERVERS, 200_000)
    now = 3 * MARGIN
    modulo = took(lambda: [seats.taking.names[one % SERVERS] for one in many]) / len(many)
    rows = [row("modulo n, 300 servers", modulo * 1e6, "us", modulo * 1e6)]

    def timed(what: str, act: Callable[[int], Any], over: Sequence[Any] = many) -> None:
        spent = min(took(lambda: [act(one) for one in over]) for _ in range(3)) / len(over)
        rows.append(row(what, spent * 1e6, "us", modulo * 1e6))

    sources = [f"10.1.{at >> 8 & 255}.{at & 255}" for at in range(5000)]
    timed("a customer's number from its address", lambda source: client_key("tenant", source), sources)
    timed("first choice of 300 (rendezvous)", seats.taking.first_choice)
    timed("all places of 300, ranked", seats.taking.ranking)
    table = maglev(seats.taking.names)
    timed("first choice of 300 (Maglev)", lambda one: table[one % len(table)])
    timed("seat, no exceptions", lambda one: seats.assign(now, one))
    for count in (10_000, 100_000):
        for one in numbers(count)[len(seats.bindings) :]:
            seats._bind(now, one, seats.taking.names[one % SERVERS])
        unseen = [one ^ 1 for one in many]
        timed(f"seat by hash, {count:,} exceptions", lambda one: seats.assign(now, one), unseen)
        timed(f"seat by exception, {count:,} exceptions", lambda one: seats.assign(now, one))
    fleet.servers["new"] = (1, State.SERVING, now, Trust.SURE)
    seats.observe(now, fleet.view(now, "a"))
    timed("seat while a server ripens", lambda one: seats.assign(now, one), [one ^ 2 for one in many])
    return rows


def memory(count: int) -> list[Row]:
    many = numbers(count)
    rows = []

    def held(what: str, act: Callable[[], Any], per: int) -> None:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        act()
        rows.append(row(what, (tracemalloc.get_traced_memory()[0] - before) / per, "B"))
        tracemalloc.stop()

    seats, fleet = alone(SERVERS, 2 * count)
    now = 3 * MARGIN

    def opened() -> None:
        for one in many:
            seats.connection_opened(now, one, seats.assign(now, one).server)

    held(f"a customer connected, of {count:,}", opened, count)
    fleet.servers["new"] = (1, State.SERVING, now, Trust.SURE)

    def joins() -> None:
        seats.observe(now, fleet.view(now, "a"))
        while seats.clients_to_check:
            seats.advance(now)

    scanned = took(joins)
    rows.append(row("look at all of them as a server joins", scanned * 1e3, "ms"))
    share = count / (SERVERS + 1)
    rows.append(row("exceptions that it makes, beside 1 of 301", len(seats.bindings), "", share))
    for one in many:
        seats.connection_closed(now, one, "")
    full, _ = alone(SERVERS, 2 * count)
    held(f"an exception, of {count:,}", lambda: [full._bind(now, one, "server-1") for one in many], count)
    return rows


def merging(count: int) -> list[Row]:
    """Replicate a full set of bindings from one node's log to another node's table."""
    teller, _ = alone(SERVERS, count, ["b"])
    reader, _ = alone(SERVERS, count, ["b"])
    now = 3 * MARGIN
    for one in numbers(count):
        teller._bind(now, one, teller.taking.names[one % SERVERS])
    pieces: list[LogChunk] = []

    def cut() -> None:
        behind = 0
        while behind < teller.log.head:
            pieces.append(teller._make_chunk(now, behind))
            behind = pieces[-1].end

    spent = [took(cut)]
    bodies: list[bytes] = []
    spent.append(took(lambda: bodies.extend(map(wire.encode, pieces))))
    read: list[Any] = []
    spent.append(took(lambda: read.extend(map(wire.decode, bodies))))
    spent.append(took(lambda: [reader.receive(now, "b", piece) for piece in read]))
    assert reader.bindings.keys() == teller.bindings.keys()
    again = took(lambda: [reader.receive(now, "b", piece) for piece in read])
    what = ("to cut into pieces", "to encode", "to decode", "to merge")
    return [
        *(row(f"{count:,} exceptions {name}", one * 1e3, "ms", spent[3] * 1e3)
          for name, one in zip(what, spent, strict=True)),
        row("to merge once more what is known", again * 1e3, "ms", spent[3] * 1e3),
        row("octets an exception on the wire", sum(map(len, bodies)) / count, "B"),
        row("octets of the longest piece", max(map(len, bodies)), "B"),
    ]  # fmt: skip


# Changes of servers.


def maglev(servers: Sequence[str], size: int = 65_537) -> list[str]:
    """Maglev's table (Eisenbud and others, 2016, section 3.4), for comparison."""
    starts, skips = [], []
    for name in servers:
        made = blake2b(b"maglev " + name.encode(), digest_size=16).digest()
        starts.append(int.from_bytes(made[:8]) % size)
        skips.append(int.from_bytes(made[8:]) % (size - 1) + 1)
    table, at, filled = [-1] * size, list(starts), 0
    while True:
        for one in range(len(servers)):
            place = at[one]
            while table[place] >= 0:
                place = (place + skips[one]) % size
            table[place], at[one] = one, (place + skips[one]) % size
            filled += 1
            if filled == size:
                return [servers[which] for which in table]


def come(world: World, many: Sequence[int]) -> dict[int, str]:
    """Each client opens a connection at a random node; the servers they reach."""
    at = list(world.nodes)
    return {one: world.open_connection(one, world.rng.choice(at)) for one in many}


def half_go(world: World, many: Sequence[int]) -> None:
    """Half of the clients close all their connections."""
    for one in many:
        if world.rng.random() < 0.5:
            world.close_connections(one)


ENDS: dict[str, dict[str, Any]] = {"leaves": {"state": State.LEAVING}, "dies": {"trust": Trust.DEAD}}


def changes(nodes: int, servers: int, customers: int, seed: int) -> list[Row]:
    """For each kind of change, in a fleet of its own: the clients whose server is another one afterwards."""
    some = names(servers)
    tenth = max(1, servers // 10)
    fresh = [f"new-{at}" for at in range(tenth)]
    kinds: dict[
        str, tuple[list[str], list[str], str]
    ] = {  # servers that join, servers that end, other changes
        "a server joins": (fresh[:1], [], ""),
        "a tenth joins": (fresh, [], ""),
        "a server leaves": ([], some[:1], "leaves"),
        "a server dies": ([], some[:1], "dies"),
        "a tenth dies": ([], some[:tenth], "dies"),
        "a server restarts": ([], some[:1], "restarts"),
        "a node joins": ([], [], "node joins"),
        "a node dies as a server joins": (fresh[:1], [], "node dies"),
    }
    rows: list[Row] = []
    many = numbers(customers)
    for kind, (new, end, what) in kinds.items():
        world = World([f"node-{at}" for at in range(nodes)], some, idle_timeout=LINGER, margin=MARGIN,
                      max_bindings=1_000_000, ticks=8, seed=seed)  # fmt: skip
        world.advance(MARGIN)
        before = come(world, many)
        half_go(world, many)
        for name in new:
            world.start_server(name)
        for name in end:
            if what == "restarts":
                world.start_server(name)
            else:
                world.start_server(name, **ENDS[what])
        began, world.sent_bytes = world.now, 0
        while world.now < began + LINGER + 3 * MARGIN:  # all clients return within the idle timeout
            world.advance(LINGER / 2)
            come(world, many)
            half_go(world, many)
            if what == "node joins" and "late" not in world.nodes:
                world.start_node("late")
            elif what == "node dies" and "node-0" in world.nodes:
                world.advance(MARGIN)
                world.kill_node("node-0")
        after = come(world, many)
        moved = sum(before[one] != after[one] and before[one] not in end for one in many)
        needed = sum(before[one] in end for one in many)
        rows.append(row(f"{kind}: moved though their server stays", 100 * moved / customers, "%"))
        rows.append(row("  live seats that changed, by the checker", len(world.violations), ""))
        rows.append(row("  customers of servers that ended", 100 * needed / customers, "%"))
        there = [name for name in [*some, *new] if name not in end or what == "restarts"]
        for way, choose in plain(some, there).items():
            both = [choose(one) for one in many]
            share = 100 * sum(one != two and one not in end for one, two in both) / customers
            rows.append(row(f"  {way}, without exceptions", share, "%"))
        rows.append(row("  exceptions told", sum(len(seats.log) for seats in world.nodes.values()), ""))
        rows.append(row("  octets between nodes", world.sent_bytes / 1e6, "MB"))
    return rows


def plain(before: Sequence[str], after: Sequence[str]) -> dict[str, Callable[[int], tuple[str, str]]]:
    old, new = RendezvousHash(before), RendezvousHash(after)
    then, now = maglev(before), maglev(after)
    return {
        "modulo n": lambda one: (before[one % len(before)], after[one % len(after)]),
        "Maglev": lambda one: (then[one % len(then)], now[one % len(now)]),
        "rendezvous": lambda one: (old.first_choice(one), new.first_choice(one)),
    }


@click.command()
@click.option("--json", "as_json", is_flag=True, help="JSON lines, one a row.")
@click.option("--customers", default=100_000, help="Of memory, merging and changes.")
@click.option("--nodes", default=16, help="Of changes.")
@click.option("--servers", default=SERVERS, help="Of changes.")
@click.option("--seed", default=1)
@click.option("--part", type=click.Choice(["all", "cost", "changes"]), default="all")
def main(as_json: bool, customers: int, nodes: int, servers: int, seed: int, part: str) -> None:
    """Example: python -m benchmarks.affinity --part cost"""
    hash_parameters.cache_clear()
    if part in ("all", "cost"):
        show([*choices(), *memory(customers), *merging(customers)], as_json)
    if part in ("all", "changes"):
        show(changes(nodes, servers, customers, seed), as_json)


if __name__ == "__main__":
    main()
