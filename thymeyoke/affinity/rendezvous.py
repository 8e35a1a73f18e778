"""Rendezvous hashing (Thaler and Ravishankar, 1998: highest random weight) of customers over server names.

Pure. A server's weight for a customer is `customer * factor + number` in 64 bits, with an odd factor and a
number of its own (multiply-add-shift hashing: Dietzfelbinger, 1996). Of all servers at once these are one
multiplication of long integers, a lane of 128 bits each: 300 of them take some 20 us. It goes by the name and
not by the life: a server that comes back has its old share.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from struct import Struct

LANE = 16  # bytes; the lower half is the weight, and no product reaches the next lane
MASK = (1 << 64) - 1


def marked(name: str, life: int, size: int = 4) -> bytes:
    """A short mark of one life of a server, the same at every node."""
    return blake2b(f"{life} {name}".encode(errors="replace"), digest_size=size).digest()


@lru_cache(4096)
def pair(name: str) -> tuple[int, int]:
    """A server's own number and odd factor."""
    made = blake2b(name.encode(errors="replace"), digest_size=16).digest()
    return int.from_bytes(made[:8]), int.from_bytes(made[8:]) | 1


def _in_lanes(numbers: Iterable[int]) -> int:
    return int.from_bytes(b"".join(number.to_bytes(LANE, "little") for number in numbers), "little")


class Places:
    """A set of server names that customers are hashed over. Of equal weights the smaller name comes first."""

    __slots__ = ("factors", "lanes", "names", "numbers", "pairs")

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names = tuple(sorted(names))
        self.pairs = [pair(name) for name in self.names]
        self.numbers = _in_lanes(number for number, _ in self.pairs)
        self.factors = _in_lanes(factor for _, factor in self.pairs)
        self.lanes = Struct("<" + "Q8x" * len(self.names))

    def __reduce__(self) -> tuple[type[Places], tuple[tuple[str, ...]]]:
        return Places, (self.names,)

    def __len__(self) -> int:
        return len(self.names)

    def weights(self, customer: int) -> tuple[int, ...]:
        lanes = customer * self.factors + self.numbers
        return self.lanes.unpack(lanes.to_bytes(self.lanes.size, "little"))

    def first(self, customer: int) -> str:
        """The first choice; "" of none."""
        if not self.pairs:
            return ""
        weights = self.weights(customer)
        return self.names[weights.index(max(weights))]

    def top(self, customer: int) -> tuple[int, str]:
        """The first choice with its weight; (-1, "") of none."""
        if not self.pairs:
            return -1, ""
        weights = self.weights(customer)
        top = max(weights)
        return top, self.names[weights.index(top)]

    def above(self, customer: int, top: int, name: str) -> bool:
        """Whether one of these comes before `name` of that weight. It mostly knows after a few."""
        for (number, factor), mine in zip(self.pairs, self.names, strict=True):
            its = customer * factor + number & MASK
            if its > top or (its == top and mine < name):
                return True
        return False

    def ranked(self, customer: int) -> list[str]:
        """All of them, first choice first."""
        weights = self.weights(customer)
        order = sorted(range(len(weights)), key=lambda at: (-weights[at], at))
        return [self.names[at] for at in order]


def ranked(customer: int, servers: Iterable[str]) -> list[str]:
    """The first choice of a customer among servers, and its next places."""
    return Places(servers).ranked(customer)
