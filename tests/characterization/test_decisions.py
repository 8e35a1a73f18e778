"""Slow start, membership, affinity and migration in simulated time: recorded events and actions, by seed."""

from __future__ import annotations

import unittest
from typing import Any

from benchmarks.simulated import Size, cold, members, moves, seats
from fakes.simulated_slow_start import Process
from tests.characterization.recording import Recorder, compare
from thymeyoke.affinity import controller as affinity
from thymeyoke.membership import controller as membership
from thymeyoke.membership.gossip import LogEvent
from thymeyoke.migration import controller as migration
from thymeyoke.slow_start.backoff import CallBacklog
from thymeyoke.slow_start.controller import StartupController
from thymeyoke.slow_start.rate_limiter import CallRateLimiter
from thymeyoke.slow_start.retry_budget import RetryBudget

SMALL = Size(seed=7, servers=6, nodes=3, tenants=12, customers=60)
FEW = Size(seed=7, servers=5, nodes=3, tenants=8, customers=20)

# Per class, the stable code of each public method; renamed methods keep their code.
SLOW_START = {
    StartupController: {
        "begin": "begin",
        "should_report": "is_due",
        "report_sent": "sent",
        "report_accepted": "listed",
        "report_failed": "failed",
        "may_call": "may_retry",
        "call_ended": "call",
        "tick": "look",
        "stalled": "stalled",
    },
    CallRateLimiter: {
        "has_token": "has",
        "spend": "spend",
        "next_token_at": "when",
        "stalled": "stalled",
        "clock_stalled": "stood",
        "address_changed": "moved",
        "is_healthy": "sound",
    },
    CallBacklog: {"drop": "drop", "next_at": "when"},
    RetryBudget: {"record_success": "won", "can_retry": "has", "take": "take", "next_retry_at": "when"},
}
MEMBERSHIP = {
    "announce": "announce",
    "leave": "leave",
    "receive": "message",
    "reconfigure": "change",
    "connect_refused": "refused",
    "start": "begin",
    "advance": "actions",
    "next_advance_at": "next",
    "view": "view",
}
AFFINITY = {
    "assign": "assign",
    "connection_opened": "opened",
    "connection_closed": "closed",
    "connect_failed": "failed",
    "observe": "view",
    "resumed": "woke",
    "receive": "message",
    "leave": "leave",
    "advance": "actions",
    "next_advance_at": "next",
}
MIGRATION = {
    "reconfigure": "change",
    "observe": "view",
    "advance": "actions",
    "next_advance_at": "next",
    "encoded_part": "part",
    "recommendations": "shown",
}
CODES: dict[type, str | None] = {
    membership.Probe: "probe",
    membership.Relay: "relay",
    LogEvent: None,
    affinity.SendMessage: "send",
    affinity.Joined: "ready",
    affinity.HandedOver: "handover",
    affinity.LogEvent: None,
    migration.Preferred: "preferred",
    migration.Depreferred: "depreferred",
    migration.Withdrawn: "withdrawn",
}


class Decisions(unittest.TestCase):
    def recorded(self, name: str, play: Any, *watched: tuple[type, dict[str, str]]) -> None:
        recorder = Recorder(CODES)
        managers = [recorder.watching(kind, methods) for kind, methods in watched]
        for manager in managers:
            manager.__enter__()
        try:
            play()
        finally:
            for manager in reversed(managers):
                manager.__exit__(None, None, None)
        compare(self, name, recorder.lines)

    def test_slow_start(self) -> None:
        for play in ("born-at-once", "list-hangs", "store-back", "store-half"):
            with self.subTest(play):
                self.recorded(
                    f"slow_start/{play}", lambda play=play: cold(play, FEW, Process), *SLOW_START.items()
                )

    def test_membership(self) -> None:
        size = Size(seed=7, servers=7, nodes=3, tenants=4, customers=1)
        self.recorded("membership/all", lambda: members("members", size), (membership.Membership, MEMBERSHIP))

    def test_affinity(self) -> None:
        for play in ("tenth-joins", "node-back", "node-leaves", "overlapping"):
            with self.subTest(play):
                self.recorded(
                    f"affinity/{play}",
                    lambda play=play: seats(play, SMALL, coded=True),
                    (affinity.AffinityTable, AFFINITY),
                )

    def test_migration(self) -> None:
        for play in ("moves-heavy", "moves-trouble"):
            with self.subTest(play):
                self.recorded(
                    f"migration/{play}",
                    lambda play=play: moves(play, FEW),
                    (migration.MigrationCoordinator, MIGRATION),
                )


if __name__ == "__main__":
    unittest.main()
