"""One process with sharing switched on: an engine for each share, and what the shares have in common."""

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
from driftcleat.controller.controller import LOOP_RESTART_PAUSE
from driftcleat.controller.network import HEARTBEAT_PATH, MAX_PEER_BODY
from driftcleat.leadership import Election
from driftcleat.net import HttpClient, SocketBudget
from driftcleat.peers import PeerClient
from driftcleat.peers.client import PEER_PATH
from driftcleat.runtime.background import Background, run_for_ever
from driftcleat.settings import Platform, Tuning
from driftcleat.sharing.allotments import Allotment
from driftcleat.sharing.assignment import Assignment
from driftcleat.sharing.claims import Claims
from driftcleat.sharing.cloud import MachineRegistry
from driftcleat.sharing.duties import CoordinatorDuties
from driftcleat.sharing.engine import ShareEngine
from driftcleat.sharing.keys import ALLOTMENTS, ASSIGNMENT, FIRST_SHARE
from driftcleat.sharing.operators import OperatorApi
from driftcleat.sharing.process_lease import ProcessLease
from driftcleat.sharing.routing import UserRouter
from driftcleat.sharing.settings import SharingSettings
from driftcleat.sharing.transfer import Transfers
from driftcleat.sharing.view import SharingView
from driftcleat.store.errors import CompareFailedError, StoreError
from driftcleat.store.keys import LEADER_KEY
from driftcleat.wire import state as messages

log = logging.getLogger(__name__)

# How often the replica of what shares have in common is asked for anew, of the worker lease.
VIEW_WAIT = 0.25


class ReportingMachine(msgspec.Struct):
    """The one field of a report by which it finds its share."""

    name: str = msgspec.field(name="bollard")


