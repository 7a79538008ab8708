"""The coordinator's decisions: the next shard assignment and quota allocations. Performs no I/O."""

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
class LastStatus:
    """The last status message of a controller, and when it arrived."""

    received_at: float
    shards: dict[int, ShardStatus] = field(default_factory=dict)


class Coordinator:
    """Decides from the controllers' status messages. Its state is valid for one term and reset at the next."""

    def __init__(self, settings: SharingSettings, labels: Sequence[str], heartbeat_s: float) -> None:
        self._settings, self._labels = settings, sorted(labels)
        self._heartbeat_s, self._status_timeout_s = heartbeat_s, settings.silence * heartbeat_s
        self._last_statuses: dict[str, LastStatus] = {}
        self._reset_at = 0.0
        self._move_first_seen_at: dict[int, float] = {}
        self._last_proposal_at = 0.0
        # Why the last move of a shard was cancelled, by shard.
        self.refusals: dict[int, str] = {}
        self._quota_targets: list[QuotaTarget] = []

    def reset(self, now: float) -> None:
        """Forget all status messages, when this controller becomes the coordinator."""
        self._last_statuses.clear()
        self._move_first_seen_at.clear()
        self._quota_targets = []
        self._reset_at = self._last_proposal_at = now

    def record_status(self, sender: str, statuses: Sequence[ShardStatus], now: float) -> list[QuotaTarget]:
        """Record the status of a controller's shards; return the quotas that these shards have to lower."""
        if sender not in self._labels:
            return []
        self._last_statuses[sender] = LastStatus(now, {status.shard: status for status in statuses})
        reported_shards = {status.shard for status in statuses}
        return [target for target in self._quota_targets if target.shard in reported_shards]

    def live_controllers(self, now: float) -> list[str]:
        """Return the controllers whose last status message is recent enough."""
        return [
            label
            for label in self._labels
            if label in self._last_statuses and now - self._last_statuses[label].received_at <= self._status_timeout_s
        ]

    # Shard assignment.

    def may_start_sharing(self, now: float) -> bool:
        """Return whether every controller runs with sharing: any other would put every job on the first shard."""
        return len(self.live_controllers(now)) == len(self._labels)

    def first_assignment(self, newest_machine: str) -> ShardAssignment:
        """Return the assignment that sharing starts with."""
        return initial_assignment(self._settings.shares, self._labels, newest_machine)

    def next_assignment(self, assignment: ShardAssignment, now: float) -> ShardAssignment | None:
        """Return the assignment to commit next, or None if the current one needs no change."""
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
        """Cancel a move whose target is presumed lost, or that has timed out."""
        moving = {move.shard for move in assignment.moves}
        self._move_first_seen_at = {shard: at for shard, at in self._move_first_seen_at.items() if shard in moving}
        for move in assignment.moves:
            first_seen_at = self._move_first_seen_at.setdefault(move.shard, now)
            timed_out = now - first_seen_at > self._settings.move * self._heartbeat_s
            target_lost = move.target not in live_controllers and self._all_had_time_to_send_status(now)
            if timed_out or target_lost:
                self.refusals[move.shard] = (
                    f"{move.target} {'sends no status' if target_lost else 'did not acquire the share in time'}"
                )
                return drop_move(assignment, move.shard)
        return None

    def _all_had_time_to_send_status(self, now: float) -> bool:
        """Return whether every live controller has had time to send its status to this coordinator."""
        return now - self._reset_at > self._status_timeout_s * 2

    def _without_lost_owners(
        self, assignment: ShardAssignment, live_controllers: list[str], now: float
    ) -> ShardAssignment | None:
        """Reassign a shard of a controller that is presumed lost to the controller with the fewest shards."""
        if not self._all_had_time_to_send_status(now) or not live_controllers:
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
        """Start a move that evens the load, if all controllers are live and no other move is in progress."""
        balance_interval_s = self._settings.balance * self._heartbeat_s
        if (
            not balance_interval_s
            or assignment.moves
            or len(live_controllers) < len(self._labels)
            or now - self._last_proposal_at < balance_interval_s
        ):
            return None
        loads = self._loads()
        if len(loads) < assignment.shard_count:
            # The load of a shard without a leader is not known.
            return None
        self._last_proposal_at = now
        proposal = propose_move(loads, self._labels, self._settings.imbalance)
        if proposal is None:
            return None
        return begin_move(assignment, proposal.shard, proposal.target, self._labels)

    def _loads(self) -> list[ShardLoad]:
        return [
            ShardLoad(shard, label, float(status.machines))
            for label, last_status in self._last_statuses.items()
            for shard, status in last_status.shards.items()
        ]

    def requested_assignment(
        self, assignment: ShardAssignment | None, shard: int, target: str, now: float
    ) -> ShardAssignment:
        """Return the assignment with a move requested by an operator; `AssignmentError` if it is impossible."""
        if assignment is None:
            raise AssignmentError("sharing has not begun: not every controller has it enabled")
        if target in self._labels and target not in self.live_controllers(now):
            raise AssignmentError(f"{target} sends no status")
        self.refusals.pop(shard, None)
        return begin_move(assignment, shard, target, self._labels)

    # Quota allocations.

    def next_allocation(
        self, team: Team, allocation: QuotaAllocation | None, shard_count: int, now: float
    ) -> QuotaAllocation | None:
        """Return a team's allocation to commit next, or None if no quota is to be raised.

        Quotas to be lowered are kept, and returned to the shards' leaders with their next status message.
        """
        if not has_limit(team):
            return None
        if allocation is None:
            return initial_allocation(team, shard_count)
        demands = [self._demand(team.name, shard) for shard in range(shard_count)]
        target_quotas = quota_targets(team_limit(team), demands, FIRST_JOB_PATIENCE * self._heartbeat_s)
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
        for last_status in self._last_statuses.values():
            status = last_status.shards.get(shard)
            for demand in status.demands if status is not None else ():
                if demand.team == team:
                    return Demand(demand.used, demand.wanted, demand.first_job, demand.first_job_waited_s)
        return Demand(Amount())
