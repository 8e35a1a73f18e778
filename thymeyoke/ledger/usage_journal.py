"""The book of one instance: entries, closed periods and the batches made of them, in SQLite (WAL).
Append-only.

A book's mark is not drawn from the instance's seed: two instances that were given one seed had one mark,
and the receiver took them for one book.

Not async: the keeper calls it from a thread of its own. Each method that writes is one transaction: after a
crash it has happened in whole or not at all. `step` is called by name before and after each, so that a test
can end the process there.

entries   an op each, or a correction; numbers go on over all starts groups    the entries of one commit,
with a hash over them and the group before: what flips a bit is found versions  a closed period, and through
which entry its sums go; a correction adds a version batches   sums as they are exported, each with the hash
of all before it folded    what was removed, added up
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from hashlib import sha256
from pathlib import Path
from secrets import token_bytes
from typing import Any, NamedTuple

from thymeyoke.ledger import wire
from thymeyoke.ledger.usage_entries import Amounts, Entry, Kind, Line, Periods, Use, sums
from thymeyoke.ledger.wire import Batch, Body

FORMAT = 1
FILE = "ledger.db"
KEEP = 16  # closed periods, and batches, that stay after they were acknowledged
TABLES = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE names (id INTEGER PRIMARY KEY, text TEXT UNIQUE);
CREATE TABLE entries (number INTEGER PRIMARY KEY AUTOINCREMENT, start INTEGER, period INTEGER,
    tenant INTEGER, type INTEGER, kind INTEGER, ops INTEGER, run INTEGER, calls INTEGER,
    importance INTEGER, octets INTEGER, corrects TEXT, who TEXT, why TEXT, op TEXT);
CREATE INDEX entries_by_period ON entries (period);
CREATE TABLE groups (last INTEGER PRIMARY KEY, first INTEGER, hash BLOB);
CREATE TABLE versions (period INTEGER, version INTEGER, through INTEGER, first_batch INTEGER,
    last_batch INTEGER, PRIMARY KEY (period, version)) WITHOUT ROWID;
CREATE TABLE batches (number INTEGER PRIMARY KEY, before BLOB, body BLOB, hash BLOB);
CREATE TABLE folded (tenant TEXT, type TEXT, kind INTEGER, ops INTEGER, run INTEGER, calls INTEGER,
    importance INTEGER, octets INTEGER, PRIMARY KEY (tenant, type, kind)) WITHOUT ROWID;
"""
COLUMNS = (
    "number, start, period, tenant, type, kind, ops, run, calls, importance, octets, corrects, who, why, op"
)
Row = tuple[Any, ...]


class BadBook(Exception):
    """The book can't be used as it is; the text says where, for people."""


def no_step(name: str) -> None:
    """Outside tests nothing happens between two steps."""


def connect(path: Path, durable: bool = True) -> sqlite3.Connection:
    """`durable`: a commit is on the disk when it returns; else when the system writes it."""
    store = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=5.0)
    try:
        store.execute("PRAGMA journal_mode = WAL")
        store.execute(f"PRAGMA synchronous = {'FULL' if durable else 'NORMAL'}")
        store.execute("PRAGMA cache_size = -512")  # KiB
    except sqlite3.DatabaseError as error:
        store.close()
        raise BadBook(f"{path}: {error}") from None
    return store


class Transaction:
    """All of a block, or nothing of it."""

    def __init__(self, store: sqlite3.Connection) -> None:
        self.store = store

    def __enter__(self) -> None:
        self.store.execute("BEGIN IMMEDIATE")

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        self.store.execute("COMMIT" if kind is None else "ROLLBACK")


class Made(NamedTuple):
    """A batch by its number and hash."""

    number: int
    hash: bytes


