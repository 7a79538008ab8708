"""Load test: real controller processes at a fleet's full size, everything around them stood in for.

    python -m tools.load [hki | kandla | hki-lean | kandla-lean][-half-more] [--machines N] [--jobs N] [--seconds S]

Every machine keeps one connection open, as workers do, and each controller has the platform's descriptor limit set
on its process. Half-way a third of the machines hang and come back, then all controllers are restarted at once.
Prints processor time (whole and by part), memory and descriptors of each controller, and how long reports,
submissions and the restart took; exits with 1 if a descriptor or memory limit or a worker's 4 s was passed. The
stand-ins run in this process, on loopback; they keep no controller to its share of a core.
"""

import argparse
import asyncio
import dataclasses
import os
import random
import resource
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp

from driftcleat.settings import Team
from driftcleat.store.records import RentalRecord
from driftcleat.wire.users import Submission
from tests.samples import job, raw_job
from tests.standins import Site, until

ROOT = Path(__file__).resolve().parent.parent


@dataclasses.dataclass(frozen=True)
class Size:
    """What a deployment's size comes to."""

    machines: int
    report_s: float
    lease_s: float
    cancel_s: float
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    cloud_rps: float
    core_share: float
    memory_mb: float
    fd_limit: int


SIZES = {
    "hki": Size(619, 3.0, 17.0, 42.0, 200.0, 50.0, 8.0, 24, 2.0, 0.252, 151.0, 924),
    "kandla": Size(591, 2.5, 14.0, 34.0, 300.0, 120.0, 16.0, 12, 6.0, 0.468, 201.0, 1571),
    "hki-lean": Size(692, 3.0, 17.0, 42.0, 200.0, 50.0, 8.0, 24, 2.0, 0.086, 98.0, 1000),
    "kandla-lean": Size(552, 2.5, 14.0, 34.0, 250.0, 100.0, 16.0, 12, 5.0, 0.13, 122.0, 1500),
}
SIZES |= {
    f"{name}-half-more": dataclasses.replace(size, machines=size.machines * 3 // 2) for name, size in SIZES.items()
}
# A worker gives an answer up after so long.
WORKER_S = 4.0


def toml(site: Site, label: str, size: Size) -> str:
    """Return the settings file of one controller."""
    platform = site.platforms[label]
    peers = "".join(
        f'[[known]]\nlabel = "{peer.label}"\ndomain = "{peer.zone}"\naddress = "{peer.address}"\n'
        for peer in platform.peers
    )
    return f"""label = "{label}"
domain = "north"
bind = "{platform.bind}"
back = "{platform.back}"
{peers}
[external]
cloud = "{platform.cloud}"
state = "{platform.state}"
[deployment]
zones = ["north", "south"]
[[deployment.teams]]
name = "red"
[deployment.workers]
report_s = {size.report_s}
lease_s = {size.lease_s}
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = {size.cancel_s}
[deployment.state]
rps = {size.rps}
write_rps = {size.write_rps}
value_kb = {size.value_kb}
txn_ops = {size.txn_ops}
[deployment.cloud]
rps = {size.cloud_rps}
list_lag_s = 10.0
[deployment.resources]
core_share = {size.core_share}
memory_mb = {size.memory_mb}
fd_limit = {size.fd_limit}
"""


class Process(Site):
    """A site whose controllers are processes of their own."""

    size = SIZES["hki"]

    def start(self, label: str) -> None:
        """Start a controller as a process of its own."""
        path = Path(tempfile.gettempdir()) / f"driftcleat-load-{os.getpid()}-{label}.toml"
        path.write_text(toml(self, label, self.size))
        self.paths = [*getattr(self, "paths", []), path]
        self.running[label] = asyncio.ensure_future(self._run(label, path))
        self.world.fronts[label] = self.platforms[label].bind

    async def _run(self, label: str, path: Path) -> None:
        limit = self.size.fd_limit
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "run.py"),
            "--config",
            str(path),
            env={**os.environ, "LOG_LEVEL": "error"},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
        )
        self.controllers[label] = process
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


def usage(pid: int) -> tuple[float, float, int]:
    """Return processor seconds, resident MB and open descriptors."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return (
        ticks / os.sysconf("SC_CLK_TCK"),
        int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20,
        len(os.listdir(f"/proc/{pid}/fd")),
    )


class Peaks:
    """The most that any controller used, sampled while the load is played."""

    def __init__(self) -> None:
        self.memory, self.sockets = 0.0, 0

    async def watch(self, site: "Process") -> None:
        """Sample for ever."""
        while True:
            for process in list(site.controllers.values()):
                try:
                    _, memory, sockets = usage(process.pid)
                except OSError:
                    continue
                self.memory, self.sockets = max(self.memory, memory), max(self.sockets, sockets)
            await asyncio.sleep(0.2)


class Answers:
    """How long reports waited for their answer, as workers see it."""

    def __init__(self, site: Site) -> None:
        self.taken: list[float] = []
        self.failed = 0
        report = site.world._report

        async def timed(worker: Any, newest: Any, sent_at: float) -> None:
            began = time.monotonic()
            await report(worker, newest, sent_at)
            self.taken.append(time.monotonic() - began)

        site.world._report = timed  # type: ignore[method-assign, assignment]

    def late(self) -> int:
        """Count those that came too late for a worker."""
        return sum(taken > WORKER_S for taken in self.taken)


async def troubles(site: "Process", seconds: float) -> tuple[float, float]:
    """A third of the machines hang and come back, then all controllers restart; return when the first report was
    answered and the first leader led after that."""
    await asyncio.sleep(seconds * 0.5)
    hung = random.sample(site.world.alive(), len(site.world.alive()) // 3)
    for worker in hung:
        worker.hung = True
    await asyncio.sleep(site.size.report_s * 3)
    for worker in hung:
        worker.hung = False
    await asyncio.sleep(site.size.report_s)
    for label in list(site.running):
        await site.kill(label)
    for label in "abc":
        site.start(label)
    began = time.monotonic()
    while True:
        for label in "abc":
            try:
                counted = await metrics(site, label)
            except aiohttp.ClientError:
                continue
            if counted["role"] == "leading":
                led = time.monotonic() - began
                while not counted["reports"]["count"]:
                    await asyncio.sleep(0.05)
                    counted = await metrics(site, label)
                return time.monotonic() - began, led
        await asyncio.sleep(0.05)


async def users(site: Site, specs: list[Submission], stop: float) -> list[float]:
    """Submit all jobs over half the time, and poll each every 5 s; return the submissions' latencies."""
    taken: list[float] = []

    async def user(number: int, spec: Submission) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(number * (stop - loop.time()) / 2 / len(specs))
        label = random.choice("abc")
        began = loop.time()
        while loop.time() < stop:
            try:
                status, _, _ = await site.call(label, "POST", "/v1/jobs", raw_job(int(spec.id[4:]), **CHANGES))
                if status in (200, 201):
                    break
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(1)
        taken.append(loop.time() - began)
        while loop.time() < stop:
            await asyncio.sleep(5)
            try:
                await site.call(label, "GET", f"/v1/jobs/{spec.id}")
            except aiohttp.ClientError:
                pass

    await asyncio.gather(*(user(number, spec) for number, spec in enumerate(specs)))
    return taken


