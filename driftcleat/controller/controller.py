"""One controller: its components, the loops that run them, its leader terms. The scheduler makes all decisions."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

from driftcleat.api import Response
from driftcleat.api.server import ResponseOrAwaitable
from driftcleat.controller.assembly import BuildContext, Factories, TermCallbacks, build_components
from driftcleat.controller.recovery import recover
from driftcleat.controller.routes import Routes
from driftcleat.leadership import PeerSurvey
from driftcleat.runtime.background import run_forever
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import DATA_VERSION

log = logging.getLogger(__name__)

# The least memory that a process needs, in MB.
MIN_MEMORY_MB = 64
# The pause before a failed loop is restarted, in heartbeat intervals.
LOOP_RESTART_PAUSE_INTERVALS = 1 / 10


class Controller:
    """The only controller of a process, or the engine of one shard in a process that runs several."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        factories: Factories | None = None,
    ) -> None:
        self.platform = platform
        self.tuning = tuning
        self.clock = clock
        self.wall_clock = wall_clock
        self.rng = rng if rng is not None else random.Random()
        factories = factories if factories is not None else Factories()
        network = factories.network(platform, clock, self.reply_front, self.handle_back)
        context = BuildContext(platform, tuning, self.rng, clock, network)
        callbacks = TermCallbacks(self._recover, self._end_term, self._query_peers)
        components = build_components(context, callbacks, factories)
        self._network = network
        self.front = network.front
        self.store = network.clients.store
        self.cloud = network.clients.cloud
        self.workers = network.clients.workers
        self.peers = network.clients.peers
        self.active_term = components.active_term
        self.election = components.election
        self.surveyor = components.surveyor
        self.users = components.users
        self.heartbeats = components.heartbeats
        self.peer_api = components.peer_api
        self.commit_pipeline = components.commit_pipeline
        self.dispatcher = components.dispatcher
        self.fleet_manager = components.fleet_manager
        self.overload = components.overload
        self.background = components.background
        self.metrics = components.metrics
        self._loop_delay = components.loop_delay
        self._routes = Routes(platform, tuning, clock, components)
        self._is_serving = False

    async def run(self) -> None:
        """Open the listeners and run all loops forever."""
        platform = self.platform
        async with self._network.serve():
            self._is_serving = True
            if platform.memory_mb < MIN_MEMORY_MB:
                log.warning(
                    "deployment.resources.memory_mb is %g: at least %d are needed", platform.memory_mb, MIN_MEMORY_MB
                )
            log.info("controller %s: listening on %s and %s", platform.label, platform.bind, platform.back)
            pause_s = platform.report_s * LOOP_RESTART_PAUSE_INTERVALS
            # Not a TaskGroup, which would go on without a cancelled loop; here a cancelled loop ends the process.
            await asyncio.gather(*(run_forever(loop, pause_s) for loop in self._loops()))

    @property
    def is_serving(self) -> bool:
        """Whether this controller was started: its listeners are open and its loops run."""
        return self._is_serving

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self.election.run,
            self.commit_pipeline.run,
            self.dispatcher.scan,
            self.dispatcher.run,
            *self.fleet_manager.loops(),
            self._loop_delay.run,
        ]

    @property
    def scheduler(self) -> Scheduler | None:
        """The scheduler of the current term; None if this controller does not lead."""
        return self.active_term.scheduler

    @property
    def may_decide(self) -> bool:
        """Whether this controller leads with a valid lease, and has recovered the cluster state."""
        return self.active_term.may_decide

    @property
    def leader(self) -> str | None:
        """The label of the last known leader; None if no leader is known."""
        return self.active_term.leader

    async def _recover(self, token: int) -> None:
        """Recover the cluster state from the records, and begin the term with this fencing token."""
        recovered = await recover(
            token,
            self.store,
            self.platform,
            self.tuning,
            self.rng,
            self.clock,
            self.wall_clock,
            overload_pause_s=lambda: self.overload.pause_s,
        )
        self.commit_pipeline.start_term(recovered.marker_mod_revision)
        self.active_term.scheduler = scheduler = recovered.scheduler
        self.peer_api.record_data_version(self.platform.label, DATA_VERSION)
        self.fleet_manager.start_term(recovered.machine_types_stored)
        log.info(
            "term %d: recovered %d jobs and %d open scale-out requests",
            token,
            len(scheduler.cluster.jobs),
            len(scheduler.scale_out.open_requests),
        )
        self.active_term.wake_committer()

    def _end_term(self) -> None:
        """End the term: complete the requests that wait for a commit, without its outcome."""
        if self.scheduler is not None:
            self.election.record_end_of_term(self.scheduler.cancellations.jobs_still_placed())
        self.active_term.scheduler = None
        self.users.drop_outstanding()
        self.active_term.announce_commit()

    async def _query_peers(self) -> PeerSurvey:
        """Query the other controllers about the store and the leader.

        A leader does so only while its leadership is unconfirmed, so users' requests that wait for a commit are
        completed without its outcome.
        """
        if self.election.is_leader:
            self.users.drop_outstanding()
        return await self.surveyor.query_all()

    def reply_front(self, method: str, path: str, body: bytes) -> ResponseOrAwaitable:
        """Handle a request at `bind`; heartbeats are handled without a task if possible."""
        return self._routes.reply_front(method, path, body)

    async def handle_front(self, method: str, path: str, body: bytes) -> Response:
        """Handle a request at `bind`."""
        return await self._routes.handle_front(method, path, body)

    async def handle_back(self, method: str, path: str, body: bytes) -> Response:
        """Handle a request at `back`."""
        return await self._routes.handle_back(method, path, body)

    async def handle_peer(self, body: bytes) -> Response:
        """Handle another controller's message."""
        return await self._routes.handle_peer(body)
