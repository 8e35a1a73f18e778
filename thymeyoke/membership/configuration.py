"""Settings of the section `[members]` of the service configuration."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from thymeyoke.configuration.service_config import HOST_PORT_DESCRIPTION, ConfigFile, HostPort

PeriodSeconds = Annotated[float, Meta(gt=0, le=3600, description="seconds, more than 0 and at most 3600")]


class Members(Struct, frozen=True):
    """The membership of this process; times in seconds."""

    address: Annotated[HostPort, Meta(description=HOST_PORT_DESCRIPTION)]
    others: Annotated[tuple[HostPort, ...], Meta(max_length=1024, description=(
        "IP addresses and ports, separated by commas, as 192.0.2.9:6001, 192.0.2.10:6001"))] = ()  # fmt: skip
    # Address at which other members reach this process, if not `address`.
    advertise: Annotated[HostPort | None, Meta(description=HOST_PORT_DESCRIPTION)] = None
    period: PeriodSeconds = 1.0
    fleet: Annotated[str, Meta(min_length=1, max_length=64, description="1 to 64 characters")] = "thymeyoke"
    key: Annotated[str, Meta(min_length=1, max_length=64, description="1 to 64 characters")] = ""

    def lines(self) -> list[str]:
        """Description for the command `check`."""
        others = ", ".join(map(str, self.others)) or "nobody: others come here"
        reached = f" (told as {self.advertise})" if self.advertise else ""
        return [f"is a member of {self.fleet!r} at {self.address}{reached}, asks first {others}"]


def read_settings(file: ConfigFile) -> Members:
    """Read the section `[members]`; raises `ServiceConfigError`."""
    for section in file.sections:
        if section.startswith("members."):
            raise file.error(section, None, "no such section; give [members] alone")
    members = file.read_section("members", Members)
    for own in (members.address, members.advertise):
        if own in members.others:
            raise file.error("members", "others", f"holds this process's own address {own}; leave it out")
    if len(set(members.others)) < len(members.others):
        raise file.error("members", "others", "holds one address twice; keep one")
    return members
