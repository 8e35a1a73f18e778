"""Tests of the ledger's decisions and stores.

The journal and the export store are killed at every failpoint, the export's state machine is explored
completely, and the sums of both sides are compared.
"""

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
from thymeyoke.ledger.export import (
    CloseConnection,
    Connect,
    ExportSender,
    ExportState,
    RecordAcknowledged,
    RecordReceiver,
    SendBatch,
    SendHello,
    StoredPrefix,
    check_batch,
)
from thymeyoke.ledger.export_store import ExportStore
from thymeyoke.ledger.statement import ReceivedJournal
from thymeyoke.ledger.usage_entries import (
    Amounts,
    Kind,
    Periods,
    RecentRunTimes,
    RequestUsage,
    UsageKey,
    sum_by_key,
)
from thymeyoke.ledger.usage_journal import StoreError, UsageJournal
from thymeyoke.ledger.wire import Acknowledgement, Batch, BatchBody, Hello, Rejection, Welcome

LENGTH = 10


def usage(at: float, tenant: str = "north", kind: Kind = Kind.ACKED, run: float = 0.25) -> RequestUsage:
    return RequestUsage(at, tenant, "look", kind, run, 1, 1.5, 300)


class Killed(BaseException):
    """Raised in place of the end of the process."""


class Failpoint:
    """Ends the process at the n-th call with a name, and records all calls."""

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


def run_until_killed(what: Callable[[], object]) -> int:
    """Run a function in a child process and return the signal that ended it."""
    child = os.fork()
    if child == 0:
        try:
            what()
        finally:
            os._exit(0)
    return os.WTERMSIG(os.waitpid(child, 0)[1])


class StoreTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def journal(self, failpoint: Any = None, **more: Any) -> UsageJournal:
        journal = UsageJournal(
            self.folder / "book", LENGTH, durable=False, failpoint=failpoint or Failpoint(), **more
        )
        self.addCleanup(journal.close_database)
        return journal

    def store(self, failpoint: Any = None) -> ExportStore:
        store = ExportStore(self.folder / "vault", failpoint or Failpoint())
        self.addCleanup(store.close_database)
        return store


class PeriodsTest(unittest.TestCase):
    def test_periods(self) -> None:
        cases = [  # latest_seen, closed, at, expected period
            (0.0, -1, 100.0, 10), (0.0, -1, 109.999, 10), (0.0, -1, 110.0, 11),
            (200.0, 9, 105.0, 10), (200.0, 18, 105.0, 19),  # clock set back: the first open period
            (3700.0, 369, 100.0, 370), (0.0, 10, 500.0, 50),  # set back an hour; several periods skipped
        ]  # fmt: skip
        for latest, closed, at, period in cases:
            with self.subTest(latest=latest, closed=closed, at=at):
                self.assertEqual(Periods(LENGTH, latest, closed).period_of(at), period)

    def test_closable_periods(self) -> None:
        cases = [  # closed, now, periods with entries, closable ones
            (-1, 111.0, [10], [10]), (-1, 110.9, [10], []), (-1, 125.0, [11, 10, 12], [10, 11]),
            (10, 125.0, [10, 11], [11]), (-1, 500.0, [10, 30, 48, 49], [10, 30, 48]), (-1, 500.0, [], []),
        ]  # fmt: skip
        for closed, now, held, closable in cases:
            with self.subTest(closed=closed, now=now):
                periods = Periods(LENGTH, 0.0, closed)
                self.assertEqual(periods.closable_periods(now, held), closable)
                self.assertGreater(periods.next_close_at(now), now)
        to_sender = Periods(LENGTH, latest_seen=500.0)
        self.assertEqual(
            to_sender.closable_periods(100.0, [10, 30]), [10, 30]
        )  # ended before the clock was set back

    def test_amounts(self) -> None:
        self.assertEqual(usage(0.0).amounts(), Amounts(1, 250_000, 1, 1_500_000, 300))
        self.assertEqual(usage(0.0, kind=Kind.REPEAT).amounts(), Amounts(1))  # counted, but not charged
        thirds = [usage(0.0, run=1 / 3).amounts()] * 3
        self.assertEqual(
            sum_by_key((UsageKey("a", "b", Kind.ACKED), one) for one in thirds).popitem()[1].run, 999_999
        )

    def test_recent_run_times_are_a_sliding_window(self) -> None:
        recent = RecentRunTimes(span=60.0, slots=12, max_tenants=3)
        for at in range(600):
            recent.add(float(at), "north" if at % 4 else f"t{at}", 1.0)
        self.assertLessEqual(len(recent.run_times_by_slot), 12)
        shares = recent.shares(599.0)
        self.assertEqual((next(iter(shares)), round(sum(shares.values()), 6)), ("north", 1.0))
        self.assertEqual(recent.shares(700.0), {})


