"""Messages between controllers: arrays, the tag first.

The protocol leaves them to us. Versions that run side by side understand one another: a version ignores trailing
fields that it does not know, and uses the default of those that are missing. So fields are added only at the end, and
with a default. `data_version` is the newest data version of the records that the sender can write.
"""

import msgspec


class ViewRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks a controller for its view of leadership and of the state service."""

    sender: str
    data_version: int = 1


class LeaderStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a leader reports of its term."""

    # The age of its last confirmed leadership, in seconds.
    confirmed_age_s: float
    # Cancelled jobs that may still have tasks on machines; None if they are too many to name.
    cancelled_jobs: list[str] | None


class ViewResponse(msgspec.Struct, frozen=True, array_like=True, tag="view"):
    """A controller's view; ages are in seconds, and negative for what never happened.

    `has_read_leader_key` tells that the sender has read the leader key since it was started. Only then does it know
    that it has led under no higher token than `fencing_token`, also in an earlier incarnation.
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
    """Asks who leads, as far as the receiver knows; it answers without a request to the state service."""

    sender: str
    data_version: int = 1


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Answers a `Ping`: who leads as far as the sender knows, and whether it leads itself."""

    sender: str
    leads: bool
    leader: str | None
    fencing_token: int
    leader_status: LeaderStatus | None = None
    data_version: int = 1


class ForwardRequest(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """A user's request, forwarded to the leader."""

    method: str
    path: str
    body: str


class ForwardResponse(msgspec.Struct, frozen=True, array_like=True, tag="forwarded"):
    """The leader's answer to a forwarded request."""

    status: int
    body: str
    retry_after_s: int | None


PeerMessage = ViewRequest | ViewResponse | Ping | Pong | ForwardRequest | ForwardResponse
