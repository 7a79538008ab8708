"""The role of a controller in the election, as a state machine with a single method that changes it."""

import logging
from enum import StrEnum

from driftcleat.errors import DriftcleatError

log = logging.getLogger(__name__)


class IllegalRoleTransitionError(DriftcleatError):
    """A role change that the state machine does not allow."""


class Role(StrEnum):
    """The role of a controller; the values appear in `/status` and in messages between controllers."""

    FOLLOWER = "follower"
    # A follower that reaches neither the store, nor a controller that reaches the store or leads. It keeps workers'
    # leases alive with the last leader's fencing token, and sends no commands.
    PARTITIONED = "tending"
    CAMPAIGNING = "campaigning"
    # This controller has created the leader key, and reads the records.
    RECOVERING = "rebuilding"
    LEADER = "leading"
    # A leader whose lease is not confirmed by the store any more.
    UNCONFIRMED_LEADER = "unsure"

    @property
    def log_name(self) -> str:
        """The role's name in log lines and error messages."""
        return self.name.lower().replace("_", " ")


# Roles of a controller that holds the leader key, or held it until its lease was no longer confirmed. A tuple, since
# it is searched for each heartbeat: comparing identities is cheaper than hashing an enum.
LEADING_ROLES = (Role.RECOVERING, Role.LEADER, Role.UNCONFIRMED_LEADER)

_TRANSITIONS = {
    Role.FOLLOWER: (Role.CAMPAIGNING, Role.PARTITIONED),
    Role.PARTITIONED: (Role.FOLLOWER,),
    Role.CAMPAIGNING: (Role.RECOVERING, Role.FOLLOWER),
    Role.RECOVERING: (Role.LEADER, Role.FOLLOWER),
    Role.LEADER: (Role.UNCONFIRMED_LEADER, Role.FOLLOWER),
    Role.UNCONFIRMED_LEADER: (Role.LEADER, Role.FOLLOWER),
}

# Added to the log line of a transition to a degraded role: what the controller still does.
_LOG_NOTES = {
    Role.PARTITIONED: ": keeping worker leases, sending no commands",
    Role.UNCONFIRMED_LEADER: ": answering heartbeats, making no decisions",
}


class RoleStateMachine:
    """Holds the role of one controller, and the latest term that it knows of."""

    def __init__(self) -> None:
        # Changed by `transition` only.
        self.role = Role.FOLLOWER
        # The fencing token of the latest known term of any controller; while this controller leads, its own.
        self.leader_fencing_token = 0

    @property
    def is_leader(self) -> bool:
        """Whether this controller is in a leading role, even if its lease is unconfirmed."""
        return self.role in LEADING_ROLES

    def transition(self, to: Role) -> None:
        """Change the role and log the change; no effect if the controller has that role already.

        Raises `IllegalRoleTransitionError` if the state machine does not allow the change.
        """
        if to is self.role:
            return
        if to not in _TRANSITIONS[self.role]:
            raise IllegalRoleTransitionError(
                f"term {self.leader_fencing_token}: illegal role transition {self.role.log_name} -> {to.log_name}"
            )
        log.info(
            "term %d: role %s -> %s%s",
            self.leader_fencing_token,
            self.role.log_name,
            to.log_name,
            _LOG_NOTES.get(to, ""),
        )
        self.role = to
