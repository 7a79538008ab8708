"""The phases of a load test and their measurements."""

import asyncio
import json
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from driftcleat.net import HttpError
from driftcleat.store.records import ScaleOutRecord
from driftcleat.wire.users import JobSpec
from tests.samples import job, raw_job

from .fleet import HeartbeatStats
from .processes import LABELS, LoadSite, Peaks, usage

# Services whose replicas fill a machine each, this many per job, so that no machine is idle and deleted.
REPLICAS_PER_FILLER_JOB = 100
FILLER_JOB = {
    "rig": "daemon",
    "hands": REPLICAS_PER_FILLER_JOB,
    "cores": 12.0,
    "accelerators": 4.0,
    "memGb": 8.0,
    "imageGb": 0.0,
    "voyageS": 0.0,
    "mooringS": 0.0,
}
# The jobs that users submit: they fit into the capacity that the replicas leave free.
SHORT_JOB = {"hands": 2, "cores": 1.0, "accelerators": 0.0, "memGb": 1.0, "imageGb": 0.0, "voyageS": 5.0}
# User requests per second in a usual burst, the factor for overload, and the duration of a burst.
USUAL_REQUESTS_PER_S = 200
OVERLOAD_FACTOR = 5
BURST_S = 10.0
USER_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 0.02
# Time before the first submission, in which shards are assigned and the machine types are fetched.
SETTLE_S = 8.0
# How long a process is paused, in worker leases: about twice the leader lease.
PAUSE_LEASES = 0.25


@dataclass
class RequestStats:
    """Results of user requests."""

    statuses: Counter[int] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)

    def summary(self, name: str) -> str:
        """Return one line of text."""
        if not self.latencies_s:
            return f"  {name}: none"
        latencies_s = sorted(self.latencies_s)
        statuses = ", ".join(
            f"{count} x {status or 'no response'}" for status, count in sorted(self.statuses.items())
        )
        return (
            f"  {name}: {statuses}; p50 {percentile_ms(latencies_s, 0.5):.0f} ms, "
            f"p99 {percentile_ms(latencies_s, 0.99):.0f} ms"
        )


def percentile_ms(values_s: list[float], fraction: float) -> float:
    """Return a percentile of sorted seconds, in milliseconds."""
    return values_s[min(len(values_s) - 1, int(len(values_s) * fraction))] * 1e3


