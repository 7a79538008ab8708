"""Runs two versions side by side on loopback, against the tests' protocol doubles: `python -m tools.mixed`.

Three processes of the old version serve (by default the one that `deploy/service.toml` names as `production`); one
after the other is killed and restarted from the newest commit. An old version that supports data version 2 activates
it by itself, and both versions then work on its records. CI does not run this, since it needs the repository's
history. Prints the leaders in order; fails if a job does not finish, or if one of the versions never led.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

import click

from driftcleat.store.keys import LEADER_KEY
from tests.protocol_doubles import Site, wait_until
from tests.samples import job, raw_job

ROOT = Path(__file__).resolve().parent.parent
# Time from the restart of a controller until the next one is killed.
RESTART_PAUSE_S = 4.0
# Pause between two checks of the leader key.
LEADER_CHECK_PAUSE_S = 0.1


def to_toml(value: Any) -> str:
    """Return a value as TOML, with tables inline."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {to_toml(other)}" for key, other in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(to_toml, value)) + "]"
    return json.dumps(value)


def export_sources(commit: str, folder: Path) -> None:
    """Write the sources of a commit to a folder."""
    archive = subprocess.run(["git", "-C", str(ROOT), "archive", commit], check=True, capture_output=True).stdout
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)


class ControllerProcesses:
    """The processes of the controllers, each of either version."""

    def __init__(self, site: Site, folder: Path) -> None:
        self.site = site
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        # The version that each controller runs, by label, and the leaders according to the leader key, in order.
        self.versions: dict[str, str] = {}
        self.leaders: list[str] = []

    def start(self, label: str, sources: Path) -> None:
        """Start a controller from a folder of sources, which is named after the version."""
        config = self.folder / f"{label}.toml"
        raw = self.site._raw(label)
        raw["deployment"]["state"]["next"] = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 400.0}
        config.write_text("".join(f"{key} = {to_toml(value)}\n" for key, value in raw.items()))
        self.versions[label] = sources.name
        # Only errors are logged, to the standard error of this process.
        self.running[label] = subprocess.Popen(
            [sys.executable, "run.py", "--config", str(config)],
            cwd=sources,
            env={"LOG_LEVEL": "error", "PATH": "/usr/bin:/bin"},
        )
        self.site.model.controller_addresses[label] = self.site.platforms[label].bind

    def kill(self, label: str) -> None:
        """Kill a controller, so that it cannot announce its end."""
        self.site.model.controller_addresses.pop(label, None)
        process = self.running.pop(label)
        process.kill()
        process.wait()

    async def record_leaders(self) -> None:
        """Record each controller that acquires the leader key, until cancelled."""
        last_revision = 0
        while True:
            (label, _), revision = self.site.store.store.data.get(LEADER_KEY, (("", ""), last_revision))
            if revision != last_revision:
                last_revision = revision
                self.leaders.append(f"{label} ({self.versions[label]})")
            await asyncio.sleep(LEADER_CHECK_PAUSE_S)


async def submit_until_accepted(site: Site, number: int, **changes: Any) -> str:
    """Submit a job, retrying until it is accepted, and return its id."""
    raw = raw_job(number, accelerators=0.0, cores=0.2, memGb=0.1, **changes)
    site.model.specs[raw["nameId"]] = job(number, **raw)

    async def attempt() -> bool:
        for label in list(site.model.controller_addresses):
            try:
                if (await site.call(label, "POST", "/v1/jobs", raw))[0] in (200, 201):
                    return True
            except OSError:
                continue
        return False

    await wait_until(attempt, "accepted")
    return str(raw["nameId"])


async def wait_for_state(site: Site, job_id: str, state: str) -> None:
    """Poll a job until it is in a state."""

    async def attempt() -> bool:
        for label in list(site.model.controller_addresses):
            try:
                status, body, _ = await site.call(label, "GET", f"/v1/jobs/{job_id}")
            except OSError:
                continue
            if status == 200:
                return bool(body["bearing"] == state)
        return False

    await wait_until(attempt, f"{job_id} {state}", 120.0)


def is_version_2_active(site: Site) -> bool:
    """Return whether data version 2 is active."""
    return "driftcleat/version" in site.store.store.data


async def run_upgrade(folder: Path, old: Path, newest: Path) -> None:
    """Upgrade a site with jobs running; if the old version supports data version 2, downgrade it again as well."""

    class ProcessSite(Site):
        def start(self, label: str) -> None:
            processes.start(label, old)

    site = ProcessSite()
    processes = ControllerProcesses(site, folder)
    try:
        async with site:
            recording = asyncio.ensure_future(processes.record_leaders())
            jobs = [await submit_until_accepted(site, number, hands=90, voyageS=6.0) for number in range(1, 4)]
            await wait_until(site.model.tasks_on_machines, "tasks run")
            await asyncio.sleep(RESTART_PAUSE_S)
            began_with_version_2 = is_version_2_active(site)
            for turn, label in enumerate("abc"):
                assert is_version_2_active(site) == began_with_version_2, "activated while an old version runs"
                processes.kill(label)
                jobs.append(await submit_until_accepted(site, 10 + turn, hands=60, voyageS=4.0))
                processes.start(label, newest)
                await asyncio.sleep(RESTART_PAUSE_S)
                jobs.append(await submit_until_accepted(site, 20 + turn, hands=2, rig="group", voyageS=3.0))
            await wait_until(lambda: is_version_2_active(site), "data version 2 is active")
            jobs.append(await submit_until_accepted(site, 30, hands=2, voyageS=1.0, tows=jobs[:2]))
            for turn, label in enumerate("abc" if began_with_version_2 else ""):
                processes.kill(label)
                jobs.append(await submit_until_accepted(site, 40 + turn, hands=40, voyageS=3.0, tows=jobs[-1:]))
                processes.start(label, old)
                await asyncio.sleep(RESTART_PAUSE_S)
            for job_id in jobs:
                await wait_for_state(site, job_id, "done")
            recording.cancel()
            for label in list(processes.running):
                processes.kill(label)
    finally:
        for process in processes.running.values():
            process.kill()
    click.echo(f"{len(jobs)} jobs done across the upgrade")
    click.echo(f"leaders in order: {', '.join(processes.leaders)}")
    for version in (old.name, newest.name):
        assert any(leader.endswith(f"({version})") for leader in processes.leaders), f"{version} never led"


@click.command()
@click.option("--old", help="The commit of the old version; by default the production version.")
def main(old: str | None) -> None:
    """Run the upgrade once."""
    commit = old or tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    with tempfile.TemporaryDirectory() as folder:
        sources = {name: Path(folder) / name for name in ("old", "newest")}
        for path, name in zip(sources.values(), (commit, "HEAD"), strict=True):
            # Not the checkout itself: a build may have left an older package there.
            path.mkdir()
            export_sources(name, path)
        asyncio.run(run_upgrade(Path(folder), sources["old"], sources["newest"]))


if __name__ == "__main__":
    main()
