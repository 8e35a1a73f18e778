"""The dispatcher alone, between fakes of its peers."""

from __future__ import annotations

import time
import unittest
from unittest import mock

import anyio

from tests.app_server import told, until
from thymeyoke.admission import actions as act
from thymeyoke.admission.events import Outcome
from thymeyoke.configuration import start_file
from thymeyoke.runtime import extensions
from thymeyoke.server import (
    dependency,
    dispatcher,
    messages,
)

REF = "9b1f03aa5c7e2d41"


class DispatcherAlone(unittest.IsolatedAsyncioTestCase):
    """The module's actor alone: what it hears is put in, what it tells its peers is kept."""

    def setUp(self) -> None:
        self.dispatcher = dispatcher.Dispatcher(
            2.0, start_file.read_admission_settings(7, told()["settings"])
        )
        self.processor = mock.Mock()
        self.dispatcher.connect_peers(mock.Mock(), self.processor, mock.Mock(), mock.Mock())
        self.addCleanup(self.dispatcher.events.close)
        self.addCleanup(self.dispatcher.inbox.close)

    def order(self, at: int) -> messages.RequestReceived:
        order = messages.RequestHeader(f"{at:016x}", 0, 0, 1, time.time(), 2.0, 9.0, 0.5, None, None, b"")
        return messages.RequestReceived(mock.Mock(), at, order)

    def begins(self) -> int:
        return sum(isinstance(call.args[0], messages.StartRun) for call in self.processor.send.call_args_list)

    def test_what_a_lost_link_swallowed_is_sent_again_though_the_next_is_lost_too(self) -> None:
        """And what is proven to have come through is not: its run may end just now."""
        now = time.time()
        for lost, begins in [({f"{1:016x}"}, 2), ({f"{2:016x}"}, 1), (set(), 1)]:
            self.setUp()
            for event in (messages.ProcessorReady(False, 0.0), messages.ProcessorSynced(1), self.order(1)):
                self.dispatcher.handle(now, event)
            self.dispatcher.execute_decisions(now)
            for event in (
                messages.ProcessorDisconnected(),
                messages.ProcessorDisconnected(),
                messages.ProcessorSynced(3, frozenset(lost)),
            ):
                self.dispatcher.handle(now, event)
            self.assertEqual(self.begins(), begins)

    def test_an_op_whose_time_left_is_not_told(self) -> None:
        """Its type's timeout counts, here and in the module; once such an op was not understood at all."""
        now = time.time()
        self.dispatcher.handle(now, messages.ProcessorReady(False, 0.0))
        arrived = self.order(1)
        self.dispatcher.handle(
            now, arrived._replace(header=arrived.header._replace(client_timeout=0.0, received_at=now - 0.5))
        )
        slip, job = (
            self.dispatcher.in_flight.by_id[f"{1:016x}"],
            self.dispatcher.controller.requests[f"{1:016x}"],
        )
        timeout = self.dispatcher.classes[0].client_timeout
        for due in (slip.deadline, job.deadline):
            self.assertAlmostEqual(due, now - 0.5 + timeout, places=3)
        self.dispatcher.executor.execute(now, act.ContinueDegraded(f"{1:016x}"))
        self.assertEqual(slip.last_command, messages.ContinueWithoutCall(f"{1:016x}"))

    def test_an_id_that_is_retained_is_not_taken_again(self) -> None:
        """A bad client sent an open op's id, with a key of its own, just as that op ended. The processor
        began nothing for it, and the first op's key was forgotten with it: the next try ran once more."""
        now = time.time()
        asker, bad = mock.Mock(), mock.Mock()

        def op(id: str, key: str, asker: mock.Mock) -> messages.RequestReceived:
            body = key.encode()
            return messages.RequestReceived(
                asker, 1, messages.RequestHeader(id, 1, 0, 1, now, 2.0, 9.0, 0.5, key, None, body)
            )

        for event in (
            messages.ProcessorReady(False, 0.0),
            messages.ProcessorSynced(1),
            op("a" * 16, "k", asker),
        ):
            self.dispatcher.handle(now, event)
        self.dispatcher.execute_decisions(now)
        self.assertEqual(self.begins(), 1)
        self.dispatcher.handle(now, messages.RunEnded("a" * 16, Outcome.OK, b"done", 0.003))
        self.dispatcher.handle(now, op("a" * 16, "other", bad))
        self.dispatcher.execute_decisions(now)
        self.dispatcher.handle(now, messages.CommandRejected("a" * 16, messages.StartRun))
        self.dispatcher.handle(now, op("b" * 16, "k", asker))
        self.dispatcher.execute_decisions(now)
        self.assertEqual(self.begins(), 1)
        self.assertEqual(
            [call.args[0].verdict for call in bad.send.call_args_list], [extensions.Verdict.FAILED]
        )
        told = [(call.args[0].verdict, call.args[0].body) for call in asker.send.call_args_list]
        self.assertEqual(told, [(extensions.Verdict.SERVED, b"done")] * 2)

    def test_a_server_with_nothing_below(self) -> None:
        """Its start file names no database, and none is asked; once it did not start."""
        given = told(settings__family_info__below="silent")
        del given["db"]
        self.assertIsNone(start_file.read_server_settings(given).dependency)
        below = dependency.DependencyClient(None, self.dispatcher.inbox)
        self.assertFalse(below.send(messages.StartCall(REF, 1.0, b"")))
        below.outbox.close()
        below.outbox_reader.close()
        with self.assertRaisesRegex(start_file.StartFileError, "lacks 'db'"):
            start_file.read_server_settings(given | {"settings": told()["settings"]})

    async def test_events_gather_in_a_crowd(self) -> None:
        """Few are heard at once, one by one; many wait for a tick, in which more come: one settle for all."""
        for at_once, settles in [(1, 8), (dispatcher.BATCHING_THRESHOLD, 2)]:
            self.setUp()
            self.dispatcher.tick = 0.05
            with mock.patch.object(
                self.dispatcher, "execute_decisions", side_effect=lambda now: None
            ) as settle:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.dispatcher.run)
                    for batch in range(8 // at_once):
                        for _ in range(at_once):
                            self.dispatcher.inbox.send_nowait(messages.GaugesRead(()))
                        await until(lambda n=batch: settle.call_count > n)
                    await anyio.sleep(0.06)  # and none that is left for later
                    tasks.cancel_scope.cancel()
            self.assertEqual(settle.call_count, settles)


if __name__ == "__main__":
    unittest.main()
