"""The command line: `thymeyoke serve`, `check`, `version`, and the commands of subsystems."""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING

import click
from click.core import ParameterSource

from thymeyoke.configuration.fields import StartFileError
from thymeyoke.configuration.options import service_config_option
from thymeyoke.configuration.start_file import StartFile, read_start_file

if TYPE_CHECKING:
    from thymeyoke.runtime.extensions import ServiceConfig

LOG_LEVELS = ("debug", "info", "warning", "error")
LOG_FORMS = ("text", "json")

log_level_option = click.option("--log-level", default="info", type=click.Choice(LOG_LEVELS))
log_form_option = click.option(
    "--log-form", default="text", type=click.Choice(LOG_FORMS), help="key=value, or JSON."
)


class InvalidConfigurationError(click.ClickException):
    """A configuration file cannot be used; exit status 2."""

    exit_code = 2


class Commands(click.Group):
    """A click group that imports the commands of subsystems only when they are used."""

    elsewhere = {  # noqa: RUF012
        "announce": ("thymeyoke.bgp.commands", "group"),
        "ledger": ("thymeyoke.ledger.commands", "group"),
        "moves": ("thymeyoke.proxy.commands", "moves"),
        "node": ("thymeyoke.proxy.commands", "node"),
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All commands, by name."""
        return sorted([*super().list_commands(ctx), *self.elsewhere])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """The command with this name, or None."""
        if name not in self.elsewhere:
            return super().get_command(ctx, name)
        module, command = self.elsewhere[name]
        found: click.Command = getattr(import_module(module), command)
        return found


@click.group(cls=Commands)
def main() -> None:
    """Decides, inside each app server of a fleet, what it admits, runs and rejects."""


@main.command()
@click.option(
    "--config",
    envvar="ROUTER_CONFIG",
    required=True,
    type=click.Path(path_type=Path),
    help="The start file; else the one that ROUTER_CONFIG names.",
)
@service_config_option()
@log_level_option
@log_form_option
def serve(config: Path, service_config: Path | None, log_level: str, log_form: str) -> None:
    """Run one app server until SIGTERM.

    \b
    Example: python -m thymeyoke serve --config examples/start.json
    """
    import anyio

    from thymeyoke.runtime import logs
    from thymeyoke.server import lifecycle

    start_file = _read_start_file(config)
    _read_checked_service_config(service_config)
    logs.configure_logging(log_level, log_form)
    try:
        anyio.run(
            lifecycle.serve,
            start_file,
            lambda: read_start_file(config).server,
            lambda: _read_service_config(service_config),
        )
    except StartFileError as error:  # the address cannot be listened on
        raise click.ClickException(str(error)) from None


@main.command()
@click.option(
    "--config",
    envvar="ROUTER_CONFIG",
    type=click.Path(path_type=Path),
    help="An app server's start file; else the one that ROUTER_CONFIG names. A node has none.",
)
@service_config_option()
@click.pass_context
def check(ctx: click.Context, config: Path | None, service_config: Path | None) -> None:
    """Read a start file, a service configuration, or both, and print their settings.

    A node has no start file.

    \b
    Example: python -m thymeyoke check --config examples/start.json --service-config deploy/service.ini
    Example: python -m thymeyoke check --service-config examples/fleet/node-1.ini
    """
    is_named = ctx.get_parameter_source("config") is ParameterSource.COMMANDLINE
    if config is None and service_config is None:
        raise click.UsageError(
            "name a start file with --config, or a service configuration with --service-config"
        )
    if is_named or service_config is None:
        sections = _read_checked_service_config(service_config)
    else:
        sections = _read_any_service_config(service_config, has_start_file=config is not None)
    if config is not None and (is_named or "node" not in sections):
        _print_start_file(_read_start_file(config))
    if service_config:
        _print_service_config(sections)


@main.command()
def version() -> None:
    """Print the version."""
    from thymeyoke import VERSION

    click.echo(VERSION)


def _print_start_file(start_file: StartFile) -> None:
    server, names, admission = start_file
    click.echo(f"{server.name} at {server.listen}, {admission.machine.cores} cores")
    dependency = server.dependency or "none"
    click.echo(f"processor {server.processor}, database {dependency}, list {server.endpoint_registry}")
    click.echo(f"op types: {', '.join(names.request_classes)}")
    click.echo(f"tenants: {', '.join(names.tenants) or 'none'}")


def _print_service_config(sections: ServiceConfig) -> None:
    for section in sections.values():
        for line in section.lines():
            click.echo(line)
    if not sections:
        click.echo("service configuration: nothing is switched on")


def _read_start_file(path: Path) -> StartFile:
    try:
        return read_start_file(path)
    except StartFileError as error:
        raise click.ClickException(str(error)) from None


def _read_service_config(path: Path | None) -> ServiceConfig:
    if path is None:
        return {}
    from thymeyoke.configuration.service_config import read_service_config

    return read_service_config(path)


def _read_any_service_config(path: Path, has_start_file: bool) -> ServiceConfig:
    """Read and check the service configuration of a node or an app server.

    Without a start file, errors are reported as by `thymeyoke node`, with exit status 1.
    """
    from thymeyoke.configuration.service_config import ServiceConfigError
    from thymeyoke.runtime.extensions import HostConfigurationError, check_host

    exception = InvalidConfigurationError if has_start_file else click.ClickException
    try:
        sections = _read_service_config(path)
        if "node" in sections:
            from thymeyoke.proxy import process

            process.check_config(sections)
        else:
            check_host(sections)
        return sections
    except ServiceConfigError as error:
        raise exception(str(error)) from None
    except HostConfigurationError as error:
        raise exception(f"{path}: {error}") from None


def _read_checked_service_config(path: Path | None) -> ServiceConfig:
    """Read the service configuration of an app server, and check that this machine supports it."""
    if path is None:
        return {}
    from thymeyoke.configuration.service_config import ServiceConfigError
    from thymeyoke.runtime.extensions import HostConfigurationError, check_host

    try:
        sections = _read_service_config(path)
        check_host(sections)
        return sections
    except ServiceConfigError as error:
        raise InvalidConfigurationError(str(error)) from None
    except HostConfigurationError as error:
        raise InvalidConfigurationError(f"{path}: {error}") from None
