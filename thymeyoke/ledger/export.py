"""Decisions of the export: the sender's state machine, and how a receiver judges a batch. Pure, no I/O.

Batches are delivered at least once and counted exactly once: a batch is identified by its journal and number,
and by a hash over all batches before it.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

from thymeyoke.ledger.wire import Acknowledgement, Batch, Hello, Rejection, Welcome

MAX_UNACKNOWLEDGED_BATCHES = 8
# Seconds; doubled with each attempt, with jitter over its upper half
RETRY_DELAY = 0.2
MAX_RETRY_DELAY = 30.0
RESPONSE_TIMEOUT = 5.0  # seconds
RETRY_BUDGET_PER_BATCH = 0.2  # keeps retries a fixed share of the acknowledged batches
MAX_RETRY_BUDGET = 10.0


class ExportState(Enum):
    """State of the export. The values are written to the log."""

    DISCONNECTED = "away"
    CONNECTING = "dialing"
    AWAITING_WELCOME = "greeting"
    SENDING = "sending"
    HALTED = "halted"  # until an operator has looked at it


# Actions.


class Connect(NamedTuple):
    """Open a connection to the receiver."""

    pass


class CloseConnection(NamedTuple):
    """Close the connection."""

    pass


class SendHello(NamedTuple):
    """Send the hello message that begins a connection."""

    pass


class SendBatch(NamedTuple):
    """Send the batch with this number."""

    number: int


class RecordAcknowledged(NamedTuple):
    """Store that the receiver holds all batches up to `number`."""

    number: int


class RecordReceiver(NamedTuple):
    """Store the ID of the receiver; from now on no other one is accepted."""

    receiver: bytes


Action = Connect | CloseConnection | SendHello | SendBatch | RecordAcknowledged | RecordReceiver


class ExportSender:
    """State machine that exports the batches of one journal to its receiver.

    `last_batch` is the number of the last batch created, `acknowledged` that of the last one that the
    receiver is known to hold, `first_kept` that of the oldest one whose body is still in the journal.
    """

    def __init__(
        self, rng: Random, acknowledged: int, last_batch: int, first_kept: int, receiver: bytes
    ) -> None:
        self.rng = rng
        self.acknowledged = acknowledged
        self.last_batch = last_batch
        self.first_kept = first_kept
        self.receiver = receiver
        self.state, self.reason = ExportState.DISCONNECTED, ""
        self.last_sent = acknowledged  # number of the last batch sent on this connection
        self.attempts, self.retry_budget = 0, MAX_RETRY_BUDGET
        self.next_step_at = 0.0  # next attempt to connect, or end of the response timeout
        self.hashes: dict[int, bytes] = {}  # of the batches that the receiver may still ask for

    def add_batch(self, number: int, batch_hash: bytes) -> None:
        """Add a batch that was created."""
        self.last_batch = max(self.last_batch, number)
        self.hashes[number] = batch_hash

    def advance(self, now: float) -> list[Action]:
        """Return the actions that are due because time has passed or batches were added."""
        # Connects even with nothing to send: a receiver restored from a backup may lack batches.
        if self.state == ExportState.DISCONNECTED and now >= self.next_step_at and self.last_batch:
            self.state, self.next_step_at = ExportState.CONNECTING, now + RESPONSE_TIMEOUT
            return [Connect()]
        if self.state in (ExportState.CONNECTING, ExportState.AWAITING_WELCOME) and now >= self.next_step_at:
            return self.connection_lost(now, "no answer")
        if self.state == ExportState.SENDING:
            if self.last_sent > self.acknowledged and now >= self.next_step_at:
                return self.connection_lost(now, "no answer")
            return self._send_batches(now)
        return []

    def _send_batches(self, now: float) -> list[Action]:
        """Send batches as far as the window of unacknowledged ones allows."""
        actions: list[Action] = []
        while self.last_sent < min(self.last_batch, self.acknowledged + MAX_UNACKNOWLEDGED_BATCHES):
            self.last_sent += 1
            actions.append(SendBatch(self.last_sent))
        if actions:
            self.next_step_at = now + RESPONSE_TIMEOUT
        return actions

    def next_advance_at(self) -> float:
        """Return when `advance` must be called next, if nothing else happens."""
        if self.state == ExportState.HALTED or (
            self.state == ExportState.DISCONNECTED and not self.last_batch
        ):
            return float("inf")
        if self.state == ExportState.SENDING and self.last_sent <= self.acknowledged:
            return float("inf")
        return self.next_step_at

    def connection_opened(self, now: float) -> list[Action]:
        """Handle a connection that was established."""
        self.state, self.next_step_at = ExportState.AWAITING_WELCOME, now + RESPONSE_TIMEOUT
        return [SendHello()]

    def connection_lost(self, now: float, reason: str) -> list[Action]:
        """Handle a connection that failed or was closed, and schedule the next attempt.

        The delay doubles with each attempt; without retry budget it is the longest one.
        """
        if self.state == ExportState.HALTED:
            return [CloseConnection()]
        self.state, self.reason, self.last_sent = ExportState.DISCONNECTED, reason, self.acknowledged
        self.retry_budget = max(0.0, self.retry_budget - 1)
        longest_delay = (
            MAX_RETRY_DELAY if self.retry_budget < 1 else min(MAX_RETRY_DELAY, RETRY_DELAY * 2**self.attempts)
        )
        self.attempts = min(self.attempts + 1, 16)
        self.next_step_at = now + longest_delay * self.rng.uniform(0.5, 1.0)
        return [CloseConnection()]

    def _halt(self, reason: str) -> list[Action]:
        """Stop the export until an operator has looked at it."""
        self.state, self.reason = ExportState.HALTED, reason
        return [CloseConnection()]

    def receive_welcome(self, now: float, message: Welcome) -> list[Action]:
        """Handle the receiver's welcome: check that its batches match the journal, and go on."""
        if self.state != ExportState.AWAITING_WELCOME:
            return self.connection_lost(now, "unexpected welcome: the receiver was already greeted")
        if self.receiver and message.receiver != self.receiver:
            return self._halt(
                f"a different receiver answered ({message.receiver.hex()[:8]}, not {self.receiver.hex()[:8]})"
            )
        actions: list[Action] = [] if self.receiver else [RecordReceiver(message.receiver)]
        self.receiver = message.receiver
        if message.high > self.last_batch:
            return [
                *actions,
                *self._halt(
                    f"receiver holds batch {message.high}, the last one created is {self.last_batch}"
                ),
            ]
        expected_hash = self.hashes.get(message.high)
        if message.high and expected_hash is not None and expected_hash != message.hash:
            return [*actions, *self._halt(f"receiver holds another batch {message.high} than this journal")]
        if message.high + 1 < self.first_kept:  # restored from a backup; the missing batches were removed
            return [
                *actions,
                *self._halt(
                    f"receiver lacks batches from {message.high + 1} on, the oldest kept is {self.first_kept}"
                ),
            ]
        self.state, self.attempts, self.last_sent = ExportState.SENDING, 0, message.high
        if message.high > self.acknowledged:
            actions.append(RecordAcknowledged(message.high))
        self.acknowledged = message.high  # may go back if the receiver was restored from a backup
        return actions + self._send_batches(now)

    def receive_acknowledgement(self, now: float, message: Acknowledgement) -> list[Action]:
        """Handle an acknowledgement of all batches up to a number."""
        if self.state != ExportState.SENDING:
            return self.connection_lost(now, "unexpected acknowledgement: no batch was sent")
        if message.high > self.last_sent:
            return self._halt(f"receiver acknowledged batch {message.high}, which was not sent")
        expected_hash = self.hashes.get(message.high)
        if expected_hash is not None and expected_hash != message.hash:
            return self._halt(f"receiver holds another batch {message.high} than this journal")
        if message.high <= self.acknowledged:
            return []
        self.retry_budget = min(
            MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_PER_BATCH * (message.high - self.acknowledged)
        )
        self.acknowledged, self.next_step_at = message.high, now + RESPONSE_TIMEOUT
        return [RecordAcknowledged(message.high), *self._send_batches(now)]

    def receive_rejection(self, message: Rejection) -> list[Action]:
        """Handle a rejection: the export halts."""
        return self._halt(f"receiver rejected the export: {message.why}")


