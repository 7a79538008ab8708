"""Where shares and what they have in common lie in the store."""

from driftcleat.store.keys import ROOT_PREFIX

# What all shares have in common; every controller keeps a replica of what lies under it.
SHARING = ROOT_PREFIX + "sharing/"
ASSIGNMENT = SHARING + "assignment"
MACHINES = SHARING + "machines/"
ALLOTMENTS = SHARING + "allotments/"
# Which share a job is homed on. Apart from the above, since there are as many as jobs ever submitted.
CLAIMS = ROOT_PREFIX + "claims/"

# The share whose layout is that of a deployment without sharing; who leads it is the coordinator.
FIRST_SHARE = 0


def share_root(share: int) -> str:
    """Return the prefix of a share's own keys."""
    return ROOT_PREFIX if share == FIRST_SHARE else f"{ROOT_PREFIX}shares/{share}/"


def in_share(share: int, key: str) -> str:
    """Return where a share keeps what lies at `key` without sharing; what shares have in common stays."""
    if share == FIRST_SHARE or key.startswith((SHARING, CLAIMS)):
        return key
    return share_root(share) + key[len(ROOT_PREFIX) :]


def without_share(share: int, key: str) -> str:
    """Return the key that `in_share` was given."""
    root = share_root(share)
    return ROOT_PREFIX + key[len(root) :] if share != FIRST_SHARE and key.startswith(root) else key
