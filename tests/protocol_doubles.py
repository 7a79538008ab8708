"""Protocol doubles of state service, cloud and workers that serve HTTP on loopback for real controllers."""

import asyncio
import bisect
import itertools
import json
import os
import random
import socket
from typing import Any, Self

import aiohttp
from aiohttp import web

from driftcleat import wire
from driftcleat.settings import Tuning
from driftcleat.settings.platform import parse_platform
from driftcleat.store.records import ScaleOutRecord
from driftcleat.wire.workers import Command, Heartbeat, HeartbeatResponse

from .reference_model import ReferenceModel
from .reference_store import InMemoryStore
from .reference_worker import ReferenceWorker
from .samples import MACHINE_TYPES, raw_settings

# Ports below the range from which the kernel takes those of connections. Each test process has a block of its own, so
# that test suites that run at the same time do not take each other's ports before a server listens on them.
FIRST_PORT = 10_000
PORT_BLOCKS = 100
PORTS_PER_BLOCK = 220
_block_start = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
_ports = itertools.cycle(range(_block_start, _block_start + PORTS_PER_BLOCK))


def free_port() -> int:
    """Return a loopback port of this process's block that is free at the time of the call."""
    while True:
        port = next(_ports)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


async def wait_until(condition: Any, what: str, timeout_s: float = 60.0) -> Any:
    """Poll a sync or async condition until it is true and return its value; fail after `timeout_s` seconds."""
    end = asyncio.get_running_loop().time() + timeout_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        assert asyncio.get_running_loop().time() < end, f"timed out waiting: {what}"
        await asyncio.sleep(0.02)


