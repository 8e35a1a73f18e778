"""Failure detector for one remote member: a suspicion state machine and the member's latest snapshot. Pure.

docs/membership.md has the complete table of states; `TRANSITIONS` leaves out rows without a change. Snapshots
are ordered by (incarnation, sequence), never by clocks. The upper part of the sequence is the *epoch*, which
a process raises to refute accusations.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import log
from typing import NamedTuple

from thymeyoke.membership.view import Load, Snapshot, State, Trust

# Sequence numbers of one epoch. One snapshot a second fills an epoch in 12 days; the new epoch is harmless.
EPOCH_SEQUENCES = 1 << 20
MAX_CONFIRMATIONS = 3  # further accusers that shorten a suspicion to its minimum
# Duration of a confirmed and of an unconfirmed suspicion, multiplied by log10 of the number of members.
MIN_SUSPICION_PERIODS, MAX_SUSPICION_PERIODS = 3.0, 9.0
NEW_MEMBER_MAX_AGE_PERIODS = 100.0  # older snapshots do not add unknown members
# For which dead and departed members are remembered; longer than outdated gossip about them is accepted.
GONE_RETENTION_PERIODS, DEAD_RETENTION_PERIODS = 120.0, 600.0


class MemberStatus(Enum):
    """Status of a remote member; the values are logged."""

    UNKNOWN = "unknown"
    SURE = "sure"  # alive
    UNSURE = "unsure"  # suspected
    DEAD = "dead"
    GONE = "gone"  # has left


class Event(Enum):
    """Events that may change the status of a member; the values are logged."""

    NEWER = "newer"  # a later snapshot of the same incarnation and epoch
    OLDER = "older"  # a snapshot that is not later, or an unknown member's that is too old
    REFUTATION = "refutation"  # a snapshot of the same incarnation with a higher epoch
    NEW_LIFE = "new life"  # a higher incarnation, or the first snapshot of the name
    FAREWELL = "farewell"  # a later snapshot in state GONE
    UNANSWERED = "unanswered"  # our probe was not answered, directly or through others
    SUSPECTED = "suspected"  # another member suspects it
    FOUND_DEAD = "found dead"  # another member found it dead
    SUSPICION_OVER = "suspicion over"
    STAY_OVER = "stay over"  # the retention time of a dead or departed member is over
    ANOTHER_ADDRESS = "another address"  # a snapshot with another address, while the member is present


TRANSITIONS: dict[tuple[MemberStatus, Event], MemberStatus] = {
    (MemberStatus.UNKNOWN, Event.NEW_LIFE): MemberStatus.SURE,
    (MemberStatus.SURE, Event.FAREWELL): MemberStatus.GONE,
    (MemberStatus.SURE, Event.UNANSWERED): MemberStatus.UNSURE,
    (MemberStatus.SURE, Event.SUSPECTED): MemberStatus.UNSURE,
    (MemberStatus.SURE, Event.FOUND_DEAD): MemberStatus.UNSURE,  # it can still refute
    (MemberStatus.UNSURE, Event.REFUTATION): MemberStatus.SURE,
    (MemberStatus.UNSURE, Event.NEW_LIFE): MemberStatus.SURE,
    (MemberStatus.UNSURE, Event.FAREWELL): MemberStatus.GONE,
    (MemberStatus.UNSURE, Event.FOUND_DEAD): MemberStatus.DEAD,
    (MemberStatus.UNSURE, Event.SUSPICION_OVER): MemberStatus.DEAD,
    (MemberStatus.DEAD, Event.REFUTATION): MemberStatus.SURE,
    (MemberStatus.DEAD, Event.NEW_LIFE): MemberStatus.SURE,
    (MemberStatus.DEAD, Event.FAREWELL): MemberStatus.GONE,
    (MemberStatus.DEAD, Event.STAY_OVER): MemberStatus.UNKNOWN,
    (MemberStatus.GONE, Event.NEW_LIFE): MemberStatus.SURE,
    (MemberStatus.GONE, Event.STAY_OVER): MemberStatus.UNKNOWN,
}
TRUST_BY_STATUS = {
    MemberStatus.SURE: Trust.SURE,
    MemberStatus.UNSURE: Trust.UNSURE,
    MemberStatus.DEAD: Trust.DEAD,
    MemberStatus.GONE: Trust.DEAD,
}
PRESENT_STATUSES = (MemberStatus.SURE, MemberStatus.UNSURE)

# By event: statuses in which the snapshot replaces the known one.
UPDATABLE_STATUSES: dict[Event, tuple[MemberStatus, ...]] = {
    Event.NEWER: PRESENT_STATUSES,
    Event.REFUTATION: (*PRESENT_STATUSES, MemberStatus.DEAD),
    Event.NEW_LIFE: tuple(MemberStatus),
    Event.FAREWELL: (*PRESENT_STATUSES, MemberStatus.DEAD),
}


def next_status(status: MemberStatus, event: Event) -> MemberStatus:
    """The status after an event; unchanged if the table has no transition."""
    return TRANSITIONS.get((status, event), status)


def epoch(snapshot: Snapshot) -> int:
    """The epoch that a snapshot's sequence number belongs to."""
    return snapshot.sequence // EPOCH_SEQUENCES


