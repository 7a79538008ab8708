"""Preemption: which lower work is stopped for a job that finds no place, and what is kept for it until then."""

import logging
import random
from dataclasses import replace

from driftcleat.cluster import Batch, Job, Machine
from driftcleat.placement.candidates import allowed, fits, spread_limit
from driftcleat.placement.placement_round import UNBOUNDED
from driftcleat.placement.preemption_plan import PreemptionPlan, plan_preemption
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.placement.victims import PreemptibleTasks
from driftcleat.scheduler.context import INFINITE, SchedulerContext
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.estimates import fetch_s, size
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.reservations import Reservations
from driftcleat.scheduler.round_state import RoundState
from driftcleat.wire.users import JobKind
from driftcleat.wire.workers import TaskPhase

log = logging.getLogger(__name__)

# The lowest urgency that may stop others' work beyond a guarantee.
PREEMPTING_LEVEL = 1
# Stopping a replica is reckoned to lose this many seconds of it: no fetch or restart comes near.
REPLICA_LOSS_S = 1e4
# Reports until what was stopped is seen to be gone; and until a task that was moved runs again.
REPORTS_UNTIL_GONE = 3
REPORTS_UNTIL_RESTART = 2


class Preemption:
    """Displaces lower work, and remembers for whom."""

    def __init__(
        self,
        context: SchedulerContext,
        candidates: MachineCandidates,
        reservations: Reservations,
        drainer: MachineDrainer,
        pacing: RoundPacing,
    ) -> None:
        self._platform, self._tuning, self._cluster = context.platform, context.tuning, context.cluster
        self._rng: random.Random = context.rng
        self._counters = context.counters
        self._candidates, self.reservations = candidates, reservations
        self._drainer, self._pacing = drainer, pacing
        # Until when a job waits for what it displaced, and those that wait where their image is cached.
        self._claims: dict[str, float] = {}
        self._image_claims: set[str] = set()

    def release(self, job_id: str) -> None:
        """A job has found its places, or is over: nothing is kept for it any more."""
        self._claims.pop(job_id, None)
        self._image_claims.discard(job_id)
        self.reservations.release(job_id)

    def waits_for_image(self, job: Job, now: float) -> bool:
        """Whether a job has displaced work where its image is cached, and waits for that to end."""
        if job.id not in self._image_claims:
            return False
        if self._claims.get(job.id, 0.0) > now:
            return True
        self._image_claims.discard(job.id)
        return False

    def make_room_by_image(self, batch: Batch, job: Job, state: RoundState, quota: QuotaHeadroom) -> bool:
        """Stop lower work on machines that have the image, if that loses less than fetching it elsewhere."""
        spec, work = job.spec, state.work
        if spec.kind is not JobKind.SERVICE and spec.tasks > 1:
            return False
        if not quota.fits(spec, 1) or self._claims.get(job.id, 0.0) > state.now:
            return False
        work.max_fetch_rank = UNBOUNDED
        best = work.find_best(spec, spec.zone, lambda candidate: True)
        machine_type = self._cluster.machine_types.get(best.machine_type) if best is not None else None
        if machine_type is None:
            return False
        counts = self._counts_with_image(job, state)
        if sum(counts.values()) >= spec.tasks - job.tasks_done:
            return False
        if not any(spec.image in machine.fetched_images for machine in self._cluster.machines.values()):
            # Guards against a look at every task of thousands of machines for an image that none of them has.
            return False
        fetch = fetch_s(spec, machine_type) * size(spec)
        victims = self._victims(batch, state)
        cached = [machine for machine in victims.machines(job) if spec.image in machine.fetched_images]
        if not self._displace(batch, job, state, cached, fetch * self._tuning.evict, counts):
            return False
        self._image_claims.add(job.id)
        return True

    @staticmethod
    def _counts_with_image(job: Job, state: RoundState) -> dict[str, int]:
        """Return by zone how many of a job's tasks have a place, or find one where its image is."""
        spec = job.spec
        counts = job.placements_by_zone()
        for candidate in state.work.candidates:
            if candidate.fetch_rank(spec.image) == 0 and candidate.allows(spec):
                held = counts.get(candidate.zone, 0)
                more = candidate.capacity(spec, spread_limit(spec) - held)
                counts[candidate.zone] = held + more
        return counts

    def preempt_for(self, batch: Batch, job: Job, state: RoundState) -> None:
        """Make room for a job that found none."""
        if self._claims.get(job.id, 0.0) > state.now:
            return
        if job.id not in state.order.guaranteed and job.priority_level > PREEMPTING_LEVEL:
            return
        if job.is_gang and job.spec.tasks > 1:
            self._displace_for_gang(batch, job, state)
            return
        machines = self._sampled(self._victims(batch, state).machines(job), job.spec.image)
        self._displace(batch, job, state, machines, INFINITE, job.placements_by_zone())

    def _victims(self, batch: Batch, state: RoundState) -> PreemptibleTasks:
        if state.victims is None:
            machines = (
                machine
                for machine in self._cluster.machines.values()
                if machine.tasks and self._candidates.takes_tasks(machine, state.now)
            )
            state.victims = PreemptibleTasks(machines, batch.job, state.order, self._loss)
        return state.victims

    def _sampled(self, machines: list[Machine], image: str) -> list[Machine]:
        """Return a sample of machines; those that have the image come first."""
        most = round(self._tuning.sample)
        if len(machines) <= most:
            return machines
        mixed = self._rng.sample(machines, len(machines))
        return sorted(mixed, key=lambda machine: image not in machine.fetched_images)[:most]

    def _plans(self, batch: Batch, job: Job, state: RoundState, machines: list[Machine]) -> list[PreemptionPlan]:
        """Return on which of these machines how much would have to be stopped for a task, cheapest first.

        A fetch that would follow counts as a cost. Guards against stopping work for a place that then waits for its
        image, beside a machine that has it.
        """
        spec, victims = job.spec, self._victims(batch, state)
        plans: list[PreemptionPlan] = []
        for machine in machines:
            candidate = state.candidate(self._candidates.of, machine)
            plan = plan_preemption(spec, candidate, victims.on(machine, job))
            if plan is not None and machine.type is not None:
                fetch = 0.0 if spec.image in machine.fetched_images else fetch_s(spec, machine.type) * size(spec)
                plans.append(replace(plan, cost=plan.cost + fetch * self._tuning.evict))
        return sorted(plans, key=lambda plan: (plan.cost, plan.candidate.name))

    def _displace(
        self,
        batch: Batch,
        job: Job,
        state: RoundState,
        machines: list[Machine],
        most_cost: float,
        counts: dict[str, int],
    ) -> bool:
        """Stop the cheapest work that the rules let this job displace on these machines, for several tasks.

        `counts` says how many of its tasks have a place, or will have, by zone.
        """
        per_zone, lacking = spread_limit(job.spec), job.spec.tasks - job.tasks_done - sum(counts.values())
        zone = next(iter(counts), None) if job.spec.single_zone else None
        stopped = False
        for plan in self._plans(batch, job, state, machines):
            if not plan.victims or plan.cost > most_cost:
                continue
            there = plan.candidate.zone
            if counts.get(there, 0) >= per_zone or zone not in (None, there):
                continue
            if not self._carry_out(batch, job, state, plan):
                break
            stopped = True
            counts[there] = counts.get(there, 0) + 1
            zone = there if job.spec.single_zone else None
            lacking -= 1
            if lacking <= 0:
                break
        return stopped

    def _displace_for_gang(self, batch: Batch, job: Job, state: RoundState) -> None:
        """Keep what is free in the zone where the rest costs least, and stop lower work for what lacks.

        Guards against two things seen at size: gangs of several tasks displaced nobody, and the machines that
        came free one by one went to smaller jobs behind them.
        """
        plans = self._cheapest_zone(batch, job, state)
        if plans is None:
            return
        until = self._claim_until(state.now, plans)
        for plan in plans:
            if plan.victims and not self._carry_out(batch, job, state, plan):
                # What did not fit into this batch follows in the next one; what is kept stays kept.
                self._claims.pop(job.id, None)
                return
            self._reserve(plan, job, until)
        self._claims[job.id] = until

    def _cheapest_zone(self, batch: Batch, job: Job, state: RoundState) -> list[PreemptionPlan] | None:
        """Return a plan for each task of a gang that lacks a machine, in the zone where they cost least."""
        best: tuple[float, list[PreemptionPlan]] | None = None
        for machines in self._machines_by_zone(job, state.now).values():
            coming = [machine for machine in machines if self.reservations.is_for(machine.name, job.id)]
            need = job.tasks_queued - len(coming)
            plans = self._plans(batch, job, state, [machine for machine in machines if machine not in coming])
            if len(plans) < need:
                continue
            cost = sum(plan.cost for plan in plans[:need])
            if best is None or cost < best[0]:
                best = (cost, plans[:need])
        return best[1] if best is not None else None

    def _machines_by_zone(self, job: Job, now: float) -> dict[str, list[Machine]]:
        """Return the machines that a gang could use, by zone if it wants only one."""
        spec = job.spec
        by_zone: dict[str, list[Machine]] = {}
        for machine in self._cluster.machines.values():
            machine_type = machine.type
            if (
                machine_type is not None
                and fits(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
                and allowed(spec, machine_type.name, machine.zone, machine.spot)
                and self._candidates.takes_tasks(machine, now)
            ):
                by_zone.setdefault(machine.zone if spec.single_zone else "", []).append(machine)
        return by_zone

    def _claim_until(self, now: float, plans: list[PreemptionPlan]) -> float:
        """Return until when what is stopped is reckoned to be gone and seen to be."""
        save_s = max(
            (victim.job.spec.checkpoint_duration_s for plan in plans for victim in plan.victims), default=0.0
        )
        return now + self._platform.report_s * REPORTS_UNTIL_GONE + save_s

    def _carry_out(self, batch: Batch, job: Job, state: RoundState, plan: PreemptionPlan) -> bool:
        """Stop a plan's tasks and keep what they free for the job; False if the batch is too full."""
        if len(plan.victims) * 2 > batch.operations_left:
            self._pacing.request_round()
            return False
        for victim in plan.victims:
            if not self._drainer.stop_attempt(batch, batch.job(victim.job.id) or victim.job, victim.index):
                self._pacing.request_round()
                return False
            self._counters.preempted += 1
        displaced = [victim.job.id for victim in plan.victims]
        log.debug("job %s displaces %s on %s", job.id, displaced, plan.candidate.name)
        until = self._claim_until(state.now, [plan])
        self._claims[job.id] = until
        self._reserve(plan, job, until)
        self._victims(batch, state).exclude(self._cluster.machines[plan.candidate.name])
        return True

    def _reserve(self, plan: PreemptionPlan, job: Job, until: float) -> None:
        self.reservations.reserve(plan.candidate.name, job.id, until)
        plan.candidate.reserved_for = job.id

    def _loss(self, job: Job, machine: Machine, key: tuple[str, int]) -> float:
        """Estimate what a stop loses, in seconds of all that the task takes.

        A fetch under way is lost whole; so may be what a running task has fetched, if it goes elsewhere.
        """
        spec = job.spec
        weight = size(spec)
        if spec.kind is JobKind.SERVICE:
            return weight * REPLICA_LOSS_S
        fetched_s = fetch_s(spec, machine.type) if machine.type is not None else spec.image_gb
        restart_s = self._platform.report_s * REPORTS_UNTIL_RESTART
        if machine.task_phases.get(key, TaskPhase.FETCHING) == TaskPhase.FETCHING:
            return weight * (restart_s + fetched_s)
        again_s = restart_s + fetched_s * self._tuning.refetch
        return weight * (
            again_s + (spec.checkpoint_duration_s if spec.checkpoint_interval_s > 0 else spec.estimated_run_s)
        )
