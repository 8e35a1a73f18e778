"""A fleet in simulated time: many nodes and app servers, thousands of clients, no sockets, one seed.

`World` is a queue of events, `Net` the network between processes (delays, losses, cuts in one or both
directions). Each node runs a real `AffinityTable`. Nodes see each other through `DelayedView`, a stand-in for
membership: each process publishes snapshots, each link has its own delay, and a process without new snapshots
becomes unsure, then dead. (`simulated_membership.py` runs the real membership protocol.)

All random choices depend on the seed, so that a run can be repeated. Times are in seconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random
from typing import Any, NamedTuple

from thymeyoke.affinity import wire as affinity_wire
from thymeyoke.affinity.clients import client_key
from thymeyoke.affinity.controller import AffinityTable, HandedOver, Joined, SendMessage
from thymeyoke.affinity.messages import Message
from thymeyoke.affinity.rendezvous import RendezvousHash
from thymeyoke.membership.view import Member, Snapshot, State, Trust, View

PERIOD = 1.0  # between two snapshots of a process
TICK = 0.1  # between two runs of a node's affinity table, twice the interval of a real node
IDLE_TICK_SECONDS = 0.5  # the same while nothing has changed
VIEW_INTERVAL_SECONDS = 1.0  # between two views
UNSURE_PERIODS, DEAD_PERIODS = 4.0, 8.0  # without a snapshot
# Figures of this age begin to lose weight, and lose half of it in each of the second time.
STALE_PERIODS, HALF_WEIGHT_PERIODS = 3.0, 10.0
MIN_SNAPSHOT_DELAY, MAX_SNAPSHOT_DELAY = 0.02, 0.8  # constant for each link
MIN_MESSAGE_DELAY, MAX_MESSAGE_DELAY = 0.002, 0.05  # drawn for each message
MAX_CONNECT_ATTEMPTS = 3  # per client connection
MAX_WAIT_SECONDS = 5.0  # a connection that waits longer for its assignment is closed
IDLE_TIMEOUT = 17.6

MEAN_CONNECTION_SECONDS = 40.0  # mean lifetime of a connection
SECOND_CONNECTION_SHARE = 0.25  # of connections during which the client opens a second one
RETURN_SHARE = 0.75  # of clients that return within the idle timeout


class World:
    """A simulated clock, a seeded random generator and a queue of events."""

    def __init__(self, seed: int) -> None:
        self.seed, self.rng, self.now = seed, Random(seed), 0.0
        self.heap: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.numbers = count()
        self.log: list[tuple[float, str]] = []  # changes made to the fleet, for replaying a seed

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
    """The network between processes, by name. `cuts` are one-way; a process with a side only reaches
    processes of that side and those without a side."""

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
    """One incarnation of a process, with its true state."""

    def __init__(self, world: World, name: str, node: bool, incarnation: int, served: float = 0.0) -> None:
        self.world, self.name, self.node, self.incarnation = world, name, node, incarnation
        self.state, self.state_at = State.SERVING, world.now - served
        self.alive, self.sequence = True, 0
        self.published: deque[tuple[float, Snapshot]] = deque(maxlen=4)
        self.room = 0
        self.connections: dict[int, Connection] = {}  # oldest first

    def figures(self) -> dict[str, Any]:
        return {"connections": len(self.connections), "room": max(0, self.room - len(self.connections))}

    def publish(self) -> None:
        """Publish a new snapshot: periodically, and at once when the state has changed."""
        self.sequence += 1
        now = self.world.now
        self.published.append((now, Snapshot(
            self.name, self.node, self.incarnation, self.sequence, self.state, f"{self.name}:1",
            "" if self.node else f"{self.name}:2", now - self.state_at, **self.figures())))  # fmt: skip

    def change_state(self, state: State) -> None:
        self.state, self.state_at = state, self.world.now
        self.publish()

    def publish_periodically(self) -> None:
        if self.alive:
            self.publish()
            self.world.after(PERIOD, self.publish_periodically)


class ObservedProcess:
    """What one viewer knows of one process."""

    __slots__ = ("at", "late", "snapshot", "trust")

    def __init__(self, late: float) -> None:
        self.snapshot: Snapshot | None = None
        self.at, self.late, self.trust = -inf, late, Trust.DEAD


class DelayedView:
    """One viewer's view, built from the published snapshots that have reached it."""

    def __init__(self, world: World, net: Net, me: Process, period: float = PERIOD) -> None:
        self.world, self.net, self.me, self.period = world, net, me, period
        self.seen: dict[str, ObservedProcess] = {}
        self.version = 0
        # Differs, so that viewers declare a process dead at different times.
        self.detection_factor = world.rng.uniform(0.8, 1.2)

    def current_view(self, processes: Collection[Process]) -> View:
        now, me, net, rng = self.world.now, self.me.name, self.net, self.world.rng
        free = not (net.cuts or net.sides)
        unsure = UNSURE_PERIODS * self.period * self.detection_factor
        dead = DEAD_PERIODS * self.period * self.detection_factor
        stale, half = STALE_PERIODS * self.period, HALF_WEIGHT_PERIODS * self.period
        members: dict[str, Member] = {}
        for one in processes:
            name = one.name
            if name == me:
                continue
            seen = self.seen.get(name)
            if seen is None:
                seen = self.seen[name] = ObservedProcess(rng.uniform(MIN_SNAPSHOT_DELAY, MAX_SNAPSHOT_DELAY))
            if (free or net.reaches(name, me)) and not net.loses():
                self._receive_snapshot(one, seen, now)
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
        own = self.me.published[-1]
        members[me] = Member(own[1], Trust.SURE, now - own[0], 1.0)
        return View(self.version, now, me, members)

    def _receive_snapshot(self, one: Process, seen: ObservedProcess, now: float) -> None:
        published, by, last = one.published, now - seen.late, -1
        while published[last][0] > by:
            last -= 1
            if last < -len(published):
                return
        at, snapshot = published[last]
        before = seen.snapshot
        if before is None or snapshot.order > before.order:
            if before is None or (snapshot.incarnation, snapshot.state) != (before.incarnation, before.state):
                self.version += 1
            seen.snapshot, seen.at = snapshot, at


