"""How high each service address may be announced: what moves say of its tenants, as caps for `announce`.

Pure. Loaded with `[announce]` alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from thymeyoke.bgp.configuration import Prefix
from thymeyoke.bgp.controller import Level, Why
from thymeyoke.proxy.configuration import Service


def caps(
    addresses: Iterable[Prefix], services: Iterable[Service], low: Mapping[str, str]
) -> dict[Prefix, Why]:
    """`low`: by tenant `less` or `withdrawn`; who is not named goes out in full. An address that serves
    several tenants goes as high as the highest of them; one that serves none is free."""
    found: dict[Prefix, Why] = {}
    there = list(services)
    for prefix in addresses:
        tenants = [one.tenant for one in there if one.address.ip in prefix]
        if tenants and all(tenant in low for tenant in tenants):
            level, tenant = max((Level[low[tenant].upper()], tenant) for tenant in tenants)
            found[prefix] = Why(level, f"{tenant} is another node's", True)
    return found
