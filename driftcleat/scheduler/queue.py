"""The queue: jobs with tasks that wait for a place, in the order in which they get it."""

from dataclasses import dataclass

from driftcleat.cluster import ClusterState, Job, JobState
from driftcleat.placement.fair_share import FairShareOrder
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.scheduler.context import INFINITE
from driftcleat.settings import Platform, Tuning
from driftcleat.wire.users import JobSpec

# Sums of decimal amounts differ in their last digits.
ROUNDING = 1e-6


@dataclass(frozen=True, slots=True)
class QueuedJobs:
    """The jobs with queued tasks, in their order."""

    jobs: list[Job]
    order: FairShareOrder


class JobQueue:
    """Orders jobs by guarantee, rank and age; kept until the next commit."""

    def __init__(self, platform: Platform, tuning: Tuning, cluster: ClusterState) -> None:
        self.platform, self.tuning, self.cluster = platform, tuning, cluster
        self._queued: QueuedJobs | None = None

    def invalidate(self) -> None:
        """A batch was committed: the order is worked out anew when it is next asked for."""
        self._queued = None

    def queued(self) -> QueuedJobs:
        """Return the queue; what is returned is shared and not to be changed."""
        if self._queued is None:
            self._queued = self._work_out()
        return self._queued

    def _allowance_s(self) -> float:
        """Return what a job without a place takes to have one: a machine boots, and is heard."""
        boot_s = min((machine_type.boot_s for machine_type in self.cluster.machine_types.values()), default=0.0)
        return boot_s * self.tuning.boots + self.platform.report_s

    def _work_out(self) -> QueuedJobs:
        guaranteed: set[str] = set()
        sums: dict[str, list[float]] = {}
        queued: list[Job] = []
        for job in sorted(self.cluster.jobs.values(), key=lambda job: (job.submitted_at, job.id)):
            if job.state is not JobState.ACTIVE or not self.cluster.dependencies_met(job):
                # What waits for others takes no place, and no part of a limit or a guarantee.
                continue
            team = self.platform.teams.get(job.spec.team)
            total = sums.setdefault(job.spec.team, [0.0, 0.0])
            left = job.spec.tasks - job.tasks_done
            total[0] += job.spec.cpus * left
            total[1] += job.spec.gpus * left
            if team is not None and _within(team.cpus, team.gpus, total, job.spec):
                guaranteed.add(job.id)
            if job.tasks_queued > 0:
                queued.append(job)
        order = FairShareOrder(guaranteed, self._allowance_s())
        return QueuedJobs(sorted(queued, key=order.sort_key), order)

    def quota_headroom(self, team_name: str) -> QuotaHeadroom:
        """Return what a team may still take."""
        team = self.platform.teams.get(team_name)
        if team is None:
            return QuotaHeadroom(0.0, 0.0)
        usage = self.cluster.team_usage.get(team_name)
        cpus, gpus = (usage.cpus, usage.gpus) if usage is not None else (0.0, 0.0)
        return QuotaHeadroom(
            team.cpus_max - cpus if team.cpus_max > 0 else INFINITE,
            team.gpus_max - gpus if team.gpus_max > 0 else INFINITE,
        )


def _within(cpus: float, gpus: float, total: list[float], spec: JobSpec) -> bool:
    """Tell whether a sum lies within a guarantee; what a team is not guaranteed does not count against it."""
    if cpus <= 0 and gpus <= 0:
        return False
    return (
        (cpus <= 0 or total[0] <= cpus + ROUNDING)
        and (gpus <= 0 or total[1] <= gpus + ROUNDING)
        and (gpus <= 0 or spec.gpus > 0 or cpus > 0)
    )
