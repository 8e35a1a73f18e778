"""Commands to the processor, and which of them must go out again on a new link."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from thymeyoke.server.in_flight import InFlightRequest
from thymeyoke.server.messages import Command, ReadGauges, StopRun


class CommandReceiver(Protocol):
    """The client of the processor; it never waits."""

    def send(self, command: Command) -> None:
        """Queue a command for the processor."""


class ProcessorCommands:
    """Sends commands while the processor is in sync.

    It keeps the last one of each request until the processor has provably read it.
    """

    def __init__(self, processor: CommandReceiver) -> None:
        self.processor = processor
        self.link = 0  # the synced link; 0 while there is none
        self.after_answers: list[Command] = []  # wait for the batch's answers; emptied by `flush`

    @property
    def is_connected(self) -> bool:
        """Whether commands go out at once."""
        return self.link > 0

    def send(self, request: InFlightRequest, command: Command) -> None:
        """Send a command, now or once the processor is in sync."""
        request.last_command, request.sent_on_link = command, self.link
        if self.link:
            self.processor.send(command)

    def stop(self, request: InFlightRequest) -> None:
        """Stop a run, after the answers of this batch."""
        request.is_paused = True
        self.after_answers.append(StopRun(request.header.id))

    def flush(self) -> None:
        """Send what waited for answers."""
        for command in self.after_answers:
            self.processor.send(command)
        self.after_answers.clear()

    def read_gauges(self) -> None:
        """Ask for the gauges, where somebody can answer."""
        if self.link:
            self.processor.send(ReadGauges())

    def synced(self, link: int, possibly_lost: frozenset[str], requests: Iterable[InFlightRequest]) -> None:
        """A link is in sync: send again what is still open and was never sent, or may be lost.

        What is proven to have come through is not sent again: its run may end just now.
        """
        self.link = link
        for request in requests:
            id, command = request.header.id, request.last_command
            if command and request.sent_on_link != link and (not request.sent_on_link or id in possibly_lost):
                request.was_resent = request.sent_on_link > 0
                self.send(request, command)
            if request.is_paused:
                self.processor.send(StopRun(id))

    def disconnected(self) -> None:
        """The link is lost."""
        self.link = 0
