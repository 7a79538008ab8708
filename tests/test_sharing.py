"""Shared machines on the simulated site: each hard case brought about at the moment where it hurts."""

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


def run_scenario(scenario: Scenario, seed: int = 5, shares: int = 3, balance: float = 0.0) -> ShardedSimulation:
    """Play a story once every share is led; in the end everything settles down."""
    simulation = ShardedSimulation(seed, shares, balance)

    async def inside(_: Simulation) -> None:
        await simulation.wait_until_ready()
        await scenario(simulation)
        await simulation.verify_recovery()

    simulation.run_scenario(inside)
    return simulation


def others(label: str | None) -> list[str]:
    return [other for other in LABELS if other != label]


async def on_share(simulation: ShardedSimulation, share: int, number: int, **changes: Any) -> str:
    """Hand a job in whose claim names this share, and wait until it is accepted."""
    job_id = f"req-{number:06d}"
    host = simulation.controllers[str(simulation.leader_label())]
    assert await host.job_directory.register(job_id, share) == share
    await simulation.submit_until_accepted(raw_job(number, **changes))
    assert job_id in simulation.statuses
    return job_id


async def moved(simulation: ShardedSimulation, share: int, receiver: str) -> None:
    """Have a share moved, and wait until it is led there."""
    assert (await simulation.request_move(share, receiver))[0] == 200
    await simulation.run_until(lambda: simulation.shard_leader(share) == receiver, 30.0)


def sessions(simulation: ShardedSimulation) -> dict[str, int]:
    return {worker.name: worker.worker_epoch for worker in simulation.alive()}


def running(simulation: ShardedSimulation) -> set[tuple[str, str, int]]:
    return {(worker.name, task.job.id, task.index) for worker, task in simulation.tasks_on_machines()}


# -- moves ------------------------------------------------------------------------------------------------


def test_a_share_moves_while_a_gang_is_half_placed_and_others_run_and_nothing_is_stopped() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        await on_share(simulation, 1, 1, rig="daemon", hands=2, voyageS=0.0)
        await on_share(simulation, 1, 2, hands=2, voyageS=60.0)
        await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 4)
        await on_share(simulation, 1, 3, rig="group", hands=2, crew="blue", imageGb=8.0, hull="img-9")
        # Its tasks fetch their image and wait for one another.
        await simulation.run_until(
            lambda: any(task.job.id == "req-000003" for _, task in simulation.tasks_on_machines())
        )
        before, started = (
            sessions(simulation),
            {(worker.name, task.job.id, task.index) for worker, task in simulation.tasks_on_machines()},
        )
        for _ in range(4):
            await moved(simulation, 1, others(simulation.shard_leader(1))[0])
            await simulation.advance(2.0)
        assert started <= running(simulation)
        await simulation.advance(10.0)
        assert sessions(simulation).items() >= before.items(), "no lease ran out"

    run_scenario(scenario)


def test_users_are_answered_and_never_with_something_older_while_their_share_moves() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        for number in range(1, 7):
            await on_share(simulation, 1 + number % 2, number, hands=1, voyageS=5.0)
        for number in range(1, 7):
            share = 1 + number % 2
            simulation.spawn(simulation.request_move(share, others(simulation.shard_leader(share))[number % 2]))
            if number % 3 == 0:
                simulation.cancel_until_confirmed(f"req-{number:06d}")
            for _ in range(20):
                for label in LABELS:
                    await simulation.poll(f"req-{number:06d}", label)
                await simulation.advance(0.02)
            simulation.submit_until_accepted(raw_job(number, hands=1, voyageS=5.0))
            await simulation.advance(3.0)

    run_scenario(scenario)


