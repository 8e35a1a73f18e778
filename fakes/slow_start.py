"""Hundreds of starting processes in simulated time, with and without the decisions of `slow_start/`.

There is no randomness but the processes' own: without slow start all of them act at the same moment. The
behaviour of `EndpointRegistryClient` and `DependencyClient` is simplified here. Requests make calls as
admission control lets them: with limited concurrency, its backoff and its four attempts.
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

ROUND_TRIP_SECONDS = 0.001
CALL_SECONDS = 0.02
LATENCY_OBJECTIVE, CLIENT_TIMEOUT = 1.0, 3.0  # seconds
MAX_ATTEMPTS, FIRST_BACKOFF_SHARE = 4, 0.1  # of one call; a share of the latency objective
MAX_CONCURRENT_CALLS = 4  # of one process
IDLE_SECONDS = 2.0  # after which an unused connection is closed
REGISTRY_HEADROOM = 1.5  # capacity of the registry, relative to the steady rate of reports
FALL_FACTOR = 4.0  # load at which the dependency fails, relative to the usual calls
START_SECONDS = 0.3  # of a process that starts alone


class Fault(Enum):
    """A fault of the registry."""

    REFUSED = "refuses"
    SILENT = "hangs"
    ERROR_STATUS = "says 503"


class Request(NamedTuple):
    created_at: float
    until: float
    attempts: int = 0


class World:
    """The event loop, the registry and the dependency."""

    def __init__(self, process_count: int, rate: float, seed: int, is_baseline: bool = False) -> None:
        # Rate: calls a second of one process
        self.process_count = process_count
        self.rate = rate
        self.is_baseline = is_baseline
        self.now, self.turns = 0.0, count()
        self.heap: list[tuple[float, int, Process | None, Callable[..., None], tuple[Any, ...]]] = []
        self.random = Random(seed)
        self.taking = Taking(REGISTRY_HEADROOM * process_count / INTERVAL_SECONDS)
        usual = max(1.0, process_count * rate * 0.1)
        self.strength = Strength(FALL_FACTOR * usual, FALL_FACTOR * usual, 1.0)
        self.usual = usual
        self.fault: Fault | None = None  # of the registry
        self.is_dependency_down = False
        self.reports, self.calls = Load(), Load()
        self.listed: dict[str, float] = {}  # by name: when this incarnation was first listed
        self.healthy_since = 0.0  # since when the registry is healthy and no process is stopped
        self.relisted_after: dict[str, float] = {}  # by name: seconds from `healthy_since` until listed again
        self.gaps = 0.0  # longest time between two acknowledged reports while healthy
        self.served = self.failed = 0
        self.processes = [Process(self, f"n{number}") for number in range(process_count)]

    def at(self, moment: float, process: Process | None, what: Callable[..., None], *given: Any) -> None:
        heappush(self.heap, (moment, next(self.turns), process, what, given))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, process, what, given = heappop(self.heap)
            if process is not None and process.held_until > self.now:  # the process is stopped
                self.at(process.held_until, process, what, *given)
            else:
                what(*given)
        self.now = until

    def hold(self, span: float) -> None:
        self.healthy_since = self.now + span
        for process in self.processes:
            process.held_until = self.now + span

    def set_registry_fault(self, fault: Fault | None) -> None:
        self.fault = fault
        self.healthy_since = float("inf") if fault else self.now

    def report(self) -> tuple[float, Fault | None]:
        """Handle a report sent now; return the time of its answer, and its fault."""
        self.reports.came(self.now)
        if self.fault is Fault.SILENT:
            return float("inf"), None
        if self.fault:
            return self.now + ROUND_TRIP_SECONDS, self.fault
        return self.taking.through(self.now) + ROUND_TRIP_SECONDS, None

    def call(self, connects: bool) -> tuple[float, Outcome]:
        if self.is_dependency_down or not self.strength.up(self.now):
            self.calls.came(self.now)
            return self.now + ROUND_TRIP_SECONDS, Outcome.UNREACHABLE
        taken = all([self.strength.bears(self.now) for _ in range(1 + connects)])
        self.calls.came(self.now)
        if not self.strength.up(self.now):
            return self.now + ROUND_TRIP_SECONDS, Outcome.CONNECTION_LOST
        return (
            (self.now + ROUND_TRIP_SECONDS + CALL_SECONDS, Outcome.OK)
            if taken
            else (self.now + ROUND_TRIP_SECONDS, Outcome.REJECTED)
        )


class Process:
    """The incarnations of one process; `incarnation` identifies events of earlier ones."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.incarnation, self.held_until = world, name, 0, 0.0
        self.request_phase = world.random.random()  # requests of different processes are not in phase

    def start(self, seed: int, uptime: float = START_SECONDS, cpu_seconds: float = START_SECONDS) -> None:
        """Start a new incarnation that is ready to report, `uptime` seconds after its start."""
        now = self.world.now
        self.incarnation += 1
        # Its share of the concurrency that causes no failure.
        sure = FALL_FACTOR * self.world.rate * CALL_SECONDS
        terms = RateLimits(
            MAX_CONCURRENT_CALLS,
            sure,
            tick=0.002,
            latency_objective=LATENCY_OBJECTIVE,
            client_timeout=CLIENT_TIMEOUT,
        )
        self.startup = StartupController(now, seed, self.name, terms, now - uptime)
        self.call_backlog: CallBacklog[Request] = CallBacklog()
        self.calls_in_flight, self.turn = 0, count()
        self.queued: deque[Request] = deque()
        self.idle_connections: list[float] = []  # the times at which they were last used
        self.next_tick_at = now + TICK_SECONDS
        self.next_start_at = float("inf")  # when waiting calls are checked next
        self.last_acknowledged = float("-inf")
        self.world.listed.pop(self.name, None)
        self.startup.begin(now, cpu_seconds)
        self._after(0.0, self._report) if self.world.is_baseline else self._next_report()
        self._after(TICK_SECONDS, self._tick)
        if self.world.rate:
            self.world.at(
                now + self.request_phase / self.world.rate, None, self._request_arrived, self.incarnation
            )

    def kill(self) -> None:
        self.incarnation += 1

    def _after(self, span: float, what: Callable[..., None], *given: Any) -> None:
        self.world.at(
            self.world.now + max(0.0, span), self, self._run_if_alive, self.incarnation, what, given
        )

    def _run_if_alive(self, incarnation: int, what: Callable[..., None], given: tuple[Any, ...]) -> None:
        if incarnation == self.incarnation:
            what(*given)

    # Reports.

    def _next_report(self) -> None:
        now = self.world.now
        self._after(self.startup.heartbeat.next_check_at - now, self._report)

    def _report(self) -> None:
        now = self.world.now
        if not self.world.is_baseline and not self.startup.should_report(now):
            return self._next_report()
        given_up = now + REPORT_TIMEOUT_SECONDS if self.world.is_baseline else self.startup.report_sent(now)
        back, fault = self.world.report()
        if back >= given_up:
            back, fault = given_up, Fault.SILENT
        self._after(back - now, self._reported, now, fault)

    def _reported(self, sent: float, fault: Fault | None) -> None:
        now = self.world.now
        if fault is None:
            self.world.listed.setdefault(self.name, now)
            if 0 < self.world.healthy_since <= sent:
                self.world.relisted_after.setdefault(self.name, now - self.world.healthy_since)
            if self.last_acknowledged >= self.world.healthy_since:
                self.world.gaps = max(self.world.gaps, now - self.last_acknowledged)
            self.last_acknowledged = now
        if self.world.is_baseline:  # reports at fixed intervals
            return self._after(sent + INTERVAL_SECONDS - now, self._report)
        if fault is None:
            self.startup.report_accepted(now)
        else:
            self.startup.report_failed(now)
        self._next_report()

    # Calls.

    def _request_arrived(self, incarnation: int) -> None:
        """Send a request whatever the process does; it waits while the process is stopped."""
        if incarnation == self.incarnation:
            now = self.world.now
            self.world.at(now + 1 / self.world.rate, None, self._request_arrived, incarnation)
            self._after(0.0, self._enqueue, now)

    def _enqueue(self, created_at: float) -> None:
        self.queued.append(Request(created_at, created_at + CLIENT_TIMEOUT))
        self._start_queued()

    def _start_queued(self) -> None:
        now = self.world.now
        while self.queued and self.calls_in_flight < MAX_CONCURRENT_CALLS:
            request = self.queued.popleft()
            if now > request.created_at + LATENCY_OBJECTIVE:
                self.world.failed += 1
                continue
            self.calls_in_flight += 1
            self._request_call(request)

    def _request_call(self, request: Request) -> None:
        now, id = self.world.now, f"{request.created_at}"
        if self.world.is_baseline:
            return self._send_call(request)
        self._detect_stall()
        repeat = id in self.startup.failed_calls
        self.startup.rate_limiter.first_attempts += not repeat
        if not self.call_backlog and self.startup.rate_limiter.is_open and self.startup.may_call(now, id):
            return self._send_call(request)
        self.call_backlog.add(now, id, request, repeat, request.until)
        self._after(request.until - now, self._expire, id, request)
        self._start_waiting()

    def _detect_stall(self) -> None:
        self.startup.stalled(self.world.now, self.world.now - self.next_tick_at)
        self.next_tick_at = max(self.next_tick_at, self.world.now)

    def _start_waiting(self) -> None:
        now, rate_limiter, budget = self.world.now, self.startup.rate_limiter, self.startup.budget
        if now >= self.next_start_at:
            self.next_start_at = float("inf")
        while self.call_backlog and rate_limiter.has_token(now):
            request = self.call_backlog.take_next(now, budget, rate_limiter.min_time_left)
            for late in self.call_backlog.expired:
                self._call_dropped(late)
            self.call_backlog.expired.clear()
            if request is None:
                break
            self._send_call(request)
        moment = max(rate_limiter.next_token_at(now), self.call_backlog.next_at(now, budget)) + 1e-6
        if self.call_backlog and moment < self.next_start_at:
            self.next_start_at = moment
            self._after(moment - now, self._start_waiting)

    def _expire(self, id: str, request: Request) -> None:
        if self.call_backlog.get(id) is request:
            self.call_backlog.drop(id)
            self._call_dropped(request)

    def _call_dropped(self, request: Request) -> None:
        """Fail a request whose call was never made."""
        self.calls_in_flight -= 1
        self.world.failed += 1
        self._after(0.0, self._start_queued)

    def _send_call(self, request: Request) -> None:
        now = self.world.now
        self.idle_connections = [used for used in self.idle_connections if now <= used + IDLE_SECONDS]
        connects = not self.idle_connections
        if self.idle_connections:
            self.idle_connections.pop()
        if not self.world.is_baseline:
            self.startup.rate_limiter.spend(connects)
        back, outcome = self.world.call(connects)
        self._after(back - now, self._call_returned, request, outcome, now)

    def _call_returned(self, request: Request, outcome: Outcome, sent: float) -> None:
        now = self.world.now
        self.calls_in_flight -= 1
        if not self.world.is_baseline:
            self._detect_stall()
            self.startup.call_ended(now, f"{request.created_at}", outcome, now - sent)
        if outcome in (Outcome.OK, Outcome.REJECTED):  # otherwise the connection is lost
            self.idle_connections.append(now)
        if outcome is Outcome.OK:
            self.world.served += 1
        elif request.attempts + 1 < MAX_ATTEMPTS:
            wait = (
                FIRST_BACKOFF_SHARE
                * LATENCY_OBJECTIVE
                * 2**request.attempts
                * self.world.random.uniform(0.5, 1)
            )
            self._after(wait, self._retry, request._replace(attempts=request.attempts + 1))
        else:
            self.world.failed += 1
        self._start_queued()

    def _retry(self, request: Request) -> None:
        self.queued.append(request)
        self._start_queued()

    def _tick(self) -> None:
        if not self.world.is_baseline:
            self._detect_stall()
            self.startup.tick(self.world.now, self.call_backlog.oldest_age(self.world.now))
            self._start_waiting()
        self.next_tick_at = self.world.now + TICK_SECONDS
        self._after(TICK_SECONDS, self._tick)


