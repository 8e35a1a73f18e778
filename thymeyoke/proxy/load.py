"""What a node says of its load: connections held and opened a second, by tenant. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from math import exp
from typing import NamedTuple

from thymeyoke.membership.load_sketch import largest_loads
from thymeyoke.membership.view import Load

SPAN = 10.0  # seconds over which connections opened a second are averaged
FADED = 0.01  # a second: below, and with none held, a tenant is not told any more


class Figures(NamedTuple):
    connections: int
    opened: float
    loads: tuple[Load, ...]
    rest: Load


class Rates:
    """Connections opened a second. `rates` is emptied as they fade."""

    def __init__(self, now: float) -> None:
        self.at = now
        self.new: Counter[str] = Counter()  # since the last look, which empties it
        self.rates: dict[str, float] = {}

    def opened(self, tenant: str) -> None:
        self.new[tenant] += 1

    def look(self, now: float, held: Mapping[str, int]) -> Figures:
        """`held`: connections by tenant, those with some alone."""
        span, self.at = now - self.at, now
        if span > 0:
            part = 1 - exp(-span / SPAN)
            for tenant in self.rates.keys() | self.new.keys():
                old = self.rates.get(tenant, 0.0)
                self.rates[tenant] = old + part * (self.new[tenant] / span - old)
            self.new.clear()
        self.rates = {tenant: rate for tenant, rate in self.rates.items() if rate >= FADED or tenant in held}
        names = held.keys() | self.rates.keys()
        loads, rest = largest_loads((name, held.get(name, 0), self.rates.get(name, 0.0)) for name in names)
        return Figures(sum(held.values()), sum(self.rates.values()), loads, rest)
