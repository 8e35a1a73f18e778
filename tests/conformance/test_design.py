"""Every row of docs/design.md, played on `Choice`. Figures in comments follow from those in
`tests.app_server`: four cores, a target of two seconds, a beat of 0.06 s, 95% of 4,000 kB."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any
from unittest import mock

from tests.app_server import KINDS, Server, actions, settings
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
from thymeyoke.admission.dependency import STEADY_CALLS, DependencyLimiter
from thymeyoke.admission.fair_queue import FairQueue
from thymeyoke.admission.prediction import WaitPredictor
from thymeyoke.admission.reconciler import Reconciler, RejectAdvice
from thymeyoke.admission.request import DesiredState, PendingRequest, RequestState
from thymeyoke.admission.run_times import RunTimeEstimate, RunTimeEstimator

PAGE, SECTIONS = "docs/design.md", ("Rules", "Exceptions as rows")
Act, Outcome, Signal = actions, events.Outcome, settings.SignalKind
READ, KEYED, ONCE, POORER = KINDS


class Play(Server):
    """A server with `ran` as the history of its first op type. Its steps say what was seen or, where nothing
    is asked of them, return the play: so a play is one expression."""

    def __init__(self, ran: Sequence[float] = (), **changed: Any) -> None:
        super().__init__(**changed)
        self.seen: list[Any] = []
        self.history(*ran)

    def history(self, *spans: float, class_index: int = 0) -> Play:
        for span in spans:
            self.learned(span, class_index)
        return self

    def later(self, span: float) -> Play:
        self.now += span
        return self

    def batch(self, *given: dict[str, Any], first: int = 0, apart: float = 0.0) -> Play:
        """These ops, so far apart, in one batch."""
        for id, more in enumerate(given, first):
            self.later(apart).op(id, **more)
        self.settle()
        return self

    def ops(self, *callers: int, first: int = 0, **more: Any) -> list[int]:
        """Ops of these callers, a millisecond apart, in one batch. Which ops are started."""
        self.batch(*({"client": client, **more} for client in callers), first=first, apart=0.001)
        return sorted(self.ids(Act.Run))

    def one_by_one(self, many: int, first: int = 0, **more: Any) -> list[int]:
        """Ops of one caller at one moment, each in a batch of its own. Which are nacked."""
        return [id for at in range(many) for id in self.batch(more, first=first + at).ids(Act.Reject)]

    def ends(self, *ids: int) -> list[int]:
        """Which ops are started when these have ended."""
        self.end(*ids)
        self.settle()
        return sorted(self.ids(Act.Run))

    def gone(self, *ids: int) -> Play:
        for id in ids:
            self.controller.client_gone(self.now, id)
        self.settle()
        return self

    def leave(self, time_left: float) -> Play:
        self.controller.shutdown_announced(self.now, time_left)
        self.settle()
        return self

    def blocked(self, *ids: int) -> Play:
        for id in ids:
            self.controller.waits_for_dependency(self.now, id)
        self.settle()
        return self

    def back(self, id: int, outcome: Outcome = Outcome.OK, took: float = 0.01) -> Play:
        self.controller.call_ended(self.now, id, outcome, took)
        self.settle()
        return self

    def beats(self, many: int, busy: float = 1.0, later: float = 0.06, more: int = 0, links: int = 0) -> Play:
        """Beats; `more` want a core than run."""
        self.seen = []
        for _ in range(many):
            self.controller.timer_expired(
                self.later(later).now, 0, (busy, self.controller.running.total + more, links)
            )
            self.seen += self.settle()
        return self

    def acts(self, *types: type) -> list[Any]:
        """What the last settle did of these types."""
        return [did for did in self.did if isinstance(did, types)]

    def each(self, *types: type) -> list[list[int]]:
        return [self.ids(type) for type in types]

    def saw(self, *types: type) -> list[Any]:
        """What the last `beats` did of these types."""
        return [did for did in self.seen if isinstance(did, types)]

    def answered(self) -> list[int]:
        return sorted(did.id for did in self.saw(Act.Reject, Act.Fail))

    def values(self) -> list[float]:
        return [did.value for did in self.saw(Act.PublishSignal)]

    def waits(self) -> list[float]:
        return [round(did.retry_after, 6) for did in self.acts(Act.Reject)]

    def at_calls(self, *types: int, first: int = 0, **more: Any) -> list[int]:
        """Ops that are started one after another and stand at their calls at once. Whose calls go out."""
        steps = (
            (id, self.batch({"class_index": type, **more}, first=id)) for id, type in enumerate(types, first)
        )
        return [called for id, _ in steps for called in self.blocked(id).ids(Act.CallDependency)]

    def ran(self, on: float, *calls: float, class_index: int = 0, **more: Any) -> Play:
        """A run of so long on the cores, with calls of these spans."""
        self.batch({"class_index": class_index, "time_left": 90.0, **more}, first=-9).later(on)
        for span in calls:
            self.blocked(-9).later(span).back(-9, took=span)
        self.ends(-9)
        return self

    def calls_take(self, *spans: float, legs: int = 1, class_index: int = 0) -> Play:
        """A run for each span, with so many calls of it."""
        for span in spans:
            self.ran(0.1, *[span] * legs, class_index=class_index)
        return self

    def slow(self, slow: bool = True, class_index: int = 0) -> Play:
        """Recent calls took four times as long as they usually do, or as long as usual."""
        return self.calls_take(*[0.2] * STEADY_CALLS, *[0.8 if slow else 0.2] * 20, class_index=class_index)

    # Plays of several steps, for the rows below.

    def all_cores(self) -> set[tuple[int, int]]:
        """How many run, and how many a beat starts, while the oldest end in turn."""
        running, found = self.ops(*range(40)), set()
        for _ in range(20):
            found.add((len(running), len(self.beats(1).saw(Act.Run))))
            running = running[1:] + self.ends(running[0])
        return found

    def falls_back(self, many: int) -> int:
        """The limit grows to 8.8 first; it falls by 0.12 a beat."""
        running = self.ops(*range(40), time_left=90.0)
        running += [did.id for did in self.beats(1).beats(10, busy=0.5).saw(Act.Run)]
        return len(self.beats(many).ends(*running))

    def everywhere(self, time_left: float = 6.0) -> Play:
        """Zero's call is out, one waits to call, two to five run, six is held, seven waits for its first."""
        self.at_calls(0, 0, time_left=time_left)
        self.ops(*range(2, 7), first=2, time_left=time_left - 0.01)
        return self.batch({"class_index": 1, "original_id": 99, "time_left": time_left - 0.02}, first=7)

    def tries(self) -> tuple[int, int, list[bool]]:
        """Calls made, ops failed, whether each wait between calls is within its bounds."""
        self.at_calls(1)
        made, failed = [self.now], len(self.back(0, Outcome.REJECTED).acts(Act.Fail))
        for _ in range(300):
            if self.beats(1, later=0.01).saw(Act.CallDependency):
                made.append(self.now)
                failed += len(self.back(0, Outcome.REJECTED).acts(Act.Fail))
        gaps = zip(pairwise(made), (0.2, 0.4, 0.8), strict=False)
        return len(made), failed, [most / 2 <= end - start <= most + 0.02 for (start, end), most in gaps]

    def part_of_a_call(self, part: float) -> tuple[bool, bool, bool]:
        """Whether of calls that take half a second one is out at most, on average less than the part, any."""
        out = {id: self.now for id in self.at_calls(*[0] * 20, time_left=90.0)}
        span, most = 0.0, len(out)
        for _ in range(600):
            for id, since in list(out.items()):
                if self.now - since >= 0.5:
                    called = self.back(id, took=self.now - since).ids(Act.CallDependency)
                    self.end(id)
                    del out[id]
                    out |= dict.fromkeys(called, self.now)
            out |= dict.fromkeys(self.beats(1, later=0.05).ids(Act.CallDependency), self.now)
            span, most = span + 0.05 * len(out), max(most, len(out))
        return most <= 1, span / 30 < (part or 0.01), span > 0

    def swings(self, quiet: int, full: int, empty: int, falls: bool, far: Callable[[Any], bool]) -> Any:
        """Values after quiet beats; whether they then go one way, and far, with four runs of half a second on
        the cores and ten that wait, 1.5 s; the last one after who waits went and runs taught nothing."""
        line = self.beats(quiet).values()[-1:]
        self.one_by_one(14)
        line += self.beats(full).values()
        self.gone(*range(4, 14))
        for id in range(4):
            self.controller.run_ended(self.now, id, Outcome.STOPPED)
        return line[:1], line == sorted(line, reverse=falls), far(line), self.beats(empty).values()[-1:]

    def extreme(self, most: int) -> tuple[list[int], bool]:
        """Which ops are answered when due, and whether no more calls than that went out."""
        did: list[Any] = []
        for id in range(30):
            self.op(id, class_index=id % 4, client=id, time_left=1.0)
        for _ in range(18):
            self.controller.timer_expired(self.later(0.06).now, 0, (0.5, 1, 0.1, 500))
            did += self.settle() + self.blocked(*self.ids(Act.Run)).did
        answered = sorted(act.id for act in did if isinstance(act, Act.Reject | Act.Fail))
        return answered, sum(isinstance(act, Act.CallDependency) for act in did) <= most

    def under(self, queueing_delay: float, important: int) -> list[int]:
        """Which start, of two reads of callers 4 and 5 and two ops that matter more, held behind them; on
        the cores are ops of callers 0 to 3 that were read so late."""
        self.ops(0, 1, 2, 3, class_index=2, time_left=90.0, queueing_delay=queueing_delay)
        self.beats(1).ops(4, 5, first=10)
        self.ops(important, important + 1, first=12, class_index=1)
        return self.ends(0, 1)

    def behind_calls(self, slow: bool, kind: int) -> list[int]:
        """Two calls are out and four wait: at 0.8 s each that is 2.7 s, at 0.2 s 0.7."""
        return self.slow(slow).behind_queue(kind)

    def behind_queue(self, kind: int) -> list[int]:
        self.history(0.1, class_index=kind).at_calls(*[2] * 6, first=100)
        return self.one_by_one(1, class_index=kind)

    def hanging(self, others: bool) -> list[int]:
        self.history(0.1, class_index=1).calls_take(*[0.02] * STEADY_CALLS, class_index=2).at_calls(
            0, first=100
        )
        for _ in range(40):
            if others:
                self.ran(0.01, 0.02, class_index=2)
            self.beats(1)
        return self.one_by_one(1, class_index=1)

    def nowhere_else(self, *given: dict[str, Any]) -> list[bool]:
        """What the nack says, after ops of these kinds by turns, of an op with less left than a run takes."""
        self.ops(0, first=98, class_index=2)
        for id in range(100, 200):
            self.batch(given[id % len(given)], first=id).gone(id)
        return [did.is_terminal for did in self.batch({"time_left": 0.2}, first=99).acts(Act.Reject)]

    def spans(self, *rounds: tuple[int, int]) -> list[tuple[float, bool]]:
        """The span told last in each hundred beats with so many that want a core, and links; whether it went
        one way only."""
        found = [(30.0, True)]
        for wanting, links in rounds:
            told = [
                did.span for did in self.beats(100, 0.5, more=wanting, links=links).saw(Act.SetIdleTimeout)
            ]
            found += [((told or [found[-1][0]])[-1], sorted(told) in (told, told[::-1]))]
        return found[1:]


