"""Tests each row of the tables in docs/design.md on an `AdmissionController`.

Numbers in comments follow from the settings in `tests.app_server`: four cores, a latency objective of two
seconds, a timer interval of 0.06 s, 95% of 4,000 kB of memory.
"""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any
from unittest import mock

from tests.app_server import REQUEST_CLASSES, Server, actions, settings
from tests.conformance.tables import Row, played, rows
from thymeyoke.admission import (
    arrivals,
    backpressure,
    concurrency,
    connections,
    controller,
    dependency,
    events,
    memory,
)
from thymeyoke.admission.concurrency import ConcurrencyLimit
from thymeyoke.admission.controller import AdmissionController
from thymeyoke.admission.dependency import STEADY_MEAN_CALLS, DependencyLimiter
from thymeyoke.admission.fair_queue import FairQueue
from thymeyoke.admission.prediction import WaitPredictor
from thymeyoke.admission.reconciler import Reconciler, RejectAdvice
from thymeyoke.admission.request import DesiredState, PendingRequest, RequestState
from thymeyoke.admission.run_times import RunTimeEstimate, RunTimeEstimator

PAGE, SECTIONS = "docs/design.md", ("Rules", "Exceptions as rows")
Act, Outcome, Signal = actions, events.Outcome, settings.SignalKind
READ, KEYED, NOT_IDEMPOTENT, DEGRADABLE = REQUEST_CLASSES