class UsageJournalTest(StoreTestCase):
    def fill(self, journal: UsageJournal) -> int:
        """Call every failpoint; returns the number of entries committed."""
        done = 0
        for at in range(0, 240, 5):
            done += journal.append([usage(1000.0 + at), usage(1000.0 + at, "south", Kind.REPEAT)])
            for made in journal.close_periods(1000.0 + at):
                journal.record_acknowledged(made.number)
            journal.compact(keep=4)
            if at == 120:
                journal.correct(f"{journal.start}.{done}", Amounts(run=-5), "ann", "twice billed")
                done += 1
        return done

    def test_killed_at_every_step(self) -> None:
        counted = Failpoint()
        self.assertEqual(self.fill(self.journal(counted)), 97)
        names = set(counted.seen)
        self.assertEqual(names, {"entry", "commit", "committed", "correction", "close", "closing", "closed",
                                 "acknowledge",
                                 "acknowledged", "fold", "folding", "folded"})  # fmt: skip
        for name, nth in itertools.product(sorted(names), (1, 2, 7)):
            if counted.seen.count(name) < nth:
                continue
            with self.subTest(name=name, nth=nth), tempfile.TemporaryDirectory() as folder:
                seen = Failpoint(name, nth)
                with suppress(Killed):
                    journal = UsageJournal(Path(folder) / "dry", LENGTH, durable=False, failpoint=seen)
                    self.fill(journal)
                journal.close_database()

                def fill(at: Path = Path(folder), name: str = name, nth: int = nth) -> None:
                    self.fill(
                        UsageJournal(at, LENGTH, durable=False, failpoint=Failpoint(name, nth, kill_self))
                    )

                self.assertEqual(run_until_killed(fill), signal.SIGKILL)
                # Committed groups are complete; the current one is complete or missing.
                journal = UsageJournal(Path(folder), LENGTH, durable=False)
                self.assertEqual((journal.verify(), journal.start), ([], 2))
                ops = sum(amounts.ops for amounts in journal.totals().values())
                self.assertEqual(ops, 2 * seen.seen.count("committed"))
                journal.close_periods(5000.0)
                self.assertEqual(journal.verify(), [])
                journal.close_database()

    def test_changed_data_is_detected(self) -> None:
        changes = {
            "UPDATE entries SET run = run + 1 WHERE number = 31": "entries 31 to 32 have changed since they "
            "were committed",
            "DELETE FROM entries WHERE number = 31": "entries 31 to 32: only 1 exist",
            "UPDATE batches SET body = x'00' WHERE number = 2": "batch 2 does not follow",
            "UPDATE batches SET before = x'00' WHERE number = 3": "batch 3 does not follow",
            "DELETE FROM batches WHERE number = 2": "batch 3 does not follow",
        }
        for change, expected in changes.items():
            with self.subTest(change=change), tempfile.TemporaryDirectory() as folder:
                journal = UsageJournal(Path(folder), LENGTH, durable=False)
                for at in range(0, 100, 5):
                    journal.append([usage(1000.0 + at), usage(1000.0 + at)])
                    journal.close_periods(1000.0 + at)
                self.assertEqual(journal.verify(), [])
                journal.database.execute(change)
                self.assertIn(expected, journal.verify()[0])
                journal.close_database()

    def test_truncated_and_foreign_files(self) -> None:
        journal = self.journal()
        journal.append([usage(1000.0)] * 5000)
        journal.database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        journal.close_database()
        whole = journal.path.read_bytes()
        for data in (whole[: len(whole) // 2], b"not a ledger" * 100):
            journal.path.write_bytes(data)
            try:
                deliver_again = self.journal(is_start=False)
            except StoreError as error:
                self.assertNotIn("\n", str(error))
            else:
                self.assertTrue(deliver_again.verify())
                deliver_again.close_database()
        journal.path.write_bytes(whole)
        with self.assertRaisesRegex(StoreError, r"its periods are 10 s; set \[ledger\] period to that"):
            UsageJournal(self.folder / "book", 60)
        database = sqlite3.connect(journal.path)
        database.execute("UPDATE meta SET value = 9 WHERE name = 'format'")
        database.commit()
        database.close()
        with self.assertRaisesRegex(StoreError, "format 9 is not supported, only format 1"):
            self.journal()

    def test_a_truncated_write_ahead_log(self) -> None:
        """What was committed before remains."""
        journal = self.journal()
        journal.append([usage(1000.0)] * 10)
        journal.append([usage(1001.0)] * 10)
        log = journal.path.with_name(journal.path.name + "-wal")
        torn = log.read_bytes()[:-100]
        copied = self.folder / "copy"
        copied.mkdir()
        (copied / journal.path.name).write_bytes(journal.path.read_bytes())
        (copied / log.name).write_bytes(torn)
        deliver_again = UsageJournal(copied, LENGTH)
        self.assertEqual(
            (sum(a.ops for a in deliver_again.totals().values()), deliver_again.verify()), (10, [])
        )
        deliver_again.close_database()

    def test_a_full_disk_loses_nothing_of_what_was_committed(self) -> None:
        journal = self.journal()
        journal.append([usage(1000.0)] * 10)
        (pages,) = journal.database.execute("PRAGMA page_count").fetchone()
        journal.database.execute(f"PRAGMA max_page_count = {pages + 2}")
        with self.assertRaises(sqlite3.OperationalError):
            journal.append([usage(1001.0, f"tenant {at}") for at in range(5000)])
        self.assertEqual((sum(a.ops for a in journal.totals().values()), journal.verify()), (10, []))
        journal.append([usage(1002.0)])

    def test_a_file_size_limit(self) -> None:
        """Entries up to the limit remain; the journal opens and continues once there is space."""

        def fill() -> None:
            signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
            resource.setrlimit(resource.RLIMIT_FSIZE, (1 << 18, 1 << 18))
            journal = UsageJournal(self.folder / "book", LENGTH)
            for _ in range(100):
                journal.append([usage(1000.0)] * 100)

        self.assertEqual(run_until_killed(fill), 0)
        journal = self.journal()
        ops = sum(amounts.ops for amounts in journal.totals().values())
        self.assertTrue(0 < ops < 10_000 and ops % 100 == 0, ops)
        journal.append([usage(1000.0)])
        self.assertEqual(journal.verify(), [])

    def test_a_clock_set_back_between_two_starts(self) -> None:
        journal = self.journal()
        journal.append([usage(5000.0)])
        journal.close_periods(5020.0)
        journal.close_database()
        deliver_again = self.journal()
        deliver_again.append([usage(1400.0)])  # counted in the first open period
        self.assertEqual([entry.period for entry in deliver_again.entries()], [500, 501])
        self.assertEqual(deliver_again.close_periods(1420.0), [])
        self.assertEqual(len(deliver_again.close_periods(5040.0)), 1)
        self.assertEqual(deliver_again.verify(), [])

    def test_corrections(self) -> None:
        journal = self.journal()
        journal.append([usage(1000.0)])
        self.assertEqual([made.number for made in journal.close_periods(1020.0)], [1])
        made = journal.correct("1.1", Amounts(run=-100_000), "ann", "the run was ours")
        self.assertEqual((made.key.corrects, made.period), ("1.1", 100))
        self.assertEqual(
            [made.number for made in journal.close_periods(1020.0)], [2]
        )  # second version of the closed period
        self.assertEqual(journal.close_periods(1030.0), [])
        second = wire.decode_body((journal.batch(2) or self.fail()).body)
        self.assertEqual((second.period, second.version, second.rows[0][1].run), (100, 2, -100_000))
        for id_, who, why, expected in (
            ("1.9", "ann", "x", "no entry 1.9"),
            ("2.1", "ann", "x", "no entry 2.1"),
            ("one", "ann", "x", "no entry one"),
            ("1.2", "ann", "x", "is a correction; correct 1.1 again"),
            ("1.1", "", "x", "needs a non-empty who and why"),
            ("1.1", "ann", " ", "needs a non-empty who and why"),
        ):
            with self.subTest(id=id_), self.assertRaisesRegex(StoreError, expected):
                journal.correct(id_, Amounts(), who, why)
        # A correction in an open period is exported once, when it closes.
        open_ = self.journal(is_start=False)
        open_.append([usage(1040.0)])
        open_.correct("1.3", Amounts(run=1), "ann", "x")
        self.assertEqual(len(open_.close_periods(1060.0)), 1)
        self.assertEqual(open_.close_periods(1080.0), [])

    def test_ten_thousand_tenants(self) -> None:
        journal = self.journal()
        journal.append([usage(1000.0, f"tenant {at}") for at in range(10_000)])
        made = journal.close_periods(1020.0)
        self.assertEqual(len(made), 10)
        self.assertLess(
            max(len((journal.batch(one.number) or self.fail()).body) for one in made), wire.MAX_MESSAGE_BYTES
        )
        self.assertLessEqual(len(journal._id_by_name), 4096)
        self.assertEqual(journal.verify(), [])

    def test_compaction_bounds_the_file(self) -> None:
        journal = self.journal()
        for at in range(0, 2000, 5):
            journal.append([usage(1000.0 + at)] * 20)
            for made in journal.close_periods(1000.0 + at):
                journal.record_acknowledged(made.number)
            journal.compact(keep=4)
        (entries,) = journal.database.execute("SELECT COUNT(*) FROM entries").fetchone()
        (batches,) = journal.database.execute("SELECT COUNT(*) FROM batches").fetchone()
        self.assertLess((entries, batches), (400, 10))
        self.assertEqual((sum(a.ops for a in journal.totals().values()), journal.verify()), (8000, []))

    def test_unacknowledged_periods_are_not_compacted(self) -> None:
        journal = self.journal()
        for at in range(0, 500, 10):
            journal.append([usage(1000.0 + at)])
            journal.close_periods(1000.0 + at)
            journal.compact(keep=2)
        self.assertEqual((journal.read_meta("kept"), len(list(journal.entries()))), (1, 50))


class WireTest(unittest.TestCase):
    says = (Hello("n1", bytes(16), 7), Welcome(bytes(16), 0, b""), Batch(1, b"", b"body"),
            Acknowledgement(3, bytes(32)),
            Rejection("no"), Hello("", b"", 0))  # fmt: skip

    def test_messages_split_anywhere(self) -> None:
        data = b"".join(map(wire.encode, self.says))
        for size in (1, 3, 4, 5, 50):
            reader = wire.FrameReader()
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            self.assertEqual([say for piece in pieces for say in reader.feed(piece)], list(self.says))

    def test_invalid_messages(self) -> None:
        for data in (b"\xff\xff\xff\xff", b"\0\0\0\1\xff", b"\0\0\0\0", b"GET / HTTP/1.1\r\n\r\n"):
            with self.subTest(data=data), self.assertRaises(wire.ProtocolError):
                list(wire.FrameReader().feed(data))
        with self.assertRaises(wire.ProtocolError):
            wire.decode_body(b"\xff")

    def test_bodies_encode_to_the_same_bytes(self) -> None:
        rows = [(UsageKey(f"t{at}", "look", Kind.ACKED), Amounts(at, -at)) for at in range(2500)]
        mixed = Random(3).sample(rows, len(rows))
        drop_connection = wire.split_rows(mixed)
        self.assertEqual(
            ([len(part) for part in drop_connection], drop_connection),
            ([1000, 1000, 500], wire.split_rows(rows)),
        )
        body = BatchBody(3, 100, 1, 1, 3, 10, drop_connection[0])
        self.assertEqual(wire.decode_body(wire.encode_body(body)), body)


def batch_chain(many: int) -> list[Batch]:
    found: list[Batch] = []
    for number in range(1, many + 1):
        row = (UsageKey("north", "look", Kind.ACKED), Amounts(ops=number))
        body = wire.encode_body(BatchBody(number, number, 1, 1, 1, LENGTH, (row,)))
        found.append(Batch(number, found[-1].hash if found else b"", body))
    return found


class ExportModel:
    """A sender, a receiver, and the messages between them, in order; the connection may fail at any time."""

    batches = batch_chain(6)

    def __init__(self) -> None:
        self.now, self.acked, self.kept = 0.0, 0, dict[int, bytes]()
        self.effects: dict[int, int] = {}
        self.made, self.restored = 0, False
        self.is_connected = False
        self.to_receiver: list[Any] = []
        self.to_sender: list[Any] = []
        self.restart()

    def restart(self) -> None:
        self.sender = ExportSender(Random(1), self.acked, self.made, 1, b"R" * 16 if self.acked else b"")
        for batch in self.batches[: self.made]:
            self.sender.add_batch(batch.number, batch.hash)
        self.drop_connection()

    def drop_connection(self) -> None:
        self.is_connected, self.to_receiver, self.to_sender = False, [], []

    def perform(self, actions: list[export.Action]) -> None:
        for action in actions:
            match action:
                case CloseConnection():
                    self.drop_connection()
                case SendHello():
                    self.to_receiver.append("hello")
                case SendBatch(number):
                    self.to_receiver.append(number)
                case RecordAcknowledged(number):
                    self.acked = max(self.acked, number)
                case Connect():
                    self.is_connected = True
                case RecordReceiver():
                    pass

    def held(self) -> StoredPrefix:
        high = 0
        while high + 1 in self.kept:
            high += 1
        return StoredPrefix(high, self.kept.get(high, b""))

    def possible_moves(self) -> list[str]:
        can = (
            ["restart"]
            + ["make"] * (self.made < 6)
            + ["restore"] * (not self.restored and len(self.kept) > 1)
        )
        if self.is_connected:
            can.append("lose")
            if self.sender.state == ExportState.CONNECTING:
                can.append("connect")
            can += ["deliver"] * bool(self.to_receiver) + ["answer"] * bool(self.to_sender)
        if self.sender.next_advance_at() < float("inf") or self.sender.state == ExportState.SENDING:
            can.append("tick")
        return can

    def make_move(self, what: str) -> None:
        sender = self.sender
        if what == "restart":
            self.restart()
        elif what == "make":
            self.made += 1
            sender.add_batch(self.made, self.batches[self.made - 1].hash)
        elif what == "restore":  # the receiver is restored from a backup while disconnected
            self.restored = True
            for number in range(len(self.kept) // 2 + 1, len(self.kept) + 1):
                del self.kept[number], self.effects[number]
            self.make_move("lose")
        elif what == "lose":
            self.drop_connection()
            self.perform(sender.connection_lost(self.now, "cut"))
        elif what == "connect":
            self.perform(sender.connection_opened(self.now))
        elif what == "tick":
            self.now = max(self.now, min(sender.next_advance_at(), self.now + 100))
            self.perform(sender.advance(self.now))
        elif what == "deliver":
            message = self.to_receiver.pop(0)
            if message == "hello":
                self.to_sender.append(Welcome(b"R" * 16, *self.held()))
                return
            batch = self.batches[message - 1]
            verdict = check_batch(self.held(), self.kept, batch)
            if verdict is None:
                self.kept[message] = batch.hash
                self.effects[message] = self.effects.get(message, 0) + 1
                verdict = Acknowledgement(*self.held())
            self.to_sender.append(verdict)
        elif what == "answer":
            message = self.to_sender.pop(0)
            match message:
                case Welcome():
                    self.perform(sender.receive_welcome(self.now, message))
                case Acknowledgement():
                    self.perform(sender.receive_acknowledgement(self.now, message))
                case Rejection():
                    self.perform(sender.receive_rejection(message))

    def state_key(self) -> tuple[Any, ...]:
        s = self.sender
        to_sender = tuple(
            type(one).__name__ + str(one[1] if isinstance(one, Welcome) else one[0]) for one in self.to_sender
        )
        return (
            self.made,
            self.restored,
            s.state,
            s.acknowledged,
            s.last_sent,
            self.acked,
            tuple(self.kept),
            self.is_connected,
            tuple(self.to_receiver),
            to_sender,
        )


class ExportSenderTest(unittest.TestCase):
    @mock.patch.object(export, "MAX_UNACKNOWLEDGED_BATCHES", 2)
    def test_all_reachable_states(self) -> None:
        """With losses and restarts anywhere, each of six batches is counted once, and all arrive."""
        first = ExportModel()
        found, left = {first.state_key()}, [first]
        while left:
            here = left.pop()
            self.assertLessEqual(max(here.effects.values(), default=0), 1)
            self.assertNotEqual(here.sender.state, ExportState.HALTED, here.sender.reason)
            self.assertTrue(here.restored or here.acked <= here.held().high)
            for make_move in here.possible_moves():
                there = copy.deepcopy(here)
                there.make_move(make_move)
                if (state_key := there.state_key()) not in found:
                    found.add(state_key)
                    left.append(there)
                    self.assert_all_arrive(there)
        self.assertGreater(len(found), 300, len(found))

    def assert_all_arrive(self, model: ExportModel) -> None:
        """If no connection fails from here on, all six batches arrive."""
        model = copy.deepcopy(model)
        for _ in range(200):
            possible_moves = [
                make_move
                for make_move in model.possible_moves()
                if make_move not in ("restart", "lose", "restore")
            ]
            if (model.acked == 6 and model.held().high == 6) or not possible_moves:
                break
            busy = [make_move for make_move in possible_moves if make_move != "tick"]
            model.make_move((busy or possible_moves)[0])
        self.assertEqual((model.acked, model.held().high), (6, 6), model.state_key())

    def test_errors_that_halt_the_export(self) -> None:
        hashes = {batch.number: batch.hash for batch in batch_chain(6)}
        cases: list[tuple[str, Welcome | Acknowledgement | Rejection]] = [
            ("a different receiver answered", Welcome(b"X" * 16, 0, b"")),
            ("holds another batch 3 than", Welcome(b"R" * 16, 3, bytes(32))),
            ("the last one created is 6", Welcome(b"R" * 16, 7, bytes(32))),
            ("lacks batches from 1 on", Welcome(b"R" * 16, 0, b"")),
            ("which was not sent", Acknowledgement(6, hashes[6])),
            ("holds another batch 5 than", Acknowledgement(5, bytes(32))),
            ("receiver rejected the export: no", Rejection("no")),
        ]
        for why, message in cases:
            with self.subTest(why=why):
                sender = ExportSender(Random(1), 3, 5 if "not sent" in why else 6, 3, b"R" * 16)
                sender.hashes = dict(hashes)
                sender.advance(0.0)
                sender.connection_opened(0.0)
                if isinstance(message, Welcome):
                    actions = sender.receive_welcome(0.0, message)
                else:
                    sender.receive_welcome(0.0, Welcome(b"R" * 16, 3, hashes[3]))
                    actions = (
                        sender.receive_acknowledgement(0.0, message)
                        if isinstance(message, Acknowledgement)
                        else sender.receive_rejection(message)
                    )
                self.assertEqual((actions[-1:], sender.state), ([CloseConnection()], ExportState.HALTED))
                self.assertIn(why, sender.reason)
                self.assertEqual((sender.advance(99.0), sender.next_advance_at()), ([], float("inf")))

    def test_delays_grow_and_the_budget_limits_retries(self) -> None:
        sender, now, waits = ExportSender(Random(1), 0, 6, 1, b""), 0.0, []
        for _ in range(20):
            self.assertEqual(sender.advance(now), [Connect()])
            sender.connection_lost(now, "refused")
            waits.append(sender.next_step_at - now)
            now = sender.next_step_at
        self.assertLess(waits[0], 0.3)
        self.assertTrue(all(15.0 <= wait <= 30.0 for wait in waits[10:]))
        for _ in range(2):  # response timeouts, while greeting and while sending
            sender.advance(now)
            sender.connection_opened(now)
            now = sender.next_advance_at()
            self.assertEqual(sender.advance(now), [CloseConnection()])
            now = sender.next_step_at


class ExportStoreTest(StoreTestCase):
    def test_batches_in_any_order_and_number(self) -> None:
        """The same set of batches always gives the same statement."""
        batches, statements = batch_chain(6), set()
        for seed in range(12):
            with tempfile.TemporaryDirectory() as folder:
                store = ExportStore(Path(folder))
                store.register_journal(b"B" * 16, "n1")
                many = Random(seed).choices(batches, k=20) + Random(seed).sample(batches, 6)
                for batch in many:
                    self.assertIsInstance(store.store_batch(b"B" * 16, batch), Acknowledgement)
                statements.add(repr(statement.statement(store.received_journals())))
                self.assertEqual(
                    (store.stored_prefix(b"B" * 16), store.verify()), (StoredPrefix(6, batches[5].hash), [])
                )
                store.close_database()
        self.assertEqual(len(statements), 1)

    def test_killed_at_every_step(self) -> None:
        batches = batch_chain(4)
        for name, nth in itertools.product(("receive", "keep", "kept"), (1, 3)):
            with self.subTest(name=name, nth=nth), tempfile.TemporaryDirectory() as folder:
                made = ExportStore(Path(folder))
                made.close_database()

                def take(folder: str = folder, name: str = name, nth: int = nth) -> None:
                    store = ExportStore(Path(folder), Failpoint(name, nth, kill_self))
                    store.register_journal(b"B" * 16, "n1")
                    for batch in batches:
                        store.store_batch(b"B" * 16, batch)

                self.assertEqual(run_until_killed(take), signal.SIGKILL)
                deliver_again = ExportStore(Path(folder))
                self.assertEqual(deliver_again.receiver_id, made.receiver_id)
                self.assertEqual(deliver_again.stored_prefix(b"B" * 16).high, nth - (name != "kept"))
                for batch in batches:
                    deliver_again.store_batch(b"B" * 16, batch)
                self.assertEqual(
                    (deliver_again.stored_prefix(b"B" * 16).high, deliver_again.verify()), (4, [])
                )
                deliver_again.close_database()

    def test_invalid_batches_are_rejected(self) -> None:
        store, batches = self.store(), batch_chain(4)
        other = batches[1]._replace(body=batches[1].body + b"\x28\x09")
        lying = Batch(1, b"", batches[1].body)
        store.register_journal(b"B" * 16, "n1")
        for batch, expected in (
            (batches[0], None), (batches[1], None), (other, "another batch 2 is here already"),
            (batches[2]._replace(before=bytes(32)), "batch 3 does not follow"),
            (batches[2]._replace(before=b""), "stand"),
            (Batch(3, batches[1].hash, b"\xff"), "can't be read"), (lying, "batch 1 says that it is 2"),
            (Batch(0, b"", b""), "stand"), (batches[3], None), (batches[2], None),
        ):  # fmt: skip
            answer = store.store_batch(b"B" * 16, batch)
            self.assertEqual(answer.why if isinstance(answer, Rejection) and expected is None else None, None)
            if expected:
                assert isinstance(answer, Rejection), expected
                self.assertIn(expected, answer.why)
        self.assertEqual((store.stored_prefix(b"B" * 16).high, store.verify()), (4, []))

    def test_reconcile_finds_duplicate_names_and_gaps(self) -> None:
        batches = batch_chain(4)
        received_journals = [
            ReceivedJournal(b"A" * 16, "n1", {1: batches[0], 3: batches[2]}),
            ReceivedJournal(b"B" * 16, "n1", {1: batches[0]}),
        ]
        findings = statement.reconcile(received_journals)
        self.assertEqual(len(findings), 2)
        self.assertIn("n1: batches 2 to 2 are missing", findings[0])
        self.assertIn("2 journals under one name", findings[1])
        self.assertEqual([row["ops"] for row in statement.statement(received_journals)], [2])
        self.assertEqual(len(statement.explain(received_journals, "north", 1)), 2)


class JournalAndStoreMachine(RuleBasedStateMachine):
    """Any order of usage, closes, corrections, crashes and deliveries leaves the same sums on both sides."""

    @initialize()
    def begin(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.at, self.now, self.expected_run_times = Path(self.folder.name), 1000.0, dict[str, int]()
        self.starts, self.delivered = 0, list[Batch]()
        self.open_journal()
        self.store = ExportStore(self.at / "vault")

    def open_journal(self) -> None:
        self.journal = UsageJournal(self.at / "book", LENGTH, durable=False)

    @rule(tenants=st.lists(st.sampled_from("abc"), min_size=1, max_size=5), later=st.floats(-30, 30))
    def usage(self, tenants: list[str], later: float) -> None:
        self.now = max(1000.0, self.now + later)
        self.journal.append([usage(self.now, tenant, run=1.0) for tenant in tenants])
        for tenant in tenants:
            self.expected_run_times[tenant] = self.expected_run_times.get(tenant, 0) + 1_000_000

    @rule()
    def close(self) -> None:
        self.journal.close_periods(self.now)

    @rule(pick=st.integers(0, 99), run=st.integers(-9, 9))
    def correct(self, pick: int, run: int) -> None:
        entries = [entry for entry in self.journal.entries() if entry.key.kind != Kind.CORRECTION]
        if entries:
            entry = entries[pick % len(entries)]
            self.journal.correct(entry.id, Amounts(run=run), "ann", "test")
            self.expected_run_times[entry.key.tenant] += run

    @rule(step=st.sampled_from(("commit", "closing", "folding", "acknowledge")))
    def crash(self, step: str) -> None:
        """Crash within the next transaction, which is rolled back."""
        self.journal.failpoint = Failpoint(step)
        try:
            self.journal.append([usage(self.now, "a")])
            self.expected_run_times["a"] = self.expected_run_times.get("a", 0) + 250_000
            self.journal.close_periods(self.now + 50)
            self.journal.record_acknowledged(self.journal.read_meta("acked"))
            self.journal.compact(keep=1)
        except Killed:
            pass
        self.journal.close_database()
        self.open_journal()

    @rule(times=st.integers(1, 3), lost=st.booleans())
    def deliver(self, times: int, lost: bool) -> None:
        held = self.store.register_journal(self.journal.journal_id, "n1")
        for number in range(held.high + 1, self.journal.last_batch()[0] + 1):
            batch = self.journal.batch(number)
            assert batch is not None
            self.delivered = [*self.delivered[-5:], batch]
            for _ in range(times):
                assert isinstance(self.store.store_batch(self.journal.journal_id, batch), Acknowledgement)
        if not lost:
            self.journal.record_acknowledged(self.store.stored_prefix(self.journal.journal_id).high)

    @rule()
    def deliver_again(self) -> None:
        for batch in self.delivered:
            assert isinstance(self.store.store_batch(self.journal.journal_id, batch), Acknowledgement)

    @rule()
    def compact(self) -> None:
        self.journal.compact(keep=2)

    @rule()
    def restart_the_receiver(self) -> None:
        self.store.close_database()
        self.store = ExportStore(self.at / "vault")

    @invariant()
    def check_consistency(self) -> None:
        if hasattr(self, "vault"):
            assert self.journal.verify() == []
            assert self.store.verify() == []

    def teardown(self) -> None:
        if not hasattr(self, "vault"):
            return
        self.journal.close_periods(self.now + 1000)
        self.deliver(1, False)
        ours: dict[str, int] = {}
        theirs: dict[str, int] = {}
        for found, lines in (
            (ours, self.journal.totals()),
            (theirs, statement.charged_totals(self.store.received_journals())),
        ):
            for line, amounts in lines.items():
                found[line.tenant] = found.get(line.tenant, 0) + amounts.run
        try:
            assert ours == theirs == self.expected_run_times, (ours, theirs, self.expected_run_times)
        finally:
            self.journal.close_database()
            self.store.close_database()
            self.folder.cleanup()


JournalAndStoreMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None, database=None
)
TestJournalAndStore = JournalAndStoreMachine.TestCase
