"""What a process knows of the fleet, as values: snapshots of processes, and the view built from them.

`affinity` and `migration` read these values and nothing else of this package. Pure: no I/O, no clock. Times
are in seconds. A `Snapshot` is what a process reports about itself; `Member` adds what the reader concludes
(`trust`, `age`, `weight`).
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

MAX_LOADS = 1024  # tenants listed separately in a snapshot; the others are one sum
MAX_NAME_LENGTH = 64  # characters of a process's or tenant's name


class State(IntEnum):
    """The state that a process reports. It only advances, except in a new incarnation."""

    COLD = 0  # starting or warming up: does not accept requests or clients yet
    SERVING = 1
    LEAVING = 2  # draining: accepts nothing new
    GONE = 3  # has left


class Trust(IntEnum):
    """The failure detector's verdict on another process."""

    DEAD = 0  # did not answer for too long, directly or through others; or it has left
    UNSURE = 1  # suspected, but not yet found dead: decisions that depend on it should wait
    SURE = 2  # alive


class Load(NamedTuple):
    """The load of one tenant at one process; its true count is in `connections - over .. connections`."""

    tenant: str
    connections: int
    opened: float = 0.0  # connections a second
    over: int = 0  # maximum overestimate of `connections`


class Snapshot(NamedTuple):
    """What one process reports about itself. A newer snapshot has a higher (incarnation, sequence)."""

    name: str
    node: bool  # a proxy node, else an app server
    incarnation: int  # higher than that of any earlier process with this name
    sequence: int
    state: State
    address: str  # IP:PORT at which it receives membership messages
    serves: str = ""  # of an app server: IP:PORT at which it receives requests
    since: float = 0.0  # seconds for which it has been in `state`, by its own clock
    connections: int = 0
    opened: float = 0.0  # connections a second
    room: int = 0  # connections that it can still accept
    loads: tuple[Load, ...] = ()  # the largest tenants, at most MAX_LOADS
    rest: Load = Load("", 0)  # sum of all other tenants
    holds: tuple[str, ...] = ()  # of a node: tenants whose service address it advertises in full
    parts: Mapping[str, bytes] = {}  # opaque data of other subsystems, by subsystem: "seats", "moves"

    @property
    def order(self) -> tuple[int, int]:
        """Orders the snapshots of one name."""
        return self.incarnation, self.sequence


class Member(NamedTuple):
    """Another process as this one sees it."""

    snapshot: Snapshot
    trust: Trust
    age: float  # maximum age of the snapshot in seconds, by the local clock
    weight: float  # of its load figures in decisions: 1 when new, down to 0 for unknown

    @property
    def name(self) -> str:
        """The process's name."""
        return self.snapshot.name

    @property
    def is_present(self) -> bool:
        """Whether it is considered alive, even if suspected."""
        return self.trust > Trust.DEAD and self.snapshot.state < State.GONE


class View(NamedTuple):
    """All that a process knows of the fleet at one time; dead members are kept in it for a while.

    `version` increases whenever a name appears or disappears, changes its incarnation, state or trust, and
    when the last unanswered seed is resolved. New load figures alone do not change it.
    """

    version: int
    at: float  # local clock
    me: str  # name of the process that has this view; it is among the members
    members: Mapping[str, Member]
    unanswered_seeds: int = 0  # configured addresses whose members may exist, but are not known yet

    def nodes(self) -> list[Member]:
        """All proxy nodes including dead ones, sorted by name."""
        return [one for _, one in sorted(self.members.items()) if one.snapshot.node]

    def servers(self) -> list[Member]:
        """All app servers including dead ones, sorted by name."""
        return [one for _, one in sorted(self.members.items()) if not one.snapshot.node]
