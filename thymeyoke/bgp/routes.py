"""Computes the updates that bring a peer from the routes it holds to the wanted ones. Pure, no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from thymeyoke.bgp.attributes import Route, advertisement, withdrawal
from thymeyoke.bgp.configuration import Announce, Peer, Prefix
from thymeyoke.bgp.controller import Level
from thymeyoke.bgp.presentation import prefix_key, to_nlri
from thymeyoke.bgp.wire import Family, NegotiatedOptions, Update


def route_for(settings: Announce, peer: Peer, prefix: Prefix, level: Level) -> Route | None:
    """Return the route for an address at a level; None if it is not advertised."""
    if level == Level.WITHDRAWN:
        return None
    next_hop = next(next_hop.packed for next_hop in settings.next_hop if next_hop.version == prefix.version)
    less = settings.less if level == Level.LESS else ()
    return Route(
        settings.as_,
        settings.id.packed,
        peer.as_ == settings.as_,
        next_hop,
        less,
        settings.med,
        settings.prepend,
    )


def route_changes(
    settings: Announce,
    peer: Peer,
    wanted_levels: Mapping[Prefix, Level],
    sent_routes: Mapping[Prefix, Route],
    negotiated: NegotiatedOptions,
) -> tuple[list[Update], dict[Prefix, Route]]:
    """Return the updates from `sent_routes` to `wanted_levels`, withdrawals first, and the routes after them.

    Addresses with the same family and route share an update; families that were not negotiated are skipped.
    """
    new_routes: dict[Prefix, Route] = {}
    for prefix, level in wanted_levels.items():
        route = route_for(settings, peer, prefix, level)
        if route is not None and prefix_key(prefix)[0] in negotiated.families:
            new_routes[prefix] = route
    withdrawn: dict[Family, list[Prefix]] = {}
    for prefix in sent_routes:
        if prefix not in new_routes:
            withdrawn.setdefault(prefix_key(prefix)[0], []).append(prefix)
    changed: dict[tuple[Family, Route], list[Prefix]] = {}
    for prefix, route in new_routes.items():
        if sent_routes.get(prefix) != route:
            changed.setdefault((prefix_key(prefix)[0], route), []).append(prefix)
    updates = [withdrawal(tuple(map(to_nlri, prefixes)), family) for family, prefixes in withdrawn.items()]
    updates += [
        advertisement(route, tuple(map(to_nlri, prefixes)), family, negotiated)
        for (family, route), prefixes in changed.items()
    ]
    return updates, new_routes
