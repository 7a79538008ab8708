"""Runs two real versions side by side on loopback, against the tests' stand-ins: `python -m tools.mixed`.

Three processes of the old version (by default the one that `deploy/service.toml` names as `production`) serve; one
after the other ends and comes back as the newest commit. An old version that knows the second data version begins it
by itself, and both then work on its records. Needs the repository's history, so it is no part of CI. Prints who led
in turn; fails if a job is not done, or if one of the versions never led.
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
from tests.samples import job, raw_job
from tests.standins import Site, until

ROOT = Path(__file__).resolve().parent.parent
# What a controller that came back has until the next one ends.
SETTLED_S = 4.0
# The pause between two looks at who leads.
NOTED_EVERY_S = 0.1


def to_toml(value: Any) -> str:
    """Return a value as TOML, tables inline."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {to_toml(other)}" for key, other in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(to_toml, value)) + "]"
    return json.dumps(value)


def checkout(commit: str, into: Path) -> None:
    """Lay a version's sources into a folder."""
    archive = subprocess.run(["git", "-C", str(ROOT), "archive", commit], check=True, capture_output=True).stdout
    subprocess.run(["tar", "-x", "-C", str(into)], input=archive, check=True)


class Processes:
    """The controllers' processes."""

    def __init__(self, site: Site, folder: Path) -> None:
        self.site = site
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        # The name of the folder of sources that each runs, and who led by the state service's leader key.
        self.versions: dict[str, str] = {}
        self.leaders: list[str] = []

    def start(self, label: str, sources: Path) -> None:
        """Start a controller of some version."""
        config = self.folder / f"{label}.toml"
        raw = self.site._raw(label)
        raw["deployment"]["state"]["next"] = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 400.0}
        config.write_text("".join(f"{key} = {to_toml(value)}\n" for key, value in raw.items()))
        self.versions[label] = sources.name
        # Errors go to our own standard error; nothing else is said.
        self.running[label] = subprocess.Popen(
            [sys.executable, "run.py", "--config", str(config)],
            cwd=sources,
            env={"LOG_LEVEL": "error", "PATH": "/usr/bin:/bin"},
        )
        self.site.world.fronts[label] = self.site.platforms[label].bind

    def end(self, label: str) -> None:
        """End a controller without a word."""
        self.site.world.fronts.pop(label, None)
        process = self.running.pop(label)
        process.kill()
        process.wait()

    async def note_leaders(self) -> None:
        """Note each leader as it wins the leader key, until cancelled."""
        noted = 0
        while True:
            (label, _), token = self.site.store.store.data.get(LEADER_KEY, (("", ""), noted))
            if token != noted:
                noted = token
                self.leaders.append(f"{label} ({self.versions[label]})")
            await asyncio.sleep(NOTED_EVERY_S)


async def accepted(site: Site, number: int, **changes: Any) -> str:
    """Submit a job until it is accepted."""
    raw = raw_job(number, accelerators=0.0, cores=0.2, memGb=0.1, **changes)
    site.world.specs[raw["nameId"]] = job(number, **raw)

    async def once() -> bool:
        for label in list(site.world.fronts):
            try:
                if (await site.call(label, "POST", "/v1/jobs", raw))[0] in (200, 201):
                    return True
            except OSError:
                continue
        return False

    await until(once, "accepted")
    return str(raw["nameId"])


async def ended(site: Site, job_id: str, state: str) -> None:
    """Poll until a job has a final state."""

    async def once() -> bool:
        for label in list(site.world.fronts):
            try:
                status, answer, _ = await site.call(label, "GET", f"/v1/jobs/{job_id}")
            except OSError:
                continue
            if status == 200:
                return bool(answer["bearing"] == state)
        return False

    await until(once, f"{job_id} {state}", 120.0)


def switched(site: Site) -> bool:
    """Whether the second data version has begun."""
    return "driftcleat/version" in site.store.store.data


async def play(folder: Path, old: Path, newest: Path) -> None:
    """Upgrade a site with work under way; where both know the second data version, go back as well."""

    class Bare(Site):
        def start(self, label: str) -> None:
            processes.start(label, old)

    site = Bare()
    processes = Processes(site, folder)
    try:
        async with site:
            noting = asyncio.ensure_future(processes.note_leaders())
            jobs = [await accepted(site, number, hands=90, voyageS=6.0) for number in range(1, 4)]
            await until(site.world.on_machines, "work has begun")
            await asyncio.sleep(SETTLED_S)
            began_with_switch = switched(site)
            for turn, label in enumerate("abc"):
                assert switched(site) == began_with_switch, "not while an old one is left"
                processes.end(label)
                jobs.append(await accepted(site, 10 + turn, hands=60, voyageS=4.0))
                processes.start(label, newest)
                await asyncio.sleep(SETTLED_S)
                jobs.append(await accepted(site, 20 + turn, hands=2, rig="group", voyageS=3.0))
            await until(lambda: switched(site), "the switch")
            jobs.append(await accepted(site, 30, hands=2, voyageS=1.0, tows=jobs[:2]))
            for turn, label in enumerate("abc" if began_with_switch else ""):
                processes.end(label)
                jobs.append(await accepted(site, 40 + turn, hands=40, voyageS=3.0, tows=jobs[-1:]))
                processes.start(label, old)
                await asyncio.sleep(SETTLED_S)
            for job_id in jobs:
                await ended(site, job_id, "done")
            noting.cancel()
            for label in list(processes.running):
                processes.end(label)
    finally:
        for process in processes.running.values():
            process.kill()
    click.echo(f"{len(jobs)} jobs done across the upgrade")
    click.echo(f"led in turn: {', '.join(processes.leaders)}")
    for version in (old.name, newest.name):
        assert any(leader.endswith(f"({version})") for leader in processes.leaders), f"{version} never led"


@click.command()
@click.option("--old", help="The commit to begin with; by default the production version.")
def main(old: str | None) -> None:
    """Play the upgrade once."""
    commit = old or tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    with tempfile.TemporaryDirectory() as folder:
        sources = {name: Path(folder) / name for name in ("old", "newest")}
        for path, name in zip(sources.values(), (commit, "HEAD"), strict=True):
            # Not our own folder: a build may have left an older package in it.
            path.mkdir()
            checkout(name, path)
        asyncio.run(play(Path(folder), sources["old"], sources["newest"]))


if __name__ == "__main__":
    main()