CHANGES = {"hands": 2, "voyageS": 20.0, "imageGb": 0.0}


async def metrics(site: Site, label: str) -> dict[str, Any]:
    """Return what a controller has counted."""
    assert site.world.session is not None
    async with site.world.session.get(f"http://{site.platforms[label].back}/metrics") as response:
        return dict(await response.json())


async def run(size: Size, machines: int, jobs: int, seconds: float) -> bool:
    """Play the load and print what it cost; whether every limit was kept."""
    site = Process()
    site.size = size
    site.world.pause_s = 0.1
    answers, peaks = Answers(site), Peaks()
    async with site:
        # One connection a machine, kept open.
        assert site.world.session is not None
        await site.world.session.close()
        site.world.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=75))
        for number in range(machines):
            site.world.boot(RentalRecord("big", "north" if number % 2 else "south", False, 1, 0.0))
        await until(lambda: len(site.controllers) == 3, "three processes")
        free = Team("red", 0.0, 0.0, 0.0, 0.0)
        site.world.platform = dataclasses.replace(
            site.world.platform, teams={"red": free}, report_s=size.report_s, lease_s=size.lease_s
        )
        specs = [job(number, **CHANGES) for number in range(1, jobs + 1)]
        site.world.specs = {spec.id: spec for spec in specs}
        await asyncio.sleep(5)
        watching = asyncio.ensure_future(peaks.watch(site))
        trouble = asyncio.ensure_future(troubles(site, seconds))
        began = time.monotonic()
        taken = sorted(await users(site, specs, asyncio.get_running_loop().time() + seconds))
        answered, led = await trouble
        watching.cancel()
        spent = time.monotonic() - began
        median, late = (taken[int(len(taken) * share)] * 1e3 for share in (0.5, 0.99))
        print(
            f"{machines} machines, {jobs} jobs of {CHANGES['hands']} tasks, {spent:.0f} s, a share of "
            f"{size.core_share:.1%} of a core and {size.memory_mb:.0f} MB allowed"
        )
        print(f"submissions p50 {median:.0f} ms, p99 {late:.0f} ms; tasks started {site.world.started}")
        for label, process in sorted(site.controllers.items()):
            cpu, memory, sockets = usage(process.pid)
            print(
                f"controller {label} since the restart: {cpu:.1f} s of a core, {memory:.0f} MB, "
                f"{sockets} of {size.fd_limit} descriptors"
            )
            counted = await metrics(site, label)
            if counted["role"] == "leading":
                parts = ", ".join(f"{part} {value:.2f} s" for part, value in counted["parts_s"].items())
                print(f"  leader's parts: {parts}; connections {counted['connections']}")
                print(
                    "  "
                    + "; ".join(
                        "{} p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms".format(name, **counted[name])
                        for name in ("reports", "batch", "build", "users")
                    )
                )
        for path in site.paths:
            path.unlink(missing_ok=True)
    slowest = sorted(answers.taken)
    print(
        f"reports: {len(slowest)}, p50 {slowest[len(slowest) // 2] * 1e3:.0f} ms, p99 "
        f"{slowest[int(len(slowest) * 0.99)] * 1e3:.0f} ms, {answers.late()} above {WORKER_S:.0f} s"
    )
    print(f"all controllers restarted: a leader after {led:.2f} s, the first report answered after {answered:.2f} s")
    print(
        f"most at once: {peaks.memory:.0f} of {size.memory_mb:.0f} MB, {peaks.sockets} of {size.fd_limit} descriptors"
    )
    return (
        peaks.memory < size.memory_mb
        and peaks.sockets < size.fd_limit
        and answers.late() <= len(answers.taken) // 1000
    )


def main() -> None:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", nargs="?", choices=sorted(SIZES), default="hki")
    parser.add_argument("--machines", type=int)
    parser.add_argument("--jobs", type=int, default=600)
    parser.add_argument("--seconds", type=float, default=60.0)
    asked = parser.parse_args()
    size = SIZES[asked.site]
    kept = asyncio.run(run(size, asked.machines or size.machines, asked.jobs, asked.seconds))
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
