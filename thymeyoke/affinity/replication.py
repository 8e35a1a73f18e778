"""The replication log of a node, and its progress at each peer. Pure.

The log is sent in order and repeated until it is acknowledged (go-back-N). As it holds only current entries,
sending it from the start is a full synchronization.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from math import inf

from thymeyoke.affinity.messages import StateMarks

MAX_STALE_SLOTS = 64  # slots of replaced entries that may remain, in addition to one for each current entry


class ReplicationLog:
    """Clients whose bindings this node replicates, by the number of their last change.

    Replaced and removed entries leave stale slots, which are compacted: the log is at most about twice as
    long as its number of entries.
    """

    __slots__ = ("clients", "head", "number_by_client", "numbers")

    def __init__(self) -> None:
        self.head = 0
        self.number_by_client: dict[int, int] = {}
        self.numbers: list[int] = []  # ascending
        self.clients: list[int] = []

    def __contains__(self, client: int) -> bool:
        return client in self.number_by_client

    def __len__(self) -> int:
        return len(self.number_by_client)

    def advance_head(self) -> None:
        """Note a change other than of a binding: all peers have to receive the end of the log again."""
        self.head += 1

    def append(self, client: int) -> None:
        """Add a client's binding, or its change, at the end of the log."""
        self.head += 1
        self.number_by_client[client] = self.head
        self.numbers.append(self.head)
        self.clients.append(client)
        if len(self.numbers) > 2 * len(self.number_by_client) + MAX_STALE_SLOTS:
            current = [(number, other) for number, other in zip(self.numbers, self.clients, strict=True)
                    if self.number_by_client.get(other) == number]  # fmt: skip
            self.numbers, self.clients = [number for number, _ in current], [other for _, other in current]

    def remove(self, client: int) -> None:
        """Remove a client's entry, if present."""
        self.number_by_client.pop(client, None)

    def entries_after(self, number: int) -> Iterator[tuple[int, int]]:
        """Pairs of number and client with numbers above `number`, in order."""
        for index in range(bisect_right(self.numbers, number), len(self.numbers)):
            if self.number_by_client.get(self.clients[index]) == self.numbers[index]:
                yield self.numbers[index], self.clients[index]


class PeerReplication:
    """Replication progress with one incarnation of another node, in both directions."""

    __slots__ = (
        "acknowledged",
        "request_at",
        "wants_log",
        "send_at",
        "is_synchronized",
        "received_through",
        "is_leaving",
        "incarnation",
        "marks",
        "owes_ack",
        "resend_at",
        "sent",
        "stamp",
        "is_trusted",
        "attempts",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self.is_trusted = incarnation, True
        self.restart_from()
        self.send_at = -inf  # earliest time of the next send
        self.received_through = 0  # number up to which its log was received
        self.stamp = -1  # latest logical timestamp that it announced; -1 before its first message
        self.is_synchronized = False  # its log was received up to its head
        self.marks = StateMarks()
        self.is_leaving = False
        self.wants_log = False  # it requested our log
        self.owes_ack = False  # we owe it an acknowledgment
        self.request_at = -inf  # earliest time of the next request for its log

    def restart_from(self, number: int = 0) -> None:
        """Continue sending after `number`, as the peer has our log only up to there."""
        self.acknowledged = self.sent = number
        self.resend_at, self.attempts = inf, 0

    def retry_by(self, at: float) -> None:
        """Schedule a retry by `at` and reset the backoff, as the peer answers but lacks entries."""
        self.attempts, self.resend_at = 0, min(self.resend_at, at)