class Scenario:
    """Runs the phases one after the other and prints the results of each."""

    def __init__(self, site: LoadSite, machines: int) -> None:
        self.site, self.machines = site, machines
        self.peaks = Peaks(site)
        self.number = 0
        self.accepted: set[str] = set()

    # Measurements

    async def run_phase(self, name: str, phase: Callable[[], Awaitable[list[str]]]) -> None:
        """Run a phase and print its results."""
        site = self.site
        site.model.heartbeat_stats = HeartbeatStats()
        expired_before, before = site.model.expired_leases(), self._core_seconds()
        own_core_s, began = time.process_time(), time.monotonic()
        parts_before = {label: await self._parts(label) for label in LABELS}
        lines = await phase()
        spent_s = time.monotonic() - began
        after = self._core_seconds()
        leader = await site.current_leader()
        print(f"{name}, {spent_s:.0f} s; generator {(time.process_time() - own_core_s) / spent_s:.0%} of a core")
        for label in LABELS:
            if (before.get(label) or (0, 0.0))[0] != after[label][0]:
                continue
            core = (after[label][1] - before[label][1]) / spent_s
            role = "leader" if label == leader else "follower"
            parts_after = await self._parts(label)
            core_by_part = {
                part: (parts_after[part] - parts_before[label].get(part, 0.0)) / spent_s for part in parts_after
            }
            shares = ", ".join(f"{part} {share:.1%}" for part, share in core_by_part.items() if share >= 0.0005)
            print(f"  {role} {label}: {core:.1%} of a core ({shares})")
        print(self._heartbeat_summary(spent_s, site.model.expired_leases() - expired_before))
        for line in lines:
            print(line, flush=True)

    def _core_seconds(self) -> dict[str, tuple[int, float]]:
        return {label: (process.pid, usage(process.pid).core_s) for label, process in self.site.controllers.items()}

    async def _parts(self, label: str) -> dict[str, float]:
        metrics = await self.site.metrics(label)
        return dict(metrics["parts_s"]) if metrics is not None else {}

    def _heartbeat_summary(self, spent_s: float, expired_leases: int) -> str:
        stats = self.site.model.heartbeat_stats
        latencies_s = sorted(stats.latencies_s)
        if not latencies_s:
            return "  heartbeats: no responses"
        in_time = sum(latency_s <= self.site.size.report_s for latency_s in latencies_s) / (
            len(latencies_s) + stats.failed
        )
        failures = ", ".join(f"{count} x {reason}" for reason, count in sorted(stats.failures.items()))
        return (
            f"  heartbeats: {len(latencies_s) / spent_s:.0f} responses per second, {in_time:.1%} within the "
            f"heartbeat interval, p50 {percentile_ms(latencies_s, 0.5):.0f} ms, "
            f"p99 {percentile_ms(latencies_s, 0.99):.0f} ms; "
            f"{stats.redirected} redirected, {stats.failed} failed ({failures}); {expired_leases} leases expired"
        )

    # Phases

    def _phases(self, seconds: float) -> dict[str, Callable[[], Awaitable[list[str]]]]:
        return {
            "settle": lambda: self._wait(SETTLE_S),
            "join": self._join,
            "fill": self._fill,
            "steady": lambda: self._wait(seconds),
            "users": lambda: self._send_user_requests(USUAL_REQUESTS_PER_S, BURST_S),
            "overload": lambda: self._send_user_requests(USUAL_REQUESTS_PER_S * OVERLOAD_FACTOR, 2 * BURST_S),
            "silent third": self._hang_third,
            "zone away": self._partition_zone,
            "leader paused": self._pause_leader,
            "store paused": self._pause_store,
            "leader killed": self._kill_leader,
            "all killed": self._kill_all,
        }

    async def run(self, seconds: float, selected: list[str]) -> None:
        """Run the selected phases, or all of them if none is selected."""
        sampling = asyncio.ensure_future(self.peaks.watch())
        for name, phase in self._phases(seconds).items():
            if not selected or name in selected:
                await self.run_phase(name, phase)
        sampling.cancel()
        size = self.site.size
        print(
            f"peak use: {self.peaks.memory_mb:.0f} of {size.memory_mb:.0f} MB, "
            f"{self.peaks.descriptors} of {size.fd_limit} descriptors"
        )
        for label in LABELS:
            metrics = await self.site.metrics(label)
            if metrics is not None:
                delay = metrics.get("loop_delay", {})
                print(f"  {label}: event loop delayed up to {delay.get('p100_ms', 0):.0f} ms, {metrics['role']}")
        print(f"expired leases in total: {self.site.model.expired_leases()}")

    async def _wait(self, seconds: float) -> list[str]:
        await asyncio.sleep(seconds)
        return []

    async def _join(self) -> list[str]:
        model = self.site.model
        for number in range(self.machines):
            model.boot(ScaleOutRecord("big", "north" if number % 2 else "south", False, 1, 0.0))
        began = time.monotonic()
        all_connected = await self._until(lambda: all(worker.fencing_token > 0 for worker in model.alive()), 60.0)
        took_s = time.monotonic() - began
        return [
            f"  every machine got a response after {took_s:.1f} s"
            if all_connected
            else "  NOT EVERY MACHINE GOT A RESPONSE"
        ]

    async def _fill(self) -> list[str]:
        """Place a replica on every machine."""
        jobs = -(-self.machines // REPLICAS_PER_FILLER_JOB)
        specs = [self._new_job(FILLER_JOB) for _ in range(jobs)]
        began = time.monotonic()
        stats = RequestStats()
        await asyncio.gather(*(self._submit(spec, FILLER_JOB, stats) for spec in specs))
        running = await self._until(lambda: self._running() >= self.machines, 120.0)
        took_s = time.monotonic() - began
        state = "all" if running else f"NOT ALL, {self._running()}"
        return [f"  {state} of {self.machines} replicas running after {took_s:.1f} s", stats.summary("submissions")]

    def _running(self) -> int:
        return sum(len(worker.tasks) for worker in self.site.model.workers.values() if not worker.terminated)

    async def _send_user_requests(self, requests_per_s: int, seconds: float) -> list[str]:
        """Send one submission for every four polls of accepted jobs, spread over all controllers."""
        submitted, polled = RequestStats(), RequestStats()
        accepted: list[str] = []
        tasks: list[asyncio.Future[Any]] = []
        began = time.monotonic()
        for number in range(int(requests_per_s * seconds)):
            ahead_s = began + number / requests_per_s - time.monotonic()
            if ahead_s > 0:
                await asyncio.sleep(ahead_s)
            if number % 5 == 0 or not accepted:
                tasks.append(asyncio.ensure_future(self._submit_short_job(accepted, submitted)))
            else:
                path = f"/v1/jobs/{accepted[number % len(accepted)]}"
                tasks.append(asyncio.ensure_future(self._send("GET", path, None, POLL_TIMEOUT_S, polled)))
        await asyncio.gather(*tasks)
        return [submitted.summary("submissions"), polled.summary("polls")]

    async def _submit_short_job(self, accepted: list[str], stats: RequestStats) -> None:
        """Submit a short job without retries, and add it to `accepted` if the controller accepts it."""
        spec = self._new_job(SHORT_JOB)
        await self._submit(spec, SHORT_JOB, stats, attempts=1)
        if spec.id in self.accepted:
            accepted.append(spec.id)

    def _new_job(self, changes: dict[str, Any]) -> JobSpec:
        self.number += 1
        spec = job(self.number, **changes)
        self.site.model.specs[spec.id] = spec
        return spec

    async def _submit(self, spec: JobSpec, changes: dict[str, Any], stats: RequestStats, attempts: int = 30) -> None:
        body = json.dumps(raw_job(int(spec.id[4:]), **changes)).encode()
        for _ in range(attempts):
            status = await self._send("POST", "/v1/jobs", body, USER_TIMEOUT_S, stats)
            if status in (200, 201):
                self.accepted.add(spec.id)
                return
            await asyncio.sleep(1.0)

    async def _send(self, method: str, path: str, body: bytes | None, timeout_s: float, stats: RequestStats) -> int:
        label = self.site.model.rng.choice(LABELS)
        began = time.monotonic()
        try:
            response = await self.site.user_client.request(
                method, self.site.platforms[label].bind, path, body, timeout_s
            )
            status = response.status
        except (HttpError, TimeoutError):
            status = 0
        stats.statuses[status] += 1
        stats.latencies_s.append(time.monotonic() - began)
        return status

    async def _hang_third(self) -> list[str]:
        """Let a third of the machines hang at the same time, for less than a lease."""
        alive = self.site.model.alive()
        for worker in alive[::3]:
            worker.hung = True
        await asyncio.sleep(self.site.size.report_s * 3)
        for worker in alive[::3]:
            worker.hung = False
        await asyncio.sleep(self.site.size.report_s * 3)
        return [f"  {len(alive[::3])} machines; {len(self.site.model.alive())} of {len(alive)} kept"]

    async def _partition_zone(self) -> list[str]:
        """Partition one zone from all controllers, for less than a lease."""
        model = self.site.model
        before = len(model.alive())
        model.partitioned_zones.add("south")
        await asyncio.sleep(self.site.size.lease_s * 0.5)
        model.partitioned_zones.clear()
        await asyncio.sleep(self.site.size.report_s * 3)
        partitioned = sum(worker.zone == "south" for worker in model.alive())
        return [f"  {partitioned} machines partitioned; {len(model.alive())} of {before} kept"]

    async def _pause_leader(self) -> list[str]:
        """Pause the leader's process for longer than its lease, as happens on an overloaded machine."""
        leader = await self.site.current_leader()
        if leader is None:
            return ["  NO LEADER to pause"]
        token, process = self._highest_token(), self.site.controllers[leader]
        process.send_signal(signal.SIGSTOP)
        resumed = asyncio.get_running_loop().call_later(
            self.site.size.lease_s * PAUSE_LEASES, process.send_signal, signal.SIGCONT
        )
        lines = await self._measure_recovery(token)
        await asyncio.sleep(max(0.0, resumed.when() - asyncio.get_running_loop().time()))
        return lines

    async def _pause_store(self) -> list[str]:
        """Pause the state service for longer than the leader's lease; the leader may change or stay."""
        process = self.site.store_process
        assert process is not None
        token = self._highest_token()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.site.size.lease_s * PAUSE_LEASES)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(self.site.size.lease_s * PAUSE_LEASES)
        lines = await self._measure_recovery(token - 1)
        return [*lines, f"  the highest fencing token went from {token} to {self._highest_token()}"]

    async def _kill_leader(self) -> list[str]:
        leader = await self.site.current_leader()
        if leader is None:
            return ["  NO LEADER to kill"]
        token = self._highest_token()
        await self.site.kill(leader)
        lines = await self._measure_recovery(token)
        self.site.start(leader)
        await asyncio.sleep(self.site.size.report_s)
        return lines

    async def _kill_all(self) -> list[str]:
        token = self._highest_token()
        for label in list(self.site.running):
            await self.site.kill(label)
        for label in LABELS:
            self.site.start(label)
        return await self._measure_recovery(token)

    def _highest_token(self) -> int:
        return max((worker.fencing_token for worker in self.site.model.workers.values()), default=0)

    async def _measure_recovery(self, token: int) -> list[str]:
        """Wait for a leader after this token, for a response to every machine, and for a job submitted now to run."""
        model, began = self.site.model, time.monotonic()
        model.heartbeat_stats = HeartbeatStats()
        has_leader = await self._until_async(self.site.current_leader, 60.0)
        leader_s = time.monotonic() - began
        spec = self._new_job(SHORT_JOB)
        stats = RequestStats()
        submitting = asyncio.ensure_future(self._submit(spec, SHORT_JOB, stats))
        any_response = await self._until(lambda: any(worker.fencing_token > token for worker in model.alive()), 60.0)
        response_s = time.monotonic() - began
        started = await self._until(lambda: self._is_started(spec.id), 60.0)
        started_s = time.monotonic() - began
        all_responses = await self._until(lambda: all(worker.fencing_token > token for worker in model.alive()), 60.0)
        await submitting
        results = [
            f"a leader after {leader_s:.1f} s" if has_leader else "NO LEADER",
            f"the first heartbeat response after {response_s:.1f} s" if any_response else "NO HEARTBEAT RESPONSE",
            f"a new job started after {started_s:.1f} s" if started else "THE NEW JOB NEVER STARTED",
            f"every machine got a response after {time.monotonic() - began:.1f} s"
            if all_responses
            else "NOT EVERY MACHINE GOT A RESPONSE",
        ]
        return ["  " + ", ".join(results), stats.summary("its submission")]

    def _is_started(self, job_id: str) -> bool:
        return any(key[0] == job_id for worker in self.site.model.alive() for key in worker.tasks)

    async def _until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(CHECK_INTERVAL_S * 5)
        return True

    async def _until_async(self, condition: Callable[[], Awaitable[Any]], timeout_s: float) -> bool:
        end = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(CHECK_INTERVAL_S)
        return True
