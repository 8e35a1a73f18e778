"""The actor around the decisions: events in, one `settle` a batch, its actions carried out.

It alone touches `Choice`, and decides nothing. What it owes besides are timers, gauges, health, the value
that rides on answers, the drain, and a last answer to an op that would else have none.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple

import anyio

from thymeyoke.admission import actions as act
from thymeyoke.admission import settings
from thymeyoke.admission.controller import Choice
from thymeyoke.admission.settings import Outcome, Repeat
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import Behind, Ear
from thymeyoke.runtime.invariants import holds
from thymeyoke.runtime.mailbox import take_all
from thymeyoke.server.dependency import Database
from thymeyoke.server.endpoint_registry import Roster
from thymeyoke.server.idempotency import Key, Keys, Result
from thymeyoke.server.listener import Front
from thymeyoke.server.messages import (
    NOT_TOLD,
    Answer,
    Arrived,
    Asked,
    Asker,
    Begin,
    Call,
    CallOver,
    Checked,
    Command,
    Down,
    Draining,
    Emptied,
    Ended,
    Event,
    Fitness,
    Gauge,
    Gauges,
    GiveUp,
    Gone,
    Interrupt,
    Leave,
    Leaving,
    Order,
    Over,
    Probe,
    Refused,
    Reply,
    Report,
    Standing,
    Synced,
    TakeUp,
    Trim,
    Up,
    Verdict,
    Without,
)
from thymeyoke.server.processor import Processor

INBOX = 4096
GAUGE_LEAD = 0.02  # gauges are asked for this long before the module wakes: its timers never wait for them
LEAST_LEFT = 0.001  # less would mean that the time left is not told
STOP_MARGIN = 0.15  # with all answered, the process ends this long before it would be killed
LAST_MARGIN = 0.1  # by now all is answered, whatever the module says
BEAT_LATE = 0.02  # the decisions' last beat comes this long before that, as timers are late
FAREWELL = 0.06  # an op may cross a close for 50 ms: after the last answer the process stays this long
COUNTS_PERIOD = 10.0
CROWD = 4  # events in a batch from which on more are waited for


class Slip:
    """An op from its arrival until it is answered and its run is over."""

    def __init__(self, asker: Asker, number: int, order: Order, key: Key | None, timeout: float) -> None:
        self.asker, self.number, self.order, self.key = asker, number, order, key
        self.due = order.since + (order.patience or timeout)
        self.answered = self.begun = self.over = self.paused = self.calling = False
        self.repeats: str | None = None
        self.command: Command | None = None  # the last to the processor, until known to have come through
        self.sent, self.again = 0, False  # the link it went out on; whether on two
        self.asked = b""  # the body of the call that its run stands at
        self.run, self.calls = 0.0, 0  # seconds, as the processor told them; calls made
        self.verdict: Verdict | None = None
        self.told = False  # its end, to those who hear of ops


class DrainPlan(NamedTuple):
    """The moments of a drain. They keep their order whatever stop, grace and slack the settings name."""

    notice: float
    door: float  # nobody is let in any more, and callers are told
    stops: float  # with all answered the process ends from here on
    last_beat: float  # the decisions have given up all that is left
    last_resort: float  # what has no answer by now is failed
    kill: float

    def policy_stop(self, beat: float) -> float:
        """The stop that the decisions are told. They give up what is left at a beat that may come as late as
        one beat before it: with a short beat that was behind the last resort."""
        return min(self.kill, self.last_beat + beat)


def plan_drain(notice: float, stop: float, grace: float) -> DrainPlan:
    kill = notice + stop
    shrink = min(1.0, stop / (2 * STOP_MARGIN))  # a stop that the margins do not fit in twice shortens them
    stops = kill - shrink * STOP_MARGIN
    last_resort = kill - shrink * LAST_MARGIN
    # Who is told to leave may have an op on its way for FAREWELL: the process is still there for it.
    door = min(notice + min(grace, stop / 2), stops - FAREWELL)
    last_beat = last_resort - shrink * BEAT_LATE
    return DrainPlan(notice, max(notice, door), stops, last_beat, last_resort, kill)


class Desk:
    def __init__(self, stop: float, given: dict[str, Any], results_limit: float = math.inf) -> None:
        """`results_limit`: the bytes that retained results may take of this process's own memory."""
        self.stop, self.given = stop, given
        self.kinds: tuple[settings.OpType, ...] = given["op_types"]
        duty: settings.Duty = given["duty"]
        # A notice is heard late, as all else is: by up to the slack that the settings leave an answer. What
        # reached the machine behind the true end of the grace must not be run: ours ends sooner by as much.
        self.duty = duty._replace(drain_grace=max(0.0, duty.drain_grace - duty.answer_slack))
        self.tick: float = given["machine"].tick
        self.fresh: float = given["callers"].fresh
        self.inbox, self.events = anyio.create_memory_object_stream[Event](INBOX)
        self.yoke: Choice | None = None  # from when the processor is up
        self.slips: dict[str, Slip] = {}  # emptied as ops are answered and over
        self.unanswered = 0
        self.keys = Keys(max(kind.timeout for kind in self.kinds), results_limit)
        self.fresh_keys: dict[Key, str] = {}  # of this batch; emptied by its settle
        self.timers: list[tuple[float, int, int | None]] = []  # wakes; gauges where no mark; emptied in time
        self.timer_count = 0
        self.dues: list[tuple[float, str]] = []  # emptied as their moments pass
        self.gauges: tuple[float, ...] = ()
        self.link = 0  # the processor's, once it is synced
        self.own: list[Event] = []  # what carrying out led to at once; emptied within a settle
        self.late: list[Command] = []  # to the processor, after this batch's answers
        self.value: float | None = None
        self.fit = True
        self.plan: DrainPlan | None = None  # from the notice to leave on
        self.close_at = self.end_at = float("inf")
        self.behind: tuple[Behind, ...] = ()  # what the operators' file asks for
        self.ears: tuple[Ear, ...] = ()  # those of them that hear of ops
        self.stay_until = 0.0  # with announcements a drain lasts until the door shuts
        self.warm_at = 0.0
        self.busy_at = gauges.index("busy") if "busy" in (gauges := given["machine"].gauges) else None
        self.done = self.emptied = False
        self.next_counts = clock() + COUNTS_PERIOD

    def meet(self, front: Front, processor: Processor, database: Database, roster: Roster) -> None:
        self.front, self.processor, self.database, self.roster = front, processor, database, roster

    def stands(self, sides: tuple[Behind, ...]) -> None:
        """What stands behind the desk from now on."""
        self.behind = sides
        self.ears = tuple(side for side in sides if side.hears_ops)

    async def run(self) -> None:
        with self.events:
            await self._run()

    async def _run(self) -> None:
        while not self.done:
            batch = await self._collect()
            if len(batch) >= CROWD:
                # A turn for each event costs several times what the event does: in a crowd they gather for as
                # long as the module is told that batches lie apart. With few events nothing waits.
                await anyio.sleep(self.tick)
                batch += take_all(self.events)
            self._turn(clock(), batch)

    def _turn(self, now: float, batch: list[Event]) -> None:
        """All that is heard and due at one moment."""
        for event in batch:
            self._guarded(self._hear, now, event)
        self._guarded(self._pass, now)
        self._settle(now)
        if self.plan and now >= self.plan.last_resort:  # behind the module's word on what was read just now
            for slip in list(self.slips.values()):
                self._last_resort(now, slip)
        if now >= self.next_counts:
            self.next_counts = now + COUNTS_PERIOD
            self.tell_counts()

    def tell_counts(self) -> None:
        pairs = logs.gauges | logs.counts
        logs.say(logging.INFO, "counts", in_hand=len(self.slips), kept=len(self.keys.by_id), **pairs)

    async def _collect(self) -> list[Event]:
        """Wait for an event or the next moment, then take all that is there."""
        if batch := take_all(self.events):
            return batch
        with anyio.move_on_after(max(0.0, self._next_moment() - clock())):
            batch.append(await self.events.receive())
        return batch + take_all(self.events)

    def _next_moment(self) -> float:
        """When to look again, whatever is heard until then."""
        moments = [self.next_counts]
        moments += [heap[0][0] for heap in (self.timers, self.dues) if heap]
        if self.plan:
            ends = self.end_at < float("inf") and not self.unanswered  # nothing else is waited for
            stops = self.plan.last_resort if self.unanswered else self.plan.stops
            moments += [self.close_at, self.end_at if ends else stops]
            if self.ears:  # answers that wait for a disk are not the desk's: it looks again
                moments.append(clock() + GAUGE_LEAD)
        return min(moments)

    def _guarded(self, what: Callable[..., Any], *given: Any) -> Any:
        """An error in the decisions, or here, ends neither the server nor the answers due."""
        try:
            return what(*given)
        except Exception as error:
            logs.counts["desk_error"] += 1
            logs.say(logging.ERROR, "desk error", error)
            holds(False, "no_desk_error", place=logs.place(error))
            return None

    # What is heard.

    def _hear(self, now: float, event: Event) -> None:
        yoke = self.yoke
        match event:
            case Arrived():
                self._arrived(now, event)
            case Checked(asker, number):
                asker.tell(Fitness(number, self.fit, self.value))
            case Gone(id, asker):
                self._gone(now, id, asker)
            case Ended():
                self._ended(now, event)
            case Asked(id, body):
                if (slip := self.slips.get(id)) and yoke:
                    slip.asked, slip.command = body, None
                    yoke.blocked(now, id)
            case CallOver():
                self._call_over(now, event)
            case Gauges(values):
                self.gauges = values
            case Up(cold, age):
                self._up(now, cold, age)
            case Synced(link, lost):
                self._synced(link, lost)
            case Down():
                self.link = 0
            case Refused(id, command):
                self._refused(now, id, command)
            case Leave(at):
                self._leave(now, at)
            case Probe(asker):
                asker.tell(self._standing())
            case Emptied():
                self.emptied = True

    def _up(self, now: float, cold: bool, age: float) -> None:
        if self.yoke is None:
            survival = self.given["survival"]._replace(cold=cold)
            self.warm_at = now - age + survival.cold_span if cold else 0.0
            self.yoke = Choice(now=now - age, **{**self.given, "survival": survival, "duty": self.duty})
            logs.say(logging.INFO, "up", cold=cold, age=age)
            if self.plan:  # the notice came first: without it, all would be run whenever it reached us
                self._leave_to_policy(self.yoke, self.plan)

    def _standing(self) -> Standing:
        busy = self.gauges[self.busy_at] if self.gauges and self.busy_at is not None else None
        return Standing(
            self.yoke is not None, self.link > 0, self.warm_at, busy, logs.counts["ops"],
            logs.counts[Verdict.NACK.value], len(self.front.connections), self.front.most)  # fmt: skip

    def _arrived(self, now: float, event: Arrived) -> None:
        asker, number, order = event
        if self.yoke is None or order.id in self.slips:
            logs.counts["unexpected_ops"] += 1
            return asker.tell(Answer(number, Verdict.NACK, value=self.value))
        if order.id in self.keys.by_id:
            # No router uses an id twice. Taken, it would stand for the retained op of that id, and its end
            # would drop that op's key: the next try would run once more.
            logs.counts["unexpected_ops"] += 1
            return asker.tell(Answer(number, Verdict.FAIL, value=self.value))
        if self.ears and not all(ear.takes() for ear in self.ears):
            logs.counts["refused_by_ledger"] += 1
            wait = self.given["callers"].max_wait
            return asker.tell(Answer(number, Verdict.NACK, value=self.value, wait=wait))
        kind = self.kinds[order.type]
        marked = order.key if kind.repeat is Repeat.KEYED else order.subject if self.fresh else None
        key = (order.type, marked) if marked else None
        # Two tries in one batch know each other though the earlier is not retained yet.
        # By a clock that is ahead a try would lie behind the window of the run that it repeats.
        first = self._first_try(key, min(order.since, now)) if key else None
        if first and order.key and not self._same_body(first, order):
            # All tries of one op carry the same body: this is none of it, and gets nothing of its result.
            logs.counts["other_body"] += 1
            return asker.tell(Answer(number, Verdict.FAIL, value=self.value))
        slip = self.slips[order.id] = Slip(asker, number, order, key, kind.timeout)
        self.unanswered += 1
        logs.counts["ops"] += 1
        heappush(self.dues, (max(now, slip.due) + self.duty.answer_slack, order.id))
        slip.repeats = first
        self.yoke.take(now, settings.Op(
            id=order.id, type=order.type, tenant=order.tenant, size=order.size, subject=order.subject,
            hint=order.work, further=order.further, write=kind.repeat is not Repeat.RETRYABLE,
            repeats=slip.repeats, prio=order.prio, caller=order.caller,
            left=max(LEAST_LEFT, slip.due - now) if order.patience else NOT_TOLD,
            unread=max(0.0, now - order.since)))  # fmt: skip
        if key:
            self.fresh_keys[key] = self._runs_for(first, order.id)
        logs.say(logging.DEBUG, "op", id=slip.order.id, type=order.type, left=slip.due - now)

    def _first_try(self, key: Key, reached: float) -> str | None:
        """The retained request that a try of this key repeats, or the one that came in this batch."""
        if retained := self.keys.find(key, reached):
            return retained
        # A run that was not begun ends its request, and this batch may have more tries of it.
        first = self.fresh_keys.get(key)
        return first if first in self.slips else None

    def _runs_for(self, first: str | None, id: str) -> str:
        """Which request the next try of its key in this batch repeats. One whose first try is turned away is
        a first try itself: the next one once took itself for that as well, and both were run."""
        repeats = first is not None and self.yoke is not None and self.yoke.repeats(id)
        return first if first is not None and repeats else id

    def _same_body(self, first: str, order: Order) -> bool:
        kept = self.keys.by_id.get(first)
        return kept.mark == hash(order.body) if kept else self.slips[first].order.body == order.body

    def _gone(self, now: float, id: str, asker: Asker) -> None:
        slip = self.slips.get(id)
        if slip is None or slip.asker is not asker or slip.answered or self.yoke is None:
            return
        logs.counts["gone"] += 1
        self._close(slip)
        if slip.key and self.fresh_keys.get(slip.key) == id:
            del self.fresh_keys[slip.key]
        self.yoke.gone(now, id)

    def _ended(self, now: float, event: Ended) -> None:
        id, outcome, body, lasted = event
        slip = self.slips.get(id)
        if slip is None or self.yoke is None:
            logs.counts["ended_unknown"] += 1
            return
        slip.run = max(slip.run, lasted)  # told anew with each stop and end
        slip.command = None
        if outcome is Outcome.STOPPED and slip.paused and not slip.answered:  # its answer is still owed
            return self._guarded(self.yoke.ended, now, id, outcome)
        slip.over = True
        logs.counts["run_" + outcome.value] += 1
        if not slip.answered:
            self._answer(slip, Verdict.ACK if outcome is Outcome.OK else Verdict.FAIL, body)
        self._drop(slip)
        self._guarded(self.yoke.ended, now, id, outcome)
        result = Result(body if outcome is Outcome.OK else None, now)
        self._release(now, id, self.keys.over(id, result), result)

    def _release(self, now: float, of: str | None, repeats: list[str], result: Result) -> None:
        """Answer repeats with the result that they waited for. One that ran out of time has gone, and a bad
        client may have sent another request under its id since."""
        for id in repeats:
            slip = self.slips.get(id)
            if slip is None or slip.answered or slip.repeats != of or self.yoke is None:
                continue
            ok = result.body is not None
            logs.counts["repeats"] += 1
            self._answer(slip, Verdict.ACK if ok else Verdict.FAIL, result.body or b"")
            self._guarded(self.yoke.ended, now, id, Outcome.OK if ok else Outcome.ERROR)

    def _call_over(self, now: float, event: CallOver) -> None:
        slip = self.slips.get(event.id)
        if slip is None or not slip.calling or self.yoke is None:
            return
        slip.calling = False
        logs.counts["call_" + event.outcome.value] += 1
        if event.outcome is Outcome.OK:
            self._command(slip, Reply(event.id, event.body))
        self.yoke.called(now, event.id, event.outcome, event.took)

    def _refused(self, now: float, id: str, command: type[Command] | None) -> None:
        """A run that the processor did not begin ends here, as one that never ran: its time tells nothing of
        its op type, and its key is free for an op that can run. Refused otherwise, a run goes on or ended.

        Of a `begin` that went out on two links it is not proven that it never ran, and its key is kept: its
        tries fail. Left as it was, nothing ever ended it, and it held its core for good."""
        logs.counts["refused_commands"] += 1
        logs.of_peer("command not carried out", id=id, command=command and command.__name__)
        slip = self.slips.get(id)
        if slip and isinstance(slip.command, Begin) and command is Begin:
            self._ended(now, Ended(id, Outcome.MOOT, b""))
            if not slip.again:
                self._forget(now, id)

    def _leave(self, now: float, at: float) -> None:
        """`at`: when the notice came. All spans count from there, however late it is heard."""
        if self.plan:
            return
        self.plan = plan_drain(at, self.stop, self.duty.drain_grace)
        logs.say(logging.INFO, "leaving", left=self.stop, in_hand=len(self.slips), heard=now - at)
        # Routers hear of it seconds later, and the module takes what comes within the grace: with the door
        # shut at once that was missing, while those who took over were still cold.
        self.close_at = self.plan.door
        if any(side.stays for side in self.behind):
            # Who follows an announcement comes until it is withdrawn, and a while after.
            self.stay_until = self.close_at
        elif not self.front.connections:
            # Nobody is left to wait for, and the process is about to end. Once it ended with the door open,
            # and was closed over who had come in the meantime.
            self.close_at = at
        for side in self.behind:
            side.tell(Draining(self.close_at))
        if self.yoke:
            self._leave_to_policy(self.yoke, self.plan)
        else:
            self._carry_out(now, act.Health(True, False))

    def _leave_to_policy(self, yoke: Choice, plan: DrainPlan) -> None:
        """The notice, and beats that fit into the time left: with a stop shorter than a beat none came."""
        yoke.leave(plan.notice, plan.policy_stop(yoke.beat) - plan.notice)
        latest = {True: plan.last_beat - GAUGE_LEAD, False: plan.last_beat}  # by whether gauges are asked for
        self.timers = sorted((min(at, latest[mark is None]), *rest, mark) for at, *rest, mark in self.timers)

    # Moments that pass.

    def _pass(self, now: float) -> None:
        self.keys.purge(now)
        while self.timers and self.timers[0][0] <= now:
            mark = heappop(self.timers)[2]
            if mark is None:
                if self.link:
                    self.processor.tell(Gauge())
            elif self.yoke:
                try:
                    self.yoke.woke(now, mark, self.gauges)
                except Exception:  # it would never wake again
                    self._wake(now, act.Wake(mark, self.duty.answer_slack))
                    raise
        while self.dues and self.dues[0][0] <= now:
            moment, id = heappop(self.dues)
            if (slip := self.slips.get(id)) and slip.due <= moment:
                self._last_resort(now, slip)
        if now >= self.close_at:
            self.close_at = float("inf")
            self.front.tell(Leaving())
            self.emptied = not self.front.connections
        gone = self.emptied and now >= self.stay_until
        waits = any(ear.pending() for ear in self.ears)
        stops = self.plan is not None and now >= self.plan.stops
        if self.plan and not self.unanswered and ((gone and not waits) or stops):
            # Who has not yet read that we leave may still ask, and is answered until the end.
            self.end_at = min(self.end_at, now + (FAREWELL / 4 if stops else FAREWELL))
            self.done = now >= self.end_at

    def _last_resort(self, now: float, slip: Slip) -> None:
        if slip.answered:
            return
        self._answer(slip, Verdict.FAIL)
        if self.yoke:
            self._guarded(self.yoke.gone, now, slip.order.id)
        holds(False, "answered_in_time", id=slip.order.id)

    def _synced(self, link: int, lost: frozenset[str]) -> None:
        """The replayed notices are in: what is still open may be lost with the old link, or was never sent.
        What is proven to have come through is not sent again: its run may end just now."""
        self.link = link
        for id, slip in self.slips.items():
            if slip.command and slip.sent != link and (not slip.sent or id in lost):
                slip.again = slip.sent > 0
                self._command(slip, slip.command)
            if slip.paused:
                self.processor.tell(Interrupt(slip.order.id))

    # What is done.

    def _settle(self, now: float) -> None:
        """The module's actions; what they end at once is told to it, until nothing is left to say."""
        self.fresh_keys.clear()
        for _ in range(8):
            actions: list[act.Action] = (self.yoke and self._guarded(self.yoke.settle, now)) or []
            for action in actions:
                self._guarded(self._carry_out, now, action)
            for command in self.late:
                self.processor.tell(command)
            self.late.clear()
            own, self.own = self.own, []
            for event in own:
                self._guarded(self._hear, now, event)
            if not own and not any(isinstance(action, act.Reuse | act.Forget) for action in actions):
                break

    def _carry_out(self, now: float, action: act.Action) -> None:
        match action:
            case act.Say(value):
                self.value = value
            case act.Health(_, fit):
                self.fit = fit
                self.roster.tell(Report(fit))
            case act.Trim(span):
                self.front.tell(Trim(span))
            case act.Wake():
                self._wake(now, action)
            case act.Note(text):
                logs.say(logging.INFO, "note", text=text)
            case _:
                slip = self.slips.get(action.id)
                if slip is None:
                    if isinstance(action, act.Forget):
                        self._forget(now, action.id)
                    return
                self._carry_out_for(now, slip, action)

    def _carry_out_for(self, now: float, slip: Slip, action: act.Action) -> None:
        id = slip.order.id
        match action:
            case act.Run():
                if slip.begun and slip.paused:
                    slip.paused = False
                    self._command(slip, TakeUp(id))
                elif holds(not slip.begun, "runs_once", id=id):
                    slip.begun = True
                    self._command(slip, Begin(id, slip.order.type, slip.order.body))
            case act.Nack(_, nowhere_else, wait):
                retryable = self.kinds[slip.order.type].repeat is Repeat.RETRYABLE
                if holds(not slip.begun or retryable, "nacked_never_ran", id=id):
                    self._answer(slip, Verdict.NACK, wait=wait, nowhere_else=nowhere_else)
            case act.Fail():
                self._answer(slip, Verdict.FAIL)
            case act.Pause():
                slip.paused = True
                self.late.append(Interrupt(id))  # after the answer that it may come with
            case act.Reuse():
                result = self.keys.repeat(id, slip.repeats)
                if result is not None:
                    self._release(now, slip.repeats, [id], result)
            case act.Call(_, until):
                slip.calling = True
                slip.calls += 1
                if not self.database.tell(Call(id, until, slip.asked)):
                    self.own.append(CallOver(id, Outcome.UNREACHED, b"", 0.0))
            case act.Keep(_, span):
                if slip.key:
                    fresh = 0.0 if slip.order.key else self.fresh
                    self.keys.keep(id, slip.key, now + span, fresh, hash(slip.order.body))
            case act.Forget():
                self._forget(now, id)
            case act.GoOn():
                self._command(slip, Without(id))

    def _forget(self, now: float, id: str) -> None:
        """It never ran: its repeats get nothing from it."""
        self._release(now, id, self.keys.forget(id), Result(None, now))

    def _wake(self, now: float, wake: act.Wake) -> None:
        self.timer_count += 1
        at = now + wake.span
        heappush(self.timers, (at - GAUGE_LEAD, self.timer_count, None))
        heappush(self.timers, (at, self.timer_count, wake.mark))

    def _command(self, slip: Slip, command: Command) -> None:
        slip.command, slip.sent = command, self.link
        if self.link:
            self.processor.tell(command)

    def _answer(self, slip: Slip, verdict: Verdict, body: bytes = b"", **more: Any) -> None:
        if not holds(not slip.answered, "answered_once", id=slip.order.id):
            return
        slip.verdict = verdict
        answer = Answer(slip.number, verdict, body, self.value, **more)
        logs.counts[verdict.value] += 1
        if self.ears and (slip.over or not slip.begun):  # this is its end, and its use is known
            self._tell_ears(slip, len(body), answer)
        else:
            slip.asker.tell(answer)
        self._close(slip)

    def _tell_ears(self, slip: Slip, octets: int, answer: Answer | None) -> None:
        order, now = slip.order, clock()
        until = min(now + self.duty.answer_slack / 2, max(now, slip.due))
        repeat = slip.repeats is not None and not slip.begun
        importance, octets = self.kinds[order.type].importance, len(order.body) + octets
        over = Over(
            now, order.id, order.tenant, order.type, slip.verdict, repeat, slip.run, slip.calls, importance,
            octets, answer and slip.asker, answer, until)  # fmt: skip
        for ear in self.ears:
            ear.ended(over)
            over = over._replace(asker=None, answer=None)
        slip.told = True

    def _close(self, slip: Slip) -> None:
        """Answered, or nobody waits: its call is given up, and it goes unless its run is still to end."""
        slip.answered = True
        self.unanswered -= 1
        if slip.calling:
            slip.calling = False
            self.database.tell(GiveUp(slip.order.id))
        self._drop(slip)

    def _drop(self, slip: Slip) -> None:
        if slip.answered and (slip.over or not slip.begun):
            self.slips.pop(slip.order.id, None)
            if self.ears and not slip.told:
                self._tell_ears(slip, 0, None)