class Play(Server):
    """A controller with run times as the history of its first request class.

    Steps return what they observe or else the play itself, so that a test case is one expression.
    """

    def __init__(self, run_times: Sequence[float] = (), **changed: Any) -> None:
        super().__init__(**changed)
        self.seen: list[Any] = []
        self.history(*run_times)

    def history(self, *spans: float, class_index: int = 0) -> Play:
        for span in spans:
            self.learn_run_time(span, class_index)
        return self

    def advance(self, span: float) -> Play:
        self.now += span
        return self

    def batch(self, *given: dict[str, Any], first: int = 0, apart: float = 0.0) -> Play:
        """Submit these requests in one batch, `apart` seconds after each other."""
        for id, more in enumerate(given, first):
            self.advance(apart).submit(id, **more)
        self.take_actions()
        return self

    def submit_from(self, *clients: int, first: int = 0, **more: Any) -> list[int]:
        """Submit requests of these clients, a millisecond apart, in one batch; returns the started ones."""
        self.batch(*({"client": client, **more} for client in clients), first=first, apart=0.001)
        return sorted(self.ids(Act.Run))

    def rejected_one_by_one(self, count: int, first: int = 0, **more: Any) -> list[int]:
        """Submit requests of one client at one time, each in its own batch; returns the rejected ones."""
        return [id for at in range(count) for id in self.batch(more, first=first + at).ids(Act.Reject)]

    def end_runs(self, *ids: int) -> list[int]:
        """End these runs; returns the requests that are started then."""
        self.finish(*ids)
        self.take_actions()
        return sorted(self.ids(Act.Run))

    def abandon(self, *ids: int) -> Play:
        for id in ids:
            self.controller.client_gone(self.now, id)
        self.take_actions()
        return self

    def announce_shutdown(self, time_left: float) -> Play:
        self.controller.shutdown_announced(self.now, time_left)
        self.take_actions()
        return self

    def wait_for_calls(self, *ids: int) -> Play:
        for id in ids:
            self.controller.waits_for_dependency(self.now, id)
        self.take_actions()
        return self

    def end_call(self, id: int, outcome: Outcome = Outcome.OK, took: float = 0.01) -> Play:
        self.controller.call_ended(self.now, id, outcome, took)
        self.take_actions()
        return self

    def expire_timers(
        self, count: int, busy: float = 1.0, advance: float = 0.06, more: int = 0, connections: int = 0
    ) -> Play:
        """Let timers expire; `more` threads than running requests want a core."""
        self.seen = []
        for _ in range(count):
            self.controller.timer_expired(
                self.advance(advance).now, 0, (busy, self.controller.running.total + more, connections)
            )
            self.seen += self.take_actions()
        return self

    def actions_of(self, *types: type) -> list[Any]:
        """The last actions of these types."""
        return [action for action in self.last_actions if isinstance(action, types)]

    def ids_by_type(self, *types: type) -> list[list[int]]:
        return [self.ids(type) for type in types]

    def timer_actions_of(self, *types: type) -> list[Any]:
        """The actions of these types since the last call of `expire_timers`."""
        return [action for action in self.seen if isinstance(action, types)]

    def answered_ids(self) -> list[int]:
        return sorted(action.id for action in self.timer_actions_of(Act.Reject, Act.Fail))

    def signal_values(self) -> list[float]:
        return [action.value for action in self.timer_actions_of(Act.PublishSignal)]

    def retry_after_values(self) -> list[float]:
        return [round(action.retry_after, 6) for action in self.actions_of(Act.Reject)]

    def call_dependency(self, *types: int, first: int = 0, **more: Any) -> list[int]:
        """Start requests that need a dependency call immediately; returns those whose calls are sent."""
        steps = (
            (id, self.batch({"class_index": type, **more}, first=id)) for id, type in enumerate(types, first)
        )
        return [called for id, _ in steps for called in self.wait_for_calls(id).ids(Act.CallDependency)]

    def complete_run(self, on_core: float, *calls: float, class_index: int = 0, **more: Any) -> Play:
        """Complete a run with this time on the cores and dependency calls of these durations."""
        self.batch({"class_index": class_index, "time_left": 90.0, **more}, first=-9).advance(on_core)
        for span in calls:
            self.wait_for_calls(-9).advance(span).end_call(-9, took=span)
        self.end_runs(-9)
        return self

    def observe_calls(self, *spans: float, calls_per_run: int = 1, class_index: int = 0) -> Play:
        """Complete a run for each duration, with `calls_per_run` dependency calls of it."""
        for span in spans:
            self.complete_run(0.1, *[span] * calls_per_run, class_index=class_index)
        return self

    def observe_slow_calls(self, slow: bool = True, class_index: int = 0) -> Play:
        """Let recent calls take four times their usual time if `slow`, else their usual time."""
        return self.observe_calls(
            *[0.2] * STEADY_MEAN_CALLS, *[0.8 if slow else 0.2] * 20, class_index=class_index
        )

    # Sequences of several steps, for the table below.

    def running_and_started(self) -> set[tuple[int, int]]:
        """Numbers of running requests and of those that a timer starts, while the oldest runs end in turn."""
        running, found = self.submit_from(*range(40)), set()
        for _ in range(20):
            found.add((len(running), len(self.expire_timers(1).timer_actions_of(Act.Run))))
            running = running[1:] + self.end_runs(running[0])
        return found

    def limit_after_backoff(self, count: int) -> int:
        """Running requests after the limit grew to 8.8 and then fell by 0.12 with each of `count` timers."""
        running = self.submit_from(*range(40), time_left=90.0)
        running += [
            action.id
            for action in self.expire_timers(1).expire_timers(10, busy=0.5).timer_actions_of(Act.Run)
        ]
        return len(self.expire_timers(count).end_runs(*running))

    def requests_in_every_state(self, time_left: float = 6.0) -> Play:
        """Requests in every state.

        0 has a call in flight, 1 waits for one, 2 to 5 run, 6 is queued, 7 waits for the result of another.
        """
        self.call_dependency(0, 0, time_left=time_left)
        self.submit_from(*range(2, 7), first=2, time_left=time_left - 0.01)
        return self.batch({"class_index": 1, "original_id": 99, "time_left": time_left - 0.02}, first=7)

    def attempts_of_a_call(self) -> tuple[int, int, list[bool]]:
        """Numbers of calls and of failed requests; whether each backoff is within its bounds."""
        self.call_dependency(1)
        made, failed = [self.now], len(self.end_call(0, Outcome.REJECTED).actions_of(Act.Fail))
        for _ in range(300):
            if self.expire_timers(1, advance=0.01).timer_actions_of(Act.CallDependency):
                made.append(self.now)
                failed += len(self.end_call(0, Outcome.REJECTED).actions_of(Act.Fail))
        gaps = zip(pairwise(made), (0.2, 0.4, 0.8), strict=False)
        return len(made), failed, [most / 2 <= end - start <= most + 0.02 for (start, end), most in gaps]

    def calls_below_one_in_flight(self, share: float) -> tuple[bool, bool, bool]:
        """With calls of 0.5 s: whether at most one is in flight, on average less than `share`, and any."""
        out = {id: self.now for id in self.call_dependency(*[0] * 20, time_left=90.0)}
        span, most = 0.0, len(out)
        for _ in range(600):
            for id, since in list(out.items()):
                if self.now - since >= 0.5:
                    called = self.end_call(id, took=self.now - since).ids(Act.CallDependency)
                    self.finish(id)
                    del out[id]
                    out |= dict.fromkeys(called, self.now)
            out |= dict.fromkeys(self.expire_timers(1, advance=0.05).ids(Act.CallDependency), self.now)
            span, most = span + 0.05 * len(out), max(most, len(out))
        return most <= 1, span / 30 < (share or 0.01), span > 0

    def signal_swing(self, quiet: int, full: int, empty: int, falls: bool, far: Callable[[Any], bool]) -> Any:
        """Signal values before, during and after saturation.

        Returns the value after `quiet` timers; whether values are monotonic and change far enough during
        saturation, with four runs of half a second and ten waiting requests (1.5 s); and the last value after
        the waiting requests are abandoned and the runs stopped without a usable run time.
        """
        line = self.expire_timers(quiet).signal_values()[-1:]
        self.rejected_one_by_one(14)
        line += self.expire_timers(full).signal_values()
        self.abandon(*range(4, 14))
        for id in range(4):
            self.controller.run_ended(self.now, id, Outcome.STOPPED)
        return (
            line[:1],
            line == sorted(line, reverse=falls),
            far(line),
            self.expire_timers(empty).signal_values()[-1:],
        )

    def answered_with_extreme_settings(self, most: int) -> tuple[list[int], bool]:
        """Which requests are answered when due, and whether at most `most` calls were sent."""
        taken: list[Any] = []
        for id in range(30):
            self.submit(id, class_index=id % 4, client=id, time_left=1.0)
        for _ in range(18):
            self.controller.timer_expired(self.advance(0.06).now, 0, (0.5, 1, 0.1, 500))
            taken += self.take_actions() + self.wait_for_calls(*self.ids(Act.Run)).last_actions
        answered = sorted(act.id for act in taken if isinstance(act, Act.Reject | Act.Fail))
        return answered, sum(isinstance(act, Act.CallDependency) for act in taken) <= most

    def started_under_saturation(self, queueing_delay: float, weighted_client: int) -> list[int]:
        """Which requests start: two reads of clients 4 and 5, or two of a higher weight queued behind them.

        The running requests of clients 0 to 3 had this queueing delay.
        """
        self.submit_from(0, 1, 2, 3, class_index=2, time_left=90.0, queueing_delay=queueing_delay)
        self.expire_timers(1).submit_from(4, 5, first=10)
        self.submit_from(weighted_client, weighted_client + 1, first=12, class_index=1)
        return self.end_runs(0, 1)

    def rejected_behind_calls(self, slow: bool, kind: int) -> list[int]:
        """Two calls are in flight and four wait: 2.7 s at 0.8 s for each call, 0.7 s at 0.2 s."""
        return self.observe_slow_calls(slow).rejected_behind_queue(kind)

    def rejected_behind_queue(self, kind: int) -> list[int]:
        self.history(0.1, class_index=kind).call_dependency(*[2] * 6, first=100)
        return self.rejected_one_by_one(1, class_index=kind)

    def rejected_behind_hanging_call(self, others: bool) -> list[int]:
        self.history(0.1, class_index=1).observe_calls(
            *[0.02] * STEADY_MEAN_CALLS, class_index=2
        ).call_dependency(0, first=100)
        for _ in range(40):
            if others:
                self.complete_run(0.01, 0.02, class_index=2)
            self.expire_timers(1)
        return self.rejected_one_by_one(1, class_index=1)

    def terminal_flags(self, *given: dict[str, Any]) -> list[bool]:
        """`is_terminal` of a rejection, after requests of these kinds by turns.

        The rejected request has less time left than a run takes.
        """
        self.submit_from(0, first=98, class_index=2)
        for id in range(100, 200):
            self.batch(given[id % len(given)], first=id).abandon(id)
        return [
            action.is_terminal for action in self.batch({"time_left": 0.2}, first=99).actions_of(Act.Reject)
        ]

    def idle_timeouts(self, *rounds: tuple[int, int]) -> list[tuple[float, bool]]:
        """The last idle timeout in each round of a hundred timers, and whether it changed monotonically.

        `rounds`: threads that want a core, and open connections.
        """
        found = [(30.0, True)]
        for wanting, open_connections in rounds:
            told = [
                action.span
                for action in self.expire_timers(
                    100, 0.5, more=wanting, connections=open_connections
                ).timer_actions_of(Act.SetIdleTimeout)
            ]
            found += [((told or [found[-1][0]])[-1], sorted(told) in (told, told[::-1]))]
        return found[1:]