LONG = READ._replace(latency_objective=60.0, client_timeout=90.0)
SHARED = settings.DependencySettings(settings.DependencyKind.SHARED, 3.0, 5.0, 0.2)


def below(part: float, **more: Any) -> dict[str, Any]:
    return {"dependency": SHARED._replace(fair_concurrency=part), **more}


def clients(**changed: Any) -> dict[str, Any]:
    return {"clients": changed}


def kinds(*types: settings.RequestClass) -> dict[str, Any]:
    return {"request_classes": types}


def gauges(*names: str) -> dict[str, Any]:
    return {"machine": {"gauges": names}}


HALF, SECOND, SMALL = {"ran": [0.5]}, {"ran": [1.0]}, {"machine": {"memory": 100.0}}
REPEAT, SUBJECT, FURTHER = {"class_index": 1, "original_id": 0}, {"subject": "s"}, {"is_retry": True}
FITS, MISSES = {"time_left": 6.0}, {"time_left": 0.2, "queueing_delay": 1.9}
PROOF = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED}
R1, R4 = [0], [0, 1, 2, 3]
CROWDED = [*[0.02] * STEADY_CALLS, *[0.2] * 60]  # spans of calls
STOPPED, FAILED = [Act.Stop, Act.Fail], [Act.Fail]

