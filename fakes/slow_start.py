"""Hundreds of processes that start, in simulated time: the decisions of `coldstart/` over a small event loop,
and beside them what the program did before there were any.

No spread but their own: without faults all processes do the same at the same moment. What the actors do
(`Roster`, `Database`) is written out here in a few lines; ops ask for calls as `Choice` lets them out: so
many at once, with its backoff and its four tries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from fakes.dependency import Load, Strength, Taking
from thymeyoke.admission.events import Outcome
from thymeyoke.slow_start.backoff import CallBacklog
from thymeyoke.slow_start.controller import StartupController
from thymeyoke.slow_start.heartbeat import INTERVAL_SECONDS, REPORT_TIMEOUT_SECONDS
from thymeyoke.slow_start.rate_limiter import TICK_SECONDS, RateLimits

WAY = 0.001  # seconds to a peer and back
TOOK = 0.02  # seconds of a call
TARGET, TIMEOUT = 1.0, 3.0
TRIES, BACKOFF = 4, 0.1  # of one call; the first wait, of the target
AT_ONCE = 4  # calls of one process that are out
IDLE = 2.0  # seconds after which an unused connection is closed
HEADROOM = 1.5  # times its steady rate: the reports that the list takes
FALLS = 4.0  # times its usual calls: the database falls over
ALONE = 0.3  # seconds of a start, alone


class Fault(Enum):
    """What is wrong with the list."""

    REFUSED = "refuses"
    SILENT = "hangs"
    TURNED = "says 503"


class Op(NamedTuple):
    born: float
    until: float
    tries: int = 0


class World:
    """The event loop, the list and the database."""

    def __init__(self, many: int, rate: float, seed: int, old: bool = False) -> None:
        self.many, self.rate, self.old = many, rate, old  # rate: calls a second of one process
        self.now, self.turns = 0.0, count()
        self.heap: list[tuple[float, int, Process | None, Callable[..., None], tuple[Any, ...]]] = []
        self.random = Random(seed)
        self.taking = Taking(HEADROOM * many / INTERVAL_SECONDS)
        usual = max(1.0, many * rate * 0.1)
        self.strength = Strength(FALLS * usual, FALLS * usual, 1.0)
        self.usual = usual
        self.fault: Fault | None = None  # of the list
        self.gone = False  # the database
        self.reports, self.calls = Load(), Load()
        self.listed: dict[str, float] = {}  # by name: when it was listed first in this life
        self.sound_since = 0.0  # the list, and nobody held
        self.again: dict[str, float] = {}  # by name: seconds from when the list was back until it was listed
        self.gaps = 0.0  # the longest between two answered reports of one life, with all sound
        self.acked = self.failed = 0
        self.processes = [Process(self, f"n{number}") for number in range(many)]

    def at(self, moment: float, process: Process | None, what: Callable[..., None], *given: Any) -> None:
        heappush(self.heap, (moment, next(self.turns), process, what, given))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, process, what, given = heappop(self.heap)
            if process is not None and process.held_until > self.now:  # it stands still
                self.at(process.held_until, process, what, *given)
            else:
                what(*given)
        self.now = until

    def hold(self, span: float) -> None:
        self.sound_since = self.now + span
        for process in self.processes:
            process.held_until = self.now + span

    def list_is(self, fault: Fault | None) -> None:
        self.fault = fault
        self.sound_since = float("inf") if fault else self.now

    def report(self) -> tuple[float, Fault | None]:
        """One comes in now: when its answer is there, and which."""
        self.reports.came(self.now)
        if self.fault is Fault.SILENT:
            return float("inf"), None
        if self.fault:
            return self.now + WAY, self.fault
        return self.taking.through(self.now) + WAY, None

    def call(self, connects: bool) -> tuple[float, Outcome]:
        if self.gone or not self.strength.up(self.now):
            self.calls.came(self.now)
            return self.now + WAY, Outcome.UNREACHABLE
        taken = all([self.strength.bears(self.now) for _ in range(1 + connects)])
        self.calls.came(self.now)
        if not self.strength.up(self.now):
            return self.now + WAY, Outcome.CONNECTION_LOST
        return (self.now + WAY + TOOK, Outcome.OK) if taken else (self.now + WAY, Outcome.REJECTED)


class Process:
    """One life after the other, under one name. `life` tells events of an older one apart."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.life, self.held_until = world, name, 0, 0.0
        self.phase = world.random.random()  # of its ops: they are the customers', and do not start together

    def start(self, seed: int, lived: float = ALONE, worked: float = ALONE) -> None:
        """Ready to report now, after so many seconds, of which it used so many of a processor."""
        now = self.world.now
        self.life += 1
        sure = FALLS * self.world.rate * TOOK  # its part of the calls in hand that the database survives
        terms = RateLimits(AT_ONCE, sure, tick=0.002, latency_objective=TARGET, client_timeout=TIMEOUT)
        self.cold = StartupController(now, seed, self.name, terms, now - lived)
        self.waits: CallBacklog[Op] = CallBacklog()
        self.out, self.turn = 0, count()
        self.ready: deque[Op] = deque()  # emptied as calls go out, and after their target
        self.lines: list[float] = []  # idle connections, by when they were used last
        self.planned = now + TICK_SECONDS
        self.let_at = float("inf")  # when waiting calls are looked at next
        self.answered = float("-inf")
        self.world.listed.pop(self.name, None)
        self.cold.begin(now, worked)
        self._soon(0.0, self._beat) if self.world.old else self._next_report()
        self._soon(TICK_SECONDS, self._look)
        if self.world.rate:
            self.world.at(now + self.phase / self.world.rate, None, self._customer, self.life)

    def kill(self) -> None:
        self.life += 1

    def _soon(self, span: float, what: Callable[..., None], *given: Any) -> None:
        self.world.at(self.world.now + max(0.0, span), self, self._alive, self.life, what, given)

    def _alive(self, life: int, what: Callable[..., None], given: tuple[Any, ...]) -> None:
        if life == self.life:
            what(*given)

    # Reports.

    def _next_report(self) -> None:
        now = self.world.now
        self._soon(self.cold.heartbeat.wake_at - now, self._beat)

    def _beat(self) -> None:
        now = self.world.now
        if not self.world.old and not self.cold.should_report(now):
            return self._next_report()
        given_up = now + REPORT_TIMEOUT_SECONDS if self.world.old else self.cold.report_sent(now)
        back, fault = self.world.report()
        if back >= given_up:
            back, fault = given_up, Fault.SILENT
        self._soon(back - now, self._reported, now, fault)

    def _reported(self, sent: float, fault: Fault | None) -> None:
        now = self.world.now
        if fault is None:
            self.world.listed.setdefault(self.name, now)
            if 0 < self.world.sound_since <= sent:
                self.world.again.setdefault(self.name, now - self.world.sound_since)
            if self.answered >= self.world.sound_since:
                self.world.gaps = max(self.world.gaps, now - self.answered)
            self.answered = now
        if self.world.old:  # the next one a span behind this one, in step
            return self._soon(sent + INTERVAL_SECONDS - now, self._beat)
        if fault is None:
            self.cold.report_accepted(now)
        else:
            self.cold.report_failed(now)
        self._next_report()

    # Calls.

    def _customer(self, life: int) -> None:
        """Asks whatever the process does: what it can't read now waits for it."""
        if life == self.life:
            now = self.world.now
            self.world.at(now + 1 / self.world.rate, None, self._customer, life)
            self._soon(0.0, self._op, now)

    def _op(self, born: float) -> None:
        self.ready.append(Op(born, born + TIMEOUT))
        self._pump()

    def _pump(self) -> None:
        now = self.world.now
        while self.ready and self.out < AT_ONCE:
            op = self.ready.popleft()
            if now > op.born + TARGET:
                self.world.failed += 1
                continue
            self.out += 1
            self._make(op)

    def _make(self, op: Op) -> None:
        now, id = self.world.now, f"{op.born}"
        if self.world.old:
            return self._send(op)
        self._woke()
        repeat = id in self.cold.failed_calls
        self.cold.rate_limiter.first_attempts += not repeat
        if not self.waits and self.cold.rate_limiter.is_open and self.cold.may_call(now, id):
            return self._send(op)
        self.waits.add(now, id, op, repeat, op.until)
        self._soon(op.until - now, self._expire, id, op)
        self._let_out()

    def _woke(self) -> None:
        self.cold.stalled(self.world.now, self.world.now - self.planned)
        self.planned = max(self.planned, self.world.now)

    def _let_out(self) -> None:
        now, pace, budget = self.world.now, self.cold.rate_limiter, self.cold.budget
        if now >= self.let_at:
            self.let_at = float("inf")
        while self.waits and pace.has_token(now):
            op = self.waits.take_next(now, budget, pace.min_time_left)
            for late in self.waits.expired:
                self._over(late)
            self.waits.expired.clear()
            if op is None:
                break
            self._send(op)
        moment = max(pace.next_token_at(now), self.waits.next_at(now, budget)) + 1e-6
        if self.waits and moment < self.let_at:
            self.let_at = moment
            self._soon(moment - now, self._let_out)

    def _expire(self, id: str, op: Op) -> None:
        if self.waits.get(id) is op:
            self.waits.drop(id)
            self._over(op)

    def _over(self, op: Op) -> None:
        """Its call never ran."""
        self.out -= 1
        self.world.failed += 1
        self._soon(0.0, self._pump)

    def _send(self, op: Op) -> None:
        now = self.world.now
        self.lines = [used for used in self.lines if now <= used + IDLE]
        connects = not self.lines
        if self.lines:
            self.lines.pop()
        if not self.world.old:
            self.cold.rate_limiter.spend(connects)
        back, outcome = self.world.call(connects)
        self._soon(back - now, self._back, op, outcome, now)

    def _back(self, op: Op, outcome: Outcome, sent: float) -> None:
        now = self.world.now
        self.out -= 1
        if not self.world.old:
            self._woke()
            self.cold.call_ended(now, f"{op.born}", outcome, now - sent)
        if outcome in (Outcome.OK, Outcome.REJECTED):  # else the connection is lost
            self.lines.append(now)
        if outcome is Outcome.OK:
            self.world.acked += 1
        elif op.tries + 1 < TRIES:
            wait = BACKOFF * TARGET * 2**op.tries * self.world.random.uniform(0.5, 1)
            self._soon(wait, self._again, op._replace(tries=op.tries + 1))
        else:
            self.world.failed += 1
        self._pump()

    def _again(self, op: Op) -> None:
        self.ready.append(op)
        self._pump()

    def _look(self) -> None:
        if not self.world.old:
            self._woke()
            self.cold.tick(self.world.now, self.waits.oldest_age(self.world.now))
            self._let_out()
        self.planned = self.world.now + TICK_SECONDS
        self._soon(TICK_SECONDS, self._look)