LONG_OBJECTIVE = READ._replace(latency_objective=60.0, client_timeout=90.0)
SHARED = settings.DependencySettings(settings.DependencyKind.SHARED, 3.0, 5.0, 0.2)


def shared_dependency(share: float, **more: Any) -> dict[str, Any]:
    return {"dependency": SHARED._replace(fair_concurrency=share), **more}


def clients(**changed: Any) -> dict[str, Any]:
    return {"clients": changed}


def request_classes(*types: settings.RequestClass) -> dict[str, Any]:
    return {"request_classes": types}


def gauges(*names: str) -> dict[str, Any]:
    return {"machine": {"gauges": names}}


HALF_SECOND_RUNS = {"run_times": [0.5]}
ONE_SECOND_RUNS = {"run_times": [1.0]}
SMALL_MEMORY = {"machine": {"memory": 100.0}}
REPEAT, SUBJECT, MARKED_RETRY = {"class_index": 1, "original_id": 0}, {"subject": "s"}, {"is_retry": True}
IN_TIME, TOO_LATE = {"time_left": 6.0}, {"time_left": 0.2, "queueing_delay": 1.9}
NOT_RUN_OUTCOMES = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED}
FIRST, FIRST_FOUR = [0], [0, 1, 2, 3]
OVERLOADED_CALL_TIMES = [*[0.02] * STEADY_MEAN_CALLS, *[0.2] * 60]  # seconds
STOP_THEN_FAIL, FAIL_ONLY = [Act.Stop, Act.Fail], [Act.Fail]

