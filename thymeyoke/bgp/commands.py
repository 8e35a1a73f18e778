"""The command `thymeyoke announce`: what the running server advertises, to whom, and why."""

from __future__ import annotations

import time
from ipaddress import ip_address, ip_network
from pathlib import Path
from typing import Any

import click
import orjson

from thymeyoke.configuration.options import service_config_option
from thymeyoke.runtime import status_socket
from thymeyoke.runtime.terminal import print_table


def _query_status(control_at: Path | None, service_config: Path | None) -> dict[str, Any]:
    """Query the running server for its status."""
    if control_at is None and service_config is not None:
        from thymeyoke.configuration.service_config import ServiceConfigError, read_service_config

        try:
            section = read_service_config(service_config).get("announce")
        except ServiceConfigError as error:
            raise click.UsageError(str(error)) from None
        control_at = section and section.control and Path(section.control)
    try:
        return status_socket.query_status(
            control_at or status_socket.socket_path(None, "announce"), "server with [announce]"
        )
    except status_socket.StatusUnavailableError as error:
        raise click.ClickException(str(error)) from None


def _format_duration(seconds: float) -> str:
    """Format a duration in the largest suitable unit."""
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{seconds:.1f} s"


def _format_time(moment: float) -> str:
    """Format a time of day, or a dash if there is none."""
    return time.strftime("%H:%M:%S", time.localtime(moment)) if moment else "-"


@click.group("announce")
def group() -> None:
    """Show the service addresses advertised over BGP: levels, durations and reasons."""


control_option = click.option(
    "--control", "control_at", type=click.Path(path_type=Path),
    help="The server's socket; defaults to [announce] control, or the standard path.",
)  # fmt: skip
json_option = click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")


@group.command()
@control_option
@service_config_option()
@json_option
def show(control_at: Path | None, service_config: Path | None, as_json: bool) -> None:
    """Show peers and addresses of the running server.

    \b
    Example: python -m thymeyoke announce show --json
    """
    status = _query_status(control_at, service_config)
    if as_json:
        return click.echo(orjson.dumps(status, option=orjson.OPT_INDENT_2).decode())
    rows = [["PEER", "ADDRESS", "AS", "STATE", "FOR", "HOLD", "HELD", "FLAPS", "LAST ERROR"]]
    for peer in status["peers"]:
        error = f"{peer['error']} ({_format_time(peer['error_at'])})" if peer["error"] else "-"
        rows.append([
            peer["peer"], peer["address"], str(peer["as"]), peer["state"], _format_duration(peer["for"]),
            f"{peer['hold']:g} s" if peer["hold"] else "-", str(len(peer["held"])), str(peer["flaps"]), error,
        ])  # fmt: skip
    print_table(rows)
    click.echo()
    rows = [["SERVICE ADDRESS", "LEVEL", "FOR", "CHANGES", "OTHERS", "WHY"]]
    for one in status["addresses"]:
        rows.append(
            [
                one["address"],
                one["level"],
                _format_duration(one["for"]),
                str(one["changes"]),
                str(one["others"]),
                one["why"],
            ]
        )
    print_table(rows)


@group.command()
@click.argument("address")
@control_option
@service_config_option()
@json_option
def why(address: str, control_at: Path | None, service_config: Path | None, as_json: bool) -> None:
    """Explain why ADDRESS is advertised at its level.

    \b
    Example: python -m thymeyoke announce why 198.51.100.7
    """
    try:
        wanted = ip_address(address) if "/" not in address else ip_network(address)
    except ValueError:
        raise click.UsageError(
            f"{address!r} is not an address; give one such as 198.51.100.7 or 2001:db8::7/128"
        ) from None
    status = _query_status(control_at, service_config)
    matching = [one for one in status["addresses"] if _matches(ip_network(one["address"]), wanted)]
    if not matching:
        addresses = ", ".join(one["address"] for one in status["addresses"])
        raise click.ClickException(
            f"{address} is not a service address; the service addresses are {addresses}"
        )
    one = matching[0]
    if as_json:
        facts = {name: status[name] for name in ("looks", "crowd", "budget", "drain", "peers")}
        return click.echo(orjson.dumps(one | facts, option=orjson.OPT_INDENT_2).decode())
    click.echo(f"{one['address']} is {one['level']} for {_format_duration(one['for'])}: {one['why']}")
    for name, announcement in one["peers"].items():
        peer = next(peer for peer in status["peers"] if peer["peer"] == name)
        error_text = f", last error {peer['error']}" if announcement == "no session" and peer["error"] else ""
        click.echo(f"  peer {name}: {announcement} ({peer['state']}{error_text})")
    for other in one["known"]:
        preference = "in full" if other["in_full"] else "less preferred"
        click.echo(f"  {other['who']} announces it too, {preference}, says {other['peer']}")
    crowd, budget = status["crowd"], status["budget"]
    click.echo(f"  crowd: {crowd['heat']:.1f} s of {crowd['after']:g} s, {'hot' if crowd['hot'] else 'calm'}")
    click.echo(f"  changes left this minute: {budget['left']:.1f} of {budget['of']}")
    for row in status["history"]:
        if row["address"] == one["address"]:
            click.echo(f"  {_format_time(row['at'])} {row['level']}: {row['why']}")


def _matches(prefix: Any, wanted: Any) -> bool:
    """Return whether a prefix equals the argument or contains it."""
    return prefix == wanted or (not hasattr(wanted, "prefixlen") and wanted in prefix)
