"""Sizing: which machines the queue needs beyond those there are. Pure, like placement."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from driftcleat.placement.rooms import Room, allowed, capacity, spread_limit
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import Submission

Offer = tuple[str, str, bool]


@dataclass(slots=True)
class Demand:
    """Tasks of one shape that want room now, or are expected to."""

    spec: Submission
    tasks: int
    zones: dict[str, int]
    whole: bool = False


@dataclass(slots=True)
class Plan:
    """What to rent, and which present machines the demand uses."""

    rentals: dict[Offer, int]
    used: set[str]


def plan_fleet(demands: Iterable[Demand], rooms: list[Room], types: dict[str, MachineType],
               refused: Callable[[Offer], bool], most: int) -> Plan:
    """Pack demands into present and booting rooms first, then into the cheapest new machines."""
    plan = Plan({}, set())
    rooms = list(rooms)
    fresh = 0
    for demand in demands:
        left = demand.tasks
        counts = dict(demand.zones)
        per_zone = spread_limit(demand.spec)
        # Rooms in use first, the tightest of them first: what stays empty can be returned.
        ordered = sorted(rooms, key=lambda room: (not room.busy, room.gpus, room.cpus, room.name))
        for room in ordered:
            if left <= 0:
                break
            left -= _fill(demand.spec, room, left, counts, per_zone, plan)
        while left > 0 and fresh < most:
            offer = cheapest(demand.spec, left, types, refused, counts, per_zone)
            if offer is None:
                break
            kind = types[offer[0]]
            room = Room(f"new-{fresh}", kind.name, offer[1], offer[2], kind.cpus, kind.gpus, kind.memory_gb)
            taken = _fill(demand.spec, room, left, counts, per_zone, plan)
            if not taken:
                break
            fresh += 1
            left -= taken
            rooms.append(room)
            plan.rentals[offer] = plan.rentals.get(offer, 0) + 1
    return plan


def _fill(spec: Submission, room: Room, left: int, counts: dict[str, int], per_zone: int, plan: Plan) -> int:
    if not allowed(spec, room.type, room.zone, room.spot) or spec.id in room.avoided_by:
        return 0
    most = min(left, per_zone - counts.get(room.zone, 0))
    taken = capacity(spec, room.cpus, room.gpus, room.memory_gb, most)
    if taken <= 0:
        return 0
    room.take(spec, taken)
    counts[room.zone] = counts.get(room.zone, 0) + taken
    plan.used.add(room.name)
    return taken


def cheapest(spec: Submission, tasks: int, types: dict[str, MachineType], refused: Callable[[Offer], bool],
             counts: dict[str, int], per_zone: int) -> Offer | None:
    """Return the offer at which these tasks cost least, or None when nothing is to be had."""
    best: Offer | None = None
    best_cost = (0.0, 0.0, "")
    for kind in types.values():
        for zone in kind.zones:
            room = min(tasks, per_zone - counts.get(zone, 0))
            each = capacity(spec, kind.cpus, kind.gpus, kind.memory_gb, room) if room > 0 else 0
            if each <= 0:
                continue
            for spot in (True, False):
                offer = (kind.name, zone, spot)
                if not allowed(spec, *offer) or refused(offer):
                    continue
                price = kind.spot_price if spot else kind.price
                machines = -(-room // each)
                # Whole machines for all of them; among equals the emptier zone, so that zones stay level.
                cost = (machines * price / room, float(counts.get(zone, 0)), zone)
                if best is None or cost < best_cost:
                    best, best_cost = offer, cost
    return best
