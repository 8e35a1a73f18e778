"""The command line: `python -m thymeyoke serve`."""

from __future__ import annotations

import sys

from thymeyoke import held

if __name__ == "__main__" and sys.argv[1:2] == ["serve"]:
    held.hold()  # before all that takes time

from importlib import import_module
from pathlib import Path
from typing import Any

import click

from thymeyoke import start

start_file = click.option(
    "--config", envvar="ROUTER_CONFIG", required=True, type=click.Path(path_type=Path),
    help="The start file; else the one that ROUTER_CONFIG names.")  # fmt: skip
orders_file = click.option(
    "--orders",
    envvar="THYMEYOKE_ORDERS",
    type=click.Path(path_type=Path),
    help="The operators' file; else the one that THYMEYOKE_ORDERS names. Without it all of that is off.",
)


class BadUse(click.ClickException):
    """What was given can't be used; one sentence, exit 2."""

    exit_code = 2


class Commands(click.Group):
    """The groups of subsystems, imported when they are asked for."""

    groups = {"announce": "thymeyoke.announce.commands", "ledger": "thymeyoke.ledger.commands"}  # noqa: RUF012

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.groups])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name in self.groups:
            return import_module(self.groups[name]).group
        return super().get_command(ctx, name)


@click.group(cls=Commands)
def main() -> None:
    """Decides, inside each app server of a fleet, what it takes, runs and turns away."""


@main.command()
@start_file
@orders_file
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--log-form", default="text", type=click.Choice(["text", "json"]), help="key=value, or JSON.")
def serve(config: Path, orders: Path | None, log_level: str, log_form: str) -> None:
    """Run one app server until it is told to leave (SIGTERM).

    \b
    Example: python -m thymeyoke serve --config examples/start.json
    """
    import anyio

    from thymeyoke.net import log, server

    told = _read(config)
    _read_orders(orders)
    log.set_up(log_level, log_form)
    anyio.run(server.serve, *told, lambda: start.read(config)[0], lambda: _orders(orders))


@main.command()
@start_file
@orders_file
def check(config: Path, orders: Path | None) -> None:
    """Read a start file, and the operators' file if there is one, and tell what they ask for.

    \b
    Example: python -m thymeyoke check --config examples/start.json --orders deploy/service.ini
    """
    station, names, given = _read(config)
    asked = _read_orders(orders)
    click.echo(f"{station.name} at {station.listen}, {given['machine'].cores} cores")
    click.echo(f"processor {station.processor}, database {station.database or 'none'}, list {station.roster}")
    click.echo(f"op types: {', '.join(names.op_types)}")
    click.echo(f"tenants: {', '.join(names.tenants) or 'none'}")
    if orders:
        for told in asked.values():
            for line in told.lines():
                click.echo(line)
        if not asked:
            click.echo("operators' file: nothing is switched on")


@main.command()
def version() -> None:
    """Print the version."""
    from thymeyoke import VERSION

    click.echo(VERSION)


def _read(config: Path) -> tuple[start.Station, start.Names, dict[str, Any]]:
    try:
        return start.read(config)
    except start.BadStart as error:
        raise click.ClickException(str(error)) from None


def _orders(path: Path | None) -> dict[str, Any]:
    if path is None:
        return {}
    from thymeyoke import orders

    return orders.read(path)


def _read_orders(path: Path | None) -> dict[str, Any]:
    """The operators' file, found good for this machine as well."""
    if path is None:
        return {}
    from thymeyoke.net import behind
    from thymeyoke.orders import BadOrders

    try:
        asked = _orders(path)
        behind.probe(asked)
        return asked
    except BadOrders as error:
        raise BadUse(str(error)) from None
    except behind.Refused as error:
        raise BadUse(f"{path}: {error}") from None


if __name__ == "__main__":
    main(prog_name="thymeyoke")
