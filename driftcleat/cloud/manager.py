"""The fleet manager: creates the loops that reconcile the fleet with the cloud and the capacity plan."""

from collections.abc import Awaitable, Callable

from driftcleat.api.heartbeats import HeartbeatApi
from driftcleat.cloud.autoscaler import Autoscaler
from driftcleat.cloud.client import CloudClient
from driftcleat.cloud.inventory import MachineInventory
from driftcleat.cloud.machine_types import MachineTypeCatalog
from driftcleat.cloud.provisioner import Provisioner
from driftcleat.cloud.terminator import Terminator
from driftcleat.cloud.token_announcer import FencingTokenAnnouncer
from driftcleat.leadership import ActiveTerm
from driftcleat.runtime.background import BackgroundTasks
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.workers.dispatch import StopDispatcher


class FleetManager:
    """Owns the loops that manage the fleet while this controller leads; they hold no state that must be recovered."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        cloud: CloudClient,
        active_term: ActiveTerm[Scheduler],
        heartbeats: HeartbeatApi,
        dispatcher: StopDispatcher,
        background: BackgroundTasks,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        announcer = FencingTokenAnnouncer(platform, active_term, dispatcher, background, clock)
        self.terminator = Terminator(platform, cloud, active_term, clock)
        self.machine_types = MachineTypeCatalog(platform, cloud, active_term, clock)
        self.inventory = MachineInventory(platform, cloud, active_term, self.terminator, announcer, clock)
        self.autoscaler = Autoscaler(
            platform, tuning, cloud, active_term, heartbeats, self.terminator, metrics, clock
        )
        self.provisioner = Provisioner(platform, cloud, active_term, clock)

    def start_term(self, machine_types_stored: bool) -> None:
        """Start a term; `machine_types_stored` says whether recovery found the machine types in the store."""
        self.machine_types.start_term(machine_types_stored)
        self.inventory.start_term()
        self.autoscaler.start_term()
        self.terminator.start_term()

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops to run, in the order in which to start them."""
        return [
            self.machine_types.run,
            self.inventory.run,
            self.autoscaler.run,
            self.provisioner.run,
            self.terminator.run,
        ]
