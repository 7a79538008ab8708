"""Executes preemption plans: adds the victims' stops to the batch, reserves the machine and nominates the job."""

import logging
from collections.abc import Iterable

from driftcleat.cluster import Batch, Job
from driftcleat.placement.preemption_plan import PreemptionPlan
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.scheduler.drains import MachineDrainer
from driftcleat.scheduler.nominations import Nominations
from driftcleat.scheduler.pacing import RoundPacing
from driftcleat.scheduler.preemption_planning import PreemptionPlanner
from driftcleat.scheduler.round_state import RoundState

log = logging.getLogger(__name__)

# Heartbeat intervals until a heartbeat shows that a preempted task is gone, in addition to its checkpoint time.
HEARTBEAT_INTERVALS_UNTIL_GONE = 3
# A stop takes up to two operations of a batch: the job's head record and one chunk record.
OPERATIONS_PER_VICTIM = 2


class PreemptionExecutor:
    """Stops the victims of preemption plans and reserves the resources that they free."""

    def __init__(
        self,
        context: SchedulerContext,
        planner: PreemptionPlanner,
        nominations: Nominations,
        drainer: MachineDrainer,
        pacing: RoundPacing,
    ) -> None:
        self._platform = context.platform
        self._cluster = context.cluster
        self._counters = context.counters
        self._planner = planner
        self._nominations = nominations
        self._drainer = drainer
        self._pacing = pacing

    def expected_until(self, now: float, plans: Iterable[PreemptionPlan]) -> float:
        """Return the time by which heartbeats are expected to show that the victims of these plans are gone."""
        checkpoint_s = max(
            (victim.job.spec.checkpoint_duration_s for plan in plans for victim in plan.victims), default=0.0
        )
        return now + self._platform.report_s * HEARTBEAT_INTERVALS_UNTIL_GONE + checkpoint_s

    def execute(self, batch: Batch, job: Job, state: RoundState, plan: PreemptionPlan) -> bool:
        """Stop a plan's victims and reserve its machine for the job; return False if the batch has no room."""
        if len(plan.victims) * OPERATIONS_PER_VICTIM > batch.operations_left:
            self._pacing.request_round()
            return False
        for victim in plan.victims:
            if not self._drainer.stop_attempt(batch, batch.job(victim.job.id) or victim.job, victim.task_index):
                self._pacing.request_round()
                return False
            self._counters.preempted += 1
        machine = plan.candidate.name
        victims = ", ".join(f"task {victim.job.id}/{victim.task_index}" for victim in plan.victims)
        log.debug("job %s: preempting on machine %s: %s", job.id, machine, victims)
        until = self.expected_until(state.now, [plan])
        self._nominations.nominate(job.id, until)
        self.reserve(plan, job, until)
        self._planner.preemptible(batch, state).exclude(self._cluster.machines[machine])
        return True

    def reserve(self, plan: PreemptionPlan, job: Job, until: float) -> None:
        """Reserve a plan's machine for a job until `until`, including the rest of this round."""
        self._nominations.reservations.reserve(plan.candidate.name, job.id, until)
        plan.candidate.reserved_for = job.id