# Row id, a play, then tuples of its expected result, settings and arguments. A row may have several entries.
PLAYS: list[tuple[Any, ...]] = [
    (
        "D-1",
        lambda s: Counter(
            max(0, id - 12) // 4 for id in s.submit_from(*[0] * 16, *[1] * 4, *[2] * 4, *[3] * 4)
        ),
        *((dict.fromkeys(range(4), cores // 4), {"machine": {"cores": cores}}) for cores in (4, 8, 16)),
    ),
    ("D-1", Play.submit_from, (FIRST_FOUR, {}, 0, 0, 0, 1, 1), ([0, 1, 5, 6], {}, *[0] * 5, 1, 2)),
    ("D-2", Play.submit_from, (FIRST_FOUR, {}, *[0] * 6)),
    (
        "D-3",
        lambda s: (
            s.submit_from(*[0] * 6),
            s.submit_from(1, first=9),
            s.ids(Act.Stop),
            s.end_runs(0),
            s.end_runs(1),
        ),
        ((FIRST_FOUR, [], [], [9], [4]), {}),
    ),
    (
        "D-4",
        lambda s: sorted(s.batch(*({"client": id, "tenant": id // 4} for id in range(5))).ids(Act.Run)),
        ([0, 1, 2, 4], {"tenants": (settings.TenantSettings(0.5, 10.0),) * 2}),
        (FIRST_FOUR, {"tenants": ()}),
    ),
    (
        "D-5",
        lambda s: (
            s.submit_from(0, 1, 2, 3),
            s.batch({"client": 4, "queueing_delay": 0.1}, {"client": 5, "queueing_delay": 0.5}, first=10).ids(
                Act.Run
            ),
            s.end_runs(0),
            s.end_runs(1),
        ),
        ((FIRST_FOUR, [], [11], [10]), {}),
    ),
    (
        "D-6",
        lambda s: (s.submit_from(0, 0, 1, 1), s.submit_from(1, 0, first=10), s.end_runs(0)),
        ((FIRST_FOUR, [], [10]), {}),
    ),
    ("D-7", Play.running_and_started, ({(4, 0)}, {})),
    # The limit grows by 0.48 at each timer, to 8.8 after ten timers.
    (
        "D-8",
        lambda s, busy, queued: (
            s.submit_from(*range(queued), time_left=90.0),
            s.expire_timers(1)
            .expire_timers(10, busy)
            .submit_from(*range(40 - queued), first=50, time_left=90.0),
            s.controller.running.total,
        )[1:],
        (([], 8), request_classes(LONG_OBJECTIVE), 0.5, 40),
        (([], 4), request_classes(LONG_OBJECTIVE), 0.95, 40),
        (([], 4), request_classes(LONG_OBJECTIVE), 0.5, 4),
    ),
    # The limit falls from 8.8 to 6.4 in twenty timers, to four in forty.
    (
        "D-9",
        Play.limit_after_backoff,
        (6, request_classes(LONG_OBJECTIVE), 20),
        (4, request_classes(LONG_OBJECTIVE), 40),
        (4, request_classes(LONG_OBJECTIVE), 200),
    ),
    # The ceiling is 24 when warm, and 9.2 when cold, after 1.2 s of the 20 s of warming up.
    (
        "D-10",
        lambda s, count: (
            s.submit_from(*range(60), time_left=90.0),
            s.expire_timers(count, busy=0.5).controller.running.total,
        )[1],
        *(
            (run, {"overload": {"starts_cold": cold}, **request_classes(LONG_OBJECTIVE)}, count)
            for cold, count, run in [(False, 100, 24), (True, 20, 9), (True, 400, 24)]
        ),
    ),
    (
        "D-11",
        lambda s: (
            s.submit_from(*range(40), time_left=90.0),
            s.expire_timers(20, busy=0.5).timer_actions_of(Act.Run),
        ),
        ((FIRST_FOUR, []), gauges("busy", "runnable") | request_classes(LONG_OBJECTIVE)),
    ),
    # With three waiting requests (3 + 4 / 2) / 4 + 1 exceeds the objective.
    (
        "D-12",
        lambda s: (s.rejected_one_by_one(10), s.end_runs(*FIRST_FOUR)),
        (([7, 8, 9], [4, 5, 6]), ONE_SECOND_RUNS),
    ),
    ("D-13", Play.rejected_one_by_one, ([], {}, 200)),
    (
        "D-14",
        lambda s: (s.rejected_one_by_one(8), s.rejected_one_by_one(1, first=20, client=1)),
        (([7], []), ONE_SECOND_RUNS),
    ),
    (
        "D-15",
        lambda s: (
            s.submit_from(0, 1, 2, 3),
            s.advance(0.5).rejected_one_by_one(1, first=9),
            s.abandon(9).advance(4.0).rejected_one_by_one(1, first=9),
        ),
        ((FIRST_FOUR, [], [9]), {"run_times": [0.1]}),
    ),
    (
        "D-16",
        lambda s, work_hint: s.complete_run(0.5, work_hint=0.5).rejected_one_by_one(1, work_hint=work_hint),
        ([], request_classes(READ), 0.4),
        (FIRST, request_classes(READ), 3.0),
        ([], request_classes(READ._replace(objective_stretch=2.0)), 3.0),
    ),
    # 0.1 s on a core with a hint of 0.1, and a call of 1 s: 0.5 + 1 meets the objective, 1.5 + 1 does not.
    (
        "D-17",
        lambda s, work_hint: s.complete_run(0.1, 1.0, work_hint=0.1).rejected_one_by_one(
            1, work_hint=work_hint
        ),
        ([], {}, 0.5),
        (FIRST, {}, 1.5),
    ),
    (
        "D-18",
        lambda s, *alike: len(Play(alike).rejected_one_by_one(20)) + 1 < len(s.rejected_one_by_one(20)),
        (True, {"run_times": [0.9, 0.1] * 30}, *[0.5] * 60),
    ),
    ("D-18", Play.rejected_one_by_one, ([], {"run_times": [0.2, 2.8] * 30}, 1)),
    (
        "D-19",
        lambda s: (s.submit_from(*range(5)), s.wait_for_calls(0).ids_by_type(Act.CallDependency, Act.Run)),
        ((FIRST_FOUR, [[0], [4]]), {}),
    ),
    (
        "D-20",
        lambda s: (
            s.submit_from(*range(6)),
            s.wait_for_calls(0).end_call(0).ids(Act.Run),
            s.end_runs(1),
            s.end_runs(2),
        ),
        ((FIRST_FOUR, [], [], [5]), {}),
    ),
    # The last deadline is at 101 s; the sixteenth timer expires at 100.965 s.
    (
        "D-21",
        lambda s: (
            s.requests_in_every_state(1.0).expire_timers(16).answered_ids(),
            [action.id for action in s.timer_actions_of(Act.Reject)],
            s.expire_timers(18).answered_ids(),
        ),
        (([*range(8)], [6], []), shared_dependency(1.2)),
    ),
    (
        "D-22",
        lambda s: (
            s.call_dependency(0, time_left=1.0),
            s.controller.timer_expired(s.advance(0.95).now, 0, ()),
            s.end_call(0, Outcome.ERROR, 0.9).ids_by_type(Act.Fail, Act.ContinueDegraded),
        )[2],
        ([[0], []], request_classes(KEYED._replace(degraded_value_share=0.5))),
    ),
    (
        "D-23",
        lambda s: (
            s.submit_from(*FIRST_FOUR, time_left=0.05),
            s.submit_from(4, first=4),
            s.expire_timers(1).ids_by_type(Act.Fail, Act.Run),
            s.end_runs(0),
        ),
        ((FIRST_FOUR, [], [FIRST_FOUR, []], [4]), {}),
    ),
    (
        "D-24",
        lambda s: (
            s.submit_from(*range(6), time_left=1.0),
            s.abandon(0, 4).last_actions,
            s.end_runs(0),
            s.expire_timers(30).answered_ids(),
        ),
        ((FIRST_FOUR, [], [5], [1, 2, 3, 5]), {}),
    ),
    (
        "D-25",
        lambda s: (
            s.batch({"class_index": 1}).actions_of(Act.RetainKey, Act.Run),
            s.submit_from(1, 2, 3, first=1),
            s.submit_from(4, first=4, class_index=1),
            s.last_actions,
        ),
        (([Act.RetainKey(0, 10.0), Act.Run(0)], [1, 2, 3], [], [Act.RetainKey(4, 10.0)]), {}),
    ),
    (
        "D-26",
        lambda s: (
            # A repeat in the batch of its original, while the original runs, and after it has ended.
            s.batch({"class_index": 1}, REPEAT).ids_by_type(Act.ReuseResult, Act.Run),
            s.batch(REPEAT, first=2).ids_by_type(Act.ReuseResult, Act.Run),
            s.end_runs(0, 1, 2),
            s.batch(REPEAT, first=3).ids_by_type(Act.ReuseResult, Act.Run),
        ),
        (([[1], [0]], [[2], []], [], [[3], []]), {}),
    ),
    (
        "D-27",
        lambda s: (
            s.history(0.5, class_index=1)
            .batch({"class_index": 1, "time_left": 0.4}, REPEAT)
            .ids_by_type(Act.Reject, Act.Run, Act.ReuseResult)
        ),
        ([[0], [1], []], {}),
    ),
    (
        "D-28",
        lambda s, queued, rejected: (
            s.submit_from(*range(4 * queued), class_index=2),
            s.submit_from(9, first=9, class_index=1, time_left=0.5),
            (s.expire_timers(1, advance=0.5) if rejected else s.abandon(9)).ids(Act.ReleaseKey),
        )[-1],
        ([9], {}, True, False),
        ([9], {}, True, True),
        ([], {}, False, False),
    ),
    # Of 95 kB a key takes 5, which leaves too little for a run of 4 times 23.
    (
        "D-29",
        lambda s: (
            s.submit_from(0, class_index=1, size=1.0),
            s.end_runs(0),
            s.submit_from(1, first=1, size=23.0, time_left=90.0),
            s.expire_timers(1, advance=9.0).ids(Act.Run),
            s.expire_timers(1, advance=2.0).ids(Act.Run),
        ),
        (([0], [], [], [], [1]), request_classes(LONG_OBJECTIVE, KEYED) | SMALL_MEMORY),
    ),
    # Seven requests of 10 + 5 kB exceed 95 kB.
    (
        "D-30",
        lambda s: (s.submit_from(*[0] * 7, class_index=1), s.ids(Act.Reject)),
        (([], [6]), SMALL_MEMORY),
    ),
    (
        "D-31",
        lambda s, kind, outcome: (
            s.call_dependency(kind),
            s.end_call(0, outcome).ids(Act.Fail),
            len(s.expire_timers(5).timer_actions_of(Act.CallDependency)),
        )[1:],
        *(
            (([], 1) if kind == 0 or outcome in NOT_RUN_OUTCOMES else ([0], 0), {}, kind, outcome)
            for kind in (0, 1, 2)
            for outcome in (*NOT_RUN_OUTCOMES, Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.TIMEOUT)
        ),
    ),
    ("D-32", Play.attempts_of_a_call, ((4, 1, [True] * 3), {})),
    (
        "D-33",
        lambda s, given: (
            s.batch(given, {**given, "original_id": 0}).actions_of(Act.RetainKey),
            *s.ids_by_type(Act.ReuseResult, Act.Run),
        ),
        (([Act.RetainKey(0, 8.0)], [1], [0]), clients(result_freshness=2.0), SUBJECT),
        *(
            (([], [], [0, 1]), clients(result_freshness=fresh), given)
            for fresh, given in [(2.0, {}), (0.0, SUBJECT), (2.0, {**SUBJECT, "is_write": True})]
        ),
    ),
    (
        "D-34",
        lambda s: (s.submit_from(*range(5)), s.announce_shutdown(5.0).last_actions, s.end_runs(0)),
        ((FIRST_FOUR, [Act.ReportHealth(True, False)], [4]), {}),
    ),
    (
        "D-35",
        lambda s: (
            s.announce_shutdown(5.0).advance(1.9).submit_from(0),
            s.advance(0.4).submit_from(0, first=1, queueing_delay=0.35),
        ),
        (([0], [1]), {}),
    ),
    (
        "D-36",
        lambda s: (s.announce_shutdown(5.0).advance(2.1).submit_from(0), s.ids(Act.Reject)),
        (([], [0]), {}),
    ),
    (
        "D-37",
        lambda s: s.announce_shutdown(5.0).advance(2.1).batch({}).retry_after_values(),
        *(([longest], clients(max_retry_after=longest)) for longest in (1.0, 0.3, 0.0)),
    ),
    # 24 timers take 1.44 s.
    (
        "D-38",
        lambda s: s.requests_in_every_state().announce_shutdown(1.5).expire_timers(24).answered_ids(),
        ([*range(8)], shared_dependency(1.2)),
    ),
    (
        "D-39",
        lambda s, advance: s.announce_shutdown(1.5).advance(advance).rejected_one_by_one(1),
        ([], ONE_SECOND_RUNS, 0.2),
        (FIRST, ONE_SECOND_RUNS, 0.5),
    ),
    (
        "D-40",
        lambda s, time_left: (
            s.announce_shutdown(time_left).batch(REPEAT, first=1).ids_by_type(Act.ReuseResult, Act.Fail)
        ),
        ([[1], []], {}, 5.0),
        ([[], [1]], {}, 0.1),
    ),
    # 3/4 of two requests for each core.
    (
        "D-41",
        lambda s: (
            len(s.submit_from(*range(20)))
            + sum(len(s.wait_for_calls(*s.ids(Act.Run)).ids(Act.Run)) for _ in range(20))
        ),
        (6, {"overload": {"max_concurrency": 2.0}}),
    ),
    # Three requests of 10 kB in 95 kB: each run needs 30 kB more, so only two fit.
    ("D-42", lambda s: (s.submit_from(0, 1, 2), s.end_runs(0)), (([0, 1], [2]), SMALL_MEMORY)),
    # 85% of three calls.
    (
        "D-43",
        lambda s: (
            s.call_dependency(0, 0, 0, 0),
            s.end_call(0, Outcome.TIMEOUT, 1.0).ids(Act.CallDependency),
            s.expire_timers(1, advance=0.3).ids(Act.CallDependency),
        ),
        (([0, 1], [], [2]), shared_dependency(3.0)),
    ),
    (
        "D-44",
        Play.calls_below_one_in_flight,
        *(
            ((True, True, share > 0), shared_dependency(share) | request_classes(LONG_OBJECTIVE), share)
            for share in (0.5, 0.0)
        ),
    ),
    (
        "D-45",
        Play.signal_swing,
        (([0.0], True, True, [0.0]), HALF_SECOND_RUNS, 1, 8, 60, False, lambda line: len(line) > 5),
    ),
    (
        "D-45",
        lambda s: [
            value
            for _ in range(10)
            for value in s.batch({"queueing_delay": 30.0, "time_left": 0.01}).expire_timers(1).signal_values()
        ][-1:],
        ([0.9], HALF_SECOND_RUNS),
    ),
    # 16 requests of half a second fit in four cores and two seconds: half of them for three clients.
    (
        "D-46",
        Play.signal_swing,
        (
            ([2.7], True, True, [2.7]),
            clients(signal=Signal.ALLOWANCE) | HALF_SECOND_RUNS,
            100,
            12,
            200,
            True,
            lambda line: line[-1] < 2.0,
        ),
    ),
    (
        "D-47",
        lambda s, queueing_delay: (
            [s.submit(id, 2, queueing_delay=queueing_delay, time_left=90.0) for id in range(40)],
            s.expire_timers(1).signal_values(),
        )[1],
        *(
            ([weight], clients(signal=Signal.WEIGHT), queueing_delay)
            for queueing_delay, weight in [(0.0, 1.0), (0.9, 1.0), (1.4, 0.8), (9.0, 0.1)]
        ),
    ),
    (
        "D-48",
        lambda s: (
            s.expire_timers(1).signal_values(),
            s.rejected_one_by_one(14),
            s.expire_timers(30).signal_values(),
        )[::2],
        (([], []), clients(signal=Signal.NONE) | HALF_SECOND_RUNS),
    ),
    (
        "D-49",
        lambda s: (
            [s.batch({"queueing_delay": 1.9}, first=id).end_runs(id) for id in range(20)],
            s.expire_timers(3).signal_values()[-1:] > [0.0],
        )[1],
        (True, {}),
    ),
    # Four running and ten waiting requests, 1.5 s: half a second above the saturation threshold.
    (
        "D-50",
        lambda s: (
            s.expire_timers(1).rejected_one_by_one(14),
            s.batch({"time_left": 0.4}, first=99).retry_after_values(),
        )[1],
        *(
            ([wait], clients(max_retry_after=longest) | HALF_SECOND_RUNS)
            for longest, wait in [(1.0, 0.5), (0.2, 0.2), (0.0, 0.0)]
        ),
    ),
    ("D-50", lambda s: s.batch({}).retry_after_values(), ([0.0], {"run_times": [3.0]})),
    (
        "D-51",
        lambda s: (
            s.batch().actions_of(Act.ReportHealth),
            s.history(1.0).rejected_one_by_one(200, queueing_delay=1.0),
            s.expire_timers(30).timer_actions_of(Act.ReportHealth),
        )[::2],
        (([Act.ReportHealth(True, True)], []), {}),
    ),
    ("D-52", lambda s: [s.expire_timers(1).signal_values() for _ in range(4)], ([[0.0], [], [], []], {})),
    (
        "D-53",
        Play.answered_with_extreme_settings,
        *(
            (([*range(30)], True), given, most)
            for most, given in [
                (
                    30,
                    {
                        "machine": {"cores": 1, "gauges": ("busy", "runnable", "memory", "connections")},
                        **clients(client_count=0),
                    },
                ),
                (30, clients(client_count=900, idle_timeout=0.0)),
                (30, clients(client_count=900, signal=Signal.ALLOWANCE)),
                (30, clients(client_count=0, signal=Signal.WEIGHT)),
                (1, shared_dependency(0.05)),
                (0, shared_dependency(0.0)),
                (0, {"dependency": SHARED._replace(fair_concurrency=0.0, averaging_span=0.0)}),
            ]
        ),
    ),
    # As in `rejected_behind_calls`, but without history of class 1: four requests run and two are queued.
    (
        "D-54",
        lambda s: (
            s.observe_slow_calls().call_dependency(*[2] * 6, first=100),
            s.rejected_one_by_one(6, class_index=1),
            s.expire_timers(1).ids(Act.Reject),
        ),
        (([100, 101], [], []), shared_dependency(3.0)),
    ),
    (
        "X-1",
        lambda s, time_left: s.rejected_one_by_one(1, time_left=time_left),
        (FIRST, HALF_SECOND_RUNS, 0.4),
        ([], HALF_SECOND_RUNS, 0.6),
    ),
    (
        "X-2",
        Play.started_under_saturation,
        ([12, 13], request_classes(READ, NOT_IDEMPOTENT, LONG_OBJECTIVE), 10.0, 6),
    ),
    (
        "X-3",
        Play.started_under_saturation,
        ([10, 11], request_classes(READ, NOT_IDEMPOTENT, LONG_OBJECTIVE), 0.0, 6),
    ),
    (
        "X-4",
        Play.started_under_saturation,
        ([10, 11], request_classes(READ, NOT_IDEMPOTENT, LONG_OBJECTIVE), 10.0, 2),
    ),
    # A line of class 0 at half a second each. With eleven waiting requests (11 / 2 + 1) / 4 exceeds the 1.5 s
    # that class 1 can wait.
    *(
        (
            id,
            lambda s, took: (
                s.history(0.5).history(took, class_index=1).expire_timers(1).rejected_one_by_one(17)
            ),
            (
                rejected,
                request_classes(
                    READ._replace(latency_objective=5.0), READ._replace(priority_weight=priority_weight)
                ),
                took,
            ),
        )
        for id, priority_weight, took, rejected in [
            ("X-5", 1.0, 0.5, [15, 16]),
            ("X-6", 2.0, 0.5, []),
            ("X-6", 0.5, 0.5, []),
            ("X-6", 1.0, 2.5, []),
        ]
    ),
    (
        "X-7",
        lambda s: (
            s.submit_from(*range(5)),
            s.expire_timers(1, advance=1.9).ids(Act.Reject),
            s.expire_timers(1, advance=0.15).ids(Act.Reject),
            s.end_runs(*FIRST_FOUR),
        ),
        ((FIRST_FOUR, [], [4], []), {}),
    ),
    (
        "X-8",
        lambda s: (
            s.submit_from(*range(5)),
            s.expire_timers(1, advance=0.9).ids(Act.Reject),
            s.expire_timers(1, advance=0.2).ids(Act.Reject),
        ),
        ((FIRST_FOUR, [], [4]), ONE_SECOND_RUNS),
    ),
    *(
        (
            id,
            lambda s, kind: (
                s.submit_from(0, class_index=kind, time_left=0.05),
                [type(action) for action in s.expire_timers(1).timer_actions_of(Act.Stop, Act.Fail)],
            )[1],
            (expected_types, {"machine": {"stop_effect": stop_effect}}, kind),
        )
        for id, expected_types, kind, stop_effect in [
            ("X-9", STOP_THEN_FAIL, 0, settings.StopEffect.PAUSE),
            ("X-9", STOP_THEN_FAIL, 0, settings.StopEffect.DISCARD),
            ("X-11", FAIL_ONLY, 1, settings.StopEffect.PAUSE),
            ("X-11", FAIL_ONLY, 2, settings.StopEffect.PAUSE),
            ("X-11", FAIL_ONLY, 0, settings.StopEffect.NONE),
        ]
    ),
    (
        "X-10",
        lambda s: (s.submit_from(0), s.abandon(0).ids_by_type(Act.Stop, Act.Fail)),
        (([0], [[0], []]), {"machine": {"stop_effect": settings.StopEffect.PAUSE}}),
    ),
    *(
        (
            id,
            lambda s, queued: (
                s.call_dependency(0, 0),
                s.submit_from(*range(4 + queued), first=10, class_index=1, time_left=90.0),
                s.expire_timers(1, advance=2.05).ids(Act.Fail),
            )[2],
            (
                failed,
                shared_dependency(1.2)
                | request_classes(READ._replace(late_value_share=late), LONG_OBJECTIVE),
                queued,
            ),
        )
        for id, late, queued, failed in [("X-12", 0.0, 1, [1]), ("X-13", 0.5, 1, []), ("X-13", 0.0, 0, [])]
    ),
    # Dependency calls take 0.8 s.
    *(
        (
            id,
            lambda s, time_left: (
                s.observe_slow_calls(class_index=1).call_dependency(0, time_left=time_left),
                [type(action) for action in s.last_actions],
            )[1],
            (
                [expected_type],
                shared_dependency(3.0) | request_classes(DEGRADABLE._replace(late_value_share=late), KEYED),
                left,
            ),
        )
        for id, late, left, expected_type in [
            ("X-14", 0.0, 0.5, Act.ContinueDegraded),
            ("X-15", 0.0, 6.0, Act.CallDependency),
            ("X-15", 0.5, 0.5, Act.CallDependency),
        ]
    ),
    (
        "X-16",
        Play.rejected_behind_calls,
        (FIRST, shared_dependency(3.0), True, 1),
        ([], shared_dependency(3.0), False, 1),
    ),
    ("X-17", Play.rejected_behind_calls, ([], shared_dependency(3.0), True, 3)),
    (
        "X-18",
        lambda s, calls_per_run: (
            s.observe_calls(*[0.2] * STEADY_MEAN_CALLS, class_index=1, calls_per_run=calls_per_run)
            .observe_calls(*[0.8] * 20)
            .rejected_one_by_one(1, class_index=1)
        ),
        ([], shared_dependency(3.0), 1),
        (FIRST, shared_dependency(3.0), 3),
    ),
    # The run time of three seconds shrinks by a twentieth with each rejection: below two after eight.
    ("X-19", Play.rejected_one_by_one, ([*range(8)], {"run_times": [3.0]}, 9)),
    (
        "X-20",
        lambda s: (s.submit_from(0, class_index=2, time_left=90.0), s.rejected_one_by_one(40, first=1)),
        (([0], [*range(1, 41)]), {"run_times": [3.0]}),
    ),
    *(
        (
            id,
            lambda s, *spans: len(s.observe_calls(*spans).call_dependency(*[2] * 10, first=100)),
            (out, shared_dependency(10.0), *OVERLOADED_CALL_TIMES, *[0.02] * quick),
        )
        for id, quick, out in [("X-21", 0, 1), ("X-22", 120, 8)]
    ),
    ("X-23", Play.rejected_behind_hanging_call, (FIRST, shared_dependency(3.0), False)),
    ("X-24", Play.rejected_behind_hanging_call, ([], shared_dependency(3.0), True)),
    *(
        (
            id,
            lambda s, kind: (
                s.history(0.4, class_index=kind).call_dependency(kind),
                round(s.last_actions[-1].deadline - s.now, 6),
            )[1],
            (until, {}, kind),
        )
        for id, kind, until in [("X-25", 3, 1.8), ("X-26", 0, 5.94)]
    ),
    # A read and a request of a higher weight wait in this order behind a call in flight.
    *(
        (
            id,
            lambda s, slow: (
                s.observe_slow_calls(slow, class_index=1).call_dependency(2, 0, 2),
                s.end_call(0, took=0.8 if slow else 0.2).ids(Act.CallDependency),
            )[1],
            (
                [called],
                shared_dependency(1.2)
                | request_classes(
                    LONG_OBJECTIVE,
                    KEYED,
                    NOT_IDEMPOTENT._replace(latency_objective=60.0, client_timeout=90.0),
                ),
                slow,
            ),
        )
        for id, slow, called in [("X-27", True, 2), ("X-28", False, 1)]
    ),
    *(
        (id, Play.terminal_flags, ([is_terminal], clients(marks_retries=marks) | HALF_SECOND_RUNS, *given))
        for id, is_terminal, marks, *given in [
            ("X-29", False, True, {}, {}, {}, MARKED_RETRY),
            ("X-29", True, True, {}, MARKED_RETRY),
            ("X-30", False, False, IN_TIME, IN_TIME, IN_TIME, TOO_LATE),
            ("X-30", True, False, IN_TIME, TOO_LATE),
            ("X-31", False, False, {"time_left": 0.2}),
        ]
    ),
    *(
        (
            id,
            Play.idle_timeouts,
            ([(span, True) for span in told], gauges("busy", "runnable", "connections"), *rounds),
        )
        for id, told, *rounds in [
            ("X-32", [1.5], (0, 200)),
            ("X-33", [30.0], (0, 48)),
            ("X-34", [1.5, 30.0], (0, 200), (60, 200)),
        ]
    ),
    (
        "X-35",
        lambda s, more: (
            s.submit_from(*range(20), queueing_delay=1.9),
            s.expire_timers(4, advance=0.01, more=more).signal_values()[-1:] > [0.0],
        )[1],
        (False, gauges("busy", "runnable"), 0),
        (True, gauges("busy", "runnable"), 3),
    ),
    # Eleven requests of 10 kB exceed 95 kB.
    (
        "X-36",
        lambda s: s.batch(*({"class_index": kind} for kind in [0, 0] + [2] * 9), apart=0.001).ids_by_type(
            Act.Reject, Act.Run
        ),
        ([[1, 0], []], SMALL_MEMORY),
    ),
    # Different call times so far: as in X-16, then as in X-21.
    (
        "X-37",
        lambda s, *spans: s.observe_calls(*spans).rejected_behind_queue(1),
        ([], shared_dependency(3.0), 0.08, *[0.8] * 40),
        ([], shared_dependency(3.0), 0.2, *[0.8] * (STEADY_MEAN_CALLS // 2 - 2)),
        (FIRST, shared_dependency(3.0), *[0.08] * STEADY_MEAN_CALLS, *[0.8] * 40),
    ),
    (
        "X-37",
        lambda s, *spans: len(s.observe_calls(*spans).call_dependency(*[2] * 10, first=100)),
        (8, shared_dependency(10.0), 0.02, *[0.2] * 60),
    ),
]


def case_of(id: str) -> Callable[[unittest.TestCase], None]:
    def case(test: unittest.TestCase) -> None:
        for name, play, *expectations in PLAYS:
            for expected, given, *arguments in expectations if name == id else ():
                test.assertEqual(play(Play(**given), *arguments), expected, (given, arguments))

    return case


CASES = {id: case_of(id) for id, *_ in PLAYS}


def table(*only: str) -> list[Row]:
    """All rows, or only those with one of these values in the column `outside`."""
    return [row for name in SECTIONS for row in rows(PAGE, name) if not only or row["outside"] in only]


class Design(unittest.TestCase):
    def test_every_row(self) -> None:
        played(self, table(), "id", {id: lambda test, row: CASES[row["id"]](test) for id in CASES})

    def test_every_exception_has_its_rows(self) -> None:
        named = [id for row in rows(PAGE, "Exceptions, and when each acts") for id in row["rows"].split(", ")]
        self.assertEqual(named, [row["id"] for row in rows(PAGE, SECTIONS[1])])


# Mutation tests: with a rule disabled, the case of its row must fail.
SUBMIT = AdmissionController.submit
WAIT = WaitPredictor.wait
ESTIMATE = RunTimeEstimator.estimate
NEXT = FairQueue.next
ADAPT = ConcurrencyLimit.adapt


def do_nothing(*_: Any) -> None:
    """Replaces a method by one without effect."""


def submitted_as(**changed: Any) -> Callable[[AdmissionController, float, events.Request], None]:
    return lambda self, now, request: SUBMIT(self, now, request._replace(**changed))


def by_client(self: AdmissionController, now: float, request: events.Request) -> None:
    SUBMIT(self, now, request._replace(tenant=request.client))


def without_lending(
    self: FairQueue[PendingRequest], running: dict[int, int], quota: float
) -> PendingRequest | None:
    pending = NEXT(self, running, quota)
    return pending if pending and running.get(pending.fairness_key, 0) + 1 <= quota else None


def youngest_first(self: FairQueue[PendingRequest], *_: Any) -> PendingRequest | None:
    return max((line[-1] for line in self.lines.values()), key=lambda one: one.arrived_at, default=None)


def any_desired(self: Reconciler, pending: PendingRequest, desired: DesiredState) -> None:
    pending.desired = desired
    self.changed.append(pending)


def freed_when_answered(self: Reconciler, now: float, pending: PendingRequest) -> None:
    pending.is_answered = True
    self.transition(now, pending, RequestState.DONE)


def ages_without_returns(self: DependencyLimiter, now: float, ages: list[float]) -> None:
    for age in ages:
        self.times.recent += 0.2 * (age - self.times.recent)


CONSTANT_MUTANTS = (
    ("D-1", concurrency, "QUOTA_SHARE", 1.0),
    ("D-3", concurrency, "QUOTA_SHARE", 1.0),
    ("D-7", concurrency, "BACKOFF_PER_CORE_SECOND", -9.0),
    ("D-8", concurrency, "GROWTH_PER_CORE_SECOND", 0.0),
    ("D-8", concurrency, "IDLE_BUSY_SHARE", 1.0),
    ("D-9", concurrency, "BACKOFF_PER_CORE_SECOND", 0.0),
    ("D-10", concurrency, "SAFE_OVERLOAD_SHARE", 9.0),
    ("D-32", controller, "MAX_CALL_ATTEMPTS", 9),
    ("D-32", controller, "CALL_BACKOFF_SHARE", 0.0),
    ("D-41", concurrency, "SAFE_OVERLOAD_SHARE", 9.0),
    ("D-42", memory, "USABLE_MEMORY_SHARE", 9.0),
    ("D-43", dependency, "USABLE_CONCURRENCY_SHARE", 9.0),
    ("D-44", dependency, "USABLE_CONCURRENCY_SHARE", 9.0),
    ("D-45", backpressure, "FLOOR_GAIN_PER_SECOND", 0.0),
    ("D-45", backpressure, "FLOOR_MAX", 2.0),
    ("D-46", backpressure, "ALLOWANCE_GAIN_PER_SECOND", 0.0),
    ("X-2", controller, "SATURATED_WAIT_SHARE", 99.0),
    ("X-3", controller, "SATURATED_WAIT_SHARE", -1.0),
    ("X-16", dependency, "SLOW_FACTOR", 99.0),
    ("X-21", dependency, "OVERLOADED_FACTOR", 99.0),
    ("X-27", dependency, "SLOW_FACTOR", 99.0),
    ("X-28", dependency, "SLOW_FACTOR", 0.5),
    ("X-29", arrivals, "RETRY_STORM_SHARE", 0.9),
    ("X-29", arrivals, "RETRY_STORM_SHARE", 0.1),
    ("X-32", connections, "PERSISTENT_CONNECTIONS_PER_CORE", 99),
    ("X-36", memory, "USABLE_MEMORY_SHARE", 9.0),
    ("X-37", dependency, "STEADY_MEAN_CALLS", 1),
)
NO_ESTIMATE = RunTimeEstimate()
MUTANTS: list[tuple[str, object, str, Any]] = [
    *CONSTANT_MUTANTS,
    ("D-2", FairQueue, "next", without_lending),
    ("D-4", AdmissionController, "submit", by_client),
    ("D-5", FairQueue, "next", youngest_first),
    ("D-6", FairQueue, "next", youngest_first),
    ("D-11", ConcurrencyLimit, "adapt", lambda self, now, busy, _, *more: ADAPT(self, now, busy, 0.0, *more)),
    ("D-12", WaitPredictor, "misses_objective", lambda *_: False),
    ("D-13", RunTimeEstimator, "estimate", lambda *_: RunTimeEstimate(1.0)),
    ("D-14", WaitPredictor, "wait", lambda self, now, running, *_: WAIT(self, now, running)),
    (
        "D-16",
        RunTimeEstimator,
        "estimate",
        lambda self, request: ESTIMATE(self, request._replace(work_hint=0.0)),
    ),
    (
        "D-18",
        RunTimeEstimator,
        "estimate",
        lambda self, request: RunTimeEstimate(*ESTIMATE(self, request)[:2]),
    ),
    ("D-19", AdmissionController, "waits_for_dependency", do_nothing),
    ("D-21", AdmissionController, "_give_up", do_nothing),
    ("D-22", Reconciler, "set_desired", any_desired),
    ("D-23", Reconciler, "answered", freed_when_answered),
    ("D-24", AdmissionController, "client_gone", do_nothing),
    ("D-26", AdmissionController, "submit", submitted_as(original_id=None)),
    ("D-31", controller, "PROVES_NOT_RUN", frozenset(Outcome)),
    ("D-31", controller, "PROVES_NOT_RUN", frozenset()),
    ("D-34", AdmissionController, "shutdown_announced", do_nothing),
    ("D-35", AdmissionController, "submit", submitted_as(queueing_delay=0.0)),
    ("D-36", AdmissionController, "submit", submitted_as(queueing_delay=1.0)),
    ("D-37", AdmissionController, "_reject_advice", lambda *_: RejectAdvice(False, 0.1)),
    ("D-38", AdmissionController, "shutdown_announced", do_nothing),
    ("D-39", RunTimeEstimator, "estimate", lambda *_: NO_ESTIMATE),
    ("D-50", AdmissionController, "_reject_advice", lambda *_: RejectAdvice(False, 0.0)),
    ("X-1", AdmissionController, "submit", submitted_as(time_left=6.0)),
    ("X-7", WaitPredictor, "is_stale", lambda *_: False),
    ("X-8", WaitPredictor, "is_stale", lambda _, now, pending: now > pending.objective_at),
    ("X-9", Reconciler, "can_stop", lambda *_: False),
    ("X-11", Reconciler, "can_stop", lambda *_: True),
    ("X-19", RunTimeEstimator, "decay", do_nothing),
    ("X-23", DependencyLimiter, "watch", do_nothing),
    ("X-24", DependencyLimiter, "watch", ages_without_returns),
]


class Mutants(unittest.TestCase):
    def test_each_can_fail(self) -> None:
        for id, where, name, mutant in MUTANTS:
            with self.subTest(row=id, out=name), mock.patch.object(where, name, mutant):
                self.assertRaises(AssertionError, CASES[id], self)


if __name__ == "__main__":
    unittest.main()
