"""A server on real sockets with fake peers."""

from __future__ import annotations

import logging
import os
import signal
import socket
import time
import unittest
from contextlib import suppress
from unittest import mock

import anyio
import msgpack

from examples.fakes import Database, Processor, Roster
from fakes.processes import Spent
from tests.app_server import every_split, retried, running_server, start_file_with, until
from thymeyoke.admission.controller import AdmissionController
from thymeyoke.configuration import start_file
from thymeyoke.runtime import extensions, invariants, logs
from thymeyoke.server import (
    client_connection,
    dependency,
    dependency_connection,
    dispatcher,
    drain,
    listener,
    messages,
    processor,
)

NAMES = start_file.read_request_names(start_file_with()["settings"])
KEY = {"replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}


@retried
class ServerOnSockets(unittest.IsolatedAsyncioTestCase):
    times = 1

    def setUp(self) -> None:
        logs.counters.clear()

    async def test_each_request_gets_the_result_of_its_run(self) -> None:
        async with running_server() as here:
            router, body = await here.router(), bytes(range(256)) * 8
            numbers = [await router.ask("look", body), await router.ask("buy", b"", **KEY)]
            for number, result in zip(numbers, (body, b""), strict=True):
                error, (made, fields) = await router.answer(number)
                self.assertIsNone(error)
                self.assertEqual(made, b"did " + result + b" with rows for 0 " + result)
                self.assertLessEqual(set(fields), {"pressure"})
            self.assertEqual(len(here.processor.begun), 2)
            while "pressure" not in (await router.answer(await router.check()))[1][1]:
                await anyio.sleep(0.02)  # sent after the controller's first interval

    async def test_dispatcher_waits_only_for_its_mailbox(self) -> None:
        """A pause for the end of a drain used to delay every batch."""
        async with running_server() as here:
            router, spent = await here.router(), Spent()
            for _ in range(40):
                await router.answer(await router.check())
            self.assertLess(spent.seconds(), 40 * drain.LATE_REQUEST_WINDOW_SECONDS / 2)

    async def test_retries_get_the_result_of_the_single_run(self) -> None:
        """Retries in the same batch, during the run and after its end."""
        async with running_server(Processor(held=True)) as here:
            router = await here.router()
            first, one = router.frame("buy", b"x", **KEY)
            second, two = router.frame("buy", b"x", **KEY)
            await router.stream.send(one + two)
            await here.processor.until(lambda: here.processor.runs)
            third = await router.ask("buy", b"x", **KEY)
            other = await router.ask("buy", b"y", replay="f" * 32)
            await here.processor.until(lambda: len(here.processor.begun) == 2)
            for id in here.processor.begun:
                here.processor.end(id)
            answers = [await router.answer(number) for number in (first, second, third, other)]
            answers.append(await router.answer(await router.ask("buy", b"x", **KEY)))
            self.assertEqual([error for error, _ in answers], [None] * 5)
            self.assertEqual(len({result[0] for _, result in answers}), 2)
            self.assertEqual(len(here.processor.begun), 2)

    async def test_failed_run_fails_its_retries(self) -> None:
        async with running_server(database=Database("FAIL")) as here:
            router = await here.router()
            numbers = [await router.ask("buy", b"x", **KEY) for _ in range(2)]
            for number in [*numbers, await router.ask("buy", b"x", **KEY)]:
                self.assertEqual((await router.answer(number))[0][0], "Fault")
            self.assertEqual(len(here.processor.begun), 1)

    async def test_clients_that_disconnect(self) -> None:
        """A cancel or a reset abandons requests; closing the sending half alone does not."""
        async with running_server(Processor(calls=0, held=True)) as here:
            left, reset, halved = [await here.router() for _ in range(3)]
            number = await left.ask("look")
            await here.processor.until(lambda: len(here.processor.begun) == 1)
            await left.cancel(number)
            await here.processor.until(lambda: here.processor.heard[-1]["event"] == "interrupt")
            await reset.ask("look")
            await here.processor.until(lambda: len(here.processor.begun) == 2)
            await reset.reset()
            stopped = here.processor.begun[:2]
            await here.processor.until(lambda: {said["handle"] for said in here.processor.heard
                                                if said["event"] == "interrupt"} == set(stopped))  # fmt: skip
            number = await halved.ask("look", b"x")
            await here.processor.until(lambda: len(here.processor.begun) == 3)
            await halved.stream.send_eof()
            here.processor.end(here.processor.begun[2])
            self.assertIsNone((await halved.answer(number))[0])
            await halved.until(lambda: halved.closed)
            self.assertEqual((left.answers, logs.counters["requests_abandoned"]), ({}, 2))

    async def test_invalid_input_closes_only_its_own_connection(self) -> None:
        async with running_server() as here:
            correct, faulty, duplicate, malformed = [await here.router() for _ in range(4)]
            await faulty.stream.send(b"\xc1\xc1")
            await faulty.until(lambda: faulty.closed)
            _, frame = duplicate.frame("look", ref="a" * 16, allow="9000")
            await duplicate.stream.send(frame + frame)
            await duplicate.until(lambda: duplicate.closed)
            error, _ = await malformed.answer(await malformed.ask("sell"))
            self.assertEqual(error[0], "Shed")
            self.assertIsNone((await malformed.answer(await malformed.ask("look")))[0])
            for _ in range(
                client_connection.MAX_INVALID_REQUESTS
            ):  # each is sent once the one before is rejected
                await malformed.ask("sell")
            await malformed.until(lambda: malformed.closed)
            self.assertIsNone((await correct.answer(await correct.ask("look")))[0])

    async def test_limit_of_open_requests_and_duplicate_ids(self) -> None:
        async with running_server(Processor(calls=0, held=True)) as here:
            router, other = await here.router(), await here.router()
            first = await router.ask("look", ref="b" * 16)
            again = await other.ask("look", ref="b" * 16)
            self.assertEqual((await other.answer(again))[0][0], "Shed")
            numbers = [await router.ask("buy", replay=f"{at:032x}") for at in range(31)]
            await router.cancel(first)
            await here.processor.until(lambda: here.processor.heard[-1]["event"] == "interrupt")
            self.assertTrue(set(router.answers).isdisjoint(numbers[:1]))
            for _ in range(2):
                await router.ask("look")
            await router.until(lambda: router.closed)

    async def test_request_is_cancelled_only_by_its_own_client(self) -> None:
        """Another client's request with the same id is rejected; its cancel used to cancel the first one."""
        async with running_server(Processor(calls=0, held=True)) as here:
            router, other = await here.router(), await here.router()
            number = await router.ask("look", ref="b" * 16)
            await here.processor.until(lambda: here.processor.begun)
            again, frame = other.frame("look", ref="b" * 16)
            await other.stream.send(frame + msgpack.packb([2, "cancelRequest", [again]]))
            await other.answer(await other.check())
            here.processor.end("b" * 16)
            self.assertIsNone((await router.answer(number))[0])

    async def test_key_with_another_body_gets_no_result(self) -> None:
        """In the same batch, before the first one's run, and after its end; real retries get the result."""
        async with running_server(Processor(calls=0, held=True)) as here:
            router = await here.router()
            frames = [router.frame("buy", body, **KEY) for body in (b"x", b"y")]
            await router.stream.send(b"".join(data for _, data in frames))
            self.assertEqual((await router.answer(frames[1][0]))[0][0], "Fault")
            self.assertEqual((await router.answer(await router.ask("buy", b"z", **KEY)))[0][0], "Fault")
            repeat = await router.ask("buy", b"x", **KEY)
            await here.processor.until(lambda: here.processor.begun)
            here.processor.end(here.processor.begun[0])
            for number in (frames[0][0], repeat):
                self.assertIsNone((await router.answer(number))[0])
            self.assertEqual((await router.answer(await router.ask("buy", b"y", **KEY)))[0][0], "Fault")
            self.assertEqual((len(here.processor.begun), logs.counters["mismatched_bodies"]), (1, 3))

    async def test_run_that_was_not_started_releases_its_key(self) -> None:
        """Nor is its run time, almost zero, learned: the outcome is NOT_STARTED."""
        async with running_server(Processor(calls=0)) as here:
            router = await here.router()
            here.processor.refused = {b"nobody's"}
            error, _ = await router.answer(await router.ask("buy", b"nobody's", **KEY))
            self.assertEqual(error[0], "Fault")
            self.assertIsNone((await router.answer(await router.ask("buy", b"x", **KEY)))[0])
            self.assertEqual((logs.counters["runs_not_started"], logs.counters["runs_error"]), (1, 0))

    async def test_clients_without_complete_messages_are_disconnected(self) -> None:
        async with running_server() as here:
            router = await here.router()
            await router.answer(await router.check())
            with mock.patch.multiple(
                listener, INCOMPLETE_MESSAGE_SECONDS=0.1 * self.times, SWEEP_SECONDS=0.02
            ):
                silent, half, drip = [await here.router() for _ in range(3)]
                await half.stream.send(half.frame("look")[1][:40])
                await drip.stream.send(drip.frame("look")[1] + drip.frame("look")[1][:40])
                self.assertIsNone((await router.answer(await router.ask("look")))[0])
                for peer in (silent, half, drip):
                    await peer.until(lambda peer=peer: peer.closed)
                self.assertIsNone((await router.answer(await router.ask("look")))[0])
                self.assertEqual(logs.counters["incomplete_messages"], 3)

    async def test_peer_faults_do_not_flood_the_log(self) -> None:
        async with running_server() as here:
            with self.assertLogs(logs.logger, logging.WARNING) as captured:
                for _ in range(3 * logs.PEER_FAULT_LINES):
                    faulty = await here.router()
                    await faulty.stream.send(b"\xc1")
                    await faulty.until(lambda faulty=faulty: faulty.closed)
            self.assertLessEqual(len(captured.output), logs.PEER_FAULT_LINES)
            self.assertEqual(logs.counters["invalid_frames"], 3 * logs.PEER_FAULT_LINES)

    async def test_requests_before_the_processor_is_ready(self) -> None:
        """Health checks succeed, requests are rejected, and no command is sent.

        The processor discards commands before it is ready, and a link used to wait forever for the answer.
        """
        async with running_server() as here:
            router = await here.router()
            self.assertEqual((await router.answer(await router.check()))[1][0], True)
        slow = Processor()
        slow.up = anyio.Event()
        async with running_server(slow) as here:
            router = await here.router()
            self.assertEqual(await router.answer(await router.check()), (None, [True, {}]))
            self.assertEqual((await router.answer(await router.ask("look")))[0][0], "Shed")
            slow.up.set()
            await slow.until(lambda: slow.heard[-1].get("ticket") == "gauges")
            self.assertIsNone((await router.answer(await router.ask("look")))[0])

    async def test_link_lost_during_runs(self) -> None:
        """Runs that ended meanwhile are reported first; no request runs twice or is lost."""
        async with running_server(Processor(held=True)) as here:
            router, work = await here.router(), here.processor
            numbers = [await router.ask("look", b"a"), await router.ask("buy", b"b", **KEY)]
            await work.until(lambda: len(work.begun) == 2 and not work.replies)
            work.streams, streams = [], work.streams
            work.end(work.begun[0])  # there is no link for its notice
            await work.until(lambda: len(work.runs) == 1)
            for stream in streams:
                await anyio.aclose_forcefully(stream)
            await work.until(lambda: work.heard[-1].get("ticket") == "gauges" and work.streams)
            numbers.append(await router.ask("look", b"c"))
            await work.until(lambda: len(work.begun) == 3)
            for id in work.begun:
                work.end(id)
            for number in numbers:
                self.assertIsNone((await router.answer(number))[0])
            begins = [said["handle"] for said in work.heard if said["event"] == "begin"]
            self.assertEqual((len(work.begun), begins.count(work.begun[0])), (3, 1))
            self.assertEqual(sum(said["event"] == "hello" for said in work.heard), 2)

    async def test_a_command_lost_with_its_link_is_sent_again(self) -> None:
        async with running_server(Processor(calls=0)) as here:
            router = await here.router()
            hello = next(said for said in here.processor.heard if said["event"] == "hello")
            self.assertEqual(hello["cursor"], 0)
            with mock.patch.object(processor, "encode", return_value=b"") as swallowed:
                number = await router.ask("look", b"a")
                await until(
                    lambda: any(type(said.args[0]) is messages.StartRun for said in swallowed.mock_calls)
                )
            await here.processor.cut()
            self.assertIsNone((await router.answer(number))[0])

    async def test_calls_are_retried_only_if_they_did_not_run(self) -> None:
        """The call of a request with a key is retried only if it certainly did not run."""
        for word, times in (("FULL", 4), ("NONE", 4), ("FAIL", 1), ("TIMEOUT", 1)):
            with self.subTest(word):
                async with running_server(database=Database(word)) as here:
                    router = await here.router()
                    error, _ = await router.answer(await router.ask("buy", b"x", allow="2900", **KEY))
                    self.assertEqual((error[0], len(here.database.heard)), ("Fault", times))

    async def test_dependency_that_refuses_or_drops_connections(self) -> None:
        async with running_server(database=Database(None)) as here:
            router = await here.router()
            number = await router.ask("buy", b"x", **KEY)
            await here.database.until(lambda: here.database.heard)
            await here.database.cut()  # the call may have run, so it is not retried
            self.assertEqual((await router.answer(number))[0][0], "Fault")
            self.assertEqual((logs.counters["calls_connection_lost"], len(here.database.heard)), (1, 1))
        async with running_server(db="127.0.0.1:1") as here:
            router = await here.router()
            self.assertEqual((await router.answer(await router.ask("buy", b"x", **KEY)))[0][0], "Fault")
            self.assertEqual(logs.counters["calls_unreachable"], 4)

    async def test_unanswered_call_is_abandoned_and_the_request_answered_in_time(self) -> None:
        async with running_server(database=Database(None)) as here:
            router, spent = await here.router(), Spent()
            error, _ = await router.answer(await router.ask("buy", b"x", allow="500", **KEY))
            self.assertEqual(error[0], "Fault")
            self.assertLess(spent.seconds(), 1.0)
            await here.database.until(
                lambda: not here.database.streams
            )  # abandoned by closing its connection

    async def test_invalid_reply_does_not_affect_other_calls(self) -> None:
        """Noise, an endless line, a reply of 3 GB, half a reply, a reset: each is detected at once."""
        head = b"%s ROWS "
        for invalid_reply in (
            b"\xff\x00 noise\r\n",
            b"x" * 300,
            head + b"3000000000\r\nx",
            head + b"9\r\nx",
            None,
        ):
            with (
                self.subTest(invalid_reply),
                mock.patch.object(dependency_connection, "INCOMPLETE_REPLY_SECONDS", 0.1),
                mock.patch.object(dependency, "SWEEP_SECONDS", 0.02),
            ):
                async with running_server(database=Database(None)) as here:
                    router, asked = await here.router(), here.database.asked
                    numbers = [await router.ask("buy", b"x", replay=f"{at:032x}") for at in range(2)]
                    await here.database.until(lambda: len(asked) == 2)  # noqa: B023
                    (faulty, stream), (correct, other) = asked
                    if invalid_reply is None:
                        await anyio.aclose_forcefully(stream)
                    else:
                        await stream.send(invalid_reply.replace(b"%s", faulty.encode()))
                    spent = Spent()
                    self.assertEqual((await router.answer(numbers[0]))[0][0], "Fault")
                    self.assertLess(spent.seconds(), 0.5)
                    await other.send(f"{correct} ROWS 1\r\nx\r\n".encode())
                    self.assertIsNone((await router.answer(numbers[1]))[0])

    async def test_reply_is_matched_only_with_its_own_call(self) -> None:
        """Replies carry only a request id; duplicate, late and unknown ones must not answer another call."""
        async with running_server(Processor(calls=2), Database(None)) as here:
            router, asked = await here.router(), here.database.asked
            number = await router.ask("buy", b"x", **KEY)
            await here.database.until(lambda: len(asked) == 1)
            id, first = asked[0]
            one = f"{id} ROWS 1\r\n1\r\n".encode()
            await first.send(b"0123456789abcdef ROWS 1\r\n0\r\n" + one)
            await here.database.until(lambda: len(asked) == 2)
            await first.send(one)
            await anyio.sleep(0.05)
            await asked[1][1].send(f"{id} ROWS 1\r\n2\r\n".encode())
            self.assertEqual((await router.answer(number))[1][0], b"did x with 1 with 2")

    async def test_closing_connection_gets_no_call(self) -> None:
        """Such a call used to end the whole actor and all calls in flight."""
        inbox, events = anyio.create_memory_object_stream[messages.Event](8)
        database = Database(None)
        async with anyio.create_task_group() as tasks:
            await tasks.start(database.run)
            client = dependency.DependencyClient(start_file.Address("127.0.0.1", database.port), inbox)
            tasks.start_soon(client.run)
            with mock.patch.object(
                dependency.DependencyConnection, "_report_lost", lambda *_: anyio.sleep_forever()
            ):
                client.send(messages.StartCall("a", time.time() + 9, b"x"))
                await database.until(lambda: database.asked)
                await database.cut()
                with anyio.fail_after(20):
                    while not (connection := next(iter(client.connections))).is_doubtful:
                        await anyio.sleep(0)
                await anyio.sleep(0.05)  # its outbox is closed, but its task has not ended
                connection.in_flight.clear()
                client.send(messages.StartCall("b", time.time() + 9, b"x"))
                await database.until(lambda: len(database.asked) == 2)
            tasks.cancel_scope.cancel()
        for mailbox in (inbox, events, client.outbox, client.outbox_reader):
            mailbox.close()

    async def test_idle_dependency_connection_is_closed(self) -> None:
        with (
            mock.patch.object(dependency_connection, "IDLE_SECONDS", 0.05),
            mock.patch.multiple(dependency, IDLE_SECONDS=0.05, SWEEP_SECONDS=0.01),
        ):
            async with running_server() as here:
                router = await here.router()
                for _ in range(2):
                    self.assertIsNone((await router.answer(await router.ask("look")))[0])
                    await here.database.until(lambda: not here.database.streams)

    async def test_reports_to_the_endpoint_registry(self) -> None:
        with mock.patch("thymeyoke.server.endpoint_registry.REPORT_PERIOD_SECONDS", 0.02):
            async with running_server(roster=Roster(500)) as here:
                await here.roster.until(lambda: len(here.roster.reports) > 2)
                here.roster.status = 204
                await here.roster.until(lambda: logs.counters["reports_accepted"] > 2 or None)
                await here.roster.cut()
                router = await here.router()
                self.assertIsNone((await router.answer(await router.ask("look")))[0])
                os.kill(os.getpid(), signal.SIGTERM)
                await here.roster.until(lambda: here.roster.reports[-1] == ("/ns/hosts/toy-1", "no"))

    async def test_address_changes_during_runs_and_calls(self) -> None:
        """SIGHUP reloads addresses; it used to end the server.

        An invalid file changes nothing. Replies to calls in flight arrive on their old connections, and runs
        and notice numbers continue.
        """
        async with running_server(Processor(held=True), Database(None)) as here:
            router, work = await here.router(), here.processor
            numbers = [await router.ask("buy", b"a", **KEY), await router.ask("look", b"b")]
            await here.database.until(lambda: len(here.database.heard) == 2)
            given, here.start = here.start, start_file.StartFileError("half written")
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: logs.counters["start_file_errors"])
            database, roster = Database(), Roster()
            connected, links = anyio.Event(), await anyio.create_tcp_listener(local_host="127.0.0.1")

            async def serve_new_processor(stream: anyio.abc.SocketStream) -> None:
                connected.set()
                await work._serve(stream)

            here.tasks.start_soon(links.serve, serve_new_processor)
            for around in (database, roster):
                await here.tasks.start(around.run)
            port = links.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            ports = {"processor": port, "db": database.port, "naming": roster.port}
            here.start = given | {name: f"127.0.0.1:{port}" for name, port in ports.items()}
            for _ in range(3):  # repeated signals have no further effect
                os.kill(os.getpid(), signal.SIGHUP)
            await connected.wait()
            await roster.until(lambda: roster.reports)
            numbers.append(await router.ask("look", b"c"))
            await database.until(lambda: len(database.heard) == 1)
            for id, stream in here.database.asked:
                await stream.send(f"{id} ROWS 1\r\nx\r\n".encode())
            await work.until(lambda: len(work.begun) == 3)
            for id in work.begun:
                work.end(id)
            for number in numbers:
                self.assertIsNone((await router.answer(number))[0])
            begins = [said["handle"] for said in work.heard if said["event"] == "begin"]
            self.assertEqual(
                (len(begins), len(set(begins)), logs.counters["processor_links_lost"]), (3, 3, 1)
            )
            os.kill(os.getpid(), signal.SIGTERM)
            await router.until(lambda: router.notices)
            os.kill(os.getpid(), signal.SIGHUP)
            await router.stream.aclose()
            await here.ended.wait()

    async def test_unanswered_report_does_not_delay_the_next(self) -> None:
        with mock.patch.multiple(
            "thymeyoke.server.endpoint_registry", REPORT_PERIOD_SECONDS=0.2, REPORT_TIMEOUT_SECONDS=0.19
        ):
            async with running_server(roster=Roster(0)) as here:
                spent = Spent()
                await here.roster.until(lambda: len(here.roster.reports) == 6, within=20.0)
                self.assertLess(spent.seconds(), 1.5)

    async def test_a_drain_answers_all_and_ends_in_time(self) -> None:
        async with running_server(Processor(held=True)) as here:
            busy, idle = await here.router(), await here.router()
            numbers = [await busy.ask("look", b"x"), await busy.ask("buy", b"x", **KEY)]
            await here.processor.until(lambda: len(here.processor.begun) == 2)
            self.assertEqual((await idle.answer(await idle.check()))[1][0], True)
            spent = Spent()
            os.kill(os.getpid(), signal.SIGTERM)
            await here.roster.until(lambda: here.roster.reports[-1][1] == "no")
            # Within the grace period: the listener is open and requests are admitted.
            late = await here.router()
            here.processor.end(here.processor.begun[0])
            self.assertIsNone((await busy.answer(numbers[0]))[0])
            number = await late.ask("look", b"y")
            await here.processor.until(lambda: len(here.processor.begun) == 3)
            here.processor.end(here.processor.begun[2])
            self.assertIsNone((await late.answer(number))[0])
            for router in (busy, idle):
                await router.until(lambda router=router: router.notices == ["leaving"])
            with self.assertRaises(OSError):
                await here.router()
            self.assertEqual((await busy.answer(numbers[1]))[0][0], "Fault")  # its run never ends
            await here.ended.wait()
            self.assertGreater(time.time() - spent.began, 1.5)
            self.assertLess(spent.seconds(), 2.5)

    async def test_unused_server_shuts_down_at_once(self) -> None:
        async with running_server() as here:
            router = await here.router()
            self.assertIsNone((await router.answer(await router.ask("look")))[0])
            spent = Spent()
            os.kill(os.getpid(), signal.SIGTERM)
            await router.until(lambda: router.notices)
            await router.stream.aclose()
            await here.ended.wait()
            self.assertLess(spent.seconds(), 1.5)

    async def test_unused_connection_is_notified_and_closed(self) -> None:
        with mock.patch.object(listener, "SHUTDOWN_NOTICE_GRACE_SECONDS", 0.1):
            async with running_server(settings__family_info__idle_us=200000) as here:
                unused, used = await here.router(), await here.router()
                number = await used.ask("look", allow="9000")
                await unused.until(lambda: unused.notices == ["leaving"])
                self.assertIsNone((await used.answer(number))[0])
                await unused.until(lambda: unused.closed)

    async def test_client_that_stops_reading_is_disconnected_alone(self) -> None:
        inbox, events = anyio.create_memory_object_stream[messages.Event](8)

        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        connection = listener.ClientConnection(ours, NAMES, inbox)
        with theirs, anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.run)
                connection.send(extensions.Answer(1, extensions.Verdict.SERVED, bytes(1 << 23)))
                await until(lambda: connection.unwritten)
                for _ in range(client_connection.OUTBOX_SIZE + 1):
                    connection.send(extensions.Answer(1, extensions.Verdict.SERVED))
        self.assertGreater(logs.counters["client_outboxes_full"], 0)
        inbox.close()
        events.close()

    async def test_policy_error_does_not_prevent_due_answers(self) -> None:
        """The error is counted and logged with its location; the next request is answered normally."""

        def check_without_raising(true: bool, what: str, **pairs: object) -> bool:
            with suppress(AssertionError):
                invariants.check_invariant(true, what, **pairs)
            return true

        with mock.patch.object(dispatcher, "check_invariant", check_without_raising):
            async with running_server() as here:
                router = await here.router()
                with mock.patch.object(AdmissionController, "submit", side_effect=RuntimeError("broken")):
                    spent = Spent()
                    error, _ = await router.answer(await router.ask("look", allow="100"))
                    self.assertEqual(error[0], "Fault")
                    self.assertLess(spent.seconds(), 1.0)
                broken_timer = mock.patch.object(
                    AdmissionController, "timer_expired", side_effect=RuntimeError("broken")
                )
                with broken_timer:
                    await until(lambda: logs.counters["invariants_violated_no_dispatcher_error"] >= 3)
                self.assertIsNone((await router.answer(await router.ask("look")))[0])

    async def test_reused_id_is_answered_by_its_own_deadline(self) -> None:
        """A faulty client reuses an id; the earlier request's deadline used to apply to the later one."""
        async with running_server(Processor(calls=0)) as here:
            router = await here.router()
            await router.answer(await router.ask("look", ref="c" * 16, allow="300"))
            await anyio.sleep(0.25)  # the policy has dropped the first one's deadline by now
            here.processor.held = True
            number = await router.ask("look", ref="c" * 16)
            await here.processor.until(lambda: len(here.processor.begun) == 2)
            await anyio.sleep(0.3)
            here.processor.end("c" * 16)
            self.assertIsNone((await router.answer(number))[0])

    async def test_connection_limit_evicts_unused_connections(self) -> None:
        """Silent connections are closed first, then the least recently used; if all are busy, the new one."""
        async with running_server(
            Processor(calls=0, held=True), limits__sockets=listener.SPARE_DESCRIPTORS + 2
        ) as here:
            first = await here.router()
            await first.answer(await first.check())
            silent, second = await here.router(), await here.router()
            await silent.until(lambda: silent.closed)
            await second.answer(await second.check())
            third = await here.router()
            number = await third.ask("look")
            await first.until(lambda: first.closed)
            await here.processor.until(lambda: here.processor.begun)
            numbers = {second: await second.ask("look"), third: number}
            await here.processor.until(lambda: len(here.processor.begun) == 2)
            late = await here.router()
            await late.until(lambda: late.closed)
            for id in here.processor.begun:
                here.processor.end(id)
            for router, number in numbers.items():
                self.assertIsNone((await router.answer(number))[0])

    async def test_start_file_with_hundreds_of_entries(self) -> None:
        """Tenants, request classes and routers of a large fleet: no table has a fixed small size."""
        settings_section = start_file_with()["settings"]
        tenants = [{"name": f"t{at}", "share": 0.001, "quota_per_s": 1.0} for at in range(1100)]
        types = [settings_section["request_classes"][0] | {"name": f"look{at}"} for at in range(300)]
        many = {"settings__tenants": tenants, "settings__request_classes": types,
                "settings__family_info__callers": 1100,
                "settings__family_info__class_calls": [True] * len(types)}  # fmt: skip
        async with running_server(**many) as here:
            router = await here.router()
            for at in range(270, 300):  # one by one, as a slow machine can't handle thirty at once
                number = await router.ask(f"look{at}", project=f"t{at * 3}", sender=str(800 + at))
                self.assertIsNone((await router.answer(number))[0])

    async def test_notices_in_any_chunks(self) -> None:
        """A notice with a number that was already read is ignored."""
        ask = b'{"event":"ask","cursor":1,"handle":"a","arg":"AP8="}\n'
        used = b'{"event":"used","figures":[1]}\n'
        lines = ask + used + ask
        for parts in every_split(lines):
            inbox, events = anyio.create_memory_object_stream[messages.Event](8)
            link = processor.ProcessorClient(start_file.Address("127.0.0.1", 1), NAMES, inbox)
            stream = mock.Mock(receive=mock.AsyncMock(side_effect=[*parts, anyio.EndOfStream]))
            await link._read(stream)
            heard = [events.receive_nowait() for _ in range(events.statistics().current_buffer_used)]
            self.assertEqual(
                heard, [messages.DependencyCallRequested("a", b"\x00\xff"), messages.GaugesRead((1.0,))]
            )
            for mailbox in (inbox, events, link.outbox, link.outbox_reader):
                mailbox.close()

    async def test_invalid_line_drops_only_the_link(self) -> None:
        async with running_server() as here:
            router = await here.router()
            await here.processor.streams[-1].send(b"dance\n")
            await here.processor.until(
                lambda: sum(said["event"] == "hello" for said in here.processor.heard) == 2)  # fmt: skip
            self.assertIsNone((await router.answer(await router.ask("look")))[0])
            self.assertEqual(logs.counters["processor_invalid_lines"], 1)


if __name__ == "__main__":
    unittest.main()
