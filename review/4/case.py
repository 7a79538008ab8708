"""A machine that fails every task strands an array: no machine is rented for it any more."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.deployments import helsinki  # noqa: E402
from standins2.site import Site, main  # noqa: E402

# How long the job is followed; it takes about 25 s on a sound machine.
PATIENCE_S = 100.0


async def case(site: Site, trouble: bool) -> tuple[bool, str]:
    """Run one array of 8 tasks; the first machine that is rented for it fails every task that it starts."""
    job = site.job(
        412,
        10.0,
        hands=8,
        cores=10.0,
        accelerators=1.0,
        memGb=54.0,
        imageGb=0.5,
        rank="best_effort",
        mooringS=15.0,
        stowS=4.0,
    )
    if not await job.submit():
        raise RuntimeError("the job was not accepted")
    following = asyncio.get_running_loop().create_task(job.follow())
    began_at = time.monotonic()
    end = began_at + PATIENCE_S
    while time.monotonic() < end and not following.done():
        first = site.cloud.workers.get("vm-000001")
        if trouble and first is not None and not first.faulty:
            first.faulty = True
            site.record("disruption", text="vm-000001 fails every task that it starts")
        await asyncio.sleep(0.1)
    workers = site.cloud.workers.values()
    live = sum(not worker.gone for worker in workers)
    text = (
        f"the array is {job.final or 'not over'} after {time.monotonic() - began_at:.0f} s, "
        f"{len(job.upload.done_tasks)} of 8 tasks done; {len(workers)} machines rented in all, {live} left"
    )
    return job.final == "done" and not site.cloud.broken, text


def site() -> Site:
    """Return the deployment."""
    settings, kinds = helsinki()
    return Site(settings, kinds, HERE / "record.txt")


if __name__ == "__main__":
    main(site, case)
