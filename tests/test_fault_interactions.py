"""Interactions of two faults that no other test covers, on a simulated site."""

from collections.abc import Awaitable, Callable

import pytest

from driftcleat.leadership import Role
from driftcleat.store.records import ScaleOutRecord

from .samples import raw_job
from .simulation import LABELS, Simulation


def run_in_simulation(seed: int = 1) -> Callable[[Callable[[Simulation], Awaitable[None]]], Callable[[], None]]:
    """Return a decorator that runs a test's scenario in a simulation of its own."""

    def decorate(scenario: Callable[[Simulation], Awaitable[None]]) -> Callable[[], None]:
        def run() -> None:
            Simulation(seed).run_scenario(scenario)

        run.__name__, run.__doc__ = scenario.__name__, scenario.__doc__
        return run

    return decorate


async def start_services(simulation: Simulation, count: int = 2) -> list[str]:
    """Submit `count` services of two replicas, wait until all replicas run and return the job ids."""
    ids = [f"req-{number:06d}" for number in range(1, count + 1)]
    for number in range(1, count + 1):
        simulation.submit_until_accepted(
            raw_job(number, rig="daemon", hands=2, voyageS=0.0, crew=("red", "blue")[number % 2])
        )
    await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 2 * count)
    await simulation.advance(4.0)
    return ids


def task_count(simulation: Simulation, job_id: str) -> int:
    """Return the number of a job's tasks on machines."""
    return sum(task.job.id == job_id for _, task in simulation.tasks_on_machines())


def other_controllers(*labels: str | None) -> list[str]:
    """Return the labels of all controllers but these."""
    return [label for label in LABELS if label not in labels]


async def wait_for_next_leader(simulation: Simulation, *before: str | None) -> str:
    """Wait for a leader other than these controllers and return its label."""
    return str(
        await simulation.run_until(
            lambda: label if (label := simulation.leader_label()) not in (None, *before) else None
        )
    )


async def cancel_through_the_next_leader(simulation: Simulation, job_ids: list[str]) -> str:
    """Isolate the leader together with all workers, cancel jobs through the next one and return its label."""
    old = simulation.leader_label()
    assert old is not None
    for worker in simulation.alive():
        simulation.worker_controllers[worker.name] = old
    simulation.isolate(old)
    new = await wait_for_next_leader(simulation, old)
    for job_id in job_ids:
        await simulation.cancel_until_confirmed(job_id, new)
    return new


async def fail_over(simulation: Simulation) -> str:
    """Crash the leader, wait for the next one and return the label of the crashed one."""
    old = str(simulation.leader_label())
    simulation.crash(old)
    await wait_for_next_leader(simulation, old)
    return old


async def assert_cancelled_in_time(simulation: Simulation, *job_ids: str) -> None:
    """Assert that no task of these cancelled jobs runs `cancel_s` seconds after the last cancellation, plus 1 s."""
    for job_id in job_ids:
        assert simulation.statuses[job_id] == "cancelled"
    await simulation.advance(
        max(simulation.cancelled_at.values()) + simulation.platform.cancel_s - simulation.time() + 1.0
    )
    assert not any(task_count(simulation, job_id) for job_id in job_ids)


def pin_workers_to(simulation: Simulation, label: str) -> None:
    """Let every worker reach this controller only."""
    for worker in simulation.alive():
        simulation.worker_controllers[worker.name] = label
        worker.only_controller = label  # type: ignore[attr-defined]


# Cancellations that the next leader commits before an outage of the store, and leases that the old leader keeps.


