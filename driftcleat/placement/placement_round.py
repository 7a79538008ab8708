"""One placement round: each task is assigned to the best of a sample of feasible candidates."""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from driftcleat.cluster.jobs import Job
from driftcleat.placement.candidates import Candidate, spread_limit
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.wire.users import JobSpec

ANY_FETCH_RANK = 1_000_000

# The cost of one task by machine type, spot or on-demand, and whether its image must be fetched. The keys are plain
# tuples: one is created for each scored candidate, and a named tuple takes several times as long to create.
CostsByMachineKind = dict[tuple[str, bool, bool], float]
# A plain tuple for the same reason; `_score` names its parts.
Score = tuple[float, ...]


class TaskShape(NamedTuple):
    """The properties of a task that decide which candidates can take it: tasks of one shape fit the same ones."""

    cpus: float
    gpus: float
    memory_gb: float
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    spread: bool
    single_zone: bool


class TaskAssignment(NamedTuple):
    """The candidate that one task of a job was assigned to."""

    task_index: int
    candidate: Candidate


class PlacementRound:
    """Assigns tasks to candidates, and allocates the candidates' free resources to them."""

    def __init__(
        self,
        candidates: Iterable[Candidate],
        sample_size: int,
        rng: random.Random,
        is_blocked: Callable[[str, int], bool] = lambda job_id, index: False,
    ) -> None:
        """Shuffle the candidates; `is_blocked` returns whether a task (job id, task index) must not start."""
        self.candidates = list(candidates)
        rng.shuffle(self.candidates)
        self.sample_size = max(1, sample_size)
        self.rng = rng
        self.is_blocked = is_blocked
        self.unplaceable_shapes: set[TaskShape] = set()

    def place(
        self, job: Job, quota: QuotaHeadroom, max_tasks: int, max_fetch_rank: int = ANY_FETCH_RANK
    ) -> list[TaskAssignment]:
        """Return assignments for queued tasks of a job, and allocate candidates and quota to them.

        `max_fetch_rank` is the highest `Candidate.fetch_rank` that is acceptable: 0 requires the image to be cached
        or being fetched, 1 requires that no other fetch shares the machine's fetch rate.
        """
        if job.is_gang:
            return self._place_gang(job, quota, max_fetch_rank)
        return self._place_independent(job, quota, min(max_tasks, job.tasks_queued), max_fetch_rank)

    def _place_independent(
        self, job: Job, quota: QuotaHeadroom, max_tasks: int, max_fetch_rank: int
    ) -> list[TaskAssignment]:
        """Assign the tasks of an array or service one by one, as many as there is room for."""
        spec = job.spec
        counts = job.placements_by_zone()
        max_per_zone = spread_limit(spec)
        zone = next(iter(counts), None) if spec.single_zone else None
        assignments: list[TaskAssignment] = []
        candidate: Candidate | None = None
        index = -1
        while len(assignments) < max_tasks and quota.fits(spec, 1):
            index = job.next_queued_task(index)
            if index < 0:
                break
            if self.is_blocked(job.id, index):
                continue
            if candidate is None or not candidate.fits(spec) or counts.get(candidate.zone, 0) >= max_per_zone:
                # Search only once the last candidate is full: it was the best, and is better now that it fetches.
                candidate = self.find_best(
                    spec, zone, lambda candidate: counts.get(candidate.zone, 0) < max_per_zone, max_fetch_rank
                )
            if candidate is None:
                break
            candidate.allocate(spec)
            quota.consume(spec, 1)
            counts[candidate.zone] = counts.get(candidate.zone, 0) + 1
            if spec.single_zone:
                zone = candidate.zone
            assignments.append(TaskAssignment(index, candidate))
        return assignments

    def _place_gang(self, job: Job, quota: QuotaHeadroom, max_fetch_rank: int) -> list[TaskAssignment]:
        """Assign all queued tasks of a gang or none; none while a task of an earlier attempt is still placed."""
        spec = job.spec
        tasks = job.tasks_queued
        if job.placements or not quota.fits(spec, tasks):
            return []
        indices: list[int] = []
        index = job.next_queued_task(-1)
        while index >= 0:
            if self.is_blocked(job.id, index):
                return []
            indices.append(index)
            index = job.next_queued_task(index)
        zones = self._gang_zones(spec, tasks) if spec.single_zone else [None]
        for zone in zones:
            chosen = self._place_gang_in_zone(spec, zone, tasks, max_fetch_rank)
            if chosen is not None:
                quota.consume(spec, tasks)
                return [TaskAssignment(index, candidate) for index, candidate in zip(indices, chosen, strict=True)]
        return []

    def _gang_zones(self, spec: JobSpec, tasks: int) -> list[str | None]:
        """Return the zones with room for all tasks: most controllers first, then most room, then by name."""
        room: dict[str, int] = {}
        for candidate in self.candidates:
            if (
                candidate.fits(spec)
                and candidate.reserved_for in (None, spec.id)
                and candidate.satisfies_constraints(spec)
            ):
                room[candidate.zone] = room.get(candidate.zone, 0) + candidate.task_capacity(spec, tasks)
        controllers_elsewhere = {candidate.zone: candidate.controllers_elsewhere for candidate in self.candidates}
        sufficient = (zone for zone, count in room.items() if count >= tasks)
        return [*sorted(sufficient, key=lambda zone: (controllers_elsewhere[zone], -room[zone], zone))]

    def _place_gang_in_zone(
        self, spec: JobSpec, zone: str | None, tasks: int, max_fetch_rank: int
    ) -> list[Candidate] | None:
        """Return a candidate for each task, all in `zone` unless that is None.

        If there are not enough candidates, nothing is allocated and None is returned.
        """
        chosen: list[Candidate] = []
        counts: dict[str, int] = {}
        max_per_zone = spread_limit(spec)
        while len(chosen) < tasks:
            candidate = self.find_best(
                spec, zone, lambda candidate: counts.get(candidate.zone, 0) < max_per_zone, max_fetch_rank
            )
            if candidate is None:
                for used in chosen:
                    used.release(spec)
                return None
            # Fill the machine before the next search: consecutive tasks on one machine make short records.
            while len(chosen) < tasks and candidate.fits(spec) and counts.get(candidate.zone, 0) < max_per_zone:
                candidate.allocate(spec)
                counts[candidate.zone] = counts.get(candidate.zone, 0) + 1
                chosen.append(candidate)
        return chosen

    def find_best(
        self,
        spec: JobSpec,
        zone: str | None,
        spread_permits: Callable[[Candidate], bool],
        max_fetch_rank: int = ANY_FETCH_RANK,
    ) -> Candidate | None:
        """Return the best of the first `sample_size` feasible candidates after a random start; it is not allocated.

        A shape that no candidate can take is not searched for again in this round.
        """
        shape = _task_shape(spec, zone)
        if shape in self.unplaceable_shapes:
            return None
        candidates = self.candidates
        count = len(candidates)
        start = self.rng.randrange(count) if count else 0
        best: Candidate | None = None
        best_score: Score = ()
        costs: CostsByMachineKind = {}
        scored = 0
        rejected_for_job = False
        for offset in range(count):
            candidate = candidates[(start + offset) % count]
            # Resources are checked first, outside `_filter`: in a full cluster they rule out most candidates.
            if not candidate.fits(spec) or not _filter(spec, zone, candidate):
                continue
            if not _filter_for_job(spec, candidate, max_fetch_rank) or not spread_permits(candidate):
                rejected_for_job = True
                continue
            score = _score(spec, candidate, costs)
            if best is None or score < best_score:
                best = candidate
                best_score = score
            scored += 1
            if scored >= self.sample_size:
                break
        if best is None and not rejected_for_job:
            self.unplaceable_shapes.add(shape)
        return best


