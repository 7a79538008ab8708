"""The operations and bytes that a batch may still take within the store's limits for one transaction."""


class BatchBudget:
    """Counts down the operations and bytes that are left.

    The operations of a job are charged as a total: a later charge of the same job replaces the earlier one.
    """

    def __init__(self, operations: int, size_bytes: int, changes: int | None = None) -> None:
        """Start with the limits of one transaction: its operations and its size in bytes.

        `changes` limits the number of jobs and other keys that it changes; None for no limit.
        """
        self.operations_left = operations
        self.bytes_left = size_bytes
        self._max_changes = changes
        # Puts and deletes that belong to no job.
        self._other_changes = 0
        self._charged_operations: dict[str, int] = {}

    def fits_job(self, job_id: str, operations: int, size_bytes: int) -> bool:
        """Return whether a job may take `operations` in total and `size_bytes` more bytes."""
        return (
            operations - self._charged_operations.get(job_id, 0) <= self.operations_left
            and size_bytes <= self.bytes_left
            and (job_id in self._charged_operations or self._takes_another_change)
        )

    def fits(self, operations: int, size_bytes: int) -> bool:
        """Return whether operations and bytes that belong to no job fit."""
        return operations <= self.operations_left and size_bytes <= self.bytes_left and self._takes_another_change

    @property
    def _takes_another_change(self) -> bool:
        """Whether one more job or key may change."""
        return self._max_changes is None or self.changes < self._max_changes

    @property
    def changes(self) -> int:
        """The number of jobs and other keys that are charged."""
        return len(self._charged_operations) + self._other_changes

    def charge_job(self, job_id: str, operations: int) -> None:
        """Charge the operations that a job takes in total, in place of an earlier charge."""
        self.operations_left -= operations - self._charged_operations.get(job_id, 0)
        self._charged_operations[job_id] = operations

    def charge_bytes(self, size_bytes: int) -> None:
        """Charge further bytes; unlike the operations of a job, bytes add up."""
        self.bytes_left -= size_bytes

    def charge(self, operations: int, size_bytes: int) -> None:
        """Charge the operations and bytes of a key that belongs to no job."""
        self._other_changes += 1
        self.operations_left -= operations
        self.bytes_left -= size_bytes