class StoreDouble:
    """The state service: transactions, leases, watches, and outages for all controllers or for some.

    A watch only reports that everything under its prefix was removed, which is all that the leader key needs.
    """

    def __init__(self, store: InMemoryStore) -> None:
        self.store = store
        self.leases: dict[int, float] = {}
        self.ttl: dict[int, float] = {}
        self.attached: dict[str, int] = {}
        self.down_for: set[str] = set()
        self.last_lease_id = 0
        # Number of transactions received, and of those rejected because they exceed the size limits.
        self.txns = self.rejected_txns = 0
        # Limit on changes per second, if there is one, and the token bucket that enforces it.
        self.write_rps: float | None = None
        self.write_tokens, self.tokens_refilled_at = 0.0, 0.0

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def expire_leases(self) -> None:
        """Revoke leases that were not kept alive; callers skip this during an outage for all controllers."""
        for lease in [lease for lease, end in self.leases.items() if end < self.now()]:
            self.revoke(lease)

    def revoke(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, other in self.attached.items() if other == lease]:
            del self.attached[key]
            if self.store.data.pop(key, None) is not None:
                self.store.revision += 1

    def heal(self) -> None:
        """End the outage and give every lease its full time to live again."""
        self.down_for.clear()
        for lease in self.leases:
            self.leases[lease] = self.now() + self.ttl[lease]

    async def handle(self, request: web.BaseRequest) -> web.Response:
        status, value = await self.respond(
            request.headers.get("X-Sender", ""),
            request.method,
            request.path,
            dict(request.query),
            await request.read(),
        )
        return web.json_response(value, status=status)

    def is_unavailable_to(self, sender: str) -> bool:
        """Return whether requests of this controller fail because of an outage."""
        return "all" in self.down_for or sender in self.down_for

    async def respond(
        self, sender: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Process one request; return the HTTP status and the JSON value of the response."""
        if self.is_unavailable_to(sender):
            return 503, {"error": "trouble"}
        if "all" not in self.down_for:
            self.expire_leases()
        store = self.store
        if path == "/txn":
            return self.txn(body)
        if path == "/leases":
            self.last_lease_id += 1
            self.ttl[self.last_lease_id] = json.loads(body)["ttlMs"] / 1000
            self.leases[self.last_lease_id] = self.now() + self.ttl[self.last_lease_id]
            return 200, {"berth": self.last_lease_id}
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.revoke(lease)
            else:
                self.leases[lease] = self.now() + self.ttl[lease]
            return 200, {}
        if path == "/watch":
            revision, end = int(query["from"]), self.now() + int(query["waitMs"]) / 1000
            while self.now() < end:
                if "all" not in self.down_for:
                    self.expire_leases()
                if (
                    not self.is_unavailable_to(sender)
                    and store.revision > revision
                    and not store.items(query["under"])
                ):
                    return 200, {
                        "logline": store.revision,
                        "log": [{"remove": query["under"], "entry": store.revision}],
                    }
                await asyncio.sleep(0.02)
            return 200, {"logline": store.revision, "log": []}
        if path == "/store":
            key_values = [
                key_value for key_value in store.items(query["under"]) if key_value.key > query.get("from", "")
            ]
            page = key_values[: int(query["page"])]
            rows = [
                {
                    "key": key_value.key,
                    "v": json.loads(bytes(key_value.value)),
                    "entry": key_value.mod_revision,
                    "berth": self.attached.get(key_value.key),
                }
                for key_value in page
            ]
            return 200, {"rows": rows, "truncated": len(key_values) > len(page), "logline": store.revision}
        key = path[len("/store/") :]
        if key not in store.data:
            return 404, {"logline": store.revision}
        value, version = store.data[key]
        return 200, {"key": key, "v": value, "entry": version, "berth": self.attached.get(key)}

    def txn(self, body: bytes) -> tuple[int, Any]:
        """Apply a transaction unless it exceeds a limit, names an unknown lease or fails a compare."""
        raw = json.loads(body)
        self.txns += 1
        if not self.store.within_limits(raw):
            self.rejected_txns += 1
            return 400, {"error": "too large"}
        if self.write_rps is not None:
            self.write_tokens = min(
                self.write_rps, self.write_tokens + (self.now() - self.tokens_refilled_at) * self.write_rps
            )
            self.tokens_refilled_at = self.now()
            if self.write_tokens < len(raw["then"]):
                return 429, {"error": "too many changes"}
            self.write_tokens -= len(raw["then"])
        for change in raw["then"]:
            if change.get("berth") is not None and change["berth"] not in self.leases:
                return 400, {"error": "no such lease"}
        revision = self.store.txn(body)
        if revision is None:
            return 409, {"failed": ["?"], "logline": self.store.revision}
        for change in raw["then"]:
            if change.get("berth") is not None:
                self.attached[change["put"]] = change["berth"]
        return 200, {"logline": revision}


class ChangeLogStoreDouble(StoreDouble):
    """A state service whose watches report every change under a prefix, as the protocol specifies."""

    def __init__(self, store: InMemoryStore) -> None:
        super().__init__(store)
        self.log: list[dict[str, Any]] = []
        self._revisions: list[int] = []

    def record_change(self, change: dict[str, Any], revision: int) -> None:
        """Append a change to the log that watches are answered from."""
        self.log.append(change | {"entry": revision})
        self._revisions.append(revision)

    def txn(self, body: bytes) -> tuple[int, Any]:
        status, response = super().txn(body)
        if status == 200:
            for change in json.loads(body)["then"]:
                kept = {key: change[key] for key in ("put", "remove", "v") if key in change}
                self.record_change(kept, response["logline"])
        return status, response

    def revoke(self, lease: int) -> None:
        keys = [key for key, other in self.attached.items() if other == lease and key in self.store.data]
        super().revoke(lease)
        for key in keys:
            self.record_change({"remove": key}, self.store.revision)

    def changes(self, prefix: str, revision: int) -> list[dict[str, Any]]:
        """Return the log entries under a prefix after a revision."""
        after = self.log[bisect.bisect_right(self._revisions, revision) :]
        return [entry for entry in after if str(entry.get("put", entry.get("remove"))).startswith(prefix)]

    async def respond(
        self, sender: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path != "/watch" or self.is_unavailable_to(sender):
            return await super().respond(sender, method, path, query, body)
        revision, end, prefix = int(query["from"]), self.now() + int(query["waitMs"]) / 1000, query["under"]
        seen = revision
        while True:
            if "all" not in self.down_for:
                self.expire_leases()
            found = self.changes(prefix, seen)
            seen = self.store.revision
            if (found and not self.is_unavailable_to(sender)) or self.now() >= end:
                return 200, {"logline": self.store.revision, "log": found}
            if found:
                seen = revision
            await asyncio.sleep(0.02)


class HttpReferenceModel(ReferenceModel):
    """The reference model on the real clock; its workers and cloud exchange HTTP messages with real controllers."""

    def __init__(self, platform: Any) -> None:
        super().__init__(1, platform, dict(MACHINE_TYPES))
        self.controller_addresses: dict[str, str] = {}
        self.pending: set[asyncio.Task[None]] = set()
        self.session: aiohttp.ClientSession | None = None
        self.worker_controllers: dict[str, str] = {}
        self.cloud_down = False
        self.addresses: dict[str, str] = {}
        self.tick_s = 0.02

    def send_heartbeat(self, worker: ReferenceWorker, heartbeat: Heartbeat, sent_at: float) -> None:
        task = asyncio.ensure_future(self._send_heartbeat(worker, heartbeat, sent_at))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    async def _send_heartbeat(self, worker: ReferenceWorker, heartbeat: Heartbeat, sent_at: float) -> None:
        assert self.session is not None
        if not self.controller_addresses:
            # All controllers are down: handled like a refused connection.
            worker.awaiting_response_since, worker.next_heartbeat_at = None, self.now + 1.0
            return
        label = self.worker_controllers.get(worker.name)
        if label not in self.controller_addresses:
            label = self.worker_controllers[worker.name] = random.choice(sorted(self.controller_addresses))
        heartbeat = wire.convert(
            wire.decode(wire.encode(heartbeat), dict) | {"addr": self.addresses["workers"] + "/" + worker.name},
            Heartbeat,
        )
        try:
            async with self.session.post(
                f"http://{self.controller_addresses[label]}/agent/beat",
                data=wire.encode(heartbeat),
                timeout=aiohttp.ClientTimeout(total=4),
            ) as response:
                data = await response.read()
                if response.status == 200:
                    reply = wire.decode(data, HeartbeatResponse)
                    worker.receive_response(
                        heartbeat.worker_epoch, heartbeat.sequence, reply.fencing_token, reply.commands, sent_at
                    )
                    if reply.commands:
                        worker.next_heartbeat_at = min(worker.next_heartbeat_at, self.now + 0.1)
                    return
                leader = json.loads(data).get("harbormaster") if response.status == 421 else None
        except (aiohttp.ClientError, TimeoutError):
            leader = None
        others = sorted(name for name in self.controller_addresses if name != label)
        self.worker_controllers[worker.name] = (
            leader if leader in self.controller_addresses else random.choice(others or [label])
        )
        worker.awaiting_response_since, worker.next_heartbeat_at = None, self.now + 0.1

    async def handle_commands(self, request: web.BaseRequest) -> web.Response:
        raw = json.loads(await request.read())
        worker = self.workers.get(request.path.split("/")[1])
        if worker is None or worker.terminated:
            return web.json_response({}, status=404)
        commands = wire.convert(raw["signals"], list[Command])
        refused = raw["helm"] < worker.fencing_token or raw["watch"] != worker.worker_epoch
        worker.receive_commands(raw["helm"], raw["watch"], commands)
        worker.next_heartbeat_at = min(worker.next_heartbeat_at, self.now + 0.1)
        return web.Response(body=wire.encode(worker.next_heartbeat()), status=409 if refused else 200)

    async def handle_cloud(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        if self.cloud_down:
            return web.json_response({"error": "trouble"}, status=503)
        if request.path == "/machine_types":
            return web.Response(body=wire.encode({"builds": list(self.types.values())}))
        if request.path == "/rentals/return":
            for name in json.loads(body)["bollards"]:
                worker = self.workers.get(name)
                if worker is not None:
                    worker.terminated = True
                    worker.tasks.clear()
            return web.json_response({})
        if request.method == "POST":
            raw = json.loads(body)
            if raw["charter"] not in self.scale_out_results:
                record = ScaleOutRecord(raw["build"], raw["harbor"], raw["driftwood"], raw["howMany"], 0.0)
                self.scale_out_results[raw["charter"]] = tuple(self.boot(record) for _ in range(raw["howMany"]))
            return web.json_response({"bollards": self.scale_out_results[raw["charter"]]})
        rows = self.listed_machines(lambda name: f"{self.addresses['workers']}/{name}")
        return web.json_response({"bollards": rows, "truncated": False})

    async def run_clock(self) -> None:
        """Run the workers and check cancellations every `tick_s` seconds, until cancelled."""
        while True:
            self.now = asyncio.get_running_loop().time()
            for worker in list(self.workers.values()):
                worker.step()
            for _, task in self.tasks_on_machines():
                self.check_cancelled(task.job.id)
            await asyncio.sleep(self.tick_s)


async def serve(handler: Any, port: int) -> web.ServerRunner:
    """Serve a handler on a loopback port."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


class Site:
    """Three real controllers on loopback, with protocol doubles of store, cloud and workers."""

    def __init__(self) -> None:
        self.ports = {
            name: free_port()
            for name in ("state", "cloud", "workers", "a-bind", "a-back", "b-bind", "b-back", "c-bind", "c-back")
        }
        self.platforms = {label: parse_platform("test", self._raw(label)) for label in "abc"}
        self.model = HttpReferenceModel(self.platforms["a"])
        self.store = StoreDouble(self.model.store)
        self.running: dict[str, asyncio.Task[None]] = {}
        self.controllers: dict[str, Any] = {}

    def _raw(self, label: str) -> dict[str, Any]:
        raw = raw_settings()
        raw |= {
            "label": label,
            "bind": f"127.0.0.1:{self.ports[label + '-bind']}",
            "back": f"127.0.0.1:{self.ports[label + '-back']}",
            "known": [
                {"label": other, "domain": "north", "address": f"127.0.0.1:{self.ports[other + '-back']}"}
                for other in "abc"
                if other != label
            ],
        }
        raw["external"] = {"cloud": f"127.0.0.1:{self.ports['cloud']}", "state": f"127.0.0.1:{self.ports['state']}"}
        raw["deployment"]["workers"] |= {"report_s": 0.4, "lease_s": 8.0, "cancel_s": 20.0}
        raw["deployment"]["cloud"] = {"rps": 50.0, "list_lag_s": 0.5}
        raw["deployment"]["state"] |= {"rps": 2000.0, "write_rps": 500.0}
        return raw

    async def __aenter__(self) -> Self:
        self.model.session = aiohttp.ClientSession()
        self.model.addresses["workers"] = f"127.0.0.1:{self.ports['workers']}"
        self.runners = [
            await serve(self.model.handle_cloud, self.ports["cloud"]),
            await serve(self.model.handle_commands, self.ports["workers"]),
        ]
        await self.start_store()
        self.model.now = asyncio.get_running_loop().time()
        self.clock = asyncio.ensure_future(self.model.run_clock())
        for label in "abc":
            self.start(label)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.clock.cancel()
        for label in list(self.running):
            await self.kill(label)
        await asyncio.gather(*self.model.pending, return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        assert self.model.session is not None
        await self.model.session.close()

    async def start_store(self) -> None:
        """Serve the state service on its port."""
        self.runners.append(await serve(self.store.handle, self.ports["state"]))

    def start(self, label: str) -> None:
        """Start a controller and let workers and users send requests to it."""
        from driftcleat.controller.controller import Controller

        controller = Controller(self.platforms[label], Tuning())
        self.controllers[label] = controller
        self.running[label] = asyncio.ensure_future(controller.run())
        self.model.controller_addresses[label] = self.platforms[label].bind

    def identify_to_store(self, label: str) -> None:
        """Add the controller's label to its requests to the store, so that an outage can be limited to it."""
        store = self.controllers[label].store
        for client in (store.client, store.lease_client):
            client.headers["X-Sender"] = label

    async def kill(self, label: str) -> None:
        """Cancel a controller's task, as a crash does, and wait until it has ended."""
        task = self.running.pop(label)
        self.model.controller_addresses.pop(label, None)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def leader(self) -> str | None:
        """Return the label of the controller that may decide as the leader, or None."""
        return next((label for label in self.running if self.controllers[label].may_decide), None)

    async def call(self, label: str, method: str, path: str, body: Any = None) -> tuple[int, Any, Any]:
        """Send a user's request to one controller; return status, decoded JSON and headers of the response."""
        assert self.model.session is not None
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
        async with self.model.session.request(
            method, f"http://{self.platforms[label].bind}{path}", data=data
        ) as response:
            text = await response.read()
            return response.status, json.loads(text) if text else None, response.headers
