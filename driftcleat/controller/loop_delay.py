"""Measures the delay of the event loop, and the heartbeats that the leader receives meanwhile."""

import asyncio
from collections.abc import Callable

from driftcleat.api import HeartbeatApi
from driftcleat.controller.overload import OverloadDetector
from driftcleat.leadership import ActiveTerm
from driftcleat.runtime.metrics import Metrics
from driftcleat.scheduler import Scheduler
from driftcleat.settings import Platform

# The pause between two measurements, in heartbeat intervals.
MEASUREMENT_PAUSE_INTERVALS = 1 / 10


class LoopDelayMonitor:
    """Records the delay of the event loop, and updates the overload detector once per heartbeat interval."""

    def __init__(
        self,
        platform: Platform,
        active_term: ActiveTerm[Scheduler],
        heartbeats: HeartbeatApi,
        overload: OverloadDetector,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._heartbeat_interval_s = platform.report_s
        self._worker_lease_s = platform.lease_s
        self._active_term = active_term
        self._heartbeats = heartbeats
        self._overload = overload
        self._metrics = metrics
        self._clock = clock

    async def run(self) -> None:
        """Record the largest event loop delay and the heartbeats received per heartbeat interval, until cancelled."""
        interval_s = self._heartbeat_interval_s
        while True:
            started_at = self._clock()
            received_before = self._heartbeats.heartbeats_received
            max_delay_s = 0.0
            while self._clock() - started_at < interval_s:
                max_delay_s = max(max_delay_s, await self._measure())
            intervals = (self._clock() - started_at) / interval_s
            received = round((self._heartbeats.heartbeats_received - received_before) / intervals)
            self._overload.record_interval(received, self._machines_alive(), max_delay_s)

    async def _measure(self) -> float:
        """Sleep for one pause; return by how many seconds the event loop resumed too late."""
        pause_s = self._heartbeat_interval_s * MEASUREMENT_PAUSE_INTERVALS
        due_at = self._clock() + pause_s
        await asyncio.sleep(pause_s)
        delay_s = max(0.0, self._clock() - due_at)
        self._metrics.loop_delay.record(delay_s)
        return delay_s

    def _machines_alive(self) -> int:
        """Return the number of machines whose last heartbeat to this leader is younger than a worker lease."""
        scheduler = self._active_term.scheduler
        if scheduler is None:
            return 0
        since = self._clock() - self._worker_lease_s
        machines = scheduler.cluster.machines.values()
        return sum(machine.last_heartbeat is not None and machine.last_heartbeat_at > since for machine in machines)
