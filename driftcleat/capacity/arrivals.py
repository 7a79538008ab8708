"""Arrival rates by job class, estimated from recent arrivals."""

from typing import NamedTuple

from driftcleat.wire.users import JobSpec

# Jobs of a class that arrive together count as at most this many: a bulk submission is not expected to recur.
MAX_JOBS_PER_BUCKET = 2
# The shortest time over which a rate is computed, as a fraction of the window.
MIN_SPAN_FRACTION = 1 / 4


class Arrival(NamedTuple):
    """The arrival of a job, in seconds, and its number of tasks."""

    at: float
    tasks: int


class ArrivalRate(NamedTuple):
    """The newest job of a class, the arrivals of the class per second, and their mean number of tasks."""

    spec: JobSpec
    jobs_per_s: float
    mean_tasks: float


class ArrivalRates:
    """Arrival rates by class over a sliding window; jobs in one bucket of `bucket_s` seconds arrived together."""

    def __init__(self, window_s: float, bucket_s: float) -> None:
        self.window_s = window_s
        self.bucket_s = bucket_s
        self._arrivals: dict[str, list[Arrival]] = {}
        self._newest_spec: dict[str, JobSpec] = {}
        self._first_at: float | None = None

    def record(self, spec: JobSpec, at: float) -> None:
        """Record the arrival of a job at `at`, in seconds of the clock that `rates` is called with."""
        self._arrivals.setdefault(spec.job_class, []).append(Arrival(at, spec.tasks))
        self._newest_spec[spec.job_class] = spec
        if self._first_at is None or at < self._first_at:
            self._first_at = at

    def rates(self, now: float) -> list[ArrivalRate]:
        """Return the rate of each class with arrivals within the window, and drop older arrivals."""
        rates = []
        age_s = now - (self._first_at if self._first_at is not None else now)
        span_s = min(self.window_s, max(self.window_s * MIN_SPAN_FRACTION, age_s))
        for job_class, arrivals in list(self._arrivals.items()):
            arrivals[:] = [arrival for arrival in arrivals if arrival.at > now - self.window_s]
            if not arrivals:
                del self._arrivals[job_class]
                continue
            buckets: dict[int, int] = {}
            for arrival in arrivals:
                bucket = int(arrival.at / self.bucket_s)
                buckets[bucket] = min(MAX_JOBS_PER_BUCKET, buckets.get(bucket, 0) + 1)
            mean_tasks = sum(arrival.tasks for arrival in arrivals) / len(arrivals)
            rates.append(ArrivalRate(self._newest_spec[job_class], sum(buckets.values()) / span_s, mean_tasks))
        return rates
