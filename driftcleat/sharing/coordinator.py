"""What the coordinator decides: the next assignment and the next allotments. Pure; the host commits them."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from driftcleat.settings import Team
from driftcleat.sharing.assignment import (
    AssignmentError,
    ShardAssignment,
    add_shards,
    begin_move,
    drop_move,
    initial_assignment,
    reassign,
)
from driftcleat.sharing.messages import QuotaTarget, ShardStatus
from driftcleat.sharing.planner import ShardLoad, propose_move
from driftcleat.sharing.quota import (
    FIRST_JOB_PATIENCE,
    Amount,
    Demand,
    QuotaAllocation,
    has_limit,
    initial_allocation,
    quota_targets,
    raised_allocation,
    team_limit,
)
from driftcleat.sharing.settings import SharingSettings


@dataclass(slots=True)
class ControllerReport:
    """What a controller said last, and when."""

    received_at: float
    shards: dict[int, ShardStatus] = field(default_factory=dict)


class Coordinator:
    """Remembers what controllers say, and decides from it. Nothing in it must outlive the coordinator."""

    def __init__(self, settings: SharingSettings, labels: Sequence[str], report_interval_s: float) -> None:
        self._settings, self._labels = settings, sorted(labels)
        self._report_interval_s, self._report_timeout_s = report_interval_s, settings.silence * report_interval_s
        self._reports: dict[str, ControllerReport] = {}
        self._reset_at = 0.0
        self._move_first_seen_at: dict[int, float] = {}
        self._last_proposal_at = 0.0
        # Why the last moves were refused or given up, by share.
        self.refusals: dict[int, str] = {}
        self._quota_targets: list[QuotaTarget] = []

    def reset(self, now: float) -> None:
        """This controller has become the coordinator: nothing is known of the others yet."""
        self._reports.clear()
        self._move_first_seen_at.clear()
        self._quota_targets = []
        self._reset_at = self._last_proposal_at = now

    def record_status(self, sender: str, shards: Sequence[ShardStatus], now: float) -> list[QuotaTarget]:
        """A controller says how its shares stand; return what their parts are to be lowered to."""
        if sender not in self._labels:
            return []
        self._reports[sender] = ControllerReport(now, {status.shard: status for status in shards})
        reported_shards = {status.shard for status in shards}
        return [target for target in self._quota_targets if target.shard in reported_shards]

    def live_controllers(self, now: float) -> list[str]:
        """Return the controllers that were heard lately."""
        return [
            label
            for label in self._labels
            if label in self._reports and now - self._reports[label].received_at <= self._report_timeout_s
        ]

    # -- the assignment -----------------------------------------------------------------------------------

    def may_start_sharing(self, now: float) -> bool:
        """Whether every controller knows of sharing: an older one would take every job into the first share."""
        return len(self.live_controllers(now)) == len(self._labels)

    def first_assignment(self, newest_machine: str) -> ShardAssignment:
        """Return the assignment with which sharing begins."""
        return initial_assignment(self._settings.shares, self._labels, newest_machine)

    def next_assignment(self, assignment: ShardAssignment, now: float) -> ShardAssignment | None:
        """Return the assignment that is to come next, or None if the present one may stay."""
        live_controllers = self.live_controllers(now)
        if assignment.shard_count < self._settings.shares:
            return add_shards(assignment, self._settings.shares, self._labels)
        return (
            self._without_failed_moves(assignment, live_controllers, now)
            or self._without_lost_owners(assignment, live_controllers, now)
            or self._rebalanced(assignment, live_controllers, now)
        )

    def _without_failed_moves(
        self, assignment: ShardAssignment, live_controllers: list[str], now: float
    ) -> ShardAssignment | None:
        """Give up a move whose receiver is lost, or that has taken too long."""
        moving = {move.shard for move in assignment.moves}
        self._move_first_seen_at = {shard: at for shard, at in self._move_first_seen_at.items() if shard in moving}
        for move in assignment.moves:
            first_seen_at = self._move_first_seen_at.setdefault(move.shard, now)
            timed_out = now - first_seen_at > self._settings.move * self._report_interval_s
            target_lost = move.target not in live_controllers and self._all_could_report(now)
            if timed_out or target_lost:
                self.refusals[move.shard] = (
                    f"{move.target} {'is silent' if target_lost else 'did not take it in time'}"
                )
                return drop_move(assignment, move.shard)
        return None

    def _all_could_report(self, now: float) -> bool:
        """Whether every controller that lives has had the time to be heard by this coordinator."""
        return now - self._reset_at > self._report_timeout_s * 2

    def _without_lost_owners(
        self, assignment: ShardAssignment, live_controllers: list[str], now: float
    ) -> ShardAssignment | None:
        """Give the shares of a silent controller to the one that has the fewest."""
        if not self._all_could_report(now) or not live_controllers:
            return None
        for shard in range(1, assignment.shard_count):
            owner = assignment.owner(shard)
            if owner is not None and owner not in live_controllers:
                new_owner = min(live_controllers, key=lambda label: (len(assignment.shards_owned_by(label)), label))
                self.refusals.pop(shard, None)
                return reassign(assignment, shard, new_owner)
        return None

    def _rebalanced(
        self, assignment: ShardAssignment, live_controllers: list[str], now: float
    ) -> ShardAssignment | None:
        """Begin a move that is worth it, while everything is in order and nothing else moves."""
        balance_interval_s = self._settings.balance * self._report_interval_s
        if (
            not balance_interval_s
            or assignment.moves
            or len(live_controllers) < len(self._labels)
            or now - self._last_proposal_at < balance_interval_s
        ):
            return None
        loads = self._loads()
        if len(loads) < assignment.shard_count:
            # Some share has no leader.
            return None
        self._last_proposal_at = now
        proposal = propose_move(loads, self._labels, self._settings.imbalance)
        if proposal is None:
            return None
        return begin_move(assignment, proposal.shard, proposal.target, self._labels)

    def _loads(self) -> list[ShardLoad]:
        return [
            ShardLoad(shard, label, float(status.machines))
            for label, report in self._reports.items()
            for shard, status in report.shards.items()
        ]

    def requested_assignment(
        self, assignment: ShardAssignment | None, shard: int, target: str, now: float
    ) -> ShardAssignment:
        """Return the assignment with a move that an operator asks for; `AssignmentError` if it cannot be."""
        if assignment is None:
            raise AssignmentError("sharing has not begun: not every controller knows of it")
        if target in self._labels and target not in self.live_controllers(now):
            raise AssignmentError(f"{target} is silent")
        self.refusals.pop(shard, None)
        return begin_move(assignment, shard, target, self._labels)

    # -- allotments ---------------------------------------------------------------------------------------

    def next_allocation(
        self, team: Team, allocation: QuotaAllocation | None, shards: int, now: float
    ) -> QuotaAllocation | None:
        """Return the parts of a team's limit that are to come next, or None if the present ones may stay.

        What shares are to lower is remembered for when their owners next report.
        """
        if not has_limit(team):
            return None
        if allocation is None:
            return initial_allocation(team, shards)
        demands = [self._demand(team.name, shard) for shard in range(shards)]
        target_quotas = quota_targets(team_limit(team), demands, FIRST_JOB_PATIENCE * self._report_interval_s)
        self._quota_targets = [target for target in self._quota_targets if target.team != team.name]
        self._quota_targets += [
            QuotaTarget(shard, team.name, target_quota.at_most(allocation.quota(shard)))
            for shard, target_quota in enumerate(target_quotas)
            if not target_quota.covers(allocation.quota(shard))
        ]
        raised = raised_allocation(team_limit(team), allocation, target_quotas)
        is_raised = any(not allocation.quota(shard).covers(quota) for shard, quota in enumerate(raised.quotas))
        return raised if is_raised else None

    def _demand(self, team: str, shard: int) -> Demand:
        for report in self._reports.values():
            status = report.shards.get(shard)
            for demand in status.demands if status is not None else ():
                if demand.team == team:
                    return Demand(demand.used, demand.wanted, demand.first_job, demand.first_job_waited_s)
        return Demand(Amount())
