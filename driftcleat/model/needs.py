"""Which jobs wait for which others: the graph of a term, kept up to date with each commit. Pure, and never recursive.

A job is ready once all jobs that it needs are committed as done. The cancellation of a job is passed on to all that
need it: they are called cancelled from that moment, their own records follow in batches of their own. None of their
tasks has ever started.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Above all levels there are: no rank is less urgent.
LEAST = 1 << 30
NO_DEADLINE = float("inf")


@dataclass(frozen=True, slots=True)
class Urgency:
    """How urgent a job is by itself: its rank's level, when it should be done, and how long it is reckoned to run."""

    level: int = LEAST
    due: float = NO_DEADLINE
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Inherited:
    """The most urgent level of a job and of all that need it, and when it should be done for the deadlines of those.

    A job's own deadline is not in it: to go by that among jobs of one rank would serve those first that are late
    already, and in trials rather fewer jobs met theirs (`docs/limits.md`).
    """

    level: int = LEAST
    due: float = NO_DEADLINE


class NeedsGraph:
    """Who waits for whom among the jobs that are not over."""

    def __init__(self) -> None:
        # By job: all that it needs and what of it is not done; by needed job: who needs it.
        self.needs: dict[str, frozenset[str]] = {}
        self.unmet: dict[str, set[str]] = {}
        self.dependents: dict[str, set[str]] = {}
        # Jobs below a cancelled one whose own cancellation is not committed yet, in the order in which it was seen.
        self.cancel_pending: dict[str, None] = {}
        self._own: dict[str, Urgency] = {}
        self._inherited: dict[str, Inherited] = {}

    def ready(self, job_id: str) -> bool:
        """Whether all that a job needs is done."""
        return not self.unmet.get(job_id)

    def urgency(self, job_id: str) -> Inherited:
        """Return how urgent a job is for itself and for those that need it, directly or through others."""
        return self._inherited.get(job_id, Inherited())

    def add(
        self,
        job_id: str,
        needs: Iterable[str],
        unmet: Iterable[str],
        own: Urgency,
        cancelled: bool = False,
    ) -> set[str]:
        """Take in a job, `cancelled` if something that it needs is; return those whose urgency changed."""
        self._own[job_id] = own
        self.needs[job_id] = frozenset(needs)
        open_needs = set(unmet)
        if open_needs:
            self.unmet[job_id] = open_needs
        for need in self.needs[job_id]:
            self.dependents.setdefault(need, set()).add(job_id)
        if cancelled or any(need in self.cancel_pending for need in open_needs):
            self._cascade([job_id])
        return self._propagate([job_id])

    def done(self, job_id: str) -> list[str]:
        """A job is done: return those that became ready by it."""
        ready = []
        for dependent in sorted(self.dependents.get(job_id, ())):
            open_needs = self.unmet.get(dependent)
            if open_needs is not None and job_id in open_needs:
                open_needs.discard(job_id)
                if not open_needs:
                    del self.unmet[dependent]
                    ready.append(dependent)
        return ready

    def cancelled(self, job_id: str) -> None:
        """A job is cancelled: so is all that needs it."""
        self.cancel_pending.pop(job_id, None)
        self._cascade(sorted(self.dependents.get(job_id, ())))

    def _cascade(self, stack: list[str]) -> None:
        while stack:
            job_id = stack.pop()
            if job_id in self._own and job_id not in self.cancel_pending:
                self.cancel_pending[job_id] = None
                stack.extend(sorted(self.dependents.get(job_id, ())))

    def remove(self, job_id: str) -> set[str]:
        """A job is over and asks for nothing any more; return those whose urgency changed."""
        needs = self.needs.pop(job_id, frozenset())
        for known in (self._own, self._inherited, self.unmet, self.cancel_pending):
            known.pop(job_id, None)
        for need in needs:
            others = self.dependents.get(need)
            if others is not None:
                others.discard(job_id)
                if not others:
                    del self.dependents[need]
        return self._propagate(sorted(need for need in needs if need in self._own))

    def _propagate(self, stack: list[str]) -> set[str]:
        """Work urgencies out anew, from these jobs up to all that they need; return those that changed."""
        changed: set[str] = set()
        while stack:
            job_id = stack.pop()
            own = self._own.get(job_id)
            if own is None:
                continue
            found = self._work_out(job_id, own)
            if found != self._inherited.get(job_id):
                self._inherited[job_id] = found
                changed.add(job_id)
                stack.extend(self.needs.get(job_id, ()))
        return changed

    def _work_out(self, job_id: str, own: Urgency) -> Inherited:
        """Return a job's urgency from its own and from that of the jobs which need it."""
        level, due = own.level, NO_DEADLINE
        for other in self.dependents.get(job_id, ()):
            inherited = self._inherited.get(other)
            if inherited is not None:
                theirs = self._own[other]
                level = min(level, inherited.level)
                due = min(due, min(theirs.due, inherited.due) - theirs.run_s)
        return Inherited(level, due)
