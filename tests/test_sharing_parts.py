"""Unit tests of sharing: settings, shard assignments, quota allocations, planner, store keys and coordinator."""

from collections.abc import Callable
from itertools import product
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from driftcleat import wire
from driftcleat.settings import SettingsError, Team
from driftcleat.sharing.assignment import (
    AssignmentError,
    ShardAssignment,
    add_shards,
    begin_move,
    complete_move,
    decode_assignment,
    drop_move,
    initial_assignment,
    reassign,
)
from driftcleat.sharing.coordinator import Coordinator
from driftcleat.sharing.keys import ASSIGNMENT_KEY, shard_key, unsharded_key
from driftcleat.sharing.messages import ShardStatus
from driftcleat.sharing.planner import ShardLoad, loads_by_owner, propose_move
from driftcleat.sharing.quota import (
    ROUNDING,
    ZERO,
    Amount,
    Demand,
    QuotaAllocation,
    initial_allocation,
    quota_targets,
    raised_allocation,
    team_with_quota,
)
from driftcleat.sharing.settings import SharingSettings, load_sharing
from driftcleat.store.keys import CHUNKS_PREFIX, JOBS_PREFIX, LEADER_KEY

LABELS = ("a", "b", "c")
TEAM = Team("red", 0.0, 0.0, 4.0, 12.0)


def write_settings(folder: Path, text: str) -> str:
    path = folder / "sharing.ini"
    path.write_text(text)
    return str(path)


def test_shipped_sharing_settings_are_the_defaults() -> None:
    shipped_path = Path(__file__).parent.parent / "deploy" / "sharing.ini"
    assert load_sharing(str(shipped_path)) == SharingSettings()


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("", "sharing: the one section"),
        ("[sharing]\nshares = 0", "sharing.shares: must be a whole number 1 to 32"),
        ("[sharing]\nshares = 2.5", "sharing.shares: must be a whole number 1 to 32"),
        ("[sharing]\nshares = many", "sharing.shares: must be a number"),
        ("[sharing]\nmove = nan", "sharing.move: must be 1 to 100"),
        ("[sharing]\nsplit = 1", "sharing.split: unknown key"),
        ("[sharing]\n[other]\n", "other: unknown section"),
        ("shares = 3", "is not INI"),
    ],
)
def test_invalid_sharing_settings_are_rejected_with_a_reason(tmp_path: Path, text: str, expected_text: str) -> None:
    with pytest.raises(SettingsError, match=r"sharing\.ini") as error:
        load_sharing(write_settings(tmp_path, text))
    assert expected_text in str(error.value) and "\n" not in str(error.value)


# Assignments


def test_assignment_is_unchanged_after_encoding_and_decoding() -> None:
    assignment = begin_move(initial_assignment(4, LABELS, "vm-7"), 1, "c", LABELS)
    assert decode_assignment(wire.encode(assignment), LABELS) == assignment


FIRST = initial_assignment(3, LABELS, "")


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda: begin_move(FIRST, 7, "a", LABELS), "there is no share 7"),
        (lambda: begin_move(FIRST, -1, "a", LABELS), "there is no share -1"),
        (lambda: begin_move(FIRST, 0, "a", LABELS), "is led by the coordinator: it cannot be moved"),
        (lambda: begin_move(FIRST, 1, "x", LABELS), "unknown controller x"),
        (lambda: begin_move(FIRST, 1, "b", LABELS), "b owns share 1 already"),
        (lambda: begin_move(begin_move(FIRST, 1, "c", LABELS), 1, "a", LABELS), "is being moved already"),
        (lambda: complete_move(FIRST, 1), "is not being moved"),
        (lambda: reassign(FIRST, 0, "a"), "cannot be reassigned"),
    ],
)
def test_invalid_assignment_changes_are_rejected_with_a_reason(
    change: Callable[[], ShardAssignment], reason: str
) -> None:
    with pytest.raises(AssignmentError, match=reason):
        change()


