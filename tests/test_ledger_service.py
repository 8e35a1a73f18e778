"""The ledger on sockets: what clients counted against statements, disks and receivers that fail, kills at
random."""

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
from tests.test_ledger import use
from thymeyoke.__main__ import main
from thymeyoke.configuration import service_config
from thymeyoke.ledger import export, statement, usage_recorder, wire
from thymeyoke.ledger.export_store import Vault
from thymeyoke.ledger.receiver import Receiver
from thymeyoke.ledger.usage_entries import Kind
from thymeyoke.ledger.usage_journal import Book
from thymeyoke.runtime import logs

# An answer waits for half of this on the disk at the most: the verdict does not hang on the disk's speed.
SLACK = 4_000_000
PATIENT = {"settings__contract__answer_slack_us": SLACK}
KILLS = int(os.environ.get("THYMEYOKE_KILLS", "6"))  # a long run is recorded in docs/ledger.md


class Far(StandIn):
    """The real receiver behind a listener that first misbehaves, connection by connection."""

    def __init__(self, vault: Vault, *faults: str) -> None:
        super().__init__()
        self.receiver, self.faults = Receiver(vault), list(faults)
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
                await stream.send(wire.encode(wire.Taken(0, b"")))
                await stream.receive()
            case _:
                await self.receiver._serve(stream)


