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
from thymeyoke.admission import controller
from thymeyoke.admission.controller import STEADY, Calls, Choice, Hold, Job, Pace, RunLimit

PAGE, SECTIONS = "docs/design.md", ("Rules", "Exceptions as rows")
Act, Outcome, Signal = actions, settings.Outcome, settings.Signal
READ, KEYED, ONCE, POORER = KINDS


class Play(Server):
    """A server with `ran` as the history of its first op type. Its steps say what was seen or, where nothing
    is asked of them, return the play: so a play is one expression."""

    def __init__(self, ran: Sequence[float] = (), **changed: Any) -> None:
        super().__init__(**changed)
        self.seen: list[Any] = []
        self.history(*ran)

    def history(self, *spans: float, type: int = 0) -> Play:
        for span in spans:
            self.learned(span, type)
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
        self.batch(*({"caller": caller, **more} for caller in callers), first=first, apart=0.001)
        return sorted(self.ids(Act.Run))

    def one_by_one(self, many: int, first: int = 0, **more: Any) -> list[int]:
        """Ops of one caller at one moment, each in a batch of its own. Which are nacked."""
        return [id for at in range(many) for id in self.batch(more, first=first + at).ids(Act.Nack)]

    def ends(self, *ids: int) -> list[int]:
        """Which ops are started when these have ended."""
        self.end(*ids)
        self.settle()
        return sorted(self.ids(Act.Run))

    def gone(self, *ids: int) -> Play:
        for id in ids:
            self.yoke.gone(self.now, id)
        self.settle()
        return self

    def leave(self, left: float) -> Play:
        self.yoke.leave(self.now, left)
        self.settle()
        return self

    def blocked(self, *ids: int) -> Play:
        for id in ids:
            self.yoke.blocked(self.now, id)
        self.settle()
        return self

    def back(self, id: int, outcome: Outcome = Outcome.OK, took: float = 0.01) -> Play:
        self.yoke.called(self.now, id, outcome, took)
        self.settle()
        return self

    def beats(self, many: int, busy: float = 1.0, later: float = 0.06, more: int = 0, links: int = 0) -> Play:
        """Beats; `more` want a core than run."""
        self.seen = []
        for _ in range(many):
            self.yoke.woke(self.later(later).now, 0, (busy, self.yoke.on_core + more, links))
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
        return sorted(did.id for did in self.saw(Act.Nack, Act.Fail))

    def values(self) -> list[float]:
        return [did.value for did in self.saw(Act.Say)]

    def waits(self) -> list[float]:
        return [round(did.wait, 6) for did in self.acts(Act.Nack)]

    def at_calls(self, *types: int, first: int = 0, **more: Any) -> list[int]:
        """Ops that are started one after another and stand at their calls at once. Whose calls go out."""
        steps = ((id, self.batch({"type": type, **more}, first=id)) for id, type in enumerate(types, first))
        return [called for id, _ in steps for called in self.blocked(id).ids(Act.Call)]

    def ran(self, on: float, *calls: float, type: int = 0, **more: Any) -> Play:
        """A run of so long on the cores, with calls of these spans."""
        self.batch({"type": type, "left": 90.0, **more}, first=-9).later(on)
        for span in calls:
            self.blocked(-9).later(span).back(-9, took=span)
        self.ends(-9)
        return self

    def calls_take(self, *spans: float, legs: int = 1, type: int = 0) -> Play:
        """A run for each span, with so many calls of it."""
        for span in spans:
            self.ran(0.1, *[span] * legs, type=type)
        return self

    def slow(self, slow: bool = True, type: int = 0) -> Play:
        """Recent calls took four times as long as they usually do, or as long as usual."""
        return self.calls_take(*[0.2] * STEADY, *[0.8 if slow else 0.2] * 20, type=type)

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
        running = self.ops(*range(40), left=90.0)
        running += [did.id for did in self.beats(1).beats(10, busy=0.5).saw(Act.Run)]
        return len(self.beats(many).ends(*running))

    def everywhere(self, left: float = 6.0) -> Play:
        """Zero's call is out, one waits to call, two to five run, six is held, seven waits for its first."""
        self.at_calls(0, 0, left=left)
        self.ops(*range(2, 7), first=2, left=left - 0.01)
        return self.batch({"type": 1, "repeats": 99, "left": left - 0.02}, first=7)

    def tries(self) -> tuple[int, int, list[bool]]:
        """Calls made, ops failed, whether each wait between calls is within its bounds."""
        self.at_calls(1)
        made, failed = [self.now], len(self.back(0, Outcome.FULL).acts(Act.Fail))
        for _ in range(300):
            if self.beats(1, later=0.01).saw(Act.Call):
                made.append(self.now)
                failed += len(self.back(0, Outcome.FULL).acts(Act.Fail))
        gaps = zip(pairwise(made), (0.2, 0.4, 0.8), strict=False)
        return len(made), failed, [most / 2 <= end - start <= most + 0.02 for (start, end), most in gaps]

    def part_of_a_call(self, part: float) -> tuple[bool, bool, bool]:
        """Whether of calls that take half a second one is out at most, on average less than the part, any."""
        out = {id: self.now for id in self.at_calls(*[0] * 20, left=90.0)}
        span, most = 0.0, len(out)
        for _ in range(600):
            for id, since in list(out.items()):
                if self.now - since >= 0.5:
                    called = self.back(id, took=self.now - since).ids(Act.Call)
                    self.end(id)
                    del out[id]
                    out |= dict.fromkeys(called, self.now)
            out |= dict.fromkeys(self.beats(1, later=0.05).ids(Act.Call), self.now)
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
            self.yoke.ended(self.now, id, Outcome.STOPPED)
        return line[:1], line == sorted(line, reverse=falls), far(line), self.beats(empty).values()[-1:]

    def extreme(self, most: int) -> tuple[list[int], bool]:
        """Which ops are answered when due, and whether no more calls than that went out."""
        did: list[Any] = []
        for id in range(30):
            self.op(id, type=id % 4, caller=id, left=1.0)
        for _ in range(18):
            self.yoke.woke(self.later(0.06).now, 0, (0.5, 1, 0.1, 500))
            did += self.settle() + self.blocked(*self.ids(Act.Run)).did
        answered = sorted(act.id for act in did if isinstance(act, Act.Nack | Act.Fail))
        return answered, sum(isinstance(act, Act.Call) for act in did) <= most

    def under(self, unread: float, important: int) -> list[int]:
        """Which start, of two reads of callers 4 and 5 and two ops that matter more, held behind them; on
        the cores are ops of callers 0 to 3 that were read so late."""
        self.ops(0, 1, 2, 3, type=2, left=90.0, unread=unread)
        self.beats(1).ops(4, 5, first=10)
        self.ops(important, important + 1, first=12, type=1)
        return self.ends(0, 1)

    def behind_calls(self, slow: bool, kind: int) -> list[int]:
        """Two calls are out and four wait: at 0.8 s each that is 2.7 s, at 0.2 s 0.7."""
        return self.slow(slow).behind_queue(kind)

    def behind_queue(self, kind: int) -> list[int]:
        self.history(0.1, type=kind).at_calls(*[2] * 6, first=100)
        return self.one_by_one(1, type=kind)

    def hanging(self, others: bool) -> list[int]:
        self.history(0.1, type=1).calls_take(*[0.02] * STEADY, type=2).at_calls(0, first=100)
        for _ in range(40):
            if others:
                self.ran(0.01, 0.02, type=2)
            self.beats(1)
        return self.one_by_one(1, type=1)

    def nowhere_else(self, *given: dict[str, Any]) -> list[bool]:
        """What the nack says, after ops of these kinds by turns, of an op with less left than a run takes."""
        self.ops(0, first=98, type=2)
        for id in range(100, 200):
            self.batch(given[id % len(given)], first=id).gone(id)
        return [did.nowhere_else for did in self.batch({"left": 0.2}, first=99).acts(Act.Nack)]

    def spans(self, *rounds: tuple[int, int]) -> list[tuple[float, bool]]:
        """The span told last in each hundred beats with so many that want a core, and links; whether it went
        one way only."""
        found = [(30.0, True)]
        for wanting, links in rounds:
            told = [did.span for did in self.beats(100, 0.5, more=wanting, links=links).saw(Act.Trim)]
            found += [((told or [found[-1][0]])[-1], sorted(told) in (told, told[::-1]))]
        return found[1:]


