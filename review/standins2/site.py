"""A small deployment on loopback: three controllers as processes, the stand-ins, and users behind a load balancer."""

import asyncio
import json
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .machines import Cloud, Upload
from .net import NETWORK_ERRORS, Client, Proxy, free_ports
from .state import State

ROOT = Path(__file__).resolve().parents[2]
FINAL = ("done", "cancelled")
# Whether the disruption of the case takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Recorder:
    """Writes a line for each event, with the seconds since the start."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("w", encoding="utf-8") if path is not None else None
        self.began_at = time.monotonic()

    def __call__(self, event: str, **values: Any) -> None:
        """Write one event."""
        if self._file is not None:
            text = json.dumps(values, separators=(",", ":"), default=str)
            self._file.write(f"{time.monotonic() - self.began_at:8.3f} {event} {text}\n")
            self._file.flush()


class Node:
    """One controller: its process, its addresses and the proxies that others reach it or it reaches them by."""

    def __init__(self, label: str, zone: str, ports: list[int]) -> None:
        self.label, self.zone = label, zone
        self.bind, self.back, self.state, self.state_link, self.front_link = ports
        self.process: subprocess.Popen[bytes] | None = None
        self.settings: Path | None = None
        # By label of the other controller: the port at which this one reaches it.
        self.peer_ports: dict[str, int] = {}
        self.healthy = False

    @property
    def front(self) -> str:
        """The address for users and workers."""
        return f"127.0.0.1:{self.bind}"


def toml_text(value: Any) -> str:
    """Return a value as TOML: a text, a number, or a list of these."""
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, list):
        return "[" + ", ".join(toml_text(part) for part in value) + "]"
    return repr(value)


def table_lines(name: str, table: dict[str, Any]) -> list[str]:
    """Return a table, and the tables in it, as TOML."""
    lines = [f"[{name}]"]
    lines += [f"{key} = {toml_text(value)}" for key, value in table.items() if not isinstance(value, dict)]
    for key, value in table.items():
        if isinstance(value, dict):
            lines += table_lines(f"{name}.{key}", value)
    return lines


class Site:
    """The deployment; `settings` is the table `deployment` of the settings files."""

    def __init__(self, settings: dict[str, Any], kinds: list[dict[str, Any]], record_path: Path | None) -> None:
        self.settings = settings
        self.record = Recorder(record_path)
        self.state = State(settings["state"])
        self.cloud = Cloud(kinds, settings, self.record)
        self.cloud.leader = self.leader
        ports = free_ports(24)
        zones = settings["controllers"]
        self.nodes = {
            f"bollard-{number}": Node(f"bollard-{number}", zone, ports[number * 5 : number * 5 + 5])
            for number, zone in enumerate(zones)
        }
        self._cloud_ports = dict(zip(self.nodes, ports[21:], strict=True))
        self._peer_ports = ports[15:21]
        # By the controller and what it reaches or is reached by: another controller, `state` or `workers`.
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.ended_by_itself: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.limits = {team["name"]: (team["cpus_max"], team["gpus_max"]) for team in settings["teams"]}
        self.jobs: dict[str, Job] = {}

    async def start(self) -> None:
        """Start the stand-ins, then the controllers, and wait until one is ready."""
        await self.state.start({node.label: node.state for node in self.nodes.values()})
        await self.cloud.start(self._cloud_ports)
        self.cloud.fronts = {node.label: f"127.0.0.1:{node.front_link}" for node in self.nodes.values()}
        ports = iter(self._peer_ports)
        for node in self.nodes.values():
            for name, target, port in (
                ("state", node.state, node.state_link),
                ("workers", node.bind, node.front_link),
            ):
                proxy = self.proxies[(node.label, name)] = Proxy(target)
                await proxy.start(port)
            for other in self.nodes.values():
                if other is not node:
                    proxy = self.proxies[(node.label, other.label)] = Proxy(other.back)
                    node.peer_ports[other.label] = next(ports)
                    await proxy.start(node.peer_ports[other.label])
            self._write_settings(node)
        for node in self.nodes.values():
            self.launch(node.label)
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._probe(node)) for node in self.nodes.values()]
        self._tasks.append(loop.create_task(self._watch_rules()))
        end = time.monotonic() + 30.0
        while not any(node.healthy for node in self.nodes.values()):
            if time.monotonic() > end:
                raise RuntimeError("no controller became ready")
            await asyncio.sleep(0.1)

    def _write_settings(self, node: Node) -> None:
        lines = [f"label = {toml_text(node.label)}", f"domain = {toml_text(node.zone)}"]
        lines += [f'bind = "127.0.0.1:{node.bind}"', f'back = "127.0.0.1:{node.back}"']
        for label, port in node.peer_ports.items():
            lines += ["[[known]]", f"label = {toml_text(label)}", f"domain = {toml_text(self.nodes[label].zone)}"]
            lines.append(f'address = "127.0.0.1:{port}"')
        lines += [
            "[external]",
            f'cloud = "127.0.0.1:{self._cloud_ports[node.label]}"',
            f'state = "127.0.0.1:{node.state_link}"',
        ]
        lines.append("[deployment]")
        plain = {
            key: value for key, value in self.settings.items() if key not in ("controllers", "teams", "objectives")
        }
        lines += [f"{key} = {toml_text(value)}" for key, value in plain.items() if not isinstance(value, dict)]
        for key in ("teams", "objectives"):
            for table in self.settings.get(key, ()):
                lines.append(f"[[deployment.{key}]]")
                lines += [f"{name} = {toml_text(value)}" for name, value in table.items()]
        for key, table in plain.items():
            if isinstance(table, dict):
                lines += table_lines(f"deployment.{key}", table)
        node.settings = Path(self.folder.name) / f"{node.label}.toml"
        node.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    # Controllers

    def launch(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        node = self.nodes[label]
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["run"]
        log = (Path(self.folder.name) / f"{label}.log").open("ab")
        node.process = subprocess.Popen(
            [*shlex.split(run), str(node.settings)], cwd=ROOT, stderr=log, stdout=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.record("controller_started", label=label)

    def signal(self, label: str, number: signal.Signals) -> None:
        """Send a signal to a controller; after SIGKILL its end is awaited."""
        process = self.nodes[label].process
        assert process is not None
        process.send_signal(number)
        if number is signal.SIGKILL:
            process.wait()
        self.record("signal", label=label, signal=number.name)

    def leader(self) -> str | None:
        """Return the label that the store's key names."""
        row = self.state.rows.get("driftcleat/leader")
        return row[0][0] if row is not None else None

    def stop(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            process = node.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for worker in self.cloud.workers.values():
            worker.end()

    def logs(self) -> str:
        """Return what the controllers wrote."""
        return "".join(
            f"== {path.name}\n{path.read_text(encoding='utf-8', errors='replace')}"
            for path in sorted(Path(self.folder.name).glob("*.log"))
        )

    async def _watch_rules(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self.cloud.check(self.limits)

    # The load balancer

    async def _probe(self, node: Node) -> None:
        failures = successes = 0
        ever = False
        while True:
            client = Client(node.front)
            try:
                ok = (await client.call("GET", "/ready", timeout_s=1.0)).status == 200
            except NETWORK_ERRORS:
                ok = False
            client.close()
            failures, successes = (0, successes + 1) if ok else (failures + 1, 0)
            if failures >= 2:
                node.healthy = False
            elif successes >= (2 if ever else 1):
                node.healthy = ever = True
            await asyncio.sleep(1.0)

    async def ask(self, method: str, path: str, value: Any = None, timeout_s: float = 5.0) -> tuple[str, int, Any]:
        """Send a user's request over a new connection; status 0 if there is no answer."""
        healthy = [node for node in self.nodes.values() if node.healthy] or list(self.nodes.values())
        node = random.choice(healthy)
        client = Client(node.front)
        try:
            answer = await client.call(method, path, value, timeout_s)
        except NETWORK_ERRORS:
            return node.label, 0, {}
        finally:
            client.close()
        return node.label, answer.status, answer.value

    # Users

    def job(self, number: int, run_s: float, **changes: Any) -> "Job":
        """Return a new job of this site; it is not submitted yet."""
        spec = {
            "nameId": f"req-{number:06d}",
            "cargo": "render-sweep",
            "crew": self.settings["teams"][0]["name"],
            "rig": "array",
            "rank": "standard",
            "hands": 1,
            "cores": 1.0,
            "accelerators": 0.0,
            "memGb": 1.0,
            "hull": "img-01",
            "imageGb": 0.2,
            "builds": None,
            "harbor": None,
            "together": False,
            "spread": False,
            "driftwood": False,
            "voyageS": run_s,
            "mooringS": 0.0,
            "stowS": 0.0,
            "tideS": None,
        } | changes
        job = self.jobs[spec["nameId"]] = Job(self, spec, run_s)
        return job


class Job:
    """A user's job, from its submission on."""

    def __init__(self, site: Site, spec: dict[str, Any], run_s: float) -> None:
        self.site, self.spec = site, spec
        self.id: str = spec["nameId"]
        self.upload = site.cloud.uploads[self.id] = Upload(spec, run_s)
        self.accepted_at: float | None = None
        self.refused: int | None = None
        self.final: str | None = None
        self.cancel_asked = False
        self.polls: list[tuple[float, int, str]] = []

    async def submit(self) -> bool:
        """Submit as a user does, with retries for up to 60 s; return whether the job was accepted."""
        end = time.monotonic() + 60.0
        while time.monotonic() < end:
            node, status, value = await self.site.ask("POST", "/v1/jobs", self.spec)
            self.site.record("submit", job=self.id, node=node, status=status, answer=value)
            if status in (200, 201):
                self.accepted_at = time.monotonic()
                self._note(value.get("bearing"))
                return True
            if status in (400, 422):
                self.refused = status
                return False
            await asyncio.sleep(1.0)
        return False

    async def cancel(self) -> str | None:
        """Cancel as a user does; return the state that was told."""
        self.cancel_asked = True
        end = time.monotonic() + 60.0
        while time.monotonic() < end:
            node, status, value = await self.site.ask("POST", f"/v1/jobs/{self.id}/cancel")
            self.site.record("cancel", job=self.id, node=node, status=status, answer=value)
            if status == 200:
                self._note(value.get("bearing"))
                return value.get("bearing")
            if status == 404 and self.accepted_at is not None:
                self.site.cloud.break_rule("forgotten", f"{self.id}: cancellation got 404")
                return None
            await asyncio.sleep(1.0)
        return None

    async def poll(self) -> str | None:
        """Ask once for the state; None if there is no answer."""
        node, status, value = await self.site.ask("GET", f"/v1/jobs/{self.id}", timeout_s=2.0)
        bearing = value.get("bearing") if status == 200 else None
        self.polls.append((time.monotonic(), status, bearing or ""))
        self.site.record("poll", job=self.id, node=node, status=status, answer=value)
        if status == 404 and self.accepted_at is not None:
            self.site.cloud.break_rule("forgotten", f"{self.id}: poll at {node} got 404")
        if bearing is not None:
            self._note(bearing)
        return bearing

    async def follow(self, every_s: float = 5.0) -> None:
        """Poll until the job is done or cancelled."""
        while await self.poll() not in FINAL:
            await asyncio.sleep(every_s)

    def _note(self, bearing: str | None) -> None:
        """Check what a user is told against what was told before."""
        broken = self.site.cloud.break_rule
        if self.final is not None and bearing != self.final:
            broken("went_back", f"{self.id}: {self.final}, then {bearing}")
        if bearing == "cancelled" and not self.cancel_asked and not self._may_be_cancelled():
            broken("went_back", f"{self.id}: cancelled, but nobody asked")
        if bearing == "done" and len(self.upload.done_tasks) < self.spec["hands"]:
            broken("not_done", f"{self.id}: {len(self.upload.done_tasks)} of {self.spec['hands']} tasks are done")
        if bearing == "cancelled" and self.upload.cancelled_told_at is None:
            self.upload.cancelled_told_at = time.monotonic()
        if bearing in FINAL:
            self.final = bearing

    def _may_be_cancelled(self) -> bool:
        needs = [self.site.jobs[need] for need in self.spec.get("tows") or ()]
        return any(need.cancel_asked or need._may_be_cancelled() for need in needs)


Case = Callable[[Site, bool], Awaitable[tuple[bool, str]]]

# A script may run for 120 seconds; this leaves time to end the processes.
MOST_SECONDS = 117.0


async def _run(make_site: Callable[[], Site], case: Case, trouble: bool) -> tuple[bool, str]:
    loop = asyncio.get_running_loop()
    # At the end, open connections are cut off in the middle of requests.
    loop.set_exception_handler(lambda loop, context: None)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    site = make_site()
    try:
        async with asyncio.timeout(MOST_SECONDS):
            await site.start()
            return await case(site, trouble)
    finally:
        site.stop()
        if os.environ.get("LOGS"):
            print(site.logs())


def main(make_site: Callable[[], Site], case: Case) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    try:
        held, text = asyncio.run(_run(make_site, case, TROUBLE))
    except BaseException as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(f"{'held' if held else 'BROKEN'} ({'with' if TROUBLE else 'without'} the disruption): {text}")
    sys.exit(0 if held else 1)