@run_in_simulation()
async def test_old_leader_steps_down_once_a_peer_knows_a_higher_fencing_token(simulation: Simulation) -> None:
    """The store rejects the leader only; the next leader confirms cancellations, then the store rejects all.

    Workers still send their heartbeats to the old leader. All its peers are rejected too, but one of them has led
    since. The cloud is down, so the new leader learns no worker address to send its fencing token to.
    """
    ids = await start_services(simulation)
    old = simulation.leader_label()
    assert old is not None
    simulation.cloud_up = False
    pin_workers_to(simulation, old)
    simulation.store_double.down_for.add(old)
    new = await wait_for_next_leader(simulation, old)
    for job_id in ids:
        await simulation.cancel_until_confirmed(job_id, new)
    simulation.store_double.down_for.add("all")
    await assert_cancelled_in_time(simulation, *ids)
    assert simulation.role(new) is Role.UNCONFIRMED_LEADER, "the outage does not make the new leader step down"
    await simulation.verify_recovery()


@run_in_simulation()
async def test_leader_continues_if_the_store_fails_before_another_is_elected(simulation: Simulation) -> None:
    """Guards against a leader that steps down once the store has served a peer, so that all worker leases expire."""
    await start_services(simulation)
    old = simulation.leader_label()
    assert old is not None
    before = {(worker.name, task.job.id, task.attempt) for worker, task in simulation.tasks_on_machines()}
    simulation.store_double.down_for.add(old)
    await simulation.run_until(lambda: simulation.role(old) is Role.UNCONFIRMED_LEADER)
    await simulation.advance(0.1)
    simulation.store_double.down_for.add("all")
    await simulation.advance(simulation.platform.cancel_s + 10.0)
    assert simulation.role(old) is Role.UNCONFIRMED_LEADER
    assert before == {(worker.name, task.job.id, task.attempt) for worker, task in simulation.tasks_on_machines()}
    await simulation.verify_recovery()


@run_in_simulation()
async def test_peers_restarted_since_do_not_confirm_the_old_leader(simulation: Simulation) -> None:
    """During a store outage all controllers but the old leader restart, also the one that confirmed cancellations.

    The new leader has lost its state, so the old one learns of no higher fencing token from its peers.
    """
    ids = await start_services(simulation)
    old = simulation.leader_label()
    assert old is not None
    simulation.cloud_up = False
    pin_workers_to(simulation, old)
    simulation.partition(old)
    simulation.store_double.down_for.add(old)
    new = await wait_for_next_leader(simulation, old)
    for job_id in ids:
        await simulation.cancel_until_confirmed(job_id, new)
    simulation.store_double.down_for.add("all")
    for label in other_controllers(old):
        simulation.crash(label)
        simulation.start(label)
    simulation.partitioned_links.clear()
    await assert_cancelled_in_time(simulation, *ids)
    await simulation.verify_recovery()


@run_in_simulation()
async def test_lease_keeping_periods_of_leader_and_follower_do_not_add_up(simulation: Simulation) -> None:
    """A zone with the leader, a follower and workers is partitioned; the next leader outside confirms cancellations.

    The old leader keeps the worker leases alive until its time limit. The follower must not keep them alive for a
    period of its own after that. The cloud is down.
    """
    ids = await start_services(simulation)
    old = simulation.leader_label()
    assert old is not None
    follower, outside_label = other_controllers(old)
    simulation.cloud_up = False
    simulation.partition(outside_label)
    simulation.partitioned_from["store"].update((old, follower))
    simulation.partitioned_from["workers"].add(outside_label)
    assert await wait_for_next_leader(simulation, old, follower) == outside_label
    for job_id in ids:
        await simulation.cancel_until_confirmed(job_id, outside_label)
    await assert_cancelled_in_time(simulation, *ids)
    assert simulation.controllers[follower].election.lease_keeping_token is None
    await simulation.verify_recovery()


