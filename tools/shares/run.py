"""One run: the load, the moves and the troubles, in the order that a seed gives."""

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
from tests.reference_model import InMemoryStore
from tests.samples import raw_settings
from tests.test_controller_fault_walk import some_job
from tools.load.processes import LABELS, LoadSite, usage
from tools.load.sizes import Size

from .checker import Checker
from .doubles import HistoryReferenceModel, HistoryStore
from .history import HistoryEnded, StateReported

SIZE = Size(0, 0.5, 6.0, 20.0, 2000.0, 400.0, 8.0, 24, 50.0, 0.5, 1.0, 151.0, 924, 0.002)
TEAMS = {"red": Team("red", 0.0, 0.0, 8.0, 24.0), "blue": Team("blue", 0.0, 0.0, 0.0, 12.0)}
# Between two moves, and between two submissions.
MOVE_PAUSE_S = (0.2, 1.5)
JOB_PAUSE_S = 0.4
# How often a move comes with a trouble, and how long a paused process stands still, of the workers' lease.
TROUBLE = 0.25
PAUSE = (0.05, 1.3)
TIMEOUT_S = 3.0
SETTLE_S = 120.0


class ShardedLoadSite(LoadSite):
    """Controllers as processes with sharing on, and stand-ins in this process that write a history."""

    def __init__(self, seed: int, shares: int, checker: Checker) -> None:
        super().__init__(SIZE)
        platform = self.model.platform
        self.history_model = HistoryReferenceModel(platform, seed, checker.observe)
        self.model = self.history_model  # type: ignore[assignment]
        self.shares = shares
        self.history_store = HistoryStore(InMemoryStore(platform), shares, checker.observe)
        self.model.store = self.history_store.store
        ini = Path(tempfile.mkstemp(suffix=".ini")[1])
        ini.write_text(f"[sharing]\nshares = {shares}\nbalance = 0\n")
        self.paths.append(ini)
        self.environment["DRIFTCLEAT_SHARING"] = str(ini)

    async def start_store(self) -> None:
        """Serve the state service from this process: its log is part of the history."""
        self.store = self.history_store
        await super(LoadSite, self).start_store()


