"""Controllers as processes of their own, and what they use."""

import asyncio
import dataclasses
import json
import os
import resource
import sys
import tempfile
from pathlib import Path
from typing import Any

from driftcleat.net import HttpClient, HttpError
from driftcleat.settings import Team
from tests.standins import Site

from .fleet import LoadWorld, SlowStore
from .sizes import Size

ROOT = Path(__file__).resolve().parent.parent.parent
LABELS = "abc"
METRICS_TIMEOUT_S = 5.0
SAMPLE_S = 0.2


class LoadSite(Site):
    """A site whose controllers are processes."""

    world: LoadWorld

    def __init__(self, size: Size) -> None:
        super().__init__()
        self.size = size
        self.world = LoadWorld(self.platforms["a"])
        free = Team("red", 0.0, 0.0, 0.0, 0.0)
        self.world.platform = dataclasses.replace(
            self.world.platform, teams={"red": free}, report_s=size.report_s, lease_s=size.lease_s
        )
        self.store = SlowStore(type(self.store)(self.world.store), size)
        self.paths: list[Path] = []
        self.client = HttpClient(64, 16, 75.0)
        # Users' connections.
        self.users = HttpClient(3000, 1000, 75.0)

    def start(self, label: str) -> None:
        """Start a controller as a process of its own."""
        path = Path(tempfile.gettempdir()) / f"driftcleat-load-{os.getpid()}-{label}.toml"
        path.write_text(settings_file(self, label))
        self.paths.append(path)
        self.running[label] = asyncio.ensure_future(self._run(label, path))
        self.world.fronts[label] = self.platforms[label].bind

    async def _run(self, label: str, path: Path) -> None:
        limit = self.size.fd_limit
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "run.py"),
            "--config",
            str(path),
            env={"LOG_LEVEL": "error", **os.environ},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
        )
        self.controllers[label] = process
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def metrics(self, label: str) -> dict[str, Any] | None:
        """Return what a controller has counted; None if it does not answer."""
        try:
            answer = await self.client.request("GET", self.platforms[label].back, "/metrics", None, METRICS_TIMEOUT_S)
        except (HttpError, TimeoutError):
            return None
        return dict(json.loads(answer.body))

    async def leading(self) -> str | None:
        """Return the label of the controller that leads."""
        for label in LABELS:
            counted = await self.metrics(label)
            if counted is not None and counted["role"] == "leading":
                return label
        return None

    def clean_up(self) -> None:
        """Remove the settings files."""
        for path in self.paths:
            path.unlink(missing_ok=True)


def settings_file(site: LoadSite, label: str) -> str:
    """Return the settings file of one controller."""
    platform, size = site.platforms[label], site.size
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
list_lag_s = {size.list_lag_s}
[deployment.resources]
core_share = {size.core_share}
memory_mb = {size.memory_mb}
fd_limit = {size.fd_limit}
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used: seconds of a core, resident memory, open descriptors."""

    core_s: float
    memory_mb: float
    descriptors: int


def usage(pid: int) -> Usage:
    """Return what a process uses."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return Usage(
        int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9,
        int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20,
        len(os.listdir(f"/proc/{pid}/fd")),
    )


class Peaks:
    """The most that any controller used, sampled while the load is played."""

    def __init__(self, site: LoadSite) -> None:
        self._site = site
        self.memory_mb, self.descriptors = 0.0, 0

    async def watch(self) -> None:
        """Sample for ever."""
        while True:
            for process in list(self._site.controllers.values()):
                try:
                    used = usage(process.pid)
                except OSError:
                    continue
                self.memory_mb = max(self.memory_mb, used.memory_mb)
                self.descriptors = max(self.descriptors, used.descriptors)
            await asyncio.sleep(SAMPLE_S)
