"""Machines as candidates for placement: which of them take tasks, and what is free on them."""

from collections.abc import Mapping

from driftcleat.cluster import Job, Machine, MachineState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE, Candidate
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.reservations import Reservations
from driftcleat.wire.workers import TaskPhase

# Reports that a machine may miss until it is given no more tasks.
FRESH_REPORTS = 2.0

Amounts = tuple[float, float, float]


class MachineCandidates:
    """Makes candidates of machines."""

    def __init__(self, context: SchedulerContext, reservations: Reservations) -> None:
        self._platform, self._cluster = context.platform, context.cluster
        self._reservations = reservations
        # By zone how many controllers are elsewhere: asked for each machine in each round.
        self._away = {zone: self._platform.away(zone) for zone in self._platform.zones}

    def takes_tasks(self, machine: Machine, now: float) -> bool:
        """Whether a machine may be given tasks: up, heard of lately, and it acknowledges our answers.

        Guards against placing on a machine of which only an old copy of a report arrived, or whose reports
        arrive while our answers do not reach it.
        """
        return (
            machine.state is MachineState.UP
            and machine.type is not None
            and machine.fence_acknowledged
            and not machine.unacknowledged_responses
            and machine.no_placement_until <= now
            and machine.last_heartbeat_at >= now - self._platform.report_s * FRESH_REPORTS
        )

    def all(self, now: float, least: Amounts = (0.0, 0.0, 0.0)) -> list[Candidate]:
        """Return the machines that take tasks and have at least this much free."""
        cpus, gpus, memory_gb = (need - ROUNDING_TOLERANCE for need in least)
        out = []
        for machine in self._cluster.machines.values():
            machine_type = machine.type
            if (
                machine_type is not None
                and machine_type.gpus - machine.used_gpus >= gpus
                and machine_type.cpus - machine.used_cpus >= cpus
                and machine_type.memory_gb - machine.used_memory_gb >= memory_gb
                and self.takes_tasks(machine, now)
            ):
                out.append(self.of(machine, now))
        return out

    def of(self, machine: Machine, now: float) -> Candidate:
        """Return one machine as a candidate."""
        candidate = _candidate(machine, self._cluster.jobs)
        away = self._away.get(machine.zone)
        candidate.controllers_elsewhere = self._platform.away(machine.zone) if away is None else away
        candidate.reserved_for = self._reservations.holder(machine.name, now)
        return candidate


def _candidate(machine: Machine, jobs: Mapping[str, Job]) -> Candidate:
    machine_type = machine.type
    assert machine_type is not None
    fetching: set[str] = set()
    if machine.tasks:
        fetching = {
            jobs[job_id].spec.image
            for job_id, index in machine.tasks
            if job_id in jobs and machine.task_phases.get((job_id, index), TaskPhase.FETCHING) == TaskPhase.FETCHING
        }
    return Candidate(
        machine.name,
        machine_type.name,
        machine.zone,
        machine.spot,
        machine_type.cpus - machine.used_cpus,
        machine_type.gpus - machine.used_gpus,
        machine_type.memory_gb - machine.used_memory_gb,
        machine.cached_images,
        fetching,
        machine.failed_jobs,
        bool(machine.tasks),
        machine_type.spot_price if machine.spot else machine_type.price,
        (machine_type.cpus, machine_type.gpus, machine_type.memory_gb),
        machine_type.fetch_gb_per_s,
    )
