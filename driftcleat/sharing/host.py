"""A controller's process with sharing enabled: an engine for each shard, and the objects that all shards use."""

import asyncio
import dataclasses
import logging
import math
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import msgspec

from driftcleat import wire
from driftcleat.api import Listener, Response, serve
from driftcleat.api.server import ResponseOrAwaitable
from driftcleat.controller.clients import make_clients
from driftcleat.controller.controller import LOOP_RESTART_PAUSE_INTERVALS
from driftcleat.controller.network import HEARTBEAT_PATH, MAX_PEER_BODY_BYTES
from driftcleat.leadership import Election
from driftcleat.net import HttpClient, SocketBudget
from driftcleat.peers import PeerClient
from driftcleat.peers.client import PEER_PATH
from driftcleat.runtime.background import BackgroundTasks, run_forever
from driftcleat.settings import Platform, Tuning
from driftcleat.sharing.assignment import ShardAssignment
from driftcleat.sharing.cloud import MachineRegistry
from driftcleat.sharing.coordinator_loops import CoordinatorLoops
from driftcleat.sharing.engine import ShardEngine
from driftcleat.sharing.handoff import Handoffs
from driftcleat.sharing.job_directory import JobDirectory
from driftcleat.sharing.keys import ALLOCATIONS_PREFIX, ASSIGNMENT_KEY, FIRST_SHARD
from driftcleat.sharing.operators import OperatorApi
from driftcleat.sharing.process_lease import ProcessLease
from driftcleat.sharing.quota import QuotaAllocation
from driftcleat.sharing.routing import UserRouter
from driftcleat.sharing.settings import SharingSettings
from driftcleat.sharing.view import SharingView
from driftcleat.store.errors import CompareFailedError, StoreError
from driftcleat.store.keys import LEADER_KEY
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)

# How long a watch of the sharing records waits for a change, as a fraction of the worker lease.
VIEW_WATCH_TIMEOUT = 0.25


class HeartbeatSender(msgspec.Struct):
    """The field of a heartbeat that decides which shard it belongs to."""

    name: str = msgspec.field(name="bollard")


