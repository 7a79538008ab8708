"""Sizing: which machines to create beyond the present ones. It does no I/O and changes no cluster state."""

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

# The value of the free resources of a new machine, as a fraction of their price: later arrivals use them.
SPARE_CAPACITY_VALUE = 0.6
# Offers whose value for the price differs by less are equal, and the first of them is taken.
VALUE_TOLERANCE = 1e-9
# The lowest price per hour to divide by: guards against a division by zero for a machine that costs nothing.
MIN_PRICE = 1e-9


class MachineOffer(NamedTuple):
    """Machines that the cloud offers: of one type in one zone, spot or on-demand."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class CapacityPlan:
    """How many machines of each offer to create, and the names of the present machines that the demand uses."""

    scale_out: dict[MachineOffer, int]
    machines_in_use: set[str]


@dataclass(frozen=True, slots=True)
class CloudOffers:
    """The machines that the cloud can create, and the zones that are preferred."""

    machine_types: dict[str, MachineType]
    is_refused: Callable[[MachineOffer], bool]
    controllers_elsewhere: Callable[[str], int]

    def new_machine(self, offer: MachineOffer) -> Candidate:
        """Return a new machine of an offer as a candidate without tasks."""
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

    def can_provision(self, demand: Demand, zone: str) -> bool:
        """Return whether a machine that can take a task of a demand can be created in a zone."""
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
    max_new_machines: int,
    controllers_elsewhere: Callable[[str], int] = lambda zone: 0,
) -> CapacityPlan:
    """Pack demands into present and booting machines first, then into the new machines with the best value."""
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
    added = 0
    while added < max_new_machines:
        offer = _best_offer(unmet, offers)
        if offer is None:
            break
        count = _add_machines(unmet, offers, offer, max_new_machines - added)
        unmet = [demand for demand in unmet if demand.tasks > 0]
        plan.scale_out[offer] = plan.scale_out.get(offer, 0) + count
        added += count
    return plan


def _add_machines(unmet: list[Demand], offers: CloudOffers, offer: MachineOffer, max_count: int) -> int:
    """Pack demands into new machines of an offer, all filled the same way; return the number of machines."""
    candidate = offers.new_machine(offer)
    packed = [(demand, tasks) for demand in unmet if (tasks := demand.pack_into(candidate)) > 0]
    if any(demand.spec.spread for demand, _ in packed):
        return 1
    # Further machines are filled the same way for as long as the demands last.
    more = min(max_count - 1, *(demand.tasks // tasks for demand, tasks in packed))
    for demand, tasks in packed:
        demand.record_packed(offer.zone, tasks * more)
    return 1 + more


def _choose_zone(demand: Demand, pool: CandidatePool, offers: CloudOffers) -> str | None:
    """Return the zone of a single-zone job where the fewest of its tasks need new machines, if these can be created.

    Guards against counting machines of two zones for a job that may use only one: it would be queued forever.
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
        unplaced = demand.tasks - pool.task_capacity(demand.spec, zone, demand.tasks)
        if unplaced > 0 and not offers.can_provision(demand, zone):
            continue
        rank = (unplaced, offers.controllers_elsewhere(zone))
        # Among zones of equal rank, the first by name is chosen.
        if best is None or rank < best_rank:
            best = zone
            best_rank = rank
    return best


def _best_offer(unmet: list[Demand], offers: CloudOffers) -> MachineOffer | None:
    """Return the offer with the best value for its price when filled with unmet demand; None if none takes a task."""
    unmet_tasks = sum(demand.tasks for demand in unmet)
    best: MachineOffer | None = None
    best_value = 0.0
    fastest = max((machine_type.fetch_gb_per_s for machine_type in offers.machine_types.values()), default=1.0)
    for machine_type in offers.machine_types.values():
        for zone in sorted(machine_type.zones, key=offers.controllers_elsewhere):
            for spot in (True, False):
                offer = MachineOffer(machine_type.name, zone, spot)
                if offers.is_refused(offer):
                    continue
                value = _value_per_price(offer, unmet, unmet_tasks, offers, fastest)
                if value > best_value + VALUE_TOLERANCE:
                    best = offer
                    best_value = value
    return best


def _value_per_price(
    offer: MachineOffer, unmet: list[Demand], unmet_tasks: int, offers: CloudOffers, fastest_gb_per_s: float
) -> float:
    """Return the value of the tasks that a new machine would take, divided by its price; 0.0 if it takes none."""
    machine_type = offers.machine_types[offer.machine_type]
    price = machine_type.spot_price if offer.spot else machine_type.price
    candidate = offers.new_machine(offer)
    value = 0.0
    packed = 0
    for demand in unmet:
        if (candidate.gpus > 0 or candidate.cpus > 0) and (tasks := demand.pack_into(candidate, dry_run=True)):
            packed += tasks
            speed = (
                (machine_type.fetch_gb_per_s / fastest_gb_per_s) ** FETCH_RATE_EXPONENT
                if latency_sensitive(demand.spec)
                else 1.0
            )
            value += demand.hourly_cost_per_task(offers.machine_types) * tasks * speed
    if value <= 0:
        return 0.0
    # Guards against many small machines with one task each: free resources that no other unmet task fits into have no
    # value while such tasks are queued.
    spare = SPARE_CAPACITY_VALUE * price * _free_fraction(machine_type, candidate) if packed == unmet_tasks else 0.0
    return (value + spare) / max(price, MIN_PRICE)


def _free_fraction(machine_type: MachineType, candidate: Candidate) -> float:
    """Return the free fraction of a machine's scarcest resource."""
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
