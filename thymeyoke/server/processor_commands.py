"""Sends commands to the processor, and sends them again on a new link where needed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from thymeyoke.server.in_flight import InFlightRequest
from thymeyoke.server.messages import Command, ReadGauges, StopRun


class CommandReceiver(Protocol):
    """The client of the processor; `send` does not block."""

    def send(self, command: Command) -> None:
        """Queue a command for the processor."""


class ProcessorCommands:
    """Sends commands while the processor is in sync.

    It keeps the last command of each request until the processor has acknowledged it.
    """

    def __init__(self, processor: CommandReceiver) -> None:
        self.processor = processor
        self.link = 0  # number of the synced link; 0 while there is none
        self.after_answers: list[Command] = []  # sent by `flush`, after the answers of the batch

    @property
    def is_connected(self) -> bool:
        """Whether commands are sent at once."""
        return self.link > 0

    def send(self, request: InFlightRequest, command: Command) -> None:
        """Send a command, now or once the processor is in sync."""
        request.last_command, request.sent_on_link = command, self.link
        if self.link:
            self.processor.send(command)

    def stop(self, request: InFlightRequest) -> None:
        """Stop a run once the answers of this batch are sent."""
        request.is_paused = True
        self.after_answers.append(StopRun(request.header.id))

    def flush(self) -> None:
        """Send the commands that waited for the answers."""
        for command in self.after_answers:
            self.processor.send(command)
        self.after_answers.clear()

    def read_gauges(self) -> None:
        """Request a gauge reading if the processor is connected."""
        if self.link:
            self.processor.send(ReadGauges())

    def synced(self, link: int, possibly_lost: frozenset[str], requests: Iterable[InFlightRequest]) -> None:
        """Start using a synced link: send the commands that were never sent or may have been lost.

        Acknowledged commands are not sent again, as their run may be ending.
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
        """Handle the loss of the link."""
        self.link = 0
