"""One placement round: guarantees first, then rank; best fit among a sample that widens until one fits."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from driftcleat.model.jobs import Job
from driftcleat.wire.users import Submission

from .rooms import Room, allowed, capacity, fits, spread_limit
from .victims import Victim

MANY = 1_000_000

Shape = tuple[float, float, float, tuple[str, ...] | None, str | None, bool, bool, bool]


@dataclass(slots=True)
class Limits:
    """What a team may still take; infinite where it has no limit."""

    cpus: float
    gpus: float

    def fits(self, spec: Submission, tasks: int) -> bool:
        """Tell whether that many tasks stay within the limit."""
        return spec.cpus * tasks <= self.cpus + 1e-6 and spec.gpus * tasks <= self.gpus + 1e-6

    def take(self, spec: Submission, tasks: int) -> None:
        """Use up what tasks need."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks


@dataclass(frozen=True, slots=True)
class Preemption:
    """Stop these tasks (maybe none), so that a task finds room on a machine."""

    room: Room
    victims: tuple[Victim, ...]
    cost: float


class PlacementRound:
    """Places tasks into rooms until the time budget is used up."""

    def __init__(
        self,
        rooms: Iterable[Room],
        sample: int,
        rng: random.Random,
        blocked: Callable[[str, int], bool] = lambda job, index: False,
    ) -> None:
        self.rooms = [room for room in rooms]
        rng.shuffle(self.rooms)
        self.sample, self.rng, self.blocked = max(1, sample), rng, blocked
        self.hopeless: set[Shape] = set()
        self.most_fetches = MANY

    def place(self, job: Job, limits: Limits, most: int, most_fetches: int = MANY) -> list[tuple[int, Room]]:
        """Return places for queued tasks of a job; the rooms and limits are used up by them.

        `most_fetches` is the highest `Room.fetch_rank` that will do: 0 wants the image to be there, 1 wants
        no other fetch to share with.
        """
        self.most_fetches = most_fetches
        if job.is_gang:
            return self._place_gang(job, limits)
        return self._place_some(job, limits, min(most, job.queued))

    def _place_some(self, job: Job, limits: Limits, most: int) -> list[tuple[int, Room]]:
        spec = job.spec
        counts = job.zone_counts()
        per_zone = spread_limit(spec)
        zone = next(iter(counts), None) if spec.one_zone else None
        placed: list[tuple[int, Room]] = []
        room: Room | None = None
        index = -1
        while len(placed) < most and limits.fits(spec, 1):
            index = job.next_queued(index)
            if index < 0:
                break
            if self.blocked(job.id, index):
                continue
            if room is None or not self._usable(spec, room) or counts.get(room.zone, 0) >= per_zone:
                # The room found last is filled up first: it was the best, and is better now that it fetches.
                room = self.find(spec, zone, lambda room: counts.get(room.zone, 0) < per_zone)
            if room is None:
                break
            room.take(spec)
            limits.take(spec, 1)
            counts[room.zone] = counts.get(room.zone, 0) + 1
            if spec.one_zone:
                zone = room.zone
            placed.append((index, room))
        return placed

    @staticmethod
    def _usable(spec: Submission, room: Room) -> bool:
        return fits(spec, room.cpus, room.gpus, room.memory_gb)

    def _place_gang(self, job: Job, limits: Limits) -> list[tuple[int, Room]]:
        """All queued tasks at once or none; only when no task of an older attempt is left anywhere."""
        spec = job.spec
        need = job.queued
        if job.places or not limits.fits(spec, need):
            return []
        indices: list[int] = []
        index = job.next_queued(-1)
        while index >= 0:
            if self.blocked(job.id, index):
                return []
            indices.append(index)
            index = job.next_queued(index)
        zones: list[str | None] = [None]
        if spec.one_zone:
            free: dict[str, int] = {}
            for room in self.rooms:
                if (
                    fits(spec, room.cpus, room.gpus, room.memory_gb)
                    and room.held_for in (None, spec.id)
                    and allowed(spec, room.type, room.zone, room.spot)
                ):
                    free[room.zone] = free.get(room.zone, 0) + capacity(
                        spec, room.cpus, room.gpus, room.memory_gb, need
                    )
            free = {name: count for name, count in free.items() if count >= need}
            away = {room.zone: room.away for room in self.rooms}
            zones = [*sorted(free, key=lambda name: (away[name], -free[name], name))]
        for zone in zones:
            chosen = self._gang_in(spec, zone, need)
            if chosen is not None:
                limits.take(spec, need)
                return list(zip(indices, chosen, strict=True))
        return []

    def _gang_in(self, spec: Submission, zone: str | None, need: int) -> list[Room] | None:
        chosen: list[Room] = []
        counts: dict[str, int] = {}
        per_zone = spread_limit(spec)
        while len(chosen) < need:
            room = self.find(spec, zone, lambda room: counts.get(room.zone, 0) < per_zone)
            if room is None:
                for used in chosen:
                    used.give(spec)
                return None
            # Fill the machine before looking further: consecutive tasks make short records.
            while (
                len(chosen) < need
                and fits(spec, room.cpus, room.gpus, room.memory_gb)
                and counts.get(room.zone, 0) < per_zone
            ):
                room.take(spec)
                counts[room.zone] = counts.get(room.zone, 0) + 1
                chosen.append(room)
        return chosen

    def find(self, spec: Submission, zone: str | None, also: Callable[[Room], bool]) -> Room | None:
        """Return the best fit among the first sample of rooms in which any fits."""
        shape = (
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.types,
            zone or spec.zone,
            spec.spot,
            spec.spread,
            spec.one_zone,
        )
        if shape in self.hopeless:
            return None
        start = self.rng.randrange(len(self.rooms)) if self.rooms else 0
        best: Room | None = None
        best_score: tuple[float, ...] = ()
        seen = 0
        refused = False
        for offset in range(len(self.rooms)):
            room = self.rooms[(start + offset) % len(self.rooms)]
            if not fits(spec, room.cpus, room.gpus, room.memory_gb):
                continue
            if not allowed(spec, room.type, room.zone, room.spot) or (zone is not None and room.zone != zone):
                continue
            if (
                spec.id in room.avoided_by
                or room.held_for not in (None, spec.id)
                or not also(room)
                or (room.fetch_rank(spec.image) > self.most_fetches)
            ):
                refused = True
                continue
            score = self._score(spec, room)
            if best is None or score < best_score:
                best, best_score = room, score
            seen += 1
            if seen >= self.sample:
                break
        if best is None and not refused:
            self.hopeless.add(shape)
        return best

    def _score(self, spec: Submission, room: Room) -> tuple[float, ...]:
        """Lower is better: image there already, what the place is worth, zone, machine in use, what is left over."""
        rank = room.fetch_rank(spec.image)
        cost = room.slow_cost(spec) if rank else room.share_cost(spec)
        return (
            float(rank),
            cost,
            float(room.away),
            0.0 if room.busy else 1.0,
            room.gpus - spec.gpus,
            room.cpus - spec.cpus,
        )


def plan_preemption(spec: Submission, room: Room, victims: list[Victim]) -> Preemption | None:
    """Return the cheapest set of these tasks whose stop makes room for one task; empty if there is room already."""
    if (
        spec.id in room.avoided_by
        or room.held_for not in (None, spec.id)
        or not allowed(spec, room.type, room.zone, room.spot)
    ):
        return None
    cpus, gpus, memory_gb = room.cpus, room.gpus, room.memory_gb
    chosen: list[Victim] = []
    cost = 0.0
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if fits(spec, cpus, gpus, memory_gb):
            break
        other = victim.job.spec
        cpus, gpus, memory_gb = cpus + other.cpus, gpus + other.gpus, memory_gb + other.memory_gb
        chosen.append(victim)
        cost += victim.cost
    return Preemption(room, tuple(chosen), cost) if fits(spec, cpus, gpus, memory_gb) else None