# By row: a play, then what it has to say with which settings and which figures. A row may stand twice.
PLAYS: list[tuple[Any, ...]] = [
    (
        "D-1",
        lambda s: Counter(max(0, id - 12) // 4 for id in s.ops(*[0] * 16, *[1] * 4, *[2] * 4, *[3] * 4)),
        *((dict.fromkeys(range(4), cores // 4), {"machine": {"cores": cores}}) for cores in (4, 8, 16)),
    ),
    ("D-1", Play.ops, (R4, {}, 0, 0, 0, 1, 1), ([0, 1, 5, 6], {}, *[0] * 5, 1, 2)),
    ("D-2", Play.ops, (R4, {}, *[0] * 6)),
    (
        "D-3",
        lambda s: (s.ops(*[0] * 6), s.ops(1, first=9), s.ids(Act.Stop), s.ends(0), s.ends(1)),
        ((R4, [], [], [9], [4]), {}),
    ),
    (
        "D-4",
        lambda s: sorted(s.batch(*({"client": id, "tenant": id // 4} for id in range(5))).ids(Act.Run)),
        ([0, 1, 2, 4], {"tenants": (settings.TenantSettings(0.5, 10.0),) * 2}),
        (R4, {"tenants": ()}),
    ),
    (
        "D-5",
        lambda s: (
            s.ops(0, 1, 2, 3),
            s.batch({"client": 4, "queueing_delay": 0.1}, {"client": 5, "queueing_delay": 0.5}, first=10).ids(
                Act.Run
            ),
            s.ends(0),
            s.ends(1),
        ),
        ((R4, [], [11], [10]), {}),
    ),
    ("D-6", lambda s: (s.ops(0, 0, 1, 1), s.ops(1, 0, first=10), s.ends(0)), ((R4, [], [10]), {})),
    ("D-7", Play.all_cores, ({(4, 0)}, {})),
    # By 0.48 a beat: ten beats later 8.8.
    (
        "D-8",
        lambda s, busy, held: (
            s.ops(*range(held), time_left=90.0),
            s.beats(1).beats(10, busy).ops(*range(40 - held), first=50, time_left=90.0),
            s.controller.running.total,
        )[1:],
        (([], 8), kinds(LONG), 0.5, 40),
        (([], 4), kinds(LONG), 0.95, 40),
        (([], 4), kinds(LONG), 0.5, 4),
    ),
    # From 8.8 to 6.4 in twenty beats, to four in forty.
    ("D-9", Play.falls_back, (6, kinds(LONG), 20), (4, kinds(LONG), 40), (4, kinds(LONG), 200)),
    # 24 when warm; cold, at 1.2 s of the 20 until it is warm: 9.2.
    (
        "D-10",
        lambda s, many: (s.ops(*range(60), time_left=90.0), s.beats(many, busy=0.5).controller.running.total)[
            1
        ],
        *(
            (run, {"overload": {"starts_cold": cold}, **kinds(LONG)}, many)
            for cold, many, run in [(False, 100, 24), (True, 20, 9), (True, 400, 24)]
        ),
    ),
    (
        "D-11",
        lambda s: (s.ops(*range(40), time_left=90.0), s.beats(20, busy=0.5).saw(Act.Run)),
        ((R4, []), gauges("busy", "runnable") | kinds(LONG)),
    ),
    # With three that wait: (3 + 4 / 2) / 4 + 1 is past the target.
    ("D-12", lambda s: (s.one_by_one(10), s.ends(*R4)), (([7, 8, 9], [4, 5, 6]), SECOND)),
    ("D-13", Play.one_by_one, ([], {}, 200)),
    ("D-14", lambda s: (s.one_by_one(8), s.one_by_one(1, first=20, client=1)), (([7], []), SECOND)),
    (
        "D-15",
        lambda s: (
            s.ops(0, 1, 2, 3),
            s.later(0.5).one_by_one(1, first=9),
            s.gone(9).later(4.0).one_by_one(1, first=9),
        ),
        ((R4, [], [9]), {"ran": [0.1]}),
    ),
    (
        "D-16",
        lambda s, work_hint: s.ran(0.5, work_hint=0.5).one_by_one(1, work_hint=work_hint),
        ([], kinds(READ), 0.4),
        (R1, kinds(READ), 3.0),
        ([], kinds(READ._replace(objective_stretch=2.0)), 3.0),
    ),
    # 0.1 s on the cores with a hint of 0.1, one second at a call: 0.5 + 1 fits, 1.5 + 1 does not.
    (
        "D-17",
        lambda s, work_hint: s.ran(0.1, 1.0, work_hint=0.1).one_by_one(1, work_hint=work_hint),
        ([], {}, 0.5),
        (R1, {}, 1.5),
    ),
    (
        "D-18",
        lambda s, *alike: len(Play(alike).one_by_one(20)) + 1 < len(s.one_by_one(20)),
        (True, {"ran": [0.9, 0.1] * 30}, *[0.5] * 60),
    ),
    ("D-18", Play.one_by_one, ([], {"ran": [0.2, 2.8] * 30}, 1)),
    (
        "D-19",
        lambda s: (s.ops(*range(5)), s.blocked(0).each(Act.CallDependency, Act.Run)),
        ((R4, [[0], [4]]), {}),
    ),
    (
        "D-20",
        lambda s: (s.ops(*range(6)), s.blocked(0).back(0).ids(Act.Run), s.ends(1), s.ends(2)),
        ((R4, [], [], [5]), {}),
    ),
    # The last of them is due one second after 100 s; the sixteenth beat is at 100.965 s.
    (
        "D-21",
        lambda s: (
            s.everywhere(1.0).beats(16).answered(),
            [did.id for did in s.saw(Act.Reject)],
            s.beats(18).answered(),
        ),
        (([*range(8)], [6], []), below(1.2)),
    ),
    (
        "D-22",
        lambda s: (
            s.at_calls(0, time_left=1.0),
            s.controller.timer_expired(s.later(0.95).now, 0, ()),
            s.back(0, Outcome.ERROR, 0.9).each(Act.Fail, Act.ContinueDegraded),
        )[2],
        ([[0], []], kinds(KEYED._replace(degraded_value_share=0.5))),
    ),
    (
        "D-23",
        lambda s: (
            s.ops(*R4, time_left=0.05),
            s.ops(4, first=4),
            s.beats(1).each(Act.Fail, Act.Run),
            s.ends(0),
        ),
        ((R4, [], [R4, []], [4]), {}),
    ),
    (
        "D-24",
        lambda s: (s.ops(*range(6), time_left=1.0), s.gone(0, 4).did, s.ends(0), s.beats(30).answered()),
        ((R4, [], [5], [1, 2, 3, 5]), {}),
    ),
    (
        "D-25",
        lambda s: (
            s.batch({"class_index": 1}).acts(Act.RetainKey, Act.Run),
            s.ops(1, 2, 3, first=1),
            s.ops(4, first=4, class_index=1),
            s.did,
        ),
        (([Act.RetainKey(0, 10.0), Act.Run(0)], [1, 2, 3], [], [Act.RetainKey(4, 10.0)]), {}),
    ),
    (
        "D-26",
        lambda s: (
            # In its batch, while it runs, when it is over.
            s.batch({"class_index": 1}, REPEAT).each(Act.ReuseResult, Act.Run),
            s.batch(REPEAT, first=2).each(Act.ReuseResult, Act.Run),
            s.ends(0, 1, 2),
            s.batch(REPEAT, first=3).each(Act.ReuseResult, Act.Run),
        ),
        (([[1], [0]], [[2], []], [], [[3], []]), {}),
    ),
    (
        "D-27",
        lambda s: (
            s.history(0.5, class_index=1)
            .batch({"class_index": 1, "time_left": 0.4}, REPEAT)
            .each(Act.Reject, Act.Run, Act.ReuseResult)
        ),
        ([[0], [1], []], {}),
    ),
    (
        "D-28",
        lambda s, held, nacked: (
            s.ops(*range(4 * held), class_index=2),
            s.ops(9, first=9, class_index=1, time_left=0.5),
            (s.beats(1, later=0.5) if nacked else s.gone(9)).ids(Act.ReleaseKey),
        )[-1],
        ([9], {}, True, False),
        ([9], {}, True, True),
        ([], {}, False, False),
    ),
    # 95 kB: with a key of 5 there is no room for a run of 4 times 23.
    (
        "D-29",
        lambda s: (
            s.ops(0, class_index=1, size=1.0),
            s.ends(0),
            s.ops(1, first=1, size=23.0, time_left=90.0),
            s.beats(1, later=9.0).ids(Act.Run),
            s.beats(1, later=2.0).ids(Act.Run),
        ),
        (([0], [], [], [], [1]), kinds(LONG, KEYED) | SMALL),
    ),
    # Seven of 10 + 5 kB in 95.
    ("D-30", lambda s: (s.ops(*[0] * 7, class_index=1), s.ids(Act.Reject)), (([], [6]), SMALL)),
    (
        "D-31",
        lambda s, kind, outcome: (
            s.at_calls(kind),
            s.back(0, outcome).ids(Act.Fail),
            len(s.beats(5).saw(Act.CallDependency)),
        )[1:],
        *(
            (([], 1) if kind == 0 or outcome in PROOF else ([0], 0), {}, kind, outcome)
            for kind in (0, 1, 2)
            for outcome in (*PROOF, Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.TIMEOUT)
        ),
    ),
    ("D-32", Play.tries, ((4, 1, [True] * 3), {})),
    (
        "D-33",
        lambda s, given: (
            s.batch(given, {**given, "original_id": 0}).acts(Act.RetainKey),
            *s.each(Act.ReuseResult, Act.Run),
        ),
        (([Act.RetainKey(0, 8.0)], [1], [0]), clients(result_freshness=2.0), SUBJECT),
        *(
            (([], [], [0, 1]), clients(result_freshness=fresh), given)
            for fresh, given in [(2.0, {}), (0.0, SUBJECT), (2.0, {**SUBJECT, "is_write": True})]
        ),
    ),
    (
        "D-34",
        lambda s: (s.ops(*range(5)), s.leave(5.0).did, s.ends(0)),
        ((R4, [Act.ReportHealth(True, False)], [4]), {}),
    ),
    (
        "D-35",
        lambda s: (s.leave(5.0).later(1.9).ops(0), s.later(0.4).ops(0, first=1, queueing_delay=0.35)),
        (([0], [1]), {}),
    ),
    ("D-36", lambda s: (s.leave(5.0).later(2.1).ops(0), s.ids(Act.Reject)), (([], [0]), {})),
    (
        "D-37",
        lambda s: s.leave(5.0).later(2.1).batch({}).waits(),
        *(([longest], clients(max_retry_after=longest)) for longest in (1.0, 0.3, 0.0)),
    ),
    # 24 beats are 1.44 s.
    ("D-38", lambda s: s.everywhere().leave(1.5).beats(24).answered(), ([*range(8)], below(1.2))),
    ("D-39", lambda s, later: s.leave(1.5).later(later).one_by_one(1), ([], SECOND, 0.2), (R1, SECOND, 0.5)),
    (
        "D-40",
        lambda s, time_left: s.leave(time_left).batch(REPEAT, first=1).each(Act.ReuseResult, Act.Fail),
        ([[1], []], {}, 5.0),
        ([[], [1]], {}, 0.1),
    ),
    # 3/4 of two ops a core that are survived.
    (
        "D-41",
        lambda s: (
            len(s.ops(*range(20))) + sum(len(s.blocked(*s.ids(Act.Run)).ids(Act.Run)) for _ in range(20))
        ),
        (6, {"overload": {"max_concurrency": 2.0}}),
    ),
    # Three of 10 kB in 95: two runs take 30 more each.
    ("D-42", lambda s: (s.ops(0, 1, 2), s.ends(0)), (([0, 1], [2]), SMALL)),
    # 85% of three.
    (
        "D-43",
        lambda s: (
            s.at_calls(0, 0, 0, 0),
            s.back(0, Outcome.TIMEOUT, 1.0).ids(Act.CallDependency),
            s.beats(1, later=0.3).ids(Act.CallDependency),
        ),
        (([0, 1], [], [2]), below(3.0)),
    ),
    (
        "D-44",
        Play.part_of_a_call,
        *(((True, True, part > 0), below(part) | kinds(LONG), part) for part in (0.5, 0.0)),
    ),
    ("D-45", Play.swings, (([0.0], True, True, [0.0]), HALF, 1, 8, 60, False, lambda line: len(line) > 5)),
    (
        "D-45",
        lambda s: [
            value
            for _ in range(10)
            for value in s.batch({"queueing_delay": 30.0, "time_left": 0.01}).beats(1).values()
        ][-1:],
        ([0.9], HALF),
    ),
    # 16 ops of half a second fit in four cores and two seconds: half of them over three callers.
    (
        "D-46",
        Play.swings,
        (
            ([2.7], True, True, [2.7]),
            clients(signal=Signal.ALLOWANCE) | HALF,
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
            [s.op(id, 2, queueing_delay=queueing_delay, time_left=90.0) for id in range(40)],
            s.beats(1).values(),
        )[1],
        *(
            ([weight], clients(signal=Signal.WEIGHT), queueing_delay)
            for queueing_delay, weight in [(0.0, 1.0), (0.9, 1.0), (1.4, 0.8), (9.0, 0.1)]
        ),
    ),
    (
        "D-48",
        lambda s: (s.beats(1).values(), s.one_by_one(14), s.beats(30).values())[::2],
        (([], []), clients(signal=Signal.NONE) | HALF),
    ),
    (
        "D-49",
        lambda s: (
            [s.batch({"queueing_delay": 1.9}, first=id).ends(id) for id in range(20)],
            s.beats(3).values()[-1:] > [0.0],
        )[1],
        (True, {}),
    ),
    # Four on the cores and ten that wait, 1.5 s: half a second past the set point.
    (
        "D-50",
        lambda s: (s.beats(1).one_by_one(14), s.batch({"time_left": 0.4}, first=99).waits())[1],
        *(
            ([wait], clients(max_retry_after=longest) | HALF)
            for longest, wait in [(1.0, 0.5), (0.2, 0.2), (0.0, 0.0)]
        ),
    ),
    ("D-50", lambda s: s.batch({}).waits(), ([0.0], {"ran": [3.0]})),
    (
        "D-51",
        lambda s: (
            s.batch().acts(Act.ReportHealth),
            s.history(1.0).one_by_one(200, queueing_delay=1.0),
            s.beats(30).saw(Act.ReportHealth),
        )[::2],
        (([Act.ReportHealth(True, True)], []), {}),
    ),
    ("D-52", lambda s: [s.beats(1).values() for _ in range(4)], ([[0.0], [], [], []], {})),
    (
        "D-53",
        Play.extreme,
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
                (1, below(0.05)),
                (0, below(0.0)),
                (0, {"dependency": SHARED._replace(fair_concurrency=0.0, averaging_span=0.0)}),
            ]
        ),
    ),
    # As in `behind_calls`, where type 1 has a history; here four run and two are held.
    (
        "D-54",
        lambda s: (
            s.slow().at_calls(*[2] * 6, first=100),
            s.one_by_one(6, class_index=1),
            s.beats(1).ids(Act.Reject),
        ),
        (([100, 101], [], []), below(3.0)),
    ),
    ("X-1", lambda s, time_left: s.one_by_one(1, time_left=time_left), (R1, HALF, 0.4), ([], HALF, 0.6)),
    ("X-2", Play.under, ([12, 13], kinds(READ, ONCE, LONG), 10.0, 6)),
    ("X-3", Play.under, ([10, 11], kinds(READ, ONCE, LONG), 0.0, 6)),
    ("X-4", Play.under, ([10, 11], kinds(READ, ONCE, LONG), 10.0, 2)),
    # A line of type 0 at half a second each. With eleven that wait, (11 / 2 + 1) / 4 is past the 1.5 s that
    # type 1 stands.
    *(
        (
            id,
            lambda s, took: s.history(0.5).history(took, class_index=1).beats(1).one_by_one(17),
            (
                nacked,
                kinds(READ._replace(latency_objective=5.0), READ._replace(priority_weight=importance)),
                took,
            ),
        )
        for id, importance, took, nacked in [
            ("X-5", 1.0, 0.5, [15, 16]),
            ("X-6", 2.0, 0.5, []),
            ("X-6", 0.5, 0.5, []),
            ("X-6", 1.0, 2.5, []),
        ]
    ),
    (
        "X-7",
        lambda s: (
            s.ops(*range(5)),
            s.beats(1, later=1.9).ids(Act.Reject),
            s.beats(1, later=0.15).ids(Act.Reject),
            s.ends(*R4),
        ),
        ((R4, [], [4], []), {}),
    ),
    (
        "X-8",
        lambda s: (
            s.ops(*range(5)),
            s.beats(1, later=0.9).ids(Act.Reject),
            s.beats(1, later=0.2).ids(Act.Reject),
        ),
        ((R4, [], [4]), SECOND),
    ),
    *(
        (
            id,
            lambda s, kind: (
                s.ops(0, class_index=kind, time_left=0.05),
                [type(did) for did in s.beats(1).saw(Act.Stop, Act.Fail)],
            )[1],
            (did, {"machine": {"stop_effect": halt}}, kind),
        )
        for id, did, kind, halt in [
            ("X-9", STOPPED, 0, settings.StopEffect.PAUSE),
            ("X-9", STOPPED, 0, settings.StopEffect.DISCARD),
            ("X-11", FAILED, 1, settings.StopEffect.PAUSE),
            ("X-11", FAILED, 2, settings.StopEffect.PAUSE),
            ("X-11", FAILED, 0, settings.StopEffect.NONE),
        ]
    ),
    (
        "X-10",
        lambda s: (s.ops(0), s.gone(0).each(Act.Stop, Act.Fail)),
        (([0], [[0], []]), {"machine": {"stop_effect": settings.StopEffect.PAUSE}}),
    ),
    *(
        (
            id,
            lambda s, held: (
                s.at_calls(0, 0),
                s.ops(*range(4 + held), first=10, class_index=1, time_left=90.0),
                s.beats(1, later=2.05).ids(Act.Fail),
            )[2],
            (failed, below(1.2) | kinds(READ._replace(late_value_share=late), LONG), held),
        )
        for id, late, held, failed in [("X-12", 0.0, 1, [1]), ("X-13", 0.5, 1, []), ("X-13", 0.0, 0, [])]
    ),
    # Calls take 0.8 s.
    *(
        (
            id,
            lambda s, time_left: (
                s.slow(class_index=1).at_calls(0, time_left=time_left),
                [type(did) for did in s.did],
            )[1],
            ([did], below(3.0) | kinds(POORER._replace(late_value_share=late), KEYED), left),
        )
        for id, late, left, did in [
            ("X-14", 0.0, 0.5, Act.ContinueDegraded),
            ("X-15", 0.0, 6.0, Act.CallDependency),
            ("X-15", 0.5, 0.5, Act.CallDependency),
        ]
    ),
    ("X-16", Play.behind_calls, (R1, below(3.0), True, 1), ([], below(3.0), False, 1)),
    ("X-17", Play.behind_calls, ([], below(3.0), True, 3)),
    (
        "X-18",
        lambda s, legs: (
            s.calls_take(*[0.2] * STEADY_CALLS, class_index=1, legs=legs)
            .calls_take(*[0.8] * 20)
            .one_by_one(1, class_index=1)
        ),
        ([], below(3.0), 1),
        (R1, below(3.0), 3),
    ),
    # Three seconds, less a twentieth with each nack: two after eight.
    ("X-19", Play.one_by_one, ([*range(8)], {"ran": [3.0]}, 9)),
    (
        "X-20",
        lambda s: (s.ops(0, class_index=2, time_left=90.0), s.one_by_one(40, first=1)),
        (([0], [*range(1, 41)]), {"ran": [3.0]}),
    ),
    *(
        (
            id,
            lambda s, *spans: len(s.calls_take(*spans).at_calls(*[2] * 10, first=100)),
            (out, below(10.0), *CROWDED, *[0.02] * quick),
        )
        for id, quick, out in [("X-21", 0, 1), ("X-22", 120, 8)]
    ),
    ("X-23", Play.hanging, (R1, below(3.0), False)),
    ("X-24", Play.hanging, ([], below(3.0), True)),
    *(
        (
            id,
            lambda s, kind: (
                s.history(0.4, class_index=kind).at_calls(kind),
                round(s.did[-1].deadline - s.now, 6),
            )[1],
            (until, {}, kind),
        )
        for id, kind, until in [("X-25", 3, 1.8), ("X-26", 0, 5.94)]
    ),
    # A read and an op that matters more wait in this order behind a call that is out.
    *(
        (
            id,
            lambda s, slow: (
                s.slow(slow, class_index=1).at_calls(2, 0, 2),
                s.back(0, took=0.8 if slow else 0.2).ids(Act.CallDependency),
            )[1],
            (
                [called],
                below(1.2) | kinds(LONG, KEYED, ONCE._replace(latency_objective=60.0, client_timeout=90.0)),
                slow,
            ),
        )
        for id, slow, called in [("X-27", True, 2), ("X-28", False, 1)]
    ),
    *(
        (id, Play.nowhere_else, ([says], clients(marks_retries=marks) | HALF, *given))
        for id, says, marks, *given in [
            ("X-29", False, True, {}, {}, {}, FURTHER),
            ("X-29", True, True, {}, FURTHER),
            ("X-30", False, False, FITS, FITS, FITS, MISSES),
            ("X-30", True, False, FITS, MISSES),
            ("X-31", False, False, {"time_left": 0.2}),
        ]
    ),
    *(
        (
            id,
            Play.spans,
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
            s.ops(*range(20), queueing_delay=1.9),
            s.beats(4, later=0.01, more=more).values()[-1:] > [0.0],
        )[1],
        (False, gauges("busy", "runnable"), 0),
        (True, gauges("busy", "runnable"), 3),
    ),
    # Eleven of 10 kB in 95.
    (
        "X-36",
        lambda s: s.batch(*({"class_index": kind} for kind in [0, 0] + [2] * 9), apart=0.001).each(
            Act.Reject, Act.Run
        ),
        ([[1, 0], []], SMALL),
    ),
    # Of the spans of the calls so far: as in X-16, then as in X-21.
    (
        "X-37",
        lambda s, *spans: s.calls_take(*spans).behind_queue(1),
        ([], below(3.0), 0.08, *[0.8] * 40),
        ([], below(3.0), 0.2, *[0.8] * (STEADY_CALLS // 2 - 2)),
        (R1, below(3.0), *[0.08] * STEADY_CALLS, *[0.8] * 40),
    ),
    (
        "X-37",
        lambda s, *spans: len(s.calls_take(*spans).at_calls(*[2] * 10, first=100)),
        (8, below(10.0), 0.02, *[0.2] * 60),
    ),
]


def case_of(id: str) -> Callable[[unittest.TestCase], None]:
    def case(test: unittest.TestCase) -> None:
        for name, play, *wants in PLAYS:
            for want, given, *figures in wants if name == id else ():
                test.assertEqual(play(Play(**given), *figures), want, (given, figures))

    return case


CASES = {id: case_of(id) for id, *_ in PLAYS}


def table(*only: str) -> list[Row]:
    """All rows, or those with this in the column `outside`."""
    return [row for name in SECTIONS for row in rows(PAGE, name) if not only or row["outside"] in only]


class Design(unittest.TestCase):
    def test_every_row(self) -> None:
        played(self, table(), "id", {id: lambda test, row: CASES[row["id"]](test) for id in CASES})

    def test_every_exception_has_its_rows(self) -> None:
        named = [id for row in rows(PAGE, "Exceptions, and when each acts") for id in row["rows"].split(", ")]
        self.assertEqual(named, [row["id"] for row in rows(PAGE, SECTIONS[1])])


# Each rule taken out in turn: the row's case must fail.
SUBMIT, WAIT, ESTIMATE, NEXT, ADAPT = (
    AdmissionController.submit,
    WaitPredictor.wait,
    RunTimeEstimator.estimate,
    FairQueue.next,
    ConcurrencyLimit.adapt,
)


def none(*_: Any) -> None:
    """What does nothing."""


def submitted_as(**changed: Any) -> Callable[[AdmissionController, float, events.Request], None]:
    return lambda self, now, request: SUBMIT(self, now, request._replace(**changed))


def by_client(self: AdmissionController, now: float, request: events.Request) -> None:
    SUBMIT(self, now, request._replace(tenant=request.client))


def unlent(self: FairQueue[PendingRequest], running: dict[int, int], quota: float) -> PendingRequest | None:
    pending = NEXT(self, running, quota)
    return pending if pending and running.get(pending.fairness_key, 0) + 1 <= quota else None


def youngest(self: FairQueue[PendingRequest], *_: Any) -> PendingRequest | None:
    return max((line[-1] for line in self.lines.values()), key=lambda one: one.arrived_at, default=None)


def any_desired(self: Reconciler, pending: PendingRequest, desired: DesiredState) -> None:
    pending.desired = desired
    self.changed.append(pending)


def freed(self: Reconciler, now: float, pending: PendingRequest) -> None:
    pending.is_answered = True
    self.transition(now, pending, RequestState.DONE)


def each_age(self: DependencyLimiter, now: float, ages: list[float]) -> None:
    for age in ages:
        self.times.recent += 0.2 * (age - self.times.recent)


NUMBERS = (
    ("D-1", concurrency, "QUOTA_SHARE", 1.0),
    ("D-3", concurrency, "QUOTA_SHARE", 1.0),
    ("D-7", concurrency, "BACKOFF_RATE", -9.0),
    ("D-8", concurrency, "GROWTH_RATE", 0.0),
    ("D-8", concurrency, "IDLE_BUSY_SHARE", 1.0),
    ("D-9", concurrency, "BACKOFF_RATE", 0.0),
    ("D-10", concurrency, "SAFE_OVERLOAD_SHARE", 9.0),
    ("D-32", controller, "CALL_ATTEMPTS", 9),
    ("D-32", controller, "CALL_BACKOFF", 0.0),
    ("D-41", concurrency, "SAFE_OVERLOAD_SHARE", 9.0),
    ("D-42", memory, "USABLE_SHARE", 9.0),
    ("D-43", dependency, "FAIR_CONCURRENCY_SHARE", 9.0),
    ("D-44", dependency, "FAIR_CONCURRENCY_SHARE", 9.0),
    ("D-45", backpressure, "FLOOR_GAIN", 0.0),
    ("D-45", backpressure, "FLOOR_MAX", 2.0),
    ("D-46", backpressure, "ALLOWANCE_GAIN", 0.0),
    ("X-2", controller, "SATURATED_WAIT", 99.0),
    ("X-3", controller, "SATURATED_WAIT", -1.0),
    ("X-16", dependency, "SLOW_FACTOR", 99.0),
    ("X-21", dependency, "OVERLOADED_FACTOR", 99.0),
    ("X-27", dependency, "SLOW_FACTOR", 99.0),
    ("X-28", dependency, "SLOW_FACTOR", 0.5),
    ("X-29", arrivals, "RETRY_STORM_SHARE", 0.9),
    ("X-29", arrivals, "RETRY_STORM_SHARE", 0.1),
    ("X-32", connections, "PERSISTENT_CONNECTIONS_PER_CORE", 99),
    ("X-36", memory, "USABLE_SHARE", 9.0),
    ("X-37", dependency, "STEADY_CALLS", 1),
)
NO_ESTIMATE = RunTimeEstimate()
MUTANTS: list[tuple[str, object, str, Any]] = [
    *NUMBERS,
    ("D-2", FairQueue, "next", unlent),
    ("D-4", AdmissionController, "submit", by_client),
    ("D-5", FairQueue, "next", youngest),
    ("D-6", FairQueue, "next", youngest),
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
    ("D-19", AdmissionController, "waits_for_dependency", none),
    ("D-21", AdmissionController, "_give_up", none),
    ("D-22", Reconciler, "set_desired", any_desired),
    ("D-23", Reconciler, "answered", freed),
    ("D-24", AdmissionController, "client_gone", none),
    ("D-26", AdmissionController, "submit", submitted_as(original_id=None)),
    ("D-31", controller, "PROVES_NOT_RUN", frozenset(Outcome)),
    ("D-31", controller, "PROVES_NOT_RUN", frozenset()),
    ("D-34", AdmissionController, "shutdown_announced", none),
    ("D-35", AdmissionController, "submit", submitted_as(queueing_delay=0.0)),
    ("D-36", AdmissionController, "submit", submitted_as(queueing_delay=1.0)),
    ("D-37", AdmissionController, "_reject_advice", lambda *_: RejectAdvice(False, 0.1)),
    ("D-38", AdmissionController, "shutdown_announced", none),
    ("D-39", RunTimeEstimator, "estimate", lambda *_: NO_ESTIMATE),
    ("D-50", AdmissionController, "_reject_advice", lambda *_: RejectAdvice(False, 0.0)),
    ("X-1", AdmissionController, "submit", submitted_as(time_left=6.0)),
    ("X-7", WaitPredictor, "is_stale", lambda *_: False),
    ("X-8", WaitPredictor, "is_stale", lambda _, now, pending: now > pending.objective_at),
    ("X-9", Reconciler, "can_stop", lambda *_: False),
    ("X-11", Reconciler, "can_stop", lambda *_: True),
    ("X-19", RunTimeEstimator, "fade", none),
    ("X-23", DependencyLimiter, "watch", none),
    ("X-24", DependencyLimiter, "watch", each_age),
]


class Mutants(unittest.TestCase):
    def test_each_can_fail(self) -> None:
        for id, where, name, mutant in MUTANTS:
            with self.subTest(row=id, out=name), mock.patch.object(where, name, mutant):
                self.assertRaises(AssertionError, CASES[id], self)


if __name__ == "__main__":
    unittest.main()
