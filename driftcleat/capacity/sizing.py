"""Sizing: which machines to rent beyond those that are there. Pure, like placement."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from driftcleat.capacity.candidate_pool import CandidatePool
from driftcleat.capacity.demand import Demand
from driftcleat.placement.candidates import (
    FETCH_RATE_EXPONENT,
    Candidate,
    latency_sensitive,
    satisfies_constraints,
    task_capacity,
)
from driftcleat.wire.cloud import MachineType

# What stays free on a new machine is worth this part of its price: later arrivals use it.
LEFT_OVER = 0.6
# Offers whose worth differs by less are equal: the first of them is taken.
WORTH_TOLERANCE = 1e-9
# Guards against a division by the price of a machine that costs nothing.
MIN_PRICE = 1e-9


class MachineOffer(NamedTuple):
    """Machines of one type in one zone, spot or on-demand, that the cloud rents out."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class CapacityPlan:
    """How many machines of which offer to rent, and which present machines the demand uses."""

    scale_out: dict[MachineOffer, int]
    machines_in_use: set[str]


@dataclass(frozen=True, slots=True)
class CloudOffers:
    """What can be rented, and in which zones it is preferred."""

    machine_types: dict[str, MachineType]
    is_refused: Callable[[MachineOffer], bool]
    controllers_elsewhere: Callable[[str], int]

    def new_machine(self, offer: MachineOffer) -> Candidate:
        """Return a machine of an offer as an empty candidate."""
        machine_type = self.machine_types[offer.machine_type]
        return Candidate(
            "",
            machine_type.name,
            offer.zone,
            offer.spot,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            fetch_gb_per_s=machine_type.fetch_gb_per_s,
        )

    def can_hold(self, demand: Demand, zone: str) -> bool:
        """Tell whether a machine that takes a task of this demand can be rented in a zone."""
        spec = demand.spec
        return any(
            zone in machine_type.zones
            and satisfies_constraints(spec, machine_type.name, zone, spot)
            and task_capacity(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, 1)
            and not self.is_refused(MachineOffer(machine_type.name, zone, spot))
            for machine_type in self.machine_types.values()
            for spot in (True, False)
        )


def plan_fleet(
    demands: Iterable[Demand],
    candidates: Iterable[Candidate] | CandidatePool,
    machine_types: dict[str, MachineType],
    is_refused: Callable[[MachineOffer], bool],
    max_rented: int,
    controllers_elsewhere: Callable[[str], int] = lambda zone: 0,
) -> CapacityPlan:
    """Pack demands into present and booting machines first, then into the new machines that they fill best."""
    plan = CapacityPlan({}, set())
    offers = CloudOffers(machine_types, is_refused, controllers_elsewhere)
    pool = candidates if isinstance(candidates, CandidatePool) else CandidatePool(candidates)
    unmet: list[Demand] = []
    for demand in demands:
        if demand.spec.single_zone:
            demand.required_zone = _choose_zone(demand, pool, offers)
        pool.pack(demand, plan.machines_in_use)
        if demand.tasks > 0:
            unmet.append(demand)
    rented = 0
    while rented < max_rented:
        offer = _best_offer(unmet, offers)
        if offer is None:
            break
        count = _rent(unmet, offers, offer, max_rented - rented)
        unmet = [demand for demand in unmet if demand.tasks > 0]
        plan.scale_out[offer] = plan.scale_out.get(offer, 0) + count
        rented += count
    return plan


def _rent(unmet: list[Demand], offers: CloudOffers, offer: MachineOffer, max_count: int) -> int:
    """Pack demands into new machines of an offer, each filled alike, and return how many machines that takes."""
    candidate = offers.new_machine(offer)
    packed = [(demand, tasks) for demand in unmet if (tasks := demand.pack_into(candidate)) > 0]
    if any(demand.spec.spread for demand, _ in packed):
        return 1
    # Further machines would be filled the same way for as long as the demands last.
    more = min(max_count - 1, *(demand.tasks // tasks for demand, tasks in packed))
    for demand, tasks in packed:
        demand.record_packed(offer.zone, tasks * more)
    return 1 + more


def _choose_zone(demand: Demand, pool: CandidatePool, offers: CloudOffers) -> str | None:
    """Return the zone for a single-zone job where fewest of its tasks lack room, if that room can be rented there.

    Guards against counting machines of two zones for a job that may use only one: it was then queued for ever.
    """
    if demand.tasks_by_zone:
        return next(iter(demand.tasks_by_zone))
    zones = sorted(
        {zone for machine_type in offers.machine_types.values() for zone in machine_type.zones}
        | {candidate.zone for candidate, _ in pool.groups.values()}
    )
    best: str | None = None
    best_rank = (0, 0)
    for zone in zones:
        lacking = demand.tasks - pool.task_capacity(demand.spec, zone, demand.tasks)
        if lacking > 0 and not offers.can_hold(demand, zone):
            continue
        rank = (lacking, offers.controllers_elsewhere(zone))
        # Of zones with the same rank the first by name is taken.
        if best is None or rank < best_rank:
            best = zone
            best_rank = rank
    return best


def _best_offer(unmet: list[Demand], offers: CloudOffers) -> MachineOffer | None:
    """Return the offer that is worth most for its price, filled with unmet demand; None when nothing helps."""
    unmet_tasks = sum(demand.tasks for demand in unmet)
    best: MachineOffer | None = None
    best_worth = 0.0
    fastest = max((machine_type.fetch_gb_per_s for machine_type in offers.machine_types.values()), default=1.0)
    for machine_type in offers.machine_types.values():
        for zone in sorted(machine_type.zones, key=offers.controllers_elsewhere):
            for spot in (True, False):
                offer = MachineOffer(machine_type.name, zone, spot)
                if offers.is_refused(offer):
                    continue
                worth = _worth(offer, unmet, unmet_tasks, offers, fastest)
                if worth > best_worth + WORTH_TOLERANCE:
                    best = offer
                    best_worth = worth
    return best


def _worth(
    offer: MachineOffer, unmet: list[Demand], unmet_tasks: int, offers: CloudOffers, fastest_gb_per_s: float
) -> float:
    """Return what the tasks that a new machine would take are worth, by its price; 0.0 if it would take none."""
    machine_type = offers.machine_types[offer.machine_type]
    price = machine_type.spot_price if offer.spot else machine_type.price
    candidate = offers.new_machine(offer)
    worth = 0.0
    packed = 0
    for demand in unmet:
        if (candidate.gpus > 0 or candidate.cpus > 0) and (tasks := demand.pack_into(candidate, dry_run=True)):
            packed += tasks
            speed = (
                (machine_type.fetch_gb_per_s / fastest_gb_per_s) ** FETCH_RATE_EXPONENT
                if latency_sensitive(demand.spec)
                else 1.0
            )
            worth += demand.cost(offers.machine_types) * tasks * speed
    if worth <= 0:
        return 0.0
    # Guards against many small machines with one task each: what none of the others fits into is worth nothing while
    # others are queued.
    spare = LEFT_OVER * price * _free_share(machine_type, candidate) if packed == unmet_tasks else 0.0
    return (worth + spare) / max(price, MIN_PRICE)


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
