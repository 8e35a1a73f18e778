"""The dispatcher alone on a clock that is set by hand: what it hears is put in, its peers are mocks."""

from __future__ import annotations

from typing import Any
from unittest import mock

from thymeyoke.configuration import start_file
from thymeyoke.server import dispatcher, messages

READ, KEYED = 0, 1  # request classes of the toy's start file
START = 1_000_000.0
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class SimulatedDispatcher:
    """Its processor is up and linked, and runs last until they are told as ended. One caller is connected."""

    def __init__(self, stop: float, settings: dict[str, Any]) -> None:
        self.now, self.number = START, 0
        with mock.patch.object(dispatcher, "clock", self._clock):
            self.desk = dispatcher.Desk(stop, start_file.start(7, settings))
        self.front, self.processor = mock.Mock(connections={mock.Mock()}, most=9), mock.Mock()
        self.desk.meet(self.front, self.processor, mock.Mock(), mock.Mock())
        self.answers: dict[str, list[messages.Answer]] = {}
        self.hear(messages.Up(False, 0.0), messages.Synced(1))

    def _clock(self) -> float:
        return self.now

    def close(self) -> None:
        self.desk.events.close()
        self.desk.inbox.close()

    def hear(self, *events: messages.Event) -> None:
        """One batch."""
        with mock.patch.object(dispatcher, "clock", self._clock):
            self.desk._turn(self.now, list(events))

    def arrive(self, id: str, kind: int = READ, **changed: Any) -> messages.Arrived:
        """A request that is answered into `answers`, by its id."""
        given = self.answers.setdefault(id, [])
        asker, self.number = mock.Mock(tell=given.append), self.number + 1
        key = KEY if kind == KEYED else None
        order = messages.Order(id, kind, 0, 1, self.now, 2.0, 9.0, 0.5, key, None, b"body")
        return messages.Arrived(asker, self.number, order._replace(**changed))

    def run_until(self, moment: float, late: float = 0.0) -> None:
        """Let time pass; each wake of a timer comes `late`."""
        while not self.desk.done and (wake := self.desk._next_moment() + late) <= moment:
            self.now = max(self.now, wake)
            self.hear()
        self.now = max(self.now, moment)

    def verdicts(self, *ids: str) -> list[list[str]]:
        return [[answer.verdict.value for answer in self.answers[id]] for id in ids]

    def begun(self) -> list[str]:
        told = [call.args[0] for call in self.processor.tell.call_args_list]
        return [command.id for command in told if isinstance(command, messages.Begin)]
