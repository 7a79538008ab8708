"""A user's request in progress."""

from dataclasses import dataclass

from driftcleat.api.deadline import Deadline

CANCEL_SUFFIX = "/cancel"


@dataclass(frozen=True, slots=True)
class UserRequest:
    """A request under /v1."""

    method: str
    path: str
    body: bytes
    # The job that the path names; empty for a submission.
    job_id: str
    # Whether another controller forwarded the request: if so, it is not forwarded again.
    forwarded: bool
    deadline: Deadline


def is_cancellation(path: str) -> bool:
    """Return whether the path is that of a cancellation."""
    return path.endswith(CANCEL_SUFFIX)
