"""Preemption: stops tasks of lower-ranked jobs for a job that was not placed, and reserves what they free for it."""

from driftcleat.cluster import Batch, Job, Machine
from driftcleat.placement.candidates import spread_limit
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.estimates import fetch_s, task_weight
from driftcleat.scheduler.gang_preemption import GangPreemption
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.nominations import Nominations
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.preemption_execution import PreemptionExecutor
from driftcleat.scheduler.preemption_planning import PreemptionPlanner
from driftcleat.scheduler.reservations import Reservations
from driftcleat.scheduler.round_state import RoundState
from driftcleat.wire.users import JobKind

# Least urgent priority level at which a job may preempt beyond its team's guarantee.
LEAST_URGENT_PREEMPTING_LEVEL = 1


class Preemption:
    """Decides for which jobs tasks are preempted, and on which machines."""

    def __init__(
        self,
        context: SchedulerContext,
        candidates: MachineCandidates,
        reservations: Reservations,
        drainer: MachineDrainer,
        pacing: RoundPacing,
    ) -> None:
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._rng = context.rng
        self.reservations = reservations
        self._nominations = Nominations(reservations)
        self._planner = PreemptionPlanner(context, candidates)
        self._executor = PreemptionExecutor(context, self._planner, self._nominations, drainer, pacing)
        self._gangs = GangPreemption(context, candidates, self._planner, self._executor, self._nominations)

    def release(self, job_id: str) -> None:
        """Drop the nomination and the reservations of a job that is placed or has ended."""
        self._nominations.release(job_id)

    def waits_for_image(self, job: Job, now: float) -> bool:
        """Return whether a job waits for victims on a machine that has its image cached."""
        return self._nominations.waits_for_image(job.id, now)

    def preempt_for(self, batch: Batch, job: Job, state: RoundState) -> None:
        """Preempt for a job that was not placed in this round, if its guarantee or priority permits it."""
        if self._nominations.is_pending(job.id, state.now):
            return
        if job.id not in state.order.guaranteed and job.priority_level > LEAST_URGENT_PREEMPTING_LEVEL:
            return
        if job.is_gang and job.spec.tasks > 1:
            self._gangs.preempt_for(batch, job, state)
            return
        machines = self._sample(self._planner.preemptible(batch, state).machines(job), job.spec.image)
        self._preempt_on(batch, job, state, machines, INFINITE, job.placements_by_zone())

    def preempt_where_image_is_cached(self, batch: Batch, job: Job, state: RoundState, quota: QuotaHeadroom) -> bool:
        """Preempt on machines that have the job's image, if that costs less than fetching the image elsewhere.

        The fetch cost is scaled by `image_preemption_cost_ratio`. Return whether a task was preempted; the job then
        waits for its resources.
        """
        spec = job.spec
        if not self._may_wait_for_image(job, state, quota):
            return False
        best = state.placement_round.find_best(spec, spec.zone, lambda candidate: True)
        machine_type = self._cluster.machine_types.get(best.machine_type) if best is not None else None
        if machine_type is None:
            return False
        counts = _counts_with_image(job, state)
        if sum(counts.values()) >= spec.tasks - job.tasks_done or not self._is_fetched_anywhere(spec.image):
            return False
        max_cost = fetch_s(spec, machine_type) * task_weight(spec) * self._tuning.image_preemption_cost_ratio
        preemptible = self._planner.preemptible(batch, state).machines(job)
        machines = [machine for machine in preemptible if spec.image in machine.fetched_images]
        if not self._preempt_on(batch, job, state, machines, max_cost, counts):
            return False
        self._nominations.nominate_for_image(job.id)
        return True

    def _may_wait_for_image(self, job: Job, state: RoundState, quota: QuotaHeadroom) -> bool:
        """Return whether a job is a service or has one task, is within its quota and has no pending preemption."""
        spec = job.spec
        if spec.kind is not JobKind.SERVICE and spec.tasks > 1:
            return False
        return quota.fits(spec, 1) and not self._nominations.is_pending(job.id, state.now)

    def _is_fetched_anywhere(self, image: str) -> bool:
        """Return whether any machine has an image.

        This check avoids a search through every task of thousands of machines for an image that none of them has.
        """
        return any(image in machine.fetched_images for machine in self._cluster.machines.values())

    def _sample(self, machines: list[Machine], image: str) -> list[Machine]:
        """Return a random sample of the machines in which those that have the image come first."""
        max_machines = round(self._tuning.placement_sample_machines)
        if len(machines) <= max_machines:
            return machines
        shuffled = self._rng.sample(machines, len(machines))
        return sorted(shuffled, key=lambda machine: image not in machine.fetched_images)[:max_machines]

    def _preempt_on(
        self,
        batch: Batch,
        job: Job,
        state: RoundState,
        machines: list[Machine],
        max_cost: float,
        counts: dict[str, int],
    ) -> bool:
        """Preempt on these machines for a job's tasks, the cheapest plan first, at a cost of at most `max_cost` each.

        `counts` holds by zone the number of the job's tasks that are placed or about to be; it is updated. Return
        whether a task was preempted.
        """
        max_per_zone = spread_limit(job.spec)
        missing = job.spec.tasks - job.tasks_done - sum(counts.values())
        required_zone = next(iter(counts), None) if job.spec.single_zone else None
        preempted = False
        for plan in self._planner.plans(batch, job, state, machines):
            if not plan.victims or plan.cost > max_cost:
                continue
            zone = plan.candidate.zone
            if counts.get(zone, 0) >= max_per_zone or required_zone not in (None, zone):
                continue
            if not self._executor.execute(batch, job, state, plan):
                break
            preempted = True
            counts[zone] = counts.get(zone, 0) + 1
            required_zone = zone if job.spec.single_zone else None
            missing -= 1
            if missing <= 0:
                break
        return preempted


def _counts_with_image(job: Job, state: RoundState) -> dict[str, int]:
    """Return by zone how many of a job's tasks are placed, or fit on machines that have or are fetching the image."""
    spec = job.spec
    counts = job.placements_by_zone()
    for candidate in state.placement_round.candidates:
        if candidate.fetch_rank(spec.image) == 0 and candidate.satisfies_constraints(spec):
            in_zone = counts.get(candidate.zone, 0)
            more = candidate.task_capacity(spec, spread_limit(spec) - in_zone)
            counts[candidate.zone] = in_zone + more
    return counts