class Book:
    def __init__(
        self, folder: Path, length: int, durable: bool = True,
        step: Callable[[str], None] = no_step, begin: bool = True,
    ) -> None:  # fmt: skip
        """Open the book in a folder, or make it. `begin`: this is a start of the instance, not a look at
        its book."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.step = folder / FILE, step
        self.store = connect(self.path, durable)
        self._names: dict[str, int] = {}
        self._texts: dict[int, str] = {}
        try:
            self._open(length, begin)
        except sqlite3.DatabaseError as error:
            self.store.close()
            raise BadBook(f"{self.path}: {error}") from None
        except BadBook:
            self.store.close()
            raise

    def _open(self, length: int, begin: bool) -> None:
        with Transaction(self.store):
            if not self.store.execute("SELECT 1 FROM sqlite_master WHERE name = 'meta'").fetchone():
                for statement in TABLES.strip().split(";\n"):
                    self.store.execute(statement)
                first = {"format": FORMAT, "book": token_bytes(16), "length": length, "start": 0,
                         "latest": 0.0, "closed": -1, "acked": 0, "receiver": b"", "kept": 1,
                         "anchor": b"", "group": b"", "folded_through": 0}  # fmt: skip
                self.store.executemany("INSERT INTO meta VALUES (?, ?)", first.items())
            if (format_ := self.meta("format")) != FORMAT:
                raise BadBook(f"{self.path}: is of format {format_}, this program reads {FORMAT}")
            if self.meta("length") != length:
                raise BadBook(
                    f"{self.path}: has periods of {self.meta('length')} s; give [ledger] period = that"
                )
            if begin:
                self._set(start=self.meta("start") + 1)
        self.start, self.mark = int(self.meta("start")), bytes(self.meta("book"))
        self.periods = Periods(length, self.meta("latest"), self.meta("closed"))

    def close_file(self) -> None:
        self.store.close()

    def meta(self, name: str) -> Any:
        return self.store.execute("SELECT value FROM meta WHERE name = ?", (name,)).fetchone()[0]

    def _set(self, **values: Any) -> None:
        self.store.executemany(
            "UPDATE meta SET value = ? WHERE name = ?", [(v, n) for n, v in values.items()]
        )

    def _name(self, text: str) -> int:
        if text not in self._names:
            self.store.execute("INSERT OR IGNORE INTO names (text) VALUES (?)", (text,))
            (found,) = self.store.execute("SELECT id FROM names WHERE text = ?", (text,)).fetchone()
            if len(self._names) >= 4096:  # a hold on memory: they are found again
                self._names.clear()
            self._names[text] = found
        return self._names[text]

    def _text(self, id_: int) -> str:
        if id_ not in self._texts:
            if len(self._texts) >= 4096:
                self._texts.clear()
            self._texts[id_] = self.store.execute("SELECT text FROM names WHERE id = ?", (id_,)).fetchone()[0]
        return self._texts[id_]

    @contextmanager
    def _writing(self) -> Iterator[None]:
        """A transaction; one that is rolled back takes its new names with it."""
        try:
            with Transaction(self.store):
                yield
        except BaseException:
            self._names.clear()
            self._texts.clear()
            raise

    # Entries.

    def append(self, uses: Iterable[Use]) -> int:
        """Commit what ops used, as one group; how many entries that made."""
        self.step("entry")
        latest, rows = self.periods.latest, []
        with self._writing():
            for use in uses:
                tenant, type_ = self._name(use.tenant), self._name(use.type)
                where = self.periods.of(use.at)
                rows.append(
                    (
                        None,
                        self.start,
                        where,
                        tenant,
                        type_,
                        int(use.kind),
                        *use.amounts(),
                        "",
                        "",
                        "",
                        use.op,
                    )
                )
            self._insert(rows)
            if self.periods.latest > latest:
                self._set(latest=self.periods.latest)
            self.step("commit")
        self.step("committed")
        return len(rows)

    def _insert(self, rows: list[Row]) -> int:
        if not rows:
            return 0
        marks = ", ".join("?" * 15)
        self.store.executemany(f"INSERT INTO entries ({COLUMNS}) VALUES ({marks})", rows)
        (last,) = self.store.execute("SELECT MAX(number) FROM entries").fetchone()
        first = int(last) - len(rows) + 1
        hash_ = _hash(self.meta("group"), [(first + at, *row[1:]) for at, row in enumerate(rows)])
        self.store.execute("INSERT INTO groups VALUES (?, ?, ?)", (last, first, hash_))
        self._set(group=hash_)
        return int(last)

    def entry(self, id_: str) -> Entry | None:
        start, _, number = id_.partition(".")
        if not (start.isdecimal() and number.isdecimal()):
            return None
        query = f"SELECT {COLUMNS} FROM entries WHERE number = ? AND start = ?"
        found = self.store.execute(query, (int(number), int(start))).fetchone()
        return self._entry(found) if found else None

    def entries(self, period: int | None = None, tenant: str | None = None) -> Iterable[Entry]:
        where = ["1"]
        given: list[Any] = []
        if period is not None:
            where.append("period = ?")
            given.append(period)
        if tenant is not None:
            where.append("tenant = (SELECT id FROM names WHERE text = ?)")
            given.append(tenant)
        query = f"SELECT {COLUMNS} FROM entries WHERE {' AND '.join(where)} ORDER BY number"
        for row in self.store.execute(query, given):
            yield self._entry(row)

    def _entry(self, row: Row) -> Entry:
        line = Line(self._text(row[3]), self._text(row[4]), Kind(row[5]), *row[11:14])
        return Entry(row[1], row[0], row[2], line, Amounts(*row[6:11]), row[14])

    def sums(self, period: int, after: int, through: int) -> dict[Line, Amounts]:
        """A period's entries from behind one to another, by line. Added up in the store: read one by one
        they held the book for a quarter of a second at each close, and acked answers with it."""
        names = "tenant, type, kind, corrects, who, why"
        query = (
            f"SELECT {names}, SUM(ops), SUM(run), SUM(calls), SUM(importance), SUM(octets) FROM entries "
            f"WHERE period = ? AND number > ? AND number <= ? GROUP BY {names}, CASE kind WHEN 6 THEN "
            f"number END"
        )
        return sums(
            (Line(self._text(row[0]), self._text(row[1]), Kind(row[2]), *row[3:6]), Amounts(*row[6:]))
            for row in self.store.execute(query, (period, after, through)).fetchall()
        )

    def correct(self, id_: str, amounts: Amounts, who: str, why: str) -> Entry:
        """One more entry, in the period of the one it corrects. A closed period gets one more version for
        it."""
        with self._writing():
            old = self.entry(id_)
            if old is None:
                raise BadBook(
                    f"{self.path}: has no entry {id_}, or it was folded; ledger show names those there are"
                )
            if old.line.kind == Kind.CORRECTION:
                raise BadBook(
                    f"{self.path}: entry {id_} is a correction; correct {old.line.corrects} once more"
                )
            if not why.strip() or not who.strip():
                raise BadBook("a correction needs who and why")
            names = self._name(old.line.tenant), self._name(old.line.type)
            row = (None, old.start, old.period, *names, int(Kind.CORRECTION), *amounts, id_, who, why, old.op)
            number = self._insert([row])
            self.step("correction")
        found = self.store.execute(f"SELECT {COLUMNS} FROM entries WHERE number = ?", (number,)).fetchone()
        return self._entry(found)

    # Periods.

    def close(self, now: float) -> list[Made]:
        """Corrections to closed periods first, then the periods that are due; the batches that this made."""
        made: list[Made] = []
        for period in self._corrected():
            made += self._version(period)
        query = "SELECT DISTINCT period FROM entries WHERE period > ?"
        held = [row[0] for row in self.store.execute(query, (self.periods.closed,))]
        for period in self.periods.due(now, held):
            made += self._version(period)
        return made

    def _corrected(self) -> list[int]:
        """Closed periods with entries behind their last version, oldest first."""
        query = (
            "SELECT DISTINCT e.period FROM entries e JOIN (SELECT period, MAX(through) AS t FROM versions "
            "GROUP BY period) v ON v.period = e.period WHERE e.number > v.t ORDER BY e.period"
        )
        return [row[0] for row in self.store.execute(query)]

    def _version(self, period: int) -> list[Made]:
        """A period's sums, from the entry behind its last version on, as batches of one transaction."""
        made: list[Made] = []
        self.step("close")
        with Transaction(self.store):
            query = "SELECT MAX(version), MAX(through) FROM versions WHERE period = ?"
            version, through = self.store.execute(query, (period,)).fetchone()
            version, after = (version or 0) + 1, through or 0
            (last,) = self.store.execute("SELECT MAX(number) FROM entries").fetchone()
            cut = wire.parts(self.sums(period, after, last).items())
            number, before = self.last()
            first = number + 1
            for part, rows in enumerate(cut):
                number += 1
                body = Body(number, period, version, part + 1, len(cut), self.periods.length, rows)
                batch = Batch(number, before, wire.body(body))
                before = batch.hash
                self.store.execute("INSERT INTO batches VALUES (?, ?, ?, ?)", (*batch, before))
                made.append(Made(number, before))
            self.store.execute(
                "INSERT INTO versions VALUES (?, ?, ?, ?, ?)", (period, version, last, first, number)
            )
            closed = max(self.periods.closed, period)
            self._set(closed=closed)
            self.step("closing")
        self.periods.close(period)
        self.step("closed")
        return made

    # Batches.

    def last(self) -> tuple[int, bytes]:
        """The last batch made, and its hash."""
        found = self.store.execute("SELECT number, hash FROM batches ORDER BY number DESC LIMIT 1").fetchone()
        return found or (self.meta("kept") - 1, bytes(self.meta("anchor")))

    def batch(self, number: int) -> Batch | None:
        found = self.store.execute(
            "SELECT number, before, body FROM batches WHERE number = ?", (number,)
        ).fetchone()
        return Batch(*found) if found else None

    def hashes(self) -> dict[int, bytes]:
        """Of all batches that are here, and of the one before them."""
        found = dict(self.store.execute("SELECT number, hash FROM batches").fetchall())
        return {self.meta("kept") - 1: bytes(self.meta("anchor"))} | found

    def marked(self, number: int) -> None:
        """The receiver holds all up to here."""
        self.step("acknowledge")
        with Transaction(self.store):
            self._set(acked=max(number, self.meta("acked")))
        self.step("acknowledged")

    def pin(self, receiver: bytes) -> None:
        with Transaction(self.store):
            self._set(receiver=receiver)

    def fold(self, keep: int = KEEP) -> int:
        """Add up and remove what is acknowledged and old; how many periods that took. A correction reaches
        back as far as the periods that stay."""
        acked = self.meta("acked")
        query = "SELECT period, MAX(last_batch) FROM versions GROUP BY period ORDER BY period"
        periods = self.store.execute(query).fetchall()
        old = [period for period, last in periods[:-keep] if last <= acked] if len(periods) > keep else []
        pending = set(self._corrected())
        old = [period for period in old if period not in pending]
        if not old:
            return 0
        self.step("fold")
        with Transaction(self.store):
            for period in old:
                for line, amounts in self.sums(period, 0, 1 << 62).items():
                    self.store.execute(
                        "INSERT INTO folded VALUES (?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO UPDATE SET "
                        "ops = ops + excluded.ops, run = run + excluded.run, calls = calls + excluded.calls, "
                        "importance = importance + excluded.importance, octets = octets + excluded.octets",
                        (line.tenant, line.type, int(line.kind), *amounts))  # fmt: skip
                self.store.execute("DELETE FROM entries WHERE period = ?", (period,))
                self.store.execute("DELETE FROM versions WHERE period = ?", (period,))
            # Batches go from the front only: the chain that is left begins at the anchor.
            (stays,) = self.store.execute("SELECT MIN(first_batch) FROM versions").fetchone()
            last, _ = self.last()
            upto = min((stays or last + 1) - 1, acked, last - 1)
            if upto >= self.meta("kept"):
                (hash_,) = self.store.execute("SELECT hash FROM batches WHERE number = ?", (upto,)).fetchone()
                self.store.execute("DELETE FROM batches WHERE number <= ?", (upto,))
                self._set(kept=upto + 1, anchor=hash_)
            (first,) = self.store.execute("SELECT MIN(number) FROM entries").fetchone()
            through = (
                first or (self.store.execute("SELECT MAX(last) FROM groups").fetchone()[0] or 0) + 1
            ) - 1
            self.store.execute("DELETE FROM groups WHERE last <= ?", (through,))
            self._set(folded_through=max(through, self.meta("folded_through")))
            self.step("folding")
        self.step("folded")
        return len(old)

    # What is told.

    def size(self) -> int:
        """Octets of the file, but for pages that are free in it."""
        pages, free, octets = (
            self.store.execute(f"PRAGMA {name}").fetchone()[0]
            for name in ("page_count", "freelist_count", "page_size")
        )
        return int((pages - free) * octets)

    def totals(self) -> dict[Line, Amounts]:
        """Everything that was ever entered, by line; corrections added up under theirs."""
        rows = [
            (Line(r[0], r[1], Kind(r[2])), Amounts(*r[3:]))
            for r in self.store.execute("SELECT * FROM folded")
        ]
        rows += [(Line(*entry.line[:3]), entry.amounts) for entry in self.entries()]
        return sums(rows)

    def verify(self) -> list[str]:
        """What does not fit, the first place first; nothing where all does."""
        try:
            check = [row[0] for row in self.store.execute("PRAGMA quick_check")]
            return [f"{self.path}: {line}" for line in check if line != "ok"] or [
                *self._groups(),
                *self._chain(),
            ]
        except (sqlite3.DatabaseError, wire.BadSay, ValueError, TypeError) as error:
            return [f"{self.path}: {error}"]

    def _groups(self) -> Iterable[str]:
        """Each group that is here in whole and follows one that is."""
        before, through = None, self.meta("folded_through")
        for last, first, hash_ in self.store.execute(
            "SELECT last, first, hash FROM groups ORDER BY last"
        ).fetchall():
            query = f"SELECT {COLUMNS} FROM entries WHERE number BETWEEN ? AND ? ORDER BY number"
            rows = self.store.execute(query, (first, last)).fetchall()
            whole = len(rows) == last - first + 1
            if before is not None and whole and _hash(before, rows) != hash_:
                yield f"{self.path}: entries {first} to {last} are not as they were committed"
            elif not whole and first > through and not self._folded(first, last):
                yield f"{self.path}: of entries {first} to {last} only {len(rows)} are there"
            elif before is None and first == 1 and _hash(b"", rows) != hash_ and whole:
                yield f"{self.path}: entries {first} to {last} are not as they were committed"
            before = hash_

    def _folded(self, first: int, last: int) -> bool:
        """Whether entries of a group may be gone: a period that was folded leaves gaps in groups that span
        several."""
        return self.meta("kept") > 1 or bool(self.store.execute("SELECT 1 FROM folded").fetchone())

    def _chain(self) -> Iterable[str]:
        before, expected = bytes(self.meta("anchor")), self.meta("kept")
        found: dict[int, list[tuple[Line, Amounts]]] = {}
        batches = self.store.execute(
            "SELECT number, before, body, hash FROM batches ORDER BY number"
        ).fetchall()
        for number, named, body, hash_ in batches:
            batch = Batch(number, named, body)
            if number != expected or named != before or batch.hash != hash_:
                yield f"{self.path}: batch {number} does not follow the one before it"
                return
            read = wire.read_body(body)
            if read.number != number:
                yield f"{self.path}: batch {number} says that it is {read.number}"
                return
            found.setdefault(read.period, []).extend(read.rows)
            before, expected = hash_, number + 1
        for period, first, through in self.store.execute(
            "SELECT period, MIN(first_batch), MAX(through) FROM versions GROUP BY period ORDER BY period"
        ).fetchall():
            if first < self.meta("kept"):
                continue
            told = self.sums(period, 0, through)
            if sums(found.get(period, [])) != told:
                yield f"{self.path}: the sums of period {period} are not those of its entries"


def _hash(before: bytes, rows: Iterable[Row]) -> bytes:
    return sha256(before + repr([tuple(row) for row in rows]).encode()).digest()