class ShardHost:
    """Runs the engines of all shards in one process, and shares clients, listeners and the process's lease."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        settings: SharingSettings,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.platform, self.tuning, self.settings = platform, tuning, settings
        self.clock, self.wall_clock = clock, wall_clock
        self.rng = rng if rng is not None else random.Random()
        self.labels = sorted([platform.label, *(peer.label for peer in platform.peers)])
        self.background = BackgroundTasks()
        self.engines: dict[int, ShardEngine] = {}
        self._engine_tasks: dict[int, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Serve until cancelled."""
        sockets = SocketBudget(self.platform.fd_limit, len(self.platform.peers))
        clients = self.connect(sockets)
        self._assemble()
        servers = await self.listen(sockets)
        log.info("controller %s starts with sharing, %d shards configured", self.platform.label, self.settings.shares)
        pause_s = self.platform.report_s * LOOP_RESTART_PAUSE_INTERVALS
        loops: Sequence[Callable[[], Awaitable[None]]] = [
            self.view.run,
            self.handoffs.run,
            self.coordinator_loops.run,
            self.coordinator_loops.run_status_sender,
        ]
        try:
            self._start_engines()
            await asyncio.gather(*(run_forever(loop, pause_s) for loop in loops))
        finally:
            await self._stop(servers, clients)

    async def _stop(self, servers: list[Listener], clients: list[HttpClient]) -> None:
        for task in self._engine_tasks.values():
            task.cancel()
        await asyncio.gather(*self._engine_tasks.values(), return_exceptions=True)
        for server in servers:
            await server.stop()
        for client in clients:
            await client.close()

    def connect(self, sockets: SocketBudget) -> list[HttpClient]:
        """Create the clients; return the connections to close at the end."""
        clients = make_clients(self.platform, sockets, self.clock)
        self.store, self.cloud, self.workers = clients.store, clients.cloud, clients.workers
        self._peer_client = clients.peers
        return clients.connections

    def make_peers(self, shard: int) -> PeerClient:
        """Return the client through which a shard's engines on different controllers exchange messages."""
        path = PEER_PATH if shard == FIRST_SHARD else f"{PEER_PATH}/{shard}"
        return PeerClient(self._peer_client, self.platform, path)

    def make_sharing_client(self, path: str) -> PeerClient:
        """Return the client for messages of sharing."""
        return PeerClient(self._peer_client, self.platform, path)

    def _assemble(self) -> None:
        platform = self.platform
        ttl_s = platform.lease_s * self.tuning.leader_ttl_leases
        self.process_lease = ProcessLease(self.store, ttl_s, ttl_s * self.tuning.keep_alive_pause_ttls, self.clock)
        self.job_directory = JobDirectory(self.store)
        self.view = SharingView(self.store, self.labels, platform.lease_s * VIEW_WATCH_TIMEOUT)
        self.view.on_change = self._on_view_change
        self.registry = MachineRegistry(self.store, self.view, platform)
        self.router = UserRouter(self)
        self.handoffs = Handoffs(self)
        self.coordinator_loops = CoordinatorLoops(self)
        self.operators = OperatorApi(self)

    def _start_engines(self) -> None:
        """Start the missing engines: one for each shard of the assignment and of the settings."""
        assignment = self.view.assignment
        count = max(self.settings.shares, assignment.shard_count if assignment is not None else 1)
        platform = self._shard_platform(count)
        for shard in range(count):
            if shard not in self.engines:
                rng = random.Random(self.rng.random())
                engine = self.engines[shard] = ShardEngine(self, shard, platform, self.tuning, rng)
                self._engine_tasks[shard] = asyncio.ensure_future(engine.run())

    def _shard_platform(self, shard_count: int) -> Platform:
        """Return the platform with one shard's part of the rate limits of store and cloud, and of the processor.

        The store's write rate is divided by one more than the number of shards: the extra part is for the records
        that all shards use, such as the job directory, the machines' shards and the assignment.
        """
        platform = self.platform
        shards_per_controller = math.ceil(shard_count / len(self.labels))
        return dataclasses.replace(
            platform,
            write_rps=platform.write_rps / (shard_count + 1),
            cloud_rps=platform.cloud_rps / shard_count,
            core_share=platform.core_share / shards_per_controller,
        )

    def _on_view_change(self) -> None:
        """Start engines of new shards, apply changed quotas and wake the hand-offs."""
        self._start_engines()
        self.apply_quotas()
        self.handoffs.wake()

    def apply_quotas(self) -> None:
        """Apply the current quotas in each shard that is led here."""
        for engine in self.engines.values():
            if engine.active_term.scheduler is not None:
                engine.apply_quotas()

    # The coordinator.

    @property
    def first_engine(self) -> ShardEngine:
        """Return the engine of the first shard, whose leader is the coordinator."""
        return self.engines[FIRST_SHARD]

    @property
    def election(self) -> Election:
        """Return the coordinator's election."""
        return self.first_engine.election

    @property
    def may_decide(self) -> bool:
        """Return whether this controller is the confirmed coordinator."""
        return FIRST_SHARD in self.engines and self.first_engine.may_decide

    @property
    def coordinator(self) -> str | None:
        """Return the label of the last known coordinator, or None."""
        return self.first_engine.leader

    def leads(self, shard: int) -> bool:
        """Return whether this controller is the confirmed leader of a shard."""
        return shard in self.engines and self.engines[shard].may_decide

    # Commits of the records that all shards use.

    async def commit_assignment(self, assignment: ShardAssignment) -> None:
        """Commit an assignment as the coordinator; `StoreError` if that failed or its outcome is unknown."""
        view = self.view
        operations: list[Any] = [messages.Put(ASSIGNMENT_KEY, assignment)]
        compares = [
            messages.Compare(LEADER_KEY, self.election.fencing_token),
            messages.Compare(ASSIGNMENT_KEY, view.assignment_mod_revision),
        ]
        try:
            mod_revision = await self.store.commit(messages.Transaction(compares, operations))
        except CompareFailedError:
            await view.refresh()
            raise
        view.apply_assignment(wire.encode(assignment), mod_revision)
        self._on_view_change()

    async def commit_allocation(
        self, team: str, allocation: QuotaAllocation, mod_revision: int, compares: Sequence[tuple[str, int]]
    ) -> None:
        """Commit a team's allocation if the stored one is at `mod_revision` and `compares` hold.

        Raises `StoreError` if that failed or its outcome is unknown.
        """
        key = ALLOCATIONS_PREFIX + team
        all_compares = [messages.Compare(key, mod_revision), *(messages.Compare(*compare) for compare in compares)]
        try:
            revision = await self.store.commit(messages.Transaction(all_compares, [messages.Put(key, allocation)]))
        except CompareFailedError:
            await self.view.refresh()
            raise
        self.view.allocations[team] = allocation
        self.view.allocation_mod_revisions[team] = revision

    # Servers.

    async def listen(self, sockets: SocketBudget) -> list[Listener]:
        """Start listening at `bind` and `back`; return the listeners."""
        self.front = await serve(
            self.platform.bind, self.reply_front, sockets.max_front_connections, worker_path=HEARTBEAT_PATH
        )
        back = await serve(self.platform.back, self.handle_back, sockets.max_back_connections, MAX_PEER_BODY_BYTES)
        return [back, self.front]

    def reply_front(self, method: str, path: str, body: bytes) -> ResponseOrAwaitable:
        """Answer a request at `bind`; heartbeats go to the engine of their machine's shard."""
        if path != HEARTBEAT_PATH or method != "POST":
            return self.handle_front(method, path, body)
        try:
            machine = wire.decode(body, HeartbeatSender).name
        except wire.WireError as error:
            return Response.error(400, str(error))
        shard = self.view.shard_of(machine)
        if shard is None:
            return self._handle_unregistered_heartbeat(machine, body)
        return self.engines[shard].heartbeats.handle(body) if self.is_serving(shard) else self._not_ready()

    async def _handle_unregistered_heartbeat(self, machine: str, body: bytes) -> Response:
        """Look the machine up in the store, since the replica may lag; let an unregistered machine retry."""
        try:
            shard = await self.registry.look_up(machine) if self.view.loaded else None
        except (StoreError, wire.WireError, ValueError) as error:
            log.debug("shard of machine %s could not be read: %s", machine, error)
            shard = None
        if shard is None or not self.is_serving(shard):
            return self._not_ready()
        reply = self.engines[shard].heartbeats.handle(body)
        return reply if isinstance(reply, Response) else await reply

    def _not_ready(self) -> Response:
        return Response.error(503, "not known yet", retry_after_s=1)

    def is_serving(self, shard: int) -> bool:
        """Return whether this process has an engine for a shard and it serves requests."""
        return shard in self.engines and self.engines[shard].is_serving

    async def handle_front(self, method: str, path: str, body: bytes) -> Response:
        """Handle a request at `bind`."""
        if path == HEARTBEAT_PATH:
            reply = self.reply_front(method, path, body) if method == "POST" else None
            if reply is None:
                return Response.error(405, "only POST is allowed here")
            return reply if isinstance(reply, Response) else await reply
        if not self.is_serving(FIRST_SHARD):
            return self._not_ready()
        if path == "/ready":
            return await self.first_engine.handle_front(method, path, body)
        return await self.router.handle(method, path, body)

    async def handle_back(self, method: str, path: str, body: bytes) -> Response:
        """Handle a request at `back`."""
        if path.startswith(PEER_PATH + "/"):
            shard = path[len(PEER_PATH) + 1 :]
            if not shard.isascii() or not shard.isdigit() or int(shard) not in self.engines:
                return Response.error(404, "no such share")
            return await self.engines[int(shard)].handle_back(method, PEER_PATH, body)
        response = await self.operators.handle(method, path, body)
        if response is not None:
            return response
        return await self.first_engine.handle_back(method, path, body)
