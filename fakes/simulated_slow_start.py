"""Slow start in simulated time: hundreds of processes, one registry, one dependency, without sockets.

A `Process` carries out the decisions of `StartupController` in the same way as `EndpointRegistryClient` and
`DependencyClient`. A `BaselineProcess` has no slow start: it reports every 0.9 s from its start and makes
every call at once. Both can be stopped and resumed, as with SIGSTOP and SIGCONT; events due meanwhile happen
when they resume. Times are in seconds.
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

WINDOW_SECONDS = 0.1  # over which peaks are counted
START_CPU_SECONDS = 0.5  # CPU time of a process start
CLIENT_TIMEOUT = 4.0  # seconds
IDLE_SECONDS = 2.0  # lifetime of an unused connection to the dependency
MAX_ATTEMPTS, FIRST_BACKOFF_SECONDS = 4, 0.1  # of one call, as in admission control
QUEUED_SECONDS = 2.0  # how long requests wait in the sockets of a stopped process


class Fault(Enum):
    """How a report fails."""

    REFUSED = auto()
    SILENT = auto()
    ERROR_STATUS = auto()  # a status other than 204


class LoadWindows:
    """The number of arrivals in each window."""

    def __init__(self, world: World) -> None:
        self.world, self.windows = world, Counter[int]()

    def add(self) -> None:
        self.windows[int(self.world.now / WINDOW_SECONDS)] += 1

    def peak(self, since: float, until: float, window_count: int = 1) -> float:
        """The highest rate per second over `window_count` consecutive windows."""
        first, last = int(since / WINDOW_SECONDS), int(until / WINDOW_SECONDS)
        windows = [self.windows[at] for at in range(first, max(first + 1, last) + window_count)]
        return max(sum(windows[at : at + window_count]) for at in range(len(windows) - window_count)) / (
            WINDOW_SECONDS * window_count
        )


class Registry:
    """An endpoint registry that handles reports one after the other; `mode` is its current fault, if any."""

    def __init__(self, world: World, rate: float) -> None:
        self.world, self.rate, self.free_at = world, rate, 0.0
        self.mode: Fault | None = None
        self.load = LoadWindows(world)

    def report(self, answer: Callable[[Fault | None], None]) -> None:
        self.load.add()
        if self.mode is Fault.SILENT:
            return
        if self.mode is not None:
            return self.world.after(0.002, answer, self.mode)
        self.free_at = max(self.world.now, self.free_at) + 1 / self.rate
        self.world.at(self.free_at + 0.001, answer, None)


class Dependency:
    """A dependency. In each window it answers `capacity_factor` times its usual number of calls, rejects the
    rest, and fails for 3 s at `fall_factor` times that number."""

    def __init__(self, world: World, usual_rate: float, fall_factor: float) -> None:
        self.world = world
        self.usual_rate = usual_rate
        self.fall_factor = fall_factor
        self.capacity_factor = 1.5
        self.load, self.down_until, self.fall_count = LoadWindows(world), -inf, 0

    def call(self, call_ended: Callable[[Outcome], None]) -> None:
        self.load.add()
        world, rng = self.world, self.world.rng
        count = self.load.windows[int(world.now / WINDOW_SECONDS)] / (self.usual_rate * WINDOW_SECONDS)
        if world.now < self.down_until:
            return world.after(0.001, call_ended, Outcome.UNREACHABLE)
        if count >= self.fall_factor:
            self.fall_count += 1
            self.down_until = world.now + 3.0
            return world.after(0.001, call_ended, Outcome.CONNECTION_LOST)
        if count > self.capacity_factor:
            return world.after(0.002, call_ended, Outcome.REJECTED)
        world.after(rng.uniform(0.005, 0.02), call_ended, Outcome.OK)


class Request:
    __slots__ = ("attempts", "id", "until")

    def __init__(self, id: str, until: float) -> None:
        self.id, self.until, self.attempts = id, until, 0


class BaselineProcess:
    """A process without slow start, as a baseline."""

    def __init__(
        self, world: World, name: str, registry: Registry, dependency: Dependency, rate: float
    ) -> None:
        self.world = world
        self.name = name
        self.registry = registry
        self.dependency = dependency
        self.rate = rate
        self.alive, self.held_until, self.request_number = True, -inf, 0
        self.last_acknowledged = -inf  # when the last acknowledged report was sent
        self.first_listed = inf
        self.report_number = 0
        self.idle_connections: list[float] = []  # the times at which idle connections were last used
        self.counts: Counter[str] = Counter()

    def begin(self, uptime: float) -> None:
        self._report()
        self.at(self.world.now + self.world.rng.expovariate(self.rate), self._request_arrived)

    # Time of the process, which stands still while it is stopped.

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
        return self.alive and now < self.last_acknowledged + ENTRY_TTL_SECONDS

    # Reports.

    def _report(self) -> None:
        now = self.world.now
        self.report_number += 1
        self._send_report(now + REPORT_TIMEOUT_SECONDS)
        self.at(now + INTERVAL_SECONDS, self._report)

    def _send_report(self, until: float) -> None:
        number, sent_at = self.report_number, self.world.now
        self.registry.report(
            lambda fault: self.at(self.world.now, self._answer, number, sent_at, until, fault)
        )
        self.at(until, self._answer, number, sent_at, until, Fault.SILENT)

    def _answer(self, number: int, sent_at: float, until: float, fault: Fault | None) -> None:
        if number != self.report_number or sent_at == self.last_acknowledged:
            return
        if fault is None:
            self.last_acknowledged = sent_at
            self.first_listed = min(self.first_listed, self.world.now)

    # Requests and their calls.

    def _request_arrived(self) -> None:
        """Handle a request; those that arrived while the process was stopped are handled when it resumes."""
        self.request_number += 1
        now = self.world.now
        self.request_call(Request(f"{self.name} {self.request_number}", now + CLIENT_TIMEOUT))
        self.at(now + self.world.rng.expovariate(self.rate), self._request_arrived)

    def handle_queued_requests(self) -> None:
        """Handle the requests that waited in the sockets while the process was stopped."""
        for _ in range(int(self.rate * QUEUED_SECONDS)):
            self.request_number += 1
            self.request_call(
                Request(
                    f"{self.name} {self.request_number}", self.world.now + CLIENT_TIMEOUT - QUEUED_SECONDS / 2
                )
            )

    def request_call(self, request: Request) -> None:
        self.send_call(request)

    def takes_new_connection(self) -> bool:
        """Whether a call needs a new connection."""
        now = self.world.now
        while self.idle_connections:
            if self.idle_connections.pop() > now - IDLE_SECONDS:
                return False
        return True

    def send_call(self, request: Request) -> None:
        sent_at = self.world.now
        self.takes_new_connection()
        self.dependency.call(
            lambda outcome: self.at(self.world.now, self.call_ended, request, sent_at, outcome)
        )

    def call_ended(self, request: Request, sent_at: float, outcome: Outcome) -> None:
        now = self.world.now
        if outcome is Outcome.OK:
            self.counts["acked" if now <= request.until else "late"] += 1
            self.idle_connections.append(now)
            return
        request.attempts += 1
        wait = FIRST_BACKOFF_SECONDS * 2 ** (request.attempts - 1) * self.world.rng.uniform(0.5, 1)
        if request.attempts < MAX_ATTEMPTS and now + wait < request.until:
            self.at(now + wait, self.request_call, request)
        else:
            self.counts["requests_failed"] += 1


class Process(BaselineProcess):
    """A process with slow start."""

    def __init__(
        self, world: World, name: str, registry: Registry, dependency: Dependency, rate: float
    ) -> None:
        super().__init__(world, name, registry, dependency, rate)
        limits = RateLimits(
            max_concurrency=64.0,
            guaranteed_concurrency=rate,
            latency_objective=1.0,
            client_timeout=CLIENT_TIMEOUT,
        )
        self.startup = StartupController(
            world.now, seed=world.seed, name=name, limits=limits, started_at=world.now
        )
        self.heartbeat = self.startup.new_heartbeat(world.now)
        self.call_backlog: CallBacklog[Request] = CallBacklog()
        self.deadlines: list[tuple[float, int, Request]] = []
        self.is_reporting = False
        self.next_tick_at = world.now + TICK_SECONDS
        self.next_start_at = inf

    def begin(self, uptime: float) -> None:
        """Begin; the process has been running for `uptime` seconds, START_CPU_SECONDS of them on a core."""
        now = self.world.now
        self.startup.started_at = now - uptime
        self.startup.begin(now, START_CPU_SECONDS)
        self._check_report()
        self.at(now + self.world.rng.expovariate(self.rate), self._request_arrived)
        self.at(self.next_tick_at, self._tick)

    # Reports, as sent by `EndpointRegistryClient`.

    def _check_report(self) -> None:
        now = self.world.now
        if self.is_reporting:
            return
        if self.startup.should_report(now):
            self.report_number += 1
            self.is_reporting = True
            self._send_report(self.startup.report_sent(now))
        else:
            self.at(max(now, self.heartbeat.next_check_at), self._check_report)

    def _answer(self, number: int, sent_at: float, until: float, fault: Fault | None) -> None:
        if number != self.report_number or not self.is_reporting:
            return
        now, self.is_reporting = self.world.now, False
        if fault is None:
            self.last_acknowledged = sent_at
            self.first_listed = min(self.first_listed, now)
            self.startup.report_accepted(now)
        else:
            self.startup.report_failed(now)
        self._check_report()

    # Calls, as made by `DependencyClient`.

    def request_call(self, request: Request) -> None:
        now, rate_limiter = self.world.now, self.startup.rate_limiter
        is_retry = request.id in self.startup.failed_calls
        rate_limiter.first_attempts += not is_retry
        if not self.call_backlog and rate_limiter.is_open and self.startup.may_call(now, request.id):
            return self.send_call(request)
        if not self.call_backlog.add(now, request.id, request, is_retry, request.until):
            self.counts["turned_away"] += 1
            return
        rate_limiter.has_token(now)
        heappush(self.deadlines, (request.until, next(self.world.numbers), request))
        self._start_waiting()

    def _start_waiting(self) -> None:
        now, rate_limiter = self.world.now, self.startup.rate_limiter
        while self.call_backlog and rate_limiter.has_token(now):
            request = self.call_backlog.take_next(now, self.startup.budget, rate_limiter.min_time_left)
            self.counts["without_leave"] += len(self.call_backlog.expired)
            self.call_backlog.expired.clear()
            if request is None:
                break
            self.send_call(request)
        if self.call_backlog:
            moment = max(
                rate_limiter.next_token_at(now),
                self.call_backlog.next_at(now, self.startup.budget),
                now + 0.001,
            )
            if moment < self.next_start_at or self.next_start_at <= now:
                self.next_start_at = moment
                self.at(moment, self._start_waiting)

    def takes_new_connection(self) -> bool:
        found = super().takes_new_connection()
        self.startup.rate_limiter.spend(found)
        return found

    def call_ended(self, request: Request, sent_at: float, outcome: Outcome) -> None:
        now = self.world.now
        self.startup.call_ended(now, request.id, outcome, now - sent_at)
        super().call_ended(request, sent_at, outcome)

    def _tick(self) -> None:
        now = self.world.now
        self.startup.stalled(now, now - self.next_tick_at)
        self.next_tick_at = now + TICK_SECONDS
        while self.deadlines and self.deadlines[0][0] <= now:
            _, _, request = heappop(self.deadlines)
            if self.call_backlog.get(request.id) is request:
                self.call_backlog.drop(request.id)
                self.counts["without_leave"] += 1
        self.startup.tick(now, self.call_backlog.oldest_age(now))
        self._start_waiting()
        self.at(self.next_tick_at, self._tick)

    def handle_queued_requests(self) -> None:
        self.startup.stalled(self.world.now, self.world.now - self.next_tick_at)
        super().handle_queued_requests()


class ProcessFleet:
    """Many processes of one type with one registry and one dependency. The registry can handle 1.35 times
    their steady rate of reports; the dependency fails at `fall_factor` times its usual calls."""

    def __init__(
        self,
        seed: int,
        count: int,
        process_type: type[BaselineProcess],
        rate: float = 10.0,
        fall_factor: float = 4.0,
    ) -> None:
        self.world, self.count, self.process_type, self.rate = World(seed), count, process_type, rate
        self.registry = Registry(self.world, 1.35 * count / INTERVAL_SECONDS)
        self.dependency = Dependency(self.world, count * rate, fall_factor)
        self.all: list[BaselineProcess] = []
        self.counts: Counter[str] = Counter()

    def start(self, count: int, uptime: float) -> None:
        """Start `count` processes at the same time."""
        for _ in range(count):
            process = self.process_type(
                self.world, f"p{len(self.all):03}", self.registry, self.dependency, self.rate
            )
            self.all.append(process)
            process.begin(uptime)

    def alive_processes(self) -> list[BaselineProcess]:
        return [process for process in self.all if process.alive]

    def hold(self, span: float) -> None:
        for process in self.alive_processes():
            process.hold(span)
        self.world.after(span, self._go_on)

    def _go_on(self) -> None:
        for process in self.alive_processes():
            process.handle_queued_requests()

    def unlisted(self) -> int:
        return sum(not process.listed(self.world.now) for process in self.alive_processes())

    def run_until_listed(self, until: float) -> float:
        """Run until all are listed; return the seconds that took, or inf."""
        began = self.world.now
        while self.world.now < until:
            self.world.run(self.world.now + 0.05)
            if not self.unlisted():
                return self.world.now - began
        return inf

    def total(self, what: str) -> int:
        return sum(process.counts[what] for process in self.all)
