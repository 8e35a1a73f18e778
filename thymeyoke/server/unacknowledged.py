"""Which commands may not have reached the processor. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from thymeyoke.server.messages import (
    CallResult,
    Command,
    ContinueWithoutCall,
    ReadGauges,
    ResumeRun,
    StartRun,
)
from thymeyoke.server.processor_wire import RequestSync

MAX_COMMANDS = 4096  # commands and readings of gauges; older ones count as read
POSSIBLY_LOST_SECONDS = 0.3  # commands of the last 50 ms may be lost with a link, which is noticed this late


class SentCommand(NamedTuple):
    """A command that changes a run, by its request's id; None: a reading of the gauges."""

    at: float
    id: str | None


class UnacknowledgedCommands:
    """Commands that are not proven to have been read.

    The processor reads in order and answers each reading of the gauges, so an answer proves all that was
    written before it. What was written since may be lost with the link, and so may what was written just
    before the loss, whatever was answered. That a command was handed to the link proves nothing.
    """

    def __init__(self) -> None:
        """Nothing was written yet."""
        self.sent: deque[SentCommand] = deque(maxlen=MAX_COMMANDS)  # emptied by answers and losses
        # Younger than POSSIBLY_LOST_SECONDS; emptied as they age.
        self.recently_acknowledged: deque[SentCommand] = deque(maxlen=MAX_COMMANDS)
        self.possibly_lost: set[str] = set()  # ids of requests; emptied by `take_possibly_lost`

    def add(self, now: float, command: Command | RequestSync) -> None:
        """A command is about to be written: a part of it is lost like all of it."""
        match command:
            case ReadGauges():
                self.sent.append(SentCommand(now, None))
            case StartRun(id) | CallResult(id) | ResumeRun(id) | ContinueWithoutCall(id):
                self.sent.append(SentCommand(now, id))  # stops go out again by themselves

    def acknowledge(self, now: float) -> None:
        """The oldest reading of the gauges was answered."""
        while self.sent and (oldest := self.sent.popleft()).id is not None:
            self.recently_acknowledged.append(oldest)
        while self.recently_acknowledged and self.recently_acknowledged[0].at < now - POSSIBLY_LOST_SECONDS:
            self.recently_acknowledged.popleft()

    def link_lost(self, now: float, unsent: Iterable[Command | RequestSync] = ()) -> None:
        """The link is lost, with what it was still to write."""
        for command in unsent:
            self.add(now, command)
        recent = [one for one in self.recently_acknowledged if one.at >= now - POSSIBLY_LOST_SECONDS]
        self.possibly_lost.update(one.id for one in (*self.sent, *recent) if one.id is not None)
        self.sent.clear()
        self.recently_acknowledged.clear()

    def take_possibly_lost(self) -> frozenset[str]:
        """The requests whose commands may be lost, since the last time."""
        lost, self.possibly_lost = frozenset(self.possibly_lost), set()
        return lost
