"""Attempts on machines that no record knows: their tasks must not start elsewhere while one is there."""

from driftcleat.cluster.machines import TaskKey


class OrphanedTasks:
    """Tasks by the machine that reported such an attempt last."""

    def __init__(self) -> None:
        self._machine_of: dict[TaskKey, str] = {}
        # The same by machine, so that a report looks at its own machine's alone.
        self._on: dict[str, set[TaskKey]] = {}

    def __contains__(self, key: TaskKey) -> bool:
        return key in self._machine_of

    def record(self, key: TaskKey, machine: str) -> None:
        """A machine reports an attempt that no record knows."""
        before = self._machine_of.get(key)
        if before is not None and before != machine:
            self._discard(key, before)
        self._machine_of[key] = machine
        self._on.setdefault(machine, set()).add(key)

    def keep_only(self, machine: str, live: set[TaskKey]) -> None:
        """A machine has nothing but these tasks."""
        for key in self._on.get(machine, set()) - live:
            self._discard(key, machine)

    def _discard(self, key: TaskKey, machine: str) -> None:
        del self._machine_of[key]
        keys = self._on[machine]
        keys.discard(key)
        if not keys:
            del self._on[machine]
