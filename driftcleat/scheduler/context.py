"""What all parts of a scheduler share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from driftcleat.cluster import ClusterState
from driftcleat.settings import Platform, Tuning
from driftcleat.store.layout import RecordLayout

INFINITE = float("inf")


@dataclass(slots=True)
class Counters:
    """Totals of one term, for metrics."""

    batches: int = 0
    rounds: int = 0
    # Rounds that ended with jobs left, since their time budget or the batch was used up.
    rounds_truncated: int = 0
    # Tasks that were placed, and tasks that were stopped for other work.
    placed: int = 0
    preempted: int = 0
    machines_created: int = 0
    machines_deleted: int = 0
    # Exits of tasks by reason.
    exits: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SchedulerContext:
    """Settings, cluster state, record layout, clocks, and the source of random numbers.

    `clock` is monotonic, `wall_clock` is the time of day; both return seconds.
    """

    platform: Platform
    tuning: Tuning
    cluster: ClusterState
    layout: RecordLayout
    rng: random.Random
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    counters: Counters = field(default_factory=Counters)
    # Names of machines to send stop commands to without waiting for their next heartbeat. `Scheduler` and
    # `Cancellations` add to this one set; the stop dispatcher empties it, through `Scheduler.urgent_stops`.
    urgent_stops: set[str] = field(default_factory=set)
