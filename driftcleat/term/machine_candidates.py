"""Machines as candidates for placement: which of them take tasks, and what is free on them."""

from collections.abc import Mapping

from driftcleat.model import Job, Machine, MachineState
from driftcleat.placement.candidates import SLACK, Candidate
from driftcleat.wire.workers import FETCHING

from .context import TermContext
from .reservations import Reservations

# Reports that a machine may miss until it is given no more tasks.
FRESH_REPORTS = 2.0

Amounts = tuple[float, float, float]


class MachineCandidates:
    """Makes candidates of machines."""

    def __init__(self, context: TermContext, reservations: Reservations) -> None:
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
            and machine.trusted
            and not machine.unacknowledged
            and machine.full_until <= now
            and machine.heard_at >= now - self._platform.report_s * FRESH_REPORTS
        )

    def all(self, now: float, least: Amounts = (0.0, 0.0, 0.0)) -> list[Candidate]:
        """Return the machines that take tasks and have at least this much free."""
        cpus, gpus, memory_gb = (need - SLACK for need in least)
        out = []
        for machine in self._cluster.machines.values():
            kind = machine.type
            if (
                kind is not None
                and kind.gpus - machine.gpus >= gpus
                and kind.cpus - machine.cpus >= cpus
                and kind.memory_gb - machine.memory_gb >= memory_gb
                and self.takes_tasks(machine, now)
            ):
                out.append(self.of(machine, now))
        return out

    def of(self, machine: Machine, now: float) -> Candidate:
        """Return one machine as a candidate."""
        candidate = _candidate(machine, self._cluster.jobs)
        away = self._away.get(machine.zone)
        candidate.away = self._platform.away(machine.zone) if away is None else away
        candidate.reserved_for = self._reservations.holder(machine.name, now)
        return candidate


def _candidate(machine: Machine, jobs: Mapping[str, Job]) -> Candidate:
    kind = machine.type
    assert kind is not None
    fetching: set[str] = set()
    if machine.tasks:
        fetching = {
            jobs[job_id].spec.image
            for job_id, index in machine.tasks
            if job_id in jobs and machine.phases.get((job_id, index), FETCHING) == FETCHING
        }
    return Candidate(
        machine.name,
        kind.name,
        machine.zone,
        machine.spot,
        kind.cpus - machine.cpus,
        kind.gpus - machine.gpus,
        kind.memory_gb - machine.memory_gb,
        machine.images,
        fetching,
        machine.failed_jobs,
        bool(machine.tasks),
        kind.spot_price if machine.spot else kind.price,
        (kind.cpus, kind.gpus, kind.memory_gb),
        kind.fetch_gb_per_s,
    )
