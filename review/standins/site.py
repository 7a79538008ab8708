"""A small deployment: three controllers as processes, the stand-ins beside them, and the record of what happened."""

import asyncio
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Self

from .proxy import Link, Proxy
from .store import Store
from .web import Answer, NoAnswerError, ask
from .workers import Cloud, Fleet

ROOT = Path(__file__).resolve().parent.parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
READY_TIMEOUT_S = 30.0
STORE_LATENCY_S = 0.004


class NotRunError(Exception):
    """The case could not run: its conditions did not come about."""


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for probe in sockets:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


class Controller:
    """One controller's process, and the links that only it uses."""

    def __init__(self, label: str, domain: str) -> None:
        self.label, self.domain = label, domain
        bind, back = free_ports(2)
        self.bind, self.back = f"127.0.0.1:{bind}", f"127.0.0.1:{back}"
        self.path = Path()
        self.process: asyncio.subprocess.Process | None = None
        self.store_link: Proxy | None = None
        # By label of the other controller: the link on which this one reaches it.
        self.peer_links: dict[str, Proxy] = {}

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process is not None
        return self.process.pid


class Site:
    """The deployment of one case; `deployment` is the table of that name in the settings."""

    def __init__(
        self,
        deployment: dict[str, Any],
        domains: list[str],
        types: list[dict[str, Any]],
        machines: int,
        record: Path,
    ) -> None:
        self.began_at = time.monotonic()
        self.record = record.open("w", encoding="utf-8")
        self.deployment = deployment
        self.store = Store(deployment["state"], STORE_LATENCY_S)
        self.fleet = Fleet(deployment, self.log, {kind["label"]: kind for kind in types})
        self.cloud = Cloud(self.fleet, machines)
        labels = [f"bollard-{number}" for number in range(len(domains))]
        self.controllers = {label: Controller(label, domain) for label, domain in zip(labels, domains, strict=True)}
        # Variables of the controllers' environment beside those of this process.
        self.environment: dict[str, str] = {}
        self.folder = tempfile.TemporaryDirectory(prefix="driftcleat-review-")

    def log(self, text: str) -> None:
        """Write one line to the record."""
        self.record.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.record.flush()

    async def __aenter__(self) -> Self:
        """Start the stand-ins and the controllers; wait until every controller is ready."""
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start_all(self) -> None:
        await self.store.server.start()
        await self.cloud.server.start()
        for controller in self.controllers.values():
            controller.store_link = Proxy(self.store.server.address)
            await controller.store_link.start()
            for other in self.controllers.values():
                if other is not controller:
                    link = controller.peer_links[other.label] = Proxy(other.back)
                    await link.start()
        for controller in self.controllers.values():
            controller.path = Path(self.folder.name) / f"{controller.label}.toml"
            self.write_settings(controller)
            await self.start(controller)
            self.fleet.controllers[controller.label] = controller.bind
        await self.wait_until(self._all_ready, "every controller is ready")

    async def __aexit__(self, *_: object) -> None:
        """End every process that was started."""
        for controller in self.controllers.values():
            if controller.process is not None and controller.process.returncode is None:
                os.kill(controller.pid, signal.SIGKILL)
        for controller in self.controllers.values():
            await self.kill(controller)
        self.cloud.stop()
        self.store.server.stop()
        for controller in self.controllers.values():
            for link in (controller.store_link, *controller.peer_links.values()):
                if link is not None:
                    link.stop()
        self.folder.cleanup()

    async def start(self, controller: Controller) -> None:
        """Start a controller with the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["run"]
        errors = (Path(self.folder.name) / f"{controller.label}.log").open("ab")
        controller.process = await asyncio.create_subprocess_exec(
            *shlex.split(run),
            str(controller.path),
            cwd=ROOT,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info"), **self.environment},
            stdout=errors,
            stderr=errors,
        )
        errors.close()
        self.log(f"controller {controller.label} started")

    async def kill(self, controller: Controller) -> None:
        """Kill a controller's process, also a stopped one."""
        if controller.process is not None and controller.process.returncode is None:
            try:
                os.kill(controller.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            await controller.process.wait()
            self.log(f"controller {controller.label} killed")

    def write_settings(self, controller: Controller) -> None:
        """Write a controller's settings file, as `deployment` says now."""
        controller.path.write_text(self._settings(controller), encoding="utf-8")

    def signal(self, controller: Controller, number: signal.Signals) -> None:
        """Send a signal to a controller's process."""
        os.kill(controller.pid, number)
        self.log(f"controller {controller.label}: {number.name}")

    def controller_log(self, controller: Controller) -> str:
        """Return what a controller has logged."""
        return (Path(self.folder.name) / f"{controller.label}.log").read_text(encoding="utf-8", errors="replace")

    async def roll(self, every_s: float, back_after_s: float) -> None:
        """Restart all controllers one after the other, the leader last, with settings and environment as they are."""
        leader = await self.leader()
        others = [controller for controller in self.controllers.values() if controller is not leader]
        for controller in (*others, leader):
            began_at = time.monotonic()
            await self.kill(controller)
            self.write_settings(controller)
            await asyncio.sleep(back_after_s)
            await self.start(controller)
            if controller is not leader:
                await asyncio.sleep(max(0.0, began_at + every_s - time.monotonic()))

    async def _all_ready(self) -> bool:
        for controller in self.controllers.values():
            try:
                if (await ask(controller.bind, "GET", "/ready", timeout_s=1.0)).status != 200:
                    return False
            except NoAnswerError:
                return False
        return True

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], what: str, timeout_s: float = 30.0) -> None:
        """Wait for a condition; `NotRunError` after the timeout."""
        end = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > end:
                raise NotRunError(f"in vain: {what}")
            await asyncio.sleep(0.05)

    async def leader(self) -> Controller:
        """Return the controller that answers reports."""
        for _ in range(200):
            for controller in self.controllers.values():
                try:
                    status = await ask(controller.back, "GET", "/status", timeout_s=1.0)
                except NoAnswerError:
                    continue
                if status.value.get("role") == "leading":
                    return controller
            await asyncio.sleep(0.05)
        raise NotRunError("no controller leads")

    async def set_peer_links(self, link: Link) -> None:
        """Change all links between controllers."""
        for controller in self.controllers.values():
            for proxy in controller.peer_links.values():
                await proxy.set_link(link)
        self.log(f"links between controllers: {link.name}")

    def add_job(self, raw: dict[str, Any], run_s: float) -> None:
        """Make a job's description known to the workers, with the time that its tasks really run."""
        self.fleet.jobs[raw["nameId"]] = raw
        self.fleet.run_s[raw["nameId"]] = run_s

    async def ask(
        self, controller: Controller, method: str, path: str, value: Any = None, timeout_s: float = 5.0
    ) -> Answer:
        """Send a user's request and record it with its answer; status 0 stands for no answer."""
        sent_at = time.monotonic() - self.began_at
        try:
            answer = await ask(controller.bind, method, path, value, timeout_s)
        except NoAnswerError as error:
            answer = Answer(0, {"error": str(error)})
        name = value["nameId"] if isinstance(value, dict) and "nameId" in value else ""
        self.log(
            f"user at {controller.label}: {method} {path} {name} sent {sent_at:.3f}: {answer.status} {answer.value}"
        )
        return answer

    async def submit(self, raw: dict[str, Any], run_s: float, timeout_s: float = 60.0) -> bool:
        """Submit a job as users do, with retries for up to `timeout_s`; return whether it was accepted."""
        self.add_job(raw, run_s)
        end = time.monotonic() + timeout_s
        controllers = list(self.controllers.values())
        while time.monotonic() < end:
            # The load balancer moves on to another node when one refuses a connection.
            for controller in self.fleet.rng.sample(controllers, len(controllers)):
                answer = await self.ask(controller, "POST", "/v1/jobs", raw)
                if answer.status or "ConnectionRefused" not in answer.value["error"]:
                    break
            if answer.status in (200, 201):
                return True
            if answer.status in (400, 422):
                raise NotRunError(f"{raw['nameId']}: {answer.status} {answer.value}")
            await asyncio.sleep(1.0)
        return False

    def _settings(self, controller: Controller) -> str:
        """Return a controller's settings file."""
        lines = [
            f'label = "{controller.label}"',
            f'domain = "{controller.domain}"',
            f'bind = "{controller.bind}"',
            f'back = "{controller.back}"',
        ]
        for other, link in controller.peer_links.items():
            domain = self.controllers[other].domain
            lines += ["[[known]]", f'label = "{other}"', f'domain = "{domain}"', f'address = "{link.address}"']
        assert controller.store_link is not None
        lines += [
            "[external]",
            f'cloud = "{self.cloud.server.address}"',
            f'state = "{controller.store_link.address}"',
        ]
        lines += ["[deployment]", *_values(self.deployment)]
        for team in self.deployment["teams"]:
            lines += ["[[deployment.teams]]", *_values(team)]
        for name, table in self.deployment.items():
            if isinstance(table, dict):
                lines += [f"[deployment.{name}]", *_values(table)]
                for inner, values in table.items():
                    if isinstance(values, dict):
                        lines += [f"[deployment.{name}.{inner}]", *_values(values)]
        return "\n".join(lines) + "\n"


def _values(table: dict[str, Any]) -> list[str]:
    """Return the plain values of a table as lines of TOML."""
    lines = []
    for name, value in table.items():
        if isinstance(value, list) and all(isinstance(entry, str) for entry in value):
            lines.append(f"{name} = [{', '.join(repr(entry) for entry in value)}]")
        elif isinstance(value, str):
            lines.append(f'{name} = "{value}"')
        elif isinstance(value, (int, float)):
            lines.append(f"{name} = {value}")
    return lines


Case = Callable[[Path, bool], Awaitable[bool]]


def _stop(*_: object) -> None:
    """End the case early; the processes that it started are ended on the way."""
    sys.exit(NOT_RUN)


def main(case: Case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, _stop)
    record = Path(sys.argv[1]) / "record.txt"
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 119.0))
    except (NotRunError, TimeoutError, OSError) as error:
        with record.open("a", encoding="utf-8") as file:
            file.write(f"could not run: {error!r}\n")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
