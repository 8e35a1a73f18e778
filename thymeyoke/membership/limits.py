"""Validation of received snapshots. Pure: returns a description of the first invalid field.

The caller drops and counts invalid snapshots; the member's previous snapshot remains.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from functools import lru_cache
from ipaddress import ip_address
from math import isfinite

from thymeyoke.membership.view import MAX_LOADS, MAX_NAME_LENGTH, Load, Snapshot, State

MAX_CONNECTIONS = 1 << 32  # connections
MAX_OPEN_RATE = 1e9  # connections a second
MAX_STATE_SECONDS = 10 * 365 * 86400.0  # ten years
MAX_INCARNATION_LEAD_MS = 86_400_000  # incarnations are times in ms; clocks may differ by less than a day
MAX_SEQUENCE = 1 << 52
MAX_HELD_TENANTS = 1024
MAX_PARTS = 8
MAX_PART_BYTES = 8192
MAX_ADDRESS_LENGTH = 80  # characters of IP:PORT
SCOPED_IPV6 = re.compile(r"\[[0-9a-f:]+%[\w.-]{1,15}\]", re.ASCII)  # with an interface name
ADDRESS_CACHE_SIZE = 8192  # twice the maximum number of members


def _is_name(text: object) -> bool:
    return isinstance(text, str) and 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()


@lru_cache(ADDRESS_CACHE_SIZE)
def is_canonical_address(text: str) -> bool:
    """Whether a text is IP:PORT in its canonical form, as addresses are compared as text."""
    if len(text) > MAX_ADDRESS_LENGTH:
        return False
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and str(int(port)) == port and 0 < int(port) < 65536):
        return False
    try:
        ip = ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    if "%" in host and not SCOPED_IPV6.fullmatch(host):
        return False  # the parser accepts any scope, but sockets and other parsers do not
    return host == (f"[{ip}]" if ip.version == 6 else str(ip))


def _are_counts(*values: object) -> bool:
    return all(isinstance(value, int) and 0 <= value < MAX_CONNECTIONS for value in values)


def _is_number_up_to(value: float, limit: float) -> bool:
    return isinstance(value, int | float) and isfinite(value) and 0 <= value <= limit


def _is_load(load: Load) -> bool:
    has_valid_counts = _are_counts(load.connections, load.over) and load.over <= load.connections
    return has_valid_counts and _is_number_up_to(load.opened, MAX_OPEN_RATE)


def _is_part(data: object) -> bool:
    return isinstance(data, bytes) and len(data) <= MAX_PART_BYTES


def _are_distinct_names(names: Iterable[str], limit: int) -> bool:
    names_list = list(names)
    return (
        len(names_list) <= limit
        and all(map(_is_name, names_list))
        and len(set(names_list)) == len(names_list)
    )


def find_fault(snapshot: Snapshot, current_incarnation: int) -> str:
    """Describe the first invalid field of a snapshot, or return "".

    `current_incarnation`: the incarnation that a process would choose now.
    """
    if not _is_name(snapshot.name):
        return f"name must have 1 to {MAX_NAME_LENGTH} printable characters"
    if not (
        isinstance(snapshot.incarnation, int)
        and 0 <= snapshot.incarnation <= current_incarnation + MAX_INCARNATION_LEAD_MS
    ):
        return "incarnation is negative or more than a day ahead"
    if not (isinstance(snapshot.sequence, int) and 0 <= snapshot.sequence < MAX_SEQUENCE):
        return "sequence is negative or too high"
    if not isinstance(snapshot.state, State):
        return "state is unknown"
    if not (
        is_canonical_address(snapshot.address)
        and (not snapshot.serves or is_canonical_address(snapshot.serves))
    ):
        return "address or service address is not a canonical IP:PORT"
    if not _is_number_up_to(snapshot.since, MAX_STATE_SECONDS):
        return "time in the state is negative or too long"
    if not (
        _are_counts(snapshot.connections, snapshot.room) and _is_number_up_to(snapshot.opened, MAX_OPEN_RATE)
    ):
        return "load figures are negative or too large"
    tenants = (load.tenant for load in snapshot.loads)
    if snapshot.loads and not (
        _are_distinct_names(tenants, MAX_LOADS) and all(map(_is_load, snapshot.loads))
    ):
        return f"loads are invalid, duplicate or more than {MAX_LOADS}"
    if not (snapshot.rest.tenant == "" and _is_load(snapshot.rest)):
        return "load of the other tenants is invalid"
    if snapshot.holds and not _are_distinct_names(snapshot.holds, MAX_HELD_TENANTS):
        return f"held tenants are invalid, duplicate or more than {MAX_HELD_TENANTS}"
    if snapshot.parts and not (
        _are_distinct_names(snapshot.parts, MAX_PARTS) and all(map(_is_part, snapshot.parts.values()))
    ):
        return f"parts are invalid, more than {MAX_PARTS} or longer than {MAX_PART_BYTES} bytes"
    return ""
