"""The role of a controller in the election."""

from enum import StrEnum


class Role(StrEnum):
    """What this controller is in the election."""

    FOLLOWER = "follower"
    # A follower cut off from the store and from every controller: it keeps workers' leases with the last leader's
    # token and gives no commands.
    PARTITIONED = "tending"
    CAMPAIGNING = "campaigning"
    RECOVERING = "rebuilding"
    LEADER = "leading"
    UNCONFIRMED_LEADER = "unsure"


_MOVES = {
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