@run_in_simulation()
async def test_unconfirmed_leader_executes_committed_cancellations(simulation: Simulation) -> None:
    """The next leader confirms cancellations and loses the store before it has received any heartbeat.

    All workers stay with the old leader, which reaches nobody else. The new leader lists the machines from the cloud,
    sends them its fencing token and stops the tasks.
    """
    ids = await start_services(simulation)
    new = await cancel_through_the_next_leader(simulation, ids)
    simulation.store_double.down_for.add("all")
    assert len(simulation.tasks_on_machines()) == 4, "no task could be stopped yet"
    await simulation.advance(simulation.platform.report_s * 4)
    assert not simulation.tasks_on_machines(), "stopped long before the old leader's time limit"
    assert simulation.role(new) is Role.UNCONFIRMED_LEADER
    await simulation.verify_recovery()


@run_in_simulation()
async def test_unconfirmed_leader_fences_a_hung_machine(simulation: Simulation) -> None:
    """A cancelled task is on a machine that hangs for longer than `cancel_s`, during a store outage."""
    ids = await start_services(simulation)
    leader = simulation.leader_label()
    for worker, task in simulation.tasks_on_machines():
        if task.job.id == ids[0]:
            worker.hung = True
    idle = [worker.name for worker in simulation.alive() if not worker.hung]
    await simulation.cancel_until_confirmed(ids[0])
    simulation.store_double.down_for.add("all")
    await assert_cancelled_in_time(simulation, ids[0])
    assert simulation.role(str(leader)) is Role.UNCONFIRMED_LEADER
    assert [worker.name for worker in simulation.alive()] == idle, "it terminates no other machine"
    assert task_count(simulation, ids[1]) == (2 if idle else 0)
    await simulation.verify_recovery()


@run_in_simulation()
async def test_machine_is_not_fenced_for_a_cancelled_task_that_exited(simulation: Simulation) -> None:
    """Guards against deleting machines for tasks that have exited while the batch with the exits is not committed."""
    ids = await start_services(simulation)
    machines = {worker.name for worker in simulation.alive()}
    restarted = next(worker for worker, task in simulation.tasks_on_machines() if task.job.id == ids[0])
    await simulation.cancel_until_confirmed(ids[0])
    # One machine does not report the exit: its worker restarts with a new worker epoch and no tasks.
    restarted.restart()
    simulation.store_double.down_for.add("all")
    await assert_cancelled_in_time(simulation, ids[0])
    assert {worker.name for worker in simulation.alive()} == machines
    await simulation.run_until(lambda: task_count(simulation, ids[1]) == 2)
    await simulation.verify_recovery()


@run_in_simulation()
async def test_cancellation_whose_commit_response_is_lost_is_executed(simulation: Simulation) -> None:
    """The store commits the cancellation, but the response is lost, and then rejects the leader only.

    A follower reads the record and tells the user before the store is down for all controllers.
    """
    ids = await start_services(simulation)
    leader = simulation.leader_label()
    assert leader is not None
    simulation.lost_responses.add(leader)
    simulation.cancel_until_confirmed(ids[0], leader)
    await simulation.advance(0.1)
    simulation.store_double.down_for.add(leader)
    await simulation.run_until(lambda: simulation.role(leader) is Role.UNCONFIRMED_LEADER)
    assert (
        await simulation.poll(ids[0], other_controllers(leader)[0]) == 200
        and simulation.statuses[ids[0]] == "cancelled"
    )
    simulation.store_double.down_for.add("all")
    await assert_cancelled_in_time(simulation, ids[0])
    assert simulation.role(leader) is Role.UNCONFIRMED_LEADER and task_count(simulation, ids[1]) == 2
    simulation.lost_responses.clear()
    await simulation.verify_recovery()


