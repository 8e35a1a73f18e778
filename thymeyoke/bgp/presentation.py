"""Paths received from peers: which other servers advertise our addresses, and at which level. Pure, no I/O.

Paths to other prefixes are ignored. At most `MAX_PATHS` paths per peer and address are kept; further ones are
counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from ipaddress import ip_address
from typing import NamedTuple

from thymeyoke.bgp.attributes import GRACEFUL_SHUTDOWN, INSTANCE_COMMUNITY, Path, ReceivedUpdate
from thymeyoke.bgp.configuration import Prefix
from thymeyoke.bgp.wire import IPV4, IPV6, Family, Nlri, RouteRefresh

MAX_PATHS = 64

PrefixKey = tuple[Family, int, bytes]  # family, prefix length, address


class OtherAdvertiser(NamedTuple):
    """Another server that advertises an address, and whether at the highest level.

    `announcer` is its identifier from our large community, the originator ID of a route reflector, or the
    next hop.
    """

    announcer: bytes
    is_preferred: bool


def prefix_key(prefix: Prefix) -> PrefixKey:
    """Return the key of a prefix, in terms of the codec."""
    family = IPV4 if prefix.version == 4 else IPV6
    return family, prefix.prefixlen, prefix.network_address.packed


def to_nlri(prefix: Prefix) -> Nlri:
    """Convert a prefix to NLRI."""
    return Nlri(prefix.prefixlen, prefix.network_address.packed)


def announcer_of(path: Path, as_: int) -> bytes:
    """Return who advertises a path.

    Our large community identifies our servers even if a router has changed the next hop.
    """
    for first, kind, id_ in path.large_communities:
        if (first, kind) == (as_, INSTANCE_COMMUNITY):
            return id_.to_bytes(4, "big")
    return path.originator_id or path.next_hop


def is_preferred(path: Path, med: int) -> bool:
    """Return whether a path has none of the attributes that mark it as less preferred."""
    return (
        GRACEFUL_SHUTDOWN not in path.communities
        and (path.med is None or path.med < med)
        and path.local_pref != 0
    )


class ReceivedPaths:
    """The paths of all peers to our addresses; removed with a withdrawal or with the peer's session."""

    def __init__(
        self, as_: int, own_identifiers: Iterable[bytes], med: int, prefixes: Iterable[Prefix]
    ) -> None:
        """Create an empty table.

        `own_identifiers` are our identifier and next hops, to recognize our own paths.
        """
        self.counters: Counter[str] = Counter()
        self.paths: dict[str, dict[PrefixKey, dict[int | None, OtherAdvertiser]]] = {}
        # Paths not sent again yet during a refresh (RFC 7313).
        self.stale: dict[str, set[tuple[PrefixKey, int | None]]] = {}
        self.reconfigure(as_, own_identifiers, med, prefixes)

    def reconfigure(
        self, as_: int, own_identifiers: Iterable[bytes], med: int, prefixes: Iterable[Prefix]
    ) -> None:
        """Set our identifiers and addresses; paths to other addresses are removed."""
        self.as_, self.own_identifiers, self.med = as_, frozenset(own_identifiers), med
        self.prefixes_by_key = {prefix_key(prefix): prefix for prefix in prefixes}
        for paths in self.paths.values():
            for key in [key for key in paths if key not in self.prefixes_by_key]:
                del paths[key]

    def receive_update(self, peer: str, update: ReceivedUpdate) -> None:
        """Apply an update of a peer."""
        paths = self.paths.setdefault(peer, {})
        for family, nlri in update.withdrawn:
            self._remove(peer, paths, (family, nlri.prefix_length, nlri.address), nlri.path_id)
        if not update.advertised or update.path is None:
            return
        other = OtherAdvertiser(announcer_of(update.path, self.as_), is_preferred(update.path, self.med))
        for family, nlri in update.advertised:
            key = (family, nlri.prefix_length, nlri.address)
            if key not in self.prefixes_by_key:
                continue
            if other.announcer in self.own_identifiers:
                # Our own path has come back; it may have replaced the path of another server.
                self._remove(peer, paths, key, nlri.path_id)
                continue
            paths_by_id = paths.setdefault(key, {})
            if nlri.path_id not in paths_by_id and len(paths_by_id) >= MAX_PATHS:
                self.counters["paths_left_out"] += 1
                continue
            paths_by_id[nlri.path_id] = other
            self.stale.get(peer, set()).discard((key, nlri.path_id))

    def _remove(
        self,
        peer: str,
        paths: dict[PrefixKey, dict[int | None, OtherAdvertiser]],
        key: PrefixKey,
        path: int | None,
    ) -> None:
        """Remove one path."""
        if paths_by_id := paths.get(key):
            paths_by_id.pop(path, None)
            if not paths_by_id:
                del paths[key]
        self.stale.get(peer, set()).discard((key, path))

    def receive_refresh(self, peer: str, message: RouteRefresh) -> None:
        """Handle the begin or end of a refresh: paths that were not sent again in between are removed."""
        paths = self.paths.get(peer, {})
        if message.subtype == 1:
            current = {
                (at, path)
                for at, paths_by_id in paths.items()
                if at[0] == message.family
                for path in paths_by_id
            }
            self.stale[peer] = self.stale.get(peer, set()) | current
        elif message.subtype == 2:
            for key, path in [
                stale for stale in self.stale.get(peer, set()) if stale[0][0] == message.family
            ]:
                self._remove(peer, paths, key, path)

    def remove_peer(self, peer: str) -> None:
        """Remove all paths of a peer."""
        self.paths.pop(peer, None)
        self.stale.pop(peer, None)

    def count_others(self, prefix: Prefix) -> int:
        """Count the others that advertise an address at the highest level, according to every peer."""
        key = prefix_key(prefix)
        is_preferred_by_announcer: dict[bytes, bool] = {}
        for paths in self.paths.values():
            for other in paths.get(key, {}).values():
                is_preferred_by_announcer[other.announcer] = (
                    is_preferred_by_announcer.get(other.announcer, True) and other.is_preferred
                )
        return sum(is_preferred_by_announcer.values())

    def describe(self, prefix: Prefix) -> list[dict[str, str | bool]]:
        """Return plain values for operators: peer, identifier, and whether at the highest level."""
        key = prefix_key(prefix)
        return [
            {"peer": peer, "who": _format_identifier(other.announcer), "in_full": other.is_preferred}
            for peer, paths in self.paths.items()
            for other in paths.get(key, {}).values()
        ]


def _format_identifier(who: bytes) -> str:
    """Format an identifier as an IP address if it has the size of one."""
    return str(ip_address(who)) if len(who) in (4, 16) else who.hex()
