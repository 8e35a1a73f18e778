"""The usage journal of an app server: entries, closed periods and batches for export, in SQLite (WAL mode).

The journal is append-only. Its ID is random and not derived from the configured seed, because two servers
with the same seed had the same ID and the receiver took them for one.

The calls block; the usage recorder makes them from a thread. Each method that writes is one transaction,
which after a crash is present completely or not at all. `failpoint` is called with a name before, within and
after each transaction, so that a test can end the process there.

Tables: `entries` has one row for each request or correction, numbered over all starts. `groups` has a hash
over the entries of each commit and the group before, to detect changed data. `versions` has the closed
periods and the last entry that each version includes; a correction adds a version. `batches` has the exported
sums, each with a hash over all batches before. `folded` has the sums of removed periods.
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
from thymeyoke.ledger.usage_entries import Amounts, Entry, Kind, Periods, RequestUsage, UsageKey, sum_by_key
from thymeyoke.ledger.wire import Batch, BatchBody

FORMAT_VERSION = 1
FILE_NAME = "ledger.db"
DEFAULT_KEPT_PERIODS = 16  # of closed and acknowledged periods
SCHEMA = """
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
ENTRY_COLUMNS = (
    "number, start, period, tenant, type, kind, ops, run, calls, importance, octets, corrects, who, why, op"
)
Row = tuple[Any, ...]


class StoreError(Exception):
    """The journal or export store can't be used; the text tells operators why."""


def no_failpoint(name: str) -> None:
    """Do nothing; replaced by tests."""


def open_database(path: Path, durable: bool = True) -> sqlite3.Connection:
    """Open a database in WAL mode. If `durable`, a commit returns when it is on the disk."""
    database = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=5.0)
    try:
        database.execute("PRAGMA journal_mode = WAL")
        database.execute(f"PRAGMA synchronous = {'FULL' if durable else 'NORMAL'}")
        database.execute("PRAGMA cache_size = -512")  # KiB
    except sqlite3.DatabaseError as error:
        database.close()
        raise StoreError(f"{path}: {error}") from None
    return database


class Transaction:
    """Context manager that commits its block, or rolls it back if an exception is raised."""

    def __init__(self, database: sqlite3.Connection) -> None:
        self.database = database

    def __enter__(self) -> None:
        self.database.execute("BEGIN IMMEDIATE")

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        self.database.execute("COMMIT" if kind is None else "ROLLBACK")


def create_tables(
    database: sqlite3.Connection, schema: str, format_version: int, initial_values: dict[str, Any]
) -> None:
    """Create the tables of a store unless they exist, with the first values of its table `meta`."""
    if database.execute("SELECT 1 FROM sqlite_master WHERE name = 'meta'").fetchone():
        return
    for statement in schema.strip().split(";\n"):
        database.execute(statement)
    values = {"format": format_version} | initial_values
    database.executemany("INSERT INTO meta VALUES (?, ?)", values.items())


def read_meta(database: sqlite3.Connection, name: str) -> Any:
    """Return a value of a store's table `meta`."""
    return database.execute("SELECT value FROM meta WHERE name = ?", (name,)).fetchone()[0]


def check_format(database: sqlite3.Connection, path: Path, format_version: int) -> None:
    """Raise `StoreError` if a store has another format than this version reads."""
    found = read_meta(database, "format")
    if found != format_version:
        raise StoreError(f"{path}: format {found} is not supported, only format {format_version}")


class BatchReference(NamedTuple):
    """Number and hash of a batch."""

    number: int
    hash: bytes


