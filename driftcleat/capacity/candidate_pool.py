"""Candidates for sizing, in groups of those that are alike."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from driftcleat.capacity.demand import Demand, may_use, zone_left
from driftcleat.placement.candidates import Candidate, allowed
from driftcleat.wire.users import JobSpec

GroupKey = tuple[str, str, bool, bool, float, float, float, str]
# Amounts that differ by less are alike.
ALIKE_DIGITS = 4


class CandidatePool:
    """Candidates that are alike lie in one group: a fleet of hundreds has a few dozen kinds."""

    def __init__(self, candidates: Iterable[Candidate] = ()) -> None:
        self.groups: dict[GroupKey, tuple[Candidate, list[str]]] = {}
        for candidate in candidates:
            self._add(candidate, [candidate.name])

    def add(self, key: GroupKey, name: str, make: Callable[[], Candidate]) -> None:
        """Count a machine in; a candidate is made only of the first of each group."""
        group = self.groups.get(key)
        if group is None:
            self.groups[key] = (make(), [name])
        else:
            group[1].append(name)

    def _add(self, candidate: Candidate, names: list[str]) -> None:
        key = (
            candidate.machine_type,
            candidate.zone,
            candidate.spot,
            candidate.busy,
            round(candidate.cpus, ALIKE_DIGITS),
            round(candidate.gpus, ALIKE_DIGITS),
            round(candidate.memory_gb, ALIKE_DIGITS),
            candidate.name if candidate.failed_jobs else "",
        )
        group = self.groups.get(key)
        if group is None:
            self.groups[key] = (candidate, names)
        else:
            group[1].extend(names)

    def tasks(self, spec: JobSpec, zone: str, most: int) -> int:
        """Return how many tasks of this shape fit into the candidates of a zone, up to `most`."""
        count = 0
        for candidate, names in self.groups.values():
            if candidate.zone == zone and allowed(spec, candidate.machine_type, zone, candidate.spot):
                count += len(names) * candidate.capacity(spec, most)
                if count >= most:
                    return most
        return count

    def fill(self, demand: Demand, used: set[str]) -> None:
        """Put a demand into machines in use first, where a task costs least, the tightest first: what stays empty
        can be returned."""
        spec = demand.spec
        for key in self._fitting(demand):
            if demand.tasks <= 0:
                return
            candidate, names = self.groups[key]
            most = min(demand.tasks, zone_left(demand, candidate.zone))
            each = candidate.capacity(spec, most) if most > 0 else 0
            if each <= 0:
                continue
            whole = min(len(names), most // each)
            rest = most - whole * each if whole < len(names) else 0
            for tasks, count in ((each, whole), (rest, 1)):
                if tasks > 0 and count > 0:
                    taken, names[:count] = names[:count], []
                    used.update(taken)
                    smaller = replace(candidate, name=taken[0], fetching_images=set())
                    smaller.allocate(spec, tasks)
                    self._add(smaller, taken)
            demand.took(candidate.zone, whole * each + rest)

    def _fitting(self, demand: Demand) -> list[GroupKey]:
        """Return the groups that a demand may use, the best first."""
        spec = demand.spec
        # A task costs the same on all machines of one type and kind.
        costs: dict[tuple[str, bool], float] = {}
        fitting: list[tuple[bool, float, int, float, float, GroupKey]] = []
        for key, (candidate, names) in self.groups.items():
            if not names or not candidate.fits(spec) or not may_use(demand, candidate):
                continue
            kind = (candidate.machine_type, candidate.spot)
            cost = costs.get(kind)
            if cost is None:
                cost = costs[kind] = candidate.fetch_weighted_cost(spec)
            fitting.append(
                (not candidate.busy, cost, candidate.controllers_elsewhere, candidate.gpus, candidate.cpus, key)
            )
        fitting.sort(key=lambda row: row[:5])
        return [row[5] for row in fitting]
