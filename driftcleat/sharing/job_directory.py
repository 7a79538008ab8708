"""Claims: one key a job, created if it is absent, names the share on which the job is homed for ever."""

from collections import OrderedDict
from typing import Any

from driftcleat import wire
from driftcleat.sharing.keys import CLAIMS, FIRST_SHARE
from driftcleat.store.client import StoreClient
from driftcleat.store.errors import CompareFailedError, OutcomeUnknownError
from driftcleat.store.keys import ENDED_JOBS_PREFIX, JOBS_PREFIX
from driftcleat.wire import state as messages

# Homes that are kept in memory; a home never changes.
KEPT_HOMES = 50_000


class Claims:
    """Finds and makes claims. A job without one that the first share has a record of is from before sharing."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._homes: OrderedDict[str, int] = OrderedDict()

    def known(self, job_id: str) -> int | None:
        """Return the share of a job if it has been found or claimed here before."""
        return self._homes.get(job_id)

    async def home(self, job_id: str, most_wait_s: float | None = None) -> int | None:
        """Return the share of a job; None if nobody has claimed it. `StoreError` if that cannot be said."""
        known = self.known(job_id)
        if known is not None:
            return known
        key_value = await self._store.get(CLAIMS + job_id, most_wait_s)
        if key_value is not None:
            return self._note(job_id, wire.decode(bytes(key_value.value), int))
        for prefix in (JOBS_PREFIX, ENDED_JOBS_PREFIX):
            if await self._store.get(prefix + job_id, most_wait_s) is not None:
                return self._note(job_id, FIRST_SHARE)
        return None

    async def claim(self, job_id: str, share: int) -> int:
        """Home a job on a share, unless it is homed already; return its home."""
        conditions = [messages.Compare(prefix + job_id, 0) for prefix in (CLAIMS, JOBS_PREFIX, ENDED_JOBS_PREFIX)]
        changes: list[Any] = [messages.Put(CLAIMS + job_id, share)]
        try:
            await self._store.commit(messages.Transaction(conditions, changes))
        except (CompareFailedError, OutcomeUnknownError):
            home = await self.home(job_id)
            if home is None:
                raise
            return home
        return self._note(job_id, share)

    def _note(self, job_id: str, share: int) -> int:
        self._homes[job_id] = share
        while len(self._homes) > KEPT_HOMES:
            self._homes.popitem(last=False)
        return share
