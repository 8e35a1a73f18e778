"""Decides which tenant should move to which node, and carries out the moves.

No I/O: views in, announcement levels out. Each node has one `MigrationCoordinator`. Call `observe` with each
new view, then `advance`, and publish `encoded_part` and `holds` in this node's own snapshot. Nodes with equal
views make equal recommendations. Only the present holder of a tenant begins a move, with a quorum
(`quorum.py`) and only if the operators have set `act = move`. docs/migration.md has the state table, the
rules and the guarantees for each fault.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import IntEnum, StrEnum
from functools import partial
from hashlib import blake2b
from typing import NamedTuple

from msgspec import structs

from thymeyoke.membership import view as members
from thymeyoke.membership.view import Member, Trust, View
from thymeyoke.migration import load_ranges, planner, quorum, wire
from thymeyoke.migration.load_ranges import Loads, Range, Terms
from thymeyoke.migration.planner import CapacityAdvice, Move, MoveConstraints, Plan
from thymeyoke.migration.quorum import KnownNodes, NodeAnnouncement, Voter
from thymeyoke.migration.wire import HeldTenant, InvalidPart, MigrationPart, MoveRequest, TenantFilter, Vote

__all__ = [
    "Action", "Depreferred", "Event", "Level", "MigrationCoordinator", "Preferred", "Recommendation", "State",
    "Terms", "Withdrawn",
]  # fmt: skip

PLAN_INTERVAL_SHARE = 1 / 12  # of `settle`; minimum interval between plans after new figures,
URGENT_PLAN_INTERVAL_SHARE = 1 / 60  # and after changes of the membership
STABLE_OVERLOAD_SHARE = 1 / 4  # of `settle`; how long a node is over its bound before it requests a move
MIN_DEPREFERRED_SHARE = 1 / 12  # of `settle`; minimum time before a depreferred address is withdrawn
LOAD_CHANGE_SHARE = 1 / 2  # of the tolerated imbalance; load change that ends a hold-down
# A move increases the stamp by at most two, and [moves] allows 3,600 moves an hour, so that a stamp rises by
# less in fifty years. A claim further above the stamps known here is false.
MAX_STAMP_LEAD = 1 << 32
MAX_HISTORY = 1024  # completed recommendations, which are shown for an hour
HISTORY_SECONDS = 3600.0
NEVER = float("inf")


class Level(IntEnum):
    """How a tenant's address is announced; a higher level is preferred."""

    WITHDRAWN = 0
    DEPREFERRED = 1
    PREFERRED = 2


class Preferred(NamedTuple):
    """Announce the tenant's address with full preference from now on."""

    tenant: str

    @property
    def level_name(self) -> str:
        """The name of the level in settings and status output."""
        return "full"


class Depreferred(NamedTuple):
    """Announce the tenant's address with lower preference from now on."""

    tenant: str

    @property
    def level_name(self) -> str:
        """The name of the level in settings and status output."""
        return "less"


class Withdrawn(NamedTuple):
    """Withdraw the tenant's address."""

    tenant: str

    @property
    def level_name(self) -> str:
        """The name of the level in settings and status output."""
        return "withdrawn"


Action = Preferred | Depreferred | Withdrawn
ACTION_BY_LEVEL: dict[Level, Callable[[str], Action]] = {
    Level.PREFERRED: Preferred,
    Level.DEPREFERRED: Depreferred,
    Level.WITHDRAWN: Withdrawn,
}


class State(StrEnum):
    """The state of a recommended move."""

    PROPOSED = "proposed"
    BEGUN = "begun"  # the target announces the tenant with full preference
    SETTLING = "settling"  # the target holds the tenant; the source is depreferred
    KEPT = "kept"  # the source has withdrawn
    UNDONE = "undone"  # the source announces it with full preference again
    EXPIRED = "expired"  # it never began


class Event(StrEnum):
    """What can happen to a recommendation at its source; at other nodes only `unwanted`."""

    NEW_INCARNATION = "new life"  # others have declared this node dead or seen it restart
    DISABLED = "not to move"  # by a new service configuration
    TARGET_LOST = "target gone"  # dead, leaving, restarted, or no longer holding the tenant
    SETTLED = "settled"  # the source has no connections left, or the settling timeout is over
    TARGET_HOLDS = "target holds"
    TIMEOUT = "late"
    TARGET_FULL = "target full"
    QUORUM = "consent"
    NOT_NEEDED = "unwanted"


# All other pairs leave the state unchanged.
TRANSITIONS = {
    (State.PROPOSED, Event.NEW_INCARNATION): State.EXPIRED,
    (State.PROPOSED, Event.DISABLED): State.EXPIRED,
    (State.PROPOSED, Event.TARGET_LOST): State.EXPIRED,
    (State.PROPOSED, Event.TIMEOUT): State.EXPIRED,
    (State.PROPOSED, Event.TARGET_FULL): State.EXPIRED,
    (State.PROPOSED, Event.NOT_NEEDED): State.EXPIRED,
    (State.PROPOSED, Event.TARGET_HOLDS): State.EXPIRED,
    (State.PROPOSED, Event.QUORUM): State.BEGUN,
    (State.BEGUN, Event.NEW_INCARNATION): State.UNDONE,
    (State.BEGUN, Event.DISABLED): State.UNDONE,
    (State.BEGUN, Event.TARGET_LOST): State.UNDONE,
    (State.BEGUN, Event.TIMEOUT): State.UNDONE,
    (State.BEGUN, Event.TARGET_FULL): State.UNDONE,
    (State.BEGUN, Event.TARGET_HOLDS): State.SETTLING,
    (State.SETTLING, Event.NEW_INCARNATION): State.UNDONE,
    (State.SETTLING, Event.DISABLED): State.UNDONE,
    (State.SETTLING, Event.TARGET_LOST): State.UNDONE,
    (State.SETTLING, Event.TIMEOUT): State.UNDONE,
    (State.SETTLING, Event.TARGET_FULL): State.UNDONE,
    (State.SETTLING, Event.SETTLED): State.KEPT,
    (State.KEPT, Event.TARGET_LOST): State.UNDONE,
}
LEVEL_BY_STATE = {
    State.SETTLING: Level.DEPREFERRED,
    State.KEPT: Level.WITHDRAWN,
    State.UNDONE: Level.PREFERRED,
}
FINAL_STATES = (State.KEPT, State.UNDONE, State.EXPIRED)


