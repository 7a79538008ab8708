"""Machines as placement candidates: which of them accept tasks, and which resources are free on them."""

from collections.abc import Container

from driftcleat.cluster import Machine, MachineState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE, Candidate, Resources
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.reservations import Reservations
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.workers import TaskPhase

# Looked up once: looking up an enum member for every task takes several times as long as the comparison with it.
FETCHING = TaskPhase.FETCHING

# Maximum age, in heartbeat intervals, of the last heartbeat of a machine that is given tasks.
MAX_HEARTBEAT_AGE_INTERVALS = 2.0

NO_RESOURCES = Resources(0.0, 0.0, 0.0)
NO_IMAGES: Container[str] = frozenset()


class MachineCandidates:
    """Creates placement candidates from machines and their reservations."""

    def __init__(self, context: SchedulerContext, reservations: Reservations) -> None:
        self._platform = context.platform
        self._cluster = context.cluster
        self._reservations = reservations
        # By zone; cached because each round needs it for each machine.
        self._controllers_elsewhere = {
            zone: self._platform.controllers_outside(zone) for zone in self._platform.zones
        }

    def takes_tasks(self, machine: Machine, now: float) -> bool:
        """Return whether a machine is up, has sent a recent heartbeat and acknowledges the controller's responses.

        No task is placed on a machine of which only a delayed copy of an old heartbeat has arrived, or one whose
        heartbeats arrive while the responses do not reach it.
        """
        return (
            machine.state is MachineState.UP
            and machine.type is not None
            and machine.fence_acknowledged
            and not machine.unacknowledged_responses
            and machine.no_placement_until <= now
            and machine.last_heartbeat_at >= now - self._platform.report_s * MAX_HEARTBEAT_AGE_INTERVALS
        )

    def available(self, now: float, at_least: Resources = NO_RESOURCES) -> list[Candidate]:
        """Return the machines that accept tasks and have at least these resources free."""
        cpus, gpus, memory_gb = (needed - ROUNDING_TOLERANCE for needed in at_least)
        candidates = []
        for machine in self._cluster.machines.values():
            machine_type = machine.type
            if (
                machine_type is not None
                and machine_type.gpus - machine.used_gpus >= gpus
                and machine_type.cpus - machine.used_cpus >= cpus
                and machine_type.memory_gb - machine.used_memory_gb >= memory_gb
                and self.takes_tasks(machine, now)
            ):
                candidates.append(self.candidate_for(machine, machine_type, now))
        return candidates

    def candidate_for(self, machine: Machine, machine_type: MachineType, now: float) -> Candidate:
        """Return one machine as a candidate, with its cached and fetching images and its reservation."""
        fetching_images: set[str] = set()
        if machine.tasks:
            jobs = self._cluster.jobs
            phases = machine.task_phases
            fetching_images = {
                jobs[key[0]].spec.image
                for key in machine.tasks
                if key[0] in jobs and phases.get(key, FETCHING) == FETCHING
            }
        controllers_elsewhere = self._controllers_elsewhere.get(machine.zone)
        if controllers_elsewhere is None:
            controllers_elsewhere = self._platform.controllers_outside(machine.zone)
        candidate = machine_candidate(
            machine, machine_type, controllers_elsewhere, machine.cached_images, fetching_images
        )
        candidate.excluded_jobs = machine.excluded_jobs(now)
        candidate.reserved_for = self._reservations.holder(machine.name, now)
        return candidate


def machine_candidate(
    machine: Machine,
    machine_type: MachineType,
    controllers_elsewhere: int,
    cached_images: Container[str],
    fetching_images: set[str],
) -> Candidate:
    """Return a machine as a candidate without a reservation and without excluded jobs.

    The arguments are positional, which is faster: each round creates a candidate for each machine.
    """
    return Candidate(
        machine.name,
        machine_type.name,
        machine.zone,
        machine.spot,
        machine_type.cpus - machine.used_cpus,
        machine_type.gpus - machine.used_gpus,
        machine_type.memory_gb - machine.used_memory_gb,
        cached_images,
        fetching_images,
        (),
        bool(machine.tasks),
        machine_type.spot_price if machine.spot else machine_type.price,
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        machine_type.fetch_gb_per_s,
        controllers_elsewhere,
    )
