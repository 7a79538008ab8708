"""Messages between controllers: JSON arrays whose first element is the tag.

These messages are internal to driftcleat. Versions that run side by side understand one another, since a version
ignores trailing fields that it does not know, and uses the defaults of those that are missing. So fields are added
only at the end and with a default. `data_version` is the newest data version of records that the sender can write.
"""

import msgspec


class ViewRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Requests a controller's view of the leader and of the state service."""

    sender: str
    data_version: int = 1


class LeaderStatus(msgspec.Struct, frozen=True, array_like=True):
    """A leader's status in its current term."""

    # Seconds since its leadership was last confirmed.
    confirmed_age_s: float
    # Cancelled jobs that may still have tasks on machines; None if there are too many to list.
    cancelled_jobs: list[str] | None


class ViewResponse(msgspec.Struct, frozen=True, array_like=True, tag="view"):
    """A controller's view; ages are in seconds, and negative if the event has not happened.

    `has_read_leader_key` says whether the sender has read the leader key since it was started. Only then is it sure
    that the sender, in any incarnation, has not led under a higher token than `fencing_token`.
    """

    sender: str
    role: str
    leader: str | None
    fencing_token: int
    store_success_age_s: float
    store_failure_age_s: float
    has_read_leader_key: bool = False
    leader_status: LeaderStatus | None = None
    data_version: int = 1


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Queries who leads; the receiver responds from memory, without a request to the state service."""

    sender: str
    data_version: int = 1


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """The response to a `Ping`: the leader that the sender knows, and whether the sender leads."""

    sender: str
    leads: bool
    leader: str | None
    fencing_token: int
    leader_status: LeaderStatus | None = None
    data_version: int = 1


class ForwardRequest(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """A user's request that a follower forwards to the leader."""

    method: str
    path: str
    body: str


class ForwardResponse(msgspec.Struct, frozen=True, array_like=True, tag="forwarded"):
    """The leader's response to a forwarded request."""

    status: int
    body: str
    retry_after_s: int | None


PeerMessage = ViewRequest | ViewResponse | Ping | Pong | ForwardRequest | ForwardResponse
