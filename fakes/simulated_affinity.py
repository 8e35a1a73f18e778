"""Nodes and app servers in one simulated time, without sockets: what `affinity` decides for a whole fleet,
and a checker of the promise that a live seat does not change.

Words go through their codec and take one tick; links may lose them, a node may be cut off, and nodes may hear
of app servers at different moments. By seed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random
from typing import Any, NamedTuple

from thymeyoke.affinity import wire
from thymeyoke.affinity.controller import Seats, Tell
from thymeyoke.affinity.rendezvous import Places
from thymeyoke.membership.view import Member, Snapshot, State, Trust, View

OLD = 1e6  # seconds that a server has served
TRIES = 80  # of a connection that waits or fails


class Facts(NamedTuple):
    """What members say of an app server."""

    state: State
    life: int
    begun: float  # when it came into the state
    trust: Trust = Trust.SURE

    @property
    def there(self) -> bool:
        return self.trust > Trust.DEAD and self.state < State.GONE


class World:
    """`late`: by how much later a node hears of app servers, and thinks that they began earlier."""

    def __init__(
        self, nodes: Iterable[str] = "abc", servers: Iterable[str] = ("s1", "s2"), kind: type[Seats] = Seats,
        linger: float = 8.0, margin: float = 1.0, most: int = 1000, ticks: int = 16,
        late: Mapping[str, float] | None = None, seed: int = 1,
    ) -> None:  # fmt: skip
        self.now, self.kind, self.rng, self.loss = 1000.0, kind, Random(seed), 0.0
        self.linger, self.margin, self.most, self.tick = linger, margin, most, margin / ticks
        self.late = dict(late or {})
        self.lives: Counter[str] = Counter()
        self.servers: dict[str, Facts] = {}
        self.seen: dict[tuple[str, str], Facts] = {}  # by node and server
        self.news: list[tuple[float, str, str]] = []  # when a node hears of a server
        self.nodes: dict[str, Seats] = {}
        self.dead: set[str] = set()  # nodes
        self.cut: set[str] = set()  # nodes that the others do not reach
        self.mail: list[tuple[str, str, bytes]] = []
        self.turns = 0  # times that a node heard of a server
        self.known: tuple[Any, ...] = ()  # what views rest on: made anew as it changes, and at beats
        self.beat_at = self.now
        self.octets = 0
        self.done: list[tuple[str, Any]] = []  # actions that are no words
        self.opened: dict[int, list[tuple[str, str]]] = {}  # by customer: node and server of each connection
        self.truth: dict[int, tuple[str, int, float]] = {}  # server, its life, until when once all closed
        self.lost: list[str] = []  # live seats that changed
        self.raced: list[str] = []  # the same, while a word of it was on its way to the node
        self.excused: set[int] = set()  # customers of whom a node took what it alone knew with it
        for name in servers:
            self.serve(name, begun=self.now - OLD)
        for name in nodes:
            self.start(name)
        self.flow(margin)

    # What happens.

    def serve(self, name: str, begun: float | None = None, **changed: Any) -> None:
        """A server in a new life, or changed in this one."""
        if changed:
            self.servers[name] = self.servers[name]._replace(**changed)
        else:
            self.lives[name] += 1
            self.servers[name] = Facts(State.SERVING, self.lives[name], self.now if begun is None else begun)
        self.news += [(self.now + self.late.get(node, 0.0), node, name) for node in self.nodes]
        if not (self.servers[name].there and self.servers[name].state == State.SERVING):
            self.truth = {one: told for one, told in self.truth.items() if told[0] != name}
        self._hear()

    def _hear(self) -> None:
        for at, node, name in self.news:
            if at <= self.now:
                self.turns += 1
                self.seen[node, name] = self.servers[name]
        self.news = [one for one in self.news if one[0] > self.now]

    def start(self, name: str) -> None:
        self.lives[name] += 1
        self.dead.discard(name)
        self.nodes[name] = self.kind(self.now, name, self.linger, self.most, self.margin)
        self.seen |= {(name, server): facts for server, facts in self.servers.items()}

    def kill(self, name: str) -> None:
        seats = self.nodes.pop(name)
        self.dead.add(name)
        low = min((seats.peers[one].acked if one in seats.peers else 0 for one in self.nodes), default=0)
        self.excused |= {one for _, one in seats.log.after(low)} | seats.recent.keys()
        if self.now < seats.young_until:
            self.excused |= seats.open.keys()
        for one in list(self.opened):
            self._over(one, [link for link in self.opened[one] if link[0] == name])

    def view(self, node: str) -> View:
        known: dict[str, Member] = {}
        for name in [*self.nodes, *self.dead]:
            apart = name in self.dead or (name in self.cut) != (node in self.cut)
            said = Snapshot(name, True, self.lives[name], 1, State.SERVING, "")
            known[name] = Member(said, Trust.DEAD if apart else Trust.SURE, 0.0, 1.0)
        for name in self.servers:
            facts = self.seen.get((node, name))
            if facts is not None:
                since = max(0.0, self.now - facts.begun)
                said = Snapshot(name, False, facts.life, 1, facts.state, "", since=since)
                known[name] = Member(said, facts.trust, self.late.get(node, 0.0), 1.0)
        return View(1, self.now, node, known)

    def flow(self, span: float) -> None:
        """Time passes, a tick at a time."""
        for _ in range(max(1, round(span / self.tick))):
            self.now += self.tick
            self._hear()
            mail, self.mail = self.mail, []
            heard = set()
            for sender, to, body in mail:
                apart = (sender in self.cut) != (to in self.cut)
                if to in self.nodes and not apart and self.rng.random() >= self.loss:
                    self.nodes[to].heard(self.now, sender, wire.decode(body))
                    heard.add(to)
            known = len(self.seen), tuple(self.nodes), sorted(self.cut), self.turns
            beat = known != self.known or self.now >= self.beat_at
            if beat:
                self.known, self.beat_at = known, self.now + self.margin / 4
            for name, seats in self.nodes.items():
                if beat:
                    seats.saw(self.now, self.view(name))
                if beat or name in heard or seats.next(self.now) <= self.now:
                    self._settle(name, seats)

    def _settle(self, name: str, seats: Seats) -> None:
        made: dict[int, bytes] = {}  # most nodes are told the same
        for _ in range(64):
            actions = seats.settle(self.now)
            for action in actions:
                if isinstance(action, Tell):
                    which = id(action.body)
                    body = made.get(which) or made.setdefault(which, wire.encode(action.body))
                    assert len(body) <= wire.WORD_LIMIT, len(body)
                    self.octets += len(body)
                    self.mail.append((name, action.to, body))
                else:
                    self.done.append((name, action))
            made.clear()
            if not (seats.scan or seats.look):
                break

    # Customers.

    def open(self, one: int, node: str) -> str:
        """A connection comes to a node; the server that it reaches, "" where it waits for too long."""
        if self.cut:  # two halves seat a customer twice
            self.excused.add(one)
        seats = self.nodes[node]
        seat = seats.seat(self.now, one)
        for _ in range(TRIES):
            facts = self.servers.get(seat.server)
            if facts and facts.there:
                break
            if seat.server:
                seat = seats.failed(self.now, one, seat.server)
            else:
                self.flow(seat.wait)
                seat = seats.seat(self.now, one)
        else:
            return ""
        seats.opened(self.now, one, seat.server)
        before = self.truth.get(one)
        moved = before and before[0] != seat.server and self.live(one) and one not in self.excused
        raced = moved and self._on_its_way(one, node)
        if before and moved:
            (self.raced if raced else self.lost).append(f"{one} at {node}: {before[0]} to {seat.server}")
        self.opened.setdefault(one, []).append((node, seat.server))
        facts = self.servers[seat.server]
        if self.seen[node, seat.server][:2] == facts[:2] and not raced:
            self.truth[one] = seat.server, facts.life, 0.0
        else:  # raced: one of two holds. Or the node has not heard that it left, or restarted: it moves yet
            self.truth.pop(one, None)
        return seat.server

    def _on_its_way(self, one: int, node: str) -> bool:
        return any(seats.log.at.get(one, 0) > seats.peers[node].acked
                   for seats in self.nodes.values() if node in seats.peers)  # fmt: skip

    def live(self, one: int) -> bool:
        """Whether the customer has a seat that must not change."""
        server, life, until = self.truth[one]
        facts = self.servers[server]
        there = facts.there and (facts.state, facts.life) == (State.SERVING, life)
        return there and (self.now < until or one in self.opened)

    def close(self, one: int) -> None:
        for node, server in list(self.opened.get(one, ())):
            self._over(one, [(node, server)])
            self.nodes[node].closed(self.now, one, server)

    def _over(self, one: int, links: list[tuple[str, str]]) -> None:
        for link in links:
            self.opened[one].remove(link)
        if not self.opened[one]:
            del self.opened[one]
            if one in self.truth:
                self.truth[one] = *self.truth[one][:2], self.now + self.linger

    def seats(self, one: int) -> set[str]:
        """What the nodes that have joined name; one name where they agree."""
        return {seats.seat(self.now, one).server for seats in self.nodes.values() if seats.joined}

    def agree(self, customers: Iterable[int]) -> bool:
        """Whether all nodes name the same for each, but for what expires at this moment."""
        apart = [one for one in customers if len(self.seats(one)) != 1]
        if apart:
            self.flow(self.margin / 4)
        return all(len(self.seats(one)) == 1 for one in apart)

    def drawn_by(self, name: str, customers: Iterable[int], count: int = 1) -> list[int]:
        """The first customers whose choice among all servers and `name` it is."""
        places = Places({*self.servers, name})
        return [one for one in customers if places.first(one) == name][:count]
