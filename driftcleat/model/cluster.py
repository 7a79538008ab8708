"""The leader's picture of one term: committed jobs, machines and their reports.

Nothing here does I/O. A report is taken in by `observe`, what it proves is put into a batch by `reconciliation`, the
batch is made visible by `commit`, and `commands` says what a worker is told.
"""

import logging
from collections.abc import Callable, Iterable

from driftcleat.wire import workers as wire_workers
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobView
from driftcleat.wire.workers import Report

from .batch import Batch
from .jobs import Job, JobState, Place
from .machines import Machine, MachineState, change_machine
from .needs import NO_DEADLINE, NeedsGraph, Urgency
from .untracked import UntrackedTasks
from .usage import Usage

log = logging.getLogger(__name__)

AttemptKey = tuple[str, int, int]


class Cluster:
    """One term's picture."""

    def __init__(
        self,
        token: int,
        jobs: dict[str, Job],
        types: dict[str, MachineType],
        now: float,
        lease_s: float = 0.0,
        ended: dict[str, str] | None = None,
    ) -> None:
        """`ended` tells the final states of jobs that are over and that others need."""
        self.token, self.lease_s = token, lease_s
        self.jobs = jobs
        self.needs = NeedsGraph()
        # When a job that waited for others became ready, on this controller's clock.
        self.ready_at: dict[str, float] = {}
        # Cancelled jobs of which tasks may still be somewhere.
        self.cancelled: set[str] = set()
        self.types = types
        self.machines: dict[str, Machine] = {}
        self.gone: dict[str, float] = {}
        self.usage: dict[str, Usage] = {}
        self.dirty: set[str] = set()
        self.untracked = UntrackedTasks()
        self.retry_at: dict[str, float] = {}
        self.failures: dict[str, int] = {}
        # Tasks of machines that have not reported in this term, by machine name.
        self.waiting: dict[str, dict[tuple[str, int], Place]] = {}
        # Images that machines had under earlier leaders, until they report.
        self.known_images: dict[str, list[tuple[str, float]]] = {}
        self.on_exit: Callable[[Machine, Job, str], None] = lambda machine, job, why: None
        self.on_image: Callable[[Machine], None] = lambda machine: None
        self.on_up: Callable[[], None] = lambda: None
        self.on_notice: Callable[[Machine, float], None] = lambda machine, notice_s: None
        for job in jobs.values():
            usage = self.usage.setdefault(job.spec.team, Usage())
            for index, place in job.places.items():
                usage.add(job.spec, 1)
                self.waiting.setdefault(place.machine, {})[(job.id, index)] = place
        for job in jobs.values():
            self._join(job, ended or {})
        for job in jobs.values():
            if job.state is JobState.CANCELLED:
                self.needs.cancelled(job.id)
                self.cancelled.add(job.id)
        # Attempts that the batch under way takes off their machines.
        self.leaving: set[AttemptKey] = set()
        # Jobs whose cancellation may have been committed: nobody can say before the store answers again.
        self.unconfirmed_cancellations: set[str] = set()
        self.started_at = now

    # -- who waits for whom -------------------------------------------------------------------------------

    def _join(self, job: Job, ended: dict[str, str]) -> None:
        """Take a job into the graph of needs."""
        needs = job.spec.needs or ()
        if job.state is not JobState.ACTIVE:
            return
        unmet = [need for need in needs if ended.get(need) != JobState.DONE.value]
        cancelled = any(ended.get(need) == JobState.CANCELLED.value for need in needs)
        self._note_urgency(self.needs.add(job.id, needs, unmet, _own_urgency(job), cancelled))

    def _note_urgency(self, changed: Iterable[str]) -> None:
        """Keep with each of these jobs how urgent it is."""
        for job_id in changed:
            job = self.jobs.get(job_id)
            if job is not None:
                inherited = self.needs.urgency(job_id)
                job.level = inherited.level
                job.start_by = inherited.due - job.spec.estimate_s

    def note_end_elsewhere(self, job_id: str, state: JobState, now: float) -> None:
        """A job that ours need, and that is homed elsewhere, has ended, or is certain to end as cancelled."""
        if state is JobState.DONE:
            for ready in self.needs.done(job_id):
                self.ready_at[ready] = now
        else:
            self.needs.cancelled(job_id)

    def ready(self, job: Job) -> bool:
        """Whether tasks of a job may be placed as far as other jobs go."""
        return self.needs.ready(job.id)

    # -- machines -----------------------------------------------------------------------------------------

    def adopt(self, name: str, type_name: str, zone: str, spot: bool, addr: str, now: float) -> Machine:
        """Return the machine of that name, known from now on."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, self.types.get(type_name), zone, spot, addr, now)
            self.machines[name] = machine
            for image, size_gb in self.known_images.pop(name, ()):
                machine.note_image(image, size_gb)
                machine.fetched.add(image)
            for key, place in self.waiting.pop(name, {}).items():
                job = self.jobs.get(key[0])
                if job is not None and job.places.get(key[1]) == place:
                    machine.add(key, place, job.spec)
        if machine.type is None:
            machine.type = self.types.get(type_name)
        if addr:
            machine.addr = addr
        return machine

    def observe(self, report: Report, now: float) -> Machine | None:
        """Take in a report; None if it is stale or from a machine that is proven gone."""
        if report.machine in self.gone:
            return None
        known = self.machines.get(report.machine)
        if known is not None and known.report is not None:
            last = (known.report.session, known.report.seq)
            if (report.session, report.seq) <= last:
                # A report held back by a cut: its task list is as old as itself.
                return None
        if known is not None and known.steady and _repeats(report, known.report):
            known.report, known.heard_at = report, now
            return known
        machine = self.adopt(report.machine, report.type, report.zone, report.spot, report.addr, now)
        machine.steady = False
        self._note_acknowledgement(machine, report, now)
        if machine.state is MachineState.BOOTING:
            change_machine(machine, MachineState.UP)
            machine.idle_since = now
            self.on_up()
        previous = machine.report
        machine.report, machine.heard_at = report, now
        # Only a worker that has seen our token drops the answers of the leader before us: until then a
        # start of that leader may still reach it, and its report proves nothing about absent tasks.
        machine.trusted = report.token == self.token
        self._read_tasks(machine, report, previous)
        if report.notice_s is not None and machine.trusted and machine.state is MachineState.UP:
            self.on_notice(machine, report.notice_s)
        return machine

    def _note_acknowledgement(self, machine: Machine, report: Report, now: float) -> None:
        """Count reports that do not show what the answers to earlier ones said.

        Guards against a machine whose reports arrive while our answers do not reach it: it looks alive, its tasks
        ended with its lease, and starts were offered to it for ever.
        """
        if machine.answered is None:
            return
        lapsed = (
            machine.report is not None
            and report.session > machine.report.session
            and now - machine.heard_at < self.lease_s
        )
        unresponsive = report.token < self.token or lapsed
        if not unresponsive and machine.offered:
            listed = {
                (split[0], split[1], task.attempt)
                for task in report.tasks
                if (split := wire_workers.split_task(task.task)) is not None
            }
            unresponsive = any(
                order < (report.session, report.seq) and attempt not in listed and attempt not in machine.seen
                for attempt, order in machine.offered.items()
            )
        if not unresponsive:
            machine.unacknowledged = 0
            return
        if not machine.unacknowledged:
            machine.unacknowledged_since = now
        machine.unacknowledged += 2 if lapsed else 1

    def _read_tasks(self, machine: Machine, report: Report, previous: Report | None) -> None:
        reported: dict[AttemptKey, str] = {}
        changed = previous is None or previous.tasks != report.tasks or previous.session != report.session
        if not changed:
            newly_trusted = previous is None or previous.token != report.token
            if machine.trusted and (newly_trusted or self._open_question(machine)):
                self.dirty.add(machine.name)
            return
        if previous is not None and previous.session != report.session:
            machine.phases.clear()
        live: set[tuple[str, int]] = set()
        for task in report.tasks:
            split = wire_workers.split_task(task.task)
            if split is None:
                continue
            reported[(split[0], split[1], task.attempt)] = task.state
            if task.state != wire_workers.EXITED:
                live.add(split)
                place = machine.tasks.get(split)
                if place is None or place.attempt != task.attempt:
                    self.untracked.note(split, machine.name)
                elif machine.phases.get(split) != task.state:
                    machine.phases[split] = task.state
                    log.debug("task %s on %s: %s", task.task, machine.name, task.state)
                    image = self.image_of(split)
                    if task.state != wire_workers.FETCHING and image is not None and image not in machine.fetched:
                        machine.fetched.add(image)
                        self.on_image(machine)
        machine.reported = reported
        self.untracked.keep_only(machine.name, live)
        self.dirty.add(machine.name)

    def _open_question(self, machine: Machine) -> bool:
        """Whether the newest report, although it lists the same tasks, may prove something."""
        return any(
            (key[0], key[1], place.attempt) not in machine.reported for key, place in machine.tasks.items()
        ) or self.news(machine)

    def image_of(self, key: tuple[str, int]) -> str | None:
        """Return the image of a task whose job is known."""
        job = self.jobs.get(key[0])
        return job.spec.image if job is not None else None

    def forget_machine(self, machine: Machine, now: float) -> None:
        """The cloud has confirmed that a machine and all on it is gone."""
        if machine.state is not MachineState.RETURNING:
            change_machine(machine, MachineState.RETURNING)
        change_machine(machine, MachineState.GONE)
        self.gone[machine.name] = now
        self.untracked.keep_only(machine.name, set())
        if machine.tasks:
            self.dirty.add(machine.name)
        else:
            del self.machines[machine.name]

    def may_be_there(self, key: tuple[str, int], place: Place) -> bool:
        """Whether the newest report leaves it open that a placed task is on its machine.

        Guards against machines returned for cancelled tasks that are long gone, while the batch that would say so
        waits for the store.
        """
        machine = self.machines.get(place.machine)
        if machine is None or machine.report is None or not machine.trusted:
            return True
        attempt = (key[0], key[1], place.attempt)
        state = machine.reported.get(attempt)
        if state is None:
            offered = machine.offered.get(attempt)
            return offered is not None and offered >= (machine.report.session, machine.report.seq)
        return state != wire_workers.EXITED

    def news(self, machine: Machine) -> bool:
        """Whether the machine's newest report has exits that are not committed yet."""
        return not machine.steady and any(
            state == wire_workers.EXITED and key[:2] in machine.tasks and machine.tasks[key[:2]].attempt == key[2]
            for key, state in machine.reported.items()
        )

    # -- commit -------------------------------------------------------------------------------------------

    def commit(self, batch: Batch, revision: int, now: float) -> None:
        """Make a batch that the store has taken visible."""
        for job_id in batch.heads:
            job = batch.jobs[job_id]
            if job_id in batch.head_written:
                job.version = revision
            for chunk in batch.chunks.get(job_id, ()):
                job.chunk_versions[chunk] = revision
            self.jobs[job_id] = job
        self._commit_needs(batch, now)
        self._commit_moves(batch, now)
        for job_id in batch.heads:
            self._commit_state(batch.jobs[job_id])
        for name in {place.machine for _, _, old, new in batch.moves for place in (old, new) if place}:
            machine = self.machines.get(name)
            if machine is not None and machine.state is MachineState.GONE and not machine.tasks:
                del self.machines[name]

    def _commit_state(self, job: Job) -> None:
        """A job's state may have changed: its machines are told what follows, or it is over."""
        if job.state is JobState.CANCELLED:
            self.cancelled.add(job.id)
            self.recheck(job)
        elif job.state in (JobState.DONE, JobState.GONE):
            self.cancelled.discard(job.id)
            del self.jobs[job.id]
            self.retry_at.pop(job.id, None)
            self.failures.pop(job.id, None)

    def recheck(self, job: Job) -> None:
        """What a job's machines are told may differ now, although they report what they did before."""
        for place in job.places.values():
            machine = self.machines.get(place.machine)
            if machine is not None:
                machine.steady = False

    def _commit_moves(self, batch: Batch, now: float) -> None:
        """Count tasks where they are now, on their machines and in their team's usage."""
        for job_id, index, old, new in batch.moves:
            job = batch.jobs[job_id]
            usage = self.usage.setdefault(job.spec.team, Usage())
            if old is None:
                usage.add(job.spec, 1)
            if new is None:
                usage.add(job.spec, -1)
            place = new or old
            if place is None:
                continue
            machine = self.machines.get(place.machine)
            key = (job_id, index)
            if machine is None:
                waiting = self.waiting.setdefault(place.machine, {})
                if new is None:
                    waiting.pop(key, None)
                else:
                    waiting[key] = new
            elif new is None:
                machine.drop(key, job.spec, now, self.image_of)
            else:
                machine.add(key, new, job.spec)

    def _commit_needs(self, batch: Batch, now: float) -> None:
        """Bring the graph up to date: first who came, then what ended."""
        for job_id in batch.created:
            job = batch.jobs[job_id]
            ended = {need: JobState.DONE.value for need in job.spec.needs or () if need not in batch.unmet[job_id]}
            self._join(job, ended)
        for job_id in batch.heads:
            job = batch.jobs[job_id]
            if job.state is JobState.ACTIVE:
                self._note_urgency((job_id,))
                continue
            if job.state is JobState.DONE:
                for ready in self.needs.done(job_id):
                    self.ready_at[ready] = now
            else:
                self.needs.cancelled(job_id)
            self._note_urgency(self.needs.remove(job_id))
            self.ready_at.pop(job_id, None)

    def runs_no_more(self, job: Job) -> bool:
        """Whether a job's tasks are to run no more."""
        return job.state is not JobState.ACTIVE or job.id in self.unconfirmed_cancellations

    # -- what users are told ------------------------------------------------------------------------------

    def view(self, job: Job) -> JobView:
        """Return a job's state as its user sees it."""
        if job.state is not JobState.ACTIVE:
            state = JobState.DONE if job.state is JobState.DONE else JobState.CANCELLED
            return JobView(job.id, state.value, job.done, 0)
        if job.id in self.needs.cancel_pending:
            return JobView(job.id, JobState.CANCELLED.value, 0, 0)
        running = 0
        for index, place in job.places.items():
            machine = self.machines.get(place.machine)
            if machine is not None and machine.phases.get((job.id, index)) == wire_workers.RUNNING:
                running += 1
        return JobView(job.id, "running" if running else "pending", job.done, running)


def _own_urgency(job: Job) -> Urgency:
    """Return how urgent a job is by itself; its deadline counts from its submission, however long it waits."""
    deadline_s = job.spec.deadline_s
    due = NO_DEADLINE if deadline_s is None else job.submitted + deadline_s
    return Urgency(job.spec.rank.level, due, job.spec.estimate_s)


def _repeats(report: Report, previous: Report | None) -> bool:
    """Whether a report says nothing that the one before it did not say."""
    return (
        previous is not None
        and report.notice_s is None
        and report.session == previous.session
        and report.token == previous.token
        and report.tasks == previous.tasks
    )
