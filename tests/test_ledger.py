"""The ledger's decisions and stores: periods, the book killed at every step, the export explored, sums on
both sides."""

from __future__ import annotations

import copy
import itertools
import os
import resource
import signal
import sqlite3
import tempfile
import unittest
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from thymeyoke.ledger import export, statement, wire
from thymeyoke.ledger.export import At, Dial, Drop, Greet, Held, Mark, Pin, Send, Sender, judge
from thymeyoke.ledger.export_store import Vault
from thymeyoke.ledger.statement import Stream
from thymeyoke.ledger.usage_entries import Amounts, Kind, Line, Periods, Recent, Use, sums
from thymeyoke.ledger.usage_journal import BadBook, Book
from thymeyoke.ledger.wire import Batch, Body, Hello, Refused, Taken, Welcome

LENGTH = 10


def use(at: float, tenant: str = "north", kind: Kind = Kind.ACKED, run: float = 0.25) -> Use:
    return Use(at, tenant, "look", kind, run, 1, 1.5, 300)


class Killed(BaseException):
    """The process ends here."""


class Step:
    """Ends the process at the n-th step that it is asked for, by name; counts them."""

    def __init__(self, name: str = "", nth: int = 1, end: Callable[[], None] | None = None) -> None:
        self.name, self.nth, self.end = name, nth, end
        self.seen: list[str] = []

    def __call__(self, name: str) -> None:
        self.seen.append(name)
        if name == self.name and self.seen.count(name) == self.nth:
            if self.end:
                self.end()
            raise Killed(name)


def kill_self() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def killed(what: Callable[[], object]) -> int:
    """In a process of its own, until it is killed or done; the signal that ended it."""
    child = os.fork()
    if child == 0:
        try:
            what()
        finally:
            os._exit(0)
    return os.WTERMSIG(os.waitpid(child, 0)[1])


