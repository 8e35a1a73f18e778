"""The sections `[announce]` and `[announce.peer NAME]` of the service configuration, as typed values."""

from __future__ import annotations

from abc import ABC
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address, ip_network
from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct

from thymeyoke.configuration.service_config import HOST_PORT_DESCRIPTION, ConfigFile, HostPort, IpAddress

Prefix = IPv4Network | IPv6Network
LESS_METHODS = ("graceful_shutdown", "med", "prepend")


if TYPE_CHECKING:
    AnyIp = IpAddress
    AnyPrefix = Prefix
else:

    class AnyIp(ABC):  # noqa: B024 (only for isinstance)
        """Schema type of an IPv4 or IPv6 address."""

        parse = staticmethod(ip_address)

    class AnyPrefix(ABC):  # noqa: B024
        """Schema type of an IPv4 or IPv6 prefix."""

        parse = staticmethod(ip_network)

    for _version in ((IPv4Address, IPv4Network), (IPv6Address, IPv6Network)):
        AnyIp.register(_version[0])
        AnyPrefix.register(_version[1])

As = Annotated[int, Meta(ge=1, le=4294967294, description="an AS number from 1 to 4294967294")]
Seconds = Annotated[float, Meta(gt=0, le=3600, description="seconds, more than 0 and at most 3600")]
PREFIX_LIST_DESCRIPTION = "prefixes, host bits zero, separated by commas, as 198.51.100.7/32, 2001:db8::7/128"


class Peer(Struct, frozen=True, rename={"as_": "as"}):
    """A BGP peer. Times are in seconds."""

    name: str
    address: Annotated[HostPort, Meta(description=HOST_PORT_DESCRIPTION)]
    as_: As
    hold: Annotated[int, Meta(ge=3, le=65535, description="whole seconds from 3 to 65535")] = 3
    source: Annotated[AnyIp | None, Meta(description="an IP address of this machine")] = None
    password: Annotated[
        str, Meta(min_length=1, max_length=80, description="1 to 80 characters")] = ""  # fmt: skip
    min_ttl: Annotated[int, Meta(ge=0, le=255, description="the least TTL taken, at most 255; 0 for any")] = 0
    passive: Annotated[bool, Meta(description="true or false")] = False


class Announce(Struct, frozen=True, rename={"as_": "as"}):
    """The section `[announce]`: the addresses to advertise, and when. Times are in seconds."""

    as_: As
    id: Annotated[IPv4Address, Meta(description="an IPv4 address other than 0.0.0.0")]
    addresses: Annotated[
        tuple[AnyPrefix, ...], Meta(min_length=1, max_length=64, description=PREFIX_LIST_DESCRIPTION)
    ]
    next_hop: Annotated[tuple[AnyIp, ...], Meta(min_length=1, max_length=2, description=(
        "one IP address for each family announced, as 192.0.2.1, 2001:db8::1"))]  # fmt: skip
    peers: tuple[Peer, ...]
    least_others: Annotated[int, Meta(ge=0, le=1000, description="a whole number from 0 to 1000")] = 1
    less: Annotated[
        tuple[str, ...], Meta(min_length=1, description=f"one or more of {', '.join(LESS_METHODS)}")
    ] = ("graceful_shutdown", "med")
    med: Annotated[int, Meta(ge=1, le=4294967295, description="a whole number from 1 to 4294967295")] = 1000
    prepend: Annotated[int, Meta(ge=1, le=10, description="a whole number from 1 to 10")] = 3
    crowded_share: Annotated[float, Meta(gt=0, le=1, description="a share, more than 0 and at most 1")] = 0.2
    crowded_after: Seconds = 2.0
    settle: Seconds = 1.0
    changes: Annotated[int, Meta(ge=2, le=60, description="a whole number from 2 to 60")] = 6
    listen: Annotated[HostPort | None, Meta(description="an IP address of this machine and a port")] = None
    control: Annotated[str, Meta(min_length=1, max_length=100, description=(
        "a path of at most 100 characters for a Unix socket"))] = ""  # fmt: skip

    def lines(self) -> list[str]:
        """Describe the section for `check`."""
        addresses = ", ".join(map(str, self.addresses))
        peers = ", ".join(
            f"{peer.name} at {peer.address} (AS {peer.as_}, hold {peer.hold} s)" for peer in self.peers
        )
        return [f"announces {addresses} as AS {self.as_}, {self.id}", f"to {peers}"]


def read_settings(file: ConfigFile) -> Announce:
    """Read and validate the sections."""
    peer_sections = [name for name in file.sections if name.startswith("announce.")]
    peers = []
    for section in peer_sections:
        kind, _, name = section.removeprefix("announce.").partition(" ")
        if kind != "peer" or not name:
            raise file.error(section, None, "no such section; give [announce.peer NAME]")
        peers.append(file.read_section(section, Peer, name=name))
    announce = file.read_section("announce", Announce, peers=tuple(peers))

    def error(option: str, message: str, section: str = "announce") -> Exception:
        return file.error(section, option, message)

    if not peers:
        raise file.error("announce", None, "has no peer; add a section [announce.peer NAME]")
    if announce.id == IPv4Address(0):
        raise error("id", "'0.0.0.0' can't be used; give an IPv4 address other than 0.0.0.0")
    if unknown_methods := set(announce.less) - set(LESS_METHODS):
        raise error(
            "less",
            f"{min(unknown_methods)!r} can't be used; give one or more of {', '.join(LESS_METHODS)}",
        )
    next_hop_versions = [hop.version for hop in announce.next_hop]
    if len(set(next_hop_versions)) < len(next_hop_versions):
        raise error("next_hop", "holds two of one family; give one IP address for each family announced")
    for prefix in announce.addresses:
        if prefix.version not in next_hop_versions:
            raise error("next_hop", f"has none for {prefix}; add an IPv{prefix.version} address")
    if len(set(announce.addresses)) < len(announce.addresses):
        raise error("addresses", "holds one address twice; keep one")
    peer_by_address: dict[HostPort, str] = {}
    passive_by_ip: dict[IpAddress, str] = {}
    for peer in announce.peers:
        section = f"announce.peer {peer.name}"
        if (first := peer_by_address.setdefault(peer.address, peer.name)) != peer.name:
            raise error("address", f"is that of peer {first} as well; give each peer its own", section)
        if peer.passive and (other := passive_by_ip.setdefault(peer.address.ip, peer.name)) != peer.name:
            raise error(
                "passive", f"is true for peer {other} at the same IP address; only one can be", section
            )
        if peer.passive and announce.listen is None:
            raise error("passive", "needs a listener; give [announce] listen, or passive = false", section)
        if peer.source and peer.source.version != peer.address.ip.version:
            raise error("source", f"is not of the family of {peer.address}; give an address of that", section)
    return announce
