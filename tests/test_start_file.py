"""Start files of other sites and spoilt ones, addresses in use, reloads and signals out of turn."""

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
from tests.app_server import Server, actions, place, settings, told, until
from thymeyoke.__main__ import main
from thymeyoke.configuration import start_file
from thymeyoke.runtime.logs import counters

ABSENT = object()


def changed(path: str, value: Any) -> dict[str, Any]:
    """The toy's start file with one field changed, or without it."""
    given: Any = told()
    *way, last = path.split(".")
    at = given
    for part in way:
        at = at[int(part) if isinstance(at, list) else part]
    if value is ABSENT:
        del at[last]
    else:
        at[last] = value
    return given


class StartFiles(unittest.TestCase):
    def test_what_cannot_be_used_is_one_error_that_names_file_and_field(self) -> None:
        """Once a port past the last, no class or a text for a number was taken, and ended or stalled the
        server later; what was refused named no field, and an unknown word counted as a missing field."""
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

    def test_what_is_not_told_is_no_other_sites_figure(self) -> None:
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
            start_file.read_server_settings(changed("limits.memory_mb", told)).memory_limit
            for told in (64, None)
        ]
        self.assertEqual(memory, [64 << 20, math.inf])
        none_below = changed("settings.family_info.below", "silent") | {"db": None}
        self.assertIsNone(start_file.read_server_settings(none_below).dependency)

    def test_without_tick_and_slack_the_beat_does_not_spin(self) -> None:
        """Once the first beat divided by zero, and each was due at the moment of the one before."""
        server = Server(terms={"answer_slack": 0.0}, machine={"tick": 0.0})
        server.settle()
        self.assertGreaterEqual(min(did.span for did in server.beat() if type(did) is actions.SetTimer), 0.01)


class Reloads(unittest.IsolatedAsyncioTestCase):
    async def test_a_bad_file_changes_nothing_and_ends_nothing(self) -> None:
        """Once every error but `BadStart` ended the server, and a port out of range reached its actors."""
        async with place(Processor(calls=0)) as here:
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

    async def test_an_address_that_is_back_before_it_took_effect(self) -> None:
        """The list's client hears of a new address when its report is over. Once two reloads within that, to
        elsewhere and back, left it at the address between them."""
        elsewhere = Roster()
        async with place(roster=Roster(status=0)) as here:
            await here.tasks.start(elsewhere.run)
            await here.roster.until(lambda: here.roster.reports)  # sent, and not answered for 0.9 s
            given = here.start
            with self.assertLogs("thymeyoke", "INFO") as lines:
                for new in (given | {"naming": f"127.0.0.1:{elsewhere.port}"}, given):
                    here.start, seen = new, len(lines.output)
                    os.kill(os.getpid(), signal.SIGHUP)
                    await until(lambda seen=seen: len(lines.output) > seen)
            self.assertEqual(len(here.roster.reports), 1, "the first report was over before the reloads were")
            await here.roster.until(lambda: len(here.roster.reports) > 2)
            self.assertLessEqual(len(elsewhere.reports), 1)  # on the way


class AddressInUse(unittest.TestCase):
    """A real process whose address is still the one before it's."""

    @contextmanager
    def waiting(self, stop_ms: int) -> Iterator[tuple[subprocess.Popen[str], socket.socket]]:
        with socket.create_server(("127.0.0.1", 0)) as before, tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "start.json"
            listen = f"127.0.0.1:{before.getsockname()[1]}"
            path.write_bytes(orjson.dumps(told(listen=listen, stop_ms=stop_ms)))
            command = [sys.executable, "-O", "-m", "thymeyoke", "serve", "--config", str(path)]
            with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
                try:
                    assert process.stderr is not None
                    self.assertIn("address_in_use", process.stderr.readline())
                    yield process, before
                finally:
                    process.kill()

    def test_it_is_waited_for_and_taken(self) -> None:
        with self.waiting(60_000) as (process, before):
            before.close()
            assert process.stderr is not None
            self.assertIn("event=listening", process.stderr.readline())

    def test_a_notice_meanwhile_ends_it_at_once(self) -> None:
        with self.waiting(60_000) as (process, _):
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            lines = process.communicate(timeout=60)[1]
            self.assertEqual((process.returncode, lines.count("\n")), (0, 1), lines)
            self.assertIn("event=stopped", lines)

    def test_past_the_stop_of_who_was_there_it_is_one_error(self) -> None:
        with self.waiting(100) as (process, _):
            lines = process.communicate(timeout=60)[1]
            self.assertEqual((process.returncode, lines.count("\n")), (1, 1), lines)
            self.assertRegex(lines, r"^Error: cannot listen on 127.0.0.1:\d+: .*in use")
