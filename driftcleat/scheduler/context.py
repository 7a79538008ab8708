"""What all parts of a term share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from driftcleat.cluster import ClusterState
from driftcleat.settings import Platform, Tuning
from driftcleat.store.layout import RecordLayout

INFINITE = float("inf")


@dataclass(slots=True)
class Counters:
    """What a term has done, for metrics."""

    batches: int = 0
    rounds: int = 0
    rounds_truncated: int = 0
    placed: int = 0
    preempted: int = 0
    machines_created: int = 0
    machines_deleted: int = 0
    exits: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SchedulerContext:
    """Settings, the cluster's state, the layout of its records, clocks and the source of random numbers."""

    platform: Platform
    tuning: Tuning
    cluster: ClusterState
    layout: RecordLayout
    rng: random.Random
    clock: Callable[[], float]
    wall: Callable[[], float]
    counters: Counters = field(default_factory=Counters)
