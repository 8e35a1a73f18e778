"""The schedule of a graceful shutdown, as far as admission control needs it."""

from __future__ import annotations

import math

# In timer intervals, as timers may be late.
ADMISSION_MARGIN_INTERVALS = 2  # no request is admitted whose run would end closer to the stop than this
FINAL_ANSWER_MARGIN_INTERVALS = 2.5  # all remaining requests are answered this long before the stop


class ShutdownSchedule:
    """When the server stops and how long it admits requests; infinite before the shutdown notice."""

    def __init__(self, interval: float) -> None:
        """`interval`: seconds between two timers."""
        self.interval = interval
        self.stop_at = self.grace_until = math.inf

    @property
    def is_draining(self) -> bool:
        """Whether the shutdown notice has been received."""
        return self.stop_at < math.inf

    def begin(self, now: float, time_left: float, grace: float) -> None:
        """Apply the notice: stop in `time_left` seconds, and admit requests for `grace` seconds more."""
        self.stop_at, self.grace_until = now + time_left, now + grace

    def is_too_late(self, now: float, run_time: float = 0.0) -> bool:
        """Whether a run of `run_time` seconds would end too close to the stop."""
        return now > self.stop_at - run_time - ADMISSION_MARGIN_INTERVALS * self.interval

    def answers_all(self, now: float) -> bool:
        """Whether all remaining requests must be answered now."""
        return now >= self.stop_at - FINAL_ANSWER_MARGIN_INTERVALS * self.interval
