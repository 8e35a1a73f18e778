"""`thymeyoke announce`: what the running server announces, to whom, and why."""

from __future__ import annotations

import time
from ipaddress import ip_address, ip_network
from pathlib import Path
from typing import Any

import click
import orjson

from thymeyoke.configuration.options import service_config_option
from thymeyoke.runtime import status_socket


def _found(control_at: Path | None, service_config: Path | None) -> dict[str, Any]:
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


def _table(rows: list[list[str]]) -> None:
    wide = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, wide, strict=True)).rstrip())


def _span(seconds: float) -> str:
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{seconds:.1f} s"


def _at(moment: float) -> str:
    return time.strftime("%H:%M:%S", time.localtime(moment)) if moment else "-"


@click.group("announce")
def group() -> None:
    """Service addresses over BGP: what is announced, since when, why."""


control_option = click.option(
    "--control", "control_at", type=click.Path(path_type=Path),
    help="The server's socket; else [announce] control of the operators' file, else the usual place.",
)  # fmt: skip
json_option = click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")


@group.command()
@control_option
@service_config_option()
@json_option
def show(control_at: Path | None, service_config: Path | None, as_json: bool) -> None:
    """Peers and addresses of the running server.

    \b
    Example: python -m thymeyoke announce show --json
    """
    told = _found(control_at, service_config)
    if as_json:
        return click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())
    rows = [["PEER", "ADDRESS", "AS", "STATE", "FOR", "HOLD", "HELD", "FLAPS", "LAST ERROR"]]
    for peer in told["peers"]:
        error = f"{peer['error']} ({_at(peer['error_at'])})" if peer["error"] else "-"
        rows.append([
            peer["peer"], peer["address"], str(peer["as"]), peer["state"], _span(peer["for"]),
            f"{peer['hold']:g} s" if peer["hold"] else "-", str(len(peer["held"])), str(peer["flaps"]), error,
        ])  # fmt: skip
    _table(rows)
    click.echo()
    rows = [["SERVICE ADDRESS", "LEVEL", "FOR", "CHANGES", "OTHERS", "WHY"]]
    for one in told["addresses"]:
        rows.append([
            one["address"], one["level"], _span(one["for"]), str(one["changes"]), str(one["others"]),
            one["why"],
        ])  # fmt: skip
    _table(rows)


@group.command()
@click.argument("address")
@control_option
@service_config_option()
@json_option
def why(address: str, control_at: Path | None, service_config: Path | None, as_json: bool) -> None:
    """Why ADDRESS is announced as it is, or not.

    \b
    Example: python -m thymeyoke announce why 198.51.100.7
    """
    try:
        wanted = ip_address(address) if "/" not in address else ip_network(address)
    except ValueError:
        raise click.UsageError(
            f"{address!r} is no address; give one as 198.51.100.7 or 2001:db8::7/128"
        ) from None
    told = _found(control_at, service_config)
    found = [one for one in told["addresses"] if _is(ip_network(one["address"]), wanted)]
    if not found:
        there = ", ".join(one["address"] for one in told["addresses"])
        raise click.ClickException(f"{address} is none of the service addresses; there are {there}")
    one = found[0]
    if as_json:
        facts = {name: told[name] for name in ("looks", "crowd", "budget", "drain", "peers")}
        return click.echo(orjson.dumps(one | facts, option=orjson.OPT_INDENT_2).decode())
    click.echo(f"{one['address']} is {one['level']} for {_span(one['for'])}: {one['why']}")
    for name, held in one["peers"].items():
        peer = next(peer for peer in told["peers"] if peer["peer"] == name)
        more = f", last error {peer['error']}" if held == "no session" and peer["error"] else ""
        click.echo(f"  peer {name}: {held} ({peer['state']}{more})")
    for other in one["known"]:
        how = "in full" if other["in_full"] else "less preferred"
        click.echo(f"  {other['who']} announces it too, {how}, says {other['peer']}")
    crowd, budget = told["crowd"], told["budget"]
    click.echo(f"  crowd: {crowd['heat']:.1f} s of {crowd['after']:g} s, {'hot' if crowd['hot'] else 'calm'}")
    click.echo(f"  changes left this minute: {budget['left']:.1f} of {budget['of']}")
    for row in told["history"]:
        if row["address"] == one["address"]:
            click.echo(f"  {_at(row['at'])} {row['level']}: {row['why']}")


def _is(prefix: Any, wanted: Any) -> bool:
    return prefix == wanted or (not hasattr(wanted, "prefixlen") and wanted in prefix)
