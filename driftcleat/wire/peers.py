"""Messages between controllers: tagged tuples (array-like structs, the tag first).

A version that does not know a trailing field ignores it, one that misses it takes its default: so versions that run
side by side understand one another. `data_version` is the newest version of the records that the speaker can write.
"""

import msgspec


class ViewRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks a controller how it sees the world."""

    sender: str
    data_version: int = 1


class LeaderStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a leader tells of its term: how long ago it was certain that nobody led after it, and the cancelled jobs
    of which tasks may still be on machines (None if they are too many to name)."""

    confirmed_age_s: float
    cancelled_jobs: list[str] | None


class ViewResponse(msgspec.Struct, frozen=True, array_like=True, tag="view"):
    """How a controller sees the world; ages in seconds, negative when it never happened.

    `confirms` says that the speaker has read a leader key since it was started: only then does it know that it has
    led under no higher token than `token`, in an earlier life either.
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
    """Asks who leads, as far as the other knows; costs no call to the store."""

    sender: str
    data_version: int = 1


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Who leads, as far as the sender knows, and whether it is itself the one."""

    sender: str
    leads: bool
    leader: str | None
    fencing_token: int
    leader_status: LeaderStatus | None = None
    data_version: int = 1


class ForwardRequest(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """A user's request, passed on to the leader."""

    method: str
    path: str
    body: str


class ForwardResponse(msgspec.Struct, frozen=True, array_like=True, tag="forwarded"):
    """The leader's answer to a user's request."""

    status: int
    body: str
    retry_after_s: int | None


PeerMessage = ViewRequest | ViewResponse | Ping | Pong | ForwardRequest | ForwardResponse
