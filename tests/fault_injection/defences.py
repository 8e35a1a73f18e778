"""Each drill can fail: defences of the program, and the drill that fails where one of them is taken out.

    python -m tests.fault_injection.defences [WORDS...]

plays each row (those whose text has one of the words) on a copy of the program with one change, and tells
whether its drill failed. Exit 1 where one did not. CI does not play them; `test_defences.py` holds that each
change still finds its place and each drill is there.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from fakes.processes import ROOT, Change, changed

LIMIT = 120  # seconds that one may take
SEATS, MEMBERS, MOVES = "test_affinity.Seats.", "test_membership.Members.", "test_migration.Moves."
DEATHS, RECOMMENDED = "test_migration_deaths.Deaths.", "test_migration.Recommended."


class Defence(NamedTuple):
    """`what` is the defence, `drill` fails without it, `changes` take it out."""

    what: str
    drill: str
    changes: tuple[Change, ...]


def one(file: str, old: str, new: str) -> tuple[Change, ...]:
    return (Change(f"thymeyoke/{file}", old, new),)


DEFENCES = (
    Defence(
        "a seat follows from the hash, the same at every node",
        SEATS + "test_one_server_through_either_node",
        one(
            "affinity/rendezvous.py",
            "def hash_parameters(name: str) -> tuple[int, int]:\n",
            "def hash_parameters(name: str) -> tuple[int, int]:\n"
            "    name += str(__import__('os').getpid())\n",
        ),
    ),
    Defence(
        "by the name, not by how many there are (modulo n instead)",
        SEATS + "test_an_app_server_dies_and_comes_back",
        one(
            "affinity/rendezvous.py",
            "        return best, self.names[weights.index(best)]\n",
            "        return best, self.names[client % len(self.names)]\n",
        ),
    ),
    Defence(
        "exceptions outlive the last connection by a linger",
        SEATS + "test_an_app_server_joins_and_takes_new_customers_alone",
        one("affinity/controller.py", "BINDING_TTL_TIMEOUTS = 2.0 ", "BINDING_TTL_TIMEOUTS = 0.001 "),
    ),
    Defence(
        "exceptions are told to the other nodes",
        SEATS + "test_an_app_server_joins_and_takes_new_customers_alone",
        one(
            "proxy/process.py",
            'if not self.membership.send(to, "seats", affinity_wire.encode(body))',
            "if to == affinity_wire",
        ),
    ),
    Defence(
        "an app server that was dead ripens: who was placed elsewhere stays there",
        SEATS + "test_an_app_server_dies_and_comes_back",
        one(
            "affinity/controller.py",
            "    def _bind(self, now: float, client: int, server: str) -> None:\n",
            "    def _bind(self, now: float, client: int, server: str) -> None:\n        return\n",
        ),
    ),
    Defence(
        "one that leaves says so, and a connect that failed goes on to the next place",
        SEATS + "test_an_app_server_leaves",
        (
            Change(
                "thymeyoke/membership/load.py",
                "        self.state = max(self.state, State.LEAVING)\n",
                "        pass\n",
            ),
            Change("thymeyoke/proxy/upstream_connector.py", "MAX_ATTEMPTS = 3 ", "MAX_ATTEMPTS = 1 "),
        ),
    ),
    Defence(
        "a node that leaves lets its connections end",
        SEATS + "test_nodes_join_leave_die_and_come_back",
        one(
            "proxy/process.py",
            "now >= self.listener_closes_at and self.has_handed_over and not self.sessions.open_sessions\n",
            "self.is_draining\n",
        ),
    ),
    Defence(
        "exceptions are merged, the larger stamp wins",
        "test_partitions.Cuts.test_two_halves_that_meet_again",
        one("affinity/bindings.py", "    return max(one, other)\n", "    return one\n"),
    ),
    Defence(
        "an answer to a probe may come through others, or the other way",
        MEMBERS + "test_a_link_that_is_open_one_way_kills_nobody",
        (
            Change("thymeyoke/membership/controller.py", "INDIRECT_PROBES = 3 ", "INDIRECT_PROBES = 0 "),
            Change(
                "thymeyoke/membership/controller.py",
                "        if known.received_at > probe.started_at:\n",
                "        if False:\n",
            ),
            Change(
                "thymeyoke/membership/failure_detector.py",
                "SUSPICION_PERIODS = 3.0, 9.0",
                "SUSPICION_PERIODS = 0.0, 0.0",
            ),
        ),
    ),
    Defence(
        "a process that stood still doubts itself first",
        MEMBERS + "test_a_node_that_is_stopped_and_woken_does_no_harm",
        (
            Change("thymeyoke/membership/controller.py", "STALL_PERIODS = 1.0 ", "STALL_PERIODS = 1e9 "),
            Change(
                "thymeyoke/membership/failure_detector.py",
                "SUSPICION_PERIODS = 3.0, 9.0",
                "SUSPICION_PERIODS = 0.0, 0.0",
            ),
        ),
    ),
    Defence(
        "a death is found",
        MEMBERS + "test_a_death_is_found_by_all_and_nobody_else_is_dead",
        one(
            "membership/failure_detector.py",
            "SUSPICION_PERIODS = 3.0, 9.0",
            "SUSPICION_PERIODS = 300.0, 900.0",
        ),
    ),
    Defence(
        "a name belongs to the one that lived longer",
        MEMBERS + "test_a_process_under_anothers_name_takes_nobody",
        one(
            "membership/controller.py",
            "        is_older = uptime > other_uptime if differs else self.own.address < address\n",
            "        is_older = True\n",
        ),
    ),
    Defence(
        "no two clocks are compared: lives are numbers",
        MEMBERS + "test_clocks_that_are_off_by_three_seconds",
        one("membership/controller.py", '        self._record("incarnation_raised")\n', "        return\n"),
    ),
    Defence(
        "a majority of all nodes must agree",
        MOVES + "test_half_of_the_nodes_unseen_and_nothing_begins",
        one("migration/quorum.py", "    return many // 2 + 1\n", "    return 1\n"),
    ),
    Defence(
        "the source waits until the target holds it",
        MOVES + "test_in_full_at_the_target_before_the_source_is_less",
        one(
            "migration/controller.py",
            "    (State.PROPOSED, Event.QUORUM): State.BEGUN,\n",
            "    (State.PROPOSED, Event.QUORUM): State.SETTLING,\n",
        ),
    ),
    Defence(
        "a tenant that comes counts as held once it is announced in full",
        MOVES + "test_in_full_at_the_target_before_the_source_is_less",
        one("proxy/migration_adapter.py", "self.coordinator.holds - self.rising", "self.coordinator.holds"),
    ),
    Defence(
        "a target that is gone undoes the move",
        DEATHS + "test_the_target_fills_or_dies_in_each_state",
        one("migration/controller.py", "    (State.SETTLING, Event.TARGET_LOST): State.UNDONE,\n", ""),
    ),
    Defence(
        "a target that fills from elsewhere undoes the move",
        DEATHS + "test_the_target_fills_or_dies_in_each_state",
        (
            Change(
                "thymeyoke/migration/controller.py",
                "    (State.BEGUN, Event.TARGET_FULL): State.UNDONE,\n",
                "",
            ),
            Change(
                "thymeyoke/migration/controller.py",
                "    (State.SETTLING, Event.TARGET_FULL): State.UNDONE,\n",
                "",
            ),
        ),
    ),
    Defence(
        "what was given to one that died is taken back",
        DEATHS + "test_the_target_fills_or_dies_in_each_state",
        one(
            "migration/controller.py",
            "            if tenant_state.level != Level.WITHDRAWN or not tenant_state.successor:\n",
            "            if True:\n",
        ),
    ),
    Defence(
        "a target takes over from a source that died before it took the tenant",
        DEATHS + "test_the_source_dies_in_each_state_and_comes_back",
        one(
            "migration/controller.py",
            "            gone = not self.holders.get(request.tenant) and",
            "            gone = False and",
        ),
    ),
    Defence(
        "the higher stamp keeps a tenant",
        DEATHS + "test_the_source_dies_in_each_state_and_comes_back",
        one(
            "migration/controller.py",
            "        if not self.terms.moves:\n            return\n        under_way",
            "        return\n        under_way",
        ),
    ),
    Defence(
        "what is not surely there is not known: neither fresh nor empty",
        RECOMMENDED + "test_what_no_move_can_mend",
        (
            Change(
                "thymeyoke/migration/load_ranges.py",
                "    if member.trust != Trust.SURE:\n",
                "    if False:\n",
            ),
            Change(
                "thymeyoke/migration/load_ranges.py",
                "    if not member.weight >= MIN_WEIGHT:",
                "    if not member.weight >= 0:",
            ),
            Change(
                "thymeyoke/migration/load_ranges.py",
                "    weight = min(1.0, member.weight)\n",
                "    weight = 1.0\n",
            ),
        ),
    ),
    Defence(
        "figures that can't be true are not reckoned with",
        RECOMMENDED + "test_what_no_move_can_mend",
        one(
            "migration/load_ranges.py",
            "    return find_implausible_figure(member.snapshot)\n",
            '    return ""\n',
        ),
    ),
    Defence(
        "no target gets more than it has room for",
        RECOMMENDED + "test_what_no_move_can_mend",
        one("migration/planner.py", "bound - node.load.high, node.room\n", "bound - node.load.high, 10**9\n"),
    ),
    Defence(
        "a tenant that no node can hold is said to be one",
        RECOMMENDED + "test_what_no_move_can_mend",
        one(
            "migration/planner.py",
            "    advice = _split_advice(loads, terms, problem.bound)\n",
            "    advice: list[CapacityAdvice] = []\n",
        ),
    ),
    Defence(
        "snapshots that cannot be are dropped",
        "test_bad_input.BadInput.test_noise_takes_no_seat",
        one(
            "membership/controller.py",
            '            return "age is negative or infinite"\n        return find_fault(',
            '            return "age is negative or infinite"\n        return "" and find_fault(',
        ),
    ),
    Defence(
        "a bad file changes nothing",
        "test_bad_input.BadInput.test_a_bad_file_at_sighup_changes_nothing",
        one(
            "proxy/process.py",
            'return logs.log_event(logging.ERROR, "service_config_rejected", error)',
            "raise",
        ),
    ),
    Defence(
        "a node that stood still doubts what it reads first",
        SEATS + "test_a_node_that_wakes_takes_no_old_word_for_a_new_one",
        one("affinity/controller.py", "        if span <= self.margin:\n", "        if span:\n"),
    ),
    Defence(
        "a report is given up, and puts off none",
        "test_slow_start.ColdStart.test_list_that_hangs_says_503_and_refuses",
        one("slow_start/heartbeat.py", "return min(now + self.timeout, self.next_at)", "return now + 1e6"),
    ),
    Defence(
        "a failed report waits for its place",
        "test_slow_start.ColdStart.test_list_that_hangs_says_503_and_refuses",
        one(
            "slow_start/heartbeat.py",
            "        expires_at, answer_time = self.last_answered_at + ENTRY_TTL_SECONDS,",
            "        self.retry_at = now + 0.1\n"
            "        expires_at, answer_time = self.last_answered_at + ENTRY_TTL_SECONDS,",
        ),
    ),
    Defence(
        "the pace is cut, and repeats draw on a budget",
        "test_slow_start.ColdStart.test_list_and_database_back_and_half_a_database",
        (
            Change(
                "thymeyoke/slow_start/rate_limiter.py",
                "        self._cut(now)\n        return True",
                "        return False",
            ),
            Change(
                "thymeyoke/slow_start/retry_budget.py",
                "        return self.available >= 1 or now >= self.probe_at",
                "        return True",
            ),
        ),
    ),
)


async def play(defence: Defence) -> bool:
    """Whether its drill fails without it."""
    async with changed(*defence.changes) as root:
        with anyio.fail_after(LIMIT):
            done = await anyio.run_process(
                [sys.executable, "-m", "unittest", f"tests.fault_injection.{defence.drill}"],
                cwd=ROOT,
                check=False,
                env=os.environ | {"THYMEYOKE_DRILL_ROOT": str(root)},
                stderr=subprocess.STDOUT,
            )
    lines = done.stdout.decode().splitlines()
    told = [line for line in lines if line.startswith(("AssertionError", "TimeoutError"))] or lines
    print(f"    {told[-1][:160]}")
    return done.returncode == 1


def main(words: Sequence[str]) -> int:
    bad = 0
    for defence in DEFENCES:
        if words and not any(word in f"{defence.what} {defence.drill}" for word in words):
            continue
        began = time.monotonic()
        failed = anyio.run(play, defence)
        bad += not failed
        verdict = "fails, as it should" if failed else "PASSES WITHOUT IT"
        print(f"{verdict}: {defence.what}, {defence.drill} ({time.monotonic() - began:.0f} s)", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