class Recommendation(NamedTuple):
    """A recommendation for display; loads are in connections."""

    tenant: str
    source: str
    target: str
    state: State
    why: str
    age: float  # seconds in this state
    load: float = 0.0
    connections: int = 0  # remain at the source until they close
    opened: float = 0.0  # connections per second that go to the target
    gain: float = 0.0
    cost: float = 0.0


Key = tuple[str, str, str]  # tenant, source, target


class MigrationRecord:
    """A recommendation, at its source or at a node that only shows it."""

    def __init__(self, now: float, step: Move, why: str) -> None:
        self.step, self.why, self.reason = step, "", why
        self.state, self.created_at, self.since = State.PROPOSED, now, now
        # Set when the move is requested:
        self.request: MoveRequest | None = None
        self.incarnation = self.target_incarnation = 0
        self.expires_at = NEVER  # when this state times out
        self.deadline = NEVER  # when the move ends in any case
        self.was_target_busy = False  # at any time while the request was open

    @property
    def key(self) -> Key:
        """Tenant, source and target."""
        return self.step.tenant, self.step.source, self.step.target


class TenantState:
    """How an eligible tenant is announced by this node, and on what grounds."""

    def __init__(self, now: float, home: str, level: Level) -> None:
        self.level, self.home, self.since, self.created_at = level, home, now, now
        self.stamp = 0  # 0 by configuration; after a move, one more than that of the former holder
        self.highest_stamp = 0  # highest stamp seen for this home
        self.successor, self.successor_incarnation = "", 0  # the holder to which this node has yielded
        # The request that brought it: source, incarnation, number.
        self.arrived_by: tuple[str, int, int] | None = None
        self.is_arriving = False  # that move is not over yet
        self.unheld_since = NEVER  # since when no node holds it
        self.offered_to = ""  # the target of the last request
        self.may_have_moved = False  # another node may rightfully hold it by now


class HoldDown(NamedTuple):
    """Suppresses a move until the load of either side has changed by LOAD_CHANGE_SHARE."""

    other: str
    incarnation: int
    since: float
    mine: Range | None = None  # the loads after the cool-down
    theirs: Range | None = None