def _task_shape(spec: JobSpec, zone: str | None) -> TaskShape:
    return TaskShape(
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.machine_types,
        zone or spec.zone,
        spec.spot,
        spec.spread,
        spec.single_zone,
    )


def _filter(spec: JobSpec, zone: str | None, candidate: Candidate) -> bool:
    """Return whether a candidate satisfies the constraints of the task's shape on machine type, zone and spot."""
    return candidate.satisfies_constraints(spec) and (zone is None or candidate.zone == zone)


def _filter_for_job(spec: JobSpec, candidate: Candidate, max_fetch_rank: int) -> bool:
    """Return whether a candidate for the shape may take tasks of this job; other jobs of the shape may differ."""
    return (
        spec.id not in candidate.excluded_jobs
        and candidate.reserved_for in (None, spec.id)
        and candidate.fetch_rank(spec.image) <= max_fetch_rank
    )


def _score(spec: JobSpec, candidate: Candidate, costs: CostsByMachineKind) -> Score:
    """Return a candidate's score; lower is better.

    In order: fetch rank, cost of the resources, controllers in other zones, whether the machine is idle, GPUs left
    over, CPUs left over. `costs` caches the cost by kind of machine, since hundreds of machines are of one kind.
    """
    fetch_rank = candidate.fetch_rank(spec.image)
    kind = (candidate.machine_type, candidate.spot, fetch_rank > 0)
    cost = costs.get(kind)
    if cost is None:
        cost = costs[kind] = (
            candidate.fetch_weighted_cost(spec) if fetch_rank else candidate.dominant_share_cost(spec)
        )
    return (
        float(fetch_rank),
        cost,
        float(candidate.controllers_elsewhere),
        0.0 if candidate.busy else 1.0,
        candidate.gpus - spec.gpus,
        candidate.cpus - spec.cpus,
    )
