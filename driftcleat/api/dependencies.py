"""Lookup of the jobs that a job depends on, in the cluster state and the store."""

from driftcleat.api.job_records import FINAL_STATES, JobRecords
from driftcleat.api.leader_lookup import LeaderLookup
from driftcleat.api.responses import RequestRefusedError, Response, RetryResponses
from driftcleat.cluster import JobState
from driftcleat.scheduler import Scheduler
from driftcleat.store.errors import StoreUnavailableError
from driftcleat.wire.users import JobKind, JobSpec

# Maximum number of dependencies that are read from the store for the status of one job.
MAX_DEPENDENCY_READS = 24


class DependencyLookup:
    """Looks up dependencies; a subclass may also find jobs of other schedulers."""

    def __init__(self, records: JobRecords, leader_lookup: LeaderLookup, responses: RetryResponses) -> None:
        self._records = records
        self._leader_lookup = leader_lookup
        self._responses = responses

    async def ended_dependencies(self, scheduler: Scheduler, spec: JobSpec) -> dict[str, str]:
        """Return the final states, by job id, of those dependencies of a submission that have ended.

        `RequestRefusedError` if a dependency is a service or unknown, or if it cannot be looked up.
        """
        ended: dict[str, str] = {}
        for dependency in spec.dependencies or ():
            job = scheduler.cluster.jobs.get(dependency)
            if job is not None:
                if job.spec.kind is JobKind.SERVICE:
                    raise RequestRefusedError(Response.error(422, f"tows: {dependency} is a service", "tows"))
                continue
            status = await self._leader_lookup.status(scheduler, dependency)
            if status is None:
                raise unknown_dependency_error(dependency)
            if status.state in FINAL_STATES:
                ended[dependency] = status.state
        return ended

    async def has_cancelled_dependency(self, spec: JobSpec) -> bool:
        """Return whether a direct or indirect dependency is cancelled: if so, the job counts as cancelled too.

        `StoreUnavailableError` if there are more than `MAX_DEPENDENCY_READS` dependencies, or if the records of one
        do not tell what the leader says of its dependents.
        """
        seen: set[str] = set()
        unread = list(spec.dependencies or ())
        while unread:
            dependency = unread.pop()
            if dependency in seen:
                continue
            seen.add(dependency)
            if len(seen) > MAX_DEPENDENCY_READS:
                raise StoreUnavailableError("too many records to read")
            await self.require_readable(dependency)
            job = await self._records.read_head(dependency)
            if job is not None:
                if job.state is JobState.CANCELLED:
                    return True
                unread.extend(job.spec.dependencies or ())
                continue
            status = await self._records.read_final_status(dependency)
            if status is not None and status.state == JobState.CANCELLED.value:
                return True
        return False

    async def require_readable(self, dependency: str) -> None:
        """Raise `StoreUnavailableError` if a dependency's records may be ahead of what the leader knows of it."""


def unknown_dependency_error(dependency: str) -> RequestRefusedError:
    """Return the error that refuses a submission with a dependency that does not exist."""
    return RequestRefusedError(Response.error(422, f"tows: {dependency} was never accepted", "tows"))
