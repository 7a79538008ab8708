"""Commands that do not wait for a report: stops of committed decisions, and a new leader's token."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat.background import Background, in_slices
from driftcleat.leadership import CurrentTerm
from driftcleat.model import stop_commands
from driftcleat.settings import Platform, Tuning
from driftcleat.term import Term
from driftcleat.wire.workers import Signal

from .commands import WorkerClient

log = logging.getLogger(__name__)

# The first session of every worker: what is tried when its real one is not known.
FIRST_SESSION = 1
# Machines that a scan looks at before it lets others go on.
MACHINES_AT_ONCE = 100


class StopDispatcher:
    """Sends stops straight to workers: once as soon as they are committed, and again with each scan."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        workers: WorkerClient,
        current: CurrentTerm,
        background: Background,
        clock: Callable[[], float],
    ) -> None:
        self._platform, self._tuning = platform, tuning
        self._workers, self._current = workers, current
        self._background, self._clock = background, clock

    async def run(self) -> None:
        """Send stops as soon as they are committed."""
        while True:
            await self._current.commit()
            term = self._current.term
            if term is None:
                await asyncio.sleep(self._platform.report_s / 10)
                continue
            while term.urgent:
                self._send_stops(term, term.urgent.pop())

    async def scan(self) -> None:
        """Go through all machines again and again, and resend their stops."""
        while True:
            await asyncio.sleep(self._platform.report_s * self._tuning.scan)
            term = self._current.term
            if term is None or not self._current.election.answers_workers:
                continue
            async for name in in_slices(list(term.cluster.machines), MACHINES_AT_ONCE):
                self._send_stops(term, name)
            self._current.wake_writer()

    def _send_stops(self, term: Term, name: str) -> None:
        machine = term.cluster.machines.get(name)
        if machine is None or machine.report is None or machine.steady or not machine.addr:
            return
        signals = stop_commands(term.cluster, machine)
        if signals:
            unlikely = term.reachability.likely_unreachable(machine, self._clock())
            sending = self._send(machine.addr, machine.report.session, term.cluster.token, signals, unlikely)
            self._background.spawn(sending)

    async def _send(self, addr: str, session: int, token: int, signals: list[Signal], unlikely: bool) -> None:
        refusal = await self._workers.send(addr, token, session, signals, unlikely)
        if refusal is not None and refusal.token > self._current.election.token:
            self._current.election.ask_resign(f"a worker has seen token {refusal.token}")

    async def raise_token(self, addr: str) -> None:
        """Make a worker see our token, so that it leaves a leader before us."""
        election = self._current.election
        token = election.token
        refusal = await self._workers.send(addr, token, FIRST_SESSION, [], likely_unreachable=True)
        if refusal is None:
            return
        if refusal.token > token:
            election.ask_resign(f"a worker has seen token {refusal.token}")
        elif refusal.session != FIRST_SESSION:
            await self._workers.send(addr, token, refusal.session, [], likely_unreachable=True)