@pytest.mark.parametrize("who", ["giver", "receiver", "coordinator", "giver and receiver", "all"])
@pytest.mark.parametrize("after_s", [0.0, 0.006, 0.012, 0.03, 0.2])
def test_whoever_ends_in_the_course_of_a_move_the_share_is_led_again(who: str, after_s: float) -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        await on_share(simulation, 1, 1, hands=2, voyageS=20.0)
        await simulation.run_until(simulation.tasks_on_machines)
        giver, coordinator = str(simulation.shard_leader(1)), str(simulation.leader_label())
        receiver = others(giver)[0]
        assert (await simulation.request_move(1, receiver))[0] == 200
        await simulation.advance(after_s)
        names = {"giver": [giver], "receiver": [receiver], "coordinator": [coordinator], "all": list(LABELS)}
        simulation.crash(*dict.fromkeys(names.get(who, [giver, receiver])))
        await simulation.advance(6.0)
        if who != "all" and len(simulation.processes) > 1:
            assert simulation.shard_leader(1) in simulation.processes
        simulation.heal()
        await simulation.wait_until_ready()

    assert run_scenario(scenario).task_starts >= 2


def test_a_move_whose_outcome_the_receiver_does_not_hear_is_found_out() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        receiver = others(simulation.shard_leader(1))[0]
        if receiver == simulation.leader_label():
            receiver = others(simulation.shard_leader(1))[1]
        simulation.lost_responses.add(receiver)
        assert (await simulation.request_move(1, receiver))[0] == 200
        await simulation.run_until(lambda: simulation.shard_leader(1) == receiver, 30.0)
        simulation.lost_responses.clear()
        assert simulation.assignment()[1][1] == receiver and not simulation.assignment()[2]

    run_scenario(scenario)


def test_a_giver_decides_nothing_after_it_has_let_go_and_campaigns_anew_if_nobody_takes_the_share() -> None:
    """Guards against a giver that trusts its lease, which goes on while the key is another's."""

    async def scenario(simulation: ShardedSimulation) -> None:
        giver = str(simulation.shard_leader(1))
        engine = simulation.controllers[giver].engines[1]
        election, token = engine.shard_election, engine.election.fencing_token
        assert election.release() == token and election.release() == token
        assert (
            not election.may_decide and not election.may_send_starts and engine.active_term.deciding_scheduler is None
        )
        assert election.may_respond_to_heartbeats, "leases are kept"
        assert simulation.controllers[giver].handoffs.state(1) is HandoffState.RELEASING
        # The process renews its lease for its other shares, or for this one: that gives nothing back.
        await engine.election.leader_loop.keep_alive()
        assert not election.may_decide and not election.lease.is_valid(simulation.time())
        held = simulation.store.data[leader_key(1)][1]
        await simulation.run_until(lambda: simulation.shard_leader(1) == giver, 30.0)
        assert engine.election.fencing_token > token and simulation.store.data[leader_key(1)][1] > held
        # A transaction of the receiver that comes late finds another version.
        assert simulation.controllers[giver].handoffs.state(1) is HandoffState.OWNED

    run_scenario(scenario)


def test_a_receiver_that_does_not_know_that_its_move_was_dropped_does_not_complete_it() -> None:
    """Guards against an assignment of before that is written over a newer one."""

    async def scenario(simulation: ShardedSimulation) -> None:
        giver = str(simulation.shard_leader(1))
        receiver = next(label for label in others(giver) if label != simulation.leader_label())
        host = simulation.controllers[receiver]
        simulation.partition(receiver)
        assert (await simulation.request_move(1, receiver))[0] == 200 or simulation.leader_label() is None
        await simulation.run_until(lambda: host.view.assignment is not None and host.view.assignment.moves, 5.0)
        # From here on its replica is not kept up to date; the coordinator drops the move.
        host.view._apply = lambda *_: None  # type: ignore[method-assign]
        dropped = [simulation.assignment()[0], simulation.assignment()[1], [], *simulation.assignment()[3:]]
        simulation.overwrite_key(ASSIGNMENT_KEY, dropped)
        await simulation.advance(0.5)
        version = simulation.controllers[giver].engines[1].shard_election.release()
        assert version is not None
        host.engines[1].shard_election.acquire(version)
        await simulation.advance(0.5)
        assert simulation.shard_leader(1) != receiver and simulation.assignment() == dropped
        await simulation.run_until(lambda: simulation.shard_leader(1) == giver, 30.0)

    run_scenario(scenario)


