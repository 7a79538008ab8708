"""The phases of a load test and what is measured in each."""

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

from .fleet import Reports
from .processes import LABELS, LoadSite, Peaks, usage

# Replicas that fill a machine each, this many a job: they keep the fleet in service.
FILLERS_A_JOB = 100
FILLER = {
    "rig": "daemon",
    "hands": FILLERS_A_JOB,
    "cores": 12.0,
    "accelerators": 4.0,
    "memGb": 8.0,
    "imageGb": 0.0,
    "voyageS": 0.0,
    "mooringS": 0.0,
}
# What users hand in beside them: it fits on what the replicas leave.
SHORT = {"hands": 2, "cores": 1.0, "accelerators": 0.0, "memGb": 1.0, "imageGb": 0.0, "voyageS": 5.0}
# Users' requests a second of a usual burst, how many times that is overload, and how long a burst lasts.
USUAL_A_SECOND = 200
OVERLOAD = 5
BURST_S = 10.0
USER_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
LOOK_S = 0.02
# How long a site has until work is handed in: shares are assigned, the machine types known.
SETTLE_S = 8.0
# How long a process is paused, of the workers' lease: about twice the leader's own.
PAUSE = 0.25


@dataclass
class Requests:
    """How users' requests fared."""

    statuses: Counter[int] = field(default_factory=Counter)
    waits: list[float] = field(default_factory=list)

    def line(self, name: str) -> str:
        """Return one printed line."""
        if not self.waits:
            return f"  {name}: none"
        waits = sorted(self.waits)
        said = ", ".join(f"{count} x {status or 'no answer'}" for status, count in sorted(self.statuses.items()))
        return f"  {name}: {said}; p50 {middle(waits, 0.5):.0f} ms, p99 {middle(waits, 0.99):.0f} ms"


def middle(values: list[float], share: float) -> float:
    """Return a percentile of sorted seconds, in milliseconds."""
    return values[min(len(values) - 1, int(len(values) * share))] * 1e3