class Server(Process):
    """An app server, which accepts connections until its listener closes."""

    def accepts_connections(self) -> bool:
        return self.alive and self.state in (State.SERVING, State.LEAVING)


class PlainHashing(NamedTuple):
    """Plain hashing over the app servers, as a baseline."""

    names: tuple[str, ...]
    places: RendezvousHash

    def modulo(self, number: int) -> str:
        return self.names[number % len(self.names)] if self.names else ""


class Node(Process):
    """One proxy node with a real affinity table, delayed messages and a delayed view."""

    def __init__(self, fleet: Fleet, name: str, incarnation: int, served: float = 0.0) -> None:
        super().__init__(fleet.world, name, True, incarnation, served)
        self.fleet, self.room = fleet, fleet.max_connections
        self.table = AffinityTable(self.world.now, name, fleet.idle_timeout, fleet.binding_limit)
        self.delayed_view = DelayedView(self.world, fleet.net, self)
        self.inbox: list[tuple[float, int, str, Message | bytes]] = []
        self.is_announced, self.is_ready, self.has_handed_over = True, False, False
        self.look_at = self.world.now
        self.plain = fleet.plain(())
        self.counts: Counter[str] = Counter()
        self.view: View | None = None
        self.head, self.has_received, self.settle_at = 0, True, -inf  # received a message since the last run

    def begin(self) -> None:
        self.state = State.COLD
        self.publish()
        self.world.after(self.world.rng.random() * PERIOD, self.publish_periodically)
        self.world.after(self.world.rng.random() * TICK, self.tick)

    def receive_messages(self) -> None:
        """Handle the messages that have arrived by now."""
        now, inbox, table = self.world.now, self.inbox, self.table
        while inbox and inbox[0][0] <= now:
            self.has_received = True
            _, _, sender, body = heappop(inbox)
            table.receive(now, sender, affinity_wire.decode(body) if isinstance(body, bytes) else body)

    def tick(self) -> None:
        if not self.alive:
            return
        now = self.world.now
        self.receive_messages()
        if now >= self.look_at:
            self.look_at = now + VIEW_INTERVAL_SECONDS
            self.look()
        if self.has_received or self.table.log.head != self.head or now >= self.settle_at:
            self._settle(now)
        self.world.after(TICK, self.tick)

    def _settle(self, now: float) -> None:
        self.has_received, self.settle_at = False, now + IDLE_TICK_SECONDS
        sizes: dict[int, bytes] = {}
        for action in self.table.advance(now):
            match action:
                case SendMessage(to, body):
                    encode_messages = sizes.get(id(body))
                    if encode_messages is None:
                        encode_messages = sizes[id(body)] = affinity_wire.encode(body)
                    self.fleet.send_message(self, to, body, encode_messages)
                case Joined():
                    self.is_ready = True
                    self.change_state(State.SERVING)
                case HandedOver():
                    self.has_handed_over = True
        self.counts.update(self.table.counts)
        self.table.counts.clear()
        self.head = self.table.log.head

    def look(self) -> None:
        self.view = view = self.delayed_view.current_view(self.fleet.processes.values())
        self.table.observe(self.world.now, view)
        self.plain = self.fleet.plain(tuple(
            name for name, one in sorted(view.members.items())
            if one.is_present and not one.snapshot.node and one.snapshot.state == State.SERVING
        ))  # fmt: skip


