"""State machine of an app server's admission into the hash, as one node sees it. Pure.

docs/affinity.md has the table of transitions.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from math import inf

from thymeyoke.affinity.rendezvous import incarnation_mark
from thymeyoke.membership.view import Member, State, Trust


class ServerState(IntEnum):
    """State of one app server; the names are logged."""

    UNKNOWN = 0  # nothing is known of this incarnation, or it is warming up
    RIPENING = 1  # it serves; clients that it would take over are being bound to their present servers
    RIPE = 2  # all these clients are bound at this node; waits until every node has announced the same
    TAKING = 3  # part of the hash: accepts new clients
    LEAVING = 4  # draining: its clients are hashed over the other servers
    GONE = 5  # dead or has left: its clients are hashed over the other servers


class ServerEvent(Enum):
    """Events that change a server's state; the values are logged."""

    COLD = "cold"  # it reports that it is warming up
    SERVING = "serving"
    UNSURE = "unsure"  # it was serving at its last report, and is suspected to be dead
    LEAVING = "leaving"
    DEAD = "dead"  # or it has left
    NEW_LIFE = "new life"  # it has a new incarnation; followed by the event that this reports
    FORGOTTEN = "forgotten"  # it is no longer in the view
    RIPENED = "ripened"  # all clients that it would take over are bound
    AGREED = "agreed"  # all nodes have announced it as ripe, or the margin for this is over


LIVE_STATES = (ServerState.RIPENING, ServerState.RIPE, ServerState.TAKING)
TRANSITIONS: dict[tuple[ServerState, ServerEvent], ServerState] = {
    (ServerState.UNKNOWN, ServerEvent.SERVING): ServerState.RIPENING,
    (ServerState.UNKNOWN, ServerEvent.UNSURE): ServerState.RIPENING,
    (ServerState.UNKNOWN, ServerEvent.LEAVING): ServerState.LEAVING,
    (ServerState.UNKNOWN, ServerEvent.DEAD): ServerState.GONE,
    (ServerState.RIPENING, ServerEvent.RIPENED): ServerState.RIPE,
    (ServerState.RIPE, ServerEvent.AGREED): ServerState.TAKING,
    **{(state, ServerEvent.LEAVING): ServerState.LEAVING for state in LIVE_STATES},
    **{(state, ServerEvent.DEAD): ServerState.GONE for state in (*LIVE_STATES, ServerState.LEAVING)},
    (ServerState.GONE, ServerEvent.SERVING): ServerState.RIPENING,
    (ServerState.GONE, ServerEvent.UNSURE): ServerState.RIPENING,
    (ServerState.GONE, ServerEvent.LEAVING): ServerState.LEAVING,
    **{(state, ServerEvent.NEW_LIFE): ServerState.UNKNOWN for state in ServerState},
    **{(state, ServerEvent.FORGOTTEN): ServerState.UNKNOWN for state in ServerState},
}


def next_state(state: ServerState, event: ServerEvent) -> ServerState:
    """The state after an event; unchanged if the table has no transition."""
    return TRANSITIONS.get((state, event), state)


def server_event(member: Member) -> ServerEvent:
    """The event that follows from a member's reported state and the failure detector's verdict."""
    if not member.is_present:
        return ServerEvent.DEAD
    match member.snapshot.state:
        case State.COLD:
            return ServerEvent.COLD
        case State.LEAVING:
            return ServerEvent.LEAVING
    return ServerEvent.UNSURE if member.trust == Trust.UNSURE else ServerEvent.SERVING


def sanitized_span(seconds: float) -> float:
    """A duration reported by another process; invalid values count as 0."""
    return seconds if 0 <= seconds < inf else 0.0


class ServerRecord:
    """One incarnation of an app server."""

    __slots__ = (
        "agreeing",
        "may_return",
        "late_since",
        "incarnation",
        "mark",
        "state_changed_at",
        "name",
        "returned",
        "state",
        "serving_since",
        "announced_until",
    )

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation, self.mark = name, incarnation, incarnation_mark(name, incarnation)
        self.state = ServerState.UNKNOWN
        self.serving_since = inf  # when it started to serve, by its own report converted to the local clock
        self.late_since = -inf  # when this node discovered it, if long after it started to serve
        self.may_return = False  # GONE without having left: it may be a false suspicion
        self.returned = False  # it came back from GONE
        self.state_changed_at = -inf
        self.agreeing = False  # TAKING here, but not yet known to be TAKING at every node
        self.announced_until = -inf  # until then TAKING is announced to the other nodes

    @property
    def is_late(self) -> bool:
        """Whether this node discovered the server long after it started to serve."""
        return self.late_since > -inf

    @property
    def ripening_since(self) -> float:
        """Start of the ripening time."""
        return max(self.serving_since, self.late_since)
