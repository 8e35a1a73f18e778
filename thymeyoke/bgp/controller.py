"""Decides at which level each service address is advertised. Pure, no I/O.

The inputs are observations of this server and the number of others that advertise the address. An overloaded
server reduces its level and may withdraw, but never the last path to an address.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from thymeyoke.bgp.configuration import Prefix

# Of the cores. Rejections below it are not for lack of CPU, and other servers would have the same cause.
OVERLOAD_CPU_SHARE = 0.9
OVERLOAD_CONNECTION_SHARE = 0.95  # of the maximum of connections
OVERLOAD_END_FACTOR = 1 / 4  # of `crowded_after`: the overload is over
PERSISTENT_OVERLOAD_FACTOR = 2.0  # of `crowded_after`: lowering the level did not help
MAX_OVERLOAD_FACTOR = 2.5  # of `crowded_after`: overload is remembered for at most so long
FIRST_WITHDRAWAL_FACTOR = 2  # of `crowded_after`; doubled with each recent withdrawal
MAX_WITHDRAWAL_SECONDS = 60.0
WITHDRAWALS_HALF_LIFE = 60.0  # seconds
DEPREFERENCE_DRAIN_SHARE = 1 / 4  # of the time until the listener closes; withdrawn afterwards
MINUTE = 60.0


class Level(IntEnum):
    """How an address is advertised. Operators see the names in lower case.

    `FULL` is preferred, `LESS` is advertised with attributes that make routers prefer other paths, and
    `WITHDRAWN` is not advertised.
    """

    WITHDRAWN = 0
    LESS = 1
    FULL = 2


class LevelDecision(NamedTuple):
    """A level and its reason, as shown to operators."""

    level: Level
    reason: str
    ignores_budget: bool = False  # made even if the budget of changes is spent


class ServerObservation(NamedTuple):
    """One observation of the server. Counters start at its start; times are those of the clock.

    The names of the fields are part of the status output.
    """

    up: bool
    linked: bool  # connected to the processor
    warm_at: float
    busy: float | None  # share of the cores, 0 to 1
    ops: int
    nacked: int
    connections: int
    most: int
    late: bool = False  # the status query was not answered in time


class LevelSettings(NamedTuple):
    """Settings of the level controller, from `[announce]`. Times are in seconds."""

    least_others: int
    crowded_share: float
    crowded_after: float
    settle: float
    changes: int


class TokenBucket:
    """Rate limiter: up to `size` tokens at once, refilled over `span` seconds."""

    def __init__(self, size: float, span: float) -> None:
        self.size, self.rate = size, size / span
        self.tokens, self.updated_at = size, 0.0

    def has_tokens(self, now: float, count: float = 1.0) -> bool:
        """Refill the bucket and return whether it has `count` tokens."""
        self.tokens = min(self.size, self.tokens + max(0.0, now - self.updated_at) * self.rate)
        self.updated_at = max(now, self.updated_at)
        return self.tokens >= count

    def take(self, now: float, count: float = 1.0) -> None:
        """Take tokens, at most as many as there are."""
        self.has_tokens(now)
        self.tokens = max(0.0, self.tokens - count)

    def available_at(self, now: float, count: float = 1.0) -> float:
        """Return when `count` tokens are available."""
        return now if self.has_tokens(now, count) else now + (count - self.tokens) / self.rate


class OverloadDetector:
    """Detects lasting overload: time under overload counts up, time without it counts down.

    Two thresholds keep the result from flapping.
    """

    def __init__(self, settings: LevelSettings) -> None:
        self.settings, self.overload_seconds, self.is_overloaded = settings, 0.0, False
        self.last: ServerObservation | None = None
        self.observed_at = 0.0

    def observe(self, now: float, observation: ServerObservation) -> None:
        """Add the time since the last observation."""
        span = min(max(0.0, now - self.observed_at), self.settings.crowded_after / 2) if self.last else 0.0
        shows_overload = self.shows_overload(observation)
        self.last, self.observed_at = observation, now
        self.overload_seconds = min(
            MAX_OVERLOAD_FACTOR * self.settings.crowded_after,
            max(0.0, self.overload_seconds + (span if shows_overload else -span)),
        )
        if self.overload_seconds >= self.settings.crowded_after:
            self.is_overloaded = True
        elif self.overload_seconds <= OVERLOAD_END_FACTOR * self.settings.crowded_after:
            self.is_overloaded = False

    @property
    def is_persistent(self) -> bool:
        """Whether the overload continues although less traffic was sent here."""
        return self.overload_seconds >= PERSISTENT_OVERLOAD_FACTOR * self.settings.crowded_after

    def shows_overload(self, observation: ServerObservation) -> bool:
        """Return whether an observation shows overload."""
        if observation.late or observation.connections >= OVERLOAD_CONNECTION_SHARE * observation.most:
            return True
        previous = self.last
        if previous is None or observation.busy is None or observation.busy < OVERLOAD_CPU_SHARE:
            return False
        ops = observation.ops - previous.ops
        return ops > 0 and observation.nacked - previous.nacked >= self.settings.crowded_share * ops


class AddressState:
    """The current level of an address."""

    def __init__(self, now: float) -> None:
        self.level, self.reason, self.since = Level.WITHDRAWN, "not yet looked at", now
        self.others = 0
        self.withdrawn_for_overload = False
        self.return_at = 0.0
        self.changes = 0


class LevelController:
    """Decides the levels of all addresses.

    Call `observe`, `start_drain` and `set_others` as things happen, then `advance`.
    """

    def __init__(self, now: float, settings: LevelSettings, addresses: Iterable[Prefix]) -> None:
        self.settings, self.overload = settings, OverloadDetector(settings)
        self.addresses = {prefix: AddressState(now) for prefix in addresses}
        self.caps: Mapping[Prefix, LevelDecision] = {}  # highest levels, set from outside
        self.budget = TokenBucket(settings.changes, MINUTE)
        self.withdrawals, self.withdrawals_at = 0.0, now  # for overload; decays
        self.unlinked_at = self.withdraw_at = self.listener_closes_at = float("inf")
        self.budget_available_at = float("inf")  # when the budget allows a delayed change

    @property
    def last(self) -> ServerObservation | None:
        """The last observation."""
        return self.overload.last

    def reconfigure(self, now: float, settings: LevelSettings, addresses: Iterable[Prefix]) -> None:
        """Apply new settings and addresses; addresses that remain keep their state."""
        self.settings = self.overload.settings = settings
        self.addresses = {prefix: self.addresses.get(prefix) or AddressState(now) for prefix in addresses}
        if settings.changes != self.budget.size:
            self.budget = TokenBucket(settings.changes, MINUTE)

    def observe(self, now: float, observation: ServerObservation) -> None:
        """Add an observation of the server."""
        if observation.linked:
            self.unlinked_at = float("inf")
        elif self.unlinked_at == float("inf"):
            self.unlinked_at = now
        self.overload.observe(now, observation)

    def start_drain(self, now: float, listener_closes_at: float) -> None:
        """Start a drain; requests are accepted until the listener closes. Further calls have no effect."""
        if self.listener_closes_at == float("inf"):
            self.listener_closes_at = listener_closes_at
            self.withdraw_at = now + max(0.0, listener_closes_at - now) * DEPREFERENCE_DRAIN_SHARE

    def set_others(self, prefix: Prefix, others: int) -> None:
        """Set how many other servers advertise the address at the highest level, as reported by the peers."""
        if prefix in self.addresses:
            self.addresses[prefix].others = others

    def next_advance_at(self, now: float) -> float:
        """Return when `advance` must be called next, if nothing else happens."""
        times = [self.withdraw_at if self.withdraw_at > now else float("inf"), self.budget_available_at]
        for state in self.addresses.values():
            times += [at for at in (state.since + self.settings.settle, state.return_at) if at > now]
        if self.last and self.last.warm_at > now:
            times.append(self.last.warm_at)
        return min(times)

    def advance(self, now: float) -> list[Prefix]:
        """Change the levels as far as the budget allows; returns the addresses that changed."""
        changed, budget_used, self.budget_available_at = [], False, float("inf")
        for prefix, state in self.addresses.items():
            decision = self.wanted_level(now, state)
            if (cap := self.caps.get(prefix)) and cap.level < decision.level:
                decision = cap
            if decision.level == state.level:
                state.reason = decision.reason
                continue
            cost = 2.0 if decision.level == Level.WITHDRAWN else 1.0  # includes advertising it again
            if not (decision.ignores_budget or budget_used or self.budget.has_tokens(now, cost)):
                state.reason = (
                    f"{state.reason.partition(' (')[0]} (budget of changes spent; wanted: {decision.reason})"
                )
                self.budget_available_at = min(self.budget_available_at, self.budget.available_at(now, cost))
                continue
            if not budget_used:
                self.budget.take(now)
            budget_used = True
            self._move(now, state, decision)
            changed.append(prefix)
        return changed

    def _move(self, now: float, state: AddressState, decision: LevelDecision) -> None:
        """Set an address to a new level."""
        if decision.level == Level.WITHDRAWN and not decision.ignores_budget:
            self.withdrawals = self._recent_withdrawals(now) + 1
            self.withdrawals_at = now
            state.withdrawn_for_overload = True
            state.return_at = now + min(
                MAX_WITHDRAWAL_SECONDS,
                FIRST_WITHDRAWAL_FACTOR * self.settings.crowded_after * 2 ** (self.withdrawals - 1),
            )
        elif decision.level != Level.WITHDRAWN:
            state.withdrawn_for_overload = False
        state.level, state.reason, state.since = decision.level, decision.reason, now
        state.changes += 1

    def _recent_withdrawals(self, now: float) -> float:
        """Return the decayed number of withdrawals for overload."""
        return float(self.withdrawals * 0.5 ** (max(0.0, now - self.withdrawals_at) / WITHDRAWALS_HALF_LIFE))

    def wanted_level(self, now: float, state: AddressState) -> LevelDecision:
        """Return the level that an address should have: the first rule that applies decides."""
        observation, settings = self.last, self.settings
        settled = now >= state.since + settings.settle
        if now >= self.withdraw_at:
            return LevelDecision(Level.WITHDRAWN, "drain", True)
        if observation is None or not observation.up:
            return LevelDecision(Level.WITHDRAWN, "the processor is not up yet", True)
        if self.listener_closes_at < float("inf"):
            return LevelDecision(min(state.level, Level.LESS), "drain", True)
        if self.unlinked_at <= now:
            if state.level == Level.FULL:
                return LevelDecision(Level.LESS, "the processor is away", True)
            withdraw = state.level == Level.WITHDRAWN or settled
            return LevelDecision(Level.WITHDRAWN if withdraw else Level.LESS, "the processor is away", True)
        if state.withdrawn_for_overload:
            return self._wanted_while_withdrawn(now, state)
        if self.overload.is_overloaded:
            enough_others = settings.least_others > 0 and state.others >= settings.least_others
            if state.level == Level.LESS and settled and enough_others and self.overload.is_persistent:
                return LevelDecision(Level.WITHDRAWN, f"crowded, {state.others} others in full")
            others_text = "" if enough_others else f", {state.others} others in full"
            return LevelDecision(Level.LESS, f"crowded{others_text}", state.level == Level.WITHDRAWN)
        if observation.warm_at > now:
            return LevelDecision(Level.LESS, "cold", state.level == Level.WITHDRAWN)
        if state.level == Level.WITHDRAWN:  # levels rise one step at a time
            return LevelDecision(Level.LESS, "coming up", True)
        if state.level == Level.LESS and not settled:
            return LevelDecision(Level.LESS, state.reason)
        return LevelDecision(Level.FULL, "can serve")

    def _wanted_while_withdrawn(self, now: float, state: AddressState) -> LevelDecision:
        """Return the wanted level of an address that was withdrawn for overload."""
        if state.others < self.settings.least_others:  # the path may be needed, even under overload
            return LevelDecision(Level.LESS, f"crowded, {state.others} others in full", True)
        if self.overload.is_overloaded or now < state.return_at:
            return LevelDecision(Level.WITHDRAWN, state.reason)
        return LevelDecision(Level.LESS, "coming up")
