"""Gang preemption: frees room for all tasks of a gang at once, in the zone where that costs least."""

from driftcleat.cluster import Batch, Job, Machine
from driftcleat.placement.candidates import fits, satisfies_constraints
from driftcleat.placement.preemption_plan import PreemptionPlan
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.machine_candidates import MachineCandidates
from driftcleat.scheduler.nominations import Nominations
from driftcleat.scheduler.preemption_execution import PreemptionExecutor
from driftcleat.scheduler.preemption_planning import PreemptionPlanner
from driftcleat.scheduler.round_state import RoundState


class GangPreemption:
    """Preempts tasks and reserves machines for gangs of several tasks."""

    def __init__(
        self,
        context: SchedulerContext,
        candidates: MachineCandidates,
        planner: PreemptionPlanner,
        executor: PreemptionExecutor,
        nominations: Nominations,
    ) -> None:
        self._cluster = context.cluster
        self._candidates = candidates
        self._planner = planner
        self._executor = executor
        self._nominations = nominations

    def preempt_for(self, batch: Batch, job: Job, state: RoundState) -> None:
        """Reserve a machine for each task of a gang, and preempt where the task does not fit yet.

        Without this, a gang of several tasks would preempt nothing, and machines that become free one at a time would
        go to smaller jobs behind it in the queue.
        """
        plans = self._cheapest_plans(batch, job, state)
        if plans is None:
            return
        until = self._executor.expected_until(state.now, plans)
        for plan in plans:
            if plan.victims and not self._executor.execute(batch, job, state, plan):
                # The preemptions that did not fit in this batch follow in the next one; reservations are kept.
                self._nominations.withdraw(job.id)
                return
            self._executor.reserve(plan, job, until)
        self._nominations.nominate(job.id, until)

    def _cheapest_plans(self, batch: Batch, job: Job, state: RoundState) -> list[PreemptionPlan] | None:
        """Return a plan for each task that has no reserved machine yet, in the zone with the lowest total cost."""
        best: list[PreemptionPlan] | None = None
        best_cost = 0.0
        reservations = self._nominations.reservations
        for machines in self._machines_by_zone(job, state.now).values():
            reserved = [machine for machine in machines if reservations.is_for(machine.name, job.id)]
            needed = job.tasks_queued - len(reserved)
            others = [machine for machine in machines if machine not in reserved]
            plans = self._planner.plans(batch, job, state, others)
            if len(plans) < needed:
                continue
            cost = sum(plan.cost for plan in plans[:needed])
            if best is None or cost < best_cost:
                best = plans[:needed]
                best_cost = cost
        return best

    def _machines_by_zone(self, job: Job, now: float) -> dict[str, list[Machine]]:
        """Return the machines that a gang could use, by zone; under the key "" if it may span zones."""
        spec = job.spec
        by_zone: dict[str, list[Machine]] = {}
        for machine in self._cluster.machines.values():
            machine_type = machine.type
            if (
                machine_type is not None
                and fits(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
                and satisfies_constraints(spec, machine_type.name, machine.zone, machine.spot)
                and self._candidates.takes_tasks(machine, now)
            ):
                by_zone.setdefault(machine.zone if spec.single_zone else "", []).append(machine)
        return by_zone
