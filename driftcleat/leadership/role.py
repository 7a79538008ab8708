"""The role of a controller in the election: a state machine with one method that changes the role."""

import logging
from enum import StrEnum

from driftcleat.errors import DriftcleatError

log = logging.getLogger(__name__)


class IllegalRoleTransitionError(DriftcleatError):
    """A role change that the state machine does not have."""


class Role(StrEnum):
    """The role of a controller; the values are those of `/status` and of messages between controllers."""

    FOLLOWER = "follower"
    # A follower cut off from the store and from every other controller: it keeps workers' leases with the last
    # leader's fencing token and sends no commands.
    PARTITIONED = "tending"
    CAMPAIGNING = "campaigning"
    # The leader key is won, the records are being read.
    RECOVERING = "rebuilding"
    LEADER = "leading"
    # A leader whose lease the store no longer confirms.
    UNCONFIRMED_LEADER = "unsure"

    @property
    def log_name(self) -> str:
        """The role's name in log lines and errors."""
        return self.name.lower().replace("_", " ")


# Roles of a controller that holds, or held until a moment ago, the leader key. A tuple, since it is searched for each
# heartbeat: comparing identities is cheaper than hashing an enum.
LEADING_ROLES = (Role.RECOVERING, Role.LEADER, Role.UNCONFIRMED_LEADER)

_TRANSITIONS = {
    Role.FOLLOWER: (Role.CAMPAIGNING, Role.PARTITIONED),
    Role.PARTITIONED: (Role.FOLLOWER,),
    Role.CAMPAIGNING: (Role.RECOVERING, Role.FOLLOWER),
    Role.RECOVERING: (Role.LEADER, Role.FOLLOWER),
    Role.LEADER: (Role.UNCONFIRMED_LEADER, Role.FOLLOWER),
    Role.UNCONFIRMED_LEADER: (Role.LEADER, Role.FOLLOWER),
}

# What an on-call engineer has to know of a role that is entered in a disturbance.
_LOG_NOTES = {
    Role.PARTITIONED: ": keeping worker leases, sending no commands",
    Role.UNCONFIRMED_LEADER: ": answering heartbeats, deciding nothing",
}


class RoleStateMachine:
    """The role of one controller, and the latest term that it knows of."""

    def __init__(self) -> None:
        # Changed by `transition` only.
        self.role = Role.FOLLOWER
        # The fencing token of the latest known term, whoever leads in it; our own while we lead.
        self.leader_fencing_token = 0

    @property
    def is_leader(self) -> bool:
        """Whether this controller leads, its lease confirmed or not."""
        return self.role in LEADING_ROLES

    def transition(self, to: Role) -> None:
        """Change the role, the only method that does; no effect if the role is that already.

        Raises `IllegalRoleTransitionError` for a change that the state machine does not have.
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
