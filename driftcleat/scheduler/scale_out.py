"""Rentals: each stored under a name of its own before it is sent, repeated until the cloud has answered for good."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from driftcleat.capacity.sizing import CapacityPlan, MachineOffer
from driftcleat.cluster import Batch
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.store.keys import SCALE_OUTS_PREFIX
from driftcleat.store.records import ScaleOutRecord

# The most machines that the cloud rents in one request.
MAX_MACHINES_PER_REQUEST = 50
# How long an offer that was refused is left alone, in seconds, and by how much longer after each further refusal.
LEAST_PAUSE_S = 5.0
MOST_PAUSE_S = 30.0
PAUSE_GROWTH = 1.5


@dataclass(slots=True)
class ScaleOutRequest:
    """A rental request that is stored and not yet settled."""

    name: str
    record: ScaleOutRecord


@dataclass(frozen=True, slots=True)
class Refusal:
    """Until when an offer is left alone, and how long that pause was."""

    until: float
    pause_s: float


class ScaleOut:
    """The rental requests of this term and of those before it that are not settled."""

    def __init__(self, context: SchedulerContext) -> None:
        self._cluster, self._wall, self._counters = context.cluster, context.wall, context.counters
        self.open: dict[str, ScaleOutRequest] = {}
        self.new: list[ScaleOutRequest] = []
        self._settled: list[str] = []
        self._number = 0
        self._refusals: dict[MachineOffer, Refusal] = {}

    @property
    def pending(self) -> bool:
        """Whether there is anything to store or to remove."""
        return bool(self.new or self._settled)

    @property
    def unsettled(self) -> list[ScaleOutRequest]:
        """Return what was asked for, or will be, and not answered."""
        return [*self.open.values(), *self.new]

    def restore(self, request: ScaleOutRequest) -> None:
        """Take in a request of an earlier leader that it did not settle."""
        self.open[request.name] = request

    def request(self, plan: CapacityPlan) -> None:
        """Queue a plan's rentals."""
        for (type_name, zone, spot), count in plan.scale_out.items():
            for already in range(0, count, MAX_MACHINES_PER_REQUEST):
                self._number += 1
                name = f"{self._cluster.fencing_token}-{self._number}"
                asked = min(count - already, MAX_MACHINES_PER_REQUEST)
                self.new.append(ScaleOutRequest(name, ScaleOutRecord(type_name, zone, spot, asked, self._wall())))

    def append_to(self, batch: Batch) -> None:
        """Put new names, and the removal of settled ones, into a batch."""
        while self._settled and batch.has_room_for_keys():
            name = self._settled.pop()
            batch.delete(SCALE_OUTS_PREFIX + name)
            batch.on_discard.append(partial(self._settled.append, name))
        while self.new and batch.has_room_for_keys():
            request = self.new.pop(0)
            batch.put(SCALE_OUTS_PREFIX + request.name, request.record)
            batch.on_discard.append(partial(self.new.insert, 0, request))
            batch.on_commit.append(self._open_later(request))

    def _open_later(self, request: ScaleOutRequest) -> Callable[[], None]:
        """Send a rental only once its name is stored."""

        def opened() -> None:
            self.open[request.name] = request

        return opened

    def record_answer(self, request: ScaleOutRequest, machines: tuple[str, ...], now: float) -> None:
        """The cloud has answered a request for good."""
        self.open.pop(request.name, None)
        self._settled.append(request.name)
        record = request.record
        self._counters.machines_created += len(machines)
        for name in machines:
            if name not in self._cluster.terminated_machines:
                self._cluster.register_machine(name, record.machine_type, record.zone, record.spot, "", now)

    def record_refusal(self, offer: MachineOffer, now: float) -> None:
        """The cloud has none of this offer: ask again later, and later still if it goes on."""
        before = self._refusals.get(offer)
        pause_s = min(MOST_PAUSE_S, max(LEAST_PAUSE_S, (before.pause_s if before else 0.0) * PAUSE_GROWTH))
        self._refusals[offer] = Refusal(now + pause_s, pause_s)

    def is_refused(self, offer: MachineOffer, now: float) -> bool:
        """Whether an offer is left alone for now."""
        refusal = self._refusals.get(offer)
        return refusal is not None and refusal.until > now
