"""One controller: its parts, the loops that run them, and its leader terms. The scheduler makes all decisions."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

from driftcleat import wire
from driftcleat.api import Answer
from driftcleat.api.server import Reply
from driftcleat.controller.assembly import Factories, TermCallbacks, build_parts
from driftcleat.controller.network import HEARTBEAT_PATH
from driftcleat.controller.recovery import recover
from driftcleat.leadership import PeerSurvey
from driftcleat.runtime.background import run_for_ever
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import DATA_VERSION

log = logging.getLogger(__name__)

# The least memory that a process needs (measured), in MB.
MIN_MEMORY_MB = 64
# The pause before a loop that failed runs again, as a fraction of the heartbeat interval.
LOOP_RESTART_PAUSE = 1 / 10
# The pause between two looks at the event loop's delay, of the report interval.
DELAY_PAUSE = 1 / 10


class Controller:
    """One controller process, or the engine of one share in a process with several."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        factories: Factories | None = None,
    ) -> None:
        self.platform = platform
        self.tuning = tuning
        self.clock = clock
        self.wall = wall
        self.rng = rng if rng is not None else random.Random()
        factories = factories if factories is not None else Factories()
        network = factories.network(platform, clock, self.reply_front, self.handle_back)
        callbacks = TermCallbacks(self._recover, self._end_term, self._ask_peers)
        parts = build_parts(platform, tuning, self.rng, clock, network, callbacks, factories)
        self._network = network
        self.front = network.front
        self.store = network.clients.store
        self.cloud = network.clients.cloud
        self.workers = network.clients.workers
        self.peers = network.clients.peers
        self.active_term = parts.active_term
        self.election = parts.election
        self.surveyor = parts.surveyor
        self.users = parts.users
        self.heartbeats = parts.heartbeats
        self.peer_api = parts.peer_api
        self.commit_pipeline = parts.commit_pipeline
        self.dispatcher = parts.dispatcher
        self.fleet_manager = parts.fleet_manager
        self.overload = parts.overload
        self.background = parts.background
        self.metrics = parts.metrics
        self._leader_reached_at = float("-inf")
        self._is_serving = False

    async def run(self) -> None:
        """Serve for ever."""
        platform = self.platform
        async with self._network.serve():
            self._is_serving = True
            if platform.memory_mb < MIN_MEMORY_MB:
                log.warning(
                    "deployment.resources.memory_mb is %g: at least %d are needed", platform.memory_mb, MIN_MEMORY_MB
                )
            log.info("controller %s: listening on %s and %s", platform.label, platform.bind, platform.back)
            pause_s = platform.report_s * LOOP_RESTART_PAUSE
            # Not a TaskGroup: a loop that is cancelled ends the process here, a group would go on without it.
            await asyncio.gather(*(run_for_ever(loop, pause_s) for loop in self._loops()))

    @property
    def is_serving(self) -> bool:
        """Whether this controller was started: its listeners are open, its loops run."""
        return self._is_serving

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
        if path == HEARTBEAT_PATH and method == "POST":
            return self.heartbeats.handle(body)
        return self.handle_front(method, path, body)

    async def handle_front(self, method: str, path: str, body: bytes) -> Answer:
        """Answer a request at `bind`."""
        if path == HEARTBEAT_PATH:
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
