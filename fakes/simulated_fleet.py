"""A fleet in simulated time: many nodes and app servers, thousands of customers, no socket, one seed.

`World` is a heap of moments, `Net` the ways between processes (late, lossy, cut, cut one way only). Nodes are
built on the decisions as they stand: `affinity.decide.Seats` for each. What they know of each other comes
from `Eyes`, a stand-in for members: each process tells of itself, each link is late by a span of its own, and
whoever is unheard is unsure, then dead. (Members' own decisions are played in `simulated_members.py`.)

Whatever a play does is drawn from its seed: the same seed, the same play. Spans are seconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random
from typing import Any, NamedTuple

from thymeyoke.affinity import wire as seats_wire
from thymeyoke.affinity.clients import customer
from thymeyoke.affinity.controller import Handed, Ready, Seats, Tell
from thymeyoke.affinity.messages import Message
from thymeyoke.affinity.rendezvous import Places
from thymeyoke.membership.view import Member, Snapshot, State, Trust, View

PERIOD = 1.0  # between two snapshots of one process
TICK = 0.1  # between two looks at what seats want told: twice what a node takes
CALM = 0.5  # the same, where nothing has changed
LOOK = 1.0  # between two looks at the view
UNSURE, DEAD = 4.0, 8.0  # periods unheard
STALE, HALF = 3.0, 10.0  # periods from which on figures lose weight, and in which they lose half
LATE_LEAST, LATE_MOST = 0.02, 0.8  # by which a link's snapshots are late
WORD_LEAST, WORD_MOST = 0.002, 0.05  # by which a word is
TRIES = 3  # connects of one connection
GIVEN_UP = 5.0  # a connection that waits for its seat for so long is closed
LINGER = 17.6

HOLD = 40.0  # that a connection lives, in the mean
SECOND = 0.25  # of them: another one beside it
WITHIN = 0.75  # of the customers: back within the linger


class World:
    """One clock, one source of chance, and what happens next."""

    def __init__(self, seed: int) -> None:
        self.seed, self.rng, self.now = seed, Random(seed), 0.0
        self.heap: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.numbers = count()
        self.log: list[tuple[float, str]] = []  # what was done to the fleet, for whoever replays a seed

    def at(self, moment: float, do: Callable[..., Any], *args: Any) -> None:
        heappush(self.heap, (max(moment, self.now), next(self.numbers), do, args))

    def after(self, span: float, do: Callable[..., Any], *args: Any) -> None:
        self.at(self.now + span, do, *args)

    def run(self, until: float) -> None:
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, do, args = heappop(heap)
            do(*args)
        self.now = until

    def note(self, what: str) -> None:
        self.log.append((self.now, what))


class Net:
    """The ways between processes, by name. `cuts` go one way; whoever has a side reaches that side alone, and
    those that have none."""

    def __init__(self, world: World, loss: float = 0.0) -> None:
        self.world, self.loss = world, loss
        self.cuts: set[tuple[str, str]] = set()
        self.sides: dict[str, int] = {}

    def reaches(self, source: str, target: str) -> bool:
        if not self.cuts and not self.sides:
            return True
        sides = self.sides
        apart = source in sides and target in sides and sides[source] != sides[target]
        return not apart and (source, target) not in self.cuts

    def loses(self) -> bool:
        return self.loss > 0 and self.world.rng.random() < self.loss

    def split(self, *sides: Iterable[str]) -> None:
        self.sides = {name: at for at, names in enumerate(sides) for name in names}

    def heal(self) -> None:
        self.cuts.clear()
        self.sides.clear()


class Process:
    """One life of one process, as it is in truth."""

    def __init__(self, world: World, name: str, node: bool, life: int, served: float = 0.0) -> None:
        self.world, self.name, self.node, self.life = world, name, node, life
        self.state, self.state_at = State.SERVING, world.now - served
        self.alive, self.sequence = True, 0
        self.told: deque[tuple[float, Snapshot]] = deque(maxlen=4)
        self.room = 0
        self.connections: dict[int, Connection] = {}  # in the order in which they were opened

    def figures(self) -> dict[str, Any]:
        return {"connections": len(self.connections), "room": max(0, self.room - len(self.connections))}

    def tell(self) -> None:
        """A new snapshot; what has changed its state says so at once."""
        self.sequence += 1
        now = self.world.now
        self.told.append((now, Snapshot(
            self.name, self.node, self.life, self.sequence, self.state, f"{self.name}:1",
            "" if self.node else f"{self.name}:2", now - self.state_at, **self.figures())))  # fmt: skip

    def become(self, state: State) -> None:
        self.state, self.state_at = state, self.world.now
        self.tell()

    def beat(self) -> None:
        if self.alive:
            self.tell()
            self.world.after(PERIOD, self.beat)


class Seen:
    """What one viewer has of one process."""

    __slots__ = ("at", "late", "snapshot", "trust")

    def __init__(self, late: float) -> None:
        self.snapshot: Snapshot | None = None
        self.at, self.late, self.trust = -inf, late, Trust.DEAD


class Eyes:
    """One viewer's view, made of what was told and could come through."""

    def __init__(self, world: World, net: Net, me: Process, period: float = PERIOD) -> None:
        self.world, self.net, self.me, self.period = world, net, me, period
        self.seen: dict[str, Seen] = {}
        self.version = 0
        self.patience = world.rng.uniform(0.8, 1.2)  # no two viewers find one dead at the same moment

    def look(self, processes: Collection[Process]) -> View:
        now, me, net, rng = self.world.now, self.me.name, self.net, self.world.rng
        free = not (net.cuts or net.sides)
        unsure, dead = UNSURE * self.period * self.patience, DEAD * self.period * self.patience
        stale, half = STALE * self.period, HALF * self.period
        members: dict[str, Member] = {}
        for one in processes:
            name = one.name
            if name == me:
                continue
            seen = self.seen.get(name)
            if seen is None:
                seen = self.seen[name] = Seen(rng.uniform(LATE_LEAST, LATE_MOST))
            if (free or net.reaches(name, me)) and not net.loses():
                self._hear(one, seen, now)
            snapshot = seen.snapshot
            if snapshot is None:
                continue
            age = now - seen.at
            trust = Trust.DEAD if age > dead or snapshot.state == State.GONE else (
                Trust.UNSURE if age > unsure else Trust.SURE)  # fmt: skip
            if trust != seen.trust:
                seen.trust = trust
                self.version += 1
            weight = 1.0 if age <= stale else 0.5 ** ((age - stale) / half)
            members[name] = Member(snapshot, trust, age, weight * trust / 2)
        own = self.me.told[-1]
        members[me] = Member(own[1], Trust.SURE, now - own[0], 1.0)
        return View(self.version, now, me, members)

    def _hear(self, one: Process, seen: Seen, now: float) -> None:
        told, by, last = one.told, now - seen.late, -1
        while told[last][0] > by:
            last -= 1
            if last < -len(told):
                return
        at, snapshot = told[last]
        before = seen.snapshot
        if before is None or snapshot.order > before.order:
            if before is None or (snapshot.incarnation, snapshot.state) != (before.incarnation, before.state):
                self.version += 1
            seen.snapshot, seen.at = snapshot, at


