"""Quorum for migrations: numbered slots, votes carried in snapshots, and a majority of all known nodes.

No I/O. Two migrations under way in one slot would need two majorities, any two of which share a voter, and a
voter grants a slot, and a tenant, to one migration at a time. docs/migration.md has the rules and their
limits.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from thymeyoke.membership.view import Member, State, Trust, View
from thymeyoke.migration.load_ranges import Terms
from thymeyoke.migration.wire import MigrationPart, MoveRequest, Vote

REQUEST_TIMEOUT_SHARE = 1 / 2  # of `settle`; minimum lifetime of a request without a majority
BEGIN_TIMEOUT_SHARE = 1 / 2  # of `settle`; minimum time for the target to announce that it holds the tenant
# Periods of [members] until another node has seen a decision: until it is made and published, until the next
# snapshot, and until the other node's next view, plus one for a lost snapshot.
PROPAGATION_PERIODS = 4
CLOCK_MARGIN = 1.25  # a vote is held this much longer than a migration lasts, as clock rates differ
SECONDS_PER_DAY = 86400.0  # after a day a dead node no longer counts
SECONDS_PER_HOUR = 3600.0


def request_timeout(terms: Terms) -> float:
    """Seconds that a request stays open: at least one round trip, however short `settle` is."""
    return max(REQUEST_TIMEOUT_SHARE * terms.settle, 2 * PROPAGATION_PERIODS * terms.period)


def begin_timeout(terms: Terms) -> float:
    """Seconds that the target has to report that it holds the tenant.

    At least a round trip and the time until its address is announced.
    """
    return max(BEGIN_TIMEOUT_SHARE * terms.settle, 2 * PROPAGATION_PERIODS * terms.period + terms.rise)


def max_duration(terms: Terms) -> float:
    """Maximum seconds from the request to the end of a migration, by the clock of its source."""
    return request_timeout(terms) + begin_timeout(terms) + terms.settle


def slot_cool_down(terms: Terms) -> float:
    """Seconds that a slot is unused after a migration: the cool-down, or longer to keep the hourly budget."""
    return max(terms.rest, SECONDS_PER_HOUR / max(1, terms.an_hour // min(terms.at_once, terms.an_hour)))


def slot_count(terms: Terms, announcements: Mapping[str, NodeAnnouncement]) -> int:
    """Number of concurrent moves: the smallest value configured at any node that is certainly present."""
    values = [one.part.at_once for one in announcements.values() if one.member.trust == Trust.SURE]
    return min([terms.at_once, terms.an_hour, *values])


def majority(many: int) -> int:
    """The smallest majority of `many` nodes."""
    return many // 2 + 1


class NodeAnnouncement(NamedTuple):
    """A node and its announcement about migrations."""

    member: Member
    part: MigrationPart

    @property
    def incarnation(self) -> int:
        """The node's incarnation."""
        return self.member.snapshot.incarnation

    def lists_request(self, number: int) -> bool:
        """Whether the announcement contains the request with this number."""
        return any(request.number == number for request in self.part.requests)


class KnownNodes:
    """All nodes that have been seen and still count towards a majority.

    A node is forgotten `hold` seconds after its farewell, when the votes that it granted have expired, and
    after a day without being seen. There are never more than the views contained.
    """

    def __init__(self) -> None:
        self.last_present_at: dict[str, float] = {}  # by name
        self.left_at: dict[str, float] = {}  # by name; when the farewell was first seen

    def observe(self, now: float, view: View, hold: float) -> None:
        """Update from a view; `hold` is the time in seconds for which a node counts after its farewell."""
        for member in view.nodes():
            if member.snapshot.state == State.GONE:
                if member.name in self.last_present_at:
                    self.left_at.setdefault(member.name, now)
                continue
            self.left_at.pop(member.name, None)
            if member.is_present:
                self.last_present_at[member.name] = now
            else:
                self.last_present_at.setdefault(member.name, now)
        over = [name for name, at in self.left_at.items() if now >= at + hold]
        over += [name for name, at in self.last_present_at.items() if now >= at + SECONDS_PER_DAY]
        for name in over:
            self.last_present_at.pop(name, None)
            self.left_at.pop(name, None)

    @property
    def count(self) -> int:
        """Number of nodes."""
        return len(self.last_present_at)


class GrantedVote(NamedTuple):
    """A vote and the request that it was granted to; it expires at `expires_at` in any case."""

    request: MoveRequest
    source: str
    incarnation: int
    expires_at: float

    @property
    def vote(self) -> Vote:
        """The vote as announced to other nodes."""
        return Vote(self.request.slot, self.source, self.incarnation, self.request.number)

    def is_for(self, source: str, incarnation: int, number: int) -> bool:
        """Whether the vote was granted to this request."""
        return (self.source, self.incarnation, self.request.number) == (source, incarnation, number)


