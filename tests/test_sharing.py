"""Simulated scenarios of sharing: shard moves, jobs and machines of several shards, and enabling sharing."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from driftcleat import wire
from driftcleat.leadership import Role
from driftcleat.sharing.handoff import HandoffState
from driftcleat.sharing.keys import (
    ASSIGNMENT_KEY,
    JOB_DIRECTORY_PREFIX,
    MACHINE_SHARDS_PREFIX,
    shard_key,
    shard_prefix,
)
from driftcleat.sharing.messages import ReleaseRequest, ReleaseResponse
from driftcleat.store.errors import StoreUnavailableError
from driftcleat.store.keys import JOBS_PREFIX, LEADER_KEY

from .samples import raw_job
from .sharing_simulation import ShardedSimulation, leader_key
from .simulation import LABELS, SimulatedController, Simulation

Scenario = Callable[[ShardedSimulation], Awaitable[None]]


def run_scenario(scenario: Scenario, seed: int = 5, shard_count: int = 3, balance: float = 0.0) -> ShardedSimulation:
    """Run a scenario once every shard has a leader; verify recovery at its end and return the simulation."""
    simulation = ShardedSimulation(seed, shard_count, balance)

    async def run_with_recovery(_: Simulation) -> None:
        await simulation.wait_until_ready()
        await scenario(simulation)
        await simulation.verify_recovery()

    simulation.run_scenario(run_with_recovery)
    return simulation


def other_labels(label: str | None) -> list[str]:
    return [other for other in LABELS if other != label]


async def submit_to_shard(simulation: ShardedSimulation, shard: int, number: int, **changes: Any) -> str:
    """Register a job in this shard, submit it, wait until it is accepted, and return its id."""
    job_id = f"req-{number:06d}"
    host = simulation.controllers[str(simulation.leader_label())]
    assert await host.job_directory.register(job_id, shard) == shard
    await simulation.submit_until_accepted(raw_job(number, **changes))
    assert job_id in simulation.statuses
    return job_id


async def move_shard(simulation: ShardedSimulation, shard: int, target: str) -> None:
    """Request a move of a shard, and wait until the target leads it."""
    assert (await simulation.request_move(shard, target))[0] == 200
    await simulation.run_until(lambda: simulation.shard_leader(shard) == target, 30.0)


def worker_epochs(simulation: ShardedSimulation) -> dict[str, int]:
    return {worker.name: worker.worker_epoch for worker in simulation.alive()}


def running_tasks(simulation: ShardedSimulation) -> set[tuple[str, str, int]]:
    return {(worker.name, task.job.id, task.index) for worker, task in simulation.tasks_on_machines()}


# Moves


def test_moving_a_shard_with_a_partly_placed_gang_stops_no_task() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        await submit_to_shard(simulation, 1, 1, rig="daemon", hands=2, voyageS=0.0)
        await submit_to_shard(simulation, 1, 2, hands=2, voyageS=60.0)
        await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 4)
        await submit_to_shard(simulation, 1, 3, rig="group", hands=2, crew="blue", imageGb=8.0, hull="img-9")
        # The tasks of the gang fetch their image and wait for each other.
        await simulation.run_until(
            lambda: any(task.job.id == "req-000003" for _, task in simulation.tasks_on_machines())
        )
        before, started = (
            worker_epochs(simulation),
            {(worker.name, task.job.id, task.index) for worker, task in simulation.tasks_on_machines()},
        )
        for _ in range(4):
            await move_shard(simulation, 1, other_labels(simulation.shard_leader(1))[0])
            await simulation.advance(2.0)
        assert started <= running_tasks(simulation)
        await simulation.advance(10.0)
        assert worker_epochs(simulation).items() >= before.items(), "no worker lease expired"

    run_scenario(scenario)


def test_job_states_do_not_go_back_while_shards_move() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        for number in range(1, 7):
            await submit_to_shard(simulation, 1 + number % 2, number, hands=1, voyageS=5.0)
        for number in range(1, 7):
            shard = 1 + number % 2
            simulation.spawn(simulation.request_move(shard, other_labels(simulation.shard_leader(shard))[number % 2]))
            if number % 3 == 0:
                simulation.cancel_until_confirmed(f"req-{number:06d}")
            for _ in range(20):
                for label in LABELS:
                    await simulation.poll(f"req-{number:06d}", label)
                await simulation.advance(0.02)
            simulation.submit_until_accepted(raw_job(number, hands=1, voyageS=5.0))
            await simulation.advance(3.0)

    run_scenario(scenario)


@pytest.mark.parametrize("crashed", ["source", "target", "coordinator", "source and target", "all"])
@pytest.mark.parametrize("crash_delay_s", [0.0, 0.006, 0.012, 0.03, 0.2])
def test_shard_is_led_again_after_a_crash_during_its_move(crashed: str, crash_delay_s: float) -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        await submit_to_shard(simulation, 1, 1, hands=2, voyageS=20.0)
        await simulation.run_until(simulation.tasks_on_machines)
        source, coordinator = str(simulation.shard_leader(1)), str(simulation.leader_label())
        target = other_labels(source)[0]
        assert (await simulation.request_move(1, target))[0] == 200
        await simulation.advance(crash_delay_s)
        labels = {"source": [source], "target": [target], "coordinator": [coordinator], "all": list(LABELS)}
        simulation.crash(*dict.fromkeys(labels.get(crashed, [source, target])))
        await simulation.advance(6.0)
        if crashed != "all" and len(simulation.processes) > 1:
            assert simulation.shard_leader(1) in simulation.processes
        simulation.heal()
        await simulation.wait_until_ready()

    assert run_scenario(scenario).task_starts >= 2


def test_move_completes_if_the_target_gets_no_responses_to_its_transactions() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        target = other_labels(simulation.shard_leader(1))[0]
        if target == simulation.leader_label():
            target = other_labels(simulation.shard_leader(1))[1]
        simulation.lost_responses.add(target)
        assert (await simulation.request_move(1, target))[0] == 200
        await simulation.run_until(lambda: simulation.shard_leader(1) == target, 30.0)
        simulation.lost_responses.clear()
        assert simulation.assignment()[1][1] == target and not simulation.assignment()[2]

    run_scenario(scenario)


def test_source_makes_no_decisions_after_release_and_campaigns_again_if_no_target_acquires() -> None:
    """Guards against a source that relies on its lease, which stays valid after the leader key has changed hands."""

    async def scenario(simulation: ShardedSimulation) -> None:
        source = str(simulation.shard_leader(1))
        engine = simulation.controllers[source].engines[1]
        election, fencing_token = engine.shard_election, engine.election.fencing_token
        assert election.release() == fencing_token and election.release() == fencing_token
        assert (
            not election.may_decide and not election.may_send_starts and engine.active_term.deciding_scheduler is None
        )
        assert election.may_respond_to_heartbeats, "worker leases are kept alive"
        assert simulation.controllers[source].handoffs.state(1) is HandoffState.RELEASING
        # Keeping the lease of the process alive, for this or another shard, does not restore the right to decide.
        await engine.election.leader_loop.keep_alive()
        assert not election.may_decide and not election.lease.is_valid(simulation.time())
        held_revision = simulation.store.data[leader_key(1)][1]
        await simulation.run_until(lambda: simulation.shard_leader(1) == source, 30.0)
        assert (
            engine.election.fencing_token > fencing_token and simulation.store.data[leader_key(1)][1] > held_revision
        )
        # The leader key has a new mod revision, so that a late transaction of the target fails its compare.
        assert simulation.controllers[source].handoffs.state(1) is HandoffState.OWNED

    run_scenario(scenario)


def test_target_with_an_outdated_assignment_does_not_complete_a_dropped_move() -> None:
    """Guards against a target that overwrites a newer assignment with one based on an outdated replica."""

    async def scenario(simulation: ShardedSimulation) -> None:
        source = str(simulation.shard_leader(1))
        target = next(label for label in other_labels(source) if label != simulation.leader_label())
        host = simulation.controllers[target]
        simulation.partition(target)
        assert (await simulation.request_move(1, target))[0] == 200 or simulation.leader_label() is None
        await simulation.run_until(lambda: host.view.assignment is not None and host.view.assignment.moves, 5.0)
        # From here on the replica of the target is not updated; the move is dropped from the stored assignment.
        host.view._apply = lambda *_: None  # type: ignore[method-assign]
        assignment_without_move = [
            simulation.assignment()[0],
            simulation.assignment()[1],
            [],
            *simulation.assignment()[3:],
        ]
        simulation.overwrite_key(ASSIGNMENT_KEY, assignment_without_move)
        await simulation.advance(0.5)
        mod_revision = simulation.controllers[source].engines[1].shard_election.release()
        assert mod_revision is not None
        host.engines[1].shard_election.acquire(mod_revision)
        await simulation.advance(0.5)
        assert simulation.shard_leader(1) != target and simulation.assignment() == assignment_without_move
        await simulation.run_until(lambda: simulation.shard_leader(1) == source, 30.0)

    run_scenario(scenario)


def test_two_moves_in_opposite_directions_both_complete() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        first, second = str(simulation.shard_leader(1)), str(simulation.shard_leader(2))
        if first == second:
            await move_shard(simulation, 2, other_labels(first)[0])
            second = str(simulation.shard_leader(2))
        assert (await simulation.request_move(1, second))[0] == (await simulation.request_move(2, first))[0] == 200
        await simulation.run_until(
            lambda: (simulation.shard_leader(1), simulation.shard_leader(2)) == (second, first), 30.0
        )

    run_scenario(scenario)


def test_one_controller_can_lead_every_shard() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        for number in range(1, 4):
            await submit_to_shard(simulation, number - 1, number, hands=1)
        survivor = str(simulation.leader_label())
        simulation.crash(*other_labels(survivor))
        await simulation.run_until(
            lambda: all(simulation.shard_leader(shard) == survivor for shard in range(3)), 60.0
        )
        await simulation.run_until(
            lambda: set(simulation.started_jobs) == {"req-000001", "req-000002", "req-000003"}, 90.0
        )

    run_scenario(scenario)


def test_isolated_source_starts_no_cancelled_tasks_after_the_shard_fails_over() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        await submit_to_shard(simulation, 1, 1, hands=2, voyageS=200.0)
        await simulation.run_until(simulation.tasks_on_machines)
        source = str(simulation.shard_leader(1))
        simulation.isolate(source)
        simulation.partitioned_from["users"].add(source)
        await simulation.run_until(lambda: simulation.shard_leader(1) not in (source, None), 90.0)
        simulation.cancel_until_confirmed("req-000001")
        await simulation.advance(5.0)
        simulation.heal()
        await simulation.advance(20.0)
        assert not simulation.starts_after_cancel

    run_scenario(scenario)


def test_release_requests_of_finished_or_unknown_moves_are_rejected() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        source = str(simulation.shard_leader(1))
        target, third = other_labels(source)
        await move_shard(simulation, 1, target)
        await move_shard(simulation, 1, source)
        handoffs = simulation.controllers[source].handoffs
        for stale_request in (
            ReleaseRequest(1, target, 1),
            ReleaseRequest(1, third, 3),
            ReleaseRequest(2, target, 2),
            ReleaseRequest(7, target, 1),
        ):
            response = await handoffs.release(stale_request)
            assert isinstance(response, ReleaseResponse) and response.mod_revision is None and response.reason
        assert simulation.shard_leader(1) == source
        # A request of another controller or with another move number is rejected while a move is in progress.
        simulation.partition(target)
        assert (await simulation.request_move(1, target))[0] == 200 or simulation.leader_label() == target
        if simulation.leader_label() != target:
            await simulation.advance(0.1)
            move = simulation.controllers[source].view.assignment.move_of(1)  # type: ignore[union-attr]
            assert move is not None
            for stale_request in (ReleaseRequest(1, third, move.number), ReleaseRequest(1, target, move.number - 1)):
                response = await handoffs.release(stale_request)
                assert isinstance(response, ReleaseResponse) and response.mod_revision is None

    run_scenario(scenario)


def test_invalid_operator_requests_are_rejected_with_a_reason() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        owner = str(simulation.shard_leader(1))
        for shard, target, reason in (
            (0, "a", "coordinator"),
            (8, "a", "no share 8"),
            (1, "x", "unknown"),
            (1, owner, "owns"),
        ):
            status, response = await simulation.request_move(shard, target)
            assert status == 409 and reason in response["error"], (shard, target)
        host = simulation.controllers[owner]
        for path, body in (("/sharing", b"{}"), ("/sharing", b'["let-go",1]'), ("/shares/move", b"[1]")):
            assert (await host.handle_back("POST", path, body)).status == 400
        assert host.operators.malformed == 3
        for path in ("/peer/9", "/peer/x", "/peer/"):
            assert (await host.handle_back("POST", path, b"")).status == 404
        response_body = json.loads((await host.handle_back("GET", "/shares", b"")).body)
        assert [row["share"] for row in response_body["shares"]] == [0, 1, 2] and response_body["begun"]

    run_scenario(scenario)


def test_invalid_stored_assignment_is_rejected_and_the_previous_one_stays_in_force() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        before = [simulation.shard_leader(shard) for shard in range(3)]
        stored = simulation.store.data[ASSIGNMENT_KEY]
        for invalid in (
            [1, ["", "a", "x"]],
            [1, ["", "b"], [[1, "b", 1]]],
            {"owners": 3},
            [1, ["", "b", "c"], [[9, "a", 1]]],
        ):
            simulation.store.revision += 1
            simulation.store.data[ASSIGNMENT_KEY] = (invalid, simulation.store.revision)
            entry = {"put": ASSIGNMENT_KEY, "v": invalid, "entry": simulation.store.revision}
            simulation.store_double.log.append(entry)  # type: ignore[attr-defined]
            await simulation.advance(4.0)
            assert [simulation.shard_leader(shard) for shard in range(3)] == before
            assert all(simulation.controllers[label].view.refusal for label in LABELS)
        simulation.overwrite_key(ASSIGNMENT_KEY, stored[0])
        await simulation.advance(2.0)
        assert not any(simulation.controllers[label].view.refusal for label in LABELS)

    run_scenario(scenario)


# Jobs


def test_job_waits_for_a_dependency_in_another_shard() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        first = await submit_to_shard(simulation, 1, 1, hands=1, voyageS=20.0)
        await submit_to_shard(simulation, 2, 2, hands=1, voyageS=5.0, tows=[first])
        await simulation.advance(5.0)
        assert simulation.statuses == {"req-000001": "pending", "req-000002": "pending"}
        # The shard of the waiting job moves meanwhile.
        await move_shard(simulation, 2, other_labels(simulation.shard_leader(2))[0])
        await simulation.run_until(lambda: "req-000002" in simulation.started_jobs, 120.0)

    simulation = run_scenario(scenario)
    assert simulation.statuses == {"req-000001": "done", "req-000002": "done"}


def test_cancellation_reaches_dependents_in_other_shards_and_survives_a_move() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        first = await submit_to_shard(simulation, 1, 1, hands=1, voyageS=200.0)
        second = await submit_to_shard(simulation, 2, 2, hands=1, tows=[first])
        third = await submit_to_shard(simulation, 0, 3, hands=1, tows=[second])
        await simulation.run_until(simulation.tasks_on_machines)
        await simulation.cancel_until_confirmed(first)
        for _ in range(10):
            for label in LABELS:
                await simulation.poll(second, label)
                await simulation.poll(third, label)
            simulation.spawn(simulation.request_move(2, other_labels(simulation.shard_leader(2))[0]))
            await simulation.advance(1.0)
        await simulation.run_until(
            lambda: simulation.statuses[third] == "cancelled" or simulation.spawn(simulation.poll(third)) is None,
            30.0,
        )
        assert simulation.statuses[second] == "cancelled"

    run_scenario(scenario)


def test_new_leader_knows_of_a_cancelled_dependency_in_another_shard() -> None:
    """Guards against a job that a former leader reported as cancelled and a new leader reports as pending."""

    async def scenario(simulation: ShardedSimulation) -> None:
        first = await submit_to_shard(simulation, 1, 1, hands=1, voyageS=200.0)
        second = await submit_to_shard(simulation, 2, 2, hands=1, tows=[first])
        await simulation.run_until(simulation.tasks_on_machines)
        if simulation.shard_leader(1) == simulation.shard_leader(2):
            await move_shard(simulation, 2, other_labels(simulation.shard_leader(1))[0])
        await simulation.cancel_until_confirmed(first)
        simulation.crash(str(simulation.shard_leader(2)))
        await simulation.run_until(lambda: simulation.shard_leader(2), 30.0)
        await simulation.poll(second, simulation.shard_leader(2))
        assert simulation.statuses[second] == "cancelled"

    run_scenario(scenario)


def test_only_the_leader_evaluates_dependencies_in_another_shard() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        first = await submit_to_shard(simulation, 1, 1, hands=1, voyageS=30.0)
        second = await submit_to_shard(simulation, 2, 2, hands=1, tows=[first])
        follower = simulation.controllers[other_labels(simulation.shard_leader(2))[0]].engines[2]
        with pytest.raises(StoreUnavailableError):
            await follower.users.dependencies.has_cancelled_dependency(simulation.specs[second])

    run_scenario(scenario)


def test_only_the_leader_evaluates_indirect_dependencies_in_another_shard() -> None:
    """Guards against `pending` from the records for a job whose leader says `cancelled`, with a job in between."""

    async def scenario(simulation: ShardedSimulation) -> None:
        first = await submit_to_shard(simulation, 1, 1, hands=1, voyageS=30.0)
        second = await submit_to_shard(simulation, 2, 2, hands=1, tows=[first])
        third = await submit_to_shard(simulation, 2, 3, hands=1, tows=[second])
        follower = simulation.controllers[other_labels(simulation.shard_leader(2))[0]].engines[2]
        with pytest.raises(StoreUnavailableError):
            await follower.users.dependencies.has_cancelled_dependency(simulation.specs[third])

    run_scenario(scenario)


def test_dependency_in_another_shard_must_have_been_accepted() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        host = simulation.controllers[str(simulation.leader_label())]
        await host.job_directory.register("req-000009", 1)
        await host.job_directory.register("req-000002", 2)
        # By then the leader of the shard has fetched the machine types from the cloud.
        await simulation.advance(3.0)
        status, _ = await simulation.request("POST", "/v1/jobs", raw_job(2, tows=["req-000009"]))
        assert status == 422
        # A job directory entry alone is not an accepted job.
        assert (await simulation.request("GET", "/v1/jobs/req-000009"))[0] == 404
        assert (await simulation.request("GET", "/v1/jobs/req-000077"))[0] == 404

    run_scenario(scenario)


def test_job_submitted_at_every_controller_at_once_is_stored_once() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        for number in range(1, 7):
            for label in LABELS:
                simulation.submit_until_accepted(raw_job(number, hands=1), label)
        await simulation.advance(10.0)
        for number in range(1, 7):
            job_id = f"req-{number:06d}"
            home_shards = [
                shard for shard in range(3) if shard_key(shard, JOBS_PREFIX + job_id) in simulation.store.data
            ]
            assert home_shards == [simulation.store.data[JOB_DIRECTORY_PREFIX + job_id][0]]

    run_scenario(scenario)


def test_gang_larger_than_its_shards_quota_allocation_is_started() -> None:
    """Guards against starvation: team blue has 6 accelerators; each of 3 shards gets 2 while all need more."""

    async def scenario(simulation: ShardedSimulation) -> None:
        for number in range(1, 4):
            await submit_to_shard(simulation, number % 3, number, crew="blue", hands=30, voyageS=5.0, imageGb=0.0)
        await simulation.advance(10.0)
        large_gang = await submit_to_shard(
            simulation, 1, 10, crew="blue", rig="group", hands=6, voyageS=5.0, imageGb=0.0, rank="high"
        )
        await simulation.run_until(lambda: large_gang in simulation.started_jobs, 240.0)

    run_scenario(scenario)


# Machines


def test_machine_belongs_only_to_the_shard_that_registers_it_first() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        a, b = simulation.controllers["a"], simulation.controllers["b"]
        names = [f"vm-9{number:05d}" for number in range(6)]
        assert await a.registry.register(names[:4], 1) == names[:4]
        assert await b.registry.register(names[2:], 2) == names[4:]
        assert await a.registry.register(names, 1) == names[:4]
        stored = {
            key[len(MACHINE_SHARDS_PREFIX) :]: value
            for key, (value, _) in simulation.store.data.items()
            if key.startswith(MACHINE_SHARDS_PREFIX)
        }
        assert stored == dict.fromkeys(names[:4], 1) | dict.fromkeys(names[4:], 2)

    run_scenario(scenario)


def test_heartbeats_of_an_unregistered_machine_are_not_accepted() -> None:
    """Guards against a machine in the cluster state of two shards, if the first to see it did not create it."""

    async def scenario(simulation: ShardedSimulation) -> None:
        host = simulation.controllers[str(simulation.leader_label())]
        body = wire.encode({"bollard": "vm-900001", "addr": "x:1", "build": "big", "harbor": "north"})
        assert (await host.handle_front("POST", "/agent/beat", body)).status == 503
        assert (await host.handle_front("POST", "/agent/beat", b'{"bollard":1}')).status == 400
        # Another controller registers the machine; the replica of this one may not contain it yet.
        other = simulation.controllers[other_labels(simulation.leader_label())[0]]
        await other.registry.register(["vm-900001"], 1)
        host.view.machines.pop("vm-900001", None)
        heartbeat = {"bollard": "vm-900001", "addr": "x:1", "build": "big", "harbor": "north", "driftwood": False}
        body = wire.encode(heartbeat | {"watch": 1, "knot": 1, "helm": 0, "hands": []})
        response = await host.handle_front("POST", "/agent/beat", body)
        assert response.status in (200, 421) and host.view.shard_of("vm-900001") == 1
        assert all(
            "vm-900001" not in engine.scheduler.cluster.machines
            for engine in host.engines.values()
            if engine.scheduler is not None and engine.shard != 1
        )

    run_scenario(scenario)


# Enabling sharing, and several shards


class SharingRolloutSimulation(ShardedSimulation):
    """Simulation that runs the controllers in `unsharded` without sharing, at first all of them."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.unsharded = set(LABELS)

    def start(self, label: str) -> None:
        if label in self.unsharded:
            Simulation.start(self, label)
        else:
            super().start(label)

    def crash(self, *labels: str) -> None:
        for label in labels:
            (Simulation if isinstance(self.controllers[label], SimulatedController) else ShardedSimulation).crash(
                self, label
            )

    def is_up(self, label: str) -> bool:
        return Simulation.is_up(self, label) if self._is_unsharded(label) else super().is_up(label)

    def _is_unsharded(self, label: str) -> bool:
        return isinstance(self.controllers[label], SimulatedController)

    def leader_label(self) -> str | None:
        return next(
            (label for label in sorted(self.processes) if self.is_up(label) and self.controllers[label].may_decide),
            None,
        )

    def shard_leader(self, shard: int) -> str | None:
        hosts = [
            label for label in sorted(self.processes) if not isinstance(self.controllers[label], SimulatedController)
        ]
        return next((label for label in hosts if self.controllers[label].leads(shard)), None)


