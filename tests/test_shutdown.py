"""Cases against a server that is told to leave, or that has only begun: what it says, runs and answers."""

from __future__ import annotations

import functools
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import msgpack
import orjson

from examples.fakes import Processor, Roster, Router
from fakes.processes import Spent
from tests.app_server import place, steady, told, until
from thymeyoke.runtime import early_signals, extensions
from thymeyoke.runtime.logs import counters
from thymeyoke.server import dispatcher, drain, lifecycle, listener, messages

GRACE, SLACK = 0.5, 0.1  # of the toy's settings


def said_since(moment: float) -> str:
    return f"{moment * 1000:.0f}"


async def late(speak: Callable[[Any], Awaitable[None]], stream: Any) -> None:
    await anyio.sleep(0.3)
    await speak(stream)


@steady
class Grace(unittest.IsolatedAsyncioTestCase):
    times = 1

    def longer(self) -> dict[str, int]:
        """The settings' grace and stop, so many times."""
        return {"settings__contract__drain_grace_us": 500_000 * self.times, "stop_ms": 2000 * self.times}

    async def test_what_came_behind_the_grace_is_not_run_however_late_the_notice_was_heard(self) -> None:
        """Once the grace was counted from when the desk heard of the notice: a loop that was busy for long
        ran what had reached the machine behind its end. By the time from the notice until an op comes."""
        grace = GRACE * self.times
        cases = [(grace - 0.3, True), (grace - SLACK / 2, False), (grace + 0.1, False)]
        for after, runs in cases:
            with self.subTest(after=after):
                async with place(Processor(calls=0), **self.longer()) as here:
                    router = await here.router()
                    await router.answer(await router.check())
                    began = time.time()
                    os.kill(os.getpid(), signal.SIGTERM)
                    time.sleep(0.3)  # the loop is busy, as on a server with little of a core
                    await anyio.sleep(max(0.0, began + after - time.time()))
                    answer = await router.answer(await router.ask("look", since=said_since(began + after)))
                    self.assertEqual((answer[0] is None, len(here.processor.begun)), (runs, int(runs)))

    async def test_a_drain_whatever_becomes_of_the_list(self) -> None:
        """What is said on a connection from before the notice, on one from after it, and to the list; an op
        that crosses `leaving` is answered and not run."""
        for state in ("up", "late", "silent", "gone"):
            with self.subTest(list=state):
                roster = Roster(status=0 if state == "silent" else 204)
                async with place(Processor(calls=0), roster=roster, **self.longer()) as here:
                    if state == "gone":
                        await roster.cut()
                        roster.tasks.cancel_scope.cancel()
                    elif state == "late":
                        roster.speak = functools.partial(late, roster.speak)
                        await roster.cut()
                    before = await here.router()
                    await before.answer(await before.check())
                    os.kill(os.getpid(), signal.SIGTERM)
                    after = await here.router()
                    self.assertFalse((await after.answer(await after.check()))[1][0])
                    for router in (before, after):
                        self.assertIsNone((await router.answer(await router.ask("look")))[0])
                        self.assertEqual(router.notices, [])
                    if state == "up":  # a silent one hears it when the report before is given up
                        await roster.until(lambda roster=roster: roster.reports[-1][1] == "no")
                    for router in (before, after):
                        await router.until(lambda router=router: router.notices)
                        crossing = await router.answer(await router.ask("look"))
                        self.assertEqual((crossing[0][0], len(here.processor.begun)), ("Shed", 2))
                        await router.stream.aclose()
                    with self.assertRaises(OSError):
                        await here.router()
                    spent = Spent()
                    await here.ended.wait()
                    self.assertLess(spent.seconds(), 0.5)

    async def test_a_notice_before_the_processor_is_up(self) -> None:
        """Once the module was made after it and never told: it took and ran all that came."""
        slow = Processor(calls=0)
        slow.up = anyio.Event()
        async with place(slow) as here:
            router = await here.router()
            self.assertTrue((await router.answer(await router.check()))[1][0])
            os.kill(os.getpid(), signal.SIGTERM)
            await here.roster.until(lambda: here.roster.reports[-1][1] == "no")
            self.assertFalse((await router.answer(await router.check()))[1][0])
            slow.up.set()
            await slow.until(lambda: any(said["event"] == "usage" for said in slow.heard))
            await router.until(lambda: router.notices)
            late = await router.ask("look", since=said_since(time.time() + GRACE))
            self.assertEqual((await router.answer(late))[0][0], "Shed")
            self.assertEqual(slow.begun, [])

    async def test_what_is_read_in_the_last_moment_is_answered(self) -> None:
        """Once the desk was gone for the last 60 ms, and who had not yet read `leaving` heard nothing."""
        # A quarter of it, from 0.15 s before the stop on; the connection is not closed sooner.
        with (
            mock.patch.object(drain, "LATE_REQUEST_WINDOW_SECONDS", 8.0),
            mock.patch.object(listener, "SHUTDOWN_NOTICE_GRACE_SECONDS", 9.0),
        ):
            async with place(Processor(calls=0)) as here:
                router = await here.router()
                await router.answer(await router.check())
                began = time.time()
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(
                    began + told()["stop_ms"] / 1000 - drain.STOP_MARGIN_SECONDS + 0.08 - time.time()
                )
                self.assertEqual((await router.answer(await router.ask("look")))[0][0], "Shed")

    async def test_a_notice_that_comes_twice_is_one(self) -> None:
        async with place(Processor(calls=0, held=True)) as here:
            router = await here.router()
            number = await router.ask("look")
            await here.processor.until(lambda: here.processor.begun)
            for _ in range(3):
                os.kill(os.getpid(), signal.SIGTERM)
                os.kill(os.getpid(), signal.SIGHUP)
                await anyio.sleep(0.05)
            await router.until(lambda: router.notices)
            here.processor.end(here.processor.begun[0])
            self.assertIsNone((await router.answer(number))[0])
            await router.stream.aclose()
            spent = Spent()
            await here.ended.wait()
            self.assertLess(spent.seconds(), 1.0)
            self.assertEqual(router.notices, ["leaving"])


