"""The dispatcher alone on a clock that is set by hand: its events are put in, its peers are mocks."""

from __future__ import annotations

from typing import Any
from unittest import mock

from thymeyoke.configuration import start_file
from thymeyoke.runtime import extensions
from thymeyoke.server import dispatcher, in_flight, messages

READ, KEYED = 0, 1  # request classes of the toy's start file
START = 1_000_000.0
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class SimulatedDispatcher:
    """Its processor is up and linked, and runs last until they are told as ended. One caller is connected."""

    def __init__(self, stop: float, settings: dict[str, Any]) -> None:
        self.now, self.number = START, 0
        with mock.patch.object(dispatcher, "clock", self._clock):
            self.dispatcher = dispatcher.Dispatcher(stop, start_file.read_admission_settings(7, settings))
        self.listener = mock.Mock(connections={mock.Mock()}, max_connections=9)
        self.processor = mock.Mock()
        self.dispatcher.connect_peers(self.listener, self.processor, mock.Mock(), mock.Mock())
        self.answers: dict[str, list[extensions.Answer]] = {}
        self.hear(messages.ProcessorReady(False, 0.0), messages.ProcessorSynced(1))

    def _clock(self) -> float:
        return self.now

    def close(self) -> None:
        self.dispatcher.events.close()
        self.dispatcher.inbox.close()

    def hear(self, *events: messages.Event) -> None:
        """One batch."""
        with (
            mock.patch.object(dispatcher, "clock", self._clock),
            mock.patch.object(in_flight, "clock", self._clock),
        ):
            self.dispatcher.process_batch(self.now, list(events))

    def arrive(self, id: str, kind: int = READ, **changed: Any) -> messages.RequestReceived:
        """A request that is answered into `answers`, by its id."""
        given = self.answers.setdefault(id, [])
        client, self.number = mock.Mock(send=given.append), self.number + 1
        key = KEY if kind == KEYED else None
        header = messages.RequestHeader(id, kind, 0, 1, self.now, 2.0, 9.0, 0.5, key, None, b"body")
        return messages.RequestReceived(client, self.number, header._replace(**changed))

    def run_until(self, moment: float, late: float = 0.0) -> None:
        """Let time pass; each wake of a timer comes `late`."""
        while not self.dispatcher.drain.is_done and (wake := self.dispatcher.next_moment() + late) <= moment:
            self.now = max(self.now, wake)
            self.hear()
        self.now = max(self.now, moment)

    def verdicts(self, *ids: str) -> list[list[str]]:
        return [[answer.verdict.value for answer in self.answers[id]] for id in ids]

    def begun(self) -> list[str]:
        told = [call.args[0] for call in self.processor.send.call_args_list]
        return [command.id for command in told if isinstance(command, messages.StartRun)]