def test_enabling_sharing_keeps_jobs_and_waits_until_every_controller_has_it_enabled() -> None:
    simulation = SharingRolloutSimulation(7)

    async def scenario(_: Simulation) -> None:
        simulation.submit_until_accepted(raw_job(1, rig="daemon", hands=2, voyageS=0.0))
        simulation.submit_until_accepted(raw_job(2, hands=1, voyageS=1.0))
        await simulation.run_until(lambda: len(simulation.tasks_on_machines()) >= 2)
        await simulation.run_until(lambda: "req-000002" in simulation.started_jobs)
        await simulation.advance(20.0)
        before = running_tasks(simulation)
        for label in ("c", "b"):
            simulation.unsharded.discard(label)
            simulation.crash(label)
            simulation.start(label)
            await simulation.advance(8.0)
            assert ASSIGNMENT_KEY not in simulation.store.data, "a controller without sharing is serving"
        simulation.unsharded.clear()
        simulation.crash("a")
        simulation.start("a")
        await simulation.run_until(simulation.all_shards_led, 60.0)
        assert before <= running_tasks(simulation)
        # Earlier jobs are known: repeated submissions, requests for their state and dependencies on them succeed.
        for number in (1, 2):
            assert (await simulation.request("POST", "/v1/jobs", raw_job(number, hands=1)))[0] == 200
            assert await simulation.poll(f"req-{number:06d}") == 200
        for number in range(3, 9):
            simulation.submit_until_accepted(
                raw_job(number, hands=1, voyageS=2.0, tows=["req-000002"] if number == 3 else [])
            )
        await simulation.advance(30.0)
        assert (
            len({value for key, (value, _) in simulation.store.data.items() if key.startswith(JOB_DIRECTORY_PREFIX)})
            > 1
        )
        await simulation.verify_recovery()

    simulation.run_scenario(scenario)