class Result(NamedTuple):
    """Results of a run; loads are the fullest window of 0.1 s relative to the steady rate."""

    reports: float
    calls: float
    listed: float  # seconds until all were listed; inf if some are not
    again: float  # seconds from the registry's recovery, or from resuming, until all were listed again
    gap: float  # longest time between two acknowledged reports while the registry is healthy
    fallen: int  # failures of the dependency through overload
    acked: float  # share of the ended requests


Play = Callable[[World], float]  # runs a scenario and returns the time from which load is measured


def _begin(world: World, **given: float) -> None:
    for number, process in enumerate(world.processes):
        process.start(number, **given)


def born_at_once(world: World) -> float:
    _begin(world)
    world.run(12.0)
    return 0.0


def behind_the_first(world: World) -> float:
    """As `born_at_once`, but load is measured after the first reports, which are not delayed."""
    _begin(world)
    world.run(12.0)
    return INTERVAL_SECONDS / 4


def crowded_starts(world: World) -> float:
    """Starts on shared machines: each took long for little CPU time."""
    _begin(world, uptime=4.0)
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
    world.set_registry_fault(fault)
    world.run(10.0 + span)
    world.set_registry_fault(None)
    world.run(10.0 + span + 12.0)
    return 10.0


def list_gone(world: World) -> float:
    return _list(world, Fault.REFUSED, 20.0)


