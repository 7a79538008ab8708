"""Reference model of workers, cloud and store against which the real scheduler runs without controllers or sockets.

Messages may be lost, delayed, duplicated and reordered. The model checks the protocol's invariants when a task starts
and when a user receives a status, and raises `InvariantViolationError` at once. It favours simplicity over speed.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from driftcleat import wire
from driftcleat.cluster import (
    ClusterState,
    JobState,
    Machine,
    apply_heartbeat,
    commands_for_heartbeat,
    needs_reconciliation,
    stop_commands,
    user_job_status,
)
from driftcleat.scheduler import PendingRequest, ScaleOutRequest, Scheduler
from driftcleat.settings import Platform, Tuning
from driftcleat.store.encoding import EncodedBatch, encode_batch
from driftcleat.store.keys import (
    BATCH_MARKER_KEY,
    CHUNKS_PREFIX,
    DATA_VERSION_KEY,
    ENDED_JOBS_PREFIX,
    JOBS_PREFIX,
    SCALE_OUTS_PREFIX,
)
from driftcleat.store.layout import RecordLayout
from driftcleat.store.records import BatchMarker, ScaleOutRecord
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobKind, JobSpec, JobStatus
from driftcleat.wire.workers import Heartbeat

from .reference_store import InMemoryStore, downgrade_transaction
from .reference_worker import ReferenceWorker, WorkerTask
from .samples import decode_job_records


class InvariantViolationError(AssertionError):
    """An invariant of the protocol does not hold."""


def check_in_sync(cluster: ClusterState, machine: Machine, heartbeat: Heartbeat) -> None:
    """Check that a machine marked as in sync needs no commands if its heartbeat is processed in full."""
    starts_sent = dict(machine.starts_sent)
    machine.in_sync = False
    assert not cluster.has_uncommitted_exits(machine) and not needs_reconciliation(cluster, machine)
    assert commands_for_heartbeat(cluster, machine, heartbeat) == [] and machine.starts_sent == starts_sent
    machine.in_sync = True


@dataclass
class Leader:
    """A controller that acts as the leader, possibly after another has taken over."""

    scheduler: Scheduler
    marker_revision: int
    batch_number: int = 0
    crashed: bool = False
    in_flight: tuple[Any, EncodedBatch] | None = None
    stepped_down: bool = False
    # A leader of the previous version drops fields that it does not know from the records that it rewrites.
    previous_version: bool = False


@dataclass(order=True)
class Message:
    """A message in transit, delivered at time `at`."""

    at: float
    order: int
    deliver: Any = field(compare=False)


class ReferenceModel:
    """Workers, cloud, store, users and leaders, driven by a virtual clock and checked against the invariants."""

    def __init__(self, seed: int, platform: Platform, types: dict[str, MachineType]) -> None:
        self.rng = random.Random(seed)
        self.platform, self.types = platform, types
        self.now = 100.0
        self.store = InMemoryStore(platform)
        self.workers: dict[str, ReferenceWorker] = {}
        self.specs: dict[str, JobSpec] = {}
        self.finished: set[tuple[str, int]] = set()
        self.statuses: dict[str, str] = {}
        self.cancelled_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.in_transit: list[Message] = []
        self.message_count = 0
        self.leaders: list[Leader] = []
        self.machines_created = 0
        self.scale_out_results: dict[str, tuple[str, ...]] = {}
        self.fault_rate = 0.0
        # Fraction of the heartbeats that are delivered a second time, late, to the leader at that time.
        self.duplicate_rate = 0.0
        # While this leader responds, all workers send their heartbeats to it.
        self.sticky_leader: Leader | None = None
        # The fetch rate of a machine by its name, in GB/s. If it is None, tasks start at once, and so do gangs.
        self.fetch_gb_per_s: Callable[[str], float] | None = None
        self.cloud_up = True
        self.store_up = True
        self.task_starts = 0
        # Job and attempt of each gang that began to run.
        self.gang_starts: list[tuple[str, int]] = []

    # Messages

    def send_message(self, deliver: Any, lossy: bool = True) -> None:
        """Put a message in transit; depending on the fault rate it is lost, duplicated or delayed."""
        roll = self.rng.random()
        copies = 1
        if lossy and roll < self.fault_rate * 0.15:
            copies = 0
        elif lossy and roll < self.fault_rate * 0.25:
            copies = 2
        for _ in range(copies):
            delay = 0.02
            if self.rng.random() < self.fault_rate * 0.2:
                delay = self.rng.choice([1.0, 3.0, 6.0, 15.0, 60.0])
            self.message_count += 1
            self.in_transit.append(Message(self.now + delay, self.message_count, deliver))

    def send_heartbeat(self, worker: ReferenceWorker, heartbeat: Heartbeat, sent_at: float) -> None:
        """Send a heartbeat to one of the controllers that act as the leader."""
        leaders = [leader for leader in self.leaders if not leader.crashed and not leader.stepped_down]
        if not leaders or worker.partitioned:
            return
        leader = self.rng.choice(leaders)
        if self.sticky_leader in leaders:
            leader = self.sticky_leader
        if self.rng.random() < self.duplicate_rate:
            self.message_count += 1
            late = self.now + self.rng.choice([2.0, 6.0, 20.0, 60.0])
            self.in_transit.append(Message(late, self.message_count, lambda: self.receive_duplicate(heartbeat)))

        def deliver() -> None:
            self.receive_heartbeat(leader, worker, heartbeat, sent_at)

        self.send_message(deliver)

    def receive_duplicate(self, heartbeat: Heartbeat) -> None:
        """Process a late duplicate of a heartbeat at the current leader; its response is dropped."""
        leader = self.leader
        if leader.crashed or leader.stepped_down or heartbeat.fencing_token > leader.scheduler.cluster.fencing_token:
            return
        machine = apply_heartbeat(leader.scheduler.cluster, heartbeat, self.now)
        if machine is not None:
            commands_for_heartbeat(leader.scheduler.cluster, machine, heartbeat)

    def receive_heartbeat(
        self, leader: Leader, worker: ReferenceWorker, heartbeat: Heartbeat, sent_at: float
    ) -> None:
        """Process a heartbeat as a controller does: step down on a newer fencing token, else send commands."""
        if leader.crashed or leader.stepped_down:
            return
        cluster = leader.scheduler.cluster
        if heartbeat.fencing_token > cluster.fencing_token:
            leader.stepped_down = True
            return
        machine = apply_heartbeat(cluster, heartbeat, self.now)
        if machine is not None and machine.in_sync:
            check_in_sync(cluster, machine, heartbeat)
        commands = [] if machine is None else commands_for_heartbeat(cluster, machine, heartbeat)
        token = cluster.fencing_token

        def deliver() -> None:
            if not worker.partitioned and not worker.inbound_cut:
                worker.receive_response(heartbeat.worker_epoch, heartbeat.sequence, token, commands, sent_at)

        self.send_message(deliver)

    # Leaders

    def elect(self, label: str = "a", previous_version: bool = False) -> Leader:
        """Make a controller the leader: write the leader key and load all records into a new scheduler."""
        token = self.store.put_leader(label)
        site = self.platform
        layout = RecordLayout(
            site.value_bytes, site.txn_ops, site.version_1_value_bytes, site.version_1_txn_ops, site.zones
        )
        layout.version_2_active = DATA_VERSION_KEY in self.store.data
        assert not (previous_version and layout.version_2_active), "the previous version cannot read data version 2"
        jobs, orphans = decode_job_records(self.store.items(JOBS_PREFIX), self.store.items(CHUNKS_PREFIX))
        unknown = {
            dependency
            for job in jobs.values()
            for dependency in job.spec.dependencies or ()
            if dependency not in jobs
        }
        ended = {
            dependency: str(self.store.data[ENDED_JOBS_PREFIX + dependency][0][0])
            for dependency in unknown
            if ENDED_JOBS_PREFIX + dependency in self.store.data
        }
        cluster = ClusterState(token, jobs, dict(self.types), self.now, self.platform.lease_s, ended)
        scheduler = Scheduler(
            self.platform,
            Tuning(),
            cluster,
            layout,
            random.Random(self.rng.random()),
            lambda: self.now,
            lambda: self.now,
        )
        scheduler.garbage_collector.delete_later(orphans)
        for key_value in self.store.items(SCALE_OUTS_PREFIX):
            name = key_value.key[len(SCALE_OUTS_PREFIX) :]
            scheduler.scale_out.restore(ScaleOutRequest(name, wire.decode(bytes(key_value.value), ScaleOutRecord)))
        marker = self.store.data.get(BATCH_MARKER_KEY, (None, 0))
        leader = Leader(scheduler, marker[1], previous_version=previous_version)
        self.leaders.append(leader)
        return leader

    @property
    def leader(self) -> Leader:
        """The controller that was elected last."""
        return self.leaders[-1]

    def step_writer(self, leader: Leader) -> None:
        """Advance a leader's writer by one step: send the next batch, or retry the batch in flight."""
        if leader.crashed or leader.stepped_down or not self.store_up or leader is self.sticky_leader:
            return
        if leader.in_flight is None:
            if not leader.scheduler.has_work:
                return
            batch = leader.scheduler.build_batch()
            if batch.is_empty:
                for call in batch.on_commit:
                    call()
                return
            leader.batch_number += 1
            encoded = encode_batch(
                batch,
                leader.scheduler.layout,
                leader.scheduler.cluster.fencing_token,
                leader.batch_number,
                leader.marker_revision,
            )
            if leader.previous_version:
                encoded = replace(encoded, body=downgrade_transaction(encoded.body))
            leader.in_flight = (batch, encoded)
        batch, encoded = leader.in_flight
        if self.rng.random() < self.fault_rate * 0.1:
            # The request is lost; a delayed copy of it may still reach the store.
            self.send_message(lambda: self.store.txn(encoded.body))
            return
        revision = self.store.txn(encoded.body)
        if self.rng.random() < self.fault_rate * 0.1:
            return
        if revision is None:
            value, version = self.store.data.get(BATCH_MARKER_KEY, (None, 0))
            if value is None or wire.convert(value, BatchMarker) != encoded.marker:
                leader.stepped_down = True
                return
            revision = version
        leader.in_flight = None
        leader.marker_revision = revision
        leader.scheduler.apply_commit(batch, revision, encoded.obsolete_keys)
        while leader.scheduler.urgent_stops:
            self.send_stops(leader, leader.scheduler.urgent_stops.pop())

    def send_stops(self, leader: Leader, name: str) -> None:
        """Send stop commands directly to the worker, in addition to heartbeat responses; they may arrive late."""
        machine = leader.scheduler.cluster.machines.get(name)
        worker = self.workers.get(name)
        if machine is None or worker is None or machine.last_heartbeat is None:
            return
        cluster = leader.scheduler.cluster
        commands, session, token = (
            stop_commands(cluster, machine),
            machine.last_heartbeat.worker_epoch,
            cluster.fencing_token,
        )
        self.send_message(
            lambda: (
                None
                if worker.partitioned or worker.inbound_cut
                else worker.receive_commands(token, session, commands)
            )
        )

    def manage_capacity(self, leader: Leader) -> None:
        """Create and delete machines as the leader's capacity loop does."""
        scheduler = leader.scheduler
        if leader.crashed or leader.stepped_down or not self.cloud_up:
            return
        names = scheduler.cancellations.machines_to_fence() | scheduler.reachability.presumed_lost_without_heartbeat(
            self.now
        )
        if self.now >= scheduler.pacing.placement_starts_at:
            plan = scheduler.plan_scale_out(self.now)
            names |= {machine.name for machine in scheduler.select_scale_in(plan, self.now)}
            if plan.scale_out and len(self.alive()) < 14:
                scheduler.scale_out.request(plan)
        for name in names:
            machine = scheduler.find_or_register_machine(name, self.now)
            worker = self.workers.get(name)
            if worker is not None:
                worker.terminated = True
                worker.tasks.clear()
            if machine.state.value != "gone":
                scheduler.cluster.record_terminated(machine, self.now)
        if self.sticky_leader is not None and self.now >= scheduler.pacing.placement_starts_at:
            # Workers that still send heartbeats to an earlier leader receive the new fencing token directly.
            for worker in self.alive():
                known = scheduler.cluster.machines.get(worker.name)
                if (
                    (known is None or known.last_heartbeat is None)
                    and not worker.partitioned
                    and not worker.inbound_cut
                ):
                    worker.receive_commands(scheduler.cluster.fencing_token, worker.worker_epoch, [])
        for request in list(scheduler.scale_out.open_requests.values()):
            machines = self.scale_out_results.get(request.name)
            if machines is None:
                machines = tuple(self.boot(request.record) for _ in range(min(request.record.count, 3)))
                self.scale_out_results[request.name] = machines
            scheduler.scale_out.record_response(request, machines, self.now)

    def boot(self, record: ScaleOutRecord) -> str:
        """Add a running machine and return its name."""
        self.machines_created += 1
        name = f"vm-{self.machines_created:06d}"
        self.workers[name] = ReferenceWorker(self, name, self.types[record.machine_type], record.zone, record.spot)
        return name

    # Users

    def submit(self, spec: JobSpec) -> None:
        """Submit a job, or submit it again."""
        known = ENDED_JOBS_PREFIX + spec.id in self.store.data
        if known or self.leader.stepped_down or self.leader.crashed:
            return
        self.specs[spec.id] = spec
        leader = self.leader

        def respond(status: JobStatus | None) -> None:
            if status is not None:
                self.record_response(status)

        # The final states of dependencies that have ended, which a controller's user API looks up in the store.
        ended = {
            dependency: str(self.store.data[ENDED_JOBS_PREFIX + dependency][0][0])
            for dependency in spec.dependencies or ()
            if ENDED_JOBS_PREFIX + dependency in self.store.data
        }
        leader.scheduler.admission.submit(PendingRequest(respond, spec, spec.id, ended))

    def cancel(self, job_id: str) -> None:
        """Cancel a job if the leader knows it."""
        if self.leader.scheduler.admission.lookup(job_id) is None:
            return

        def respond(status: JobStatus | None) -> None:
            if status is not None:
                self.record_response(status)
                if status.state == "cancelled":
                    self.cancelled_at.setdefault(job_id, self.now)

        self.cancel_requested.add(job_id)
        self.leader.scheduler.admission.cancel(PendingRequest(respond, None, job_id))

    def record_response(self, status: JobStatus) -> None:
        """Record a status sent to a user and check that it agrees with what tasks did and users received before."""
        before = self.statuses.get(status.id)
        if before in ("done", "cancelled") and status.state != before:
            raise InvariantViolationError(f"went_back: {status.id} changed from {before} to {status.state}")
        if status.state == "done":
            missing = [
                index for index in range(self.specs[status.id].tasks) if (status.id, index) not in self.finished
            ]
            if missing:
                raise InvariantViolationError(
                    f"not_done: {status.id} is reported as done, but tasks {missing} are not"
                )
        at = self.first_cancelled_at(status.id)
        if status.state in ("pending", "running") and at is not None and self.now > at + self.platform.cancel_s:
            raise InvariantViolationError(
                f"orphaned: {status.id} is reported as {status.state} although a dependency is cancelled"
            )
        if status.state == "cancelled" and at is None and status.id not in self.cancel_requested:
            raise InvariantViolationError(
                f"went_back: {status.id} is reported as cancelled, but no user cancelled it"
            )
        self.statuses[status.id] = status.state

    def step_gangs(self) -> None:
        """Start the gangs of which all tasks wait, and end those that have lost a task while they ran."""
        attempts: dict[tuple[str, int], list[tuple[ReferenceWorker, WorkerTask]]] = {}
        for worker, task in self.tasks_on_machines():
            if task.job.kind is JobKind.GANG:
                attempts.setdefault((task.job.id, task.attempt), []).append((worker, task))
        for members in attempts.values():
            tasks = members[0][1].job.tasks
            waiting = {task.index for worker, task in members if task.state == "waiting" and not worker.hung}
            if len(waiting) == tasks:
                for worker, task in members:
                    worker.run_task(task)
                self.gang_starts.append((members[0][1].job.id, members[0][1].attempt))
            # A task that is back after it was lost waits: it does not make a running gang complete again.
            has_lost_none = len({task.index for _, task in members if task.has_started}) == tasks
            for worker, task in members:
                if has_lost_none or not task.has_started or worker.hung:
                    task.incomplete_since = None
                elif task.incomplete_since is None:
                    task.incomplete_since = self.now
                elif self.now - task.incomplete_since > self.platform.gang_peer_s / 2:
                    worker.exit_gang_task(task, "mates_gone")

    # Invariants

    def alive(self) -> list[ReferenceWorker]:
        """Return the workers whose machines are not terminated."""
        return [worker for worker in self.workers.values() if not worker.terminated]

    def listed_machines(self, address: Callable[[str], str]) -> list[dict[str, Any]]:
        """Return the cloud's list of machines that are not terminated; `address` maps a name to an address."""
        return [
            {
                "nameId": worker.name,
                "addr": address(worker.name),
                "build": worker.machine_type.name,
                "harbor": worker.zone,
                "driftwood": worker.spot,
                "bearing": "running",
                "ageS": 1.0,
            }
            for worker in self.alive()
        ]

    def tasks_on_machines(self) -> list[tuple[ReferenceWorker, WorkerTask]]:
        """Return every task that has not exited, with its worker."""
        return [(worker, task) for worker in self.alive() for task in worker.tasks.values() if task.state != "exited"]

    def check_start(self, worker: ReferenceWorker, task: WorkerTask) -> None:
        """Check a starting task against all tasks on machines: uniqueness, placement, quota and dependencies."""
        self.task_starts += 1
        job = task.job
        others = [(holder, other) for holder, other in self.tasks_on_machines() if other is not task]
        if any(other.job.id == job.id and other.index == task.index for _, other in others):
            raise InvariantViolationError(f"ran_twice: {job.id}/{task.index} on {worker.name}")
        if (
            (job.machine_types is not None and worker.machine_type.name not in job.machine_types)
            or (job.zone is not None and worker.zone != job.zone)
            or (worker.spot and not job.spot)
        ):
            raise InvariantViolationError(f"wrong_place: {job.id} on {worker.name}")
        zones = [holder.zone for holder, other in others if other.job.id == job.id]
        if job.single_zone and any(zone != worker.zone for zone in zones):
            raise InvariantViolationError(f"wrong_place: {job.id} runs in two zones")
        if job.spread and zones.count(worker.zone) + 1 > -(-job.tasks // 2):
            raise InvariantViolationError(f"wrong_place: {job.id} is not spread over zones")
        team = self.platform.teams[job.team]
        gpus = job.gpus + sum(other.job.gpus for _, other in others if other.job.team == job.team)
        if team.gpus_max > 0 and gpus > team.gpus_max + 1e-6:
            raise InvariantViolationError(f"quota: {job.team} uses {gpus} GPUs")
        for dependency in job.dependencies or ():
            if any((dependency, index) not in self.finished for index in range(self.specs[dependency].tasks)):
                raise InvariantViolationError(f"too_early: {job.id} starts before {dependency} is done")
        self.check_cancelled(job.id)

    def with_dependencies(self, job_id: str) -> set[str]:
        """Return a job and its direct and transitive dependencies."""
        seen, unvisited = set(), [job_id]
        while unvisited:
            current = unvisited.pop()
            if current not in seen:
                seen.add(current)
                unvisited.extend(self.specs[current].dependencies or ())
        return seen

    def first_cancelled_at(self, job_id: str) -> float | None:
        """Return when a user was first told that this job or one of its dependencies is cancelled."""
        return min(
            (self.cancelled_at[other] for other in self.with_dependencies(job_id) if other in self.cancelled_at),
            default=None,
        )

    def check_cancelled(self, job_id: str) -> None:
        """Check that a job with a task on a machine was not cancelled more than `cancel_s` seconds ago."""
        at = self.cancelled_at.get(job_id)
        if at is not None and self.now > at + self.platform.cancel_s:
            raise InvariantViolationError(
                f"ran_cancelled: {job_id} runs {self.now - at:.1f} s after its cancellation"
            )

    # Time

    def step(self, seconds: float = 0.25) -> None:
        """Advance the clock by `seconds` and process everything that is due."""
        self.now += seconds
        due = sorted(message for message in self.in_transit if message.at <= self.now)
        self.in_transit = [message for message in self.in_transit if message.at > self.now]
        for message in due:
            message.deliver()
        for worker in list(self.workers.values()):
            worker.step()
        if self.fetch_gb_per_s is not None:
            self.step_gangs()
        for leader in self.leaders[-3:]:
            self.step_writer(leader)
        if int(self.now * 4) % 4 == 0:
            self.manage_capacity(self.leader)
            for machine in list(self.leader.scheduler.cluster.machines.values()):
                if stop_commands(self.leader.scheduler.cluster, machine):
                    self.send_stops(self.leader, machine.name)
        for _, task in self.tasks_on_machines():
            self.check_cancelled(task.job.id)

    def run(self, seconds: float) -> None:
        """Advance the clock in steps until `seconds` have passed."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def poll_all(self) -> None:
        """Request the status of every accepted job; raise if one is unknown."""
        for job_id in list(self.statuses):
            status = self.leader.scheduler.admission.lookup(job_id)
            if status is None:
                value = self.store.data.get(ENDED_JOBS_PREFIX + job_id)
                if value is None:
                    raise InvariantViolationError(f"forgotten: {job_id}")
                status = JobStatus(job_id, value[0][0], value[0][1])
            self.record_response(status)

    def settle(self, seconds: float = 400.0) -> None:
        """End all faults, cancel services and run until every job has ended or `seconds` have passed."""
        self.fault_rate, self.cloud_up, self.store_up = 0.0, True, True
        for worker in self.workers.values():
            worker.hung = worker.partitioned = worker.fails_tasks = worker.inbound_cut = False
        self.duplicate_rate, self.sticky_leader = 0.0, None
        if self.leader.stepped_down or self.leader.crashed:
            self.elect()
        self.run(5.0)
        # Services run until they are cancelled, and use quota until then.
        for job_id, state in self.states().items():
            if self.specs[job_id].kind is JobKind.SERVICE and state not in ("done", "cancelled"):
                self.cancel(job_id)
        end = self.now + seconds
        while self.now < end and not self.all_ended():
            self.step()
            if self.leader.stepped_down:
                self.elect()
        self.poll_all()

    def all_ended(self) -> bool:
        """Return whether every accepted job is done or cancelled."""
        return all(state in ("done", "cancelled") for state in self.states().values())

    def states(self) -> dict[str, str]:
        """Return the state of every accepted job, by its id."""
        out = {}
        for job_id in self.statuses:
            job = self.leader.scheduler.cluster.jobs.get(job_id)
            if job is None:
                ended = self.store.data.get(ENDED_JOBS_PREFIX + job_id)
                out[job_id] = str(ended[0][0]) if ended is not None else "lost"
            elif job.state is JobState.CANCELLED and job.placements:
                out[job_id] = "cancelling"
            else:
                out[job_id] = user_job_status(self.leader.scheduler.cluster, job).state
        return out
