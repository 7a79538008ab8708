"""Scale-in: machines to return, since they are idle, late to boot, silent or unresponsive."""

from dataclasses import dataclass

from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan
from driftcleat.cluster import JobState, Machine, MachineState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE, Candidate, Resources
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.reachability import Reachability
from driftcleat.wire.users import JobSpec

# Machines with less free than this are no candidates for the work of others.
SOME_GPUS = Resources(0.0, ROUNDING_TOLERANCE * 2, 0.0)
# If more than one in so many machines is unresponsive, and more than a few, it is most likely we who are too slow.
UNRESPONSIVE_ONE_IN = 3
UNRESPONSIVE_FEW = 2


@dataclass(frozen=True, slots=True)
class FleetView:
    """What holds for the whole fleet while machines to return are selected."""

    plan: CapacityPlan
    failures: FailureDetector
    now: float
    # Whether the term is older than a lease: machines have had the time to be heard.
    settled: bool
    # Names of the machines that are given up early, since their work fits elsewhere.
    replaceable: set[str]
    # Whether so many machines acknowledge nothing that it is more likely we who are too slow.
    many_unresponsive: bool


class ScaleInPlanner:
    """Selects machines to return."""

    def __init__(self, context: SchedulerContext, candidates: MachineCandidates, reachability: Reachability) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._candidates = candidates
        self._reachability = reachability

    def select(self, plan: CapacityPlan, in_flight: set[str], now: float, failures: FailureDetector) -> list[Machine]:
        """Return machines that are to be returned: idle, drained, late to boot, silent or unresponsive.

        Those `in_flight` change in the batch in flight, and are left out.
        """
        view = FleetView(
            plan,
            failures,
            now,
            settled=now - self._cluster.started_at > self._platform.lease_s,
            replaceable=self._replaceable(failures, now),
            many_unresponsive=self._are_many_unresponsive(now),
        )
        return [
            machine
            for machine in self._cluster.machines.values()
            if not self._is_plainly_in_use(machine, failures, now)
            and machine.state not in (MachineState.TERMINATING, MachineState.TERMINATED)
            and machine.name not in in_flight
            and self._is_surplus(machine, view)
        ]

    @staticmethod
    def _is_plainly_in_use(machine: Machine, failures: FailureDetector, now: float) -> bool:
        """Tell whether a machine is heard, acknowledges us and has work: most do, most of the time."""
        return (
            machine.state is MachineState.UP
            and bool(machine.tasks)
            and not machine.unacknowledged_responses
            and machine.last_heartbeat is not None
            and now - machine.last_heartbeat_at <= failures.isolated_timeout_s
        )

    def _is_surplus(self, machine: Machine, view: FleetView) -> bool:
        now = view.now
        if machine.state is MachineState.BOOTING and machine.listed_running_since is None:
            return (
                view.settled
                and now - machine.created_at > self._boot_s(machine) * self._tuning.boot_timeout_boot_times
            )
        silent_s = self._reachability.silent_s(machine, now)
        if silent_s > view.failures.isolated_timeout_s:
            given_up = silent_s > view.failures.heartbeat_timeout_s(machine.zone) or machine.name in view.replaceable
            return view.settled and given_up
        if machine.state is MachineState.BOOTING:
            return False
        if self._reachability.is_unresponsive(machine, now):
            return view.settled and not view.many_unresponsive
        return self._is_idle(machine, view.plan, now)

    def _boot_s(self, machine: Machine) -> float:
        return machine.type.boot_s if machine.type is not None else self._platform.lease_s

    def _is_idle(self, machine: Machine, plan: CapacityPlan, now: float) -> bool:
        """Tell whether a machine has no task, and is drained, or unused by the plan and idle for long enough."""
        if machine.tasks:
            return False
        if machine.state is MachineState.DRAINING:
            return True
        return (
            machine.name not in plan.machines_in_use
            and now - machine.idle_since > self._boot_s(machine) * self._tuning.idle_timeout_boot_times
        )

    def _are_many_unresponsive(self, now: float) -> bool:
        up = 0
        unresponsive = 0
        for machine in self._cluster.machines.values():
            if machine.state not in (MachineState.UP, MachineState.DRAINING):
                continue
            up += 1
            if machine.unacknowledged_responses and self._reachability.is_unresponsive(machine, now):
                unresponsive += 1
        return unresponsive > max(UNRESPONSIVE_FEW, up // UNRESPONSIVE_ONE_IN)

    def _replaceable(self, failures: FailureDetector, now: float) -> set[str]:
        """Return machines that fell silent with many others, and whose work fits elsewhere where its images are.

        Waiting for them helps nobody; where the image is missing, they are likely back before it is fetched. Guards
        against lost work that stays queued although there is room for it. In a zone that is partitioned as a whole
        the work may well go on, if a controller in it answers heartbeats.
        """
        silent = [
            machine
            for machine in self._cluster.machines.values()
            if self._reachability.is_running(machine)
            and failures.is_correlated(machine.zone)
            and not (failures.is_partitioned(machine.zone) and self._platform.controllers_in(machine.zone))
            and failures.isolated_timeout_s
            < self._reachability.silent_s(machine, now)
            <= failures.correlated_timeout_s
        ]
        if not silent:
            return set()
        by_image: dict[str, list[Candidate]] = {}
        for candidate in self._candidates.all(now, SOME_GPUS):
            for image in self._cluster.machines[candidate.name].fetched_images:
                by_image.setdefault(image, []).append(candidate)
        return {machine.name for machine in silent if self._fits_elsewhere(machine, by_image)}

    def _fits_elsewhere(self, machine: Machine, by_image: dict[str, list[Candidate]]) -> bool:
        """Find a candidate with the image for each task of a machine; what is found is allocated."""
        for spec in self._active_specs(machine):
            found = next(
                (
                    candidate
                    for candidate in by_image.get(spec.image, ())
                    if candidate.fits(spec) and candidate.satisfies_constraints(spec)
                ),
                None,
            )
            if found is None:
                return False
            found.allocate(spec)
        return True

    def _active_specs(self, machine: Machine) -> list[JobSpec]:
        jobs = (self._cluster.jobs.get(job_id) for job_id, _ in machine.tasks)
        return [job.spec for job in jobs if job is not None and job.state is JobState.ACTIVE]
