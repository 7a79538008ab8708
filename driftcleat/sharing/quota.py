"""Teams' limits divided among shares, so that the parts never add up to more than the limit. Pure.

One record a team holds all parts. A share's owner alone lowers its part, once its tasks fit into less; the
coordinator alone raises one, by no more than what is free. Every change is conditional on the record's version, so
the sum holds whoever else changes it, and whoever leads.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from driftcleat.settings import Team

# Sums of decimal amounts differ in their last digits; no real request is this small.
ROUNDING = 1e-6
# A part of nothing, where 0 would mean that there is no limit.
NOTHING = 1e-9
# How long a job may be the first in its share's queue until what it needs goes before all other wishes, in seconds
# for each report interval.
PATIENCE = 5.0


class Amount(msgspec.Struct, frozen=True, array_like=True):
    """CPUs and GPUs."""

    cpus: float = 0.0
    gpus: float = 0.0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(self.cpus - other.cpus, self.gpus - other.gpus)

    def at_least(self, other: "Amount") -> "Amount":
        """Return the larger of each amount."""
        return Amount(max(self.cpus, other.cpus), max(self.gpus, other.gpus))

    def at_most(self, other: "Amount") -> "Amount":
        """Return the smaller of each amount."""
        return Amount(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def covers(self, other: "Amount") -> bool:
        """Whether this is as much as the other."""
        return self.cpus + ROUNDING >= other.cpus and self.gpus + ROUNDING >= other.gpus


NONE = Amount()


class Allotment(msgspec.Struct, frozen=True, array_like=True):
    """The parts of one team's limit, by share. An amount without a limit is not divided and stands as 0."""

    parts: tuple[Amount, ...]

    def part(self, share: int) -> Amount:
        """Return a share's part; none for a share that came after the record."""
        return self.parts[share] if share < len(self.parts) else NONE

    def total(self) -> Amount:
        """Return the sum of all parts."""
        return sum(self.parts, NONE)

    def with_part(self, share: int, part: Amount) -> "Allotment":
        """Return the allotment with another part for a share."""
        parts = list(self.parts) + [NONE] * (share + 1 - len(self.parts))
        parts[share] = part
        return Allotment(tuple(parts))


@dataclass(frozen=True, slots=True)
class Demand:
    """What a share uses of a team's limit, what it could use, and what its first waiting job needs."""

    used: Amount = NONE
    wanted: Amount = NONE
    first_job: Amount = NONE
    first_job_waited_s: float = 0.0


def limit_of(team: Team) -> Amount:
    """Return a team's limit; 0: none."""
    return Amount(team.cpus_max, team.gpus_max)


def is_divided(team: Team) -> bool:
    """Whether a team has a limit at all."""
    return team.cpus_max > 0 or team.gpus_max > 0


def first_allotment(team: Team, shares: int) -> Allotment:
    """Return the allotment that sharing begins with: everything is the first share's, where all jobs are."""
    return Allotment((limit_of(team), *(NONE for _ in range(1, shares))))


def allotted(team: Team, part: Amount, share_of_guarantee: float) -> Team:
    """Return a team as a share sees it: its part as the limit, and as much of the guarantee."""
    return Team(
        team.name,
        team.cpus * share_of_guarantee,
        max(part.cpus, NOTHING) if team.cpus_max > 0 else 0.0,
        team.gpus * share_of_guarantee,
        max(part.gpus, NOTHING) if team.gpus_max > 0 else 0.0,
    )


def guarantee_share(team: Team, part: Amount, shares: int) -> float:
    """Return how much of a team's guarantee goes with a part of its limit."""
    fractions = [
        held / limit for held, limit in ((part.cpus, team.cpus_max), (part.gpus, team.gpus_max)) if limit > 0
    ]
    return min(fractions) if fractions else 1.0 / shares


def targets(limit: Amount, demands: Sequence[Demand], patience_s: float) -> list[Amount]:
    """Return the part that each share is to have, by what it uses and wants.

    A job that has waited for long at the head of a share's queue goes first, so that one larger than its share's part
    comes to its turn: the others are to give up what it lacks as their tasks end. The rest is dealt out evenly, up to
    what each wants.
    """
    head = max(range(len(demands)), key=lambda share: demands[share].first_job_waited_s, default=None)
    first = [NONE] * len(demands)
    if head is not None and demands[head].first_job_waited_s > patience_s:
        needed = demands[head].used + demands[head].first_job
        first[head] = needed.at_most(limit)
    cpus = _fill(limit.cpus, [part.cpus for part in first], [demand.wanted.cpus for demand in demands])
    gpus = _fill(limit.gpus, [part.gpus for part in first], [demand.wanted.gpus for demand in demands])
    return [Amount(*pair) for pair in zip(cpus, gpus, strict=True)]


def _fill(limit: float, first: Sequence[float], wanted: Sequence[float]) -> list[float]:
    """Deal an amount out: first what goes before, then evenly up to what is wanted, and what is left evenly."""
    parts = list(first)
    left = limit - sum(parts)
    open_shares = [share for share in range(len(parts)) if wanted[share] > parts[share]]
    while open_shares and left > ROUNDING:
        step = min(left / len(open_shares), *(wanted[share] - parts[share] for share in open_shares))
        for share in open_shares:
            parts[share] += step
        left -= step * len(open_shares)
        open_shares = [share for share in open_shares if wanted[share] > parts[share] + ROUNDING]
    return _whole([part + max(0.0, left) / len(parts) for part in parts], wanted)


def _whole(parts: list[float], wanted: Sequence[float]) -> list[float]:
    """Return whole amounts with the same sum; what is over goes to whom most is lacking.

    Guards against a part of a processor in each share that no task fits into.
    """
    whole = [float(math.floor(part + ROUNDING)) for part in parts]
    over = sum(parts) - sum(whole)
    for share in sorted(range(len(parts)), key=lambda share: (whole[share] - wanted[share], share)):
        more = min(1.0, over)
        whole[share] += more
        over -= more
    return whole


def raised(limit: Amount, allotment: Allotment, wishes: Sequence[Amount]) -> Allotment:
    """Return the allotment with parts raised towards their targets, by no more than what is free."""
    free = limit - allotment.total()
    for share, wish in enumerate(wishes):
        part = allotment.part(share)
        more = (wish - part).at_least(NONE).at_most(free.at_least(NONE))
        allotment = allotment.with_part(share, part + more)
        free = free - more
    return allotment
