"""All decisions of one app server: what it takes, runs and turns away, and what it says of itself.

How it is called: one `Choice` a server life. Every event is handed in by its method (`take`, `ended`,
`blocked`, `called`, `gone`, `woke`, `leave`); when a batch of them is in, `settle(now)` returns the
actions. The types on both sides are in `thymeyoke/admission/`; docs/design.md tells where this comes from.

Events only move the wanted state (`Job.want` and what should be said and timed). `settle` picks what
should run or call, and `_difference` alone turns wanted against present into actions.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from heapq import heappop, heappush
from random import Random
from typing import Any

from thymeyoke.admission import actions as act
from thymeyoke.admission import settings
from thymeyoke.admission.settings import Below, Outcome, Repeat, Signal

SHARE = 1 / 4  # of the run limit: what one key may run while others' ops are held
MEMORY_FILL = 0.95  # of the memory: the rest is for what is already on its way
CROWD_FILL = 0.75  # of the survivable crowd: runs on the cores and calls that may come back together
GROW, SHRINK = 2.0, 0.5  # cores a core and second by which the run limit grows and backs off
IDLE_BUSY = 0.9  # cores idle below this value of the gauge
NEWEST = 0.1  # weight of the newest value in recent run times and times unread
CALL_FILL = 0.85  # of `fair_calls`: the most calls that are out, lingering ones included
SLOW_CALLS = 2.5  # calls are slow past this multiple of their usual time
CROWDED_CALLS = 5  # past this multiple of it fewer calls are sent
STEADY = 20  # calls of their steady mean: it is off by a quarter where single ones are by all of it
CALL_TRIES, BACKOFF = 4, 0.1  # of one call, where it may be repeated; the first wait before, of the target
PRESSED = 0.5  # of the usual target: the wait at which callers are told to hold back
FLOOR_GAIN = 0.5  # a second and unit of pressure past the set point
FLOOR_TOP = 0.9
STORM = 0.4  # of the ops that arrive: this part being strays, the trouble is everyone's
ALLOW_GAIN = 2.0  # a second and unit of pressure off the set point, as part of the allowance
ALLOW_LEAST, ALLOW_TOP = 0.02, 0.5  # of the ops that fit in hand in time, for all callers together
LINK_WAIT, LINK_READS = 0.75, 2  # the crowd's set point: a queue, of the target; reads and handshakes a core
LEAST_BEAT = 0.01  # seconds: where neither tick nor slack is told, no beat would follow at once on the last
FEW_LINKS = 12  # connections a core that are kept as long as callers like
LINK_STEP = 1 / 20  # of the idle span: the steps by which it is cut, and the least that is left of it


# Where an op in hand is, and what it should do next. From NACK on wants are final; STOP frees the core too.
At = IntEnum("At", "HELD ON_CORE AT_CALL CALLING REUSING GONE")
Want = IntEnum("Want", "STAY RUN CALL GO_ON REUSE NACK FAIL STOP")


class Job:
    """An op in hand, from its arrival until it is answered and off the cores."""

    def __init__(self, now: float, op: settings.Op, kind: settings.OpType, key: int, *expect: float) -> None:
        self.op, self.id, self.size, self.key = op, op.id, op.size, key
        self.kind, self.line = kind, (key, kind.importance)
        self.gain = kind.importance * (1 - kind.poorer_share)  # what a call of it is worth
        self.reached = now - op.unread
        self.due = now + op.left if op.left else max(now, self.reached + kind.timeout)
        # An answer after the caller's patience is lost as well, and its next try stands in the line by then.
        self.target = min(self.due, self.reached + kind.target + kind.stretch * op.hint)
        self.cost, self.away, self.spread, self.legs = expect  # times on the cores and off, error, calls
        self.at, self.want, self.tries, self.asked, self.keep_span = At.HELD, Want.STAY, 0, 0, 0.0
        self.answered = self.kept = self.queued = False
        self.since, self.on, self.off, self.not_before = now, 0.0, 0.0, 0.0  # since: when it came to be `at`


class Pace:
    """Recent run times of each op type, on the cores and off them, scaled by the hint where told.
    Means of times over means of hints: a mean of ratios is ruled by the smallest ops."""

    def __init__(self, kinds: int) -> None:
        self.runs: list[list[float] | None] = [None] * kinds  # on the cores, off them, spread, hint, calls

    def learn(self, job: Job) -> None:
        spread = abs(job.on + job.off - job.cost - job.away) if job.cost else 0.0
        new = [job.on, job.off, spread, job.op.hint, job.asked]
        old = self.runs[job.op.type] or new
        self.runs[job.op.type] = [a + NEWEST * (b - a) for a, b in zip(old, new, strict=True)]

    def fade(self, kind: int) -> None:
        """Else times from a bad moment refuse all for ever. Harm: now and then an op runs that misses."""
        if mean := self.runs[kind]:
            self.runs[kind] = [(1 - NEWEST / 2) * time for time in mean[:3]] + mean[3:]

    def expect(self, op: settings.Op) -> list[float]:
        """Expected time on a core and off it, its mean error, calls that it makes; zeros without history."""
        mean = self.runs[op.type]
        if mean is None:
            return [0.0, 0.0, 0.0, 0.0]
        scale = op.hint / mean[3] if op.hint and mean[3] else 1.0
        return [mean[0] * scale, mean[1], mean[2] * scale, mean[4]]


class RunLimit:
    """How many ops should be on the cores at once."""

    def __init__(self, cores: int, now: float, survival: settings.Survival) -> None:
        self.cores, self.limit, self.survival = cores, float(cores), survival
        self.born = self.changed = now

    def ceiling(self, now: float) -> float:
        """The crowd that is sure to be survived: the lower bound of warmth counts while cold."""
        s, warm = self.survival, 1.0
        if s.cold and now < self.born + s.cold_span:
            warm = s.cold_share + (1 - s.cold_share) * (now - self.born) / s.cold_span
        return max(1.0, self.cores * (1 + (s.crowd - 1) * warm) * CROWD_FILL)

    def adapt(self, now: float, busy: float | None, wanting: float, on_core: int, held: bool) -> None:
        """Grow while cores idle and work is held; with the cores full, running more finishes no more."""
        span, self.changed = now - self.changed, now
        # The busy gauge is a mean and lags: what wants a core now tells first that none is idle.
        idle = busy is not None and busy < IDLE_BUSY and wanting < self.cores
        if idle and held and on_core >= int(self.limit):
            self.limit += GROW * self.cores * span
        elif not (idle and held):
            self.limit -= SHRINK * self.cores * span
        self.limit = min(max(self.limit, self.cores), self.ceiling(now))


class Hold:
    """Held ops, oldest first, a line for each key and importance. A line goes when it is empty."""

    def __init__(self) -> None:
        self.lines: dict[tuple[int, float], deque[Job]] = {}
        self.work: dict[tuple[int, float], float] = {}  # expected run time held, by line; goes with it
        self.pressed = False  # some must miss: the more important ops are started first

    def add(self, job: Job) -> None:
        job.queued = True
        self.lines.setdefault(job.line, deque()).append(job)
        self.work[job.line] = self.work.get(job.line, 0.0) + job.cost

    def drop(self, job: Job) -> None:
        """Take one out, from wherever it stands."""
        job.queued = False
        self.lines[job.line].remove(job)
        self.work[job.line] -= job.cost
        if not self.lines[job.line]:
            del self.lines[job.line], self.work[job.line]

    def ahead(self, importance: float = 0.0, key: int | None = None) -> float:
        """Expected run time held before a new op of this importance, of one key only where it is named."""
        least = importance if self.pressed else 0.0
        return sum(work for line, work in self.work.items()
                   if line[1] >= least and (key is None or key == line[0]))  # fmt: skip

    def next(self, running: dict[int, int], share: float) -> Job | None:
        """The oldest op of a key within its share; else the slot is lent to the oldest."""

        def rank(job: Job) -> tuple[bool, float, float]:
            over = running.get(job.key, 0) + 1 > share
            return over, -job.kind.importance * self.pressed, job.reached

        return min((line[0] for line in self.lines.values()), key=rank, default=None)


class Calls:
    """Calls to what lies below: how many may be out, and how slow they are."""

    def __init__(self, dependency: settings.Dependency, now: float) -> None:
        self.bound = dependency.fair_calls * CALL_FILL if dependency.kind is Below.SHARED else float("inf")
        self.window = self.bound  # how many to have out; narrowed while they are slow
        self.linger_span, self.fair_span = dependency.linger, dependency.fair_span
        self.waiting: list[Job] = []  # emptied as calls go out or are given up
        self.lingering: deque[float] = deque()  # ends of abandoned calls; emptied as they pass
        self.out, self.mean, self.seen, self.back = 0, 0.0, now, now  # back: when the last one came back
        self.usual = self.steady = self.recent = 0.0  # times of calls; 0 until enough of them are back
        self.learned = 0  # calls that the steady mean is made of, at most

    def book(self, now: float) -> None:
        """Keep the average number of calls in the dependency's hands."""
        while self.lingering and self.lingering[0] <= now:
            self.lingering.popleft()
        part = min(1.0, (now - self.seen) / self.fair_span) if self.fair_span else 1.0
        self.mean += part * (self.out + len(self.lingering) - self.mean)
        self.seen = now

    def room(self) -> bool:
        """Whether one more may go out. A bound below one call is kept by the average instead."""
        hands = self.out + len(self.lingering)
        return hands + 1 <= self.window if self.bound >= 1 else not hands and self.mean < self.bound / 2

    def learn(self, now: float, took: float) -> None:
        """The usual time is the lowest steady mean: single calls differ too much to tell slowness from. Taken
        from the first call, it once was a ninth of the mean: all that followed counted as slow, for good."""
        self.back = now
        self.learned = min(self.learned + 1, STEADY)
        self.recent += max(2 * NEWEST, 1 / self.learned) * (took - self.recent)
        self.steady += (took - self.steady) / self.learned
        if self.learned >= STEADY / 2:
            rise = NEWEST / 100 * (self.recent - self.usual)
            self.usual = min(self.steady, (self.usual or self.steady) + rise)
        # What lies below does less when crowded: slow calls that keep it crowded would keep themselves slow.
        # Harm: where it is slow for other reasons, fewer calls are made than it could take.
        narrow = 0 < CROWDED_CALLS * self.usual < self.recent
        self.window = max(1.0, min(self.bound, self.window + (-self.window if narrow else 1) * NEWEST))

    def watch(self, now: float, ages: list[float]) -> None:
        """Calls out for longer than the recent mean count before they end, if none came back since: one that
        is lost tells nothing of the rest. With none out the mean falls back: calls are tried again."""
        for age in ages:
            self.recent += 2 * NEWEST * max(0.0, min(age, now - self.back) - self.recent)
        if not self.out and not self.waiting:
            self.recent += NEWEST * ((self.usual or self.recent) - self.recent)

    def slow(self) -> bool:
        return 0 < SLOW_CALLS * self.usual < self.recent

    def wait(self, ahead: int) -> float:
        """Predicted time until a call with this many waiting before it is back."""
        return self.recent * (1 + (self.out + ahead) / max(1.0, self.window))


