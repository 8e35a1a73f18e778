"""`[announce]` and `[announce.peer NAME]` of the operators' file, as typed values."""

from __future__ import annotations

from abc import ABC
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address, ip_network
from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct

from thymeyoke.configuration.service_config import HOST_PORT_DESCRIPTION, ConfigFile, HostPort, IpAddress

Prefix = IPv4Network | IPv6Network
LESS = ("graceful_shutdown", "med", "prepend")


if TYPE_CHECKING:
    AnyIp = IpAddress
    AnyPrefix = Prefix
else:

    class AnyIp(ABC):  # noqa: B024 (only for isinstance)
        """For the schema: IPv4 or IPv6."""

        parse = staticmethod(ip_address)

    class AnyPrefix(ABC):  # noqa: B024
        """For the schema: an IPv4 or IPv6 prefix."""

        parse = staticmethod(ip_network)

    for _version in ((IPv4Address, IPv4Network), (IPv6Address, IPv6Network)):
        AnyIp.register(_version[0])
        AnyPrefix.register(_version[1])

As = Annotated[int, Meta(ge=1, le=4294967294, description="an AS number from 1 to 4294967294")]
Span = Annotated[float, Meta(gt=0, le=3600, description="seconds, more than 0 and at most 3600")]
LIST = "prefixes, host bits zero, separated by commas, as 198.51.100.7/32, 2001:db8::7/128"


class Peer(Struct, frozen=True, rename={"as_": "as"}):
    """A router that is spoken to. Times in seconds."""

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
    """What this instance announces, and when. Times in seconds."""

    as_: As
    id: Annotated[IPv4Address, Meta(description="an IPv4 address other than 0.0.0.0")]
    addresses: Annotated[tuple[AnyPrefix, ...], Meta(min_length=1, max_length=64, description=LIST)]
    next_hop: Annotated[tuple[AnyIp, ...], Meta(min_length=1, max_length=2, description=(
        "one IP address for each family announced, as 192.0.2.1, 2001:db8::1"))]  # fmt: skip
    peers: tuple[Peer, ...]
    least_others: Annotated[int, Meta(ge=0, le=1000, description="a whole number from 0 to 1000")] = 1
    less: Annotated[tuple[str, ...], Meta(min_length=1, description=f"one or more of {', '.join(LESS)}")] = (
        "graceful_shutdown", "med")  # fmt: skip
    med: Annotated[int, Meta(ge=1, le=4294967295, description="a whole number from 1 to 4294967295")] = 1000
    prepend: Annotated[int, Meta(ge=1, le=10, description="a whole number from 1 to 10")] = 3
    crowded_share: Annotated[float, Meta(gt=0, le=1, description="a share, more than 0 and at most 1")] = 0.2
    crowded_after: Span = 2.0
    settle: Span = 1.0
    changes: Annotated[int, Meta(ge=2, le=60, description="a whole number from 2 to 60")] = 6
    listen: Annotated[HostPort | None, Meta(description="an IP address of this machine and a port")] = None
    control: Annotated[str, Meta(min_length=1, max_length=100, description=(
        "a path of at most 100 characters for a Unix socket"))] = ""  # fmt: skip

    def lines(self) -> list[str]:
        """For `check`: what is asked for."""
        addresses = ", ".join(map(str, self.addresses))
        peers = ", ".join(
            f"{peer.name} at {peer.address} (AS {peer.as_}, hold {peer.hold} s)" for peer in self.peers
        )
        return [f"announces {addresses} as AS {self.as_}, {self.id}", f"to {peers}"]


def read_settings(file: ConfigFile) -> Announce:
    under = [name for name in file.sections if name.startswith("announce.")]
    peers = []
    for section in under:
        kind, _, name = section.removeprefix("announce.").partition(" ")
        if kind != "peer" or not name:
            raise file.error(section, None, "no such section; give [announce.peer NAME]")
        peers.append(file.read_section(section, Peer, name=name))
    made = file.read_section("announce", Announce, peers=tuple(peers))

    def bad(option: str, what: str, section: str = "announce") -> Exception:
        return file.error(section, option, what)

    if not peers:
        raise file.error("announce", None, "has no peer; add a section [announce.peer NAME]")
    if made.id == IPv4Address(0):
        raise bad("id", "'0.0.0.0' can't be used; give an IPv4 address other than 0.0.0.0")
    if wrong := set(made.less) - set(LESS):
        raise bad("less", f"{min(wrong)!r} can't be used; give one or more of {', '.join(LESS)}")
    hops = [hop.version for hop in made.next_hop]
    if len(set(hops)) < len(hops):
        raise bad("next_hop", "holds two of one family; give one IP address for each family announced")
    for prefix in made.addresses:
        if prefix.version not in hops:
            raise bad("next_hop", f"has none for {prefix}; add an IPv{prefix.version} address")
    if len(set(made.addresses)) < len(made.addresses):
        raise bad("addresses", "holds one address twice; keep one")
    where: dict[HostPort, str] = {}
    waits: dict[IpAddress, str] = {}
    for peer in made.peers:
        section = f"announce.peer {peer.name}"
        if (first := where.setdefault(peer.address, peer.name)) != peer.name:
            raise bad("address", f"is that of peer {first} as well; give each peer its own", section)
        if peer.passive and (one := waits.setdefault(peer.address.ip, peer.name)) != peer.name:
            raise bad("passive", f"is true for peer {one} at the same IP address; only one can be", section)
        if peer.passive and made.listen is None:
            raise bad("passive", "needs a listener; give [announce] listen, or passive = false", section)
        if peer.source and peer.source.version != peer.address.ip.version:
            raise bad("source", f"is not of the family of {peer.address}; give an address of that", section)
    return made