def test_two_moves_that_cross_are_both_carried_out() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        first, second = str(simulation.shard_leader(1)), str(simulation.shard_leader(2))
        if first == second:
            await moved(simulation, 2, others(first)[0])
            second = str(simulation.shard_leader(2))
        assert (await simulation.request_move(1, second))[0] == (await simulation.request_move(2, first))[0] == 200
        await simulation.run_until(
            lambda: (simulation.shard_leader(1), simulation.shard_leader(2)) == (second, first), 30.0
        )

    run_scenario(scenario)


def test_one_controller_can_own_every_share() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        for number in range(1, 4):
            await on_share(simulation, number - 1, number, hands=1)
        last = str(simulation.leader_label())
        simulation.crash(*others(last))
        await simulation.run_until(lambda: all(simulation.shard_leader(share) == last for share in range(3)), 60.0)
        await simulation.run_until(
            lambda: set(simulation.started_jobs) == {"req-000001", "req-000002", "req-000003"}, 90.0
        )

    run_scenario(scenario)


def test_a_controller_that_loses_everything_does_not_start_tasks_of_a_share_that_went_on() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        await on_share(simulation, 1, 1, hands=2, voyageS=200.0)
        await simulation.run_until(simulation.tasks_on_machines)
        giver = str(simulation.shard_leader(1))
        simulation.isolate(giver)
        simulation.partitioned_from["users"].add(giver)
        await simulation.run_until(lambda: simulation.shard_leader(1) not in (giver, None), 90.0)
        simulation.cancel_until_confirmed("req-000001")
        await simulation.advance(5.0)
        simulation.heal()
        await simulation.advance(20.0)
        assert not simulation.starts_after_cancel

    run_scenario(scenario)


def test_messages_of_moves_that_are_over_or_never_were_are_refused() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        giver = str(simulation.shard_leader(1))
        receiver, third = others(giver)
        await moved(simulation, 1, receiver)
        await moved(simulation, 1, giver)
        handoffs = simulation.controllers[giver].handoffs
        for stray in (
            ReleaseRequest(1, receiver, 1),
            ReleaseRequest(1, third, 3),
            ReleaseRequest(2, receiver, 2),
            ReleaseRequest(7, receiver, 1),
        ):
            answer = await handoffs.release(stray)
            assert isinstance(answer, ReleaseResponse) and answer.mod_revision is None and answer.reason
        assert simulation.shard_leader(1) == giver
        # Nor does a message of another controller, or of another move, count for the one under way.
        simulation.partition(receiver)
        assert (await simulation.request_move(1, receiver))[0] == 200 or simulation.leader_label() == receiver
        if simulation.leader_label() != receiver:
            await simulation.advance(0.1)
            move = simulation.controllers[giver].view.assignment.move_of(1)  # type: ignore[union-attr]
            assert move is not None
            for stray in (ReleaseRequest(1, third, move.number), ReleaseRequest(1, receiver, move.number - 1)):
                answer = await handoffs.release(stray)
                assert isinstance(answer, ReleaseResponse) and answer.mod_revision is None

    run_scenario(scenario)


def test_orders_that_cannot_be_carried_out_are_refused_with_the_reason() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        owner = str(simulation.shard_leader(1))
        for share, receiver, why in (
            (0, "a", "coordinator"),
            (8, "a", "no share 8"),
            (1, "x", "unknown"),
            (1, owner, "owns"),
        ):
            status, answer = await simulation.request_move(share, receiver)
            assert status == 409 and why in answer["error"], (share, receiver)
        host = simulation.controllers[owner]
        for path, body in (("/sharing", b"{}"), ("/sharing", b'["let-go",1]'), ("/shares/move", b"[1]")):
            assert (await host.handle_back("POST", path, body)).status == 400
        assert host.operators.malformed == 3
        for path in ("/peer/9", "/peer/x", "/peer/"):
            assert (await host.handle_back("POST", path, b"")).status == 404
        shown = json.loads((await host.handle_back("GET", "/shares", b"")).body)
        assert [row["share"] for row in shown["shares"]] == [0, 1, 2] and shown["begun"]

    run_scenario(scenario)


