"""What happened, as typed events in the order of their times: what store, workers and users saw."""

from dataclasses import dataclass

from driftcleat.sharing.quota import QuotaAllocation


@dataclass(frozen=True, slots=True)
class LeaderElected:
    """A controller became the leader of a share: the store took its key."""

    at: float
    share: int
    label: str
    token: int


@dataclass(frozen=True, slots=True)
class MachineAssigned:
    """The store says which share a machine belongs to."""

    at: float
    machine: str
    share: int


@dataclass(frozen=True, slots=True)
class QuotaAllocated:
    """The store has new parts of a team's limit."""

    at: float
    team: str
    allocation: QuotaAllocation


@dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """A worker took the answer to a report, with this token."""

    at: float
    machine: str
    token: int


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """A worker's lease ran out."""

    at: float
    machine: str


@dataclass(frozen=True, slots=True)
class MachineDeleted:
    """A machine is gone."""

    at: float
    machine: str


@dataclass(frozen=True, slots=True)
class TaskStarted:
    """A task started."""

    at: float
    machine: str
    job: str
    index: int
    team: str
    gpus: float


@dataclass(frozen=True, slots=True)
class TaskStopped:
    """A task is on its machine no more; `done` if it has completed."""

    at: float
    machine: str
    job: str
    index: int
    done: bool


@dataclass(frozen=True, slots=True)
class StateReported:
    """A user was told a job's state, having asked at some time before."""

    at: float
    job: str
    state: str
    tasks: int
    requested_at: float


@dataclass(frozen=True, slots=True)
class HistoryEnded:
    """The history is over; these jobs were asked for and nobody knew them, or they never ended."""

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
