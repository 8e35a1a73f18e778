"""The section `[moves]` of the service configuration."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from thymeyoke.configuration.service_config import ConfigFile
from thymeyoke.membership import configuration as members
from thymeyoke.migration import quorum
from thymeyoke.migration.load_ranges import Terms

ACTS = ("recommend", "move")
MINUTE = 60.0  # period to which `changes` of [announce] refers
Span = Annotated[float, Meta(gt=0, le=86400, description="seconds, more than 0 and at most 86400")]


class Moves(Struct, frozen=True):
    """When tenants should move to other nodes, and whether they do; times in seconds."""

    act: Annotated[str, Meta(description=f"one of {', '.join(ACTS)}")] = "recommend"
    uneven: Annotated[float, Meta(gt=1, le=100, description="a ratio, more than 1 and at most 100")] = 1.25
    at_once: Annotated[int, Meta(ge=1, le=64, description="a whole number from 1 to 64")] = 1
    an_hour: Annotated[int, Meta(ge=1, le=3600, description="a whole number from 1 to 3600")] = 12
    rest: Span = 300.0
    settle: Span = 60.0
    # From other sections:
    period: float = 1.0  # of [members]
    rise: float = 0.0  # until a withdrawn address is announced with full preference again

    @property
    def terms(self) -> Terms:
        """The settings for the coordinator."""
        return Terms(*(getattr(self, name) for name in Terms._fields))

    def lines(self) -> list[str]:
        """Lines for `check` that describe the settings."""
        return [
            f"moves: {self.act}, past {self.uneven:g} of the mean, {self.at_once} at once and {self.an_hour} "
            f"an hour, rests {self.rest:g} s, settles {self.settle:g} s; "
            f"a move takes {quorum.max_duration(self.terms):g} s at most"
        ]


def read_settings(file: ConfigFile) -> Moves:
    """Read and check the section."""
    for section in file.sections:
        if section.startswith("moves."):
            raise file.error(section, None, "no such section; give [moves] alone")
    settings = file.read_section("moves", Moves, **_related_settings(file))
    if settings.act not in ACTS:
        raise file.error("moves", "act", f"{settings.act!r} can't be used; give one of {', '.join(ACTS)}")
    if "node" not in file.sections:
        raise file.error("moves", None, "is for a node; add a section [node]")
    return settings


def _related_settings(raw: ConfigFile) -> dict[str, float]:
    """Settings of other sections that bound the duration of a move.

    They determine how fast announcements spread and how long an address takes to come up; the minimum
    timeouts of a move follow from them, so that no `settle` is too short.
    """
    related = {}
    if "members" in raw.sections:
        related["period"] = members.read_settings(raw).period
    if "announce" in raw.sections:
        from thymeyoke.bgp.configuration import read_settings as read_announce

        announce = read_announce(raw)
        # It is depreferred first, and its budget of changes may be used up.
        related["rise"] = announce.settle + MINUTE / announce.changes
    return related
