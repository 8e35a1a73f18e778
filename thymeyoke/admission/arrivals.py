"""What the requests that arrive tell of the load, here and at other servers."""

from __future__ import annotations

from collections.abc import Sequence

from thymeyoke.admission.run_times import NEWEST_WEIGHT
from thymeyoke.admission.settings import RequestClass

RETRY_STORM_SHARE = 0.4  # of the requests that arrive: with so many retries, the overload is everyone's
QUEUEING_DELAY_WEIGHT = 2 * NEWEST_WEIGHT  # requests are read in turn: the newest tells most
RETRY_WEIGHT = NEWEST_WEIGHT / 2


class ArrivalStatistics:
    """Moving averages over the requests that arrive."""

    def __init__(self, request_classes: Sequence[RequestClass]) -> None:
        self.queueing_delay = 0.0  # seconds from the socket to the policy
        self.retry_share = 0.0  # of requests that were rejected elsewhere, or would be
        # By class, the usual time from the arrival to the objective.
        self.time_to_objective = [request_class.latency_objective for request_class in request_classes]

    def observe(self, class_index: int, queueing_delay: float, time_to_objective: float) -> None:
        """Take in a request."""
        usual = self.time_to_objective[class_index]
        self.time_to_objective[class_index] += NEWEST_WEIGHT * (time_to_objective - usual)
        self.queueing_delay += QUEUEING_DELAY_WEIGHT * (queueing_delay - self.queueing_delay)

    def observe_retry(self, is_retry: bool) -> None:
        """Take in whether a request is a retry from elsewhere."""
        self.retry_share += RETRY_WEIGHT * (is_retry - self.retry_share)

    @property
    def is_retry_storm(self) -> bool:
        """Whether so many requests are retries that other servers reject as well."""
        return self.retry_share > RETRY_STORM_SHARE
