"""What happened, as typed events in the order of their times: what store, workers and users saw."""

from dataclasses import dataclass

from driftcleat.sharing.quota import QuotaAllocation


@dataclass(frozen=True, slots=True)
class Led:
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
class Allotted:
    """The store has new parts of a team's limit."""

    at: float
    team: str
    allotment: QuotaAllocation


@dataclass(frozen=True, slots=True)
class Answered:
    """A worker took the answer to a report, with this token."""

    at: float
    machine: str
    token: int


@dataclass(frozen=True, slots=True)
class Lapsed:
    """A worker's lease ran out."""

    at: float
    machine: str


@dataclass(frozen=True, slots=True)
class MachineEnded:
    """A machine is gone."""

    at: float
    machine: str


@dataclass(frozen=True, slots=True)
class Started:
    """A task started."""

    at: float
    machine: str
    job: str
    index: int
    team: str
    gpus: float


@dataclass(frozen=True, slots=True)
class Stopped:
    """A task is on its machine no more; `done` if it has completed."""

    at: float
    machine: str
    job: str
    index: int
    done: bool


@dataclass(frozen=True, slots=True)
class Told:
    """A user was told a job's state, having asked at some time before."""

    at: float
    job: str
    state: str
    tasks: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class Ended:
    """The history is over; these jobs were asked for and nobody knew them, or they never ended."""

    at: float
    unknown: tuple[str, ...]
    unfinished: tuple[str, ...]


Event = Led | MachineAssigned | Allotted | Answered | Lapsed | MachineEnded | Started | Stopped | Told | Ended
