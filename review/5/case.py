"""A gang that lost a machine never starts again: one task gives up waiting before the other has its image."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.deployments import helsinki  # noqa: E402
from standins2.site import Site, main  # noqa: E402

RUN_S = 40.0
NOTICE_S = 12.0
PATIENCE_S = 105.0


async def case(site: Site, trouble: bool) -> tuple[bool, str]:
    """Run a gang of two on two cheap machines, and take one of them back with notice while it runs."""
    # Nominally 33 s at 0.15 GB/s. The first machines are a third faster than that, later ones a third slower.
    site.cloud.fetch_factor = 4 / 3
    job = site.job(
        412,
        RUN_S,
        rig="group",
        rank="standard",
        cargo="ocr-finetune",
        hands=2,
        cores=21.0,
        accelerators=4.0,
        memGb=77.0,
        imageGb=5.0,
        builds=["kide-24"],
        together=True,
        driftwood=True,
        mooringS=45.0,
        stowS=2.0,
    )
    began_at = time.monotonic()
    if not await job.submit():
        raise RuntimeError("the job was not accepted")
    following = asyncio.get_running_loop().create_task(job.follow())
    warned = False
    while time.monotonic() < began_at + PATIENCE_S and not following.done():
        running = [gang for gang in site.cloud.gangs.values() if gang.started_at is not None]
        if trouble and running and not warned and time.monotonic() - (running[0].started_at or 0.0) > 3.0:
            warned = True
            site.cloud.fetch_factor = 2 / 3
            site.cloud.warn(max(task.worker.name for task in running[0].tasks.values()), NOTICE_S)
        await asyncio.sleep(0.1)
    if trouble and not warned:
        raise RuntimeError("the gang did not run before the disruption")
    attempts = sorted(site.cloud.gangs.items(), key=lambda item: item[0][1])
    text = f"the gang is {job.final or 'not over'} after {time.monotonic() - began_at:.0f} s; attempts: " + ", ".join(
        f"{attempt} {'ran' if gang.started_at is not None else 'never ran'}" for (_, attempt), gang in attempts
    )
    # One attempt ran before the disruption; the gang has to run again after it.
    ran_again = len([gang for gang in site.cloud.gangs.values() if gang.started_at is not None]) >= 2
    return (ran_again if trouble else job.final == "done") and not site.cloud.broken, text


def site() -> Site:
    """Return the deployment."""
    settings, kinds = helsinki()
    return Site(settings, kinds, HERE / "record.txt")


if __name__ == "__main__":
    main(site, case)
