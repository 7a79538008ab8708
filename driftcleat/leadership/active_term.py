"""The term in force in this process, and the events that wake whoever waits for it.

This package knows nothing of what a leader decides: the scheduler of a term is a type parameter here, so that the
scheduler and all that uses both may import this package, and not the other way round.
"""

import asyncio
from typing import Generic, TypeVar

from driftcleat.leadership.election import Election
from driftcleat.leadership.role import Role

SchedulerT = TypeVar("SchedulerT")


class ActiveTerm(Generic[SchedulerT]):
    """The one place that keeps the term in force: its scheduler, None while this controller does not lead."""

    # Set once by `attach`. Reading it earlier is an AttributeError; not a property, since every heartbeat reads it.
    election: Election

    def __init__(self) -> None:
        self.scheduler: SchedulerT | None = None
        # Set when there may be something to decide.
        self.work_available = asyncio.Event()
        # Set with each commit, for whoever sizes the fleet.
        self.state_changed = asyncio.Event()
        self._committed = asyncio.Event()

    def attach(self, election: Election) -> None:
        """Give the election, once, before any loop or server starts.

        Not given to the constructor, since what the election calls is itself made with the active term.
        """
        self.election = election

    @property
    def may_decide(self) -> bool:
        """Whether this controller leads for certain."""
        return self.scheduler is not None and self.election.may_decide

    @property
    def deciding_scheduler(self) -> SchedulerT | None:
        """The scheduler of the term if decisions may be made in it."""
        return self.scheduler if self.may_decide else None

    @property
    def enforcing_scheduler(self) -> SchedulerT | None:
        """The scheduler of the term if its committed stops are to be carried out: also while it is unconfirmed."""
        unconfirmed = self.election.role is Role.UNCONFIRMED_LEADER and self.election.may_answer_heartbeats
        return self.scheduler if unconfirmed or self.may_decide else None

    @property
    def leader(self) -> str | None:
        """The leader's label as far as known."""
        return self.election.leader

    def wake_committer(self) -> None:
        """There may be something to decide."""
        self.work_available.set()

    def announce_commit(self) -> None:
        """A batch was committed or given up: wake whoever waits for that to look at the state again."""
        self._committed.set()
        self._committed = asyncio.Event()
        self.state_changed.set()

    async def wait_for_commit(self) -> None:
        """Wait for the next announcement."""
        await self._committed.wait()

    def step_down(self, scheduler: SchedulerT, why: str) -> None:
        """Step down from a term, if it is still the one in force."""
        if self.scheduler is scheduler:
            self.election.request_step_down(why)
