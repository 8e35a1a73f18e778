"""What a snapshot may say. Pure: one sentence for what cannot be, nothing raised.

A snapshot that fails is dropped and counted by whoever asked; what was known before stays.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from functools import lru_cache
from ipaddress import ip_address
from math import isfinite

from thymeyoke.membership.view import LOADS_MOST, NAME_MOST, Load, Snapshot, State

COUNT_MOST = 1 << 32  # connections
RATE_MOST = 1e9  # connections a second
SPAN_MOST = 10 * 365 * 86400.0  # seconds: no process is in one state for longer
AHEAD = 86_400_000  # of incarnations, which count milliseconds: a clock may be off, by less than a day
SEQUENCE_MOST = 1 << 52
HOLDS_MOST = 1024
PARTS_MOST = 8
PART_MOST = 8192  # octets
PLACE_MOST = 80  # characters of IP:PORT
SCOPED = re.compile(r"\[[0-9a-f:]+%[\w.-]{1,15}\]", re.ASCII)  # with the name of a link, as a system has them
PLACES = 8192  # texts whose verdict is kept: the addresses of all members, twice over


def _name(text: object) -> bool:
    return isinstance(text, str) and 0 < len(text) <= NAME_MOST and text.isprintable()


@lru_cache(PLACES)
def place(text: str) -> bool:
    """Whether it is IP:PORT, in the one way to write it: an address is compared as text."""
    if len(text) > PLACE_MOST:
        return False
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and str(int(port)) == port and 0 < int(port) < 65536):
        return False
    try:
        ip = ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    if "%" in host and not SCOPED.fullmatch(host):
        return False  # the parser takes any octets there, which no socket and no other reader does
    return host == (f"[{ip}]" if ip.version == 6 else str(ip))


def _count(*values: object) -> bool:
    return all(isinstance(one, int) and 0 <= one < COUNT_MOST for one in values)


def _span(value: float, most: float) -> bool:
    return isinstance(value, int | float) and isfinite(value) and 0 <= value <= most


def _load(load: Load) -> bool:
    counted = _count(load.connections, load.over) and load.over <= load.connections
    return counted and _span(load.opened, RATE_MOST)


def _part(octets: object) -> bool:
    return isinstance(octets, bytes) and len(octets) <= PART_MOST


def _names(names: Iterable[str], most: int) -> bool:
    all_ = list(names)
    return len(all_) <= most and all(map(_name, all_)) and len(set(all_)) == len(all_)


def fault(snapshot: Snapshot, newest: int) -> str:
    """Why it cannot be, or nothing. `newest`: the incarnation that a process would take now."""
    one = snapshot
    if not _name(one.name):
        return "a name that is empty, too long or not printable"
    if not (isinstance(one.incarnation, int) and 0 <= one.incarnation <= newest + AHEAD):
        return "an incarnation from tomorrow"
    if not (isinstance(one.sequence, int) and 0 <= one.sequence < SEQUENCE_MOST):
        return "a sequence that none can have reached"
    if not isinstance(one.state, State):
        return "no such state"
    if not (place(one.address) and (not one.serves or place(one.serves))):
        return "an address that is none"
    if not _span(one.since, SPAN_MOST):
        return "a time in its state that cannot be"
    if not (_count(one.connections, one.room) and _span(one.opened, RATE_MOST)):
        return "figures that are negative or too large"
    tenants = (load.tenant for load in one.loads)
    if one.loads and not (_names(tenants, LOADS_MOST) and all(map(_load, one.loads))):
        return "loads that cannot be"
    if not (one.rest.tenant == "" and _load(one.rest)):
        return "a rest that cannot be"
    if one.holds and not _names(one.holds, HOLDS_MOST):
        return "tenants held that cannot be"
    if one.parts and not (_names(one.parts, PARTS_MOST) and all(map(_part, one.parts.values()))):
        return "parts that are too many or too long"
    return ""