class MigrationCoordinator:
    """The migrations of one node.

    `eligible` are the tenants that this node could hold; `holds` are those that it holds by configuration,
    announced with full preference at the start. Tables are keyed by eligible tenant or by node of the view,
    or are bounded.
    """

    def __init__(
        self, now: float, own_name: str, terms: Terms, eligible: frozenset[str], holds: frozenset[str]
    ) -> None:
        self.own_name, self.terms, self.counts = own_name, terms, Counter[str]()
        self.eligible, self.configured = eligible, holds
        self.tenant_states = {one: self._new_tenant_state(now, one) for one in sorted(eligible)}
        # As reported by the last `advance`.
        self.announced_levels = {tenant: one.level for tenant, one in self.tenant_states.items()}
        self.filter_bits = TenantFilter.build(eligible).bits
        self.view: View | None = None
        self.incarnation: int | None = None
        # By node: encoded and decoded.
        self.received_parts: dict[str, tuple[bytes, MigrationPart | None]] = {}
        self.announcements: dict[str, NodeAnnouncement] = {}
        # By eligible tenant: other nodes that hold it and are staying.
        self.holders: dict[str, list[Member]] = {}
        self.known_nodes, self.voter = KnownNodes(), Voter(now)
        self.loads = Loads((), {}, load_ranges.NOTHING, 0.0)
        self.plan, self.planned_at, self.planned_version = Plan(), -NEVER, -1
        self.records: dict[Key, MigrationRecord] = {}  # open ones, at most one for each move of the plan
        self.history: deque[MigrationRecord] = deque(maxlen=MAX_HISTORY)
        self.hold_downs: dict[str, HoldDown] = {}  # by eligible tenant
        self.dropped_numbers: deque[int] = deque(maxlen=wire.MAX_DROPPED_NUMBERS)
        self.last_number = 0
        self.cool_down_until = self.next_request_at = now
        self.overloaded_since = NEVER  # since when this node is over its bound and a move would help
        # Open requests without this node's vote, by source and number.
        self.refusals: dict[tuple[str, int], str] = {}
        self.first_seen: dict[str, float] = {}  # by node of the view
        self.rejected_claims: set[tuple[str, str]] = set()  # tenants and nodes whose claims are not believed
        self.next_yield_at = now  # next time to yield to an unverifiable claim

    def _new_tenant_state(self, now: float, tenant: str) -> TenantState:
        return TenantState(
            now, self.own_name, Level.PREFERRED if tenant in self.configured else Level.WITHDRAWN
        )

    def reconfigure(self, now: float, terms: Terms, eligible: frozenset[str], holds: frozenset[str]) -> None:
        """Apply a new configuration.

        Tenants that remain eligible keep their state; `advance` ends moves that are no longer permitted. No
        actions are reported for tenants that are no longer eligible; the caller stops announcing them.
        """
        self.terms, self.eligible = terms, eligible
        new, self.configured = holds - self.configured, holds
        for tenant in [tenant for tenant in self.tenant_states if tenant not in eligible]:
            del self.tenant_states[tenant], self.announced_levels[tenant]
            self.hold_downs.pop(tenant, None)
        for tenant in sorted(eligible):
            if tenant not in self.tenant_states:
                self.tenant_states[tenant] = self._new_tenant_state(now, tenant)
                self.announced_levels[tenant] = Level.WITHDRAWN
            elif tenant in new and self.tenant_states[tenant].level == Level.WITHDRAWN:
                self.tenant_states[tenant] = self._new_tenant_state(now, tenant)
        self.filter_bits = TenantFilter.build(eligible).bits

    @property
    def holds(self) -> frozenset[str]:
        """The tenants announced with full preference, for this node's own snapshot."""
        return frozenset(tenant for tenant, one in self.tenant_states.items() if one.level == Level.PREFERRED)

    # Input

    def observe(self, now: float, view: View) -> None:
        """Take in a new view of the fleet."""
        self.view = view
        young, begin_timeout = self._young_seconds(), quorum.begin_timeout(self.terms)
        before, self.first_seen = self.first_seen, {}
        parts, self.announcements, self.holders = {}, {}, {}
        for member in view.nodes():
            if member.name != self.own_name:
                data = member.snapshot.parts.get("moves", b"")
                part = self._read(member.name, data)
                parts[member.name] = (data, part)
                if part is not None and member.is_present:
                    self.announcements[member.name] = NodeAnnouncement(member, part)
                if member.is_present or member.name in before:
                    self.first_seen[member.name] = before.get(member.name, now)
                if _is_staying(member):
                    # The first snapshot has no held tenants.
                    is_new = now < self.first_seen[member.name] + begin_timeout
                    for tenant in self.eligible.intersection(member.snapshot.holds):
                        self.holders.setdefault(tenant, []).append(member)
                        tenant_state = self.tenant_states[tenant]
                        tenant_state.may_have_moved = (
                            tenant_state.may_have_moved or is_new or now < tenant_state.created_at + young
                        )
        self.received_parts = parts
        longest = max(
            [quorum.max_duration(self.terms), *(one.part.max_duration for one in self.announcements.values())]
        )
        self.known_nodes.observe(now, view, quorum.CLOCK_MARGIN * longest)
        own = view.members.get(self.own_name)
        incarnation = own.snapshot.incarnation if own else None
        if self.incarnation is not None and incarnation is not None and incarnation != self.incarnation:
            for record in self._own_records():
                self._transition(
                    now, record, Event.NEW_INCARNATION, "others took this node for another incarnation of it"
                )
        self.incarnation = incarnation if incarnation is not None else self.incarnation

    def _read(self, name: str, data: bytes) -> MigrationPart | None:
        """Decode a node's announcement, once for each new one; None if there is none or it is invalid."""
        before, part = self.received_parts.get(name, (b"", None))
        if data == before:
            return part
        if not data:
            return None
        read = wire.decode(data)
        if isinstance(read, InvalidPart):
            self.counts["moves_bad_part"] += 1
            return None
        return read

    # Decisions

    def advance(self, now: float) -> list[Action]:
        """Update all decisions for the present view and time; return the changes of announcement levels."""
        if self.view is not None and self.incarnation is not None:
            own = self.view.members.get(self.own_name)
            if own is not None:
                self.announcements[self.own_name] = NodeAnnouncement(own, self._own_part(now))
                self._take_over_tenants(now)
                self._yield_to_newer_holders(now)
                self._recommend(now)
                self._advance_moves(now)
                self._withdraw_depreferred(now)
                self._take_back(now)
                self._request_move(now)
                self.announcements[self.own_name] = NodeAnnouncement(own, self._own_part(now))
                self.voter.release(now, self.announcements, self.view.members, self.terms)
                accepts = partial(self._accepts, now)
                self.refusals = self.voter.grant(now, self.terms, self.announcements, accepts, self._fits)
            self._expire_history(now)
        return self._changed_levels()

    def _changed_levels(self) -> list[Action]:
        result: list[Action] = []
        for tenant, tenant_state in self.tenant_states.items():
            if self.announced_levels[tenant] != tenant_state.level:
                self.announced_levels[tenant] = tenant_state.level
                result.append(ACTION_BY_LEVEL[tenant_state.level](tenant))
        return result

    def next_advance_at(self, now: float) -> float:
        """The next time at which `advance` may return something without a new view."""
        settle = self.terms.settle
        steps = [
            self.planned_at + PLAN_INTERVAL_SHARE * settle,
            self.cool_down_until,
            self.next_request_at,
            *self.voter.cooling_down.values(),
        ]
        steps.append(self.next_yield_at)
        steps += [one.expires_at for one in self.voter.granted.values()]
        steps += [
            self.voter.abstains_until(self.terms, self.announcements),
            self.overloaded_since + STABLE_OVERLOAD_SHARE * settle,
        ]
        for record in self._own_records():
            steps += [
                record.expires_at,
                record.deadline,
                record.since + settle,
                record.since + MIN_DEPREFERRED_SHARE * settle,
            ]
        for tenant_state in self.tenant_states.values():
            if tenant_state.level == Level.DEPREFERRED:
                steps += [tenant_state.since + MIN_DEPREFERRED_SHARE * settle, tenant_state.since + settle]
            steps.append(tenant_state.unheld_since + quorum.begin_timeout(self.terms))
        return min((step for step in steps if step > now), default=NEVER)

    def _own_records(self) -> list[MigrationRecord]:
        return [record for record in self.records.values() if record.step.source == self.own_name]

    def _active_records(self) -> list[MigrationRecord]:
        """Own moves that are requested or under way."""
        return [record for record in self._own_records() if record.request is not None]

    def _member(self, name: str) -> Member | None:
        return self.view.members.get(name) if self.view else None

    def _has_ended(self, name: str, incarnation: int) -> bool:
        """Whether this incarnation of a node is over or leaving.

        A new incarnation counts once it has announced what it holds.
        """
        member = self._member(name)
        if member is None or not _is_staying(member):
            return True
        return member.snapshot.incarnation != incarnation and name in self.announcements

    def _leaving(self) -> bool:
        own = self._member(self.own_name)
        return own is not None and own.snapshot.state == members.State.LEAVING

    def _set_level(self, now: float, tenant_state: TenantState, level: Level) -> None:
        tenant_state.level, tenant_state.since, tenant_state.unheld_since = level, now, NEVER

    # As the target of a move

    def _take_over_tenants(self, now: float) -> None:
        """Begin to hold tenants whose move to this node has begun, or whose source has died or is leaving.

        Only moves with this node's vote count. A node that is leaving itself takes over nothing, as it no
        longer announces addresses.
        """
        for granted in () if self._leaving() else list(self.voter.granted.values()):
            request, came = granted.request, (granted.source, granted.incarnation, granted.request.number)
            tenant_state = self.tenant_states.get(request.tenant)
            if (
                request.target != self.own_name
                or tenant_state is None
                or tenant_state.arrived_by == came
                or not self.terms.moves
            ):
                continue
            announcement = self.announcements.get(granted.source)
            same = announcement is not None and announcement.incarnation == granted.incarnation
            listed = (
                [it for it in announcement.part.requests if it.number == request.number]
                if announcement and same
                else []
            )
            begun = any(it.begun for it in listed)
            gone = not self.holders.get(request.tenant) and self._has_ended(
                granted.source, granted.incarnation
            )
            if same and not listed:
                gone = False  # it is leaving and has given up the move
            if (begun or gone) and tenant_state.level == Level.WITHDRAWN:
                tenant_state.home = request.home
                tenant_state.stamp = request.stamp
                tenant_state.highest_stamp = request.stamp
                tenant_state.arrived_by, tenant_state.is_arriving, tenant_state.successor = came, True, ""
                self._set_level(now, tenant_state, Level.PREFERRED)
                self.counts["moves_arrived" if begun else "moves_taken_over"] += 1
        for tenant, tenant_state in self.tenant_states.items():
            if (
                tenant_state.is_arriving
                and tenant_state.arrived_by
                and not self._is_listed(tenant_state.arrived_by)
            ):
                tenant_state.is_arriving = False
                self._start_cool_down(now)
                if tenant_state.level == Level.PREFERRED:
                    self._hold_down(now, tenant, tenant_state.arrived_by[0])

    def _is_listed(self, came: tuple[str, int, int]) -> bool:
        source, incarnation, number = came
        announcement = self.announcements.get(source)
        return (
            announcement is not None
            and announcement.incarnation == incarnation
            and announcement.lists_request(number)
        )

    def _accepts(self, now: float, source: str, request: MoveRequest) -> str | None:
        """Why this node refuses its vote for a move to itself; None if it grants it or is not the target."""
        if request.target != self.own_name:
            return None
        tenant_state, node = self.tenant_states.get(request.tenant), self.loads.node(self.own_name)
        source_node = self.loads.node(source)
        tenant = (
            next((one for one in source_node.tenants if one.name == request.tenant), None)
            if source_node
            else None
        )
        if not self.terms.moves:
            return "may not move anything"
        if tenant_state is None or tenant_state.level != Level.WITHDRAWN:
            return f"can't take {request.tenant}, or has it"
        if self._busy() or now < self.cool_down_until:
            return "is in another move, or rests"
        if request.stamp > max(tenant_state.stamp, tenant_state.highest_stamp) + MAX_STAMP_LEAD:
            return f"does not believe stamp {request.stamp}"
        if node is None or tenant is None:
            return "does not know its load, or the tenant's"
        bound = self.terms.uneven * self.loads.mean.mid
        if node.load.high + tenant.load.high > bound:
            return f"would hold {node.load.high + tenant.load.high:.0f}, over its bound of {bound:.0f}"
        if tenant.connections > node.room:
            return f"has room for {node.room}, {request.tenant} has {tenant.connections}"
        return None

    def _busy(self) -> bool:
        """Whether this node takes part in a move or is promised to one."""
        return (
            bool(self._active_records())
            or any(tenant_state.is_arriving for tenant_state in self.tenant_states.values())
            or any(granted.request.target == self.own_name for granted in self.voter.granted.values())
        )

    # As the source of a move

    def _advance_moves(self, now: float) -> None:
        for record in self._active_records():
            if record.state == State.PROPOSED:
                record.was_target_busy = record.was_target_busy or self._is_busy(record.step.target)
            found = self._event(now, record)
            if found:
                self._transition(now, record, *found)

    def _event(self, now: float, record: MigrationRecord) -> tuple[Event, str] | None:
        """The first event that applies to an own move, and the reason."""
        request, settle = record.request, self.terms.settle
        assert request is not None
        tenant, target = request.tenant, self._member(request.target)
        if not self.terms.moves or tenant not in self.tenant_states:
            return Event.DISABLED, "the operators' file says so"
        if target is None or not target.is_present or target.snapshot.state != members.State.SERVING:
            return Event.TARGET_LOST, f"{request.target} is gone"
        if target.snapshot.incarnation != record.target_incarnation:
            return Event.TARGET_LOST, f"{request.target} started anew"
        holds, claims = tenant in target.snapshot.holds, self._target_claims(request)
        if record.state == State.SETTLING and not (holds or claims):
            return Event.TARGET_LOST, f"{request.target} no longer holds it"
        sure, stays = target.trust == Trust.SURE, self._remaining_connections(tenant)
        if record.state == State.SETTLING and sure and holds:
            span = now - record.since
            if (stays == 0 and span >= MIN_DEPREFERRED_SHARE * settle) or span >= settle:
                many = "some" if stays is None else stays
                return Event.SETTLED, f"{many} connections left after {span:.0f} s"
        if record.state == State.BEGUN and sure and holds and claims and now <= record.expires_at:
            return Event.TARGET_HOLDS, f"{request.target} holds it"
        if now >= min(record.expires_at, record.deadline):
            return Event.TIMEOUT, self._timeout_reason(record)
        if sure and (stays or 0) > target.snapshot.room:
            room = target.snapshot.room
            return Event.TARGET_FULL, f"{request.target} has room for {room}, {stays} are still to come"
        if record.state == State.PROPOSED:
            return self._check_request(record, request)
        return None

    def _target_claims(self, request: MoveRequest) -> bool:
        """Whether the target announces that it holds the tenant through this move.

        `holds` in its snapshot is not enough: it may be older and refer to an earlier time at which the
        target held_tenants the tenant.
        """
        announcement = self.announcements.get(request.target)
        held_tenants = announcement.part.held_tenants if announcement else ()
        return any(
            (one.tenant, one.home) == (request.tenant, request.home) and one.stamp >= request.stamp
            for one in held_tenants
        )

    def _is_busy(self, name: str) -> bool:
        """Whether a node announces a cool-down, a move, or a vote for another one to itself.

        It then refuses its vote for other moves, which says nothing about the tenants that it can hold.
        """
        one = self.announcements.get(name)
        if one is None:
            return False
        if one.part.resting > one.member.age or one.part.requests:
            return True
        to_it = [(by, it.incarnation, request) for by, it in self.announcements.items() if by != self.own_name
                 for request in it.part.requests if request.target == name]  # fmt: skip
        return any(
            request.begun or Vote(request.slot, by, incarnation, request.number) in one.part.votes
            for by, incarnation, request in to_it
        )

    def _check_request(self, record: MigrationRecord, request: MoveRequest) -> tuple[Event, str] | None:
        if self.overloaded_since == NEVER:
            return Event.NOT_NEEDED, "by newer figures it is not needed"
        if self.tenant_states[request.tenant].level != Level.PREFERRED:
            return Event.TARGET_HOLDS, "another node holds it, and took this one for dead"
        found = self._count_votes(request)
        if found.is_majority:
            return Event.QUORUM, f"{found.text}: {', '.join(found.votes)}"
        return None

    def _count_votes(self, request: MoveRequest) -> quorum.VoteCount:
        vote = Vote(request.slot, self.own_name, self.incarnation or 0, request.number)
        granted = self.voter.granted.values()
        return quorum.count_votes(
            vote, request.target, self.own_name, granted, self.known_nodes.count, self.announcements
        )

    def _timeout_reason(self, record: MigrationRecord) -> str:
        assert record.request is not None
        match record.state:
            case State.PROPOSED:
                return self._count_votes(record.request).text
            case State.BEGUN:
                return f"{record.step.target} did not say that it holds it"
            case _:
                return f"not sure of {record.step.target}"

    def _remaining_connections(self, tenant: str) -> int | None:
        """Connections of a tenant that remain at this node; None if its snapshot does not tell."""
        own = self._member(self.own_name)
        if own is None:
            return None
        for one in own.snapshot.loads:
            if one.tenant == tenant:
                return one.connections
        return 0 if own.snapshot.rest.connections == 0 else None

    def _transition(self, now: float, record: MigrationRecord, event: Event, why: str) -> None:
        """Apply the state table."""
        state = TRANSITIONS.get((record.state, event))
        if state is None:
            return
        settle = self.terms.settle
        tenant_state = self.tenant_states.get(record.step.tenant)
        request = record.request
        if record.state == State.PROPOSED and request and state == State.EXPIRED:
            self.dropped_numbers.append(request.number)
            self.next_request_at = now + STABLE_OVERLOAD_SHARE * settle * (
                1 + _spread(self.own_name, request.number)
            )
            found = self._count_votes(request)
            but_for_it = (
                event == Event.TIMEOUT and not found.has_target_vote and len(found.votes) >= found.needed
            )
            if but_for_it and not record.was_target_busy:
                self._hold_down(now, request.tenant, request.target)  # the target refuses by its own figures
        record.state, record.why, record.since = state, why, now
        self.counts[f"moves_{state}"] += 1
        if (
            tenant_state is not None
            and request is not None
            and (level := LEVEL_BY_STATE.get(state)) is not None
        ):
            if state == State.SETTLING:
                tenant_state.successor = request.target
                tenant_state.successor_incarnation = record.target_incarnation
                tenant_state.highest_stamp = request.stamp
            if state == State.KEPT:
                self.hold_downs.pop(request.tenant, None)
            if state == State.UNDONE:
                self._renew_stamp(tenant_state, request.stamp)
            if level != tenant_state.level:
                self._set_level(now, tenant_state, level)
        if state == State.BEGUN:
            record.expires_at = now + quorum.begin_timeout(self.terms)
        elif state == State.SETTLING:
            record.expires_at = NEVER
        elif state in FINAL_STATES:
            if self.records.get(record.key) is record:
                del self.records[record.key]
                if request or now >= record.created_at + STABLE_OVERLOAD_SHARE * settle:
                    self.history.append(record)
            if state != State.EXPIRED and record.step.source == self.own_name:
                self._start_cool_down(now)
            if state == State.UNDONE:
                self._hold_down(now, record.step.tenant, record.step.target)

    def _renew_stamp(self, tenant_state: TenantState, stamp: int) -> None:
        """Hold the tenant again, with a stamp above all that have been seen."""
        tenant_state.stamp = max(tenant_state.stamp, tenant_state.highest_stamp, stamp) + 1
        tenant_state.highest_stamp, tenant_state.successor = tenant_state.stamp, ""

    def _start_cool_down(self, now: float) -> None:
        self.cool_down_until = max(self.cool_down_until, now + self.terms.rest)

    # Several holders of a tenant

    def _yield_to_newer_holders(self, now: float) -> None:
        """Yield tenants that another node certainly holds with the same home and a higher stamp.

        The target of an own move is not such a node.
        """
        if not self.terms.moves:
            return
        under_way = {
            record.step.tenant for record in self._active_records() if record.state != State.PROPOSED
        }
        before, self.rejected_claims = self.rejected_claims, set()
        young = self._young_seconds()
        for tenant in sorted(self.holders):
            tenant_state = self.tenant_states[tenant]
            if tenant_state.level != Level.PREFERRED or tenant in under_way:
                continue
            found = self._newer_holder(tenant, tenant_state)
            if found is None:
                continue
            kin = {
                tenant_state.home,
                tenant_state.offered_to,
                tenant_state.arrived_by[0] if tenant_state.arrived_by else "",
            }
            if found[1] not in kin and now >= tenant_state.created_at + young:
                if now < self.next_yield_at:
                    continue  # two holders do no harm
                self.next_yield_at = now + quorum.slot_cool_down(self.terms)
            self._record_successor(tenant_state, found)
            self._set_level(now, tenant_state, Level.DEPREFERRED)
            self.hold_downs.pop(tenant, None)
            self.counts["moves_made_way"] += 1
        if new_claims := self.rejected_claims - before:
            self.counts["moves_not_believed"] += len(new_claims)

    def _young_seconds(self) -> float:
        """Seconds for which a tenant's state is young.

        During this time another node may claim a tenant that a former incarnation of this node gave away, and
        every move requested by that incarnation has begun by the end of it. The time follows from this node's
        own configuration, so that other members cannot extend it.
        """
        return quorum.CLOCK_MARGIN * quorum.max_duration(self.terms) + quorum.slot_cool_down(self.terms)

    def _newer_holder(self, tenant: str, tenant_state: TenantState) -> tuple[int, str, int] | None:
        """Stamp, name and incarnation of the credible holder with the highest stamp above this node's own.

        A claim is not credible for a tenant that is this node's own, that it has offered to nobody, and that
        nobody held when this node was new.
        """
        found = []
        for other in self.holders.get(tenant, ()):
            announcement = self.announcements.get(other.name)
            if announcement is None or other.trust != Trust.SURE:
                continue
            for one in announcement.part.held_tenants:
                if (one.tenant, one.home) != (tenant, tenant_state.home) or not one.stamp or (
                    (one.stamp, other.name) <= (tenant_state.stamp, self.own_name)):  # fmt: skip
                    continue
                moved = (
                    tenant_state.may_have_moved
                    or tenant_state.offered_to
                    or tenant_state.stamp
                    or tenant_state.home != self.own_name
                )
                if (
                    moved
                    and one.stamp <= max(tenant_state.stamp, tenant_state.highest_stamp) + MAX_STAMP_LEAD
                ):
                    found.append((one.stamp, other.name, other.snapshot.incarnation))
                else:
                    self.rejected_claims.add((tenant, other.name))
        return max(found, default=None)

    def _record_successor(self, tenant_state: TenantState, found: tuple[int, str, int]) -> None:
        stamp, tenant_state.successor, tenant_state.successor_incarnation = found
        tenant_state.highest_stamp = max(tenant_state.highest_stamp, stamp)

    def _withdraw_depreferred(self, now: float) -> None:
        """Withdraw tenants yielded without an own move once the other holder is stable, or take them back."""
        settling = {record.step.tenant for record in self._active_records()}
        for tenant, tenant_state in self.tenant_states.items():
            if tenant_state.level != Level.DEPREFERRED or tenant in settling:
                continue
            other = self._member(tenant_state.successor)
            if other is None or not _is_staying(other) or tenant not in other.snapshot.holds:
                if found := self._newer_holder(tenant, tenant_state):
                    self._record_successor(tenant_state, found)
                    continue
                self._renew_stamp(tenant_state, 0)
                self._set_level(now, tenant_state, Level.PREFERRED)
                continue
            span = now - tenant_state.since
            gone = (
                self._remaining_connections(tenant) == 0 and span >= MIN_DEPREFERRED_SHARE * self.terms.settle
            )
            if other.trust == Trust.SURE and (gone or span >= self.terms.settle):
                self._set_level(now, tenant_state, Level.WITHDRAWN)

    def _take_back(self, now: float) -> None:
        """Take back tenants that were given away and that no node holds any more.

        This happens at once if the new holder has ended, otherwise after the time that a target may need, as
        the tenant may be on its way to another node. A node that is leaving takes back nothing.
        """
        if self._leaving():
            return
        is_arriving = {
            request.tenant
            for name, one in self.announcements.items()
            if name != self.own_name
            for request in one.part.requests
            if request.begun
        }
        for tenant, tenant_state in self.tenant_states.items():
            if tenant_state.level != Level.WITHDRAWN or not tenant_state.successor:
                continue
            if self.holders.get(tenant) or tenant in is_arriving:
                tenant_state.unheld_since = NEVER
                continue
            tenant_state.unheld_since = min(tenant_state.unheld_since, now)
            lost = self._has_ended(tenant_state.successor, tenant_state.successor_incarnation)
            if not lost and now < tenant_state.unheld_since + quorum.begin_timeout(self.terms):
                continue
            self.counts["moves_taken_back"] += 1
            key = (tenant, self.own_name, tenant_state.successor)
            kept = [one for one in self.history if one.key == key and one.state == State.KEPT]
            if kept:
                self._transition(
                    now,
                    kept[-1],
                    Event.TARGET_LOST,
                    f"{tenant_state.successor} is gone, or holds it no longer",
                )
            else:
                self._renew_stamp(tenant_state, 0)
                self._set_level(now, tenant_state, Level.PREFERRED)

    # Recommendations

    def _recommend(self, now: float) -> None:
        assert self.view is not None
        span = (
            PLAN_INTERVAL_SHARE if self.planned_version == self.view.version else URGENT_PLAN_INTERVAL_SHARE
        )
        if now < self.planned_at + span * self.terms.settle:
            return
        self.planned_at, self.planned_version = now, self.view.version
        self.loads = load_ranges.estimate_loads(self.view, self.terms)
        self._update_hold_downs(now)
        self.plan = planner.plan(self.loads, self._constraints(), self.terms)
        over = any(step.source == self.own_name for step in self.plan.steps)
        self.overloaded_since = min(self.overloaded_since, now) if over else NEVER
        wanted = {(step.tenant, step.source, step.target): step for step in self.plan.steps}
        for key, step in wanted.items():
            if key not in self.records:
                self.records[key] = MigrationRecord(now, step, self._describe(step))
            elif self.records[key].state == State.PROPOSED:
                self.records[key].step, self.records[key].reason = step, self._describe(step)
        for key, record in list(self.records.items()):
            if key not in wanted and record.state == State.PROPOSED and record.request is None:
                self._transition(
                    now, record, Event.NOT_NEEDED, "not needed by newer figures, or a node is in a move"
                )

    def _constraints(self) -> MoveConstraints:
        assert self.view is not None
        busy: set[str] = set()
        moving_tenants: set[str] = set()
        barred_pairs: set[bytes] = set()
        for name, one in self.announcements.items():
            if one.part.resting > one.member.age:
                busy.add(name)
            for request in one.part.requests:
                if request.begun:
                    busy |= {name, request.target}
                    moving_tenants.add(request.tenant)
            barred_pairs |= wire.pair_hashes(one.part.barred_pairs)
        # Nodes mostly have equal filters.
        same = {one.part.eligible: TenantFilter(one.part.eligible) for one in self.announcements.values()}
        takes: dict[str, TenantFilter] = {
            name: same[one.part.eligible] for name, one in self.announcements.items()
        }
        return MoveConstraints(takes, frozenset(busy), frozenset(moving_tenants), frozenset(barred_pairs))

    def _describe(self, step: Move) -> str:
        source, target = self.loads.node(step.source), self.loads.node(step.target)
        middle = self.loads.mean.mid or 1.0
        assert source is not None and target is not None
        return (
            f"{step.source} holds {_format_range(source.load)}, {source.load.mid / middle:.2f} of the mean "
            f"{middle:.0f}, bound {self.plan.bound:.0f}; {step.tenant} holds {_format_range(step.load)}, "
            f"{step.target} {_format_range(target.load)} with room for {target.room}; gains {step.gain:.0f}, "
            f"costs {step.cost:.0f}"
        )

    def _request_move(self, now: float) -> None:
        """Request votes for the first own recommendation that has been stable for long enough."""
        own = self._member(self.own_name)
        assert own is not None and self.incarnation is not None
        if (
            not self.terms.moves
            or own.snapshot.state != members.State.SERVING
            or self._busy()
            or now
            < max(
                self.cool_down_until,
                self.next_request_at,
                self.overloaded_since + STABLE_OVERLOAD_SHARE * self.terms.settle,
            )
            or now < self.voter.abstains_until(self.terms, self.announcements)
        ):
            return
        for step in self.plan.steps:
            record = self.records.get((step.tenant, step.source, step.target))
            target = self.announcements.get(step.target)
            if (
                record is None
                or step.source != self.own_name
                or record.state != State.PROPOSED
                or target is None
                or not target.part.moves
                or target.member.trust != Trust.SURE
                or self.tenant_states.get(step.tenant) is None
                or self.tenant_states[step.tenant].level != Level.PREFERRED
            ):
                continue
            slot = self._slot(now)
            if slot is None:
                return
            tenant_state = self.tenant_states[step.tenant]
            self.last_number += 1
            request = MoveRequest(
                slot,
                self.last_number,
                step.tenant,
                step.target,
                tenant_state.home,
                max(tenant_state.stamp, tenant_state.highest_stamp) + 1,
                gain=max(0.0, step.gain),
            )
            record.request = request
            record.incarnation = self.incarnation
            record.target_incarnation = target.incarnation
            record.expires_at = now + quorum.request_timeout(self.terms)
            record.deadline = now + quorum.max_duration(self.terms)
            if wire.fits(self._own_part(now)):
                tenant_state.offered_to = step.target
            else:
                record.request = None
                self.counts["moves_no_space"] += 1
            return

    def _slot(self, now: float) -> int | None:
        """A free slot for a request.

        With equal views each source gets a slot of its own, by its rank among the sources of the plan that
        may request one. A source that has waited for long takes any free slot.
        """
        taken = {
            request.slot
            for name, one in self.announcements.items()
            if name != self.own_name
            for request in one.part.requests
        }
        free = [
            slot
            for slot in self.voter.free_slots(quorum.slot_count(self.terms, self.announcements))
            if slot not in taken
        ]
        before: list[str] = []
        for step in self.plan.steps:
            if step.source == self.own_name:
                break
            announcement = self.announcements.get(step.source)
            if (
                announcement
                and announcement.part.moves
                and not announcement.part.requests
                and step.source not in before
            ):
                before.append(step.source)
        if len(before) < len(free):
            return free[len(before)]
        waited = now - self.overloaded_since >= self.terms.settle * (1 + len(before))
        return free[len(before) % len(free)] if free and waited else None

    # Hold-downs: no repeated move without a change of the loads

    def _hold_down(self, now: float, tenant: str, other: str) -> None:
        there = self._member(other)
        self.hold_downs.pop(tenant, None)
        if tenant in self.tenant_states:
            self.hold_downs[tenant] = HoldDown(other, there.snapshot.incarnation if there else 0, now)

    def _update_hold_downs(self, now: float) -> None:
        mine = self.loads.node(self.own_name)
        by = LOAD_CHANGE_SHARE * (self.terms.uneven - 1) * self.loads.mean.mid
        for tenant, hold_down in list(self.hold_downs.items()):
            theirs, there = self.loads.node(hold_down.other), self._member(hold_down.other)
            another = (
                there is not None and there.is_present and there.snapshot.incarnation != hold_down.incarnation
            )
            if now >= hold_down.since + quorum.SECONDS_PER_DAY or (
                another and now >= hold_down.since + self.terms.rest
            ):
                del self.hold_downs[tenant]
            elif mine is None or theirs is None or now < hold_down.since + self.terms.rest:
                continue
            elif hold_down.mine is None or hold_down.theirs is None:
                self.hold_downs[tenant] = hold_down._replace(mine=mine.load, theirs=theirs.load)
            elif hold_down.mine.differs(mine.load, by) or hold_down.theirs.differs(theirs.load, by):
                del self.hold_downs[tenant]

    # Output

    def encoded_part(self, now: float) -> bytes:
        """The announcement for this node's own snapshot, at most 2 KiB."""
        return wire.encode(self._own_part(now))

    def _own_part(self, now: float) -> MigrationPart:
        rests = self.cool_down_until
        if self.terms.moves:  # while it abstains, no plan should include this node
            rests = max(rests, self.voter.abstains_until(self.terms, self.announcements))
        return MigrationPart(
            moves=self.terms.moves,
            at_once=self.terms.at_once,
            max_duration=quorum.max_duration(self.terms),
            known_node_count=self.known_nodes.count,
            resting=min(max(0.0, rests - now), 86400.0),
            eligible=self.filter_bits,
            requests=tuple(self._current_request(record) for record in self._active_records()),
            dropped=tuple(self.dropped_numbers),
            votes=tuple(one.vote for _, one in sorted(self.voter.granted.items())),
            held_tenants=self._held_tenants(),
            barred_pairs=b"".join(
                wire.pair_hash(tenant, hold_down.other)
                for tenant, hold_down in reversed(self.hold_downs.items())
            ),
        )

    def _current_request(self, record: MigrationRecord) -> MoveRequest:
        assert record.request is not None
        begun, settling = record.state in (State.BEGUN, State.SETTLING), record.state == State.SETTLING
        return MoveRequest(
            record.request.slot,
            record.request.number,
            record.request.tenant,
            record.request.target,
            record.request.home,
            record.request.stamp,
            begun,
            record.request.gain,
            settling,
        )

    def _held_tenants(self) -> tuple[HeldTenant, ...]:
        """Tenants held through moves that others need to know.

        Those still arriving come first, then those that other nodes hold too.
        """
        found = [
            (not tenant_state.is_arriving, HeldTenant(tenant, tenant_state.home, tenant_state.stamp))
            for tenant, tenant_state in self.tenant_states.items()
            if tenant_state.level == Level.PREFERRED
            and tenant_state.stamp
            and (tenant_state.is_arriving or tenant in self.holders)
        ]
        return tuple(hold for _, hold in sorted(found, key=lambda one: (one[0], one[1].tenant)))

    def _fits(self, vote: Vote) -> bool:
        """Whether one more vote and one request of this node fit into its announcement."""
        assert self.view is not None
        part = self._own_part(self.view.at)
        most = max(len(name.encode()) for name in (*self.eligible, *self.view.members))
        largest_request = MoveRequest(
            63, 1 << 52, "x" * most, "x" * most, "x" * most, 1 << 52, True, 1e11, True
        )
        return wire.fits(structs.replace(
            part, resting=86399.9, requests=part.requests or (largest_request,), votes=(*part.votes, vote)
        ))  # fmt: skip

    def _expire_history(self, now: float) -> None:
        while self.history and now >= self.history[0].since + HISTORY_SECONDS:
            self.history.popleft()

    # Status

    def recommendations(self, now: float) -> list[Recommendation]:
        """The open recommendations of all nodes, then the completed ones known to this node, newest first."""
        result = [self._to_recommendation(now, one) for one in self.records.values()]
        known_keys = {(one.tenant, one.source, one.target) for one in result if one.state != State.PROPOSED}
        for name, one in sorted(self.announcements.items()):
            for request in one.part.requests if name != self.own_name else ():
                key = (request.tenant, name, request.target)
                if not request.begun or key in known_keys:
                    continue
                state = State.SETTLING if request.settling else State.BEGUN
                result = [it for it in result if (it.tenant, it.source, it.target) != key]
                result.append(
                    Recommendation(*key, state, f"{name} says so", one.member.age, gain=request.gain)
                )
        order = list(State)
        result.sort(key=lambda one: (-order.index(one.state), one.cost - one.gain, one.source, one.tenant))
        return [*result, *(self._to_recommendation(now, one) for one in reversed(self.history))]

    def _to_recommendation(self, now: float, one: MigrationRecord) -> Recommendation:
        step, why = one.step, one.reason
        if one.why:
            why = f"{one.why}; {why}"
        elif one.request:
            why = f"asks, {self._count_votes(one.request).text}; {why}"
        return Recommendation(
            step.tenant, step.source, step.target, one.state, why, now - one.since, step.load.mid,
            step.connections, step.opened, step.gain, step.cost,
        )  # fmt: skip

    def capacity_advice(self) -> tuple[CapacityAdvice, ...]:
        """Imbalances that no move can remove, and why."""
        return self.plan.advice


def _is_staying(member: Member) -> bool:
    """Whether a member is present and not leaving.

    A leaving node has withdrawn its addresses but lists its tenants until the end.
    """
    return member.is_present and member.snapshot.state != members.State.LEAVING


def _format_range(load: Range) -> str:
    if load.high - load.low < 1:
        return f"{load.mid:.0f}"
    return f"{load.mid:.0f} ({load.low:.0f} to {load.high:.0f})"


def _spread(name: str, number: int) -> float:
    """A number between 0 and 1 derived from a name and a number.

    Two nodes that collided do not collide again.
    """
    return int.from_bytes(blake2b(f"{name}\0{number}".encode(), digest_size=4).digest(), "big") / (1 << 32)
