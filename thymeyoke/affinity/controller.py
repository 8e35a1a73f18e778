"""Assigns clients to app servers, and replicates the assignments so that all proxy nodes agree on them.

Clients are hashed over the servers that accept clients. A client whose server differs from the hash, because
servers have come or gone since, has a *binding* to its server, which is replicated to all nodes.

Pure: it receives events with their time and returns assignments and messages. The owner calls `advance` after
`observe` and `receive`, and at the time that `next_advance_at` returns; that time may change with each call.

All durations are multiples of the idle timeout or of the *margin*: the time by which the knowledge that two
nodes have of an app server may differ, which is the age of a snapshot and the delay of a message.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum, IntEnum
from heapq import heapify, heappop, heappush
from math import inf
from typing import Any, NamedTuple

from thymeyoke.affinity.bindings import (
    MAX_STAMP,
    MAX_STAMP_LEAD,
    Binding,
    ReplicatedEntry,
    find_fault,
    join_bindings,
)
from thymeyoke.affinity.messages import (
    CHUNK_BYTES,
    ENTRY_BYTES,
    MARK_BYTES,
    SERVER_BYTES,
    LogAck,
    LogChunk,
    LogRequest,
    Message,
    StateMarks,
)
from thymeyoke.affinity.rendezvous import RendezvousHash
from thymeyoke.affinity.replication import PeerReplication, ReplicationLog
from thymeyoke.affinity.server_state import (
    LIVE_STATES,
    ServerEvent,
    ServerRecord,
    ServerState,
    next_state,
    sanitized_span,
    server_event,
)
from thymeyoke.membership.view import Member, State, Trust, View

DEFAULT_MARGIN_SHARE = 1 / 8  # of the idle timeout: the margin, if none is given
MIN_MARGIN_SECONDS = 1.0  # about the age of a snapshot, even if the idle timeout is short

# Durations in multiples of the idle timeout.
BINDING_TTL_TIMEOUTS = 2.0  # TTL of a binding when it is created or renewed
RENEWAL_TIMEOUTS = 1.5  # a connected client's binding with less time left is renewed
# Between two checks of a binding. RENEWAL_TIMEOUTS less this exceeds 1, so that other nodes always know the
# binding of a connected client for at least one more idle timeout.
CHECK_INTERVAL_TIMEOUTS = 0.25

# Durations in multiples of the margin.
SEND_INTERVAL_MARGINS = 1 / 16  # least time between two sends of the log to one node
RETRY_MARGINS = 1 / 4  # without an acknowledgment, until the log is sent again; doubles up to 16 times
DISCOVERY_QUIET_MARGINS = 1 / 2  # without a new member, after which a joining node knows all members
JOIN_TIMEOUT_MARGINS = 2.0  # for which connections wait while a node joins
HANDOVER_TIMEOUT_MARGINS = 2.0
DEFERRAL_TIMEOUT_MARGINS = 2.0  # for which a received binding waits until its server is known
ESTABLISHED_MARGINS = 4.0  # after its ripening time all nodes have certainly accepted a server

MAX_CHUNKS_IN_FLIGHT = 8  # unacknowledged chunks sent to one node at once
MAX_ITEMS_PER_CALL = 4096  # bindings, or clients, that one call of `advance` checks
MAX_CHUNK_ENTRIES = 1024
MAX_MARKS = 1024  # servers whose state is announced to other nodes at once; for the others the margin applies
MAX_STAMP_JUMP = 1 << 20  # by which one message may raise this node's own stamp
MAX_FALLBACK_SHARE = 1 / 4  # of the bindings: most that failed connects may create


class AssignmentReason(Enum):
    """Why a client has its server, or none."""

    HASH = "hash"  # first choice among the servers that accept clients
    BINDING = "kept"
    FALLBACK = "next"  # next choice after a failed connect
    JOINING = "joining"  # this node does not know the bindings of the others yet
    AGREEING = "agreeing"  # other nodes may not hash over the client's new server yet
    NO_SERVER = "nobody"  # no app server accepts clients
    ALL_FAILED = "nowhere"  # connects to all servers have failed recently


class Assignment(NamedTuple):
    """A client's server; if `server` is "", the connection must wait for `wait` seconds and ask again."""

    server: str
    reason: AssignmentReason
    wait: float = 0.0


class NodePhase(IntEnum):
    """Phase of this node's own membership."""

    JOINING = 0  # requests the bindings of other nodes; connections wait
    READY = 1
    LEAVING = 2  # hands over its bindings, and still assigns clients
    LEFT = 3  # the handover is complete or timed out


class SendMessage(NamedTuple):
    """Send a message to another node."""

    to: str  # name of the node
    body: Message


class Joined(NamedTuple):
    """This node has joined and can assign clients."""

    unanswered: int  # nodes that have not sent all their bindings in time


class HandedOver(NamedTuple):
    """The bindings that only this node knew have been handed over."""

    unacknowledged: int  # nodes that have not acknowledged all of them in time


Action = SendMessage | Joined | HandedOver


class LogEvent(NamedTuple):
    """A change to log: a server's state, or a binding that was created, received or dropped."""

    event: str
    fields: dict[str, Any]


