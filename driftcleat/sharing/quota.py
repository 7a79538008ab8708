"""Quota allocations: a team's limit divided among the shards. Pure functions.

One record per team holds the quotas of all shards. Only a shard's leader lowers the shard's quota, once its tasks fit
into the lower one; only the coordinator raises quotas, by no more than what is unallocated. Every change compares the
record's mod revision, so the quotas never add up to more than the limit, whichever controllers lead.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from driftcleat.settings import Team

# Tolerance for rounding errors in sums of amounts; every real request is larger.
ROUNDING = 1e-6
# Stands for an empty quota in `Team`, where 0 means that there is no limit.
MIN_QUOTA = 1e-9
# After how many heartbeat intervals at the head of a shard's queue a job is served before all other demand.
FIRST_JOB_PATIENCE = 5.0


class Amount(msgspec.Struct, frozen=True, array_like=True):
    """A number of CPUs and GPUs."""

    cpus: float = 0.0
    gpus: float = 0.0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(self.cpus - other.cpus, self.gpus - other.gpus)

    def at_least(self, other: "Amount") -> "Amount":
        """Return the larger amount of each resource."""
        return Amount(max(self.cpus, other.cpus), max(self.gpus, other.gpus))

    def at_most(self, other: "Amount") -> "Amount":
        """Return the smaller amount of each resource."""
        return Amount(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def covers(self, other: "Amount") -> bool:
        """Return whether no resource is less than in the other amount, up to rounding errors."""
        return self.cpus + ROUNDING >= other.cpus and self.gpus + ROUNDING >= other.gpus


ZERO = Amount()


class QuotaAllocation(msgspec.Struct, frozen=True, array_like=True):
    """The quotas of one team, by shard. A resource without a limit is not divided: its quotas are 0."""

    quotas: tuple[Amount, ...]

    def quota(self, shard: int) -> Amount:
        """Return a shard's quota; zero for a shard that was added after the record was written."""
        return self.quotas[shard] if shard < len(self.quotas) else ZERO

    def total(self) -> Amount:
        """Return the sum of all quotas."""
        return sum(self.quotas, ZERO)

    def with_quota(self, shard: int, quota: Amount) -> "QuotaAllocation":
        """Return the allocation with the quota of one shard replaced."""
        quotas = list(self.quotas) + [ZERO] * (shard + 1 - len(self.quotas))
        quotas[shard] = quota
        return QuotaAllocation(tuple(quotas))


@dataclass(frozen=True, slots=True)
class Demand:
    """What a shard uses of a team's limit, what it could use at most, and what its oldest queued job needs."""

    used: Amount = ZERO
    wanted: Amount = ZERO
    first_job: Amount = ZERO
    first_job_waited_s: float = 0.0


def team_limit(team: Team) -> Amount:
    """Return a team's limit; 0 means that a resource has no limit."""
    return Amount(team.cpus_max, team.gpus_max)


def has_limit(team: Team) -> bool:
    """Return whether any resource of a team has a limit."""
    return team.cpus_max > 0 or team.gpus_max > 0


def initial_allocation(team: Team, shard_count: int) -> QuotaAllocation:
    """Return the allocation that sharing starts with: the whole limit for the first shard, which has all jobs."""
    return QuotaAllocation((team_limit(team), *(ZERO for _ in range(1, shard_count))))


def team_with_quota(team: Team, quota: Amount, fraction: float) -> Team:
    """Return a team as one shard sees it: limited to the shard's quota, with a fraction of the team's guarantee."""
    return Team(
        team.name,
        team.cpus * fraction,
        max(quota.cpus, MIN_QUOTA) if team.cpus_max > 0 else 0.0,
        team.gpus * fraction,
        max(quota.gpus, MIN_QUOTA) if team.gpus_max > 0 else 0.0,
    )


def guarantee_fraction(team: Team, quota: Amount, shard_count: int) -> float:
    """Return the fraction of a team's guarantee that belongs to a quota; equal fractions if there is no limit."""
    fractions = [
        held / limit for held, limit in ((quota.cpus, team.cpus_max), (quota.gpus, team.gpus_max)) if limit > 0
    ]
    return min(fractions) if fractions else 1.0 / shard_count


def quota_targets(limit: Amount, demands: Sequence[Demand], patience_s: float) -> list[Amount]:
    """Return the quota that each shard should have, from what the shards use and could use.

    If a job has waited for longer than `patience_s` at the head of a shard's queue, what it needs is allocated first.
    Guards against starvation of a job that is larger than its shard's quota: the other shards lower their quotas as
    their tasks end. The rest is distributed evenly, up to what each shard could use.
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
    """Distribute a limit: `first` as given, then evenly up to `wanted`, then evenly what is left over."""
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
    """Round quotas down to whole numbers and give the remainder to the shards that lack most; the sum stays.

    Guards against a fraction of a processor in each shard that no task fits into.
    """
    rounded = [float(math.floor(quota + ROUNDING)) for quota in quotas]
    remainder = sum(quotas) - sum(rounded)
    for shard in sorted(range(len(quotas)), key=lambda shard: (rounded[shard] - wanted[shard], shard)):
        more = min(1.0, remainder)
        rounded[shard] += more
        remainder -= more
    return rounded


def raised_allocation(limit: Amount, allocation: QuotaAllocation, target_quotas: Sequence[Amount]) -> QuotaAllocation:
    """Return the allocation with quotas raised towards their targets, by no more than what is unallocated."""
    free = limit - allocation.total()
    for shard, target in enumerate(target_quotas):
        quota = allocation.quota(shard)
        more = (target - quota).at_least(ZERO).at_most(free.at_least(ZERO))
        allocation = allocation.with_quota(shard, quota + more)
        free = free - more
    return allocation