@retried
class Ledgers(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        logs.counters.clear()

    def orders(self, port: int = 0, **options: Any) -> Callable[[], service_config.ServiceConfig]:
        lines = ["[ledger]", f"path = {self.folder / 'book'}", "period = 1"]
        lines += [f"{name} = {value}" for name, value in options.items()]
        lines += ["[ledger.export]", f"receiver = 127.0.0.1:{port}"] if port else []
        path = self.folder / "service.ini"
        path.write_text("\n".join(lines))
        return lambda: service_config.read_service_config(path)

    @asynccontextmanager
    async def far(self, *faults: str) -> AsyncIterator[Far]:
        vault = Vault(self.folder / "vault")
        try:
            async with anyio.create_task_group() as tasks:
                far = Far(vault, *faults)
                await tasks.start(far.run)
                yield far
                tasks.cancel_scope.cancel()
        finally:
            vault.close_file()

    async def ops(self, here: RunningServer, many: int, counted: Counter[tuple[str, str, str]]) -> None:
        router = await here.router()
        sent = []
        for at in range(many):
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
            async with self.far() as far:
                asked = self.orders(far.port, answers=answers)
                async with running_server(Processor(0.002, calls=0), orders=asked, **PATIENT) as here:
                    await self.ops(here, 120, counted)
                    await until(lambda: sum(map(rows_of(far), ("acked", "nacked"))) == 120)
                rows = statement.statement(far.receiver.vault.streams())
                found: Counter[tuple[str, str, str]] = Counter()
                for row in rows:
                    found[row["tenant"], row["type"], row["kind"]] += row["ops"]
                    self.assertTrue(row["whole"])
                    if row["kind"] == "acked":
                        self.assertGreaterEqual(row["run"], row["ops"] * 1000)
                        self.assertGreater(row["octets"], 0)
                self.assertEqual(found, counted)
                self.assertEqual(far.receiver.vault.verify(), [])
                self.assertEqual(logs.counters["ledger_told_unbacked"], 0)

        for answers in ("after", "before"):
            with self.subTest(answers=answers):
                self.setUp()
                anyio.run(run, answers)

    def test_repeats_are_charged_nothing(self) -> None:
        async def run() -> None:
            async with running_server(Processor(0.05, calls=0), orders=self.orders()) as here:
                router = await here.router()
                mark = token_hex(16)
                numbers = [await router.ask("buy", b"x", replay=mark) for _ in range(3)]
                for number in numbers:
                    self.assertIsNone((await router.answer(number))[0])
                await until(lambda: logs.counters["ledger_entries"] == 3)
            book = Book(self.folder / "book", 1, begin=False)
            kinds = Counter(entry.line.kind for entry in book.entries())
            free = [entry.amounts for entry in book.entries() if entry.line.kind == Kind.REPEAT]
            book.close_file()
            self.assertEqual(kinds, {Kind.ACKED: 1, Kind.REPEAT: 2})
            self.assertEqual({tuple(amounts) for amounts in free}, {(1, 0, 0, 0, 0)})

        anyio.run(run)

    def test_a_disk_that_hangs_holds_up_no_answer(self) -> None:
        """An fsync takes a second and more: answers go out at their moment, entries follow, none is lost."""
        real = Book.append

        def slow(book: Book, uses: Any) -> int:
            time.sleep(1.2)
            return real(book, uses)

        async def run() -> None:
            async with running_server(Processor(0.002, calls=0), orders=self.orders()) as here:
                with mock.patch.object(Book, "append", slow):
                    router = await here.router()
                    for _ in range(10):
                        spent = Spent()
                        self.assertIsNone((await router.answer(await router.ask("look")))[0])
                        self.assertLess(spent.seconds(), 0.4)
                    self.assertGreater(logs.counters["ledger_told_unbacked"], 5)
                await until(lambda: logs.counters["ledger_entries"] == 10)

        anyio.run(run)

    def test_a_full_disk_refuses_or_loses_as_told(self) -> None:
        async def run(full: str) -> None:
            broken = mock.patch.object(
                Book, "append", side_effect=sqlite3.OperationalError("database or disk is full")
            )
            with mock.patch.object(usage_recorder, "MOST", 20):
                async with running_server(Processor(0.002, calls=0), orders=self.orders(full=full)) as here:
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

    def test_no_answer_waits_for_a_book_that_is_not_open(self) -> None:
        async def run() -> None:
            asked = self.orders()
            slow = mock.patch.object(usage_recorder, "Book", side_effect=usage_recorder.BadBook("no book"))
            slow.start()
            async with running_server(Processor(0.002, calls=0), orders=asked) as here:
                router = await here.router()
                for _ in range(5):
                    self.assertIsNone((await router.answer(await router.ask("look")))[0])
                self.assertEqual(logs.counters["ledger_told_unbacked"], 5)
                slow.stop()
                await until(lambda: logs.counters["ledger_entries"] == 5)

        anyio.run(run)

    def test_a_drain_writes_what_is_on_its_way(self) -> None:
        """With nobody connected any more a drain is over at once, but for a disk that is slower."""
        real = Book.append

        def slow(book: Book, uses: Any) -> int:
            time.sleep(0.3)
            return real(book, uses)

        async def run() -> None:
            with mock.patch.object(Book, "append", slow):
                async with running_server(
                    Processor(0.002, calls=0), orders=self.orders(answers="before")
                ) as here:
                    router = await here.router()
                    for _ in range(8):
                        self.assertIsNone((await router.answer(await router.ask("look")))[0])
                    await anyio.aclose_forcefully(router.stream)
                    await anyio.sleep(0.1)
                    os.kill(os.getpid(), signal.SIGTERM)
                    await here.ended.wait()
            book = Book(self.folder / "book", 1, begin=False)
            found = len(list(book.entries()))
            book.close_file()
            self.assertEqual(found, 8)

        anyio.run(run)

    def test_receivers_that_misbehave(self) -> None:
        """Noise, half a message, a cut, an answer out of turn: the next connection brings all of it, once."""

        async def run() -> None:
            async with (
                self.far("noise", "half", "cut", "out of turn") as far,
                running_server(Processor(0.002, calls=0), orders=self.orders(far.port)) as here,
            ):
                await self.ops(here, 40, Counter())
                await until(lambda: sum(map(rows_of(far), ("acked", "nacked"))) == 40)
                self.assertGreaterEqual(far.connections, 5)
                self.assertEqual(logs.counters["ledger_export_halted"], 0)

        anyio.run(run)

    def test_a_receiver_that_was_gone_for_ten_periods(self) -> None:
        async def run() -> None:
            book = Book(self.folder / "book", 1)
            for at in range(12):
                book.append([use(1000.0 + at)] * 3)
                book.close(1001.6 + at)
            book.close_file()
            async with self.far("mute") as far, running_server(orders=self.orders(far.port)):
                await until(lambda: sum(map(rows_of(far), ("acked",))) == 36)
                self.assertEqual(far.connections, 2)

        with mock.patch.object(export, "ANSWER", 0.5 * self.times):
            anyio.run(run)

    def test_strangers_at_the_receiver(self) -> None:
        async def run() -> None:
            async with self.far() as far:
                for said in (b"GET / HTTP/1.1\r\n\r\n", wire.encode(wire.Batch(1, b"", b"")),
                             wire.encode(wire.Hello("n", b"short", 0)), b"\0\0\0\5abc"):  # fmt: skip
                    stream = await anyio.connect_tcp("127.0.0.1", far.port)
                    await stream.send(said)
                    if said.startswith(b"\0\0\0\5"):
                        await stream.send_eof()
                    with suppress(*LOST):
                        while b"without its mark" not in await stream.receive():
                            pass
                    await stream.aclose()
                self.assertEqual(far.receiver.vault.streams(), [])

        anyio.run(run)

    def test_commands(self) -> None:
        book = Book(self.folder, 60)
        book.append([use(1000.0), use(1001.0, "south")])
        book.close(2000.0)
        vault = Vault(self.folder)
        vault.greet(book.mark, "n1")
        vault.take(book.mark, book.batch(1) or self.fail())
        book.close_file()
        vault.close_file()

        def say(*command: str) -> tuple[int, str]:
            done = CliRunner().invoke(main, ["ledger", *command, "--path", str(self.folder)])
            return done.exit_code, done.output

        code, text = say("show", "--tenant", "north")
        self.assertEqual(code, 0)
        self.assertRegex(text, r"1.1 +(op-1)? +16 +north +look +acked +1 +0.250000 +1 +1.500000 +300")
        self.assertEqual(
            say("correct", "--entry", "1.1", "--amount", "run=-0.25,ops=-1", "--why", "ran for nobody")[0], 0
        )
        for bad in (("--entry", "9.9", "--amount", "run=1"), ("--entry", "1.1", "--amount", "runs=1")):
            self.assertNotEqual(say("correct", *bad, "--why", "x")[0], 0)
        self.assertEqual(say("verify"), (0, "all fits\n"))
        self.assertRegex(say("statement", "--tenant", "south")[1], r"16 +1 +south +look +acked +1 +0.250000")
        self.assertRegex(say("explain", "north", "16")[1], r"n1 +[0-9a-f]{8} +1 +1 +look +acked")
        store = sqlite3.connect(self.folder / "ledger.db")
        store.execute("UPDATE entries SET run = 1 WHERE number = 2")
        store.commit()
        store.close()
        code, text = say("verify")
        self.assertEqual((code, "are not as they were committed" in text), (1, True))
        empty = CliRunner().invoke(main, ["ledger", "show", "--path", str(self.folder / "none")])
        self.assertEqual((empty.exit_code, "holds no book" in empty.output), (1, True))


def rows_of(far: Far) -> Callable[[str], int]:
    def many(kind: str) -> int:
        rows = statement.statement(far.receiver.vault.streams())
        return sum(row["ops"] for row in rows if row["kind"] == kind)

    return many


class Kills(unittest.TestCase):
    """Instances and the receiver killed at random, and what clients counted against the statements."""

    def test_killed_at_random(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            anyio.run(self.run_it, Path(folder), Random(17))

    async def run_it(self, folder: Path, rng: Random) -> None:
        port, many = free_port(), [Instance(number, folder) for number in range(3)]
        command = [sys.executable, "-m", "thymeyoke", "ledger", "receive", "--listen", f"127.0.0.1:{port}",
                   "--path", str(folder / "vault")]  # fmt: skip
        acked: dict[int, set[str]] = {number: set() for number in range(3)}
        doubtful: dict[int, set[str]] = {
            number: set() for number in range(3)
        }  # out when the instance was killed

        def receive() -> subprocess.Popen[bytes]:
            return subprocess.Popen(command, stderr=subprocess.DEVNULL)

        receiver = receive()
        try:
            async with anyio.create_task_group() as tasks:
                for one in many:
                    await one.around(tasks)
                    one.processor.span, one.processor.cores, one.port = 0.005, None, free_port()
                    one.contract = {"answer_slack_us": SLACK}
                    one.extra = f"[ledger]\npath = {folder / str(one.number)}\nperiod = 1\nkeep = 100000\n[ledger.export]\nreceiver = 127.0.0.1:{port}"  # noqa: E501
                    one.start([])
                async with anyio.create_task_group() as clients:
                    for one in many:
                        clients.start_soon(self.client, one, tasks, acked, doubtful)
                    for kill in range(KILLS):  # some more were acked before each
                        await until(lambda n=kill: sum(map(len, acked.values())) > 20 * n)
                        await anyio.sleep(rng.uniform(0.3, 1.5))
                        if rng.random() < 0.25:
                            receiver.kill()
                            receiver.wait()
                            receiver = receive()
                            continue
                        one = rng.choice(many)
                        one.signal(signal.SIGKILL)
                        await one.gone()
                        one.start([])
                    await until(lambda: sum(map(len, acked.values())) > 20 * KILLS)
                    await anyio.sleep(1.0)
                    for one in many:
                        one.stopping = True
                vault = Vault(folder / "vault")
                try:
                    await until(lambda: self.statement(vault) == self.books(many, folder))
                    found = self.statement(vault)
                    self.assertEqual(vault.verify(), [])
                finally:
                    vault.close_file()
                tasks.cancel_scope.cancel()
        finally:
            receiver.kill()
            receiver.wait()
            for one in many:
                one.end()
        more: list[str] = []
        for one in many:
            ids = self.entered(folder, one)
            self.assertEqual(len(ids), len(set(ids)), "an op entered twice")
            self.assertEqual(found[one.number], len(ids))
            # What a client counted is there, op by op; more only by ops that a kill left in doubt.
            self.assertLessEqual(acked[one.number], set(ids))
            self.assertLessEqual(set(ids) - acked[one.number], doubtful[one.number])
            more += [f"n{one.number} {id_}" for id_ in sorted(set(ids) - acked[one.number])]
        if KILLS > 6:
            counts = [sum(map(len, which.values())) for which in (acked, doubtful)]
            print(f"{KILLS} kills: acked {counts[0]}, entered {sum(found.values())}, in doubt {counts[1]}")
            print(f"entered, and their answers lost: {', '.join(more)}")

    def entered(self, folder: Path, one: Instance) -> list[str]:
        store = sqlite3.connect(folder / str(one.number) / "ledger.db")
        ids = [row[0] for row in store.execute("SELECT op FROM entries WHERE kind = 1")]
        store.close()
        return ids

    def statement(self, vault: Vault) -> Counter[int]:
        found: Counter[int] = Counter()
        for stream in vault.streams():
            for row in statement.statement([stream]):
                if row["kind"] == "acked":
                    found[int(stream.name[1:])] += row["ops"]
        return found

    def books(self, many: list[Instance], folder: Path) -> Counter[int]:
        found: Counter[int] = Counter()
        for one in many:
            store = sqlite3.connect(folder / str(one.number) / "ledger.db")
            (found[one.number],) = store.execute("SELECT COUNT(*) FROM entries WHERE kind = 1").fetchone()
            store.close()
        return found

    async def client(
        self, one: Instance, tasks: Any, acked: dict[int, set[str]], doubtful: dict[int, set[str]]
    ) -> None:
        """Some ops at a time; those without an answer when the connection goes are in doubt."""
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
                        doubtful[one.number].add(id_)  # until its answer is here
                        numbers.append((await router.ask("look", b"x", ref=id_), id_))
                with suppress(TimeoutError):
                    await router.until(
                        lambda r=router, n=numbers: r.closed or all(at in r.answers for at, _ in n), 3.0
                    )
                for number, id_ in numbers:
                    if number in router.answers:
                        doubtful[one.number].discard(id_)
                        if router.answers[number][0] is None:
                            acked[one.number].add(id_)
                await anyio.sleep(0.01)