@pytest.mark.parametrize(
    ("value", "reason"),
    [
        (b'[1,["","b"', "malformed"),
        (b"{}", "malformed"),
        (b'[1,["","b"],[[1]]]', "malformed"),
        (b'[2,["","b"]]', "format 2"),
        (b"[1,[]]", "must not have an owner"),
        (b'[1,["a","b"]]', "must not have an owner"),
        (b'[1,["","x"]]', "unknown controller x"),
        (b'[1,["","b"],[[5,"a",1]]]', "no share 5"),
        (b'[1,["","b"],[[1,"b",1]]]', "owns share 1 already"),
        (b'[1,["","b"],[[1,"a",1],[1,"c",2]]]', "more than one move"),
    ],
)
def test_invalid_encoded_assignment_is_rejected(value: bytes, reason: str) -> None:
    with pytest.raises(AssignmentError, match=reason):
        decode_assignment(value, LABELS)


def test_move_number_is_not_reused_after_a_move_is_dropped() -> None:
    moving = begin_move(FIRST, 1, "c", LABELS)
    assert complete_move(moving, 1).owner(1) == "c" and not complete_move(moving, 1).moves
    dropped = drop_move(moving, 1)
    assert dropped.owner(1) == "b"
    move = begin_move(dropped, 1, "c", LABELS).move_of(1)
    assert move is not None and move.number == 2


def test_adding_shards_keeps_existing_owners() -> None:
    larger = add_shards(complete_move(begin_move(FIRST, 1, "c", LABELS), 1), 5, LABELS)
    assert larger.owners[:3] == ("", "c", "c") and larger.shard_count == 5


# Store keys


def test_each_shard_has_its_own_keys_and_shard_0_those_without_sharing() -> None:
    keys = (LEADER_KEY, JOBS_PREFIX + "req-000001", CHUNKS_PREFIX + "req-000001/2.1")
    stored = {shard_key(shard, key) for shard, key in product(range(12), keys)}
    assert len(stored) == 36
    assert all(shard_key(0, key) == key for key in keys)
    assert all(unsharded_key(shard, shard_key(shard, key)) == key for shard, key in product(range(12), keys))
    assert shard_key(3, ASSIGNMENT_KEY) == ASSIGNMENT_KEY


# Quota allocations

amounts = st.builds(Amount, st.just(0.0), st.integers(0, 30).map(float))
demands = st.lists(
    st.builds(
        lambda used, wanted, first, waited_s: Demand(used, used + wanted, first, waited_s),
        amounts,
        amounts,
        amounts,
        st.sampled_from([0.0, 5.0, 60.0]),
    ),
    min_size=1,
    max_size=6,
)


@given(demands, st.integers(1, 40).map(float))
def test_quota_targets_add_up_to_the_limit(shard_demands: list[Demand], limit: float) -> None:
    targets = quota_targets(Amount(0.0, limit), shard_demands, 15.0)
    assert abs(sum(quota.gpus for quota in targets) - limit) < 1e-3
    assert all(quota.gpus >= 0 for quota in targets)


@given(demands, st.integers(1, 40).map(float))
def test_lowered_and_raised_allocations_stay_within_the_limit(shard_demands: list[Demand], limit: float) -> None:
    """Shard leaders lower their allocation to what they use; the coordinator raises others by the free quota."""
    limit_amount = Amount(0.0, limit)
    allocation = initial_allocation(Team("red", 0.0, 0.0, 0.0, limit), len(shard_demands))
    for _ in range(3):
        targets = quota_targets(limit_amount, shard_demands, 15.0)
        allocation = raised_allocation(limit_amount, allocation, targets)
        assert limit_amount.covers(allocation.total())
        for shard, target in enumerate(targets):
            quota = allocation.quota(shard)
            lowered = target.at_least(shard_demands[shard].used).at_most(quota)
            allocation = allocation.with_quota(shard, lowered)
        assert limit_amount.covers(allocation.total())


