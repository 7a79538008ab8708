"""Candidates for sizing, in groups of interchangeable machines."""

from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from driftcleat.capacity.demand import Demand
from driftcleat.placement.candidates import Candidate, satisfies_constraints
from driftcleat.wire.users import JobSpec

# Decimal places to which the free resources of machines in one group are equal.
FREE_RESOURCE_DECIMALS = 4

# (machine type, zone, spot, busy, free CPUs, free GPUs, free memory, name). The name is set only for a machine on
# which tasks failed, so that it forms a group of its own. A plain tuple, since a named tuple takes longer to create,
# and each plan creates one for each machine.
GroupKey = tuple[str, str, bool, bool, float, float, float, str]


class CandidateGroup(NamedTuple):
    """Interchangeable machines: one of them as a candidate, and the names of all."""

    candidate: Candidate
    names: list[str]


class CandidatePool:
    """Candidates in groups; a fleet of hundreds of machines forms a few dozen groups."""

    def __init__(self, candidates: Iterable[Candidate] = ()) -> None:
        self.groups: dict[GroupKey, CandidateGroup] = {}
        for candidate in candidates:
            self.add(candidate, [candidate.name])

    def add_to_group(self, key: GroupKey, name: str) -> bool:
        """Add a machine to its group; return False if there is no such group: the caller then opens it."""
        group = self.groups.get(key)
        if group is None:
            return False
        group.names.append(name)
        return True

    def open_group(self, key: GroupKey, candidate: Candidate) -> None:
        """Create a group with its first machine."""
        self.groups[key] = CandidateGroup(candidate, [candidate.name])

    def add(self, candidate: Candidate, names: list[str]) -> None:
        """Add machines that are interchangeable with a candidate; the pool may keep and change the list of names."""
        key = (
            candidate.machine_type,
            candidate.zone,
            candidate.spot,
            candidate.busy,
            round(candidate.cpus, FREE_RESOURCE_DECIMALS),
            round(candidate.gpus, FREE_RESOURCE_DECIMALS),
            round(candidate.memory_gb, FREE_RESOURCE_DECIMALS),
            candidate.name if candidate.excluded_jobs else "",
        )
        group = self.groups.get(key)
        if group is None:
            self.groups[key] = CandidateGroup(candidate, names)
        else:
            group.names.extend(names)

    def task_capacity(self, spec: JobSpec, zone: str, max_tasks: int) -> int:
        """Return how many tasks of a shape fit into the candidates of a zone, up to `max_tasks`."""
        count = 0
        for candidate, names in self.groups.values():
            if candidate.zone == zone and satisfies_constraints(spec, candidate.machine_type, zone, candidate.spot):
                count += len(names) * candidate.task_capacity(spec, max_tasks)
                if count >= max_tasks:
                    return max_tasks
        return count

    def pack(self, demand: Demand, used: set[str]) -> None:
        """Pack a demand into the candidates, and add the names of the machines that it uses to `used`.

        Busy machines come first, then those where a task costs least, then those with the least free resources:
        machines that stay empty can be scaled in.
        """
        spec = demand.spec
        for key in self._ranked_groups(demand):
            if demand.tasks <= 0:
                return
            candidate, names = self.groups[key]
            max_tasks = min(demand.tasks, demand.room_in_zone(candidate.zone))
            per_machine = candidate.task_capacity(spec, max_tasks) if max_tasks > 0 else 0
            if per_machine <= 0:
                continue
            filled = min(len(names), max_tasks // per_machine)
            rest = max_tasks - filled * per_machine if filled < len(names) else 0
            for tasks, count in ((per_machine, filled), (rest, 1)):
                if tasks > 0 and count > 0:
                    taken = names[:count]
                    del names[:count]
                    used.update(taken)
                    remaining = replace(candidate, name=taken[0], fetching_images=set())
                    remaining.allocate(spec, tasks)
                    self.add(remaining, taken)
            demand.record_packed(candidate.zone, filled * per_machine + rest)

    def _ranked_groups(self, demand: Demand) -> list[GroupKey]:
        """Return the keys of the groups that a demand may use and fits into, best first."""
        spec = demand.spec
        # A task costs the same on all machines of one type, spot or on-demand.
        costs: dict[tuple[str, bool], float] = {}
        ranked: list[tuple[tuple[bool, float, int, float, float], GroupKey]] = []
        for key, (candidate, names) in self.groups.items():
            if not names or not candidate.fits(spec) or not demand.may_use(candidate):
                continue
            kind = (candidate.machine_type, candidate.spot)
            cost = costs.get(kind)
            if cost is None:
                cost = costs[kind] = candidate.fetch_weighted_cost(spec)
            rank = (not candidate.busy, cost, candidate.controllers_elsewhere, candidate.gpus, candidate.cpus)
            ranked.append((rank, key))
        ranked.sort(key=lambda entry: entry[0])
        return [key for _, key in ranked]
