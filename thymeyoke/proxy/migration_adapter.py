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


class MigrationAdapter:
    """The tenants of this node and their announcement levels.

    `lowered_levels` has the tenants announced as `less` preferred or `withdrawn`; all others have full
    preference.
    """

    def __init__(self, now: float, own_name: str) -> None:
        self.own_name = own_name
        self.lowered_levels: dict[str, str] = {}  # only configured tenants
        self.rising: set[str] = set()  # arrived by a move, and not yet announced with full preference
        self.coordinator: MigrationCoordinator | None = None
        self.configured: tuple[str, ...] = ()
        self.announced: frozenset[str] = frozenset()  # listed in the last snapshot
        self.unannounced: frozenset[str] = frozenset()  # held but not listed
        self.next_advance = now  # when to advance without a new view
        self.has_new_view = False

    def reconfigure(self, now: float, settings: Moves | None, services: Iterable[Service]) -> None:
        """Apply the configuration, at the start and after a reload."""
        services_list = list(services)
        self.configured = tuple(sorted(one.tenant for one in services_list if not one.standby))
        eligible, configured = frozenset(one.tenant for one in services_list), frozenset(self.configured)
        if settings is None:
            self.coordinator, self.lowered_levels = None, dict.fromkeys(eligible - configured, "withdrawn")
            return
        from thymeyoke.migration.controller import MigrationCoordinator

        terms = settings.terms
        if self.coordinator is None:
            self.coordinator = MigrationCoordinator(now, self.own_name, terms, eligible, configured)
            self.lowered_levels = dict.fromkeys(eligible - configured, "withdrawn")
        else:
            for tenant in eligible - configured - self.coordinator.eligible:
                self.lowered_levels[tenant] = "withdrawn"
            self.coordinator.reconfigure(now, terms, eligible, configured)
            self.lowered_levels = {
                tenant: level for tenant, level in self.lowered_levels.items() if tenant in eligible
            }
        self.next_advance = now

    def holds(self) -> tuple[str, ...]:
        """The tenants to list in this node's snapshot, at most MAX_HELD_TENANTS.

        Longer snapshots are dropped by others. A tenant gained by a move counts once it is announced with
        full preference, since its source is depreferred after that. Beyond the limit tenants already listed
        stay, followed by configured ones: a source that does not see its tenant listed takes it back.
        """
        held = (
            frozenset(self.configured) if self.coordinator is None else self.coordinator.holds - self.rising
        )
        order = sorted(held, key=lambda one: (one not in self.announced, one not in self.configured, one))
        self.announced = frozenset(order[:MAX_HELD_TENANTS])
        self.unannounced = frozenset(order[MAX_HELD_TENANTS:])
        return tuple(sorted(self.announced))

    @property
    def full(self) -> bool:
        """Whether no more tenants may arrive.

        The last one counts once its move is over; until then its source needs room.
        """
        return (
            self.coordinator is not None
            and len(self.coordinator.holds) >= MAX_HELD_TENANTS
            and not any(state.is_arriving for state in self.coordinator.tenant_states.values())
        )

    def update_rising(self, in_full: Callable[[str], bool]) -> bool:
        """Whether any tenant has newly reached full preference."""
        up = {tenant for tenant in self.rising if in_full(tenant)}
        self.rising -= up
        return bool(up)

    def observe(self, now: float, view: View) -> None:
        """Take in a new view of the fleet."""
        if self.coordinator is not None:
            self.coordinator.observe(now, view)
            self.has_new_view = True

    def advance(self, now: float) -> dict[str, str]:
        """The announcement levels that have changed, by tenant: full, less or withdrawn."""
        if self.coordinator is None or not (self.has_new_view or now >= self.next_advance):
            return {}
        self.has_new_view = False
        changed = {one.tenant: one.level_name for one in self.coordinator.advance(now)}
        for tenant, level in changed.items():
            self.lowered_levels.pop(tenant, None)
            self.rising.discard(tenant)
            if level != "full":
                self.lowered_levels[tenant] = level
            elif tenant not in self.configured:  # configured ones are announced from the start
                self.rising.add(tenant)
        self.next_advance = self.coordinator.next_advance_at(now)
        return changed

    def next_advance_at(self) -> float:
        """The next time at which `advance` may return something without a new view."""
        return float("inf") if self.coordinator is None else self.next_advance

    def parts(self, now: float) -> dict[str, bytes]:
        """The announcement for this node's snapshot."""
        return {} if self.coordinator is None else {"moves": self.coordinator.encoded_part(now)}

    def take_counts(self) -> Counter[str]:
        """Take the counts of events since the last call."""
        if self.coordinator is None:
            return Counter()
        found = Counter(self.coordinator.counts)
        self.coordinator.counts.clear()
        return found

    def status(self, now: float) -> dict[str, Any]:
        """Plain values for `moves show`."""
        holds = sorted({*self.holds(), *self.unannounced})
        status: dict[str, Any] = {"holds": holds, "moves": self.coordinator is not None}
        if self.coordinator is not None:
            from thymeyoke.migration import presentation

            status |= presentation.status(self.coordinator, now)
        return status
