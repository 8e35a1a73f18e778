"""The moments of a graceful shutdown, as far as they bear on admission."""

from __future__ import annotations

import math

# In intervals between two timers, which may come late.
ADMISSION_MARGIN = 2  # a run that would end this close to the stop is not begun
FINAL_ANSWER_MARGIN = 2.5  # whatever is left is answered this long before the stop


class ShutdownSchedule:
    """When the server stops, and until when it admits requests; never, before the notice."""

    def __init__(self, interval: float) -> None:
        """`interval`: seconds between two timers."""
        self.interval = interval
        self.stop_at = self.grace_until = math.inf

    @property
    def is_draining(self) -> bool:
        """Whether the shutdown notice has come."""
        return self.stop_at < math.inf

    def begin(self, now: float, time_left: float, grace: float) -> None:
        """The notice: the server stops in `time_left` seconds, and admits what arrives within `grace`."""
        self.stop_at, self.grace_until = now + time_left, now + grace

    def is_too_late(self, now: float, run_time: float = 0.0) -> bool:
        """Whether a run of this many seconds would end too close to the stop."""
        return now > self.stop_at - run_time - ADMISSION_MARGIN * self.interval

    def answers_all(self, now: float) -> bool:
        """Whether all that is left must be answered now."""
        return now >= self.stop_at - FINAL_ANSWER_MARGIN * self.interval
