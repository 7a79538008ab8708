"""What all parts of a term share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from driftcleat.model import Cluster
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import Layout

INFINITE = float("inf")


@dataclass(slots=True)
class Counters:
    """What a term has done, for metrics."""

    batches: int = 0
    rounds: int = 0
    rounds_cut: int = 0
    placed: int = 0
    preempted: int = 0
    rented: int = 0
    returned: int = 0
    failures: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TermContext:
    """Settings, the cluster's state, the layout of its records, clocks and the source of random numbers."""

    platform: Platform
    tuning: Tuning
    cluster: Cluster
    layout: Layout
    rng: random.Random
    clock: Callable[[], float]
    wall: Callable[[], float]
    counters: Counters = field(default_factory=Counters)