class Connection:
    __slots__ = ("client", "node", "number", "server")

    def __init__(self, number: int, client: int, node: Node, server: Server) -> None:
        self.number, self.client, self.node, self.server = number, client, node, server


class AssignmentChanges:
    """Clients whose server changed under one method of assignment, by necessity or without need."""

    def __init__(self) -> None:
        self.needed: set[int] = set()
        self.moved: set[int] = set()
        self.times = 0  # changes without need

    def note(self, client: int, needed: bool) -> None:
        if needed:
            self.needed.add(client)
        else:
            self.moved.add(client)
            self.times += 1


ServerIncarnation = tuple[str, int]  # the name and incarnation of an app server
NO_SERVER: ServerIncarnation = ("", 0)


class UnneededChange(NamedTuple):
    """A change of server that was not necessary."""

    at: float
    client: int
    node: str
    before: ServerIncarnation
    after: ServerIncarnation


class Clients:
    """The clients, their connections, and the servers that they reached. An assignment is live while the
    client has a connection, and for the idle timeout after the last one."""

    def __init__(self, fleet: Fleet, many: int, tenants: int, skew: float = 0.9) -> None:
        self.fleet, self.world, rng = fleet, fleet.world, fleet.world.rng
        weights = [1 / (at + 1) ** skew for at in range(tenants)]
        self.tenants = [f"t{at:04}" for at in range(tenants)]
        self.tenant = rng.choices(range(tenants), weights, k=many)
        self.number = [
            client_key(self.tenants[tenant], f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}")
            for at, tenant in enumerate(self.tenant)
        ]
        self.open = [0] * many
        self.until = [-inf] * many  # expiry of the assignment
        self.opened_at = [-inf] * many
        self.last: list[ServerIncarnation] = [NO_SERVER] * many
        self.last_rendezvous: list[ServerIncarnation] = [NO_SERVER] * many
        self.last_modulo: list[ServerIncarnation] = [NO_SERVER] * many
        # Last choice of plain rendezvous hashing.
        self.first: list[tuple[PlainHashing, str] | None] = [None] * many
        self.counting = False
        self.returned: set[int] = set()  # clients that returned with a live assignment since counting began
        self.affinity = AssignmentChanges()
        self.rendezvous = AssignmentChanges()
        self.modulo = AssignmentChanges()
        self.counts: Counter[str] = Counter()
        self.longest_wait = 0.0  # for an assignment, in seconds
        self.numbers = count()
        self.reached_unknown: set[int] = set()  # reached an incarnation that their node did not know yet
        self.unneeded_changes: list[UnneededChange] = []

    def begin(self, since: float, within: float) -> None:
        for client in range(len(self.number)):
            self.world.at(since + self.world.rng.random() * within, self.connect, client)

    def count(self) -> None:
        """Start counting changes and waits."""
        self.counting, self.longest_wait = True, 0.0

    def connect(self, client: int, node: Node | None = None, since: float | None = None) -> None:
        """Open a new connection, at a node of the client's tenant."""
        now = self.world.now
        if node is None or not node.alive:
            node = self.fleet.pick(client, self.tenant[client])
        if node is None:
            self.counts["no_node"] += 1
            return self.world.after(1.0, self.connect, client)
        node.receive_messages()
        number = self.number[client]
        assignment = node.table.assign(now, number)
        for _ in range(MAX_CONNECT_ATTEMPTS):
            if not assignment.server:
                break
            if self._accepts(node, assignment.server):
                return self._reached(client, node, self.fleet.servers[assignment.server], since)
            self.counts["connects_failed"] += 1
            assignment = node.table.connect_failed(now, number, assignment.server)
        since = now if since is None else since
        if assignment.wait > 0 and now - since < MAX_WAIT_SECONDS:
            self.counts["waited"] += 1
            return self.world.after(assignment.wait, self.connect, client, node, since)
        self.counts["turned_away"] += 1
        self.world.after(self.world.rng.uniform(0.5, 1.5), self.connect, client)

    def _reached(self, client: int, node: Node, server: Server, since: float | None) -> None:
        now, rng = self.world.now, self.world.rng
        if since is not None:
            self.longest_wait = max(self.longest_wait, now - since)
        node.table.connection_opened(now, self.number[client], server.name)
        known = node.table.servers.get(server.name)
        if known is None or known.incarnation != server.incarnation:
            self.reached_unknown.add(client)
        one = Connection(next(self.numbers), client, node, server)
        node.connections[one.number] = server.connections[one.number] = one
        self.counts["opened"] += 1
        self._compare(client, node, (server.name, server.incarnation))
        self.open[client] += 1
        self.until[client], self.opened_at[client] = inf, now
        span = rng.expovariate(1 / MEAN_CONNECTION_SECONDS)
        self.world.after(span, self.close, one)
        if self.open[client] == 1 and rng.random() < SECOND_CONNECTION_SHARE:
            self.world.after(rng.random() * min(span, MEAN_CONNECTION_SECONDS), self._open_second, client)

    def _open_second(self, client: int) -> None:
        if self.open[client] == 1:
            self.connect(client)

    def _compare(self, client: int, node: Node, place: ServerIncarnation) -> None:
        """Compare the server reached with the choices of plain hashing over this node's view."""
        plain, number = node.plain, self.number[client]
        held = self.first[client]
        if held is None or held[0] is not plain:
            held = self.first[client] = plain, plain.places.first_choice(number)
        last_rendezvous, last_modulo = held[1], plain.modulo(number)
        if not (self._accepts(node, last_rendezvous) and self._accepts(node, last_modulo)):
            # As with the affinity table, a connect to an unreachable server fails first.
            reached = self.fleet.plain(tuple(name for name in plain.names if self._accepts(node, name)))
            if not self._accepts(node, last_rendezvous):
                last_rendezvous = reached.places.first_choice(number)
            if not self._accepts(node, last_modulo):
                last_modulo = reached.modulo(number)
        last_rendezvous, last_modulo = self._place(last_rendezvous), self._place(last_modulo)
        if self.counting and self.world.now < self.until[client]:
            self.returned.add(client)
            if place != self.last[client]:
                needed = self._gone(node, self.last[client])
                self.affinity.note(client, needed)
                if not needed:
                    self.unneeded_changes.append(
                        UnneededChange(self.world.now, client, node.name, self.last[client], place)
                    )
            if last_rendezvous != self.last_rendezvous[client]:
                self.rendezvous.note(client, self._gone(node, self.last_rendezvous[client]))
            if last_modulo != self.last_modulo[client]:
                self.modulo.note(client, self._gone(node, self.last_modulo[client]))
        self.last[client] = place
        self.last_rendezvous[client] = last_rendezvous
        self.last_modulo[client] = last_modulo

    def _accepts(self, node: Node, name: str) -> bool:
        server = self.fleet.servers.get(name)
        return server is not None and server.accepts_connections() and self.fleet.net.reaches(node.name, name)

    def _place(self, name: str) -> ServerIncarnation:
        server = self.fleet.servers.get(name)
        return (name, server.incarnation) if server else NO_SERVER

    def _gone(self, node: Node, place: ServerIncarnation) -> bool:
        """Whether this incarnation of the server has ended, is leaving, or is unreachable from the node."""
        server = self.fleet.servers.get(place[0])
        return (
            server is None
            or server.incarnation != place[1]
            or not server.alive
            or server.state != State.SERVING
            or not self.fleet.net.reaches(node.name, server.name)
        )

    def close(self, one: Connection, again: float = -1.0) -> None:
        """Close a connection; `again`: seconds after which the client reconnects, if not negative."""
        if one.server.connections.pop(one.number, None) is None:
            return
        one.node.connections.pop(one.number, None)
        now, client, rng = self.world.now, one.client, self.world.rng
        if one.node.alive:
            one.node.receive_messages()
            one.node.table.connection_closed(now, self.number[client], one.server.name)
        self.open[client] -= 1
        if not self.open[client]:
            self.until[client] = now + self.fleet.idle_timeout
        if again >= 0:
            return self.world.after(again, self._open_second if self.open[client] else self.connect, client)
        if not self.open[client]:
            if rng.random() < RETURN_SHARE:
                span = rng.random() * 0.95 * self.fleet.idle_timeout
            else:
                span = 1.05 * self.fleet.idle_timeout + rng.expovariate(0.5 / self.fleet.idle_timeout)
            self.world.after(span, self._back, client)

    def _back(self, client: int) -> None:
        if not self.open[client]:
            self.connect(client)


