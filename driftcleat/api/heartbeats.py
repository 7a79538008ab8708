"""Workers' reports: taken in, and answered with the commands that follow from them."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from driftcleat import wire
from driftcleat.api.answers import Answer
from driftcleat.api.server import Reply
from driftcleat.cluster import Machine, apply_heartbeat, commands_for_heartbeat
from driftcleat.leadership import ActiveTerm
from driftcleat.net import ConnectionLimiter
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.wire.workers import Command, Heartbeat, HeartbeatResponse, Redirect, TaskPhase, parse_task_name

log = logging.getLogger(__name__)


class HeartbeatApi:
    """Answers workers: at once unless a report brings news that is worth a batch."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        active_term: ActiveTerm[Scheduler],
        metrics: Metrics,
        clock: Callable[[], float],
        connections: ConnectionLimiter[Any],
    ) -> None:
        self._platform, self._tuning, self._active_term = platform, tuning, active_term
        self._metrics, self._clock = metrics, clock
        self._connections = connections
        # When a report was last taken in as a leader.
        self.last_heartbeat_at = float("-inf")
        # How many were.
        self.heartbeats_received = 0

    def handle(self, body: bytes) -> Reply:
        """Answer a worker's report."""
        election = self._active_term.election
        isolated_token = election.lease_keeping_token
        if not election.may_answer_heartbeats and isolated_token is None:
            return self._redirect()
        started = self._clock()
        try:
            heartbeat = wire.decode(body, Heartbeat)
        except wire.WireError as error:
            self._metrics.malformed_heartbeats += 1
            log.info("malformed report: %s", error)
            return Answer.error(400, str(error))
        if isolated_token is not None:
            return self._extend_lease(heartbeat, isolated_token)
        token = election.fencing_token
        if heartbeat.fencing_token > token:
            election.request_step_down(f"a worker has seen token {heartbeat.fencing_token}")
            return _redirect_to(None)
        scheduler = self._active_term.scheduler
        if scheduler is None:
            return _orders(token)
        machine = apply_heartbeat(scheduler.cluster, heartbeat, started)
        self._metrics.record_part("reports", self._clock() - started)
        if machine is None:
            self._metrics.stale_heartbeats += 1
            log.debug(
                "stale report of %s: session %d, seq %d",
                heartbeat.machine,
                heartbeat.worker_epoch,
                heartbeat.sequence,
            )
            return _orders(token)
        self.last_heartbeat_at = started
        self.heartbeats_received += 1
        news = scheduler.cluster.has_uncommitted_exits(machine)
        if news or scheduler.has_work:
            self._active_term.wake_committer()
            if news and not self._connections.crowded:
                return self._answer_after_news(scheduler, machine, heartbeat, started)
        return self._answer(scheduler, machine, heartbeat, started)

    def _redirect(self) -> Answer:
        """Send a worker to the leader, if that is another controller and known."""
        leader = self._active_term.leader
        return _redirect_to(leader if leader != self._platform.label else None)

    async def _answer_after_news(
        self, scheduler: Scheduler, machine: Machine, heartbeat: Heartbeat, started: float
    ) -> Answer:
        await self._await_news(scheduler, machine.name, heartbeat)
        return self._answer(scheduler, machine, heartbeat, started)

    def _answer(self, scheduler: Scheduler, machine: Machine, heartbeat: Heartbeat, started: float) -> Answer:
        election = self._active_term.election
        if self._active_term.scheduler is not scheduler or not election.may_answer_heartbeats:
            return _redirect_to(None)
        began = self._clock()
        answer = _orders(
            election.fencing_token,
            commands_for_heartbeat(scheduler.cluster, machine, heartbeat, election.may_send_starts),
        )
        ended = self._clock()
        self._metrics.record_part("orders", ended - began)
        self._metrics.heartbeat_latency.record(ended - started)
        return answer

    def _extend_lease(self, heartbeat: Heartbeat, token: int) -> Answer:
        """Keep the lease of a worker that is cut off together with us, unless it has heard of a newer leader."""
        election = self._active_term.election
        if heartbeat.fencing_token > token:
            election.observe_higher_token(heartbeat.fencing_token)
            return _redirect_to(None)
        live = {
            split[0]
            for task in heartbeat.tasks
            if task.phase != TaskPhase.EXITED and (split := parse_task_name(task.task))
        }
        return _orders(token) if election.may_extend_worker_lease(live) else _redirect_to(None)

    async def _await_news(self, scheduler: Scheduler, name: str, heartbeat: Heartbeat) -> None:
        """Let a report's exits be committed first: its answer can then forget them and start what follows."""
        deadline = self._clock() + self._platform.report_s * self._tuning.answer
        while self._active_term.may_decide and self._active_term.scheduler is scheduler:
            machine = scheduler.cluster.machines.get(name)
            left = deadline - self._clock()
            if machine is None or machine.last_heartbeat is not heartbeat or left <= 0:
                return
            if not scheduler.cluster.has_uncommitted_exits(machine) and not scheduler.has_work:
                return
            try:
                await asyncio.wait_for(self._active_term.wait_for_commit(), left)
            except TimeoutError:
                return


def _redirect_to(leader: str | None) -> Answer:
    return Answer(421, wire.encode(Redirect(leader)))


def _orders(token: int, commands: list[Command] | None = None) -> Answer:
    return Answer(200, wire.encode(HeartbeatResponse(token, commands or [])))
