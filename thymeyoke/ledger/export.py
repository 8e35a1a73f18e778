"""When a batch is sent, again, or no more: the sender's side of the export as a state machine, and the
receiver's verdict on what comes. Pure.

At least once on the wire, once in effect: a batch is known by its book and number, and by the hash of all
before it.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

from thymeyoke.ledger.wire import Batch, Hello, Refused, Taken, Welcome

WINDOW = 8  # batches on their way at once
FIRST, TOP = 0.2, 30.0  # seconds between tries, growing by two, with full jitter above the half
ANSWER = 5.0  # seconds for an answer while something is out
BUDGET = 0.2  # of a try comes back with each batch taken: sending again is a share of what gets through
BUDGET_TOP = 10.0


class At(Enum):
    AWAY = "away"
    DIALING = "dialing"
    GREETING = "greeting"
    SENDING = "sending"
    HALTED = "halted"  # something a person must look at


# What to do.


class Dial(NamedTuple):
    pass


class Drop(NamedTuple):
    pass


class Greet(NamedTuple):
    pass


class Send(NamedTuple):
    number: int


class Mark(NamedTuple):
    """All up to here are held by the receiver."""

    number: int


class Pin(NamedTuple):
    """This is the receiver, from now on."""

    receiver: bytes


Action = Dial | Drop | Greet | Send | Mark | Pin


class Sender:
    """One book's way to its receiver. `last` is the last batch made, `acked` the last one known to be held,
    `kept` the first whose body is still here."""

    def __init__(self, rng: Random, acked: int, last: int, kept: int, receiver: bytes) -> None:
        self.rng, self.acked, self.last, self.kept, self.receiver = rng, acked, last, kept, receiver
        self.at, self.why = At.AWAY, ""
        self.sent = acked  # the last one on its way on this connection
        self.tries, self.budget = 0, BUDGET_TOP
        self.again_at = 0.0  # when to dial; while something is out, when to give this connection up
        self.hashes: dict[int, bytes] = {}  # of the batches from `acked` on; emptied as they are taken

    def made(self, number: int, hash_: bytes) -> None:
        self.last = max(self.last, number)
        self.hashes[number] = hash_

    def step(self, now: float) -> list[Action]:
        """What the clock and new batches ask for."""
        # Also with nothing to send: a receiver restored from an older copy must be asked what it lacks.
        if self.at == At.AWAY and now >= self.again_at and self.last:
            self.at, self.again_at = At.DIALING, now + ANSWER
            return [Dial()]
        if self.at in (At.DIALING, At.GREETING) and now >= self.again_at:
            return self.lost(now, "no answer")
        if self.at == At.SENDING:
            if self.sent > self.acked and now >= self.again_at:
                return self.lost(now, "no answer")
            return self._send(now)
        return []

    def _send(self, now: float) -> list[Action]:
        out: list[Action] = []
        while self.sent < min(self.last, self.acked + WINDOW):
            self.sent += 1
            out.append(Send(self.sent))
        if out:
            self.again_at = now + ANSWER
        return out

    def next(self) -> float:
        """When `step` may have something to say though nothing came."""
        if self.at == At.HALTED or (self.at == At.AWAY and not self.last):
            return float("inf")
        if self.at == At.SENDING and self.sent <= self.acked:
            return float("inf")
        return self.again_at

    def connected(self, now: float) -> list[Action]:
        self.at, self.again_at = At.GREETING, now + ANSWER
        return [Greet()]

    def lost(self, now: float, why: str) -> list[Action]:
        """The connection is gone, or was never there. The wait doubles; past the budget it is the longest."""
        if self.at == At.HALTED:
            return [Drop()]
        self.at, self.why, self.sent = At.AWAY, why, self.acked
        self.budget = max(0.0, self.budget - 1)
        span = TOP if self.budget < 1 else min(TOP, FIRST * 2**self.tries)
        self.tries = min(self.tries + 1, 16)
        self.again_at = now + span * self.rng.uniform(0.5, 1.0)
        return [Drop()]

    def _halt(self, why: str) -> list[Action]:
        self.at, self.why = At.HALTED, why
        return [Drop()]

    def welcomed(self, now: float, said: Welcome) -> list[Action]:
        if self.at != At.GREETING:
            return self.lost(now, "a welcome out of turn")
        if self.receiver and said.receiver != self.receiver:
            return self._halt(
                f"another receiver ({said.receiver.hex()[:8]}, known {self.receiver.hex()[:8]})"
            )
        out: list[Action] = [] if self.receiver else [Pin(said.receiver)]
        self.receiver = said.receiver
        if said.high > self.last:
            return [*out, *self._halt(f"it says it holds batch {said.high}, the last made is {self.last}")]
        known = self.hashes.get(said.high)
        if said.high and known is not None and known != said.hash:
            return [*out, *self._halt(f"its batch {said.high} is not ours")]
        if said.high + 1 < self.kept:  # an older copy of it, and what it lacks is no longer here
            return [
                *out,
                *self._halt(f"it lacks batches from {said.high + 1}, kept are those from {self.kept}"),
            ]
        self.at, self.tries, self.sent = At.SENDING, 0, said.high
        if said.high > self.acked:
            out.append(Mark(said.high))
        self.acked = said.high  # also back, where it was restored from an older copy
        return out + self._send(now)

    def taken(self, now: float, said: Taken) -> list[Action]:
        if self.at != At.SENDING:
            return self.lost(now, "an answer out of turn")
        if said.high > self.sent:
            return self._halt(f"it acknowledges batch {said.high}, which was not sent")
        known = self.hashes.get(said.high)
        if known is not None and known != said.hash:
            return self._halt(f"its batch {said.high} is not ours")
        if said.high <= self.acked:
            return []
        self.budget = min(BUDGET_TOP, self.budget + BUDGET * (said.high - self.acked))
        self.acked, self.again_at = said.high, now + ANSWER
        return [Mark(said.high), *self._send(now)]

    def refused(self, said: Refused) -> list[Action]:
        return self._halt(f"the receiver refuses: {said.why}")


class Held(NamedTuple):
    """What a receiver has of a book, from the first batch without a gap."""

    high: int
    hash: bytes


def judge(held: Held, has: dict[int, bytes], batch: Batch) -> Taken | Refused | None:
    """A batch that came. Taken: it is there already, the answer stands. None: keep it, and count on.
    Refused: it does not fit what is there. `has` are the hashes of batches with this number and the one
    before and after, as far as they are there: what came earlier or later must fit, and so no order of
    arrival decides."""
    if batch.number < 1 or (batch.number == 1) != (batch.before == b""):
        return Refused(f"batch {batch.number} can't stand behind what it names")
    there = has.get(batch.number)
    if there is not None:
        return (
            Taken(*held) if there == batch.hash else Refused(f"another batch {batch.number} is here already")
        )
    before = has.get(batch.number - 1)
    if before is not None and before != batch.before:
        return Refused(f"batch {batch.number} does not follow the one before it")
    return None


def stranger(hello: Hello) -> Refused | None:
    """Why a sender is not listened to."""
    return Refused("a book without its mark") if len(hello.book) != 16 else None
