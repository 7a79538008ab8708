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


class ShareStatus(msgspec.Struct, frozen=True, array_like=True):
    """How a share stands at the controller that leads it."""

    share: int
    token: int
    machines: int
    queued_tasks: int
    demands: tuple[TeamDemand, ...] = ()


class Status(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """A controller tells the coordinator how its shares stand."""

    sender: str
    shares: tuple[ShareStatus, ...]


class Target(msgspec.Struct, frozen=True, array_like=True):
    """What a share's part of a team's limit is to be lowered to, as far as its tasks allow."""

    share: int
    team: str
    part: Amount


class StatusAnswer(msgspec.Struct, frozen=True, array_like=True, tag="status-answer"):
    """The coordinator's answer; `coordinator` is False from who is none."""

    coordinator: bool
    targets: tuple[Target, ...] = ()


class LetGo(msgspec.Struct, frozen=True, array_like=True, tag="let-go"):
    """The receiver of a move asks the giver to let the share go."""

    share: int
    receiver: str
    number: int


class LetGoAnswer(msgspec.Struct, frozen=True, array_like=True, tag="let-go-answer"):
    """The version of the leader key that the giver has let go of; None, and why, if it has not."""

    version: int | None
    why: str = ""


class MoveRequest(msgspec.Struct, frozen=True, array_like=True, tag="move"):
    """An operator asks the coordinator for a move."""

    share: int
    receiver: str


class MoveAnswer(msgspec.Struct, frozen=True, array_like=True, tag="move-answer"):
    """Whether a move was begun, or why not."""

    begun: bool
    why: str = ""


SharingMessage = Status | StatusAnswer | LetGo | LetGoAnswer | MoveRequest | MoveAnswer
