"""The DAG of job dependencies in one leader term, updated with each commit. It does no I/O and never recurses.

A job is ready once all its dependencies are committed as done. The cancellation of a job cascades to all its
dependents: users see these as cancelled from that moment, and later batches write their records. None of their tasks
can have started, since a dependency of each was not done.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Higher than every level in use, and thus the lowest priority.
LOWEST_LEVEL = 1 << 30
NO_DEADLINE = float("inf")


@dataclass(frozen=True, slots=True)
class OwnPriority:
    """A job's own priority level (lower is more urgent), deadline (wall clock) and run time, both in seconds."""

    level: int = LOWEST_LEVEL
    deadline: float = NO_DEADLINE
    estimated_run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InheritedPriority:
    """The most urgent level among a job and its dependents, and when it must be done for their deadlines.

    A job's own deadline is not included: ordering jobs of one priority by their own deadlines serves late jobs first,
    and fewer jobs meet their deadlines (`docs/limits.md`).
    """

    level: int = LOWEST_LEVEL
    deadline: float = NO_DEADLINE


class DependencyGraph:
    """Dependencies among the jobs that have not ended."""

    def __init__(self) -> None:
        # By job: all its dependencies, those that are not done, and its dependents.
        self.dependencies: dict[str, frozenset[str]] = {}
        self.unmet_dependencies: dict[str, set[str]] = {}
        self.dependents: dict[str, set[str]] = {}
        # Dependents of cancelled jobs whose own cancellation is not committed yet, in order of their discovery.
        self.pending_cancellations: dict[str, None] = {}
        self._own: dict[str, OwnPriority] = {}
        self._inherited: dict[str, InheritedPriority] = {}

    def dependencies_met(self, job_id: str) -> bool:
        """Return whether all dependencies of a job are done."""
        return not self.unmet_dependencies.get(job_id)

    def inherited_priority(self, job_id: str) -> InheritedPriority:
        """Return a job's inherited priority, which takes in its direct and indirect dependents."""
        return self._inherited.get(job_id, InheritedPriority())

    def add(
        self,
        job_id: str,
        dependencies: Iterable[str],
        unmet: Iterable[str],
        own: OwnPriority,
        cancelled: bool = False,
    ) -> set[str]:
        """Add a job; return the jobs whose inherited priority changed.

        `unmet` are the dependencies that are not done; `cancelled` tells whether one dependency is cancelled.
        """
        self._own[job_id] = own
        self.dependencies[job_id] = frozenset(dependencies)
        remaining = set(unmet)
        if remaining:
            self.unmet_dependencies[job_id] = remaining
        for dependency in self.dependencies[job_id]:
            self.dependents.setdefault(dependency, set()).add(job_id)
        if cancelled or any(dependency in self.pending_cancellations for dependency in remaining):
            self._cascade([job_id])
        return self._propagate([job_id])

    def record_done(self, job_id: str) -> list[str]:
        """Record that a job is done; return the dependents that thereby become ready."""
        ready = []
        for dependent in sorted(self.dependents.get(job_id, ())):
            remaining = self.unmet_dependencies.get(dependent)
            if remaining is not None and job_id in remaining:
                remaining.discard(job_id)
                if not remaining:
                    del self.unmet_dependencies[dependent]
                    ready.append(dependent)
        return ready

    def record_cancelled(self, job_id: str) -> None:
        """Record that a job is cancelled, and cascade the cancellation to its dependents."""
        self.pending_cancellations.pop(job_id, None)
        self._cascade(sorted(self.dependents.get(job_id, ())))

    def all_dependents(self, job_id: str) -> set[str]:
        """Return the direct and indirect dependents of a job."""
        found: set[str] = set()
        unvisited = [job_id]
        while unvisited:
            for dependent in self.dependents.get(unvisited.pop(), ()):
                if dependent not in found:
                    found.add(dependent)
                    unvisited.append(dependent)
        return found

    def _cascade(self, stack: list[str]) -> None:
        """Mark these jobs, and all their dependents, for cancellation."""
        while stack:
            job_id = stack.pop()
            if job_id in self._own and job_id not in self.pending_cancellations:
                self.pending_cancellations[job_id] = None
                stack.extend(sorted(self.dependents.get(job_id, ())))

    def remove(self, job_id: str) -> set[str]:
        """Remove a job that has ended; return the jobs whose inherited priority changed."""
        dependencies = self.dependencies.pop(job_id, frozenset())
        for entries in (self._own, self._inherited, self.unmet_dependencies, self.pending_cancellations):
            entries.pop(job_id, None)
        for dependency in dependencies:
            dependents = self.dependents.get(dependency)
            if dependents is not None:
                dependents.discard(job_id)
                if not dependents:
                    del self.dependents[dependency]
        return self._propagate(sorted(dependency for dependency in dependencies if dependency in self._own))

    def _propagate(self, stack: list[str]) -> set[str]:
        """Update inherited priorities from these jobs up to all their dependencies; return the jobs that changed."""
        changed: set[str] = set()
        while stack:
            job_id = stack.pop()
            own = self._own.get(job_id)
            if own is None:
                continue
            inherited = self._inherit(job_id, own)
            if inherited != self._inherited.get(job_id):
                self._inherited[job_id] = inherited
                changed.add(job_id)
                stack.extend(self.dependencies.get(job_id, ()))
        return changed

    def _inherit(self, job_id: str, own: OwnPriority) -> InheritedPriority:
        """Return a job's inherited priority from its own and from those of its direct dependents."""
        level = own.level
        deadline = NO_DEADLINE
        for dependent in self.dependents.get(job_id, ()):
            inherited = self._inherited.get(dependent)
            if inherited is not None:
                dependent_own = self._own[dependent]
                level = min(level, inherited.level)
                deadline = min(
                    deadline, min(dependent_own.deadline, inherited.deadline) - dependent_own.estimated_run_s
                )
        return InheritedPriority(level, deadline)
