"""Machines as the leader sees them, with the one function for their state changes."""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from driftcleat.cluster.jobs import IllegalTransitionError, TaskPlacement
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec
from driftcleat.wire.workers import Heartbeat


class MachineState(StrEnum):
    """A machine's life. DRAINING takes no new task; RETURNING has its return sent; GONE is proven."""

    BOOTING = "booting"
    UP = "up"
    DRAINING = "draining"
    TERMINATING = "returning"
    TERMINATED = "gone"


_MOVES = {
    (MachineState.BOOTING, MachineState.UP),
    (MachineState.BOOTING, MachineState.TERMINATING),
    (MachineState.UP, MachineState.DRAINING),
    (MachineState.UP, MachineState.TERMINATING),
    (MachineState.DRAINING, MachineState.TERMINATING),
    (MachineState.TERMINATING, MachineState.TERMINATED),
}

# Plain tuples, since every heartbeat builds several: with NamedTuples a heartbeat that repeats the one before it took
# twice the processor time in `tests.costs`.
# (job id, task index)
TaskKey = tuple[str, int]
# (job id, task index, attempt)
AttemptKey = tuple[str, int, int]
# (worker epoch, sequence): the order of one machine's heartbeats.
HeartbeatOrder = tuple[int, int]


class Machine:
    """One machine. What is committed about it is `tasks`; all else is learnt from reports and lists."""

    __slots__ = (
        "address",
        "cached_images",
        "created_at",
        "failed_jobs",
        "fence_acknowledged",
        "fetched_images",
        "idle_since",
        "in_sync",
        "last_answered",
        "last_heartbeat",
        "last_heartbeat_at",
        "listed_running_since",
        "name",
        "no_placement_until",
        "observed_attempts",
        "reported_phases",
        "spot",
        "starts_sent",
        "state",
        "task_phases",
        "tasks",
        "tasks_changed_at",
        "type",
        "unacknowledged_responses",
        "unacknowledged_since",
        "used_cpus",
        "used_gpus",
        "used_memory_gb",
        "zone",
    )

    def __init__(
        self, name: str, machine_type: MachineType | None, zone: str, spot: bool, addr: str, now: float
    ) -> None:
        self.name, self.type, self.zone, self.spot, self.address = name, machine_type, zone, spot, addr
        self.state = MachineState.BOOTING
        self.created_at = now
        self.last_heartbeat_at = now
        # Since when the cloud's list has called it running; None: never in this term.
        self.listed_running_since: float | None = None
        self.idle_since = now
        self.tasks_changed_at = now
        self.used_cpus = self.used_gpus = self.used_memory_gb = 0.0
        self.tasks: dict[TaskKey, TaskPlacement] = {}
        self.cached_images: OrderedDict[str, float] = OrderedDict()
        # Images of which some task was seen past its fetch; the others in `images` may yet be given up.
        self.fetched_images: set[str] = set()
        self.last_heartbeat: Heartbeat | None = None
        self.fence_acknowledged = False
        # Whether its newest report shows all that is committed and nothing else, so that there is nothing to tell
        # it: an equal report need not be looked at until something changes.
        self.in_sync = False
        # Task phases of the last heartbeat, as on the wire: an unknown phase is accepted.
        self.reported_phases: dict[AttemptKey, str] = {}
        # The heartbeat whose response carried the start command last.
        self.starts_sent: dict[AttemptKey, HeartbeatOrder] = {}
        self.observed_attempts: set[AttemptKey] = set()
        self.task_phases: dict[TaskKey, str] = {}
        self.failed_jobs: set[str] = set()
        self.no_placement_until = 0.0
        # The newest report that was answered, and how often since then a later one did not show what it was told.
        self.last_answered: HeartbeatOrder | None = None
        self.unacknowledged_responses = 0
        self.unacknowledged_since = now

    def add_task(self, key: TaskKey, placement: TaskPlacement, spec: JobSpec) -> None:
        """Count a committed task."""
        self.in_sync = False
        if key not in self.tasks:
            self.used_cpus += spec.cpus
            self.used_gpus += spec.gpus
            self.used_memory_gb += spec.memory_gb
            self.record_image(spec.image, spec.image_gb)
        self.tasks[key] = placement

    def remove_task(self, key: TaskKey, spec: JobSpec, now: float, others: Callable[[TaskKey], str | None]) -> None:
        """Stop counting a task that is proven off; `others` tells the image of a task by its key.

        A worker gives a fetch up when no task waits for it any more: such an image is not here. Guards against
        taking it for cached, seen in an incident: work was displaced for a machine that lacked the image.
        """
        placement = self.tasks.pop(key, None)
        if placement is None:
            return
        self.in_sync = False
        self.used_cpus -= spec.cpus
        self.used_gpus -= spec.gpus
        self.used_memory_gb -= spec.memory_gb
        if spec.image not in self.fetched_images and all(others(other) != spec.image for other in self.tasks):
            self.cached_images.pop(spec.image, None)
        self.tasks_changed_at = now
        attempt = (key[0], key[1], placement.attempt)
        self.starts_sent.pop(attempt, None)
        self.observed_attempts.discard(attempt)
        self.task_phases.pop(key, None)
        if not self.tasks:
            # Sums of decimal amounts drift; an empty machine is exactly empty.
            self.used_cpus = self.used_gpus = self.used_memory_gb = 0.0
            self.idle_since = now

    def record_image(self, image: str, size_gb: float) -> None:
        """Remember that an image is (or will be) cached here, and which ones it pushes out."""
        self.cached_images[image] = size_gb
        self.cached_images.move_to_end(image)
        if self.type is not None:
            while len(self.cached_images) > 1 and sum(self.cached_images.values()) > self.type.cache_gb:
                self.fetched_images.discard(self.cached_images.popitem(last=False)[0])


def transition_machine(machine: Machine, to: MachineState) -> None:
    """Move a machine to another state; the only place that does."""
    if machine.state is to:
        return
    if (machine.state, to) not in _MOVES:
        raise IllegalTransitionError(f"{machine.name}: {machine.state.value} -> {to.value}")
    machine.state = to
