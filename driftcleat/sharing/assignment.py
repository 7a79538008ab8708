"""The assignment: which controller owns which share, and which shares are being moved. Pure.

The assignment is one record; only the coordinator changes it, and the receiver of a move, whose transaction completes
it. Every change is a function from one assignment to the next.
"""

from collections.abc import Collection

import msgspec

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.sharing.keys import FIRST_SHARD

# The form of the record that this program writes.
FORMAT_VERSION = 1


class AssignmentError(DriftcleatError):
    """An assignment, or a change of it, that is not possible; the text says why."""


class Move(msgspec.Struct, frozen=True, array_like=True):
    """A share that is being given from its owner to another controller."""

    shard: int
    target: str
    # Counts the moves: a request that belongs to an earlier one is told from it.
    number: int


class ShardAssignment(msgspec.Struct, frozen=True, array_like=True):
    """Who owns each share. The first has no owner here: it goes with the coordinator."""

    format: int
    owners: tuple[str, ...]
    moves: tuple[Move, ...] = ()
    move_count: int = 0
    # Machines are named in the order in which they were rented: those up to this one were there before sharing began,
    # and are the first share's without a record of their own.
    first_shard_last_machine: str = ""

    @property
    def shard_count(self) -> int:
        """Return how many shares there are."""
        return len(self.owners)

    def owner(self, shard: int) -> str | None:
        """Return the controller to which a share is assigned; None for the first share and for unknown ones."""
        return self.owners[shard] if FIRST_SHARD < shard < self.shard_count else None

    def move_of(self, shard: int) -> Move | None:
        """Return the move of a share that is under way."""
        return next((move for move in self.moves if move.shard == shard), None)

    def shards_owned_by(self, label: str) -> list[int]:
        """Return the shares that are assigned to a controller."""
        return [shard for shard, owner in enumerate(self.owners) if shard != FIRST_SHARD and owner == label]


def initial_assignment(shard_count: int, labels: Collection[str], newest_machine: str) -> ShardAssignment:
    """Return the first assignment: the shares dealt out in turn, all machines so far the first one's."""
    names = sorted(labels)
    owners = ["", *(names[shard % len(names)] for shard in range(1, shard_count))]
    return ShardAssignment(FORMAT_VERSION, tuple(owners), first_shard_last_machine=newest_machine)


def decode_assignment(value: bytes, labels: Collection[str]) -> ShardAssignment:
    """Return the assignment of a stored record; `AssignmentError` if it is not one that can be acted on."""
    try:
        assignment = wire.decode(value, ShardAssignment)
    except wire.WireError as error:
        raise AssignmentError(f"the record is malformed: {error}") from None
    validate(assignment, labels)
    return assignment


def validate(assignment: ShardAssignment, labels: Collection[str]) -> None:
    """Raise `AssignmentError` unless an assignment names known controllers and possible moves only."""
    if assignment.format != FORMAT_VERSION:
        raise AssignmentError(f"the record has form {assignment.format}, this program knows {FORMAT_VERSION}")
    if not assignment.owners or assignment.owners[FIRST_SHARD]:
        raise AssignmentError("the first share goes with the coordinator and has no owner of its own")
    for shard, owner in enumerate(assignment.owners[1:], 1):
        if owner not in labels:
            raise AssignmentError(f"share {shard}: unknown controller {owner}")
    moving_shards = [move.shard for move in assignment.moves]
    if len(set(moving_shards)) != len(moving_shards):
        raise AssignmentError("a share is moved twice at once")
    for move in assignment.moves:
        _check_move(assignment, move.shard, move.target, labels)


def _check_move(assignment: ShardAssignment, shard: int, target: str, labels: Collection[str]) -> None:
    if not 0 <= shard < assignment.shard_count:
        raise AssignmentError(f"there is no share {shard}")
    if shard == FIRST_SHARD:
        raise AssignmentError("the first share goes with the coordinator: it cannot be moved by itself")
    if target not in labels:
        raise AssignmentError(f"unknown controller {target}")
    if assignment.owner(shard) == target:
        raise AssignmentError(f"{target} owns share {shard} already")


def begin_move(assignment: ShardAssignment, shard: int, target: str, labels: Collection[str]) -> ShardAssignment:
    """Return the assignment in which a share is being moved."""
    _check_move(assignment, shard, target, labels)
    if assignment.move_of(shard) is not None:
        raise AssignmentError(f"share {shard} is being moved already")
    number = assignment.move_count + 1
    moves = (*assignment.moves, Move(shard, target, number))
    return msgspec.structs.replace(assignment, moves=moves, move_count=number)


def complete_move(assignment: ShardAssignment, shard: int) -> ShardAssignment:
    """Return the assignment in which a share belongs to the receiver of its move."""
    move = assignment.move_of(shard)
    if move is None:
        raise AssignmentError(f"share {shard} is not being moved")
    owners = list(assignment.owners)
    owners[shard] = move.target
    return msgspec.structs.replace(drop_move(assignment, shard), owners=tuple(owners))


def drop_move(assignment: ShardAssignment, shard: int) -> ShardAssignment:
    """Return the assignment without a move that is given up."""
    moves = tuple(move for move in assignment.moves if move.shard != shard)
    return msgspec.structs.replace(assignment, moves=moves)


def reassign(assignment: ShardAssignment, shard: int, owner: str) -> ShardAssignment:
    """Return the assignment in which a share whose owner is lost belongs to another controller."""
    if assignment.owner(shard) is None:
        raise AssignmentError(f"share {shard} cannot be reassigned")
    owners = list(assignment.owners)
    owners[shard] = owner
    return msgspec.structs.replace(drop_move(assignment, shard), owners=tuple(owners))


def add_shards(assignment: ShardAssignment, shard_count: int, labels: Collection[str]) -> ShardAssignment:
    """Return the assignment with more shares, which begin empty; there is no way to have fewer."""
    names = sorted(labels)
    new_owners = [names[shard % len(names)] for shard in range(assignment.shard_count, shard_count)]
    return msgspec.structs.replace(assignment, owners=(*assignment.owners, *new_owners))
