"""A load run: job submissions, shard moves and injected faults, drawn from a seeded random generator."""

import asyncio
import dataclasses
import json
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from driftcleat.net import HttpClient, HttpError
from driftcleat.settings import Team
from driftcleat.settings.platform import parse_platform
from driftcleat.wire.job_spec_parsing import parse_submission
from tests.protocol_doubles import wait_until
from tests.reference_store import InMemoryStore
from tests.samples import raw_settings
from tests.test_controller_fault_walk import random_raw_job
from tools.load.processes import LABELS, LoadSite, usage
from tools.load.sizes import Size

from .checker import Checker
from .doubles import HistoryReferenceModel, HistoryStore
from .history import HistoryEnded, StateReported

SIZE = Size(0, 0.5, 6.0, 20.0, 2000.0, 400.0, 8.0, 24, 50.0, 0.5, 1.0, 151.0, 924, 0.002)
TEAMS = {"red": Team("red", 0.0, 0.0, 8.0, 24.0), "blue": Team("blue", 0.0, 0.0, 0.0, 12.0)}
# Range of the pause between two moves, and pause between two submissions.
MOVE_INTERVAL_S = (0.2, 1.5)
SUBMISSION_INTERVAL_S = 0.4
# Probability that a fault is injected after a move request, and the range of the time for which a process is paused,
# as a fraction of the workers' lease.
FAULT_PROBABILITY = 0.25
PAUSE_LEASE_FRACTIONS = (0.05, 1.3)
REQUEST_TIMEOUT_S = 3.0
SETTLE_TIMEOUT_S = 120.0


class ShardedLoadSite(LoadSite):
    """Controller processes with sharing enabled, and protocol doubles in this process that record a history."""

    def __init__(self, seed: int, shard_count: int, checker: Checker) -> None:
        super().__init__(SIZE)
        platform = self.model.platform
        self.history_model = HistoryReferenceModel(platform, seed, checker.observe)
        self.model = self.history_model  # type: ignore[assignment]
        self.shard_count = shard_count
        self.history_store = HistoryStore(InMemoryStore(platform), shard_count, checker.observe)
        self.model.store = self.history_store.store
        ini = Path(tempfile.mkstemp(suffix=".ini")[1])
        ini.write_text(f"[sharing]\nshares = {shard_count}\nbalance = 0\n")
        self.paths.append(ini)
        self.environment["DRIFTCLEAT_SHARING"] = str(ini)

    async def start_store(self) -> None:
        """Serve the state service from this process, so that its changes are recorded in the history."""
        self.store = self.history_store
        await super(LoadSite, self).start_store()