def test_lease_requests_do_not_grow_with_the_number_of_shards() -> None:
    lease_requests: dict[int, int] = {}
    for shard_count in (2, 8):

        async def scenario(simulation: ShardedSimulation, shard_count: int = shard_count) -> None:
            for shard in range(1, shard_count):
                if simulation.shard_leader(shard) != "a":
                    await move_shard(simulation, shard, "a")
            lease = simulation.controllers["a"].process_lease
            before = lease.requests
            await simulation.advance(30.0)
            lease_requests[shard_count] = lease.requests - before

        run_scenario(scenario, shard_count=shard_count)
    assert lease_requests[8] <= lease_requests[2] * 1.5


def test_unbalanced_shards_are_rebalanced_automatically() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        for shard in (1, 2):
            if simulation.shard_leader(shard) != "a":
                await move_shard(simulation, shard, "a")
        for number in range(1, 5):
            await submit_to_shard(simulation, 1 + number % 2, number, rig="daemon", hands=2, voyageS=0.0)
        await simulation.run_until(
            lambda: len({simulation.shard_leader(shard) for shard in (1, 2)} - {None}) == 2, 200.0
        )

    run_scenario(scenario, balance=2.0)


def test_shard_0_keeps_the_keys_of_a_deployment_without_sharing() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        await submit_to_shard(simulation, 0, 1, hands=1)
        await submit_to_shard(simulation, 1, 2, hands=1)
        assert LEADER_KEY in simulation.store.data and JOBS_PREFIX + "req-000001" in simulation.store.data
        assert shard_prefix(1) + "jobs/req-000002" in simulation.store.data
        assert simulation.controllers["a"].engines[1].election.role in (Role.LEADER, Role.FOLLOWER)

    run_scenario(scenario)
