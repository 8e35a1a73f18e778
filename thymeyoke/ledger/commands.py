"""`thymeyoke ledger`: the book of an instance, and the receiving side."""

from __future__ import annotations

import getpass
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import orjson

from thymeyoke.ledger import export_store as vaults
from thymeyoke.ledger import statement as statements
from thymeyoke.ledger import usage_journal as books
from thymeyoke.ledger.export_store import Vault
from thymeyoke.ledger.usage_entries import MICRO, Amounts
from thymeyoke.ledger.usage_journal import BadBook, Book

UNITS = ("ops", "run", "calls", "importance", "octets")

folder = click.option("--path", required=True, type=click.Path(path_type=Path), help="The ledger's folder.")
json_option = click.option("--json", "as_json", is_flag=True, help="JSON lines; amounts in whole units.")


@click.group("ledger")
def group() -> None:
    """Use by tenant: the book of an instance (show, correct, verify), the receiver (receive, statement,
    explain)."""


@contextmanager
def _book(path: Path) -> Iterator[Book]:
    """A book that is there: none is made by a look at it."""
    if not (path / books.FILE).exists():
        raise click.ClickException(f"{path} holds no book ({books.FILE}); name the folder of [ledger] path")
    try:
        store = books.connect(path / books.FILE)
        (length,) = store.execute("SELECT value FROM meta WHERE name = 'length'").fetchone()
        store.close()
        book = Book(path, length, begin=False)
    except (BadBook, sqlite3.Error) as error:
        raise click.ClickException(
            f"{path / books.FILE}: {error}".replace(f"{path / books.FILE}: " * 2, "")
        ) from None
    try:
        yield book
    except BadBook as error:
        raise click.ClickException(str(error)) from None
    finally:
        book.close_file()


@contextmanager
def _vault(path: Path) -> Iterator[Vault]:
    if not (path / vaults.FILE).exists():
        raise click.ClickException(
            f"{path} holds nothing received ({vaults.FILE}); name the receiver's folder"
        )
    try:
        vault = Vault(path)
    except BadBook as error:
        raise click.ClickException(str(error)) from None
    try:
        yield vault
    finally:
        vault.close_file()


def _print(rows: list[dict[str, Any]], as_json: bool) -> None:
    if as_json:
        for row in rows:
            click.echo(orjson.dumps(row).decode())
        return
    if not rows:
        return click.echo("nothing")
    header = [name.upper() for name in rows[0]]
    table = [header, *([_cell(*pair) for pair in row.items()] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for cells in table:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True)).rstrip())


def _cell(name: str, value: Any) -> str:
    if name in ("run", "importance"):
        return f"{value / MICRO:.6f}"
    return {True: "yes", False: "no"}.get(value, str(value)) if isinstance(value, bool) else str(value)


@group.command()
@folder
@click.option("--tenant")
@click.option("--period", type=int)
@json_option
def show(path: Path, tenant: str | None, period: int | None, as_json: bool) -> None:
    """Entries of an instance's book that were not yet folded.

    \b
    Example: python -m thymeyoke ledger show --path /var/lib/thymeyoke/ledger --tenant north --json
    """
    with _book(path) as book:
        rows = [
            {"entry": e.id, "op": e.op, "period": e.period, "tenant": e.line.tenant, "type": e.line.type,
             "kind": e.line.kind.name.lower(), **e.amounts._asdict(), "corrects": e.line.corrects,
             "who": e.line.who, "why": e.line.why}
            for e in book.entries(period, tenant)
        ]  # fmt: skip
    _print(rows, as_json)


@group.command()
@folder
@click.option("--entry", required=True, help="As ledger show names it.")
@click.option("--amount", required=True, help="What to add: ops=-1,run=-0.25,calls=0,importance=0,octets=0")
@click.option("--why", required=True)
@click.option("--who", default=getpass.getuser, help="By itself the user.")
def correct(path: Path, entry: str, amount: str, why: str, who: str) -> None:
    """Add an entry that corrects another. A period that is closed gets one more version.

    \b Example: python -m thymeyoke ledger correct --path DIR --entry 3.1207 --amount run=-0.25 --why "ran
    for nobody"
    """
    given: dict[str, int] = {}
    for part in amount.split(","):
        name, _, value = part.strip().partition("=")
        try:
            if name not in UNITS:
                raise ValueError(name)
            given[name] = round(float(value) * MICRO) if name in ("run", "importance") else int(value)
        except (ValueError, OverflowError):
            raise click.UsageError(
                f"--amount {part.strip()!r} can't be used; give {', '.join(UNITS)} as run=-0.25"
            ) from None
    with _book(path) as book:
        made = book.correct(entry, Amounts(**given), who, why)
    click.echo(f"entry {made.id} corrects {entry} in period {made.period}")


@group.command()
@folder
def verify(path: Path) -> None:
    """Check every sum and the whole chain, of a book, a receiver's store, or both; names the first place
    that is wrong.

    \b Example: python -m thymeyoke ledger verify --path /var/lib/thymeyoke/ledger
    """
    wrong: list[str] = []
    there = [(path / books.FILE).exists(), (path / vaults.FILE).exists()]
    if not any(there):
        raise click.ClickException(f"{path} holds neither a book nor anything received")
    if there[0]:
        with _book(path) as book:
            wrong += book.verify()
    if there[1]:
        with _vault(path) as vault:
            wrong += vault.verify()
    if wrong:
        raise click.ClickException(wrong[0] + (f" (and {len(wrong) - 1} more)" if len(wrong) > 1 else ""))
    click.echo("all fits")


@group.command()
@folder
@click.option("--listen", required=True, help="An IP address and a port, as 127.0.0.1:4700.")
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--log-form", default="text", type=click.Choice(["text", "json"]))
def receive(path: Path, listen: str, log_level: str, log_form: str) -> None:
    """Take exports of many instances until SIGTERM.

    \b
    Example: python -m thymeyoke ledger receive --listen 127.0.0.1:4700 --path /var/lib/thymeyoke/received
    """
    import anyio

    from thymeyoke.configuration.service_config import HostPort
    from thymeyoke.ledger import receiver
    from thymeyoke.runtime import logs

    try:
        where = HostPort.parse(listen)
    except ValueError:
        raise click.UsageError(f"--listen {listen!r} can't be used; give an IP address and a port") from None
    logs.configure_logging(log_level, log_form)
    try:
        anyio.run(receiver.receive, str(where.ip), where.port, path)
    except (BadBook, OSError) as error:
        raise click.ClickException(str(error)) from None


@group.command()
@folder
@click.option("--tenant")
@click.option("--period", type=int)
@json_option
def statement(path: Path, tenant: str | None, period: int | None, as_json: bool) -> None:
    """Sums by period, tenant, op type and kind, from what a receiver holds; on standard error what does not
    fit.

    \b Example: python -m thymeyoke ledger statement --path /var/lib/thymeyoke/received --tenant north
    """
    with _vault(path) as vault:
        streams = vault.streams()
    _print(statements.statement(streams, tenant, period), as_json)
    for line in statements.reconcile(streams):
        click.echo(line, err=True)


@group.command()
@folder
@click.argument("tenant")
@click.argument("period", type=int)
@json_option
def explain(path: Path, tenant: str, period: int, as_json: bool) -> None:
    """From a tenant's sum in a period down to each instance's batches and corrections.

    \b
    Example: python -m thymeyoke ledger explain --path /var/lib/thymeyoke/received north 29276145
    """
    with _vault(path) as vault:
        rows = statements.explain(vault.streams(), tenant, period)
    _print(rows, as_json)
