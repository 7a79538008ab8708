"""The teams' demand in one shard, computed from the scheduler of the shard's current term."""

from collections.abc import Mapping

from driftcleat.cluster import Job
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Team
from driftcleat.sharing.messages import TeamDemand
from driftcleat.sharing.quota import Amount, has_limit


def team_demands(scheduler: Scheduler, teams: Mapping[str, Team], wall_clock_s: float) -> tuple[TeamDemand, ...]:
    """Return the demand of each team that has a limit and uses or waits for capacity."""
    found = []
    for team in teams.values():
        if has_limit(team):
            demand = _team_demand(scheduler, team.name, wall_clock_s)
            if demand is not None:
                found.append(demand)
    return tuple(found)


def _team_demand(scheduler: Scheduler, team: str, wall_clock_s: float) -> TeamDemand | None:
    usage = scheduler.cluster.team_usage.get(team)
    used = Amount(usage.cpus, usage.gpus) if usage is not None else Amount()
    waiting = [job for job in scheduler.queue.queued().jobs if job.spec.team == team]
    wanted = used
    for job in waiting:
        wanted = wanted + _amount(job, job.tasks_queued)
    if not waiting and not used.cpus and not used.gpus:
        return None
    first, waited_s = Amount(), 0.0
    if waiting:
        oldest = min(waiting, key=lambda job: (job.submitted_at, job.id))
        # An array or a service can start with one task; a gang needs all of its tasks.
        first = _amount(oldest, oldest.tasks_queued if oldest.is_gang else 1)
        waited_s = max(0.0, wall_clock_s - oldest.submitted_at)
    return TeamDemand(team, used, wanted, first, waited_s)


def _amount(job: Job, tasks: int) -> Amount:
    return Amount(job.spec.cpus * tasks, job.spec.gpus * tasks)
