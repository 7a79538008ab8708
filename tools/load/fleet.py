"""The protocol doubles of a load test: thousands of workers, each with its own connection, and the cloud.

Unlike those of the tests they check no rules, so that their own cost stays small beside that of the service.
"""

import asyncio
import json
import time
from typing import Any

import msgspec
from aiohttp import web

from driftcleat import wire
from driftcleat.cloud.client import LIST_PAGE_SIZE
from driftcleat.net import HttpClient, HttpError
from driftcleat.wire.workers import Heartbeat, HeartbeatResponse
from tests.protocol_doubles import HttpReferenceModel
from tests.reference_worker import ReferenceWorker, WorkerTask

# Timeout of a worker's heartbeat request.
WORKER_TIMEOUT_S = 4.0
# Pause before a worker's next heartbeat: after commands, at most after a redirect to the leader, and before it tries
# another controller.
COMMANDS_PAUSE_S = 0.1
MAX_REDIRECT_PAUSE_S = 0.5
RETRY_PAUSE_S = 1.0
TICK_S = 0.1


class HeartbeatStats:
    """Results of heartbeats since the counters were last reset."""

    def __init__(self) -> None:
        self.latencies_s: list[float] = []
        self.redirected = self.failed = 0
        # Number of failures by error text.
        self.failures: dict[str, int] = {}

    def record_failure(self, reason: str) -> None:
        """Count a heartbeat without a response."""
        self.failed += 1
        self.failures[reason] = self.failures.get(reason, 0) + 1


class LoadModel(HttpReferenceModel):
    """The workers and the cloud of a fleet."""

    def __init__(self, platform: Any) -> None:
        super().__init__(platform)
        self.heartbeat_stats = HeartbeatStats()
        self.clients: dict[str, HttpClient] = {}
        # Zones from which workers reach no controller.
        self.partitioned_zones: set[str] = set()

    async def _send_heartbeat(self, worker: ReferenceWorker, heartbeat: Heartbeat, sent_at: float) -> None:
        """Send a heartbeat over the worker's own connection."""
        if not self.controller_addresses:
            worker.awaiting_response_since, worker.next_heartbeat_at = None, self.now + RETRY_PAUSE_S
            return
        if worker.zone in self.partitioned_zones:
            await asyncio.sleep(WORKER_TIMEOUT_S)
            worker.awaiting_response_since, worker.next_heartbeat_at = None, self.now + RETRY_PAUSE_S
            return
        label = self.worker_controllers.get(worker.name)
        if label not in self.controller_addresses:
            label = self.worker_controllers[worker.name] = self.rng.choice(sorted(self.controller_addresses))
        client = self.clients.setdefault(worker.name, HttpClient(1, 1, 75.0))
        body = wire.encode(msgspec.structs.replace(heartbeat, address=f"{self.addresses['workers']}/{worker.name}"))
        began = time.monotonic()
        leader: str | None = None
        try:
            http_response = await client.request(
                "POST", self.controller_addresses[label], "/agent/beat", body, WORKER_TIMEOUT_S
            )
        except (HttpError, TimeoutError) as error:
            self.heartbeat_stats.record_failure(f"{type(error).__name__} {str(error)[:24]}")
        else:
            if http_response.status == 200:
                self.heartbeat_stats.latencies_s.append(time.monotonic() - began)
                response = wire.decode(http_response.body, HeartbeatResponse)
                worker.receive_response(
                    heartbeat.worker_epoch, heartbeat.sequence, response.fencing_token, response.commands, sent_at
                )
                if response.commands:
                    worker.next_heartbeat_at = min(worker.next_heartbeat_at, self.now + COMMANDS_PAUSE_S)
                return
            self.heartbeat_stats.redirected += 1
            leader = json.loads(http_response.body).get("harbormaster") if http_response.status == 421 else None
        others = sorted(name for name in self.controller_addresses if name != label)
        known = leader is not None and leader in self.controller_addresses and leader != label
        self.worker_controllers[worker.name] = str(leader) if known else self.rng.choice(others or [label])
        pause_s = self.rng.uniform(0.0, MAX_REDIRECT_PAUSE_S) if known else RETRY_PAUSE_S
        worker.awaiting_response_since, worker.next_heartbeat_at = None, self.now + pause_s
        worker.heartbeat_sent_at = worker.next_heartbeat_at

    async def handle_cloud(self, request: web.BaseRequest) -> web.Response:
        """Handle a request to the cloud; the list of machines is paginated."""
        if request.method != "GET" or request.path != "/rentals":
            return await super().handle_cloud(request)
        rows = self.listed_machines(lambda name: f"{self.addresses['workers']}/{name}")
        after = request.query.get("from", "")
        rows = [row for row in rows if row["nameId"] > after]
        return web.Response(
            body=wire.encode({"bollards": rows[:LIST_PAGE_SIZE], "truncated": len(rows) > LIST_PAGE_SIZE})
        )

    def check_start(self, worker: ReferenceWorker, task: WorkerTask) -> None:
        """Count a task start; the rules are not checked."""
        self.task_starts += 1

    async def run_clock(self) -> None:
        """Advance all workers periodically, until cancelled."""
        while True:
            self.now = asyncio.get_running_loop().time()
            for worker in list(self.workers.values()):
                worker.step()
            await asyncio.sleep(TICK_S)

    def expired_leases(self) -> int:
        """Return how many worker leases have expired."""
        return sum(worker.worker_epoch - 1 for worker in self.workers.values())
