"""Arrival rates by job class, estimated from the jobs that arrived lately."""

from typing import NamedTuple

from driftcleat.wire.users import JobSpec

# Jobs that arrive together count as at most this many: what was submitted in one go does not repeat.
MAX_PER_BUCKET = 2
# The least time over which a rate is taken, as a part of the window.
MIN_SPAN = 1 / 4


class Arrival(NamedTuple):
    """One job that arrived."""

    at: float
    tasks: int


class ArrivalRate(NamedTuple):
    """The newest job of a class, the jobs of the class that arrive each second, and their mean number of tasks."""

    spec: JobSpec
    jobs_per_s: float
    mean_tasks: float


class ArrivalRates:
    """A sliding estimate by class, over `window_s`; jobs in the same `bucket_s` arrived together."""

    def __init__(self, window_s: float, bucket_s: float) -> None:
        self.window_s = window_s
        self.bucket_s = bucket_s
        self._arrivals: dict[str, list[Arrival]] = {}
        self._newest_spec: dict[str, JobSpec] = {}
        self._first_at: float | None = None

    def record(self, spec: JobSpec, at: float) -> None:
        """Count a job that arrived."""
        self._arrivals.setdefault(spec.job_class, []).append(Arrival(at, spec.tasks))
        self._newest_spec[spec.job_class] = spec
        if self._first_at is None or at < self._first_at:
            self._first_at = at

    def rates(self, now: float) -> list[ArrivalRate]:
        """Return the rate of each class of which jobs arrived within the window; what is older is forgotten."""
        rates = []
        age_s = now - (self._first_at if self._first_at is not None else now)
        span_s = min(self.window_s, max(self.window_s * MIN_SPAN, age_s))
        for job_class, arrivals in list(self._arrivals.items()):
            arrivals[:] = [arrival for arrival in arrivals if arrival.at > now - self.window_s]
            if not arrivals:
                del self._arrivals[job_class]
                continue
            buckets: dict[int, int] = {}
            for arrival in arrivals:
                bucket = int(arrival.at / self.bucket_s)
                buckets[bucket] = min(MAX_PER_BUCKET, buckets.get(bucket, 0) + 1)
            mean_tasks = sum(arrival.tasks for arrival in arrivals) / len(arrivals)
            rates.append(ArrivalRate(self._newest_spec[job_class], sum(buckets.values()) / span_s, mean_tasks))
        return rates
