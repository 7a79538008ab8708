"""The shard assignment: which controller owns which shard, and which shards are being moved. Pure functions.

The assignment is one record. The coordinator changes it; the target of a move changes it too, in the transaction that
completes the move. Every change is a function from one assignment to the next.
"""

from collections.abc import Collection

import msgspec

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.sharing.keys import FIRST_SHARD

# Version of the record's format.
FORMAT_VERSION = 1


class AssignmentError(DriftcleatError):
    """Raised for an invalid assignment or an impossible change; the text gives the reason."""


class Move(msgspec.Struct, frozen=True, array_like=True):
    """A hand-off in progress: a shard moves from its owner to the target controller."""

    shard: int
    target: str
    # Sequence number of the move: distinguishes a late request of an earlier move from one of this move.
    number: int


class ShardAssignment(msgspec.Struct, frozen=True, array_like=True):
    """The owner of each shard. The first shard has no owner here: whoever leads it is the coordinator."""

    format: int
    owners: tuple[str, ...]
    moves: tuple[Move, ...] = ()
    move_count: int = 0
    # Machine names ascend in the order of creation. Machines up to this name were created before sharing started:
    # they belong to the first shard without a record of their own.
    first_shard_last_machine: str = ""

    @property
    def shard_count(self) -> int:
        """Return the number of shards."""
        return len(self.owners)

    def owner(self, shard: int) -> str | None:
        """Return the controller that a shard is assigned to; None for the first shard and for unknown shards."""
        return self.owners[shard] if FIRST_SHARD < shard < self.shard_count else None

    def move_of(self, shard: int) -> Move | None:
        """Return the move in progress of a shard, or None."""
        return next((move for move in self.moves if move.shard == shard), None)

    def shards_owned_by(self, label: str) -> list[int]:
        """Return the shards that are assigned to a controller."""
        return [shard for shard, owner in enumerate(self.owners) if shard != FIRST_SHARD and owner == label]


def initial_assignment(shard_count: int, labels: Collection[str], newest_machine: str) -> ShardAssignment:
    """Return the first assignment: shards assigned round-robin, all present machines in the first shard."""
    names = sorted(labels)
    owners = ["", *(names[shard % len(names)] for shard in range(1, shard_count))]
    return ShardAssignment(FORMAT_VERSION, tuple(owners), first_shard_last_machine=newest_machine)


def decode_assignment(value: bytes, labels: Collection[str]) -> ShardAssignment:
    """Return the assignment of a stored record; `AssignmentError` if the record is malformed or invalid."""
    try:
        assignment = wire.decode(value, ShardAssignment)
    except wire.WireError as error:
        raise AssignmentError(f"the record is malformed: {error}") from None
    validate(assignment, labels)
    return assignment


def validate(assignment: ShardAssignment, labels: Collection[str]) -> None:
    """Raise `AssignmentError` if an assignment names an unknown controller or an impossible move."""
    if assignment.format != FORMAT_VERSION:
        raise AssignmentError(f"the record has format {assignment.format}, this version reads {FORMAT_VERSION}")
    if not assignment.owners or assignment.owners[FIRST_SHARD]:
        raise AssignmentError("the first share is led by the coordinator and must not have an owner")
    for shard, owner in enumerate(assignment.owners[1:], 1):
        if owner not in labels:
            raise AssignmentError(f"share {shard}: unknown controller {owner}")
    moving_shards = [move.shard for move in assignment.moves]
    if len(set(moving_shards)) != len(moving_shards):
        raise AssignmentError("a share has more than one move")
    for move in assignment.moves:
        _check_move(assignment, move.shard, move.target, labels)


def _check_move(assignment: ShardAssignment, shard: int, target: str, labels: Collection[str]) -> None:
    if not 0 <= shard < assignment.shard_count:
        raise AssignmentError(f"there is no share {shard}")
    if shard == FIRST_SHARD:
        raise AssignmentError("the first share is led by the coordinator: it cannot be moved")
    if target not in labels:
        raise AssignmentError(f"unknown controller {target}")
    if assignment.owner(shard) == target:
        raise AssignmentError(f"{target} owns share {shard} already")


def begin_move(assignment: ShardAssignment, shard: int, target: str, labels: Collection[str]) -> ShardAssignment:
    """Return the assignment with a new move; `AssignmentError` if the move is impossible."""
    _check_move(assignment, shard, target, labels)
    if assignment.move_of(shard) is not None:
        raise AssignmentError(f"share {shard} is being moved already")
    number = assignment.move_count + 1
    moves = (*assignment.moves, Move(shard, target, number))
    return msgspec.structs.replace(assignment, moves=moves, move_count=number)


def complete_move(assignment: ShardAssignment, shard: int) -> ShardAssignment:
    """Return the assignment in which a shard belongs to the target of its move, and the move has ended."""
    move = assignment.move_of(shard)
    if move is None:
        raise AssignmentError(f"share {shard} is not being moved")
    owners = list(assignment.owners)
    owners[shard] = move.target
    return msgspec.structs.replace(drop_move(assignment, shard), owners=tuple(owners))


def drop_move(assignment: ShardAssignment, shard: int) -> ShardAssignment:
    """Return the assignment with the move of a shard cancelled."""
    moves = tuple(move for move in assignment.moves if move.shard != shard)
    return msgspec.structs.replace(assignment, moves=moves)


def reassign(assignment: ShardAssignment, shard: int, owner: str) -> ShardAssignment:
    """Return the assignment in which a shard whose owner is presumed lost belongs to another controller."""
    if assignment.owner(shard) is None:
        raise AssignmentError(f"share {shard} cannot be reassigned")
    owners = list(assignment.owners)
    owners[shard] = owner
    return msgspec.structs.replace(drop_move(assignment, shard), owners=tuple(owners))


def add_shards(assignment: ShardAssignment, shard_count: int, labels: Collection[str]) -> ShardAssignment:
    """Return the assignment with new, empty shards up to `shard_count`; shards cannot be removed."""
    names = sorted(labels)
    new_owners = [names[shard % len(names)] for shard in range(assignment.shard_count, shard_count)]
    return msgspec.structs.replace(assignment, owners=(*assignment.owners, *new_owners))
