"""The dispatcher with mocks of its peers."""

from __future__ import annotations

import time
import unittest
from unittest import mock

import anyio

from tests.app_server import start_file_with, until
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


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    """Events are passed in directly, and messages to the peers are recorded."""

    def setUp(self) -> None:
        self.dispatcher = dispatcher.Dispatcher(
            2.0, start_file.read_admission_settings(7, start_file_with()["settings"])
        )
        self.processor = mock.Mock()
        self.dispatcher.connect_peers(mock.Mock(), self.processor, mock.Mock(), mock.Mock())
        self.addCleanup(self.dispatcher.events.close)
        self.addCleanup(self.dispatcher.inbox.close)

    def request_event(self, at: int) -> messages.RequestReceived:
        header = messages.RequestHeader(f"{at:016x}", 0, 0, 1, time.time(), 2.0, 9.0, 0.5, None, None, b"")
        return messages.RequestReceived(mock.Mock(), at, header)

    def count_starts(self) -> int:
        return sum(isinstance(call.args[0], messages.StartRun) for call in self.processor.send.call_args_list)

    def test_commands_lost_with_a_link_are_sent_again_after_two_losses(self) -> None:
        """Acknowledged commands are not sent again, as their run may be ending."""
        now = time.time()
        for lost, count_starts in [({f"{1:016x}"}, 2), ({f"{2:016x}"}, 1), (set(), 1)]:
            self.setUp()
            for event in (
                messages.ProcessorReady(False, 0.0),
                messages.ProcessorSynced(1),
                self.request_event(1),
            ):
                self.dispatcher.handle(now, event)
            self.dispatcher.execute_decisions(now)
            for event in (
                messages.ProcessorDisconnected(),
                messages.ProcessorDisconnected(),
                messages.ProcessorSynced(3, frozenset(lost)),
            ):
                self.dispatcher.handle(now, event)
            self.assertEqual(self.count_starts(), count_starts)

    def test_request_without_timeout_uses_that_of_its_class(self) -> None:
        """Such a request used to be rejected as malformed."""
        now = time.time()
        self.dispatcher.handle(now, messages.ProcessorReady(False, 0.0))
        received = self.request_event(1)
        self.dispatcher.handle(
            now, received._replace(header=received.header._replace(client_timeout=0.0, received_at=now - 0.5))
        )
        in_flight_request = self.dispatcher.in_flight.by_id[f"{1:016x}"]
        controller_request = self.dispatcher.controller.requests[f"{1:016x}"]
        timeout = self.dispatcher.classes[0].client_timeout
        for due in (in_flight_request.deadline, controller_request.deadline):
            self.assertAlmostEqual(due, now - 0.5 + timeout, places=3)
        self.dispatcher.executor.execute(now, act.ContinueDegraded(f"{1:016x}"))
        self.assertEqual(in_flight_request.last_command, messages.ContinueWithoutCall(f"{1:016x}"))

    def test_id_of_a_retained_request_is_not_admitted_again(self) -> None:
        """A faulty client reuses the id of a request that has just ended, with another key.

        The processor rejected its start, which released the key of the first request: the next retry of the
        first request ran a second time.
        """
        now = time.time()
        client, faulty_client = mock.Mock(), mock.Mock()

        def keyed_request(id: str, key: str, client: mock.Mock) -> messages.RequestReceived:
            body = key.encode()
            return messages.RequestReceived(
                client, 1, messages.RequestHeader(id, 1, 0, 1, now, 2.0, 9.0, 0.5, key, None, body)
            )

        for event in (
            messages.ProcessorReady(False, 0.0),
            messages.ProcessorSynced(1),
            keyed_request("a" * 16, "k", client),
        ):
            self.dispatcher.handle(now, event)
        self.dispatcher.execute_decisions(now)
        self.assertEqual(self.count_starts(), 1)
        self.dispatcher.handle(now, messages.RunEnded("a" * 16, Outcome.OK, b"done", 0.003))
        self.dispatcher.handle(now, keyed_request("a" * 16, "other", faulty_client))
        self.dispatcher.execute_decisions(now)
        self.dispatcher.handle(now, messages.CommandRejected("a" * 16, messages.StartRun))
        self.dispatcher.handle(now, keyed_request("b" * 16, "k", client))
        self.dispatcher.execute_decisions(now)
        self.assertEqual(self.count_starts(), 1)
        self.assertEqual(
            [call.args[0].verdict for call in faulty_client.send.call_args_list], [extensions.Verdict.FAILED]
        )
        answers = [(call.args[0].verdict, call.args[0].body) for call in client.send.call_args_list]
        self.assertEqual(answers, [(extensions.Verdict.SERVED, b"done")] * 2)

    def test_server_without_dependency(self) -> None:
        """Its start file names no dependency, and no call is made. The server used to fail at the start."""
        given = start_file_with(settings__family_info__below="silent")
        del given["db"]
        self.assertIsNone(start_file.read_server_settings(given).dependency)
        dependency_client = dependency.DependencyClient(None, self.dispatcher.inbox)
        self.assertFalse(dependency_client.send(messages.StartCall(REF, 1.0, b"")))
        dependency_client.outbox.close()
        dependency_client.outbox_reader.close()
        with self.assertRaisesRegex(start_file.StartFileError, "lacks 'db'"):
            start_file.read_server_settings(given | {"settings": start_file_with()["settings"]})

    async def test_events_are_batched_under_load(self) -> None:
        """Small batches are handled at once; a large one waits a tick, and its events share one decision."""
        for at_once, decisions in [(1, 8), (dispatcher.BATCHING_THRESHOLD, 2)]:
            self.setUp()
            self.dispatcher.tick = 0.05
            with mock.patch.object(
                self.dispatcher, "execute_decisions", side_effect=lambda now: None
            ) as decide:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.dispatcher.run)
                    for batch in range(8 // at_once):
                        for _ in range(at_once):
                            self.dispatcher.inbox.send_nowait(messages.GaugesRead(()))
                        await until(lambda n=batch: decide.call_count > n)
                    await anyio.sleep(0.06)  # no further decision may follow
                    tasks.cancel_scope.cancel()
            self.assertEqual(decide.call_count, decisions)


if __name__ == "__main__":
    unittest.main()
