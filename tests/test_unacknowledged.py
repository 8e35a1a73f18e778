"""Commands that a broken processor link may have lost."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import anyio

from tests.app_server import start_file_with
from thymeyoke.configuration import start_file
from thymeyoke.server import (
    messages,
    processor,
    processor_wire,
    unacknowledged,
)

NAMES = start_file.read_request_names(start_file_with()["settings"])


class UnacknowledgedCommandsTest(unittest.IsolatedAsyncioTestCase):
    """Commands that may be lost, depending on what was written, acknowledged and lost before."""

    START, READ_GAUGES = messages.StartRun("run", 0, b""), messages.ReadGauges()
    COMMANDS = (
        START,
        messages.CallResult("called", b""),
        messages.ResumeRun("paused"),
        messages.ContinueWithoutCall("poorer"),
    )
    LOST_AT = 10.0
    EARLY = LOST_AT - 1.1 * unacknowledged.POSSIBLY_LOST_SECONDS
    LATE = LOST_AT - 0.9 * unacknowledged.POSSIBLY_LOST_SECONDS

    def test_possibly_lost_commands(self) -> None:
        """Steps: a command is written, a confirmation is requested, or the one with a number arrives."""
        start, other, request = self.START, messages.CallResult("called", b""), "request a confirmation"
        cases: list[tuple[float, tuple[Any, ...], set[str]]] = [
            (self.EARLY, (start,), {"run"}),
            (self.EARLY, self.COMMANDS, {"run", "called", "paused", "poorer"}),
            (self.EARLY, (start, request), {"run"}),
            (self.EARLY, (start, request, 1), set()),
            (self.LATE, (start, request, 1), {"run"}),  # too recent to count as received
            (self.EARLY, (other, request, start, 1), {"run"}),
            (self.EARLY, (other, request, start, request, 1), {"run"}),
            (self.EARLY, (other, request, start, request, 1, 2), set()),
            (self.EARLY, (other, request, start, request, 2), set()),  # the later one covers both
            (self.EARLY, (other, request, start, request, 2, 1), set()),
            (self.EARLY, (other, request, 1, 1, start, request), {"run"}),  # the first one arrives twice
            (self.EARLY, (start, request, 2), {"run"}),  # never requested
            (self.EARLY, (1, start, request), {"run"}),
            (self.EARLY, (self.READ_GAUGES, start, self.READ_GAUGES), {"run"}),
            (self.LATE, (messages.StopRun("stopped"), self.READ_GAUGES), set()),
        ]
        for at, steps, lost in cases:
            with self.subTest(at=at, steps=steps):
                commands = unacknowledged.UnacknowledgedCommands()
                for step in steps:
                    if step == request:
                        commands.request_confirmation()
                    elif isinstance(step, int):
                        commands.acknowledge(at, step)
                    else:
                        commands.add(at, step)
                commands.link_lost(self.LOST_AT)
                self.assertEqual(commands.take_possibly_lost(), lost)
                commands.link_lost(self.LOST_AT)
                self.assertEqual(commands.take_possibly_lost(), set())

    def test_only_unacknowledged_commands_need_a_confirmation(self) -> None:
        """Its numbers go on over all links, so that a late answer acknowledges nothing of another link."""
        commands = unacknowledged.UnacknowledgedCommands()
        for number, command in enumerate(self.COMMANDS, start=1):
            for needless in (self.READ_GAUGES, messages.StopRun("stopped")):
                commands.add(self.EARLY, needless)
            self.assertIsNone(commands.request_confirmation())
            commands.add(self.EARLY, command)
            self.assertEqual(commands.request_confirmation(), processor_wire.RequestConfirmation(number))
            if number % 2:
                commands.acknowledge(self.EARLY, number)
            else:
                commands.link_lost(self.EARLY)

    def test_commands_are_lost_with_those_of_earlier_links(self) -> None:
        commands = unacknowledged.UnacknowledgedCommands()
        commands.add(self.EARLY, self.START)
        commands.request_confirmation()
        commands.link_lost(self.EARLY)
        commands.add(self.EARLY, messages.CallResult("called", b""))
        commands.request_confirmation()
        commands.acknowledge(self.EARLY, 1)  # of the previous link; acknowledges nothing here
        commands.link_lost(self.LOST_AT)
        self.assertEqual(commands.take_possibly_lost(), {"run", "called"})

    async def test_commands_that_were_never_written_are_reported_before_the_link_is_synced(self) -> None:
        """They are certain not to have been received, unlike those that were written to an earlier link."""
        inbox, events = anyio.create_memory_object_stream[messages.Event](8)
        client = processor.ProcessorClient(start_file.Address("127.0.0.1", 1), NAMES, inbox)
        for mailbox in (inbox, events, client.outbox, client.outbox_reader):
            self.addCleanup(mailbox.close)
        client.unacknowledged.add(self.EARLY, self.START)
        client.unacknowledged.link_lost(self.LOST_AT)
        client.link = 2
        for command in (*self.COMMANDS[1:], self.READ_GAUGES, messages.StopRun("stopped")):
            client.send(command)
        for _ in range(2):  # the second answer has nothing more to report
            await client._handle_line(b'{"event":"used","ticket":"sync2","figures":[]}')
        found = [events.receive_nowait() for _ in range(events.statistics().current_buffer_used)]
        discarded = messages.CommandsDiscarded(frozenset({"called", "paused", "poorer"}))
        synced = messages.ProcessorSynced(2, frozenset({"run"}))
        self.assertEqual(found, [discarded, synced, messages.ProcessorSynced(2)])
        self.assertEqual(client.outbox_reader.statistics().current_buffer_used, 0)

    def test_memory_is_bounded_whatever_the_processor_answers(self) -> None:
        for answers in (False, True):
            commands = unacknowledged.UnacknowledgedCommands()
            for number in range(2 * unacknowledged.MAX_COMMANDS):
                commands.add(self.LATE, messages.StartRun(str(number), 0, b""))
                request = commands.request_confirmation()
                if answers and request:
                    commands.acknowledge(self.LATE, request.number)
            kept = len(commands.sent) + len(commands.recently_acknowledged)
            self.assertLessEqual(kept, unacknowledged.MAX_COMMANDS)
            if answers:
                commands.add(self.LOST_AT, self.START)
                request = commands.request_confirmation()
                assert request
                commands.acknowledge(self.LOST_AT + 1.0, request.number)
                self.assertEqual(len(commands.recently_acknowledged), 0)

    async def test_command_that_overflows_the_outbox_is_lost_with_the_link(self) -> None:
        client = processor.ProcessorClient(start_file.Address("127.0.0.1", 1), NAMES, mock.Mock())
        self.addCleanup(client.outbox.close)
        self.addCleanup(client.outbox_reader.close)
        for number in range(processor.OUTBOX_SIZE + 1):
            client.send(messages.StartRun(str(number), 0, b""))
        self.assertTrue(client.scope.cancel_called)
        self.assertEqual(client.discarded, {str(processor.OUTBOX_SIZE)})
        self.assertEqual(client.unacknowledged.take_possibly_lost(), set())


if __name__ == "__main__":
    unittest.main()
