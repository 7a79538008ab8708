"""Messages between workers and controllers: heartbeats, redirects, commands."""

from enum import StrEnum

import msgspec

# Maximum number of digits of a task's index; valid ones have at most five (see `job_spec_parsing.MAX_TASKS`).
MAX_INDEX_DIGITS = 6


class CommandAction(StrEnum):
    """What a command asks a worker to do with one attempt of a task; the protocol's `signal`."""

    START = "start"
    STOP = "kill"
    # The attempt's exit is committed, so the worker no longer needs to report it.
    FORGET = "forget"


class TaskPhase(StrEnum):
    """The phase of an attempt, as its worker reports it; the protocol's `bearing`."""

    # The attempt waits for its image.
    FETCHING = "pulling"
    # A gang's task waits for the other tasks of the gang.
    WAITING = "waiting"
    RUNNING = "running"
    CHECKPOINTING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why an attempt of a task has ended; the protocol's `wreck`."""

    DONE = "done"
    STOPPED = "stopped"
    # Another task of the gang was lost.
    GANG_MEMBER_LOST = "mates_gone"
    # The gang was not complete within `gang_wait_s`.
    GANG_INCOMPLETE = "alone"
    ERROR = "error"
    # The worker refused the start: resources are missing, another attempt is present, or the job or task is unknown.
    INSUFFICIENT_RESOURCES = "no_room"
    OTHER_ATTEMPT_PRESENT = "busy"
    UNKNOWN_JOB = "unknown"


class TaskStatus(msgspec.Struct, frozen=True):
    """One attempt of a task in a `Heartbeat`."""

    task: str = msgspec.field(name="hand")
    attempt: int = msgspec.field(name="launch")
    phase: str = msgspec.field(name="bearing")
    exit_reason: str | None = msgspec.field(name="wreck", default=None)
    checkpoint_saved: bool | None = msgspec.field(name="stored", default=None)


class Heartbeat(msgspec.Struct, frozen=True):
    """The request of `POST /agent/beat`, and the worker's response to `POST /commands` and `GET /inspect`.

    Of two messages from a machine, the one with the larger pair (`worker_epoch`, `sequence`) is newer.
    """

    machine: str = msgspec.field(name="bollard")
    address: str = msgspec.field(name="addr")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    worker_epoch: int = msgspec.field(name="watch")
    sequence: int = msgspec.field(name="knot")
    fencing_token: int = msgspec.field(name="helm")
    tasks: tuple[TaskStatus, ...] = msgspec.field(name="hands")
    termination_notice_s: float | None = msgspec.field(name="warningS", default=None)


class Command(msgspec.Struct, frozen=True, omit_defaults=True):
    """A command for one attempt of one task, in a `HeartbeatResponse` or `CommandRequest`."""

    action: str = msgspec.field(name="signal")
    task: str = msgspec.field(name="hand")
    attempt: int = msgspec.field(name="launch")
    grace_period_s: float | None = msgspec.field(name="slackS", default=None)


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """The response of `POST /agent/beat`; the worker carries out the commands in order."""

    fencing_token: int = msgspec.field(name="helm")
    commands: list[Command] = msgspec.field(name="signals")


class CommandRequest(msgspec.Struct, frozen=True):
    """The request of `POST /commands`, sent to a worker's own address."""

    fencing_token: int = msgspec.field(name="helm")
    worker_epoch: int = msgspec.field(name="watch")
    commands: list[Command] = msgspec.field(name="signals")


class Redirect(msgspec.Struct, frozen=True, omit_defaults=True):
    """The 421 response of `POST /agent/beat`: the controller that accepts heartbeats, if it is known."""

    leader: str | None = msgspec.field(name="harbormaster", default=None)


def format_task_name(job: str, index: int) -> str:
    """Return the protocol's name of a task, such as `req-000412/3`."""
    return f"{job}/{index}"


def parse_task_name(name: str) -> tuple[str, int] | None:
    """Return the job id and the index in a task's name, or None if it is not a valid task name.

    The result is a plain tuple for speed: this runs for every task of every changed heartbeat.
    """
    job, slash, index = name.rpartition("/")
    if not slash or not index.isascii() or not index.isdigit() or len(index) > MAX_INDEX_DIGITS:
        return None
    return job, int(index)
