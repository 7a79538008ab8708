"""Handling of workers' heartbeats: each is applied to the cluster state, and the response contains commands."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from driftcleat import wire
from driftcleat.api.responses import Response
from driftcleat.api.server import ResponseOrAwaitable
from driftcleat.cluster import Machine, apply_heartbeat, commands_for_heartbeat
from driftcleat.leadership import ActiveTerm
from driftcleat.net import ConnectionLimiter
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.wire.workers import Command, Heartbeat, HeartbeatResponse, Redirect, TaskPhase, parse_task_name

log = logging.getLogger(__name__)


class HeartbeatApi:
    """Responds to heartbeats: at once, or after the commit of the exits that a heartbeat reports."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        active_term: ActiveTerm[Scheduler],
        metrics: Metrics,
        clock: Callable[[], float],
        connections: ConnectionLimiter[Any],
    ) -> None:
        self._label = platform.label
        self._max_wait_s = platform.report_s * tuning.max_response_delay_intervals
        self._active_term = active_term
        self._metrics = metrics
        self._clock = clock
        self._connections = connections
        # Time when the last heartbeat was applied, or when the term started; minus infinity before the first term.
        self.last_heartbeat_at = float("-inf")
        # Number of heartbeats applied.
        self.heartbeats_received = 0

    def handle(self, body: bytes) -> ResponseOrAwaitable:
        """Respond to a heartbeat: as the leader, as a partitioned follower that extends leases, or by a redirect."""
        election = self._active_term.election
        partition_token = election.lease_keeping_token
        if not election.may_respond_to_heartbeats and partition_token is None:
            return self._redirect()
        received_at = self._clock()
        try:
            heartbeat = wire.decode(body, Heartbeat)
        except wire.WireError as error:
            self._metrics.malformed_heartbeats += 1
            log.info("heartbeat rejected: malformed: %s", error)
            return Response.error(400, str(error))
        if partition_token is not None:
            return self._extend_lease(heartbeat, partition_token)
        token = election.fencing_token
        if heartbeat.fencing_token > token:
            election.request_step_down(f"machine {heartbeat.machine} has seen term {heartbeat.fencing_token}")
            return _redirect_to(None)
        scheduler = self._active_term.scheduler
        if scheduler is None:
            # Without the records, no task can be stopped.
            return _respond(token) if election.may_extend_worker_lease(_live_jobs(heartbeat)) else _redirect_to(None)
        return self._apply(scheduler, heartbeat, received_at)

    def _apply(self, scheduler: Scheduler, heartbeat: Heartbeat, received_at: float) -> ResponseOrAwaitable:
        """Apply a heartbeat to the cluster state and return its response."""
        machine = apply_heartbeat(scheduler.cluster, heartbeat, received_at)
        self._metrics.record_part("reports", self._clock() - received_at)
        if machine is None:
            self._metrics.stale_heartbeats += 1
            log.debug(
                "machine %s: stale heartbeat: worker epoch %d, sequence %d",
                heartbeat.machine,
                heartbeat.worker_epoch,
                heartbeat.sequence,
            )
            return _respond(self._active_term.election.fencing_token)
        self.last_heartbeat_at = received_at
        self.heartbeats_received += 1
        has_exits = scheduler.cluster.has_uncommitted_exits(machine)
        if has_exits or scheduler.has_work:
            self._active_term.wake_committer()
            # A delayed response keeps its connection open: if there are too many connections, none is delayed.
            if has_exits and not self._connections.over_soft_limit:
                return self._respond_after_commit(scheduler, machine, heartbeat, received_at)
        return self._respond_with_commands(scheduler, machine, heartbeat, received_at)

    async def _respond_after_commit(
        self, scheduler: Scheduler, machine: Machine, heartbeat: Heartbeat, received_at: float
    ) -> Response:
        await self._await_commit(scheduler, machine.name, heartbeat)
        return self._respond_with_commands(scheduler, machine, heartbeat, received_at)

    async def _await_commit(self, scheduler: Scheduler, machine_name: str, heartbeat: Heartbeat) -> None:
        """Wait until the exits of a heartbeat are committed: the response can then forget them and start other tasks.

        Returns early after the maximum delay, after a newer heartbeat of the machine, or if the term ends.
        """
        deadline = self._clock() + self._max_wait_s
        while self._active_term.may_decide and self._active_term.scheduler is scheduler:
            machine = scheduler.cluster.machines.get(machine_name)
            left_s = deadline - self._clock()
            if machine is None or machine.last_heartbeat is not heartbeat or left_s <= 0:
                return
            if not scheduler.cluster.has_uncommitted_exits(machine) and not scheduler.has_work:
                return
            try:
                await asyncio.wait_for(self._active_term.wait_for_commit(), left_s)
            except TimeoutError:
                return

    def _respond_with_commands(
        self, scheduler: Scheduler, machine: Machine, heartbeat: Heartbeat, received_at: float
    ) -> Response:
        """Return the response with the commands for a machine; a redirect if the term has ended."""
        election = self._active_term.election
        if self._active_term.scheduler is not scheduler or not election.may_respond_to_heartbeats:
            return _redirect_to(None)
        started_at = self._clock()
        response = _respond(
            election.fencing_token,
            commands_for_heartbeat(scheduler.cluster, machine, heartbeat, election.may_send_starts),
        )
        ended_at = self._clock()
        self._metrics.record_part("orders", ended_at - started_at)
        self._metrics.heartbeat_latency.record(ended_at - received_at)
        return response

    def _extend_lease(self, heartbeat: Heartbeat, token: int) -> Response:
        """Extend the lease of a worker in our partition, unless it saw a newer leader or runs a cancelled job."""
        election = self._active_term.election
        if heartbeat.fencing_token > token:
            election.observe_higher_token(heartbeat.fencing_token)
            return _redirect_to(None)
        return _respond(token) if election.may_extend_worker_lease(_live_jobs(heartbeat)) else _redirect_to(None)

    def _redirect(self) -> Response:
        """Return a redirect to the leader, without a name if no other controller is known as the leader."""
        leader = self._active_term.leader
        return _redirect_to(leader if leader != self._label else None)


def _live_jobs(heartbeat: Heartbeat) -> set[str]:
    """Return the jobs of the tasks that have not exited."""
    return {
        parsed[0]
        for task in heartbeat.tasks
        if task.phase != TaskPhase.EXITED and (parsed := parse_task_name(task.task))
    }


def _redirect_to(leader: str | None) -> Response:
    return Response(421, wire.encode(Redirect(leader)))


def _respond(token: int, commands: list[Command] | None = None) -> Response:
    return Response(200, wire.encode(HeartbeatResponse(token, commands or [])))
