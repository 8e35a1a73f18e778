"""`[moves]` of the operators' file, as a typed value."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from thymeyoke.configuration.service_config import ConfigFile
from thymeyoke.membership import configuration as members
from thymeyoke.migration import quorum
from thymeyoke.migration.load_ranges import Terms

ACTS = ("recommend", "move")
MINUTE = 60.0  # in which [announce] makes so many `changes`
Span = Annotated[float, Meta(gt=0, le=86400, description="seconds, more than 0 and at most 86400")]


class Moves(Struct, frozen=True):
    """When a tenant should go to another node, and whether it does. Times in seconds."""

    act: Annotated[str, Meta(description=f"one of {', '.join(ACTS)}")] = "recommend"
    uneven: Annotated[float, Meta(gt=1, le=100, description="a ratio, more than 1 and at most 100")] = 1.25
    at_once: Annotated[int, Meta(ge=1, le=64, description="a whole number from 1 to 64")] = 1
    an_hour: Annotated[int, Meta(ge=1, le=3600, description="a whole number from 1 to 3600")] = 12
    rest: Span = 300.0
    settle: Span = 60.0
    # By other sections of the file:
    period: float = 1.0  # of [members]
    rise: float = 0.0  # until an address that was withdrawn is announced in full

    @property
    def terms(self) -> Terms:
        return Terms(*(getattr(self, name) for name in Terms._fields))

    def lines(self) -> list[str]:
        """For `check`: what is asked for."""
        return [
            f"moves: {self.act}, past {self.uneven:g} of the mean, {self.at_once} at once and {self.an_hour} "
            f"an hour, rests {self.rest:g} s, settles {self.settle:g} s; "
            f"a move takes {quorum.longest(self.terms):g} s at most"
        ]


def read_settings(file: ConfigFile) -> Moves:
    for section in file.sections:
        if section.startswith("moves."):
            raise file.error(section, None, "no such section; give [moves] alone")
    made = file.read_section("moves", Moves, **_around(file))
    if made.act not in ACTS:
        raise file.error("moves", "act", f"{made.act!r} can't be used; give one of {', '.join(ACTS)}")
    if "node" not in file.sections:
        raise file.error("moves", None, "is for a node; add a section [node]")
    return made


def _around(raw: ConfigFile) -> dict[str, float]:
    """How soon others hear of what a node does, and how long an address takes to come up: the shortest times
    of a move follow from these, so that no `settle` is too short for one."""
    found = {}
    if "members" in raw.sections:
        found["period"] = members.read_settings(raw).period
    if "announce" in raw.sections:
        from thymeyoke.bgp.configuration import read_settings as announced

        told = announced(raw)
        found["rise"] = told.settle + MINUTE / told.changes  # less preferred first; its budget may be spent
    return found