def list_hangs(world: World) -> float:
    return _list(world, Fault.SILENT, 20.0)


def list_says_503(world: World) -> float:
    return _list(world, Fault.ERROR_STATUS, 20.0)


def list_back_after_an_hour(world: World) -> float:
    world.rate = 0.0  # reports only
    return _list(world, Fault.REFUSED, 3600.0)


def both_back(world: World) -> float:
    """Registry and dependency recover at the same time."""
    _begin(world)
    world.run(10.0)
    world.set_registry_fault(Fault.REFUSED)
    world.is_dependency_down = True
    world.run(16.0)
    world.set_registry_fault(None)
    world.is_dependency_down = False
    world.run(32.0)
    return 16.0


def half_strength(world: World) -> float:
    """The dependency recovers to half of the load that is asked of it, and later completely."""
    _begin(world)
    world.run(10.0)
    world.is_dependency_down, whole = True, world.strength.full
    world.run(13.0)
    world.is_dependency_down, world.strength.full = False, world.usual / 2
    world.run(25.0)
    world.strength.full = whole
    world.run(38.0)
    return 13.0


def third_killed(world: World, **given: float) -> float:
    """A third of the processes is killed and restarted at the same time."""
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
    return third_killed(world, uptime=4.0)


def second_cold_start(world: World) -> float:
    """All processes are restarted before their first start is complete."""
    _begin(world, uptime=4.0)
    world.run(0.6)
    for process in world.processes:
        process.kill()
    world.run(0.7)
    for number, process in enumerate(world.processes):
        process.start(1000 + number, uptime=4.0)
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


def play(
    what: Play, process_count: int = 300, rate: float = 2.0, seed: int = 1, is_baseline: bool = False
) -> Result:
    world = World(process_count, rate, seed, is_baseline)
    since = what(world)
    calls = world.rate * process_count
    ended = world.served + world.failed
    return Result(
        world.reports.peak(since) / (process_count / INTERVAL_SECONDS),
        world.calls.peak(since) / calls if calls else 0.0,
        max(world.listed.values()) if len(world.listed) == process_count else float("inf"),
        max(world.relisted_after.values(), default=0.0)
        if len(world.relisted_after) in (0, process_count)
        else float("inf"),
        world.gaps,
        world.strength.fallen,
        world.served / max(1, ended),
    )


__all__ = ["PLAYS", "Result", "World", "play"]