def test_job_larger_than_its_quota_allocation_gets_quota_after_waiting() -> None:
    """Guards against starvation: after 15 s of waiting, quota of the other shards is freed for the large job."""
    limit = Amount(0.0, 12.0)
    saturated = Demand(Amount(0.0, 4.0), Amount(0.0, 40.0))
    waiting_briefly = Demand(ZERO, Amount(0.0, 10.0), Amount(0.0, 10.0), 0.0)
    assert quota_targets(limit, [saturated, saturated, waiting_briefly], 15.0)[2].gpus < 10.0
    waiting_long = Demand(ZERO, Amount(0.0, 10.0), Amount(0.0, 10.0), 16.0)
    assert quota_targets(limit, [saturated, saturated, waiting_long], 15.0)[2].gpus >= 10.0


def test_quota_targets_are_whole_numbers() -> None:
    targets = quota_targets(Amount(0.0, 8.0), [Demand(ZERO, Amount(0.0, 9.0))] * 3, 15.0)
    assert sorted(quota.gpus for quota in targets) == [2.0, 3.0, 3.0]


def test_zero_allocation_does_not_mean_unlimited() -> None:
    assert 0.0 < team_with_quota(TEAM, ZERO, 0.0).gpus_max < ROUNDING
    assert team_with_quota(TEAM, ZERO, 0.0).cpus_max == 0.0, "the team has no CPU limit"


# Planner

owner_load_lists = st.lists(st.tuples(st.sampled_from(LABELS), st.integers(0, 100)), min_size=1, max_size=8)


@given(owner_load_lists)
def test_proposed_move_lowers_the_peak_load_most_and_by_enough(owners_and_loads: list[tuple[str, int]]) -> None:
    """Compares the planner with a search over all moves."""
    loads = [ShardLoad(shard, owner, float(load)) for shard, (owner, load) in enumerate(owners_and_loads)]
    proposal = propose_move(loads, LABELS, 0.5)
    before = max(loads_by_owner(loads, LABELS).values())
    peaks = {
        (entry.shard, target): max(
            loads_by_owner(
                [ShardLoad(e.shard, target if e is entry else e.owner, e.load) for e in loads], LABELS
            ).values()
        )
        for entry in loads
        for target in LABELS
        if entry.shard and target != entry.owner
    }
    min_improvement = sum(entry.load for entry in loads) / 3 * 0.5
    best = min(peaks.values(), default=before)
    if proposal is None:
        assert before - best < min_improvement or before == 0
    else:
        assert peaks[(proposal.shard, proposal.target)] == best and before - best >= min_improvement


def test_no_move_is_proposed_for_even_loads() -> None:
    loads = [ShardLoad(shard, LABELS[shard % 3], 10.0 + shard) for shard in range(6)]
    assert propose_move(loads, LABELS, 0.5) is None


# Coordinator


def new_coordinator(balance: float = 0.0) -> Coordinator:
    return Coordinator(SharingSettings(shares=3, balance=balance), LABELS, 2.0)


def shard_status(shard: int, machines: int = 1) -> ShardStatus:
    return ShardStatus(shard, 5, machines, 0)


def test_sharing_starts_only_after_a_status_from_every_controller() -> None:
    coordinator = new_coordinator()
    coordinator.reset(0.0)
    coordinator.record_status("a", [], 0.1)
    coordinator.record_status("b", [], 0.1)
    assert not coordinator.may_start_sharing(0.2)
    coordinator.record_status("x", [], 0.1)
    assert not coordinator.may_start_sharing(0.2)
    coordinator.record_status("c", [], 0.2)
    assert coordinator.may_start_sharing(0.3) and not coordinator.may_start_sharing(60.0)


def test_shards_of_a_silent_controller_are_reassigned_after_the_time_limit_for_statuses() -> None:
    coordinator = new_coordinator()
    coordinator.reset(0.0)
    coordinator.record_status("a", [shard_status(0)], 0.1)
    assert coordinator.next_assignment(FIRST, 0.2) is None
    for now in (2.0, 4.0, 6.0, 8.0):
        coordinator.record_status("a", [shard_status(0)], now)
        coordinator.record_status("c", [shard_status(2)], now)
    next_assignment = coordinator.next_assignment(FIRST, 8.1)
    assert next_assignment is not None and next_assignment.owners == ("", "a", "c")