@run_in_simulation()
async def test_leader_that_may_have_been_replaced_starts_nothing(simulation: Simulation) -> None:
    """The old leader has placed a job and sent no start when it loses the store and its peers.

    The next leader confirms the job's cancellation. A worker that still sends heartbeats to the old leader must not
    be told to start the job.
    """
    await start_services(simulation, 1)
    old = simulation.leader_label()
    assert old is not None
    for worker in simulation.alive():
        worker.inbound_cut = True
    simulation.submit_until_accepted(raw_job(9, hands=1, voyageS=50.0, crew="blue"))
    cluster = simulation.controllers[old].scheduler.cluster  # type: ignore[union-attr]
    await simulation.run_until(lambda: "req-000009" in cluster.jobs and cluster.jobs["req-000009"].placements)
    simulation.isolate(old)
    simulation.partitioned_from["workers"].update(other_controllers(old))
    new = await wait_for_next_leader(simulation, old)
    await simulation.cancel_until_confirmed("req-000009", new)
    for worker in simulation.alive():
        worker.inbound_cut = False
        simulation.worker_controllers[worker.name] = old
    await simulation.advance(simulation.platform.lease_s)
    assert not simulation.starts_after_cancel
    await simulation.verify_recovery()


@run_in_simulation()
async def test_follower_does_not_keep_the_lease_of_a_machine_that_missed_a_stop(simulation: Simulation) -> None:
    """The machine of a cancelled task receives nothing, then the leader crashes during a store and cloud outage.

    A follower keeps worker leases alive for a while after its last contact with the leader, but not this machine's.
    """
    ids = await start_services(simulation)
    leader = simulation.leader_label()
    assert leader is not None
    simulation.cloud_up = False
    for worker, task in simulation.tasks_on_machines():
        if task.job.id == ids[0]:
            worker.inbound_cut = True
    await simulation.cancel_until_confirmed(ids[0])
    await simulation.advance(6.0)
    simulation.store_double.down_for.add("all")
    simulation.crash(leader)
    for worker in simulation.alive():
        worker.inbound_cut = False
    await assert_cancelled_in_time(simulation, ids[0])
    await simulation.verify_recovery()


@run_in_simulation()
async def test_restarted_follower_keeps_no_leases_for_a_leader_known_only_from_a_peer(simulation: Simulation) -> None:
    """A restarted follower knows the last leader's fencing token from a peer and has had no contact with a leader.

    It cannot know how old the state is for which it would keep leases alive.
    """
    ids = await start_services(simulation)
    leader = simulation.leader_label()
    assert leader is not None
    restarted, witness = other_controllers(leader)
    simulation.cloud_up = False
    await simulation.cancel_until_confirmed(ids[0])
    for worker in simulation.alive():
        worker.inbound_cut = True
    simulation.store_double.down_for.add("all")
    simulation.crash(leader, restarted)
    await simulation.advance(8.0)
    simulation.start(restarted)
    await simulation.run_until(lambda: simulation.is_up(restarted))
    simulation.controllers[restarted].election.observe_leader(
        leader, simulation.controllers[witness].election.leader_fencing_token
    )
    simulation.partition(restarted)
    for worker in simulation.alive():
        worker.inbound_cut = False
    pin_workers_to(simulation, restarted)
    await simulation.advance(4.0)
    assert simulation.controllers[restarted].election.leader_fencing_token > 0
    assert simulation.controllers[restarted].election.lease_keeping_token is None
    await assert_cancelled_in_time(simulation, ids[0])
    await simulation.verify_recovery()


@run_in_simulation()
async def test_isolated_leader_ends_its_worker_leases_within_the_cancellation_time(simulation: Simulation) -> None:
    """No other controller reaches the workers and the cloud is down: only the leader's time limit ends the leases."""
    ids = await start_services(simulation)
    old = simulation.leader_label()
    assert old is not None
    simulation.cloud_up = False
    pin_workers_to(simulation, old)
    simulation.isolate(old)
    new = await wait_for_next_leader(simulation, old)
    for job_id in ids:
        await simulation.cancel_until_confirmed(job_id, new)
    await assert_cancelled_in_time(simulation, *ids)
    await simulation.verify_recovery()


# Many leaders, and outages longer than a lease.


