"""Tests of the ledger on sockets: counts of clients against statements, failing disks and receivers, random
kills."""

from __future__ import annotations

import os
import signal
import sqlite3
import subprocess
import sys
import tempfile
import time
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from random import Random
from secrets import token_hex
from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketStream
from click.testing import CliRunner

from examples.fakes import LOST, Processor, Router, StandIn
from fakes.fleet import Instance, free_port
from fakes.processes import Spent
from tests.app_server import RunningServer, retried, running_server, until
from tests.test_ledger import usage
from thymeyoke.__main__ import main
from thymeyoke.configuration import service_config
from thymeyoke.ledger import export, statement, usage_recorder, wire
from thymeyoke.ledger.export_store import ExportStore
from thymeyoke.ledger.receiver import Receiver
from thymeyoke.ledger.usage_entries import Kind
from thymeyoke.ledger.usage_journal import UsageJournal
from thymeyoke.runtime import logs

# Microseconds. Answers wait at most half of it for the disk, so that the test passes on slow disks too.
SLACK = 4_000_000
PATIENT = {"settings__contract__answer_slack_us": SLACK}
KILLS = int(os.environ.get("THYMEYOKE_KILLS", "6"))  # a long run is recorded in docs/ledger.md


class FaultyReceiver(StandIn):
    """The real receiver behind a listener that misbehaves on its first connections, one fault each."""

    def __init__(self, store: ExportStore, *faults: str) -> None:
        super().__init__()
        self.receiver, self.faults = Receiver(store), list(faults)
        self.connections = 0

    async def speak(self, stream: SocketStream) -> None:
        self.connections += 1
        match self.faults.pop(0) if self.faults else "":
            case "noise":
                await stream.send(b"\xff" * 64)
            case "half":
                await stream.send(wire.encode(wire.Welcome(bytes(16), 0, b""))[:9])
            case "mute":
                await anyio.sleep_forever()
            case "cut":
                await stream.receive()
            case "out of turn":
                await stream.send(wire.encode(wire.Acknowledgement(0, b"")))
                await stream.receive()
            case _:
                await self.receiver._handle_connection(stream)


