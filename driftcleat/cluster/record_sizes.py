"""What a batch must know of the records that it writes: which record holds a task, and how large a record may be."""

from typing import Protocol

from driftcleat.cluster.jobs import Job


class RecordSizes(Protocol):
    """The division of jobs into records, and upper bounds of what writing a record adds to a transaction."""

    def chunk_of(self, job: Job, index: int) -> int:
        """Return the number of the record that holds a task; 0 is the head."""

    def needs_migration(self, job: Job) -> bool:
        """Return whether a job's records must be migrated before any of them may change."""

    def record_bytes(self, job: Job, number: int) -> int:
        """Return an upper bound of the bytes for record `number` with the job's current tasks, keys included."""

    def row_bytes(self, job: Job) -> int:
        """Return an upper bound of the bytes that a change of one task adds to its record."""

    def put_bytes(self, key: str, value: object) -> int:
        """Return an upper bound of the bytes for a put of a key that is not a record of a changed job."""

    def delete_bytes(self, key: str) -> int:
        """Return an upper bound of the bytes for a delete of a key."""
