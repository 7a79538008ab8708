"""State machine of the leadership roles, and the permissions of each role."""

import logging

import pytest

from driftcleat.errors import DriftcleatError
from driftcleat.leadership import IllegalRoleTransitionError, PeerSurvey, Role
from driftcleat.leadership.permissions import LeadershipState
from driftcleat.settings import Tuning

from .samples import platform

# All legal role transitions; the test also checks that every other one is rejected.
LEGAL_TRANSITIONS = {
    (Role.FOLLOWER, Role.CAMPAIGNING),
    (Role.FOLLOWER, Role.PARTITIONED),
    (Role.PARTITIONED, Role.FOLLOWER),
    (Role.CAMPAIGNING, Role.FOLLOWER),
    (Role.CAMPAIGNING, Role.RECOVERING),
    (Role.RECOVERING, Role.LEADER),
    (Role.RECOVERING, Role.FOLLOWER),
    (Role.LEADER, Role.UNCONFIRMED_LEADER),
    (Role.LEADER, Role.FOLLOWER),
    (Role.UNCONFIRMED_LEADER, Role.LEADER),
    (Role.UNCONFIRMED_LEADER, Role.FOLLOWER),
}
NOW = 1000.0


def state_in_role(role: Role) -> LeadershipState:
    """Return the leadership state in this role at `NOW`, without a lease and without contact to peers or a leader."""
    state = LeadershipState(platform(), Tuning(), lambda: NOW)
    state.role = role
    state.leader_fencing_token = state.fencing_token = 41
    return state


def test_role_values_match_the_wire_format() -> None:
    values = ["follower", "tending", "campaigning", "rebuilding", "leading", "unsure"]
    assert [role.value for role in Role] == values


@pytest.mark.parametrize("target", Role)
@pytest.mark.parametrize("role", Role)
def test_only_legal_role_transitions_are_accepted(role: Role, target: Role) -> None:
    leadership = state_in_role(role)
    if role is target or (role, target) in LEGAL_TRANSITIONS:
        leadership.transition(target)
        assert leadership.role is target
        return
    with pytest.raises(
        IllegalRoleTransitionError, match=f"term 41: .*{role.log_name} -> {target.log_name}$"
    ) as caught:
        leadership.transition(target)
    assert isinstance(caught.value, DriftcleatError)
    assert leadership.role is role


def test_transition_to_partitioned_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        state_in_role(Role.FOLLOWER).transition(Role.PARTITIONED)
    assert caplog.messages == [
        "term 41: role follower -> partitioned: keeping worker leases, sending no commands",
    ]


@pytest.mark.parametrize("role", Role)
def test_permissions_of_each_role_with_a_valid_lease(role: Role) -> None:
    is_leading = role in (Role.RECOVERING, Role.LEADER, Role.UNCONFIRMED_LEADER)
    leased = state_in_role(role)
    leased.lease.record_grant(7, NOW)
    assert leased.is_leader is is_leading
    assert leased.may_decide is (role is Role.LEADER)
    assert leased.may_respond_to_heartbeats is (is_leading and role is not Role.RECOVERING)
    assert leased.may_send_starts is is_leading


def test_recovering_controller_responds_to_heartbeats_for_a_bounded_time_after_its_last_contact() -> None:
    """Guards against terms that begin one after the other, none of which reads what was cancelled."""
    recovering = state_in_role(Role.RECOVERING)
    recovering.lease.record_grant(7, NOW)
    recovering.record_leader_contact(PeerSurvey(leader_confirmed_at=NOW - recovering.max_unconfirmed_s + 0.01))
    assert recovering.may_respond_to_heartbeats
    recovering.leader_contact_at = NOW - recovering.max_unconfirmed_s - 0.01
    assert not recovering.may_respond_to_heartbeats
    recovering.transition(Role.LEADER)
    assert recovering.may_respond_to_heartbeats


def test_end_of_a_term_records_the_cancelled_jobs_that_may_still_run() -> None:
    follower = state_in_role(Role.FOLLOWER)
    follower.record_end_of_term(["req-1"])
    assert not follower.may_extend_worker_lease({"req-1", "req-2"}) and follower.may_extend_worker_lease({"req-2"})


@pytest.mark.parametrize("role", Role)
def test_no_role_permits_anything_without_lease_and_confirmation(role: Role) -> None:
    without_lease = state_in_role(role)
    assert (
        not without_lease.may_decide
        and not without_lease.may_respond_to_heartbeats
        and not without_lease.may_send_starts
    )
    assert without_lease.lease_keeping_token is None and not without_lease.may_become_partitioned


def test_peer_confirmation_permits_starts_briefly_and_heartbeat_responses_longer() -> None:
    leader = state_in_role(Role.UNCONFIRMED_LEADER)
    leader.peers_confirmed_at = NOW - leader.ttl_s * 0.39
    assert leader.may_send_starts and leader.may_respond_to_heartbeats and not leader.may_decide
    leader.peers_confirmed_at = NOW - leader.ttl_s * 0.41
    assert not leader.may_send_starts and leader.may_respond_to_heartbeats
    leader.peers_confirmed_at = NOW - leader.max_unconfirmed_s - 0.01
    assert not leader.may_respond_to_heartbeats


def test_partitioned_follower_keeps_leases_until_the_time_limit_or_a_higher_token() -> None:
    follower = state_in_role(Role.FOLLOWER)
    follower.record_leader_contact(PeerSurvey(leader_confirmed_at=NOW - 1.0, cancelled_jobs=frozenset({"req-1"})))
    assert follower.may_become_partitioned and follower.lease_keeping_token is None
    follower.transition(Role.PARTITIONED)
    assert follower.lease_keeping_token == 41
    assert follower.may_extend_worker_lease({"req-2"}) and not follower.may_extend_worker_lease({"req-1", "req-2"})
    follower.leader_contact_at = NOW - follower.max_unconfirmed_s - 0.01
    assert follower.lease_keeping_token is None
    follower.leader_contact_at = NOW - 1.0
    follower.observe_higher_token(41)
    assert follower.lease_keeping_token == 41
    follower.observe_higher_token(42)
    assert follower.role is Role.FOLLOWER and follower.superseded and not follower.may_become_partitioned
