"""How many tasks of each class arrive, estimated from those that did."""

from driftcleat.wire.users import Submission

# Arrivals count less with age: a fifth of the weight is gone after this many seconds.
WINDOW_S = 120.0
MIN_SPAN_S = 30.0


class Arrivals:
    """A sliding estimate by class."""

    def __init__(self) -> None:
        self._seen: dict[str, list[tuple[float, int]]] = {}
        self._spec: dict[str, Submission] = {}
        self._since: float | None = None

    def note(self, spec: Submission, at: float) -> None:
        """Count a job that arrived."""
        self._seen.setdefault(spec.job_class, []).append((at, spec.tasks))
        self._spec[spec.job_class] = spec
        if self._since is None or at < self._since:
            self._since = at

    def rates(self, now: float) -> list[tuple[Submission, float]]:
        """Return the newest job of each class with its tasks a second."""
        out = []
        span = min(WINDOW_S, max(MIN_SPAN_S, now - (self._since if self._since is not None else now)))
        for name, seen in list(self._seen.items()):
            seen[:] = [(at, tasks) for at, tasks in seen if at > now - WINDOW_S]
            if not seen:
                del self._seen[name]
                continue
            out.append((self._spec[name], sum(tasks for at, tasks in seen if at > now - span) / span))
        return out
