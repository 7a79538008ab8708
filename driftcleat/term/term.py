"""One term of leadership without any I/O: what waits to be decided, and the next batch of decisions.

The controller feeds it (submissions, cancellations, reports, lists), asks for the next batch, has the
store take it, and makes it visible. A batch is built in the order: cancellations, submissions, what
reports prove, stops, rental requests, placement, clearing away.
"""

import random
from collections.abc import Callable

from driftcleat.fleet.arrivals import Arrivals
from driftcleat.fleet.silence import Silence
from driftcleat.fleet.sizing import Plan
from driftcleat.model import Batch, Cluster, Job, JobState, Machine, MachineState, reconcile
from driftcleat.settings import Platform, Tuning
from driftcleat.store.records import Layout

from .admission import Admission
from .cancellations import Cancellations
from .context import INFINITE, TermContext
from .demand import DemandPlanner
from .drains import Drains
from .housekeeping import Housekeeping
from .machine_candidates import MachineCandidates
from .migration import Migration
from .pacing import RoundPacing
from .placement import PlacementPass
from .preemption import Preemption
from .queue import JobQueue
from .reachability import Reachability
from .rentals import MOST_AT_ONCE, Rentals
from .reservations import Reservations
from .surplus import Surplus

# Workers have this many report intervals to be heard by a new leader before anything is placed.
REPORTS_BEFORE_PLACING = 1.25
# The store takes requests of 64 KiB; conditions and framing take the rest.
BATCH_BYTES = 56 * 1024
# A machine that failed tasks of so many jobs is drained.
FAILED_JOBS_BEFORE_DRAIN = 2


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
        """`brand_new`: the store never held a batch, so there are no workers yet whose reports to wait for."""
        context = TermContext(platform, tuning, cluster, layout, rng, clock, wall)
        self.platform, self.tuning, self.cluster, self.layout = platform, tuning, cluster, layout
        self.clock, self.counters = clock, context.counters
        now = clock()
        wait_s = 0.0 if brand_new else platform.report_s * REPORTS_BEFORE_PLACING
        # Machines to which stops are sent at once, and those that the batch under way gives tasks.
        self.urgent: set[str] = set()
        self._in_flight: set[str] = set()
        self._arrivals = Arrivals(platform.report_s * tuning.window, platform.report_s)
        self.pacing = RoundPacing(platform, tuning, now + wait_s)
        self.admission = Admission(context, self._arrivals)
        self.queue = JobQueue(platform, tuning, cluster)
        self.drains = Drains(context)
        self.housekeeping = Housekeeping(context)
        self.migration = Migration(context, self.housekeeping, self.pacing)
        self.rentals = Rentals(context)
        self.reachability = Reachability(context)
        self.cancellations = Cancellations(context, self.urgent)
        reservations = Reservations()
        self.candidates = MachineCandidates(context, reservations)
        self.preemption = Preemption(context, self.candidates, reservations, self.drains, self.pacing)
        self._placement = PlacementPass(context, self.queue, self.candidates, self.preemption, self.pacing)
        self.demand = DemandPlanner(context, self.queue, self.reachability, self.rentals, self._arrivals)
        self._surplus = Surplus(context, self.candidates, self.reachability)
        self._listen_to_cluster()
        self._note_known_jobs(now, wall())

    def _listen_to_cluster(self) -> None:
        cluster = self.cluster
        cluster.on_exit = self._note_exit
        cluster.on_up = self.pacing.note_change
        cluster.on_image = self.housekeeping.note_images
        cluster.on_notice = lambda machine, notice_s: self.drains.drain(machine, f"notice of {notice_s:.1f} s")

    def _note_known_jobs(self, now: float, wall: float) -> None:
        for job in self.cluster.jobs.values():
            self.layout.take_in(job)
            if self.cluster.ready(job):
                self._arrivals.note(job.spec, now - max(0.0, wall - job.submitted))

    def _note_exit(self, machine: Machine, job: Job, why: str) -> None:
        self.counters.failures[why] = self.counters.failures.get(why, 0) + 1
        if len(machine.failed_jobs) >= FAILED_JOBS_BEFORE_DRAIN and machine.state is MachineState.UP:
            self.drains.drain(machine, "it fails its tasks")

    # -- the batch ----------------------------------------------------------------------------------------

    @property
    def worth_a_batch(self) -> float:
        """Return how many changes the store should take before a batch without users is built."""
        return self.platform.write_rps * self.tuning.reserve + self.platform.txn_ops / 2

    @property
    def has_work(self) -> bool:
        """Whether a batch built now may hold something."""
        return bool(
            self.admission.waiting
            or self.cluster.dirty
            or self.rentals.pending
            or self.housekeeping.pending
            or self.drains.pending
            or self.cluster.needs.cancel_pending
            or self.migration.must_latch
            or self.migration.pending
            or self.pacing.due(self.clock())
        )

    def build(self, changes: float = INFINITE) -> Batch:
        """Return the next batch; it may be empty. `changes` is what the store takes at once just now.

        Users come first: a part of the changes a second stays free for them, and what only tidies up is left
        for when there are changes to spare. Guards against submissions waiting behind hundreds of notes.
        """
        batch = self._build(changes, self.platform.txn_ops)
        stuck = batch.empty and not batch.after and bool(self.cluster.dirty or self.drains.pending)
        if stuck and not self.layout.switched and self.platform.first_txn_ops > self.platform.txn_ops:
            # A gang that the first data version keeps in more records than the lower limit allows to change at once.
            # Guards against everything waiting behind it until the switch.
            batch = self._build(changes, self.platform.first_txn_ops)
        return batch

    def _build(self, changes: float, txn_ops: int) -> Batch:
        now = self.clock()
        most = txn_ops - 1
        batch = Batch(self.cluster.jobs, self.layout.chunk_of, most, BATCH_BYTES, self.layout.must_move)
        # Only who knows that every controller is new hands such a job in.
        self.migration.latch_wanted = self.migration.latch_wanted or self.admission.names_needs
        if self.migration.must_latch:
            self.migration.take_latch(batch)
            return batch
        self.admission.take_cancellations(batch)
        self.admission.take_submissions(batch, now)
        for_users = most - batch.ops_left
        self.admission.take_dependents(batch)
        self.migration.take(batch)
        spare = changes - 1 - for_users - self.platform.write_rps * self.tuning.reserve
        moved = most - for_users - batch.ops_left
        batch.ops_left = left = int(max(0, min(batch.ops_left, spare - moved)))
        self._take_reports(batch, now)
        self.drains.take(batch)
        self.rentals.take(batch)
        if not for_users and batch.ops_left > 0 and self.pacing.due(now):
            # Guards against rounds that look at every machine while the store takes no change: what they cost a small
            # share of a processor is missing for reports.
            self._placement.play(batch, now)
        tidy = spare - moved - (left - batch.ops_left) - self.platform.write_rps * self.tuning.tidy
        batch.ops_left = int(max(0, min(batch.ops_left, tidy)))
        self.housekeeping.take(batch)
        self.migration.move_first(batch.blocked)
        self._note_under_way(batch)
        return batch

    def _take_reports(self, batch: Batch, now: float) -> None:
        """Put what reports prove into a batch, for as long as a round may take."""
        for name in list(self.cluster.dirty):
            machine = self.cluster.machines.get(name)
            waiting = set(batch.blocked)
            if machine is not None and not reconcile(self.cluster, machine, batch, now):
                if self.clock() - now > self.pacing.budget_s:
                    return
            elif batch.blocked == waiting:
                self.cluster.dirty.discard(name)

    def _note_under_way(self, batch: Batch) -> None:
        self._in_flight = {place.machine for _, _, _, place in batch.moves if place is not None}
        self.cluster.leaving = {
            (job_id, index, old.attempt) for job_id, index, old, new in batch.moves if old is not None and new is None
        }

    def discard(self, batch: Batch) -> None:
        """A batch is certainly not carried out, and will not be sent again: what it took waits for the next one."""
        for call in reversed(batch.undo):
            call()
        self.migration.note_discard()
        self.cluster.dirty.update(
            name
            for name, machine in self.cluster.machines.items()
            if machine.report is not None or machine.state is MachineState.GONE
        )
        self.cluster.leaving.clear()
        self.cluster.unconfirmed_cancellations.clear()
        self.drains.pending = True
        self._in_flight = set()
        self.pacing.note_change()

    def commit(self, batch: Batch, revision: int, garbage: list[str]) -> None:
        """Make a batch visible that the store has taken."""
        now = self.clock()
        self.migration.note_commit(revision)
        for job_id in batch.heads:
            self._note_changed(batch.jobs[job_id])
        self.cluster.commit(batch, revision, now)
        self.queue.invalidate()
        for job_id, ready_at in self.cluster.ready_at.items():
            if ready_at == now:
                self._arrivals.note(self.cluster.jobs[job_id].spec, now)
                self.pacing.note_change()
        self.cluster.unconfirmed_cancellations.clear()
        self.cluster.leaving.clear()
        if batch.created:
            # A job is placed in the batch after its own: nothing else may come to ask for that round.
            self.pacing.note_change()
        for _, _, old, new in batch.moves:
            if new is None:
                self.pacing.note_change()
            elif new.stop is not None and old is not None:
                self.urgent.add(new.machine)
        self.housekeeping.garbage.extend(garbage)
        self.drains.note_commit()
        self._in_flight = set()
        self.counters.batches += 1
        for call in batch.after:
            call()

    def note_end_elsewhere(self, job_id: str, state: JobState) -> None:
        """A job that ours need, and that another scheduler has, is done or cancelled: what waited for it may go on.

        Guards against a job that stays out of the queue, which is kept until the next commit: seen in a random walk.
        """
        self.cluster.note_end_elsewhere(job_id, state, self.clock())
        self.queue.invalidate()
        self.pacing.note_change()

    def _note_changed(self, job: Job) -> None:
        """A job changes with a commit: remember how it ended, or send its stops at once."""
        if job.state in (JobState.DONE, JobState.GONE):
            self.admission.note_ended(job)
            self.preemption.release(job.id)
        elif job.state is JobState.CANCELLED:
            self.urgent.update(place.machine for place in job.places.values())

    # -- the fleet ----------------------------------------------------------------------------------------

    def plan_rentals(self, now: float, silence: Silence | None = None, most_rented: int = MOST_AT_ONCE) -> Plan:
        """Return what to rent for queued and expected work, and which machines that work would use.

        `silence`: what `reachability` has just said, if it was asked; `most_rented`: machines that one plan rents.
        """
        return self.demand.plan(now, silence or self.reachability.silence(now), most_rented)

    def surplus(self, plan: Plan, now: float, silence: Silence | None = None) -> list[Machine]:
        """Return machines that are to be returned."""
        return self._surplus.find(plan, self._in_flight, now, silence or self.reachability.silence(now))

    def consolidation_candidate(self, now: float) -> Machine | None:
        """Return a machine that is worth draining, since its few replicas fit elsewhere."""
        return self._surplus.consolidation_candidate(self._in_flight, now)

    def known_machine(self, name: str, now: float) -> Machine:
        """Return a machine by name, also one that only the records know."""
        zone = next((place.zone for place in self.cluster.waiting.get(name, {}).values()), "")
        return self.cluster.machines.get(name) or self.cluster.adopt(name, "", zone, False, "", now)

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
