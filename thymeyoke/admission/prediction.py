"""Predictions of how long a request waits, and whether it meets its objective."""

from __future__ import annotations

from collections.abc import Iterable

from thymeyoke.admission.arrivals import ArrivalStatistics
from thymeyoke.admission.concurrency import ConcurrencyLimit
from thymeyoke.admission.dependency import DependencyLimiter
from thymeyoke.admission.fair_queue import FairQueue, QueueKey
from thymeyoke.admission.reconciler import RunningRequests
from thymeyoke.admission.request import PendingRequest
from thymeyoke.admission.run_times import RunTimeEstimator
from thymeyoke.admission.settings import RequestClass


class WaitPredictor:
    """Predicts waits from the queue, the concurrency limit, what runs and the dependency."""

    def __init__(
        self, queue: FairQueue[PendingRequest], concurrency: ConcurrencyLimit, running: RunningRequests,
        dependency: DependencyLimiter, arrivals: ArrivalStatistics,
    ) -> None:  # fmt: skip
        self.queue, self.concurrency, self.running = queue, concurrency, running
        self.dependency, self.arrivals = dependency, arrivals
        self.max_waits: dict[float, float] = {}  # by priority weight, what its least patient class can wait

    def wait(self, now: float, requests: Iterable[PendingRequest], key: QueueKey | None = None) -> float:
        """Seconds that a new request waits for a slot.

        The work ahead over all slots, or that of its own line over its quota, whichever is less. What runs
        counts half of its expected time or of its age: cores on which nothing ends have to look full.
        `requests`: those that run, by any order that is always the same.
        """
        limit = self.concurrency.limit
        if self.running.total + 1 <= limit and not self.queue:
            return 0.0
        if key is None:
            ahead = own_line = self.queue.work_ahead()
        else:
            ahead = self.queue.work_ahead(key.priority_weight)
            own_work = self.queue.work_ahead(key.priority_weight, key.owner)
            own_line = own_work * limit / self.concurrency.quota
        run_times = [max(request.expected_run_time, now - request.state_since) for request in requests]
        return (min(ahead, own_line) + sum(run_times) / 2) / limit

    def misses_objective(self, now: float, request: PendingRequest, wait: float) -> bool:
        """Whether a new request would miss its objective; without history none does.

        What has to wait needs a margin for the error in its run time: rejected now it may be in time
        elsewhere, and a late one with an idempotency key fails its retries.
        """
        if not request.expected_run_time > 0:
            return False
        if wait > self.max_waits.get(request.priority_weight, wait):
            return True  # else the classes with the longest objectives fill the queue
        margin = min(wait, request.estimate.error)
        run_time = request.expected_run_time
        return now + wait + margin + run_time + self._off_core_time(request) > request.objective_at

    def is_stale(self, now: float, request: PendingRequest) -> bool:
        """Whether a queued request has missed its objective, or is likely to."""
        return now + request.expected_run_time + self._off_core_time(request) > request.objective_at

    def _off_core_time(self, request: PendingRequest) -> float:
        """Expected time in dependency calls: the usual one, or while they are slow that of their queue.

        Not without history: what is new would be rejected. A request that can be answered without its call
        loses nothing by waiting for it.
        """
        estimate, request_class = request.estimate, request.request_class
        if not (estimate.on_core and request_class.calls_dependency and self.dependency.is_slow):
            return estimate.off_core
        wait = max(1.0, estimate.calls) * self.dependency.predicted_wait(len(self.dependency.waiting))
        return 0.0 if request_class.degraded_value_share else max(estimate.off_core, wait)

    def update_max_waits(self, classes: Iterable[RequestClass], run_times: RunTimeEstimator) -> None:
        """Work out anew, by priority weight, the wait that its least patient class can stand."""
        self.max_waits = {}
        usual_times = self.arrivals.time_to_objective
        for request_class, mean, usual in zip(classes, run_times.means, usual_times, strict=True):
            if mean is None:
                continue
            wait = usual - sum((mean.on_core, mean.off_core, mean.error))
            if wait > 0:  # what this machine can do at all
                weight = request_class.priority_weight
                self.max_waits[weight] = min(wait, self.max_waits.get(weight, wait))