class Server(Process):
    """An app server. It takes connections until its door shuts."""

    def takes(self) -> bool:
        return self.alive and self.state in (State.SERVING, State.LEAVING)


class Plain(NamedTuple):
    """App servers as plain hashing has them, for the baselines."""

    names: tuple[str, ...]
    places: Places

    def modulo(self, number: int) -> str:
        return self.names[number % len(self.names)] if self.names else ""


class Node(Process):
    """One node: real seats, words that come late, a view that lags."""

    def __init__(self, fleet: Fleet, name: str, life: int, served: float = 0.0) -> None:
        super().__init__(fleet.world, name, True, life, served)
        self.fleet, self.room = fleet, fleet.table
        self.seats = Seats(self.world.now, name, fleet.linger, fleet.exceptions)
        self.eyes = Eyes(self.world, fleet.net, self)
        self.inbox: list[tuple[float, int, str, Message | bytes]] = []
        self.announced, self.ready, self.handed = True, False, False
        self.look_at = self.world.now
        self.plain = fleet.plain(())
        self.counts: Counter[str] = Counter()
        self.view: View | None = None
        self.head, self.busy, self.settle_at = 0, True, -inf  # it has heard something since it settled

    def begin(self) -> None:
        self.state = State.COLD
        self.tell()
        self.world.after(self.world.rng.random() * PERIOD, self.beat)
        self.world.after(self.world.rng.random() * TICK, self.tick)

    def hear(self) -> None:
        """Words that are there by now."""
        now, inbox, seats = self.world.now, self.inbox, self.seats
        while inbox and inbox[0][0] <= now:
            self.busy = True
            _, _, sender, body = heappop(inbox)
            seats.heard(now, sender, seats_wire.decode(body) if isinstance(body, bytes) else body)

    def tick(self) -> None:
        if not self.alive:
            return
        now = self.world.now
        self.hear()
        if now >= self.look_at:
            self.look_at = now + LOOK
            self.look()
        if self.busy or self.seats.log.head != self.head or now >= self.settle_at:
            self._settle(now)
        self.world.after(TICK, self.tick)

    def _settle(self, now: float) -> None:
        self.busy, self.settle_at = False, now + CALM
        sizes: dict[int, bytes] = {}
        for action in self.seats.settle(now):
            match action:
                case Tell(to, body):
                    coded = sizes.get(id(body))
                    if coded is None:
                        coded = sizes[id(body)] = seats_wire.encode(body)
                    self.fleet.word(self, to, body, coded)
                case Ready():
                    self.ready = True
                    self.become(State.SERVING)
                case Handed():
                    self.handed = True
        self.counts.update(self.seats.counts)
        self.seats.counts.clear()
        self.head = self.seats.log.head

    def look(self) -> None:
        self.view = view = self.eyes.look(self.fleet.processes.values())
        self.seats.saw(self.world.now, view)
        self.plain = self.fleet.plain(tuple(
            name for name, one in sorted(view.members.items())
            if one.there and not one.snapshot.node and one.snapshot.state == State.SERVING
        ))  # fmt: skip