def test_an_assignment_that_cannot_be_acted_on_is_refused_and_the_one_before_stays_in_force() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        before = [simulation.shard_leader(share) for share in range(3)]
        stored = simulation.store.data[ASSIGNMENT_KEY]
        for broken in (
            [1, ["", "a", "x"]],
            [1, ["", "b"], [[1, "b", 1]]],
            {"owners": 3},
            [1, ["", "b", "c"], [[9, "a", 1]]],
        ):
            simulation.store.revision += 1
            simulation.store.data[ASSIGNMENT_KEY] = (broken, simulation.store.revision)
            entry = {"put": ASSIGNMENT_KEY, "v": broken, "entry": simulation.store.revision}
            simulation.store_double.log.append(entry)  # type: ignore[attr-defined]
            await simulation.advance(4.0)
            assert [simulation.shard_leader(share) for share in range(3)] == before
            assert all(simulation.controllers[label].view.refusal for label in LABELS)
        simulation.overwrite_key(ASSIGNMENT_KEY, stored[0])
        await simulation.advance(2.0)
        assert not any(simulation.controllers[label].view.refusal for label in LABELS)

    run_scenario(scenario)


# -- jobs -------------------------------------------------------------------------------------------------


def test_a_job_waits_for_a_job_of_another_share() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        first = await on_share(simulation, 1, 1, hands=1, voyageS=20.0)
        await on_share(simulation, 2, 2, hands=1, voyageS=5.0, tows=[first])
        await simulation.advance(5.0)
        assert simulation.statuses == {"req-000001": "pending", "req-000002": "pending"}
        # The share that waits moves meanwhile.
        await moved(simulation, 2, others(simulation.shard_leader(2))[0])
        await simulation.run_until(lambda: "req-000002" in simulation.started_jobs, 120.0)

    simulation = run_scenario(scenario)
    assert simulation.statuses == {"req-000001": "done", "req-000002": "done"}


def test_a_cancellation_crosses_shares_and_is_not_taken_back_by_the_next_leader() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        first = await on_share(simulation, 1, 1, hands=1, voyageS=200.0)
        second = await on_share(simulation, 2, 2, hands=1, tows=[first])
        third = await on_share(simulation, 0, 3, hands=1, tows=[second])
        await simulation.run_until(simulation.tasks_on_machines)
        await simulation.cancel_until_confirmed(first)
        for _ in range(10):
            for label in LABELS:
                await simulation.poll(second, label)
                await simulation.poll(third, label)
            simulation.spawn(simulation.request_move(2, others(simulation.shard_leader(2))[0]))
            await simulation.advance(1.0)
        await simulation.run_until(
            lambda: simulation.statuses[third] == "cancelled" or simulation.spawn(simulation.poll(third)) is None,
            30.0,
        )
        assert simulation.statuses[second] == "cancelled"

    run_scenario(scenario)


def test_a_new_leader_knows_at_once_of_a_cancellation_in_another_share() -> None:
    """Guards against a user who was told of a cancellation by the leader before, and then of a job that waits."""

    async def scenario(simulation: ShardedSimulation) -> None:
        first = await on_share(simulation, 1, 1, hands=1, voyageS=200.0)
        second = await on_share(simulation, 2, 2, hands=1, tows=[first])
        await simulation.run_until(simulation.tasks_on_machines)
        if simulation.shard_leader(1) == simulation.shard_leader(2):
            await moved(simulation, 2, others(simulation.shard_leader(1))[0])
        await simulation.cancel_until_confirmed(first)
        simulation.crash(str(simulation.shard_leader(2)))
        await simulation.run_until(lambda: simulation.shard_leader(2), 30.0)
        await simulation.poll(second, simulation.shard_leader(2))
        assert simulation.statuses[second] == "cancelled"

    run_scenario(scenario)


