"""Preemption planning: which tasks to preempt on a machine for one task of a job, and at what cost."""

from dataclasses import replace

from driftcleat.cluster import Batch, Job, Machine
from driftcleat.cluster.machines import TaskKey
from driftcleat.placement.preemption_plan import PreemptionPlan, plan_preemption
from driftcleat.placement.victims import PreemptibleTasks
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.estimates import fetch_s, task_weight
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.round_state import RoundState
from driftcleat.wire.users import JobKind
from driftcleat.wire.workers import TaskPhase

# Looked up once: looking up an enum member for every task takes several times as long as the comparison with it.
FETCHING = TaskPhase.FETCHING

# Seconds of work that the preemption of a service's replica counts as lost: more than any image fetch and restart.
REPLICA_LOSS_S = 1e4
# Heartbeat intervals until a preempted task runs elsewhere.
HEARTBEAT_INTERVALS_UNTIL_RESTART = 2


class PreemptionPlanner:
    """Plans preemptions within a placement round and estimates their costs."""

    def __init__(self, context: SchedulerContext, candidates: MachineCandidates) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        self._candidates = candidates

    def preemptible(self, batch: Batch, state: RoundState) -> PreemptibleTasks:
        """Return the preemptible tasks; they are collected once per round and cached in `state`."""
        if state.preemptible is None:
            machines = (
                machine
                for machine in self._cluster.machines.values()
                if machine.tasks and self._candidates.takes_tasks(machine, state.now)
            )
            state.preemptible = PreemptibleTasks(machines, batch.job, state.order, self._preemption_cost)
        return state.preemptible

    def plans(self, batch: Batch, job: Job, state: RoundState, machines: list[Machine]) -> list[PreemptionPlan]:
        """Return a plan for one task on each of these machines where one is possible, the cheapest first.

        The cost includes the image fetch that would follow, so that a machine that has the image is preferred to one
        that must fetch it.
        """
        spec = job.spec
        preemptible = self.preemptible(batch, state)
        plans: list[PreemptionPlan] = []
        for machine in machines:
            machine_type = machine.type
            if machine_type is None:
                continue
            candidate = state.candidate(machine, machine_type)
            plan = plan_preemption(spec, candidate, preemptible.victims(machine, job))
            if plan is not None:
                is_cached = spec.image in machine.fetched_images
                fetch_cost = 0.0 if is_cached else fetch_s(spec, machine_type) * task_weight(spec)
                plans.append(replace(plan, cost=plan.cost + fetch_cost * self._tuning.image_preemption_cost_ratio))
        return sorted(plans, key=lambda plan: (plan.cost, plan.candidate.name))

    def _preemption_cost(self, job: Job, machine: Machine, key: TaskKey) -> float:
        """Estimate the cost of preempting a task: the seconds lost, times the weight of the task.

        An image fetch in progress counts in full. For a running task a share of the fetch counts, since the task may
        be restarted on a machine without the image.
        """
        spec = job.spec
        weight = task_weight(spec)
        if spec.kind is JobKind.SERVICE:
            return weight * REPLICA_LOSS_S
        image_fetch_s = fetch_s(spec, machine.type) if machine.type is not None else spec.image_gb
        restart_s = self._platform.report_s * HEARTBEAT_INTERVALS_UNTIL_RESTART
        if machine.task_phases.get(key, FETCHING) == FETCHING:
            return weight * (restart_s + image_fetch_s)
        refetch_s = restart_s + image_fetch_s * self._tuning.preempted_fetch_loss_share
        lost_run_s = spec.checkpoint_duration_s if spec.checkpoint_interval_s > 0 else spec.estimated_run_s
        return weight * (refetch_s + lost_run_s)
