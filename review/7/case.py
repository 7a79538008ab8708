"""After the state service has lowered its limits, a gang of 100 tasks is accepted and never starts."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.deployments import kandla  # noqa: E402
from standins2.site import TROUBLE, Site, main  # noqa: E402

LOWERED = {"rps": 250.0, "write_rps": 70.0, "value_kb": 2.0, "txn_ops": 4}
HANDS = 100
PATIENCE_S = 95.0


async def case(site: Site, trouble: bool) -> tuple[bool, str]:
    """Lower the limits, then run one gang with a machine for each of its tasks."""
    site.cloud.most_machines = 120
    if trouble:
        site.state.lower(LOWERED)
        site.record("disruption", text="the state service has lowered its limits", limits=LOWERED)
    await asyncio.sleep(5.0)
    job = site.job(
        412,
        10.0,
        crew="dock-ops",
        rig="group",
        cargo="tide-train",
        rank="high",
        hands=HANDS,
        cores=10.0,
        accelerators=2.0,
        memGb=77.0,
        imageGb=1.0,
        together=True,
        mooringS=45.0,
        stowS=4.0,
    )
    if not await job.submit():
        return True, f"the gang is refused with {job.refused}"
    following = asyncio.get_running_loop().create_task(job.follow())
    began_at = time.monotonic()
    end = began_at + PATIENCE_S
    most_up = 0
    while time.monotonic() < end and not following.done():
        most_up = max(most_up, sum(worker.up and not worker.gone for worker in site.cloud.workers.values()))
        await asyncio.sleep(0.1)
    text = (
        f"the gang of {HANDS}, accepted, is {job.final or 'not over'} after {time.monotonic() - began_at:.0f} s; "
        f"{most_up} machines were up for it at once, {site.cloud.starts} tasks were started"
    )
    return job.final == "done" and not site.cloud.broken, text


def site() -> Site:
    """Return the deployment; its settings announce the lower limits."""
    settings, kinds = kandla()
    if TROUBLE:
        settings["state"]["next"] = LOWERED
    return Site(settings, kinds, HERE / "record.txt")


if __name__ == "__main__":
    main(site, case)
