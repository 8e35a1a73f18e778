"""The adaptive concurrency limit: how many requests may run at once."""

from __future__ import annotations

from thymeyoke.admission.settings import OverloadLimits

QUOTA_SHARE = 1 / 4  # of the limit: what one tenant or client may run while others wait
SAFE_OVERLOAD_SHARE = 0.75  # of the concurrency that the machine survives: suspended runs may all resume
GROWTH_PER_CORE_SECOND = 2.0  # increase of the limit for each core and second
BACKOFF_PER_CORE_SECOND = 0.5  # decrease of the limit for each core and second
IDLE_BUSY_SHARE = 0.9  # a core is idle while the busy gauge is below this


class ConcurrencyLimit:
    """A limit that grows while cores are idle and requests wait, and shrinks while the cores are busy."""

    def __init__(self, cores: float, now: float, overload: OverloadLimits) -> None:
        self.cores, self.overload = cores, overload
        self.limit = float(cores)
        self.started_at = self.adapted_at = now

    @property
    def quota(self) -> float:
        """Requests that one tenant or client may run while others wait; at least one."""
        return max(1.0, self.limit * QUOTA_SHARE)

    def ceiling(self, now: float) -> float:
        """The highest safe concurrency; while the machine warms up, for its lowest possible speed."""
        overload, warmth = self.overload, 1.0
        if overload.starts_cold and now < self.started_at + overload.warm_up_timeout:
            warmed_up = (1 - overload.cold_speed_share) * (now - self.started_at) / overload.warm_up_timeout
            warmth = overload.cold_speed_share + warmed_up
        survived = self.cores * (1 + (overload.max_concurrency - 1) * warmth)
        return max(1.0, survived * SAFE_OVERLOAD_SHARE)

    def adapt(self, now: float, busy: float | None, runnable: float, running: int, has_waiting: bool) -> None:
        """Adapt the limit to the gauges, the running requests and whether others wait."""
        span, self.adapted_at = now - self.adapted_at, now
        # The busy gauge is an average and lags; runnable threads show sooner that no core is idle.
        is_idle = busy is not None and busy < IDLE_BUSY_SHARE and runnable < self.cores
        if is_idle and has_waiting and running >= int(self.limit):
            self.limit += GROWTH_PER_CORE_SECOND * self.cores * span
        elif not (is_idle and has_waiting):
            self.limit -= BACKOFF_PER_CORE_SECOND * self.cores * span
        self.limit = min(max(self.limit, self.cores), self.ceiling(now))