class SnapshotLayer:
    """Bits that tell which parts of a snapshot a message carries, in addition to the basic fields.

    Plain integers, as they are tested for each received snapshot. Gossip carries the basic fields only; nodes
    send each other all layers.
    """

    FIGURES = 0  # basic fields only
    PARTS = 1  # data of other subsystems
    DETAIL = 2  # loads and held tenants


class Announcement(NamedTuple):
    """A snapshot as it is sent: with its age in seconds at that time, and the layers that it contains."""

    snapshot: Snapshot
    age: float = 0.0
    layers: int = SnapshotLayer.FIGURES


class Suspicion:
    """The time that a suspected member has to refute.

    It shrinks with the logarithm of the number of further accusers, down to a minimum (as in Lifeguard).
    """

    def __init__(self, now: float, accuser: str, member_count: int, period: float) -> None:
        """`member_count`: number of present members; `period`: protocol period in seconds."""
        self.since, self.accusers = now, {accuser}  # at most MAX_CONFIRMATIONS + 1
        scale = period * max(1.0, log(max(1, member_count), 10))
        self.min_seconds, self.max_seconds = MIN_SUSPICION_PERIODS * scale, MAX_SUSPICION_PERIODS * scale
        # The suspect and the first accuser don't count.
        self.needed_confirmations = min(MAX_CONFIRMATIONS, max(0, member_count - 2))

    def confirm(self, accuser: str) -> bool:
        """Add an accuser; returns whether it is a new one that shortens the suspicion."""
        if accuser in self.accusers or len(self.accusers) > self.needed_confirmations:
            return False
        self.accusers.add(accuser)
        return True

    def shorten(self) -> None:
        """Shorten the suspicion to its minimum, as another member found the suspect dead."""
        self.max_seconds = self.min_seconds

    @property
    def expires_at(self) -> float:
        """Time at which the suspected member is considered dead."""
        if not self.needed_confirmations:
            return self.since + self.min_seconds
        confirmed_share = log(len(self.accusers)) / log(self.needed_confirmations + 1)
        return self.since + max(
            self.min_seconds, self.max_seconds - (self.max_seconds - self.min_seconds) * confirmed_share
        )


Detail = tuple[tuple[Load, ...], Load, tuple[str, ...]]
NO_DETAIL: Detail = ((), Load("", 0), ())
NO_ORDER = (-1, -1)


def figures_only(snapshot: Snapshot) -> Snapshot:
    """The snapshot with its basic fields only."""
    if (snapshot.loads, snapshot.rest, snapshot.holds) == NO_DETAIL and not snapshot.parts:
        return snapshot
    return snapshot._replace(loads=(), rest=NO_DETAIL[1], holds=(), parts={})