class Places(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def book(self, step: Any = None, **more: Any) -> Book:
        book = Book(self.folder / "book", LENGTH, durable=False, step=step or Step(), **more)
        self.addCleanup(book.close_file)
        return book

    def vault(self, step: Any = None) -> Vault:
        vault = Vault(self.folder / "vault", step or Step())
        self.addCleanup(vault.close_file)
        return vault


class Times(unittest.TestCase):
    def test_periods(self) -> None:
        cases = [  # latest, closed, what happens at, the period it falls in
            (0.0, -1, 100.0, 10), (0.0, -1, 109.999, 10), (0.0, -1, 110.0, 11),
            (200.0, 9, 105.0, 10), (200.0, 18, 105.0, 19),  # a clock set back: the first that is open
            (3700.0, 369, 100.0, 370), (0.0, 10, 500.0, 50),  # an hour back; asleep through several
        ]  # fmt: skip
        for latest, closed, at, period in cases:
            with self.subTest(latest=latest, closed=closed, at=at):
                self.assertEqual(Periods(LENGTH, latest, closed).of(at), period)

    def test_what_closes(self) -> None:
        cases = [  # closed, now, periods with entries, those that close
            (-1, 111.0, [10], [10]), (-1, 110.9, [10], []), (-1, 125.0, [11, 10, 12], [10, 11]),
            (10, 125.0, [10, 11], [11]), (-1, 500.0, [10, 30, 48, 49], [10, 30, 48]), (-1, 500.0, [], []),
        ]  # fmt: skip
        for closed, now, held, due in cases:
            with self.subTest(closed=closed, now=now):
                periods = Periods(LENGTH, 0.0, closed)
                self.assertEqual(periods.due(now, held), due)
                self.assertGreater(periods.next(now), now)
        back = Periods(LENGTH, latest=500.0)
        self.assertEqual(back.due(100.0, [10, 30]), [10, 30])  # what once had ended has ended

    def test_amounts(self) -> None:
        self.assertEqual(use(0.0).amounts(), Amounts(1, 250_000, 1, 1_500_000, 300))
        self.assertEqual(use(0.0, kind=Kind.REPEAT).amounts(), Amounts(1))  # counted, and charged nothing
        thirds = [use(0.0, run=1 / 3).amounts()] * 3
        self.assertEqual(sums((Line("a", "b", Kind.ACKED), one) for one in thirds).popitem()[1].run, 999_999)

    def test_recent_use_is_a_window(self) -> None:
        recent = Recent(span=60.0, slots=12, most=3)
        for at in range(600):
            recent.add(float(at), "north" if at % 4 else f"t{at}", 1.0)
        self.assertLessEqual(len(recent.runs), 12)
        shares = recent.shares(599.0)
        self.assertEqual((next(iter(shares)), round(sum(shares.values()), 6)), ("north", 1.0))
        self.assertEqual(recent.shares(700.0), {})


class Books(Places):
    def fill(self, book: Book) -> int:
        """Every kind of step there is; how many entries were committed."""
        done = 0
        for at in range(0, 240, 5):
            done += book.append([use(1000.0 + at), use(1000.0 + at, "south", Kind.REPEAT)])
            for made in book.close(1000.0 + at):
                book.marked(made.number)
            book.fold(keep=4)
            if at == 120:
                book.correct(f"{book.start}.{done}", Amounts(run=-5), "ann", "twice billed")
                done += 1
        return done

    def test_killed_at_every_step(self) -> None:
        counted = Step()
        self.assertEqual(self.fill(self.book(counted)), 97)
        names = set(counted.seen)
        self.assertEqual(names, {"entry", "commit", "committed", "correction", "close", "closing", "closed",
                                 "acknowledge",
                                 "acknowledged", "fold", "folding", "folded"})  # fmt: skip
        for name, nth in itertools.product(sorted(names), (1, 2, 7)):
            if counted.seen.count(name) < nth:
                continue
            with self.subTest(name=name, nth=nth), tempfile.TemporaryDirectory() as folder:
                seen = Step(name, nth)
                with suppress(Killed):
                    book = Book(Path(folder) / "dry", LENGTH, durable=False, step=seen)
                    self.fill(book)
                book.close_file()

                def fill(at: Path = Path(folder), name: str = name, nth: int = nth) -> None:
                    self.fill(Book(at, LENGTH, durable=False, step=Step(name, nth, kill_self)))

                self.assertEqual(killed(fill), signal.SIGKILL)
                # Committed groups are there in whole, the one at hand in whole or not at all.
                book = Book(Path(folder), LENGTH, durable=False)
                self.assertEqual((book.verify(), book.start), ([], 2))
                ops = sum(amounts.ops for amounts in book.totals().values())
                self.assertEqual(ops, 2 * seen.seen.count("committed"))
                book.close(5000.0)
                self.assertEqual(book.verify(), [])
                book.close_file()

    def test_a_bit_that_flips_is_found(self) -> None:
        changes = {
            "UPDATE entries SET run = run + 1 WHERE number = 31": "entries 31 to 32 are not as they were "
            "committed",
            "DELETE FROM entries WHERE number = 31": "of entries 31 to 32 only 1 are there",
            "UPDATE batches SET body = x'00' WHERE number = 2": "batch 2 does not follow",
            "UPDATE batches SET before = x'00' WHERE number = 3": "batch 3 does not follow",
            "DELETE FROM batches WHERE number = 2": "batch 3 does not follow",
        }
        for change, said in changes.items():
            with self.subTest(change=change), tempfile.TemporaryDirectory() as folder:
                book = Book(Path(folder), LENGTH, durable=False)
                for at in range(0, 100, 5):
                    book.append([use(1000.0 + at), use(1000.0 + at)])
                    book.close(1000.0 + at)
                self.assertEqual(book.verify(), [])
                book.store.execute(change)
                self.assertIn(said, book.verify()[0])
                book.close_file()

    def test_files_that_are_cut_or_foreign(self) -> None:
        book = self.book()
        book.append([use(1000.0)] * 5000)
        book.store.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        book.close_file()
        whole = book.path.read_bytes()
        for data in (whole[: len(whole) // 2], b"not a ledger" * 100):
            book.path.write_bytes(data)
            try:
                again = self.book(begin=False)
            except BadBook as error:
                self.assertNotIn("\n", str(error))
            else:
                self.assertTrue(again.verify())
                again.close_file()
        book.path.write_bytes(whole)
        with self.assertRaisesRegex(BadBook, r"periods of 10 s; give \[ledger\] period = that"):
            Book(self.folder / "book", 60)
        store = sqlite3.connect(book.path)
        store.execute("UPDATE meta SET value = 9 WHERE name = 'format'")
        store.commit()
        store.close()
        with self.assertRaisesRegex(BadBook, "is of format 9, this program reads 1"):
            self.book()

    def test_a_torn_last_page(self) -> None:
        """What was committed before it stands."""
        book = self.book()
        book.append([use(1000.0)] * 10)
        book.append([use(1001.0)] * 10)
        log = book.path.with_name(book.path.name + "-wal")
        torn = log.read_bytes()[:-100]
        copied = self.folder / "copy"
        copied.mkdir()
        (copied / book.path.name).write_bytes(book.path.read_bytes())
        (copied / log.name).write_bytes(torn)
        again = Book(copied, LENGTH)
        self.assertEqual((sum(a.ops for a in again.totals().values()), again.verify()), (10, []))
        again.close_file()

    def test_a_full_disk_loses_nothing_of_what_was_committed(self) -> None:
        book = self.book()
        book.append([use(1000.0)] * 10)
        (pages,) = book.store.execute("PRAGMA page_count").fetchone()
        book.store.execute(f"PRAGMA max_page_count = {pages + 2}")
        with self.assertRaises(sqlite3.OperationalError):
            book.append([use(1001.0, f"tenant {at}") for at in range(5000)])
        self.assertEqual((sum(a.ops for a in book.totals().values()), book.verify()), (10, []))
        book.append([use(1002.0)])

    def test_a_process_with_a_limit_of_file_size(self) -> None:
        """Entries up to the limit stand; the book opens, and goes on once there is room."""

        def fill() -> None:
            signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
            resource.setrlimit(resource.RLIMIT_FSIZE, (1 << 18, 1 << 18))
            book = Book(self.folder / "book", LENGTH)
            for _ in range(100):
                book.append([use(1000.0)] * 100)

        self.assertEqual(killed(fill), 0)
        book = self.book()
        ops = sum(amounts.ops for amounts in book.totals().values())
        self.assertTrue(0 < ops < 10_000 and ops % 100 == 0, ops)
        book.append([use(1000.0)])
        self.assertEqual(book.verify(), [])

    def test_a_clock_set_back_an_hour_between_two_starts(self) -> None:
        book = self.book()
        book.append([use(5000.0)])
        book.close(5020.0)
        book.close_file()
        again = self.book()
        again.append([use(1400.0)])  # the first period that is open
        self.assertEqual([entry.period for entry in again.entries()], [500, 501])
        self.assertEqual(again.close(1420.0), [])
        self.assertEqual(len(again.close(5040.0)), 1)
        self.assertEqual(again.verify(), [])

    def test_corrections(self) -> None:
        book = self.book()
        book.append([use(1000.0)])
        self.assertEqual([made.number for made in book.close(1020.0)], [1])
        made = book.correct("1.1", Amounts(run=-100_000), "ann", "the run was ours")
        self.assertEqual((made.line.corrects, made.period), ("1.1", 100))
        self.assertEqual(
            [made.number for made in book.close(1020.0)], [2]
        )  # the closed period's second version
        self.assertEqual(book.close(1030.0), [])
        second = wire.read_body((book.batch(2) or self.fail()).body)
        self.assertEqual((second.period, second.version, second.rows[0][1].run), (100, 2, -100_000))
        for id_, who, why, said in (
            ("1.9", "ann", "x", "has no entry 1.9"), ("2.1", "ann", "x", "has no entry 2.1"),
            ("one", "ann", "x", "has no entry one"), ("1.2", "ann", "x", "is a correction; correct 1.1 "
             "once more"),
            ("1.1", "", "x", "needs who and why"), ("1.1", "ann", " ", "needs who and why"),
        ):  # fmt: skip
            with self.subTest(id=id_), self.assertRaisesRegex(BadBook, said):
                book.correct(id_, Amounts(), who, why)
        open_ = self.book(begin=False)  # of a period still open: it goes out with the close, once
        open_.append([use(1040.0)])
        open_.correct("1.3", Amounts(run=1), "ann", "x")
        self.assertEqual(len(open_.close(1060.0)), 1)
        self.assertEqual(open_.close(1080.0), [])

    def test_ten_thousand_tenants(self) -> None:
        book = self.book()
        book.append([use(1000.0, f"tenant {at}") for at in range(10_000)])
        made = book.close(1020.0)
        self.assertEqual(len(made), 10)
        self.assertLess(max(len((book.batch(one.number) or self.fail()).body) for one in made), wire.MOST)
        self.assertLessEqual(len(book._names), 4096)
        self.assertEqual(book.verify(), [])

    def test_folding_bounds_the_file(self) -> None:
        book = self.book()
        for at in range(0, 2000, 5):
            book.append([use(1000.0 + at)] * 20)
            for made in book.close(1000.0 + at):
                book.marked(made.number)
            book.fold(keep=4)
        (entries,) = book.store.execute("SELECT COUNT(*) FROM entries").fetchone()
        (batches,) = book.store.execute("SELECT COUNT(*) FROM batches").fetchone()
        self.assertLess((entries, batches), (400, 10))
        self.assertEqual((sum(a.ops for a in book.totals().values()), book.verify()), (8000, []))

    def test_what_is_not_acknowledged_is_not_folded(self) -> None:
        book = self.book()
        for at in range(0, 500, 10):
            book.append([use(1000.0 + at)])
            book.close(1000.0 + at)
            book.fold(keep=2)
        self.assertEqual((book.meta("kept"), len(list(book.entries()))), (1, 50))


class Wire(unittest.TestCase):
    says = (Hello("n1", bytes(16), 7), Welcome(bytes(16), 0, b""), Batch(1, b"", b"body"),
            Taken(3, bytes(32)),
            Refused("no"), Hello("", b"", 0))  # fmt: skip

    def test_cut_anywhere(self) -> None:
        data = b"".join(map(wire.encode, self.says))
        for size in (1, 3, 4, 5, 50):
            reader = wire.Reader()
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            self.assertEqual([say for piece in pieces for say in reader.feed(piece)], list(self.says))

    def test_what_is_none(self) -> None:
        for data in (b"\xff\xff\xff\xff", b"\0\0\0\1\xff", b"\0\0\0\0", b"GET / HTTP/1.1\r\n\r\n"):
            with self.subTest(data=data), self.assertRaises(wire.BadSay):
                list(wire.Reader().feed(data))
        with self.assertRaises(wire.BadSay):
            wire.read_body(b"\xff")

    def test_bodies_are_the_same_bytes_each_time(self) -> None:
        rows = [(Line(f"t{at}", "look", Kind.ACKED), Amounts(at, -at)) for at in range(2500)]
        mixed = Random(3).sample(rows, len(rows))
        cut = wire.parts(mixed)
        self.assertEqual(([len(part) for part in cut], cut), ([1000, 1000, 500], wire.parts(rows)))
        body = Body(3, 100, 1, 1, 3, 10, cut[0])
        self.assertEqual(wire.read_body(wire.body(body)), body)


def chain(many: int) -> list[Batch]:
    found: list[Batch] = []
    for number in range(1, many + 1):
        row = (Line("north", "look", Kind.ACKED), Amounts(ops=number))
        body = wire.body(Body(number, number, 1, 1, 1, LENGTH, (row,)))
        found.append(Batch(number, found[-1].hash if found else b"", body))
    return found


class Model:
    """A sender, a receiver, and what is on its way between them, each way in order; a connection may go at
    any time."""

    batches = chain(6)

    def __init__(self) -> None:
        self.now, self.acked, self.kept = 0.0, 0, dict[int, bytes]()
        self.effects: dict[int, int] = {}
        self.made, self.restored = 0, False
        self.up = False
        self.out: list[Any] = []
        self.back: list[Any] = []
        self.restart()

    def restart(self) -> None:
        self.sender = Sender(Random(1), self.acked, self.made, 1, b"R" * 16 if self.acked else b"")
        for batch in self.batches[: self.made]:
            self.sender.made(batch.number, batch.hash)
        self.cut()

    def cut(self) -> None:
        self.up, self.out, self.back = False, [], []

    def do(self, actions: list[export.Action]) -> None:
        for action in actions:
            match action:
                case Drop():
                    self.cut()
                case Greet():
                    self.out.append("hello")
                case Send(number):
                    self.out.append(number)
                case Mark(number):
                    self.acked = max(self.acked, number)
                case Dial():
                    self.up = True
                case Pin():
                    pass

    def held(self) -> Held:
        high = 0
        while high + 1 in self.kept:
            high += 1
        return Held(high, self.kept.get(high, b""))

    def moves(self) -> list[str]:
        can = (
            ["restart"]
            + ["make"] * (self.made < 6)
            + ["restore"] * (not self.restored and len(self.kept) > 1)
        )
        if self.up:
            can.append("lose")
            if self.sender.at == At.DIALING:
                can.append("connect")
            can += ["deliver"] * bool(self.out) + ["answer"] * bool(self.back)
        if self.sender.next() < float("inf") or self.sender.at == At.SENDING:
            can.append("tick")
        return can

    def move(self, what: str) -> None:
        sender = self.sender
        if what == "restart":
            self.restart()
        elif what == "make":
            self.made += 1
            sender.made(self.made, self.batches[self.made - 1].hash)
        elif what == "restore":  # the receiver comes back from an older copy, as the connection goes
            self.restored = True
            for number in range(len(self.kept) // 2 + 1, len(self.kept) + 1):
                del self.kept[number], self.effects[number]
            self.move("lose")
        elif what == "lose":
            self.cut()
            self.do(sender.lost(self.now, "cut"))
        elif what == "connect":
            self.do(sender.connected(self.now))
        elif what == "tick":
            self.now = max(self.now, min(sender.next(), self.now + 100))
            self.do(sender.step(self.now))
        elif what == "deliver":
            said = self.out.pop(0)
            if said == "hello":
                self.back.append(Welcome(b"R" * 16, *self.held()))
                return
            batch = self.batches[said - 1]
            verdict = judge(self.held(), self.kept, batch)
            if verdict is None:
                self.kept[said] = batch.hash
                self.effects[said] = self.effects.get(said, 0) + 1
                verdict = Taken(*self.held())
            self.back.append(verdict)
        elif what == "answer":
            said = self.back.pop(0)
            match said:
                case Welcome():
                    self.do(sender.welcomed(self.now, said))
                case Taken():
                    self.do(sender.taken(self.now, said))
                case Refused():
                    self.do(sender.refused(said))

    def key(self) -> tuple[Any, ...]:
        s = self.sender
        back = tuple(
            type(one).__name__ + str(one[1] if isinstance(one, Welcome) else one[0]) for one in self.back
        )
        return (
            self.made,
            self.restored,
            s.at,
            s.acked,
            s.sent,
            self.acked,
            tuple(self.kept),
            self.up,
            tuple(self.out),
            back,
        )


class Export(unittest.TestCase):
    @mock.patch.object(export, "WINDOW", 2)
    def test_explored_in_full(self) -> None:
        """Six batches, losses and restarts anywhere: each has its effect once, and none waits for ever."""
        first = Model()
        found, left = {first.key()}, [first]
        while left:
            here = left.pop()
            self.assertLessEqual(max(here.effects.values(), default=0), 1)
            self.assertNotEqual(here.sender.at, At.HALTED, here.sender.why)
            self.assertTrue(here.restored or here.acked <= here.held().high)
            for move in here.moves():
                there = copy.deepcopy(here)
                there.move(move)
                if (key := there.key()) not in found:
                    found.add(key)
                    left.append(there)
                    self.settles(there)
        self.assertGreater(len(found), 300, len(found))

    def settles(self, model: Model) -> None:
        """With the link whole from here on, all six arrive."""
        model = copy.deepcopy(model)
        for _ in range(200):
            moves = [move for move in model.moves() if move not in ("restart", "lose", "restore")]
            if (model.acked == 6 and model.held().high == 6) or not moves:
                break
            busy = [move for move in moves if move != "tick"]
            model.move((busy or moves)[0])
        self.assertEqual((model.acked, model.held().high), (6, 6), model.key())

    def test_what_a_person_must_look_at(self) -> None:
        hashes = {batch.number: batch.hash for batch in chain(6)}
        cases: list[tuple[str, Welcome | Taken | Refused]] = [
            ("another receiver", Welcome(b"X" * 16, 0, b"")),
            ("its batch 3 is not ours", Welcome(b"R" * 16, 3, bytes(32))),
            ("the last made is 6", Welcome(b"R" * 16, 7, bytes(32))),
            ("it lacks batches from 1", Welcome(b"R" * 16, 0, b"")),
            ("which was not sent", Taken(6, hashes[6])), ("its batch 5 is not ours", Taken(5, bytes(32))),
            ("the receiver refuses: no", Refused("no")),
        ]  # fmt: skip
        for why, said in cases:
            with self.subTest(why=why):
                sender = Sender(Random(1), 3, 5 if "not sent" in why else 6, 3, b"R" * 16)
                sender.hashes = dict(hashes)
                sender.step(0.0)
                sender.connected(0.0)
                if isinstance(said, Welcome):
                    actions = sender.welcomed(0.0, said)
                else:
                    sender.welcomed(0.0, Welcome(b"R" * 16, 3, hashes[3]))
                    actions = sender.taken(0.0, said) if isinstance(said, Taken) else sender.refused(said)
                self.assertEqual((actions[-1:], sender.at), ([Drop()], At.HALTED))
                self.assertIn(why, sender.why)
                self.assertEqual((sender.step(99.0), sender.next()), ([], float("inf")))

    def test_waits_grow_and_the_budget_stops_storms(self) -> None:
        sender, now, waits = Sender(Random(1), 0, 6, 1, b""), 0.0, []
        for _ in range(20):
            self.assertEqual(sender.step(now), [Dial()])
            sender.lost(now, "refused")
            waits.append(sender.again_at - now)
            now = sender.again_at
        self.assertLess(waits[0], 0.3)
        self.assertTrue(all(15.0 <= wait <= 30.0 for wait in waits[10:]))
        for _ in range(2):  # no answer, in greeting and in sending
            sender.step(now)
            sender.connected(now)
            now = sender.next()
            self.assertEqual(sender.step(now), [Drop()])
            now = sender.again_at


class Vaults(Places):
    def test_any_order_any_number_of_times(self) -> None:
        """The same set of batches gives the same statement, byte for byte."""
        batches, statements = chain(6), set()
        for seed in range(12):
            with tempfile.TemporaryDirectory() as folder:
                vault = Vault(Path(folder))
                vault.greet(b"B" * 16, "n1")
                many = Random(seed).choices(batches, k=20) + Random(seed).sample(batches, 6)
                for batch in many:
                    self.assertIsInstance(vault.take(b"B" * 16, batch), Taken)
                statements.add(repr(statement.statement(vault.streams())))
                self.assertEqual((vault.held(b"B" * 16), vault.verify()), (Held(6, batches[5].hash), []))
                vault.close_file()
        self.assertEqual(len(statements), 1)

    def test_killed_at_every_step(self) -> None:
        batches = chain(4)
        for name, nth in itertools.product(("receive", "keep", "kept"), (1, 3)):
            with self.subTest(name=name, nth=nth), tempfile.TemporaryDirectory() as folder:
                made = Vault(Path(folder))
                made.close_file()

                def take(folder: str = folder, name: str = name, nth: int = nth) -> None:
                    vault = Vault(Path(folder), Step(name, nth, kill_self))
                    vault.greet(b"B" * 16, "n1")
                    for batch in batches:
                        vault.take(b"B" * 16, batch)

                self.assertEqual(killed(take), signal.SIGKILL)
                again = Vault(Path(folder))
                self.assertEqual(again.mark, made.mark)
                self.assertEqual(again.held(b"B" * 16).high, nth - (name != "kept"))
                for batch in batches:
                    again.take(b"B" * 16, batch)
                self.assertEqual((again.held(b"B" * 16).high, again.verify()), (4, []))
                again.close_file()

    def test_what_does_not_fit(self) -> None:
        vault, batches = self.vault(), chain(4)
        other = batches[1]._replace(body=batches[1].body + b"\x28\x09")
        lying = Batch(1, b"", batches[1].body)
        vault.greet(b"B" * 16, "n1")
        for batch, said in (
            (batches[0], None), (batches[1], None), (other, "another batch 2 is here already"),
            (batches[2]._replace(before=bytes(32)), "batch 3 does not follow"),
            (batches[2]._replace(before=b""), "stand"),
            (Batch(3, batches[1].hash, b"\xff"), "can't be read"), (lying, "batch 1 says that it is 2"),
            (Batch(0, b"", b""), "stand"), (batches[3], None), (batches[2], None),
        ):  # fmt: skip
            answer = vault.take(b"B" * 16, batch)
            self.assertEqual(answer.why if isinstance(answer, Refused) and said is None else None, None)
            if said:
                assert isinstance(answer, Refused), said
                self.assertIn(said, answer.why)
        self.assertEqual((vault.held(b"B" * 16).high, vault.verify()), (4, []))

    def test_two_books_under_one_name_and_gaps(self) -> None:
        batches = chain(4)
        streams = [
            Stream(b"A" * 16, "n1", {1: batches[0], 3: batches[2]}), Stream(b"B" * 16, "n1", {1: batches[0]}),
        ]  # fmt: skip
        said = statement.reconcile(streams)
        self.assertEqual(len(said), 2)
        self.assertIn("n1: batches 2 to 2 are missing", said[0])
        self.assertIn("2 books under one name", said[1])
        self.assertEqual([row["ops"] for row in statement.statement(streams)], [2])
        self.assertEqual(len(statement.explain(streams, "north", 1)), 2)


class BothSides(RuleBasedStateMachine):
    """Any order of use, closes, corrections, crashes, deliveries and copies leaves the sums equal on both
    sides."""

    @initialize()
    def begin(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.at, self.now, self.truth = Path(self.folder.name), 1000.0, dict[str, int]()
        self.starts, self.old = 0, list[Batch]()
        self.open_book()
        self.vault = Vault(self.at / "vault")

    def open_book(self) -> None:
        self.book = Book(self.at / "book", LENGTH, durable=False)

    @rule(tenants=st.lists(st.sampled_from("abc"), min_size=1, max_size=5), later=st.floats(-30, 30))
    def use(self, tenants: list[str], later: float) -> None:
        self.now = max(1000.0, self.now + later)
        self.book.append([use(self.now, tenant, run=1.0) for tenant in tenants])
        for tenant in tenants:
            self.truth[tenant] = self.truth.get(tenant, 0) + 1_000_000

    @rule()
    def close(self) -> None:
        self.book.close(self.now)

    @rule(pick=st.integers(0, 99), run=st.integers(-9, 9))
    def correct(self, pick: int, run: int) -> None:
        entries = [entry for entry in self.book.entries() if entry.line.kind != Kind.CORRECTION]
        if entries:
            entry = entries[pick % len(entries)]
            self.book.correct(entry.id, Amounts(run=run), "ann", "test")
            self.truth[entry.line.tenant] += run

    @rule(step=st.sampled_from(("commit", "closing", "folding", "acknowledge")))
    def crash(self, step: str) -> None:
        """In the middle of whatever comes; nothing of it stands."""
        self.book.step = Step(step)
        try:
            self.book.append([use(self.now, "a")])
            self.truth["a"] = self.truth.get("a", 0) + 250_000
            self.book.close(self.now + 50)
            self.book.marked(self.book.meta("acked"))
            self.book.fold(keep=1)
        except Killed:
            pass
        self.book.close_file()
        self.open_book()

    @rule(times=st.integers(1, 3), lost=st.booleans())
    def deliver(self, times: int, lost: bool) -> None:
        held = self.vault.greet(self.book.mark, "n1")
        for number in range(held.high + 1, self.book.last()[0] + 1):
            batch = self.book.batch(number)
            assert batch is not None
            self.old = [*self.old[-5:], batch]
            for _ in range(times):
                assert isinstance(self.vault.take(self.book.mark, batch), Taken)
        if not lost:
            self.book.marked(self.vault.held(self.book.mark).high)

    @rule()
    def again(self) -> None:
        for batch in self.old:
            assert isinstance(self.vault.take(self.book.mark, batch), Taken)

    @rule()
    def fold(self) -> None:
        self.book.fold(keep=2)

    @rule()
    def restart_the_receiver(self) -> None:
        self.vault.close_file()
        self.vault = Vault(self.at / "vault")

    @invariant()
    def sound(self) -> None:
        if hasattr(self, "vault"):
            assert self.book.verify() == []
            assert self.vault.verify() == []

    def teardown(self) -> None:
        if not hasattr(self, "vault"):
            return
        self.book.close(self.now + 1000)
        self.deliver(1, False)
        ours: dict[str, int] = {}
        theirs: dict[str, int] = {}
        for found, lines in ((ours, self.book.totals()), (theirs, statement.charged(self.vault.streams()))):
            for line, amounts in lines.items():
                found[line.tenant] = found.get(line.tenant, 0) + amounts.run
        try:
            assert ours == theirs == self.truth, (ours, theirs, self.truth)
        finally:
            self.book.close_file()
            self.vault.close_file()
            self.folder.cleanup()


BothSides.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None, database=None
)
TestBothSides = BothSides.TestCase
