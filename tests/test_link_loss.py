"""Losses of the processor's link: no run is started twice, and none keeps its core for good."""

from __future__ import annotations

import unittest
from base64 import b64encode
from typing import Any, cast
from unittest import mock

import anyio
import orjson
from anyio.abc import SocketStream

from examples.fakes import Processor
from fakes.dispatcher import KEYED, READ, SimulatedDispatcher
from tests.app_server import running_server, start_file_with, until
from thymeyoke.admission import actions
from thymeyoke.admission.events import Outcome
from thymeyoke.configuration import start_file
from thymeyoke.runtime import logs
from thymeyoke.server import messages, processor, unconfirmed_runs

NAMES = start_file.read_request_names(start_file_with()["settings"])
KEY = {"replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
SERVED, FAILED = ["served"], ["failed"]
NOT_IDEMPOTENT = 2  # request class of the settings below
EFFECTS = ("retryable", "dedup", "fragile")  # of the request classes, in order
RESPONSE_SECONDS = 0.3
SILENCE_SECONDS = unconfirmed_runs.SILENCE_FACTOR * RESPONSE_SECONDS


def settings() -> dict[str, Any]:
    """The toy's settings, with one class for each effect."""
    row = start_file_with()["settings"]["request_classes"][KEYED]
    classes = [row | {"name": effect, "effect": effect} for effect in EFFECTS]
    return start_file_with(
        settings__request_classes=classes,
        settings__family_info__class_calls=[True] * len(EFFECTS),
        settings__family_info__worth_without=[0.5] * len(EFFECTS),
    )["settings"]


class EndingAtSync(Processor):
    """Its run ends just after it has synced the second link: both reach the app server in one piece."""

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        if b'"sync2"' in data:
            [id] = self.runs
            del self.runs[id]
            result = b64encode(b"did it").decode()
            notice = {"event": "complete", "handle": id, "fate": "OK", "lasted": 1, "arg": result}
            self.notices.append(orjson.dumps(notice | {"cursor": len(self.notices) + 1}) + b"\n")
            data += self.notices[-1]
        await super()._send(stream, data)


class AskingAtSync(Processor):
    """Its run makes two calls, and asks for the second just after it has synced the second link."""

    def __init__(self) -> None:
        super().__init__(span=0.0, calls=2)
        self.next_call: dict[str, Any] | None = None  # held back until the second link is synced

    async def notice(self, **said: Any) -> None:
        is_next = said["event"] == "ask" and any(b'"ask"' in notice for notice in self.notices)
        if is_next and self.next_call is None:
            self.next_call = said
            self._changes()
        else:
            await super().notice(**said)

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        if b'"sync2"' in data and self.next_call:
            notice = self.next_call | {"cursor": len(self.notices) + 1}
            self.notices.append(orjson.dumps(notice) + b"\n")
            data += self.notices[-1]
        await super()._send(stream, data)


class GoingSilent(Processor):
    """While it is silent, commands that reach it are lost, and nothing is answered."""

    def __init__(self) -> None:
        super().__init__(calls=0)
        self.is_silent = False
        self.lost: list[bytes] = []

    async def speak(self, stream: SocketStream) -> None:
        await super().speak(cast(SocketStream, LossyStream(stream, self)))


class LossyStream:
    """The link of a processor that may be silent."""

    def __init__(self, stream: SocketStream, processor: GoingSilent) -> None:
        self.stream, self.processor = stream, processor

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive what is not lost."""
        while data := await self.stream.receive(max_bytes):
            if not self.processor.is_silent:
                break
            self.processor.lost.append(data)
            self.processor._changes()
        return data

    async def send(self, data: bytes) -> None:
        """Send to the app server."""
        await self.stream.send(data)


class LinkLossOnSockets(unittest.IsolatedAsyncioTestCase):
    @mock.patch.object(processor, "CONFIRMATION_TIMEOUT_SECONDS", 30.0)
    async def test_commands_wait_while_the_processor_confirms_nothing(self) -> None:
        """Those that were not written when the link is lost are known not to be received, and are sent."""
        async with running_server(GoingSilent()) as here:
            router, work = await here.router(), here.processor
            work.is_silent = True
            numbers = [await router.ask("buy", b"0", replay="0" * 32)]
            await work.until(lambda: any(b"begin" in data for data in work.lost))
            numbers += [await router.ask("buy", b"%d" % key, replay=f"{key}" * 32) for key in (1, 2, 3)]
            await until(lambda: logs.counters["requests_received"] == len(numbers))
            await work.cut()
            work.is_silent = False
            answers = [await router.answer(number) for number in numbers[1:]]
            self.assertEqual([result[0] for _, result in answers], [b"did 1", b"did 2", b"did 3"])
            error, _ = await router.answer(numbers[0])
            self.assertEqual((error[0], len(work.begun)), ("Fault", 3))

    async def test_result_of_a_call_is_not_taken_for_that_of_the_next_call(self) -> None:
        """Guards against a wrong reply to a dependency call after a loss of the processor's link."""
        async with running_server(AskingAtSync()) as here:
            router, work = await here.router(), here.processor
            number = await router.ask("look", b"it")
            await work.until(lambda: work.next_call)
            await work.cut()
            error, result = await router.answer(number)
            self.assertIsNone(error)
            self.assertEqual(result[0], b"did it with rows for 0 it with rows for 1 it")

    async def test_keyed_run_that_ends_as_its_link_is_synced_is_not_started_again(self) -> None:
        """Guards against a second run of a keyed request after a loss of the processor's link."""
        async with running_server(EndingAtSync(calls=0, held=True)) as here:
            router, work = await here.router(), here.processor
            number = await router.ask("buy", b"it", **KEY)
            await work.until(lambda: work.runs)
            await work.cut()
            self.assertEqual((await router.answer(number))[1][0], b"did it")
            heard = len(work.heard)
            await work.until(lambda: any(said.get("ticket") == "gauges" for said in work.heard[heard:]))
            self.assertEqual(len(work.begun), 1)
            retried = await router.answer(await router.ask("buy", b"it", **KEY))
            self.assertEqual((retried[1][0], len(work.begun)), (b"did it", 1))


class ConfirmingLate(Processor):
    """It confirms no command before it is told to."""

    def __init__(self) -> None:
        super().__init__(calls=0, held=True)
        self.may_confirm = anyio.Event()

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        if b'"confirm' in data:
            await self.may_confirm.wait()
        await super()._send(stream, data)


class LinkMove(unittest.IsolatedAsyncioTestCase):
    async def move(self, *, is_confirmed: bool) -> list[messages.Event]:
        """Move a link with one command on its way and one that waits; return the events of the new link."""
        old, new = ConfirmingLate(), Processor()
        inbox, events = anyio.create_memory_object_stream[messages.Event](16)
        async with anyio.create_task_group() as tasks:
            for listener in (old, new):
                await tasks.start(listener.run)
            address = start_file.Address("127.0.0.1", old.port)
            client = processor.ProcessorClient(address, NAMES, inbox)
            with inbox, events, client.outbox, client.outbox_reader:
                tasks.start_soon(client.run)
                while not isinstance(await events.receive(), messages.ProcessorSynced):
                    pass
                client.send(messages.StartRun("1", 0, b""))
                await old.until(lambda: old.begun)
                client.send(messages.AddressChanged(start_file.Address("127.0.0.1", new.port)))
                client.send(messages.StartRun("2", 0, b""))
                await anyio.sleep(0.05)
                if is_confirmed:
                    self.assertEqual(new.heard, [])
                    old.may_confirm.set()
                moved = [await events.receive()]
                while not isinstance(moved[-1], messages.ProcessorSynced):
                    moved.append(await events.receive())
                tasks.cancel_scope.cancel()
        self.assertEqual(old.begun, ["1"])
        return moved

    async def test_link_moves_once_its_commands_are_confirmed(self) -> None:
        """Guards against commands in doubt, or sent twice, after a change of the processor's address."""
        with mock.patch.object(processor, "CONFIRMATION_TIMEOUT_SECONDS", 30.0):
            moved = await self.move(is_confirmed=True)
        discarded = messages.CommandsDiscarded(frozenset("2"))
        self.assertEqual(moved[-2:], [discarded, messages.ProcessorSynced(2, frozenset())])

    async def test_link_moves_though_its_commands_are_not_confirmed(self) -> None:
        """The old address may take nothing any more; what was written to it is in doubt."""
        with mock.patch.object(processor, "CONFIRMATION_TIMEOUT_SECONDS", 0.1):
            moved = await self.move(is_confirmed=False)
        discarded = messages.CommandsDiscarded(frozenset("2"))
        self.assertEqual(moved[-2:], [discarded, messages.ProcessorSynced(2, frozenset("1"))])


class LinkLossTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.here = SimulatedDispatcher(2.0, settings())
        self.addCleanup(self.here.close)

    def lose_link(self, *possibly_lost: str, link: int = 2) -> None:
        synced = messages.ProcessorSynced(link, frozenset(possibly_lost))
        self.here.hear(messages.ProcessorDisconnected(), synced)

    def learn_response_time(self, class_index: int) -> None:
        """Let runs of this class respond at once, one of them after `RESPONSE_SECONDS`."""
        for number in range(unconfirmed_runs.MIN_RESPONSES):
            id = f"before {number}"
            self.here.hear(self.here.arrive(id, class_index, idempotency_key=None))
            if not number:
                self.here.run_until(self.here.now + RESPONSE_SECONDS)
            self.here.hear(messages.RunEnded(id, Outcome.OK, b"made"))

    def begun(self) -> list[str]:
        """The requests that were started since the response time was learned."""
        return [id for id in self.here.begun() if not id.startswith("before")]

    def running(self) -> int:
        return self.here.dispatcher.controller.running.total

    def sent(self, id: str) -> list[str]:
        """The commands that were sent for a request, by type."""
        commands = [call.args[0] for call in self.here.processor.send.call_args_list]
        return [type(each).__name__ for each in commands if getattr(each, "id", None) == id]


class LinkLossTest(LinkLossTestCase):
    def test_start_is_sent_again_only_if_it_may_run_twice_or_was_not_received(self) -> None:
        """A table: the class, whether the start is possibly lost, never written, or received; starts."""
        lost, discarded, received = "lost", "discarded", "received"
        for class_index, fate, starts in [
            (READ, lost, 2), (KEYED, lost, 1), (NOT_IDEMPOTENT, lost, 1),
            (READ, discarded, 2), (KEYED, discarded, 2), (NOT_IDEMPOTENT, discarded, 2),
            (READ, received, 1), (KEYED, received, 1), (NOT_IDEMPOTENT, received, 1),
        ]:  # fmt: skip
            with self.subTest(effect=EFFECTS[class_index], fate=fate):
                self.setUp()
                self.here.hear(self.here.arrive("1", class_index))
                self.here.hear(messages.ProcessorDisconnected())
                if fate == discarded:
                    self.here.hear(messages.CommandsDiscarded(frozenset({"1", "unknown"})))
                self.lose_link(*("1" if fate == lost else ""))
                self.assertEqual(self.sent("1"), ["StartRun"] * starts)
                self.here.hear(messages.RunEnded("1", Outcome.OK, b"made"))
                self.assertEqual((self.here.verdicts("1"), self.running()), ([SERVED], 0))

    def test_command_without_a_call_number_is_not_sent_again(self) -> None:
        """A table: what is sent for a request whose run waits for a call, and whether a loss repeats it."""
        result = messages.CallEnded("1", Outcome.OK, b"rows", 0.01)
        for class_index in (READ, KEYED, NOT_IDEMPOTENT):
            for command, fate, sent in [
                ("CallResult", "lost", 1), ("CallResult", "discarded", 2),
                ("ContinueWithoutCall", "lost", 1), ("ContinueWithoutCall", "discarded", 2),
                ("ResumeRun", "lost", 2), ("ResumeRun", "discarded", 2),
            ]:  # fmt: skip
                with self.subTest(effect=EFFECTS[class_index], command=command, fate=fate):
                    self.setUp()
                    execute = self.here.dispatcher.executor.execute
                    self.here.hear(self.here.arrive("1", class_index))
                    if command == "ResumeRun":
                        execute(self.here.now, actions.Stop("1"))
                        execute(self.here.now, actions.Run("1"))
                    else:
                        self.here.hear(messages.DependencyCallRequested("1", b"call"))
                        if command == "CallResult":
                            self.here.hear(result)
                        else:
                            execute(self.here.now, actions.ContinueDegraded("1"))
                    self.here.hear(messages.ProcessorDisconnected())
                    if fate == "discarded":
                        self.here.hear(messages.CommandsDiscarded(frozenset("1")))
                    self.lose_link(*("1" if fate == "lost" else ""))
                    self.assertEqual(self.sent("1").count(command), sent)
                    self.here.hear(messages.RunEnded("1", Outcome.OK, b"made"))
                    self.assertEqual((self.here.verdicts("1"), self.running()), ([SERVED], 0))

    def test_run_that_never_got_its_reply_is_given_up(self) -> None:
        """It waits at its call for good: its request fails, of any class, and its core is free."""
        for class_index in (READ, KEYED, NOT_IDEMPOTENT):
            with self.subTest(effect=EFFECTS[class_index]):
                self.setUp()
                self.learn_response_time(class_index)
                self.here.hear(self.here.arrive("1", class_index))
                self.here.hear(messages.DependencyCallRequested("1", b"call"))
                self.here.hear(messages.CallEnded("1", Outcome.OK, b"rows", 0.01))
                self.lose_link("1")
                self.here.run_until(self.here.now + 2 * SILENCE_SECONDS)
                self.assertEqual((self.here.verdicts("1"), self.running()), ([FAILED], 0))
                self.assertEqual((self.sent("1").count("StartRun"), self.sent("1")[-1]), (1, "StopRun"))

    def test_run_that_ends_in_the_batch_of_the_sync_is_not_started_again(self) -> None:
        """The dispatcher hears that the link is synced before it hears of the end."""
        for class_index in (KEYED, NOT_IDEMPOTENT):
            with self.subTest(effect=EFFECTS[class_index]):
                self.setUp()
                self.here.hear(self.here.arrive("1", class_index))
                synced = messages.ProcessorSynced(2, frozenset("1"))
                ended = messages.RunEnded("1", Outcome.OK, b"made")
                self.here.hear(messages.ProcessorDisconnected(), synced, ended)
                self.assertEqual((self.sent("1"), self.here.verdicts("1")), (["StartRun"], [SERVED]))

    def test_silent_run_is_given_up_and_its_key_never_runs(self) -> None:
        """The start was lost: its request fails, its core is free, and no retry runs."""
        self.learn_response_time(KEYED)
        self.here.hear(self.here.arrive("1", KEYED))
        self.lose_link("1")
        started_at = self.here.now
        self.here.hear(self.here.arrive("2", KEYED))  # a retry waits for the result
        self.here.run_until(started_at + 0.9 * SILENCE_SECONDS)
        self.assertEqual(self.here.verdicts("1", "2"), [[], []])
        self.here.run_until(started_at + 1.1 * SILENCE_SECONDS)
        self.assertEqual((self.here.verdicts("1", "2"), self.running()), ([FAILED, FAILED], 0))
        self.here.hear(self.here.arrive("3", KEYED))
        self.assertEqual((self.here.verdicts("3"), self.begun()), ([FAILED], ["1"]))

    def test_silence_of_a_run_that_was_given_up_is_no_response(self) -> None:
        """Each loss used to raise the time after which the next silent run was given up."""
        self.learn_response_time(NOT_IDEMPOTENT)
        for number in range(3):
            self.here.hear(self.here.arrive(f"{number}", NOT_IDEMPOTENT))
            self.lose_link(f"{number}", link=2 + number)
            self.here.run_until(self.here.now + 1.1 * SILENCE_SECONDS)
            self.assertEqual((self.here.verdicts(f"{number}"), self.running()), ([FAILED], 0))

    def test_result_of_a_run_that_was_given_up_answers_later_retries(self) -> None:
        self.learn_response_time(KEYED)
        self.here.hear(self.here.arrive("1", KEYED))
        self.lose_link("1")
        self.here.run_until(self.here.now + 2 * SILENCE_SECONDS)
        self.here.hear(messages.RunEnded("1", Outcome.OK, b"made"))
        self.here.hear(self.here.arrive("2", KEYED))
        self.assertEqual(self.here.verdicts("1", "2"), [FAILED, SERVED])
        self.assertEqual((self.here.answers["2"][0].body, self.begun()), (b"made", ["1"]))

    def test_run_that_is_heard_of_is_not_given_up(self) -> None:
        """A notice shows that the start was received; from then on the run may be silent for long."""
        self.learn_response_time(KEYED)
        self.here.hear(self.here.arrive("1", KEYED))
        self.lose_link("1")
        self.here.hear(messages.DependencyCallRequested("1", b"call"))
        self.here.hear(messages.CallEnded("1", Outcome.OK, b"rows", 0.01))
        self.here.run_until(self.here.now + 3 * SILENCE_SECONDS)
        self.assertEqual(self.here.verdicts("1"), [[]])
        self.here.hear(messages.RunEnded("1", Outcome.OK, b"made"))
        self.assertEqual((self.here.verdicts("1"), self.running()), ([SERVED], 0))

    def test_silent_run_is_not_given_up_while_there_is_no_link(self) -> None:
        """Its notice waits at the processor; used to fail requests whose run had ended well."""
        for outage in (0.5 * SILENCE_SECONDS, 2 * SILENCE_SECONDS):
            with self.subTest(outage=outage):
                self.setUp()
                self.learn_response_time(KEYED)
                self.here.hear(self.here.arrive("1", KEYED))
                self.lose_link("1")
                self.here.run_until(self.here.now + 0.5 * SILENCE_SECONDS)
                self.here.hear(messages.ProcessorDisconnected())
                self.here.run_until(self.here.now + outage)
                self.here.hear(messages.ProcessorSynced(3))
                self.here.run_until(self.here.now + 0.9 * SILENCE_SECONDS)
                self.assertEqual((self.here.verdicts("1"), self.running()), ([[]], 1))
                self.here.run_until(self.here.now + 0.2 * SILENCE_SECONDS)
                self.assertEqual((self.here.verdicts("1"), self.running()), ([FAILED], 0))

    def test_without_known_response_times_a_silent_run_keeps_its_core_until_its_deadline(self) -> None:
        """One quick response tells nothing of the next run."""
        self.here.hear(self.here.arrive("before", KEYED, idempotency_key=None))
        self.here.hear(messages.RunEnded("before", Outcome.OK, b"made"))
        self.here.hear(self.here.arrive("1", KEYED))
        self.lose_link("1")
        self.here.run_until(self.here.now + 0.9 * self.here.dispatcher.classes[KEYED].latency_objective)
        self.assertEqual((self.here.verdicts("1"), self.running()), ([[]], 1))
        self.here.run_until(self.here.now + 3.0)
        self.assertEqual((self.here.verdicts("1"), self.running()), ([FAILED], 0))
        self.assertEqual(len(self.here.dispatcher.in_flight), 0)

    def test_run_of_an_abandoned_request_is_given_up_too(self) -> None:
        """Its client is gone, and its core would otherwise stay taken."""
        self.learn_response_time(KEYED)
        self.here.hear(one := self.here.arrive("1", KEYED))
        self.lose_link("1")
        self.here.hear(messages.ClientGone("1", one.client))
        self.here.run_until(self.here.now + 2 * SILENCE_SECONDS)
        self.assertEqual((self.here.verdicts("1"), self.running()), ([[]], 0))
        self.assertEqual(len(self.here.dispatcher.in_flight), 0)


class RecentMaximumTest(unittest.TestCase):
    def test_values_are_forgotten_after_two_windows_at_most(self) -> None:
        window = unconfirmed_runs.RESPONSE_WINDOW_SECONDS
        for after, largest in [(0.0, 3.0), (0.9, 3.0), (1.1, 3.0), (2.1, None)]:
            with self.subTest(windows=after):
                maximum = unconfirmed_runs.RecentMaximum()
                for number in range(unconfirmed_runs.MIN_RESPONSES):
                    self.assertIsNone(maximum.get(1000.0))
                    maximum.add(1000.0, 3.0 if number == 1 else 1.0)
                self.assertEqual(maximum.get(1000.0 + after * window), largest)


if __name__ == "__main__":
    unittest.main()
