"""Messages that cross each other: events in critical orders at the dispatcher and its peers."""

from __future__ import annotations

import time
import unittest
from typing import Any
from unittest import mock

import anyio

from examples.fakes import Database, Processor, Roster
from fakes.dispatcher import KEYED, START, SimulatedDispatcher
from tests.app_server import start_file_with
from thymeyoke.admission.events import Outcome
from thymeyoke.configuration import start_file
from thymeyoke.configuration.start_file import Address
from thymeyoke.runtime.logs import counters
from thymeyoke.server import dependency, endpoint_registry, messages, processor

NAMES = start_file.read_request_names(start_file_with()["settings"])
SERVED, FAILED, REJECTED = ["served"], ["failed"], ["rejected"]


class DispatcherTestCase(unittest.TestCase):
    def simulated(self, stop: float = 2.0, **changed: Any) -> SimulatedDispatcher:
        here = SimulatedDispatcher(stop, start_file_with(**changed)["settings"])
        self.addCleanup(here.close)
        return here


class DrainTest(DispatcherTestCase):
    def test_policy_answers_all_requests_before_the_final_deadline(self) -> None:
        """Requests arrive until the end and no run ends; cases by stop timeout, grace, slack and tick."""
        figures = [
            (3.2, 2.0, 0.06, 0.004), (2.0, 0.5, 0.1, 0.004), (2.0, 0.5, 0.0, 0.004), (2.0, 0.5, 0.06, 0.01),
            (2.0, 0.0, 0.4, 0.004), (0.6, 0.5, 0.4, 0.004), (0.2, 0.5, 0.06, 0.004), (0.2, 0.1, 0.4, 0.004),
            (0.12, 0.5, 0.02, 0.001), (1.0, 3.0, 1.0, 0.05),
        ]  # fmt: skip
        for stop, grace, slack, tick in figures:
            with self.subTest(stop=stop, grace=grace, slack=slack, tick=tick):
                contract = {"answer_slack_us": slack, "drain_grace_us": grace}
                seconds = {f"settings__contract__{name}": value for name, value in contract.items()}
                seconds["settings__tick_us"] = tick
                self.drain(stop, {name: int(value * 1e6) for name, value in seconds.items()})

    def drain(self, stop: float, changed: dict[str, int]) -> None:
        here, broken = self.simulated(stop, **changed), counters["invariants_violated_answered_in_time"]
        here.run_until(START + 1.0)
        here.hear(here.arrive("first"))
        notice = here.now
        here.hear(messages.ShutdownRequested(notice))
        while here.now < notice + stop and not here.dispatcher.drain.is_done:
            here.run_until(here.now + 0.005, late=0.004)
            if not here.dispatcher.drain.is_done:
                here.hear(here.arrive(f"{here.now}"))
        self.assertTrue(here.dispatcher.drain.is_done)
        self.assertLess(here.now, notice + stop)
        self.assertEqual(counters["invariants_violated_answered_in_time"], broken)
        self.assertEqual({len(answers) for answers in here.answers.values()}, {1})
        self.assertIn(mock.call(messages.CloseListener()), here.listener.notify.call_args_list)

    def test_process_about_to_end_accepts_no_connection(self) -> None:
        """Without connections at the notice the listener used to stay open until the process ended."""
        here = self.simulated()
        here.listener.connections.clear()
        here.listener.notify.side_effect = lambda _: here.listener.connections.add("waited in the queue")
        here.hear(messages.ShutdownRequested(here.now))
        self.assertEqual(here.listener.notify.call_args_list[-1], mock.call(messages.CloseListener()))
        here.run_until(START + 1.0)
        self.assertFalse(here.dispatcher.drain.is_done)
        here.listener.connections.clear()
        here.hear(messages.AllConnectionsClosed())
        here.run_until(START + 1.1)
        self.assertTrue(here.dispatcher.drain.is_done)