class LoadRun:
    """Plays and judges."""

    def __init__(self, seed: int, shares: int, calm: bool) -> None:
        self.rng = random.Random(seed)
        self.shares, self.calm = shares, calm
        platform = load_platform_of_run()
        self.checker = Checker(platform.teams, SIZE.lease_s * 2, SIZE.cancel_s)
        self.site = ShardedLoadSite(seed, shares, self.checker)
        self.site.model.platform = platform
        self.site.history_store.store.platform = platform
        self.users = HttpClient(100, 40, 30.0)
        self.told: dict[str, str] = {}
        self.asked: Counter[str] = Counter()
        self.number = 0

    # -- users --------------------------------------------------------------------------------------------

    async def _ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        label = self.rng.choice(LABELS)
        data = json.dumps(body).encode() if body is not None else None
        try:
            answer = await self.users.request(method, self.site.platforms[label].bind, path, data, TIMEOUT_S)
        except (HttpError, TimeoutError):
            return 0, None
        return answer.status, json.loads(answer.body) if answer.body else None

    def _hear(self, job_id: str, state: str, requested_at: float) -> None:
        """A user is told a job's state; a final one is not overwritten by an answer that crossed it."""
        if self.told.get(job_id) not in ("done", "cancelled"):
            self.told[job_id] = state
        tasks = self.site.model.specs[job_id].tasks
        self.checker.observe(StateReported(_now(), job_id, state, tasks, requested_at))

    async def _submit(self) -> None:
        self.number += 1
        known = [job_id for job_id in self.told if self.site.model.specs[job_id].estimated_run_s > 0]
        raw = some_job(self.rng, self.number, known[-20:])
        raw |= {"voyageS": 0.0 if raw["rig"] == "daemon" else self.rng.choice([2.0, 5.0]), "imageGb": 0.0}
        spec = self.site.model.specs.setdefault(f"req-{self.number:06d}", parse_job(raw))
        for _ in range(60):
            requested_at = _now()
            status, answer = await self._ask("POST", "/v1/jobs", raw)
            if status in (200, 201):
                self._hear(spec.id, answer["bearing"], requested_at)
                return
            if status in (400, 422):
                self.asked["rejected"] += 1
                return
            await asyncio.sleep(0.5)

    async def _cancel(self, job_id: str) -> None:
        self.site.model.cancel_requested.add(job_id)
        for _ in range(120):
            requested_at = _now()
            status, answer = await self._ask("POST", f"/v1/jobs/{job_id}/cancel")
            if status == 200:
                self._hear(job_id, answer["bearing"], requested_at)
                self.site.model.cancelled_at.setdefault(job_id, self.site.model.now)
                return
            await asyncio.sleep(0.5)

    async def _poll(self, job_id: str) -> int:
        requested_at = _now()
        status, answer = await self._ask("GET", f"/v1/jobs/{job_id}")
        self.asked["answered" if status == 200 else f"status {status}"] += 1
        if status == 200:
            self._hear(job_id, answer["bearing"], requested_at)
        return status

    async def _load(self) -> None:
        """Jobs come steadily; some are cancelled, all are asked for."""
        work: set[asyncio.Task[Any]] = set()
        while True:
            await asyncio.sleep(JOB_PAUSE_S)
            open_jobs = [job_id for job_id, state in self.told.items() if state not in ("done", "cancelled")]
            steps: list[Any] = [self._submit()] if len(open_jobs) < 40 else []
            steps += [self._poll(self.rng.choice(open_jobs)) for _ in range(3 if open_jobs else 0)]
            if open_jobs and (self.rng.random() < 0.2 or len(open_jobs) >= 40):
                steps.append(self._cancel(self.rng.choice(open_jobs)))
            for step in steps:
                task = asyncio.ensure_future(step)
                work.add(task)
                task.add_done_callback(work.discard)

    # -- moves and troubles -------------------------------------------------------------------------------

    async def _order(self, share: int, receiver: str) -> int:
        back = self.site.platforms[self.rng.choice(LABELS)].back
        body = json.dumps({"share": share, "receiver": receiver}).encode()
        try:
            answer = await self.site.client.request("POST", back, "/shares/move", body, TIMEOUT_S)
        except (HttpError, TimeoutError):
            return 0
        return answer.status

    async def _trouble(self) -> None:
        """Kill or pause some controller; it is back before the next trouble."""
        label = self.rng.choice(LABELS)
        await asyncio.sleep(self.rng.choice([0.0, 0.005, 0.02, 0.1]))
        if self.rng.random() < 0.5:
            self.asked["kills"] += 1
            await self.site.kill(label)
            await asyncio.sleep(self.rng.choice([0.0, 0.3, 2.0]))
            self.site.start(label)
        else:
            self.asked["pauses"] += 1
            process = self.site.controllers[label]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SIZE.lease_s * self.rng.uniform(*PAUSE))
            process.send_signal(signal.SIGCONT)

    async def execute(self, moves: int) -> bool:
        """Play so many moves; print the verdict and return whether nothing was broken."""
        await wait_until(self._all_led, "every share is led")
        began, before = _now(), self.site.history_store.total_changes
        loading = asyncio.ensure_future(self._load())
        for _ in range(moves):
            status = await self._order(self.rng.randrange(1, self.shares), self.rng.choice(LABELS))
            self.asked[{200: "moves begun", 409: "orders refused"}.get(status, "orders unanswered")] += 1
            if not self.calm and self.rng.random() < TROUBLE:
                await self._trouble()
            await asyncio.sleep(self.rng.uniform(*MOVE_PAUSE_S))
        lasted = _now() - began
        loading.cancel()
        changes = self.site.history_store.total_changes - before
        used = {label: usage(process.pid) for label, process in self.site.controllers.items()}
        await self._settle()
        self._print(lasted, changes)
        for label, spent in used.items():
            print(f"  {label}: {spent.core_s:.1f} s of a core since its start, {spent.memory_mb:.0f} MB")
        return not self.checker.findings and not self.site.history_model.invariant_violations

    async def _all_led(self) -> bool:
        return {led.share for led in self.checker.terms.values()} >= set(range(self.shares))

    async def _settle(self) -> None:
        """All troubles are over: services are cancelled, everything has to end."""
        end = _now() + SETTLE_S
        unknown: set[str] = set()
        while _now() < end:
            open_jobs = [job_id for job_id, state in self.told.items() if state not in ("done", "cancelled")]
            if not open_jobs:
                break
            for job_id in open_jobs:
                if self.site.model.specs[job_id].estimated_run_s == 0:
                    await self._cancel(job_id)
                elif await self._poll(job_id) == 404:
                    unknown.add(job_id)
            await asyncio.sleep(0.5)
        await asyncio.sleep(SIZE.report_s * 4)
        left = tuple(job_id for job_id, state in self.told.items() if state not in ("done", "cancelled"))
        self.checker.observe(HistoryEnded(_now(), tuple(sorted(unknown)), left))

    def _print(self, lasted: float, changes: int) -> None:
        store, checker = self.site.history_store, self.checker
        gaps = sorted(store.first_batch_delays_s)
        print(f"{lasted:.0f} s, {self.shares} shares, {len(self.told)} jobs, {len(self.site.model.workers)} machines")
        print("  " + ", ".join(f"{count} {name}" for name, count in sorted(self.asked.items())))
        print(f"  {len(checker.terms)} terms; {changes / lasted:.1f} changes of the store a second")
        if gaps:
            median, worst = gaps[len(gaps) // 2], gaps[-1]
            print(f"  from a new leader's key to its first batch: median {median:.2f} s, worst {worst:.2f} s")
        silent_s = checker.longest_unanswered_s
        print(f"  longest time without an answer for a worker {silent_s:.2f} s, {checker.expired_leases} lapses")
        for finding in checker.findings[:20]:
            print(f"  BROKEN at {finding.at:.1f}: {finding.violation}: {finding.what}")
        for text in self.site.history_model.invariant_violations[:20]:
            print(f"  BROKEN: {text}")
        broken = len(checker.findings) + len(self.site.history_model.invariant_violations)
        print(f"  {'nothing broken' if not broken else f'{broken} broken'}", flush=True)


def parse_job(raw: dict[str, Any]) -> Any:
    """Return a checked submission."""
    return parse_submission(raw)


def load_platform_of_run() -> Any:
    """Return the platform with the teams of a run."""
    platform = parse_platform("run", raw_settings())
    return dataclasses.replace(
        platform, teams=TEAMS, report_s=SIZE.report_s, lease_s=SIZE.lease_s, cancel_s=SIZE.cancel_s
    )


def _now() -> float:
    """Return the time by which events are dated."""
    return asyncio.get_running_loop().time()
