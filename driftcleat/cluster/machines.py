"""Machines as the leader sees them, and the one function that changes their state."""

from collections import OrderedDict
from collections.abc import Callable, Collection
from enum import StrEnum

from driftcleat.cluster.jobs import IllegalTransitionError, TaskPlacement
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec
from driftcleat.wire.workers import Heartbeat


class MachineState(StrEnum):
    """A machine's states. DRAINING takes no new task; TERMINATING is requested, TERMINATED confirmed by the cloud."""

    BOOTING = "booting"
    UP = "up"
    DRAINING = "draining"
    TERMINATING = "returning"
    TERMINATED = "gone"


_TRANSITIONS = {
    (MachineState.BOOTING, MachineState.UP),
    (MachineState.BOOTING, MachineState.TERMINATING),
    (MachineState.UP, MachineState.DRAINING),
    (MachineState.UP, MachineState.TERMINATING),
    (MachineState.DRAINING, MachineState.TERMINATING),
    (MachineState.TERMINATING, MachineState.TERMINATED),
}

# Plain tuples, since every heartbeat builds several: with NamedTuples, handling an unchanged heartbeat takes twice
# the CPU time in `tests.costs`.
# (job id, task index)
TaskKey = tuple[str, int]
# (job id, task index, attempt)
AttemptKey = tuple[str, int, int]
# (worker epoch, sequence): the order of one machine's heartbeats.
HeartbeatOrder = tuple[int, int]


class Machine:
    """A machine. Its `tasks` are committed state; all other fields come from heartbeats and the cloud's lists."""

    __slots__ = (
        "address",
        "cached_images",
        "created_at",
        "failed_jobs",
        "fence_acknowledged",
        "fetched_images",
        "gang_waits_ended",
        "idle_since",
        "in_sync",
        "last_heartbeat",
        "last_heartbeat_at",
        "last_responded",
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
        self, name: str, machine_type: MachineType | None, zone: str, spot: bool, address: str, now: float
    ) -> None:
        self.name = name
        self.type = machine_type
        self.zone = zone
        self.spot = spot
        self.address = address
        self.state = MachineState.BOOTING
        self.created_at = now
        self.last_heartbeat_at = now
        # Since when the cloud lists the machine as running; None if it has not done so in this term.
        self.listed_running_since: float | None = None
        self.idle_since = now
        self.tasks_changed_at = now
        self.used_cpus = self.used_gpus = self.used_memory_gb = 0.0
        self.tasks: dict[TaskKey, TaskPlacement] = {}
        self.cached_images: OrderedDict[str, float] = OrderedDict()
        # Cached images whose fetch is known to be complete; the fetch of the others may still be abandoned.
        self.fetched_images: set[str] = set()
        self.last_heartbeat: Heartbeat | None = None
        self.fence_acknowledged = False
        # Whether the last heartbeat shows exactly the committed state, so that the worker needs no command. Until
        # something changes, an unchanged heartbeat is then not examined.
        self.in_sync = False
        # Task phases of the last heartbeat, as on the wire: an unknown phase is accepted.
        self.reported_phases: dict[AttemptKey, str] = {}
        # Attempts of the last heartbeat that exited because their gang was not complete in time.
        self.gang_waits_ended: set[AttemptKey] = set()
        # By attempt: the last heartbeat whose response carried the start command.
        self.starts_sent: dict[AttemptKey, HeartbeatOrder] = {}
        self.observed_attempts: set[AttemptKey] = set()
        self.task_phases: dict[TaskKey, str] = {}
        self.failed_jobs: dict[str, float] = {}
        self.no_placement_until = 0.0
        # The last heartbeat that got a response; how many heartbeats in a row do not show the effect of earlier
        # responses (one after an expired lease counts twice), and when the first of them arrived.
        self.last_responded: HeartbeatOrder | None = None
        self.unacknowledged_responses = 0
        self.unacknowledged_since = now

    def add_task(self, key: TaskKey, placement: TaskPlacement, spec: JobSpec) -> None:
        """Add a committed task and the resources that it uses."""
        self.in_sync = False
        if key not in self.tasks:
            self.used_cpus += spec.cpus
            self.used_gpus += spec.gpus
            self.used_memory_gb += spec.memory_gb
            self.record_image(spec.image, spec.image_gb)
        self.tasks[key] = placement

    def remove_task(self, key: TaskKey, spec: JobSpec, now: float, image_of: Callable[[TaskKey], str | None]) -> None:
        """Remove a task that is proven to have left; `image_of` returns the image of another task by its key.

        A worker abandons the fetch of an image that no task needs any more, so that such an image is not cached.
        Guards against preempting tasks on a machine for an image that it is wrongly believed to have.
        """
        placement = self.tasks.pop(key, None)
        if placement is None:
            return
        self.in_sync = False
        self.used_cpus -= spec.cpus
        self.used_gpus -= spec.gpus
        self.used_memory_gb -= spec.memory_gb
        if spec.image not in self.fetched_images and all(image_of(other) != spec.image for other in self.tasks):
            self.cached_images.pop(spec.image, None)
        self.tasks_changed_at = now
        attempt = (key[0], key[1], placement.attempt)
        self.starts_sent.pop(attempt, None)
        self.observed_attempts.discard(attempt)
        self.task_phases.pop(key, None)
        if not self.tasks:
            # Floating-point sums accumulate rounding errors: an empty machine uses exactly zero.
            self.used_cpus = self.used_gpus = self.used_memory_gb = 0.0
            self.idle_since = now

    def start_unanswered(self, attempt: AttemptKey) -> bool:
        """Return whether a start command was sent that the last heartbeat does not show the effect of.

        It went out with the response to that heartbeat, or to a later one that has not been applied: neither the
        attempt's absence from the heartbeat nor an exit in it proves that the attempt is not on the machine.
        """
        start_sent = self.starts_sent.get(attempt)
        if start_sent is None or self.last_heartbeat is None:
            return False
        return start_sent >= (self.last_heartbeat.worker_epoch, self.last_heartbeat.sequence)

    def excluded_jobs(self, now: float) -> Collection[str]:
        """Return the ids of the jobs whose failure here is recent, so that none of their tasks is placed here.

        `failed_jobs` holds the jobs that failed here since a task was done here, with the end of their exclusion.
        """
        if not self.failed_jobs:
            return ()
        return [job_id for job_id, until in self.failed_jobs.items() if until > now]

    def record_image(self, image: str, size_gb: float) -> None:
        """Record an image that is cached or being fetched, and drop the least recently used ones that it evicts."""
        self.cached_images[image] = size_gb
        self.cached_images.move_to_end(image)
        if self.type is not None:
            while len(self.cached_images) > 1 and sum(self.cached_images.values()) > self.type.cache_gb:
                self.fetched_images.discard(self.cached_images.popitem(last=False)[0])


def transition_machine(machine: Machine, to: MachineState) -> None:
    """Change a machine's state. No other code may change it."""
    if machine.state is to:
        return
    if (machine.state, to) not in _TRANSITIONS:
        raise IllegalTransitionError(
            f"machine {machine.name}: no transition from {machine.state.value} to {to.value}"
        )
    machine.state = to