class IdempotencyKeys(DispatcherTestCase):
    def setUp(self) -> None:
        self.here = self.simulated()

    def keyed_request(self, id: str, **changed: Any) -> messages.RequestReceived:
        return self.here.arrive(id, KEYED, **changed)

    def test_one_of_several_attempts_runs_if_the_first_is_rejected(self) -> None:
        """Requests of their class take 0.5 s, and the first attempt has less time left than that."""
        here = self.here
        here.hear(self.keyed_request("history", idempotency_key="f" * 32))
        here.now += 0.5
        here.hear(messages.RunEnded("history", Outcome.OK, b""))
        here.hear(self.keyed_request("1", client_timeout=0.3), *(self.keyed_request(id) for id in "234"))
        self.assertEqual(here.begun(), ["history", "2"])
        here.hear(messages.RunEnded("2", Outcome.OK, b"made"))
        self.assertEqual(here.verdicts(*"1234"), [REJECTED, SERVED, SERVED, SERVED])

    def test_attempts_in_one_batch_with_a_rejected_start(self) -> None:
        """The third attempt used to be matched with the request that had just ended, and got no answer."""
        here = self.here
        here.hear(self.keyed_request("1"))
        here.hear(
            self.keyed_request("2"), messages.CommandRejected("1", messages.StartRun), self.keyed_request("3")
        )
        self.assertEqual(here.begun(), ["1", "3"])
        here.hear(messages.RunEnded("3", Outcome.OK, b"made"))
        self.assertEqual(here.verdicts(*"123"), [FAILED, FAILED, SERVED])

    def test_attempt_within_the_window_is_not_run_again(self) -> None:
        """An attempt comes in between, with another body and a clock that is ahead, or after the window.

        The processor rejects its start, and the last attempt is read after it.
        """
        here, window = self.here, self.here.dispatcher.classes[KEYED].idempotency_window
        for ahead, moment in [(0.9, -0.5), (0.0, 0.1)]:
            with self.subTest(ahead=ahead):
                first, between, last = (f"{name} {ahead}" for name in ("first", "between", "last"))
                key, end = f"{ahead:032}", here.now + window
                here.hear(self.keyed_request(first, idempotency_key=key))
                here.hear(messages.RunEnded(first, Outcome.OK, b"made"))
                here.run_until(end + moment)
                here.hear(
                    self.keyed_request(
                        between, idempotency_key=key, received_at=here.now + ahead, body=b"other"
                    )
                )
                here.hear(messages.CommandRejected(between, messages.StartRun))
                here.hear(self.keyed_request(last, idempotency_key=key, received_at=end - 0.01))
                self.assertNotIn(last, here.begun())
                self.assertEqual([answer.body for answer in here.answers[last]], [b"made"])

    def test_reused_id_of_an_abandoned_retry_gets_no_foreign_result(self) -> None:
        here = self.here
        here.hear(self.keyed_request("1"))
        here.hear(repeat := self.keyed_request("2"))
        here.hear(messages.ClientGone("2", repeat.client))
        here.hear(here.arrive("2"))
        here.hear(messages.RunEnded("1", Outcome.OK, b"made"))
        self.assertEqual(here.verdicts(*"12"), [SERVED, []])
        here.hear(messages.RunEnded("2", Outcome.OK, b"its own"))
        self.assertEqual([answer.body for answer in here.answers["2"]], [b"its own"])

    def test_start_whose_rejection_is_lost_frees_the_core_but_not_the_key(self) -> None:
        """A rejection has no number and is lost with its link; the keyed start is not sent again."""
        here = self.here
        for event in (
            self.keyed_request("1"),
            self.keyed_request("2"),
            messages.ProcessorDisconnected(),
            messages.ProcessorSynced(2, frozenset("1")),
        ):
            here.hear(event)
        here.run_until(here.now + 4.0)
        self.assertEqual((here.dispatcher.in_flight.by_id, here.dispatcher.controller.running.total), ({}, 0))
        here.hear(self.keyed_request("3"))
        self.assertEqual(here.begun(), ["1"])
        self.assertEqual(here.verdicts(*"123"), [FAILED] * 3)

    def test_start_rejected_on_two_links_frees_the_core(self) -> None:
        """An idempotent start is sent again; the first rejection is lost with its link."""
        here = self.here
        here.hear(here.arrive("1"))
        here.hear(messages.ProcessorDisconnected(), messages.ProcessorSynced(2, frozenset("1")))
        self.assertEqual(here.begun(), ["1", "1"])
        here.hear(messages.CommandRejected("1", messages.StartRun))
        self.assertEqual((here.dispatcher.in_flight.by_id, here.dispatcher.controller.running.total), ({}, 0))
        self.assertEqual(here.verdicts("1"), [FAILED])

    def test_results_beyond_the_memory_limit_are_dropped_but_their_keys_kept(self) -> None:
        here, keys = self.here, [f"{at:032}" for at in range(3)]
        here.dispatcher.retained.max_bytes = 8192
        for key in keys:
            here.hear(self.keyed_request(key, idempotency_key=key))
            here.hear(messages.RunEnded(key, Outcome.OK, bytes(4096)))
        here.hear(*(self.keyed_request(f"again {key}", idempotency_key=key) for key in keys))
        self.assertEqual(here.begun(), keys)
        self.assertEqual(here.verdicts(*(f"again {key}" for key in keys)), [FAILED, SERVED, SERVED])
        here.run_until(here.now + 60)
        self.assertEqual(
            (here.dispatcher.retained.size_bytes, len(here.dispatcher.retained.ids_with_body)), (0, 0)
        )


