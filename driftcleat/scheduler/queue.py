"""The scheduling queue: jobs with tasks that are not placed, in fair-share order."""

from dataclasses import dataclass

from driftcleat.cluster import ClusterState, Job, JobState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE
from driftcleat.placement.fair_share import FairShareOrder
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.scheduler.context import INFINITE
from driftcleat.settings import Platform, Team, Tuning
from driftcleat.wire.users import JobSpec


@dataclass(frozen=True, slots=True)
class QueuedJobs:
    """The jobs with queued tasks, first the one that is placed first, and the order that sorted them."""

    jobs: list[Job]
    order: FairShareOrder


@dataclass(slots=True)
class _Demand:
    """What the unfinished tasks of a team's oldest jobs take together."""

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, spec: JobSpec, tasks: int) -> None:
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks


class JobQueue:
    """Sorts queued jobs by guarantee, priority and age; the result is cached until the next commit."""

    def __init__(self, platform: Platform, tuning: Tuning, cluster: ClusterState) -> None:
        self._platform = platform
        self._tuning = tuning
        self._cluster = cluster
        self._queued: QueuedJobs | None = None

    def invalidate(self) -> None:
        """Drop the cached queue: jobs or their tasks have changed."""
        self._queued = None

    def queued(self) -> QueuedJobs:
        """Return the queue; the result is shared and must not be changed."""
        if self._queued is None:
            self._queued = self._sort()
        return self._queued

    def _placement_allowance_s(self) -> float:
        """Return how long it takes to place a job that needs a new machine: it boots, and its heartbeat arrives."""
        boot_s = min((machine_type.boot_s for machine_type in self._cluster.machine_types.values()), default=0.0)
        return boot_s * self._tuning.expected_boot_ratio + self._platform.report_s

    def _sort(self) -> QueuedJobs:
        """Return the queue; a job is guaranteed while its team's demand up to it, by age, is within its guarantee."""
        guaranteed: set[str] = set()
        demands: dict[str, _Demand] = {}
        queued: list[Job] = []
        for job in sorted(self._cluster.jobs.values(), key=lambda job: (job.submitted_at, job.id)):
            if job.state is not JobState.ACTIVE or not self._cluster.dependencies_met(job):
                # A job with unmet dependencies is not placed, and counts towards no quota.
                continue
            demand = demands.setdefault(job.spec.team, _Demand())
            demand.add(job.spec, job.spec.tasks - job.tasks_done)
            team = self._platform.teams.get(job.spec.team)
            if team is not None and _within_guarantee(team, demand, job.spec):
                guaranteed.add(job.id)
            if job.tasks_queued > 0:
                queued.append(job)
        order = FairShareOrder(guaranteed, self._placement_allowance_s())
        return QueuedJobs(sorted(queued, key=order.sort_key), order)

    def quota_headroom(self, team_name: str) -> QuotaHeadroom:
        """Return what may still be placed for a team below its upper limits; nothing for an unknown team."""
        team = self._platform.teams.get(team_name)
        if team is None:
            return QuotaHeadroom(0.0, 0.0)
        usage = self._cluster.team_usage.get(team_name)
        cpus, gpus = (usage.cpus, usage.gpus) if usage is not None else (0.0, 0.0)
        return QuotaHeadroom(
            team.cpus_max - cpus if team.cpus_max > 0 else INFINITE,
            team.gpus_max - gpus if team.gpus_max > 0 else INFINITE,
        )


def _within_guarantee(team: Team, demand: _Demand, spec: JobSpec) -> bool:
    """Return whether a demand is within a team's guarantee; a resource without a guarantee is not compared."""
    cpus, gpus = team.cpus, team.gpus
    if cpus <= 0 and gpus <= 0:
        return False
    return (
        (cpus <= 0 or demand.cpus <= cpus + ROUNDING_TOLERANCE)
        and (gpus <= 0 or demand.gpus <= gpus + ROUNDING_TOLERANCE)
        and (gpus <= 0 or spec.gpus > 0 or cpus > 0)
    )
