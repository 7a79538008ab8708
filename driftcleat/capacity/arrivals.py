"""How many tasks of each class arrive, estimated from those that did."""

from driftcleat.wire.users import JobSpec

# Jobs that arrive together count as at most this many: what was handed in at one go does not repeat.
TOGETHER = 2


class ArrivalRates:
    """A sliding estimate by class, over `window_s`; jobs in the same `bucket_s` arrived together."""

    def __init__(self, window_s: float, bucket_s: float) -> None:
        self.window_s, self.bucket_s = window_s, bucket_s
        self._seen: dict[str, list[tuple[float, int]]] = {}
        self._spec: dict[str, JobSpec] = {}
        self._since: float | None = None

    def record(self, spec: JobSpec, at: float) -> None:
        """Count a job that arrived."""
        self._seen.setdefault(spec.job_class, []).append((at, spec.tasks))
        self._spec[spec.job_class] = spec
        if self._since is None or at < self._since:
            self._since = at

    def rates(self, now: float) -> list[tuple[JobSpec, float, float]]:
        """Return the newest job of each class with its jobs a second and their mean number of tasks."""
        out = []
        age = now - (self._since if self._since is not None else now)
        span = min(self.window_s, max(self.window_s / 4, age))
        for name, seen in list(self._seen.items()):
            seen[:] = [(at, tasks) for at, tasks in seen if at > now - self.window_s]
            if not seen:
                del self._seen[name]
                continue
            buckets: dict[int, int] = {}
            for at, _ in seen:
                bucket = int(at / self.bucket_s)
                buckets[bucket] = min(TOGETHER, buckets.get(bucket, 0) + 1)
            mean = sum(tasks for _, tasks in seen) / len(seen)
            out.append((self._spec[name], sum(buckets.values()) / span, mean))
        return out