class PeerClients(unittest.IsolatedAsyncioTestCase):
    async def test_notice_waiting_for_a_full_mailbox_is_delivered_after_the_link_is_closed(self) -> None:
        """The address changes, or a write fails, while the dispatcher lags behind."""
        inbox, events = anyio.create_memory_object_stream[messages.Event](1)
        link = processor.ProcessorClient(Address("127.0.0.1", 1), NAMES, inbox)
        notice = b'{"event":"complete","cursor":%d,"handle":"1","fate":"OK","lasted":1,"arg":""}'
        with inbox, events, link.outbox, link.outbox_reader:
            async with anyio.create_task_group() as tasks:
                await link._handle_line(notice % 1)
                tasks.start_soon(link._handle_line, notice % 2)
                await anyio.wait_all_tasks_blocked()
                tasks.cancel_scope.cancel()
                with anyio.CancelScope(shield=True), anyio.fail_after(5):
                    self.assertEqual([(await events.receive()).id for _ in "12"], ["1", "1"])

    async def test_link_opened_during_an_address_change_is_closed(self) -> None:
        old, new, connect = Processor(), Processor(), anyio.connect_tcp
        inbox, events = anyio.create_memory_object_stream[messages.Event](9)
        async with anyio.create_task_group() as tasks:
            for listener in (old, new):
                await tasks.start(listener.run)
            link = processor.ProcessorClient(Address("127.0.0.1", old.port), NAMES, inbox)

            async def connect_during_change(*where: Any) -> Any:
                stream = await connect(*where)
                if where[1] == old.port:
                    link.send(messages.AddressChanged(Address("127.0.0.1", new.port)))
                return stream

            with inbox, events, link.outbox, link.outbox_reader:
                with mock.patch.object(anyio, "connect_tcp", connect_during_change):
                    tasks.start_soon(link.run)
                    await new.until(lambda: new.heard)
                tasks.cancel_scope.cancel()
        self.assertEqual(old.heard, [])

    async def test_reports_go_to_the_registry_configured_last(self) -> None:
        """The start file is reloaded several times, and the drain begins, while a report hangs.

        The server's name contains a space.
        """
        silent, last = Roster(status=0), Roster()
        async with anyio.create_task_group() as tasks:
            for listener in (silent, last):
                await tasks.start(listener.run)
            client = endpoint_registry.EndpointRegistryClient(Address("127.0.0.1", silent.port), "n 3")
            with client.outbox, client.outbox_reader:
                tasks.start_soon(client.run)
                await silent.until(lambda: silent.reports)
                for port in (*range(1, 8), last.port):
                    client.send(messages.AddressChanged(Address("127.0.0.1", port)))
                client.send(messages.HealthChanged(False))
                await last.until(lambda: last.reports)
                self.assertEqual(last.reports[0], ("/ns/hosts/n%203", "no"))
                tasks.cancel_scope.cancel()

    async def test_no_call_goes_to_the_old_dependency_address(self) -> None:
        """All connections that are allowed are busy with the old address; they end by themselves."""
        old, new = Database(None), Database()
        inbox, events = anyio.create_memory_object_stream[messages.Event](9)
        async with anyio.create_task_group() as tasks:
            for listener in (old, new):
                await tasks.start(listener.run)
            client = dependency.DependencyClient(Address("127.0.0.1", old.port), inbox)
            with (
                inbox,
                events,
                client.outbox,
                client.outbox_reader,
                mock.patch.object(dependency, "MAX_CONNECTIONS", 2),
            ):
                tasks.start_soon(client.run)
                for id in "12":
                    client.send(messages.StartCall(id, time.time() + 30, b""))
                await old.until(lambda: len(old.heard) == 2)
                client.send(messages.AddressChanged(Address("127.0.0.1", new.port)))
                client.send(messages.StartCall("3", time.time() + 30, b""))
                await new.until(lambda: new.heard)
                self.assertEqual((await events.receive()).outcome, Outcome.OK)
                tasks.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
