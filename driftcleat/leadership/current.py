"""Who leads just now, and this controller's own term while it is the one."""

import asyncio
from typing import TYPE_CHECKING

from .election import Election, Role

if TYPE_CHECKING:
    from driftcleat.term import Term


class CurrentTerm:
    """The one place where the term in force is kept, and where what waits for it is woken."""

    def __init__(self) -> None:
        self.election: Election
        self.term: Term | None = None
        # Set when there may be something to decide.
        self.work = asyncio.Event()
        self._committed = asyncio.Event()
        # Set with each commit, for whoever sizes the fleet.
        self.changed = asyncio.Event()

    @property
    def holds(self) -> bool:
        """Whether this controller leads for certain."""
        return self.term is not None and self.election.holds

    @property
    def to_decide(self) -> "Term | None":
        """The term in which decisions may be made."""
        return self.term if self.holds else None

    @property
    def to_enforce(self) -> "Term | None":
        """The term whose committed stops are to be carried out: also while this leader is unsure."""
        unsure = self.election.role is Role.UNSURE and self.election.answers_workers
        return self.term if unsure or self.holds else None

    @property
    def leader(self) -> str | None:
        """The leader's label as far as known."""
        return self.election.leader

    def wake_writer(self) -> None:
        """There may be something to decide."""
        self.work.set()

    def announce_commit(self) -> None:
        """What was committed, or given up, is visible: whoever waits for that looks again."""
        self._committed.set()
        self._committed = asyncio.Event()
        self.changed.set()

    async def commit(self) -> None:
        """Wait for the next announcement."""
        await self._committed.wait()

    def end(self, term: "Term", why: str) -> None:
        """Step down from a term, if it is still the one in force."""
        if self.term is term:
            self.election.ask_resign(why)