def test_only_the_leader_says_how_a_job_stands_that_needs_one_of_another_share() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        first = await on_share(simulation, 1, 1, hands=1, voyageS=30.0)
        second = await on_share(simulation, 2, 2, hands=1, tows=[first])
        follower = simulation.controllers[others(simulation.shard_leader(2))[0]].engines[2]
        with pytest.raises(StoreUnavailableError):
            await follower.users.dependencies.has_cancelled_dependency(simulation.specs[second])

    run_scenario(scenario)


def test_a_needed_job_of_another_share_must_have_been_accepted() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        host = simulation.controllers[str(simulation.leader_label())]
        await host.job_directory.register("req-000009", 1)
        await host.job_directory.register("req-000002", 2)
        # The share's leader has asked the cloud for its machine types.
        await simulation.advance(3.0)
        status, _ = await simulation.request("POST", "/v1/jobs", raw_job(2, tows=["req-000009"]))
        assert status == 422
        # A claim alone is no job.
        assert (await simulation.request("GET", "/v1/jobs/req-000009"))[0] == 404
        assert (await simulation.request("GET", "/v1/jobs/req-000077"))[0] == 404

    run_scenario(scenario)


def test_a_submission_handed_in_everywhere_at_once_is_one_job() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        for number in range(1, 7):
            for label in LABELS:
                simulation.submit_until_accepted(raw_job(number, hands=1), label)
        await simulation.advance(10.0)
        for number in range(1, 7):
            job_id = f"req-{number:06d}"
            homes = [share for share in range(3) if shard_key(share, JOBS_PREFIX + job_id) in simulation.store.data]
            assert homes == [simulation.store.data[JOB_DIRECTORY_PREFIX + job_id][0]]

    run_scenario(scenario)


def test_a_gang_larger_than_its_shares_part_comes_to_its_turn() -> None:
    """Team blue may use six accelerators; every share has two of them while all want more."""

    async def scenario(simulation: ShardedSimulation) -> None:
        for number in range(1, 4):
            await on_share(simulation, number % 3, number, crew="blue", hands=30, voyageS=5.0, imageGb=0.0)
        await simulation.advance(10.0)
        large = await on_share(
            simulation, 1, 10, crew="blue", rig="group", hands=6, voyageS=5.0, imageGb=0.0, rank="high"
        )
        await simulation.run_until(lambda: large in simulation.started_jobs, 240.0)

    run_scenario(scenario)


# -- machines ---------------------------------------------------------------------------------------------


def test_a_machine_belongs_to_whoever_registers_it_first_and_to_nobody_else() -> None:
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


def test_reports_of_a_machine_that_nobody_has_registered_are_not_taken_in() -> None:
    """Guards against a machine in two shares' pictures: whoever saw it first is not who rented it."""

    async def scenario(simulation: ShardedSimulation) -> None:
        host = simulation.controllers[str(simulation.leader_label())]
        body = wire.encode({"bollard": "vm-900001", "addr": "x:1", "build": "big", "harbor": "north"})
        assert (await host.handle_front("POST", "/agent/beat", body)).status == 503
        assert (await host.handle_front("POST", "/agent/beat", b'{"bollard":1}')).status == 400
        # Another controller registers it: this one's replica may not know of it yet.
        other = simulation.controllers[others(simulation.leader_label())[0]]
        await other.registry.register(["vm-900001"], 1)
        host.view.machines.pop("vm-900001", None)
        report = {"bollard": "vm-900001", "addr": "x:1", "build": "big", "harbor": "north", "driftwood": False}
        body = wire.encode(report | {"watch": 1, "knot": 1, "helm": 0, "hands": []})
        answer = await host.handle_front("POST", "/agent/beat", body)
        assert answer.status in (200, 421) and host.view.shard_of("vm-900001") == 1
        assert all(
            "vm-900001" not in engine.scheduler.cluster.machines
            for engine in host.engines.values()
            if engine.scheduler is not None and engine.shard != 1
        )

    run_scenario(scenario)


