"""One term of leadership without any I/O: what waits to be decided, and the next batch of decisions.

The controller feeds it (submissions, cancellations, reports, lists), asks for the next batch, has the
store take it, and makes it visible. A batch is built in the order: cancellations, submissions, what
reports prove, stops, rental requests, placement, clearing away.
"""

import logging
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from driftcleat import wire
from driftcleat.fleet.arrivals import Arrivals
from driftcleat.fleet.silence import Silence
from driftcleat.fleet.sizing import Demand, Offer, Plan, plan_fleet
from driftcleat.model import Batch, Cluster, Job, JobState, Machine, MachineState, Place, TaskState, change_machine
from driftcleat.placement.engine import MANY, Limits, PlacementRound, Preemption, plan_preemption
from driftcleat.placement.rooms import SLACK, Room, allowed, capacity, fits, hasty, spread_limit
from driftcleat.placement.victims import Victims, turn
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import (
    DATA_VERSION,
    MACHINES,
    RENTALS,
    VERSION,
    Layout,
    MachineRecord,
    RentalRecord,
    chunk_key,
)
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobView, Kind, Submission
from driftcleat.wire.workers import FETCHING, RUNNING

log = logging.getLogger(__name__)

INFINITE = float("inf")


@dataclass(slots=True)
class Ticket:
    """A user's request that waits for its batch; `answer` is called once, after the commit or on the way."""

    answer: Callable[[JobView | None], None]
    spec: Submission | None = None
    job_id: str = ""
    # Final states of jobs that the submission needs, as far as they were found among the ended ones.
    ended: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class OpenRental:
    """A rental request that is stored and not yet settled."""

    name: str
    record: RentalRecord


@dataclass(slots=True)
class Counters:
    """What this term has done, for metrics."""

    batches: int = 0
    rounds: int = 0
    rounds_cut: int = 0
    placed: int = 0
    preempted: int = 0
    rented: int = 0
    returned: int = 0
    failures: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Move:
    """A job's records on their way to another split: all chunks first, the head that names them last."""

    job_id: str
    split: int
    written: int = 1
    # The chunks' versions; 0 for those in the batch under way.
    versions: dict[int, int] = field(default_factory=dict)