class Found(NamedTuple):
    """Ratios of the fullest window of 0.1 s to the steady rate, from a moment on."""

    reports: float
    calls: float
    listed: float  # seconds until all were listed; inf where some are not
    again: float  # seconds from when the list was back, or they were let go, until all were listed again
    gap: float  # seconds between answered reports, at most, while the list is sound
    fallen: int  # times that the database fell over
    acked: float  # of the ops that ended


Play = Callable[[World], float]  # runs a world; from when on its load counts


def _begin(world: World, **given: float) -> None:
    for number, process in enumerate(world.processes):
        process.start(number, **given)


def born_at_once(world: World) -> float:
    _begin(world)
    world.run(12.0)
    return 0.0


def behind_the_first(world: World) -> float:
    """The same, without the first reports, which are not put off."""
    _begin(world)
    world.run(12.0)
    return INTERVAL_SECONDS / 4


def crowded_starts(world: World) -> float:
    """On machines that they share with many: each took long for little processor time."""
    _begin(world, lived=4.0)
    world.run(12.0)
    return 0.0


def let_go_at_once(world: World) -> float:
    _begin(world)
    world.run(10.0)
    world.hold(4.0)
    world.run(26.0)
    return 14.0


def held_for_a_moment(world: World) -> float:
    _begin(world)
    world.run(10.0)
    world.hold(0.5)
    world.run(20.0)
    return 10.5


