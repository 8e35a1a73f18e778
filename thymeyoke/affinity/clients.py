"""A customer: a source address at a tenant, as one number of 64 bits that every node finds alike.

Pure. The number does not tell where the customer came in: a tenant that moves to another node takes its
customers' seats with it.
"""

from __future__ import annotations

from hashlib import blake2b
from ipaddress import IPv6Address, ip_address

PREFIX = 8  # bytes of an IPv6 address that count: a /64 is one customer
BITS = 64


def customer(tenant: str, source: str) -> int:
    """The number of `source` (an IP address as text) at `tenant`: IPv4 whole, IPv4 in IPv6 as IPv4, IPv6 by
    its /64. ValueError for a text that is no address."""
    if not isinstance(source, str):
        raise ValueError(f"not an address: {str(source)[:80]}")
    address = ip_address(source)
    if isinstance(address, IPv6Address):
        inner = address.ipv4_mapped
        where = b"6" + address.packed[:PREFIX] if inner is None else b"4" + inner.packed
    else:
        where = b"4" + address.packed
    return int.from_bytes(blake2b(where + tenant.encode(errors="replace"), digest_size=BITS // 8).digest())