class AffinityTable:
    """The assignments of all clients, as one node knows them.

    `idle_timeout` and `margin` are in seconds. Holds at most `max_bindings` bindings.
    """

    def __init__(
        self, now: float, own_name: str, idle_timeout: float, max_bindings: int, margin: float | None = None
    ) -> None:
        self.own_name, self.idle_timeout, self.max_bindings = own_name, idle_timeout, max(1, max_bindings)
        self.margin = (
            max(MIN_MARGIN_SECONDS, DEFAULT_MARGIN_SHARE * idle_timeout) if margin is None else margin
        )
        self.phase = NodePhase.JOINING
        self.first_view_at = inf
        self.leaving_since = inf
        self.handover_target = 0
        self.last_discovery_at = -inf  # when the view last showed a new member
        self.unanswered_seeds = 0  # seed addresses whose members the view may not know yet
        self.has_joined = False  # stays False in a node that leaves while it joins
        # After a stall: until then messages sent meanwhile may be missing.
        self.resync_until = -inf
        # After a stall: until `stale_until` received messages may be `staleness` seconds old.
        self.staleness, self.stale_until = 0.0, -inf
        self.incarnation = -1  # this node's own, from the view; -1 before the first view
        self.stamp = 0  # latest logical timestamp that was created, or received and plausible
        self.servers: dict[str, ServerRecord] = {}  # the app servers in the view
        # Hash over the servers in state TAKING, and over dead servers that may return.
        self.taking, self.returnable = RendezvousHash(), RendezvousHash()
        # Hash over the servers in states RIPENING and RIPE, and over those of them that never were GONE.
        self.entering = self.entering_new = RendezvousHash()
        # Hash over servers that have left less than a margin ago: other nodes may not know it yet.
        self.recently_left, self.recently_left_until = RendezvousHash(), -inf
        self.hash_changed_at = now  # when `taking` changed
        # Until then no app server has been serving for an idle timeout and a margin.
        self.fleet_young_until = -inf
        self.transitioning: list[ServerRecord] = []  # between RIPENING and agreed TAKING
        self.peers: dict[str, PeerReplication] = {}  # the other live nodes
        self.open_connections: dict[int, int] = {}  # number of connections, by client
        self.bindings: dict[int, Binding] = {}  # by client, at most `max_bindings`; removed when they expire
        self.vouched_by: dict[int, str] = {}  # by client: the node whose log has the binding, if not this one
        self.log = ReplicationLog()  # the bindings that this node replicates to others
        self.own_marks = StateMarks()
        self.own_marks_until = -inf  # when time alone may change them
        # By client, until when: clients without connections whose server may change without ripening.
        self.recent_clients: dict[int, float] = {}
        # By client: received bindings to unknown servers, with their sender and time.
        self.deferred: dict[int, tuple[ReplicatedEntry, str, float]] = {}
        self.fallback_clients: set[int] = set()  # clients with a binding made after a failed connect
        self.failed_connects: dict[str, float] = {}  # time of the last failed connect, by server
        self.expiry_heap: list[tuple[float, int]] | None = None  # (expiry, client); only with a full table
        self.clients_to_check: list[int] = []  # clients that servers on their way into the hash may affect
        self.bindings_to_check: list[int] = []  # clients whose bindings are left to check in this round
        self.next_check_at = now + CHECK_INTERVAL_TIMEOUTS * idle_timeout
        self.counts: Counter[str] = Counter()
        self.log_events: list[LogEvent] | None = None  # collected if not None; cleared by the reader

    def _record(self, event: str, **fields: Any) -> None:
        if self.log_events is not None:
            self.log_events.append(LogEvent(event, fields))

    # Assignments.

    def assign(self, now: float, client: int) -> Assignment:
        """Assign a server to a new connection of a client."""
        if not self.has_joined or now < self.resync_until:
            return Assignment("", AssignmentReason.JOINING, self._send_interval)
        binding = self._valid_binding(now, client)
        if binding is not None:
            return Assignment(binding.server, AssignmentReason.BINDING)
        best, name = self.taking.best(client)
        if not name:
            return Assignment("", AssignmentReason.NO_SERVER, self._send_interval)
        if self.servers[name].agreeing:
            self.counts["waited_for_agreement"] += 1
            return Assignment("", AssignmentReason.AGREEING, self._send_interval)
        if (
            self.entering.has_better(client, best, name)
            or self._has_competing_binding(now, client, name)
            or (now < self.recently_left_until and self.recently_left.has_better(client, best, name))
        ):
            self._bind(now, client, name)
            return Assignment(name, AssignmentReason.BINDING)
        return Assignment(name, AssignmentReason.HASH)

    def connection_opened(self, now: float, client: int, server: str) -> None:
        """Note that a connection of a client to its server is established."""
        self.open_connections[client] = self.open_connections.get(client, 0) + 1
        binding = self._valid_binding(now, client)
        if binding is not None:
            if binding.expires_at < now + RENEWAL_TIMEOUTS * self.idle_timeout:
                self._renew(now, client, binding)
            return
        if self._prefers_returnable(client):
            self._remember_client(now, client)
        # Without a recent or coming change of the hash, the server is the client's first choice and stays so.
        if not self.entering and now > self.hash_changed_at + self.margin:
            return
        record = self.servers.get(server)
        if record is None or record.state not in LIVE_STATES:
            return
        best, name = self.taking.best(client)
        if name != server or self.entering.has_better(client, best, name):
            self._bind(now, client, server)

    def connection_closed(self, now: float, client: int, server: str) -> None:
        """Note that a connection was closed; the assignment outlives the last one by an idle timeout."""
        count = self.open_connections.get(client, 0)
        if count > 1:
            self.open_connections[client] = count - 1
            return
        if not count:
            self.counts["closed_unopened"] += 1
            return
        del self.open_connections[client]
        binding = self._valid_binding(now, client)
        if binding is not None:
            if binding.expires_at < now + self.idle_timeout:  # not renewed in time, as this process stalled
                self._renew(now, client, binding)
        elif now < self.fleet_young_until or self._prefers_returnable(client):
            self._remember_client(now, client)

    def connect_failed(self, now: float, client: int, server: str) -> Assignment:
        """Assign the next server after a failed connect; all nodes that fail to connect choose the same one.

        It becomes a binding, so that the client also stays there at nodes that can reach the failed server.
        """
        if not self.has_joined or now < self.resync_until:
            return self.assign(now, client)
        if server in self.servers:
            self.failed_connects[server] = now
            self.counts["connects_failed"] += 1
        binding = self._valid_binding(now, client)
        if (
            binding is not None
            and binding.server != server
            and not self._failed_recently(now, binding.server)
        ):
            return Assignment(binding.server, AssignmentReason.BINDING)
        for name in self.taking.ranking(client):
            if not (self.servers[name].agreeing or self._failed_recently(now, name)):
                break
        else:
            return Assignment("", AssignmentReason.ALL_FAILED, self.margin * RETRY_MARGINS)
        if len(self.fallback_clients) < max(1, int(self.max_bindings * MAX_FALLBACK_SHARE)):
            self._bind(now, client, name)
            if client in self.bindings:
                self.fallback_clients.add(client)
        else:
            self.counts["beside_full"] += 1
        return Assignment(name, AssignmentReason.FALLBACK)

    def _failed_recently(self, now: float, server: str) -> bool:
        return now < self.failed_connects.get(server, -inf) + self.margin

    def _valid_binding(self, now: float, client: int) -> Binding | None:
        """The client's binding, if it has not expired and its server is alive in the same incarnation."""
        binding = self.bindings.get(client)
        return (
            binding if binding is not None and binding.expires_at > now and self._is_valid(binding) else None
        )

    def _is_valid(self, binding: Binding) -> bool:
        server = self.servers.get(binding.server)
        return (
            server is not None and server.incarnation == binding.incarnation and server.state in LIVE_STATES
        )

    def _has_competing_binding(self, now: float, client: int, name: str) -> bool:
        """Whether an old binding could move the client away from server `name` again.

        Either the binding's server was found dead, but may return; or the binding has just expired, and a
        node that received it late still holds it.
        """
        binding = self.bindings.get(client)
        if binding is None:
            return False
        if binding.expires_at <= now:
            return binding.server != name and now < binding.expires_at + self.margin
        server = self.servers.get(binding.server)
        return server is not None and server.incarnation == binding.incarnation and server.may_return

    def _prefers_returnable(self, client: int) -> bool:
        """Whether the client's first choice would be a dead server, if that returned."""
        return bool(self.returnable) and not self.taking.has_better(client, *self.returnable.best(client))

    def _remember_client(self, now: float, client: int) -> None:
        """Remember a client without a binding, whose server a returning server might change."""
        self.recent_clients.pop(client, None)
        self.recent_clients[client] = now + self.idle_timeout
        if len(self.recent_clients) > self.max_bindings:
            del self.recent_clients[next(iter(self.recent_clients))]
            self.counts["recent_full"] += 1

    # Bindings.

    def _bind(self, now: float, client: int, server: str) -> None:
        """Bind a client to a server, with a later stamp than all its known bindings."""
        self.stamp += 1
        before = self.bindings.get(client)
        new_stamp = self.stamp if before is None else max(self.stamp, before.stamp + 1)
        record = self.servers[server]
        self._store(
            client,
            Binding(
                new_stamp, record.name, record.incarnation, now + BINDING_TTL_TIMEOUTS * self.idle_timeout
            ),
            "",
        )
        self.counts["kept"] += 1
        if self.log_events is not None:
            self._record(
                "binding_created",
                customer=client,
                server=server,
                stamp=new_stamp,
                taking=self.taking.names,
                coming=self.entering.names,
                dead=self.returnable.names,
            )

    def _renew(self, now: float, client: int, binding: Binding) -> None:
        self._store(client, binding._replace(expires_at=now + BINDING_TTL_TIMEOUTS * self.idle_timeout), "")

    def _store(self, client: int, binding: Binding, vouched_by: str) -> None:
        """Store a binding; if `vouched_by` is "", this node replicates it to the others."""
        before = self.bindings.get(client)
        if before is not None and before[:3] != binding[:3]:
            self.fallback_clients.discard(client)
        self.bindings[client] = binding
        if vouched_by:
            self.vouched_by[client] = vouched_by
            self.log.remove(client)
        else:
            self.vouched_by.pop(client, None)
            self.log.append(client)
        if self.expiry_heap is not None:
            heappush(self.expiry_heap, (binding.expires_at, client))
        if len(self.bindings) > self.max_bindings:
            self._evict()

    def _evict(self) -> None:
        """Drop the bindings that expire first until the table is within its limit."""
        if self.expiry_heap is None or len(self.expiry_heap) > 4 * self.max_bindings:
            self.expiry_heap = [(binding.expires_at, client) for client, binding in self.bindings.items()]
            heapify(self.expiry_heap)
        while len(self.bindings) > self.max_bindings:
            until, client = heappop(self.expiry_heap)
            binding = self.bindings.get(client)
            if binding is not None and binding.expires_at <= until:
                self._drop(client)
                self.counts["kept_full"] += 1
            elif binding is not None:
                heappush(self.expiry_heap, (binding.expires_at, client))

    def _drop(self, client: int) -> None:
        binding = self.bindings.pop(client)
        if self.log_events is not None:
            self._record("binding_dropped", customer=client, server=binding.server, stamp=binding.stamp)
        self.vouched_by.pop(client, None)
        self.fallback_clients.discard(client)
        self.log.remove(client)

    def _check_bindings(self, now: float) -> None:
        """Drop expired bindings, and renew those of connected clients in time."""
        if now >= self.next_check_at:
            self.bindings_to_check = list(self.bindings)
            self.next_check_at = now + CHECK_INTERVAL_TIMEOUTS * self.idle_timeout
            self.failed_connects = {
                name: at for name, at in self.failed_connects.items() if self._failed_recently(now, name)
            }
            self._retry_deferred(now)
            if self.expiry_heap is not None and len(self.bindings) < self.max_bindings * 7 // 8:
                self.expiry_heap = None
        for client in _take_batch(self.bindings_to_check):
            binding = self.bindings.get(client)
            if binding is None:
                continue
            if binding.expires_at + self.margin <= now:  # kept a margin longer for `_has_competing_binding`
                self._drop(client)
            elif (
                client in self.open_connections
                and binding.expires_at < now + RENEWAL_TIMEOUTS * self.idle_timeout
                and self._is_valid(binding)
            ):
                self._renew(now, client, binding)
        while self.recent_clients:
            client, until = next(iter(self.recent_clients.items()))
            if until > now:
                break
            if client in self.open_connections and self._prefers_returnable(client):
                self._remember_client(now, client)
            else:
                del self.recent_clients[client]

    def _bind_affected_clients(self, now: float) -> None:
        """Bind connected and recent clients whose assignment an entering server would change."""
        for client in _take_batch(self.clients_to_check):
            if not (client in self.open_connections or client in self.recent_clients) or self._valid_binding(
                now, client
            ):
                continue
            entering = self.entering if client in self.recent_clients else self.entering_new
            if not (self.taking and entering) or self.taking.has_better(client, *entering.best(client)):
                continue
            name = self.taking.first_choice(client)
            if not self.servers[name].agreeing:
                self._bind(now, client, name)

    # Views of the fleet.

    def observe(self, now: float, view: View) -> None:
        """Apply a new view of the fleet's members, or newer load figures of the same one."""
        self.first_view_at = min(self.first_view_at, now)
        self.unanswered_seeds = view.unanswered_seeds
        own = view.members.get(self.own_name)
        if own is not None and own.snapshot.incarnation != self.incarnation:
            self.incarnation = own.snapshot.incarnation
            for peer in self.peers.values():
                peer.restart_from()
        ended_incarnations: set[tuple[str, int]] = set()
        servers = view.servers()
        for member in servers:
            self._observe_server(now, view.at, member, ended_incarnations)
        for name in self.servers.keys() - {member.name for member in servers}:
            record = self.servers.pop(name)
            if next_state(record.state, ServerEvent.FORGOTTEN) != record.state:
                ended_incarnations.add((name, record.incarnation))
        if ended_incarnations:
            for client in [
                key
                for key, binding in self.bindings.items()
                if (binding.server, binding.incarnation) in ended_incarnations
            ]:
                self._drop(client)
        self._observe_nodes(now, view)
        self._rebuild_hashes(now)
        self._retry_deferred(now)
        self._advance_servers(now)

    def _observe_server(
        self, now: float, at: float, member: Member, ended_incarnations: set[tuple[str, int]]
    ) -> None:
        snapshot = member.snapshot
        record = self.servers.get(snapshot.name)
        if record is not None and snapshot.incarnation < record.incarnation:
            self.counts["old_life"] += 1
            return
        if record is None or snapshot.incarnation > record.incarnation:
            if record is not None:
                ended_incarnations.add((record.name, record.incarnation))
            record = self.servers[snapshot.name] = ServerRecord(snapshot.name, snapshot.incarnation)
            self.last_discovery_at = now
        event = server_event(member)
        before, record.state = record.state, next_state(record.state, event)
        if event in (ServerEvent.SERVING, ServerEvent.UNSURE):
            record.serving_since = at - sanitized_span(member.age) - sanitized_span(snapshot.since)
        record.may_return = record.state == ServerState.GONE and snapshot.state < State.GONE
        if record.state == before:
            return
        record.state_changed_at, record.agreeing = now, False
        self._record(
            "server_state_changed",
            server=record.name,
            life=record.incarnation,
            was=before.name,
            now=record.state.name,
            fact=event.value,
            served=round(now - record.serving_since, 3),
        )
        if record.state not in LIVE_STATES:
            record.announced_until = -inf
            if not record.may_return:
                ended_incarnations.add((record.name, record.incarnation))
        if record.state != ServerState.RIPENING:
            return
        record.late_since, record.returned = -inf, before == ServerState.GONE
        served_for = now - record.serving_since
        if not self.has_joined:
            if served_for >= self.idle_timeout + ESTABLISHED_MARGINS * self.margin:
                record.state = ServerState.TAKING  # all nodes have accepted it long ago
        elif before == ServerState.UNKNOWN and served_for > self.margin:
            record.late_since = now
            self.counts["heard_late"] += 1

    def _observe_nodes(self, now: float, view: View) -> None:
        gone = set(self.peers)
        for member in view.nodes():
            name, incarnation = member.name, member.snapshot.incarnation
            if name == self.own_name or not member.is_present:
                continue
            gone.discard(name)
            peer = self.peers.get(name)
            if peer is None:
                peer, self.last_discovery_at = PeerReplication(incarnation), now
                self.peers[name] = peer
                self._record("peer_added", name=name, life=incarnation)
            elif incarnation > peer.incarnation:
                self._adopt({name})
                peer = self.peers[name] = PeerReplication(incarnation)
            peer.is_trusted = member.trust == Trust.SURE
        if gone:
            self._adopt(gone)
            for name in gone:
                self._record("peer_removed", name=name)
                del self.peers[name]

    def _adopt(self, names: set[str]) -> None:
        """Take over the replication of bindings from nodes that are gone or have restarted.

        Other nodes may not have received them, and joining nodes need them.
        """
        for client in [key for key, name in self.vouched_by.items() if name in names]:
            del self.vouched_by[client]
            self.log.append(client)
            self.counts["adopted"] += 1

    def _rebuild_hashes(self, now: float) -> None:
        """Rebuild the hashes by server state, and check all clients if a server has started to enter."""
        self.own_marks_until = -inf
        names_by_state: dict[ServerState, list[str]] = {state: [] for state in ServerState}
        for name, record in self.servers.items():
            names_by_state[record.state].append(name)
        self.transitioning = [
            record for record in self.servers.values() if record.agreeing or record.state in LIVE_STATES[:2]
        ]
        if self.taking.names != tuple(sorted(names_by_state[ServerState.TAKING])):
            self.taking, self.hash_changed_at = RendezvousHash(names_by_state[ServerState.TAKING]), now
        entering = names_by_state[ServerState.RIPENING] + names_by_state[ServerState.RIPE]
        new = set(entering).difference(self.entering.names)
        if len(new) or len(entering) < len(self.entering):
            self.entering = RendezvousHash(entering)
            self.entering_new = RendezvousHash(name for name in entering if not self.servers[name].returned)
        if new:
            self.clients_to_check = list({**self.open_connections, **self.recent_clients})
            self._bind_affected_clients(now)
        starts = [record.serving_since for record in self.servers.values() if record.state in LIVE_STATES]
        self.fleet_young_until = min(starts, default=-inf) + self.idle_timeout + self.margin
        leaving = [self.servers[name] for name in names_by_state[ServerState.LEAVING]]
        since = max((record.state_changed_at for record in leaving), default=-inf)
        if since + self.margin > max(now, self.recently_left_until):
            self.recently_left = RendezvousHash(
                record.name for record in leaving if record.state_changed_at + self.margin > now
            )
            self.recently_left_until = since + self.margin
        returnable = [name for name in names_by_state[ServerState.GONE] if self.servers[name].may_return]
        if self.returnable.names != tuple(sorted(returnable)):
            self.returnable = RendezvousHash(returnable)

    def _advance_servers(self, now: float) -> None:
        """Move servers that enter the hash to their next states, as far as possible now."""
        has_changed = True
        while has_changed and self.transitioning:
            has_changed = False
            is_young = now < self.fleet_young_until
            has_none = not any(record.state in LIVE_STATES[1:] for record in self.servers.values())
            for record in self.transitioning:
                if record.state == ServerState.RIPENING:
                    if self.clients_to_check or not self._is_ripe(now, record, is_young or has_none):
                        continue
                    record.state = next_state(record.state, ServerEvent.RIPENED)
                elif not self.has_joined:  # the nodes that must agree are not known yet
                    continue
                elif record.state == ServerState.RIPE:
                    # If one node accepts the server, it was ripe at all nodes, and clients may already be
                    # assigned to it there.
                    if not (self._is_taken_elsewhere(record) or self._all_agree(now, record, ripe=True)):
                        continue
                    record.state, record.agreeing = next_state(record.state, ServerEvent.AGREED), True
                    record.announced_until = now + self.idle_timeout
                elif self._all_agree(now, record, ripe=False):
                    record.agreeing = False
                else:
                    continue
                record.state_changed_at, has_changed = now, True
                self._record(
                    "server_state_changed",
                    server=record.name,
                    now=record.state.name,
                    agreeing=record.agreeing,
                )
            if has_changed:
                self._rebuild_hashes(now)

    def _is_ripe(self, now: float, record: ServerRecord, is_first: bool) -> bool:
        """Whether all clients that the server would take over are bound to their present servers.

        `is_first`: no server has been serving for long, so that all clients are remembered.
        """
        ripening_time = self.idle_timeout + self.margin
        if now >= record.ripening_since + ripening_time:
            return True
        if not self.has_joined:
            return False
        if is_first:
            return True
        is_founding = self._is_founding(record)
        if is_founding and not self.peers:  # an earlier incarnation of this node accepted it
            return True
        return self._is_taken_elsewhere(record) and (
            is_founding or now >= record.serving_since + ripening_time
        )

    def _is_taken_elsewhere(self, record: ServerRecord) -> bool:
        return any(record.mark in peer.marks.taking for peer in self.peers.values())

    def _is_founding(self, record: ServerRecord) -> bool:
        """Whether the server started while the fleet was young, when nodes accepted servers at once."""
        return record.serving_since < self.fleet_young_until

    def _all_agree(self, now: float, record: ServerRecord, ripe: bool) -> bool:
        """Whether all nodes have announced the server as TAKING (RIPE, if `ripe`), or the margin is over."""
        for peer in self.peers.values():
            if not (record.mark in peer.marks.taking or (ripe and record.mark in peer.marks.ripe)):
                if now < record.state_changed_at + self.margin:
                    return False
                self.counts["agreed_without"] += 1
                self._record("agreement_timed_out", server=record.name, ripe=ripe)
        return True

    # Messages of other nodes.

    def resumed(self, now: float, span: float) -> None:
        """Note that this process stalled: messages that it reads now may be `span` seconds old.

        After more than a margin it behaves like a joining node: connections wait until the other nodes have
        sent their logs again.
        """
        if now - span < self.stale_until:  # a second stall: unread messages are older by both
            span += self.staleness
        if span <= self.margin:
            return
        self.counts["woke"] += 1
        self.staleness, self.stale_until = span, now + DISCOVERY_QUIET_MARGINS * self.margin
        for peer in self.peers.values():
            peer.is_synchronized, peer.request_at = False, self.stale_until
        if self.phase == NodePhase.JOINING and self.first_view_at < inf:
            self.first_view_at = now
        elif self.phase in (NodePhase.READY, NodePhase.LEAVING) and self.peers:
            self.resync_until = now + JOIN_TIMEOUT_MARGINS * self.margin

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a message of another node; implausible ones are dropped and counted."""
        peer = self.peers.get(sender)
        if peer is None:  # the sender repeats it until the view knows the sender
            self.counts["stranger"] += 1
            return
        match message:
            case LogRequest(number, peer_incarnation, incarnation) | LogAck(
                number, peer_incarnation, incarnation
            ):
                if (peer_incarnation, incarnation) != (self.incarnation, peer.incarnation):
                    self.counts["other_life"] += 1
                elif number > self.log.head:
                    self.counts["bad_number"] += 1
                else:
                    if number < peer.acknowledged:
                        peer.restart_from(number)
                    elif number > peer.acknowledged:
                        peer.acknowledged, peer.sent, peer.attempts = number, max(number, peer.sent), 0
                        peer.resend_at = inf if number >= peer.sent else now + RETRY_MARGINS * self.margin
                    if number == peer.acknowledged < peer.sent and peer.attempts:
                        peer.retry_by(now + RETRY_MARGINS * self.margin)
                    if isinstance(message, LogRequest) and peer.sent >= self.log.head:  # else it is in flight
                        peer.wants_log = True
            case LogChunk():
                self._receive_chunk(now, sender, peer, message)

    def _receive_chunk(self, now: float, sender: str, peer: PeerReplication, chunk: LogChunk) -> None:
        if chunk.incarnation != peer.incarnation:
            self.counts["other_life"] += 1
            return
        if not chunk.start <= chunk.end <= chunk.head:
            self.counts["bad_number"] += 1
            return
        peer.stamp = chunk.stamp
        # An implausibly high stamp is not adopted: a faulty member could exhaust the stamps of all others,
        # whose bindings would then be rejected.
        if self.has_joined and chunk.stamp <= self.stamp + MAX_STAMP_JUMP:
            self.stamp = max(self.stamp, chunk.stamp)
        peer.owes_ack = True
        if now < self.stale_until:
            # The chunk may be old: a binding that has expired since must not start again. The chunk is not
            # acknowledged, so that it is sent again with the time that is then left.
            for entry in chunk.entries:
                if entry.remaining > self.staleness:
                    self._merge(now, sender, entry._replace(remaining=entry.remaining - self.staleness))
            self.counts["stale"] += 1
            return
        for entry in chunk.entries:
            self._merge(now, sender, entry)
        if chunk.start > peer.received_through:
            self.counts["gap"] += 1
            return
        if chunk.end >= peer.received_through:
            peer.received_through = chunk.end
            if chunk.end == chunk.head:
                self._apply_marks(now, peer, chunk)
        self._advance_servers(now)

    def _apply_marks(self, now: float, peer: PeerReplication, chunk: LogChunk) -> None:
        """Apply a peer's announced server states, once its log was received completely."""
        peer.is_synchronized, peer.marks = True, chunk.marks
        if chunk.is_leaving and not peer.is_leaving:
            peer.is_leaving = True
            self.counts["handovers"] += 1
        unsettled = chunk.marks.late | chunk.marks.ripe
        if unsettled:
            for record in self.servers.values():
                if record.state == ServerState.TAKING and record.mark in unsettled:
                    record.announced_until, self.own_marks_until = now + self.idle_timeout, -inf

    def _finish_joining(self) -> None:
        """Adopt the lower median of the peers' stamps as own stamp, and drop bindings with implausible ones.

        The median keeps a single faulty peer from raising the stamp so far that other nodes reject it.
        """
        stamps = sorted(peer.stamp for peer in self.peers.values() if peer.stamp > 0)
        self.has_joined = True
        if stamps:
            self.stamp = max(self.stamp, stamps[(len(stamps) - 1) // 2])
        for client in [key for key, binding in self.bindings.items() if binding.stamp > self._max_stamp]:
            self._drop(client)
            self.counts["bad_tomorrow"] += 1

    @property
    def _max_stamp(self) -> int:
        return self.stamp + MAX_STAMP_LEAD if self.has_joined else MAX_STAMP

    def _merge(self, now: float, sender: str, entry: ReplicatedEntry) -> None:
        """Merge a binding received from another node; the later one by the total order wins."""
        problem = find_fault(entry, self._max_stamp, BINDING_TTL_TIMEOUTS * self.idle_timeout)
        if problem:
            self.counts[f"bad_{problem}"] += 1
            return
        record = self.servers.get(entry.server)
        if record is None or record.incarnation < entry.incarnation:
            return self._defer(now, sender, entry)
        if record.incarnation > entry.incarnation:
            self.counts["old_life"] += 1
            return
        client = entry.client
        new = Binding(
            entry.stamp,
            record.name,
            entry.incarnation,
            now + min(entry.remaining, BINDING_TTL_TIMEOUTS * self.idle_timeout),
        )
        known = self.bindings.get(client)
        if known is not None and known.expires_at <= now:
            known = None
        best = new if known is None else join_bindings(known, new)
        if best is known:
            return
        if known is not None and known[:3] == best[:3]:
            self._extend(client, best, sender)
            return
        if client in self.open_connections:
            before = self._valid_binding(now, client)
            if (before.server if before else self.taking.first_choice(client)) != best.server:
                self.counts["reseated"] += 1  # two nodes assigned different servers; the later stamp wins
        if self.log_events is not None:
            self._record(
                "binding_received",
                customer=client,
                server=best.server,
                stamp=best.stamp,
                sender=sender,
                was=known.server if known else "",
                known=best is not new,
            )
        self._store(client, best, sender)

    def _defer(self, now: float, sender: str, entry: ReplicatedEntry) -> None:
        """Keep a received binding until its server is known; of several, the latest by the total order."""
        before = self.deferred.get(entry.client)
        if before is None and len(self.deferred) >= self.max_bindings:
            self.counts["server_unknown"] += 1
        elif before is None or _remaining(before, now) < entry:
            self.deferred[entry.client] = entry, sender, now

    def _retry_deferred(self, now: float) -> None:
        """Merge deferred bindings whose servers are known now, and drop those that waited too long."""
        for client, deferred in list(self.deferred.items()):
            entry, sender, since = deferred
            record = self.servers.get(entry.server)
            if now >= since + DEFERRAL_TIMEOUT_MARGINS * self.margin:
                del self.deferred[client]
                self.counts["server_unknown"] += 1
            elif record is not None and record.incarnation >= entry.incarnation:
                del self.deferred[client]
                if (rest := _remaining(deferred, now)).remaining > 0:
                    self._merge(now, sender, rest)

    def _extend(self, client: int, binding: Binding, sender: str) -> None:
        """Extend a known binding; a node that already replicates it continues to."""
        self.bindings[client] = binding
        if client not in self.log:
            self.vouched_by[client] = sender

    # Joining and leaving of this node.

    def leave(self, now: float) -> None:
        """Start the handover: all that only this node knows becomes bindings for the others.

        A second call has no effect.
        """
        if self.phase >= NodePhase.LEAVING:
            return
        self.phase, self.leaving_since = NodePhase.LEAVING, now
        for client, binding in list(self.bindings.items()):
            if client in self.open_connections and binding.expires_at > now:
                self._renew(now, client, binding)
        unbound = self.open_connections if now < self.fleet_young_until else ()
        recent = [client for client, until in self.recent_clients.items() if until > now]
        for client in [*recent, *unbound]:  # only this node knows them, and a server may take them over
            name = self.taking.first_choice(client)
            if name and self._valid_binding(now, client) is None:
                self._bind(now, client, name)
        self.log.advance_head()
        self.handover_target = self.log.head

    def _advance_phase(self, now: float) -> list[Action]:
        if self.resync_until > -inf:
            missing = sum(not peer.is_synchronized for peer in self.peers.values())
            if not missing or now >= self.resync_until:
                self.resync_until = -inf
                self.counts["woke_unanswered"] += missing
        if self.phase == NodePhase.JOINING:
            # A peer that acknowledged all of this node's marks has sent its own before (`_send_due`).
            # Suspected peers count, as they may be alive. While members are still being discovered, or seeds
            # have not answered, the hash would be over too few servers.
            missing = sum(
                not (peer.is_synchronized and peer.acknowledged >= self.log.head)
                for peer in self.peers.values()
            )
            is_done = now >= self._discovery_ends_at and not (missing or self.unanswered_seeds)
            if is_done or now >= self.first_view_at + JOIN_TIMEOUT_MARGINS * self.margin:
                self.phase = NodePhase.READY
                self._finish_joining()
                self.counts["join_unanswered"] += missing
                self.counts["join_unanswered_seeds"] += self.unanswered_seeds
                return [Joined(missing)]
        elif self.phase == NodePhase.LEAVING:
            missing = sum(peer.acknowledged < self.handover_target for peer in self.peers.values())
            if not missing or now >= self.leaving_since + HANDOVER_TIMEOUT_MARGINS * self.margin:
                self.phase = NodePhase.LEFT
                self.counts["hand_unacked"] += missing
                return [HandedOver(missing)]
        return []

    @property
    def _discovery_ends_at(self) -> float:
        return max(self.first_view_at, self.last_discovery_at) + DISCOVERY_QUIET_MARGINS * self.margin

    def unreplicated_bindings(self) -> int:
        """Number of bindings that would be lost with this node: not acknowledged by all trusted peers."""
        acknowledged = min(
            (peer.acknowledged for peer in self.peers.values() if peer.is_trusted), default=self.log.head
        )
        return sum(1 for _ in self.log.entries_after(acknowledged))

    # Periodic work and sending.

    def advance(self, now: float) -> list[Action]:
        """Do the work that is due, a bounded part of it in one call; returns messages to send and results."""
        self._check_bindings(now)
        self._bind_affected_clients(now)
        done = self._advance_phase(now)
        self._advance_servers(now)
        self._update_own_marks(now)
        return [*done, *self._send_due(now)] if self.incarnation >= 0 else done

    def next_advance_at(self, now: float) -> float:
        """The next time at which `advance` has work to do, if no event happens before."""
        peers = self.peers.values()
        if (
            self.clients_to_check
            or self.bindings_to_check
            or any(peer.owes_ack and (peer.send_at <= now or peer.sent >= self.log.head) for peer in peers)
        ):
            return now
        moments = [self.next_check_at, self.resync_until]
        if self.phase == NodePhase.JOINING:
            moments += [self._discovery_ends_at, self.first_view_at + JOIN_TIMEOUT_MARGINS * self.margin]
        elif self.phase == NodePhase.LEAVING:
            moments.append(self.leaving_since + HANDOVER_TIMEOUT_MARGINS * self.margin)
        for record in self.transitioning:
            moments.append(
                record.ripening_since + self.idle_timeout + self.margin
                if record.state == ServerState.RIPENING
                else record.state_changed_at + self.margin
            )
        moments.append(self.own_marks_until)
        due = [moment for moment in moments if moment > now]
        if self.incarnation >= 0:
            for peer in peers:
                due.append(peer.resend_at)
                if peer.sent < self.log.head or peer.wants_log:
                    due.append(peer.send_at)
                if not peer.is_synchronized:
                    due.append(peer.request_at)
        return max(now, min(due, default=inf))

    def _update_own_marks(self, now: float) -> None:
        """Update the server states that are announced to other nodes, if they may have changed."""
        if now < self.own_marks_until:
            return
        self.own_marks_until = min(
            (record.announced_until for record in self.servers.values() if record.announced_until > now),
            default=inf,
        )
        late, ripe, taking_marks = set(), set(), set()
        for record in self.servers.values():
            match record.state:
                case ServerState.RIPENING if record.is_late or self._is_founding(record):
                    late.add(record.mark)
                case ServerState.RIPE:
                    ripe.add(record.mark)
                case ServerState.TAKING if now < record.announced_until:
                    taking_marks.add(record.mark)
        if len(late) + len(ripe) + len(taking_marks) > MAX_MARKS:
            self.counts["marks_full"] += 1
            late = set()
            ripe = _smallest(ripe, MAX_MARKS // 2)
            taking_marks = _smallest(taking_marks, MAX_MARKS // 2)
        marks = StateMarks(frozenset(late), frozenset(ripe), frozenset(taking_marks))
        if marks != self.own_marks:
            self.own_marks = marks
            self.log.advance_head()

    def _send_due(self, now: float) -> list[Action]:
        actions: list[Action] = []
        chunks: dict[int, LogChunk] = {}  # by start; most peers need the same chunks
        for name, peer in self.peers.items():
            if not peer.is_synchronized and now >= peer.request_at:
                is_waiting = not self.has_joined or now < self.resync_until
                peer.request_at = now + (RETRY_MARGINS if is_waiting else 1) * self.margin
                actions.append(
                    SendMessage(name, LogRequest(peer.received_through, peer.incarnation, self.incarnation))
                )
            may_send = now >= peer.send_at
            if may_send:
                self._send_chunks(now, name, peer, chunks, actions)
            # Sent after the marks that the acknowledged message changed; joining nodes rely on this order.
            if peer.owes_ack and (may_send or peer.sent >= self.log.head):
                peer.owes_ack = False
                actions.append(
                    SendMessage(name, LogAck(peer.received_through, peer.incarnation, self.incarnation))
                )
        return actions

    def _send_chunks(
        self, now: float, name: str, peer: PeerReplication, chunks: dict[int, LogChunk], actions: list[Action]
    ) -> None:
        """Send chunks of the log to one peer, if it lacks any or an acknowledgment is overdue."""
        if now >= peer.resend_at:
            peer.sent, peer.resend_at = peer.acknowledged, inf
            peer.attempts += 1
            self.counts["repeated"] += 1
        if peer.sent >= self.log.head and not peer.wants_log:
            return
        for _ in range(1 if peer.attempts > 1 else MAX_CHUNKS_IN_FLIGHT):
            chunk = chunks.get(peer.sent) or chunks.setdefault(peer.sent, self._make_chunk(now, peer.sent))
            actions.append(SendMessage(name, chunk))
            peer.sent = chunk.end
            if chunk.end >= self.log.head:
                break
        peer.wants_log, peer.send_at = False, now + self._send_interval
        if peer.resend_at == inf and peer.sent > peer.acknowledged:
            peer.resend_at = now + RETRY_MARGINS * self.margin * 2 ** min(peer.attempts, 4)

    def _make_chunk(self, now: float, start: int) -> LogChunk:
        """The next chunk of the log after entry number `start`."""
        entries: list[ReplicatedEntry] = []
        listed_servers: set[tuple[str, int]] = set()
        free_bytes, end = CHUNK_BYTES - MARK_BYTES * sum(map(len, self.own_marks)), start
        for number, client in self.log.entries_after(start):
            binding = self.bindings[client]
            server_key = binding.server, binding.incarnation
            server_size = (
                0
                if server_key in listed_servers
                else SERVER_BYTES + len(binding.server.encode(errors="replace"))
            )
            size = ENTRY_BYTES + server_size
            if size > free_bytes or len(entries) >= MAX_CHUNK_ENTRIES:
                break
            end = number
            if binding.expires_at > now + 0.001:  # the remaining time is sent in milliseconds
                free_bytes -= size
                listed_servers.add(server_key)
                entries.append(ReplicatedEntry(client, binding.stamp, *server_key, binding.expires_at - now))
        else:
            end = self.log.head
        marks = self.own_marks if end == self.log.head else StateMarks()
        is_leaving = self.phase >= NodePhase.LEAVING
        return LogChunk(
            self.incarnation, start, end, self.log.head, self.stamp, tuple(entries), marks, is_leaving
        )

    @property
    def _send_interval(self) -> float:
        return SEND_INTERVAL_MARGINS * self.margin


def _remaining(deferred: tuple[ReplicatedEntry, str, float], now: float) -> ReplicatedEntry:
    entry, _, since = deferred
    return entry._replace(remaining=entry.remaining - (now - since))


def _take_batch(waiting: list[int]) -> Iterable[int]:
    """Remove and yield items from the end of a list, up to the limit of one call."""
    for _ in range(min(MAX_ITEMS_PER_CALL, len(waiting))):
        yield waiting.pop()


def _smallest(marks: set[bytes], count: int) -> set[bytes]:
    return set(sorted(marks)[:count])