@run_in_simulation(3)
async def test_ten_leaders_in_two_minutes_with_a_store_outage(simulation: Simulation) -> None:
    """The store may execute a leader's transactions in later terms; it must reject batches of an earlier term."""
    simulation.late_write_rate = 0.3
    for number in range(1, 7):
        simulation.submit_until_accepted(
            raw_job(
                number,
                hands=2,
                rig=("array", "group")[number % 2],
                voyageS=60.0,
                crew=("red", "blue")[number % 2],
                cores=1.0,
            )
        )
    await simulation.advance(6.0)
    leaders = set()
    for change in range(10):
        leader = simulation.leader_label()
        if leader is not None:
            simulation.crash(leader)
        if change == 4:
            simulation.store_double.down_for.add("all")
            simulation.cancel_until_confirmed("req-000003")
        await simulation.advance(3.0)
        for label in LABELS:
            if label not in simulation.processes:
                simulation.start(label)
        if change == 6:
            simulation.store_double.heal()
        await simulation.advance(9.0)
        leaders.update(
            {
                simulation.controllers[label].election.fencing_token
                for label in LABELS
                if simulation.leader_label() == label
            }
        )
    assert len(leaders) >= 7
    await simulation.verify_recovery()


@run_in_simulation()
async def test_all_controllers_down_for_longer_than_a_lease(simulation: Simulation) -> None:
    """Leases expire and worker epochs change; the new epochs prove that no task runs, and each starts once more."""
    ids = await start_services(simulation)
    for label in LABELS:
        simulation.crash(label)
    await simulation.advance(simulation.platform.lease_s + 3.0)
    assert not simulation.tasks_on_machines()
    for label in LABELS:
        simulation.start(label)
    await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 4)
    assert {task.job.id for _, task in simulation.tasks_on_machines()} == set(ids)
    await simulation.verify_recovery()


@run_in_simulation()
async def test_tasks_keep_running_if_the_leader_crashes_while_machines_are_unreachable(
    simulation: Simulation,
) -> None:
    """Some machines are partitioned and some receive nothing, for less than a lease: all tasks keep running there."""
    await start_services(simulation)
    before = {(worker.name, task.job.id, task.index, task.attempt) for worker, task in simulation.tasks_on_machines()}
    worker_names = sorted({worker.name for worker, _ in simulation.tasks_on_machines()})
    partitioned, inbound_cut = (
        simulation.workers[worker_names[0]],
        [simulation.workers[name] for name in worker_names[1:]],
    )
    partitioned.partitioned = True
    for worker in inbound_cut:
        worker.inbound_cut = True
    await fail_over(simulation)
    await simulation.advance(4.0)
    partitioned.partitioned = False
    for worker in inbound_cut:
        worker.inbound_cut = False
    await simulation.advance(6.0)
    assert before == {
        (worker.name, task.job.id, task.index, task.attempt) for worker, task in simulation.tasks_on_machines()
    }
    await simulation.verify_recovery()


# The end of a job's last task.


@run_in_simulation(5)
async def test_cancel_poll_and_resubmit_race_with_the_end_of_the_last_task(simulation: Simulation) -> None:
    """The first final status sent to a user stays; `Simulation` raises if a response contradicts an earlier one."""
    raws = {
        f"req-{number:06d}": raw_job(
            number, hands=1, voyageS=8.0, cores=0.5, accelerators=0.1, crew=("red", "blue")[number % 2]
        )
        for number in range(1, 31)
    }
    for raw in raws.values():
        simulation.submit_until_accepted(raw)
    handled: set[str] = set()

    def ended() -> list[str]:
        return [job_id for job_id, index in sorted(simulation.finished) if job_id not in handled]

    while len(handled) < len(raws):
        await simulation.run_until(ended)
        for job_id in ended():
            handled.add(job_id)
            for wait_s in (0.0, 0.02, 0.06):
                simulation.spawn(simulation.poll(job_id))
                if len(handled) % 3:
                    simulation.cancel_until_confirmed(job_id)
                simulation.submit_until_accepted(raws[job_id])
                await simulation.advance(wait_s)
    await simulation.advance(5.0)
    for job_id in raws:
        await simulation.poll(job_id)
    assert {"done", "cancelled"} >= set(simulation.statuses.values()) and "done" in simulation.statuses.values()
    await simulation.verify_recovery()


