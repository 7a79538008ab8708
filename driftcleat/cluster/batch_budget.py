"""What a batch may still take of the store's limits for one transaction."""


class BatchBudget:
    """Counts operations and bytes down.

    A job's records are charged by their number as it stands: a later charge of the same job replaces the one before.
    """

    def __init__(self, operations: int, size_bytes: int) -> None:
        """Start with the limits of one transaction: its operations and its size in bytes."""
        self.operations_left = operations
        self.bytes_left = size_bytes
        self._charged_operations: dict[str, int] = {}

    def fits_job(self, job_id: str, operations: int, size_bytes: int) -> bool:
        """Whether a job may take that many operations in all, and so many bytes more."""
        return (
            operations - self._charged_operations.get(job_id, 0) <= self.operations_left
            and size_bytes <= self.bytes_left
        )

    def fits(self, operations: int, size_bytes: int) -> bool:
        """Whether so many operations and bytes fit that belong to no job."""
        return operations <= self.operations_left and size_bytes <= self.bytes_left

    def charge_job(self, job_id: str, operations: int) -> None:
        """Charge the operations that a job takes in all."""
        self.operations_left -= operations - self._charged_operations.get(job_id, 0)
        self._charged_operations[job_id] = operations

    def charge_bytes(self, size_bytes: int) -> None:
        """Charge bytes."""
        self.bytes_left -= size_bytes

    def charge(self, operations: int, size_bytes: int) -> None:
        """Charge operations and bytes that belong to no job."""
        self.operations_left -= operations
        self.bytes_left -= size_bytes
