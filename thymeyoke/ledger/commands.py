"""The command `thymeyoke ledger`: the usage journal of an app server, and the receiver of exports."""

from __future__ import annotations

import getpass
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import orjson

from thymeyoke.ledger import export_store, usage_journal
from thymeyoke.ledger import statement as statements
from thymeyoke.ledger.export_store import ExportStore
from thymeyoke.ledger.usage_entries import MICRO_UNITS, Amounts
from thymeyoke.ledger.usage_journal import StoreError, UsageJournal
from thymeyoke.runtime.terminal import print_table

AMOUNT_NAMES = ("ops", "run", "calls", "importance", "octets")

path_option = click.option(
    "--path", required=True, type=click.Path(path_type=Path), help="The ledger's folder."
)
json_option = click.option("--json", "as_json", is_flag=True, help="JSON lines; amounts in whole units.")


@click.group("ledger")
def group() -> None:
    """Usage by tenant: the journal of an app server, and the receiver of exports.

    show, correct and verify read a journal; receive, statement and explain are for the receiver.
    """


@contextmanager
def _open_journal(path: Path) -> Iterator[UsageJournal]:
    """Open an existing usage journal; a missing one is an error and is not created."""
    if not (path / usage_journal.FILE_NAME).exists():
        raise click.ClickException(
            f"{path} contains no usage journal ({usage_journal.FILE_NAME}); give the folder of [ledger] path"
        )
    try:
        database = usage_journal.open_database(path / usage_journal.FILE_NAME)
        length = usage_journal.read_meta(database, "length")
        database.close()
        journal = UsageJournal(path, length, is_start=False)
    except (StoreError, sqlite3.Error) as error:
        raise click.ClickException(
            f"{path / usage_journal.FILE_NAME}: {error}".replace(
                f"{path / usage_journal.FILE_NAME}: " * 2, ""
            )
        ) from None
    try:
        yield journal
    except StoreError as error:
        raise click.ClickException(str(error)) from None
    finally:
        journal.close_database()


@contextmanager
def _open_store(path: Path) -> Iterator[ExportStore]:
    """Open an existing export store; a missing one is an error and is not created."""
    if not (path / export_store.FILE_NAME).exists():
        raise click.ClickException(
            f"{path} contains no export store ({export_store.FILE_NAME}); give the receiver's folder"
        )
    try:
        store = ExportStore(path)
    except StoreError as error:
        raise click.ClickException(str(error)) from None
    try:
        yield store
    finally:
        store.close_database()


