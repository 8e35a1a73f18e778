"""Shutdown of a server at any time, including during its start: its messages, runs and answers."""

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
from tests.app_server import retried, running_server, start_file_with, until
from thymeyoke.runtime import early_signals, extensions
from thymeyoke.runtime.logs import counters
from thymeyoke.server import dispatcher, drain, lifecycle, listener, messages

GRACE, SLACK = 0.5, 0.1  # seconds, as in the toy deployment's settings


def unix_milliseconds(moment: float) -> str:
    return f"{moment * 1000:.0f}"


async def respond_late(speak: Callable[[Any], Awaitable[None]], stream: Any) -> None:
    await anyio.sleep(0.3)
    await speak(stream)


@retried
class DrainGrace(unittest.IsolatedAsyncioTestCase):
    times = 1

    def scaled_settings(self) -> dict[str, int]:
        """The grace period and stop timeout of the settings, multiplied by `times`."""
        return {"settings__contract__drain_grace_us": 500_000 * self.times, "stop_ms": 2000 * self.times}

    async def test_requests_after_the_grace_are_rejected_however_late_the_notice_is_handled(self) -> None:
        """Cases: seconds from the notice to the request, and whether it runs.

        The grace period used to count from when the dispatcher handled the notice, so that a busy event loop
        ran requests that had arrived after its end.
        """
        grace = GRACE * self.times
        cases = [(grace - 0.3, True), (grace - SLACK / 2, False), (grace + 0.1, False)]
        for after, runs in cases:
            with self.subTest(after=after):
                async with running_server(Processor(calls=0), **self.scaled_settings()) as here:
                    router = await here.router()
                    await router.answer(await router.check())
                    began = time.time()
                    os.kill(os.getpid(), signal.SIGTERM)
                    time.sleep(0.3)  # the event loop is busy, as on a slow machine
                    await anyio.sleep(max(0.0, began + after - time.time()))
                    answer = await router.answer(
                        await router.ask("look", since=unix_milliseconds(began + after))
                    )
                    self.assertEqual((answer[0] is None, len(here.processor.begun)), (runs, int(runs)))

    async def test_drain_in_each_state_of_the_registry(self) -> None:
        """Answers on connections from before and after the notice, and reports to the registry.

        A request sent at the same time as the client's shutdown notice is answered but not run.
        """
        for state in ("up", "late", "silent", "gone"):
            with self.subTest(list=state):
                roster = Roster(status=0 if state == "silent" else 204)
                async with running_server(
                    Processor(calls=0), roster=roster, **self.scaled_settings()
                ) as here:
                    if state == "gone":
                        await roster.cut()
                        roster.tasks.cancel_scope.cancel()
                    elif state == "late":
                        roster.speak = functools.partial(respond_late, roster.speak)
                        await roster.cut()
                    before = await here.router()
                    await before.answer(await before.check())
                    os.kill(os.getpid(), signal.SIGTERM)
                    after = await here.router()
                    self.assertFalse((await after.answer(await after.check()))[1][0])
                    for router in (before, after):
                        self.assertIsNone((await router.answer(await router.ask("look")))[0])
                        self.assertEqual(router.notices, [])
                    if state == "up":  # a silent one gets it only after the previous report has timed out
                        await roster.until(lambda roster=roster: roster.reports[-1][1] == "no")
                    for router in (before, after):
                        await router.until(lambda router=router: router.notices)
                        late_answer = await router.answer(await router.ask("look"))
                        self.assertEqual((late_answer[0][0], len(here.processor.begun)), ("Shed", 2))
                        await router.stream.aclose()
                    with self.assertRaises(OSError):
                        await here.router()
                    spent = Spent()
                    await here.ended.wait()
                    self.assertLess(spent.seconds(), 0.5)

    async def test_shutdown_notice_before_the_processor_is_ready(self) -> None:
        """The controller, created after the notice, was not notified of it and admitted all requests."""
        slow = Processor(calls=0)
        slow.up = anyio.Event()
        async with running_server(slow) as here:
            router = await here.router()
            self.assertTrue((await router.answer(await router.check()))[1][0])
            os.kill(os.getpid(), signal.SIGTERM)
            await here.roster.until(lambda: here.roster.reports[-1][1] == "no")
            self.assertFalse((await router.answer(await router.check()))[1][0])
            slow.up.set()
            await slow.until(lambda: any(said["event"] == "usage" for said in slow.heard))
            await router.until(lambda: router.notices)
            late = await router.ask("look", since=unix_milliseconds(time.time() + GRACE))
            self.assertEqual((await router.answer(late))[0][0], "Shed")
            self.assertEqual(slow.begun, [])

    async def test_requests_read_just_before_the_stop_are_answered(self) -> None:
        """The dispatcher used to end 60 ms early, without answering clients that had not read the notice."""
        # A quarter of this window applies, from 0.15 s before the stop; the connection stays open until then.
        with (
            mock.patch.object(drain, "LATE_REQUEST_WINDOW_SECONDS", 8.0),
            mock.patch.object(listener, "SHUTDOWN_NOTICE_GRACE_SECONDS", 9.0),
        ):
            async with running_server(Processor(calls=0)) as here:
                router = await here.router()
                await router.answer(await router.check())
                began = time.time()
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(
                    began
                    + start_file_with()["stop_ms"] / 1000
                    - drain.STOP_MARGIN_SECONDS
                    + 0.08
                    - time.time()
                )
                self.assertEqual((await router.answer(await router.ask("look")))[0][0], "Shed")

    async def test_repeated_shutdown_notices_have_no_effect(self) -> None:
        async with running_server(Processor(calls=0, held=True)) as here:
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


