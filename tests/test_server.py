"""A server on sockets, with fakes around it."""

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
from tests.app_server import pieces, place, steady, told, until
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

NAMES = start_file.read_request_names(told()["settings"])
KEY = {"replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}


@steady
class OnSockets(unittest.IsolatedAsyncioTestCase):
    times = 1

    def setUp(self) -> None:
        logs.counters.clear()

    async def test_one_answer_with_what_its_run_made(self) -> None:
        async with place() as here:
            router, body = await here.router(), bytes(range(256)) * 8
            numbers = [await router.ask("look", body), await router.ask("buy", b"", **KEY)]
            for number, result in zip(numbers, (body, b""), strict=True):
                error, (made, fields) = await router.answer(number)
                self.assertIsNone(error)
                self.assertEqual(made, b"did " + result + b" with rows for 0 " + result)
                self.assertLessEqual(set(fields), {"pressure"})
            self.assertEqual(len(here.processor.begun), 2)
            while "pressure" not in (await router.answer(await router.check()))[1][1]:
                await anyio.sleep(0.02)  # said from the module's first beat on

    async def test_the_desk_waits_for_nothing_but_its_mailbox(self) -> None:
        """A pause meant for the end of a drain once stood in its loop, and each batch waited for it."""
        async with place() as here:
            router, spent = await here.router(), Spent()
            for _ in range(40):
                await router.answer(await router.check())
            self.assertLess(spent.seconds(), 40 * drain.LATE_REQUEST_WINDOW_SECONDS / 2)

    async def test_repeats_get_the_result_of_the_one_run(self) -> None:
        """While it runs, in one batch with it, and after its end."""
        async with place(Processor(held=True)) as here:
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

    async def test_a_failed_run_fails_its_repeats(self) -> None:
        async with place(database=Database("FAIL")) as here:
            router = await here.router()
            numbers = [await router.ask("buy", b"x", **KEY) for _ in range(2)]
            for number in [*numbers, await router.ask("buy", b"x", **KEY)]:
                self.assertEqual((await router.answer(number))[0][0], "Fault")
            self.assertEqual(len(here.processor.begun), 1)

    async def test_callers_that_go(self) -> None:
        """A cancel and a reset tell that nobody waits; an end of input alone does not."""
        async with place(Processor(calls=0, held=True)) as here:
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

    async def test_bad_input_ends_its_own_connection_alone(self) -> None:
        async with place() as here:
            good, bad, twice, unclear = [await here.router() for _ in range(4)]
            await bad.stream.send(b"\xc1\xc1")
            await bad.until(lambda: bad.closed)
            _, frame = twice.frame("look", ref="a" * 16, allow="9000")
            await twice.stream.send(frame + frame)
            await twice.until(lambda: twice.closed)
            error, _ = await unclear.answer(await unclear.ask("sell"))
            self.assertEqual(error[0], "Shed")
            self.assertIsNone((await unclear.answer(await unclear.ask("look")))[0])
            for _ in range(
                client_connection.MAX_INVALID_REQUESTS
            ):  # the same again, as soon as it is turned away
                await unclear.ask("sell")
            await unclear.until(lambda: unclear.closed)
            self.assertIsNone((await good.answer(await good.ask("look")))[0])

    async def test_no_more_than_32_open_and_no_id_twice(self) -> None:
        async with place(Processor(calls=0, held=True)) as here:
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

    async def test_an_op_is_taken_back_by_its_own_peer_alone(self) -> None:
        """Another's op under its id is nacked; taken back in the same breath, it once took the first too."""
        async with place(Processor(calls=0, held=True)) as here:
            router, other = await here.router(), await here.router()
            number = await router.ask("look", ref="b" * 16)
            await here.processor.until(lambda: here.processor.begun)
            again, frame = other.frame("look", ref="b" * 16)
            await other.stream.send(frame + msgpack.packb([2, "cancelRequest", [again]]))
            await other.answer(await other.check())
            here.processor.end("b" * 16)
            self.assertIsNone((await router.answer(number))[0])

    async def test_a_key_with_another_body_gets_no_result(self) -> None:
        """While the first waits to run, in one batch with it, and after its end; its own repeats do."""
        async with place(Processor(calls=0, held=True)) as here:
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

    async def test_a_run_that_was_not_begun_leaves_its_key_free(self) -> None:
        """Its time, next to nothing, is not learned either: `moot` is how such a run ended."""
        async with place(Processor(calls=0)) as here:
            router = await here.router()
            here.processor.refused = {b"nobody's"}
            error, _ = await router.answer(await router.ask("buy", b"nobody's", **KEY))
            self.assertEqual(error[0], "Fault")
            self.assertIsNone((await router.answer(await router.ask("buy", b"x", **KEY)))[0])
            self.assertEqual((logs.counters["runs_not_started"], logs.counters["runs_error"]), (1, 0))

    async def test_silent_and_half_said_peers_are_closed(self) -> None:
        async with place() as here:
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

    async def test_what_peers_do_wrong_fills_no_log(self) -> None:
        async with place() as here:
            with self.assertLogs(logs.logger, logging.WARNING) as captured:
                for _ in range(3 * logs.PEER_FAULT_LINES):
                    bad = await here.router()
                    await bad.stream.send(b"\xc1")
                    await bad.until(lambda bad=bad: bad.closed)
            self.assertLessEqual(len(captured.output), logs.PEER_FAULT_LINES)
            self.assertEqual(logs.counters["invalid_frames"], 3 * logs.PEER_FAULT_LINES)

    async def test_before_the_processor_is_up(self) -> None:
        """Health is good, ops are turned away, and no command goes out: one sent then is not carried out, and
        a link once waited for good for the answer to it."""
        async with place() as here:
            router = await here.router()
            self.assertEqual((await router.answer(await router.check()))[1][0], True)
        slow = Processor()
        slow.up = anyio.Event()
        async with place(slow) as here:
            router = await here.router()
            self.assertEqual(await router.answer(await router.check()), (None, [True, {}]))
            self.assertEqual((await router.answer(await router.ask("look")))[0][0], "Shed")
            slow.up.set()
            await slow.until(lambda: slow.heard[-1].get("ticket") == "gauges")
            self.assertIsNone((await router.answer(await router.ask("look")))[0])

    async def test_a_link_cut_in_the_middle_of_runs(self) -> None:
        """What ended meanwhile is told first; nothing runs twice and nothing is lost."""
        async with place(Processor(held=True)) as here:
            router, work = await here.router(), here.processor
            numbers = [await router.ask("look", b"a"), await router.ask("buy", b"b", **KEY)]
            await work.until(lambda: len(work.begun) == 2 and not work.replies)
            work.streams, streams = [], work.streams
            work.end(work.begun[0])  # its notice finds no link
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
        async with place(Processor(calls=0)) as here:
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

    async def test_what_ends_of_calls_prove(self) -> None:
        """A keyed op's call is made again only where it is known not to have run."""
        for word, times in (("FULL", 4), ("NONE", 4), ("FAIL", 1), ("TIMEOUT", 1)):
            with self.subTest(word):
                async with place(database=Database(word)) as here:
                    router = await here.router()
                    error, _ = await router.answer(await router.ask("buy", b"x", allow="2900", **KEY))
                    self.assertEqual((error[0], len(here.database.heard)), ("Fault", times))

    async def test_a_database_that_refuses_or_breaks(self) -> None:
        async with place(database=Database(None)) as here:
            router = await here.router()
            number = await router.ask("buy", b"x", **KEY)
            await here.database.until(lambda: here.database.heard)
            await here.database.cut()  # proves nothing: not made again
            self.assertEqual((await router.answer(number))[0][0], "Fault")
            self.assertEqual((logs.counters["calls_connection_lost"], len(here.database.heard)), (1, 1))
        async with place(db="127.0.0.1:1") as here:
            router = await here.router()
            self.assertEqual((await router.answer(await router.ask("buy", b"x", **KEY)))[0][0], "Fault")
            self.assertEqual(logs.counters["calls_unreachable"], 4)

    async def test_a_silent_call_is_given_up_and_the_op_answered_in_time(self) -> None:
        async with place(database=Database(None)) as here:
            router, spent = await here.router(), Spent()
            error, _ = await router.answer(await router.ask("buy", b"x", allow="500", **KEY))
            self.assertEqual(error[0], "Fault")
            self.assertLess(spent.seconds(), 1.0)
            await here.database.until(lambda: not here.database.streams)  # it is given up with its connection

    async def test_a_spoilt_reply_costs_no_other_call(self) -> None:
        """Noise, a line that does not end, a reply of 3 GB, half a reply, a reset: each is left at once."""
        head = b"%s ROWS "
        for spoilt in (b"\xff\x00 noise\r\n", b"x" * 300, head + b"3000000000\r\nx", head + b"9\r\nx", None):
            with (
                self.subTest(spoilt),
                mock.patch.object(dependency_connection, "INCOMPLETE_REPLY_SECONDS", 0.1),
                mock.patch.object(dependency, "SWEEP_SECONDS", 0.02),
            ):
                async with place(database=Database(None)) as here:
                    router, asked = await here.router(), here.database.asked
                    numbers = [await router.ask("buy", b"x", replay=f"{at:032x}") for at in range(2)]
                    await here.database.until(lambda: len(asked) == 2)  # noqa: B023
                    (bad, stream), (good, other) = asked
                    if spoilt is None:
                        await anyio.aclose_forcefully(stream)
                    else:
                        await stream.send(spoilt.replace(b"%s", bad.encode()))
                    spent = Spent()
                    self.assertEqual((await router.answer(numbers[0]))[0][0], "Fault")
                    self.assertLess(spent.seconds(), 0.5)
                    await other.send(f"{good} ROWS 1\r\nx\r\n".encode())
                    self.assertIsNone((await router.answer(numbers[1]))[0])

    async def test_a_reply_meets_its_own_call_alone(self) -> None:
        """Not the op's next one, though replies name the op: second copies, late ones and nobody's."""
        async with place(Processor(calls=2), Database(None)) as here:
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

    async def test_a_connection_that_is_being_closed_gets_no_call(self) -> None:
        """A call given to one once ended the whole actor, and all calls that were out with it."""
        inbox, events = anyio.create_memory_object_stream[messages.Event](8)
        base = Database(None)
        async with anyio.create_task_group() as tasks:
            await tasks.start(base.run)
            calls = dependency.DependencyClient(start_file.Address("127.0.0.1", base.port), inbox)
            tasks.start_soon(calls.run)
            with mock.patch.object(
                dependency.DependencyConnection, "_report_lost", lambda *_: anyio.sleep_forever()
            ):
                calls.send(messages.StartCall("a", time.time() + 9, b"x"))
                await base.until(lambda: base.asked)
                await base.cut()
                with anyio.fail_after(20):
                    while not (line := next(iter(calls.connections))).is_doubtful:
                        await anyio.sleep(0)
                await anyio.sleep(0.05)  # its mailbox is closed; it has not ended yet
                line.in_flight.clear()
                calls.send(messages.StartCall("b", time.time() + 9, b"x"))
                await base.until(lambda: len(base.asked) == 2)
            tasks.cancel_scope.cancel()
        for mailbox in (inbox, events, calls.outbox, calls.outbox_reader):
            mailbox.close()

    async def test_an_idle_database_connection_is_closed_here(self) -> None:
        with (
            mock.patch.object(dependency_connection, "IDLE_SECONDS", 0.05),
            mock.patch.multiple(dependency, IDLE_SECONDS=0.05, SWEEP_SECONDS=0.01),
        ):
            async with place() as here:
                router = await here.router()
                for _ in range(2):
                    self.assertIsNone((await router.answer(await router.ask("look")))[0])
                    await here.database.until(lambda: not here.database.streams)

    async def test_reports_to_the_list(self) -> None:
        with mock.patch("thymeyoke.server.endpoint_registry.REPORT_PERIOD_SECONDS", 0.02):
            async with place(roster=Roster(500)) as here:
                await here.roster.until(lambda: len(here.roster.reports) > 2)
                here.roster.status = 204
                await here.roster.until(lambda: logs.counters["reports_accepted"] > 2 or None)
                await here.roster.cut()
                router = await here.router()
                self.assertIsNone((await router.answer(await router.ask("look")))[0])
                os.kill(os.getpid(), signal.SIGTERM)
                await here.roster.until(lambda: here.roster.reports[-1] == ("/ns/hosts/toy-1", "no"))

    async def test_new_addresses_while_runs_and_calls_go_on(self) -> None:
        """SIGHUP once ended the server. A file not taken changes nothing; calls that are out come back
        by their old connection, runs and notice numbers carry on."""
        async with place(Processor(held=True), Database(None)) as here:
            router, work = await here.router(), here.processor
            numbers = [await router.ask("buy", b"a", **KEY), await router.ask("look", b"b")]
            await here.database.until(lambda: len(here.database.heard) == 2)
            given, here.start = here.start, start_file.StartFileError("half written")
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: logs.counters["start_file_errors"])
            database, roster = Database(), Roster()
            door, links = anyio.Event(), await anyio.create_tcp_listener(local_host="127.0.0.1")

            async def moved(stream: anyio.abc.SocketStream) -> None:
                door.set()
                await work._serve(stream)

            here.tasks.start_soon(links.serve, moved)
            for around in (database, roster):
                await here.tasks.start(around.run)
            port = links.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
            ports = {"processor": port, "db": database.port, "naming": roster.port}
            here.start = given | {name: f"127.0.0.1:{port}" for name, port in ports.items()}
            for _ in range(3):  # several times changes nothing
                os.kill(os.getpid(), signal.SIGHUP)
            await door.wait()
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

    async def test_an_unanswered_report_puts_off_none(self) -> None:
        with mock.patch.multiple(
            "thymeyoke.server.endpoint_registry", REPORT_PERIOD_SECONDS=0.2, REPORT_TIMEOUT_SECONDS=0.19
        ):
            async with place(roster=Roster(0)) as here:
                spent = Spent()
                await here.roster.until(lambda: len(here.roster.reports) == 6, within=20.0)
                self.assertLess(spent.seconds(), 1.5)

    async def test_a_drain_answers_all_and_ends_in_time(self) -> None:
        async with place(Processor(held=True)) as here:
            busy, idle = await here.router(), await here.router()
            numbers = [await busy.ask("look", b"x"), await busy.ask("buy", b"x", **KEY)]
            await here.processor.until(lambda: len(here.processor.begun) == 2)
            self.assertEqual((await idle.answer(await idle.check()))[1][0], True)
            spent = Spent()
            os.kill(os.getpid(), signal.SIGTERM)
            await here.roster.until(lambda: here.roster.reports[-1][1] == "no")
            late = await here.router()  # within the grace: the door is open, and what comes is taken
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

    async def test_a_server_that_nobody_uses_leaves_at_once(self) -> None:
        async with place() as here:
            router = await here.router()
            self.assertIsNone((await router.answer(await router.ask("look")))[0])
            spent = Spent()
            os.kill(os.getpid(), signal.SIGTERM)
            await router.until(lambda: router.notices)
            await router.stream.aclose()
            await here.ended.wait()
            self.assertLess(spent.seconds(), 1.5)

    async def test_an_unused_connection_is_told_and_closed(self) -> None:
        with mock.patch.object(listener, "SHUTDOWN_NOTICE_GRACE_SECONDS", 0.1):
            async with place(settings__family_info__idle_us=200000) as here:
                unused, used = await here.router(), await here.router()
                number = await used.ask("look", allow="9000")
                await unused.until(lambda: unused.notices == ["leaving"])
                self.assertIsNone((await used.answer(number))[0])
                await unused.until(lambda: unused.closed)

    async def test_a_reader_that_stalls_is_closed_alone(self) -> None:
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

    async def test_an_error_in_the_decisions_leaves_due_answers(self) -> None:
        """Counted and logged with its place, as in service; the next op is answered as ever."""

        def counted(true: bool, what: str, **pairs: object) -> bool:
            with suppress(AssertionError):
                invariants.check_invariant(true, what, **pairs)
            return true

        with mock.patch.object(dispatcher, "check_invariant", counted):
            async with place() as here:
                router = await here.router()
                with mock.patch.object(AdmissionController, "submit", side_effect=RuntimeError("broken")):
                    spent = Spent()
                    error, _ = await router.answer(await router.ask("look", allow="100"))
                    self.assertEqual(error[0], "Fault")
                    self.assertLess(spent.seconds(), 1.0)
                woke = mock.patch.object(
                    AdmissionController, "timer_expired", side_effect=RuntimeError("broken")
                )
                with woke:
                    await until(lambda: logs.counters["invariants_violated_no_dispatcher_error"] >= 3)
                self.assertIsNone((await router.answer(await router.ask("look")))[0])

    async def test_an_id_used_again_is_answered_and_no_false_alarm(self) -> None:
        """Ids are new with every try; where one is not, the moment of the op that had it before once counted
        as the due time of the next."""
        async with place(Processor(calls=0)) as here:
            router = await here.router()
            await router.answer(await router.ask("look", ref="c" * 16, allow="300"))
            await anyio.sleep(0.25)  # the decisions have let go of the first one's moment by now
            here.processor.held = True
            number = await router.ask("look", ref="c" * 16)
            await here.processor.until(lambda: len(here.processor.begun) == 2)
            await anyio.sleep(0.3)
            here.processor.end("c" * 16)
            self.assertIsNone((await router.answer(number))[0])

    async def test_a_full_table_makes_room(self) -> None:
        """Silent peers go first, then who was heard longest ago; with ops open on all, the new one goes."""
        async with place(
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

    async def test_a_start_file_that_names_hundreds(self) -> None:
        """Nothing takes its size from a few: tenants, op types and routers of a large fleet."""
        plain = told()["settings"]
        tenants = [{"name": f"t{at}", "share": 0.001, "quota_per_s": 1.0} for at in range(1100)]
        types = [plain["request_classes"][0] | {"name": f"look{at}"} for at in range(300)]
        many = {"settings__tenants": tenants, "settings__request_classes": types,
                "settings__family_info__callers": 1100,
                "settings__family_info__class_calls": [True] * len(types)}  # fmt: skip
        async with place(**many) as here:
            router = await here.router()
            for at in range(270, 300):  # one by one: on a slow machine thirty at once are too many
                number = await router.ask(f"look{at}", project=f"t{at * 3}", sender=str(800 + at))
                self.assertIsNone((await router.answer(number))[0])

    async def test_notices_cut_anywhere(self) -> None:
        """And what was told before, with its number, is not told again."""
        ask = b'{"event":"ask","cursor":1,"handle":"a","arg":"AP8="}\n'
        used = b'{"event":"used","figures":[1]}\n'
        lines = ask + used + ask
        for parts in pieces(lines):
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

    async def test_a_broken_line_drops_the_link_only(self) -> None:
        async with place() as here:
            router = await here.router()
            await here.processor.streams[-1].send(b"dance\n")
            await here.processor.until(
                lambda: sum(said["event"] == "hello" for said in here.processor.heard) == 2)  # fmt: skip
            self.assertIsNone((await router.answer(await router.ask("look")))[0])
            self.assertEqual(logs.counters["processor_invalid_lines"], 1)


if __name__ == "__main__":
    unittest.main()
