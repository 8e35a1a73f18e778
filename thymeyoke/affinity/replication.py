"""What a node tells the others, and how far each has it. Pure.

`Log` is told in order and repeated until acked (go-back-N); docs/affinity.md says why that is the full
exchange as well.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from math import inf

from thymeyoke.affinity.messages import Marks

SLACK = 64  # places of the log that may be stale beside as many as are true


class Log:
    """The exceptions that this node vouches for, by the number of their last change. An exception that is
    dropped or told anew frees its place: the log is no longer than twice what it holds."""

    __slots__ = ("at", "customers", "head", "numbers")

    def __init__(self) -> None:
        self.head = 0
        self.at: dict[int, int] = {}  # customer: number
        self.numbers: list[int] = []  # ascending
        self.customers: list[int] = []

    def __contains__(self, customer: int) -> bool:
        return customer in self.at

    def __len__(self) -> int:
        return len(self.at)

    def step(self) -> None:
        """Something else than an exception has changed: all are to hear the end of the log again."""
        self.head += 1

    def put(self, customer: int) -> None:
        self.head += 1
        self.at[customer] = self.head
        self.numbers.append(self.head)
        self.customers.append(customer)
        if len(self.numbers) > 2 * len(self.at) + SLACK:
            true = [(number, one) for number, one in zip(self.numbers, self.customers, strict=True)
                    if self.at.get(one) == number]  # fmt: skip
            self.numbers, self.customers = [number for number, _ in true], [one for _, one in true]

    def drop(self, customer: int) -> None:
        self.at.pop(customer, None)

    def after(self, number: int) -> Iterator[tuple[int, int]]:
        """Numbers and customers behind a number, in order."""
        for at in range(bisect_right(self.numbers, number), len(self.numbers)):
            if self.at.get(self.customers[at]) == self.numbers[at]:
                yield self.numbers[at], self.customers[at]


class Peer:
    """Another node in one of its lives: how far it has our log, and how far we have its."""

    __slots__ = (
        "acked", "ask_at", "asked", "at", "full", "heard", "leaving", "life", "marks", "owed", "resend_at",
        "sent", "stamp", "sure", "tries")  # fmt: skip

    def __init__(self, life: int) -> None:
        self.life, self.sure = life, True
        self.again()
        self.at = -inf  # not told anything before
        self.heard = 0  # of its log
        self.stamp = -1  # the latest that it said it knows; it has said nothing
        self.full = False  # it has answered to its end, once
        self.marks = Marks()
        self.leaving = False  # it hands its exceptions over
        self.asked = False  # it wants the log in full
        self.owed = False  # it has told something, and waits for an ack
        self.ask_at = -inf

    def again(self, number: int = 0) -> None:
        """It has our log up to `number` only: go on from there."""
        self.acked = self.sent = number
        self.resend_at, self.tries = inf, 0

    def soon(self, at: float) -> None:
        """It is there, and lacks what was told: it is told again at that moment, however long it was mute."""
        self.tries, self.resend_at = 0, min(self.resend_at, at)