class Voice:
    """What callers are told with every answer, from the pressure that the wait estimate gives."""

    def __init__(self, signal: Signal, callers: int, idle: float, few: float) -> None:
        self.signal, self.callers, self.idle, self.few = signal, max(1, callers), idle, few
        self.floor, self.part, self.kept = 0.0, ALLOW_TOP, 1.0

    def value(self, span: float, pressure: float, room: float) -> float | None:
        """Pressure 1 is where callers should begin to hold back; room is how many ops fit in hand in time."""
        if self.signal is Signal.FLOOR:
            self.floor = min(FLOOR_TOP, max(0.0, self.floor + span * FLOOR_GAIN * (pressure - 1)))
            return round(self.floor, 2)
        if self.signal is Signal.ALLOWANCE:
            part = self.part * (1 + span * ALLOW_GAIN * max(-1.0, min(1.0, 1 - pressure)))
            self.part = min(ALLOW_TOP, max(ALLOW_LEAST, part))
            return round(self.part * room / self.callers, 1)
        return round(min(1.0, max(0.1, 1.5 - pressure / 2)), 2) if self.signal is Signal.WEIGHT else None

    def links(self, span: float, now_open: float, crowd: float) -> float:
        """How long a connection may be unused. Each takes a part of the cores, and past a number that is told
        nowhere new callers get none. In a crowd that is welcome: it costs nothing, but letting them in a
        handshake and a read. Harm: where many connections cost little, some shake hands anew for nothing."""
        self.kept *= 1 + span * max(-1.0, min(1.0, crowd - 1))
        self.kept = min(1.0, max(LINK_STEP, self.kept, (self.few / max(1.0, now_open)) ** 2))
        return self.idle * LINK_STEP * round(self.kept / LINK_STEP)


