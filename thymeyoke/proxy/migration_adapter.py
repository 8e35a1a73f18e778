"""Which tenants this node holds, and how it announces their addresses: by configuration, and by migrations.

No I/O. The migration package is imported only if the configuration has `[moves]`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from thymeyoke.membership.limits import MAX_HELD_TENANTS
from thymeyoke.membership.view import View
from thymeyoke.proxy.configuration import Service

if TYPE_CHECKING:
    from thymeyoke.migration.configuration import Moves
    from thymeyoke.migration.controller import MigrationCoordinator


class Moving:
    """`low`: tenants that are announced `less` preferred, or `withdrawn`; all others go out in full."""

    def __init__(self, now: float, me: str) -> None:
        self.me = me
        self.low: dict[str, str] = {}  # as long as the file has the tenant
        self.rising: set[str] = set()  # brought by a move, and not yet announced in full
        self.coordinator: MigrationCoordinator | None = None
        self.own: tuple[str, ...] = ()
        self.told: frozenset[str] = frozenset()  # by the last snapshot, MAX_HELD_TENANTS of them
        self.untold: frozenset[str] = frozenset()  # held besides
        self.at = now  # when to settle though nothing was seen
        self.seen = False

    def change(self, now: float, told: Moves | None, services: Iterable[Service]) -> None:
        """The operators' file, at the start and read anew."""
        there = list(services)
        self.own = tuple(sorted(one.tenant for one in there if not one.standby))
        can, own = frozenset(one.tenant for one in there), frozenset(self.own)
        if told is None:
            self.coordinator, self.low = None, dict.fromkeys(can - own, "withdrawn")
            return
        from thymeyoke.migration.controller import MigrationCoordinator

        terms = told.terms
        if self.coordinator is None:
            self.coordinator, self.low = (
                MigrationCoordinator(now, self.me, terms, can, own),
                dict.fromkeys(can - own, "withdrawn"),
            )
        else:
            for tenant in can - own - self.coordinator.eligible:
                self.low[tenant] = "withdrawn"
            self.coordinator.reconfigure(now, terms, can, own)
            self.low = {tenant: level for tenant, level in self.low.items() if tenant in can}
        self.at = now

    def holds(self) -> tuple[str, ...]:
        """Tenants whose address is this node's own, for its snapshot, which others drop whole where it names
        over MAX_HELD_TENANTS. One that a move brings counts once it is announced in full: its source goes
        less preferred with that. Past the bound those stay that were told, then those of the file come: a
        source
        that does not hear of its tenant takes it back."""
        held = frozenset(self.own) if self.coordinator is None else self.coordinator.holds - self.rising
        order = sorted(held, key=lambda one: (one not in self.told, one not in self.own, one))
        self.told, self.untold = frozenset(order[:MAX_HELD_TENANTS]), frozenset(order[MAX_HELD_TENANTS:])
        return tuple(sorted(self.told))

    @property
    def full(self) -> bool:
        """Whether no move may bring one more. The last one that comes counts once it is over: till then its
        source asks for room."""
        return (
            self.coordinator is not None
            and len(self.coordinator.holds) >= MAX_HELD_TENANTS
            and not any(state.is_arriving for state in self.coordinator.tenant_states.values())
        )

    def risen(self, in_full: Callable[[str], bool]) -> bool:
        """Whether any tenant is announced in full now that was not before."""
        up = {tenant for tenant in self.rising if in_full(tenant)}
        self.rising -= up
        return bool(up)

    def saw(self, now: float, view: View) -> None:
        if self.coordinator is not None:
            self.coordinator.observe(now, view)
            self.seen = True

    def settle(self, now: float) -> dict[str, str]:
        """By tenant, the levels that changed: full, less or withdrawn."""
        if self.coordinator is None or not (self.seen or now >= self.at):
            return {}
        self.seen = False
        changed = {one.tenant: one.level_name for one in self.coordinator.advance(now)}
        for tenant, level in changed.items():
            self.low.pop(tenant, None)
            self.rising.discard(tenant)
            if level != "full":
                self.low[tenant] = level
            elif tenant not in self.own:  # its own were announced from the start
                self.rising.add(tenant)
        self.at = self.coordinator.next_advance_at(now)
        return changed

    def next(self) -> float:
        return float("inf") if self.coordinator is None else self.at

    def parts(self, now: float) -> dict[str, bytes]:
        """For this node's snapshot."""
        return {} if self.coordinator is None else {"moves": self.coordinator.encoded_part(now)}

    def counted(self) -> Counter[str]:
        """What happened since this was asked last."""
        if self.coordinator is None:
            return Counter()
        found = Counter(self.coordinator.counts)
        self.coordinator.counts.clear()
        return found

    def status(self, now: float) -> dict[str, Any]:
        """Plain values for `moves show`."""
        holds = sorted({*self.holds(), *self.untold})
        told: dict[str, Any] = {"holds": holds, "moves": self.coordinator is not None}
        if self.coordinator is not None:
            from thymeyoke.migration import presentation

            told |= presentation.status(self.coordinator, now)
        return told
