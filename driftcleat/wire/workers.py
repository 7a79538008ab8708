"""Messages between workers and controllers: reports, redirects, commands."""

from enum import StrEnum

import msgspec


class CommandAction(StrEnum):
    """What a command asks a worker to do with one attempt of a task."""

    START = "start"
    STOP = "kill"
    # The attempt's exit is committed: the worker need not report it any more.
    FORGET = "forget"


class TaskPhase(StrEnum):
    """What an attempt of a task is doing on its machine, as the worker reports it."""

    FETCHING = "pulling"
    # A gang's task that waits for the other members to start.
    WAITING = "waiting"
    RUNNING = "running"
    CHECKPOINTING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why an attempt of a task has ended."""

    DONE = "done"
    STOPPED = "stopped"
    GANG_MEMBER_LOST = "mates_gone"
    GANG_INCOMPLETE = "alone"
    ERROR = "error"
    # A start that the worker refused: not enough is free, another attempt of the task is there, no such job.
    INSUFFICIENT_RESOURCES = "no_room"
    OTHER_ATTEMPT_PRESENT = "busy"
    UNKNOWN_JOB = "unknown"


class TaskStatus(msgspec.Struct, frozen=True):
    """One task as its machine reports it."""

    task: str = msgspec.field(name="hand")
    attempt: int = msgspec.field(name="launch")
    phase: str = msgspec.field(name="bearing")
    exit_reason: str | None = msgspec.field(name="wreck", default=None)
    checkpoint_saved: bool | None = msgspec.field(name="stored", default=None)


class Heartbeat(msgspec.Struct, frozen=True):
    """All that one machine says of itself."""

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
    """A command about one attempt of one task."""

    action: str = msgspec.field(name="signal")
    task: str = msgspec.field(name="hand")
    attempt: int = msgspec.field(name="launch")
    grace_period_s: float | None = msgspec.field(name="slackS", default=None)


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """The answer to a report."""

    fencing_token: int = msgspec.field(name="helm")
    commands: list[Command] = msgspec.field(name="signals")


class CommandRequest(msgspec.Struct, frozen=True):
    """Commands sent to a worker's own address."""

    fencing_token: int = msgspec.field(name="helm")
    worker_epoch: int = msgspec.field(name="watch")
    commands: list[Command] = msgspec.field(name="signals")


class Redirect(msgspec.Struct, frozen=True, omit_defaults=True):
    """Says that another controller takes the reports."""

    leader: str | None = msgspec.field(name="harbormaster", default=None)


def format_task_name(job: str, index: int) -> str:
    """Return a task's name on the wire."""
    return f"{job}/{index}"


def parse_task_name(name: str) -> tuple[str, int] | None:
    """Return job id and index of a task name, or None if it is not one."""
    job, slash, index = name.rpartition("/")
    if not slash or not index.isascii() or not index.isdigit() or len(index) > 6:
        return None
    return job, int(index)