class StoredPrefix(NamedTuple):
    """The batches of one journal that a receiver holds without a gap: number and hash of the last one."""

    high: int
    hash: bytes


def check_batch(
    stored: StoredPrefix, hashes: dict[int, bytes], batch: Batch
) -> Acknowledgement | Rejection | None:
    """Decide what to do with a batch that arrived.

    Returns an acknowledgement if the batch is already stored, a rejection if it contradicts a stored one, and
    None if it is to be stored. `hashes` contains the hashes of the stored batches with the same number and
    the number before. A batch must match its neighbours whether they arrived earlier or later, so that the
    order of arrival makes no difference.
    """
    if batch.number < 1 or (batch.number == 1) != (batch.before == b""):
        return Rejection(f"batch {batch.number} can't stand behind what it names")
    stored_hash = hashes.get(batch.number)
    if stored_hash is not None:
        return (
            Acknowledgement(*stored)
            if stored_hash == batch.hash
            else Rejection(f"another batch {batch.number} is here already")
        )
    previous_hash = hashes.get(batch.number - 1)
    if previous_hash is not None and previous_hash != batch.before:
        return Rejection(f"batch {batch.number} does not follow the one before it")
    return None


def check_hello(hello: Hello) -> Rejection | None:
    """Return why the sender of this hello is rejected, or None."""
    return Rejection("a book without its mark") if len(hello.book) != 16 else None