class Voter:
    """The votes of this node, at most one for each slot; a vote ends with its move or when it expires."""

    def __init__(self, now: float) -> None:
        self.created_at = now
        self.granted: dict[int, GrantedVote] = {}
        self.cooling_down: dict[int, float] = {}  # by slot: until when it is not granted

    def abstains_until(self, terms: Terms, announcements: Mapping[str, NodeAnnouncement]) -> float:
        """The time until which this node grants no votes.

        A new incarnation may have forgotten its votes, so it waits until these have expired and the slots
        have cooled down.
        """
        values = [one.part.max_duration for one in announcements.values()]
        return self.created_at + CLOCK_MARGIN * max([max_duration(terms), *values]) + slot_cool_down(terms)

    def release(
        self,
        now: float,
        announcements: Mapping[str, NodeAnnouncement],
        members: Mapping[str, Member],
        terms: Terms,
    ) -> None:
        """Release the votes of migrations that have ended, and start the cool-down of their slots."""
        for slot, one in list(self.granted.items()):
            began = _may_have_begun(now, one, announcements.get(one.source), members.get(one.source))
            if began is None:
                continue
            del self.granted[slot]
            if began:
                self.cooling_down[slot] = now + slot_cool_down(terms)
        for slot in [slot for slot, until in self.cooling_down.items() if now >= until]:
            del self.cooling_down[slot]

    def free_slots(self, many: int) -> list[int]:
        """Slots below `many` that are neither granted nor cooling down."""
        return [slot for slot in range(many) if slot not in self.granted and slot not in self.cooling_down]

    def grant(
        self,
        now: float,
        terms: Terms,
        announcements: Mapping[str, NodeAnnouncement],
        accepts: Callable[[str, MoveRequest], str | None],
        fits: Callable[[Vote], bool],
    ) -> dict[tuple[str, int], str]:
        """Grant votes for open requests, largest gain first; return the reasons for refusals."""
        none: dict[tuple[str, int], str] = {}
        requests = [(name, request) for name, one in announcements.items() for request in one.part.requests]
        many = slot_count(terms, announcements)
        early = now < self.abstains_until(terms, announcements)
        for name, request in sorted(requests, key=lambda one: (-one[1].gain, one[0], one[1].number)):
            one = announcements[name]
            if request.begun or any(
                it.is_for(name, one.incarnation, request.number) for it in self.granted.values()
            ):
                continue
            reason = (
                "abstains until votes of its former incarnation have expired"
                if early
                else (self._refusal_reason(name, request, one, requests, many) or accepts(name, request))
            )
            vote = Vote(request.slot, name, one.incarnation, request.number)
            if not reason and not fits(vote):
                reason = "has no space to announce more votes"
            if reason:
                none[name, request.number] = reason
                continue
            until = now + CLOCK_MARGIN * max(max_duration(terms), one.part.max_duration)
            self.granted[request.slot] = GrantedVote(request, name, one.incarnation, until)
        return none

    def _refusal_reason(
        self,
        source: str,
        request: MoveRequest,
        one: NodeAnnouncement,
        requests: Iterable[tuple[str, MoveRequest]],
        many: int,
    ) -> str | None:
        if one.member.trust != Trust.SURE or one.member.snapshot.state != State.SERVING:
            return f"is not sure of {source}"
        if request.tenant not in one.member.snapshot.holds:
            return f"does not see that {source} holds {request.tenant}"
        if request.slot >= many:
            return f"allows {many} at once"
        if request.slot in self.granted:
            return f"has granted slot {request.slot} to {self.granted[request.slot].source}"
        if request.slot in self.cooling_down:
            return f"slot {request.slot} is cooling down"
        if any(it.request.tenant == request.tenant for it in self.granted.values()):
            return f"has granted {request.tenant} to another migration"
        for other, it in requests:
            if it.begun and (it.slot == request.slot or it.tenant == request.tenant) and (
                (other, it.number) != (source, request.number)):  # fmt: skip
                return f"sees a migration of {other} under way"
        return None


def _may_have_begun(
    now: float, one: GrantedVote, announcement: NodeAnnouncement | None, member: Member | None
) -> bool | None:
    """None while the vote is held; otherwise whether its migration may have begun."""
    if now >= one.expires_at:
        return True
    if member is None:
        return None
    incarnation = member.snapshot.incarnation
    if incarnation != one.incarnation:  # views never return to an older incarnation
        return None if announcement is None and member.is_present else True
    if member.snapshot.state == State.GONE:
        return True
    if announcement is None or announcement.lists_request(one.request.number):
        return None
    return one.request.number not in announcement.part.dropped


class VoteCount(NamedTuple):
    """The votes for a request, and how many it needs."""

    votes: tuple[str, ...]
    needed: int
    has_target_vote: bool  # whether one of the votes is the target's

    @property
    def is_majority(self) -> bool:
        """Whether the request has a majority that includes its target."""
        return self.has_target_vote and len(self.votes) >= self.needed

    @property
    def text(self) -> str:
        """The count in words."""
        target = "" if self.has_target_vote else ", none of the target's"
        return f"{len(self.votes)} of {self.needed} votes{target}"


def count_votes(
    vote: Vote,
    target: str,
    own_name: str,
    own: Iterable[GrantedVote],
    known: int,
    announcements: Mapping[str, NodeAnnouncement],
) -> VoteCount:
    """Count the votes for a request of this node.

    The majority is one of the largest number of nodes known to this node or to any voter that is counted: a
    voter that has seen more of the fleet is believed.
    """
    votes, most = [], known
    if any(one.is_for(own_name, vote.incarnation, vote.number) for one in own):
        votes.append(own_name)
    for name, one in announcements.items():
        if name != own_name and one.member.is_present and vote in one.part.votes:
            votes.append(name)
            most = max(most, one.part.known_node_count)
    return VoteCount(tuple(sorted(votes)), majority(most), target in votes)
