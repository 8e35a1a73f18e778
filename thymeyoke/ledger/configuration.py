"""The sections `[ledger]` and `[ledger.export]` of the service configuration, as typed values."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from thymeyoke.configuration.service_config import HOST_PORT_DESCRIPTION, ConfigFile, HostPort

ANSWERS, FULL = ("before", "after"), ("refuse", "lose")


class Ledger(Struct, frozen=True):
    """The section `[ledger]`: where usage is stored, and what to do while the disk is slow or full.

    `receiver` comes from `[ledger.export]`; without it nothing is exported.
    """

    path: Annotated[str, Meta(min_length=1, description="a folder that lasts")]
    receiver: HostPort | None = None
    period: Annotated[int, Meta(ge=1, le=86400, description="whole seconds from 1 to 86400")] = 60
    answers: Annotated[str, Meta(description=f"one of {', '.join(ANSWERS)}")] = "after"
    full: Annotated[str, Meta(description=f"one of {', '.join(FULL)}")] = "refuse"
    keep: Annotated[int, Meta(ge=1, le=100000, description="a whole number from 1 to 100000")] = 16
    limit_mb: Annotated[int, Meta(ge=1, le=1000000, description="megabytes, 1 to 1000000")] = 256

    def lines(self) -> list[str]:
        """Describe the section for `check`."""
        where = f", exported to {self.receiver}" if self.receiver else ""
        return [
            f"keeps use by tenant in {self.path}, periods of {self.period} s, answers {self.answers}{where}"
        ]


class Export(Struct, frozen=True):
    """The section `[ledger.export]`."""

    receiver: Annotated[HostPort, Meta(description=HOST_PORT_DESCRIPTION)]


def read_settings(file: ConfigFile) -> Ledger:
    """Read and validate both sections."""
    for section in file.sections:
        if section.startswith("ledger.") and section != "ledger.export":
            raise file.error(section, None, "no such section; give [ledger.export]")
    receiver = (
        file.read_section("ledger.export", Export).receiver if "ledger.export" in file.sections else None
    )
    made = file.read_section("ledger", Ledger, receiver=receiver)
    for option, choices in (("answers", ANSWERS), ("full", FULL)):
        if (given := getattr(made, option)) not in choices:
            raise file.error("ledger", option, f"{given!r} can't be used; give one of {', '.join(choices)}")
    return made
