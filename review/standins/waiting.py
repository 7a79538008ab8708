"""The check that no job is left waiting while a machine that fits has room and its team is under its limit."""

import asyncio
import time
from typing import Any

from .site import Site

# How long a job may be left waiting once the troubles are over.
WAITING_LIMIT_S = 90.0
POLL_PAUSE_S = 5.0


def has_room(site: Site, job: dict[str, Any]) -> bool:
    """Return whether a machine that fits a job has room for one of its tasks; its team must be far from its limit."""
    return any(
        job["harbor"] in (None, worker.zone)
        and (job["builds"] is None or worker.build in job["builds"])
        and all(job[name] <= left for name, left in worker.free().items())
        for worker in site.cloud.workers.values()
        if not worker.spot or job["driftwood"]
    )


async def left_waiting(site: Site, job: dict[str, Any], quiet_since: float) -> bool:
    """Return whether a job waits for longer than it may; the troubles are over since `quiet_since`."""
    name = job["nameId"]
    room_since: float | None = None
    polled_at = 0.0
    while True:
        now = time.monotonic()
        if site.fleet.started.get(name):
            site.log(f"{name} started")
            return False
        if not has_room(site, job):
            room_since = None
        elif room_since is None:
            room_since = now
            site.log(f"a machine that fits has room for {name}")
        if now - polled_at > POLL_PAUSE_S:
            polled_at = now
            await site.ask(site.fleet.rng.choice(list(site.controllers.values())), "GET", f"/v1/jobs/{name}")
        if room_since is not None and now - max(room_since, quiet_since) > WAITING_LIMIT_S:
            site.log(f"BROKEN: {name} is left waiting for {WAITING_LIMIT_S} s while a machine that fits has room")
            return True
        await asyncio.sleep(0.2)


def log_discards(site: Site) -> None:
    """Record how often each controller's log names a batch as discarded."""
    for controller in site.controllers.values():
        lines = [line for line in site.controller_log(controller).splitlines() if "discarded" in line]
        site.log(f"{controller.label} names {len(lines)} batches as discarded, the last: {lines[-1:]}")