@run_in_simulation()
async def test_tasks_that_end_under_different_leaders_run_once(simulation: Simulation) -> None:
    simulation.submit_until_accepted(raw_job(1, hands=3, voyageS=10.0, cores=1.0))
    simulation.submit_until_accepted(raw_job(2, hands=2, voyageS=10.0, cores=1.0, crew="blue"))
    await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 5)
    for wait_s, (_, task) in enumerate(simulation.tasks_on_machines()):
        task.ends_at = simulation.time() + 3.0 + 14.0 * (wait_s % 3)
    starts = simulation.task_starts
    for _ in range(3):
        await simulation.advance(11.0)
        simulation.start(await fail_over(simulation))
    await simulation.verify_recovery()
    assert simulation.task_starts == starts, "no finished task started again"
    assert set(simulation.statuses.values()) == {"done"}


# Single-zone jobs and team quotas.


@run_in_simulation()
async def test_single_zone_array_that_loses_machines_stays_in_its_zone(simulation: Simulation) -> None:
    """All tasks must go to the zone where some of them may still run, also while a machine there is unreachable."""
    simulation.submit_until_accepted(raw_job(1, hands=4, voyageS=200.0, cores=16.0, accelerators=1.0, together=True))
    await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 4)
    await simulation.advance(3.0)
    worker_names = sorted({worker.name for worker, _ in simulation.tasks_on_machines()})
    zone = simulation.workers[worker_names[0]].zone
    # That zone is full: the cloud creates no more machines, and one boots in the other zone.
    simulation.max_machines = 0
    for worker in simulation.alive():
        if worker.name not in worker_names[1:]:
            worker.terminated = True
            worker.tasks.clear()
    assert simulation.tasks_on_machines()
    await fail_over(simulation)
    await simulation.advance(25.0)
    simulation.boot(ScaleOutRecord("big", "south" if zone == "north" else "north", False, 1, 0.0))
    await simulation.advance(20.0)
    assert len(simulation.tasks_on_machines()) < 4, "lost tasks wait for a machine in their zone"
    simulation.max_machines = 14
    await simulation.verify_recovery()
    assert simulation.statuses["req-000001"] == "done"


@run_in_simulation()
async def test_team_quota_holds_while_the_leader_changes(simulation: Simulation) -> None:
    """Team red uses all of its 8 GPUs when the leader changes, and one of its jobs is cancelled.

    The new leader cannot reach some of the machines. Tasks that may still run count against the quota, so no further
    task of the team starts until they have ended.
    """
    simulation.submit_until_accepted(raw_job(1, rig="daemon", hands=4, voyageS=0.0, accelerators=1.0, cores=1.0))
    simulation.submit_until_accepted(raw_job(2, rig="daemon", hands=4, voyageS=0.0, accelerators=1.0, cores=1.0))
    await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 8)
    await simulation.advance(3.0)
    for worker, task in simulation.tasks_on_machines():
        if task.job.id == "req-000001":
            worker.partitioned = True
    old = simulation.leader_label()
    simulation.crash(str(old))
    simulation.submit_until_accepted(raw_job(3, hands=8, voyageS=10.0, accelerators=1.0, cores=1.0))
    await wait_for_next_leader(simulation, old)
    simulation.cancel_until_confirmed("req-000002")
    await simulation.advance(20.0)
    await simulation.verify_recovery()
    assert simulation.statuses["req-000003"] == "done"


# Late transactions of the store, and slow links.


