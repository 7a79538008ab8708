"""Users' requests that wait for a commit, in the order of their arrival."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from driftcleat.wire.users import JobSpec, JobStatus


def _ignore_refusal(reason: str) -> None:
    """Ignore that a submission was refused."""


@dataclass(slots=True)
class PendingRequest:
    """A submission (with `spec`) or a cancellation (with `job_id`) that is not committed yet.

    `respond` is called once with the job's committed status, or None for a job that this term does not know.
    """

    respond: Callable[[JobStatus | None], None]
    spec: JobSpec | None = None
    job_id: str = ""
    # Final states of the dependencies that had ended before the submission, by job id.
    ended_dependencies: dict[str, str] = field(default_factory=dict)
    # Called in place of `respond` with the reason if the submission can never be stored.
    refuse: Callable[[str], None] = _ignore_refusal
    # When nobody waited for the response any more, by the monotonic clock in seconds; None while somebody waits.
    abandoned_at: float | None = None

    @property
    def id(self) -> str:
        """The job that the request is about."""
        return self.spec.id if self.spec is not None else self.job_id


class PendingRequests:
    """A queue of requests; the retry of an abandoned request takes its place."""

    def __init__(self) -> None:
        self._requests: deque[PendingRequest] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[PendingRequest]:
        return iter(self._requests)

    @property
    def first(self) -> PendingRequest:
        """Return the oldest request."""
        return self._requests[0]

    def add(self, request: PendingRequest) -> None:
        """Add a request at the end, or in place of an abandoned one for the same job."""
        position = self._abandoned_position(request.id)
        if position is None:
            self._requests.append(request)
        else:
            self._requests[position] = request

    def has_abandoned(self, job_id: str) -> bool:
        """Return whether a request for this job waits whose user no longer does."""
        return self._abandoned_position(job_id) is not None

    def _abandoned_position(self, job_id: str) -> int | None:
        for position, request in enumerate(self._requests):
            if request.abandoned_at is not None and request.id == job_id:
                return position
        return None

    def take_first(self) -> PendingRequest:
        """Remove the oldest request and return it."""
        return self._requests.popleft()

    def put_back(self, request: PendingRequest) -> None:
        """Put a request back as the oldest one."""
        self._requests.appendleft(request)

    def remove(self, job_id: str) -> list[PendingRequest]:
        """Remove the requests for a job and return them."""
        removed = [request for request in self._requests if request.id == job_id]
        for request in removed:
            self._requests.remove(request)
        return removed

    def drop_abandoned_before(self, time: float) -> int:
        """Remove the requests that were abandoned before `time`; return their number."""
        kept = [request for request in self._requests if request.abandoned_at is None or request.abandoned_at >= time]
        dropped = len(self._requests) - len(kept)
        if dropped:
            self._requests = deque(kept)
        return dropped
