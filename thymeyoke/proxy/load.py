"""The load of a node, as connections held and opened per second by tenant. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from math import exp
from typing import NamedTuple

from thymeyoke.membership.load_sketch import largest_loads
from thymeyoke.membership.view import Load

AVERAGING_SECONDS = 10.0  # time constant of the average
MIN_RATE = 0.01  # per second; tenants below it without connections are dropped


class Figures(NamedTuple):
    """The load to publish."""

    connections: int
    opened: float
    loads: tuple[Load, ...]
    rest: Load


class Rates:
    """Connections opened per second; tenants leave `rates` as their rates decay."""

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.new_connections: Counter[str] = Counter()  # since the last update
        self.rates: dict[str, float] = {}

    def opened(self, tenant: str) -> None:
        """Count a connection of a tenant."""
        self.new_connections[tenant] += 1

    def update(self, now: float, held: Mapping[str, int]) -> Figures:
        """Update the rates and return the load; `held` are the connections by tenant."""
        span, self.updated_at = now - self.updated_at, now
        if span > 0:
            weight = 1 - exp(-span / AVERAGING_SECONDS)
            for tenant in self.rates.keys() | self.new_connections.keys():
                old = self.rates.get(tenant, 0.0)
                self.rates[tenant] = old + weight * (self.new_connections[tenant] / span - old)
            self.new_connections.clear()
        self.rates = {
            tenant: rate for tenant, rate in self.rates.items() if rate >= MIN_RATE or tenant in held
        }
        names = held.keys() | self.rates.keys()
        loads, rest = largest_loads((name, held.get(name, 0), self.rates.get(name, 0.0)) for name in names)
        return Figures(sum(held.values()), sum(self.rates.values()), loads, rest)
