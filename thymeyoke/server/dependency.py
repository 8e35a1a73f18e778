"""The client of the dependency (the database): its connections and the backlog of waiting calls.

Each connection carries one call at a time until `MAX_CONNECTIONS` is reached, so that a broken connection
affects one call. `slow_start` decides when a call may be sent; until then it waits in the backlog, up to its
deadline.
"""

from __future__ import annotations

import math
from heapq import heappop, heappush
from time import monotonic

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.admission.events import Outcome
from thymeyoke.configuration.start_file import Address
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import post, take_all
from thymeyoke.server.dependency_connection import IDLE_SECONDS, DependencyConnection
from thymeyoke.server.messages import AbandonCall, AddressChanged, CallEnded, Event, StartCall
from thymeyoke.slow_start.backoff import CallBacklog
from thymeyoke.slow_start.controller import StartupController

OUTBOX_SIZE = 1024
MAX_CONNECTIONS = 32  # beyond this number calls share connections
SWEEP_SECONDS = 0.25  # between checks for idle and stuck connections

Message = StartCall | AbandonCall | AddressChanged


class DependencyClient:
    """Makes calls to the dependency and reports the outcome of each.

    An entry leaves `connections` when the connection ends, `in_flight` when the call ends, and `backlog` when
    the call is started, abandoned or past its deadline.
    """

    def __init__(
        self, address: Address | None, dispatcher: MemoryObjectSendStream[Event],
        startup: StartupController | None = None,
    ) -> None:  # fmt: skip
        """Create a client; `address` is None if there is no dependency, and then no call is made."""
        self.address, self.dispatcher = address, dispatcher
        self.startup = startup or StartupController(clock())
        self.rate_limiter = self.startup.rate_limiter
        self.outbox, self.outbox_reader = anyio.create_memory_object_stream[Message](OUTBOX_SIZE)
        self.connections: set[DependencyConnection] = set()
        self.in_flight: dict[str, DependencyConnection] = {}
        self.backlog: CallBacklog[StartCall] = CallBacklog()
        self.deadlines: list[tuple[float, str]] = []  # a heap of deadlines and request ids
        self.next_sweep_at = 0.0
        self.last_turn_at, self.last_turn_monotonic = clock(), monotonic()

    def send(self, message: Message) -> bool:
        """Queue a message; return False if a call will not be made."""
        if isinstance(message, AddressChanged):
            self.address = message.address  # connections to the old address are still read for replies
            self.rate_limiter.address_changed(clock())
        elif self.address is None and isinstance(message, StartCall):
            logs.counters["calls_without_dependency"] += 1
            return False
        try:
            self.outbox.send_nowait(message)
        except anyio.WouldBlock:
            if isinstance(message, AddressChanged):  # the actor is awake and will use the new address
                return True
            logs.counters["dependency_outboxes_full"] += 1
            return False
        return True

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                planned = self._next_wakeup()
                message = None
                with anyio.move_on_after(max(0.0, planned - clock())):
                    message = await self.outbox_reader.receive()
                now = clock()
                self.startup.stalled(now, now - planned)
                self._detect_clock_stall(now)
                for each in [message, *take_all(self.outbox_reader)] if message else []:
                    await self._handle(tasks, now, each)
                await self._start_waiting(tasks, now)
                await self._expire(now)

    def _detect_clock_stall(self, now: float) -> None:
        """Report the real time passed while `clock` stands still because the system clock was set back."""
        real = monotonic()
        if now == self.last_turn_at:
            self.rate_limiter.clock_stalled(real - self.last_turn_monotonic)
        self.last_turn_at, self.last_turn_monotonic = now, real

    def _next_wakeup(self) -> float:
        """The time of the next wake-up if no message arrives before it."""
        moments = [self.deadlines[0][0]] if self.deadlines else []
        if self.connections or not self.rate_limiter.is_open:
            moments.append(self.next_sweep_at)
        if self.backlog:
            now = clock()
            has_budget_at = self.backlog.next_at(now, self.startup.budget)
            moments.append(max(self.rate_limiter.next_token_at(now), has_budget_at))
        return min(moments, default=math.inf)

    async def _handle(self, tasks: TaskGroup, now: float, message: Message) -> None:
        if isinstance(message, StartCall):
            return await self._start_or_queue(tasks, now, message)
        if isinstance(message, AddressChanged) or self.backlog.drop(message.id):
            return
        if connection := self.in_flight.pop(message.id, None):
            connection.abandon(message.id)

    async def _start_or_queue(self, tasks: TaskGroup, now: float, call: StartCall) -> None:
        is_retry = call.id in self.startup.failed_calls
        self.rate_limiter.first_attempts += not is_retry
        may_start = not self.backlog and self.rate_limiter.is_open
        if may_start and self.startup.may_call(now, call.id):
            return await self._start(tasks, now, call)
        if not self.backlog.add(now, call.id, call, is_retry, call.deadline):
            return await self._report_not_run(call.id, "calls_over_backlog")
        logs.counters["calls_delayed"] += not self.rate_limiter.has_token(now)
        heappush(self.deadlines, (call.deadline, call.id))

    async def _start_waiting(self, tasks: TaskGroup, now: float) -> None:
        """Start calls from the backlog while there are tokens."""
        while self.backlog and self.rate_limiter.has_token(now):
            call = self.backlog.take_next(now, self.startup.budget, self.rate_limiter.min_time_left)
            expired, self.backlog.expired = self.backlog.expired, []
            for one in expired:
                await self._report_not_run(one.id, "calls_expired")
            if call is None:
                break
            await self._start(tasks, now, call)
        if self.address is None:
            for one in self.backlog.take_all():
                await self._report_not_run(one.id, "calls_without_dependency")

    async def _report_not_run(self, id: str, counter: str) -> None:
        logs.counters[counter] += 1
        await self._report(CallEnded(id, Outcome.UNREACHABLE, b"", 0.0))

    async def _start(self, tasks: TaskGroup, now: float, call: StartCall) -> None:
        if self.address is None:
            return await self._report_not_run(call.id, "calls_without_dependency")
        connection = self._pick_connection(call.id, now)
        self.rate_limiter.spend(connection is None)
        connection = connection or self._open_connection(tasks, self.address)
        if not connection.start(call, now):
            return await self._report_not_run(call.id, "dependency_outboxes_full")
        self.in_flight[call.id] = connection
        heappush(self.deadlines, (call.deadline, call.id))

    def _pick_connection(self, id: str, now: float) -> DependencyConnection | None:
        """The most recently used idle connection, else the least busy one; None to open a new connection.

        Connections to an earlier address do not count towards `MAX_CONNECTIONS`: they take no new calls.
        """
        usable = [one for one in self.connections if one.accepts(id, self.address)]
        idle = [one for one in usable if not one.in_flight and now <= one.used_at + IDLE_SECONDS]
        if idle:
            return max(idle, key=lambda one: one.used_at)
        present = [one for one in self.connections if one.address == self.address]
        if len(present) < MAX_CONNECTIONS:
            return None
        return min(usable or present, key=lambda one: len(one.in_flight))

    def _open_connection(self, tasks: TaskGroup, address: Address) -> DependencyConnection:
        connection = DependencyConnection(address, self._call_ended)
        self.connections.add(connection)
        tasks.start_soon(self._run_connection, connection)
        return connection

    async def _run_connection(self, connection: DependencyConnection) -> None:
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    async def _call_ended(self, end: CallEnded) -> None:
        """Report the end of a call that was sent."""
        self.startup.call_ended(clock(), end.id, end.outcome, end.took)
        await self._report(end)

    async def _report(self, end: CallEnded) -> None:
        self.in_flight.pop(end.id, None)
        await post(self.dispatcher, end)

    async def _expire(self, now: float) -> None:
        """Abandon calls whose deadline has passed, and close connections that are no longer useful."""
        while self.deadlines and self.deadlines[0][0] <= now:
            deadline, id = heappop(self.deadlines)
            await self._expire_call(now, deadline, id)
        if now >= self.next_sweep_at:
            self.next_sweep_at = now + SWEEP_SECONDS
            self.startup.tick(now, self.backlog.oldest_age(now))
            for connection in list(self.connections):
                if connection.is_useless(now, self.address):
                    connection.close()

    async def _expire_call(self, now: float, deadline: float, id: str) -> None:
        if (waiting := self.backlog.get(id)) and waiting.deadline <= deadline:
            self.backlog.drop(id)
            return await self._report_not_run(id, "calls_expired")
        connection = self.in_flight.get(id)
        if connection is None:
            return
        call = connection.in_flight.get(id)
        if call and call.deadline <= deadline:
            connection.abandon(id)
            await self._call_ended(CallEnded(id, Outcome.TIMEOUT, b"", now - call.started_at))
