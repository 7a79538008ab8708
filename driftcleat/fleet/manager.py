"""The leader's dealings with the cloud: types, list, rentals and returns, each in a loop of its own."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from driftcleat import wire
from driftcleat.api.reports import ReportApi
from driftcleat.background import Background
from driftcleat.fleet.cloud import MOST_RETURNED, PAGE, CloudClient, CloudError, NoCapacityError
from driftcleat.fleet.sizing import Plan
from driftcleat.leadership import CurrentTerm
from driftcleat.metrics import Metrics
from driftcleat.model import Machine, MachineState, change_machine
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import TYPES
from driftcleat.term import OpenRental, Term
from driftcleat.term.rentals import MOST_AT_ONCE
from driftcleat.wire.cloud import Listed, RentRequest
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
        current: CurrentTerm,
        reports: ReportApi,
        dispatcher: StopDispatcher,
        background: Background,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.platform, self.tuning, self.clock = platform, tuning, clock
        self._cloud, self._current, self._reports = cloud, current, reports
        self._dispatcher, self._background, self._metrics = dispatcher, background, metrics
        self.types_at = float("-inf")
        self.types_stored = False
        self.listed_at = float("-inf")
        self.returning: set[str] = set()
        # Of those, the machines that keep a task of a job whose cancellation is committed.
        self.fencing: set[str] = set()
        self.missing: dict[str, float] = {}
        self.announcing = False

    def reset(self, types_stored: bool) -> None:
        """A new term begins."""
        self.types_at = self.listed_at = float("-inf")
        self.types_stored = types_stored
        self._reports.heard_at = self.clock()
        self.returning, self.fencing, self.missing = set(), set(), {}
        self.announcing = False

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops to run."""
        return [self._types_loop, self._list_loop, self._size_loop, self._rent_loop, self._return_loop]

    async def _types_loop(self) -> None:
        while True:
            term = self._current.to_decide
            if term is not None and (not term.cluster.types or self.clock() - self.types_at > 20):
                try:
                    types = await self._cloud.types()
                    self.types_at = self.clock()
                    if self._current.term is term and types:
                        self._take_types(term, {kind.name: kind for kind in types})
                except CloudError as error:
                    log.debug("types: %s", error)
            await asyncio.sleep(self.platform.report_s / 4)

    def _take_types(self, term: Term, types: dict) -> None:  # type: ignore[type-arg]
        term.cluster.types.clear()
        term.cluster.types.update(types)
        for machine in term.cluster.machines.values():
            if machine.type is not None:
                machine.type = types.get(machine.type.name, machine.type)
            elif machine.report is not None:
                machine.type = types.get(machine.report.type)
        if not self.types_stored and len(wire.encode(tuple(types.values()))) <= self.platform.value_bytes:
            self.types_stored = True
            term.housekeeping.notes[TYPES] = tuple(types.values())
        term.pacing.note_change()
        self._current.wake_writer()

    async def _list_loop(self) -> None:
        pause_s = 0.0
        while True:
            term = self._current.to_enforce
            if term is not None and self.clock() - self.listed_at > pause_s:
                try:
                    machines = await self._cloud.machines()
                    self.listed_at = self.clock()
                    pause_s = self._list_pause(len(machines))
                    if self._current.term is term:
                        self._take_list(term, machines)
                except CloudError as error:
                    log.debug("list: %s", error)
            await asyncio.sleep(self.platform.report_s / 4)

    def _list_pause(self, machines: int) -> float:
        """Return how long not to ask for the list again: of many pages it takes a part of the cloud's calls only.

        Guards against a return for a cancelled task that waits behind the pages of thousands of machines.
        """
        pages = machines // PAGE + 1
        return max(
            2.0 / self.platform.cloud_rps,
            self.platform.list_lag_s / 2,
            pages / (self._cloud.requests.rate * LIST_SHARE),
        )

    def _take_list(self, term: Term, machines: list[Listed]) -> None:
        """Take in the cloud's list: adopt what is new, give up what failed or is missing."""
        now = self.clock()
        names = {entry.name for entry in machines}
        unaware: list[Machine] = []
        for entry in machines:
            self.missing.pop(entry.name, None)
            if entry.name not in term.cluster.gone:
                machine = self._take_entry(term, entry, now)
                if machine.report is None and machine.addr and entry.state == RUNNING:
                    unaware.append(machine)
        if unaware and not self.announcing:
            self._background.spawn(self._announce_token(term, unaware))
        term.reachability.listed = names
        for machine in term.reachability.no_longer_listed(now):
            self._return_machine(term, machine, "not listed any more")
        if now - term.cluster.started_at > self.platform.lease_s + self.platform.list_lag_s * 2:
            for name in [name for name in term.cluster.known_images if name not in names]:
                term.housekeeping.forget_images(name)
        self._give_up_missing(term, names, now)

    def _take_entry(self, term: Term, entry: Listed, now: float) -> Machine:
        """Take in one machine of the list."""
        machine = term.cluster.machines.get(entry.name)
        if machine is None:
            log.info("adopting machine %s from the list", entry.name)
            machine = term.cluster.adopt(entry.name, entry.type, entry.zone, entry.spot, entry.addr, now)
            machine.rented_at = now - entry.age_s
        if not machine.addr:
            machine.addr = entry.addr
        if entry.state == FAILED:
            self._return_machine(term, machine, "failed")
        elif entry.state == RUNNING and machine.running_since is None:
            machine.running_since = now
        return machine

    def _give_up_missing(self, term: Term, names: set[str], now: float) -> None:
        """Return machines that never came up and that the list has lacked for long."""
        for machine in term.cluster.machines.values():
            if machine.name in names or machine.state is not MachineState.BOOTING:
                continue
            since = self.missing.setdefault(machine.name, now)
            # The list may be twice its lag late; what is missing for longer was lost before it came up.
            if now - since > self.platform.list_lag_s * 3 + self.platform.report_s:
                self._return_machine(term, machine, "not listed")

    async def _announce_token(self, term: Term, machines: list[Machine]) -> None:
        """Raise the token of machines that do not report by themselves: a leader before us may still hold them.

        Guards against hundreds of calls while all workers move over anyway, and against machines that could not be
        reached at first and stay with that leader when they can.
        """
        self.announcing = True
        try:
            await asyncio.sleep(max(0.0, term.pacing.place_from - self.clock()))
            for machine in machines:
                if (
                    self._current.to_enforce is term
                    and machine.report is None
                    and machine.state is MachineState.BOOTING
                ):
                    self._background.spawn(self._dispatcher.raise_token(machine.addr))
                    await asyncio.sleep(self.platform.report_s / 300)
        finally:
            self.announcing = False

    async def _size_loop(self) -> None:
        """Size the fleet when something has changed, and at least every half report interval."""
        pause_s = self.platform.report_s * SIZING_PAUSE
        while True:
            await asyncio.sleep(pause_s)
            try:
                await asyncio.wait_for(self._current.changed.wait(), self.platform.report_s * SIZING_PAUSE)
            except TimeoutError:
                pass
            self._current.changed.clear()
            began = self.clock()
            term = self._current.to_enforce
            if term is not None:
                self._size(term, began, self._most_rented(pause_s))
            spent = self.clock() - began
            self._metrics.spent("sizing", spent)
            # Sizing can wait, reports cannot: on a small share of a processor it is done less often.
            earned_s = spent / (self.platform.core_share * self.tuning.effort)
            pause_s = max(self.platform.report_s * SIZING_PAUSE, min(earned_s, self.platform.report_s))
            if term is not None:
                pause_s += term.pacing.overload_pause_s()

    def _most_rented(self, pause_s: float) -> int:
        """Return how many machines the cloud can be asked for until the fleet is sized again."""
        return max(MOST_AT_ONCE, round(MOST_AT_ONCE * self._cloud.requests.rate * pause_s))

    def _size(self, term: Term, now: float, most_rented: int) -> None:
        """Return machines that are not to be kept, and rent those that are needed."""
        for name in term.cancellations.machines_to_fence():
            self._fence(term, term.known_machine(name, now))
        if self._current.to_decide is None or not term.cluster.types:
            return
        for name in term.reachability.never_reported(now):
            self._return_machine(term, term.known_machine(name, now), "not heard of")
        if now < term.pacing.place_from:
            return
        silence = term.reachability.silence(now)
        plan = term.plan_rentals(now, silence, most_rented)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("fleet %s", term.summary())
        for machine in term.surplus(plan, now, silence):
            self._return_machine(term, machine, f"{machine.state.value}, surplus")
        self._consolidate(term, plan, now)
        # Requests that wait for the cloud's rate would be many small ones: let the need add up instead.
        if plan.rentals and len(term.rentals.unsettled) < max(1.0, self.platform.cloud_rps):
            log.info("renting %s", plan.rentals)
            term.rentals.rent(plan)
            self._current.wake_writer()
        self._check_reports(term, now)

    def _consolidate(self, term: Term, plan: Plan, now: float) -> None:
        """Drain a machine whose replicas fit elsewhere, unless there is too little room as it is."""
        machine = term.consolidation_candidate(now) if not plan.rentals else None
        if machine is not None:
            term.drains.drain(machine, "its replicas fit elsewhere")
            self._current.wake_writer()

    def _check_reports(self, term: Term, now: float) -> None:
        """Step down if no worker reaches us, although some did in this term."""
        silent_s = now - self._reports.heard_at
        if silent_s <= self.platform.lease_s * self.tuning.no_reports:
            return
        if any(machine.report is not None for machine in term.cluster.machines.values()):
            self._reports.heard_at = now
            self._current.election.ask_resign("no worker reports to us")

    def _fence(self, term: Term, machine: Machine) -> None:
        """Have the cloud end a machine that keeps a cancelled task; no new decision, so also while unsure."""
        self.fencing.add(machine.name)
        self._return_machine(term, machine, "keeps a cancelled task")

    def _return_machine(self, term: Term, machine: Machine, why: str) -> None:
        if machine.state in (MachineState.RETURNING, MachineState.GONE):
            return
        if machine.name not in self.fencing and self._current.to_decide is None:
            # An unsure leader decides nothing new.
            return
        log.info("returning %s: %s", machine.name, why)
        change_machine(machine, MachineState.RETURNING)
        self.returning.add(machine.name)

    async def _rent_loop(self) -> None:
        while True:
            await asyncio.sleep(self.platform.report_s / 30)
            term = self._current.to_decide
            if term is None:
                continue
            for rental in list(term.rentals.open.values()):
                if self._current.to_decide is not term:
                    break
                await self._rent(term, rental)

    async def _rent(self, term: Term, rental: OpenRental) -> None:
        record = rental.record
        request = RentRequest(rental.name, record.type, record.zone, record.spot, record.count)
        try:
            machines = await self._cloud.rent(request)
        except NoCapacityError:
            machines = ()
            term.rentals.note_refusal((record.type, record.zone, record.spot), self.clock())
        except CloudError as error:
            log.debug("rental %s: %s", rental.name, error)
            await asyncio.sleep(self.platform.report_s / 6)
            return
        kind = "spot" if record.spot else "ordinary"
        log.debug(
            "rental %s of %s %s in %s: %d of %d",
            rental.name,
            kind,
            record.type,
            record.zone,
            len(machines),
            record.count,
        )
        if self._current.term is term:
            if machines and len(machines) < record.count:
                term.rentals.note_refusal((record.type, record.zone, record.spot), self.clock())
            term.rentals.settle(rental, machines, self.clock())
            self._current.wake_writer()
            self._current.changed.set()

    def _next_returns(self, may_decide: bool) -> list[str]:
        """Return the machines of the next call: first those that keep a cancelled task, whose time is short."""
        fencing = sorted(self.returning & self.fencing)
        others = sorted(self.returning - self.fencing) if may_decide else []
        return (fencing + others)[:MOST_RETURNED]

    async def _return_loop(self) -> None:
        while True:
            await asyncio.sleep(self.platform.report_s / 15)
            term = self._current.to_enforce
            if term is None:
                continue
            names = self._next_returns(self._current.to_decide is term)
            if not names:
                continue
            try:
                await self._cloud.give_back(names)
            except CloudError as error:
                log.debug("return: %s", error)
                await asyncio.sleep(self.platform.report_s / 6)
                continue
            if self._current.term is not term:
                continue
            for name in names:
                self.returning.discard(name)
                self.fencing.discard(name)
                machine = term.cluster.machines.get(name)
                term.housekeeping.forget_images(name)
                if machine is not None:
                    term.cluster.forget_machine(machine, self.clock())
                    term.counters.returned += 1
            term.pacing.note_change()
            self._current.wake_writer()
