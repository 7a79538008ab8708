"""Scale-in: selects machines to delete because they are idle, late to boot, presumed lost or unresponsive."""

from dataclasses import dataclass

from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan
from driftcleat.cluster import JobState, Machine, MachineState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE, Candidate, Resources
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.reachability import Reachability
from driftcleat.wire.users import JobSpec

# Machines with fewer free GPUs than this are not considered for the work of other machines.
MIN_FREE_GPUS = Resources(0.0, ROUNDING_TOLERANCE * 2, 0.0)
# Unresponsive machines are not deleted if they are more than one in this many, and more than a minimum: the cause is
# then most likely that this controller is too slow, not a fault of the machines.
TOLERATED_UNRESPONSIVE_DIVISOR = 3
TOLERATED_UNRESPONSIVE_MACHINES = 2


@dataclass(frozen=True, slots=True)
class FleetView:
    """Facts about the whole fleet that hold during one selection of machines."""

    plan: CapacityPlan
    failure_detector: FailureDetector
    now: float
    # Whether all machines have had time to send a heartbeat in this term.
    term_older_than_lease: bool
    # Names of the machines that are presumed lost early, since their work fits elsewhere.
    replaceable: set[str]
    # Whether so many machines are unresponsive that the cause is most likely this controller, not the machines.
    many_unresponsive: bool


class ScaleInPlanner:
    """Selects the machines to delete."""

    def __init__(self, context: SchedulerContext, candidates: MachineCandidates, reachability: Reachability) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._candidates = candidates
        self._reachability = reachability

    def select(
        self, plan: CapacityPlan, in_flight: set[str], now: float, failure_detector: FailureDetector
    ) -> list[Machine]:
        """Return the machines to delete: idle, drained, late to boot, presumed lost or unresponsive.

        Machines `in_flight` are left out, since the batch in flight places or stops tasks on them.
        """
        view = FleetView(
            plan,
            failure_detector,
            now,
            term_older_than_lease=now - self._cluster.started_at > self._platform.lease_s,
            replaceable=self._replaceable(failure_detector, now),
            many_unresponsive=self._are_many_unresponsive(now),
        )
        return [
            machine
            for machine in self._cluster.machines.values()
            if not self._is_healthy_and_in_use(machine, failure_detector, now)
            and machine.state not in (MachineState.TERMINATING, MachineState.TERMINATED)
            and machine.name not in in_flight
            and self._is_surplus(machine, view)
        ]

    @staticmethod
    def _is_healthy_and_in_use(machine: Machine, failure_detector: FailureDetector, now: float) -> bool:
        """Return whether a machine is up, sends heartbeats, acknowledges responses and has tasks, as most do."""
        return (
            machine.state is MachineState.UP
            and bool(machine.tasks)
            and not machine.unacknowledged_responses
            and machine.last_heartbeat is not None
            and now - machine.last_heartbeat_at <= failure_detector.isolated_timeout_s
        )

    def _is_surplus(self, machine: Machine, view: FleetView) -> bool:
        now = view.now
        if machine.state is MachineState.BOOTING and machine.listed_running_since is None:
            return (
                view.term_older_than_lease
                and now - machine.created_at > self._boot_s(machine) * self._tuning.boot_timeout_boot_times
            )
        heartbeat_age_s = self._reachability.heartbeat_age_s(machine, now)
        if heartbeat_age_s > view.failure_detector.isolated_timeout_s:
            presumed_lost = (
                heartbeat_age_s > view.failure_detector.heartbeat_timeout_s(machine.zone)
                or machine.name in view.replaceable
            )
            return view.term_older_than_lease and presumed_lost
        if machine.state is MachineState.BOOTING:
            return False
        if self._reachability.is_unresponsive(machine, now):
            return view.term_older_than_lease and not view.many_unresponsive
        return self._is_idle(machine, view.plan, now)

    def _boot_s(self, machine: Machine) -> float:
        return machine.type.boot_s if machine.type is not None else self._platform.lease_s

    def _is_idle(self, machine: Machine, plan: CapacityPlan, now: float) -> bool:
        """Return whether a machine has no task and is drained, or is unused by the plan and idle for long enough."""
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
        return unresponsive > max(TOLERATED_UNRESPONSIVE_MACHINES, up // TOLERATED_UNRESPONSIVE_DIVISOR)

    def _replaceable(self, failure_detector: FailureDetector, now: float) -> set[str]:
        """Return machines that miss heartbeats with many others and whose work fits on machines with its images.

        Waiting for such machines would only keep their work queued although there is room for it. If the images had
        to be fetched, the machines would likely be back sooner. A partitioned zone with a controller in it is left
        out, since its work may continue while that controller responds to heartbeats.
        """
        missing = [
            machine
            for machine in self._cluster.machines.values()
            if self._reachability.is_running(machine)
            and failure_detector.is_correlated(machine.zone)
            and not (failure_detector.is_partitioned(machine.zone) and self._platform.controllers_in(machine.zone))
            and failure_detector.isolated_timeout_s
            < self._reachability.heartbeat_age_s(machine, now)
            <= failure_detector.correlated_timeout_s
        ]
        if not missing:
            return set()
        by_image: dict[str, list[Candidate]] = {}
        for candidate in self._candidates.available(now, MIN_FREE_GPUS):
            for image in self._cluster.machines[candidate.name].fetched_images:
                by_image.setdefault(image, []).append(candidate)
        return {machine.name for machine in missing if self._fits_elsewhere(machine, by_image)}

    def _fits_elsewhere(self, machine: Machine, by_image: dict[str, list[Candidate]]) -> bool:
        """Return whether each task of a machine fits a candidate with its image, and allocate those found."""
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
