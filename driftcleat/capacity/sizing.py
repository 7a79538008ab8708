"""Sizing: which machines the queue needs beyond those there are. Pure, like placement."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from driftcleat.capacity.candidate_pool import CandidatePool
from driftcleat.capacity.demand import Demand, fill
from driftcleat.placement.candidates import (
    FETCH_SPEED_WEIGHT,
    Candidate,
    allowed,
    capacity,
    latency_sensitive,
)
from driftcleat.wire.cloud import MachineType

MachineOffer = tuple[str, str, bool]

# What stays free on a new machine is worth this part of its price: later arrivals use it.
LEFT_OVER = 0.6


@dataclass(slots=True)
class CapacityPlan:
    """What to rent, and which present machines the demand uses."""

    scale_out: dict[MachineOffer, int]
    machines_in_use: set[str]


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
        filled = [(demand, taken) for demand in left if (taken := fill(demand, candidate)) > 0]
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
                    if (candidate.gpus > 0 or candidate.cpus > 0) and (taken := fill(demand, candidate, dry=True)):
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
