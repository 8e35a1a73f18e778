"""Proxy nodes and app servers in simulated time, without sockets.

`World` runs real affinity tables and checks that a client with a live assignment keeps its server. Messages
are encoded and decoded, and take one tick; links may lose them, nodes may be cut off, and nodes may learn of
app servers at different times. Random choices depend on the seed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random
from typing import Any, NamedTuple

from thymeyoke.affinity import wire
from thymeyoke.affinity.controller import AffinityTable, SendMessage
from thymeyoke.affinity.rendezvous import RendezvousHash
from thymeyoke.membership.view import Member, Snapshot, State, Trust, View

LONG_SERVED_SECONDS = 1e6  # age of servers that were there before the start
MAX_ATTEMPTS = 80  # of one connection


class ServerFacts(NamedTuple):
    """The state of an app server as membership reports it."""

    state: State
    incarnation: int
    state_since: float
    trust: Trust = Trust.SURE

    @property
    def is_present(self) -> bool:
        return self.trust > Trust.DEAD and self.state < State.GONE


class World:
    """A simulated fleet. `late`: the delay in seconds with which a node learns of app servers."""

    def __init__(
        self,
        nodes: Iterable[str] = "abc",
        servers: Iterable[str] = ("s1", "s2"),
        table_type: type[AffinityTable] = AffinityTable,
        idle_timeout: float = 8.0,
        margin: float = 1.0,
        max_bindings: int = 1000,
        ticks: int = 16,
        late: Mapping[str, float] | None = None,
        seed: int = 1,
    ) -> None:
        self.now, self.table_type, self.rng, self.loss = 1000.0, table_type, Random(seed), 0.0
        self.idle_timeout = idle_timeout
        self.margin = margin
        self.max_bindings = max_bindings
        self.tick = margin / ticks
        self.late = dict(late or {})
        self.incarnations: Counter[str] = Counter()
        self.servers: dict[str, ServerFacts] = {}
        self.seen: dict[tuple[str, str], ServerFacts] = {}  # by node and server
        self.pending_updates: list[tuple[float, str, str]] = []  # when a node learns of a server
        self.nodes: dict[str, AffinityTable] = {}
        self.dead: set[str] = set()  # nodes
        self.cut: set[str] = set()  # nodes cut off from the others
        self.messages_in_flight: list[tuple[str, str, bytes]] = []
        self.updates_received = 0  # updates of servers that nodes have received
        self.known: tuple[Any, ...] = ()  # inputs of the views, which are rebuilt when these change
        self.next_refresh_at = self.now
        self.sent_bytes = 0
        self.other_actions: list[tuple[str, Any]] = []  # actions other than messages
        self.opened: dict[int, list[tuple[str, str]]] = {}  # by client: node and server of each connection
        self.expected: dict[int, tuple[str, int, float]] = {}  # server, incarnation, expiry after closing
        self.violations: list[str] = []  # live assignments that changed
        self.raced: list[str] = []  # the same, while a message about it was on its way to the node
        self.exempt_clients: set[int] = set()  # their bindings died with the only node that knew them
        for name in servers:
            self.start_server(name, state_since=self.now - LONG_SERVED_SECONDS)
        for name in nodes:
            self.start_node(name)
        self.advance(margin)

    # Changes to the fleet.

    def start_server(self, name: str, state_since: float | None = None, **changed: Any) -> None:
        """Start a server in a new incarnation, or change the current one."""
        if changed:
            self.servers[name] = self.servers[name]._replace(**changed)
        else:
            self.incarnations[name] += 1
            self.servers[name] = ServerFacts(
                State.SERVING, self.incarnations[name], self.now if state_since is None else state_since
            )
        self.pending_updates += [(self.now + self.late.get(node, 0.0), node, name) for node in self.nodes]
        if not (self.servers[name].is_present and self.servers[name].state == State.SERVING):
            self.expected = {one: told for one, told in self.expected.items() if told[0] != name}
        self._apply_updates()

    def _apply_updates(self) -> None:
        for at, node, name in self.pending_updates:
            if at <= self.now:
                self.updates_received += 1
                self.seen[node, name] = self.servers[name]
        self.pending_updates = [one for one in self.pending_updates if one[0] > self.now]

    def start_node(self, name: str) -> None:
        self.incarnations[name] += 1
        self.dead.discard(name)
        self.nodes[name] = self.table_type(self.now, name, self.idle_timeout, self.max_bindings, self.margin)
        self.seen |= {(name, server): server_facts for server, server_facts in self.servers.items()}

    def kill_node(self, name: str) -> None:
        table = self.nodes.pop(name)
        self.dead.add(name)
        low = min(
            (table.peers[one].acknowledged if one in table.peers else 0 for one in self.nodes), default=0
        )
        self.exempt_clients |= {one for _, one in table.log.entries_after(low)} | table.recent_clients.keys()
        if self.now < table.fleet_young_until:
            self.exempt_clients |= table.open_connections.keys()
        for one in list(self.opened):
            self._end_connections(
                one, [connection for connection in self.opened[one] if connection[0] == name]
            )

    def view(self, node: str) -> View:
        known: dict[str, Member] = {}
        for name in [*self.nodes, *self.dead]:
            is_cut_off = name in self.dead or (name in self.cut) != (node in self.cut)
            snapshot = Snapshot(name, True, self.incarnations[name], 1, State.SERVING, "")
            known[name] = Member(snapshot, Trust.DEAD if is_cut_off else Trust.SURE, 0.0, 1.0)
        for name in self.servers:
            server_facts = self.seen.get((node, name))
            if server_facts is not None:
                since = max(0.0, self.now - server_facts.state_since)
                snapshot = Snapshot(
                    name, False, server_facts.incarnation, 1, server_facts.state, "", since=since
                )
                known[name] = Member(snapshot, server_facts.trust, self.late.get(node, 0.0), 1.0)
        return View(1, self.now, node, known)

    def advance(self, span: float) -> None:
        """Advance the simulated time, tick by tick."""
        for _ in range(max(1, round(span / self.tick))):
            self.now += self.tick
            self._apply_updates()
            messages_in_flight, self.messages_in_flight = self.messages_in_flight, []
            receivers = set()
            for sender, to, body in messages_in_flight:
                is_cut_off = (sender in self.cut) != (to in self.cut)
                if to in self.nodes and not is_cut_off and self.rng.random() >= self.loss:
                    self.nodes[to].receive(self.now, sender, wire.decode(body))
                    receivers.add(to)
            known = len(self.seen), tuple(self.nodes), sorted(self.cut), self.updates_received
            is_refresh = known != self.known or self.now >= self.next_refresh_at
            if is_refresh:
                self.known, self.next_refresh_at = known, self.now + self.margin / 4
            for name, table in self.nodes.items():
                if is_refresh:
                    table.observe(self.now, self.view(name))
                if is_refresh or name in receivers or table.next_advance_at(self.now) <= self.now:
                    self._run_node(name, table)

    def _run_node(self, name: str, table: AffinityTable) -> None:
        encoded: dict[int, bytes] = {}  # most nodes get the same message
        for _ in range(64):
            actions = table.advance(self.now)
            for action in actions:
                if isinstance(action, SendMessage):
                    which = id(action.body)
                    body = encoded.get(which) or encoded.setdefault(which, wire.encode(action.body))
                    assert len(body) <= wire.MAX_MESSAGE_BYTES, len(body)
                    self.sent_bytes += len(body)
                    self.messages_in_flight.append((name, action.to, body))
                else:
                    self.other_actions.append((name, action))
            encoded.clear()
            if not (table.clients_to_check or table.bindings_to_check):
                break

    # Clients.

    def open_connection(self, client: int, node: str) -> str:
        """Open a connection at a node; return the server reached, or "" after too many attempts."""
        if self.cut:  # both sides of a partition may assign the client
            self.exempt_clients.add(client)
        table = self.nodes[node]
        assignment = table.assign(self.now, client)
        for _ in range(MAX_ATTEMPTS):
            server_facts = self.servers.get(assignment.server)
            if server_facts and server_facts.is_present:
                break
            if assignment.server:
                assignment = table.connect_failed(self.now, client, assignment.server)
            else:
                self.advance(assignment.wait)
                assignment = table.assign(self.now, client)
        else:
            return ""
        table.connection_opened(self.now, client, assignment.server)
        before = self.expected.get(client)
        moved = (
            before
            and before[0] != assignment.server
            and self.has_live_assignment(client)
            and client not in self.exempt_clients
        )
        raced = moved and self._on_its_way(client, node)
        if before and moved:
            (self.raced if raced else self.violations).append(
                f"{client} at {node}: {before[0]} to {assignment.server}"
            )
        self.opened.setdefault(client, []).append((node, assignment.server))
        server_facts = self.servers[assignment.server]
        if self.seen[node, assignment.server][:2] == server_facts[:2] and not raced:
            self.expected[client] = assignment.server, server_facts.incarnation, 0.0
        else:  # two bindings compete, or the node does not know yet that the server left or restarted
            self.expected.pop(client, None)
        return assignment.server

    def _on_its_way(self, client: int, node: str) -> bool:
        return any(table.log.number_by_client.get(client, 0) > table.peers[node].acknowledged
                   for table in self.nodes.values() if node in table.peers)  # fmt: skip

    def has_live_assignment(self, client: int) -> bool:
        """Whether the client has an assignment that must not change."""
        server, incarnation, until = self.expected[client]
        server_facts = self.servers[server]
        is_present = server_facts.is_present and (server_facts.state, server_facts.incarnation) == (
            State.SERVING,
            incarnation,
        )
        return is_present and (self.now < until or client in self.opened)

    def close_connections(self, client: int) -> None:
        for node, server in list(self.opened.get(client, ())):
            self._end_connections(client, [(node, server)])
            self.nodes[node].connection_closed(self.now, client, server)

    def _end_connections(self, client: int, connections: list[tuple[str, str]]) -> None:
        for connection in connections:
            self.opened[client].remove(connection)
        if not self.opened[client]:
            del self.opened[client]
            if client in self.expected:
                self.expected[client] = *self.expected[client][:2], self.now + self.idle_timeout

    def chosen_servers(self, client: int) -> set[str]:
        """The servers that the joined nodes choose for a client; just one if they agree."""
        return {table.assign(self.now, client).server for table in self.nodes.values() if table.has_joined}

    def agree(self, clients: Iterable[int]) -> bool:
        """Whether all nodes choose the same server for each client, except for bindings that expire now."""
        disagreeing = [client for client in clients if len(self.chosen_servers(client)) != 1]
        if disagreeing:
            self.advance(self.margin / 4)
        return all(len(self.chosen_servers(client)) == 1 for client in disagreeing)

    def clients_choosing(self, name: str, clients: Iterable[int], count: int = 1) -> list[int]:
        """The first clients whose hash chooses `name` among it and all servers."""
        places = RendezvousHash({*self.servers, name})
        return [client for client in clients if places.first_choice(client) == name][:count]