class Scenario:
    """Plays the phases one after the other and prints a paragraph for each."""

    def __init__(self, site: LoadSite, machines: int) -> None:
        self.site, self.machines = site, machines
        self.peaks = Peaks(site)
        self.number = 0
        self.accepted: set[str] = set()

    # -- what is measured ---------------------------------------------------------------------------------

    async def phase(self, name: str, play: Callable[[], Awaitable[list[str]]]) -> None:
        """Play a phase and print what it took."""
        site = self.site
        site.model.reports = Reports()
        lapses, before = site.model.lapses(), self._core_seconds()
        own, began = time.process_time(), time.monotonic()
        parts = {label: await self._parts(label) for label in LABELS}
        lines = await play()
        spent = time.monotonic() - began
        after = self._core_seconds()
        leader = await site.leading()
        print(f"{name}, {spent:.0f} s; generator {(time.process_time() - own) / spent:.0%} of a core")
        for label in LABELS:
            if (before.get(label) or (0, 0.0))[0] != after[label][0]:
                continue
            core = (after[label][1] - before[label][1]) / spent
            role = "leader" if label == leader else "follower"
            now = await self._parts(label)
            changed = {part: (now[part] - parts[label].get(part, 0.0)) / spent for part in now}
            said = ", ".join(f"{part} {share:.1%}" for part, share in changed.items() if share >= 0.0005)
            print(f"  {role} {label}: {core:.1%} of a core ({said})")
        print(self._reports_line(spent, site.model.lapses() - lapses))
        for line in lines:
            print(line, flush=True)

    def _core_seconds(self) -> dict[str, tuple[int, float]]:
        return {label: (process.pid, usage(process.pid).core_s) for label, process in self.site.controllers.items()}

    async def _parts(self, label: str) -> dict[str, float]:
        counted = await self.site.metrics(label)
        return dict(counted["parts_s"]) if counted is not None else {}

    def _reports_line(self, spent: float, lapses: int) -> str:
        reports = self.site.model.reports
        waits = sorted(reports.waits)
        if not waits:
            return "  reports: none answered"
        in_time = sum(wait <= self.site.size.report_s for wait in waits) / (len(waits) + reports.failed)
        failures = ", ".join(f"{count} x {why}" for why, count in sorted(reports.failures.items()))
        return (
            f"  reports: {len(waits) / spent:.0f} a second answered, {in_time:.1%} within the report interval, p50 "
            f"{middle(waits, 0.5):.0f} ms, p99 {middle(waits, 0.99):.0f} ms; {reports.redirected} sent elsewhere, "
            f"{reports.failed} failed ({failures}); {lapses} leases ran out"
        )

    # -- phases -------------------------------------------------------------------------------------------

    def _phases(self, seconds: float) -> dict[str, Callable[[], Awaitable[list[str]]]]:
        return {
            "settle": lambda: self._wait(SETTLE_S),
            "join": self._join,
            "fill": self._fill,
            "steady": lambda: self._wait(seconds),
            "users": lambda: self._users(USUAL_A_SECOND, BURST_S),
            "overload": lambda: self._users(USUAL_A_SECOND * OVERLOAD, 2 * BURST_S),
            "silent third": self._third_silent,
            "zone away": self._zone_away,
            "leader paused": self._leader_paused,
            "store paused": self._store_paused,
            "leader killed": self._leader_killed,
            "all killed": self._all_killed,
        }

    async def play(self, seconds: float, chosen: list[str]) -> None:
        """Play the phases that are chosen; none chosen: all."""
        watching = asyncio.ensure_future(self.peaks.watch())
        for name, phase in self._phases(seconds).items():
            if not chosen or name in chosen:
                await self.phase(name, phase)
        watching.cancel()
        size = self.site.size
        print(
            f"most at once: {self.peaks.memory_mb:.0f} of {size.memory_mb:.0f} MB, "
            f"{self.peaks.descriptors} of {size.fd_limit} descriptors"
        )
        for label in LABELS:
            counted = await self.site.metrics(label)
            if counted is not None:
                delay = counted.get("loop_delay", {})
                print(f"  {label}: event loop held up to {delay.get('p100_ms', 0):.0f} ms, {counted['role']}")
        print(f"leases that ran out in all: {self.site.model.lapses()}")

    async def _wait(self, seconds: float) -> list[str]:
        await asyncio.sleep(seconds)
        return []

    async def _join(self) -> list[str]:
        model = self.site.model
        for number in range(self.machines):
            model.boot(ScaleOutRecord("big", "north" if number % 2 else "south", False, 1, 0.0))
        began = time.monotonic()
        heard = await self._until(lambda: all(worker.fencing_token > 0 for worker in model.alive()), 60.0)
        took = time.monotonic() - began
        return [f"  every machine answered once after {took:.1f} s" if heard else "  NOT EVERY MACHINE ANSWERED"]

    async def _fill(self) -> list[str]:
        """Place a replica on every machine."""
        jobs = -(-self.machines // FILLERS_A_JOB)
        specs = [self._new(FILLER) for _ in range(jobs)]
        began = time.monotonic()
        asked = Requests()
        await asyncio.gather(*(self._submit(spec, FILLER, asked) for spec in specs))
        running = await self._until(lambda: self._running() >= self.machines, 120.0)
        took = time.monotonic() - began
        state = "all" if running else f"NOT ALL, {self._running()}"
        return [f"  {state} of {self.machines} replicas at work after {took:.1f} s", asked.line("submissions")]

    def _running(self) -> int:
        return sum(len(worker.tasks) for worker in self.site.model.workers.values() if not worker.terminated)

    async def _users(self, a_second: int, seconds: float) -> list[str]:
        """A fifth submissions, the rest polls of jobs handed in; spread over all controllers."""
        submitted, polled = Requests(), Requests()
        known: list[str] = []
        work: list[asyncio.Future[Any]] = []
        began = time.monotonic()
        for number in range(int(a_second * seconds)):
            ahead = began + number / a_second - time.monotonic()
            if ahead > 0:
                await asyncio.sleep(ahead)
            if number % 5 == 0 or not known:
                work.append(asyncio.ensure_future(self._submit_one(known, submitted)))
            else:
                path = f"/v1/jobs/{known[number % len(known)]}"
                work.append(asyncio.ensure_future(self._ask("GET", path, None, POLL_TIMEOUT_S, polled)))
        await asyncio.gather(*work)
        return [submitted.line("submissions"), polled.line("polls")]

    async def _submit_one(self, known: list[str], asked: Requests) -> None:
        """Hand in a short job, once; it is known if it was accepted."""
        spec = self._new(SHORT)
        await self._submit(spec, SHORT, asked, tries=1)
        if spec.id in self.accepted:
            known.append(spec.id)

    def _new(self, changes: dict[str, Any]) -> JobSpec:
        self.number += 1
        spec = job(self.number, **changes)
        self.site.model.specs[spec.id] = spec
        return spec

    async def _submit(self, spec: JobSpec, changes: dict[str, Any], asked: Requests, tries: int = 30) -> None:
        body = json.dumps(raw_job(int(spec.id[4:]), **changes)).encode()
        for _ in range(tries):
            status = await self._ask("POST", "/v1/jobs", body, USER_TIMEOUT_S, asked)
            if status in (200, 201):
                self.accepted.add(spec.id)
                return
            await asyncio.sleep(1.0)

    async def _ask(self, method: str, path: str, body: bytes | None, timeout_s: float, asked: Requests) -> int:
        label = self.site.model.rng.choice(LABELS)
        began = time.monotonic()
        try:
            answer = await self.site.users.request(method, self.site.platforms[label].bind, path, body, timeout_s)
            status = answer.status
        except (HttpError, TimeoutError):
            status = 0
        asked.statuses[status] += 1
        asked.waits.append(time.monotonic() - began)
        return status

    async def _third_silent(self) -> list[str]:
        """A third of the machines hang for less than a lease, all at once."""
        alive = self.site.model.alive()
        for worker in alive[::3]:
            worker.hung = True
        await asyncio.sleep(self.site.size.report_s * 3)
        for worker in alive[::3]:
            worker.hung = False
        await asyncio.sleep(self.site.size.report_s * 3)
        return [f"  {len(alive[::3])} machines; {len(self.site.model.alive())} of {len(alive)} kept"]

    async def _zone_away(self) -> list[str]:
        """One zone reaches no controller for less than a lease."""
        model = self.site.model
        before = len(model.alive())
        model.cut_zones.add("south")
        await asyncio.sleep(self.site.size.lease_s * 0.5)
        model.cut_zones.clear()
        await asyncio.sleep(self.site.size.report_s * 3)
        away = sum(worker.zone == "south" for worker in model.alive())
        return [f"  {away} machines away; {len(model.alive())} of {before} kept"]

    async def _leader_paused(self) -> list[str]:
        """The leader's process stands still for longer than its lease, as on a machine that is short of time."""
        leader = await self.site.leading()
        if leader is None:
            return ["  NO LEADER to pause"]
        token, process = self._highest_token(), self.site.controllers[leader]
        process.send_signal(signal.SIGSTOP)
        resumed = asyncio.get_running_loop().call_later(
            self.site.size.lease_s * PAUSE, process.send_signal, signal.SIGCONT
        )
        lines = await self._take_over(token)
        await asyncio.sleep(max(0.0, resumed.when() - asyncio.get_running_loop().time()))
        return lines

    async def _store_paused(self) -> list[str]:
        """The state service stands still for longer than the leader's lease; who leads then is left open."""
        process = self.site.store_process
        assert process is not None
        token = self._highest_token()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.site.size.lease_s * PAUSE)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(self.site.size.lease_s * PAUSE)
        lines = await self._take_over(token - 1)
        return [*lines, f"  the highest token went from {token} to {self._highest_token()}"]

    async def _leader_killed(self) -> list[str]:
        leader = await self.site.leading()
        if leader is None:
            return ["  NO LEADER to kill"]
        token = self._highest_token()
        await self.site.kill(leader)
        lines = await self._take_over(token)
        self.site.start(leader)
        await asyncio.sleep(self.site.size.report_s)
        return lines

    async def _all_killed(self) -> list[str]:
        token = self._highest_token()
        for label in list(self.site.running):
            await self.site.kill(label)
        for label in LABELS:
            self.site.start(label)
        return await self._take_over(token)

    def _highest_token(self) -> int:
        return max((worker.fencing_token for worker in self.site.model.workers.values()), default=0)

    async def _take_over(self, token: int) -> list[str]:
        """Wait for a leader after this token, for every machine's report, and for a job handed in now to run."""
        model, began = self.site.model, time.monotonic()
        model.reports = Reports()
        led = await self._until_async(self.site.leading, 60.0)
        led_s = time.monotonic() - began
        spec = self._new(SHORT)
        asked = Requests()
        submitting = asyncio.ensure_future(self._submit(spec, SHORT, asked))
        answered = await self._until(lambda: any(worker.fencing_token > token for worker in model.alive()), 60.0)
        answered_s = time.monotonic() - began
        placed = await self._until(lambda: self._started(spec.id), 60.0)
        placed_s = time.monotonic() - began
        heard = await self._until(lambda: all(worker.fencing_token > token for worker in model.alive()), 60.0)
        await submitting
        said = [
            f"a leader after {led_s:.1f} s" if led else "NO LEADER",
            f"the first report answered after {answered_s:.1f} s" if answered else "NO REPORT ANSWERED",
            f"a new job started after {placed_s:.1f} s" if placed else "THE NEW JOB NEVER STARTED",
            f"every machine heard after {time.monotonic() - began:.1f} s" if heard else "NOT EVERY MACHINE HEARD",
        ]
        return ["  " + ", ".join(said), asked.line("its submission")]

    def _started(self, job_id: str) -> bool:
        return any(key[0] == job_id for worker in self.site.model.alive() for key in worker.tasks)

    async def _until(self, condition: Callable[[], bool], most_s: float) -> bool:
        end = time.monotonic() + most_s
        while not condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK_S * 5)
        return True

    async def _until_async(self, question: Callable[[], Awaitable[Any]], most_s: float) -> bool:
        end = time.monotonic() + most_s
        while not await question():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK_S)
        return True
