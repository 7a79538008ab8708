"""Admission: users' submissions and cancellations, from their arrival to the answer after the commit."""

import logging
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from driftcleat.fleet.arrivals import Arrivals
from driftcleat.model import Batch, Job, JobState
from driftcleat.wire.users import JobView, Submission

from .context import TermContext

log = logging.getLogger(__name__)

# Final states that a term remembers; older ones are read from the store.
KEPT_FINAL_STATES = 5000


@dataclass(slots=True)
class Ticket:
    """A user's request that waits for its batch; `answer` is called once, after the commit or on the way."""

    answer: Callable[[JobView | None], None]
    spec: Submission | None = None
    job_id: str = ""
    # Final states of jobs that the submission needs, as far as they were found among the ended ones.
    ended: dict[str, str] = field(default_factory=dict)


class Admission:
    """The requests that wait for a batch, and the final states of jobs that ended in this term."""

    def __init__(self, context: TermContext, arrivals: Arrivals) -> None:
        # Requests that may wait at once.
        self.most_waiting = context.tuning.queue * context.platform.write_rps
        self._cluster, self._layout, self._wall = context.cluster, context.layout, context.wall
        self._arrivals = arrivals
        self._submissions: deque[Ticket] = deque()
        self._cancellations: deque[Ticket] = deque()
        self._ended: OrderedDict[str, JobView] = OrderedDict()

    def submit(self, ticket: Ticket) -> None:
        """Queue a submission."""
        self._submissions.append(ticket)

    def cancel(self, ticket: Ticket) -> None:
        """Queue a cancellation."""
        self._cancellations.append(ticket)

    @property
    def waiting(self) -> bool:
        """Whether a user waits for the next batch."""
        return bool(self._submissions or self._cancellations)

    @property
    def waiting_submissions(self) -> int:
        """Return how many submissions wait."""
        return len(self._submissions)

    @property
    def waiting_cancellations(self) -> int:
        """Return how many cancellations wait."""
        return len(self._cancellations)

    @property
    def full(self) -> bool:
        """Whether no more requests can be taken for now."""
        return len(self._submissions) + len(self._cancellations) >= self.most_waiting

    @property
    def names_needs(self) -> bool:
        """Whether a submission that waits names jobs that it needs."""
        return any(ticket.spec is not None and ticket.spec.needs for ticket in self._submissions)

    def lookup(self, job_id: str) -> JobView | None:
        """Return the committed state of a job that this term knows of."""
        job = self._cluster.jobs.get(job_id)
        if job is not None:
            return self._cluster.view(job)
        return self._ended.get(job_id)

    def note_ended(self, job: Job) -> None:
        """Remember how a job ended."""
        self._ended[job.id] = self._cluster.view(job)
        while len(self._ended) > KEPT_FINAL_STATES:
            self._ended.popitem(last=False)

    def take_cancellations(self, batch: Batch) -> None:
        """Put the cancellations that wait into a batch."""
        postponed: list[Ticket] = []
        while self._cancellations:
            ticket = self._cancellations[0]
            job = batch.get(ticket.job_id)
            if job is not None and job.state is JobState.ACTIVE:
                if batch.awaits_migration(job):
                    postponed.append(self._cancellations.popleft())
                    continue
                if not batch.has_room(job, ends=True):
                    break
                batch.cancel(ticket.job_id, self._wall())
            self._cancellations.popleft()
            batch.undo.append(partial(self._cancellations.appendleft, ticket))
            batch.after.append(partial(self._answer, ticket, ticket.job_id))
        self._cancellations.extend(postponed)

    def take_dependents(self, batch: Batch) -> None:
        """Cancel what depends on cancelled jobs: nothing of it has ever started, its records are all there is."""
        for job_id in list(self._cluster.needs.cancel_pending):
            job = batch.get(job_id)
            if job is None or job.state is not JobState.ACTIVE or batch.awaits_migration(job):
                continue
            if not batch.has_room(job, ends=True):
                return
            batch.cancel(job_id, self._wall())

    def take_submissions(self, batch: Batch, now: float) -> None:
        """Put the submissions that wait into a batch."""
        while self._submissions:
            ticket = self._submissions[0]
            spec = ticket.spec
            assert spec is not None
            known = batch.get(spec.id) is not None or spec.id in self._ended
            if not known and not self._create(batch, spec, ticket, now):
                return
            self._submissions.popleft()
            batch.undo.append(partial(self._submissions.appendleft, ticket))
            batch.after.append(partial(self._answer, ticket, spec.id))

    def _create(self, batch: Batch, spec: Submission, ticket: Ticket, now: float) -> bool:
        """Create a job in a batch; False if the batch is too full."""
        job = Job(spec, self._wall())
        self._layout.take_in(job)
        if not batch.has_room(job):
            return False
        states = {need: self._state_of_need(batch, need, ticket) for need in spec.needs or ()}
        batch.create(job, {need for need, state in states.items() if state is not JobState.DONE})
        if JobState.CANCELLED in states.values():
            batch.cancel(job.id, self._wall())
        elif not batch.unmet[job.id]:
            self._arrivals.note(spec, now)
        log.debug("job %s (%s) accepted: %d tasks", spec.id, spec.job_class, spec.tasks)
        return True

    def _state_of_need(self, batch: Batch, need: str, ticket: Ticket) -> JobState:
        """Return how a needed job stands as this batch leaves it: ACTIVE, DONE or CANCELLED."""
        job = batch.get(need)
        if job is not None:
            # What ends in this very batch is told to the graph after the newcomer has joined it.
            gone = job.state in (JobState.CANCELLED, JobState.GONE) or need in self._cluster.needs.cancel_pending
            return JobState.CANCELLED if gone else JobState.ACTIVE
        view = self._ended.get(need)
        return JobState(view.state if view is not None else ticket.ended.get(need, JobState.ACTIVE.value))

    def _answer(self, ticket: Ticket, job_id: str) -> None:
        ticket.answer(self.lookup(job_id))
