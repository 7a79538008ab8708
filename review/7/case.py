"""A gang of 1,000 small tasks: all of them complete, but the job is never called done."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.deployments import helsinki  # noqa: E402
from standins2.site import Site, main  # noqa: E402

FEW, MANY = 100, 1000
# The time until all tasks must have completed, and the time after that in which the user must be told.
RUN_WITHIN_S = 60.0
TOLD_WITHIN_S = 45.0


async def case(site: Site, trouble: bool) -> tuple[bool, str]:
    """Run one gang, and ask for it until well after its last task has completed."""
    hands = MANY if trouble else FEW
    job = site.job(
        412,
        10.0,
        rig="group",
        cargo="identity-align",
        hands=hands,
        cores=0.5,
        memGb=0.5,
        together=True,
        mooringS=20.0,
    )
    if not await job.submit():
        raise RuntimeError("the job was not accepted")
    following = asyncio.get_running_loop().create_task(job.follow(3.0))
    end = time.monotonic() + RUN_WITHIN_S
    while len(job.upload.done_tasks) < hands:
        if time.monotonic() > end:
            return False, f"{len(job.upload.done_tasks)} of {hands} tasks are done after {RUN_WITHIN_S:.0f} s"
        await asyncio.sleep(0.1)
    done_at = time.monotonic()
    site.record("all_tasks_done", tasks=hands)
    while time.monotonic() < done_at + TOLD_WITHIN_S and not following.done():
        await asyncio.sleep(0.1)
    if following.done():
        return not site.cloud.broken, f"all {hands} tasks are done, and the job is called {job.final}"
    return False, f"all {hands} tasks are done; {TOLD_WITHIN_S:.0f} s later the job is called {job.polls[-1][2]}"


def site() -> Site:
    """Return the deployment."""
    settings, kinds = helsinki()
    return Site(settings, kinds, HERE / "record.txt")


if __name__ == "__main__":
    main(site, case)
