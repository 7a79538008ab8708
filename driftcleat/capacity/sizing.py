"""Sizing: which machines the queue needs beyond those there are. Pure, like placement."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from driftcleat.placement.candidates import (
    FETCH_SPEED_WEIGHT,
    Candidate,
    allowed,
    capacity,
    latency_sensitive,
    share,
)
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobSpec

MachineOffer = tuple[str, str, bool]

# What stays free on a new machine is worth this part of its price: later arrivals use it.
LEFT_OVER = 0.6


@dataclass(slots=True)
class Demand:
    """Tasks of one shape that want room now, or are expected to."""

    spec: JobSpec
    tasks: int
    zones: dict[str, int]
    # Set once it is decided in which zone a job that wants only one shall be.
    only: str | None = None

    # How many of the tasks one zone may hold; None: all.
    per_zone: int | None = None

    # What a task costs an hour, once it was worked out.
    _cost: float | None = None

    def __post_init__(self) -> None:
        # Guards against taking the size of one job as the limit for all that are expected of its class: the rest
        # was then rented in another zone, at any price.
        if self.spec.spread:
            self.per_zone = -(-max(self.spec.tasks, self.tasks + sum(self.zones.values())) // 2)

    def took(self, zone: str, tasks: int) -> None:
        """Count tasks that found room."""
        self.tasks -= tasks
        self.zones[zone] = self.zones.get(zone, 0) + tasks

    def cost(self, types: dict[str, MachineType]) -> float:
        """Return what a task costs an hour on the type that suits it best, if that is filled up."""
        if self._cost is None:
            spec = self.spec
            self._cost = min(
                (
                    machine_type.price * share(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
                    for machine_type in types.values()
                    if spec.machine_types is None or machine_type.name in spec.machine_types
                ),
                default=0.0,
            )
        return self._cost


@dataclass(slots=True)
class CapacityPlan:
    """What to rent, and which present machines the demand uses."""

    scale_out: dict[MachineOffer, int]
    machines_in_use: set[str]


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
            most = min(demand.tasks, _zone_left(demand, candidate.zone))
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
            if not names or not candidate.fits(spec) or not _may_use(demand, candidate):
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


def plan_fleet(
    demands: Iterable[Demand],
    candidates: Iterable[Candidate] | CandidatePool,
    types: dict[str, MachineType],
    refused: Callable[[MachineOffer], bool],
    most: int,
    away: Callable[[str], int] = lambda zone: 0,
) -> CapacityPlan:
    """Pack demands into present and booting machines first, then into the new machines they fill best."""
    plan = CapacityPlan({}, set())
    left: list[Demand] = []
    pool = candidates if isinstance(candidates, CandidatePool) else CandidatePool(candidates)
    for demand in demands:
        if demand.spec.single_zone:
            demand.only = _one_zone(demand, pool, types, refused, away)
        pool.fill(demand, plan.machines_in_use)
        if demand.tasks > 0:
            left.append(demand)
    rented = 0
    while rented < most:
        offer = _best_offer(left, types, refused, away)
        if offer is None:
            break
        candidate = _fresh(types[offer[0]], offer)
        filled = [(demand, taken) for demand in left if (taken := _fill(demand, candidate)) > 0]
        count = 1
        # Further machines would be filled the same way for as long as the demands last.
        if not any(demand.spec.spread for demand, _ in filled):
            count += min(most - rented - 1, *(demand.tasks // taken for demand, taken in filled))
            for demand, taken in filled:
                demand.took(offer[1], taken * (count - 1))
        left = [demand for demand in left if demand.tasks > 0]
        plan.scale_out[offer] = plan.scale_out.get(offer, 0) + count
        rented += count
    return plan


def _one_zone(
    demand: Demand,
    pool: CandidatePool,
    types: dict[str, MachineType],
    refused: Callable[[MachineOffer], bool],
    away: Callable[[str], int],
) -> str | None:
    """Return the zone where a one-zone job lacks least, of those where what it lacks can be had.

    Guards against counting machines of two zones for a job that may use only one: it then waited for ever.
    """
    spec = demand.spec
    if demand.zones:
        return next(iter(demand.zones))
    zones = sorted(
        {zone for machine_type in types.values() for zone in machine_type.zones}
        | {candidate.zone for candidate, _ in pool.groups.values()}
    )
    best: tuple[int, int, str] | None = None
    for zone in zones:
        lacking = demand.tasks - pool.tasks(spec, zone, demand.tasks)
        to_be_had = any(
            zone in machine_type.zones
            and allowed(spec, machine_type.name, zone, spot)
            and capacity(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, 1)
            and not refused((machine_type.name, zone, spot))
            for machine_type in types.values()
            for spot in (True, False)
        )
        if (lacking == 0 or to_be_had) and (best is None or (lacking, away(zone), zone) < best):
            best = (lacking, away(zone), zone)
    return best[2] if best is not None else None


def _fresh(machine_type: MachineType, offer: MachineOffer) -> Candidate:
    return Candidate(
        "",
        machine_type.name,
        offer[1],
        offer[2],
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        fetch_gb_per_s=machine_type.fetch_gb_per_s,
    )


def _free_share(machine_type: MachineType, candidate: Candidate) -> float:
    """Return the part of a machine that is still free, by what is scarcest on it."""
    return max(
        0.0,
        min(
            free / whole
            for free, whole in (
                (candidate.cpus, machine_type.cpus),
                (candidate.gpus, machine_type.gpus),
                (candidate.memory_gb, machine_type.memory_gb),
            )
            if whole > 0
        ),
    )


def _best_offer(
    left: list[Demand],
    types: dict[str, MachineType],
    refused: Callable[[MachineOffer], bool],
    away: Callable[[str], int],
) -> MachineOffer | None:
    """Return the offer that is worth most for its price, filled with what is left; None when nothing helps."""
    wanted = sum(demand.tasks for demand in left)
    best: MachineOffer | None = None
    best_worth = 0.0
    fastest = max((machine_type.fetch_gb_per_s for machine_type in types.values()), default=1.0)
    for machine_type in types.values():
        for zone in sorted(machine_type.zones, key=away):
            for spot in (True, False):
                offer = (machine_type.name, zone, spot)
                price = machine_type.spot_price if spot else machine_type.price
                if refused(offer):
                    continue
                candidate = _fresh(machine_type, offer)
                worth, filled = 0.0, 0
                for demand in left:
                    if (candidate.gpus > 0 or candidate.cpus > 0) and (taken := _fill(demand, candidate, dry=True)):
                        filled += taken
                        speed = (
                            (machine_type.fetch_gb_per_s / fastest) ** FETCH_SPEED_WEIGHT
                            if latency_sensitive(demand.spec)
                            else 1.0
                        )
                        worth += demand.cost(types) * taken * speed
                if worth > 0:
                    # Guards against many small machines with one task each: what none of the others fits into
                    # is worth nothing while others wait.
                    spare = LEFT_OVER * price * _free_share(machine_type, candidate) if filled == wanted else 0.0
                    worth = (worth + spare) / max(price, 1e-9)
                if worth > best_worth + 1e-9:
                    best, best_worth = offer, worth
    return best


def _may_use(demand: Demand, candidate: Candidate) -> bool:
    spec = demand.spec
    return (
        candidate.allows(spec)
        and spec.id not in candidate.failed_jobs
        and (demand.only is None or candidate.zone == demand.only)
    )


def _zone_left(demand: Demand, zone: str) -> int:
    """Return how many more tasks of a job may be in a zone."""
    if demand.per_zone is None:
        return demand.tasks
    return demand.per_zone - demand.zones.get(zone, 0)


def _fill(demand: Demand, candidate: Candidate, dry: bool = False) -> int:
    """Put as many of a demand's tasks into a candidate as fit; `dry` leaves the demand as it is."""
    spec = demand.spec
    if not _may_use(demand, candidate):
        return 0
    most = min(demand.tasks, _zone_left(demand, candidate.zone))
    taken = candidate.capacity(spec, most) if most > 0 else 0
    if taken <= 0:
        return 0
    candidate.allocate(spec, taken)
    if not dry:
        demand.took(candidate.zone, taken)
    return taken
