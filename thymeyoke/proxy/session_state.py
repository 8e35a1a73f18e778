"""The life of one customer's connection at a node, as a table: where it is, what happens, what goes out.

Pure. docs/proxy.md has the same table in words, and a test reads it from there. What is not in the table
changes nothing: late news of a connection that is further on, or gone.
"""

from __future__ import annotations

from enum import IntEnum, auto
from typing import NamedTuple


class At(IntEnum):
    SILENT = auto()  # accepted; its customer has said nothing yet
    WAITING = auto()  # an octet is there, unread; it waits for a place at the table
    SEATING = auto()  # has a place; waits to learn its app server
    CONNECTING = auto()  # its app server is being connected to
    PASSING = auto()  # octets pass
    GONE = auto()


class Event(IntEnum):
    SPOKE = auto()  # its first octet is there
    LET_IN = auto()  # a place at the table
    SEATED = auto()  # its app server is named
    UNSEATED = auto()  # there is none
    CONNECTED = auto()
    FAILED = auto()  # the app server could not be connected to
    LATE = auto()  # a bound of time has passed
    PUSHED = auto()  # the room is full, and another tenant has less of it
    LEFT = auto()  # its customer ended or reset it
    ENDED = auto()  # both ways of the relay have ended, or one was reset


class Do(IntEnum):
    ASK_PLACE = auto()
    ASK_SEAT = auto()
    ASK_CONNECT = auto()
    ASK_NEXT = auto()  # the place that follows a failed one
    PASS = auto()  # from here on octets are read
    GIVE_BACK = auto()  # the place at the table
    LEAVE_SEAT = auto()  # one connection less of its customer
    CLOSE = auto()  # the customer's connection: nothing of it was read, nothing ran


class Step(NamedTuple):
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
    return TABLE.get((at, event)) or Step(at)
