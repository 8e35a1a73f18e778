"""What nodes say to each other of seats, as values. `wire.py` makes octets of them.

Each node keeps a log of the exceptions that it vouches for: each has the number of its last change, and a
later change takes the place of an earlier one. So the log is the table itself, told in order: whoever
has nothing of it asks from 0, and a delta is the same from a later number. Numbers count in one life of a
node.
"""

from __future__ import annotations

from typing import NamedTuple

from thymeyoke.affinity.bindings import Told

ROOM = 7000  # octets of a piece: a word has 8 KiB
PER_ITEM = 32  # octets, at most, of an exception without its server's name
PER_SERVER = 16  # and of a server beside its name
PER_MARK = 4


class Marks(NamedTuple):
    """Servers on the way into the hash at this node, by short marks of their lives."""

    late: frozenset[bytes] = frozenset()  # ripening here, though others may have taken it: they say so
    ripe: frozenset[bytes] = frozenset()  # all seats that its taking would change are kept and told
    takes: frozenset[bytes] = frozenset()  # lately; or a node had it as late or ripe


class Ask(NamedTuple):
    """Tell me your log from behind `number` on, in full."""

    number: int
    of: int  # life of the one who is asked
    life: int  # of the one who asks


class Ack(NamedTuple):
    """I have your log up to `number`."""

    number: int
    of: int
    life: int


class Piece(NamedTuple):
    """All that is still true of the changes behind `behind` up to `to`; the log ends at `head`. `marks` hold
    once the reader has all up to `head`, and stand in the piece that reaches it."""

    life: int  # of the node whose log it is
    behind: int
    to: int
    head: int
    stamp: int  # the latest that it knows
    items: tuple[Told, ...] = ()
    marks: Marks = Marks()
    leaving: bool = False  # a handover: the node leaves


Message = Ask | Ack | Piece
