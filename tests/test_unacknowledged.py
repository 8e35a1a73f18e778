"""Commands that a broken processor link may have lost."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from tests.app_server import told
from thymeyoke.configuration import start_file
from thymeyoke.server import (
    messages,
    processor,
    processor_wire,
    unacknowledged,
)

NAMES = start_file.read_request_names(told()["settings"])


class UnprovenCommands(unittest.IsolatedAsyncioTestCase):
    """What a processor's link may have swallowed, by what was written, answered and lost."""

    BEGIN, GAUGE = messages.StartRun("run", 0, b""), messages.ReadGauges()
    COMMANDS = (
        BEGIN,
        messages.CallResult("called", b""),
        messages.ResumeRun("paused"),
        messages.ContinueWithoutCall("poorer"),
    )
    LOST_AT = 10.0
    EARLY, LATE = (
        LOST_AT - 1.1 * unacknowledged.POSSIBLY_LOST_SECONDS,
        LOST_AT - 0.9 * unacknowledged.POSSIBLY_LOST_SECONDS,
    )

    def test_what_may_be_lost(self) -> None:
        begin, gauge, answered = self.BEGIN, self.GAUGE, None  # None: an ask for gauges is answered
        cases: list[tuple[float, tuple[Any, ...], set[str]]] = [
            (self.EARLY, (begin,), {"run"}),
            (self.EARLY, self.COMMANDS, {"run", "called", "paused", "poorer"}),
            (self.EARLY, (begin, gauge), {"run"}),
            (self.EARLY, (begin, gauge, answered), set()),
            (self.LATE, (begin, gauge, answered), {"run"}),  # answered, and yet it may be lost
            (self.EARLY, (gauge, begin, answered), {"run"}),
            (self.EARLY, (gauge, begin, gauge, answered), {"run"}),
            (self.EARLY, (gauge, begin, gauge, answered, answered), set()),
            (self.EARLY, (answered, begin), {"run"}),
            (self.LATE, (messages.StopRun("stopped"), processor_wire.RequestSync(2)), set()),
        ]
        for at, steps, lost in cases:
            with self.subTest(at=at, steps=steps):
                unproven = unacknowledged.UnacknowledgedCommands()
                for step in steps:
                    unproven.acknowledge(at) if step is None else unproven.add(at, step)
                unproven.link_lost(self.LOST_AT)
                self.assertEqual(unproven.take_possibly_lost(), lost)
                unproven.link_lost(self.LOST_AT)
                self.assertEqual(unproven.take_possibly_lost(), set())

    def test_what_was_never_written_is_lost_with_the_links_before(self) -> None:
        unproven = unacknowledged.UnacknowledgedCommands()
        unproven.link_lost(self.EARLY, (self.BEGIN, self.GAUGE))
        unproven.acknowledge(self.EARLY)  # to the link before: it proves nothing of this one
        unproven.add(self.EARLY, messages.CallResult("called", b""))
        unproven.link_lost(self.LOST_AT)
        self.assertEqual(unproven.take_possibly_lost(), {"run", "called"})

    def test_a_processor_fills_no_memory_whatever_it_answers(self) -> None:
        for answers in (False, True):
            unproven = unacknowledged.UnacknowledgedCommands()
            for number in range(2 * unacknowledged.MAX_COMMANDS):
                unproven.add(self.LATE, messages.StartRun(str(number), 0, b""))
                unproven.add(self.LATE, self.GAUGE)
                if answers:
                    unproven.acknowledge(self.LATE)
            kept = len(unproven.sent) + len(unproven.recently_acknowledged)
            self.assertLessEqual(kept, unacknowledged.MAX_COMMANDS)
            if answers:
                unproven.acknowledge(self.LOST_AT + 1.0)
                self.assertEqual(len(unproven.recently_acknowledged), 0)

    async def test_a_command_that_finds_the_mailbox_full_is_lost_with_the_link(self) -> None:
        peer = processor.ProcessorClient(start_file.Address("127.0.0.1", 1), NAMES, mock.Mock())
        self.addCleanup(peer.outbox.close)
        self.addCleanup(peer.outbox_reader.close)
        for number in range(processor.OUTBOX_SIZE + 1):
            peer.send(messages.StartRun(str(number), 0, b""))
        self.assertTrue(peer.scope.cancel_called)
        self.assertEqual(peer.unacknowledged.take_possibly_lost(), {str(processor.OUTBOX_SIZE)})


if __name__ == "__main__":
    unittest.main()