class Fleet:
    """A simulated fleet. `homes`: the nodes that each tenant's clients connect to; without them, any node."""

    def __init__(
        self,
        seed: int,
        servers: int,
        nodes: int,
        tenants: int,
        clients: int,
        idle_timeout: float = IDLE_TIMEOUT,
        loss: float = 0.01,
        encode_messages: bool = False,
    ) -> None:
        self.world = World(seed)
        self.net = Net(self.world, loss)
        self.idle_timeout, self.encode_messages = idle_timeout, encode_messages
        self.max_connections = max(64, 4 * clients // nodes)
        self.binding_limit = max(1024, 32 * self.max_connections)
        self.processes: dict[str, Process] = {}
        self.servers: dict[str, Server] = {}
        self.nodes: dict[str, Node] = {}
        self.plains: dict[tuple[str, ...], PlainHashing] = {}
        self.homes: list[list[str]] = []
        self.messages_sent: Counter[str] = Counter()
        self.octets = 0
        self.max_bindings = self.max_total_bindings = 0  # at one node, and at all nodes together
        self.lost_unreplicated = 0
        self.final_counts: list[Counter[str]] = []  # counts of nodes that have ended
        for at in range(servers):
            self.serve(f"s{at:03}", served=1000.0)
        for at in range(nodes):
            self.join(f"n{at:02}", served=1000.0)
        self.clients = Clients(self, clients, tenants)
        self.world.after(1.0, self._sample)

    def plain(self, names: tuple[str, ...]) -> PlainHashing:
        found = self.plains.get(names)
        return found or self.plains.setdefault(names, PlainHashing(names, RendezvousHash(names)))

    def send_message(self, sender: Node, to: str, body: Message, encode_messages: bytes) -> None:
        self.messages_sent[type(body).__name__] += 1
        self.octets += len(encode_messages)
        node = self.nodes.get(to)
        if node is None or not node.alive or not self.net.reaches(sender.name, to) or self.net.loses():
            return
        rng = self.world.rng
        late = self.world.now + rng.uniform(MIN_MESSAGE_DELAY, MAX_MESSAGE_DELAY)
        heappush(
            node.inbox,
            (late, next(self.world.numbers), sender.name, encode_messages if self.encode_messages else body),
        )

    def pick(self, client: int, tenant: int) -> Node | None:
        """Pick an announced node, one of the tenant's if there is any.

        While the fleet is partitioned, so are the clients: most of them reach one side only.
        """
        rng = self.world.rng
        names = self.homes[tenant] if self.homes else ()
        there = [
            node for name in names if (node := self.nodes.get(name)) and node.alive and node.is_announced
        ]
        if not there:
            there = [node for node in self.nodes.values() if node.alive and node.is_announced]
        if self.net.sides:
            side = client & 1 if rng.random() < 0.95 else 1 - (client & 1)  # some reach the other side
            there = [node for node in there if self.net.sides.get(node.name, side) == side]
        return rng.choice(there) if there else None

    def run(self, until: float) -> None:
        self.world.run(until)

    def _sample(self) -> None:
        many = [len(node.table.bindings) for node in self.nodes.values() if node.alive]
        self.max_bindings = max(self.max_bindings, max(many, default=0))
        self.max_total_bindings = max(self.max_total_bindings, sum(many))
        self.world.after(1.0, self._sample)

    # Changes to the fleet.

    def serve(self, name: str, served: float = 0.0) -> Server:
        """Start an app server, unless it is running."""
        if name in self.servers and self.servers[name].alive:
            return self.servers[name]
        incarnation = self.servers[name].incarnation + 1 if name in self.servers else 1
        server = self.servers[name] = Server(self.world, name, False, incarnation, served)
        self.processes[name] = server
        server.room = 1 << 16
        server.publish()
        self.world.after(self.world.rng.random() * PERIOD, server.publish_periodically)
        self.world.note(f"{name} serves, life {incarnation}")
        return server

    def leave(self, name: str, door: float = 4.0) -> None:
        """Drain an app server: it accepts connections until its listener closes, and then ends."""
        server = self.servers[name]
        if server.alive and server.state == State.SERVING:
            server.change_state(State.LEAVING)
            self.world.note(f"{name} leaves")
            self.world.after(door, self._gone, server)

    def kill(self, name: str) -> None:
        process = self.processes[name]
        if process.alive:
            self.world.note(f"{name} dies")
            if isinstance(process, Node):
                self.lost_unreplicated += process.table.unreplicated_bindings()
            self._end(process)

    def _gone(self, process: Process) -> None:
        if process.alive:
            process.change_state(State.GONE)
            self._end(process)

    def _end(self, process: Process) -> None:
        process.alive = False
        if isinstance(process, Node):
            self.final_counts.append(process.counts)
        rng = self.world.rng
        for one in list(process.connections.values()):
            self.clients.close(one, rng.uniform(0.05, 1.5))

    def join(self, name: str, served: float = 0.0) -> Node:
        """Start a node, unless it is running; clients may connect at once."""
        if name in self.nodes and self.nodes[name].alive:
            return self.nodes[name]
        incarnation = self.nodes[name].incarnation + 1 if name in self.nodes else 1
        node = self.nodes[name] = Node(self, name, incarnation, served)
        self.processes[name] = node
        node.begin()
        self.world.note(f"{name} joins, life {incarnation}")
        return node

    def drain_node(self, name: str, stay: float = 5.0) -> None:
        """Drain a node: it hands over its bindings, is withdrawn, and ends after `stay` more seconds."""
        node = self.nodes[name]
        if not node.alive or node.state == State.LEAVING:
            return
        self.world.note(f"{name} leaves")
        node.table.leave(self.world.now)
        node.change_state(State.LEAVING)
        self.world.after(1.0, self._withdraw, node)
        self.world.after(1.0 + stay, self._gone, node)

    def _withdraw(self, node: Node) -> None:
        node.is_announced = False

    def split(self, *sides: Iterable[str]) -> None:
        """Partition the fleet and break connections between the sides."""
        self.net.split(*sides)
        self.world.note("cut")
        for node in self.nodes.values():
            for one in list(node.connections.values()):
                if not self.net.reaches(node.name, one.server.name):
                    self.clients.close(one, self.world.rng.uniform(0.5, 3.0))

    # Results.

    def count(self, name: str) -> int:
        """A counter of the affinity tables, summed over all nodes that ever ran."""
        there = [node.counts for node in self.nodes.values() if node.alive]
        return sum(one[name] for one in (*self.final_counts, *there))

    def count_disagreements(self, sample: int = 500) -> tuple[int, int]:
        """Count, in a sample of clients with a live assignment, those for whom nodes disagree, and those for
        whom a node would choose another server than the current one (without `reached_unknown`).

        Messages of the last second may still be on their way, for example about a binding that has expired at
        one node and was renewed by another. Clients that connected within that second are left out.
        """
        now, all_ = self.world.now, self.clients
        live = [
            client for client, until in enumerate(all_.until)
            if until > now + 1.0 and now > all_.opened_at[client] + 1.0
            and (server := self.servers.get(all_.last[client][0])) is not None and server.alive
            and (server.incarnation, server.state) == (all_.last[client][1], State.SERVING)
        ]  # fmt: skip
        some = Random(self.world.seed).sample(live, min(sample, len(live)))
        nodes = [node for node in self.nodes.values() if node.alive and node.is_ready]
        for node in nodes:
            node.receive_messages()
        named = {
            client: {node.table.assign(now, all_.number[client]).server for node in nodes} for client in some
        }
        apart = sum(len(names) > 1 for names in named.values())
        elsewhere = {client for client, names in named.items() if names != {all_.last[client][0]}}
        return apart, len(elsewhere - all_.reached_unknown)
