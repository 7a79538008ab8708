"""Controllers as separate processes, and their resource use."""

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
from tests.protocol_doubles import Site, wait_until

from .fleet import LoadModel
from .sizes import SIZES, Size

ROOT = Path(__file__).resolve().parent.parent.parent
LABELS = "abc"
METRICS_TIMEOUT_S = 5.0
SAMPLE_INTERVAL_S = 0.2


class LoadSite(Site):
    """A site whose controllers and state service are separate processes."""

    model: LoadModel

    def __init__(self, size: Size, throttled: bool = False) -> None:
        """Prepare a site; if `throttled`, each controller is limited to its share of a core."""
        super().__init__()
        self.size, self.throttled = size, throttled
        self.model = LoadModel(self.platforms["a"])
        unlimited = Team("red", 0.0, 0.0, 0.0, 0.0)
        self.model.platform = dataclasses.replace(
            self.model.platform, teams={"red": unlimited}, report_s=size.report_s, lease_s=size.lease_s
        )
        self.store_process: asyncio.subprocess.Process | None = None
        self.paths: list[Path] = []
        # Environment variables of the controllers in addition to those of this process.
        self.environment = {"LOG_LEVEL": "error"}
        self.client = HttpClient(64, 16, 75.0)
        # The connections of all users.
        self.user_client = HttpClient(3000, 1000, 75.0)

    async def start_store(self) -> None:
        """Start the state service as a separate process, and wait until it responds."""
        name = next(name for name, size in SIZES.items() if size is self.size)
        command = [sys.executable, "-m", "tools.load.store", str(self.ports["state"]), name]
        self.store_process = await asyncio.create_subprocess_exec(*command, cwd=ROOT)
        await wait_until(self._store_responds, "the state service responds")

    async def _store_responds(self) -> bool:
        address = f"127.0.0.1:{self.ports['state']}"
        try:
            await self.client.request("GET", address, "/store/none", None, METRICS_TIMEOUT_S)
        except (HttpError, TimeoutError):
            return False
        return True

    async def __aexit__(self, *error: object) -> None:
        await super().__aexit__(*error)
        if self.store_process is not None:
            self.store_process.kill()
            await self.store_process.wait()

    def start(self, label: str) -> None:
        """Start a controller as a separate process."""
        path = Path(tempfile.gettempdir()) / f"driftcleat-load-{os.getpid()}-{label}.toml"
        path.write_text(settings_file(self, label))
        self.paths.append(path)
        self.running[label] = asyncio.ensure_future(self._run(label, path))
        self.model.controller_addresses[label] = self.platforms[label].bind

    async def _run(self, label: str, path: Path) -> None:
        limit = self.size.fd_limit
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tools.load.controller",
            "--config",
            str(path),
            cwd=ROOT,
            env={**self.environment, **os.environ},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
        )
        self.controllers[label] = process
        throttle = None
        if self.throttled:
            command = [sys.executable, "-m", "tools.load.throttle", str(process.pid), str(self.size.core_share)]
            throttle = await asyncio.create_subprocess_exec(*command, cwd=ROOT)
        try:
            await process.wait()
        finally:
            for child in (throttle, process):
                if child is not None and child.returncode is None:
                    child.kill()
                    await child.wait()

    async def metrics(self, label: str) -> dict[str, Any] | None:
        """Return the metrics of a controller; None if it does not respond."""
        try:
            response = await self.client.request(
                "GET", self.platforms[label].back, "/metrics", None, METRICS_TIMEOUT_S
            )
        except (HttpError, TimeoutError):
            return None
        return dict(json.loads(response.body))

    async def current_leader(self) -> str | None:
        """Return the label of the controller that reports to be the leader."""
        for label in LABELS:
            metrics = await self.metrics(label)
            if metrics is not None and metrics["role"] == "leading":
                return label
        return None

    def clean_up(self) -> None:
        """Delete the settings files."""
        for path in self.paths:
            path.unlink(missing_ok=True)


def settings_file(site: LoadSite, label: str) -> str:
    """Return the settings file of one controller."""
    platform, size = site.platforms[label], site.size
    peers = "".join(
        f'[[known]]\nlabel = "{peer.label}"\ndomain = "{peer.zone}"\naddress = "{peer.address}"\n'
        for peer in platform.peers
    )
    teams = "".join(
        f'[[deployment.teams]]\nname = "{team.name}"\ngpus = {team.gpus}\ngpus_max = {team.gpus_max}\n'
        for team in site.model.platform.teams.values()
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
{teams}[deployment.workers]
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
    """Resource use of a process: CPU time, resident memory and open file descriptors."""

    core_s: float
    memory_mb: float
    descriptors: int


def usage(pid: int) -> Usage:
    """Return the resource use of a process; raise `OSError` if it has exited."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return Usage(
        int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9,
        int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20,
        len(os.listdir(f"/proc/{pid}/fd")),
    )


class Peaks:
    """The highest memory and descriptor use of any controller, sampled during the load test."""

    def __init__(self, site: LoadSite) -> None:
        self._site = site
        self.memory_mb, self.descriptors = 0.0, 0

    async def watch(self) -> None:
        """Sample all controllers periodically, until cancelled."""
        while True:
            for process in list(self._site.controllers.values()):
                try:
                    used = usage(process.pid)
                except OSError:
                    continue
                self.memory_mb = max(self.memory_mb, used.memory_mb)
                self.descriptors = max(self.descriptors, used.descriptors)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