class Connection:
    __slots__ = ("customer", "node", "number", "server")

    def __init__(self, number: int, customer: int, node: Node, server: Server) -> None:
        self.number, self.customer, self.node, self.server = number, customer, node, server


class Way:
    """Changes of seats by one way of seating: customers that had to change, and that changed without need."""

    def __init__(self) -> None:
        self.needed: set[int] = set()
        self.moved: set[int] = set()
        self.times = 0  # changes without need

    def note(self, customer: int, needed: bool) -> None:
        if needed:
            self.needed.add(customer)
        else:
            self.moved.add(customer)
            self.times += 1


Place = tuple[str, int]  # an app server's name and life
NOWHERE: Place = ("", 0)


class Moved(NamedTuple):
    """A change without need."""

    at: float
    customer: int
    node: str
    before: Place
    after: Place


class Customers:
    """Who opens connections, and where they went. A seat is live while there is a connection and for a linger
    after it."""

    def __init__(self, fleet: Fleet, many: int, tenants: int, skew: float = 0.9) -> None:
        self.fleet, self.world, rng = fleet, fleet.world, fleet.world.rng
        weights = [1 / (at + 1) ** skew for at in range(tenants)]
        self.tenants = [f"t{at:04}" for at in range(tenants)]
        self.tenant = rng.choices(range(tenants), weights, k=many)
        self.number = [
            customer(self.tenants[tenant], f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}")
            for at, tenant in enumerate(self.tenant)
        ]
        self.open = [0] * many
        self.until = [-inf] * many  # when the seat is over
        self.opened_at = [-inf] * many
        self.last: list[Place] = [NOWHERE] * many
        self.by_rendezvous: list[Place] = [NOWHERE] * many
        self.by_modulo: list[Place] = [NOWHERE] * many
        self.first: list[tuple[Plain, str] | None] = [None] * many  # the last answer of plain rendezvous
        self.counting = False
        self.came: set[int] = set()  # that had a live seat and came again, since counting began
        self.seats, self.rendezvous, self.modulo = Way(), Way(), Way()
        self.counts: Counter[str] = Counter()
        self.longest = 0.0  # that one waited for its seat
        self.numbers = count()
        self.early: set[int] = set()  # reached a life of an app server that the node did not know of yet
        self.moved_at: list[Moved] = []

    def begin(self, since: float, within: float) -> None:
        for who in range(len(self.number)):
            self.world.at(since + self.world.rng.random() * within, self.come, who)

    def count(self) -> None:
        """Changes count from now on, and waits."""
        self.counting, self.longest = True, 0.0

    def come(self, who: int, node: Node | None = None, since: float | None = None) -> None:
        """A new connection, at a node of its tenant's."""
        now = self.world.now
        if node is None or not node.alive:
            node = self.fleet.pick(who, self.tenant[who])
        if node is None:
            self.counts["no_node"] += 1
            return self.world.after(1.0, self.come, who)
        node.hear()
        number = self.number[who]
        seat = node.seats.seat(now, number)
        for _ in range(TRIES):
            if not seat.server:
                break
            if self._taken(node, seat.server):
                return self._reached(who, node, self.fleet.servers[seat.server], since)
            self.counts["connects_failed"] += 1
            seat = node.seats.failed(now, number, seat.server)
        since = now if since is None else since
        if seat.wait > 0 and now - since < GIVEN_UP:
            self.counts["waited"] += 1
            return self.world.after(seat.wait, self.come, who, node, since)
        self.counts["turned_away"] += 1
        self.world.after(self.world.rng.uniform(0.5, 1.5), self.come, who)

    def _reached(self, who: int, node: Node, server: Server, since: float | None) -> None:
        now, rng = self.world.now, self.world.rng
        if since is not None:
            self.longest = max(self.longest, now - since)
        node.seats.opened(now, self.number[who], server.name)
        known = node.seats.servers.get(server.name)
        if known is None or known.life != server.life:
            self.early.add(who)
        one = Connection(next(self.numbers), who, node, server)
        node.connections[one.number] = server.connections[one.number] = one
        self.counts["opened"] += 1
        self._compare(who, node, (server.name, server.life))
        self.open[who] += 1
        self.until[who], self.opened_at[who] = inf, now
        span = rng.expovariate(1 / HOLD)
        self.world.after(span, self.close, one)
        if self.open[who] == 1 and rng.random() < SECOND:
            self.world.after(rng.random() * min(span, HOLD), self._beside, who)

    def _beside(self, who: int) -> None:
        if self.open[who] == 1:
            self.come(who)

    def _compare(self, who: int, node: Node, place: Place) -> None:
        """Where it went, and where it would have gone by plain hashing over what this node sees."""
        plain, number = node.plain, self.number[who]
        held = self.first[who]
        if held is None or held[0] is not plain:
            held = self.first[who] = plain, plain.places.first(number)
        by_rendezvous, by_modulo = held[1], plain.modulo(number)
        if not (self._taken(node, by_rendezvous) and self._taken(node, by_modulo)):
            # As with the seats' own, a connect fails first.
            reached = self.fleet.plain(tuple(name for name in plain.names if self._taken(node, name)))
            if not self._taken(node, by_rendezvous):
                by_rendezvous = reached.places.first(number)
            if not self._taken(node, by_modulo):
                by_modulo = reached.modulo(number)
        by_rendezvous, by_modulo = self._place(by_rendezvous), self._place(by_modulo)
        if self.counting and self.world.now < self.until[who]:
            self.came.add(who)
            if place != self.last[who]:
                needed = self._gone(node, self.last[who])
                self.seats.note(who, needed)
                if not needed:
                    self.moved_at.append(Moved(self.world.now, who, node.name, self.last[who], place))
            if by_rendezvous != self.by_rendezvous[who]:
                self.rendezvous.note(who, self._gone(node, self.by_rendezvous[who]))
            if by_modulo != self.by_modulo[who]:
                self.modulo.note(who, self._gone(node, self.by_modulo[who]))
        self.last[who], self.by_rendezvous[who], self.by_modulo[who] = place, by_rendezvous, by_modulo

    def _taken(self, node: Node, name: str) -> bool:
        server = self.fleet.servers.get(name)
        return server is not None and server.takes() and self.fleet.net.reaches(node.name, name)

    def _place(self, name: str) -> Place:
        server = self.fleet.servers.get(name)
        return (name, server.life) if server else NOWHERE

    def _gone(self, node: Node, place: Place) -> bool:
        """Whether that life of the app server is over, ends, or cannot be reached from here."""
        server = self.fleet.servers.get(place[0])
        return (
            server is None or server.life != place[1] or not server.alive or server.state != State.SERVING
            or not self.fleet.net.reaches(node.name, server.name)
        )  # fmt: skip

    def close(self, one: Connection, again: float = -1.0) -> None:
        """It ends, by its customer or with a process; `again`: it comes back so soon."""
        if one.server.connections.pop(one.number, None) is None:
            return
        one.node.connections.pop(one.number, None)
        now, who, rng = self.world.now, one.customer, self.world.rng
        if one.node.alive:
            one.node.hear()
            one.node.seats.closed(now, self.number[who], one.server.name)
        self.open[who] -= 1
        if not self.open[who]:
            self.until[who] = now + self.fleet.linger
        if again >= 0:
            return self.world.after(again, self._beside if self.open[who] else self.come, who)
        if not self.open[who]:
            if rng.random() < WITHIN:
                span = rng.random() * 0.95 * self.fleet.linger
            else:
                span = 1.05 * self.fleet.linger + rng.expovariate(0.5 / self.fleet.linger)
            self.world.after(span, self._back, who)

    def _back(self, who: int) -> None:
        if not self.open[who]:
            self.come(who)


