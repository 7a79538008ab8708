"""Who leads just now, and this controller's own term while it is the one."""

import asyncio
from typing import TYPE_CHECKING

from driftcleat.leadership.election import Election
from driftcleat.leadership.role import Role

if TYPE_CHECKING:
    from driftcleat.scheduler import Scheduler


class ActiveTerm:
    """The one place where the term in force is kept, and where what waits for it is woken."""

    def __init__(self) -> None:
        self.election: Election
        self.scheduler: Scheduler | None = None
        # Set when there may be something to decide.
        self.work_available = asyncio.Event()
        self._committed = asyncio.Event()
        # Set with each commit, for whoever sizes the fleet.
        self.state_changed = asyncio.Event()

    @property
    def may_decide(self) -> bool:
        """Whether this controller leads for certain."""
        return self.scheduler is not None and self.election.may_decide

    @property
    def deciding_scheduler(self) -> "Scheduler | None":
        """The term in which decisions may be made."""
        return self.scheduler if self.may_decide else None

    @property
    def enforcing_scheduler(self) -> "Scheduler | None":
        """The term whose committed stops are to be carried out: also while this leader is unsure."""
        unsure = self.election.role is Role.UNCONFIRMED_LEADER and self.election.may_answer_heartbeats
        return self.scheduler if unsure or self.may_decide else None

    @property
    def leader(self) -> str | None:
        """The leader's label as far as known."""
        return self.election.leader

    def wake_committer(self) -> None:
        """There may be something to decide."""
        self.work_available.set()

    def announce_commit(self) -> None:
        """What was committed, or given up, is visible: whoever waits for that looks again."""
        self._committed.set()
        self._committed = asyncio.Event()
        self.state_changed.set()

    async def wait_for_commit(self) -> None:
        """Wait for the next announcement."""
        await self._committed.wait()

    def step_down(self, scheduler: "Scheduler", why: str) -> None:
        """Step down from a term, if it is still the one in force."""
        if self.scheduler is scheduler:
            self.election.request_step_down(why)