class Term:
    """The decisions of one term."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        cluster: Cluster,
        layout: Layout,
        rng: random.Random,
        clock: Callable[[], float],
        wall: Callable[[], float],
        brand_new: bool = False,
    ) -> None:
        self.platform, self.tuning, self.cluster, self.layout = platform, tuning, cluster, layout
        self.rng, self.clock, self.wall = rng, clock, wall
        now = clock()
        # Workers report before places are given. A store that never held a batch has no workers yet.
        self.place_from = now if brand_new else now + platform.report_s * 1.25
        self.submissions: deque[Ticket] = deque()
        self.cancels: deque[Ticket] = deque()
        self.garbage: list[str] = []
        self.open_rentals: dict[str, OpenRental] = {}
        self.new_rentals: list[OpenRental] = []
        self.settled_rentals: list[str] = []
        self.notes: dict[str, object] = {}
        self.image_notes: dict[str, tuple[str, ...]] = {}
        self.rental_number = 0
        self.refused: dict[Offer, tuple[float, float]] = {}
        self.urgent: set[str] = set()
        self.in_flight: set[str] = set()
        self.ended: OrderedDict[str, JobView] = OrderedDict()
        self.arrivals = Arrivals(platform.report_s * tuning.window, platform.report_s)
        self.counters = Counters()
        self.room_changed = True
        self.check_drains = True
        self.place_again_at = self.place_not_before = 0.0
        self.resume_behind: str | None = None
        self.claims: dict[str, float] = {}
        self.image_claims: set[str] = set()
        # Whether every controller is known to write data version 2, so that it may begin.
        self.latch_wanted = False
        self.moving: Move | None = None
        self.unmoved: set[str] = set()
        # Jobs that something waits for until their records are moved.
        self.move_first: dict[str, None] = {}
        # Machines whose room is kept for a job until a time: what it displaced, or what its gang still lacks.
        self.held: dict[str, tuple[str, float]] = {}
        self.draining: set[str] = set()
        # The machines that the cloud's newest list names; None before the first.
        self.listed: set[str] | None = None
        # Until when a zone counts as dark (under its name), or machines as silent together (under none).
        self._silences: dict[str | None, float] = {}
        self._order: tuple[int, list[Job], set[str]] | None = None
        self._booting: set[tuple[str, str, bool]] = set()
        cluster.on_exit = self._note_exit
        cluster.on_up = self.note_room
        cluster.on_image = self._note_images
        cluster.on_notice = lambda machine, notice_s: self.drain(machine, f"notice of {notice_s:.1f} s")
        for job in cluster.jobs.values():
            layout.take_in(job)
            if layout.must_move(job):
                self.unmoved.add(job.id)
            if cluster.ready(job):
                self.arrivals.note(job.spec, now - max(0.0, wall() - job.submitted))

    # -- intake -------------------------------------------------------------------------------------------

    def lookup(self, job_id: str) -> JobView | None:
        """Return the committed state of a job this term knows of."""
        job = self.cluster.jobs.get(job_id)
        if job is not None:
            return self.cluster.view(job)
        return self.ended.get(job_id)

    @property
    def queue_full(self) -> bool:
        """Whether no more requests can be taken for now."""
        return len(self.submissions) + len(self.cancels) >= self.tuning.queue * self.platform.write_rps

    def _note_exit(self, machine: Machine, job: Job, why: str) -> None:
        self.counters.failures[why] = self.counters.failures.get(why, 0) + 1
        if len(machine.failed_jobs) >= 2 and machine.state is MachineState.UP:
            self.drain(machine, "it fails its tasks")

    def note_room(self) -> None:
        """Something came or went: a placement round may find more than the last one did."""
        self.room_changed = True
        self.place_again_at = 0.0

    def drain(self, machine: Machine, why: str) -> None:
        """Place nothing more on a machine and stop what is there, with time to save."""
        log.info("draining %s with %d tasks: %s", machine.name, len(machine.tasks), why)
        change_machine(machine, MachineState.DRAINING)
        self.draining.add(machine.name)
        # Nothing else need happen for the next batch to hold the stops.
        self.check_drains = True

    @property
    def users_wait(self) -> bool:
        """Whether a user waits for the next batch."""
        return bool(self.submissions or self.cancels)

    @property
    def worth_a_batch(self) -> float:
        """Return how many changes the store should take before a batch without users is built."""
        return self.platform.write_rps * self.tuning.reserve + self.platform.txn_ops / 2

    # -- the batch ----------------------------------------------------------------------------------------

    @property
    def has_work(self) -> bool:
        """Whether a batch built now may hold something."""
        now = self.clock()
        return bool(
            self.submissions
            or self.cancels
            or self.cluster.dirty
            or self.new_rentals
            or self.settled_rentals
            or self.garbage
            or self.notes
            or self.check_drains
            or self.cluster.needs.doomed
            or self.must_latch
            or self._to_move() is not None
            or self._round_due(now)
        )

    @property
    def must_latch(self) -> bool:
        """Whether data version 2 is to begin with the next batch."""
        return self.latch_wanted and not self.layout.switched

    def _round_due(self, now: float) -> bool:
        return self.room_changed and now >= max(self.place_from, self.place_again_at, self.place_not_before)

    def build(self, changes: float = INFINITE) -> Batch:
        """Return the next batch; it may be empty. `changes` is what the store takes at once just now.

        Users come first: a part of the changes a second stays free for them, and what only tidies up is left
        for when there are changes to spare. Guards against submissions waiting behind hundreds of notes.
        """
        batch = self._build(changes, self.platform.txn_ops)
        stuck = batch.empty and not batch.after and bool(self.cluster.dirty or self.check_drains)
        if stuck and not self.layout.switched and self.platform.first_txn_ops > self.platform.txn_ops:
            # A gang that the first data version keeps in more records than the lower limit allows to change at once.
            # Guards against everything waiting behind it until the switch.
            batch = self._build(changes, self.platform.first_txn_ops)
        return batch

    def _build(self, changes: float, txn_ops: int) -> Batch:
        now = self.clock()
        most = txn_ops - 1
        batch = Batch(self.cluster.jobs, self.layout.chunk_of, most, 56 * 1024, self.layout.must_move)
        # Only who knows that every controller is new hands such a job in.
        self.latch_wanted = self.latch_wanted or any(
            ticket.spec is not None and ticket.spec.needs for ticket in self.submissions
        )
        if self.must_latch:
            batch.put(VERSION, DATA_VERSION)
            batch.after.append(self._switch)
            return batch
        self._take_cancels(batch)
        self._take_submissions(batch, now)
        users = most - batch.ops_left
        self._take_doomed(batch)
        self._take_moves(batch)
        spare = changes - 1 - users - self.platform.write_rps * self.tuning.reserve
        moved = most - users - batch.ops_left
        batch.ops_left = room = int(max(0, min(batch.ops_left, spare - moved)))
        self._take_reports(batch, now)
        self._take_drains(batch)
        self._take_rentals(batch)
        if not users and self._round_due(now):
            self._place(batch, now)
        tidy = spare - moved - (room - batch.ops_left) - self.platform.write_rps * self.tuning.tidy
        batch.ops_left = int(max(0, min(batch.ops_left, tidy)))
        while self.garbage and batch.room_extra():
            key = self.garbage.pop()
            batch.remove(key)
            batch.undo.append(partial(self.garbage.append, key))
        while self.notes and batch.room_extra():
            key, value = self.notes.popitem()
            batch.put(key, value)
            batch.undo.append(partial(self.notes.__setitem__, key, value))
        self.move_first.update(dict.fromkeys(sorted(batch.blocked)))
        self.in_flight = {place.machine for _, _, _, place in batch.moves if place is not None}
        self.cluster.leaving = {
            (job_id, index, old.attempt) for job_id, index, old, new in batch.moves if old is not None and new is None
        }
        return batch

    def _switch(self) -> None:
        """Data version 2 is in force: there is no way back."""
        log.info("data version %d begins", DATA_VERSION)
        self.layout.switched = True
        for job in self.cluster.jobs.values():
            self.layout.take_in(job)
        self.unmoved = {job.id for job in self.cluster.jobs.values() if self.layout.must_move(job)}
        self.note_room()

    def discard(self, batch: Batch) -> None:
        """A batch is certainly not carried out, and will not be sent again: what it took waits for the next one."""
        for call in reversed(batch.undo):
            call()
        if self.moving is not None:
            # Its chunks are garbage, or written once more.
            self.moving = None
        self.cluster.dirty.update(
            name
            for name, machine in self.cluster.machines.items()
            if machine.report is not None or machine.state is MachineState.GONE
        )
        self.cluster.leaving.clear()
        self.cluster.doubted_cancels.clear()
        self.check_drains = True
        self.in_flight = set()
        self.note_room()

    # -- records in other pieces --------------------------------------------------------------------------

    def _to_move(self) -> Job | None:
        """Return the job whose records are to be moved next: one that something waits for, if there is any."""
        if not self.unmoved:
            return None
        if self.moving is not None and self.moving.job_id in self.cluster.jobs:
            return self.cluster.jobs[self.moving.job_id]
        self.moving = None
        self.unmoved &= self.cluster.jobs.keys()
        self.move_first = {job_id: None for job_id in self.move_first if job_id in self.unmoved}
        return self.cluster.jobs[min(self.move_first or self.unmoved)] if self.unmoved else None

    def _take_moves(self, batch: Batch) -> None:
        """Write the records of jobs of the first data version anew, in pieces that the limits to come allow.

        A job does not change meanwhile, so its chunks may be written in several batches. Until the head names them
        they are garbage, and the old ones valid; a leader that ends in between leaves it at that.
        """
        while batch.ops_left > 0 and (job := self._to_move()) is not None:
            if self.moving is None:
                split = self.layout.own_split(job)
                self.moving = Move(job.id, split)
                # An earlier leader may have left some of the very keys: they are no garbage from now on.
                prefix = chunk_key(job.id, 0, split)[:-1]
                self.garbage = [key for key in self.garbage if not key.startswith(prefix)]
            move = self.moving
            chunks = -(-job.spec.tasks // move.split)
            while move.written < chunks and batch.room_extra():
                batch.put(
                    chunk_key(job.id, move.written, move.split), self.layout.chunk_in(job, move.split, move.written)
                )
                move.versions[move.written] = 0
                move.written += 1
            if move.written < chunks or not batch.room_extra():
                return
            batch.relay(job.id, move.split, move.versions)
            batch.after.append(self._end_move(job))
            return

    def _end_move(self, job: Job) -> Callable[[], None]:
        old = [chunk_key(job.id, chunk, job.split) for chunk in job.chunk_versions]

        def ended() -> None:
            self.garbage.extend(old)
            self.moving = None
            self.unmoved.discard(job.id)
            self.note_room()

        return ended

    def commit(self, batch: Batch, revision: int, garbage: list[str]) -> None:
        """Make a batch visible that the store has taken."""
        now = self.clock()
        if self.moving is not None:
            for chunk, version in self.moving.versions.items():
                self.moving.versions[chunk] = version or revision
        for job_id in batch.heads:
            job = batch.jobs[job_id]
            if job.state in (JobState.DONE, JobState.GONE):
                self.ended[job_id] = self.cluster.view(job)
                self._end_claims(job_id)
                while len(self.ended) > 5000:
                    self.ended.popitem(last=False)
            elif job.state is JobState.CANCELLED:
                self.urgent.update(place.machine for place in job.places.values())
        self.cluster.commit(batch, revision, now)
        for job_id, ready_at in self.cluster.ready_at.items():
            if ready_at == now:
                self.arrivals.note(self.cluster.jobs[job_id].spec, now)
                self.note_room()
        self.cluster.doubted_cancels.clear()
        self.cluster.leaving.clear()
        if batch.created:
            # A job is placed in the batch after its own: nothing else may come to ask for that round.
            self.note_room()
        for _, _, old, new in batch.moves:
            if new is None:
                self.note_room()
            elif new.stop is not None and old is not None:
                self.urgent.add(new.machine)
        self.garbage.extend(garbage)
        # A batch under way may have put a task where meanwhile a drain began.
        self.check_drains = self.check_drains or bool(self.draining)
        self.in_flight = set()
        self.counters.batches += 1
        for call in batch.after:
            call()

    def doubt_cancels(self, batch: Batch) -> bool:
        """Stop the tasks of jobs whose cancellation is in a batch of unknown outcome; False if that is done already.

        The one exception to the change rule, and only while the store is away. Guards against a transaction that was
        carried out without our knowing: another controller reads the record and tells the user, the store is then
        down for longer than a cancellation has, and we keep the leases of those very tasks. Their user has asked for
        it, so nothing of worth is lost if the record says otherwise in the end; the tasks then queue again.
        """
        doubted = {job_id for job_id in batch.heads if batch.jobs[job_id].state is JobState.CANCELLED}
        if doubted <= self.cluster.doubted_cancels:
            return False
        self.cluster.doubted_cancels |= doubted
        for job_id in doubted:
            job = self.cluster.jobs.get(job_id)
            if job is not None:
                self.urgent.update(place.machine for place in job.places.values())
        return True

    def _note_images(self, machine: Machine) -> None:
        """Keep what a machine has cached: a new leader would otherwise fetch it all again elsewhere."""
        images = [(image, size_gb) for image, size_gb in machine.images.items() if image in machine.fetched]
        while len(wire.encode(MachineRecord(images))) > self.layout.value_bytes:
            images = images[1 + len(images) // 8 :]
        names = tuple(sorted(image for image, _ in images))
        if names != self.image_notes.get(machine.name):
            self.image_notes[machine.name] = names
            self.notes[MACHINES + machine.name] = MachineRecord(images)

    def forget_images(self, name: str) -> None:
        """A machine is gone; so is what it had cached."""
        self.cluster.known_images.pop(name, None)
        self.notes.pop(MACHINES + name, None)
        if self.image_notes.pop(name, None) is not None:
            self.garbage.append(MACHINES + name)

    def restore_images(self, name: str, record: MachineRecord) -> None:
        """A machine's images as an earlier leader noted them."""
        self.cluster.known_images[name] = record.images
        self.image_notes[name] = tuple(sorted(image for image, _ in record.images))

    def _take_cancels(self, batch: Batch) -> None:
        waiting: list[Ticket] = []
        while self.cancels:
            ticket = self.cancels[0]
            job = batch.get(ticket.job_id)
            frozen = job is not None and job.state is JobState.ACTIVE and batch.frozen(job)
            if job is not None and job.state is JobState.ACTIVE and not frozen:
                if not batch.room(job, ends=True):
                    break
                batch.cancel(ticket.job_id, self.wall())
            self.cancels.popleft()
            if frozen:
                waiting.append(ticket)
                continue
            batch.undo.append(partial(self.cancels.appendleft, ticket))
            batch.after.append(self._answer_later(ticket, ticket.job_id))
        self.cancels.extend(waiting)

    def _take_doomed(self, batch: Batch) -> None:
        """Cancel what depends on cancelled jobs: nothing of it has ever started, its records are all there is."""
        for job_id in list(self.cluster.needs.doomed):
            job = batch.get(job_id)
            if job is None or job.state is not JobState.ACTIVE or batch.frozen(job):
                continue
            if not batch.room(job, ends=True):
                return
            batch.cancel(job_id, self.wall())

    def _take_submissions(self, batch: Batch, now: float) -> None:
        while self.submissions:
            ticket = self.submissions[0]
            spec = ticket.spec
            assert spec is not None
            if batch.get(spec.id) is None and spec.id not in self.ended:
                job = Job(spec, self.wall())
                self.layout.take_in(job)
                if not batch.room(job):
                    return
                states = {need: self._need_state(batch, need, ticket) for need in spec.needs or ()}
                batch.create(job, {need for need, state in states.items() if state is not JobState.DONE})
                if JobState.CANCELLED in states.values():
                    batch.cancel(job.id, self.wall())
                elif not batch.unmet[job.id]:
                    self.arrivals.note(spec, now)
                log.debug("job %s (%s) accepted: %d tasks", spec.id, spec.job_class, spec.tasks)
            self.submissions.popleft()
            batch.undo.append(partial(self.submissions.appendleft, ticket))
            batch.after.append(self._answer_later(ticket, spec.id))

    def _need_state(self, batch: Batch, need: str, ticket: Ticket) -> JobState:
        """Return how a needed job stands as this batch leaves it: ACTIVE, DONE or CANCELLED."""
        job = batch.get(need)
        if job is not None:
            # What ends in this very batch is told to the graph after the newcomer has joined it.
            gone = job.state in (JobState.CANCELLED, JobState.GONE) or need in self.cluster.needs.doomed
            return JobState.CANCELLED if gone else JobState.ACTIVE
        view = self.ended.get(need)
        return JobState(view.state if view is not None else ticket.ended.get(need, JobState.ACTIVE.value))

    def _answer_later(self, ticket: Ticket, job_id: str) -> Callable[[], None]:
        return lambda: ticket.answer(self.lookup(job_id))

    def _take_reports(self, batch: Batch, now: float) -> None:
        for name in list(self.cluster.dirty):
            machine = self.cluster.machines.get(name)
            waiting = set(batch.blocked)
            if machine is not None and not self.cluster.reconcile(machine, batch, now):
                if self.clock() - now > self.platform.report_s * self.tuning.budget:
                    return
            elif batch.blocked == waiting:
                self.cluster.dirty.discard(name)

    def _take_drains(self, batch: Batch) -> None:
        """Stop what runs on machines that take no more."""
        for name in sorted(self.draining):
            machine = self.cluster.machines.get(name)
            if machine is None or machine.state is not MachineState.DRAINING:
                self.draining.discard(name)
                continue
            for job_id, index in machine.tasks:
                job = batch.get(job_id)
                if job is None or job.state is not JobState.ACTIVE:
                    continue
                if not self._stop_attempt(batch, job, index):
                    if batch.frozen(job):
                        continue
                    return
        self.check_drains = bool(batch.blocked)

    def _stop_attempt(self, batch: Batch, job: Job, index: int) -> bool:
        """Stop a task with time to save; of a gang all tasks. False when the batch is too full."""
        place = job.places.get(index)
        if place is None or place.stop is not None:
            return True
        grace = job.spec.save_s if job.spec.checkpoint_s > 0 else 0.0
        indices = list(job.places) if job.is_gang else [index]
        chunks = len({self.layout.chunk_of(job, other) for other in indices} - {0})
        if not batch.room(job, len(indices), chunks):
            return False
        for other in indices:
            batch.stop(job.id, other, grace)
        return True

    def _take_rentals(self, batch: Batch) -> None:
        while self.settled_rentals and batch.room_extra():
            name = self.settled_rentals.pop()
            batch.remove(RENTALS + name)
            batch.undo.append(partial(self.settled_rentals.append, name))
        while self.new_rentals and batch.room_extra():
            rental = self.new_rentals.pop(0)
            batch.put(RENTALS + rental.name, rental.record)
            batch.undo.append(partial(self.new_rentals.insert, 0, rental))
            batch.after.append(self._open_later(rental))

    def _open_later(self, rental: OpenRental) -> Callable[[], None]:
        """Send a rental only once its name is stored."""

        def opened() -> None:
            self.open_rentals[rental.name] = rental

        return opened

    # -- placement ----------------------------------------------------------------------------------------

    def ordered_jobs(self) -> tuple[list[Job], set[str]]:
        """Return the jobs with queued tasks, guarantees first, then rank, then age; and who is guaranteed.

        What is returned is kept until the next commit, and not to be changed.
        """
        if self._order is not None and self._order[0] == self.counters.batches:
            return self._order[1], self._order[2]
        guaranteed: set[str] = set()
        sums: dict[str, list[float]] = {}
        queued: list[Job] = []
        for job in sorted(self.cluster.jobs.values(), key=lambda job: (job.submitted, job.id)):
            if job.state is not JobState.ACTIVE or not self.cluster.ready(job):
                # What waits for others takes no place, and no part of a limit or a guarantee.
                continue
            team = self.platform.teams.get(job.spec.team)
            total = sums.setdefault(job.spec.team, [0.0, 0.0])
            left = job.spec.tasks - job.done
            total[0] += job.spec.cpus * left
            total[1] += job.spec.gpus * left
            if team is not None and _within(team.cpus, team.gpus, total, job.spec):
                guaranteed.add(job.id)
            if job.queued > 0:
                queued.append(job)
        queued.sort(key=lambda job: turn(job, guaranteed))
        self._order = (self.counters.batches, queued, guaranteed)
        return queued, guaranteed

    def limits(self, team_name: str) -> Limits:
        """Return what a team may still take."""
        team = self.platform.teams.get(team_name)
        usage = self.cluster.usage.get(team_name)
        cpus, gpus = (usage.cpus, usage.gpus) if usage is not None else (0.0, 0.0)
        if team is None:
            return Limits(0.0, 0.0)
        return Limits(
            team.cpus_max - cpus if team.cpus_max > 0 else INFINITE,
            team.gpus_max - gpus if team.gpus_max > 0 else INFINITE,
        )

    def takes_tasks(self, machine: Machine, now: float) -> bool:
        """Whether a machine may be given tasks: up, heard of lately, and it heeds our answers.

        Guards against placing on a machine of which only an old copy of a report arrived, or whose reports
        arrive while our answers do not reach it.
        """
        return (
            machine.state is MachineState.UP
            and machine.type is not None
            and machine.trusted
            and not machine.unheeded
            and machine.full_until <= now
            and machine.heard_at >= now - self.platform.report_s * 2.0
        )

    def rooms(self, now: float, least: tuple[float, float, float] = (0.0, 0.0, 0.0)) -> list[Room]:
        """Return the rooms of machines that take tasks and have at least this much free."""
        cpus, gpus, memory_gb = (need - SLACK for need in least)
        out = []
        for machine in self.cluster.machines.values():
            kind = machine.type
            if (
                kind is not None
                and kind.gpus - machine.gpus >= gpus
                and kind.cpus - machine.cpus >= cpus
                and kind.memory_gb - machine.memory_gb >= memory_gb
                and self.takes_tasks(machine, now)
            ):
                out.append(self._room(machine, now))
        return out

    def _room(self, machine: Machine, now: float) -> Room:
        room = _room(machine, self.cluster.jobs)
        room.away = self.platform.away(machine.zone)
        held = self.held.get(machine.name)
        if held is not None and held[1] > now:
            room.held_for = held[0]
        return room

    def _place(self, batch: Batch, now: float) -> None:
        budget = self.platform.report_s * self.tuning.budget
        deadline = now + budget
        self.counters.rounds += 1
        queued, guaranteed = self.ordered_jobs()
        specs = [job.spec for job in queued]
        least = (
            min((spec.cpus for spec in specs), default=INFINITE),
            min((spec.gpus for spec in specs), default=INFINITE),
            min((spec.memory_gb for spec in specs), default=INFINITE),
        )
        work = PlacementRound(
            self.rooms(now, least),
            round(self.tuning.sample),
            self.rng,
            lambda job_id, index: (job_id, index) in self.cluster.ghosts,
        )
        self.held = {name: held for name, held in self.held.items() if held[1] > now and held[0] in self.cluster.jobs}
        self._booting = {
            (machine.type.name, machine.zone, machine.spot)
            for machine in self.cluster.machines.values()
            if machine.state is MachineState.BOOTING
            and machine.type is not None
            and now - machine.rented_at < machine.type.boot_s * self.tuning.late
        }
        scene = _Scene(work, guaranteed, now)
        limits: dict[str, Limits] = {}
        if self.resume_behind is not None:
            at = next((n for n, job in enumerate(queued) if job.id == self.resume_behind), -1)
            queued = queued[at + 1 :] + queued[: at + 1]
            self.resume_behind = None
        self.room_changed = False
        retry_at = INFINITE
        for job in queued:
            wait = self.cluster.retry_at.get(job.id, 0.0)
            if wait > now:
                retry_at = min(retry_at, wait)
                continue
            current = batch.get(job.id)
            if current is None or current.state is not JobState.ACTIVE or job.id in batch.jobs:
                # It changes in this batch already; it is placed in the next one.
                self.room_changed = True
                continue
            if batch.frozen(job):
                self.room_changed = True
                continue
            if self.clock() >= deadline or not batch.room(job):
                # The budget of this round is used up: the next one goes on behind the job before this.
                self._cut_round(job, queued)
                break
            self._place_one(batch, job, scene, limits)
        else:
            if retry_at < INFINITE:
                self.room_changed = True
                self.place_again_at = retry_at
            elif queued:
                self.room_changed = True
                self.place_again_at = now + self.platform.report_s / 4
        # A round that cost much is followed by a pause in which reports and users have the processor.
        spent = min(self.clock() - now, 2 * budget)
        self.place_not_before = now + spent / (self.platform.core_share * self.tuning.share)

    def _cut_round(self, job: Job, queued: list[Job]) -> None:
        self.counters.rounds_cut += 1
        at = queued.index(job)
        self.resume_behind = queued[at - 1].id if at > 0 else None
        self.room_changed = True
        self.place_again_at = 0.0

    def _place_one(self, batch: Batch, job: Job, scene: "_Scene", limits: dict[str, Limits]) -> None:
        limit = limits.setdefault(job.spec.team, self.limits(job.spec.team))
        most = self._batch_most(batch, job)
        if job.is_gang and job.queued > most:
            self.room_changed = True
            return
        if self._make_room_by_image(batch, job, scene, limit):
            return
        placed = scene.work.place(job, limit, most, self._most_fetches(job, scene.now))
        if placed and not job.is_gang:
            placed = self._within_records(batch, job, placed)
            if not placed:
                self.room_changed = True
                return
        if placed:
            attempt = batch.launch(job.id)
            for index, room in placed:
                batch.move(job.id, index, TaskState.PLACED, Place(room.name, room.zone, attempt))
            self.counters.placed += len(placed)
            log.debug(
                "job %s (%s, image %s of %.1f GB) attempt %d: %s",
                job.id,
                job.spec.job_class,
                job.spec.image,
                job.spec.image_gb,
                attempt,
                ", ".join(f"{index} on {room.name}" for index, room in placed[:8]),
            )
            if job.is_gang or len(placed) == job.queued:
                self._end_claims(job.id)
        elif job.queued and limit.fits(job.spec, job.queued if job.is_gang else 1):
            self._preempt_for(batch, job, scene)

    def _within_records(self, batch: Batch, job: Job, placed: list[tuple[int, Room]]) -> list[tuple[int, Room]]:
        """Return as many of an array's or service's new places as the records that may still change can take."""
        chunks: set[int] = set()
        for count, (index, _) in enumerate(placed):
            chunks |= {self.layout.chunk_of(job, index)} - {0}
            if not batch.room(job, count + 1, len(chunks)):
                return placed[:count]
        return placed

    def _end_claims(self, job_id: str) -> None:
        """A job has found its places, or is over: nothing is kept for it any more."""
        self.claims.pop(job_id, None)
        self.image_claims.discard(job_id)
        for name in [name for name, held in self.held.items() if held[0] == job_id]:
            del self.held[name]

    def _most_fetches(self, job: Job, now: float) -> int:
        """Return how far a place's fetches may be shared: see `PlacementRound.place`."""
        if job.id in self.image_claims:
            if self.claims.get(job.id, 0.0) > now:
                return 0
            self.image_claims.discard(job.id)
        return 1 if self._better_waits(job) else MANY

    def _make_room_by_image(self, batch: Batch, job: Job, scene: "_Scene", limit: Limits) -> bool:
        """Stop lower work on machines that have the image, if that loses less than fetching it elsewhere."""
        spec, work = job.spec, scene.work
        if (
            (spec.kind is not Kind.SERVICE and spec.tasks > 1)
            or not limit.fits(spec, 1)
            or (self.claims.get(job.id, 0.0) > scene.now)
        ):
            return False
        work.most_fetches = MANY
        best = work.find(spec, spec.zone, lambda room: True)
        kind = self.cluster.types.get(best.type) if best is not None else None
        if kind is None:
            return False
        counts = job.zone_counts()
        for room in work.rooms:
            if room.fetch_rank(spec.image) == 0 and allowed(spec, room.type, room.zone, room.spot):
                held = counts.get(room.zone, 0)
                counts[room.zone] = held + capacity(
                    spec, room.cpus, room.gpus, room.memory_gb, spread_limit(spec) - held
                )
        if sum(counts.values()) >= spec.tasks - job.done:
            return False
        fetch = _fetch_s(spec, kind) * _size(spec)
        victims = self._victims(batch, scene)
        cached = [machine for machine in victims.machines(job) if spec.image in machine.fetched]
        if not self._displace(batch, job, scene, cached, fetch * self.tuning.evict, counts):
            return False
        self.image_claims.add(job.id)
        return True

    def _better_waits(self, job: Job) -> bool:
        """Whether a machine that boots is likely better than one that fetches another image: fetches share
        a machine's rate, so images that are mixed on one machine all come late."""
        for name, zone, spot in self._booting:
            kind = self.cluster.types.get(name)
            if (
                kind is not None
                and allowed(job.spec, name, zone, spot)
                and fits(job.spec, kind.cpus, kind.gpus, kind.memory_gb)
            ):
                return self._waited_s(job) < kind.boot_s * self.tuning.patience
        return False

    def _waited_s(self, job: Job) -> float:
        """Return for how long a job could have run, as far as other jobs go."""
        ready_at = self.cluster.ready_at.get(job.id)
        return self.wall() - job.submitted if ready_at is None else self.clock() - ready_at

    def _batch_most(self, batch: Batch, job: Job) -> int:
        """Return how many tasks of a job this batch can still place."""
        chunk = self.layout.chunk_tasks(job)
        ops = batch.ops_left - 2
        if job.is_gang:
            chunks = -(-job.spec.tasks // chunk)
            fit = batch.room(job, min(job.queued, len(self.cluster.machines) + chunks), chunks - 1)
            return job.queued if fit else 0
        return max(1, min(chunk * max(1, ops), (batch.size_left - 4096) // 128))

    def _victims(self, batch: Batch, scene: "_Scene") -> Victims:
        if scene.victims is None:
            scene.victims = Victims(
                (
                    machine
                    for machine in self.cluster.machines.values()
                    if machine.tasks and self.takes_tasks(machine, scene.now)
                ),
                batch.get,
                scene.guaranteed,
                self._loss,
            )
        return scene.victims

    def _preempt_for(self, batch: Batch, job: Job, scene: "_Scene") -> None:
        """Make room for a job that found none."""
        if self.claims.get(job.id, 0.0) > scene.now:
            return
        if job.id in scene.guaranteed or job.level <= 1:
            if job.is_gang and job.spec.tasks > 1:
                self._displace_for_gang(batch, job, scene)
                return
            machines = self._victims(batch, scene).machines(job)
            self._displace(batch, job, scene, self._sampled(machines, job.spec.image), INFINITE, job.zone_counts())

    def _sampled(self, machines: list[Machine], image: str) -> list[Machine]:
        """Return a sample of machines; those that have the image come first."""
        most = round(self.tuning.sample)
        if len(machines) <= most:
            return machines
        mixed = self.rng.sample(machines, len(machines))
        return sorted(mixed, key=lambda machine: image not in machine.fetched)[:most]

    def _plans(self, batch: Batch, job: Job, scene: "_Scene", machines: list[Machine]) -> list[Preemption]:
        """Return on which of these machines how much would have to be stopped for a task, cheapest first.

        A fetch that would follow counts as a cost. Guards against stopping work for a place that then waits for its
        image, beside a machine that has it.
        """
        spec, victims = job.spec, self._victims(batch, scene)
        plans: list[Preemption] = []
        for machine in machines:
            plan = plan_preemption(spec, scene.room(self._room, machine), victims.on(machine, job))
            if plan is not None and machine.type is not None:
                fetch = 0.0 if spec.image in machine.fetched else _fetch_s(spec, machine.type) * _size(spec)
                plans.append(replace(plan, cost=plan.cost + fetch * self.tuning.evict))
        return sorted(plans, key=lambda plan: (plan.cost, plan.room.name))

    def _displace(
        self,
        batch: Batch,
        job: Job,
        scene: "_Scene",
        machines: list[Machine],
        most_cost: float,
        counts: dict[str, int],
    ) -> bool:
        """Stop the cheapest work that the rules let this job displace on these machines, for several tasks.

        `counts` says how many of its tasks have a place, or will have, by zone.
        """
        per_zone, lacking = spread_limit(job.spec), job.spec.tasks - job.done - sum(counts.values())
        zone = next(iter(counts), None) if job.spec.one_zone else None
        stopped = False
        for plan in self._plans(batch, job, scene, machines):
            if not plan.victims or plan.cost > most_cost:
                continue
            if counts.get(plan.room.zone, 0) >= per_zone or zone not in (None, plan.room.zone):
                continue
            if not self._carry_out(batch, job, scene, plan):
                break
            stopped = True
            counts[plan.room.zone] = counts.get(plan.room.zone, 0) + 1
            zone = plan.room.zone if job.spec.one_zone else None
            lacking -= 1
            if lacking <= 0:
                break
        return stopped

    def _displace_for_gang(self, batch: Batch, job: Job, scene: "_Scene") -> None:
        """Keep what is free in the zone where the rest costs least, and stop lower work for what lacks.

        Guards against two things seen at size: gangs of several tasks displaced nobody, and the machines that
        came free one by one went to smaller jobs behind them.
        """
        spec, now = job.spec, scene.now
        by_zone: dict[str, list[Machine]] = {}
        for machine in self.cluster.machines.values():
            kind = machine.type
            if (
                kind is not None
                and fits(spec, kind.cpus, kind.gpus, kind.memory_gb)
                and allowed(spec, kind.name, machine.zone, machine.spot)
                and self.takes_tasks(machine, now)
            ):
                by_zone.setdefault(machine.zone if spec.one_zone else "", []).append(machine)
        best: tuple[float, list[Preemption]] | None = None
        for machines in by_zone.values():
            coming = [machine for machine in machines if self.held.get(machine.name, ("", 0.0))[0] == job.id]
            need = job.queued - len(coming)
            plans = self._plans(batch, job, scene, [machine for machine in machines if machine not in coming])
            if len(plans) < need:
                continue
            cost = sum(plan.cost for plan in plans[:need])
            if best is None or cost < best[0]:
                best = (cost, plans[:need])
        if best is None:
            return
        until = self._claim_until(job, now, best[1])
        for plan in best[1]:
            if plan.victims and not self._carry_out(batch, job, scene, plan):
                # What did not fit into this batch follows in the next one; what is kept stays kept.
                self.claims.pop(job.id, None)
                return
            self.held[plan.room.name] = (job.id, until)
            plan.room.held_for = job.id
        self.claims[job.id] = until

    def _claim_until(self, job: Job, now: float, plans: list[Preemption]) -> float:
        """Return until when what is stopped is reckoned to be gone and seen to be."""
        save_s = max((victim.job.spec.save_s for plan in plans for victim in plan.victims), default=0.0)
        return now + self.platform.report_s * 3 + save_s

    def _carry_out(self, batch: Batch, job: Job, scene: "_Scene", plan: Preemption) -> bool:
        """Stop a plan's tasks and keep their room for the job; False if the batch is too full."""
        if len(plan.victims) * 2 > batch.ops_left:
            self.room_changed = True
            return False
        for victim in plan.victims:
            if not self._stop_attempt(batch, batch.get(victim.job.id) or victim.job, victim.index):
                self.room_changed = True
                return False
            self.counters.preempted += 1
        log.debug("job %s displaces %s on %s", job.id, [victim.job.id for victim in plan.victims], plan.room.name)
        self.claims[job.id] = until = self._claim_until(job, scene.now, [plan])
        self.held[plan.room.name] = (job.id, until)
        plan.room.held_for = job.id
        self._victims(batch, scene).take(self.cluster.machines[plan.room.name])
        return True

    def _loss(self, job: Job, machine: Machine, key: tuple[str, int]) -> float:
        """Estimate what a stop loses, in seconds of all that the task takes.

        A fetch under way is lost whole; so may be what a running task has fetched, if it goes elsewhere.
        """
        spec = job.spec
        size = _size(spec)
        if spec.kind is Kind.SERVICE:
            return size * 1e4
        fetch_s = _fetch_s(spec, machine.type) if machine.type is not None else spec.image_gb
        if machine.phases.get(key, FETCHING) == FETCHING:
            return size * (self.platform.report_s * 2 + fetch_s)
        again = self.platform.report_s * 2 + fetch_s * self.tuning.refetch
        return size * (again + (spec.save_s if spec.checkpoint_s > 0 else spec.estimate_s))

    # -- fleet --------------------------------------------------------------------------------------------

    def plan_rentals(self, now: float) -> Plan:
        """Return what to rent for queued and expected work, and which machines that work would use."""
        queued, _ = self.ordered_jobs()
        limits: dict[str, Limits] = {}
        demands: list[Demand] = []
        for job in queued:
            if self.cluster.failures.get(job.id, 0) >= 3:
                continue
            limit = limits.setdefault(job.spec.team, self.limits(job.spec.team))
            wanted = job.queued
            if job.is_gang:
                if not limit.fits(job.spec, wanted):
                    continue
            else:
                wanted = capacity(job.spec, limit.cpus, limit.gpus, INFINITE, wanted)
            if wanted <= 0:
                continue
            limit.take(job.spec, wanted)
            if hasty(job.spec):
                # Machines boot at their own pace: with none to spare, the last replicas wait for the slowest.
                wanted += round(wanted * self.tuning.slack)
            demands.append(Demand(job.spec, wanted, job.zone_counts()))
        silence = self.silence(now)
        demands.extend(self._feared_lost(silence, now))
        demands.extend(self.expected(now))
        rooms = [
            _plain_room(machine, self.platform)
            for machine in self.cluster.machines.values()
            if machine.state in (MachineState.UP, MachineState.BOOTING)
        ]
        for rental in [*self.open_rentals.values(), *self.new_rentals]:
            record = rental.record
            kind = self.cluster.types.get(record.type)
            if kind is not None:
                rooms.extend(
                    Room(
                        f"{rental.name}+{number}",
                        kind.name,
                        record.zone,
                        record.spot,
                        kind.cpus,
                        kind.gpus,
                        kind.memory_gb,
                        away=self.platform.away(record.zone),
                    )
                    for number in range(record.count)
                )
        if log.isEnabledFor(logging.DEBUG):
            log.debug("demands %s", [(demand.spec.job_class, demand.tasks) for demand in demands])
        free = [room for room in rooms if room is not None and room.gpus + room.cpus > SLACK]
        dark = {zone for kind in self.cluster.types.values() for zone in kind.zones if silence.dark_now(zone)}
        return plan_fleet(
            demands,
            free,
            self.cluster.types,
            lambda offer: self.refused.get(offer, (0.0, 0.0))[0] > now or offer[1] in dark,
            64,
            self.platform.away,
        )

    def _feared_lost(self, silence: Silence, now: float) -> list[Demand]:
        """Return the work of the two highest ranks on machines that fell silent with many others, whose leases must
        have ended: room for it boots while it is found out whether they are gone.

        Guards against waiting for the cloud's word about a hundred machines before renting the first new one.
        """
        tasks: dict[str, int] = {}
        for machine in self.cluster.machines.values():
            if (
                silence.together(machine.zone)
                and not silence.dark(machine.zone)
                and (self._runs(machine) and self._silent_s(machine, now) > self.platform.lease_s)
            ):
                for job_id, _ in machine.tasks:
                    tasks[job_id] = tasks.get(job_id, 0) + 1
        jobs = ((self.cluster.jobs.get(job_id), count) for job_id, count in tasks.items())
        return [
            Demand(job.spec, count, {})
            for job, count in jobs
            if job is not None and job.state is JobState.ACTIVE and job.level <= 1
        ]

    def _runs(self, machine: Machine) -> bool:
        """Whether a machine is up as far as its reports or the cloud's list have told."""
        return machine.state in (MachineState.UP, MachineState.DRAINING) or (
            machine.state is MachineState.BOOTING and machine.running_since is not None
        )

    def expected(self, now: float) -> list[Demand]:
        """Return the arrivals to keep room for: those of the time a machine needs to boot, of the classes that
        could not wait for it."""
        out: list[Demand] = []
        for spec, rate, mean in self.arrivals.rates(now):
            kinds = [
                kind
                for kind in self.cluster.types.values()
                if fits(spec, kind.cpus, kind.gpus, kind.memory_gb)
                and (spec.types is None or kind.name in spec.types)
            ]
            if not kinds or self._can_wait(spec, kinds):
                continue
            jobs = rate * min(kind.boot_s for kind in kinds)
            tasks = round(jobs * self.tuning.headroom * mean)
            if tasks > 0:
                out.append(Demand(spec, tasks, {}))
        return out

    def _can_wait(self, spec: Submission, kinds: list[MachineType]) -> bool:
        """Whether a job meets its class's aims although it has to wait for a machine to boot and fetch."""
        ready_s = self.platform.report_s + min(
            kind.boot_s * self.tuning.boots + _fetch_s(spec, kind) for kind in kinds
        )
        aims = [
            (objective.within_s, objective.kind)
            for objective in self.platform.objectives
            if objective.job_class == spec.job_class and objective.kind in ("wait", "finished")
        ]
        if spec.deadline_s is not None:
            aims.append((spec.deadline_s, "finished"))
        if not aims:
            return spec.rank.level > 1
        run_s = spec.estimate_s * self.tuning.doubt
        return all(ready_s + (run_s if kind == "finished" else 0.0) <= within_s for within_s, kind in aims)

    def summary(self) -> str:
        """Return machines by type and use, and queued tasks by class, for the log."""
        rows: dict[str, list[int]] = {}
        for machine in self.cluster.machines.values():
            name = f"{machine.type.name if machine.type else '?'}{'*' if machine.spot else ''}"
            row = rows.setdefault(name, [0, 0, 0, 0])
            row[0] += 1
            row[1] += machine.state is MachineState.BOOTING
            row[2] += not machine.tasks
            row[3] += round(machine.type.gpus - machine.gpus) if machine.type else 0
        queued: dict[str, int] = {}
        for job in self.cluster.jobs.values():
            queued[job.spec.job_class] = queued.get(job.spec.job_class, 0) + job.queued
        text = ", ".join(
            f"{name}: {row[0]} ({row[1]} booting, {row[2]} empty, {row[3]} free gpus)"
            for name, row in sorted(rows.items())
        )
        return f"{text}; queued {queued}"

    def note_refusal(self, offer: Offer, now: float) -> None:
        """The cloud has none of this offer: ask again later, and later still if it goes on."""
        pause = self.refused.get(offer, (0.0, 0.0))[1]
        pause = min(30.0, max(5.0, pause * 1.5))
        self.refused[offer] = (now + pause, pause)

    def rent(self, plan: Plan) -> None:
        """Queue the plan's rentals; each is stored under a name of its own before it is sent."""
        for (type_name, zone, spot), count in plan.rentals.items():
            self.rental_number += 1
            name = f"{self.cluster.token}-{self.rental_number}"
            record = RentalRecord(type_name, zone, spot, min(count, 50), self.wall())
            self.new_rentals.append(OpenRental(name, record))

    def settle_rental(self, rental: OpenRental, machines: tuple[str, ...], now: float) -> None:
        """The cloud has answered a rental request for good."""
        self.open_rentals.pop(rental.name, None)
        self.settled_rentals.append(rental.name)
        record = rental.record
        self.counters.rented += len(machines)
        for name in machines:
            if name not in self.cluster.gone:
                self.cluster.adopt(name, record.type, record.zone, record.spot, "", now)

    def surplus(self, plan: Plan, now: float) -> list[Machine]:
        """Return machines that are to be returned: idle, drained, late, silent, or in a cancellation's way."""
        platform, tuning = self.platform, self.tuning
        settled = now - self.cluster.started_at > platform.lease_s
        up = [
            machine
            for machine in self.cluster.machines.values()
            if machine.state in (MachineState.UP, MachineState.DRAINING)
        ]
        # Many that do not heed us at once: more likely we are too slow than they all deaf.
        many_deaf = sum(self._deaf(machine, now) for machine in up) > max(2, len(up) // 3)
        silence = self.silence(now)
        fits_elsewhere = self._fitting_elsewhere(silence, now)
        out: list[Machine] = []
        for machine in self.cluster.machines.values():
            if machine.state in (MachineState.RETURNING, MachineState.GONE) or machine.name in self.in_flight:
                continue
            boot_s = machine.type.boot_s if machine.type is not None else platform.lease_s
            if machine.state is MachineState.BOOTING and machine.running_since is None:
                if settled and now - machine.rented_at > boot_s * tuning.late:
                    out.append(machine)
            elif (silent_s := self._silent_s(machine, now)) > silence.alone_s:
                if settled and (silent_s > silence.borne_s(machine.zone) or machine.name in fits_elsewhere):
                    out.append(machine)
            elif machine.state is MachineState.BOOTING:
                continue
            elif self._deaf(machine, now):
                if settled and not many_deaf:
                    out.append(machine)
            elif not machine.tasks and (
                machine.state is MachineState.DRAINING
                or (machine.name not in plan.used and now - machine.idle_since > boot_s * tuning.idle)
            ):
                out.append(machine)
        return out

    def _silent_s(self, machine: Machine, now: float) -> float:
        """Return for how long a machine that runs has not been heard.

        One that the list calls running and that this term has not heard yet does not boot: guards against a new
        leader that returned a whole zone, cut off just then, as machines that came up late.
        """
        since = machine.heard_at if machine.report is not None else (machine.running_since or now)
        return now - max(since, self.cluster.started_at)

    def _fitting_elsewhere(self, silence: Silence, now: float) -> set[str]:
        """Return machines that fell silent with many others and whose work finds room, images and all, on machines
        that are heard.

        To wait for them would help nobody; where the image is missing, they are likely back before it is fetched.
        Guards against lost work that waits although there is room for it. In a zone that is dark as a whole the work
        may well go on, if there is a controller in it that answers reports.
        """
        given_up = [
            machine
            for machine in self.cluster.machines.values()
            if self._runs(machine)
            and silence.together(machine.zone)
            and not (silence.dark(machine.zone) and self.platform.controllers_in(machine.zone))
            and silence.alone_s < self._silent_s(machine, now) <= silence.together_s
        ]
        if not given_up:
            return set()
        by_image: dict[str, list[Room]] = {}
        for room in self.rooms(now, (0.0, SLACK * 2, 0.0)):
            for image in self.cluster.machines[room.name].fetched:
                by_image.setdefault(image, []).append(room)
        out: set[str] = set()
        for machine in given_up:
            specs = [
                job.spec
                for job_id, _ in machine.tasks
                if (job := self.cluster.jobs.get(job_id)) is not None and job.state is JobState.ACTIVE
            ]
            for spec in specs:
                found = next(
                    (
                        room
                        for room in by_image.get(spec.image, ())
                        if fits(spec, room.cpus, room.gpus, room.memory_gb)
                        and allowed(spec, room.type, room.zone, room.spot)
                    ),
                    None,
                )
                if found is None:
                    break
                found.take(spec)
            else:
                out.add(machine.name)
        return out

    def silence(self, now: float) -> Silence:
        """Return which machines are silent, by zone, as it looks now."""
        silence = Silence(
            self.platform.lease_s * self.tuning.lost, self.platform.lease_s * self.tuning.cut, self.tuning.many
        )
        for machine in self.cluster.machines.values():
            if self._runs(machine):
                silence.count(machine.zone, self._silent_s(machine, now))
        for places in self.cluster.waiting.values():
            for place in places.values():
                silence.count(place.zone, now - self.cluster.started_at)
                break
        silence.remember(self._silences, now)
        return silence

    def doubtful(self, machine: Machine, now: float) -> bool:
        """Whether a command sent straight to a machine may well find nobody."""
        return now - machine.heard_at > self.platform.report_s * 2 or machine.unheeded > 1

    def _deaf(self, machine: Machine, now: float) -> bool:
        """Whether a machine reports, yet has not heeded our answers for long."""
        return machine.unheeded > 2 and now - machine.unheeded_since > self.platform.report_s * 2

    def thinned(self, now: float) -> Machine | None:
        """Return a machine whose few replicas fit, images and all, into rooms that others leave free.

        Services last longer than what ran beside them; each left alone on a machine keeps all of it rented.
        Draining it moves them: allowed by the protocol, and they are away for about one report interval.
        """
        jobs = self.cluster.jobs
        settled = now - self.cluster.started_at > self.platform.lease_s
        if (
            not settled
            or any(job.queued for job in jobs.values())
            or any(machine.state is MachineState.DRAINING for machine in self.cluster.machines.values())
        ):
            return None
        best: Machine | None = None
        best_cost = 0.0
        rooms: list[Room] | None = None
        for machine in self.cluster.machines.values():
            kind = machine.type
            if (
                machine.state is not MachineState.UP
                or kind is None
                or not machine.tasks
                or machine.name in self.in_flight
                or now - machine.changed_at < kind.boot_s * self.tuning.thin
            ):
                continue
            specs = [jobs[key[0]].spec for key in machine.tasks if key[0] in jobs]
            used = max(
                (
                    sum(need) / whole
                    for need, whole in (
                        ((spec.cpus for spec in specs), kind.cpus),
                        ((spec.gpus for spec in specs), kind.gpus),
                        ((spec.memory_gb for spec in specs), kind.memory_gb),
                    )
                    if whole > 0
                ),
                default=1.0,
            )
            price = kind.spot_price if machine.spot else kind.price
            wasted = (1.0 - used) * price
            if used > 0.5 + 1e-6 or wasted <= best_cost:
                continue
            if rooms is None:
                rooms = [room for room in self.rooms(now, (0.0, SLACK * 2, 0.0)) if room.busy]
            if not self._fit_elsewhere(machine, rooms):
                continue
            best, best_cost = machine, wasted
        return best

    def _fit_elsewhere(self, machine: Machine, present: list[Room]) -> bool:
        rooms = [replace(room) for room in present if room.name != machine.name]
        for job_id, index in machine.tasks:
            job = self.cluster.jobs.get(job_id)
            if (
                job is None
                or job.state is not JobState.ACTIVE
                or job.spec.kind is not Kind.SERVICE
                or (machine.phases.get((job_id, index)) != RUNNING or job.spec.one_zone)
            ):
                return False
            spec = job.spec
            counts = job.zone_counts()
            counts[machine.zone] -= 1
            room = next(
                (
                    room
                    for room in rooms
                    if fits(spec, room.cpus, room.gpus, room.memory_gb)
                    and allowed(spec, room.type, room.zone, room.spot)
                    and room.fetch_rank(spec.image) == 0
                    and counts.get(room.zone, 0) < spread_limit(spec)
                ),
                None,
            )
            if room is None:
                return False
            room.take(spec)
        return True

    def unheard(self, now: float) -> set[str]:
        """Return machines that hold tasks but have not been heard of in this term: only their return proves
        the tasks gone."""
        silent_s = now - self.cluster.started_at
        if silent_s <= self.platform.lease_s * self.tuning.lost:
            return set()
        silence = self.silence(now)
        return {
            name
            for name, places in self.cluster.waiting.items()
            if silent_s > max(silence.borne_s(place.zone) for place in places.values())
            or (self.listed is not None and name not in self.listed and silent_s > self._list_covers_s)
        }

    @property
    def _list_covers_s(self) -> float:
        """The age from which every list, however late, names a machine that is there."""
        return self.platform.list_lag_s * 2 + self.platform.report_s

    def vanished(self, now: float) -> list[Machine]:
        """Return silent machines that the list ought to name and does not: taken back, most likely.

        Guards against a wave of spot machines taken without notice: silent together, and never listed as failed,
        their work waited as long as for machines that were cut off.
        """
        listed = self.listed
        if listed is None:
            return []
        return [
            machine
            for machine in self.cluster.machines.values()
            if machine.name not in listed
            and machine.state in (MachineState.UP, MachineState.DRAINING)
            and now - machine.heard_at > self.platform.report_s * 3
            and now - machine.rented_at > self._list_covers_s
        ]

    def known_machine(self, name: str, now: float) -> Machine:
        """Return a machine by name, also one that only the records know."""
        zone = next((place.zone for place in self.cluster.waiting.get(name, {}).values()), "")
        return self.cluster.machines.get(name) or self.cluster.adopt(name, "", zone, False, "", now)

    def cancelled_there(self, older_than_s: float = 0.0) -> dict[str, set[str]]:
        """Return the jobs cancelled longer ago than this whose tasks may still be on machines, and which machines."""
        wall = self.wall()
        found = (
            (
                job,
                {
                    place.machine
                    for index, place in job.places.items()
                    if self.cluster.may_be_there((job.id, index), place)
                },
            )
            for job in self.cluster.jobs.values()
            if job.state is JobState.CANCELLED and wall - job.cancelled_at >= older_than_s
        )
        return {job.id: machines for job, machines in found if machines}

    def fenced(self) -> set[str]:
        """Return machines that still may hold a cancelled task and must be gone before its time is up."""
        # Another controller's clock noted the cancellation: both may be off.
        wait_s = max(0.0, self.platform.cancel_s * self.tuning.fence - 2 * self.platform.clock_off_s)
        return set().union(*self.cancelled_there(wait_s).values())


def _fetch_s(spec: Submission, kind: MachineType) -> float:
    """Return how long a machine of this type takes for a job's image, with no other fetch beside it."""
    return spec.image_gb / max(kind.fetch_gb_per_s, 1e-9)


def _size(spec: Submission) -> float:
    """Return how much a task takes, to weigh its seconds by."""
    return max(spec.gpus, spec.cpus / 16, 1e-3)


def _within(cpus: float, gpus: float, total: list[float], spec: Submission) -> bool:
    """Tell whether a sum lies within a guarantee; what a team is not guaranteed does not count against it."""
    if cpus <= 0 and gpus <= 0:
        return False
    return (
        (cpus <= 0 or total[0] <= cpus + 1e-6)
        and (gpus <= 0 or total[1] <= gpus + 1e-6)
        and (gpus <= 0 or spec.gpus > 0 or cpus > 0)
    )


class _Scene:
    """What one placement round has found out so far."""

    def __init__(self, work: PlacementRound, guaranteed: set[str], now: float) -> None:
        self.work, self.guaranteed, self.now = work, guaranteed, now
        self.victims: Victims | None = None
        self._rooms = {room.name: room for room in work.rooms}

    def room(self, make: Callable[[Machine, float], Room], machine: Machine) -> Room:
        """Return a machine's room as this round leaves it."""
        room = self._rooms.get(machine.name)
        if room is None:
            room = self._rooms[machine.name] = make(machine, self.now)
        return room


def _room(machine: Machine, jobs: dict[str, Job]) -> Room:
    kind = machine.type
    assert kind is not None
    fetching = {
        jobs[job_id].spec.image
        for job_id, index in machine.tasks
        if job_id in jobs and machine.phases.get((job_id, index), FETCHING) == FETCHING
    }
    return Room(
        machine.name,
        kind.name,
        machine.zone,
        machine.spot,
        kind.cpus - machine.cpus,
        kind.gpus - machine.gpus,
        kind.memory_gb - machine.memory_gb,
        machine.images,
        fetching,
        machine.failed_jobs,
        bool(machine.tasks),
        kind.spot_price if machine.spot else kind.price,
        (kind.cpus, kind.gpus, kind.memory_gb),
        kind.fetch_gb_per_s,
    )


def _plain_room(machine: Machine, platform: Platform) -> Room | None:
    """Return a machine's room without its images: sizing does not look at them."""
    kind = machine.type
    if kind is None:
        return None
    return Room(
        machine.name,
        kind.name,
        machine.zone,
        machine.spot,
        kind.cpus - machine.cpus,
        kind.gpus - machine.gpus,
        kind.memory_gb - machine.memory_gb,
        avoided_by=machine.failed_jobs,
        busy=bool(machine.tasks),
        price=kind.spot_price if machine.spot else kind.price,
        whole=(kind.cpus, kind.gpus, kind.memory_gb),
        fetch_gb_per_s=kind.fetch_gb_per_s,
        away=platform.away(machine.zone),
    )


def never_fits(spec: Submission, types: dict[str, MachineType], platform: Platform) -> str | None:
    """Say why a job can never run, or None. `types` are the cloud's machine types by name."""
    team = platform.teams.get(spec.team)
    if team is None:
        return "crew: unknown team"
    kinds = [kind for kind in types.values() if spec.types is None or kind.name in spec.types]
    if not any(
        fits(spec, kind.cpus, kind.gpus, kind.memory_gb)
        and any(allowed(spec, kind.name, zone, False) for zone in kind.zones)
        for kind in kinds
    ):
        return "cores: a task fits no allowed machine type"
    if spec.kind is Kind.GANG and spec.spread:
        # Guards against a gang that waits for ever: by its own wishes its tasks can never be there all at once.
        zones = {zone for kind in kinds for zone in kind.zones if allowed(spec, kind.name, zone, False)}
        if spec.tasks > spread_limit(spec) * (1 if spec.one_zone else len(zones)):
            return "spread: the tasks may not all be in the zones that are allowed"
    tasks = 1 if spec.kind is Kind.ARRAY else spec.tasks
    for name, need, limit in (("cores", spec.cpus, team.cpus_max), ("accelerators", spec.gpus, team.gpus_max)):
        if limit > 0 and need * tasks > limit + 1e-6:
            return f"{name}: the job needs more than the team's limit"
    return None
