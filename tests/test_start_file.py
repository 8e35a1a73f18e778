"""Start files of other deployments, invalid ones, addresses in use, reloads and early signals."""

from __future__ import annotations

import math
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import orjson
from click.testing import CliRunner

from examples.fakes import Processor, Roster
from tests.app_server import Server, actions, running_server, settings, start_file_with, until
from thymeyoke.__main__ import main
from thymeyoke.configuration import start_file
from thymeyoke.runtime.logs import counters

ABSENT = object()


def changed(path: str, value: Any) -> dict[str, Any]:
    """The start file of the toy deployment with one field changed or removed."""
    given: Any = start_file_with()
    *parents, last = path.split(".")
    at = given
    for part in parents:
        at = at[int(part) if isinstance(at, list) else part]
    if value is ABSENT:
        del at[last]
    else:
        at[last] = value
    return given


class StartFileTest(unittest.TestCase):
    def test_invalid_value_is_one_error_with_file_and_field(self) -> None:
        """Invalid ports, empty class lists and strings for numbers used to be accepted and broke the server
        later; errors named no field, and unknown words were reported as missing fields.
        """
        settings, family, first = "settings", "settings.family_info", "settings.request_classes.0"
        cases = [
            ("listen", "127.0.0.1:65536"), ("listen", ":4100"), ("listen", 7), ("listen", "127.0.0.1:-4"),
            ("processor", "127.0.0.1:0"), ("db", None), ("naming", "list:x"), ("name", 7), ("seed", "zz"),
            ("stop_ms", "2000"), ("stop_ms", -1), ("limits", []), ("limits.sockets", "512"),
            ("limits.sockets", 0), (settings, None), (f"{settings}.request_classes", []),
            (f"{settings}.tenants", {"a": 1}), (f"{settings}.tick_us", "4"), (f"{first}.effect", "odd"),
            (f"{first}.aim_us", 0), (f"{first}.worth", "1"), (f"{first}.name", ABSENT),
            (f"{family}.cpus", 0), (f"{family}.cpus", "2"), (f"{family}.memory_kb", None),
            (f"{family}.halt", "odd"), (f"{family}.fair_calls", "x"), (f"{family}.class_calls", [7]),
            (f"{settings}.contract.fall_multiple", True), (f"{settings}.contract", ABSENT),
        ]  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "start.json"
            for field, value in cases:
                path.write_bytes(orjson.dumps(changed(field, value)))
                ended = CliRunner().invoke(main, ["serve", "--config", str(path)])
                last = field.rpartition(".")[2]
                with self.subTest(field, value=value):
                    self.assertRegex(ended.output, rf"\AError: start file {path} .*\b{last}\b.*\n\Z")
                    self.assertEqual((ended.exit_code, type(ended.exception)), (1, SystemExit))

    def test_defaults_of_absent_fields(self) -> None:
        cases: list[tuple[str, Any, Callable[[dict[str, Any]], Any], Any]] = [
            ("settings.tenants", None, lambda given: given.tenants, ()),
            ("settings.caps", ABSENT, lambda given: given.clients.max_retry_after, 0.0),
            ("settings.family_info.idle_us", ABSENT, lambda given: given.clients.idle_timeout, 3600.0),
            ("settings.contract.cold_share", ABSENT, lambda given: given.overload.cold_speed_share, 0.0),
            (
                "settings.request_classes.1.memory_span_us",
                ABSENT,
                lambda given: given.request_classes[1].idempotency_window,
                3.0,
            ),
            (
                "settings.request_classes.0.memory_span_us",
                None,
                lambda given: given.request_classes[0].idempotency_window,
                0.0,
            ),
            (
                "settings.family_info.fair_calls",
                0,
                lambda given: given.dependency.kind,
                settings.DependencyKind.TIER,
            ),
            ("settings.new_key", {"a": 1}, lambda given: given.seed, 7),
        ]
        for field, value, read, expected in cases:
            with self.subTest(field):
                self.assertEqual(
                    read(start_file.read_admission_settings(7, changed(field, value)["settings"])), expected
                )
        for field in ("limits", "limits.sockets"):
            limit = mock.Mock(return_value=(300, 400))
            with self.subTest(field), mock.patch("resource.getrlimit", limit):
                self.assertEqual(start_file.read_server_settings(changed(field, None)).max_descriptors, 300)
        memory = [
            start_file.read_server_settings(changed("limits.memory_mb", megabytes)).memory_limit
            for megabytes in (64, None)
        ]
        self.assertEqual(memory, [64 << 20, math.inf])
        none_below = changed("settings.family_info.below", "silent") | {"db": None}
        self.assertIsNone(start_file.read_server_settings(none_below).dependency)

    def test_controller_interval_without_tick_and_slack(self) -> None:
        """The first interval used to divide by zero, and each was due at the time of the previous one."""
        server = Server(terms={"answer_slack": 0.0}, machine={"tick": 0.0})
        server.take_actions()
        self.assertGreaterEqual(
            min(action.span for action in server.expire_timer() if type(action) is actions.SetTimer), 0.01
        )


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_file_changes_nothing(self) -> None:
        """Any error but `StartFileError` used to end the server, and an invalid port reached its actors."""
        async with running_server(Processor(calls=0)) as here:
            router, given = await here.router(), here.start
            bad = start_file.StartFileError("half written")
            for new in (bad, given | {"processor": "127.0.0.1:65536"}, given | {"db": ""}, OverflowError()):
                before, read = counters["start_file_errors"], start_file.read_server_settings
                with mock.patch.object(
                    start_file, "read_server_settings", side_effect=OverflowError
                ) as broken:
                    here.start = new
                    if not isinstance(new, OverflowError):
                        broken.side_effect = read
                    os.kill(os.getpid(), signal.SIGHUP)
                    await until(lambda before=before: counters["start_file_errors"] == before + 1)
                self.assertIsNone((await router.answer(await router.ask("look")))[0])
            self.assertEqual((len(here.processor.streams), counters["actor_errors"]), (1, 0))

    async def test_address_changed_back_before_it_took_effect(self) -> None:
        """The registry's client applies a new address after its current report. Two reloads during a report,
        to another address and back, used to leave it at the other one.
        """
        other_registry = Roster()
        async with running_server(roster=Roster(status=0)) as here:
            await here.tasks.start(other_registry.run)
            await here.roster.until(lambda: here.roster.reports)  # sent, and unanswered for 0.9 s
            given = here.start
            with self.assertLogs("thymeyoke", "INFO") as lines:
                for new in (given | {"naming": f"127.0.0.1:{other_registry.port}"}, given):
                    here.start, seen = new, len(lines.output)
                    os.kill(os.getpid(), signal.SIGHUP)
                    await until(lambda seen=seen: len(lines.output) > seen)
            self.assertEqual(len(here.roster.reports), 1, "the first report ended before the reloads")
            await here.roster.until(lambda: len(here.roster.reports) > 2)
            self.assertLessEqual(len(other_registry.reports), 1)  # may have been sent in between