# -- switching on -----------------------------------------------------------------------------------------


class GrowingSimulation(ShardedSimulation):
    """Controllers without sharing at first, and again as long as they are named in `plain`."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.plain = set(LABELS)

    def start(self, label: str) -> None:
        if label in self.plain:
            Simulation.start(self, label)
        else:
            super().start(label)

    def crash(self, *labels: str) -> None:
        for label in labels:
            (Simulation if isinstance(self.controllers[label], SimulatedController) else ShardedSimulation).crash(
                self, label
            )

    def is_up(self, label: str) -> bool:
        return Simulation.is_up(self, label) if self._is_plain(label) else super().is_up(label)

    def _is_plain(self, label: str) -> bool:
        return isinstance(self.controllers[label], SimulatedController)

    def leader_label(self) -> str | None:
        return next(
            (label for label in sorted(self.processes) if self.is_up(label) and self.controllers[label].may_decide),
            None,
        )

    def shard_leader(self, share: int) -> str | None:
        hosts = [
            label for label in sorted(self.processes) if not isinstance(self.controllers[label], SimulatedController)
        ]
        return next((label for label in hosts if self.controllers[label].leads(share)), None)


def test_a_deployment_that_switches_sharing_on_keeps_its_jobs_and_begins_once_every_controller_knows_of_it() -> None:
    simulation = GrowingSimulation(7)

    async def scenario(_: Simulation) -> None:
        simulation.submit_until_accepted(raw_job(1, rig="daemon", hands=2, voyageS=0.0))
        simulation.submit_until_accepted(raw_job(2, hands=1, voyageS=1.0))
        await simulation.run_until(lambda: len(simulation.tasks_on_machines()) >= 2)
        await simulation.run_until(lambda: "req-000002" in simulation.started_jobs)
        await simulation.advance(20.0)
        before = running(simulation)
        for label in ("c", "b"):
            simulation.plain.discard(label)
            simulation.crash(label)
            simulation.start(label)
            await simulation.advance(8.0)
            assert ASSIGNMENT_KEY not in simulation.store.data, "a controller without sharing serves"
        simulation.plain.clear()
        simulation.crash("a")
        simulation.start("a")
        await simulation.run_until(simulation.all_shards_led, 60.0)
        assert before <= running(simulation)
        # What was before is known: repeated, asked for and needed.
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


def test_more_shares_cost_no_more_renewals_of_the_lease() -> None:
    asked: dict[int, int] = {}
    for shares in (2, 8):

        async def scenario(simulation: ShardedSimulation, shares: int = shares) -> None:
            for share in range(1, shares):
                if simulation.shard_leader(share) != "a":
                    await moved(simulation, share, "a")
            lease = simulation.controllers["a"].process_lease
            before = lease.requests
            await simulation.advance(30.0)
            asked[shares] = lease.requests - before

        run_scenario(scenario, shares=shares)
    assert asked[8] <= asked[2] * 1.5


def test_a_lopsided_layout_is_evened_out_by_itself() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        for share in (1, 2):
            if simulation.shard_leader(share) != "a":
                await moved(simulation, share, "a")
        for number in range(1, 5):
            await on_share(simulation, 1 + number % 2, number, rig="daemon", hands=2, voyageS=0.0)
        await simulation.run_until(
            lambda: len({simulation.shard_leader(share) for share in (1, 2)} - {None}) == 2, 200.0
        )

    run_scenario(scenario, balance=2.0)


def test_the_first_share_keeps_the_keys_of_a_deployment_without_sharing() -> None:
    async def scenario(simulation: ShardedSimulation) -> None:
        await on_share(simulation, 0, 1, hands=1)
        await on_share(simulation, 1, 2, hands=1)
        assert LEADER_KEY in simulation.store.data and JOBS_PREFIX + "req-000001" in simulation.store.data
        assert shard_prefix(1) + "jobs/req-000002" in simulation.store.data
        assert simulation.controllers["a"].engines[1].election.role in (Role.LEADER, Role.FOLLOWER)

    run_scenario(scenario)
