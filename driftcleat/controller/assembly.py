"""Builds the parts of a controller: every part gets what it needs in its constructor, and is there afterwards.

Records of parts are named tuples: to define a dataclass takes several times as long, and a start pays for each.
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

# Requests that a follower forwards to the leader at once, for each connection to it.
FORWARDED_PER_CONNECTION = 4

# Returns seconds.
Clock = Callable[[], float]
AskPeers = Callable[[], Awaitable[PeerSurvey]]
# Arguments as of `Election`: platform, tuning, store, rng, clock, recover, on step-down, ask all peers, ask leader.
ElectionFactory = Callable[
    [
        Platform,
        Tuning,
        StoreClient,
        random.Random,
        Clock,
        Callable[[int], Awaitable[None]],
        Callable[[], None],
        AskPeers,
        AskPeers,
    ],
    Election,
]
# Arguments as of `UserApi`: platform, tuning, store, peers, active term, clock, and the two limits on requests.
UserApiFactory = Callable[
    [Platform, Tuning, StoreClient, PeerClient, ActiveTerm[Scheduler], Clock, int, int], UserApi
]


class Factories(NamedTuple):
    """The parts in which a process with one controller, the engine of a share and a simulated controller differ."""

    network: NetworkFactory = ProcessNetwork
    election: ElectionFactory = Election
    users: UserApiFactory = UserApi


class BuildContext(NamedTuple):
    """What parts are built from."""

    platform: Platform
    tuning: Tuning
    rng: random.Random
    # A steady clock, in seconds.
    clock: Clock
    network: Network


class TermCallbacks(NamedTuple):
    """What the election has its controller do."""

    # Begins the term with this fencing token.
    recover: Callable[[int], Awaitable[None]]
    # Ends it.
    end_term: Callable[[], None]
    ask_peers: AskPeers


class ControllerParts(NamedTuple):
    """The parts of one controller."""

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


def build_parts(context: BuildContext, callbacks: TermCallbacks, factories: Factories) -> ControllerParts:
    """Build the parts of a controller on its network."""
    platform = context.platform
    tuning = context.tuning
    clock = context.clock
    clients = context.network.clients
    metrics = Metrics()
    background = BackgroundTasks()
    overload = OverloadDetector(platform.report_s)
    active_term: ActiveTerm[Scheduler] = ActiveTerm()
    surveyor = PeerSurveyor(platform, clients.peers, active_term, clock)
    # Each needs the other: the election asks the leader that the active term names, which it knows from the election.
    election = _build_election(context, callbacks, surveyor, factories.election)
    active_term.attach(election)
    users = _build_users(context, active_term, factories.users)
    heartbeats = HeartbeatApi(platform, tuning, active_term, metrics, clock, context.network.front.limiter)
    dispatcher = StopDispatcher(platform, tuning, clients.workers, active_term, background, clock)
    return ControllerParts(
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
        callbacks.ask_peers,
        surveyor.ask_leader,
    )


def _build_users(context: BuildContext, active_term: ActiveTerm[Scheduler], make_users: UserApiFactory) -> UserApi:
    """Build the users' interface; its limits follow from the sockets that users and other controllers may have."""
    platform = context.platform
    clients = context.network.clients
    sockets = SocketBudget(platform.fd_limit, len(platform.peers))
    max_in_progress = sockets.max_user_connections
    max_forwarded = sockets.peers.max_per_address * FORWARDED_PER_CONNECTION
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
