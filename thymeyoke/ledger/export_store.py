"""What a receiver holds: batches of many books, each once, in SQLite (WAL). Not async; one transaction a
batch."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path
from secrets import token_bytes

from thymeyoke.ledger import wire
from thymeyoke.ledger.export import Held, judge
from thymeyoke.ledger.statement import Stream, prefix
from thymeyoke.ledger.usage_journal import BadBook, Transaction, connect, no_step
from thymeyoke.ledger.wire import Batch, Refused, Taken

FORMAT = 1
FILE = "received.db"
TABLES = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE books (book BLOB PRIMARY KEY, name TEXT) WITHOUT ROWID;
CREATE TABLE batches (book BLOB, number INTEGER, before BLOB, body BLOB, hash BLOB,
    PRIMARY KEY (book, number)) WITHOUT ROWID;
"""


class Vault:
    def __init__(self, folder: Path, step: Callable[[str], None] = no_step) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.step = folder / FILE, step
        self.store = connect(self.path)
        try:
            with Transaction(self.store):
                if not self.store.execute("SELECT 1 FROM sqlite_master WHERE name = 'meta'").fetchone():
                    for statement in TABLES.strip().split(";\n"):
                        self.store.execute(statement)
                    first = {"format": FORMAT, "receiver": token_bytes(16)}
                    self.store.executemany("INSERT INTO meta VALUES (?, ?)", first.items())
            query = "SELECT value FROM meta WHERE name = ?"
            (format_,) = self.store.execute(query, ("format",)).fetchone()
            if format_ != FORMAT:
                raise BadBook(f"{self.path}: is of format {format_}, this program reads {FORMAT}")
            (self.mark,) = self.store.execute(query, ("receiver",)).fetchone()
        except sqlite3.DatabaseError as error:
            self.store.close()
            raise BadBook(f"{self.path}: {error}") from None
        self._held: dict[bytes, Held] = {}  # one a book that came since the start

    def close_file(self) -> None:
        self.store.close()

    def greet(self, book: bytes, name: str) -> Held:
        """The book is known from here on, under the last name that it gave."""
        with Transaction(self.store):
            self.store.execute("INSERT OR REPLACE INTO books VALUES (?, ?)", (book, name))
        return self.held(book)

    def held(self, book: bytes) -> Held:
        if book not in self._held:
            self._held[book] = self._on(book, Held(0, b""))
        return self._held[book]

    def _on(self, book: bytes, held: Held) -> Held:
        """As far as the chain fits, from what is known to hold."""
        query = "SELECT number, before, hash FROM batches WHERE book = ? AND number > ? ORDER BY number"
        for number, before, hash_ in self.store.execute(query, (book, held.high)):
            if number != held.high + 1 or before != held.hash:
                break
            held = Held(number, hash_)
        return held

    def take(self, book: bytes, batch: Batch) -> Taken | Refused:
        """Keep a batch, once. The answer tells what is held for good, without a gap."""
        try:
            body = wire.read_body(batch.body)
        except wire.BadSay as error:
            return Refused(str(error))
        if body.number != batch.number:
            return Refused(f"batch {batch.number} says that it is {body.number}")
        query = "SELECT number, hash FROM batches WHERE book = ? AND number IN (?, ?)"
        has = dict(self.store.execute(query, (book, batch.number, batch.number - 1)).fetchall())
        verdict = judge(self.held(book), has, batch)
        if verdict is not None:
            return verdict
        after = self.store.execute(
            "SELECT before FROM batches WHERE book = ? AND number = ?", (book, batch.number + 1)
        ).fetchone()
        if after is not None and after[0] != batch.hash:
            return Refused(f"batch {batch.number} is not what the one after it names")
        self.step("receive")
        with Transaction(self.store):
            self.store.execute("INSERT INTO batches VALUES (?, ?, ?, ?, ?)", (book, *batch, batch.hash))
            self.step("keep")
        self.step("kept")
        self._held[book] = self._on(book, self.held(book))
        return Taken(*self._held[book])

    def streams(self) -> list[Stream]:
        """All that is held, to make statements of."""
        found = []
        for book, name in self.store.execute("SELECT book, name FROM books ORDER BY book").fetchall():
            query = "SELECT number, before, body FROM batches WHERE book = ?"
            found.append(
                Stream(book, name, {row[0]: Batch(*row) for row in self.store.execute(query, (book,))})
            )
        return found

    def verify(self) -> list[str]:
        """What does not fit, the first place first."""
        try:
            check = [row[0] for row in self.store.execute("PRAGMA quick_check")]
            if check != ["ok"]:
                return [f"{self.path}: {line}" for line in check]
            wrong = []
            for book, number, before, body, hash_ in self.store.execute(
                "SELECT * FROM batches ORDER BY book, number"
            ):
                if Batch(number, before, body).hash != hash_:
                    wrong.append(f"{self.path}: batch {number} of book {book.hex()[:8]} is not as it came")
            return wrong + [f"{self.path}: {line}" for stream in self.streams() for line in prefix(stream)[2]]
        except (sqlite3.DatabaseError, wire.BadSay) as error:
            return [f"{self.path}: {error}"]
