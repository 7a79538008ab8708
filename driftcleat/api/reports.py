"""Workers' reports: taken in, and answered with the commands that follow from them."""

import asyncio
import logging
from collections.abc import Callable

from driftcleat import wire
from driftcleat.leadership import CurrentTerm
from driftcleat.metrics import Metrics
from driftcleat.model import Machine, commands_for
from driftcleat.settings import Platform, Tuning
from driftcleat.term import Term
from driftcleat.wire.workers import EXITED, Orders, Redirect, Report, Signal, split_task

from .answers import Answer
from .server import Reply

log = logging.getLogger(__name__)


class ReportApi:
    """Answers workers: at once unless a report brings news that is worth a batch."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        current: CurrentTerm,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._platform, self._tuning, self._current = platform, tuning, current
        self._metrics, self._clock = metrics, clock
        # Whether there are more connections than are kept; set once the listener is there.
        self.crowded: Callable[[], bool] = lambda: False
        # When a report was last taken in as a leader.
        self.heard_at = float("-inf")
        # How many were.
        self.heard = 0

    def handle(self, body: bytes) -> Reply:
        """Answer a worker's report."""
        election = self._current.election
        isolated_token = election.isolated_token
        if not election.answers_workers and isolated_token is None:
            return self._redirect()
        started = self._clock()
        try:
            report = wire.decode(body, Report)
        except wire.WireError as error:
            self._metrics.bad_reports += 1
            log.info("malformed report: %s", error)
            return Answer.error(400, str(error))
        if isolated_token is not None:
            return self._extend_lease(report, isolated_token)
        token = election.token
        if report.token > token:
            election.ask_resign(f"a worker has seen token {report.token}")
            return _redirect_to(None)
        term = self._current.term
        if term is None:
            return _orders(token)
        machine = term.cluster.observe(report, started)
        self._metrics.spent("reports", self._clock() - started)
        if machine is None:
            self._metrics.stale_reports += 1
            log.debug("stale report of %s: session %d, seq %d", report.machine, report.session, report.seq)
            return _orders(token)
        self.heard_at = started
        self.heard += 1
        news = term.cluster.news(machine)
        if news or term.has_work:
            self._current.wake_writer()
            if news and not self.crowded():
                return self._answer_after_news(term, machine, report, started)
        return self._answer(term, machine, report, started)

    def _redirect(self) -> Answer:
        """Send a worker to the leader, if that is another controller and known."""
        leader = self._current.leader
        return _redirect_to(leader if leader != self._platform.label else None)

    async def _answer_after_news(self, term: Term, machine: Machine, report: Report, started: float) -> Answer:
        await self._await_news(term, machine.name, report)
        return self._answer(term, machine, report, started)

    def _answer(self, term: Term, machine: Machine, report: Report, started: float) -> Answer:
        election = self._current.election
        if self._current.term is not term or not election.answers_workers:
            return _redirect_to(None)
        began = self._clock()
        answer = _orders(election.token, commands_for(term.cluster, machine, report, election.may_start))
        ended = self._clock()
        self._metrics.spent("orders", ended - began)
        self._metrics.report_ms.record(ended - started)
        return answer

    def _extend_lease(self, report: Report, token: int) -> Answer:
        """Keep the lease of a worker that is cut off together with us, unless it has heard of a newer leader."""
        election = self._current.election
        if report.token > token:
            election.note_higher_token(report.token)
            return _redirect_to(None)
        live = {split[0] for task in report.tasks if task.state != EXITED and (split := split_task(task.task))}
        return _orders(token) if election.may_extend_lease(live) else _redirect_to(None)

    async def _await_news(self, term: Term, name: str, report: Report) -> None:
        """Let a report's exits be committed first: its answer can then forget them and start what follows."""
        deadline = self._clock() + self._platform.report_s * self._tuning.answer
        while self._current.holds and self._current.term is term:
            machine = term.cluster.machines.get(name)
            left = deadline - self._clock()
            if machine is None or machine.report is not report or left <= 0:
                return
            if not term.cluster.news(machine) and not term.has_work:
                return
            try:
                await asyncio.wait_for(self._current.commit(), left)
            except TimeoutError:
                return


def _redirect_to(leader: str | None) -> Answer:
    return Answer(421, wire.encode(Redirect(leader)))


def _orders(token: int, signals: list[Signal] | None = None) -> Answer:
    return Answer(200, wire.encode(Orders(token, signals or [])))
