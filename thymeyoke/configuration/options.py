"""The click option for the service configuration, with its former spellings as aliases."""

from __future__ import annotations

import functools
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

OPTION, FORMER_OPTION = "--service-config", "--orders"
VARIABLE, FORMER_VARIABLE = "THYMEYOKE_SERVICE_CONFIG", "THYMEYOKE_ORDERS"

Command = Callable[..., Any]


def service_config_option(*, required: bool = False) -> Callable[[Command], Command]:
    """Add the parameter `service_config`, a path or None, to a command.

    The former spellings are accepted with one warning; the current ones take precedence. If `required`, a
    missing option is a usage error.
    """

    def decorate(command: Command) -> Command:
        @functools.wraps(command)
        def wrapped(service_config: Path | None, former_service_config: Path | None, **others: Any) -> Any:
            path = service_config or former_service_config or _from_former_variable()
            if service_config is None and path is not None:
                _warn(former_service_config is not None)
            if path is None and required:
                raise click.UsageError(f"Missing option '{OPTION}'.")
            return command(service_config=path, **others)

        path_type = click.Path(path_type=Path)
        former = click.option(FORMER_OPTION, "former_service_config", type=path_type, hidden=True)
        present = click.option(
            OPTION,
            "service_config",
            envvar=VARIABLE,
            type=path_type,
            help=f"The service configuration; else the one that {VARIABLE} names.",
        )
        return present(former(wrapped))

    return decorate


def _from_former_variable() -> Path | None:
    value = os.environ.get(FORMER_VARIABLE)
    return Path(value) if value else None


def _warn(by_option: bool) -> None:
    former, present = (FORMER_OPTION, OPTION) if by_option else (FORMER_VARIABLE, VARIABLE)
    click.echo(f"Warning: {former} is now {present}.", err=True)
