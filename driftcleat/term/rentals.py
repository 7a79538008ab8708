"""Rentals: each stored under a name of its own before it is sent, repeated until the cloud has answered for good."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from driftcleat.fleet.sizing import Offer, Plan
from driftcleat.model import Batch
from driftcleat.store.records import RENTALS, RentalRecord

from .context import TermContext

# The most machines that the cloud rents in one request.
MOST_AT_ONCE = 50
# How long an offer that was refused is left alone, in seconds, and by how much longer after each further refusal.
LEAST_PAUSE_S = 5.0
MOST_PAUSE_S = 30.0
PAUSE_GROWTH = 1.5


@dataclass(slots=True)
class OpenRental:
    """A rental request that is stored and not yet settled."""

    name: str
    record: RentalRecord


@dataclass(frozen=True, slots=True)
class Refusal:
    """Until when an offer is left alone, and how long that pause was."""

    until: float
    pause_s: float


class Rentals:
    """The rental requests of this term and of those before it that are not settled."""

    def __init__(self, context: TermContext) -> None:
        self._cluster, self._wall, self._counters = context.cluster, context.wall, context.counters
        self.open: dict[str, OpenRental] = {}
        self.new: list[OpenRental] = []
        self._settled: list[str] = []
        self._number = 0
        self._refusals: dict[Offer, Refusal] = {}

    @property
    def pending(self) -> bool:
        """Whether there is anything to store or to remove."""
        return bool(self.new or self._settled)

    @property
    def unsettled(self) -> list[OpenRental]:
        """Return what was asked for, or will be, and not answered."""
        return [*self.open.values(), *self.new]

    def restore(self, rental: OpenRental) -> None:
        """Take in a request of an earlier leader that it did not settle."""
        self.open[rental.name] = rental

    def rent(self, plan: Plan) -> None:
        """Queue a plan's rentals."""
        for (type_name, zone, spot), count in plan.rentals.items():
            for already in range(0, count, MOST_AT_ONCE):
                self._number += 1
                name = f"{self._cluster.token}-{self._number}"
                asked = min(count - already, MOST_AT_ONCE)
                self.new.append(OpenRental(name, RentalRecord(type_name, zone, spot, asked, self._wall())))

    def take(self, batch: Batch) -> None:
        """Put new names, and the removal of settled ones, into a batch."""
        while self._settled and batch.has_room_for_keys():
            name = self._settled.pop()
            batch.remove(RENTALS + name)
            batch.undo.append(partial(self._settled.append, name))
        while self.new and batch.has_room_for_keys():
            rental = self.new.pop(0)
            batch.put(RENTALS + rental.name, rental.record)
            batch.undo.append(partial(self.new.insert, 0, rental))
            batch.after.append(self._open_later(rental))

    def _open_later(self, rental: OpenRental) -> Callable[[], None]:
        """Send a rental only once its name is stored."""

        def opened() -> None:
            self.open[rental.name] = rental

        return opened

    def settle(self, rental: OpenRental, machines: tuple[str, ...], now: float) -> None:
        """The cloud has answered a request for good."""
        self.open.pop(rental.name, None)
        self._settled.append(rental.name)
        record = rental.record
        self._counters.rented += len(machines)
        for name in machines:
            if name not in self._cluster.gone:
                self._cluster.adopt(name, record.type, record.zone, record.spot, "", now)

    def note_refusal(self, offer: Offer, now: float) -> None:
        """The cloud has none of this offer: ask again later, and later still if it goes on."""
        before = self._refusals.get(offer)
        pause_s = min(MOST_PAUSE_S, max(LEAST_PAUSE_S, (before.pause_s if before else 0.0) * PAUSE_GROWTH))
        self._refusals[offer] = Refusal(now + pause_s, pause_s)

    def is_refused(self, offer: Offer, now: float) -> bool:
        """Whether an offer is left alone for now."""
        refusal = self._refusals.get(offer)
        return refusal is not None and refusal.until > now
