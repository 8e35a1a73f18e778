"""Sends commands to the processor, and sends them again on a new link where that is needed and safe."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from thymeyoke.admission.settings import Idempotency, RequestClass
from thymeyoke.server.in_flight import InFlightRequest
from thymeyoke.server.messages import (
    CallResult,
    Command,
    ContinueWithoutCall,
    ProcessorSynced,
    ReadGauges,
    StartRun,
    StopRun,
)


class CommandReceiver(Protocol):
    """The client of the processor; `send` does not block."""

    def send(self, command: Command) -> None:
        """Queue a command for the processor."""


class ProcessorCommands:
    """Sends commands while the processor is in sync.

    It keeps the last command of each request until the processor has acknowledged it.
    """

    def __init__(self, processor: CommandReceiver, classes: tuple[RequestClass, ...]) -> None:
        self.processor, self.classes = processor, classes
        self.link = 0  # number of the synced link; 0 while there is none
        self.after_answers: list[Command] = []  # sent by `flush`, after the answers of the batch

    @property
    def is_connected(self) -> bool:
        """Whether commands are sent at once."""
        return self.link > 0

    def send(self, now: float, request: InFlightRequest, command: Command) -> None:
        """Send a command, now or once the processor is in sync."""
        request.last_command, request.sent_on_link = command, self.link
        request.command_sent_at = now
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

    def synced(
        self, now: float, event: ProcessorSynced, requests: Iterable[InFlightRequest]
    ) -> list[InFlightRequest]:
        """Start using a synced link: send the commands that were never sent or may have been lost.

        Returns the requests whose last command may have been lost and is not sent again, as the processor
        could carry it out twice. Other commands that were written have been received.
        """
        self.link = event.link
        unconfirmed = []
        for request in requests:
            if not self._recover(now, request, event):
                unconfirmed.append(request)
            if request.is_paused:
                self.processor.send(StopRun(request.header.id))
        return unconfirmed

    def _recover(self, now: float, request: InFlightRequest, event: ProcessorSynced) -> bool:
        """Send the last command again if it did not arrive; return False if this is unknown."""
        command = request.last_command
        if command is None or request.sent_on_link == event.link:
            return True
        if not request.sent_on_link:
            self.send(now, request, command)
        elif request.header.id in event.possibly_lost:
            if not self._is_repeatable(command):
                return False
            request.was_resent = True
            self.send(now, request, command)
        return True

    def _is_repeatable(self, command: Command) -> bool:
        """Whether a command may be carried out twice.

        The processor starts a request anew if its run has ended, even just before the second start arrives.
        The result of a call, or its omission, does not name the call: if the run has come to its next call,
        the processor takes it for that one.
        """
        match command:
            case StartRun(_, class_index):
                return self.classes[class_index].idempotency is Idempotency.IDEMPOTENT
            case CallResult() | ContinueWithoutCall():
                return False
        return True

    def discarded(self, requests: Iterable[InFlightRequest]) -> None:
        """Note that the last commands of these requests were queued and never written."""
        for request in requests:
            request.sent_on_link = 0

    def disconnected(self) -> None:
        """Handle the loss of the link."""
        self.link = 0
