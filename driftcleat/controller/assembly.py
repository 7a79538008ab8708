"""Builds the components of a controller, each with its dependencies as constructor arguments.

The records here are named tuples, since defining a dataclass takes several times as long at the start of a process.
"""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from driftcleat.api import HeartbeatApi, UserApi
from driftcleat.cloud.manager import FleetManager
from driftcleat.controller.commit_pipeline import CommitPipeline
from driftcleat.controller.loop_delay import LoopDelayMonitor
from driftcleat.controller.network import Network, NetworkFactory, ProcessNetwork
from driftcleat.controller.overload import OverloadDetector
from driftcleat.leadership import ActiveTerm, Election, PeerSurvey
from driftcleat.net import SocketBudget
from driftcleat.peers import PeerClient
from driftcleat.peers.server import PeerApi
from driftcleat.peers.survey import PeerSurveyor
from driftcleat.runtime.background import BackgroundTasks
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import StoreClient
from driftcleat.workers.dispatch import StopDispatcher

# The largest number of requests that a follower forwards to the leader concurrently, per connection to it.
MAX_FORWARDED_PER_CONNECTION = 4

# Returns the current time in seconds.
Clock = Callable[[], float]
QueryPeers = Callable[[], Awaitable[PeerSurvey]]
# Takes the arguments of `Election`: platform, tuning, store, rng, clock, recover, on_step_down, query_peers and
# query_leader.
ElectionFactory = Callable[
    [
        Platform,
        Tuning,
        StoreClient,
        random.Random,
        Clock,
        Callable[[int], Awaitable[None]],
        Callable[[], None],
        QueryPeers,
        QueryPeers,
    ],
    Election,
]
# Takes the arguments of `UserApi`: platform, tuning, store, peers, active term, clock, max_in_progress and
# max_forwarded.
UserApiFactory = Callable[
    [Platform, Tuning, StoreClient, PeerClient, ActiveTerm[Scheduler], Clock, int, int], UserApi
]


class Factories(NamedTuple):
    """Factories of the components that differ between a plain controller, the engine of a shard and a simulation."""

    network: NetworkFactory = ProcessNetwork
    election: ElectionFactory = Election
    users: UserApiFactory = UserApi


class BuildContext(NamedTuple):
    """The settings, clocks and network from which the components of a controller are built."""

    platform: Platform
    tuning: Tuning
    rng: random.Random
    # A monotonic clock.
    clock: Clock
    network: Network


class TermCallbacks(NamedTuple):
    """Methods of the controller that its election calls."""

    # Recovers the cluster state and begins the term with this fencing token.
    recover: Callable[[int], Awaitable[None]]
    # Ends the current term.
    end_term: Callable[[], None]
    # Queries every other controller.
    query_peers: QueryPeers


class ControllerComponents(NamedTuple):
    """The components of one controller, as `build_components` returns them."""

    network: Network
    active_term: ActiveTerm[Scheduler]
    election: Election
    surveyor: PeerSurveyor
    users: UserApi
    heartbeats: HeartbeatApi
    peer_api: PeerApi
    commit_pipeline: CommitPipeline
    dispatcher: StopDispatcher
    fleet_manager: FleetManager
    overload: OverloadDetector
    loop_delay: LoopDelayMonitor
    background: BackgroundTasks
    metrics: Metrics


def build_components(context: BuildContext, callbacks: TermCallbacks, factories: Factories) -> ControllerComponents:
    """Build the components of a controller; no loop runs and no listener is open yet."""
    platform = context.platform
    tuning = context.tuning
    clock = context.clock
    clients = context.network.clients
    metrics = Metrics()
    background = BackgroundTasks()
    overload = OverloadDetector(platform.report_s)
    active_term: ActiveTerm[Scheduler] = ActiveTerm()
    surveyor = PeerSurveyor(platform, clients.peers, active_term, clock)
    # A cycle: the election queries the leader through the surveyor, which reads the leader's label from the active
    # term, which reads it from the election. So the election is attached afterwards.
    election = _build_election(context, callbacks, surveyor, factories.election)
    active_term.attach(election)
    users = _build_users(context, active_term, factories.users)
    heartbeats = HeartbeatApi(platform, tuning, active_term, metrics, clock, context.network.front.limiter)
    dispatcher = StopDispatcher(platform, tuning, clients.workers, active_term, background, clock)
    return ControllerComponents(
        network=context.network,
        active_term=active_term,
        election=election,
        surveyor=surveyor,
        users=users,
        heartbeats=heartbeats,
        peer_api=PeerApi(platform, clients.store, users, active_term, metrics, clock),
        commit_pipeline=CommitPipeline(platform, clients.store, active_term, metrics, clock),
        dispatcher=dispatcher,
        fleet_manager=FleetManager(
            platform, tuning, clients.cloud, active_term, heartbeats, dispatcher, background, metrics, clock
        ),
        overload=overload,
        loop_delay=LoopDelayMonitor(platform, active_term, heartbeats, overload, metrics, clock),
        background=background,
        metrics=metrics,
    )


def _build_election(
    context: BuildContext, callbacks: TermCallbacks, surveyor: PeerSurveyor, make_election: ElectionFactory
) -> Election:
    return make_election(
        context.platform,
        context.tuning,
        context.network.clients.store,
        context.rng,
        context.clock,
        callbacks.recover,
        callbacks.end_term,
        callbacks.query_peers,
        surveyor.query_leader,
    )


def _build_users(context: BuildContext, active_term: ActiveTerm[Scheduler], make_users: UserApiFactory) -> UserApi:
    """Build the user API; its limits on requests are derived from the sockets for users and for other controllers."""
    platform = context.platform
    clients = context.network.clients
    sockets = SocketBudget(platform.fd_limit, len(platform.peers))
    max_in_progress = sockets.max_user_connections
    max_forwarded = sockets.peers.max_per_address * MAX_FORWARDED_PER_CONNECTION
    return make_users(
        platform,
        context.tuning,
        clients.store,
        clients.peers,
        active_term,
        context.clock,
        max_in_progress,
        max_forwarded,
    )
