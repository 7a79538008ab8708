"""Which jobs wait for which others: the graph of a term, kept up to date with each commit. Pure, and never recursive.

A job is ready once all jobs that it needs are committed as done. The cancellation of a job is passed on to all that
need it: they are called cancelled from that moment, their own records follow in batches of their own. None of their
tasks has ever started.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Above all levels there are: no rank is less urgent.
LOWEST_LEVEL = 1 << 30
NO_DEADLINE = float("inf")


@dataclass(frozen=True, slots=True)
class OwnPriority:
    """How urgent a job is by itself: its rank's level, when it should be done, and how long it is reckoned to run."""

    level: int = LOWEST_LEVEL
    deadline: float = NO_DEADLINE
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InheritedPriority:
    """The most urgent level of a job and of all that need it, and when it should be done for the deadlines of those.

    A job's own deadline is not in it: to go by that among jobs of one rank would serve those first that are late
    already, and in trials rather fewer jobs met theirs (`docs/limits.md`).
    """

    level: int = LOWEST_LEVEL
    deadline: float = NO_DEADLINE


class DependencyGraph:
    """Who waits for whom among the jobs that are not over."""

    def __init__(self) -> None:
        # By job: all that it needs and what of it is not done; by needed job: who needs it.
        self.dependencies: dict[str, frozenset[str]] = {}
        self.unmet_dependencies: dict[str, set[str]] = {}
        self.dependents: dict[str, set[str]] = {}
        # Jobs below a cancelled one whose own cancellation is not committed yet, in the order in which it was seen.
        self.pending_cancellations: dict[str, None] = {}
        self._own: dict[str, OwnPriority] = {}
        self._inherited: dict[str, InheritedPriority] = {}

    def dependencies_met(self, job_id: str) -> bool:
        """Whether all that a job needs is done."""
        return not self.unmet_dependencies.get(job_id)

    def inherited_priority(self, job_id: str) -> InheritedPriority:
        """Return how urgent a job is for itself and for those that need it, directly or through others."""
        return self._inherited.get(job_id, InheritedPriority())

    def add(
        self,
        job_id: str,
        needs: Iterable[str],
        unmet: Iterable[str],
        own: OwnPriority,
        cancelled: bool = False,
    ) -> set[str]:
        """Take in a job, `cancelled` if something that it needs is; return those whose urgency changed."""
        self._own[job_id] = own
        self.dependencies[job_id] = frozenset(needs)
        open_needs = set(unmet)
        if open_needs:
            self.unmet_dependencies[job_id] = open_needs
        for need in self.dependencies[job_id]:
            self.dependents.setdefault(need, set()).add(job_id)
        if cancelled or any(need in self.pending_cancellations for need in open_needs):
            self._cascade([job_id])
        return self._propagate([job_id])

    def record_done(self, job_id: str) -> list[str]:
        """A job is done: return those that became ready by it."""
        ready = []
        for dependent in sorted(self.dependents.get(job_id, ())):
            open_needs = self.unmet_dependencies.get(dependent)
            if open_needs is not None and job_id in open_needs:
                open_needs.discard(job_id)
                if not open_needs:
                    del self.unmet_dependencies[dependent]
                    ready.append(dependent)
        return ready

    def record_cancelled(self, job_id: str) -> None:
        """A job is cancelled: so is all that needs it."""
        self.pending_cancellations.pop(job_id, None)
        self._cascade(sorted(self.dependents.get(job_id, ())))

    def _cascade(self, stack: list[str]) -> None:
        while stack:
            job_id = stack.pop()
            if job_id in self._own and job_id not in self.pending_cancellations:
                self.pending_cancellations[job_id] = None
                stack.extend(sorted(self.dependents.get(job_id, ())))

    def remove(self, job_id: str) -> set[str]:
        """A job is over and asks for nothing any more; return those whose urgency changed."""
        needs = self.dependencies.pop(job_id, frozenset())
        for known in (self._own, self._inherited, self.unmet_dependencies, self.pending_cancellations):
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
                stack.extend(self.dependencies.get(job_id, ()))
        return changed

    def _work_out(self, job_id: str, own: OwnPriority) -> InheritedPriority:
        """Return a job's urgency from its own and from that of the jobs which need it."""
        level, due = own.level, NO_DEADLINE
        for other in self.dependents.get(job_id, ()):
            inherited = self._inherited.get(other)
            if inherited is not None:
                theirs = self._own[other]
                level = min(level, inherited.level)
                due = min(due, min(theirs.deadline, inherited.deadline) - theirs.run_s)
        return InheritedPriority(level, due)
