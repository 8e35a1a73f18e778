"""The command line: `python -m thymeyoke serve`."""

from __future__ import annotations

from pathlib import Path

import click

from thymeyoke import start

start_file = click.option(
    "--config", envvar="ROUTER_CONFIG", required=True, type=click.Path(path_type=Path),
    help="The start file; else the one that ROUTER_CONFIG names.")  # fmt: skip


@click.group()
def main() -> None:
    """Decides, inside each app server of a fleet, what it takes, runs and turns away."""


@main.command()
@start_file
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
def serve(config: Path, log_level: str) -> None:
    """Run one app server until it is told to leave (SIGTERM)."""
    import anyio

    from thymeyoke.net import log, server

    log.set_up(log_level)
    anyio.run(server.serve, *_read(config), lambda: start.read(config)[0])


@main.command()
@start_file
def check(config: Path) -> None:
    """Read a start file and tell what it asks for."""
    station, names, given = _read(config)
    click.echo(f"{station.name} at {station.listen}, {given['machine'].cores} cores")
    click.echo(f"processor {station.processor}, database {station.database}, list {station.roster}")
    click.echo(f"op types: {', '.join(names.op_types)}")
    click.echo(f"tenants: {', '.join(names.tenants) or 'none'}")


@main.command()
def version() -> None:
    """Print the version."""
    from thymeyoke import VERSION

    click.echo(VERSION)


def _read(config: Path) -> tuple[start.Station, start.Names, dict[str, object]]:
    try:
        return start.read(config)
    except start.BadStart as error:
        raise click.ClickException(str(error)) from None


if __name__ == "__main__":
    main(prog_name="thymeyoke")
