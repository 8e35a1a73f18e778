"""The command line: `python -m thymeyoke serve`."""

from __future__ import annotations

import sys

from thymeyoke.runtime import early_signals

if __name__ == "__main__" and sys.argv[1:2] in (["serve"], ["node"]):
    early_signals.hold()  # before all that takes time

from importlib import import_module
from pathlib import Path
from typing import Any

import click
from click.core import ParameterSource

from thymeyoke.configuration import start_file

config_option = click.option(
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
    """The commands of subsystems, imported when they are asked for."""

    elsewhere = {  # noqa: RUF012
        "announce": ("thymeyoke.bgp.commands", "group"),
        "ledger": ("thymeyoke.ledger.commands", "group"),
        "moves": ("thymeyoke.proxy.commands", "moves"),
        "node": ("thymeyoke.proxy.commands", "node"),
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.elsewhere])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in self.elsewhere:
            return super().get_command(ctx, name)
        module, command = self.elsewhere[name]
        return getattr(import_module(module), command)


@click.group(cls=Commands)
def main() -> None:
    """Decides, inside each app server of a fleet, what it takes, runs and turns away."""


@main.command()
@config_option
@orders_file
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--log-form", default="text", type=click.Choice(["text", "json"]), help="key=value, or JSON.")
def serve(config: Path, orders: Path | None, log_level: str, log_form: str) -> None:
    """Run one app server until it is told to leave (SIGTERM).

    \b
    Example: python -m thymeyoke serve --config examples/start.json
    """
    import anyio

    from thymeyoke.runtime import logs
    from thymeyoke.server import lifecycle

    told = _read(config)
    _read_orders(orders)
    logs.set_up(log_level, log_form)
    try:
        anyio.run(lifecycle.serve, *told, lambda: start_file.read(config)[0], lambda: _orders(orders))
    except start_file.BadStart as error:  # found while starting: the address can't be listened on
        raise click.ClickException(str(error)) from None


@main.command()
@click.option(
    "--config", envvar="ROUTER_CONFIG", type=click.Path(path_type=Path),
    help="An app server's start file; else the one that ROUTER_CONFIG names. A node has none.",
)  # fmt: skip
@orders_file
@click.pass_context
def check(ctx: click.Context, config: Path | None, orders: Path | None) -> None:
    """Read a start file, an operators' file, or both, and tell what they ask for. A node has no start file.

    \b
    Example: python -m thymeyoke check --config examples/start.json --orders deploy/service.ini
    Example: python -m thymeyoke check --orders examples/fleet/node-1.ini
    """
    named = ctx.get_parameter_source("config") is ParameterSource.COMMANDLINE
    if config is None and orders is None:
        raise click.UsageError("name a start file with --config, or an operators' file with --orders")
    asked = _read_orders(orders) if named or orders is None else _read_alone(orders, config is not None)
    if config is not None and (named or "node" not in asked):
        station, names, given = _read(config)
        click.echo(f"{station.name} at {station.listen}, {given['machine'].cores} cores")
        click.echo(
            f"processor {station.processor}, database {station.database or 'none'}, list {station.roster}"
        )
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


def _read(config: Path) -> tuple[start_file.Station, start_file.Names, dict[str, Any]]:
    try:
        return start_file.read(config)
    except start_file.BadStart as error:
        raise click.ClickException(str(error)) from None


def _orders(path: Path | None) -> dict[str, Any]:
    if path is None:
        return {}
    from thymeyoke.configuration import service_config

    return service_config.read(path)


def _read_alone(path: Path, started: bool) -> dict[str, Any]:
    """The operators' file of a node; or of an app server, `started` where its start file is at hand. Without
    one what is wrong is said as `thymeyoke node` says it: exit 1."""
    from thymeyoke.configuration.service_config import BadOrders
    from thymeyoke.runtime import extensions

    bad = BadUse if started else click.ClickException
    try:
        asked = _orders(path)
        if "node" in asked:
            from thymeyoke.proxy import process

            process.probe(asked)
        else:
            extensions.probe(asked)
        return asked
    except BadOrders as error:
        raise bad(str(error)) from None
    except extensions.Refused as error:
        raise bad(f"{path}: {error}") from None


def _read_orders(path: Path | None) -> dict[str, Any]:
    """The operators' file, found good for this machine as well."""
    if path is None:
        return {}
    from thymeyoke.configuration.service_config import BadOrders
    from thymeyoke.runtime import extensions

    try:
        asked = _orders(path)
        extensions.probe(asked)
        return asked
    except BadOrders as error:
        raise BadUse(str(error)) from None
    except extensions.Refused as error:
        raise BadUse(f"{path}: {error}") from None


if __name__ == "__main__":
    main(prog_name="thymeyoke")
