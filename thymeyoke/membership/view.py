"""What a process knows of the fleet, as values: snapshots of processes, and the view made of them.

Decisions of `affinity` and `moves` read these and nothing else of `members`. Pure: no I/O, no clock. Spans
are seconds. What a process says of itself is in its `Snapshot`; what is made of it here (`trust`, `age`,
`weight`) is in its `Member`.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

LOADS_MOST = 1024  # tenants told one by one in a snapshot; the rest is one sum
NAME_MOST = 64  # characters of a process's name, or a tenant's


class State(IntEnum):
    """What a process says of itself. A life only moves forward; a new incarnation begins anew."""

    COLD = 0  # it is there, and does not take ops or customers yet
    SERVING = 1
    LEAVING = 2  # it takes nothing new
    GONE = 3  # it said farewell


class Trust(IntEnum):
    """What this process makes of another one."""

    DEAD = 0  # unheard for too long, by itself and through others; or it said farewell
    UNSURE = 1  # suspected, and not yet found dead: what rests on it should wait
    SURE = 2


class Load(NamedTuple):
    """One tenant's at one process. The true count is in `connections - over .. connections`."""

    tenant: str
    connections: int
    opened: float = 0.0  # connections a second
    over: int = 0


class Snapshot(NamedTuple):
    """What one process says of itself. A newer one has a higher (incarnation, sequence)."""

    name: str
    node: bool  # a node, else an app server
    incarnation: int  # of this life: higher than that of any life of the name before it
    sequence: int
    state: State
    address: str  # where its snapshots come in, IP:PORT
    serves: str = ""  # an app server: where ops come in, IP:PORT
    since: float = 0.0  # seconds that it has been in `state`, as it says
    connections: int = 0
    opened: float = 0.0  # a second
    room: int = 0  # connections that it could still hold
    loads: tuple[Load, ...] = ()  # the largest tenants, at most LOADS_MOST
    rest: Load = Load("", 0)  # of all others together
    holds: tuple[str, ...] = ()  # a node: tenants whose service address is its own, announced in full
    parts: Mapping[str, bytes] = {}  # opaque here, by the subsystem that reads it: "seats", "moves"

    @property
    def order(self) -> tuple[int, int]:
        return self.incarnation, self.sequence


class Member(NamedTuple):
    snapshot: Snapshot
    trust: Trust
    age: float  # seconds since its snapshot was said, at most, by this process's own clock
    weight: float  # of its figures in decisions: 1 when fresh, down to 0; never "no load"

    @property
    def name(self) -> str:
        return self.snapshot.name

    @property
    def there(self) -> bool:
        """Whether it is taken to be there, sure or not."""
        return self.trust > Trust.DEAD and self.snapshot.state < State.GONE


class View(NamedTuple):
    """All that is known at a moment. `version` goes up whenever a name comes, goes, changes its life, its
    state or its trust, and when no seed is unanswered any more; figures alone do not move it. The dead stay
    in it for a while, as DEAD."""

    version: int
    at: float  # by this process's own clock
    me: str  # this process's name; it is among the members too
    members: Mapping[str, Member]
    unanswered_seeds: int = 0  # addresses of the file whose members may be there and are not known of yet

    def nodes(self) -> list[Member]:
        """Sorted by name, the dead among them."""
        return [one for _, one in sorted(self.members.items()) if one.snapshot.node]

    def servers(self) -> list[Member]:
        """App servers, sorted by name, the dead among them."""
        return [one for _, one in sorted(self.members.items()) if not one.snapshot.node]
