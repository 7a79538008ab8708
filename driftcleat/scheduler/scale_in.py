"""Surplus: machines that are to be returned, since they are idle, late, silent or no longer of use."""

from dataclasses import replace

from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan
from driftcleat.cluster import JobState, Machine, MachineState
from driftcleat.placement.candidates import ROUNDING_TOLERANCE, Candidate, Resources, spread_limit
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.reachability import Reachability
from driftcleat.wire.users import JobKind, JobSpec
from driftcleat.wire.workers import TaskPhase

# What has less free than this is no candidate for the work of others.
SOME_GPUS = Resources(0.0, ROUNDING_TOLERANCE * 2, 0.0)
# If more of the machines do not acknowledge us, and more than a few, it is most likely we who are too slow.
UNRESPONSIVE_SHARE = 3
UNRESPONSIVE_FEW = 2
# A machine more than half used is left alone.
MOST_USED = 0.5 + ROUNDING_TOLERANCE


class ScaleInPlanner:
    """Finds machines to return, and one at a time whose work would fit elsewhere."""

    def __init__(self, context: SchedulerContext, candidates: MachineCandidates, reachability: Reachability) -> None:
        self._platform, self._tuning, self._cluster = context.platform, context.tuning, context.cluster
        self._candidates, self._reachability = candidates, reachability

    def select(self, plan: CapacityPlan, in_flight: set[str], now: float, failures: FailureDetector) -> list[Machine]:
        """Return machines that are to be returned: idle, drained, late or silent.

        Those `in_flight` change in the batch under way.
        """
        settled = now - self._cluster.started_at > self._platform.lease_s
        fits_elsewhere = self._fitting_elsewhere(failures, now)
        blame_ourselves = self._many_unresponsive(now)
        out: list[Machine] = []
        for machine in self._cluster.machines.values():
            if self._plainly_at_work(machine, failures, now):
                continue
            if machine.state in (MachineState.TERMINATING, MachineState.TERMINATED) or machine.name in in_flight:
                continue
            if machine.state is MachineState.BOOTING and machine.listed_running_since is None:
                late = now - machine.created_at > self._boot_s(machine) * self._tuning.late
                if settled and late:
                    out.append(machine)
            elif (silent_s := self._reachability.silent_s(machine, now)) > failures.alone_s:
                given_up = silent_s > failures.tolerated_s(machine.zone) or machine.name in fits_elsewhere
                if settled and given_up:
                    out.append(machine)
            elif machine.state is MachineState.BOOTING:
                continue
            elif self._reachability.is_unresponsive(machine, now):
                if settled and not blame_ourselves:
                    out.append(machine)
            elif self._is_idle(machine, plan, now):
                out.append(machine)
        return out

    @staticmethod
    def _plainly_at_work(machine: Machine, failures: FailureDetector, now: float) -> bool:
        """Whether a machine is heard, acknowledges us and has work: most are like that, most of the time."""
        return (
            machine.state is MachineState.UP
            and bool(machine.tasks)
            and not machine.unacknowledged_responses
            and machine.last_heartbeat is not None
            and now - machine.last_heartbeat_at <= failures.alone_s
        )

    def _boot_s(self, machine: Machine) -> float:
        return machine.type.boot_s if machine.type is not None else self._platform.lease_s

    def _is_idle(self, machine: Machine, plan: CapacityPlan, now: float) -> bool:
        if machine.tasks:
            return False
        if machine.state is MachineState.DRAINING:
            return True
        return (
            machine.name not in plan.machines_in_use
            and now - machine.idle_since > self._boot_s(machine) * self._tuning.idle
        )

    def _many_unresponsive(self, now: float) -> bool:
        """Whether so many machines acknowledge nothing that it is more likely we who are too slow."""
        up = unresponsive = 0
        for machine in self._cluster.machines.values():
            if machine.state not in (MachineState.UP, MachineState.DRAINING):
                continue
            up += 1
            if machine.unacknowledged_responses and self._reachability.is_unresponsive(machine, now):
                unresponsive += 1
        return unresponsive > max(UNRESPONSIVE_FEW, up // UNRESPONSIVE_SHARE)

    def _fitting_elsewhere(self, failures: FailureDetector, now: float) -> set[str]:
        """Return machines that fell silent with many others and whose work finds room, images and all, on machines
        that are heard.

        To wait for them would help nobody; where the image is missing, they are likely back before it is fetched.
        Guards against lost work that waits although there is room for it. In a zone that is partitioned as a whole
        the work may well go on, if there is a controller in it that answers reports.
        """
        given_up = [
            machine
            for machine in self._cluster.machines.values()
            if self._reachability.is_running(machine)
            and failures.correlated(machine.zone)
            and not (failures.partitioned(machine.zone) and self._platform.controllers_in(machine.zone))
            and failures.alone_s < self._reachability.silent_s(machine, now) <= failures.correlated_s
        ]
        if not given_up:
            return set()
        by_image: dict[str, list[Candidate]] = {}
        for candidate in self._candidates.all(now, SOME_GPUS):
            for image in self._cluster.machines[candidate.name].fetched_images:
                by_image.setdefault(image, []).append(candidate)
        return {machine.name for machine in given_up if self._take_all(machine, by_image)}

    def _take_all(self, machine: Machine, by_image: dict[str, list[Candidate]]) -> bool:
        """Find a place where the image is for each task of a machine; what it takes is used up."""
        for spec in self._active_specs(machine):
            found = next(
                (
                    candidate
                    for candidate in by_image.get(spec.image, ())
                    if candidate.fits(spec) and candidate.allows(spec)
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

    def consolidation_candidate(self, in_flight: set[str], now: float) -> Machine | None:
        """Return a machine whose few replicas fit, images and all, on machines that others leave room on.

        Services last longer than what ran beside them; each left alone on a machine keeps all of it rented.
        Draining it moves them: allowed by the protocol, and they are away for about one report interval.
        """
        if not self._may_consolidate(now):
            return None
        best: Machine | None = None
        best_cost = 0.0
        busy: list[Candidate] | None = None
        for machine in self._cluster.machines.values():
            if not self._is_settled(machine, in_flight, now):
                continue
            wasted = self._wasted(machine)
            if wasted is None or wasted <= best_cost:
                continue
            if busy is None:
                busy = [candidate for candidate in self._candidates.all(now, SOME_GPUS) if candidate.busy]
            if self._fits_on(machine, busy):
                best, best_cost = machine, wasted
        return best

    def _may_consolidate(self, now: float) -> bool:
        """Whether nothing else is under way: no work is queued, no machine drains, and the term has settled."""
        if now - self._cluster.started_at <= self._platform.lease_s:
            return False
        if any(job.tasks_queued for job in self._cluster.jobs.values()):
            return False
        return all(machine.state is not MachineState.DRAINING for machine in self._cluster.machines.values())

    def _is_settled(self, machine: Machine, in_flight: set[str], now: float) -> bool:
        return (
            machine.state is MachineState.UP
            and machine.type is not None
            and bool(machine.tasks)
            and machine.name not in in_flight
            and now - machine.tasks_changed_at >= machine.type.boot_s * self._tuning.consolidate
        )

    def _wasted(self, machine: Machine) -> float | None:
        """Return what an hour of a machine's unused part costs; None if it is more than half used."""
        machine_type = machine.type
        if machine_type is None:
            return None
        jobs = self._cluster.jobs
        specs = [jobs[key[0]].spec for key in machine.tasks if key[0] in jobs]
        used = max(
            (
                sum(need) / whole
                for need, whole in (
                    ((spec.cpus for spec in specs), machine_type.cpus),
                    ((spec.gpus for spec in specs), machine_type.gpus),
                    ((spec.memory_gb for spec in specs), machine_type.memory_gb),
                )
                if whole > 0
            ),
            default=1.0,
        )
        if used > MOST_USED:
            return None
        return (1.0 - used) * (machine_type.spot_price if machine.spot else machine_type.price)

    def _fits_on(self, machine: Machine, busy: list[Candidate]) -> bool:
        """Whether all of a machine's tasks are replicas that run and find a place on other busy machines."""
        others = [replace(candidate) for candidate in busy if candidate.name != machine.name]
        for job_id, index in machine.tasks:
            job = self._cluster.jobs.get(job_id)
            if job is None or job.state is not JobState.ACTIVE or job.spec.kind is not JobKind.SERVICE:
                return False
            if machine.task_phases.get((job_id, index)) != TaskPhase.RUNNING or job.spec.single_zone:
                return False
            counts = job.placements_by_zone()
            counts[machine.zone] -= 1
            found = _place_for(job.spec, others, counts)
            if found is None:
                return False
            found.allocate(job.spec)
        return True


def _place_for(spec: JobSpec, candidates: list[Candidate], counts: dict[str, int]) -> Candidate | None:
    """Return the first candidate that has the image and takes a task, with so many others in each zone."""
    return next(
        (
            candidate
            for candidate in candidates
            if candidate.fits(spec)
            and candidate.allows(spec)
            and candidate.fetch_rank(spec.image) == 0
            and counts.get(candidate.zone, 0) < spread_limit(spec)
        ),
        None,
    )
