"""One placement round: guarantees first, then rank; best fit among a sample that widens until one fits."""

import random
from collections.abc import Callable, Iterable

from driftcleat.cluster.jobs import Job
from driftcleat.placement.candidates import Candidate, spread_limit
from driftcleat.placement.quota import QuotaHeadroom
from driftcleat.wire.users import JobSpec

UNBOUNDED = 1_000_000

# What one task costs on machines of a type, ordinary or spot, with its image or without.
PlaceCosts = dict[tuple[str, bool, bool], float]
TaskShape = tuple[float, float, float, tuple[str, ...] | None, str | None, bool, bool, bool]


class PlacementRound:
    """Places tasks on candidates until the time budget is used up."""

    def __init__(
        self,
        candidates: Iterable[Candidate],
        sample: int,
        rng: random.Random,
        blocked: Callable[[str, int], bool] = lambda job, index: False,
    ) -> None:
        self.candidates = [candidate for candidate in candidates]
        rng.shuffle(self.candidates)
        self.sample, self.rng, self.is_blocked = max(1, sample), rng, blocked
        self.unplaceable: set[TaskShape] = set()
        self.max_fetch_rank = UNBOUNDED

    def place(
        self, job: Job, quota: QuotaHeadroom, most: int, max_fetch_rank: int = UNBOUNDED
    ) -> list[tuple[int, Candidate]]:
        """Return places for queued tasks of a job; candidates and limits are used up by them.

        `max_fetch_rank` is the highest `Candidate.fetch_rank` that will do: 0 wants the image to be there, 1 wants
        no other fetch to share with.
        """
        self.max_fetch_rank = max_fetch_rank
        if job.is_gang:
            return self._place_gang(job, quota)
        return self._place_some(job, quota, min(most, job.tasks_queued))

    def _place_some(self, job: Job, quota: QuotaHeadroom, most: int) -> list[tuple[int, Candidate]]:
        spec = job.spec
        counts = job.placements_by_zone()
        per_zone = spread_limit(spec)
        zone = next(iter(counts), None) if spec.single_zone else None
        placed: list[tuple[int, Candidate]] = []
        candidate: Candidate | None = None
        index = -1
        while len(placed) < most and quota.fits(spec, 1):
            index = job.next_queued_task(index)
            if index < 0:
                break
            if self.is_blocked(job.id, index):
                continue
            if candidate is None or not self._usable(spec, candidate) or counts.get(candidate.zone, 0) >= per_zone:
                # The candidate found last is filled up first: it was the best, and is better now that it fetches.
                candidate = self.find_best(spec, zone, lambda candidate: counts.get(candidate.zone, 0) < per_zone)
            if candidate is None:
                break
            candidate.allocate(spec)
            quota.consume(spec, 1)
            counts[candidate.zone] = counts.get(candidate.zone, 0) + 1
            if spec.single_zone:
                zone = candidate.zone
            placed.append((index, candidate))
        return placed

    @staticmethod
    def _usable(spec: JobSpec, candidate: Candidate) -> bool:
        return candidate.fits(spec)

    def _place_gang(self, job: Job, quota: QuotaHeadroom) -> list[tuple[int, Candidate]]:
        """All queued tasks at once or none; only when no task of an older attempt is left anywhere."""
        spec = job.spec
        need = job.tasks_queued
        if job.placements or not quota.fits(spec, need):
            return []
        indices: list[int] = []
        index = job.next_queued_task(-1)
        while index >= 0:
            if self.is_blocked(job.id, index):
                return []
            indices.append(index)
            index = job.next_queued_task(index)
        zones: list[str | None] = [None]
        if spec.single_zone:
            free: dict[str, int] = {}
            for candidate in self.candidates:
                if candidate.fits(spec) and candidate.reserved_for in (None, spec.id) and candidate.allows(spec):
                    free[candidate.zone] = free.get(candidate.zone, 0) + candidate.capacity(spec, need)
            free = {name: count for name, count in free.items() if count >= need}
            away = {candidate.zone: candidate.controllers_elsewhere for candidate in self.candidates}
            zones = [*sorted(free, key=lambda name: (away[name], -free[name], name))]
        for zone in zones:
            chosen = self._gang_in(spec, zone, need)
            if chosen is not None:
                quota.consume(spec, need)
                return list(zip(indices, chosen, strict=True))
        return []

    def _gang_in(self, spec: JobSpec, zone: str | None, need: int) -> list[Candidate] | None:
        chosen: list[Candidate] = []
        counts: dict[str, int] = {}
        per_zone = spread_limit(spec)
        while len(chosen) < need:
            candidate = self.find_best(spec, zone, lambda candidate: counts.get(candidate.zone, 0) < per_zone)
            if candidate is None:
                for used in chosen:
                    used.release(spec)
                return None
            # Fill the machine before looking further: consecutive tasks make short records.
            while len(chosen) < need and candidate.fits(spec) and counts.get(candidate.zone, 0) < per_zone:
                candidate.allocate(spec)
                counts[candidate.zone] = counts.get(candidate.zone, 0) + 1
                chosen.append(candidate)
        return chosen

    def find_best(self, spec: JobSpec, zone: str | None, also: Callable[[Candidate], bool]) -> Candidate | None:
        """Return the best fit among the first sample of candidates of which any fits."""
        shape = (
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.machine_types,
            zone or spec.zone,
            spec.spot,
            spec.spread,
            spec.single_zone,
        )
        if shape in self.unplaceable:
            return None
        start = self.rng.randrange(len(self.candidates)) if self.candidates else 0
        best: Candidate | None = None
        best_score: tuple[float, ...] = ()
        costs: PlaceCosts = {}
        seen = 0
        refused = False
        for offset in range(len(self.candidates)):
            candidate = self.candidates[(start + offset) % len(self.candidates)]
            if not candidate.fits(spec):
                continue
            if not candidate.allows(spec) or (zone is not None and candidate.zone != zone):
                continue
            if (
                spec.id in candidate.failed_jobs
                or candidate.reserved_for not in (None, spec.id)
                or not also(candidate)
                or (candidate.fetch_rank(spec.image) > self.max_fetch_rank)
            ):
                refused = True
                continue
            score = self._score(spec, candidate, costs)
            if best is None or score < best_score:
                best, best_score = candidate, score
            seen += 1
            if seen >= self.sample:
                break
        if best is None and not refused:
            self.unplaceable.add(shape)
        return best

    @staticmethod
    def _score(spec: JobSpec, candidate: Candidate, costs: PlaceCosts) -> tuple[float, ...]:
        """Lower is better: image there already, what the place is worth, zone, machine in use, what is left over.

        `costs` keeps what the task costs on each kind of machine: worked out once for hundreds of machines alike.
        """
        rank = candidate.fetch_rank(spec.image)
        kind = (candidate.machine_type, candidate.spot, rank > 0)
        cost = costs.get(kind)
        if cost is None:
            cost = costs[kind] = candidate.slow_cost(spec) if rank else candidate.share_cost(spec)
        return (
            float(rank),
            cost,
            float(candidate.controllers_elsewhere),
            0.0 if candidate.busy else 1.0,
            candidate.gpus - spec.gpus,
            candidate.cpus - spec.cpus,
        )
