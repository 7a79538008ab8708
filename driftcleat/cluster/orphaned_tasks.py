"""Orphaned tasks: attempts that run on a machine although no job's record places them there.

While such an attempt runs, its task must not start elsewhere.
"""

from driftcleat.cluster.machines import TaskKey


class OrphanedTasks:
    """The orphaned tasks, each with the machine whose heartbeat listed it last."""

    def __init__(self) -> None:
        self._machine_of: dict[TaskKey, str] = {}
        # The same by machine, so that a heartbeat only examines the orphaned tasks of its own machine.
        self._tasks_on: dict[str, set[TaskKey]] = {}

    def __contains__(self, key: TaskKey) -> bool:
        return key in self._machine_of

    def record(self, key: TaskKey, machine: str) -> None:
        """Record that a machine's heartbeat lists an attempt that no job's record places there."""
        before = self._machine_of.get(key)
        if before is not None and before != machine:
            self._discard(key, before)
        self._machine_of[key] = machine
        self._tasks_on.setdefault(machine, set()).add(key)

    def keep_only(self, machine: str, live: set[TaskKey]) -> None:
        """Discard the orphaned tasks of a machine that are not among its live tasks."""
        for key in self._tasks_on.get(machine, set()) - live:
            self._discard(key, machine)

    def _discard(self, key: TaskKey, machine: str) -> None:
        del self._machine_of[key]
        keys = self._tasks_on[machine]
        keys.discard(key)
        if not keys:
            del self._tasks_on[machine]