def test_move_is_dropped_with_a_reason_after_a_timeout_or_loss_of_its_target() -> None:
    coordinator = new_coordinator()
    coordinator.reset(0.0)
    moving = begin_move(FIRST, 1, "c", LABELS)
    for second in range(1, 13):
        for label in LABELS:
            coordinator.record_status(label, [], float(second))
        next_assignment = coordinator.next_assignment(moving, float(second))
        assert next_assignment == (drop_move(moving, 1) if second > 11 else None)
    assert coordinator.refusals[1] == "c did not acquire the share in time"
    coordinator.reset(20.0)
    for now in (21.0, 24.0, 27.0):
        coordinator.record_status("a", [], now)
        coordinator.record_status("b", [], now)
    assert coordinator.next_assignment(moving, 27.0) == drop_move(moving, 1)
    assert coordinator.refusals[1] == "c sends no status"


def test_balancing_moves_one_shard_at_a_time_and_needs_statuses_of_all_controllers() -> None:
    coordinator = new_coordinator(balance=1.0)
    coordinator.reset(0.0)
    unbalanced = ShardAssignment(1, ("", "a", "a"))

    def record_statuses(now: float) -> None:
        coordinator.record_status("a", [shard_status(0, 10), shard_status(1, 30), shard_status(2, 40)], now)
        coordinator.record_status("b", [], now)

    record_statuses(4.0)
    assert coordinator.next_assignment(unbalanced, 4.0) is None, "one controller sent no status"
    record_statuses(6.0)
    coordinator.record_status("c", [], 6.0)
    next_assignment = coordinator.next_assignment(unbalanced, 6.0)
    assert next_assignment is not None and len(next_assignment.moves) == 1
    coordinator.record_status("c", [], 6.1)
    assert coordinator.next_assignment(next_assignment, 6.1) is None


@pytest.mark.parametrize(
    ("shard", "target", "reason"),
    [
        (1, "x", "unknown controller x"),
        (1, "c", "c sends no status"),
        (9, "a", "no share 9"),
        (1, "b", "owns share 1"),
    ],
)
def test_invalid_move_request_is_rejected_with_a_reason(shard: int, target: str, reason: str) -> None:
    coordinator = new_coordinator()
    coordinator.reset(0.0)
    coordinator.record_status("a", [], 1.0)
    coordinator.record_status("b", [], 1.0)
    with pytest.raises(AssignmentError, match=reason):
        coordinator.requested_assignment(FIRST, shard, target, 1.0)
    with pytest.raises(AssignmentError, match="has not begun"):
        coordinator.requested_assignment(None, 1, "a", 1.0)


def test_quota_of_a_shard_is_raised_only_after_that_of_another_is_lowered() -> None:
    coordinator = new_coordinator()
    coordinator.reset(0.0)
    first = coordinator.next_allocation(TEAM, None, 3, 0.0)
    assert first is not None and first.quota(0).gpus == 12.0
    # No quota is free: the leader of shard 0 must release what it does not use before other shards get it.
    assert coordinator.next_allocation(TEAM, first, 3, 0.0) is None
    targets = coordinator.record_status("a", [shard_status(0)], 0.1)
    assert [(target.shard, target.quota.gpus) for target in targets] == [(0, 4.0)]
    lowered = first.with_quota(0, Amount(0.0, 4.0))
    next_allocation = coordinator.next_allocation(TEAM, lowered, 3, 0.2)
    assert next_allocation is not None and [quota.gpus for quota in next_allocation.quotas] == [4.0, 4.0, 4.0]
    assert coordinator.next_allocation(Team("free", 0.0, 0.0, 0.0, 0.0), None, 3, 0.0) is None


def test_allocation_is_zero_for_shards_added_later() -> None:
    assert QuotaAllocation((Amount(0.0, 2.0),)).quota(4) == ZERO
    assert QuotaAllocation((Amount(0.0, 2.0),)).with_quota(2, Amount(0.0, 1.0)).quotas[1] == ZERO