@retried
class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        logs.counters.clear()

    def service_config_reader(
        self, port: int = 0, **options: Any
    ) -> Callable[[], service_config.ServiceConfig]:
        lines = ["[ledger]", f"path = {self.folder / 'book'}", "period = 1"]
        lines += [f"{name} = {value}" for name, value in options.items()]
        lines += ["[ledger.export]", f"receiver = 127.0.0.1:{port}"] if port else []
        path = self.folder / "service.ini"
        path.write_text("\n".join(lines))
        return lambda: service_config.read_service_config(path)

    @asynccontextmanager
    async def faulty_receiver(self, *faults: str) -> AsyncIterator[FaultyReceiver]:
        store = ExportStore(self.folder / "vault")
        try:
            async with anyio.create_task_group() as tasks:
                faulty_receiver = FaultyReceiver(store, *faults)
                await tasks.start(faulty_receiver.run)
                yield faulty_receiver
                tasks.cancel_scope.cancel()
        finally:
            store.close_database()

    async def send_requests(
        self, here: RunningServer, count: int, counted: Counter[tuple[str, str, str]]
    ) -> None:
        router = await here.router()
        sent = []
        for at in range(count):
            tenant, type_ = ("north", "south")[at % 3 == 0], ("look", "buy")[at % 2]
            number = await router.ask(type_, b"x" * (at % 7), project=tenant, replay=token_hex(16))
            sent.append((number, tenant, type_))
            if at % 8 == 7:
                await router.answer(number)
        for number, tenant, type_ in sent:
            error, _ = await router.answer(number)
            counted[tenant, type_, "nacked" if error else "acked"] += 1

    def test_statements_match_what_clients_counted(self) -> None:
        async def run(answers: str) -> None:
            counted: Counter[tuple[str, str, str]] = Counter()
            async with self.faulty_receiver() as faulty_receiver:
                config_reader = self.service_config_reader(faulty_receiver.port, answers=answers)
                async with running_server(Processor(0.002, calls=0), orders=config_reader, **PATIENT) as here:
                    await self.send_requests(here, 120, counted)
                    await until(
                        lambda: sum(map(statement_counter(faulty_receiver), ("acked", "nacked"))) == 120
                    )
                rows = statement.statement(faulty_receiver.receiver.store.received_journals())
                found: Counter[tuple[str, str, str]] = Counter()
                for row in rows:
                    found[row["tenant"], row["type"], row["kind"]] += row["ops"]
                    self.assertTrue(row["whole"])
                    if row["kind"] == "acked":
                        self.assertGreaterEqual(row["run"], row["ops"] * 1000)
                        self.assertGreater(row["octets"], 0)
                self.assertEqual(found, counted)
                self.assertEqual(faulty_receiver.receiver.store.verify(), [])
                self.assertEqual(logs.counters["ledger_told_unbacked"], 0)

        for answers in ("after", "before"):
            with self.subTest(answers=answers):
                self.setUp()
                anyio.run(run, answers)

    def test_repeated_requests_are_not_charged(self) -> None:
        async def run() -> None:
            async with running_server(Processor(0.05, calls=0), orders=self.service_config_reader()) as here:
                router = await here.router()
                idempotency_key = token_hex(16)
                numbers = [await router.ask("buy", b"x", replay=idempotency_key) for _ in range(3)]
                for number in numbers:
                    self.assertIsNone((await router.answer(number))[0])
                await until(lambda: logs.counters["ledger_entries"] == 3)
            journal = UsageJournal(self.folder / "book", 1, is_start=False)
            kinds = Counter(entry.key.kind for entry in journal.entries())
            free = [entry.amounts for entry in journal.entries() if entry.key.kind == Kind.REPEAT]
            journal.close_database()
            self.assertEqual(kinds, {Kind.ACKED: 1, Kind.REPEAT: 2})
            self.assertEqual({tuple(amounts) for amounts in free}, {(1, 0, 0, 0, 0)})

        anyio.run(run)

    def test_a_hanging_disk_delays_no_answer(self) -> None:
        """While a commit takes over a second, answers are sent at their deadline and all usage is recorded
        later."""
        real = UsageJournal.append

        def slow(journal: UsageJournal, usages: Any) -> int:
            time.sleep(1.2)
            return real(journal, usages)

        async def run() -> None:
            async with running_server(Processor(0.002, calls=0), orders=self.service_config_reader()) as here:
                with mock.patch.object(UsageJournal, "append", slow):
                    router = await here.router()
                    for _ in range(10):
                        spent = Spent()
                        self.assertIsNone((await router.answer(await router.ask("look")))[0])
                        self.assertLess(spent.seconds(), 0.4)
                    self.assertGreater(logs.counters["ledger_told_unbacked"], 5)
                await until(lambda: logs.counters["ledger_entries"] == 10)

        anyio.run(run)

    def test_a_full_disk_rejects_requests_or_drops_usage_as_configured(self) -> None:
        async def run(full: str) -> None:
            broken = mock.patch.object(
                UsageJournal, "append", side_effect=sqlite3.OperationalError("database or disk is full")
            )
            with mock.patch.object(usage_recorder, "MAX_PENDING_USAGES", 20):
                async with running_server(
                    Processor(0.002, calls=0), orders=self.service_config_reader(full=full)
                ) as here:
                    router, errors = await here.router(), []
                    with broken:
                        for _ in range(30):
                            spent = Spent()
                            errors.append((await router.answer(await router.ask("look")))[0])
                            self.assertLess(spent.seconds(), 0.4)
                        self.assertGreater(logs.counters["ledger_commit_failed"], 0)
                    refused = sum(error is not None for error in errors)
                    if full == "refuse":
                        self.assertEqual(
                            (refused, logs.counters["requests_rejected_by_ledger"]),
                            (30 - (30 - refused), refused),
                        )
                        self.assertTrue(15 <= refused <= 20, refused)
                        self.assertEqual(logs.counters["ledger_lost"], 0)
                    else:
                        self.assertEqual((refused, logs.counters["ledger_lost"] > 0), (0, True))
                    kept = 30 - refused - logs.counters["ledger_lost"]
                    await until(lambda: logs.counters["ledger_entries"] == kept)
                    self.assertIsNone((await router.answer(await router.ask("look")))[0])

        for full in ("refuse", "lose"):
            with self.subTest(full=full):
                self.setUp()
                anyio.run(run, full)

    def test_no_answer_waits_for_a_journal_that_is_not_open(self) -> None:
        async def run() -> None:
            config_reader = self.service_config_reader()
            slow = mock.patch.object(
                usage_recorder, "UsageJournal", side_effect=usage_recorder.StoreError("no book")
            )
            slow.start()
            async with running_server(Processor(0.002, calls=0), orders=config_reader) as here:
                router = await here.router()
                for _ in range(5):
                    self.assertIsNone((await router.answer(await router.ask("look")))[0])
                self.assertEqual(logs.counters["ledger_told_unbacked"], 5)
                slow.stop()
                await until(lambda: logs.counters["ledger_entries"] == 5)

        anyio.run(run)

    def test_a_drain_writes_pending_usage(self) -> None:
        """A drain without connections ends at once, except that it waits for a slow disk."""
        real = UsageJournal.append

        def slow(journal: UsageJournal, usages: Any) -> int:
            time.sleep(0.3)
            return real(journal, usages)

        async def run() -> None:
            with mock.patch.object(UsageJournal, "append", slow):
                async with running_server(
                    Processor(0.002, calls=0), orders=self.service_config_reader(answers="before")
                ) as here:
                    router = await here.router()
                    for _ in range(8):
                        self.assertIsNone((await router.answer(await router.ask("look")))[0])
                    await anyio.aclose_forcefully(router.stream)
                    await anyio.sleep(0.1)
                    os.kill(os.getpid(), signal.SIGTERM)
                    await here.ended.wait()
            journal = UsageJournal(self.folder / "book", 1, is_start=False)
            found = len(list(journal.entries()))
            journal.close_database()
            self.assertEqual(found, 8)

        anyio.run(run)

    def test_receivers_that_violate_the_protocol(self) -> None:
        """After invalid data, half a message, a closed connection and an unexpected message, all is exported
        once."""

        async def run() -> None:
            async with (
                self.faulty_receiver("noise", "half", "cut", "out of turn") as faulty_receiver,
                running_server(
                    Processor(0.002, calls=0), orders=self.service_config_reader(faulty_receiver.port)
                ) as here,
            ):
                await self.send_requests(here, 40, Counter())
                await until(lambda: sum(map(statement_counter(faulty_receiver), ("acked", "nacked"))) == 40)
                self.assertGreaterEqual(faulty_receiver.connections, 5)
                self.assertEqual(logs.counters["ledger_export_halted"], 0)

        anyio.run(run)

    def test_a_receiver_that_was_unreachable_for_ten_periods(self) -> None:
        async def run() -> None:
            journal = UsageJournal(self.folder / "book", 1)
            for at in range(12):
                journal.append([usage(1000.0 + at)] * 3)
                journal.close_periods(1001.6 + at)
            journal.close_database()
            async with (
                self.faulty_receiver("mute") as faulty_receiver,
                running_server(orders=self.service_config_reader(faulty_receiver.port)),
            ):
                await until(lambda: sum(map(statement_counter(faulty_receiver), ("acked",))) == 36)
                self.assertEqual(faulty_receiver.connections, 2)

        with mock.patch.object(export, "RESPONSE_TIMEOUT", 0.5 * self.times):
            anyio.run(run)

    def test_invalid_clients_of_the_receiver(self) -> None:
        async def run() -> None:
            async with self.faulty_receiver() as faulty_receiver:
                for message in (b"GET / HTTP/1.1\r\n\r\n", wire.encode(wire.Batch(1, b"", b"")),
                             wire.encode(wire.Hello("n", b"short", 0)), b"\0\0\0\5abc"):  # fmt: skip
                    stream = await anyio.connect_tcp("127.0.0.1", faulty_receiver.port)
                    await stream.send(message)
                    if message.startswith(b"\0\0\0\5"):
                        await stream.send_eof()
                    with suppress(*LOST):
                        while b"without its mark" not in await stream.receive():
                            pass
                    await stream.aclose()
                self.assertEqual(faulty_receiver.receiver.store.received_journals(), [])

        anyio.run(run)

    def test_commands(self) -> None:
        journal = UsageJournal(self.folder, 60)
        journal.append([usage(1000.0), usage(1001.0, "south")])
        journal.close_periods(2000.0)
        store = ExportStore(self.folder)
        store.register_journal(journal.journal_id, "n1")
        store.store_batch(journal.journal_id, journal.batch(1) or self.fail())
        journal.close_database()
        store.close_database()

        def run_command(*command: str) -> tuple[int, str]:
            done = CliRunner().invoke(main, ["ledger", *command, "--path", str(self.folder)])
            return done.exit_code, done.output

        code, text = run_command("show", "--tenant", "north")
        self.assertEqual(code, 0)
        self.assertRegex(text, r"1.1 +(op-1)? +16 +north +look +acked +1 +0.250000 +1 +1.500000 +300")
        self.assertEqual(
            run_command(
                "correct", "--entry", "1.1", "--amount", "run=-0.25,ops=-1", "--why", "ran for nobody"
            )[0],
            0,
        )
        for bad in (("--entry", "9.9", "--amount", "run=1"), ("--entry", "1.1", "--amount", "runs=1")):
            self.assertNotEqual(run_command("correct", *bad, "--why", "x")[0], 0)
        self.assertEqual(run_command("verify"), (0, "all fits\n"))
        self.assertRegex(
            run_command("statement", "--tenant", "south")[1], r"16 +1 +south +look +acked +1 +0.250000"
        )
        self.assertRegex(run_command("explain", "north", "16")[1], r"n1 +[0-9a-f]{8} +1 +1 +look +acked")
        database = sqlite3.connect(self.folder / "ledger.db")
        database.execute("UPDATE entries SET run = 1 WHERE number = 2")
        database.commit()
        database.close()
        code, text = run_command("verify")
        self.assertEqual((code, "have changed since they were committed" in text), (1, True))
        empty = CliRunner().invoke(main, ["ledger", "show", "--path", str(self.folder / "none")])
        self.assertEqual((empty.exit_code, "contains no usage journal" in empty.output), (1, True))


