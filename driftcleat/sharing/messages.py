"""Messages between controllers about shares: tagged tuples, as those of `wire.peers`, at a path of their own.

A controller without sharing does not know the path and answers 404: it is not ready for sharing.
"""

import msgspec

from driftcleat.sharing.quota import Amount


class TeamDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a share uses and wants of one team's limit."""

    team: str
    used: Amount
    wanted: Amount
    first_job: Amount
    first_job_waited_s: float


class ShardStatus(msgspec.Struct, frozen=True, array_like=True):
    """How a share stands at the controller that leads it."""

    shard: int
    fencing_token: int
    machines: int
    queued_tasks: int
    demands: tuple[TeamDemand, ...] = ()


class ControllerStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """A controller tells the coordinator how its shares stand."""

    sender: str
    shards: tuple[ShardStatus, ...]


class QuotaTarget(msgspec.Struct, frozen=True, array_like=True):
    """What a share's part of a team's limit is to be lowered to, as far as its tasks allow."""

    shard: int
    team: str
    quota: Amount


class StatusResponse(msgspec.Struct, frozen=True, array_like=True, tag="status-answer"):
    """The coordinator's answer; `coordinator` is False from who is none."""

    coordinator: bool
    quota_targets: tuple[QuotaTarget, ...] = ()


class ReleaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="let-go"):
    """The receiver of a move asks the giver to let the share go."""

    shard: int
    target: str
    number: int


class ReleaseResponse(msgspec.Struct, frozen=True, array_like=True, tag="let-go-answer"):
    """The version of the leader key that the giver has let go of; None, and why, if it has not."""

    mod_revision: int | None
    reason: str = ""


class MoveRequest(msgspec.Struct, frozen=True, array_like=True, tag="move"):
    """An operator asks the coordinator for a move."""

    shard: int
    target: str


class MoveResponse(msgspec.Struct, frozen=True, array_like=True, tag="move-answer"):
    """Whether a move was begun, or why not."""

    accepted: bool
    reason: str = ""


SharingMessage = ControllerStatus | StatusResponse | ReleaseRequest | ReleaseResponse | MoveRequest | MoveResponse
