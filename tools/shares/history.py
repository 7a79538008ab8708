"""Typed events of a history, in the order of their times: what the store, the workers and the users observed."""

from dataclasses import dataclass

from driftcleat.sharing.quota import QuotaAllocation


@dataclass(frozen=True, slots=True)
class LeaderElected:
    """A controller became the leader of a shard: the store committed its leader key."""

    at: float
    shard: int
    label: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class MachineAssigned:
    """The store committed the shard that a machine belongs to."""

    at: float
    machine: str
    shard: int


@dataclass(frozen=True, slots=True)
class QuotaAllocated:
    """The store committed a new allocation of a team's quota to the shards."""

    at: float
    team: str
    allocation: QuotaAllocation


@dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """A worker accepted a heartbeat response that carried this fencing token."""

    at: float
    machine: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """A worker's lease expired."""

    at: float
    machine: str


@dataclass(frozen=True, slots=True)
class MachineDeleted:
    """A machine was deleted."""

    at: float
    machine: str


@dataclass(frozen=True, slots=True)
class TaskStarted:
    """A task started on a machine."""

    at: float
    machine: str
    job: str
    index: int
    team: str
    gpus: float


@dataclass(frozen=True, slots=True)
class TaskStopped:
    """A task left its machine; `done` tells whether it had completed."""

    at: float
    machine: str
    job: str
    index: int
    done: bool


@dataclass(frozen=True, slots=True)
class StateReported:
    """A user received a job's state in response to a request that was sent at `requested_at`."""

    at: float
    job: str
    state: str
    tasks: int
    requested_at: float


@dataclass(frozen=True, slots=True)
class HistoryEnded:
    """The history is complete; lists jobs that were not found, and jobs that reached no final state."""

    at: float
    unknown: tuple[str, ...]
    unfinished: tuple[str, ...]


Event = (
    LeaderElected
    | MachineAssigned
    | QuotaAllocated
    | HeartbeatAnswered
    | LeaseExpired
    | MachineDeleted
    | TaskStarted
    | TaskStopped
    | StateReported
    | HistoryEnded
)
