"""Messages between controllers: tagged tuples (array-like structs, the tag first).

A version that does not know a trailing field ignores it, one that misses it takes its default: so versions that run
side by side understand one another. `data_version` is the newest version of the records that the speaker can write.
"""

import msgspec


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks a controller how it sees the world."""

    sender: str
    data_version: int = 1


class LeaderStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a leader tells of its term: how long ago it was certain that nobody led after it, and the cancelled jobs
    of which tasks may still be on machines (None if they are too many to name)."""

    certain_age_s: float
    cancelled: list[str] | None


class View(msgspec.Struct, frozen=True, array_like=True, tag="view"):
    """How a controller sees the world; ages in seconds, negative when it never happened.

    `confirms` says that the speaker has read a leader key since it was started: only then does it know that it has
    led under no higher token than `token`, in an earlier life either.
    """

    sender: str
    role: str
    leader: str | None
    token: int
    served_age_s: float
    refused_age_s: float
    confirms: bool = False
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
    token: int
    leader_status: LeaderStatus | None = None
    data_version: int = 1


class Forward(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """A user's request, passed on to the leader."""

    method: str
    path: str
    body: str


class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag="forwarded"):
    """The leader's answer to a user's request."""

    status: int
    body: str
    retry_after_s: int | None


PeerMessage = Ask | View | Ping | Pong | Forward | Forwarded
