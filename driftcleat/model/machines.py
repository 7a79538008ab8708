"""Machines as the leader sees them, with the one function for their state changes."""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import Submission
from driftcleat.wire.workers import Report

from .jobs import IllegalMoveError, Place


class MachineState(StrEnum):
    """A machine's life. DRAINING takes no new task; RETURNING has its return sent; GONE is proven."""

    BOOTING = "booting"
    UP = "up"
    DRAINING = "draining"
    RETURNING = "returning"
    GONE = "gone"


_MOVES = {
    (MachineState.BOOTING, MachineState.UP),
    (MachineState.BOOTING, MachineState.RETURNING),
    (MachineState.UP, MachineState.DRAINING),
    (MachineState.UP, MachineState.RETURNING),
    (MachineState.DRAINING, MachineState.RETURNING),
    (MachineState.RETURNING, MachineState.GONE),
}

TaskKey = tuple[str, int]


class Machine:
    """One machine. What is committed about it is `tasks`; all else is learnt from reports and lists."""

    __slots__ = (
        "addr",
        "answered",
        "changed_at",
        "cpus",
        "failed_jobs",
        "fetched",
        "full_until",
        "gpus",
        "heard_at",
        "idle_since",
        "images",
        "memory_gb",
        "name",
        "offered",
        "phases",
        "rented_at",
        "report",
        "reported",
        "running_since",
        "seen",
        "spot",
        "state",
        "steady",
        "tasks",
        "trusted",
        "type",
        "unacknowledged",
        "unacknowledged_since",
        "zone",
    )

    def __init__(self, name: str, kind: MachineType | None, zone: str, spot: bool, addr: str, now: float) -> None:
        self.name, self.type, self.zone, self.spot, self.addr = name, kind, zone, spot, addr
        self.state = MachineState.BOOTING
        self.rented_at = now
        self.heard_at = now
        # Since when the cloud's list has called it running; None: never in this term.
        self.running_since: float | None = None
        self.idle_since = now
        self.changed_at = now
        self.cpus = self.gpus = self.memory_gb = 0.0
        self.tasks: dict[TaskKey, Place] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        # Images of which some task was seen past its fetch; the others in `images` may yet be given up.
        self.fetched: set[str] = set()
        self.report: Report | None = None
        self.trusted = False
        # Whether its newest report shows all that is committed and nothing else, so that there is nothing to tell
        # it: an equal report need not be looked at until something changes.
        self.steady = False
        # What the newest report says of each attempt: (job, index, attempt) -> state.
        self.reported: dict[tuple[str, int, int], str] = {}
        # (session, seq) of the report whose answer carried the start last.
        self.offered: dict[tuple[str, int, int], tuple[int, int]] = {}
        self.seen: set[tuple[str, int, int]] = set()
        self.phases: dict[TaskKey, str] = {}
        self.failed_jobs: set[str] = set()
        self.full_until = 0.0
        # The newest report that was answered, and how often since then a later one did not show what it was told.
        self.answered: tuple[int, int] | None = None
        self.unacknowledged = 0
        self.unacknowledged_since = now

    def add(self, key: TaskKey, place: Place, spec: Submission) -> None:
        """Count a committed task."""
        self.steady = False
        if key not in self.tasks:
            self.cpus += spec.cpus
            self.gpus += spec.gpus
            self.memory_gb += spec.memory_gb
            self.note_image(spec.image, spec.image_gb)
        self.tasks[key] = place

    def drop(self, key: TaskKey, spec: Submission, now: float, others: Callable[[TaskKey], str | None]) -> None:
        """Stop counting a task that is proven off; `others` tells the image of a task by its key.

        A worker gives a fetch up when no task waits for it any more: such an image is not here. Guards against
        taking it for cached, seen in an incident: work was displaced for a machine that lacked the image.
        """
        place = self.tasks.pop(key, None)
        if place is None:
            return
        self.steady = False
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        if spec.image not in self.fetched and all(others(other) != spec.image for other in self.tasks):
            self.images.pop(spec.image, None)
        self.changed_at = now
        attempt = (key[0], key[1], place.attempt)
        self.offered.pop(attempt, None)
        self.seen.discard(attempt)
        self.phases.pop(key, None)
        if not self.tasks:
            # Sums of decimal amounts drift; an empty machine is exactly empty.
            self.cpus = self.gpus = self.memory_gb = 0.0
            self.idle_since = now

    def note_image(self, image: str, size_gb: float) -> None:
        """Remember that an image is (or will be) cached here, and which ones it pushes out."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        if self.type is not None:
            while len(self.images) > 1 and sum(self.images.values()) > self.type.cache_gb:
                self.fetched.discard(self.images.popitem(last=False)[0])


def change_machine(machine: Machine, to: MachineState) -> None:
    """Move a machine to another state; the only place that does."""
    if machine.state is to:
        return
    if (machine.state, to) not in _MOVES:
        raise IllegalMoveError(f"{machine.name}: {machine.state.value} -> {to.value}")
    machine.state = to