class AddressInUseTest(unittest.TestCase):
    """A real process whose address is still in use by its predecessor."""

    @contextmanager
    def waiting_server(self, stop_ms: int) -> Iterator[tuple[subprocess.Popen[str], socket.socket]]:
        with socket.create_server(("127.0.0.1", 0)) as predecessor, tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "start.json"
            listen = f"127.0.0.1:{predecessor.getsockname()[1]}"
            path.write_bytes(orjson.dumps(start_file_with(listen=listen, stop_ms=stop_ms)))
            command = [sys.executable, "-O", "-m", "thymeyoke", "serve", "--config", str(path)]
            with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
                try:
                    assert process.stderr is not None
                    self.assertIn("address_in_use", process.stderr.readline())
                    yield process, predecessor
                finally:
                    process.kill()

    def test_server_binds_once_the_address_is_free(self) -> None:
        with self.waiting_server(60_000) as (process, predecessor):
            predecessor.close()
            assert process.stderr is not None
            self.assertIn("event=listening", process.stderr.readline())

    def test_shutdown_notice_ends_the_wait(self) -> None:
        with self.waiting_server(60_000) as (process, _):
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            lines = process.communicate(timeout=60)[1]
            self.assertEqual((process.returncode, lines.count("\n")), (0, 1), lines)
            self.assertIn("event=stopped", lines)

    def test_wait_ends_with_one_error_after_the_stop_timeout(self) -> None:
        with self.waiting_server(100) as (process, _):
            lines = process.communicate(timeout=60)[1]
            self.assertEqual((process.returncode, lines.count("\n")), (1, 1), lines)
            self.assertRegex(lines, r"^Error: cannot listen on 127.0.0.1:\d+: .*in use")
