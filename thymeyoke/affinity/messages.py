"""Messages between nodes that replicate bindings; `wire.py` encodes them.

Each node has a log of the bindings that it replicates, numbered by their last change. A later change of a
binding replaces the earlier entry, so that the log is equivalent to the table: a node that knows nothing
requests it from number 0, and an update starts at a later number. Numbers start anew with each incarnation.
"""

from __future__ import annotations

from typing import NamedTuple

from thymeyoke.affinity.bindings import ReplicatedEntry

CHUNK_BYTES = 7000  # target size of a chunk, as a message is limited to 8 KiB
ENTRY_BYTES = 32  # maximum size of an entry, without its server
SERVER_BYTES = 16  # maximum size of a listed server, without its name
MARK_BYTES = 4


class StateMarks(NamedTuple):
    """States of servers that enter the hash at the sender, as short hashes of server and incarnation."""

    late: frozenset[bytes] = frozenset()  # ripening, but other nodes may have accepted it already
    ripe: frozenset[bytes] = frozenset()  # all clients that it would take over are bound and replicated
    taking: frozenset[bytes] = frozenset()  # recently accepted, or listed by a peer as late or ripe


class LogRequest(NamedTuple):
    """Requests the receiver's log after entry `number`."""

    number: int
    peer_incarnation: int  # of the receiver
    incarnation: int  # of the sender


class LogAck(NamedTuple):
    """Acknowledges the receiver's log up to entry `number`."""

    number: int
    peer_incarnation: int  # of the receiver
    incarnation: int  # of the sender


class LogChunk(NamedTuple):
    """The current entries of the sender's log with numbers above `start`, up to `end`.

    The log ends at `head`. The chunk that reaches it carries `marks`, which apply once the receiver has the
    complete log.
    """

    incarnation: int  # of the sender
    start: int
    end: int
    head: int
    stamp: int  # latest logical timestamp that the sender knows
    entries: tuple[ReplicatedEntry, ...] = ()
    marks: StateMarks = StateMarks()
    is_leaving: bool = False  # the sender is leaving; this is its handover


Message = LogRequest | LogAck | LogChunk
