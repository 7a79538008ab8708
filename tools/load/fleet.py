"""The stand-ins of a load test: thousands of workers, each with a connection of its own, and the cloud.

They check none of the rules, which the tests do: their own cost has to stay small beside that of the service.
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
from tests.reference_model import ReferenceWorker, WorkerTask

# A worker gives an answer up after so long.
WORKER_TIMEOUT_S = 4.0
# When a worker reports again: after commands, to a leader that was named (at most), and to the next controller.
CHANGED_S = 0.1
REDIRECTED_S = 0.5
REFUSED_S = 1.0
TICK_S = 0.1


class Reports:
    """How reports fared, since the last look."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.redirected = self.failed = 0
        # Of the last failure of each kind, for the printed page.
        self.failures: dict[str, int] = {}

    def fail(self, why: str) -> None:
        """Count a report that got no answer."""
        self.failed += 1
        self.failures[why] = self.failures.get(why, 0) + 1


class LoadWorld(HttpReferenceModel):
    """Workers and cloud of a fleet."""

    def __init__(self, platform: Any) -> None:
        super().__init__(platform)
        self.reports = Reports()
        self.clients: dict[str, HttpClient] = {}
        # Zones that no controller reaches.
        self.cut_zones: set[str] = set()

    async def _send_heartbeat(self, worker: ReferenceWorker, heartbeat: Heartbeat, sent_at: float) -> None:
        """Send a report over the worker's own connection."""
        if not self.controller_addresses:
            worker.awaiting_response_since, worker.next_heartbeat_at = None, self.now + REFUSED_S
            return
        if worker.zone in self.cut_zones:
            await asyncio.sleep(WORKER_TIMEOUT_S)
            worker.awaiting_response_since, worker.next_heartbeat_at = None, self.now + REFUSED_S
            return
        label = self.worker_controllers.get(worker.name)
        if label not in self.controller_addresses:
            label = self.worker_controllers[worker.name] = self.rng.choice(sorted(self.controller_addresses))
        client = self.clients.setdefault(worker.name, HttpClient(1, 1, 75.0))
        body = wire.encode(msgspec.structs.replace(heartbeat, address=f"{self.addresses['workers']}/{worker.name}"))
        began = time.monotonic()
        leader: str | None = None
        try:
            answer = await client.request(
                "POST", self.controller_addresses[label], "/agent/beat", body, WORKER_TIMEOUT_S
            )
        except (HttpError, TimeoutError) as error:
            self.reports.fail(f"{type(error).__name__} {str(error)[:24]}")
        else:
            if answer.status == 200:
                self.reports.waits.append(time.monotonic() - began)
                response = wire.decode(answer.body, HeartbeatResponse)
                worker.receive_response(
                    heartbeat.worker_epoch, heartbeat.sequence, response.fencing_token, response.commands, sent_at
                )
                if response.commands:
                    worker.next_heartbeat_at = min(worker.next_heartbeat_at, self.now + CHANGED_S)
                return
            self.reports.redirected += 1
            leader = json.loads(answer.body).get("harbormaster") if answer.status == 421 else None
        others = sorted(name for name in self.controller_addresses if name != label)
        known = leader is not None and leader in self.controller_addresses and leader != label
        self.worker_controllers[worker.name] = str(leader) if known else self.rng.choice(others or [label])
        pause_s = self.rng.uniform(0.0, REDIRECTED_S) if known else REFUSED_S
        worker.awaiting_response_since, worker.next_heartbeat_at = None, self.now + pause_s
        worker.heartbeat_sent_at = worker.next_heartbeat_at

    async def handle_cloud(self, request: web.BaseRequest) -> web.Response:
        """Answer the cloud's interface; the list comes in pages."""
        if request.method != "GET" or request.path != "/rentals":
            return await super().handle_cloud(request)
        rows = self.listed_machines(lambda name: f"{self.addresses['workers']}/{name}")
        after = request.query.get("from", "")
        rows = [row for row in rows if row["nameId"] > after]
        return web.Response(
            body=wire.encode({"bollards": rows[:LIST_PAGE_SIZE], "truncated": len(rows) > LIST_PAGE_SIZE})
        )

    def check_start(self, worker: ReferenceWorker, task: WorkerTask) -> None:
        """Count a start."""
        self.task_starts += 1

    async def run_clock(self) -> None:
        """Let the workers' time pass."""
        while True:
            self.now = asyncio.get_running_loop().time()
            for worker in list(self.workers.values()):
                worker.step()
            await asyncio.sleep(TICK_S)

    def lapses(self) -> int:
        """Return how many leases of workers have run out."""
        return sum(worker.worker_epoch - 1 for worker in self.workers.values())