class LoadRun:
    """Runs users, moves and faults against a site, and checks the history."""

    def __init__(self, seed: int, shard_count: int, calm: bool) -> None:
        self.rng = random.Random(seed)
        self.shard_count, self.calm = shard_count, calm
        platform = platform_of_run()
        self.checker = Checker(platform.teams, SIZE.lease_s * 2, SIZE.cancel_s)
        self.site = ShardedLoadSite(seed, shard_count, self.checker)
        self.site.model.platform = platform
        self.site.history_store.store.platform = platform
        self.user_client = HttpClient(100, 40, 30.0)
        self.job_states: dict[str, str] = {}
        self.counts: Counter[str] = Counter()
        self.job_number = 0

    # Users

    async def _request(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        label = self.rng.choice(LABELS)
        data = json.dumps(body).encode() if body is not None else None
        try:
            response = await self.user_client.request(
                method, self.site.platforms[label].bind, path, data, REQUEST_TIMEOUT_S
            )
        except (HttpError, TimeoutError):
            return 0, None
        return response.status, json.loads(response.body) if response.body else None

    def _record_state(self, job_id: str, state: str, requested_at: float) -> None:
        """Record a state that a user received; a late response does not overwrite a final state."""
        if self.job_states.get(job_id) not in ("done", "cancelled"):
            self.job_states[job_id] = state
        tasks = self.site.model.specs[job_id].tasks
        self.checker.observe(StateReported(_now(), job_id, state, tasks, requested_at))

    async def _submit(self) -> None:
        self.job_number += 1
        known = [job_id for job_id in self.job_states if self.site.model.specs[job_id].estimated_run_s > 0]
        raw = random_raw_job(self.rng, self.job_number, known[-20:])
        raw |= {"voyageS": 0.0 if raw["rig"] == "daemon" else self.rng.choice([2.0, 5.0]), "imageGb": 0.0}
        spec = self.site.model.specs.setdefault(f"req-{self.job_number:06d}", parse_job(raw))
        for _ in range(60):
            requested_at = _now()
            status, response = await self._request("POST", "/v1/jobs", raw)
            if status in (200, 201):
                self._record_state(spec.id, response["bearing"], requested_at)
                return
            if status in (400, 422):
                self.counts["rejected"] += 1
                return
            await asyncio.sleep(0.5)

    async def _cancel(self, job_id: str) -> None:
        self.site.model.cancel_requested.add(job_id)
        for _ in range(120):
            requested_at = _now()
            status, response = await self._request("POST", f"/v1/jobs/{job_id}/cancel")
            if status == 200:
                self._record_state(job_id, response["bearing"], requested_at)
                self.site.model.cancelled_at.setdefault(job_id, self.site.model.now)
                return
            await asyncio.sleep(0.5)

    async def _poll(self, job_id: str) -> int:
        requested_at = _now()
        status, response = await self._request("GET", f"/v1/jobs/{job_id}")
        self.counts["answered" if status == 200 else f"status {status}"] += 1
        if status == 200:
            self._record_state(job_id, response["bearing"], requested_at)
        return status

    async def _generate_load(self) -> None:
        """Submit jobs at a steady rate, poll their states and cancel some of them."""
        requests: set[asyncio.Task[Any]] = set()
        while True:
            await asyncio.sleep(SUBMISSION_INTERVAL_S)
            open_jobs = [job_id for job_id, state in self.job_states.items() if state not in ("done", "cancelled")]
            request_coroutines: list[Any] = [self._submit()] if len(open_jobs) < 40 else []
            request_coroutines += [self._poll(self.rng.choice(open_jobs)) for _ in range(3 if open_jobs else 0)]
            if open_jobs and (self.rng.random() < 0.2 or len(open_jobs) >= 40):
                request_coroutines.append(self._cancel(self.rng.choice(open_jobs)))
            for coroutine in request_coroutines:
                task = asyncio.ensure_future(coroutine)
                requests.add(task)
                task.add_done_callback(requests.discard)

    # Moves and faults

    async def _request_move(self, shard: int, target: str) -> int:
        back = self.site.platforms[self.rng.choice(LABELS)].back
        body = json.dumps({"share": shard, "receiver": target}).encode()
        try:
            response = await self.site.client.request("POST", back, "/shares/move", body, REQUEST_TIMEOUT_S)
        except (HttpError, TimeoutError):
            return 0
        return response.status

    async def _inject_fault(self) -> None:
        """Kill or pause a random controller; it runs again when this returns."""
        label = self.rng.choice(LABELS)
        await asyncio.sleep(self.rng.choice([0.0, 0.005, 0.02, 0.1]))
        if self.rng.random() < 0.5:
            self.counts["kills"] += 1
            await self.site.kill(label)
            await asyncio.sleep(self.rng.choice([0.0, 0.3, 2.0]))
            self.site.start(label)
        else:
            self.counts["pauses"] += 1
            process = self.site.controllers[label]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SIZE.lease_s * self.rng.uniform(*PAUSE_LEASE_FRACTIONS))
            process.send_signal(signal.SIGCONT)

    async def execute(self, moves: int) -> bool:
        """Run with this number of move requests; print the results and return whether no invariant was violated."""
        await wait_until(self._all_shards_led, "every shard has a leader")
        started_at, changes_before = _now(), self.site.history_store.total_changes
        load = asyncio.ensure_future(self._generate_load())
        for _ in range(moves):
            status = await self._request_move(self.rng.randrange(1, self.shard_count), self.rng.choice(LABELS))
            self.counts[
                {200: "moves started", 409: "moves rejected"}.get(status, "move requests without a response")
            ] += 1
            if not self.calm and self.rng.random() < FAULT_PROBABILITY:
                await self._inject_fault()
            await asyncio.sleep(self.rng.uniform(*MOVE_INTERVAL_S))
        elapsed_s = _now() - started_at
        load.cancel()
        changes = self.site.history_store.total_changes - changes_before
        usage_by_label = {label: usage(process.pid) for label, process in self.site.controllers.items()}
        await self._settle()
        self._print(elapsed_s, changes)
        for label, used in usage_by_label.items():
            print(f"  {label}: {used.core_s:.1f} core seconds since its start, {used.memory_mb:.0f} MB")
        return not self.checker.findings and not self.site.history_model.invariant_violations

    async def _all_shards_led(self) -> bool:
        return {term.shard for term in self.checker.terms.values()} >= set(range(self.shard_count))

    async def _settle(self) -> None:
        """Cancel daemons and wait until every job has reached a final state, for at most `SETTLE_TIMEOUT_S`."""
        end = _now() + SETTLE_TIMEOUT_S
        unknown: set[str] = set()
        while _now() < end:
            open_jobs = [job_id for job_id, state in self.job_states.items() if state not in ("done", "cancelled")]
            if not open_jobs:
                break
            for job_id in open_jobs:
                if self.site.model.specs[job_id].estimated_run_s == 0:
                    await self._cancel(job_id)
                elif await self._poll(job_id) == 404:
                    unknown.add(job_id)
            await asyncio.sleep(0.5)
        await asyncio.sleep(SIZE.report_s * 4)
        unfinished = tuple(job_id for job_id, state in self.job_states.items() if state not in ("done", "cancelled"))
        self.checker.observe(HistoryEnded(_now(), tuple(sorted(unknown)), unfinished))

    def _print(self, elapsed_s: float, changes: int) -> None:
        store, checker = self.site.history_store, self.checker
        delays_s = sorted(store.first_batch_delays_s)
        print(
            f"{elapsed_s:.0f} s, {self.shard_count} shards, {len(self.job_states)} jobs, "
            f"{len(self.site.model.workers)} machines"
        )
        print("  " + ", ".join(f"{count} {name}" for name, count in sorted(self.counts.items())))
        print(f"  {len(checker.terms)} terms; {changes / elapsed_s:.1f} store changes per second")
        if delays_s:
            median, worst = delays_s[len(delays_s) // 2], delays_s[-1]
            print(f"  from a new leader's election to its first batch: median {median:.2f} s, worst {worst:.2f} s")
        unanswered_s = checker.longest_unanswered_s
        print(
            f"  longest time without a heartbeat response for a worker {unanswered_s:.2f} s, "
            f"{checker.expired_leases} expired leases"
        )
        for finding in checker.findings[:20]:
            print(f"  VIOLATION at {finding.at:.1f}: {finding.violation}: {finding.detail}")
        for text in self.site.history_model.invariant_violations[:20]:
            print(f"  VIOLATION: {text}")
        violation_count = len(checker.findings) + len(self.site.history_model.invariant_violations)
        print(f"  {'no violations' if not violation_count else f'{violation_count} violations'}", flush=True)


def parse_job(raw: dict[str, Any]) -> Any:
    """Return the job specification of a valid submission."""
    return parse_submission(raw)


def platform_of_run() -> Any:
    """Return platform settings with the teams and time limits of a load run."""
    platform = parse_platform("run", raw_settings())
    return dataclasses.replace(
        platform, teams=TEAMS, report_s=SIZE.report_s, lease_s=SIZE.lease_s, cancel_s=SIZE.cancel_s
    )


def _now() -> float:
    """Return the event loop's time in seconds, the clock of all events."""
    return asyncio.get_running_loop().time()
