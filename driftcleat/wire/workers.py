"""Messages between workers and controllers: reports, redirects, commands."""

import msgspec


class TaskReport(msgspec.Struct, frozen=True):
    """One task as its machine reports it."""

    task: str = msgspec.field(name="hand")
    attempt: int = msgspec.field(name="launch")
    state: str = msgspec.field(name="bearing")
    why: str | None = msgspec.field(name="wreck", default=None)
    saved: bool | None = msgspec.field(name="stored", default=None)


class Report(msgspec.Struct, frozen=True):
    """All that one machine says of itself."""

    machine: str = msgspec.field(name="bollard")
    addr: str
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    session: int = msgspec.field(name="watch")
    seq: int = msgspec.field(name="knot")
    token: int = msgspec.field(name="helm")
    tasks: tuple[TaskReport, ...] = msgspec.field(name="hands")
    notice_s: float | None = msgspec.field(name="warningS", default=None)


class Signal(msgspec.Struct, frozen=True, omit_defaults=True):
    """A command about one attempt of one task."""

    op: str = msgspec.field(name="signal")
    task: str = msgspec.field(name="hand")
    attempt: int = msgspec.field(name="launch")
    grace_s: float | None = msgspec.field(name="slackS", default=None)


class Orders(msgspec.Struct, frozen=True):
    """The answer to a report."""

    token: int = msgspec.field(name="helm")
    signals: list[Signal]


class DirectOrders(msgspec.Struct, frozen=True):
    """Commands sent to a worker's own address."""

    token: int = msgspec.field(name="helm")
    session: int = msgspec.field(name="watch")
    signals: list[Signal]


class Redirect(msgspec.Struct, frozen=True, omit_defaults=True):
    """Says that another controller takes the reports."""

    leader: str | None = msgspec.field(name="harbormaster", default=None)


START, STOP, FORGET = "start", "kill", "forget"
FETCHING, WAITING, RUNNING, SAVING, EXITED = "pulling", "waiting", "running", "saving", "exited"
STATES = frozenset((FETCHING, WAITING, RUNNING, SAVING, EXITED))
DONE, STOPPED, MATES_GONE, ALONE, ERROR = "done", "stopped", "mates_gone", "alone", "error"
NO_ROOM, BUSY, UNKNOWN = "no_room", "busy", "unknown"


def task_name(job: str, index: int) -> str:
    """Return a task's name on the wire."""
    return f"{job}/{index}"


def split_task(name: str) -> tuple[str, int] | None:
    """Return job id and index of a task name, or None if it is not one."""
    job, slash, index = name.rpartition("/")
    if not slash or not index.isascii() or not index.isdigit() or len(index) > 6:
        return None
    return job, int(index)
