"""The moments of an app server's drain, and how far it has come. Pure."""

from __future__ import annotations

import math
from typing import NamedTuple

STOP_MARGIN_SECONDS = 0.15  # with all answered, the process ends this long before it would be killed
FINAL_ANSWER_MARGIN_SECONDS = 0.1  # likewise: by now all is answered, whatever the policy decides
TIMER_DELAY_SECONDS = 0.02  # timers may expire this late
LATE_REQUEST_WINDOW_SECONDS = 0.06  # after the last answer: a request may cross the closing of a connection


class DrainPlan(NamedTuple):
    """The moments of a drain. They keep their order whatever stop timeout and grace the settings name."""

    notice_at: float
    listener_closes_at: float  # no connection is accepted any more, and clients are notified
    stops_at: float  # with all answered the process ends from here on
    last_timer_at: float  # the policy has given up all that is left
    final_answers_at: float  # what has no answer by now is failed
    killed_at: float

    def policy_stop(self, interval: float) -> float:
        """The stop that the policy is notified of.

        It gives up what is left at a timer that may expire as late as one `interval` before its stop.
        """
        return min(self.killed_at, self.last_timer_at + interval)


def plan_drain(notice_at: float, stop_timeout: float, grace: float) -> DrainPlan:
    """Plan a drain; a short stop timeout shrinks all margins.

    `grace` is how long requests are still admitted, in seconds.
    """
    killed_at = notice_at + stop_timeout
    shrink = min(1.0, stop_timeout / (2 * STOP_MARGIN_SECONDS))
    stops_at = killed_at - shrink * STOP_MARGIN_SECONDS
    final_answers_at = killed_at - shrink * FINAL_ANSWER_MARGIN_SECONDS
    # A client that was notified may have a request on its way: the process is still there for it.
    listener_closes_at = min(notice_at + min(grace, stop_timeout / 2), stops_at - LATE_REQUEST_WINDOW_SECONDS)
    last_timer_at = final_answers_at - shrink * TIMER_DELAY_SECONDS
    return DrainPlan(
        notice_at, max(notice_at, listener_closes_at), stops_at, last_timer_at, final_answers_at, killed_at
    )


class DrainState:
    """How far a drain has come; before the notice `plan` is None and nothing is ever due."""

    def __init__(self) -> None:
        self.plan: DrainPlan | None = None
        self.listener_closes_at = self.ends_at = math.inf
        self.not_before = 0.0  # the process does not end before this
        self.all_connections_closed = self.is_done = False

    def begin(self, plan: DrainPlan, is_extended: bool, has_connections: bool) -> None:
        """The notice has come. `is_extended`: clients come until the listener closes, and a while after."""
        self.plan, self.listener_closes_at = plan, plan.listener_closes_at
        if is_extended:
            self.not_before = plan.listener_closes_at
        elif not has_connections:
            # Nobody is left to wait for, and the process is about to end: a connection that was accepted
            # meanwhile would be reset.
            self.listener_closes_at = plan.notice_at

    def next_moments(self, has_unanswered: bool) -> list[float]:
        """When to look again."""
        if self.plan is None:
            return []
        if not has_unanswered and self.ends_at < math.inf:
            return [self.listener_closes_at, self.ends_at]
        stop = self.plan.final_answers_at if has_unanswered else self.plan.stops_at
        return [self.listener_closes_at, stop]

    def must_answer_all(self, now: float) -> bool:
        """Whether what is left is failed now."""
        return self.plan is not None and now >= self.plan.final_answers_at

    def take_listener_close(self, now: float) -> bool:
        """Whether the listener is to be closed now; only once."""
        if now < self.listener_closes_at:
            return False
        self.listener_closes_at = math.inf
        return True

    def update_end(self, now: float, has_unanswered: bool, has_pending_answers: bool) -> None:
        """Find out whether the process may end: a client that has not yet read the notice may still ask."""
        if self.plan is None or has_unanswered:
            return
        must_stop = now >= self.plan.stops_at
        is_over = self.all_connections_closed and now >= self.not_before and not has_pending_answers
        if not (is_over or must_stop):
            return
        window = LATE_REQUEST_WINDOW_SECONDS / 4 if must_stop else LATE_REQUEST_WINDOW_SECONDS
        self.ends_at = min(self.ends_at, now + window)
        self.is_done = now >= self.ends_at