def _print(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Print rows as JSON lines or as an aligned table."""
    if as_json:
        for row in rows:
            click.echo(orjson.dumps(row).decode())
        return
    if not rows:
        return click.echo("nothing")
    header = [name.upper() for name in rows[0]]
    print_table([header, *([_cell(*pair) for pair in row.items()] for row in rows)])


def _cell(name: str, value: Any) -> str:
    """Format one value for the table; run times and priority weights are shown in whole units."""
    if name in ("run", "importance"):
        return f"{value / MICRO_UNITS:.6f}"
    return {True: "yes", False: "no"}.get(value, str(value)) if isinstance(value, bool) else str(value)


@group.command()
@path_option
@click.option("--tenant")
@click.option("--period", type=int)
@json_option
def show(path: Path, tenant: str | None, period: int | None, as_json: bool) -> None:
    """Show the entries of a usage journal that were not compacted yet.

    \b
    Example: python -m thymeyoke ledger show --path /var/lib/thymeyoke/ledger --tenant north --json
    """
    with _open_journal(path) as journal:
        rows = [
            {
                "entry": e.id,
                "op": e.request_id,
                "period": e.period,
                "tenant": e.key.tenant,
                "type": e.key.type,
                "kind": e.key.kind.name.lower(),
                **e.amounts._asdict(),
                "corrects": e.key.corrects,
                "who": e.key.who,
                "why": e.key.why,
            }
            for e in journal.entries(period, tenant)
        ]
    _print(rows, as_json)


@group.command()
@path_option
@click.option("--entry", required=True, help="ID of the entry, as printed by ledger show.")
@click.option(
    "--amount", required=True, help="Amounts to add: ops=-1,run=-0.25,calls=0,importance=0,octets=0"
)
@click.option("--why", required=True)
@click.option("--who", default=getpass.getuser, help="Defaults to the current user.")
def correct(path: Path, entry: str, amount: str, why: str, who: str) -> None:
    """Add a correction of an entry. A closed period gets a further version.

    \b Example: python -m thymeyoke ledger correct --path DIR --entry 3.1207 --amount run=-0.25 --why "ran
    for nobody"
    """
    amounts: dict[str, int] = {}
    for part in amount.split(","):
        name, _, value = part.strip().partition("=")
        try:
            if name not in AMOUNT_NAMES:
                raise ValueError(name)
            amounts[name] = round(float(value) * MICRO_UNITS) if name in ("run", "importance") else int(value)
        except (ValueError, OverflowError):
            raise click.UsageError(
                f"--amount {part.strip()!r} is invalid; give {', '.join(AMOUNT_NAMES)} as run=-0.25"
            ) from None
    with _open_journal(path) as journal:
        correction = journal.correct(entry, Amounts(**amounts), who, why)
    click.echo(f"entry {correction.id} corrects {entry} in period {correction.period}")


@group.command()
@path_option
def verify(path: Path) -> None:
    """Check all sums and hashes of a usage journal, an export store, or both; prints the first problem.

    \b Example: python -m thymeyoke ledger verify --path /var/lib/thymeyoke/ledger
    """
    problems: list[str] = []
    exists = [(path / usage_journal.FILE_NAME).exists(), (path / export_store.FILE_NAME).exists()]
    if not any(exists):
        raise click.ClickException(f"{path} contains neither a usage journal nor an export store")
    if exists[0]:
        with _open_journal(path) as journal:
            problems += journal.verify()
    if exists[1]:
        with _open_store(path) as store:
            problems += store.verify()
    if problems:
        raise click.ClickException(
            problems[0] + (f" (and {len(problems) - 1} more)" if len(problems) > 1 else "")
        )
    click.echo("all fits")


@group.command()
@path_option
@click.option("--listen", required=True, help="An IP address and a port, as 127.0.0.1:4700.")
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--log-form", default="text", type=click.Choice(["text", "json"]))
def receive(path: Path, listen: str, log_level: str, log_form: str) -> None:
    """Receive exports of many app servers until SIGTERM.

    \b
    Example: python -m thymeyoke ledger receive --listen 127.0.0.1:4700 --path /var/lib/thymeyoke/received
    """
    import anyio

    from thymeyoke.configuration.service_config import HostPort
    from thymeyoke.ledger import receiver
    from thymeyoke.runtime import logs

    try:
        address = HostPort.parse(listen)
    except ValueError:
        raise click.UsageError(f"--listen {listen!r} is invalid; give an IP address and a port") from None
    logs.configure_logging(log_level, log_form)
    try:
        anyio.run(receiver.receive, str(address.ip), address.port, path)
    except (StoreError, OSError) as error:
        raise click.ClickException(str(error)) from None


@group.command()
@path_option
@click.option("--tenant")
@click.option("--period", type=int)
@json_option
def statement(path: Path, tenant: str | None, period: int | None, as_json: bool) -> None:
    """Print sums by period, tenant, request class and kind; problems go to standard error.

    \b Example: python -m thymeyoke ledger statement --path /var/lib/thymeyoke/received --tenant north
    """
    with _open_store(path) as store:
        received_journals = store.received_journals()
    _print(statements.statement(received_journals, tenant, period), as_json)
    for line in statements.reconcile(received_journals):
        click.echo(line, err=True)


@group.command()
@path_option
@click.argument("tenant")
@click.argument("period", type=int)
@json_option
def explain(path: Path, tenant: str, period: int, as_json: bool) -> None:
    """Print the batches and corrections that make up a tenant's sum in a period.

    \b
    Example: python -m thymeyoke ledger explain --path /var/lib/thymeyoke/received north 29276145
    """
    with _open_store(path) as store:
        rows = statements.explain(store.received_journals(), tenant, period)
    _print(rows, as_json)
