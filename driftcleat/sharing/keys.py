"""Keys of the shards and of the records that all shards use, in the store."""

from driftcleat.store.keys import ROOT_PREFIX

# Records that all shards use. Every controller keeps a replica of them.
SHARING_PREFIX = ROOT_PREFIX + "sharing/"
ASSIGNMENT_KEY = SHARING_PREFIX + "assignment"
MACHINE_SHARDS_PREFIX = SHARING_PREFIX + "machines/"
ALLOCATIONS_PREFIX = SHARING_PREFIX + "allotments/"
# The home shard of each job. Not under the prefix above: there is one key for every job ever submitted, too many for
# a replica.
JOB_DIRECTORY_PREFIX = ROOT_PREFIX + "claims/"

# The shard that has the store layout of a deployment without sharing. Its leader is the coordinator.
FIRST_SHARD = 0


def shard_prefix(shard: int) -> str:
    """Return the prefix of a shard's keys."""
    return ROOT_PREFIX if shard == FIRST_SHARD else f"{ROOT_PREFIX}shares/{shard}/"


def shard_key(shard: int, key: str) -> str:
    """Return the shard's key for a key of a deployment without sharing; keys that all shards use stay unchanged."""
    if shard == FIRST_SHARD or key.startswith((SHARING_PREFIX, JOB_DIRECTORY_PREFIX)):
        return key
    return shard_prefix(shard) + key[len(ROOT_PREFIX) :]


def unsharded_key(shard: int, key: str) -> str:
    """Return the key of a deployment without sharing for a shard's key; the inverse of `shard_key`."""
    root = shard_prefix(shard)
    return ROOT_PREFIX + key[len(root) :] if shard != FIRST_SHARD and key.startswith(root) else key
