"""The current leader term of this process, and the events that report new work and commits.

The scheduler is a type parameter, so this package does not import the scheduler package.
"""

import asyncio
from typing import Generic, TypeVar

from driftcleat.leadership.election import Election
from driftcleat.leadership.role import Role

SchedulerT = TypeVar("SchedulerT")


class ActiveTerm(Generic[SchedulerT]):
    """Holds the scheduler of the current leader term; None while this controller does not lead."""

    # Set once by `attach`; reading it earlier raises AttributeError. A plain attribute, since each heartbeat reads it
    # and a property would cost a call.
    election: Election

    def __init__(self) -> None:
        self.scheduler: SchedulerT | None = None
        # Set when a batch may have to be built.
        self.work_available = asyncio.Event()
        # Set after each commit; wakes the autoscaler and the provisioner.
        self.state_changed = asyncio.Event()
        self._committed = asyncio.Event()

    def attach(self, election: Election) -> None:
        """Set the election; to be called once, before any loop or server starts.

        The election cannot be a constructor argument, since its callbacks are built with the active term.
        """
        self.election = election

    @property
    def may_decide(self) -> bool:
        """Whether this controller leads with a valid lease, and has recovered the cluster state."""
        return self.scheduler is not None and self.election.may_decide

    @property
    def deciding_scheduler(self) -> SchedulerT | None:
        """The scheduler if this controller may make and commit decisions, else None."""
        return self.scheduler if self.may_decide else None

    @property
    def enforcing_scheduler(self) -> SchedulerT | None:
        """The scheduler if its committed stops are to be carried out, else None.

        An unconfirmed leader carries them out too, for as long as it may answer heartbeats.
        """
        unconfirmed = self.election.role is Role.UNCONFIRMED_LEADER and self.election.may_respond_to_heartbeats
        return self.scheduler if unconfirmed or self.may_decide else None

    @property
    def leader(self) -> str | None:
        """The label of the last known leader; None if no leader is known."""
        return self.election.leader

    def wake_committer(self) -> None:
        """Wake the commit pipeline, since a batch may have to be built."""
        self.work_available.set()

    def announce_commit(self) -> None:
        """Wake all callers of `wait_for_commit`, after a batch was committed or discarded, or the term has ended."""
        self._committed.set()
        self._committed = asyncio.Event()
        self.state_changed.set()

    async def wait_for_commit(self) -> None:
        """Wait for the next `announce_commit`. The caller must check the state again."""
        await self._committed.wait()

    def step_down(self, scheduler: SchedulerT, reason: str) -> None:
        """Have the election step down from the term of `scheduler`; no effect if that term has already ended."""
        if self.scheduler is scheduler:
            self.election.request_step_down(reason)
