"""Files that the program reads and writes: start file, service configuration, ledger store, export store."""

from __future__ import annotations

import gzip
import os
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import orjson

from tests.characterization.recording import DATA, compare, plain
from thymeyoke.configuration import service_config, start_file
from thymeyoke.ledger import export_store, usage_journal
from thymeyoke.ledger.export_store import ExportStore
from thymeyoke.ledger.usage_entries import Amounts, Kind, RequestUsage
from thymeyoke.ledger.usage_journal import UsageJournal

FILES = DATA / "files"
PERIOD = 60  # seconds
SECTIONS = ("seed", "op_types", "machine", "survival", "duty", "dependency", "callers", "tenants")


def lines(rows: list[Any]) -> list[bytes]:
    return [orjson.dumps(row, default=str) for row in rows]


class Configuration(unittest.TestCase):
    def test_start_file(self) -> None:
        station, names, given = start_file.read_start_file(FILES / "start.json")
        rows = [
            plain(station, {}),
            plain(names, {}),
            [[name, plain(value, {})] for name, value in zip(SECTIONS, given, strict=True)],
        ]
        compare(self, "files/start_file", lines(rows))

    def test_service_configuration(self) -> None:
        rows = []
        for name in ("server.ini", "node.ini"):
            for section, value in service_config.read_service_config(FILES / name).items():
                text = repr(plain_text(value))
                rows.append([name, section, text])
        compare(self, "files/service_configuration", lines(rows))

    def test_what_check_prints(self) -> None:
        found = []
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        for file in FILES.glob("*.*"):
            shutil.copy(file, folder)
        cases = [
            ("--config", "start.json"),
            ("--config", "start.json", "--orders", "server.ini"),
            ("--orders", "node.ini"),
            ("--orders", "server.ini"),
            ("--config", "none.json"),
        ]
        for case in cases:
            done = subprocess.run(
                [sys.executable, "-m", "thymeyoke", "check", *case],
                cwd=folder,
                capture_output=True,
                text=True,
                env={**os.environ, "PYTHONPATH": str(DATA.parent.parent)},
                timeout=30,
            )
            found.append([list(case), done.returncode, done.stdout])
        compare(self, "files/check", lines(found))


def plain_text(value: Any) -> Any:
    """Nested lists of texts: addresses and networks have types of their own."""
    if isinstance(value, tuple | list):
        return [plain_text(entry) for entry in value]
    if hasattr(value, "__struct_fields__"):
        return [plain_text(getattr(value, name)) for name in value.__struct_fields__]
    return str(value)


def use(at: float, tenant: str, kind: Kind, run: float = 0.25) -> RequestUsage:
    return RequestUsage(at, tenant, "look", kind, run, 2, 1.5, 300, f"id{at:g}")


def fill(store: UsageJournal, received: ExportStore) -> None:
    """Every kind of entry, closed periods, a correction, batches that were delivered, and a fold."""
    received.register_journal(store.journal_id, "app-1")
    done = 0
    for at in range(0, 420, 30):
        done += store.append(
            [
                use(6000.0 + at, "north", Kind.ACKED),
                use(6000.0 + at, "south", Kind.REPEAT),
                use(6000.0 + at, "north", list(Kind)[at // 30 % 4], 0.125),
            ]
        )
        for made in store.close_periods(6000.0 + at):
            received.store_batch(store.journal_id, store.batch(made.number))
            if at < 300:
                store.record_acknowledged(made.number)
        store.compact(keep=2)
        if at == 300:
            store.correct(f"{store.start}.{done}", Amounts(run=-5), "ann", "twice billed")
            done += 1
    store.record_receiver(b"\7" * 16)


def dump(path: Path) -> list[Any]:
    store = sqlite3.connect(path)
    try:
        return list(store.iterdump())
    finally:
        store.close()


class Stores(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def made(self) -> tuple[Path, Path]:
        """Both stores, as the program writes them."""
        with (
            mock.patch.object(usage_journal, "token_bytes", lambda size: b"\1" * size),
            mock.patch.object(export_store, "token_bytes", lambda size: b"\2" * size),
        ):
            store = UsageJournal(self.folder / "book", PERIOD, durable=False)
            received = ExportStore(self.folder / "vault")
            fill(store, received)
            store.close_database()
            received.close_database()
        return store.path, received.path

    def test_written_the_same(self) -> None:
        for name, path in zip(("ledger", "export"), self.made(), strict=True):
            compare(self, f"files/{name}_store_rows", lines(dump(path)))

    def test_a_recorded_store_is_read(self) -> None:
        """The files themselves, as an earlier version left them."""
        recorded = {"book": FILES / "ledger.db.gz", "vault": FILES / "received.db.gz"}
        if os.environ.get("THYMEYOKE_RECORD") and not recorded["book"].exists():
            for target, path in zip(recorded.values(), self.made(), strict=True):
                whole = sqlite3.connect(path)
                whole.execute("PRAGMA journal_mode = DELETE")
                whole.close()
                target.write_bytes(gzip.compress(path.read_bytes(), mtime=0))
        for name, file in (("book", usage_journal.FILE_NAME), ("vault", export_store.FILE_NAME)):
            folder = self.folder / f"recorded-{name}"
            folder.mkdir()
            (folder / file).write_bytes(gzip.decompress(recorded[name].read_bytes()))
        store = UsageJournal(self.folder / "recorded-book", PERIOD, durable=False)
        received = ExportStore(self.folder / "recorded-vault")
        self.addCleanup(store.close_database)
        self.addCleanup(received.close_database)
        self.assertEqual((store.verify(), received.verify()), ([], []))
        last, hash_ = store.last_batch()
        batch = store.batch(last)
        rows = [
            [store.start, store.journal_id.hex(), last, hash_.hex(), plain(batch, {})],
            [plain(entry, {}) for entry in store.entries()],
            sorted(plain(list(store.totals().items()), {})),
            [[*plain(stream[:2], {}), list(stream[2])] for stream in received.received_journals()],
            plain(received.stored_prefix(store.journal_id), {}),
        ]
        compare(self, "files/stores_read", lines(rows))
        self.assertEqual(store.append([use(9000.0, "north", Kind.ACKED)]), 1)
        self.assertEqual(store.verify(), [])


if __name__ == "__main__":
    unittest.main()
