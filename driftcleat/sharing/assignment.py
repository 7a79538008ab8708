"""The assignment: which controller owns which share, and which shares are being moved. Pure.

The assignment is one record; only the coordinator changes it, and the receiver of a move, whose transaction completes
it. Every change is a function from one assignment to the next.
"""

from collections.abc import Collection

import msgspec

from driftcleat import wire
from driftcleat.errors import DriftcleatError
from driftcleat.sharing.keys import FIRST_SHARE

# The form of the record that this program writes.
FORMAT = 1


class AssignmentError(DriftcleatError):
    """An assignment, or a change of it, that is not possible; the text says why."""


class Move(msgspec.Struct, frozen=True, array_like=True):
    """A share that is being given from its owner to another controller."""

    share: int
    receiver: str
    # Counts the moves: a request that belongs to an earlier one is told from it.
    number: int


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """Who owns each share. The first has no owner here: it goes with the coordinator."""

    format: int
    owners: tuple[str, ...]
    moves: tuple[Move, ...] = ()
    moves_begun: int = 0
    # Machines are named in the order in which they were rented: those up to this one were there before sharing began,
    # and are the first share's without a record of their own.
    first_share_until: str = ""

    @property
    def shares(self) -> int:
        """Return how many shares there are."""
        return len(self.owners)

    def owner(self, share: int) -> str | None:
        """Return the controller to which a share is assigned; None for the first share and for unknown ones."""
        return self.owners[share] if FIRST_SHARE < share < self.shares else None

    def move_of(self, share: int) -> Move | None:
        """Return the move of a share that is under way."""
        return next((move for move in self.moves if move.share == share), None)

    def owned_by(self, label: str) -> list[int]:
        """Return the shares that are assigned to a controller."""
        return [share for share, owner in enumerate(self.owners) if share != FIRST_SHARE and owner == label]


def initial_assignment(shares: int, labels: Collection[str], newest_machine: str) -> Assignment:
    """Return the first assignment: the shares dealt out in turn, all machines so far the first one's."""
    names = sorted(labels)
    owners = ["", *(names[share % len(names)] for share in range(1, shares))]
    return Assignment(FORMAT, tuple(owners), first_share_until=newest_machine)


def read_assignment(value: bytes, labels: Collection[str]) -> Assignment:
    """Return the assignment of a stored record; `AssignmentError` if it is not one that can be acted on."""
    try:
        found = wire.decode(value, Assignment)
    except wire.WireError as error:
        raise AssignmentError(f"the record is malformed: {error}") from None
    check(found, labels)
    return found


def check(assignment: Assignment, labels: Collection[str]) -> None:
    """Raise `AssignmentError` unless an assignment names known controllers and possible moves only."""
    if assignment.format != FORMAT:
        raise AssignmentError(f"the record has form {assignment.format}, this program knows {FORMAT}")
    if not assignment.owners or assignment.owners[FIRST_SHARE]:
        raise AssignmentError("the first share goes with the coordinator and has no owner of its own")
    for share, owner in enumerate(assignment.owners[1:], 1):
        if owner not in labels:
            raise AssignmentError(f"share {share}: unknown controller {owner}")
    moving = [move.share for move in assignment.moves]
    if len(set(moving)) != len(moving):
        raise AssignmentError("a share is moved twice at once")
    for move in assignment.moves:
        _check_move(assignment, move.share, move.receiver, labels)


def _check_move(assignment: Assignment, share: int, receiver: str, labels: Collection[str]) -> None:
    if not 0 <= share < assignment.shares:
        raise AssignmentError(f"there is no share {share}")
    if share == FIRST_SHARE:
        raise AssignmentError("the first share goes with the coordinator: it cannot be moved by itself")
    if receiver not in labels:
        raise AssignmentError(f"unknown controller {receiver}")
    if assignment.owner(share) == receiver:
        raise AssignmentError(f"{receiver} owns share {share} already")


def begin_move(assignment: Assignment, share: int, receiver: str, labels: Collection[str]) -> Assignment:
    """Return the assignment in which a share is being moved."""
    _check_move(assignment, share, receiver, labels)
    if assignment.move_of(share) is not None:
        raise AssignmentError(f"share {share} is being moved already")
    number = assignment.moves_begun + 1
    moves = (*assignment.moves, Move(share, receiver, number))
    return msgspec.structs.replace(assignment, moves=moves, moves_begun=number)


def complete_move(assignment: Assignment, share: int) -> Assignment:
    """Return the assignment in which a share belongs to the receiver of its move."""
    move = assignment.move_of(share)
    if move is None:
        raise AssignmentError(f"share {share} is not being moved")
    owners = list(assignment.owners)
    owners[share] = move.receiver
    return msgspec.structs.replace(drop_move(assignment, share), owners=tuple(owners))


def drop_move(assignment: Assignment, share: int) -> Assignment:
    """Return the assignment without a move that is given up."""
    moves = tuple(move for move in assignment.moves if move.share != share)
    return msgspec.structs.replace(assignment, moves=moves)


def reassign(assignment: Assignment, share: int, owner: str) -> Assignment:
    """Return the assignment in which a share whose owner is lost belongs to another controller."""
    if assignment.owner(share) is None:
        raise AssignmentError(f"share {share} cannot be reassigned")
    owners = list(assignment.owners)
    owners[share] = owner
    return msgspec.structs.replace(drop_move(assignment, share), owners=tuple(owners))


def grow(assignment: Assignment, shares: int, labels: Collection[str]) -> Assignment:
    """Return the assignment with more shares, which begin empty; there is no way to have fewer."""
    names = sorted(labels)
    more = [names[share % len(names)] for share in range(assignment.shares, shares)]
    return msgspec.structs.replace(assignment, owners=(*assignment.owners, *more))
