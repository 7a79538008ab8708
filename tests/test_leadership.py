"""The role's state machine, and what each role permits."""

import logging

import pytest

from driftcleat.errors import DriftcleatError
from driftcleat.leadership import IllegalRoleTransitionError, PeerSurvey, Role
from driftcleat.leadership.permissions import LeadershipState
from driftcleat.settings import Tuning

from .samples import platform

# Every role change that is legal; the test tries all others too.
LEGAL = {
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


def state(role: Role) -> LeadershipState:
    """Return a state in this role at `NOW`, without a lease and without any contact."""
    made = LeadershipState(platform(), Tuning(), lambda: NOW)
    made.role = role
    made.leader_fencing_token = made.fencing_token = 41
    return made


def test_the_values_of_roles_are_those_that_peers_and_commands_know() -> None:
    values = ["follower", "tending", "campaigning", "rebuilding", "leading", "unsure"]
    assert [role.value for role in Role] == values


@pytest.mark.parametrize("to", Role)
@pytest.mark.parametrize("role", Role)
def test_a_role_changes_only_as_the_state_machine_permits(role: Role, to: Role) -> None:
    machine = state(role)
    if role is to or (role, to) in LEGAL:
        machine.transition(to)
        assert machine.role is to
        return
    with pytest.raises(IllegalRoleTransitionError, match=f"term 41: .*{role.log_name} -> {to.log_name}$") as caught:
        machine.transition(to)
    assert isinstance(caught.value, DriftcleatError)
    assert machine.role is role


def test_the_log_says_what_a_partitioned_follower_does(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        state(Role.FOLLOWER).transition(Role.PARTITIONED)
    assert caplog.messages == [
        "term 41: role follower -> partitioned: keeping worker leases, sending no commands",
    ]


@pytest.mark.parametrize("role", Role)
def test_a_valid_lease_permits_what_the_table_of_roles_says(role: Role) -> None:
    leading = role in (Role.RECOVERING, Role.LEADER, Role.UNCONFIRMED_LEADER)
    held = state(role)
    held.lease.record_grant(7, NOW)
    assert held.is_leader is leading
    assert held.may_decide is (role is Role.LEADER)
    assert held.may_respond_to_heartbeats is leading
    assert held.may_send_starts is leading


@pytest.mark.parametrize("role", Role)
def test_without_lease_and_confirmation_no_role_permits_anything(role: Role) -> None:
    bare = state(role)
    assert not bare.may_decide and not bare.may_respond_to_heartbeats and not bare.may_send_starts
    assert bare.lease_keeping_token is None and not bare.may_become_partitioned


def test_peers_that_confirm_permit_starts_for_a_moment_and_answers_for_longer() -> None:
    leader = state(Role.UNCONFIRMED_LEADER)
    leader.peers_confirmed_at = NOW - leader.ttl_s * 0.39
    assert leader.may_send_starts and leader.may_respond_to_heartbeats and not leader.may_decide
    leader.peers_confirmed_at = NOW - leader.ttl_s * 0.41
    assert not leader.may_send_starts and leader.may_respond_to_heartbeats
    leader.peers_confirmed_at = NOW - leader.max_unconfirmed_s - 0.01
    assert not leader.may_respond_to_heartbeats


def test_a_partitioned_follower_keeps_leases_until_the_bound_or_a_higher_token() -> None:
    follower = state(Role.FOLLOWER)
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