class Fleet:
    """Everything of one play. `homes`: for each tenant the nodes that its customers come to; without them
    they come to any."""

    def __init__(
        self, seed: int, servers: int, nodes: int, tenants: int, customers: int, linger: float = LINGER,
        loss: float = 0.01, coded: bool = False,
    ) -> None:  # fmt: skip
        self.world = World(seed)
        self.net = Net(self.world, loss)
        self.linger, self.coded = linger, coded
        self.table = max(64, 4 * customers // nodes)
        self.exceptions = max(1024, 32 * self.table)
        self.processes: dict[str, Process] = {}
        self.servers: dict[str, Server] = {}
        self.nodes: dict[str, Node] = {}
        self.plains: dict[tuple[str, ...], Plain] = {}
        self.homes: list[list[str]] = []
        self.words: Counter[str] = Counter()
        self.octets = 0
        self.kept_most = self.kept_all = 0  # exceptions at one node, and at all nodes together, at most
        self.lost_unshared = 0
        self.ends: list[Counter[str]] = []  # counts of nodes that are gone
        for at in range(servers):
            self.serve(f"s{at:03}", served=1000.0)
        for at in range(nodes):
            self.join(f"n{at:02}", served=1000.0)
        self.customers = Customers(self, customers, tenants)
        self.world.after(1.0, self._sample)

    def plain(self, names: tuple[str, ...]) -> Plain:
        found = self.plains.get(names)
        return found or self.plains.setdefault(names, Plain(names, Places(names)))

    def word(self, sender: Node, to: str, body: Message, coded: bytes) -> None:
        self.words[type(body).__name__] += 1
        self.octets += len(coded)
        node = self.nodes.get(to)
        if node is None or not node.alive or not self.net.reaches(sender.name, to) or self.net.loses():
            return
        rng = self.world.rng
        late = self.world.now + rng.uniform(WORD_LEAST, WORD_MOST)
        heappush(node.inbox, (late, next(self.world.numbers), sender.name, coded if self.coded else body))

    def pick(self, who: int, tenant: int) -> Node | None:
        """A node that is announced; of its tenant's where there are some. While the fleet is cut, customers
        are cut as well: most reach one side."""
        rng = self.world.rng
        names = self.homes[tenant] if self.homes else ()
        there = [node for name in names if (node := self.nodes.get(name)) and node.alive and node.announced]
        if not there:
            there = [node for node in self.nodes.values() if node.alive and node.announced]
        if self.net.sides:
            side = who & 1 if rng.random() < 0.95 else 1 - (who & 1)  # some go round
            there = [node for node in there if self.net.sides.get(node.name, side) == side]
        return rng.choice(there) if there else None

    def run(self, until: float) -> None:
        self.world.run(until)

    def _sample(self) -> None:
        many = [len(node.seats.kept) for node in self.nodes.values() if node.alive]
        self.kept_most = max(self.kept_most, max(many, default=0))
        self.kept_all = max(self.kept_all, sum(many))
        self.world.after(1.0, self._sample)

    # What may be done to it.

    def serve(self, name: str, served: float = 0.0) -> Server:
        """An app server begins a life, where it has none."""
        if name in self.servers and self.servers[name].alive:
            return self.servers[name]
        life = self.servers[name].life + 1 if name in self.servers else 1
        server = self.servers[name] = Server(self.world, name, False, life, served)
        self.processes[name] = server
        server.room = 1 << 16
        server.tell()
        self.world.after(self.world.rng.random() * PERIOD, server.beat)
        self.world.note(f"{name} serves, life {life}")
        return server

    def leave(self, name: str, door: float = 4.0) -> None:
        """It takes what still comes until its door shuts, says farewell and is gone."""
        server = self.servers[name]
        if server.alive and server.state == State.SERVING:
            server.become(State.LEAVING)
            self.world.note(f"{name} leaves")
            self.world.after(door, self._gone, server)

    def kill(self, name: str) -> None:
        process = self.processes[name]
        if process.alive:
            self.world.note(f"{name} dies")
            if isinstance(process, Node):
                self.lost_unshared += process.seats.unshared()
            self._end(process)

    def _gone(self, process: Process) -> None:
        if process.alive:
            process.become(State.GONE)
            self._end(process)

    def _end(self, process: Process) -> None:
        process.alive = False
        if isinstance(process, Node):
            self.ends.append(process.counts)
        rng = self.world.rng
        for one in list(process.connections.values()):
            self.customers.close(one, rng.uniform(0.05, 1.5))

    def join(self, name: str, served: float = 0.0) -> Node:
        """A node begins a life, where it has none; customers may come at once."""
        if name in self.nodes and self.nodes[name].alive:
            return self.nodes[name]
        life = self.nodes[name].life + 1 if name in self.nodes else 1
        node = self.nodes[name] = Node(self, name, life, served)
        self.processes[name] = node
        node.begin()
        self.world.note(f"{name} joins, life {life}")
        return node

    def retire(self, name: str, stay: float = 5.0) -> None:
        """A node leaves: it hands over, is withdrawn, and ends its connections after a while."""
        node = self.nodes[name]
        if not node.alive or node.state == State.LEAVING:
            return
        self.world.note(f"{name} leaves")
        node.seats.leave(self.world.now)
        node.become(State.LEAVING)
        self.world.after(1.0, self._withdraw, node)
        self.world.after(1.0 + stay, self._gone, node)

    def _withdraw(self, node: Node) -> None:
        node.announced = False

    def split(self, *sides: Iterable[str]) -> None:
        """Cut, and connections that go across break."""
        self.net.split(*sides)
        self.world.note("cut")
        for node in self.nodes.values():
            for one in list(node.connections.values()):
                if not self.net.reaches(node.name, one.server.name):
                    self.customers.close(one, self.world.rng.uniform(0.5, 3.0))

    # What it has come to.

    def count(self, name: str) -> int:
        """A counter of seats, over all nodes that ever were."""
        there = [node.counts for node in self.nodes.values() if node.alive]
        return sum(one[name] for one in (*self.ends, *there))

    def torn(self, sample: int = 500) -> tuple[int, int]:
        """Of some customers with a live seat, drawn: those that two nodes would seat apart, and those that
        some node would seat elsewhere than where they are (but for the `early`). Words of the last second may
        still be on their way, as where an exception ran out at one node and was told anew by another."""
        now, all_ = self.world.now, self.customers
        live = [
            who for who, until in enumerate(all_.until)
            if until > now + 1.0 and now > all_.opened_at[who] + 1.0
            and (server := self.servers.get(all_.last[who][0])) is not None and server.alive
            and (server.life, server.state) == (all_.last[who][1], State.SERVING)
        ]  # fmt: skip
        some = Random(self.world.seed).sample(live, min(sample, len(live)))
        nodes = [node for node in self.nodes.values() if node.alive and node.ready]
        for node in nodes:
            node.hear()
        named = {who: {node.seats.seat(now, all_.number[who]).server for node in nodes} for who in some}
        apart = sum(len(names) > 1 for names in named.values())
        elsewhere = {who for who, names in named.items() if names != {all_.last[who][0]}}
        return apart, len(elsewhere - all_.early)
