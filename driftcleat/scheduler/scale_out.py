"""Scale-out requests: each is stored under its own name before it is sent, and retried until the cloud settles it."""

from dataclasses import dataclass
from functools import partial

from driftcleat.capacity.sizing import CapacityPlan, MachineOffer
from driftcleat.cluster import Batch
from driftcleat.scheduler.context import SchedulerContext
from driftcleat.store.keys import SCALE_OUTS_PREFIX
from driftcleat.store.records import ScaleOutRecord

# The cloud creates at most this many machines for one request.
MAX_MACHINES_PER_REQUEST = 50
# Limits of the backoff of an offer without capacity, and the factor by which it grows with each further refusal.
MIN_BACKOFF_S = 5.0
MAX_BACKOFF_S = 30.0
BACKOFF_FACTOR = 1.5


@dataclass(slots=True)
class ScaleOutRequest:
    """A request for machines of one offer; the name makes retries idempotent."""

    name: str
    record: ScaleOutRecord


@dataclass(frozen=True, slots=True)
class Refusal:
    """The backoff of an offer that had no capacity: its end and its duration in seconds."""

    until: float
    backoff_s: float


class ScaleOut:
    """Holds the requests of this term and the unsettled ones of earlier terms."""

    def __init__(self, context: SchedulerContext) -> None:
        self._cluster = context.cluster
        self._wall_clock = context.wall_clock
        self._counters = context.counters
        # Stored requests that are not settled, by name.
        self.open_requests: dict[str, ScaleOutRequest] = {}
        # Requests that are not stored yet.
        self.new_requests: list[ScaleOutRequest] = []
        # Names of settled requests whose records must be deleted.
        self._settled: list[str] = []
        self._last_number = 0
        self._refusals: dict[MachineOffer, Refusal] = {}

    @property
    def pending(self) -> bool:
        """Return whether any request must be stored or any record deleted."""
        return bool(self.new_requests or self._settled)

    @property
    def unsettled(self) -> list[ScaleOutRequest]:
        """Return all requests, stored or not, whose machines may still be created."""
        return [*self.open_requests.values(), *self.new_requests]

    def restore(self, request: ScaleOutRequest) -> None:
        """Restore a stored request that an earlier leader left unsettled; it will be sent again."""
        self.open_requests[request.name] = request

    def request(self, plan: CapacityPlan) -> None:
        """Create the requests of a capacity plan, named by fencing token and number; a later batch stores them."""
        for (type_name, zone, spot), count in plan.scale_out.items():
            for requested in range(0, count, MAX_MACHINES_PER_REQUEST):
                self._last_number += 1
                name = f"{self._cluster.fencing_token}-{self._last_number}"
                machines = min(count - requested, MAX_MACHINES_PER_REQUEST)
                self.new_requests.append(
                    ScaleOutRequest(name, ScaleOutRecord(type_name, zone, spot, machines, self._wall_clock()))
                )

    def append_to(self, batch: Batch) -> None:
        """Append the deletes of settled requests and the puts of new ones for which the batch has room."""
        while self._settled and batch.has_room_for_delete(SCALE_OUTS_PREFIX + self._settled[-1]):
            name = self._settled.pop()
            batch.delete(SCALE_OUTS_PREFIX + name)
            batch.on_discard.append(partial(self._settled.append, name))
        while self.new_requests:
            request = self.new_requests[0]
            key = SCALE_OUTS_PREFIX + request.name
            if not batch.has_room_for_put(key, request.record):
                return
            del self.new_requests[0]
            batch.put(key, request.record)
            batch.on_discard.append(partial(self.new_requests.insert, 0, request))
            batch.on_commit.append(partial(self._record_stored, request))

    def _record_stored(self, request: ScaleOutRequest) -> None:
        """Open a request after the commit that stored it; only then may it be sent."""
        self.open_requests[request.name] = request

    def record_response(self, request: ScaleOutRequest, machines: tuple[str, ...], now: float) -> None:
        """Settle a request: register the machines that the cloud created and schedule the delete of its record."""
        self.open_requests.pop(request.name, None)
        self._settled.append(request.name)
        record = request.record
        self._counters.machines_created += len(machines)
        for name in machines:
            if name not in self._cluster.terminated_machines:
                self._cluster.register_machine(name, record.machine_type, record.zone, record.spot, "", now)

    def record_refusal(self, offer: MachineOffer, now: float) -> None:
        """Back off from an offer that has no capacity, longer after each further refusal."""
        last = self._refusals.get(offer)
        last_backoff_s = last.backoff_s if last is not None else 0.0
        backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, last_backoff_s * BACKOFF_FACTOR))
        self._refusals[offer] = Refusal(now + backoff_s, backoff_s)

    def is_refused(self, offer: MachineOffer, now: float) -> bool:
        """Return whether the backoff of an offer has not ended yet."""
        refusal = self._refusals.get(offer)
        return refusal is not None and refusal.until > now
