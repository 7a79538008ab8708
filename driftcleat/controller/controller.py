"""One controller: puts the parts together and runs their loops. All decisions are made in `term`."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

from driftcleat import wire
from driftcleat.api import Answer, HeartbeatApi, Listener, UserApi, serve
from driftcleat.api.server import Reply
from driftcleat.cloud.manager import FleetManager
from driftcleat.controller.clients import connect
from driftcleat.controller.commit_pipeline import CommitPipeline
from driftcleat.controller.overload import OverloadDetector
from driftcleat.controller.recovery import recover
from driftcleat.leadership import ActiveTerm, Election, PeerSurvey
from driftcleat.net import HttpClient, SocketBudget
from driftcleat.peers import PeerClient
from driftcleat.peers.server import PeerApi
from driftcleat.peers.survey import PeerSurveyor
from driftcleat.runtime.background import Background, run_for_ever
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import DATA_VERSION
from driftcleat.workers.dispatch import StopDispatcher

log = logging.getLogger(__name__)

# What a process takes at the least (measured), in MB.
LEAST_MEMORY_MB = 64
# Where workers send their reports.
REPORTS = "/agent/beat"
# The largest message between controllers.
MOST_PEER_BODY = 256 * 1024
# The pause after a loop that failed, of the report interval.
FAILURE_PAUSE = 1 / 10
# Requests that a follower passes on to the leader at once, for each connection to it.
PASSED_ON_A_CONNECTION = 4
# The pause between two looks at the event loop's delay, of the report interval.
DELAY_PAUSE = 1 / 10


class Controller:
    """One controller process."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.platform, self.tuning, self.clock, self.wall = platform, tuning, clock, wall
        self.rng = rng if rng is not None else random.Random()
        self.metrics = Metrics()
        self.background = Background()
        self.active_term: ActiveTerm[Scheduler] = ActiveTerm()
        self.overload = OverloadDetector(platform.report_s)
        self._leader_reached_at = float("-inf")

    async def run(self) -> None:
        """Serve for ever."""
        platform = self.platform
        sockets = SocketBudget(platform.fd_limit, len(platform.peers))
        clients = self.connect(sockets)
        self._assemble(sockets)
        servers = await self.listen(sockets)
        if platform.memory_mb < LEAST_MEMORY_MB:
            log.warning(
                "deployment.resources.memory_mb is %g: about %d are needed", platform.memory_mb, LEAST_MEMORY_MB
            )
        log.info("controller %s listens on %s and %s", platform.label, platform.bind, platform.back)
        pause_s = platform.report_s * FAILURE_PAUSE
        try:
            await asyncio.gather(*(run_for_ever(loop, pause_s) for loop in self._loops()))
        finally:
            for server in servers:
                await server.cleanup()
            for client in clients:
                await client.close()

    def connect(self, sockets: SocketBudget) -> list[HttpClient]:
        """Make the clients; return what is to be closed in the end."""
        clients = connect(self.platform, sockets, self.clock)
        self.store, self.cloud, self.workers = clients.store, clients.cloud, clients.workers
        self.peers = PeerClient(clients.peers, self.platform)
        return clients.connections

    def _assemble(self, sockets: SocketBudget) -> None:
        """Make the parts that need the clients."""
        platform, tuning, active_term, clock = self.platform, self.tuning, self.active_term, self.clock
        self.users = UserApi(
            platform,
            tuning,
            self.store,
            self.peers,
            active_term,
            clock,
            most_in_progress=sockets.users,
            most_passed_on=sockets.peers.each * PASSED_ON_A_CONNECTION,
        )
        self.heartbeats = HeartbeatApi(platform, tuning, active_term, self.metrics, clock)
        self.surveyor = PeerSurveyor(platform, self.peers, active_term, clock)
        self.election = self.make_election()
        active_term.attach(self.election)
        self.peer_api = PeerApi(platform, self.store, self.users, active_term, self.metrics, clock)
        self.commit_pipeline = CommitPipeline(platform, self.store, active_term, self.metrics, clock)
        self.dispatcher = StopDispatcher(platform, tuning, self.workers, active_term, self.background, clock)
        self.fleet_manager = FleetManager(
            platform,
            tuning,
            self.cloud,
            active_term,
            self.heartbeats,
            self.dispatcher,
            self.background,
            self.metrics,
            clock,
        )

    def make_election(self) -> Election:
        """Return this controller's part in the election."""
        return Election(
            self.platform,
            self.tuning,
            self.store,
            self.rng,
            self.clock,
            self._recover,
            self._end_term,
            self._ask_peers,
            self.surveyor.ask_leader,
        )

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self.election.run,
            self.commit_pipeline.run,
            self.dispatcher.scan,
            self.dispatcher.run,
            *self.fleet_manager.loops(),
            self._measure_delay,
        ]

    async def _measure_delay(self) -> None:
        """Note how late the event loop does what is due, and each report interval whether reports suffer from it."""
        pause_s = self.platform.report_s * DELAY_PAUSE
        while True:
            began_at, heard, worst_s = self.clock(), self.heartbeats.heartbeats_received, 0.0
            while self.clock() - began_at < self.platform.report_s:
                due = self.clock() + pause_s
                await asyncio.sleep(pause_s)
                delay_s = max(0.0, self.clock() - due)
                self.metrics.loop_delay.record(delay_s)
                worst_s = max(worst_s, delay_s)
            intervals = (self.clock() - began_at) / self.platform.report_s
            self.overload.record_interval(
                round((self.heartbeats.heartbeats_received - heard) / intervals), self._machines_alive(), worst_s
            )

    def _machines_alive(self) -> int:
        """Return how many machines have reported to our term within their lease."""
        if self.active_term.scheduler is None:
            return 0
        since = self.clock() - self.platform.lease_s
        machines = self.active_term.scheduler.cluster.machines.values()
        return sum(machine.last_heartbeat is not None and machine.last_heartbeat_at > since for machine in machines)

    async def listen(self, sockets: SocketBudget) -> list[Listener]:
        """Open the addresses that are served."""
        self.front = await serve(self.platform.bind, self.reply_front, sockets.front, workers=REPORTS)
        back = await serve(self.platform.back, self.handle_back, sockets.back, MOST_PEER_BODY)
        self.heartbeats.is_crowded = lambda: self.front.limiter.crowded
        return [back, self.front]

    # -- terms --------------------------------------------------------------------------------------------

    @property
    def scheduler(self) -> Scheduler | None:
        """This controller's term, if it leads."""
        return self.active_term.scheduler

    @property
    def may_decide(self) -> bool:
        """Whether this controller leads for certain."""
        return self.active_term.may_decide

    @property
    def leader(self) -> str | None:
        """The leader's label as far as known."""
        return self.active_term.leader

    async def _recover(self, token: int) -> None:
        """Begin a term: its picture is made of the records."""
        found = await recover(token, self.store, self.platform, self.tuning, self.rng, self.clock, self.wall)
        self.commit_pipeline.start_term(found.marker_mod_revision)
        self.active_term.scheduler = scheduler = found.scheduler
        scheduler.pacing.overload_pause_s = lambda: self.overload.pause_s
        self.peer_api.note_version(self.platform.label, DATA_VERSION)
        self.fleet_manager.start_term(found.machine_types_stored)
        log.info(
            "term %d: %d jobs, %d open rentals", token, len(scheduler.cluster.jobs), len(scheduler.scale_out.open)
        )
        self.active_term.wake_committer()

    def _end_term(self) -> None:
        self.active_term.scheduler = None
        self.users.drop_outstanding()
        self.active_term.announce_commit()

    async def _ask_peers(self) -> PeerSurvey:
        """Ask the others how they see the store; a leader that has to ask can promise its users nothing."""
        if self.election.is_leader:
            self.users.drop_outstanding()
        return await self.surveyor.ask_all()

    # -- servers ------------------------------------------------------------------------------------------

    def reply_front(self, method: str, path: str, body: bytes) -> Reply:
        """Answer a request at `bind`; reports, the most of them, at once if possible."""
        if path == REPORTS and method == "POST":
            return self.heartbeats.handle(body)
        return self.handle_front(method, path, body)

    async def handle_front(self, method: str, path: str, body: bytes) -> Answer:
        """Answer a request at `bind`."""
        if path == REPORTS:
            if method != "POST":
                return Answer.error(405, "only POST is allowed here")
            reply = self.heartbeats.handle(body)
            return reply if isinstance(reply, Answer) else await reply
        if path == "/ready":
            if method != "GET":
                return Answer.error(405, "only GET is allowed here")
            return Answer(200, b'{"ready":true}') if await self._ready() else self.users.unavailable("not ready")
        started = self.clock()
        answer = await self.users.handle(method, path, body)
        self.metrics.user_request_latency.record(self.clock() - started)
        return answer if answer is not None else Answer.error(404, "no such path")

    async def _ready(self) -> bool:
        """Ready while we lead or reached the leader lately; short take-overs do not change it.

        Guards against a follower that the leader refuses, or that took a dead controller for the leader: it drew
        its share of the users and could do nothing for them.
        """
        if self.election.may_answer_heartbeats or await self.surveyor.reaches_leader():
            self._leader_reached_at = self.clock()
        return self.clock() - self._leader_reached_at < self.platform.lease_s * self.tuning.ready

    async def handle_back(self, method: str, path: str, body: bytes) -> Answer:
        """Answer a request at `back`."""
        if path == "/peer":
            if method != "POST":
                return Answer.error(405, "only POST is allowed here")
            return await self.answer_peer(body)
        if path in ("/metrics", "/status"):
            if method != "GET":
                return Answer.error(405, "only GET is allowed here")
            return Answer(200, wire.encode(self.metrics.status(self)))
        return Answer.error(404, "no such path")

    async def answer_peer(self, body: bytes) -> Answer:
        """Answer another controller's message."""
        return await self.peer_api.answer(body)
