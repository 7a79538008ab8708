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
MIN_QUOTA = 1e-9
# How long a job may be the first in its share's queue until what it needs goes before all other wishes, in seconds
# for each report interval.
FIRST_JOB_PATIENCE = 5.0


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


ZERO = Amount()


class QuotaAllocation(msgspec.Struct, frozen=True, array_like=True):
    """The parts of one team's limit, by share. An amount without a limit is not divided and stands as 0."""

    quotas: tuple[Amount, ...]

    def quota(self, shard: int) -> Amount:
        """Return a share's part; none for a share that came after the record."""
        return self.quotas[shard] if shard < len(self.quotas) else ZERO

    def total(self) -> Amount:
        """Return the sum of all parts."""
        return sum(self.quotas, ZERO)

    def with_quota(self, shard: int, quota: Amount) -> "QuotaAllocation":
        """Return the allotment with another part for a share."""
        quotas = list(self.quotas) + [ZERO] * (shard + 1 - len(self.quotas))
        quotas[shard] = quota
        return QuotaAllocation(tuple(quotas))


@dataclass(frozen=True, slots=True)
class Demand:
    """What a share uses of a team's limit, what it could use, and what its first waiting job needs."""

    used: Amount = ZERO
    wanted: Amount = ZERO
    first_job: Amount = ZERO
    first_job_waited_s: float = 0.0


def team_limit(team: Team) -> Amount:
    """Return a team's limit; 0: none."""
    return Amount(team.cpus_max, team.gpus_max)


def has_limit(team: Team) -> bool:
    """Whether a team has a limit at all."""
    return team.cpus_max > 0 or team.gpus_max > 0


def initial_allocation(team: Team, shard_count: int) -> QuotaAllocation:
    """Return the allotment that sharing begins with: everything is the first share's, where all jobs are."""
    return QuotaAllocation((team_limit(team), *(ZERO for _ in range(1, shard_count))))


def team_with_quota(team: Team, quota: Amount, fraction: float) -> Team:
    """Return a team as a share sees it: its part as the limit, and as much of the guarantee."""
    return Team(
        team.name,
        team.cpus * fraction,
        max(quota.cpus, MIN_QUOTA) if team.cpus_max > 0 else 0.0,
        team.gpus * fraction,
        max(quota.gpus, MIN_QUOTA) if team.gpus_max > 0 else 0.0,
    )


def guarantee_fraction(team: Team, quota: Amount, shard_count: int) -> float:
    """Return how much of a team's guarantee goes with a part of its limit."""
    fractions = [
        held / limit for held, limit in ((quota.cpus, team.cpus_max), (quota.gpus, team.gpus_max)) if limit > 0
    ]
    return min(fractions) if fractions else 1.0 / shard_count


def quota_targets(limit: Amount, demands: Sequence[Demand], patience_s: float) -> list[Amount]:
    """Return the part that each share is to have, by what it uses and wants.

    A job that has waited for long at the head of a share's queue goes first, so that one larger than its share's part
    comes to its turn: the others are to give up what it lacks as their tasks end. The rest is dealt out evenly, up to
    what each wants.
    """
    longest_waiting = max(range(len(demands)), key=lambda shard: demands[shard].first_job_waited_s, default=None)
    first = [ZERO] * len(demands)
    if longest_waiting is not None and demands[longest_waiting].first_job_waited_s > patience_s:
        needed = demands[longest_waiting].used + demands[longest_waiting].first_job
        first[longest_waiting] = needed.at_most(limit)
    cpus = _distribute(limit.cpus, [quota.cpus for quota in first], [demand.wanted.cpus for demand in demands])
    gpus = _distribute(limit.gpus, [quota.gpus for quota in first], [demand.wanted.gpus for demand in demands])
    return [Amount(*pair) for pair in zip(cpus, gpus, strict=True)]


def _distribute(limit: float, first: Sequence[float], wanted: Sequence[float]) -> list[float]:
    """Deal an amount out: first what goes before, then evenly up to what is wanted, and what is left evenly."""
    quotas = list(first)
    left = limit - sum(quotas)
    open_shards = [shard for shard in range(len(quotas)) if wanted[shard] > quotas[shard]]
    while open_shards and left > ROUNDING:
        step = min(left / len(open_shards), *(wanted[shard] - quotas[shard] for shard in open_shards))
        for shard in open_shards:
            quotas[shard] += step
        left -= step * len(open_shards)
        open_shards = [shard for shard in open_shards if wanted[shard] > quotas[shard] + ROUNDING]
    return _round_to_whole([quota + max(0.0, left) / len(quotas) for quota in quotas], wanted)


def _round_to_whole(quotas: list[float], wanted: Sequence[float]) -> list[float]:
    """Return whole amounts with the same sum; what is over goes to whom most is lacking.

    Guards against a part of a processor in each share that no task fits into.
    """
    rounded = [float(math.floor(quota + ROUNDING)) for quota in quotas]
    remainder = sum(quotas) - sum(rounded)
    for shard in sorted(range(len(quotas)), key=lambda shard: (rounded[shard] - wanted[shard], shard)):
        more = min(1.0, remainder)
        rounded[shard] += more
        remainder -= more
    return rounded


def raised_allocation(limit: Amount, allocation: QuotaAllocation, target_quotas: Sequence[Amount]) -> QuotaAllocation:
    """Return the allotment with parts raised towards their targets, by no more than what is free."""
    free = limit - allocation.total()
    for shard, target in enumerate(target_quotas):
        quota = allocation.quota(shard)
        more = (target - quota).at_least(ZERO).at_most(free.at_least(ZERO))
        allocation = allocation.with_quota(shard, quota + more)
        free = free - more
    return allocation
