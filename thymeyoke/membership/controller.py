"""The membership protocol of one process: received messages in, messages to other members out. Pure.

SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health and shrinking suspicions (Dadgar and others,
2018). In each period one member is probed, in random round-robin order; if it does not answer, indirectly
through others. Then it is suspected, and dead if it does not refute in time. Updates are piggybacked on
probes and answers. Nodes also send their own snapshots directly to each other in each period.

Snapshots are ordered by their numbers, never by clocks: `now` only measures durations within this process.
docs/membership.md has the state table and the rules.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil
from random import Random
from typing import NamedTuple

from thymeyoke.membership.failure_detector import (
    DEAD_RETENTION_PERIODS,
    EPOCH_SEQUENCES,
    GONE_RETENTION_PERIODS,
    PRESENT_STATUSES,
    TRUST_BY_STATUS,
    UPDATABLE_STATUSES,
    Announcement,
    Event,
    KnownMember,
    MemberStatus,
    SnapshotLayer,
    Suspicion,
    classify,
    epoch,
    figures_only,
    next_status,
)
from thymeyoke.membership.gossip import (
    GOSSIP_BYTES,
    MIN_MESH_GOSSIP_BYTES,
    Accusation,
    Action,
    GossipItem,
    GossipQueue,
    LogEvent,
    Message,
    MessageKind,
    Send,
    Verdict,
    detail_size,
)
from thymeyoke.membership.limits import find_fault
from thymeyoke.membership.view import Member, Snapshot, State, Trust, View

MAX_MEMBERS = 4096  # then new members replace dead ones, or are ignored if there are none
DIRECT_PROBE_SHARE = 1 / 4  # of a probe's timeout, after which other members are asked to ping
RELAYED_PING_PERIODS = 1 / 4  # after which a ping for another member is reported as unanswered
INDIRECT_PROBES = 3  # members that are asked to ping
MEAN_WITNESSES = 4  # mean number of members that probe a suspect next, to confirm or clear the suspicion
MAX_HEALTH_SCORE = 8  # Lifeguard's local health: 0 is best; timeouts are multiplied by 1 + score
STALL_HEALTH_SCORE = 3  # minimum score after this process stalled
STALL_PERIODS = 1.0  # lateness from which this process counts as stalled
SYNC_PERIODS = 10.0  # between two full synchronizations; longer in a large fleet
SYNC_STRETCH_MEMBERS = 32  # above this number the interval grows with the logarithm of the number of members
MAX_SYNC_ENTRIES = 1 << 15  # sent in full synchronizations of one period: about 0.25 s of processor time
SEEDS_WHILE_ALONE = 3  # seeds contacted in a period while no member is known
DEAD_PING_PERIODS = 5  # between two pings of dead members, so that a partition heals without seeds
URGENT_FANOUT = 8  # members that an urgent change of this process is sent to at once
DETAIL_BYTES_PER_PERIOD = 1 << 18  # approximate size of the loads sent to other nodes, in turn
MAX_RELAYS = 256  # concurrent pings for other members
MAX_CORRECTIONS = 64  # replies to outdated or conflicting senders in one period
UPTIME_MARGIN_PERIODS = 2.0  # smaller differences of uptime do not decide a name conflict
# Age from which load figures lose weight, and time in which they lose half of it.
FULL_WEIGHT_PERIODS, WEIGHT_HALF_LIFE_PERIODS = 3.0, 10.0
MEMBERS_PER_GOSSIP_PERIOD = 16  # for each such number of members gossip may take one period longer


class Probe(NamedTuple):
    """A probe in progress."""

    name: str
    number: int
    started_at: float
    indirect_at: float  # when other members are asked to ping
    expires_at: float
    helpers: tuple[str, ...] = ()
    nacks: frozenset[str] = frozenset()


class Relay(NamedTuple):
    """A ping on behalf of another member."""

    requester: str  # its address
    number: int  # of the requester's probe
    subject: str
    expires_at: float


class Membership:
    """All that one process knows of the fleet; times in seconds.

    After each event call `advance` and carry out its actions in order; `next_advance_at` returns when to call
    it next without an event.
    """

    def __init__(self, now: float, own: Snapshot, seeds: tuple[str, ...], rng: Random, period: float) -> None:
        """`seeds`: addresses of members to contact first; `period`: protocol period."""
        self.seeds = tuple(seed for seed in seeds if seed != own.address)
        # Seeds that have not answered, are not known from others, and did not refuse the connect. While there
        # are any, the view may be incomplete: with slow messages, half of the fleet may be known from its own
        # requests while the answers of the other half are still in flight.
        self.unanswered_seeds = set(self.seeds)
        self.rng, self.period, self.started_at, self.now = rng, period, now, now
        self.own = own._replace(sequence=max(1, own.sequence))
        self.first_incarnation = own.incarnation  # its clock time; limits plausible incarnations of others
        self.pending_own = self.own  # the latest announced snapshot, which is sent with the next period
        self.announced_at, self.state_at = now, now - own.since
        self.known: dict[str, KnownMember] = {}  # by name, without this process
        self.gossip = GossipQueue()
        self.outbox: list[Action] = []
        self.version = 1
        self.cached_count = 0, 0  # version, and number of present members at that version
        self.health = 0
        self.probe: Probe | None = None
        self.probe_round: list[str] = []  # members left to probe in this round
        self.number = 0  # of the last ping
        self.relays: dict[int, Relay] = {}  # by the number of our ping
        self.corrected: dict[str, float] = {}  # by address: time of the last correction
        self.synced: set[str] = set()  # addresses that received a full synchronization in this period
        self.suspected: set[str] = set()  # names of members with a suspicion
        self.conflict = ""  # error message if another process owns this one's name
        self.left = False
        self.period_count, self.mesh_offset = 0, 0
        self.next_period_at = now + rng.random() * period  # random phase, as many may start at once
        self.next_probe_at = now + rng.random() * period
        self.next_sync_at = now + (1 + rng.random()) * period
        self.expected_at = now
        self.staleness, self.stale_until = 0.0, now  # after a stall: messages may be that old until then
        self.resumed_at = float("-inf")  # from the last stall

    # Events.

    def announce(self, now: float, own: Snapshot) -> None:
        """Update this process's snapshot.

        Name, address, incarnation and sequence are kept; the state only advances.
        """
        self.now, old = now, self.own
        state = max(old.state, own.state, self.pending_own.state)
        self.pending_own = own._replace(
            name=old.name, node=old.node, address=old.address, incarnation=old.incarnation,
            sequence=old.sequence, state=state)  # fmt: skip
        if state != old.state:
            self.state_at = now
        is_urgent = (state, own.serves, own.holds) != (old.state, old.serves, old.holds)
        if is_urgent and not self.is_silent:
            if state != old.state:
                self.version += 1
            self._renew_own(now)
            self._send_urgently(now)

    def leave(self, now: float) -> None:
        """Announce that this process leaves; it is silent afterwards."""
        if not self.is_silent:
            self.announce(now, self.pending_own._replace(state=State.GONE))
        self.left = True

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a message; `sender`: the address in the message's head."""
        self._check_stall(now)
        sender_announcement = message.sender
        if self.is_silent:
            return
        if sender_announcement.snapshot.address != sender or sender == self.own.address:
            return self._record("misplaced")
        if sender_announcement.snapshot.name == self.own.name:
            return self._resolve_name_conflict(now, message)
        dead = {
            (member.name, member.incarnation, member.epoch)
            for member in message.accusations
            if member.verdict == Verdict.DEAD
        }
        event = self._apply_announcement(now, sender_announcement, dead)
        if message.kind != MessageKind.PULL:  # a request is not an answer
            self._seed_answered(sender)
        for announcement in message.announcements:
            if self._apply_announcement(now, announcement, dead) is not None:
                self._seed_answered(announcement.snapshot.address)
        for accusation in message.accusations:
            self._apply_accusation(now, accusation)
        known = self.known.get(sender_announcement.snapshot.name)
        if event is None or known is None:
            return
        is_behind = (
            known.status not in PRESENT_STATUSES or sender_announcement.snapshot.order < known.figures.order
        )
        if is_behind and event != Event.FAREWELL:
            self._send_correction(now, sender, known)  # a newer snapshot of its name is known than its own
        if (
            known.figures.address != sender
            or known.figures.incarnation != sender_announcement.snapshot.incarnation
        ):
            return
        if now >= self.stale_until:
            known.received_at = now
        self._respond(now, known, sender, message)

    def reconfigure(self, now: float, seeds: tuple[str, ...], period: float) -> None:
        """Apply changed settings; all knowledge of members is kept."""
        self.seeds = tuple(seed for seed in seeds if seed != self.own.address)
        self.unanswered_seeds.intersection_update(self.seeds)
        if period != self.period:
            self.period, self.probe = period, None
            self.next_period_at = self.next_probe_at = self.expected_at = now
            self.next_sync_at = now + period

    def connect_refused(self, now: float, address: str) -> None:
        """Note that a connect was refused, so nobody listens at the address."""
        self._check_stall(now)
        self._seed_answered(address)

    def start(self, now: float) -> None:
        """Note that the protocol runs from now on: the time before does not count as a stall."""
        self.expected_at = max(self.expected_at, now)

    # Actions.

    def advance(self, now: float) -> list[Action]:
        """Do the work that is due; returns messages to send and events to log."""
        self._check_stall(now)
        if not self.is_silent:
            if now >= self.next_period_at:
                self._run_period(now)
            self._expire_suspicions(now)
            self._advance_probe(now)
            self._expire_relays(now)
            if now >= self.next_sync_at:
                self._request_full_sync(now)
        actions, self.outbox = self.outbox, []
        self.expected_at = self.next_advance_at(now)
        return actions

    def next_advance_at(self, now: float) -> float:
        """The next time at which `advance` may have work to do, if no event happens before."""
        if self.outbox:
            return now
        if self.is_silent:
            return float("inf")
        moments = [self.next_period_at, self.next_sync_at, self._next_probe_event_at()]
        moments += [relay.expires_at for relay in self.relays.values()]
        moments += [
            suspicion.expires_at for name in self.suspected if (suspicion := self.known[name].suspicion)
        ]
        return min(moments)

    def last_stall(self, now: float) -> tuple[float, float]:
        """When this process last resumed from a stall, and the maximum age of messages read then.

        The stall may have started one period before it was noticed.
        """
        self._check_stall(now)
        return self.resumed_at, self.staleness + self.period

    def view(self, now: float) -> View:
        """The current view of the fleet."""
        own = self.pending_own._replace(
            incarnation=self.own.incarnation, sequence=self.own.sequence, since=max(0.0, now - self.state_at)
        )
        members = {name: self._make_member(now, member) for name, member in self.known.items()}
        members[own.name] = Member(own, Trust.SURE, max(0.0, now - self.announced_at), 1.0)
        return View(self.version, now, own.name, members, len(self.unanswered_seeds))

    @property
    def is_silent(self) -> bool:
        """Whether this process sends nothing any more, as it has left or lost its name."""
        return self.left or bool(self.conflict)

    def present_members(self) -> list[KnownMember]:
        """The other members that are alive or suspected."""
        return [member for member in self.known.values() if member.status in PRESENT_STATUSES]

    def member_count(self) -> int:
        """Number of present members including this one; cached until the version changes."""
        if self.cached_count[0] != self.version:
            self.cached_count = (
                self.version,
                1 + sum(member.status in PRESENT_STATUSES for member in self.known.values()),
            )
        return self.cached_count[1]

    # Knowledge of other members.

    def _make_member(self, now: float, known: KnownMember) -> Member:
        snapshot = known.merged
        age = max(0.0, now - known.confirmed_at())
        return Member(snapshot, TRUST_BY_STATUS[known.status], age, self._weight(age, known))

    def _weight(self, age: float, known: KnownMember) -> float:
        """Weight of a member's load figures, by their age.

        Full while they may still be the newest that could have arrived, then decaying exponentially. Halved
        for suspected members, and 0 for dead ones, whose load is unknown.
        """
        if known.status not in PRESENT_STATUSES:
            return 0.0
        is_direct = self.own.node and known.figures.node
        full_weight_age = self.period * (
            FULL_WEIGHT_PERIODS + len(self.known) / MEMBERS_PER_GOSSIP_PERIOD * (1 / 2 if is_direct else 1)
        )
        weight = float(0.5 ** (max(0.0, age - full_weight_age) / (WEIGHT_HALF_LIFE_PERIODS * self.period)))
        return weight / 2 if known.status == MemberStatus.UNSURE else weight

    def _apply_announcement(
        self, now: float, announcement: Announcement, dead: set[tuple[str, int, int]]
    ) -> Event | None:
        """Apply a received snapshot; returns its event, or None if it is invalid or about this process.

        `dead`: (name, incarnation, epoch) that the same message accuses of being dead.
        """
        new = announcement.snapshot
        known = self.known.get(new.name)
        if known and announcement.layers == SnapshotLayer.FIGURES and new.order <= known.figures.order \
                and new.address == known.figures.address:  # fmt: skip
            return Event.OLDER  # the most common case, without any effect
        if now < self.stale_until:
            announcement = announcement._replace(age=announcement.age + self.staleness)
        if reason := self._find_fault(now, announcement):
            self._record("snapshots_dropped", "", reason)
            return None
        if new.name == self.own.name:
            self._apply_own_announcement(now, announcement, dead)
            return None
        event = classify(known, announcement, self.period)
        if known is None:
            is_known_dead = (new.name, new.incarnation, epoch(new)) in dead
            if event != Event.NEW_LIFE or is_known_dead or not self._make_room():
                return event
            known = self.known[new.name] = KnownMember(now, announcement)
        elif event == Event.ANOTHER_ADDRESS:
            self._record("another_address", new.name, new.address)
            self._send_correction(now, new.address, known)
        elif known.status != MemberStatus.GONE and is_backward(known, new, event):
            self._record("snapshots_dropped", "", "state goes back within an incarnation")
            return None
        if known.status in UPDATABLE_STATUSES.get(event, ()):
            changed = (known.figures.incarnation, known.figures.state) != (new.incarnation, new.state)
            known.update(now, announcement)
            self.gossip.put(new.name, can_wait=not changed and event == Event.NEWER)
            if changed and next_status(known.status, event) == known.status:
                self.version += 1
        elif event == Event.OLDER:
            known.merge_layers(now, announcement)
        self._transition(now, known, event)
        return event

    def _seed_answered(self, address: str) -> None:
        if address in self.unanswered_seeds:
            self.unanswered_seeds.remove(address)
            self.version += not self.unanswered_seeds  # notifies users of the view

    def _find_fault(self, now: float, announcement: Announcement) -> str:
        if not 0.0 <= announcement.age < float("inf"):
            return "age is negative or infinite"
        return find_fault(announcement.snapshot, self.first_incarnation + int((now - self.started_at) * 1000))

    def _make_room(self) -> bool:
        if len(self.known) < MAX_MEMBERS:
            return True
        absent = [member for member in self.known.values() if member.status not in PRESENT_STATUSES]
        if not absent:
            self._record("full")
            return False
        self._forget(min(absent, key=lambda member: member.status_since))
        return True

    def _apply_accusation(self, now: float, accusation: Accusation) -> None:
        """Apply an accusation, if it is about the incarnation and epoch known here.

        Accusations of older ones are already refuted, and of newer ones there is no snapshot yet.
        """
        own = self.own
        if accusation.name == own.name:
            if accusation.incarnation == own.incarnation and accusation.epoch == epoch(own):
                self._refute(now)
            return
        known = self.known.get(accusation.name)
        if known is None or (accusation.incarnation, accusation.epoch) != (
            known.figures.incarnation,
            known.epoch,
        ):
            return
        suspicion = known.suspicion
        if accusation.verdict == Verdict.DEAD and (
            suspicion is None or accusation.accuser not in suspicion.accusers
        ):
            event = Event.FOUND_DEAD  # an accuser that already suspects it does not count as a second one
        elif known.status in PRESENT_STATUSES:
            event = Event.SUSPECTED
        else:
            return
        self._transition(now, known, event, accusation.accuser)

    def _transition(self, now: float, known: KnownMember, event: Event, accuser: str = "") -> None:
        """Apply one event to a member's status, with all effects of a change."""
        before, known.status = known.status, next_status(known.status, event)
        if known.status == MemberStatus.UNSURE and event in (
            Event.UNANSWERED,
            Event.SUSPECTED,
            Event.FOUND_DEAD,
        ):
            self._suspect(now, known, event, accuser or self.own.name)
        if known.status == before:
            return
        name = known.figures.name
        known.status_since = now
        self.version += 1
        self.gossip.put(name, can_wait=False)
        if known.status != MemberStatus.UNSURE:
            known.suspicion = None
            self.suspected.discard(name)
        if known.status == MemberStatus.UNKNOWN:
            return self._forget(known)
        if (
            known.status == MemberStatus.SURE
            and before not in PRESENT_STATUSES
            and name not in self.probe_round
        ):
            self.probe_round.insert(self.rng.randrange(len(self.probe_round) + 1), name)  # in this round
        self._record("now_" + known.status.value, name, event.value)

    def _suspect(self, now: float, known: KnownMember, event: Event, accuser: str) -> None:
        if known.suspicion is None:
            period = self.period * (1 + self.health)
            known.suspicion = Suspicion(now, accuser, self.member_count(), period)
            self.suspected.add(known.figures.name)
            if accuser == self.own.name:  # tells the suspect at once, so that it can refute
                self._send(known.figures.address, MessageKind.PUSH, known)
            elif self.rng.random() < MEAN_WITNESSES / self.member_count():
                self.probe_round.append(known.figures.name)
        elif known.suspicion.confirm(accuser):
            self.gossip.put(known.figures.name, can_wait=False)
        if event == Event.FOUND_DEAD:
            known.suspicion.shorten()

    def _forget(self, known: KnownMember) -> None:
        name = known.figures.name
        self.version += known.status != MemberStatus.UNKNOWN
        del self.known[name]
        self.suspected.discard(name)
        self.gossip.remove(name)

    def _expire_suspicions(self, now: float) -> None:
        for name in sorted(self.suspected):
            known = self.known[name]
            if known.suspicion and known.suspicion.expires_at <= now:
                self._transition(now, known, Event.SUSPICION_OVER)

    def _expire_retention(self, now: float) -> None:
        spans = {
            MemberStatus.DEAD: DEAD_RETENTION_PERIODS * self.period,
            MemberStatus.GONE: GONE_RETENTION_PERIODS * self.period,
        }
        for known in list(self.known.values()):
            if now >= known.status_since + spans.get(known.status, float("inf")):
                self._transition(now, known, Event.STAY_OVER)

    # This process, as others see it.

    def _renew_own(self, now: float) -> None:
        """Create the next snapshot of this process."""
        self.own = self.pending_own._replace(
            incarnation=self.own.incarnation, sequence=self.own.sequence + 1,
            since=max(0.0, now - self.state_at))  # fmt: skip
        self.announced_at = now

    def _refute(self, now: float) -> None:
        """Refute an accusation with a higher epoch; being accused also lowers the local health."""
        self._record("refuted")
        self._adjust_health(1)
        self.own = self.own._replace(sequence=(epoch(self.own) + 1) * EPOCH_SEQUENCES)
        self._renew_own(now)
        self._send_urgently(now)

    def _raise_incarnation(self, now: float, other: Snapshot) -> None:
        """Raise the own incarnation above one that others know, whose clock was ahead."""
        self._record("incarnation_raised")
        self.own = self.own._replace(incarnation=other.incarnation + 1, sequence=0)
        self.version += 1
        self._renew_own(now)
        self._send_urgently(now)

    def _apply_own_announcement(
        self, now: float, announcement: Announcement, dead: set[tuple[str, int, int]]
    ) -> None:
        """Handle a snapshot of this process's own name that others know."""
        other, own = announcement.snapshot, self.own
        has_ended = other.state == State.GONE or (other.name, other.incarnation, epoch(other)) in dead
        if other.address == own.address or has_ended:
            is_elsewhere = other.address != own.address and other.incarnation >= own.incarnation
            if other.order > own.order or is_elsewhere:
                self._raise_incarnation(now, other)
        else:  # another process may use this name: ask it directly
            self._send_once(now, other.address, MessageKind.PING)

    def _resolve_name_conflict(self, now: float, message: Message) -> None:
        """Handle a message of another process with this one's name.

        The process with the longer uptime keeps the name, which does not depend on clocks. If the uptimes are
        about equal, the smaller address decides.
        """
        address = message.sender.snapshot.address
        if self._find_fault(now, message.sender):
            return self._record("snapshots_dropped")
        uptime, other_uptime = now - self.started_at, message.uptime
        differs = abs(uptime - other_uptime) > UPTIME_MARGIN_PERIODS * self.period
        is_older = uptime > other_uptime if differs else self.own.address < address
        if is_older:
            self._record("rival", self.own.name, address)
            self._send_once(now, address, MessageKind.CONFLICT)
        elif message.kind == MessageKind.CONFLICT:
            name = self.own.name
            self.conflict = (
                f"the name {name} belongs to another process at {address}; give this one another name"
            )
            self.outbox.clear()
            self._record("conflict", self.own.name, address)
        else:
            self._send_once(now, address, MessageKind.PING)

    def _check_stall(self, now: float) -> None:
        """Detect a stall of this process.

        After a stall the running probe is dropped, suspicions are extended by its duration, and messages read
        now may be as old as the stall.
        """
        self.now = now
        lateness = now - self.expected_at
        if lateness <= STALL_PERIODS * self.period:
            return
        self.expected_at = now
        self._record("stood_still", "", f"{lateness:.3g} s")
        self.staleness, self.stale_until, self.resumed_at = lateness, now + self.period, now
        self.health = max(self.health, STALL_HEALTH_SCORE)
        self.probe, self.next_probe_at = None, now + self.period
        self.relays.clear()
        for name in self.suspected:
            if suspicion := self.known[name].suspicion:
                suspicion.since += lateness + self.period  # a refutation may be unread yet

    def _adjust_health(self, by: int) -> None:
        self.health = min(MAX_HEALTH_SCORE, max(0, self.health + by))

    # Probes.

    def _next_probe_event_at(self) -> float:
        if self.probe is None:
            return self.next_probe_at
        return (
            self.probe.expires_at
            if self.probe.helpers
            else min(self.probe.indirect_at, self.probe.expires_at)
        )

    def _advance_probe(self, now: float) -> None:
        probe = self.probe
        if probe is not None and now >= probe.expires_at:
            self._probe_failed(now, probe)
            probe = None
        if probe is not None and not probe.helpers and now >= probe.indirect_at:
            self._probe_indirectly(probe)
        if self.probe is None and now >= self.next_probe_at:
            self._start_probe(now)

    def _start_probe(self, now: float) -> None:
        span = self.period * (1 + self.health)
        self.next_probe_at = now + span
        while self.probe_round or self._start_round():
            known = self.known.get(self.probe_round.pop())
            if known is not None and known.status in PRESENT_STATUSES:
                break
        else:
            return
        self.number += 1
        name = known.figures.name
        self.probe = Probe(name, self.number, now, now + DIRECT_PROBE_SHARE * span, now + span)
        self._send(known.figures.address, MessageKind.PING, known, self.number, name)

    def _start_round(self) -> bool:
        self.probe_round = sorted(member.figures.name for member in self.present_members())
        self.rng.shuffle(self.probe_round)
        return bool(self.probe_round)

    def _probe_indirectly(self, probe: Probe) -> None:
        others = sorted(
            member.figures.name for member in self.known.values()
            if member.status == MemberStatus.SURE and member.figures.name != probe.name
        )  # fmt: skip
        helpers = tuple(self.rng.sample(others, min(INDIRECT_PROBES, len(others))))
        self.probe = probe._replace(helpers=helpers, indirect_at=probe.expires_at)
        for name in helpers:
            helper = self.known[name]
            self._send(helper.figures.address, MessageKind.PING_REQUEST, helper, probe.number, probe.name)

    def _probe_failed(self, now: float, probe: Probe) -> None:
        """Suspect a member that did not answer, unless any message of it arrived since the probe started."""
        self.probe = None
        known = self.known.get(probe.name)
        if known is None or known.status not in PRESENT_STATUSES:
            return
        if known.received_at > probe.started_at:
            return self._adjust_health(-1)
        self._transition(now, known, Event.UNANSWERED)  # uses the health before this probe
        self._adjust_health(1 + sum(name not in probe.nacks for name in probe.helpers))

    def _probe_succeeded(self, probe: Probe) -> None:
        self.probe = None
        self._adjust_health(-1)

    def _respond(self, now: float, known: KnownMember, sender: str, message: Message) -> None:
        """Respond to a message of a known member, by its kind."""
        name, number, subject = known.figures.name, message.number, message.subject
        match message.kind:
            case MessageKind.PING:
                self._send(sender, MessageKind.ACK, known, number, self.own.name)
            case MessageKind.ACK:
                self._receive_ack(name, number, subject)
            case MessageKind.PING_REQUEST:
                self._relay_ping(now, known, number, subject)
            case MessageKind.NACK:
                probe = self.probe
                if probe is not None and number == probe.number and name in probe.helpers:
                    self.probe = probe._replace(nacks=probe.nacks | {name})
            case MessageKind.PULL:
                self._send_full_sync(sender)

    def _send_full_sync(self, sender: str) -> None:
        """Send the complete table, at most once in a period to each address and limited in total.

        A table is hundreds of times larger than its request, and one link could send requests in many names.
        A rejected requester retries later, and receives gossip meanwhile.
        """
        if sender in self.synced or len(self.synced) * len(self.known) >= MAX_SYNC_ENTRIES:
            return self._record("pulls_turned_away")
        self.synced.add(sender)
        self._send_all(sender, MessageKind.PUSH)

    def _receive_ack(self, name: str, number: int, subject: str) -> None:
        probe = self.probe
        if (
            probe is not None
            and (number, subject) == (probe.number, probe.name)
            and (name == probe.name or name in probe.helpers)
        ):
            return self._probe_succeeded(probe)
        relay = self.relays.get(number)
        if relay is not None and relay.subject == name == subject:
            del self.relays[number]
            self._send(relay.requester, MessageKind.ACK, None, relay.number, name)

    def _relay_ping(self, now: float, requester: KnownMember, number: int, subject: str) -> None:
        """Ping a member for another one, at the address that is known here."""
        known = self.known.get(subject)
        if known is None or known.status not in PRESENT_STATUSES or len(self.relays) >= MAX_RELAYS:
            return self._send(requester.figures.address, MessageKind.NACK, requester, number, subject)
        self.number += 1
        self.relays[self.number] = Relay(
            requester.figures.address, number, subject, now + RELAYED_PING_PERIODS * self.period
        )
        self._send(known.figures.address, MessageKind.PING, known, self.number, subject)

    def _expire_relays(self, now: float) -> None:
        for number, relay in list(self.relays.items()):
            if now >= relay.expires_at:
                del self.relays[number]
                self._send(relay.requester, MessageKind.NACK, None, relay.number, relay.subject)

    # Sending.

    def _run_period(self, now: float) -> None:
        """Do the work of one period."""
        lateness = now - self.next_period_at
        self.next_period_at = now + self.period - (lateness if lateness < self.period else 0.0)
        self.period_count += 1
        self._renew_own(now)
        self._expire_retention(now)
        self.synced.clear()
        self.corrected = {address: at for address, at in self.corrected.items() if now < at + self.period}
        self._contact_seeds()
        if self.period_count % DEAD_PING_PERIODS == 0:
            self._ping_dead()
        if self.own.node:
            self._send_to_nodes(now)

    def _send_to_nodes(self, now: float) -> None:
        """Send this node's snapshot to all other nodes; large loads go to some of them in turn."""
        nodes = sorted(
            (member.figures.name, member.figures.address)
            for member in self.present_members()
            if member.figures.node
        )
        if not nodes:
            return
        full_count = max(1, min(len(nodes), DETAIL_BYTES_PER_PERIOD // detail_size(self.own)))
        offset, self.mesh_offset = self.mesh_offset, (self.mesh_offset + full_count) % len(nodes)
        full_indexes = {(offset + at) % len(nodes) for at in range(full_count)}
        max_bytes = max(MIN_MESH_GOSSIP_BYTES, GOSSIP_BYTES // len(nodes))
        items = self.gossip.pick(self.member_count(), max_bytes, self._make_item_for, len(nodes))
        for at, (name, address) in enumerate(nodes):
            layers = SnapshotLayer.PARTS | SnapshotLayer.DETAIL if at in full_indexes else SnapshotLayer.PARTS
            self._post(address, MessageKind.PUSH, items, to=self.known[name], layers=layers)

    def _contact_seeds(self) -> None:
        """Request a full synchronization from seeds without a known member, or that have not answered.

        One seed in each period, several while no member is known.
        """
        used_addresses = {member.figures.address for member in self.present_members()}
        unknown_seeds = [
            seed for seed in self.seeds if seed not in used_addresses or seed in self.unanswered_seeds
        ]
        for seed in self.rng.sample(
            unknown_seeds, min(len(unknown_seeds), 1 if used_addresses else SEEDS_WHILE_ALONE)
        ):
            self._post(seed, MessageKind.PULL, [])

    def _ping_dead(self) -> None:
        """Ping a random dead member, which refutes if it is alive."""
        dead = sorted(
            member.figures.name for member in self.known.values() if member.status == MemberStatus.DEAD
        )
        if dead:
            known = self.known[self.rng.choice(dead)]
            self._send(known.figures.address, MessageKind.PING, known, 0, known.figures.name)

    def _request_full_sync(self, now: float) -> None:
        count = self.member_count()
        stretch = 1 + max(0, ceil(count / SYNC_STRETCH_MEMBERS) - 1).bit_length()
        self.next_sync_at = now + SYNC_PERIODS * stretch * self.period * (0.75 + self.rng.random() / 2)
        present = sorted(member.figures.name for member in self.present_members())
        if present:
            known = self.known[self.rng.choice(present)]
            self._send_all(known.figures.address, MessageKind.PULL)

    def _send_all(self, address: str, kind: MessageKind) -> None:
        self._post(address, kind, [self._make_item(member) for member in self.known.values()])

    def _send_urgently(self, now: float) -> None:
        """Send a change of this process to some members at once, nodes first; they gossip it on."""
        present = sorted(self.present_members(), key=lambda member: member.figures.name)
        self.rng.shuffle(present)
        present.sort(key=lambda member: not member.figures.node)
        for known in present[:URGENT_FANOUT]:
            self._post(
                known.figures.address,
                MessageKind.PUSH,
                [],
                to=known,
                layers=SnapshotLayer.PARTS | SnapshotLayer.DETAIL,
            )

    def _send_correction(self, now: float, address: str, known: KnownMember) -> None:
        """Send a member the newer snapshot of its name that is known here; once in a period."""
        if self._may_correct(now, address):
            self._post(address, MessageKind.PUSH, [self._make_item(known)])

    def _send_once(self, now: float, address: str, kind: MessageKind) -> None:
        if self._may_correct(now, address):
            self._post(address, kind, [], subject=self.own.name)

    def _may_correct(self, now: float, address: str) -> bool:
        if address in self.corrected or len(self.corrected) >= MAX_CORRECTIONS or address == self.own.address:
            return False
        self.corrected[address] = now
        return True

    def _send(
        self, address: str, kind: MessageKind, to: KnownMember | None, number: int = 0, subject: str = ""
    ) -> None:
        """Send a message with gossip; a suspected receiver is told of its suspicion first."""
        excluded = [to.figures.name] if to is not None else []
        items = self.gossip.pick(self.member_count(), GOSSIP_BYTES, self._make_item_for, excluded=excluded)
        self._post(address, kind, items, number, subject, to)

    def _post(
        self,
        address: str,
        kind: MessageKind,
        items: Sequence[GossipItem],
        number: int = 0,
        subject: str = "",
        to: KnownMember | None = None,
        layers: int = SnapshotLayer.FIGURES,
    ) -> None:
        accusations = [accusation for item in items for accusation in item.accusations]
        if to is not None and to.status != MemberStatus.SURE:
            accusations[:0] = self._accusations(to)
        snapshot = self.own if layers & SnapshotLayer.DETAIL else figures_only(self.own)
        if layers & SnapshotLayer.PARTS:
            snapshot = snapshot._replace(parts=self.own.parts)
        sender = Announcement(snapshot, max(0.0, self.now - self.announced_at), layers)
        announcements = tuple(item.announcement for item in items)
        uptime = max(0.0, self.now - self.started_at)
        self.outbox.append(
            Send(address, Message(kind, sender, uptime, number, subject, announcements, tuple(accusations)))
        )

    def _make_item_for(self, name: str) -> GossipItem | None:
        known = self.known.get(name)
        return None if known is None else self._make_item(known)

    def _make_item(self, known: KnownMember) -> GossipItem:
        return GossipItem(
            Announcement(known.figures, max(0.0, self.now - known.figures_at)), self._accusations(known)
        )

    def _accusations(self, known: KnownMember) -> tuple[Accusation, ...]:
        member = known.figures
        if known.status == MemberStatus.DEAD:
            return (Accusation(member.name, member.incarnation, known.epoch, Verdict.DEAD, self.own.name),)
        if known.suspicion is None:
            return ()
        return tuple(
            Accusation(member.name, member.incarnation, known.epoch, Verdict.SUSPECTED, by)
            for by in sorted(known.suspicion.accusers)
        )

    def _record(self, event: str, name: str = "", reason: str = "") -> None:
        self.outbox.append(LogEvent(event, name, reason))


def is_backward(known: KnownMember, new: Snapshot, event: Event) -> bool:
    """Whether a later snapshot of the same incarnation has an earlier state."""
    return event in (Event.NEWER, Event.REFUTATION) and new.state < known.figures.state
