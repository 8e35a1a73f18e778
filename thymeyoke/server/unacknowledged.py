"""Keeps track of commands that may not have reached the processor, without I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from thymeyoke.server.messages import (
    CallResult,
    Command,
    ContinueWithoutCall,
    ResumeRun,
    StartRun,
)
from thymeyoke.server.processor_wire import RequestConfirmation

MAX_COMMANDS = 4096  # older commands count as received
RUN_COMMANDS = StartRun, CallResult, ResumeRun, ContinueWithoutCall  # stops are sent again on each new link
POSSIBLY_LOST_SECONDS = 0.3  # a link may lose commands of its last 50 ms, and its loss is noticed late


class SentCommand(NamedTuple):
    """A command that was written to the link."""

    at: float
    id: str  # of the request


class UnacknowledgedCommands:
    """Commands that the processor has not acknowledged.

    The processor reads commands in order and answers each request for a confirmation, so the answer
    acknowledges all commands written before the request. Later commands may be lost with the link. So may
    those written within `POSSIBLY_LOST_SECONDS` before its loss, even if acknowledged.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self.sent: deque[SentCommand | RequestConfirmation] = deque(maxlen=MAX_COMMANDS)
        # Acknowledged within the last POSSIBLY_LOST_SECONDS.
        self.recently_acknowledged: deque[SentCommand] = deque(maxlen=MAX_COMMANDS)
        self.possibly_lost: set[str] = set()  # request ids; cleared by `take_possibly_lost`
        self.confirmations = 0  # requested so far, on all links

    def add(self, now: float, command: Command) -> None:
        """Record a command just before it is written."""
        if isinstance(command, RUN_COMMANDS):
            self.sent.append(SentCommand(now, command.id))

    def request_confirmation(self) -> RequestConfirmation | None:
        """The request to write behind the recorded commands, or None if all are acknowledged."""
        if not self.sent:
            return None
        self.confirmations += 1
        request = RequestConfirmation(self.confirmations)
        self.sent.append(request)
        return request

    def acknowledge(self, now: float, number: int) -> None:
        """Handle the answer to a request for a confirmation, which may be of an earlier link."""
        if RequestConfirmation(number) not in self.sent:
            return
        while (oldest := self.sent.popleft()) != RequestConfirmation(number):
            if isinstance(oldest, SentCommand):
                self.recently_acknowledged.append(oldest)
        while self.recently_acknowledged and self.recently_acknowledged[0].at < now - POSSIBLY_LOST_SECONDS:
            self.recently_acknowledged.popleft()

    def link_lost(self, now: float, *, is_broken: bool = True) -> None:
        """Handle the end of the link; one that is closed here loses no acknowledged command."""
        if not is_broken:
            self.recently_acknowledged.clear()
        recent = [one for one in self.recently_acknowledged if one.at >= now - POSSIBLY_LOST_SECONDS]
        self.possibly_lost.update(one.id for one in (*self.sent, *recent) if isinstance(one, SentCommand))
        self.sent.clear()
        self.recently_acknowledged.clear()

    def take_possibly_lost(self) -> frozenset[str]:
        """Take the ids of requests whose commands may be lost."""
        lost, self.possibly_lost = frozenset(self.possibly_lost), set()
        return lost
