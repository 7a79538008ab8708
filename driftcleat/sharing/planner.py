"""Load balancing: which shard to move so that controllers are loaded evenly. Pure functions.

One move is proposed at a time, and only if it lowers the load of the most loaded controller by a given fraction of
the mean load: a move costs the shard a few seconds without decisions.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from driftcleat.sharing.keys import FIRST_SHARD


@dataclass(frozen=True, slots=True)
class ShardLoad:
    """A shard, its owner, and the load that the shard puts on its owner."""

    shard: int
    owner: str
    load: float


@dataclass(frozen=True, slots=True)
class MoveProposal:
    """A move whose gain is worth its cost."""

    shard: int
    target: str


def loads_by_owner(loads: Sequence[ShardLoad], labels: Sequence[str]) -> dict[str, float]:
    """Return the total load of each controller."""
    total = dict.fromkeys(labels, 0.0)
    for entry in loads:
        total[entry.owner] += entry.load
    return total


def propose_move(loads: Sequence[ShardLoad], labels: Sequence[str], imbalance: float) -> MoveProposal | None:
    """Return the move that lowers the highest load most, or None if no move gains enough."""
    total = loads_by_owner(loads, labels)
    if len(total) < 2:
        return None
    source = max(sorted(total), key=lambda label: total[label])
    target = min(sorted(total), key=lambda label: total[label])
    min_gain = sum(total.values()) / len(total) * imbalance
    best: ShardLoad | None = None
    for entry in sorted(loads, key=lambda entry: entry.shard):
        if entry.owner != source or entry.shard == FIRST_SHARD:
            continue
        if best is None or _peak_load_after(total, entry, target) < _peak_load_after(total, best, target):
            best = entry
    if best is None or total[source] - _peak_load_after(total, best, target) < min_gain or min_gain <= 0:
        return None
    return MoveProposal(best.shard, target)


def _peak_load_after(total: Mapping[str, float], entry: ShardLoad, target: str) -> float:
    """Return the load of the most loaded controller if the shard moved to the target."""
    after = dict(total)
    after[entry.owner] -= entry.load
    after[target] += entry.load
    return max(after.values())
