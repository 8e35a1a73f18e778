"""What peers show of others: who else announces our addresses, and whether in full. Pure; bounded.

Paths to other prefixes are passed over. One address keeps at most `PATHS` paths of a peer, the rest are
counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from ipaddress import ip_address
from typing import NamedTuple

from thymeyoke.bgp.attributes import GRACEFUL_SHUTDOWN, MARK, Heard, Path
from thymeyoke.bgp.configuration import Prefix
from thymeyoke.bgp.wire import IPV4, IPV6, Family, Nlri, Refresh

PATHS = 64

Place = tuple[Family, int, bytes]  # an address as the codec has it


class Other(NamedTuple):
    """Somebody's path: who, told by our mark, the route reflector's word, or the next hop; and whether in
    full."""

    who: bytes
    full: bool


def place(prefix: Prefix) -> Place:
    family = IPV4 if prefix.version == 4 else IPV6
    return family, prefix.prefixlen, prefix.network_address.packed


def nlri(prefix: Prefix) -> Nlri:
    return Nlri(prefix.prefixlen, prefix.network_address.packed)


def who(path: Path, as_: int) -> bytes:
    """An instance of ours is known by its mark, whatever next hop a router has set; else by what is told."""
    for first, kind, id_ in path.large:
        if (first, kind) == (as_, MARK):
            return id_.to_bytes(4, "big")
    return path.originator or path.next_hop


def full(path: Path, med: int) -> bool:
    """Not less preferred, by any of the ways that instances say so."""
    return (
        GRACEFUL_SHUTDOWN not in path.communities
        and (path.med is None or path.med < med)
        and path.local_pref != 0
    )


class Shown:
    """All peers' paths to our addresses. A peer's go with its session, a path with its withdrawal."""

    def __init__(self, as_: int, own: Iterable[bytes], med: int, prefixes: Iterable[Prefix]) -> None:
        """`own`: our identifier and next hops, by which a path that comes back is known."""
        self.counts: Counter[str] = Counter()
        self.paths: dict[str, dict[Place, dict[int | None, Other]]] = {}
        self.stale: dict[str, set[tuple[Place, int | None]]] = {}  # within a refresh, RFC 7313 section 4
        self.change(as_, own, med, prefixes)

    def change(self, as_: int, own: Iterable[bytes], med: int, prefixes: Iterable[Prefix]) -> None:
        self.as_, self.own, self.med = as_, frozenset(own), med
        self.places = {place(prefix): prefix for prefix in prefixes}
        for paths in self.paths.values():
            for where in [where for where in paths if where not in self.places]:
                del paths[where]

    def heard(self, peer: str, what: Heard) -> None:
        paths = self.paths.setdefault(peer, {})
        for family, one in what.withdrawn:
            self._drop(peer, paths, (family, one.bits, one.net), one.path)
        if not what.reached or what.path is None:
            return
        other = Other(who(what.path, self.as_), full(what.path, self.med))
        for family, one in what.reached:
            where = (family, one.bits, one.net)
            if where not in self.places:
                continue
            if other.who in self.own:  # our own announcement, come back: it may stand in for another's path
                self._drop(peer, paths, where, one.path)
                continue
            many = paths.setdefault(where, {})
            if one.path not in many and len(many) >= PATHS:
                self.counts["paths_left_out"] += 1
                continue
            many[one.path] = other
            self.stale.get(peer, set()).discard((where, one.path))

    def _drop(
        self, peer: str, paths: dict[Place, dict[int | None, Other]], where: Place, path: int | None
    ) -> None:
        if many := paths.get(where):
            many.pop(path, None)
            if not many:
                del paths[where]
        self.stale.get(peer, set()).discard((where, path))

    def refreshed(self, peer: str, said: Refresh) -> None:
        """The beginning and the end of a refresh: what was not told again in between is gone."""
        paths = self.paths.get(peer, {})
        if said.kind == 1:
            mine = {(at, path) for at, many in paths.items() if at[0] == said.family for path in many}
            self.stale[peer] = self.stale.get(peer, set()) | mine
        elif said.kind == 2:
            for where, path in [old for old in self.stale.get(peer, set()) if old[0][0] == said.family]:
                self._drop(peer, paths, where, path)

    def lost(self, peer: str) -> None:
        self.paths.pop(peer, None)
        self.stale.pop(peer, None)

    def others(self, prefix: Prefix) -> int:
        """How many others announce it in full. One that any peer shows as less preferred is not counted."""
        where = place(prefix)
        found: dict[bytes, bool] = {}
        for paths in self.paths.values():
            for other in paths.get(where, {}).values():
                found[other.who] = found.get(other.who, True) and other.full
        return sum(found.values())

    def known(self, prefix: Prefix) -> list[dict[str, str | bool]]:
        """For people: by which peer, who, whether in full."""
        where = place(prefix)
        return [
            {"peer": peer, "who": _dotted(other.who), "in_full": other.full}
            for peer, paths in self.paths.items()
            for other in paths.get(where, {}).values()
        ]


def _dotted(who: bytes) -> str:
    return str(ip_address(who)) if len(who) in (4, 16) else who.hex()