@run_in_simulation(7)
async def test_transactions_executed_late_overwrite_nothing_newer(simulation: Simulation) -> None:
    """A transaction may execute after newer ones of its controller; each batch requires the previous batch marker."""
    simulation.late_write_rate = 0.4
    for number in range(1, 25):
        simulation.submit_until_accepted(
            raw_job(
                number,
                hands=2,
                voyageS=8.0,
                rig=("array", "group", "array")[number % 3],
                cores=1.0,
                crew=("red", "blue")[number % 2],
            )
        )
        await simulation.advance(2.0)
        if number % 4 == 0:
            simulation.cancel_until_confirmed(f"req-{number - 2:06d}")
        if number == 6:
            old = simulation.leader_label()
            if old is not None:
                simulation.crash(old)
                simulation.start(old)
    for _ in range(3):
        # A leader must read what the previous one committed.
        await simulation.advance(13.0)
        simulation.start(await fail_over(simulation))
    await simulation.verify_recovery()


@run_in_simulation()
async def test_worker_that_reaches_no_controller_receives_direct_commands(simulation: Simulation) -> None:
    ids = await start_services(simulation)
    for worker in simulation.alive():
        worker.outbound_cut = True  # type: ignore[attr-defined]
    await simulation.advance(1.0)
    await simulation.cancel_until_confirmed(ids[0])
    await simulation.advance(simulation.platform.lease_s / 4)
    assert not task_count(simulation, ids[0]) and task_count(simulation, ids[1]) == 2, (
        "stopped by a command, before its lease expires"
    )
    await simulation.verify_recovery()


@run_in_simulation(2)
async def test_urgent_jobs_start_in_time_on_a_full_cluster_with_a_slow_store(simulation: Simulation) -> None:
    """Urgent jobs start within four minutes on a full cluster, and all jobs are done once there is capacity."""
    simulation.max_machines, simulation.store_delay_s, simulation.delayed_command_rate = 4, 0.3, 0.1
    for number in range(1, 25):
        urgent = number % 6 == 0
        simulation.submit_until_accepted(
            raw_job(
                number,
                hands=3 if urgent else 2,
                voyageS=12.0,
                cores=4.0,
                accelerators=1.0,
                rig="group" if urgent else "array",
                rank="high" if urgent else "best_effort",
                crew=("red", "blue")[number % 2],
            )
        )
        await simulation.advance(0.5)
    begun = simulation.time()
    urgent_jobs = {f"req-{number:06d}" for number in range(6, 25, 6)}
    await simulation.run_until(lambda: urgent_jobs <= simulation.started_jobs, 240.0)
    assert simulation.time() - begun < 240.0
    simulation.max_machines = 14
    await simulation.verify_recovery()


# Bad requests and response times.


@run_in_simulation()
async def test_bad_requests_are_answered_at_once_during_faults(simulation: Simulation) -> None:
    """Errors that need no state service are reported; other requests get 503 with a retry delay, none waits."""
    ids = await start_services(simulation, 1)
    lacking = {key: value for key, value in raw_job(7).items() if key != "crew"}
    calls = [
        ("POST", "/v1/jobs", b"{", {400}),
        ("POST", "/v1/jobs", {"nameId": "x"}, {400}),
        ("POST", "/v1/jobs", lacking, {400, 503}),
        ("POST", "/v1/jobs", raw_job(8, cores=99.0), {422, 503}),
        ("POST", "/v1/jobs", raw_job(9, rig="group", spread=True, together=True), {422, 503}),
        ("GET", "/v1/jobs", None, {405}),
        ("GET", "/v1/jobs/nonsense", None, {404}),
        ("GET", "/v1/jobs/req-000099", None, {404, 503}),
        ("POST", "/v1/jobs/req-000099/cancel", None, {404, 503}),
        ("GET", "/nowhere", None, {404}),
        ("POST", "/agent/beat", b"{}", {400, 421}),
    ]

    async def send_all_calls(store_available: bool, skipped_path: str = "") -> None:
        for label in LABELS:
            for method, path, body, expected in calls:
                if path == skipped_path:
                    continue
                sent_at = simulation.time()
                status, _ = await simulation.request(method, path, body, label)
                assert status in (expected - {503} if store_available and path != "/agent/beat" else expected), (
                    label,
                    path,
                )
                assert simulation.time() - sent_at < simulation.platform.report_s, (label, path)

    await send_all_calls(store_available=True)
    leader = simulation.leader_label()
    assert leader is not None
    simulation.store_double.down_for.add(leader)
    await simulation.advance(0.5)
    await send_all_calls(store_available=False)
    simulation.store_double.down_for.add("all")
    await simulation.advance(3.0)
    await send_all_calls(store_available=False)
    simulation.store_double.heal()
    simulation.store_delay_s = 0.5
    await simulation.advance(5.0)
    # The status of an unknown job has a test of its own, below.
    await send_all_calls(store_available=False, skipped_path="/v1/jobs/req-000099")
    assert set(simulation.statuses) == set(ids)
    await simulation.verify_recovery()


