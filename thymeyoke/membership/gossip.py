"""Messages between members, and the queue of updates to gossip. Pure.

Each update is sent a bounded number of times, proportional to the logarithm of the number of members, least
sent first. Updates that change a view (incarnation, state, trust) precede load figures.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum
from heapq import nsmallest
from math import ceil, log2
from typing import NamedTuple

from thymeyoke.membership.failure_detector import Announcement
from thymeyoke.membership.view import Snapshot

GOSSIP_BYTES = 4000  # approximate size of the updates that one message carries
MIN_MESH_GOSSIP_BYTES = 500  # per message to another node; all of a period share about GOSSIP_BYTES
SNAPSHOT_BYTES, ACCUSATION_BYTES = 72, 28  # approximate sizes without names and addresses
LOAD_BYTES = 24  # approximate size of a tenant's load without its name
TRANSMISSION_FACTOR = 3  # an update is sent this many times log2 of the number of members


class Verdict(IntEnum):
    """What an accusation claims about a member."""

    SUSPECTED = 0
    DEAD = 1


class Accusation(NamedTuple):
    """A member's verdict on another one's incarnation at one epoch; a higher epoch refutes it."""

    name: str
    incarnation: int
    epoch: int
    verdict: Verdict
    accuser: str  # the member that first reached the verdict


class MessageKind(IntEnum):
    """Kinds of messages between members."""

    PUSH = 0  # updates only
    PING = 1
    ACK = 2  # answers a ping
    PING_REQUEST = 3  # asks the receiver to ping a third member
    NACK = 4  # the third member did not answer the receiver either
    PULL = 5  # carries the sender's complete table and requests the receiver's
    CONFLICT = 6  # the receiver uses the sender's name


class Message(NamedTuple):
    """A message from one member to another."""

    kind: MessageKind
    sender: Announcement
    uptime: float  # seconds since the sender started
    number: int = 0  # of a ping, and of the messages that answer it
    subject: str = ""  # name of the member that a ping, its answer or a ping request is about
    announcements: tuple[Announcement, ...] = ()
    accusations: tuple[Accusation, ...] = ()


class Send(NamedTuple):
    """Send a message to an address now; it may be lost."""

    address: str
    message: Message


class LogEvent(NamedTuple):
    """An event to count and, if it is one of those that are logged, to log."""

    event: str
    name: str = ""
    reason: str = ""


Action = Send | LogEvent


def snapshot_size(snapshot: Snapshot) -> int:
    """Approximate encoded size of a snapshot's basic fields, in bytes."""
    return SNAPSHOT_BYTES + len(snapshot.name) + len(snapshot.address) + len(snapshot.serves)


def detail_size(snapshot: Snapshot) -> int:
    """Approximate encoded size of a snapshot's loads and held tenants, in bytes."""
    loads = sum(LOAD_BYTES + len(load.tenant) for load in snapshot.loads)
    return LOAD_BYTES + loads + sum(2 + len(tenant) for tenant in snapshot.holds)


class GossipItem(NamedTuple):
    """The update about one member, as it is sent."""

    announcement: Announcement
    accusations: tuple[Accusation, ...]

    @property
    def size(self) -> int:
        """Approximate encoded size in bytes."""
        size = snapshot_size(self.announcement.snapshot)
        if not self.accusations:
            return size
        return size + sum(
            ACCUSATION_BYTES + len(accusation.name) + len(accusation.accuser)
            for accusation in self.accusations
        )


class GossipQueue:
    """The members whose updates are still to be sent, with their numbers of transmissions so far."""

    def __init__(self) -> None:
        self.transmissions: dict[str, tuple[bool, int]] = {}  # by name: (can wait, times sent)

    def put(self, name: str, can_wait: bool) -> None:
        """Queue an update about a member; load figures (`can_wait`) do not delay a queued state change."""
        before = self.transmissions.get(name)
        if can_wait and before and not before[0]:
            return
        self.transmissions[name] = (can_wait, 0)

    def remove(self, name: str) -> None:
        """Remove a member's update, if queued."""
        self.transmissions.pop(name, None)

    def pick(
        self,
        member_count: int,
        max_bytes: int,
        make_item: Callable[[str], GossipItem | None],
        copies: int = 1,
        excluded: Iterable[str] = (),
    ) -> list[GossipItem]:
        """Select updates of at most `max_bytes` for a message that is sent to `copies` members."""
        limit, excluded_names = ceil(TRANSMISSION_FACTOR * log2(member_count + 2)), set(excluded)
        max_items = GOSSIP_BYTES // SNAPSHOT_BYTES  # considered even for few bytes, as some may not fit
        picked: list[GossipItem] = []
        for name, (can_wait, sent) in nsmallest(
            max_items, self.transmissions.items(), key=lambda pair: pair[1]
        ):
            item = make_item(name)
            if item is None:
                self.remove(name)
                continue
            if name in excluded_names:
                continue
            if (size := item.size) > max_bytes:
                continue  # does not block smaller ones: several accusations may exceed MIN_MESH_GOSSIP_BYTES
            max_bytes -= size
            picked.append(item)
            if sent + copies >= limit:
                self.remove(name)
            else:
                self.transmissions[name] = (can_wait, sent + copies)
        return picked
