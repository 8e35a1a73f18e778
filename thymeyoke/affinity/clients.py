"""Client keys: a source address at a tenant as a number of 64 bits, the same at every node. Pure.

The key does not depend on the node that accepted the connection, so that a tenant can migrate between nodes
without changing its clients' assignments.
"""

from __future__ import annotations

from hashlib import blake2b
from ipaddress import IPv6Address, ip_address

IPV6_PREFIX_BYTES = 8  # significant bytes of an IPv6 address: a /64 is one client
KEY_BITS = 64


def client_key(tenant: str, source: str) -> int:
    """The key of `source`, an IP address as text, at `tenant`; raises ValueError for an invalid address.

    IPv4 addresses count in full, IPv4-mapped IPv6 addresses as IPv4, other IPv6 addresses by their /64.
    """
    if not isinstance(source, str):
        raise ValueError(f"not an address: {str(source)[:80]}")
    address = ip_address(source)
    if isinstance(address, IPv6Address):
        mapped = address.ipv4_mapped
        network = b"6" + address.packed[:IPV6_PREFIX_BYTES] if mapped is None else b"4" + mapped.packed
    else:
        network = b"4" + address.packed
    return int.from_bytes(
        blake2b(network + tenant.encode(errors="replace"), digest_size=KEY_BITS // 8).digest()
    )
