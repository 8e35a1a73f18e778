"""Bindings of clients to servers as a join semilattice: the larger (stamp, server, incarnation, expiry) wins.

Pure. The order is total, so the join is a maximum: associative, commutative, idempotent and monotonic. Nodes
that received the same bindings therefore hold the same table, in whatever order and however often messages
arrive.

`stamp` orders the bindings of a client. It is a logical timestamp (Lamport, 1978), one more than all that its
creator knew: clocks may differ by seconds, and ages would differ at each node. `expires_at` is a time of the
local clock, and is sent as the remaining time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from thymeyoke.membership.view import MAX_NAME_LENGTH

MAX_CLIENT = (1 << 64) - 1
MAX_STAMP = 1 << 62
MAX_STAMP_LEAD = 1 << 40  # no fleet creates more bindings than this between two messages
MAX_INCARNATION = (1 << 63) - 1
MAX_TTL_FACTOR = 8.0  # longest accepted TTL relative to this node's, as idle timeouts of nodes may differ


class Binding(NamedTuple):
    """A client's binding as a node holds it. The order of comparison is that of the semilattice."""

    stamp: int
    server: str
    incarnation: int  # of the server: another incarnation has no session of the client
    expires_at: float  # local clock


class ReplicatedEntry(NamedTuple):
    """A binding as it is sent to other nodes."""

    client: int
    stamp: int
    server: str
    incarnation: int  # of the server
    remaining: float  # seconds until it expires


Table = Mapping[int, Binding]


def join_bindings(one: Binding, other: Binding) -> Binding:
    """The join of two bindings of a client: the later one."""
    return max(one, other)


def join_tables(one: Table, other: Table) -> dict[int, Binding]:
    """The join of two tables: for each client the join of its bindings."""
    result = dict(one)
    for client, binding in other.items():
        known = result.get(client)
        result[client] = binding if known is None else join_bindings(known, binding)
    return result


def is_included(one: Table, other: Table) -> bool:
    """Whether joining `one` would not change `other`."""
    return all(client in other and binding <= other[client] for client, binding in one.items())


def make_table(bindings: Iterable[tuple[int, Binding]]) -> dict[int, Binding]:
    """The join of bindings, given as pairs of client and binding."""
    result: dict[int, Binding] = {}
    for client, binding in bindings:
        result = join_tables(result, {client: binding})
    return result


def find_fault(entry: ReplicatedEntry, max_stamp: int, max_ttl: float) -> str:
    """Name the invalid property of a received binding, or return "" if it is valid.

    `max_stamp`: the highest plausible stamp; `max_ttl`: the TTL of this node's own bindings, in seconds.
    """
    if not 0 <= entry.client <= MAX_CLIENT:
        return "customer"
    if not 0 < entry.stamp < MAX_STAMP:
        return "stamp"
    if entry.stamp > max_stamp:
        return "tomorrow"
    if not 0 < len(entry.server) <= MAX_NAME_LENGTH:
        return "server"
    if not 0 <= entry.incarnation <= MAX_INCARNATION:
        return "life"
    if not 0 < entry.remaining <= MAX_TTL_FACTOR * max_ttl:  # False for NaN as well
        return "span"
    return ""
