"""The commands `thymeyoke node` and `thymeyoke moves show`."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import Any

import click
import orjson

from thymeyoke.configuration.options import service_config_option
from thymeyoke.runtime.terminal import print_table


@click.command("node")
@service_config_option(required=True)
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.option("--log-form", default="text", type=click.Choice(["text", "json"]), help="key=value, or JSON.")
def node(service_config: Path, log_level: str, log_form: str) -> None:
    """Run one proxy node until it has drained (SIGTERM).

    Clients connect to its service addresses, and it forwards each connection to an app server.

    \b
    Example: python -m thymeyoke node --service-config examples/fleet/node-1.ini
    """
    import anyio

    from thymeyoke.configuration.service_config import ServiceConfigError
    from thymeyoke.proxy import process
    from thymeyoke.runtime import logs
    from thymeyoke.runtime.extensions import HostConfigurationError

    try:
        process.read_config(service_config)  # check it before anything is started
        logs.configure_logging(log_level, log_form)
        anyio.run(process.serve, partial(process.read_config, service_config))
    except ServiceConfigError as error:
        raise click.ClickException(str(error)) from None
    except HostConfigurationError as error:
        raise click.ClickException(f"{service_config}: {error}") from None


@click.group("moves")
def moves() -> None:
    """Show recommended and running migrations of tenants between nodes."""


def _query_status(control_at: Path | None, service_config: Path | None) -> dict[str, Any]:
    """Query the running node for its status."""
    from thymeyoke.runtime import status_socket

    if control_at is None:
        if service_config is None:
            raise click.UsageError(
                "name the node's socket with --control, or its service configuration with --service-config"
            )
        from thymeyoke.configuration.service_config import ServiceConfigError, read_service_config

        try:
            section = read_service_config(service_config).get("node")
        except ServiceConfigError as error:
            raise click.ClickException(str(error)) from None
        if section is None:
            raise click.ClickException(f"{service_config}: has no [node]; name the file of a node")
        control_at = status_socket.socket_path(section.control, f"node-{section.name}")
    try:
        return status_socket.query_status(control_at, "node")
    except status_socket.StatusUnavailableError as error:
        raise click.ClickException(str(error)) from None


@moves.command()
@click.option("--control", "control_at", type=click.Path(path_type=Path), help="The node's socket.")
@service_config_option()
@click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")
def show(control_at: Path | None, service_config: Path | None, as_json: bool) -> None:
    """Show what the running node recommends, the state of each recommendation, and why.

    \b
    Example: python -m thymeyoke moves show --service-config examples/fleet/node-1.ini
    """
    status = _query_status(control_at, service_config)
    if as_json:
        return click.echo(orjson.dumps(status, option=orjson.OPT_INDENT_2).decode())
    if not status["moves"]:
        return click.echo(f"{status['name']} has no [moves]: it recommends nothing")
    from thymeyoke.migration import presentation

    click.echo(f"{status['name']} holds {', '.join(status['holds']) or 'no tenant'}")
    for line in presentation.lines(status):
        click.echo(line)
    if not status["recommendations"]:
        click.echo("no move is recommended")
    for rows in presentation.tables(status):
        click.echo()
        print_table(rows)
