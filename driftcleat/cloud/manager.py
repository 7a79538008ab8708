"""The leader's dealings with the cloud: types, list, rentals and returns, each in a loop of its own."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from driftcleat import wire
from driftcleat.api.heartbeats import HeartbeatApi
from driftcleat.capacity.sizing import CapacityPlan, MachineOffer
from driftcleat.cloud.client import LIST_PAGE_SIZE, MAX_MACHINES_PER_DELETE, CloudClient, CloudError, NoCapacityError
from driftcleat.cluster import Machine, MachineState, transition_machine
from driftcleat.leadership import ActiveTerm
from driftcleat.runtime.background import Background
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import ScaleOutRequest, Scheduler
from driftcleat.scheduler.scale_out import MAX_MACHINES_PER_REQUEST
from driftcleat.settings import Platform, Tuning
from driftcleat.store.keys import MACHINE_TYPES_KEY
from driftcleat.wire.cloud import CreateMachinesRequest, ListedMachine
from driftcleat.workers.dispatch import StopDispatcher

log = logging.getLogger(__name__)


# States of a machine in the cloud's list.
RUNNING, FAILED = "running", "failed"
# The least pause between two rounds of sizing, and the longest wait for a change before one, of the report interval.
SIZING_PAUSE = 1 / 4
# The part of the cloud's calls that the list may take.
LIST_SHARE = 1 / 3


class FleetManager:
    """Runs while we lead; remembers nothing that a new leader would need."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        cloud: CloudClient,
        active_term: ActiveTerm[Scheduler],
        reports: HeartbeatApi,
        dispatcher: StopDispatcher,
        background: Background,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.platform, self.tuning, self.clock = platform, tuning, clock
        self._cloud, self._active_term, self._heartbeats = cloud, active_term, reports
        self._dispatcher, self._background, self._metrics = dispatcher, background, metrics
        self.types_at = float("-inf")
        self.types_stored = False
        self.listed_at = float("-inf")
        self.returning: set[str] = set()
        # Of those, the machines that keep a task of a job whose cancellation is committed.
        self.fencing: set[str] = set()
        self.missing: dict[str, float] = {}
        self.announcing = False

    def start_term(self, types_stored: bool) -> None:
        """A new term begins."""
        self.types_at = self.listed_at = float("-inf")
        self.types_stored = types_stored
        self._heartbeats.last_heartbeat_at = self.clock()
        self.returning, self.fencing, self.missing = set(), set(), {}
        self.announcing = False

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops to run."""
        return [self._types_loop, self._list_loop, self._size_loop, self._rent_loop, self._return_loop]

    async def _types_loop(self) -> None:
        while True:
            scheduler = self._active_term.deciding_scheduler
            if scheduler is not None and (not scheduler.cluster.machine_types or self.clock() - self.types_at > 20):
                try:
                    types = await self._cloud.list_machine_types()
                    self.types_at = self.clock()
                    if self._active_term.scheduler is scheduler and types:
                        self._take_types(scheduler, {machine_type.name: machine_type for machine_type in types})
                except CloudError as error:
                    log.debug("types: %s", error)
            await asyncio.sleep(self.platform.report_s / 4)

    def _take_types(self, scheduler: Scheduler, types: dict) -> None:  # type: ignore[type-arg]
        scheduler.cluster.machine_types.clear()
        scheduler.cluster.machine_types.update(types)
        for machine in scheduler.cluster.machines.values():
            if machine.type is not None:
                machine.type = types.get(machine.type.name, machine.type)
            elif machine.last_heartbeat is not None:
                machine.type = types.get(machine.last_heartbeat.machine_type)
        if not self.types_stored and len(wire.encode(tuple(types.values()))) <= self.platform.value_bytes:
            self.types_stored = True
            scheduler.garbage_collector.put_later(MACHINE_TYPES_KEY, tuple(types.values()))
        scheduler.pacing.record_change()
        self._active_term.wake_committer()

    async def _list_loop(self) -> None:
        pause_s = 0.0
        while True:
            scheduler = self._active_term.enforcing_scheduler
            if scheduler is not None and self.clock() - self.listed_at > pause_s:
                try:
                    machines = await self._cloud.list_machines()
                    self.listed_at = self.clock()
                    pause_s = self._list_pause(len(machines))
                    if self._active_term.scheduler is scheduler:
                        self._take_list(scheduler, machines)
                except CloudError as error:
                    log.debug("list: %s", error)
            await asyncio.sleep(self.platform.report_s / 4)

    def _list_pause(self, machines: int) -> float:
        """Return how long not to ask for the list again: of many pages it takes a part of the cloud's calls only.

        Guards against a return for a cancelled task that waits behind the pages of thousands of machines.
        """
        pages = machines // LIST_PAGE_SIZE + 1
        return max(
            2.0 / self.platform.cloud_rps,
            self.platform.list_lag_s / 2,
            pages / (self._cloud.rate_limit.rate * LIST_SHARE),
        )

    def _take_list(self, scheduler: Scheduler, machines: list[ListedMachine]) -> None:
        """Take in the cloud's list: adopt what is new, give up what failed or is missing."""
        now = self.clock()
        names = {entry.name for entry in machines}
        unaware: list[Machine] = []
        for entry in machines:
            self.missing.pop(entry.name, None)
            if entry.name not in scheduler.cluster.terminated_machines:
                machine = self._take_entry(scheduler, entry, now)
                if machine.last_heartbeat is None and machine.address and entry.state == RUNNING:
                    unaware.append(machine)
        if unaware and not self.announcing:
            self._background.spawn(self._announce_token(scheduler, unaware))
        scheduler.reachability.record_listed(names)
        for machine in scheduler.reachability.no_longer_listed(now):
            self._return_machine(scheduler, machine, "not listed any more")
        if now - scheduler.cluster.started_at > self.platform.lease_s + self.platform.list_lag_s * 2:
            for name in [name for name in scheduler.cluster.image_hints if name not in names]:
                scheduler.garbage_collector.forget_images(name)
        self._give_up_missing(scheduler, names, now)

    def _take_entry(self, scheduler: Scheduler, entry: ListedMachine, now: float) -> Machine:
        """Take in one machine of the list."""
        machine = scheduler.cluster.machines.get(entry.name)
        if machine is None:
            log.info("adopting machine %s from the list", entry.name)
            machine = scheduler.cluster.register_machine(
                entry.name, entry.machine_type, entry.zone, entry.spot, entry.address, now
            )
            machine.created_at = now - entry.age_s
        if not machine.address:
            machine.address = entry.address
        if entry.state == FAILED:
            self._return_machine(scheduler, machine, "failed")
        elif entry.state == RUNNING and machine.listed_running_since is None:
            machine.listed_running_since = now
        return machine

    def _give_up_missing(self, scheduler: Scheduler, names: set[str], now: float) -> None:
        """Return machines that never came up and that the list has lacked for long."""
        for machine in scheduler.cluster.machines.values():
            if machine.name in names or machine.state is not MachineState.BOOTING:
                continue
            since = self.missing.setdefault(machine.name, now)
            # The list may be twice its lag late; what is missing for longer was lost before it came up.
            if now - since > self.platform.list_lag_s * 3 + self.platform.report_s:
                self._return_machine(scheduler, machine, "not listed")

    async def _announce_token(self, scheduler: Scheduler, machines: list[Machine]) -> None:
        """Raise the token of machines that do not report by themselves: a leader before us may still hold them.

        Guards against hundreds of calls while all workers move over anyway, and against machines that could not be
        reached at first and stay with that leader when they can.
        """
        self.announcing = True
        try:
            await asyncio.sleep(max(0.0, scheduler.pacing.placement_starts_at - self.clock()))
            for machine in machines:
                if (
                    self._active_term.enforcing_scheduler is scheduler
                    and machine.last_heartbeat is None
                    and machine.state is MachineState.BOOTING
                ):
                    self._background.spawn(self._dispatcher.announce_fencing_token(machine.address))
                    await asyncio.sleep(self.platform.report_s / 300)
        finally:
            self.announcing = False

    async def _size_loop(self) -> None:
        """Size the fleet when something has changed, and at least every half report interval."""
        pause_s = self.platform.report_s * SIZING_PAUSE
        while True:
            await asyncio.sleep(pause_s)
            try:
                await asyncio.wait_for(self._active_term.state_changed.wait(), self.platform.report_s * SIZING_PAUSE)
            except TimeoutError:
                pass
            self._active_term.state_changed.clear()
            began = self.clock()
            scheduler = self._active_term.enforcing_scheduler
            if scheduler is not None:
                self._size(scheduler, began, self._most_rented(pause_s))
            spent = self.clock() - began
            self._metrics.record_part("sizing", spent)
            # Sizing can wait, reports cannot: on a small share of a processor it is done less often.
            earned_s = spent / (self.platform.core_share * self.tuning.effort)
            pause_s = max(self.platform.report_s * SIZING_PAUSE, min(earned_s, self.platform.report_s))
            if scheduler is not None:
                pause_s += scheduler.pacing.overload_pause_s()

    def _most_rented(self, pause_s: float) -> int:
        """Return how many machines the cloud can be asked for until the fleet is sized again."""
        return max(MAX_MACHINES_PER_REQUEST, round(MAX_MACHINES_PER_REQUEST * self._cloud.rate_limit.rate * pause_s))

    def _size(self, scheduler: Scheduler, now: float, most_rented: int) -> None:
        """Return machines that are not to be kept, and rent those that are needed."""
        for name in scheduler.cancellations.machines_to_fence():
            self._fence(scheduler, scheduler.find_or_register_machine(name, now))
        if self._active_term.deciding_scheduler is None or not scheduler.cluster.machine_types:
            return
        for name in scheduler.reachability.never_reported(now):
            self._return_machine(scheduler, scheduler.find_or_register_machine(name, now), "not heard of")
        if now < scheduler.pacing.placement_starts_at:
            return
        failures = scheduler.reachability.detect_failures(now)
        plan = scheduler.plan_scale_out(now, failures, most_rented)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("fleet %s", scheduler.summary())
        for machine in scheduler.select_scale_in(plan, now, failures):
            self._return_machine(scheduler, machine, f"{machine.state.value}, surplus")
        self._consolidate(scheduler, plan, now)
        # Requests that wait for the cloud's rate would be many small ones: let the need add up instead.
        if plan.scale_out and len(scheduler.scale_out.unsettled) < max(1.0, self.platform.cloud_rps):
            log.info("renting %s", plan.scale_out)
            scheduler.scale_out.request(plan)
            self._active_term.wake_committer()
        self._check_reports(scheduler, now)

    def _consolidate(self, scheduler: Scheduler, plan: CapacityPlan, now: float) -> None:
        """Drain a machine whose replicas fit elsewhere, unless there is too little room as it is."""
        machine = scheduler.consolidation_candidate(now) if not plan.scale_out else None
        if machine is not None:
            scheduler.drainer.drain(machine, "its replicas fit elsewhere")
            self._active_term.wake_committer()

    def _check_reports(self, scheduler: Scheduler, now: float) -> None:
        """Step down if no worker reaches us, although some did in this term."""
        silent_s = now - self._heartbeats.last_heartbeat_at
        if silent_s <= self.platform.lease_s * self.tuning.no_reports:
            return
        if any(machine.last_heartbeat is not None for machine in scheduler.cluster.machines.values()):
            self._heartbeats.last_heartbeat_at = now
            self._active_term.election.request_step_down("no worker reports to us")

    def _fence(self, scheduler: Scheduler, machine: Machine) -> None:
        """Have the cloud end a machine that keeps a cancelled task; no new decision, so also while unsure."""
        self.fencing.add(machine.name)
        self._return_machine(scheduler, machine, "keeps a cancelled task")

    def _return_machine(self, scheduler: Scheduler, machine: Machine, why: str) -> None:
        if machine.state in (MachineState.TERMINATING, MachineState.TERMINATED):
            return
        if machine.name not in self.fencing and self._active_term.deciding_scheduler is None:
            # An unsure leader decides nothing new.
            return
        log.info("returning %s: %s", machine.name, why)
        transition_machine(machine, MachineState.TERMINATING)
        self.returning.add(machine.name)

    async def _rent_loop(self) -> None:
        while True:
            await asyncio.sleep(self.platform.report_s / 30)
            scheduler = self._active_term.deciding_scheduler
            if scheduler is None:
                continue
            for request in list(scheduler.scale_out.open.values()):
                if self._active_term.deciding_scheduler is not scheduler:
                    break
                await self._rent(scheduler, request)

    async def _rent(self, scheduler: Scheduler, rental: ScaleOutRequest) -> None:
        record = rental.record
        request = CreateMachinesRequest(rental.name, record.machine_type, record.zone, record.spot, record.count)
        try:
            machines = await self._cloud.create_machines(request)
        except NoCapacityError:
            machines = ()
            scheduler.scale_out.record_refusal(
                MachineOffer(record.machine_type, record.zone, record.spot), self.clock()
            )
        except CloudError as error:
            log.debug("rental %s: %s", rental.name, error)
            await asyncio.sleep(self.platform.report_s / 6)
            return
        kind = "spot" if record.spot else "ordinary"
        log.debug(
            "rental %s of %s %s in %s: %d of %d",
            rental.name,
            kind,
            record.machine_type,
            record.zone,
            len(machines),
            record.count,
        )
        if self._active_term.scheduler is scheduler:
            if machines and len(machines) < record.count:
                scheduler.scale_out.record_refusal(
                    MachineOffer(record.machine_type, record.zone, record.spot), self.clock()
                )
            scheduler.scale_out.record_answer(rental, machines, self.clock())
            self._active_term.wake_committer()
            self._active_term.state_changed.set()

    def _next_returns(self, may_decide: bool) -> list[str]:
        """Return the machines of the next call: first those that keep a cancelled task, whose time is short."""
        fencing = sorted(self.returning & self.fencing)
        others = sorted(self.returning - self.fencing) if may_decide else []
        return (fencing + others)[:MAX_MACHINES_PER_DELETE]

    async def _return_loop(self) -> None:
        while True:
            await asyncio.sleep(self.platform.report_s / 15)
            scheduler = self._active_term.enforcing_scheduler
            if scheduler is None:
                continue
            names = self._next_returns(self._active_term.deciding_scheduler is scheduler)
            if not names:
                continue
            try:
                await self._cloud.delete_machines(names)
            except CloudError as error:
                log.debug("return: %s", error)
                await asyncio.sleep(self.platform.report_s / 6)
                continue
            if self._active_term.scheduler is not scheduler:
                continue
            for name in names:
                self.returning.discard(name)
                self.fencing.discard(name)
                machine = scheduler.cluster.machines.get(name)
                scheduler.garbage_collector.forget_images(name)
                if machine is not None:
                    scheduler.cluster.record_terminated(machine, self.clock())
                    scheduler.counters.machines_deleted += 1
            scheduler.pacing.record_change()
            self._active_term.wake_committer()
