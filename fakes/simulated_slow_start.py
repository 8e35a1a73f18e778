"""Cold starts in simulated time: hundreds of processes, one list, one database, no socket, no processor time.

A `Process` carries out what `coldstart.decide.ColdStart` says, as `net/roster.py` and `net/database.py` do. A
`Fixed` one is the program before it: a report each 0.9 s from its start on, every call at once. Both can be
held (SIGSTOP) and let go; what was to happen meanwhile happens at the moment they go on. Spans are seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum, auto
from heapq import heappop, heappush
from math import inf
from typing import Any

from fakes.simulated_fleet import World
from thymeyoke.admission.events import Outcome
from thymeyoke.slow_start.backoff import CallBacklog
from thymeyoke.slow_start.controller import StartupController
from thymeyoke.slow_start.heartbeat import ENTRY_TTL_SECONDS, INTERVAL_SECONDS, REPORT_TIMEOUT_SECONDS
from thymeyoke.slow_start.rate_limiter import TICK_SECONDS, RateLimits

WINDOW = 0.1  # over which a peak is counted
STARTS = 0.5  # processor time of a start
TIMEOUT = 4.0  # of an op
IDLE = 2.0  # that a connection to the database lives unused
TRIES, BACKOFF = 4, 0.1  # of one call, as `choice.py` has them
PATIENT = 2.0  # that an op which comes to a process that is held waits for it


class Fault(Enum):
    """What comes of a report that is not taken."""

    REFUSED = auto()
    SILENT = auto()
    TURNED = auto()  # another answer than 204


class Peaks:
    """How many came in each window."""

    def __init__(self, world: World) -> None:
        self.world, self.windows = world, Counter[int]()

    def add(self) -> None:
        self.windows[int(self.world.now / WINDOW)] += 1

    def peak(self, since: float, until: float, wide: int = 1) -> float:
        """The most in a second, counted over `wide` windows."""
        first, last = int(since / WINDOW), int(until / WINDOW)
        windows = [self.windows[at] for at in range(first, max(first + 1, last) + wide)]
        return max(sum(windows[at : at + wide]) for at in range(len(windows) - wide)) / (WINDOW * wide)


class List:
    """Takes reports one after the other. `mode`: what it does to one instead; None: it takes them."""

    def __init__(self, world: World, rate: float) -> None:
        self.world, self.rate, self.free_at = world, rate, 0.0
        self.mode: Fault | None = None
        self.came = Peaks(world)

    def report(self, answer: Callable[[Fault | None], None]) -> None:
        self.came.add()
        if self.mode is Fault.SILENT:
            return
        if self.mode is not None:
            return self.world.after(0.002, answer, self.mode)
        self.free_at = max(self.world.now, self.free_at) + 1 / self.rate
        self.world.at(self.free_at + 0.001, answer, None)


class Store:
    """A database. In each window it answers `strength` times its usual calls, the rest with FULL, and falls
    over at `falls` times."""

    def __init__(self, world: World, usual: float, falls: float) -> None:
        self.world, self.usual, self.falls, self.strength = world, usual, falls, 1.5
        self.came, self.away_until, self.fell = Peaks(world), -inf, 0

    def call(self, over: Callable[[Outcome], None]) -> None:
        self.came.add()
        world, rng = self.world, self.world.rng
        many = self.came.windows[int(world.now / WINDOW)] / (self.usual * WINDOW)
        if world.now < self.away_until:
            return world.after(0.001, over, Outcome.UNREACHABLE)
        if many >= self.falls:
            self.fell += 1
            self.away_until = world.now + 3.0
            return world.after(0.001, over, Outcome.CONNECTION_LOST)
        if many > self.strength:
            return world.after(0.002, over, Outcome.REJECTED)
        world.after(rng.uniform(0.005, 0.02), over, Outcome.OK)


class Op:
    __slots__ = ("id", "tries", "until")

    def __init__(self, id: str, until: float) -> None:
        self.id, self.until, self.tries = id, until, 0


class Fixed:
    """One process as it was: no decision about its start."""

    def __init__(self, world: World, name: str, roster: List, store: Store, rate: float) -> None:
        self.world, self.name, self.roster, self.store, self.rate = world, name, roster, store, rate
        self.alive, self.held_until, self.numbers = True, -inf, 0
        self.heard = -inf  # when the last report went out that was answered
        self.first_listed = inf
        self.report_number = 0
        self.free: list[float] = []  # idle connections, by when they were used last
        self.counts: Counter[str] = Counter()

    def begin(self, lived: float) -> None:
        self._report()
        self.at(self.world.now + self.world.rng.expovariate(self.rate), self._come)

    # Time, as the process has it.

    def at(self, moment: float, do: Callable[..., Any], *args: Any) -> None:
        self.world.at(moment, self._do, do, args)

    def _do(self, do: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if not self.alive:
            return
        if self.world.now < self.held_until:
            return self.world.at(self.held_until, self._do, do, args)
        do(*args)

    def hold(self, span: float) -> None:
        self.held_until = self.world.now + span

    def kill(self) -> None:
        self.alive = False

    def listed(self, now: float) -> bool:
        return self.alive and now < self.heard + ENTRY_TTL_SECONDS

    # Reports.

    def _report(self) -> None:
        now = self.world.now
        self.report_number += 1
        self._send_report(now + REPORT_TIMEOUT_SECONDS)
        self.at(now + INTERVAL_SECONDS, self._report)

    def _send_report(self, until: float) -> None:
        number, out = self.report_number, self.world.now
        self.roster.report(lambda fault: self.at(self.world.now, self._answer, number, out, until, fault))
        self.at(until, self._answer, number, out, until, Fault.SILENT)

    def _answer(self, number: int, out: float, until: float, fault: Fault | None) -> None:
        if number != self.report_number or out == self.heard:
            return
        if fault is None:
            self.heard = out
            self.first_listed = min(self.first_listed, self.world.now)

    # Ops, and their calls.

    def _come(self) -> None:
        """An op, where it still has its time: what came while the process was held comes now, as the sockets
        kept it."""
        self.numbers += 1
        now = self.world.now
        self.ask(Op(f"{self.name} {self.numbers}", now + TIMEOUT))
        self.at(now + self.world.rng.expovariate(self.rate), self._come)

    def backlog(self) -> None:
        """Let go: ops that wait in its sockets."""
        for _ in range(int(self.rate * PATIENT)):
            self.numbers += 1
            self.ask(Op(f"{self.name} {self.numbers}", self.world.now + TIMEOUT - PATIENT / 2))

    def ask(self, op: Op) -> None:
        self.send(op)

    def connects(self) -> bool:
        """Whether a call needs a new connection."""
        now = self.world.now
        while self.free:
            if self.free.pop() > now - IDLE:
                return False
        return True

    def send(self, op: Op) -> None:
        out = self.world.now
        self.connects()
        self.store.call(lambda outcome: self.at(self.world.now, self.over, op, out, outcome))

    def over(self, op: Op, out: float, outcome: Outcome) -> None:
        now = self.world.now
        if outcome is Outcome.OK:
            self.counts["acked" if now <= op.until else "late"] += 1
            self.free.append(now)
            return
        op.tries += 1
        wait = BACKOFF * 2 ** (op.tries - 1) * self.world.rng.uniform(0.5, 1)
        if op.tries < TRIES and now + wait < op.until:
            self.at(now + wait, self.ask, op)
        else:
            self.counts["requests_failed"] += 1


class Process(Fixed):
    """One process with the decisions."""

    def __init__(self, world: World, name: str, roster: List, store: Store, rate: float) -> None:
        super().__init__(world, name, roster, store, rate)
        terms = RateLimits(
            max_concurrency=64.0, sure_concurrency=rate, latency_objective=1.0, client_timeout=TIMEOUT
        )
        self.cold = StartupController(
            world.now, seed=world.seed, name=name, limits=terms, started_at=world.now
        )
        self.beat = self.cold.new_heartbeat(world.now)
        self.waits: CallBacklog[Op] = CallBacklog()
        self.ends: list[tuple[float, int, Op]] = []
        self.out = False  # a report is
        self.look_at = world.now + TICK_SECONDS
        self.let_at = inf

    def begin(self, lived: float) -> None:
        """It has lived for so long, and worked for `STARTS` of it."""
        now = self.world.now
        self.cold.started_at = now - lived
        self.cold.begin(now, STARTS)
        self._look_report()
        self.at(now + self.world.rng.expovariate(self.rate), self._come)
        self.at(self.look_at, self._look)

    # Reports, as `net/roster.py` has them.

    def _look_report(self) -> None:
        now = self.world.now
        if self.out:
            return
        if self.cold.should_report(now):
            self.report_number += 1
            self.out = True
            self._send_report(self.cold.report_sent(now))
        else:
            self.at(max(now, self.beat.wake_at), self._look_report)

    def _answer(self, number: int, out: float, until: float, fault: Fault | None) -> None:
        if number != self.report_number or not self.out:
            return
        now, self.out = self.world.now, False
        if fault is None:
            self.heard = out
            self.first_listed = min(self.first_listed, now)
            self.cold.report_accepted(now)
        else:
            self.cold.report_failed(now)
        self._look_report()

    # Calls, as `net/database.py` has them.

    def ask(self, op: Op) -> None:
        now, pace = self.world.now, self.cold.rate_limiter
        repeat = op.id in self.cold.failed_calls
        pace.first_attempts += not repeat
        if not self.waits and pace.is_open and self.cold.may_call(now, op.id):
            return self.send(op)
        if not self.waits.add(now, op.id, op, repeat, op.until):
            self.counts["turned_away"] += 1
            return
        pace.has_token(now)
        heappush(self.ends, (op.until, next(self.world.numbers), op))
        self._let_out()

    def _let_out(self) -> None:
        now, pace = self.world.now, self.cold.rate_limiter
        while self.waits and pace.has_token(now):
            op = self.waits.take_next(now, self.cold.budget, pace.min_time_left)
            self.counts["without_leave"] += len(self.waits.expired)
            self.waits.expired.clear()
            if op is None:
                break
            self.send(op)
        if self.waits:
            moment = max(pace.next_token_at(now), self.waits.next_at(now, self.cold.budget), now + 0.001)
            if moment < self.let_at or self.let_at <= now:
                self.let_at = moment
                self.at(moment, self._let_out)

    def connects(self) -> bool:
        found = super().connects()
        self.cold.rate_limiter.spend(found)
        return found

    def over(self, op: Op, out: float, outcome: Outcome) -> None:
        now = self.world.now
        self.cold.call_ended(now, op.id, outcome, now - out)
        super().over(op, out, outcome)

    def _look(self) -> None:
        now = self.world.now
        self.cold.stalled(now, now - self.look_at)
        self.look_at = now + TICK_SECONDS
        while self.ends and self.ends[0][0] <= now:
            _, _, op = heappop(self.ends)
            if self.waits.get(op.id) is op:
                self.waits.drop(op.id)
                self.counts["without_leave"] += 1
        self.cold.tick(now, self.waits.oldest_age(now))
        self._let_out()
        self.at(self.look_at, self._look)

    def backlog(self) -> None:
        self.cold.stalled(self.world.now, self.world.now - self.look_at)
        super().backlog()


class Crowd:
    """Many processes of one kind with one list and one database. The list takes 1.35 times what they report,
    the database falls at `falls` times its usual calls."""

    def __init__(
        self, seed: int, many: int, kind: type[Fixed], rate: float = 10.0, falls: float = 4.0
    ) -> None:
        self.world, self.many, self.kind, self.rate = World(seed), many, kind, rate
        self.roster = List(self.world, 1.35 * many / INTERVAL_SECONDS)
        self.store = Store(self.world, many * rate, falls)
        self.all: list[Fixed] = []
        self.counts: Counter[str] = Counter()

    def start(self, many: int, lived: float) -> None:
        """So many, all at this moment."""
        for _ in range(many):
            one = self.kind(self.world, f"p{len(self.all):03}", self.roster, self.store, self.rate)
            self.all.append(one)
            one.begin(lived)

    def there(self) -> list[Fixed]:
        return [one for one in self.all if one.alive]

    def hold(self, span: float) -> None:
        for one in self.there():
            one.hold(span)
        self.world.after(span, self._go_on)

    def _go_on(self) -> None:
        for one in self.there():
            one.backlog()

    def unlisted(self) -> int:
        return sum(not one.listed(self.world.now) for one in self.there())

    def until_listed(self, until: float) -> float:
        """Run on until all are listed; how long it took, or inf."""
        began = self.world.now
        while self.world.now < until:
            self.world.run(self.world.now + 0.05)
            if not self.unlisted():
                return self.world.now - began
        return inf

    def total(self, what: str) -> int:
        return sum(one.counts[what] for one in self.all)