class Choice:
    """One server's life: the parts above, joined."""

    def __init__(
        self,
        now: float,
        seed: int,
        op_types: tuple[settings.OpType, ...],
        machine: settings.Machine,
        survival: settings.Survival,
        duty: settings.Duty,
        dependency: settings.Dependency,
        callers: settings.Callers,
        tenants: tuple[settings.Tenant, ...],
    ) -> None:
        self.random = Random(seed)
        self.kinds, self.machine, self.duty, self.callers = op_types, machine, duty, callers
        self.by_tenant = bool(tenants)
        self.beat = max(duty.answer_slack, 8 * machine.tick, LEAST_BEAT)
        targets = [kind.target for kind in op_types]
        self.usual_target, self.least_target = sum(targets) / len(targets), min(targets)
        self.pace, self.hold = Pace(len(op_types)), Hold()
        self.limit, self.calls = RunLimit(machine.cores, now, survival), Calls(dependency, now)
        self.voice = Voice(callers.signal, callers.count, callers.idle, FEW_LINKS * machine.cores)
        self.keys: dict[Any, float] = {}  # ends of the retained repeats' windows; emptied as they pass
        self.jobs: dict[Any, Job] = {}  # ops in hand; emptied by their answers and ends
        self.dues: list[tuple[float, Any]] = []  # emptied as their moments pass
        self.changed: list[Job] = []  # ops whose wanted state moved; emptied by every settle
        self.running: dict[int, int] = {}  # ops on the cores by key; a key goes at zero
        self.on_core, self.memory, self.unread = 0, 0.0, 0.0
        self.stands: dict[float, float] = {}  # by importance, the wait that its type of least patience stands
        self.storm, self.patience = 0.0, targets  # patience: the usual time from arrival to target
        self.leave_at = self.grace_until = float("inf")
        self.out: list[act.Action] = [act.Health(True, True), act.Wake(0, self.beat)]
        self.told: list[act.Action] = [act.Trim(callers.idle)]

    def take(self, now: float, op: settings.Op) -> None:
        kind = self.kinds[op.type]
        job = Job(now, op, kind, op.tenant if self.by_tenant else op.caller, *self.pace.expect(op))
        if kind.repeat is Repeat.KEYED:
            job.keep_span = kind.key_window
        elif kind.repeat is Repeat.RETRYABLE and op.subject and not op.write and self.callers.fresh:
            job.keep_span = kind.timeout + self.callers.fresh
        self.jobs[job.id] = job
        self.patience[op.type] += NEWEST * (job.target - job.reached - self.patience[op.type])
        self.memory += job.size
        self.unread += 2 * NEWEST * (op.unread - self.unread)  # ops are read in turn: the newest tells most
        heappush(self.dues, (job.due, job.id))
        first = self.jobs.get(op.repeats)  # where both came in this batch, it may be nacked without a run
        closing = job.reached > self.grace_until or now > self.leave_at - job.cost - 2 * self.beat
        if op.repeats is not None and job.keep_span and not (first and first.want is Want.NACK):
            return self._wish(job, Want.FAIL if now > self.leave_at - 2 * self.beat else Want.REUSE)
        wait = self._wait(now, *job.line)
        misses = closing or self._misses(now, job, wait)
        # Where further tries are not marked, what misses for a queue has to tell how others fare; what is too
        # long for this machine though nothing waits may be taken to a faster one.
        stray = op.further if self.callers.marks_further else misses and wait + op.unread > self.beat
        self.storm += NEWEST / 2 * (stray - self.storm)
        if misses and not self.on_core:
            self.pace.fade(op.type)
        if misses:
            return self._wish(job, Want.NACK)
        self.hold.add(job)
        if job.keep_span:
            self.keys[job.id] = now + job.keep_span
        return self._wish(job, Want.STAY)

    def repeats(self, id: Any) -> bool:
        """Whether a request in hand is to be answered with the result of its first try."""
        job = self.jobs.get(id)
        return job is not None and job.want is Want.REUSE

    def ended(self, now: float, id: Any, outcome: Outcome) -> None:
        if job := self.jobs.get(id):
            was = job.at
            self._move(now, job, At.GONE)
            if was is At.ON_CORE and outcome in (Outcome.OK, Outcome.ERROR):
                self.pace.learn(job)

    def blocked(self, now: float, id: Any) -> None:
        if job := self.jobs.get(id):
            self._move(now, job, At.AT_CALL)
            job.tries, job.not_before, job.asked = 0, 0.0, job.asked + 1
            self.calls.waiting.append(job)

    def called(self, now: float, id: Any, outcome: Outcome, took: float) -> None:
        job = self.jobs.get(id)
        if job is None or job.at is not At.CALLING:
            return
        self._move(now, job, At.ON_CORE if outcome is Outcome.OK else At.AT_CALL)
        if outcome is Outcome.TIMEOUT:
            self.calls.lingering.append(now + self.calls.linger_span)
        if outcome not in settings.NEVER_RAN:
            self.calls.learn(now, took)
        if outcome is Outcome.OK:
            return
        if (job.kind.repeat is Repeat.RETRYABLE or outcome in settings.NEVER_RAN) and job.tries < CALL_TRIES:
            wait = BACKOFF * job.kind.target * 2 ** (job.tries - 1)
            job.not_before = now + wait * self.random.uniform(0.5, 1)
            self.calls.waiting.append(job)
        else:
            self._wish(job, Want.GO_ON if job.kind.poorer_share > 0 else Want.FAIL)

    def gone(self, now: float, id: Any) -> None:
        """Nobody waits: what is not on the cores has vanished, the rest owes no answer."""
        if job := self.jobs.get(id):
            if self._stops(job):
                self.out.append(act.Pause(id))
            self._answered(now, job)

    def leave(self, now: float, left: float) -> None:
        self.leave_at, self.grace_until = now + left, now + self.duty.drain_grace
        self.out.append(act.Health(True, False))

    def woke(self, now: float, mark: int, gauges: tuple[float, ...]) -> None:
        """The beat: gauges, answers due, stale ops, what is said. Every span in here is coarse."""
        seen = dict(zip(self.machine.gauges, gauges, strict=False))
        span = now - self.limit.changed
        self.limit.adapt(now, seen.get("busy"), seen.get("runnable", 0), self.on_core, bool(self.hold.lines))
        # Where runs alone want the cores nothing is read: a server that callers left must not look full.
        reading = seen.get("runnable", float("inf")) - self.on_core
        self.unread *= reading > 0
        self.keys = {id: end for id, end in self.keys.items() if end >= now}
        while self.dues and self.dues[0][0] <= now + 1.5 * self.beat:
            self._give_up(heappop(self.dues)[1])
        closing = now >= self.leave_at - 2.5 * self.beat  # all that was read is answered before the stop
        for job in list(self.jobs.values()):
            if closing or (job.queued and self._stale(now, job)):
                self._give_up(job.id)
        self.stands = {}
        for kind, mean, patience in zip(self.kinds, self.pace.runs, self.patience, strict=True):
            if mean and (wait := patience - sum(mean[:3])) > 0:  # what this machine can do at all
                self.stands[kind.importance] = min(wait, self.stands.get(kind.importance, wait))
        self.calls.watch(now, [now - job.since for job in self.jobs.values() if job.at is At.CALLING])
        # Where some must miss, oldest first spends the cores on whoever asked first, and short targets are
        # never met behind long ones. Harm: what matters least waits longest, and is nacked for it.
        queueing = self._queueing(now)
        self.hold.pressed = queueing > PRESSED * self.least_target
        runs = [mean[0] for mean in self.pace.runs if mean]
        room = self.limit.limit * self.usual_target * len(runs) / max(sum(runs), self.beat)
        value = self.voice.value(span, queueing / (PRESSED * self.usual_target), room)
        crowd = max(queueing / (LINK_WAIT * self.usual_target), reading / (LINK_READS * self.machine.cores))
        told = [act.Trim(self.voice.links(span, seen.get("connections", 0), crowd))]
        told += [act.Say(value)] * (value is not None)
        self.out += [tell for tell in told if tell not in self.told] + [act.Wake(0, self.beat)]
        self.told = told

    def settle(self, now: float) -> list[act.Action]:
        """Decide what should run and call now, and return the difference to what is."""
        for job in self.changed:
            self._difference(now, job)
        self._shed_memory(now)
        self._start(now)
        self._let_out(now)
        out, self.out, self.changed = self.out, [], []
        return out

    def _start(self, now: float) -> None:
        """Start held ops while the limit, the ceiling and the memory leave room."""
        limit, ceiling = self.limit.limit, self.limit.ceiling(now)
        while self.on_core + 1 <= limit:
            job = self.hold.next(self.running, max(1.0, limit * SHARE))
            if job is None or self.on_core + self.calls.out + len(self.calls.waiting) + 1 > ceiling:
                break
            stale = self._stale(now, job)
            if not stale and self._room() < job.size * (self.machine.run_factor - 1):
                break
            job.want = Want.NACK if stale else Want.RUN
            self._difference(now, job)

    def _let_out(self, now: float) -> None:
        """Let calls out, oldest first; by importance, as far as it hangs on the call, when calls below are
        slow. An op whose call cannot pay goes on without it or is failed."""
        calls = self.calls
        calls.book(now)
        slow, waiting, calls.waiting = calls.slow(), calls.waiting, []
        for job in sorted(waiting, key=lambda job: (-job.gain * slow, job.reached)):
            if job.at is not At.AT_CALL or job.answered:
                continue
            missed = now + calls.wait(len(calls.waiting)) > job.target
            if missed and job.kind.poorer_share > job.kind.late_share:
                job.want = Want.GO_ON
            elif now > job.target and not job.kind.late_share and self.hold.lines:
                job.want = Want.FAIL
            elif job.not_before <= now and calls.room():
                job.want = Want.CALL
            else:
                calls.waiting.append(job)
            self._difference(now, job)

    def _shed_memory(self, now: float) -> None:
        """Memory short: the least important held ops go first, the youngest of them before older ones."""
        short = -self._room()
        held = [job for job in self.jobs.values() if job.queued] if short > 0 else []
        for job in sorted(held, key=lambda job: (job.kind.importance, -job.reached)):
            if short > 0:
                short -= job.size + (self.machine.key_size if job.keep_span else 0.0)
                job.want = Want.NACK
                self._difference(now, job)

    def _difference(self, now: float, job: Job) -> None:
        """The one place where an op's wanted state, against its present one, becomes actions."""
        want, job.want = job.want, Want.STAY
        if job.at is At.GONE or job.answered:
            return
        if want <= Want.RUN and job.at is At.HELD and job.keep_span and not job.kept:
            job.kept = True  # kept while held: the repeat of an unkept held op comes unmarked
            self.out.append(act.Keep(job.id, job.keep_span))
        if want is Want.RUN:
            self.out.append(act.Run(job.id))
            self.memory += job.size * (self.machine.run_factor - 1)
            job.size *= self.machine.run_factor
            self._move(now, job, At.ON_CORE)
        elif want is Want.CALL:
            until = job.due - self.beat
            if job.kind.poorer_share > job.kind.late_share:  # given up while a poorer answer is still in time
                until = min(until, job.target - job.cost / 2)
            self.out.append(act.Call(job.id, max(now + self.beat, until)))
            job.tries += 1
            self._move(now, job, At.CALLING)
        elif want is Want.GO_ON:
            self.out.append(act.GoOn(job.id))
            self._move(now, job, At.ON_CORE)
        elif want is Want.REUSE:
            self.out.append(act.Reuse(job.id))
            self._move(now, job, At.REUSING)
        elif want is Want.NACK:
            # In a storm others nack as well: walking on feeds it. Harm: a server still sound may be left out.
            self.out.append(act.Nack(job.id, self.storm > STORM, self._away(now)))
            self._move(now, job, At.GONE)
        elif want >= Want.FAIL:
            if want is Want.STOP:
                self.out.append(act.Pause(job.id))
            self.out.append(act.Fail(job.id))
            self._answered(now, job)

    def _wait(self, now: float, key: int | None = None, importance: float = 0.0) -> float:
        """Predicted wait of a new op: work ahead over the slots, or its key's own line over its share. What
        runs counts half its cost or its age: cores on which nothing ends have to look full."""
        limit = self.limit.limit
        if self.on_core + 1 <= limit and not self.hold.lines:
            return 0.0
        ahead = self.hold.ahead(importance)
        own = ahead if key is None else self.hold.ahead(importance, key) * limit / max(1.0, limit * SHARE)
        running = [max(job.cost, now - job.since) for job in self.jobs.values() if job.at is At.ON_CORE]
        return (min(ahead, own) + sum(running) / 2) / limit

    def _queueing(self, now: float) -> float:
        """What an op waits here, read or not: a server that reads too late holds nothing, yet is not idle."""
        return self.unread + self._wait(now)

    def _misses(self, now: float, job: Job, wait: float) -> bool:
        """Whether it is predicted to miss its target; without history nothing is."""
        # What has to wait needs a margin for the error in its run time: turned away now it may be in time
        # elsewhere, and a keyed op too late fails its repeats. Harm: some that would be in time are lost.
        margin = min(wait, job.spread)
        long = wait > self.stands.get(job.kind.importance, wait)  # else the longest targets fill the line
        return job.cost > 0 and (long or now + wait + margin + job.cost + self._off_cores(job) > job.target)

    def _stale(self, now: float, job: Job) -> bool:
        """Whether a held op has passed its target, or is likely to."""
        return now + job.cost + self._off_cores(job) > job.target

    def _off_cores(self, job: Job) -> float:
        """Expected time in calls: the usual one, or while they are slow that of their queue as it stands; but
        not without history: what is new would be nacked. A run that fails at its call is lost with all its
        repeats. What can go on without it loses nothing."""
        if not (job.cost and job.kind.calls and self.calls.slow()):
            return job.away
        wait = max(1.0, job.legs) * self.calls.wait(len(self.calls.waiting))
        return 0.0 if job.kind.poorer_share else max(job.away, wait)

    def _away(self, now: float) -> float:
        """How long a nacked caller should stay away: until the wait is back at the set point."""
        leaving = self.leave_at < float("inf")
        over = self.callers.max_wait if leaving else self._queueing(now) - PRESSED * self.usual_target
        return max(0.0, min(self.callers.max_wait, over))

    def _wish(self, job: Job, want: Want) -> None:
        """Set what an op should do next; a final answer that is already wanted stands."""
        if job.want < Want.NACK:
            job.want = want
            self.changed.append(job)

    def _room(self) -> float:
        return self.machine.memory * MEMORY_FILL - self.memory - len(self.keys) * self.machine.key_size

    def _give_up(self, id: Any) -> None:
        """Its answer is due: what never ran is nacked, the rest fails."""
        job = self.jobs.get(id)
        if job is not None and not job.answered:
            never_ran = job.at is At.HELD and job.want is not Want.REUSE
            self._wish(job, Want.NACK if never_ran else Want.STOP if self._stops(job) else Want.FAIL)

    def _stops(self, job: Job) -> bool:
        """Whether its run can be stopped for nobody; one with an effect runs on: its end answers repeats."""
        runs = job.at is At.ON_CORE and self.machine.halt is not settings.Halt.NOTHING
        return runs and job.kind.repeat is Repeat.RETRYABLE

    def _answered(self, now: float, job: Job) -> None:
        """Answered, or nobody waits: what runs keeps its core and memory until its run ends."""
        job.answered = True
        if job.at is At.CALLING:
            self._move(now, job, At.AT_CALL)
        elif job.at in (At.HELD, At.REUSING):
            self._move(now, job, At.GONE)

    def _move(self, now: float, job: Job, at: At) -> None:
        """Book where it was and for how long; out of hand, it frees what it held."""
        was = job.at
        if job.queued:
            self.hold.drop(job)
        if was is At.ON_CORE:
            job.on += now - job.since
        elif was in (At.AT_CALL, At.CALLING):
            job.off += now - job.since
        if was is At.CALLING and (at is At.GONE or job.answered):
            self.calls.lingering.append(now + self.calls.linger_span)
        for where, by in ((was, -1), (at, 1)):
            if where is At.CALLING:
                self.calls.out += by
            elif where is At.ON_CORE:
                self.on_core += by
                self.running[job.key] = self.running.get(job.key, 0) + by
        if not self.running.get(job.key, 1):
            del self.running[job.key]
        job.at, job.since = at, now
        if at is At.GONE:
            if was is At.HELD:  # never ran: the key of one that is gone would fail all its repeats
                self.keys.pop(job.id, None)
                if job.kept:
                    self.out.append(act.Forget(job.id))
            del self.jobs[job.id]
            self.memory -= job.size