def _list(world: World, fault: Fault, span: float) -> float:
    _begin(world)
    world.run(10.0)
    world.list_is(fault)
    world.run(10.0 + span)
    world.list_is(None)
    world.run(10.0 + span + 12.0)
    return 10.0


def list_gone(world: World) -> float:
    return _list(world, Fault.REFUSED, 20.0)


def list_hangs(world: World) -> float:
    return _list(world, Fault.SILENT, 20.0)


def list_says_503(world: World) -> float:
    return _list(world, Fault.TURNED, 20.0)


def list_back_after_an_hour(world: World) -> float:
    world.rate = 0.0  # the list alone
    return _list(world, Fault.REFUSED, 3600.0)


def both_back(world: World) -> float:
    """List and database are back at one moment."""
    _begin(world)
    world.run(10.0)
    world.list_is(Fault.REFUSED)
    world.gone = True
    world.run(16.0)
    world.list_is(None)
    world.gone = False
    world.run(32.0)
    return 16.0


def half_strength(world: World) -> float:
    """The database is back at half of what is asked of it, and later whole."""
    _begin(world)
    world.run(10.0)
    world.gone, whole = True, world.strength.full
    world.run(13.0)
    world.gone, world.strength.full = False, world.usual / 2
    world.run(25.0)
    world.strength.full = whole
    world.run(38.0)
    return 13.0


