"""The settings, state and counters that all components of a scheduler share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from driftcleat.cluster import ClusterState
from driftcleat.settings import Platform, Tuning
from driftcleat.store.layout import RecordLayout

INFINITE = float("inf")


@dataclass(slots=True)
class Counters:
    """Totals since the start of the term, for metrics."""

    batches: int = 0
    # Batches that could not be sent, or that the state service rejected.
    batches_rejected: int = 0
    rounds: int = 0
    # Rounds that ended before all jobs were attempted, because the time budget was spent or the batch was full.
    rounds_truncated: int = 0
    # Tasks that were placed, and tasks that were preempted.
    placed: int = 0
    preempted: int = 0
    machines_created: int = 0
    machines_deleted: int = 0
    # Task exits by reason.
    exits: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SchedulerContext:
    """Settings, cluster state, record layout, clocks and the random number generator.

    `clock` is monotonic, `wall_clock` returns the time of day; both in seconds.
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
    # `Cancellations` add to this set; the stop dispatcher takes them out through `Scheduler.urgent_stops`.
    urgent_stops: set[str] = field(default_factory=set)
