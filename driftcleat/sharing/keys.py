"""Where shares and what they have in common lie in the store."""

from driftcleat.store.keys import ROOT_PREFIX

# What all shares have in common; every controller keeps a replica of what lies under it.
SHARING_PREFIX = ROOT_PREFIX + "sharing/"
ASSIGNMENT_KEY = SHARING_PREFIX + "assignment"
MACHINE_SHARDS_PREFIX = SHARING_PREFIX + "machines/"
ALLOCATIONS_PREFIX = SHARING_PREFIX + "allotments/"
# Which share a job is homed on. Apart from the above, since there are as many as jobs ever submitted.
JOB_DIRECTORY_PREFIX = ROOT_PREFIX + "claims/"

# The share whose layout is that of a deployment without sharing; who leads it is the coordinator.
FIRST_SHARD = 0


def shard_prefix(shard: int) -> str:
    """Return the prefix of a share's own keys."""
    return ROOT_PREFIX if shard == FIRST_SHARD else f"{ROOT_PREFIX}shares/{shard}/"


def shard_key(shard: int, key: str) -> str:
    """Return where a share keeps what lies at `key` without sharing; what shares have in common stays."""
    if shard == FIRST_SHARD or key.startswith((SHARING_PREFIX, JOB_DIRECTORY_PREFIX)):
        return key
    return shard_prefix(shard) + key[len(ROOT_PREFIX) :]


def unsharded_key(shard: int, key: str) -> str:
    """Return the key that `shard_key` was given."""
    root = shard_prefix(shard)
    return ROOT_PREFIX + key[len(root) :] if shard != FIRST_SHARD and key.startswith(root) else key
