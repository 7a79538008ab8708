"""A job called done by one controller is called running by the leader, which has not seen its commit's answer yet."""

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.balancer import Balancer
from standins.proxy import Link
from standins.site import Controller, Site, main
from standins.sites import HKI_DOMAINS, array, hki_grown, hki_types

# Now and then the state service takes a few hundred milliseconds to answer.
SLOW_SHARE = 0.1
SLOW_ANSWER_S = 0.3
# One-task jobs come four a second.
JOBS_PER_S = 4.0
RUN_S = 3.0
WARM_UP_S = 14.0
REFUSED_S = 20.0
PAUSE_S = 8.0
EPISODES = 3
# Users ask at all nodes right after a job's end, for so long.
CLOSE_LOOK_S = 1.0
FINAL = ("done", "cancelled")


class Users:
    """Users who submit jobs and ask about them at all nodes that users reach when they end."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._balancer = Balancer(site)
        # By job: when it was first called done or cancelled, as what, and by whom.
        self._final: dict[str, tuple[float, str, str]] = {}
        self._looking: set[str] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.broken = False

    def stop(self) -> None:
        """Stop to submit and to ask."""
        self._balancer.stop()
        for task in self._tasks:
            task.cancel()

    def spawn(self, work: Any) -> None:
        """Run something beside the rest."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def submit_all(self) -> None:
        """Submit one job after the other."""
        number = 0
        while True:
            number += 1
            self.spawn(self._site.submit(array(number, 1, RUN_S, cores=0.5, accelerators=0.0, memGb=1.0), RUN_S))
            await asyncio.sleep(1 / JOBS_PER_S)

    async def look_closely(self) -> None:
        """Begin to ask about each job whose task has completed."""
        while True:
            for job in list(self._site.fleet.completed):
                if job not in self._looking:
                    self._looking.add(job)
                    self.spawn(self._look(job))
            await asyncio.sleep(0.01)

    async def _look(self, job: str) -> None:
        end = time.monotonic() + CLOSE_LOOK_S
        while time.monotonic() < end:
            for controller in self._site.controllers.values():
                if self._balancer.has_users(controller):
                    await self._poll(controller, job)
            await asyncio.sleep(0.02)

    async def _poll(self, controller: Controller, job: str) -> None:
        sent_at = time.monotonic()
        answer = await self._site.ask(controller, "GET", f"/v1/jobs/{job}", timeout_s=2.0)
        if answer.status not in (200, 404):
            return
        bearing = answer.value.get("bearing", "unknown")
        before = self._final.get(job)
        if before is None:
            if bearing in FINAL:
                self._final[job] = (time.monotonic(), bearing, controller.label)
        elif sent_at > before[0] and bearing != before[1]:
            self.broken = True
            self._site.log(
                f"BROKEN went_back: {job}: {before[2]} said {before[1]}, then {controller.label} said {bearing}"
            )


async def case(record: Path, trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    async with Site(hki_grown(), HKI_DOMAINS, hki_types(3.0), 2, record) as site:
        leader = await site.leader()
        site.log(f"{leader.label} leads")
        rng = random.Random(7)
        site.store.answer_delay_s = lambda body: SLOW_ANSWER_S if rng.random() < SLOW_SHARE else site.store.latency_s
        users = Users(site)
        users.spawn(users.submit_all())
        await asyncio.sleep(WARM_UP_S)
        users.spawn(users.look_closely())
        for _ in range(EPISODES):
            if trouble:
                await site.set_peer_links(Link.REFUSE)
            await asyncio.sleep(REFUSED_S)
            if trouble:
                await site.set_peer_links(Link.PASS)
            if users.broken:
                break
            await asyncio.sleep(PAUSE_S)
        users.stop()
        return users.broken


main(case)