class UsageJournal:
    """Database of one app server's usage."""

    def __init__(
        self, folder: Path, length: int, durable: bool = True,
        failpoint: Callable[[str], None] = no_failpoint, is_start: bool = True,
    ) -> None:  # fmt: skip
        """Open the journal in a folder, or create it.

        `length` is that of a period in seconds. `is_start` is False for commands, which do not count as a
        start of the app server.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.failpoint = folder / FILE_NAME, failpoint
        self.database = open_database(self.path, durable)
        self._id_by_name: dict[str, int] = {}
        self._name_by_id: dict[int, str] = {}
        try:
            self._open(length, is_start)
        except sqlite3.DatabaseError as error:
            self.database.close()
            raise StoreError(f"{self.path}: {error}") from None
        except StoreError:
            self.database.close()
            raise

    def _open(self, length: int, is_start: bool) -> None:
        """Create the tables if necessary, check the format, and load the state."""
        with Transaction(self.database):
            initial_values = {
                "book": token_bytes(16),
                "length": length,
                "start": 0,
                "latest": 0.0,
                "closed": -1,
                "acked": 0,
                "receiver": b"",
                "kept": 1,
                "anchor": b"",
                "group": b"",
                "folded_through": 0,
            }
            create_tables(self.database, SCHEMA, FORMAT_VERSION, initial_values)
            check_format(self.database, self.path, FORMAT_VERSION)
            if self.read_meta("length") != length:
                raise StoreError(
                    f"{self.path}: its periods are {self.read_meta('length')} s; set [ledger] period to that"
                )
            if is_start:
                self._write_meta(start=self.read_meta("start") + 1)
        self.start, self.journal_id = int(self.read_meta("start")), bytes(self.read_meta("book"))
        self.periods = Periods(length, self.read_meta("latest"), self.read_meta("closed"))

    def close_database(self) -> None:
        """Close the database file."""
        self.database.close()

    def read_meta(self, name: str) -> Any:
        """Return a value of the table `meta`."""
        return read_meta(self.database, name)

    def _write_meta(self, **values: Any) -> None:
        """Update values of the table `meta`."""
        self.database.executemany(
            "UPDATE meta SET value = ? WHERE name = ?", [(v, n) for n, v in values.items()]
        )

    def _name_id(self, text: str) -> int:
        """Return the ID of a tenant's or request class's name, and add the name if it is new."""
        if text not in self._id_by_name:
            self.database.execute("INSERT OR IGNORE INTO names (text) VALUES (?)", (text,))
            (found,) = self.database.execute("SELECT id FROM names WHERE text = ?", (text,)).fetchone()
            if len(self._id_by_name) >= 4096:  # bounds memory; names are looked up again
                self._id_by_name.clear()
            self._id_by_name[text] = found
        return self._id_by_name[text]

    def _name_text(self, id_: int) -> str:
        """Return the name with this ID."""
        if id_ not in self._name_by_id:
            if len(self._name_by_id) >= 4096:
                self._name_by_id.clear()
            self._name_by_id[id_] = self.database.execute(
                "SELECT text FROM names WHERE id = ?", (id_,)
            ).fetchone()[0]
        return self._name_by_id[id_]

    @contextmanager
    def _entry_transaction(self) -> Iterator[None]:
        """Return a transaction that also drops cached names when it is rolled back."""
        try:
            with Transaction(self.database):
                yield
        except BaseException:
            self._id_by_name.clear()
            self._name_by_id.clear()
            raise

    # Entries.

    def append(self, usages: Iterable[RequestUsage]) -> int:
        """Commit the usage of requests as one group, and return the number of entries."""
        self.failpoint("entry")
        latest, rows = self.periods.latest_seen, []
        with self._entry_transaction():
            for usage in usages:
                tenant, type_ = self._name_id(usage.tenant), self._name_id(usage.request_class)
                period = self.periods.period_of(usage.ended_at)
                rows.append(
                    (
                        None,
                        self.start,
                        period,
                        tenant,
                        type_,
                        int(usage.kind),
                        *usage.amounts(),
                        "",
                        "",
                        "",
                        usage.request_id,
                    )
                )
            self._insert(rows)
            if self.periods.latest_seen > latest:
                self._write_meta(latest=self.periods.latest_seen)
            self.failpoint("commit")
        self.failpoint("committed")
        return len(rows)

    def _insert(self, rows: list[Row]) -> int:
        """Insert entries and the hash of their group; returns the number of the last entry."""
        if not rows:
            return 0
        placeholders = ", ".join("?" * 15)
        self.database.executemany(f"INSERT INTO entries ({ENTRY_COLUMNS}) VALUES ({placeholders})", rows)
        (last,) = self.database.execute("SELECT MAX(number) FROM entries").fetchone()
        first = int(last) - len(rows) + 1
        hash_ = _group_hash(self.read_meta("group"), [(first + at, *row[1:]) for at, row in enumerate(rows)])
        self.database.execute("INSERT INTO groups VALUES (?, ?, ?)", (last, first, hash_))
        self._write_meta(group=hash_)
        return int(last)

    def entry(self, id_: str) -> Entry | None:
        """Return the entry with this ID, if it exists."""
        start, _, number = id_.partition(".")
        if not (start.isdecimal() and number.isdecimal()):
            return None
        query = f"SELECT {ENTRY_COLUMNS} FROM entries WHERE number = ? AND start = ?"
        found = self.database.execute(query, (int(number), int(start))).fetchone()
        return self._entry(found) if found else None

    def entries(self, period: int | None = None, tenant: str | None = None) -> Iterable[Entry]:
        """Iterate over the entries, of one period or tenant if given."""
        conditions = ["1"]
        parameters: list[Any] = []
        if period is not None:
            conditions.append("period = ?")
            parameters.append(period)
        if tenant is not None:
            conditions.append("tenant = (SELECT id FROM names WHERE text = ?)")
            parameters.append(tenant)
        query = f"SELECT {ENTRY_COLUMNS} FROM entries WHERE {' AND '.join(conditions)} ORDER BY number"
        for row in self.database.execute(query, parameters):
            yield self._entry(row)

    def _entry(self, row: Row) -> Entry:
        """Convert a row to an entry."""
        key = UsageKey(self._name_text(row[3]), self._name_text(row[4]), Kind(row[5]), *row[11:14])
        return Entry(row[1], row[0], row[2], key, Amounts(*row[6:11]), row[14])

    def period_sums(self, period: int, after: int, through: int) -> dict[UsageKey, Amounts]:
        """Sum up a period's entries with numbers above `after`, up to `through`.

        The database sums them up: reading entries one by one blocked the journal for a quarter of a second at
        each close, and served answers with it.
        """
        names = "tenant, type, kind, corrects, who, why"
        query = (
            f"SELECT {names}, SUM(ops), SUM(run), SUM(calls), SUM(importance), SUM(octets) FROM entries "
            f"WHERE period = ? AND number > ? AND number <= ? GROUP BY {names}, CASE kind WHEN 6 THEN "
            f"number END"
        )
        return sum_by_key(
            (
                UsageKey(self._name_text(row[0]), self._name_text(row[1]), Kind(row[2]), *row[3:6]),
                Amounts(*row[6:]),
            )
            for row in self.database.execute(query, (period, after, through)).fetchall()
        )

    def correct(self, entry_id: str, amounts: Amounts, who: str, why: str) -> Entry:
        """Add a correction of an entry, in the same period. A closed period gets a further version."""
        with self._entry_transaction():
            corrected = self.entry(entry_id)
            if corrected is None:
                raise StoreError(
                    f"{self.path}: no entry {entry_id}, or it was compacted; `ledger show` lists the entries"
                )
            if corrected.key.kind == Kind.CORRECTION:
                raise StoreError(
                    f"{self.path}: entry {entry_id} is a correction; correct {corrected.key.corrects} again"
                )
            if not why.strip() or not who.strip():
                raise StoreError("a correction needs a non-empty who and why")
            names = self._name_id(corrected.key.tenant), self._name_id(corrected.key.type)
            row = (
                None,
                corrected.start,
                corrected.period,
                *names,
                int(Kind.CORRECTION),
                *amounts,
                entry_id,
                who,
                why,
                corrected.request_id,
            )
            number = self._insert([row])
            self.failpoint("correction")
        found = self.database.execute(
            f"SELECT {ENTRY_COLUMNS} FROM entries WHERE number = ?", (number,)
        ).fetchone()
        return self._entry(found)

    # Periods.

    def close_periods(self, now: float) -> list[BatchReference]:
        """Create batches for corrected periods, then for periods that may close; returns the new batches."""
        made: list[BatchReference] = []
        for period in self._corrected_periods():
            made += self._close_version(period)
        query = "SELECT DISTINCT period FROM entries WHERE period > ?"
        periods = [row[0] for row in self.database.execute(query, (self.periods.closed,))]
        for period in self.periods.closable_periods(now, periods):
            made += self._close_version(period)
        return made

    def _corrected_periods(self) -> list[int]:
        """Return closed periods with entries that no version includes, oldest first."""
        query = (
            "SELECT DISTINCT e.period FROM entries e JOIN (SELECT period, MAX(through) AS t FROM versions "
            "GROUP BY period) v ON v.period = e.period WHERE e.number > v.t ORDER BY e.period"
        )
        return [row[0] for row in self.database.execute(query)]

    def _close_version(self, period: int) -> list[BatchReference]:
        """Create the next version of a period: the sums of its new entries as batches, in one transaction."""
        made: list[BatchReference] = []
        self.failpoint("close")
        with Transaction(self.database):
            query = "SELECT MAX(version), MAX(through) FROM versions WHERE period = ?"
            version, through = self.database.execute(query, (period,)).fetchone()
            version, after = (version or 0) + 1, through or 0
            (last,) = self.database.execute("SELECT MAX(number) FROM entries").fetchone()
            parts = wire.split_rows(self.period_sums(period, after, last).items())
            number, before = self.last_batch()
            first = number + 1
            for part, rows in enumerate(parts):
                number += 1
                body = BatchBody(number, period, version, part + 1, len(parts), self.periods.length, rows)
                batch = Batch(number, before, wire.encode_body(body))
                before = batch.hash
                self.database.execute("INSERT INTO batches VALUES (?, ?, ?, ?)", (*batch, before))
                made.append(BatchReference(number, before))
            self.database.execute(
                "INSERT INTO versions VALUES (?, ?, ?, ?, ?)", (period, version, last, first, number)
            )
            closed = max(self.periods.closed, period)
            self._write_meta(closed=closed)
            self.failpoint("closing")
        self.periods.mark_closed(period)
        self.failpoint("closed")
        return made

    # Batches.

    def last_batch(self) -> tuple[int, bytes]:
        """Return number and hash of the last batch created."""
        found = self.database.execute(
            "SELECT number, hash FROM batches ORDER BY number DESC LIMIT 1"
        ).fetchone()
        return found or (self.read_meta("kept") - 1, bytes(self.read_meta("anchor")))

    def batch(self, number: int) -> Batch | None:
        """Return the batch with this number, if it is still kept."""
        found = self.database.execute(
            "SELECT number, before, body FROM batches WHERE number = ?", (number,)
        ).fetchone()
        return Batch(*found) if found else None

    def batch_hashes(self) -> dict[int, bytes]:
        """Return the hashes of all kept batches and of the one before them."""
        found = dict(self.database.execute("SELECT number, hash FROM batches").fetchall())
        return {self.read_meta("kept") - 1: bytes(self.read_meta("anchor"))} | found

    def record_acknowledged(self, number: int) -> None:
        """Record that the receiver holds all batches up to `number`."""
        self.failpoint("acknowledge")
        with Transaction(self.database):
            self._write_meta(acked=max(number, self.read_meta("acked")))
        self.failpoint("acknowledged")

    def record_receiver(self, receiver: bytes) -> None:
        """Record the ID of the receiver."""
        with Transaction(self.database):
            self._write_meta(receiver=receiver)

    def compact(self, keep: int = DEFAULT_KEPT_PERIODS) -> int:
        """Replace old, acknowledged periods by their sums, and return how many were removed.

        Only entries of the `keep` latest periods can be corrected afterwards.
        """
        acked = self.read_meta("acked")
        query = "SELECT period, MAX(last_batch) FROM versions GROUP BY period ORDER BY period"
        periods = self.database.execute(query).fetchall()
        expired = [period for period, last in periods[:-keep] if last <= acked] if len(periods) > keep else []
        pending = set(self._corrected_periods())
        expired = [period for period in expired if period not in pending]
        if not expired:
            return 0
        self.failpoint("fold")
        with Transaction(self.database):
            for period in expired:
                for key, amounts in self.period_sums(period, 0, 1 << 62).items():
                    self.database.execute(
                        "INSERT INTO folded VALUES (?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO UPDATE SET "
                        "ops = ops + excluded.ops, run = run + excluded.run, calls = calls + excluded.calls, "
                        "importance = importance + excluded.importance, octets = octets + excluded.octets",
                        (key.tenant, key.type, int(key.kind), *amounts))  # fmt: skip
                self.database.execute("DELETE FROM entries WHERE period = ?", (period,))
                self.database.execute("DELETE FROM versions WHERE period = ?", (period,))
            # Batches are removed from the oldest on; the anchor is the hash of the last one removed.
            (first_needed,) = self.database.execute("SELECT MIN(first_batch) FROM versions").fetchone()
            last, _ = self.last_batch()
            last_removed = min((first_needed or last + 1) - 1, acked, last - 1)
            if last_removed >= self.read_meta("kept"):
                (hash_,) = self.database.execute(
                    "SELECT hash FROM batches WHERE number = ?", (last_removed,)
                ).fetchone()
                self.database.execute("DELETE FROM batches WHERE number <= ?", (last_removed,))
                self._write_meta(kept=last_removed + 1, anchor=hash_)
            (first,) = self.database.execute("SELECT MIN(number) FROM entries").fetchone()
            through = (
                first or (self.database.execute("SELECT MAX(last) FROM groups").fetchone()[0] or 0) + 1
            ) - 1
            self.database.execute("DELETE FROM groups WHERE last <= ?", (through,))
            self._write_meta(folded_through=max(through, self.read_meta("folded_through")))
            self.failpoint("folding")
        self.failpoint("folded")
        return len(expired)

    # Reports.

    def size_bytes(self) -> int:
        """Return the size of the database without its free pages."""
        pages, free, octets = (
            self.database.execute(f"PRAGMA {name}").fetchone()[0]
            for name in ("page_count", "freelist_count", "page_size")
        )
        return int((pages - free) * octets)

    def totals(self) -> dict[UsageKey, Amounts]:
        """Sum up all entries ever made; corrections are summed up by tenant, class and kind."""
        rows = [
            (UsageKey(r[0], r[1], Kind(r[2])), Amounts(*r[3:]))
            for r in self.database.execute("SELECT * FROM folded")
        ]
        rows += [(UsageKey(*entry.key[:3]), entry.amounts) for entry in self.entries()]
        return sum_by_key(rows)

    def verify(self) -> list[str]:
        """Check the database, all hashes and all sums; returns the problems found, first one first."""
        try:
            check = [row[0] for row in self.database.execute("PRAGMA quick_check")]
            return [f"{self.path}: {line}" for line in check if line != "ok"] or [
                *self._group_errors(),
                *self._chain_errors(),
            ]
        except (sqlite3.DatabaseError, wire.ProtocolError, ValueError, TypeError) as error:
            return [f"{self.path}: {error}"]

    def _group_errors(self) -> Iterable[str]:
        """Check the hash of each group that is complete and follows a kept one."""
        before, through = None, self.read_meta("folded_through")
        for last, first, hash_ in self.database.execute(
            "SELECT last, first, hash FROM groups ORDER BY last"
        ).fetchall():
            query = f"SELECT {ENTRY_COLUMNS} FROM entries WHERE number BETWEEN ? AND ? ORDER BY number"
            rows = self.database.execute(query, (first, last)).fetchall()
            is_complete = len(rows) == last - first + 1
            if before is not None and is_complete and _group_hash(before, rows) != hash_:
                yield f"{self.path}: entries {first} to {last} have changed since they were committed"
            elif not is_complete and first > through and not self._has_compacted(first, last):
                yield f"{self.path}: entries {first} to {last}: only {len(rows)} exist"
            elif before is None and first == 1 and _group_hash(b"", rows) != hash_ and is_complete:
                yield f"{self.path}: entries {first} to {last} have changed since they were committed"
            before = hash_

    def _has_compacted(self, first: int, last: int) -> bool:
        """Return whether compaction may have removed entries, as a group may span several periods."""
        return self.read_meta("kept") > 1 or bool(self.database.execute("SELECT 1 FROM folded").fetchone())

    def _chain_errors(self) -> Iterable[str]:
        """Check that each batch follows the one before, and that batches match the entries."""
        previous_hash, expected_number = bytes(self.read_meta("anchor")), self.read_meta("kept")
        rows_by_period: dict[int, list[tuple[UsageKey, Amounts]]] = {}
        batches = self.database.execute(
            "SELECT number, before, body, hash FROM batches ORDER BY number"
        ).fetchall()
        for number, before, body, hash_ in batches:
            batch = Batch(number, before, body)
            if number != expected_number or before != previous_hash or batch.hash != hash_:
                yield f"{self.path}: batch {number} does not follow the one before it"
                return
            decoded = wire.decode_body(body)
            if decoded.number != number:
                yield f"{self.path}: batch {number} contains number {decoded.number}"
                return
            rows_by_period.setdefault(decoded.period, []).extend(decoded.rows)
            previous_hash, expected_number = hash_, number + 1
        for period, first, through in self.database.execute(
            "SELECT period, MIN(first_batch), MAX(through) FROM versions GROUP BY period ORDER BY period"
        ).fetchall():
            if first < self.read_meta("kept"):
                continue
            expected_sums = self.period_sums(period, 0, through)
            if sum_by_key(rows_by_period.get(period, [])) != expected_sums:
                yield f"{self.path}: the sums of period {period} differ from its entries"


def _group_hash(previous_hash: bytes, rows: Iterable[Row]) -> bytes:
    """Hash the rows of a group together with the hash of the group before."""
    return sha256(previous_hash + repr([tuple(row) for row in rows]).encode()).digest()
