"""Scale-out requests: each is stored under its own name before it is sent, and sent until the cloud settles it."""

from dataclasses import dataclass
from functools import partial

from driftcleat.capacity.sizing import CapacityPlan, MachineOffer
from driftcleat.cluster import Batch
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.store.keys import SCALE_OUTS_PREFIX
from driftcleat.store.records import ScaleOutRecord

# The most machines that the cloud creates for one request.
MAX_MACHINES_PER_REQUEST = 50
# The back-off of an offer without capacity, in seconds, and the factor by which it grows with each further refusal.
MIN_BACK_OFF_S = 5.0
MAX_BACK_OFF_S = 30.0
BACK_OFF_FACTOR = 1.5


@dataclass(slots=True)
class ScaleOutRequest:
    """A request for machines of one offer; its name makes it idempotent."""

    name: str
    record: ScaleOutRecord


@dataclass(frozen=True, slots=True)
class Refusal:
    """The back-off of an offer that had no capacity: until when, and how long it is."""

    until: float
    back_off_s: float


class ScaleOut:
    """Holds the requests of this term, and those of earlier terms that are not settled."""

    def __init__(self, context: SchedulerContext) -> None:
        self._cluster = context.cluster
        self._wall_clock = context.wall_clock
        self._counters = context.counters
        # Requests that are stored and not settled, by name, and those that are to be stored.
        self.open_requests: dict[str, ScaleOutRequest] = {}
        self.new_requests: list[ScaleOutRequest] = []
        # Names of settled requests whose records are to be deleted.
        self._settled: list[str] = []
        self._last_number = 0
        self._refusals: dict[MachineOffer, Refusal] = {}

    @property
    def pending(self) -> bool:
        """Return whether there is anything to store or to delete."""
        return bool(self.new_requests or self._settled)

    @property
    def unsettled(self) -> list[ScaleOutRequest]:
        """Return all requests whose machines may still come, stored or not."""
        return [*self.open_requests.values(), *self.new_requests]

    def restore(self, request: ScaleOutRequest) -> None:
        """Restore a stored request that an earlier leader did not settle; it is sent again."""
        self.open_requests[request.name] = request

    def request(self, plan: CapacityPlan) -> None:
        """Create the requests of a capacity plan, named by fencing token and number; they are to be stored."""
        for (type_name, zone, spot), count in plan.scale_out.items():
            for requested in range(0, count, MAX_MACHINES_PER_REQUEST):
                self._last_number += 1
                name = f"{self._cluster.fencing_token}-{self._last_number}"
                machines = min(count - requested, MAX_MACHINES_PER_REQUEST)
                self.new_requests.append(
                    ScaleOutRequest(name, ScaleOutRecord(type_name, zone, spot, machines, self._wall_clock()))
                )

    def append_to(self, batch: Batch) -> None:
        """Append the deletes of settled requests and the puts of new ones, as far as the batch has room."""
        while self._settled and batch.has_room_for_keys():
            name = self._settled.pop()
            batch.delete(SCALE_OUTS_PREFIX + name)
            batch.on_discard.append(partial(self._settled.append, name))
        while self.new_requests and batch.has_room_for_keys():
            request = self.new_requests.pop(0)
            batch.put(SCALE_OUTS_PREFIX + request.name, request.record)
            batch.on_discard.append(partial(self.new_requests.insert, 0, request))
            batch.on_commit.append(partial(self._record_stored, request))

    def _record_stored(self, request: ScaleOutRequest) -> None:
        """Open a request after the commit that stored it: only now may it be sent."""
        self.open_requests[request.name] = request

    def record_response(self, request: ScaleOutRequest, machines: tuple[str, ...], now: float) -> None:
        """Settle a request: register the machines that the cloud has created, and delete its record."""
        self.open_requests.pop(request.name, None)
        self._settled.append(request.name)
        record = request.record
        self._counters.machines_created += len(machines)
        for name in machines:
            if name not in self._cluster.terminated_machines:
                self._cluster.register_machine(name, record.machine_type, record.zone, record.spot, "", now)

    def record_refusal(self, offer: MachineOffer, now: float) -> None:
        """Back off from an offer that has no capacity, for longer after each further refusal."""
        last = self._refusals.get(offer)
        last_back_off_s = last.back_off_s if last is not None else 0.0
        back_off_s = min(MAX_BACK_OFF_S, max(MIN_BACK_OFF_S, last_back_off_s * BACK_OFF_FACTOR))
        self._refusals[offer] = Refusal(now + back_off_s, back_off_s)

    def is_refused(self, offer: MachineOffer, now: float) -> bool:
        """Return whether the back-off of an offer is not over yet."""
        refusal = self._refusals.get(offer)
        return refusal is not None and refusal.until > now
