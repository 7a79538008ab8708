"""Users' requests: submissions, polls and cancellations, at any controller.

The leader decides; others pass requests on. The store's records are the truth, so a poll that cannot
reach the leader is answered from them.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from driftcleat import wire
from driftcleat.api.answers import Answer
from driftcleat.api.deadline import Deadline
from driftcleat.cluster import JobState
from driftcleat.leadership import ActiveTerm
from driftcleat.peers.client import PeerClient, PeerError
from driftcleat.scheduler import PendingRequest, Scheduler, never_fits
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import StoreClient
from driftcleat.store.decoding import decode_head
from driftcleat.store.errors import StoreError, StoreUnavailableError
from driftcleat.store.keys import ENDED_JOBS_PREFIX, JOBS_PREFIX
from driftcleat.store.records import EndedJobRecord
from driftcleat.wire import peers as peer_messages
from driftcleat.wire.job_ids import is_job_id
from driftcleat.wire.job_spec_parsing import InvalidFieldError, parse_job_id, parse_object, parse_submission
from driftcleat.wire.users import JobKind, JobSpec, JobStatus

log = logging.getLogger(__name__)

FINAL = ("done", "cancelled")
CANCEL = "/cancel"
KEPT_FINALS = 5000
# Records that are read at the most to say how a job stands that waits for others.
MOST_READS = 24
# The part of a request's time in which the leader answers one that was passed on to it.
FORWARDED_SHARE = 0.9
# The same for a question. A follower waits a little longer for the leader, and reads the records in what is left.
FORWARDED_POLL_SHARE = 0.6
LEADER_POLL_SHARE = 0.7


class UserApi:
    """Answers users."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        store: StoreClient,
        peers: PeerClient,
        active_term: ActiveTerm[Scheduler],
        clock: Callable[[], float],
        most_in_progress: int,
        most_passed_on: int,
    ) -> None:
        """Beyond `most_in_progress` requests at once, and `most_passed_on` of them to the leader, all are refused."""
        self.platform, self.tuning, self.store, self.peers, self.active_term = (
            platform,
            tuning,
            store,
            peers,
            active_term,
        )
        self.clock = clock
        self.most_in_progress, self.most_passed_on = most_in_progress, most_passed_on
        self._in_progress = self._passed_on = 0
        # Requests that were refused since too many others were under way.
        self.requests_shed = 0
        self.retry_s = max(1, round(tuning.retry * platform.report_s))
        # Users wait 2 to 5 s for a response: what cannot have its turn at the store soon is refused at once.
        self.most_wait_s = platform.report_s / 6
        self.finals: OrderedDict[str, JobStatus] = OrderedDict()
        self.outstanding: set[asyncio.Future[JobStatus | None]] = set()

    def unavailable(self, why: str) -> Answer:
        """Return the answer to what cannot be taken now: at once, saying when to come back."""
        return Answer.error(503, why, retry_after_s=self.retry_s)

    def _refuse(self, why: str) -> Answer:
        """Refuse a request since there are too many."""
        self.requests_shed += 1
        return self.unavailable(why)

    @property
    def _leader_is_busy(self) -> bool:
        """Whether as many requests as may be wait for the leader already."""
        return self._passed_on >= self.most_passed_on

    def elsewhere(self, why: str) -> Answer:
        """Return the answer to what another controller may be able to take: the connection is closed."""
        return replace(self.unavailable(why), close=True)

    async def handle(self, method: str, path: str, body: bytes, forwarded: bool = False) -> Answer | None:
        """Answer a request under /v1 before its deadline; None if the path is not ours.

        Guards against steps that are each bounded, while their sum is longer than a user waits.
        """
        if self._in_progress >= self.most_in_progress and not path.endswith(CANCEL):
            # Guards against users' requests that take the processor's time and the connections which reports need.
            # A cancellation is always worth its time: it ends work that nobody wants any more.
            return self._refuse("too many requests are under way")
        deadline = Deadline(self.clock, self.time_for(method, forwarded))
        self._in_progress += 1
        try:
            async with asyncio.timeout(deadline.left_s):
                return await self._route(method, path, body, forwarded, deadline)
        except TimeoutError:
            return self.unavailable("no answer in time")
        finally:
            self._in_progress -= 1

    def time_for(self, method: str, forwarded: bool) -> float:
        """Return the seconds in which a request is answered; one that was passed on has to be back in time."""
        if method == "GET":
            return self.platform.report_s * self.tuning.poll * (FORWARDED_POLL_SHARE if forwarded else 1.0)
        return self.platform.report_s * self.tuning.request * (FORWARDED_SHARE if forwarded else 1.0)

    async def _route(self, method: str, path: str, body: bytes, forwarded: bool, deadline: Deadline) -> Answer | None:
        if path == "/v1/jobs":
            if method != "POST":
                return Answer.error(405, "only POST is allowed here")
            return await self._submit(path, body, forwarded, deadline)
        if not path.startswith("/v1/jobs/"):
            return None
        job_id, slash, verb = path[len("/v1/jobs/") :].partition("/")
        if slash and verb != "cancel":
            return None
        wanted = "POST" if slash else "GET"
        if method != wanted:
            return Answer.error(405, f"only {wanted} is allowed here")
        if not is_job_id(job_id):
            return Answer.error(404, "no such job")
        if slash:
            return await self._cancel(path, job_id, forwarded, deadline)
        return await self._poll(path, job_id, forwarded, deadline)

    def drop_outstanding(self) -> None:
        """Give up on requests that wait for a batch: their users come back and find out."""
        for future in self.outstanding:
            if not future.done():
                future.set_result(None)

    # -- submissions --------------------------------------------------------------------------------------

    async def _submit(self, path: str, body: bytes, forwarded: bool, deadline: Deadline) -> Answer:
        try:
            raw = parse_object(body)
            job_id = parse_job_id(raw)
        except InvalidFieldError as error:
            return Answer.error(400, str(error), error.field)
        if not self.active_term.may_decide:
            return await self._pass_on("POST", path, body, forwarded, deadline)
        return await self._submit_here(job_id, raw, deadline)

    async def _submit_here(self, job_id: str, raw: dict[str, Any], deadline: Deadline) -> Answer:
        scheduler = self.active_term.scheduler
        if scheduler is None:
            return self.unavailable("no leader")
        # A job accepted before is known whatever its repeat looks like, so it is looked up first.
        status = await self._known(scheduler, job_id)
        if isinstance(status, Answer):
            return status
        if status is not None:
            return Answer(200, wire.encode(JobStatus(status.id, status.state)))
        try:
            spec = parse_submission(raw)
        except InvalidFieldError as error:
            return Answer.error(400, str(error), error.field)
        if not scheduler.cluster.machine_types:
            return self.unavailable("the machine types are not known yet")
        why = never_fits(spec, scheduler.cluster.machine_types, self.platform)
        if why is not None:
            return Answer.error(422, why)
        if not scheduler.layout.spec_fits(spec):
            field = "tows" if spec.dependencies else "builds"
            return Answer.error(400, f"{field}: more is named than can be stored", field)
        ended = await self._needed(scheduler, spec)
        if isinstance(ended, Answer):
            return ended
        if scheduler.admission.full:
            return Answer.error(429, "too many requests are waiting", retry_after_s=self.retry_s)
        status = await self._decide(
            scheduler, PendingRequest(lambda status: None, spec, job_id, ended), deadline, submission=True
        )
        if status is None:
            return self.unavailable("not decided")
        return Answer(201, wire.encode(JobStatus(status.id, status.state)))

    async def _needed(self, scheduler: Scheduler, spec: JobSpec) -> dict[str, str] | Answer:
        """Return the final states of the jobs that a submission needs and that are over, or why it is not taken."""
        ended: dict[str, str] = {}
        for need in spec.dependencies or ():
            job = scheduler.cluster.jobs.get(need)
            if job is not None:
                if job.spec.kind is JobKind.SERVICE:
                    return Answer.error(422, f"tows: {need} is a service", "tows")
                continue
            status = await self._known(scheduler, need)
            if isinstance(status, Answer):
                return status
            if status is None:
                return Answer.error(422, f"tows: {need} was never accepted", "tows")
            if status.state in FINAL:
                ended[need] = status.state
        return ended

    async def _known(self, scheduler: Scheduler, job_id: str) -> JobStatus | Answer | None:
        """Return a job's state from memory or the store, None if nobody knows it, or why that cannot be said."""
        status = scheduler.admission.lookup(job_id)
        if status is None:
            try:
                status = await self._final(job_id)
            except (StoreError, wire.WireError):
                return self.unavailable("the state service does not answer")
            status = status or scheduler.admission.lookup(job_id)
        return status if self._still(scheduler) else self.unavailable("leadership changed")

    async def _decide(
        self, scheduler: Scheduler, request: PendingRequest, deadline: Deadline, submission: bool
    ) -> JobStatus | None:
        """Wait until a request's batch is committed; None if that is given up."""
        future: asyncio.Future[JobStatus | None] = asyncio.get_running_loop().create_future()
        request.answer = lambda status: None if future.done() else future.set_result(status)
        (scheduler.admission.submit if submission else scheduler.admission.cancel)(request)
        self.outstanding.add(future)
        self.active_term.wake_committer()
        try:
            return await asyncio.wait_for(future, min(self.platform.report_s, deadline.left_s))
        except TimeoutError:
            return None
        finally:
            self.outstanding.discard(future)

    def _still(self, scheduler: Scheduler) -> bool:
        return self.active_term.may_decide and self.active_term.scheduler is scheduler

    # -- polls --------------------------------------------------------------------------------------------

    async def _poll(self, path: str, job_id: str, forwarded: bool, deadline: Deadline) -> Answer:
        scheduler = self.active_term.scheduler
        status = self.finals.get(job_id)
        if status is None and scheduler is not None:
            status = scheduler.admission.lookup(job_id)
            if status is not None and status.state not in FINAL and not self.active_term.may_decide:
                status = None
        if status is not None:
            return self._found(status)
        if (
            not self.active_term.may_decide
            and not forwarded
            and self.active_term.leader not in (None, self.platform.label)
        ):
            busy = self._leader_is_busy
            answer = await self._pass_on("GET", path, b"", forwarded, deadline)
            if busy or answer.status in (200, 404):
                # The records are read for a leader that is away, not for one that is busy: it needs the store's time.
                return answer
        return await self._poll_store(job_id, scheduler)

    async def _poll_store(self, job_id: str, scheduler: Scheduler | None) -> Answer:
        """Answer from the records: the head first, so that a job ending in between is still found."""
        try:
            if scheduler is None or not self.active_term.may_decide:
                key_value = await self.store.get(JOBS_PREFIX + job_id, self.most_wait_s)
                if key_value is not None:
                    job = decode_head(key_value)
                    state = (
                        "cancelled"
                        if job.state.value == "cancelled" or await self._cancelled_by_need(job.spec)
                        else ("running" if job.placements else "pending")
                    )
                    return self._found(JobStatus(job_id, state, job.tasks_done, len(job.placements)))
            status = await self._final(job_id)
        except (StoreError, wire.WireError):
            return self.unavailable("the state service does not answer")
        if status is None and scheduler is not None:
            status = scheduler.admission.lookup(job_id)
        if status is not None:
            return self._found(status)
        if scheduler is not None and not self._still(scheduler):
            return self.unavailable("leadership changed")
        return Answer.error(404, "no such job")

    async def _cancelled_by_need(self, spec: JobSpec) -> bool:
        """Whether a job that the records call active stands below a cancelled one: it is cancelled then.

        `StoreError` if that takes more reads than a user waits for.
        """
        seen: set[str] = set()
        asked = list(spec.dependencies or ())
        while asked:
            need = asked.pop()
            if need in seen:
                continue
            seen.add(need)
            if len(seen) > MOST_READS:
                raise StoreUnavailableError("too many records to read")
            key_value = await self.store.get(JOBS_PREFIX + need, self.most_wait_s)
            if key_value is not None:
                job = decode_head(key_value)
                if job.state is JobState.CANCELLED:
                    return True
                asked.extend(job.spec.dependencies or ())
                continue
            status = await self._final(need)
            if status is not None and status.state == JobState.CANCELLED.value:
                return True
        return False

    def _found(self, status: JobStatus) -> Answer:
        if status.state in FINAL:
            self.finals[status.id] = status
            while len(self.finals) > KEPT_FINALS:
                self.finals.popitem(last=False)
        return Answer(
            200,
            wire.encode(
                {
                    "nameId": status.id,
                    "bearing": status.state,
                    "done": status.done or 0,
                    "running": status.running or 0,
                }
            ),
        )

    async def _final(self, job_id: str) -> JobStatus | None:
        """Return the kept final state of a job, from memory or the store."""
        status = self.finals.get(job_id)
        if status is not None:
            return status
        key_value = await self.store.get(ENDED_JOBS_PREFIX + job_id, self.most_wait_s)
        if key_value is None:
            return None
        record = wire.decode(bytes(key_value.value), EndedJobRecord)
        return JobStatus(job_id, record.state, record.tasks_done, 0)

    # -- cancellations ------------------------------------------------------------------------------------

    async def _cancel(self, path: str, job_id: str, forwarded: bool, deadline: Deadline) -> Answer:
        final = self.finals.get(job_id)
        if final is not None:
            return Answer(200, wire.encode(JobStatus(job_id, final.state)))
        if not self.active_term.may_decide:
            return await self._pass_on("POST", path, b"", forwarded, deadline)
        scheduler = self.active_term.scheduler
        if scheduler is None:
            return self.unavailable("no leader")
        status = await self._known(scheduler, job_id)
        if isinstance(status, Answer):
            return status
        if status is None:
            return Answer.error(404, "no such job")
        if status.state not in FINAL:
            if scheduler.admission.full:
                return Answer.error(429, "too many requests are waiting", retry_after_s=self.retry_s)
            status = await self._decide(
                scheduler, PendingRequest(lambda status: None, None, job_id), deadline, submission=False
            )
        if status is None or status.state not in FINAL:
            return self.unavailable("not decided")
        return Answer(200, wire.encode(JobStatus(job_id, status.state)))

    # -- passing on ---------------------------------------------------------------------------------------

    async def _pass_on(self, method: str, path: str, body: bytes, forwarded: bool, deadline: Deadline) -> Answer:
        leader = self.active_term.leader
        if forwarded or leader is None or leader == self.platform.label:
            return self.elsewhere("no leader")
        if self._leader_is_busy and not path.endswith(CANCEL):
            return self._refuse("too many requests wait for the leader")
        message = peer_messages.ForwardRequest(method, path, body.decode("utf-8", "replace"))
        # A question that the leader does not answer can still be answered from the records.
        timeout_s = deadline.left_s * (LEADER_POLL_SHARE if method == "GET" else 1.0)
        self._passed_on += 1
        try:
            answer = await self.peers.send(leader, message, timeout_s)
        except PeerError as error:
            log.debug("leader %s: %s", leader, error)
            return self.elsewhere("the leader does not answer")
        finally:
            self._passed_on -= 1
        if not isinstance(answer, peer_messages.ForwardResponse):
            return self.unavailable("the leader's answer is not one")
        return Answer(answer.status, answer.body.encode(), answer.retry_after_s)
