"""Lower limits are announced and the controllers restarted: a running job's record is too large for ever after."""

import asyncio
import copy
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.site import NotRunError, Site, main
from standins.sites import HKI_DOMAINS, array, hki_grown, hki_types
from standins.waiting import left_waiting, log_discards

# A sweep with a task on each of many machines, and a job that needs a whole machine of another type.
SWEEP, WATCHED = 398, 412
HANDS = 60
# Run times are often wrong by half, sometimes by more: some tasks of the sweep end early, the others run on.
RUN_S = 300.0
SHORT_RUN_S = {index: 14.0 + index / 5 for index in range(0, HANDS, 5)}
# Some machines are up within two seconds; the other type takes nearly its usual time.
BOOT_RATIOS = {"kide-24": 0.08, "tunturi-96": 0.85}
# Controllers are restarted one after the other, and are back after this time.
ROLL_EVERY_S = 10.0
BACK_AFTER_S = 4.0
NEXT_LIMITS = {"rps": 200.0, "write_rps": 35.0, "value_kb": 2.0, "txn_ops": 8}


async def roll(site: Site) -> None:
    """Restart all controllers one after the other with the settings as they are now, the leader last."""
    leader = await site.leader()
    others = [controller for controller in site.controllers.values() if controller is not leader]
    for controller in (*others, leader):
        began_at = time.monotonic()
        await site.kill(controller)
        site.write_settings(controller)
        await asyncio.sleep(BACK_AFTER_S)
        await site.start(controller)
        if controller is not leader:
            await asyncio.sleep(max(0.0, began_at + ROLL_EVERY_S - time.monotonic()))


async def case(record: Path, trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    settings = copy.deepcopy(hki_grown())
    async with Site(settings, HKI_DOMAINS, hki_types(25.0), 30, record) as site:
        site.cloud.boot_ratios = BOOT_RATIOS
        # The first leader has learnt the machine types by then.
        await asyncio.sleep(0.5)
        sweep = array(SWEEP, HANDS, RUN_S, cores=10.0, memGb=54.0, builds=["kide-24"])
        whole = {"cores": 86.0, "accelerators": 8.0, "memGb": 460.0, "builds": ["tunturi-96"]}
        watched = array(WATCHED, 1, 60.0, cargo="ocr-finetune", crew="platform-pohjola-01", rank="standard", **whole)
        for index, run_s in SHORT_RUN_S.items():
            site.fleet.task_run_s[f"{sweep['nameId']}/{index}"] = run_s
        if not (await site.submit(sweep, RUN_S) and await site.submit(watched, 60.0)):
            raise NotRunError("a job was not accepted")
        if trouble:
            settings["state"]["next"] = NEXT_LIMITS
            site.log(f"the settings announce lower limits of the state service: {NEXT_LIMITS}")
        await roll(site)
        site.log("every controller has been restarted")
        broken = await left_waiting(site, watched, time.monotonic())
        log_discards(site)
        return broken


main(case)
