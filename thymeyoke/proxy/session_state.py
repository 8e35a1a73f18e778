"""The state table of one client connection at a node.

No I/O. docs/proxy.md has the same table in words, and a test compares them. Pairs that are not in the table
change nothing, as they are late events of a connection that has moved on.
"""

from __future__ import annotations

from enum import IntEnum, auto
from typing import NamedTuple


class At(IntEnum):
    """The state of a connection."""

    SILENT = auto()  # accepted; the client has sent nothing yet
    WAITING = auto()  # the client has sent data; waits for a slot
    SEATING = auto()  # has a slot; waits for its assignment
    CONNECTING = auto()  # connecting to its app server
    PASSING = auto()  # the relay runs
    GONE = auto()


class Event(IntEnum):
    """What can happen to a connection."""

    SPOKE = auto()  # the first data has arrived
    LET_IN = auto()  # a slot is free
    SEATED = auto()  # an app server is assigned
    UNSEATED = auto()  # no app server is available
    CONNECTED = auto()
    FAILED = auto()  # the connect has failed
    LATE = auto()  # a timeout
    PUSHED = auto()  # evicted for a tenant with fewer waiting connections
    LEFT = auto()  # the client has ended or reset the connection
    ENDED = auto()  # the relay has ended


class Do(IntEnum):
    """What is done in a transition."""

    ASK_PLACE = auto()
    ASK_SEAT = auto()
    ASK_CONNECT = auto()
    ASK_NEXT = auto()  # the next app server after a failed one
    PASS = auto()  # start the relay
    GIVE_BACK = auto()  # the slot
    LEAVE_SEAT = auto()  # report the end of the connection to the affinity table
    CLOSE = auto()  # close the connection, of which nothing was read


class Step(NamedTuple):
    """The next state and what is done."""

    at: At
    out: tuple[Do, ...] = ()


_CLOSED = Step(At.GONE, (Do.CLOSE,))
_EMPTIED = Step(At.GONE, (Do.GIVE_BACK, Do.CLOSE))

TABLE: dict[tuple[At, Event], Step] = {
    (At.SILENT, Event.SPOKE): Step(At.WAITING, (Do.ASK_PLACE,)),
    (At.SILENT, Event.LATE): _CLOSED,
    (At.SILENT, Event.PUSHED): _CLOSED,
    (At.SILENT, Event.LEFT): _CLOSED,
    (At.WAITING, Event.LET_IN): Step(At.SEATING, (Do.ASK_SEAT,)),
    (At.WAITING, Event.LATE): _CLOSED,
    (At.WAITING, Event.PUSHED): _CLOSED,
    (At.WAITING, Event.LEFT): _CLOSED,
    (At.SEATING, Event.SEATED): Step(At.CONNECTING, (Do.ASK_CONNECT,)),
    (At.SEATING, Event.UNSEATED): _EMPTIED,
    (At.SEATING, Event.LATE): _EMPTIED,
    (At.SEATING, Event.LEFT): _EMPTIED,
    (At.CONNECTING, Event.CONNECTED): Step(At.PASSING, (Do.PASS,)),
    (At.CONNECTING, Event.FAILED): Step(At.SEATING, (Do.ASK_NEXT,)),
    (At.CONNECTING, Event.UNSEATED): _EMPTIED,
    (At.CONNECTING, Event.LATE): _EMPTIED,
    (At.CONNECTING, Event.LEFT): _EMPTIED,
    (At.PASSING, Event.ENDED): Step(At.GONE, (Do.GIVE_BACK, Do.LEAVE_SEAT)),
}


def step(at: At, event: Event) -> Step:
    """The transition for an event in a state."""
    return TABLE.get((at, event)) or Step(at)
