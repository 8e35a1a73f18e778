"""The sections `[node]` and `[node.service TENANT]` of the service configuration."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from thymeyoke.configuration.service_config import HOST_PORT_DESCRIPTION, ConfigFile, HostPort
from thymeyoke.membership.limits import MAX_HELD_TENANTS
from thymeyoke.membership.view import MAX_NAME_LENGTH

Name = Annotated[
    str, Meta(min_length=1, max_length=MAX_NAME_LENGTH, description=f"1 to {MAX_NAME_LENGTH} characters")
]


class Service(Struct, frozen=True):
    """The address of one tenant's service.

    With `standby` the node listens, but holds the tenant only after a migration.
    """

    tenant: str
    address: Annotated[HostPort, Meta(description=HOST_PORT_DESCRIPTION)]
    standby: Annotated[bool, Meta(description="true or false")] = False


class Node(Struct, frozen=True):
    """The settings of a node; times in seconds."""

    name: Name
    services: tuple[Service, ...]
    connections: Annotated[int, Meta(ge=1, le=1_000_000, description="a whole number from 1 to 1000000")] = (
        4096
    )
    linger: Annotated[float, Meta(gt=0, le=3600, description="seconds, more than 0 and at most 3600")] = 17.6
    control: Annotated[str, Meta(min_length=1, max_length=100, description=(
        "a path of at most 100 characters for a Unix socket"))] = ""  # fmt: skip

    def lines(self) -> list[str]:
        """Lines for `check` that describe the settings."""
        services = ", ".join(
            f"{one.tenant} at {one.address}{' (standby)' if one.standby else ''}" for one in self.services
        )
        return [
            f"is node {self.name}, {self.connections} connections, seats outlive them by {self.linger:g} s",
            f"serves {services}",
        ]  # fmt: skip


def read_settings(file: ConfigFile) -> Node:
    """Read and check the sections."""
    services = []
    for section in file.sections:
        if not section.startswith("node."):
            continue
        kind, _, tenant = section.removeprefix("node.").partition(" ")
        if kind != "service" or not tenant:
            raise file.error(section, None, "no such section; give [node.service TENANT]")
        if len(tenant) > MAX_NAME_LENGTH:
            raise file.error(
                section, None, f"names a tenant of over {MAX_NAME_LENGTH} characters; give a shorter name"
            )
        if not tenant.isprintable():
            raise file.error(
                section, None, f"names a tenant {tenant!r} that can't be printed; leave such characters out"
            )
        services.append(file.read_section(section, Service, tenant=tenant))
    made = file.read_section("node", Node, services=tuple(services))
    # Other members check these limits too, and drop snapshots that violate them.
    if not made.name.isprintable():
        raise file.error("node", "name", f"{made.name!r} can't be printed; leave such characters out")
    if (many := sum(not one.standby for one in services)) > MAX_HELD_TENANTS:
        raise file.error(
            "node",
            None,
            f"holds {many} tenants; give at most {MAX_HELD_TENANTS} services without standby = true",
        )
    if "members" not in file.sections:
        raise file.error("node", None, "needs to know who is there; add a section [members]")
    if not services:
        raise file.error("node", None, "has no service; add a section [node.service TENANT]")
    where: dict[HostPort, str] = {}
    for one in services:
        if (first := where.setdefault(one.address, one.tenant)) != one.tenant:
            raise file.error(
                f"node.service {one.tenant}", "address", f"is that of {first} as well; give each its own"
            )
    return made
