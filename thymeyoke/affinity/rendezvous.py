"""Rendezvous hashing (Thaler and Ravishankar, 1998: highest random weight) of clients over server names.

The weight of a server for a client is `client * factor + addend` modulo 2**64, with an odd factor and an
addend for each server (multiply-add-shift hashing: Dietzfelbinger, 1996). The weights of all servers are
computed by one multiplication of long integers, with a lane of 128 bits for each server: about 20 us for 300
servers. The hash depends on the name, not the incarnation: a restarted server gets its former clients.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from struct import Struct

LANE_BYTES = 16  # the lower half is the weight; a product of two 64-bit numbers stays within the lane
WEIGHT_MASK = (1 << 64) - 1


def incarnation_mark(name: str, incarnation: int, size: int = 4) -> bytes:
    """A short hash of one incarnation of a server, the same at every node."""
    return blake2b(f"{incarnation} {name}".encode(errors="replace"), digest_size=size).digest()


@lru_cache(4096)
def hash_parameters(name: str) -> tuple[int, int]:
    """A server's addend and odd factor."""
    digest = blake2b(name.encode(errors="replace"), digest_size=16).digest()
    return int.from_bytes(digest[:8]), int.from_bytes(digest[8:]) | 1


def _pack_lanes(addends: Iterable[int]) -> int:
    return int.from_bytes(b"".join(addend.to_bytes(LANE_BYTES, "little") for addend in addends), "little")


class RendezvousHash:
    """Rendezvous hash over a set of server names. Of equal weights the smaller name comes first."""

    __slots__ = ("factors", "lanes", "names", "addends", "parameters")

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names = tuple(sorted(names))
        self.parameters = [hash_parameters(name) for name in self.names]
        self.addends = _pack_lanes(addend for addend, _ in self.parameters)
        self.factors = _pack_lanes(factor for _, factor in self.parameters)
        self.lanes = Struct("<" + "Q8x" * len(self.names))

    def __reduce__(self) -> tuple[type[RendezvousHash], tuple[tuple[str, ...]]]:
        return RendezvousHash, (self.names,)

    def __len__(self) -> int:
        return len(self.names)

    def weights(self, client: int) -> tuple[int, ...]:
        """The weights of all servers for a client, in the order of `names`."""
        lanes = client * self.factors + self.addends
        return self.lanes.unpack(lanes.to_bytes(self.lanes.size, "little"))

    def first_choice(self, client: int) -> str:
        """The client's first choice; "" if the set is empty."""
        if not self.parameters:
            return ""
        weights = self.weights(client)
        return self.names[weights.index(max(weights))]

    def best(self, client: int) -> tuple[int, str]:
        """Weight and name of the client's first choice; (-1, "") if the set is empty."""
        if not self.parameters:
            return -1, ""
        weights = self.weights(client)
        best = max(weights)
        return best, self.names[weights.index(best)]

    def has_better(self, client: int, best: int, name: str) -> bool:
        """Whether one of these servers precedes a server `name` with weight `best`.

        Usually decided after a few servers, without computing all weights.
        """
        for (addend, factor), own_name in zip(self.parameters, self.names, strict=True):
            weight = client * factor + addend & WEIGHT_MASK
            if weight > best or (weight == best and own_name < name):
                return True
        return False

    def ranking(self, client: int) -> list[str]:
        """All servers, first choice first."""
        weights = self.weights(client)
        order = sorted(range(len(weights)), key=lambda index: (-weights[index], index))
        return [self.names[index] for index in order]


def ranking(client: int, servers: Iterable[str]) -> list[str]:
    """All of these servers in the client's order of preference."""
    return RendezvousHash(servers).ranking(client)
