"""What a peer holds of ours against what it should: the difference as UPDATEs. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from thymeyoke.bgp.attributes import Route, announcement, withdrawal
from thymeyoke.bgp.configuration import Announce, Peer, Prefix
from thymeyoke.bgp.controller import Level
from thymeyoke.bgp.presentation import nlri, place
from thymeyoke.bgp.wire import Agreed, Family, Update


def route(told: Announce, peer: Peer, prefix: Prefix, level: Level) -> Route | None:
    """How an address is announced to a peer at a level; None where it is not."""
    if level == Level.WITHDRAWN:
        return None
    hop = next(hop.packed for hop in told.next_hop if hop.version == prefix.version)
    less = told.less if level == Level.LESS else ()
    return Route(told.as_, told.id.packed, peer.as_ == told.as_, hop, less, told.med, told.prepend)


def difference(
    told: Announce, peer: Peer, wanted: Mapping[Prefix, Level], sent: Mapping[Prefix, Route], agreed: Agreed
) -> tuple[list[Update], dict[Prefix, Route]]:
    """UPDATEs that bring the peer from `sent` to `wanted`, withdrawals first, and what it holds after them.
    Addresses of one family and one route go together; a family that was not agreed on is left out."""
    after: dict[Prefix, Route] = {}
    for prefix, level in wanted.items():
        one = route(told, peer, prefix, level)
        if one is not None and place(prefix)[0] in agreed.families:
            after[prefix] = one
    gone: dict[Family, list[Prefix]] = {}
    for prefix in sent:
        if prefix not in after:
            gone.setdefault(place(prefix)[0], []).append(prefix)
    new: dict[tuple[Family, Route], list[Prefix]] = {}
    for prefix, one in after.items():
        if sent.get(prefix) != one:
            new.setdefault((place(prefix)[0], one), []).append(prefix)
    updates = [withdrawal(tuple(map(nlri, many)), family) for family, many in gone.items()]
    updates += [
        announcement(one, tuple(map(nlri, many)), family, agreed) for (family, one), many in new.items()
    ]
    return updates, after
