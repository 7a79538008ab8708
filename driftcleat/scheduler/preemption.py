"""Preemption: lower work is stopped for a job that is not placed, and what it frees is reserved for that job."""

from driftcleat.cluster import Batch, Job, Machine
from driftcleat.placement.candidates import spread_limit
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.estimates import fetch_s, size
from driftcleat.scheduler.gang_preemption import GangPreemption
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.nominations import Nominations
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.preemption_execution import PreemptionExecutor
from driftcleat.scheduler.preemption_planning import PreemptionPlanner
from driftcleat.scheduler.reservations import Reservations
from driftcleat.scheduler.round_state import RoundState
from driftcleat.wire.users import JobKind

# The least urgent priority level that may preempt beyond its team's guarantee.
PREEMPTING_LEVEL = 1


class Preemption:
    """Decides for which jobs to preempt, and on which machines."""

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
        """Forget a job that is placed or over, and release what is reserved for it."""
        self._nominations.release(job_id)

    def waits_for_image(self, job: Job, now: float) -> bool:
        """Tell whether work was preempted for a job where its image is cached, and is expected to end yet."""
        return self._nominations.waits_for_image(job.id, now)

    def preempt_for(self, batch: Batch, job: Job, state: RoundState) -> None:
        """Preempt for a job that was not placed in this round, if it may."""
        if self._nominations.is_pending(job.id, state.now):
            return
        if job.id not in state.order.guaranteed and job.priority_level > PREEMPTING_LEVEL:
            return
        if job.is_gang and job.spec.tasks > 1:
            self._gangs.preempt_for(batch, job, state)
            return
        machines = self._sample(self._planner.preemptible(batch, state).machines(job), job.spec.image)
        self._preempt_on(batch, job, state, machines, INFINITE, job.placements_by_zone())

    def preempt_where_image_is_cached(self, batch: Batch, job: Job, state: RoundState, quota: QuotaHeadroom) -> bool:
        """Preempt on machines that have the image, if that loses less than fetching it elsewhere.

        Return whether anything was preempted: the job then waits for it.
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
        max_cost = fetch_s(spec, machine_type) * size(spec) * self._tuning.image_preemption_cost_ratio
        preemptible = self._planner.preemptible(batch, state).machines(job)
        machines = [machine for machine in preemptible if spec.image in machine.fetched_images]
        if not self._preempt_on(batch, job, state, machines, max_cost, counts):
            return False
        self._nominations.nominate_for_image(job.id)
        return True

    def _may_wait_for_image(self, job: Job, state: RoundState, quota: QuotaHeadroom) -> bool:
        """Tell whether a job is a service or has a single task, is within its quota, and waits for no victims yet."""
        spec = job.spec
        if spec.kind is not JobKind.SERVICE and spec.tasks > 1:
            return False
        return quota.fits(spec, 1) and not self._nominations.is_pending(job.id, state.now)

    def _is_fetched_anywhere(self, image: str) -> bool:
        """Tell whether any machine has an image.

        Guards against a look at every task of thousands of machines for an image that none of them has.
        """
        return any(image in machine.fetched_images for machine in self._cluster.machines.values())

    def _sample(self, machines: list[Machine], image: str) -> list[Machine]:
        """Return a random sample of machines, those that have the image first."""
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
        """Preempt on these machines for a job's tasks, cheapest first, at `max_cost` at most for each.

        `counts` is by zone the number of its tasks that are placed, or will be; it is updated. Return whether
        anything was preempted.
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
    """Return by zone how many of a job's tasks are placed, or fit where their image is cached or on its way."""
    spec = job.spec
    counts = job.placements_by_zone()
    for candidate in state.placement_round.candidates:
        if candidate.fetch_rank(spec.image) == 0 and candidate.satisfies_constraints(spec):
            in_zone = counts.get(candidate.zone, 0)
            more = candidate.task_capacity(spec, spread_limit(spec) - in_zone)
            counts[candidate.zone] = in_zone + more
    return counts