@retried
class ListenerClosing(unittest.IsolatedAsyncioTestCase):
    async def test_connections_in_the_backlog_are_served_when_the_listener_closes(self) -> None:
        """Closing the listener used to reset them, together with requests already sent."""
        dispatchers: list[dispatcher.Dispatcher] = []

        def create_dispatcher(*given: object) -> dispatcher.Dispatcher:
            dispatchers.append(dispatcher.Dispatcher(*given))
            return dispatchers[-1]

        with mock.patch.object(lifecycle, "Dispatcher", create_dispatcher):
            async with running_server(Processor(calls=0)) as here:
                await (known := await here.router()).answer(await known.check())
                sockets = [socket.create_connection(here.where) for _ in range(5)]
                for at in sockets:  # the event loop does not run until the listener is closed
                    at.sendall(known.frame("look")[1])
                dispatchers[0].listener.notify(messages.CloseListener())
                with self.assertRaises(OSError):
                    socket.create_connection(here.where)
                for at in sockets:
                    at.setblocking(False)
                    router = Router(await anyio.abc.SocketStream.from_socket(at))
                    here.tasks.start_soon(router._read)
                    await router.until(lambda router=router: router.answers and router.notices)
                    self.assertEqual([error for error, _ in router.answers.values()], [None])

    async def test_connection_with_unread_data_is_not_closed(self) -> None:
        """Not by the idle timeout, by eviction, or for a missing first message."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        inbox, events = anyio.create_memory_object_stream[messages.Event](8)
        self.addCleanup(inbox.close)
        self.addCleanup(events.close)
        server_listener = listener.Listener(mock.Mock(), listener.SPARE_DESCRIPTORS + 1, 30.0, inbox)
        connection = listener.ClientConnection(ours, mock.Mock(), inbox)
        self.addCleanup(connection.outbox.close)
        self.addCleanup(connection.outbox_reader.close)
        server_listener.connections.add(connection)
        theirs.send(b"\x94")
        self.assertFalse(server_listener._evict_connection())
        for has_sent_message, notified_at in [(True, 0.0), (False, float("inf"))]:
            connection.has_sent_message, connection.notified_at = has_sent_message, notified_at
            connection.incomplete_since = float("inf") if has_sent_message else 0.0
            server_listener._sweep(connection.used_at)
            self.assertFalse(connection.scope.cancel_called)
        ours.recv(1)
        server_listener._sweep(connection.used_at)
        self.assertTrue(connection.scope.cancel_called)

    async def test_connection_with_unwritten_answers_is_not_closed(self) -> None:
        """13 requests failed at the same time, and the check for unused connections ran before their answers
        were written: the connection was closed and all 13 answers were lost.
        """
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        inbox, events = anyio.create_memory_object_stream[messages.Event](8)
        server_listener = listener.Listener(mock.Mock(), listener.SPARE_DESCRIPTORS + 1, 30.0, inbox)
        ours.setblocking(False)
        connection = listener.ClientConnection(ours, mock.Mock(), inbox)
        server_listener.connections.add(connection)
        with inbox, events:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.run)
                await anyio.wait_all_tasks_blocked()
                connection.open_requests = {number: f"{number}" for number in range(13)}
                connection.has_sent_message = True
                connection.incomplete_since = float("inf")
                connection.notified_at = 0.0
                for number in range(13):
                    connection.send(extensions.Answer(number, extensions.Verdict.FAILED))
                self.assertFalse(server_listener._evict_connection())
                server_listener._sweep(connection.used_at)
                self.assertFalse(connection.scope.cancel_called)
                await until(
                    lambda: server_listener._sweep(connection.used_at) or connection.scope.cancel_called
                )
        theirs.settimeout(20)
        unpacker = msgpack.Unpacker()
        while data := theirs.recv(1 << 14):
            unpacker.feed(data)
        self.assertEqual([frame[1] for frame in unpacker], list(range(13)))

    async def test_hundreds_of_simultaneous_connections_are_accepted(self) -> None:
        """Seven in ten routers of a large fleet restart together and wait in the backlog of one listener."""
        client_count = 400
        async with running_server(Processor(calls=0), limits__sockets=1024) as here:
            await (known := await here.router()).answer(await known.check())
            failed = counters["accepts_failed"]
            sockets = [socket.create_connection(here.where, timeout=20) for _ in range(client_count)]
            for at in sockets:
                at.close()
            for _ in range(20):  # round trips during which they are accepted and end
                await known.answer(await known.check())
            self.assertIsNone((await known.answer(await known.ask("look", allow="2900")))[0])
            self.assertEqual(counters["accepts_failed"], failed)


class EarlySignals(unittest.TestCase):
    """A real process whose start file is a pipe, so that it blocks at the start until the file is written."""

    def server(self, signals: list[int], exit_code: int | None) -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            pipe, plain = Path(folder) / "start.json", Path(folder) / "again.json"
            os.mkfifo(pipe)
            plain.write_bytes(orjson.dumps(start_file_with(listen="127.0.0.1:0", stop_ms=600)))
            with subprocess.Popen(
                [sys.executable, "-O", "-m", "thymeyoke", "serve", "--config", str(pipe)],
                stderr=subprocess.PIPE, text=True) as process:  # fmt: skip
                try:
                    with pipe.open("wb") as file:  # blocks until the process reads
                        for number in signals:
                            process.send_signal(number)
                        file.write(plain.read_bytes())
                        plain.replace(pipe)
                    if exit_code is None:
                        lines = []
                        while process.stderr and not any("listening" in line for line in lines):
                            lines.append(process.stderr.readline())
                        return lines
                    lines = process.communicate(timeout=60)[1].splitlines()
                    self.assertEqual(process.returncode, exit_code, lines)
                    return lines
                finally:
                    process.kill()

    def test_signal_before_its_handler_is_handled_later(self) -> None:
        lines = self.server([signal.SIGTERM, signal.SIGHUP], 0)
        self.assertTrue(any("event=graceful_shutdown_started" in line for line in lines), lines)
        self.assertTrue(any("event=stopped" in line for line in lines), lines)
        self.assertTrue(self.server([signal.SIGHUP], None))

    def test_pending_notice_is_dated_at_the_start_of_blocking(self) -> None:
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