@run_in_simulation()
async def test_status_of_an_unknown_job_is_answered_in_time_with_a_slow_store(
    simulation: Simulation,
) -> None:
    """Users wait 2 s for a status; a response that takes longer must be 503 before then.

    A follower waits for the leader's response and then reads two records itself; one deadline limits the sum.
    """
    await start_services(simulation, 1)
    simulation.store_delay_s = 0.5
    await simulation.advance(5.0)
    statuses = [
        (await simulation.request("GET", "/v1/jobs/req-000099", None, label))[0]
        for label in LABELS
        for _ in range(10)
    ]
    assert set(statuses) <= {404, 503}, statuses


@run_in_simulation()
async def test_every_request_is_answered_within_the_user_timeout_with_a_slow_store(
    simulation: Simulation,
) -> None:
    """Users wait 2 s for a status and 5 s for the response to a submission or cancellation.

    `Simulation.request` applies these timeouts and returns 0 without a response. The lookups of the job and of each
    of its dependencies and the decision share the deadline of one request.
    """
    leader = simulation.leader_label()
    dependencies = [f"req-{number:06d}" for number in range(1, 25)]
    for number in range(1, 25):
        simulation.submit_until_accepted(raw_job(number, hands=1, voyageS=1.0))
    while set(simulation.statuses.values()) != {"done"} or len(simulation.statuses) < len(dependencies):
        await simulation.advance(1.0)
        for job_id in dependencies:
            await simulation.poll(job_id, leader)
    # The next leader knows these jobs only from the store.
    await fail_over(simulation)
    simulation.store_delay_s = 0.3
    await simulation.advance(3.0)
    statuses = []
    for number, label in enumerate([label for label in LABELS if simulation.is_up(label)] * 4, 100):
        path = f"/v1/jobs/req-{number:06d}"
        statuses.append((await simulation.request("POST", "/v1/jobs", raw_job(number, tows=dependencies), label))[0])
        statuses.append((await simulation.request("POST", f"{path}/cancel", None, label))[0])
        statuses.append((await simulation.request("GET", path, None, label))[0])
    assert 0 not in statuses, statuses
    assert 503 in statuses


@pytest.mark.parametrize("seed", range(6))
def test_cancelled_tasks_end_while_recoveries_fail_in_a_slow_store(seed: int) -> None:
    """The old leader is isolated with its workers and the cloud is down; after a cancellation the store is slow.

    Recoveries then take longer than the leader lease, one after the other. Guards against controllers that keep the
    leases of workers with cancelled tasks while they recover, since each has not yet read what was cancelled.
    """

    async def scenario(simulation: Simulation) -> None:
        ids = await start_services(simulation)
        simulation.cloud_up = False
        await cancel_through_the_next_leader(simulation, ids)
        simulation.store_delay_s = 0.6
        await assert_cancelled_in_time(simulation, *ids)

    Simulation(seed).run_scenario(scenario)
