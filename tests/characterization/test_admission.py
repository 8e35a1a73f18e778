"""The admission decisions through the simulator's wire: recorded events in, the recorded actions out."""

from __future__ import annotations

import copy
import io
import os
import unittest
from collections.abc import Callable
from typing import Any

import orjson

from fakes.platform import Platform
from tests.characterization.recording import DATA, compare, read_lines
from thymeyoke.simulator import adapter as simulator

BASE: dict[str, Any] = {
    "request_classes": [
        {
            "name": "look",
            "aim_us": 400_000,
            "deadline_us": 1_500_000,
            "effect": "retryable",
            "worth": 1.0,
            "late_worth": 0.2,
        },
        {
            "name": "buy",
            "aim_us": 800_000,
            "deadline_us": 2_500_000,
            "effect": "dedup",
            "worth": 3.0,
            "late_worth": 0.0,
            "memory_span_us": 4_000_000,
        },
        {
            "name": "post",
            "aim_us": 600_000,
            "deadline_us": 2_000_000,
            "effect": "fragile",
            "worth": 2.0,
            "late_worth": 0.5,
            "aim_stretch": 1.5,
        },
    ],
    "family_info": {
        "cpus": 2,
        "memory_kb": 4000.0,
        "run_factor": 3.0,
        "kb_per_key": 4.0,
        "halt": "freeze",
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "below": "one_for_all",
        "fair_calls": 6.0,
        "calls_over_us": 5_000_000,
        "linger_us": 200_000,
        "class_calls": [True, True, False],
        "worth_without": [0.5, 0.0, 0.0],
        "callers": 6,
        "signal": "floor",
        "heeded_us": 1_000_000,
        "idle_us": 30_000_000,
        "cold": True,
    },
    "contract": {
        "answer_slack_us": 60_000,
        "drain_grace_us": 500_000,
        "fall_multiple": 8.0,
        "fall_us": 1_500_000,
        "cold_share": 0.5,
        "cold_us": 4_000_000,
    },
    "caps": {"retry_after": True, "max_retry_after_us": 1_000_000},
    "clients": {"marks_retry": False},
    "tick_us": 4_000,
}


def variant(**changes: Any) -> dict[str, Any]:
    """The base settings with changes in `family_info`, or of whole sections by their name."""
    settings = copy.deepcopy(BASE)
    for name, value in changes.items():
        if name in ("clients", "caps", "tenants", "tick_us"):
            settings[name] = value
        else:
            settings["family_info"][name] = value
    return settings


def by_turns(platform: Platform) -> None:
    """Calm, a crowd, a slow and a failing dependency, and a drain."""
    platform.run(2)
    platform.rate = 90
    platform.run(3)
    platform.rate, platform.slow = 40, 12.0
    platform.run(3)
    platform.failing = 0.5
    platform.run(2)
    platform.slow, platform.failing, platform.rate = 1.0, 0.0, 15
    platform.run(2)
    platform.leave(0, 1.5)
    platform.run(2)


def short_of_memory(platform: Platform) -> None:
    """Load that fills the memory before it fills the cores, and a notice that comes at once."""
    platform.rate = 160
    platform.run(3)
    platform.leave(1, 0.4)
    platform.run(1)
    platform.rate = 20
    platform.run(2)


TENANTS = [{"name": "north", "share": 0.6, "quota_per_s": 60.0}, {"name": "south", "share": 0.4}]
SCENARIOS: dict[str, tuple[int, dict[str, Any], Callable[[Platform], None]]] = {
    "floor": (1, BASE, by_turns),
    "allowance_tenants": (
        2,
        variant(signal="allowance", tenants=TENANTS, halt="discard", clients={"marks_retry": True}),
        by_turns,
    ),
    "weight_tier": (3, variant(signal="weight", below="tier", fresh_for_us=300_000, cold=False), by_turns),
    "alone": (4, variant(signal="silent", below="silent", halt="silent", class_calls=[False] * 3), by_turns),
    "few_calls": (5, variant(fair_calls=0.6, gauges=["cpu_busy"], cpus=8), by_turns),
    "memory": (6, variant(memory_kb=700.0, caps={}, tick_us=0), short_of_memory),
}


def exchange(sent: list[bytes], received: list[bytes]) -> Callable[[list[list[Any]]], list[list[Any]]]:
    """An exchange with the program's adapter that writes down both sides."""
    adapter = simulator.SimulatorAdapter()

    def speak(lines: list[list[Any]]) -> list[list[Any]]:
        sent.extend(map(orjson.dumps, lines))
        actions = adapter.handle_batch(lines[0][1] * 1e-6, lines[1:-1])
        received.extend(map(orjson.dumps, [*actions, ["Ack", lines[0][2]]]))
        return actions

    return speak


class Admission(unittest.TestCase):
    def test_same_events_same_actions(self) -> None:
        for name, (seed, settings, play) in SCENARIOS.items():
            with self.subTest(name):
                if os.environ.get("THYMEYOKE_RECORD") and not (DATA / f"admission/{name}.events.gz").exists():
                    sent: list[bytes] = []
                    platform = Platform(seed, settings, 2, exchange(sent, []))
                    play(platform)
                    compare(self, f"admission/{name}.events", sent)
                output = io.BytesIO()
                simulator.serve(io.BytesIO(b"\n".join(read_lines(f"admission/{name}.events"))), output)
                compare(self, f"admission/{name}.actions", output.getvalue().splitlines())

    def test_the_platform_plays_the_same_events(self) -> None:
        """The recorded events are those of the platform's seed, answered by the program as it is."""
        seed, settings, play = SCENARIOS["floor"]
        sent: list[bytes] = []
        play(Platform(seed, settings, 2, exchange(sent, [])))
        compare(self, "admission/floor.events", sent)


if __name__ == "__main__":
    unittest.main()