def statement_counter(faulty_receiver: FaultyReceiver) -> Callable[[str], int]:
    def count(kind: str) -> int:
        rows = statement.statement(faulty_receiver.receiver.store.received_journals())
        return sum(row["ops"] for row in rows if row["kind"] == kind)

    return count


class KilledProcessesTest(unittest.TestCase):
    """App servers and the receiver are killed at random; clients' counts are compared with statements."""

    def test_killed_at_random(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            anyio.run(self.run_instances, Path(folder), Random(17))

    async def run_instances(self, folder: Path, rng: Random) -> None:
        port, instances = free_port(), [Instance(number, folder) for number in range(3)]
        command = [sys.executable, "-m", "thymeyoke", "ledger", "receive", "--listen", f"127.0.0.1:{port}",
                   "--path", str(folder / "vault")]  # fmt: skip
        acked: dict[int, set[str]] = {number: set() for number in range(3)}
        unanswered: dict[int, set[str]] = {number: set() for number in range(3)}

        def receive() -> subprocess.Popen[bytes]:
            return subprocess.Popen(command, stderr=subprocess.DEVNULL)

        receiver = receive()
        try:
            async with anyio.create_task_group() as tasks:
                for one in instances:
                    await one.around(tasks)
                    one.processor.span, one.processor.cores, one.port = 0.005, None, free_port()
                    one.contract = {"answer_slack_us": SLACK}
                    one.extra = f"[ledger]\npath = {folder / str(one.number)}\nperiod = 1\nkeep = 100000\n[ledger.export]\nreceiver = 127.0.0.1:{port}"  # noqa: E501
                    one.start([])
                async with anyio.create_task_group() as clients:
                    for one in instances:
                        clients.start_soon(self.client, one, tasks, acked, unanswered)
                    for kill in range(KILLS):  # requests are answered before each kill
                        await until(lambda n=kill: sum(map(len, acked.values())) > 20 * n)
                        await anyio.sleep(rng.uniform(0.3, 1.5))
                        if rng.random() < 0.25:
                            receiver.kill()
                            receiver.wait()
                            receiver = receive()
                            continue
                        one = rng.choice(instances)
                        one.signal(signal.SIGKILL)
                        await one.gone()
                        one.start([])
                    await until(lambda: sum(map(len, acked.values())) > 20 * KILLS)
                    await anyio.sleep(1.0)
                    for one in instances:
                        one.stopping = True
                store = ExportStore(folder / "vault")
                try:
                    await until(lambda: self.statement(store) == self.journal_counts(instances, folder))
                    found = self.statement(store)
                    self.assertEqual(store.verify(), [])
                finally:
                    store.close_database()
                tasks.cancel_scope.cancel()
        finally:
            receiver.kill()
            receiver.wait()
            for one in instances:
                one.end()
        answers_lost: list[str] = []
        for one in instances:
            ids = self.recorded_requests(folder, one)
            self.assertEqual(len(ids), len(set(ids)), "a request was recorded twice")
            self.assertEqual(found[one.number], len(ids))
            # Each request that was answered is recorded; others only if a kill lost their answer.
            self.assertLessEqual(acked[one.number], set(ids))
            self.assertLessEqual(set(ids) - acked[one.number], unanswered[one.number])
            answers_lost += [f"n{one.number} {id_}" for id_ in sorted(set(ids) - acked[one.number])]
        if KILLS > 6:
            counts = [sum(map(len, which.values())) for which in (acked, unanswered)]
            print(f"{KILLS} kills: acked {counts[0]}, entered {sum(found.values())}, in doubt {counts[1]}")
            print(f"entered, and their answers lost: {', '.join(answers_lost)}")

    def recorded_requests(self, folder: Path, one: Instance) -> list[str]:
        database = sqlite3.connect(folder / str(one.number) / "ledger.db")
        ids = [row[0] for row in database.execute("SELECT op FROM entries WHERE kind = 1")]
        database.close()
        return ids

    def statement(self, store: ExportStore) -> Counter[int]:
        found: Counter[int] = Counter()
        for stream in store.received_journals():
            for row in statement.statement([stream]):
                if row["kind"] == "acked":
                    found[int(stream.name[1:])] += row["ops"]
        return found

    def journal_counts(self, instances: list[Instance], folder: Path) -> Counter[int]:
        found: Counter[int] = Counter()
        for one in instances:
            database = sqlite3.connect(folder / str(one.number) / "ledger.db")
            (found[one.number],) = database.execute("SELECT COUNT(*) FROM entries WHERE kind = 1").fetchone()
            database.close()
        return found

    async def client(
        self, one: Instance, tasks: Any, acked: dict[int, set[str]], unanswered: dict[int, set[str]]
    ) -> None:
        """Send a few requests at a time, and note those whose connection closed before the answer."""
        one.stopping = False
        while not one.stopping:
            try:
                router = await Router.connect(tasks, "127.0.0.1", one.port)
            except OSError:
                await anyio.sleep(0.02)
                continue
            while not router.closed and not one.stopping:
                numbers: list[tuple[int, str]] = []
                with suppress(*LOST, OSError):
                    for _ in range(4):
                        id_ = f"{next(Router.ids):016x}"
                        unanswered[one.number].add(id_)  # until its answer arrives
                        numbers.append((await router.ask("look", b"x", ref=id_), id_))
                with suppress(TimeoutError):
                    await router.until(
                        lambda r=router, n=numbers: r.closed or all(at in r.answers for at, _ in n), 3.0
                    )
                for number, id_ in numbers:
                    if number in router.answers:
                        unanswered[one.number].discard(id_)
                        if router.answers[number][0] is None:
                            acked[one.number].add(id_)
                await anyio.sleep(0.01)