@steady
class Door(unittest.IsolatedAsyncioTestCase):
    async def test_who_waits_in_the_queue_when_the_door_shuts_is_let_in(self) -> None:
        """Once the listener was closed over them: their connections were reset, with the ops on them."""
        desks: list[dispatcher.Dispatcher] = []

        def keep(*given: object) -> dispatcher.Dispatcher:
            desks.append(dispatcher.Dispatcher(*given))
            return desks[-1]

        with mock.patch.object(lifecycle, "Dispatcher", keep):
            async with place(Processor(calls=0)) as here:
                await (known := await here.router()).answer(await known.check())
                sockets = [socket.create_connection(here.where) for _ in range(5)]
                for at in sockets:  # not a turn of the loop until the door is shut
                    at.sendall(known.frame("look")[1])
                desks[0].listener.notify(messages.CloseListener())
                with self.assertRaises(OSError):
                    socket.create_connection(here.where)
                for at in sockets:
                    at.setblocking(False)
                    router = Router(await anyio.abc.SocketStream.from_socket(at))
                    here.tasks.start_soon(router._read)
                    await router.until(lambda router=router: router.answers and router.notices)
                    self.assertEqual([error for error, _ in router.answers.values()], [None])

    async def test_a_connection_is_not_closed_over_an_op_that_stands_unread(self) -> None:
        """By what closes an idle one: unused for long, a full table, no first message."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        inbox, events = anyio.create_memory_object_stream[messages.Event](8)
        self.addCleanup(inbox.close)
        self.addCleanup(events.close)
        hall = listener.Listener(mock.Mock(), listener.SPARE_DESCRIPTORS + 1, 30.0, inbox)
        connection = listener.ClientConnection(ours, mock.Mock(), inbox)
        self.addCleanup(connection.outbox.close)
        self.addCleanup(connection.outbox_reader.close)
        hall.connections.add(connection)
        theirs.send(b"\x94")
        self.assertFalse(hall._evict_connection())
        for heard, leaving_since in [(True, 0.0), (False, float("inf"))]:
            connection.has_sent_message, connection.notified_at = heard, leaving_since
            connection.incomplete_since = float("inf") if heard else 0.0
            hall._sweep(connection.used_at)
            self.assertFalse(connection.scope.cancel_called)
        ours.recv(1)
        hall._sweep(connection.used_at)
        self.assertTrue(connection.scope.cancel_called)

    async def test_a_connection_is_not_closed_over_an_answer_that_is_told_and_not_written(self) -> None:
        """On herd+mass 13 ops were given up at once, and the look at what is unused came before the answers
        went out: their connection was closed, with all 13 on it."""
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        inbox, events = anyio.create_memory_object_stream[messages.Event](8)
        hall = listener.Listener(mock.Mock(), listener.SPARE_DESCRIPTORS + 1, 30.0, inbox)
        ours.setblocking(False)
        connection = listener.ClientConnection(ours, mock.Mock(), inbox)
        hall.connections.add(connection)
        with inbox, events:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.run)
                await anyio.wait_all_tasks_blocked()
                connection.open_requests = {number: f"{number}" for number in range(13)}
                connection.has_sent_message, connection.incomplete_since, connection.notified_at = (
                    True,
                    float("inf"),
                    0.0,
                )
                for number in range(13):
                    connection.send(extensions.Answer(number, extensions.Verdict.FAILED))
                self.assertFalse(hall._evict_connection())
                hall._sweep(connection.used_at)
                self.assertFalse(connection.scope.cancel_called)
                await until(lambda: hall._sweep(connection.used_at) or connection.scope.cancel_called)
        theirs.settimeout(20)
        unpacker = msgpack.Unpacker()
        while data := theirs.recv(1 << 14):
            unpacker.feed(data)
        self.assertEqual([frame[1] for frame in unpacker], list(range(13)))

    async def test_hundreds_that_come_at_once_find_room(self) -> None:
        """Seven in ten routers of a large fleet restart together: all wait in the queue of one listener."""
        many = 400
        async with place(Processor(calls=0), limits__sockets=1024) as here:
            await (known := await here.router()).answer(await known.check())
            failed = counters["accepts_failed"]
            sockets = [socket.create_connection(here.where, timeout=20) for _ in range(many)]
            for at in sockets:
                at.close()
            for _ in range(20):  # turns in which they come and go, however long each is
                await known.answer(await known.check())
            self.assertIsNone((await known.answer(await known.ask("look", allow="2900")))[0])
            self.assertEqual(counters["accepts_failed"], failed)


class EarlySignals(unittest.TestCase):
    """A real process whose start file is a pipe: it has begun, and can't go on before it is written."""

    def server(self, early: list[int], fate: int | None) -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            pipe, plain = Path(folder) / "start.json", Path(folder) / "again.json"
            os.mkfifo(pipe)
            plain.write_bytes(orjson.dumps(told(listen="127.0.0.1:0", stop_ms=600)))
            with subprocess.Popen(
                [sys.executable, "-O", "-m", "thymeyoke", "serve", "--config", str(pipe)],
                stderr=subprocess.PIPE, text=True) as process:  # fmt: skip
                try:
                    with pipe.open("wb") as file:  # opens once the process reads
                        for number in early:
                            process.send_signal(number)
                        file.write(plain.read_bytes())
                        plain.replace(pipe)
                    if fate is None:
                        lines = []
                        while process.stderr and not any("listening" in line for line in lines):
                            lines.append(process.stderr.readline())
                        return lines
                    lines = process.communicate(timeout=60)[1].splitlines()
                    self.assertEqual(process.returncode, fate, lines)
                    return lines
                finally:
                    process.kill()

    def test_a_signal_before_its_handler_is_heard_later(self) -> None:
        lines = self.server([signal.SIGTERM, signal.SIGHUP], 0)
        self.assertTrue(any("event=graceful_shutdown_started" in line for line in lines), lines)
        self.assertTrue(any("event=stopped" in line for line in lines), lines)
        self.assertTrue(self.server([signal.SIGHUP], None))

    def test_a_notice_that_waited_counts_from_the_first_moment_that_it_can_have_come(self) -> None:
        with mock.patch.object(early_signals, "_blocked_since", None):
            early_signals.block()
            first = early_signals._blocked_since
            os.kill(os.getpid(), signal.SIGHUP)
            self.assertEqual(signal.sigpending(), {signal.SIGHUP})
            ignored = signal.signal(signal.SIGHUP, signal.SIG_IGN)
            self.assertIsNone(early_signals.unblock())
            signal.signal(signal.SIGHUP, ignored)
            early_signals.block()
            first = early_signals._blocked_since
            notices: list[int] = []
            before = signal.signal(signal.SIGTERM, lambda number, _: notices.append(number))
            os.kill(os.getpid(), signal.SIGTERM)
            self.assertEqual(early_signals.unblock(), first)
            signal.signal(signal.SIGTERM, before)
            self.assertEqual(notices, [signal.SIGTERM])