class KnownMember:
    """Status and data of one remote member.

    Each layer is the newest received one by snapshot order. This is a join: the path and the number of times
    that a layer arrives do not matter.
    """

    __slots__ = (
        "detail",
        "detail_at",
        "detail_order",
        "figures",
        "figures_at",
        "received_at",
        "parts",
        "parts_order",
        "merged",
        "status",
        "status_since",
        "suspicion",
    )

    def __init__(self, now: float, announcement: Announcement) -> None:
        self.status, self.status_since = MemberStatus.UNKNOWN, now
        self.suspicion: Suspicion | None = None
        self.received_at = float("-inf")  # last message from the member itself, in this incarnation
        self._reset(now, announcement)

    def _reset(self, now: float, announcement: Announcement) -> None:
        self.figures, self.figures_at = figures_only(announcement.snapshot), now - announcement.age
        self.parts: Mapping[str, bytes] = {}
        self.detail = NO_DETAIL
        self.parts_order = self.detail_order = NO_ORDER
        self.detail_at = self.figures_at
        self._apply_layers(now, announcement)

    def update(self, now: float, announcement: Announcement) -> None:
        """Apply a newer snapshot."""
        if announcement.snapshot.incarnation != self.figures.incarnation:
            self.received_at = float("-inf")
            return self._reset(now, announcement)
        self.figures, self.figures_at = figures_only(announcement.snapshot), now - announcement.age
        self._apply_layers(now, announcement)

    def merge_layers(self, now: float, announcement: Announcement) -> None:
        """Apply the layers of a snapshot whose basic fields were received before, by gossip."""
        if announcement.snapshot.incarnation == self.figures.incarnation and self.status in PRESENT_STATUSES:
            self._apply_layers(now, announcement)

    def _apply_layers(self, now: float, announcement: Announcement) -> None:
        snapshot = announcement.snapshot
        if announcement.layers & SnapshotLayer.PARTS and snapshot.order > self.parts_order:
            self.parts, self.parts_order = snapshot.parts, snapshot.order
        if announcement.layers & SnapshotLayer.DETAIL and snapshot.order > self.detail_order:
            self.detail = snapshot.loads, snapshot.rest, snapshot.holds
            self.detail_order, self.detail_at = snapshot.order, now - announcement.age
        loads, rest, holds = self.detail
        if self.detail_order == NO_ORDER:  # the tenants are unknown, which differs from no load
            rest = Load("", self.figures.connections, self.figures.opened)
        if (loads, rest, holds) == NO_DETAIL and not self.parts:
            self.merged = self.figures
        else:
            self.merged = self.figures._replace(loads=loads, rest=rest, holds=holds, parts=self.parts)

    def confirmed_at(self) -> float:
        """Time at which the oldest of its load figures was current."""
        return self.figures_at if self.detail_order == NO_ORDER else min(self.figures_at, self.detail_at)

    @property
    def epoch(self) -> int:
        """The epoch of its latest snapshot."""
        return epoch(self.figures)


def classify(known: KnownMember | None, announcement: Announcement, period: float) -> Event:
    """The event that a received snapshot is, given what is known of the member."""
    new = announcement.snapshot
    if known is None:
        if new.state == State.GONE:
            return Event.FAREWELL
        return Event.OLDER if announcement.age > NEW_MEMBER_MAX_AGE_PERIODS * period else Event.NEW_LIFE
    old = known.figures
    is_elsewhere = new.address != old.address
    if is_elsewhere and known.status in PRESENT_STATUSES:
        return Event.ANOTHER_ADDRESS
    if new.incarnation > old.incarnation:
        return Event.FAREWELL if new.state == State.GONE else Event.NEW_LIFE
    if is_elsewhere or new.order <= old.order:
        return Event.OLDER
    if new.state == State.GONE:
        return Event.FAREWELL
    return Event.REFUTATION if epoch(new) > known.epoch else Event.NEWER
