"""Messages of sharing between controllers: tagged arrays, as in `wire.peers`, at a path of their own.

A controller that runs without sharing responds with 404 at this path, so it never counts as ready for sharing.
"""

import msgspec

from driftcleat.sharing.quota import Amount


class TeamDemand(msgspec.Struct, frozen=True, array_like=True):
    """A team's demand in one shard, in the terms of `Demand`."""

    team: str
    used: Amount
    wanted: Amount
    first_job: Amount
    first_job_waited_s: float


class ShardStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of one shard, from the controller that leads it."""

    shard: int
    fencing_token: int
    machines: int
    queued_tasks: int
    demands: tuple[TeamDemand, ...] = ()


class ControllerStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """The status of the shards that a controller leads, sent to the coordinator."""

    sender: str
    shards: tuple[ShardStatus, ...]


class QuotaTarget(msgspec.Struct, frozen=True, array_like=True):
    """A quota that a shard has to lower, as far as its running tasks allow."""

    shard: int
    team: str
    quota: Amount


class StatusResponse(msgspec.Struct, frozen=True, array_like=True, tag="status-answer"):
    """The response to a status; `coordinator` is False if the responder is not the coordinator."""

    coordinator: bool
    quota_targets: tuple[QuotaTarget, ...] = ()


class ReleaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="let-go"):
    """Sent by the target of a move to the source: release the shard."""

    shard: int
    target: str
    number: int


class ReleaseResponse(msgspec.Struct, frozen=True, array_like=True, tag="let-go-answer"):
    """The mod revision of the leader key that the source has released; None with a reason if it has not."""

    mod_revision: int | None
    reason: str = ""


class MoveRequest(msgspec.Struct, frozen=True, array_like=True, tag="move"):
    """An operator's request for a move, sent to the coordinator."""

    shard: int
    target: str


class MoveResponse(msgspec.Struct, frozen=True, array_like=True, tag="move-answer"):
    """Whether the coordinator accepted a requested move; if not, the reason."""

    accepted: bool
    reason: str = ""


SharingMessage = ControllerStatus | StatusResponse | ReleaseRequest | ReleaseResponse | MoveRequest | MoveResponse