LONG = READ._replace(target=60.0, timeout=90.0)
SHARED = settings.Dependency(settings.Below.SHARED, 3.0, 5.0, 0.2)


def below(part: float, **more: Any) -> dict[str, Any]:
    return {"dependency": SHARED._replace(fair_calls=part), **more}


def callers(**changed: Any) -> dict[str, Any]:
    return {"callers": changed}


def kinds(*types: settings.OpType) -> dict[str, Any]:
    return {"op_types": types}


def gauges(*names: str) -> dict[str, Any]:
    return {"machine": {"gauges": names}}


HALF, SECOND, SMALL = {"ran": [0.5]}, {"ran": [1.0]}, {"machine": {"memory": 100.0}}
REPEAT, SUBJECT, FURTHER = {"type": 1, "repeats": 0}, {"subject": "s"}, {"further": True}
FITS, MISSES = {"left": 6.0}, {"left": 0.2, "unread": 1.9}
PROOF = {Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT}
R1, R4 = [0], [0, 1, 2, 3]
CROWDED = [*[0.02] * STEADY, *[0.2] * 60]  # spans of calls
STOPPED, FAILED = [Act.Pause, Act.Fail], [Act.Fail]

# By row: a play, then what it has to say with which settings and which figures. A row may stand twice.
PLAYS: list[tuple[Any, ...]] = [
    ("D-1", lambda s: Counter(max(0, id - 12) // 4 for id in s.ops(*[0] * 16, *[1] * 4, *[2] * 4, *[3] * 4)),
     *((dict.fromkeys(range(4), cores // 4), {"machine": {"cores": cores}}) for cores in (4, 8, 16))),
    ("D-1", Play.ops, (R4, {}, 0, 0, 0, 1, 1), ([0, 1, 5, 6], {}, *[0] * 5, 1, 2)),
    ("D-2", Play.ops, (R4, {}, *[0] * 6)),
    ("D-3", lambda s: (s.ops(*[0] * 6), s.ops(1, first=9), s.ids(Act.Pause), s.ends(0), s.ends(1)),
     ((R4, [], [], [9], [4]), {})),
    ("D-4", lambda s: sorted(s.batch(*({"caller": id, "tenant": id // 4} for id in range(5))).ids(Act.Run)),
     ([0, 1, 2, 4], {"tenants": (settings.Tenant(0.5, 10.0),) * 2}), (R4, {"tenants": ()})),
    ("D-5", lambda s: (
        s.ops(0, 1, 2, 3),
        s.batch({"caller": 4, "unread": 0.1}, {"caller": 5, "unread": 0.5}, first=10).ids(Act.Run),
        s.ends(0), s.ends(1)),
     ((R4, [], [11], [10]), {})),
    ("D-6", lambda s: (s.ops(0, 0, 1, 1), s.ops(1, 0, first=10), s.ends(0)), ((R4, [], [10]), {})),
    ("D-7", Play.all_cores, ({(4, 0)}, {})),
    # By 0.48 a beat: ten beats later 8.8.
    ("D-8", lambda s, busy, held: (
        s.ops(*range(held), left=90.0),
        s.beats(1).beats(10, busy).ops(*range(40 - held), first=50, left=90.0),
        s.yoke.on_core)[1:],
     (([], 8), kinds(LONG), 0.5, 40), (([], 4), kinds(LONG), 0.95, 40), (([], 4), kinds(LONG), 0.5, 4)),
    # From 8.8 to 6.4 in twenty beats, to four in forty.
    ("D-9", Play.falls_back, (6, kinds(LONG), 20), (4, kinds(LONG), 40), (4, kinds(LONG), 200)),
    # 24 when warm; cold, at 1.2 s of the 20 until it is warm: 9.2.
    ("D-10", lambda s, many: (s.ops(*range(60), left=90.0), s.beats(many, busy=0.5).yoke.on_core)[1],
     *((run, {"survival": {"cold": cold}, **kinds(LONG)}, many)
       for cold, many, run in [(False, 100, 24), (True, 20, 9), (True, 400, 24)])),
    ("D-11", lambda s: (s.ops(*range(40), left=90.0), s.beats(20, busy=0.5).saw(Act.Run)),
     ((R4, []), gauges("busy", "runnable") | kinds(LONG))),
    # With three that wait: (3 + 4 / 2) / 4 + 1 is past the target.
    ("D-12", lambda s: (s.one_by_one(10), s.ends(*R4)), (([7, 8, 9], [4, 5, 6]), SECOND)),
    ("D-13", Play.one_by_one, ([], {}, 200)),
    ("D-14", lambda s: (s.one_by_one(8), s.one_by_one(1, first=20, caller=1)), (([7], []), SECOND)),
    ("D-15", lambda s: (s.ops(0, 1, 2, 3), s.later(0.5).one_by_one(1, first=9),
                        s.gone(9).later(4.0).one_by_one(1, first=9)), ((R4, [], [9]), {"ran": [0.1]})),
    ("D-16", lambda s, hint: s.ran(0.5, hint=0.5).one_by_one(1, hint=hint),
     ([], kinds(READ), 0.4), (R1, kinds(READ), 3.0), ([], kinds(READ._replace(stretch=2.0)), 3.0)),
    # 0.1 s on the cores with a hint of 0.1, one second at a call: 0.5 + 1 fits, 1.5 + 1 does not.
    ("D-17", lambda s, hint: s.ran(0.1, 1.0, hint=0.1).one_by_one(1, hint=hint),
     ([], {}, 0.5), (R1, {}, 1.5)),
    ("D-18", lambda s, *alike: len(Play(alike).one_by_one(20)) + 1 < len(s.one_by_one(20)),
     (True, {"ran": [0.9, 0.1] * 30}, *[0.5] * 60)),
    ("D-18", Play.one_by_one, ([], {"ran": [0.2, 2.8] * 30}, 1)),
    ("D-19", lambda s: (s.ops(*range(5)), s.blocked(0).each(Act.Call, Act.Run)), ((R4, [[0], [4]]), {})),
    ("D-20", lambda s: (s.ops(*range(6)), s.blocked(0).back(0).ids(Act.Run), s.ends(1), s.ends(2)),
     ((R4, [], [], [5]), {})),
    # The last of them is due one second after 100 s; the sixteenth beat is at 100.965 s.
    ("D-21", lambda s: (s.everywhere(1.0).beats(16).answered(), [did.id for did in s.saw(Act.Nack)],
                        s.beats(18).answered()), (([*range(8)], [6], []), below(1.2))),
    ("D-22", lambda s: (s.at_calls(0, left=1.0), s.yoke.woke(s.later(0.95).now, 0, ()),
                        s.back(0, Outcome.ERROR, 0.9).each(Act.Fail, Act.GoOn))[2],
     ([[0], []], kinds(KEYED._replace(poorer_share=0.5)))),
    ("D-23", lambda s: (s.ops(*R4, left=0.05), s.ops(4, first=4), s.beats(1).each(Act.Fail, Act.Run),
                        s.ends(0)),
     ((R4, [], [R4, []], [4]), {})),
    ("D-24", lambda s: (s.ops(*range(6), left=1.0), s.gone(0, 4).did, s.ends(0), s.beats(30).answered()),
     ((R4, [], [5], [1, 2, 3, 5]), {})),
    ("D-25", lambda s: (s.batch({"type": 1}).acts(Act.Keep, Act.Run), s.ops(1, 2, 3, first=1),
                        s.ops(4, first=4, type=1), s.did),
     (([Act.Keep(0, 10.0), Act.Run(0)], [1, 2, 3], [], [Act.Keep(4, 10.0)]), {})),
    ("D-26", lambda s: (
        s.batch({"type": 1}, REPEAT).each(Act.Reuse, Act.Run),  # in its batch, while it runs, when it is over
        s.batch(REPEAT, first=2).each(Act.Reuse, Act.Run), s.ends(0, 1, 2),
        s.batch(REPEAT, first=3).each(Act.Reuse, Act.Run)),
     (([[1], [0]], [[2], []], [], [[3], []]), {})),
    ("D-27", lambda s: s.history(0.5, type=1).batch({"type": 1, "left": 0.4}, REPEAT).each(
        Act.Nack, Act.Run, Act.Reuse), ([[0], [1], []], {})),
    ("D-28", lambda s, held, nacked: (
        s.ops(*range(4 * held), type=2), s.ops(9, first=9, type=1, left=0.5),
        (s.beats(1, later=0.5) if nacked else s.gone(9)).ids(Act.Forget))[-1],
     ([9], {}, True, False), ([9], {}, True, True), ([], {}, False, False)),
    # 95 kB: with a key of 5 there is no room for a run of 4 times 23.
    ("D-29", lambda s: (s.ops(0, type=1, size=1.0), s.ends(0), s.ops(1, first=1, size=23.0, left=90.0),
                        s.beats(1, later=9.0).ids(Act.Run), s.beats(1, later=2.0).ids(Act.Run)),
     (([0], [], [], [], [1]), kinds(LONG, KEYED) | SMALL)),
    # Seven of 10 + 5 kB in 95.
    ("D-30", lambda s: (s.ops(*[0] * 7, type=1), s.ids(Act.Nack)), (([], [6]), SMALL)),
    ("D-31", lambda s, kind, outcome: (s.at_calls(kind), s.back(0, outcome).ids(Act.Fail),
                                       len(s.beats(5).saw(Act.Call)))[1:],
     *((([], 1) if kind == 0 or outcome in PROOF else ([0], 0), {}, kind, outcome) for kind in (0, 1, 2)
       for outcome in (*PROOF, Outcome.ERROR, Outcome.CUT, Outcome.TIMEOUT))),
    ("D-32", Play.tries, ((4, 1, [True] * 3), {})),
    ("D-33", lambda s, given: (s.batch(given, {**given, "repeats": 0}).acts(Act.Keep),
                               *s.each(Act.Reuse, Act.Run)),
     (([Act.Keep(0, 8.0)], [1], [0]), callers(fresh=2.0), SUBJECT),
     *((([], [], [0, 1]), callers(fresh=fresh), given)
       for fresh, given in [(2.0, {}), (0.0, SUBJECT), (2.0, {**SUBJECT, "write": True})])),
    ("D-34", lambda s: (s.ops(*range(5)), s.leave(5.0).did, s.ends(0)),
     ((R4, [Act.Health(True, False)], [4]), {})),
    ("D-35", lambda s: (s.leave(5.0).later(1.9).ops(0), s.later(0.4).ops(0, first=1, unread=0.35)),
     (([0], [1]), {})),
    ("D-36", lambda s: (s.leave(5.0).later(2.1).ops(0), s.ids(Act.Nack)), (([], [0]), {})),
    ("D-37", lambda s: s.leave(5.0).later(2.1).batch({}).waits(),
     *(([longest], callers(max_wait=longest)) for longest in (1.0, 0.3, 0.0))),
    # 24 beats are 1.44 s.
    ("D-38", lambda s: s.everywhere().leave(1.5).beats(24).answered(), ([*range(8)], below(1.2))),
    ("D-39", lambda s, later: s.leave(1.5).later(later).one_by_one(1), ([], SECOND, 0.2), (R1, SECOND, 0.5)),
    ("D-40", lambda s, left: s.leave(left).batch(REPEAT, first=1).each(Act.Reuse, Act.Fail),
     ([[1], []], {}, 5.0), ([[], [1]], {}, 0.1)),
    # 3/4 of two ops a core that are survived.
    ("D-41", lambda s: len(s.ops(*range(20))) + sum(
        len(s.blocked(*s.ids(Act.Run)).ids(Act.Run)) for _ in range(20)), (6, {"survival": {"crowd": 2.0}})),
    # Three of 10 kB in 95: two runs take 30 more each.
    ("D-42", lambda s: (s.ops(0, 1, 2), s.ends(0)), (([0, 1], [2]), SMALL)),
    # 85% of three.
    ("D-43", lambda s: (s.at_calls(0, 0, 0, 0), s.back(0, Outcome.TIMEOUT, 1.0).ids(Act.Call),
                        s.beats(1, later=0.3).ids(Act.Call)), (([0, 1], [], [2]), below(3.0))),
    ("D-44", Play.part_of_a_call, *(((True, True, part > 0), below(part) | kinds(LONG), part)
                                    for part in (0.5, 0.0))),
    ("D-45", Play.swings, (([0.0], True, True, [0.0]), HALF, 1, 8, 60, False, lambda line: len(line) > 5)),
    ("D-45", lambda s: [value for _ in range(10) for value in s.batch(
        {"unread": 30.0, "left": 0.01}).beats(1).values()][-1:], ([0.9], HALF)),
    # 16 ops of half a second fit in four cores and two seconds: half of them over three callers.
    ("D-46", Play.swings, (([2.7], True, True, [2.7]), callers(signal=Signal.ALLOWANCE) | HALF,
                           100, 12, 200, True, lambda line: line[-1] < 2.0)),
    ("D-47", lambda s, unread: ([s.op(id, 2, unread=unread, left=90.0) for id in range(40)],
                                s.beats(1).values())[1],
     *(([weight], callers(signal=Signal.WEIGHT), unread)
       for unread, weight in [(0.0, 1.0), (0.9, 1.0), (1.4, 0.8), (9.0, 0.1)])),
    ("D-48", lambda s: (s.beats(1).values(), s.one_by_one(14), s.beats(30).values())[::2],
     (([], []), callers(signal=Signal.NOTHING) | HALF)),
    ("D-49", lambda s: ([s.batch({"unread": 1.9}, first=id).ends(id) for id in range(20)],
                        s.beats(3).values()[-1:] > [0.0])[1], (True, {})),
    # Four on the cores and ten that wait, 1.5 s: half a second past the set point.
    ("D-50", lambda s: (s.beats(1).one_by_one(14), s.batch({"left": 0.4}, first=99).waits())[1],
     *(([wait], callers(max_wait=longest) | HALF) for longest, wait in [(1.0, 0.5), (0.2, 0.2), (0.0, 0.0)])),
    ("D-50", lambda s: s.batch({}).waits(), ([0.0], {"ran": [3.0]})),
    ("D-51", lambda s: (s.batch().acts(Act.Health), s.history(1.0).one_by_one(200, unread=1.0),
                        s.beats(30).saw(Act.Health))[::2], (([Act.Health(True, True)], []), {})),
    ("D-52", lambda s: [s.beats(1).values() for _ in range(4)], ([[0.0], [], [], []], {})),
    ("D-53", Play.extreme, *((([*range(30)], True), given, most) for most, given in [
        (30, {"machine": {"cores": 1, "gauges": ("busy", "runnable", "memory", "connections")},
              **callers(count=0)}),
        (30, callers(count=900, idle=0.0)), (30, callers(count=900, signal=Signal.ALLOWANCE)),
        (30, callers(count=0, signal=Signal.WEIGHT)), (1, below(0.05)), (0, below(0.0)),
        (0, {"dependency": SHARED._replace(fair_calls=0.0, fair_span=0.0)})])),
    # As in `behind_calls`, where type 1 has a history; here four run and two are held.
    ("D-54", lambda s: (s.slow().at_calls(*[2] * 6, first=100), s.one_by_one(6, type=1),
                        s.beats(1).ids(Act.Nack)), (([100, 101], [], []), below(3.0))),
    ("X-1", lambda s, left: s.one_by_one(1, left=left), (R1, HALF, 0.4), ([], HALF, 0.6)),
    ("X-2", Play.under, ([12, 13], kinds(READ, ONCE, LONG), 10.0, 6)),
    ("X-3", Play.under, ([10, 11], kinds(READ, ONCE, LONG), 0.0, 6)),
    ("X-4", Play.under, ([10, 11], kinds(READ, ONCE, LONG), 10.0, 2)),
    # A line of type 0 at half a second each. With eleven that wait, (11 / 2 + 1) / 4 is past the 1.5 s that
    # type 1 stands.
    *((id, lambda s, took: s.history(0.5).history(took, type=1).beats(1).one_by_one(17),
       (nacked, kinds(READ._replace(target=5.0), READ._replace(importance=importance)), took))
      for id, importance, took, nacked in [("X-5", 1.0, 0.5, [15, 16]), ("X-6", 2.0, 0.5, []),
                                           ("X-6", 0.5, 0.5, []), ("X-6", 1.0, 2.5, [])]),
    ("X-7", lambda s: (s.ops(*range(5)), s.beats(1, later=1.9).ids(Act.Nack),
                       s.beats(1, later=0.15).ids(Act.Nack), s.ends(*R4)), ((R4, [], [4], []), {})),
    ("X-8", lambda s: (s.ops(*range(5)), s.beats(1, later=0.9).ids(Act.Nack),
                       s.beats(1, later=0.2).ids(Act.Nack)), ((R4, [], [4]), SECOND)),
    *((id, lambda s, kind: (s.ops(0, type=kind, left=0.05),
                            [type(did) for did in s.beats(1).saw(Act.Pause, Act.Fail)])[1],
       (did, {"machine": {"halt": halt}}, kind))
      for id, did, kind, halt in [
          ("X-9", STOPPED, 0, settings.Halt.PAUSE), ("X-9", STOPPED, 0, settings.Halt.DROP),
          ("X-11", FAILED, 1, settings.Halt.PAUSE), ("X-11", FAILED, 2, settings.Halt.PAUSE),
          ("X-11", FAILED, 0, settings.Halt.NOTHING)]),
    ("X-10", lambda s: (s.ops(0), s.gone(0).each(Act.Pause, Act.Fail)),
     (([0], [[0], []]), {"machine": {"halt": settings.Halt.PAUSE}})),
    *((id, lambda s, held: (s.at_calls(0, 0), s.ops(*range(4 + held), first=10, type=1, left=90.0),
                            s.beats(1, later=2.05).ids(Act.Fail))[2],
       (failed, below(1.2) | kinds(READ._replace(late_share=late), LONG), held))
      for id, late, held, failed in [("X-12", 0.0, 1, [1]), ("X-13", 0.5, 1, []), ("X-13", 0.0, 0, [])]),
    # Calls take 0.8 s.
    *((id, lambda s, left: (s.slow(type=1).at_calls(0, left=left), [type(did) for did in s.did])[1],
       ([did], below(3.0) | kinds(POORER._replace(late_share=late), KEYED), left))
      for id, late, left, did in [("X-14", 0.0, 0.5, Act.GoOn), ("X-15", 0.0, 6.0, Act.Call),
                                  ("X-15", 0.5, 0.5, Act.Call)]),
    ("X-16", Play.behind_calls, (R1, below(3.0), True, 1), ([], below(3.0), False, 1)),
    ("X-17", Play.behind_calls, ([], below(3.0), True, 3)),
    ("X-18", lambda s, legs: s.calls_take(*[0.2] * STEADY, type=1, legs=legs).calls_take(
        *[0.8] * 20).one_by_one(1, type=1),
     ([], below(3.0), 1), (R1, below(3.0), 3)),
    # Three seconds, less a twentieth with each nack: two after eight.
    ("X-19", Play.one_by_one, ([*range(8)], {"ran": [3.0]}, 9)),
    ("X-20", lambda s: (s.ops(0, type=2, left=90.0), s.one_by_one(40, first=1)),
     (([0], [*range(1, 41)]), {"ran": [3.0]})),
    *((id, lambda s, *spans: len(s.calls_take(*spans).at_calls(*[2] * 10, first=100)),
       (out, below(10.0), *CROWDED, *[0.02] * quick))
      for id, quick, out in [("X-21", 0, 1), ("X-22", 120, 8)]),
    ("X-23", Play.hanging, (R1, below(3.0), False)),
    ("X-24", Play.hanging, ([], below(3.0), True)),
    *((id, lambda s, kind: (s.history(0.4, type=kind).at_calls(kind), round(s.did[-1].until - s.now, 6))[1],
       (until, {}, kind)) for id, kind, until in [("X-25", 3, 1.8), ("X-26", 0, 5.94)]),
    # A read and an op that matters more wait in this order behind a call that is out.
    *((id, lambda s, slow: (s.slow(slow, type=1).at_calls(2, 0, 2),
                            s.back(0, took=0.8 if slow else 0.2).ids(Act.Call))[1],
       ([called], below(1.2) | kinds(LONG, KEYED, ONCE._replace(target=60.0, timeout=90.0)), slow))
      for id, slow, called in [("X-27", True, 2), ("X-28", False, 1)]),
    *((id, Play.nowhere_else, ([says], callers(marks_further=marks) | HALF, *given))
      for id, says, marks, *given in [
          ("X-29", False, True, {}, {}, {}, FURTHER), ("X-29", True, True, {}, FURTHER),
          ("X-30", False, False, FITS, FITS, FITS, MISSES), ("X-30", True, False, FITS, MISSES),
          ("X-31", False, False, {"left": 0.2})]),
    *((id, Play.spans, ([(span, True) for span in told], gauges("busy", "runnable", "connections"), *rounds))
      for id, told, *rounds in [("X-32", [1.5], (0, 200)), ("X-33", [30.0], (0, 48)),
                                ("X-34", [1.5, 30.0], (0, 200), (60, 200))]),
    ("X-35", lambda s, more: (s.ops(*range(20), unread=1.9),
                              s.beats(4, later=0.01, more=more).values()[-1:] > [0.0])[1],
     (False, gauges("busy", "runnable"), 0), (True, gauges("busy", "runnable"), 3)),
    # Eleven of 10 kB in 95.
    ("X-36", lambda s: s.batch(*({"type": kind} for kind in [0, 0] + [2] * 9), apart=0.001).each(
        Act.Nack, Act.Run), ([[1, 0], []], SMALL)),
    # Of the spans of the calls so far: as in X-16, then as in X-21.
    ("X-37", lambda s, *spans: s.calls_take(*spans).behind_queue(1),
     ([], below(3.0), 0.08, *[0.8] * 40), ([], below(3.0), 0.2, *[0.8] * (STEADY // 2 - 2)),
     (R1, below(3.0), *[0.08] * STEADY, *[0.8] * 40)),
    ("X-37", lambda s, *spans: len(s.calls_take(*spans).at_calls(*[2] * 10, first=100)),
     (8, below(10.0), 0.02, *[0.2] * 60)),
]  # fmt: skip


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
TAKE, WAIT, EXPECT, NEXT, ADAPT = Choice.take, Choice._wait, Pace.expect, Hold.next, RunLimit.adapt


def none(*_: Any) -> None:
    """What does nothing."""


def taken_as(**changed: Any) -> Callable[[Choice, float, settings.Op], None]:
    return lambda self, now, op: TAKE(self, now, op._replace(**changed))


def unlent(self: Hold, running: dict[int, int], share: float) -> Job | None:
    job = NEXT(self, running, share)
    return job if job and running.get(job.key, 0) + 1 <= share else None


def youngest(self: Hold, *_: Any) -> Job | None:
    return max((line[-1] for line in self.lines.values()), key=lambda job: job.reached, default=None)


def any_wish(self: Choice, job: Job, want: controller.Want) -> None:
    job.want = want
    self.changed.append(job)


def freed(self: Choice, now: float, job: Job) -> None:
    job.answered = True
    self._move(now, job, controller.At.GONE)


def each_age(self: Calls, now: float, ages: list[float]) -> None:
    for age in ages:
        self.recent += 0.2 * (age - self.recent)


NUMBERS = (  # constants of choice.py
    ("D-1", "SHARE", 1.0), ("D-3", "SHARE", 1.0), ("D-7", "SHRINK", -9.0), ("D-8", "GROW", 0.0),
    ("D-8", "IDLE_BUSY", 1.0), ("D-9", "SHRINK", 0.0), ("D-10", "CROWD_FILL", 9.0), ("D-32", "CALL_TRIES", 9),
    ("D-32", "BACKOFF", 0.0), ("D-41", "CROWD_FILL", 9.0), ("D-42", "MEMORY_FILL", 9.0),
    ("D-43", "CALL_FILL", 9.0), ("D-44", "CALL_FILL", 9.0), ("D-45", "FLOOR_GAIN", 0.0),
    ("D-45", "FLOOR_TOP", 2.0), ("D-46", "ALLOW_GAIN", 0.0), ("X-2", "PRESSED", 99.0),
    ("X-3", "PRESSED", -1.0), ("X-16", "SLOW_CALLS", 99.0),
    ("X-21", "CROWDED_CALLS", 99.0), ("X-27", "SLOW_CALLS", 99.0), ("X-28", "SLOW_CALLS", 0.5),
    ("X-29", "STORM", 0.9), ("X-29", "STORM", 0.1), ("X-32", "FEW_LINKS", 99), ("X-36", "MEMORY_FILL", 9.0),
)  # fmt: skip
MUTANTS: list[tuple[str, object, str, Any]] = [
    *((id, controller, name, number) for id, name, number in NUMBERS),
    ("D-2", Hold, "next", unlent),
    ("D-4", Choice, "take", lambda self, now, op: TAKE(self, now, op._replace(tenant=op.caller))),
    ("D-5", Hold, "next", youngest),
    ("D-6", Hold, "next", youngest),
    ("D-11", RunLimit, "adapt", lambda self, now, busy, _, *more: ADAPT(self, now, busy, 0.0, *more)),
    ("D-12", Choice, "_misses", lambda *_: False),
    ("D-13", Pace, "expect", lambda *_: [1.0, 0.0, 0.0, 0.0]),
    ("D-14", Choice, "_wait", lambda self, now, *_: WAIT(self, now)),
    ("D-16", Pace, "expect", lambda self, op: EXPECT(self, op._replace(hint=0.0))),
    ("D-18", Pace, "expect", lambda self, op: [*EXPECT(self, op)[:2], 0.0, 0.0]),
    ("D-19", Choice, "blocked", none),
    ("D-21", Choice, "_give_up", none),
    ("D-22", Choice, "_wish", any_wish),
    ("D-23", Choice, "_answered", freed),
    ("D-24", Choice, "gone", none),
    ("D-26", Choice, "take", taken_as(repeats=None)),
    ("D-31", settings, "NEVER_RAN", frozenset(Outcome)),
    ("D-31", settings, "NEVER_RAN", frozenset()),
    ("D-34", Choice, "leave", none),
    ("D-35", Choice, "take", taken_as(unread=0.0)),
    ("D-36", Choice, "take", taken_as(unread=1.0)),
    ("D-37", Choice, "_away", lambda *_: 0.1),
    ("D-38", Choice, "leave", none),
    ("D-39", Pace, "expect", lambda *_: [0.0] * 4),
    ("D-50", Choice, "_away", lambda *_: 0.0),
    ("X-1", Choice, "take", taken_as(left=6.0)),
    ("X-7", Choice, "_stale", lambda *_: False),
    ("X-8", Choice, "_stale", lambda _, now, job: now > job.target),
    ("X-9", Choice, "_stops", lambda *_: False),
    ("X-11", Choice, "_stops", lambda *_: True),
    ("X-19", Pace, "fade", none),
    ("X-23", Calls, "watch", none),
    ("X-24", Calls, "watch", each_age),
    ("X-37", controller, "STEADY", 1),
]


class Mutants(unittest.TestCase):
    def test_each_can_fail(self) -> None:
        for id, where, name, mutant in MUTANTS:
            with self.subTest(row=id, out=name), mock.patch.object(where, name, mutant):
                self.assertRaises(AssertionError, CASES[id], self)


if __name__ == "__main__":
    unittest.main()
