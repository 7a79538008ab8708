"""Which share to move so that controllers are loaded evenly. Pure.

One move at a time is proposed, and only if it lowers the load of the most loaded controller by a stated part of the
mean: a move costs the share a few seconds without decisions.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from driftcleat.sharing.keys import FIRST_SHARE


@dataclass(frozen=True, slots=True)
class ShareLoad:
    """A share, who owns it, and what it costs its owner."""

    share: int
    owner: str
    load: float


@dataclass(frozen=True, slots=True)
class Proposal:
    """A move that is worth its cost."""

    share: int
    receiver: str


def loads_by_owner(loads: Sequence[ShareLoad], labels: Sequence[str]) -> dict[str, float]:
    """Return the load of each controller."""
    total = dict.fromkeys(labels, 0.0)
    for entry in loads:
        total[entry.owner] += entry.load
    return total


def propose(loads: Sequence[ShareLoad], labels: Sequence[str], imbalance: float) -> Proposal | None:
    """Return the move that evens the load best, or None if none is worth it."""
    total = loads_by_owner(loads, labels)
    if len(total) < 2:
        return None
    giver = max(sorted(total), key=lambda label: total[label])
    receiver = min(sorted(total), key=lambda label: total[label])
    worth = sum(total.values()) / len(total) * imbalance
    best: ShareLoad | None = None
    for entry in sorted(loads, key=lambda entry: entry.share):
        if entry.owner != giver or entry.share == FIRST_SHARE:
            continue
        if best is None or _peak(total, entry, receiver) < _peak(total, best, receiver):
            best = entry
    if best is None or total[giver] - _peak(total, best, receiver) < worth or worth <= 0:
        return None
    return Proposal(best.share, receiver)


def _peak(total: Mapping[str, float], entry: ShareLoad, receiver: str) -> float:
    """Return the load of the most loaded controller after a move."""
    after = dict(total)
    after[entry.owner] -= entry.load
    after[receiver] += entry.load
    return max(after.values())
