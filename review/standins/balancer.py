"""The load balancer's view: which controllers are healthy by their answers to GET /ready."""

import asyncio
from collections import deque

from .site import Controller, Site
from .web import NoAnswerError, ask

PROBE_PAUSE_S = 1.0
PROBE_TIMEOUT_S = 1.0
CONSECUTIVE_FAILURES = 2
RECENT_PROBES = 6
RECENT_FAILURES = 3
MIN_PAUSE_S = 3.0
# Open connections of an unhealthy node are reset after this time.
KEPT_OPEN_S = 5.0


class Balancer:
    """Probes every controller about once a second, and knows which of them get new connections."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._probes: dict[str, deque[bool]] = {label: deque(maxlen=RECENT_PROBES) for label in site.controllers}
        self._removed_at: dict[str, float] = {}
        self._tasks = [asyncio.ensure_future(self._watch(controller)) for controller in site.controllers.values()]

    def has_users(self, controller: Controller) -> bool:
        """Return whether users reach a controller: it is healthy, or has been unhealthy for less than 5 s.

        New connections go to healthy nodes only, but open ones stay where they are for so long.
        """
        removed_at = self._removed_at.get(controller.label)
        if removed_at is not None:
            return asyncio.get_running_loop().time() - removed_at < KEPT_OPEN_S
        return bool(self._probes[controller.label])

    def stop(self) -> None:
        """Stop to probe."""
        for task in self._tasks:
            task.cancel()

    async def _watch(self, controller: Controller) -> None:
        probes, loop = self._probes[controller.label], asyncio.get_running_loop()
        while True:
            try:
                passed = (await ask(controller.bind, "GET", "/ready", timeout_s=PROBE_TIMEOUT_S)).status == 200
            except NoAnswerError:
                passed = False
            probes.append(passed)
            removed_at = self._removed_at.get(controller.label)
            if removed_at is None:
                last = list(probes)[-CONSECUTIVE_FAILURES:]
                failed = len(last) == CONSECUTIVE_FAILURES and not any(last)
                if failed or list(probes).count(False) >= RECENT_FAILURES:
                    self._removed_at[controller.label] = loop.time()
                    self._site.log(f"the load balancer takes {controller.label} for unhealthy")
            elif loop.time() - removed_at >= MIN_PAUSE_S and list(probes)[-2:] == [True, True]:
                del self._removed_at[controller.label]
                probes.clear()
                probes.append(True)
                self._site.log(f"the load balancer takes {controller.label} for healthy again")
            await asyncio.sleep(PROBE_PAUSE_S)
