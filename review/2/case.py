"""A leader builds a transaction that is too large again and again: nothing is committed any more."""

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.site import NotRunError, Site, main
from standins.sites import HKI_DOMAINS, array, hki_grown, hki_types
from standins.waiting import left_waiting, log_discards

# Probe jobs of one task, and the reports that need all of them.
PROBES = 760
REPORTS = 32
REPORT_SPACING_S = 0.002
IMAGE = "registry.pohjola/archive/ledger-seal@sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
# The state service answers in 30 times its usual 4 ms, for this long.
SLOW_FACTOR = 30.0
SLOW_S = 1.5
# The boot time that this run's machines have, of the type's: usually 0.6 to 1.5.
BOOT_RATIO = 0.6
USER_PATIENCE_S = 60.0
PROBE_RUN_S = 600.0
REPORT_RUN_S = 8.0
WATCHED_RUN_S = 3.0
WATCHED = 999_999
KEEPER = 999_998


def numbers() -> list[int]:
    """Return the ids that the users choose: they come in no order."""
    return random.Random(5).sample(range(100_000, 900_000), PROBES + REPORTS)


def small_job(number: int, **changes: Any) -> dict[str, Any]:
    """Return an urgent job of one small task that only runs in one zone."""
    small = {"crew": "platform-pohjola-01", "rank": "high", "cores": 1.0, "accelerators": 0.0, "memGb": 1.0}
    return array(number, 1, WATCHED_RUN_S, harbor="espoo-b", **small, **changes)


async def submit_probes(site: Site, ids: list[int]) -> None:
    """Submit all probe jobs, some at a time, and wait until every one is accepted."""
    slots = asyncio.Semaphore(40)

    async def submit(number: int) -> None:
        async with slots:
            if not await site.submit(array(number, 1, PROBE_RUN_S, harbor="vantaa-a"), PROBE_RUN_S):
                raise NotRunError(f"probe {number} was not accepted")

    await asyncio.gather(*(submit(number) for number in ids))
    site.log(f"{len(ids)} probe jobs are accepted")


async def submit_reports(site: Site, ids: list[int], probes: list[int]) -> list["asyncio.Task[bool]"]:
    """Submit the reports one shortly after the other; return their users' attempts."""
    tows = [f"req-{number:06d}" for number in probes]
    attempts = []
    for number in ids:
        raw = array(number, 1, REPORT_RUN_S, cargo="ledger-seal", rank="high", hull=IMAGE, tows=tows)
        attempts.append(asyncio.ensure_future(site.submit(raw, REPORT_RUN_S, USER_PATIENCE_S)))
        await asyncio.sleep(REPORT_SPACING_S)
    return attempts


async def case(record: Path, trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    async with Site(hki_grown(), HKI_DOMAINS, hki_types(25.0), 2, record) as site:
        site.cloud.boot_ratios["kide-24"] = BOOT_RATIO
        leader = await site.leader()
        site.log(f"{leader.label} leads")
        ids = numbers()

        async def keeper_runs() -> bool:
            return bool(site.fleet.started.get(f"req-{KEEPER:06d}"))

        probes, reports = ids[:PROBES], ids[PROBES:]
        if not await site.submit(small_job(KEEPER, rig="daemon", voyageS=0.0), PROBE_RUN_S):
            raise NotRunError("the service was not accepted")
        await site.wait_until(site.cloud.has_rented, "a machine is rented for the service")
        await submit_probes(site, probes)
        await site.wait_until(keeper_runs, "the service runs")
        # The writes that the state service allows in a second have come together again.
        await asyncio.sleep(1.2)
        usual_s = site.store.latency_s
        if trouble:
            site.store.latency_s = usual_s * SLOW_FACTOR
            site.log("the state service answers slowly")
        watched = asyncio.ensure_future(site.submit(small_job(WATCHED), WATCHED_RUN_S))
        await asyncio.sleep(0.01)
        attempts = await submit_reports(site, reports, probes)
        await asyncio.sleep(SLOW_S - REPORTS * REPORT_SPACING_S)
        site.store.latency_s = usual_s
        site.log("the state service answers as usual")
        quiet_since = time.monotonic()
        if not watched.done():
            raise NotRunError("the watched job was not accepted")
        cancelling = asyncio.ensure_future(cancel(site, KEEPER))
        broken = await left_waiting(site, site.fleet.jobs[f"req-{WATCHED:06d}"], quiet_since)
        accepted = sum(attempt.done() and attempt.result() for attempt in attempts)
        site.log(f"{accepted} of {len(attempts)} reports were accepted; cancellation answered: {cancelling.done()}")
        log_discards(site)
        for attempt in (*attempts, cancelling):
            attempt.cancel()
        return broken


async def cancel(site: Site, number: int) -> None:
    """Cancel a job as its user does, and repeat it until there is an answer."""
    controllers = list(site.controllers.values())
    while True:
        answer = await site.ask(site.fleet.rng.choice(controllers), "POST", f"/v1/jobs/req-{number:06d}/cancel")
        if answer.status == 200:
            return
        await asyncio.sleep(2.0)


main(case)
