"""The highest announcement level of each service address, given the levels of its tenants.

No I/O. Imported only with `[announce]`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from thymeyoke.bgp.configuration import Prefix
from thymeyoke.bgp.controller import Level, LevelDecision
from thymeyoke.proxy.configuration import Service


def caps(
    addresses: Iterable[Prefix], services: Iterable[Service], low: Mapping[str, str]
) -> dict[Prefix, LevelDecision]:
    """Compute the caps; `low` has the tenants with a lower level, `less` or `withdrawn`.

    An address of several tenants gets the highest of their levels; an address without a tenant has no cap.
    """
    found: dict[Prefix, LevelDecision] = {}
    there = list(services)
    for prefix in addresses:
        tenants = [one.tenant for one in there if one.address.ip in prefix]
        if tenants and all(tenant in low for tenant in tenants):
            level, tenant = max((Level[low[tenant].upper()], tenant) for tenant in tenants)
            found[prefix] = LevelDecision(level, f"{tenant} is another node's", True)
    return found
