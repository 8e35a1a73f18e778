"""The schedule of an app server's drain and its progress, without I/O."""

from __future__ import annotations

import math
from typing import NamedTuple

STOP_MARGIN_SECONDS = 0.15  # before the kill; the process ends then if all requests are answered
FINAL_ANSWER_MARGIN_SECONDS = 0.1  # before the kill; requests that are still unanswered fail then
TIMER_DELAY_SECONDS = 0.02  # timers may expire this late
LATE_REQUEST_WINDOW_SECONDS = 0.06  # after the last answer, for requests already on their way


class DrainPlan(NamedTuple):
    """The times of a drain, in this order for any stop timeout and grace period."""

    notice_at: float
    listener_closes_at: float  # the listener closes and clients get a shutdown notice
    stops_at: float  # from here on the process ends once all requests are answered
    last_timer_at: float  # latest expiry of the policy's timers
    final_answers_at: float  # requests without an answer fail
    killed_at: float

    def policy_stop(self, interval: float) -> float:
        """The stop time to announce to the policy.

        The policy gives up its remaining requests at a timer that expires up to one `interval` before the
        stop time, so this time is at most one interval after the last timer.
        """
        return min(self.killed_at, self.last_timer_at + interval)


def plan_drain(notice_at: float, stop_timeout: float, grace: float) -> DrainPlan:
    """Plan a drain; a short stop timeout shrinks all margins.

    `grace` is the time in seconds during which requests are still admitted.
    """
    killed_at = notice_at + stop_timeout
    shrink = min(1.0, stop_timeout / (2 * STOP_MARGIN_SECONDS))
    stops_at = killed_at - shrink * STOP_MARGIN_SECONDS
    final_answers_at = killed_at - shrink * FINAL_ANSWER_MARGIN_SECONDS
    # Clients may still have requests on their way when they get the notice; leave time to answer them.
    listener_closes_at = min(notice_at + min(grace, stop_timeout / 2), stops_at - LATE_REQUEST_WINDOW_SECONDS)
    last_timer_at = final_answers_at - shrink * TIMER_DELAY_SECONDS
    return DrainPlan(
        notice_at, max(notice_at, listener_closes_at), stops_at, last_timer_at, final_answers_at, killed_at
    )


class DrainState:
    """The progress of a drain; `plan` is None and nothing is due before the shutdown notice."""

    def __init__(self) -> None:
        self.plan: DrainPlan | None = None
        self.listener_closes_at = self.ends_at = math.inf
        self.not_before = 0.0  # the process does not end before this
        self.all_connections_closed = self.is_done = False

    def begin(self, plan: DrainPlan, is_extended: bool, has_connections: bool) -> None:
        """Begin the drain; if `is_extended`, the process runs at least until the listener closes."""
        self.plan, self.listener_closes_at = plan, plan.listener_closes_at
        if is_extended:
            self.not_before = plan.listener_closes_at
        elif not has_connections:
            # There are no clients to wait for and the process is about to end. A connection that was
            # accepted now would be reset.
            self.listener_closes_at = plan.notice_at

    def next_moments(self, has_unanswered: bool) -> list[float]:
        """The times at which the drain has to be checked again."""
        if self.plan is None:
            return []
        if not has_unanswered and self.ends_at < math.inf:
            return [self.listener_closes_at, self.ends_at]
        stop = self.plan.final_answers_at if has_unanswered else self.plan.stops_at
        return [self.listener_closes_at, stop]

    def must_answer_all(self, now: float) -> bool:
        """Whether all unanswered requests have to fail now."""
        return self.plan is not None and now >= self.plan.final_answers_at

    def take_listener_close(self, now: float) -> bool:
        """Whether to close the listener now; true once."""
        if now < self.listener_closes_at:
            return False
        self.listener_closes_at = math.inf
        return True

    def update_end(self, now: float, has_unanswered: bool, has_pending_answers: bool) -> None:
        """Update `is_done`; a short window leaves time for clients that have not read the notice yet."""
        if self.plan is None or has_unanswered:
            return
        must_stop = now >= self.plan.stops_at
        is_over = self.all_connections_closed and now >= self.not_before and not has_pending_answers
        if not (is_over or must_stop):
            return
        window = LATE_REQUEST_WINDOW_SECONDS / 4 if must_stop else LATE_REQUEST_WINDOW_SECONDS
        self.ends_at = min(self.ends_at, now + window)
        self.is_done = now >= self.ends_at
