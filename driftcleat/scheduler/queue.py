"""The scheduling queue: jobs with queued tasks, in fair-share order."""

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
    """The jobs with queued tasks in placement order, and the order by which they are sorted."""

    jobs: list[Job]
    order: FairShareOrder


@dataclass(slots=True)
class _TeamDemand:
    """The summed resource requests of the unfinished tasks of a team's jobs, up to some job by age."""

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, spec: JobSpec, tasks: int) -> None:
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks


class JobQueue:
    """Sorts jobs with queued tasks by guarantee, priority and age, and caches the result until `invalidate`."""

    def __init__(self, platform: Platform, tuning: Tuning, cluster: ClusterState) -> None:
        self._platform = platform
        self._tuning = tuning
        self._cluster = cluster
        self._queued: QueuedJobs | None = None

    def invalidate(self) -> None:
        """Drop the cached queue; called when jobs or their tasks have changed."""
        self._queued = None

    def queued(self) -> QueuedJobs:
        """Return the queue; callers must not modify it, since it is cached."""
        if self._queued is None:
            self._queued = self._sort()
        return self._queued

    def _placement_allowance_s(self) -> float:
        """Return the seconds until a job can be placed on a new machine: boot time plus one heartbeat interval."""
        boot_s = min((machine_type.boot_s for machine_type in self._cluster.machine_types.values()), default=0.0)
        return boot_s * self._tuning.expected_boot_ratio + self._platform.report_s

    def _sort(self) -> QueuedJobs:
        """Return the queue.

        A job is guaranteed if its team's demand, summed from the oldest job up to this one, is within its guarantee.
        """
        guaranteed: set[str] = set()
        demands: dict[str, _TeamDemand] = {}
        queued: list[Job] = []
        for job in sorted(self._cluster.jobs.values(), key=lambda job: (job.submitted_at, job.id)):
            if job.state is not JobState.ACTIVE or not self._cluster.dependencies_met(job):
                # A job with unmet dependencies is not placed and does not count towards its team's guarantee.
                continue
            demand = demands.setdefault(job.spec.team, _TeamDemand())
            demand.add(job.spec, job.spec.tasks - job.tasks_done)
            team = self._platform.teams.get(job.spec.team)
            if team is not None and _within_guarantee(team, demand, job.spec):
                guaranteed.add(job.id)
            if job.tasks_queued > 0:
                queued.append(job)
        order = FairShareOrder(guaranteed, self._placement_allowance_s())
        return QueuedJobs(sorted(queued, key=order.sort_key), order)

    def quota_headroom(self, team_name: str) -> QuotaHeadroom:
        """Return what may still be placed for a team within its quota limits; zero for an unknown team."""
        team = self._platform.teams.get(team_name)
        if team is None:
            return QuotaHeadroom(0.0, 0.0)
        usage = self._cluster.team_usage.get(team_name)
        cpus, gpus = (usage.cpus, usage.gpus) if usage is not None else (0.0, 0.0)
        return QuotaHeadroom(
            team.cpus_max - cpus if team.cpus_max > 0 else INFINITE,
            team.gpus_max - gpus if team.gpus_max > 0 else INFINITE,
        )


def _within_guarantee(team: Team, demand: _TeamDemand, spec: JobSpec) -> bool:
    """Return whether a demand is within a team's guarantee; a resource without a guarantee is not checked."""
    cpus, gpus = team.cpus, team.gpus
    if cpus <= 0 and gpus <= 0:
        return False
    return (
        (cpus <= 0 or demand.cpus <= cpus + ROUNDING_TOLERANCE)
        and (gpus <= 0 or demand.gpus <= gpus + ROUNDING_TOLERANCE)
        and (gpus <= 0 or spec.gpus > 0 or cpus > 0)
    )
