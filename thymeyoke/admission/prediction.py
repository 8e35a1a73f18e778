"""Predictions of how long a request waits, and whether it meets its latency objective."""

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
    """Predicts waits from the queue, the concurrency limit, the running requests and the dependency."""

    def __init__(
        self, queue: FairQueue[PendingRequest], concurrency: ConcurrencyLimit, running: RunningRequests,
        dependency: DependencyLimiter, arrivals: ArrivalStatistics,
    ) -> None:  # fmt: skip
        self.queue, self.concurrency, self.running = queue, concurrency, running
        self.dependency, self.arrivals = dependency, arrivals
        # By priority weight: the longest wait that the shortest objective allows.
        self.max_waits: dict[float, float] = {}

    def wait(self, now: float, requests: Iterable[PendingRequest], key: QueueKey | None = None) -> float:
        """Seconds that a new request waits until it can run.

        The smaller of the total work ahead divided by the limit and its owner's work ahead divided by the
        quota. A running request counts half of the longer of its expected time and its time so far, so that
        cores with runs that do not end count as busy. `requests`: the running ones, in a stable order.
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
        """Whether a new request would miss its objective; False without history.

        A request that has to wait needs a margin for the error of its run time estimate: if it is rejected
        now, another server may still answer it in time, and if it ends late, retries of its key fail too.
        """
        if not request.expected_run_time > 0:
            return False
        if wait > self.max_waits.get(request.priority_weight, wait):
            return True  # otherwise the classes with the longest objectives would fill the queue
        margin = min(wait, request.estimate.error)
        run_time = request.expected_run_time
        return now + wait + margin + run_time + self._off_core_time(request) > request.objective_at

    def is_stale(self, now: float, request: PendingRequest) -> bool:
        """Whether a queued request has missed its objective, or is likely to."""
        return now + request.expected_run_time + self._off_core_time(request) > request.objective_at

    def _off_core_time(self, request: PendingRequest) -> float:
        """Expected seconds in dependency calls: the usual time or, while calls are slow, the predicted one.

        Without history the predicted time is not used, as it would reject all requests of a new class. A
        request that can be answered without its call counts no time for it while calls are slow.
        """
        estimate, request_class = request.estimate, request.request_class
        if not (estimate.on_core and request_class.calls_dependency and self.dependency.is_slow):
            return estimate.off_core
        wait = max(1.0, estimate.calls) * self.dependency.predicted_wait(len(self.dependency.waiting))
        return 0.0 if request_class.degraded_value_share else max(estimate.off_core, wait)

    def update_max_waits(self, classes: Iterable[RequestClass], run_times: RunTimeEstimator) -> None:
        """Recompute the longest wait that meets the objectives of all classes of each priority weight."""
        self.max_waits = {}
        usual_times = self.arrivals.time_to_objective
        for request_class, mean, usual in zip(classes, run_times.means, usual_times, strict=True):
            if mean is None:
                continue
            wait = usual - sum((mean.on_core, mean.off_core, mean.error))
            if wait > 0:  # leaves out classes that this machine cannot serve in time even without a queue
                weight = request_class.priority_weight
                self.max_waits[weight] = min(wait, self.max_waits.get(weight, wait))