def third_killed(world: World, **given: float) -> float:
    """A third is killed and started again at one moment."""
    _begin(world)
    world.run(10.0)
    for process in world.processes[::3]:
        process.kill()
    world.run(11.0)
    for number, process in enumerate(world.processes[::3]):
        process.start(1000 + number, **given)
    world.run(22.0)
    return 10.0


def third_killed_crowded(world: World) -> float:
    return third_killed(world, lived=4.0)


def second_cold_start(world: World) -> float:
    """Before the first is over."""
    _begin(world, lived=4.0)
    world.run(0.6)
    for process in world.processes:
        process.kill()
    world.run(0.7)
    for number, process in enumerate(world.processes):
        process.start(1000 + number, lived=4.0)
    world.run(12.0)
    return 0.7


PLAYS: dict[str, Play] = {
    "born at once, alone on their machines": born_at_once,
    "the same, behind the first reports": behind_the_first,
    "born at once, starts in a crowd": crowded_starts,
    "let go at once after 4 s": let_go_at_once,
    "let go at once after 0.5 s": held_for_a_moment,
    "list gone for 20 s": list_gone,
    "list hangs for 20 s": list_hangs,
    "list says 503 for 20 s": list_says_503,
    "list and database back at once": both_back,
    "database back at half its strength": half_strength,
    "a third killed and started at once": third_killed,
    "the same, starts in a crowd": third_killed_crowded,
    "a second cold start within the first": second_cold_start,
}


def play(what: Play, many: int = 300, rate: float = 2.0, seed: int = 1, old: bool = False) -> Found:
    world = World(many, rate, seed, old)
    since = what(world)
    calls = world.rate * many
    ended = world.acked + world.failed
    return Found(
        world.reports.peak(since) / (many / INTERVAL_SECONDS),
        world.calls.peak(since) / calls if calls else 0.0,
        max(world.listed.values()) if len(world.listed) == many else float("inf"),
        max(world.again.values(), default=0.0) if len(world.again) in (0, many) else float("inf"),
        world.gaps, world.strength.fallen, world.acked / max(1, ended))  # fmt: skip


__all__ = ["PLAYS", "Found", "World", "play"]
