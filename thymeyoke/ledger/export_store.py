"""The receiver's store: batches of many journals, each stored once, in SQLite (WAL mode).

The calls block; each batch is one transaction.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path
from secrets import token_bytes

from thymeyoke.ledger import wire
from thymeyoke.ledger.export import StoredPrefix, check_batch
from thymeyoke.ledger.statement import ReceivedJournal, contiguous_batches
from thymeyoke.ledger.usage_journal import (
    StoreError,
    Transaction,
    check_format,
    create_tables,
    no_failpoint,
    open_database,
    read_meta,
)
from thymeyoke.ledger.wire import Acknowledgement, Batch, Rejection

FORMAT_VERSION = 1
FILE_NAME = "received.db"
SCHEMA = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE books (book BLOB PRIMARY KEY, name TEXT) WITHOUT ROWID;
CREATE TABLE batches (book BLOB, number INTEGER, before BLOB, body BLOB, hash BLOB,
    PRIMARY KEY (book, number)) WITHOUT ROWID;
"""


class ExportStore:
    """Database of the batches received. Tests use `failpoint` to end the process between two writes."""

    def __init__(self, folder: Path, failpoint: Callable[[str], None] = no_failpoint) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.failpoint = folder / FILE_NAME, failpoint
        self.database = open_database(self.path)
        try:
            with Transaction(self.database):
                create_tables(self.database, SCHEMA, FORMAT_VERSION, {"receiver": token_bytes(16)})
            check_format(self.database, self.path, FORMAT_VERSION)
            self.receiver_id: bytes = read_meta(self.database, "receiver")
        except sqlite3.DatabaseError as error:
            self.database.close()
            raise StoreError(f"{self.path}: {error}") from None
        self._stored_prefixes: dict[bytes, StoredPrefix] = {}  # of each journal seen since the start

    def close_database(self) -> None:
        """Close the database file."""
        self.database.close()

    def register_journal(self, journal_id: bytes, name: str) -> StoredPrefix:
        """Record a journal under the latest name that it was sent with, and return what is stored of it."""
        with Transaction(self.database):
            self.database.execute("INSERT OR REPLACE INTO books VALUES (?, ?)", (journal_id, name))
        return self.stored_prefix(journal_id)

    def stored_prefix(self, journal_id: bytes) -> StoredPrefix:
        """Return up to which batch a journal is stored without a gap."""
        if journal_id not in self._stored_prefixes:
            self._stored_prefixes[journal_id] = self._extend_prefix(journal_id, StoredPrefix(0, b""))
        return self._stored_prefixes[journal_id]

    def _extend_prefix(self, journal_id: bytes, stored_prefix: StoredPrefix) -> StoredPrefix:
        """Extend a prefix by the stored batches that follow it and match its hash."""
        query = "SELECT number, before, hash FROM batches WHERE book = ? AND number > ? ORDER BY number"
        for number, before, hash_ in self.database.execute(query, (journal_id, stored_prefix.high)):
            if number != stored_prefix.high + 1 or before != stored_prefix.hash:
                break
            stored_prefix = StoredPrefix(number, hash_)
        return stored_prefix

    def store_batch(self, journal_id: bytes, batch: Batch) -> Acknowledgement | Rejection:
        """Store a batch unless it is stored already, and answer with what is stored without a gap."""
        try:
            body = wire.decode_body(batch.body)
        except wire.ProtocolError as error:
            return Rejection(str(error))
        if body.number != batch.number:
            return Rejection(f"batch {batch.number} says that it is {body.number}")
        query = "SELECT number, hash FROM batches WHERE book = ? AND number IN (?, ?)"
        hashes = dict(self.database.execute(query, (journal_id, batch.number, batch.number - 1)).fetchall())
        answer = check_batch(self.stored_prefix(journal_id), hashes, batch)
        if answer is not None:
            return answer
        next_batch = self.database.execute(
            "SELECT before FROM batches WHERE book = ? AND number = ?", (journal_id, batch.number + 1)
        ).fetchone()
        if next_batch is not None and next_batch[0] != batch.hash:
            return Rejection(f"batch {batch.number} is not what the one after it names")
        self.failpoint("receive")
        with Transaction(self.database):
            self.database.execute(
                "INSERT INTO batches VALUES (?, ?, ?, ?, ?)", (journal_id, *batch, batch.hash)
            )
            self.failpoint("keep")
        self.failpoint("kept")
        self._stored_prefixes[journal_id] = self._extend_prefix(journal_id, self.stored_prefix(journal_id))
        return Acknowledgement(*self._stored_prefixes[journal_id])

    def received_journals(self) -> list[ReceivedJournal]:
        """Return all journals with their batches, as input of statements."""
        journals = []
        for journal_id, name in self.database.execute(
            "SELECT book, name FROM books ORDER BY book"
        ).fetchall():
            query = "SELECT number, before, body FROM batches WHERE book = ?"
            journals.append(
                ReceivedJournal(
                    journal_id,
                    name,
                    {row[0]: Batch(*row) for row in self.database.execute(query, (journal_id,))},
                )
            )
        return journals

    def verify(self) -> list[str]:
        """Check the database and all hashes; returns the problems found, first one first."""
        try:
            check_result = [row[0] for row in self.database.execute("PRAGMA quick_check")]
            if check_result != ["ok"]:
                return [f"{self.path}: {line}" for line in check_result]
            problems = []
            for journal_id, number, before, body, hash_ in self.database.execute(
                "SELECT * FROM batches ORDER BY book, number"
            ):
                if Batch(number, before, body).hash != hash_:
                    problems.append(
                        f"{self.path}: batch {number} of journal {journal_id.hex()[:8]} changed after receipt"
                    )
            return problems + [
                f"{self.path}: {line}"
                for journal in self.received_journals()
                for line in contiguous_batches(journal)[2]
            ]
        except (sqlite3.DatabaseError, wire.ProtocolError) as error:
            return [f"{self.path}: {error}"]
