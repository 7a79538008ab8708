"""Sizing: which machines the queue needs beyond those there are. Pure, like placement."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from driftcleat.placement.rooms import Room, allowed, capacity, share, spread_limit
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import Submission

Offer = tuple[str, str, bool]

# What stays free on a new machine is worth this part of its price: later arrivals use it.
LEFT_OVER = 0.6


@dataclass(slots=True)
class Demand:
    """Tasks of one shape that want room now, or are expected to."""

    spec: Submission
    tasks: int
    zones: dict[str, int]
    # Set once it is decided in which zone a job that wants only one shall be.
    only: str | None = None

    def cost(self, types: dict[str, MachineType]) -> float:
        """Return what a task costs an hour on the type that suits it best, if that is filled up."""
        spec = self.spec
        return min((kind.price * share(spec, kind.cpus, kind.gpus, kind.memory_gb)
                    for kind in types.values() if spec.types is None or kind.name in spec.types), default=0.0)


@dataclass(slots=True)
class Plan:
    """What to rent, and which present machines the demand uses."""

    rentals: dict[Offer, int]
    used: set[str]


def plan_fleet(demands: Iterable[Demand], rooms: list[Room], types: dict[str, MachineType],
               refused: Callable[[Offer], bool], most: int) -> Plan:
    """Pack demands into present and booting rooms first, then into the new machines they fill best."""
    plan = Plan({}, set())
    left: list[Demand] = []
    for demand in demands:
        # Rooms in use first, where a task costs least, the tightest first: what stays empty can be returned.
        spec = demand.spec
        if spec.one_zone:
            demand.only = _one_zone(demand, rooms, types, refused)
        for room in sorted(rooms, key=lambda room, spec=spec: (  # type: ignore[misc]
                not room.busy, room.share_cost(spec), room.gpus, room.cpus, room.name)):
            if demand.tasks <= 0:
                break
            taken = _fill(demand, room)
            if taken:
                plan.used.add(room.name)
        if demand.tasks > 0:
            left.append(demand)
    for _ in range(most):
        offer = _best_offer(left, types, refused)
        if offer is None:
            break
        room = _fresh(types[offer[0]], offer)
        for demand in left:
            _fill(demand, room)
        left = [demand for demand in left if demand.tasks > 0]
        plan.rentals[offer] = plan.rentals.get(offer, 0) + 1
    return plan


def _one_zone(demand: Demand, rooms: list[Room], types: dict[str, MachineType],
              refused: Callable[[Offer], bool]) -> str | None:
    """Return the zone where a one-zone job lacks least, of those where what it lacks can be had.

    Guards against counting rooms of two zones for a job that may use only one: it then waited for ever.
    """
    spec = demand.spec
    if demand.zones:
        return next(iter(demand.zones))
    zones = sorted({zone for kind in types.values() for zone in kind.zones} | {room.zone for room in rooms})
    best: tuple[int, str] | None = None
    for zone in zones:
        have = sum(capacity(spec, room.cpus, room.gpus, room.memory_gb, demand.tasks) for room in rooms
                   if room.zone == zone and allowed(spec, room.type, zone, room.spot))
        lacking = max(0, demand.tasks - have)
        to_be_had = any(zone in kind.zones and allowed(spec, kind.name, zone, spot)
                        and capacity(spec, kind.cpus, kind.gpus, kind.memory_gb, 1)
                        and not refused((kind.name, zone, spot)) for kind in types.values() for spot in (True, False))
        if (lacking == 0 or to_be_had) and (best is None or (lacking, zone) < best):
            best = (lacking, zone)
    return best[1] if best is not None else None


def _fresh(kind: MachineType, offer: Offer) -> Room:
    return Room("", kind.name, offer[1], offer[2], kind.cpus, kind.gpus, kind.memory_gb)


def _free_share(kind: MachineType, room: Room) -> float:
    """Return the part of a machine that is still free, by what is scarcest on it."""
    return max(0.0, min(free / whole for free, whole in (
        (room.cpus, kind.cpus), (room.gpus, kind.gpus), (room.memory_gb, kind.memory_gb)) if whole > 0))


def _best_offer(left: list[Demand], types: dict[str, MachineType], refused: Callable[[Offer], bool]) -> Offer | None:
    """Return the offer that is worth most for its price, filled with what is left; None when nothing helps."""
    best: Offer | None = None
    best_worth = 0.0
    for kind in types.values():
        for zone in kind.zones:
            for spot in (True, False):
                offer = (kind.name, zone, spot)
                price = kind.spot_price if spot else kind.price
                if refused(offer):
                    continue
                room = _fresh(kind, offer)
                worth = sum(demand.cost(types) * _fill(demand, room, dry=True) for demand in left
                            if room.gpus > 0 or room.cpus > 0)
                if worth > 0:
                    worth = (worth + LEFT_OVER * price * _free_share(kind, room)) / max(price, 1e-9)
                if worth > best_worth + 1e-9:
                    best, best_worth = offer, worth
    return best


def _fill(demand: Demand, room: Room, dry: bool = False) -> int:
    """Put as many of a demand's tasks into a room as fit; `dry` leaves the demand as it is."""
    spec = demand.spec
    if not allowed(spec, room.type, room.zone, room.spot) or spec.id in room.avoided_by:
        return 0
    if demand.only is not None and room.zone != demand.only:
        return 0
    most = min(demand.tasks, spread_limit(spec) - demand.zones.get(room.zone, 0))
    taken = capacity(spec, room.cpus, room.gpus, room.memory_gb, most) if most > 0 else 0
    if taken <= 0:
        return 0
    room.take(spec, taken)
    if not dry:
        demand.tasks -= taken
        demand.zones[room.zone] = demand.zones.get(room.zone, 0) + taken
    return taken