class SharingHost:
    """A controller's process with several shares."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        settings: SharingSettings,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.platform, self.tuning, self.settings = platform, tuning, settings
        self.clock, self.wall = clock, wall
        self.rng = rng if rng is not None else random.Random()
        self.labels = sorted([platform.label, *(peer.label for peer in platform.peers)])
        self.background = Background()
        self.engines: dict[int, ShareEngine] = {}
        self._engine_tasks: dict[int, asyncio.Task[None]] = {}

    # -- the parts ----------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve for ever."""
        sockets = SocketBudget(self.platform.fd_limit, len(self.platform.peers))
        clients = self.connect(sockets)
        self._assemble()
        servers = await self.listen(sockets)
        log.info("controller %s shares machines, up to %d shares", self.platform.label, self.settings.shares)
        pause_s = self.platform.report_s * LOOP_RESTART_PAUSE
        loops: Sequence[Callable[[], Awaitable[None]]] = [
            self.view.run,
            self.transfers.run,
            self.duties.run,
            self.duties.run_status,
        ]
        try:
            self._start_engines()
            await asyncio.gather(*(run_for_ever(loop, pause_s) for loop in loops))
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
        """Make the clients; return what is to be closed in the end."""
        clients = make_clients(self.platform, sockets, self.clock)
        self.store, self.cloud, self.workers = clients.store, clients.cloud, clients.workers
        self._peer_client = clients.peers
        return clients.connections

    def make_peers(self, share: int) -> PeerClient:
        """Return the client with which a share's engines talk to one another."""
        path = PEER_PATH if share == FIRST_SHARE else f"{PEER_PATH}/{share}"
        return PeerClient(self._peer_client, self.platform, path)

    def make_sharing_client(self, path: str) -> PeerClient:
        """Return the client for messages about shares."""
        return PeerClient(self._peer_client, self.platform, path)

    def _assemble(self) -> None:
        platform = self.platform
        ttl_s = platform.lease_s * self.tuning.leader_ttl_leases
        self.process_lease = ProcessLease(self.store, ttl_s, ttl_s * self.tuning.keep_alive_pause_ttls, self.clock)
        self.claims = Claims(self.store)
        self.view = SharingView(self.store, self.labels, platform.lease_s * VIEW_WAIT)
        self.view.on_change = self._note_change
        self.registry = MachineRegistry(self.store, self.view, platform)
        self.router = UserRouter(self)
        self.transfers = Transfers(self)
        self.duties = CoordinatorDuties(self)
        self.operators = OperatorApi(self)

    def _start_engines(self) -> None:
        """Start an engine for each share that there is, or will be."""
        assignment = self.view.assignment
        count = max(self.settings.shares, assignment.shares if assignment is not None else 1)
        platform = self._platform_of_a_share(count)
        for share in range(count):
            if share not in self.engines:
                rng = random.Random(self.rng.random())
                engine = self.engines[share] = ShareEngine(self, share, platform, self.tuning, rng)
                self._engine_tasks[share] = asyncio.ensure_future(engine.run())

    def _platform_of_a_share(self, shares: int) -> Platform:
        """Return the platform with one share's part of what the store and the cloud take, and of the processor.

        One part more of the store's changes is for what shares have in common: claims, machines, assignments.
        """
        platform = self.platform
        at_once = math.ceil(shares / len(self.labels))
        return dataclasses.replace(
            platform,
            write_rps=platform.write_rps / (shares + 1),
            cloud_rps=platform.cloud_rps / shares,
            core_share=platform.core_share / at_once,
        )

    def _note_change(self) -> None:
        """The replica has changed: there may be more shares, or other parts of the limits."""
        self._start_engines()
        self.note_allotments()
        self.transfers.wake()

    def note_allotments(self) -> None:
        """The parts of the limits may have changed: the shares that are led here go by them."""
        for engine in self.engines.values():
            if engine.active_term.scheduler is not None:
                engine.take_parts()

    # -- the coordinator ----------------------------------------------------------------------------------

    @property
    def first_engine(self) -> ShareEngine:
        """Return the engine of the first share, whose leader is the coordinator."""
        return self.engines[FIRST_SHARE]

    @property
    def election(self) -> Election:
        """Return the coordinator's election."""
        return self.first_engine.election

    @property
    def may_decide(self) -> bool:
        """Whether this controller is the coordinator for certain."""
        return FIRST_SHARE in self.engines and self.first_engine.may_decide

    @property
    def coordinator(self) -> str | None:
        """Return the coordinator's label as far as known."""
        return self.first_engine.leader

    def leads(self, share: int) -> bool:
        """Whether this controller leads a share for certain."""
        return share in self.engines and self.engines[share].may_decide

    # -- commits of what shares have in common ------------------------------------------------------------

    async def put_assignment(self, assignment: Assignment) -> None:
        """Commit an assignment as the coordinator; `StoreError` if it was not, or may not have been."""
        view = self.view
        changes: list[Any] = [messages.Put(ASSIGNMENT, assignment)]
        conditions = [
            messages.Compare(LEADER_KEY, self.election.fencing_token),
            messages.Compare(ASSIGNMENT, view.assignment_version),
        ]
        try:
            version = await self.store.commit(messages.Transaction(conditions, changes))
        except CompareFailedError:
            await view.refresh()
            raise
        view.take_assignment(wire.encode(assignment), version)
        self._note_change()

    async def put_allotment(
        self, team: str, allotment: Allotment, version: int, conditions: Sequence[tuple[str, int]]
    ) -> None:
        """Commit the parts of a team's limit if their version stands; `StoreError` if that failed, or may have."""
        key = ALLOTMENTS + team
        checks = [messages.Compare(key, version), *(messages.Compare(*condition) for condition in conditions)]
        try:
            revision = await self.store.commit(messages.Transaction(checks, [messages.Put(key, allotment)]))
        except CompareFailedError:
            await self.view.refresh()
            raise
        self.view.allotments[team] = allotment
        self.view.allotment_versions[team] = revision

    # -- servers ------------------------------------------------------------------------------------------

    async def listen(self, sockets: SocketBudget) -> list[Listener]:
        """Open the addresses that are served."""
        self.front = await serve(self.platform.bind, self.reply_front, sockets.front, worker_path=HEARTBEAT_PATH)
        back = await serve(self.platform.back, self.handle_back, sockets.back, MAX_PEER_BODY)
        return [back, self.front]

    def reply_front(self, method: str, path: str, body: bytes) -> ResponseOrAwaitable:
        """Answer a request at `bind`; reports go to the engine of their machine's share."""
        if path != HEARTBEAT_PATH or method != "POST":
            return self.handle_front(method, path, body)
        try:
            machine = wire.decode(body, ReportingMachine).name
        except wire.WireError as error:
            return Response.error(400, str(error))
        share = self.view.share_of(machine)
        if share is None:
            return self._report_of_unknown(machine, body)
        return self.engines[share].heartbeats.handle(body) if self.is_set_up(share) else self._starting()

    async def _report_of_unknown(self, machine: str, body: bytes) -> Response:
        """Our replica may be late: ask the store. A machine that nobody has registered yet comes back."""
        try:
            share = await self.registry.look_up(machine) if self.view.loaded else None
        except (StoreError, wire.WireError, ValueError) as error:
            log.debug("machine %s: %s", machine, error)
            share = None
        if share is None or not self.is_set_up(share):
            return self._starting()
        reply = self.engines[share].heartbeats.handle(body)
        return reply if isinstance(reply, Response) else await reply

    def _starting(self) -> Response:
        return Response.error(503, "not known yet", retry_after_s=1)

    def is_set_up(self, share: int) -> bool:
        """Whether the engine of a share serves."""
        return share in self.engines and self.engines[share].is_serving

    async def handle_front(self, method: str, path: str, body: bytes) -> Response:
        """Answer a request at `bind`."""
        if path == HEARTBEAT_PATH:
            reply = self.reply_front(method, path, body) if method == "POST" else None
            if reply is None:
                return Response.error(405, "only POST is allowed here")
            return reply if isinstance(reply, Response) else await reply
        if not self.is_set_up(FIRST_SHARE):
            return self._starting()
        if path == "/ready":
            return await self.first_engine.handle_front(method, path, body)
        return await self.router.handle(method, path, body)

    async def handle_back(self, method: str, path: str, body: bytes) -> Response:
        """Answer a request at `back`."""
        if path.startswith(PEER_PATH + "/"):
            share = path[len(PEER_PATH) + 1 :]
            if not share.isascii() or not share.isdigit() or int(share) not in self.engines:
                return Response.error(404, "no such share")
            return await self.engines[int(share)].handle_back(method, PEER_PATH, body)
        answer = await self.operators.handle(method, path, body)
        if answer is not None:
            return answer
        return await self.first_engine.handle_back(method, path, body)
