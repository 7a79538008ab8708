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
from .sharing_simulation import SharedSimulation, leader_key
from .simulation import LABELS, SimulatedController, Simulation

Story = Callable[[SharedSimulation], Awaitable[None]]


def play(story: Story, seed: int = 5, shares: int = 3, balance: float = 0.0) -> SharedSimulation:
    """Play a story once every share is led; in the end everything settles down."""
    sim = SharedSimulation(seed, shares, balance)

    async def inside(_: Simulation) -> None:
        await sim.ready()
        await story(sim)
        await sim.settle_down()

    sim.play(inside)
    return sim


def others(label: str | None) -> list[str]:
    return [other for other in LABELS if other != label]


async def on_share(sim: SharedSimulation, share: int, number: int, **changes: Any) -> str:
    """Hand a job in whose claim names this share, and wait until it is accepted."""
    job_id = f"req-{number:06d}"
    host = sim.controllers[str(sim.lead())]
    assert await host.job_directory.register(job_id, share) == share
    await sim.hand_in(raw_job(number, **changes))
    assert job_id in sim.told
    return job_id


async def moved(sim: SharedSimulation, share: int, receiver: str) -> None:
    """Have a share moved, and wait until it is led there."""
    assert (await sim.order_move(share, receiver))[0] == 200
    await sim.until(lambda: sim.owner(share) == receiver, 30.0)


def sessions(sim: SharedSimulation) -> dict[str, int]:
    return {worker.name: worker.session for worker in sim.alive()}


def running(sim: SharedSimulation) -> set[tuple[str, str, int]]:
    return {(worker.name, task.job.id, task.index) for worker, task in sim.on_machines()}


# -- moves ------------------------------------------------------------------------------------------------


def test_a_share_moves_while_a_gang_is_half_placed_and_others_run_and_nothing_is_stopped() -> None:
    async def story(sim: SharedSimulation) -> None:
        await on_share(sim, 1, 1, rig="daemon", hands=2, voyageS=0.0)
        await on_share(sim, 1, 2, hands=2, voyageS=60.0)
        await sim.until(lambda: len(sim.on_machines()) == 4)
        await on_share(sim, 1, 3, rig="group", hands=2, crew="blue", imageGb=8.0, hull="img-9")
        # Its tasks fetch their image and wait for one another.
        await sim.until(lambda: any(task.job.id == "req-000003" for _, task in sim.on_machines()))
        before, started = (
            sessions(sim),
            {(worker.name, task.job.id, task.index) for worker, task in sim.on_machines()},
        )
        for _ in range(4):
            await moved(sim, 1, others(sim.owner(1))[0])
            await sim.rest(2.0)
        assert started <= running(sim)
        await sim.rest(10.0)
        assert sessions(sim).items() >= before.items(), "no lease ran out"

    play(story)


def test_users_are_answered_and_never_with_something_older_while_their_share_moves() -> None:
    async def story(sim: SharedSimulation) -> None:
        for number in range(1, 7):
            await on_share(sim, 1 + number % 2, number, hands=1, voyageS=5.0)
        for number in range(1, 7):
            share = 1 + number % 2
            sim.spawn(sim.order_move(share, others(sim.owner(share))[number % 2]))
            if number % 3 == 0:
                sim.call_off(f"req-{number:06d}")
            for _ in range(20):
                for label in LABELS:
                    await sim.poll(f"req-{number:06d}", label)
                await sim.rest(0.02)
            sim.hand_in(raw_job(number, hands=1, voyageS=5.0))
            await sim.rest(3.0)

    play(story)


@pytest.mark.parametrize("who", ["giver", "receiver", "coordinator", "giver and receiver", "all"])
@pytest.mark.parametrize("after_s", [0.0, 0.006, 0.012, 0.03, 0.2])
def test_whoever_ends_in_the_course_of_a_move_the_share_is_led_again(who: str, after_s: float) -> None:
    async def story(sim: SharedSimulation) -> None:
        await on_share(sim, 1, 1, hands=2, voyageS=20.0)
        await sim.until(sim.on_machines)
        giver, coordinator = str(sim.owner(1)), str(sim.lead())
        receiver = others(giver)[0]
        assert (await sim.order_move(1, receiver))[0] == 200
        await sim.rest(after_s)
        names = {"giver": [giver], "receiver": [receiver], "coordinator": [coordinator], "all": list(LABELS)}
        sim.end(*dict.fromkeys(names.get(who, [giver, receiver])))
        await sim.rest(6.0)
        if who != "all" and len(sim.processes) > 1:
            assert sim.owner(1) in sim.processes
        sim.heal()
        await sim.ready()

    assert play(story).started >= 2


def test_a_move_whose_outcome_the_receiver_does_not_hear_is_found_out() -> None:
    async def story(sim: SharedSimulation) -> None:
        receiver = others(sim.owner(1))[0]
        if receiver == sim.lead():
            receiver = others(sim.owner(1))[1]
        sim.lost_answers.add(receiver)
        assert (await sim.order_move(1, receiver))[0] == 200
        await sim.until(lambda: sim.owner(1) == receiver, 30.0)
        sim.lost_answers.clear()
        assert sim.assignment()[1][1] == receiver and not sim.assignment()[2]

    play(story)


def test_a_giver_decides_nothing_after_it_has_let_go_and_campaigns_anew_if_nobody_takes_the_share() -> None:
    """Guards against a giver that trusts its lease, which goes on while the key is another's."""

    async def story(sim: SharedSimulation) -> None:
        giver = str(sim.owner(1))
        engine = sim.controllers[giver].engines[1]
        election, token = engine.shard_election, engine.election.fencing_token
        assert election.release() == token and election.release() == token
        assert (
            not election.may_decide and not election.may_send_starts and engine.active_term.deciding_scheduler is None
        )
        assert election.may_answer_heartbeats, "leases are kept"
        assert sim.controllers[giver].handoffs.state(1) is HandoffState.RELEASING
        # The process renews its lease for its other shares, or for this one: that gives nothing back.
        await engine.election.leader_loop.keep_alive()
        assert not election.may_decide and not election.lease.is_valid(sim.time())
        held = sim.store.data[leader_key(1)][1]
        await sim.until(lambda: sim.owner(1) == giver, 30.0)
        assert engine.election.fencing_token > token and sim.store.data[leader_key(1)][1] > held
        # A transaction of the receiver that comes late finds another version.
        assert sim.controllers[giver].handoffs.state(1) is HandoffState.OWNED

    play(story)


def test_a_receiver_that_does_not_know_that_its_move_was_dropped_does_not_complete_it() -> None:
    """Guards against an assignment of before that is written over a newer one."""

    async def story(sim: SharedSimulation) -> None:
        giver = str(sim.owner(1))
        receiver = next(label for label in others(giver) if label != sim.lead())
        host = sim.controllers[receiver]
        sim.part(receiver)
        assert (await sim.order_move(1, receiver))[0] == 200 or sim.lead() is None
        await sim.until(lambda: host.view.assignment is not None and host.view.assignment.moves, 5.0)
        # From here on its replica is not kept up to date; the coordinator drops the move.
        host.view._apply = lambda *_: None  # type: ignore[method-assign]
        dropped = [sim.assignment()[0], sim.assignment()[1], [], *sim.assignment()[3:]]
        sim.tamper(ASSIGNMENT_KEY, dropped)
        await sim.rest(0.5)
        version = sim.controllers[giver].engines[1].shard_election.release()
        assert version is not None
        host.engines[1].shard_election.acquire(version)
        await sim.rest(0.5)
        assert sim.owner(1) != receiver and sim.assignment() == dropped
        await sim.until(lambda: sim.owner(1) == giver, 30.0)

    play(story)


def test_two_moves_that_cross_are_both_carried_out() -> None:
    async def story(sim: SharedSimulation) -> None:
        first, second = str(sim.owner(1)), str(sim.owner(2))
        if first == second:
            await moved(sim, 2, others(first)[0])
            second = str(sim.owner(2))
        assert (await sim.order_move(1, second))[0] == (await sim.order_move(2, first))[0] == 200
        await sim.until(lambda: (sim.owner(1), sim.owner(2)) == (second, first), 30.0)

    play(story)


def test_one_controller_can_own_every_share() -> None:
    async def story(sim: SharedSimulation) -> None:
        for number in range(1, 4):
            await on_share(sim, number - 1, number, hands=1)
        last = str(sim.lead())
        sim.end(*others(last))
        await sim.until(lambda: all(sim.owner(share) == last for share in range(3)), 60.0)
        await sim.until(lambda: set(sim.begun) == {"req-000001", "req-000002", "req-000003"}, 90.0)

    play(story)


def test_a_controller_that_loses_everything_does_not_start_tasks_of_a_share_that_went_on() -> None:
    async def story(sim: SharedSimulation) -> None:
        await on_share(sim, 1, 1, hands=2, voyageS=200.0)
        await sim.until(sim.on_machines)
        giver = str(sim.owner(1))
        sim.cut_off(giver)
        sim.away_from["users"].add(giver)
        await sim.until(lambda: sim.owner(1) not in (giver, None), 90.0)
        sim.call_off("req-000001")
        await sim.rest(5.0)
        sim.heal()
        await sim.rest(20.0)
        assert not sim.starts_after_cancel

    play(story)


def test_messages_of_moves_that_are_over_or_never_were_are_refused() -> None:
    async def story(sim: SharedSimulation) -> None:
        giver = str(sim.owner(1))
        receiver, third = others(giver)
        await moved(sim, 1, receiver)
        await moved(sim, 1, giver)
        handoffs = sim.controllers[giver].handoffs
        for stray in (
            ReleaseRequest(1, receiver, 1),
            ReleaseRequest(1, third, 3),
            ReleaseRequest(2, receiver, 2),
            ReleaseRequest(7, receiver, 1),
        ):
            answer = await handoffs.release(stray)
            assert isinstance(answer, ReleaseResponse) and answer.mod_revision is None and answer.reason
        assert sim.owner(1) == giver
        # Nor does a message of another controller, or of another move, count for the one under way.
        sim.part(receiver)
        assert (await sim.order_move(1, receiver))[0] == 200 or sim.lead() == receiver
        if sim.lead() != receiver:
            await sim.rest(0.1)
            move = sim.controllers[giver].view.assignment.move_of(1)  # type: ignore[union-attr]
            assert move is not None
            for stray in (ReleaseRequest(1, third, move.number), ReleaseRequest(1, receiver, move.number - 1)):
                answer = await handoffs.release(stray)
                assert isinstance(answer, ReleaseResponse) and answer.mod_revision is None

    play(story)


def test_orders_that_cannot_be_carried_out_are_refused_with_the_reason() -> None:
    async def story(sim: SharedSimulation) -> None:
        owner = str(sim.owner(1))
        for share, receiver, why in (
            (0, "a", "coordinator"),
            (8, "a", "no share 8"),
            (1, "x", "unknown"),
            (1, owner, "owns"),
        ):
            status, answer = await sim.order_move(share, receiver)
            assert status == 409 and why in answer["error"], (share, receiver)
        host = sim.controllers[owner]
        for path, body in (("/sharing", b"{}"), ("/sharing", b'["let-go",1]'), ("/shares/move", b"[1]")):
            assert (await host.handle_back("POST", path, body)).status == 400
        assert host.operators.malformed == 3
        for path in ("/peer/9", "/peer/x", "/peer/"):
            assert (await host.handle_back("POST", path, b"")).status == 404
        shown = json.loads((await host.handle_back("GET", "/shares", b"")).body)
        assert [row["share"] for row in shown["shares"]] == [0, 1, 2] and shown["begun"]

    play(story)


def test_an_assignment_that_cannot_be_acted_on_is_refused_and_the_one_before_stays_in_force() -> None:
    async def story(sim: SharedSimulation) -> None:
        before = [sim.owner(share) for share in range(3)]
        stored = sim.store.data[ASSIGNMENT_KEY]
        for broken in (
            [1, ["", "a", "x"]],
            [1, ["", "b"], [[1, "b", 1]]],
            {"owners": 3},
            [1, ["", "b", "c"], [[9, "a", 1]]],
        ):
            sim.store.revision += 1
            sim.store.data[ASSIGNMENT_KEY] = (broken, sim.store.revision)
            entry = {"put": ASSIGNMENT_KEY, "v": broken, "entry": sim.store.revision}
            sim.state.log.append(entry)  # type: ignore[attr-defined]
            await sim.rest(4.0)
            assert [sim.owner(share) for share in range(3)] == before
            assert all(sim.controllers[label].view.refusal for label in LABELS)
        sim.tamper(ASSIGNMENT_KEY, stored[0])
        await sim.rest(2.0)
        assert not any(sim.controllers[label].view.refusal for label in LABELS)

    play(story)


# -- jobs -------------------------------------------------------------------------------------------------


def test_a_job_waits_for_a_job_of_another_share() -> None:
    async def story(sim: SharedSimulation) -> None:
        first = await on_share(sim, 1, 1, hands=1, voyageS=20.0)
        await on_share(sim, 2, 2, hands=1, voyageS=5.0, tows=[first])
        await sim.rest(5.0)
        assert sim.told == {"req-000001": "pending", "req-000002": "pending"}
        # The share that waits moves meanwhile.
        await moved(sim, 2, others(sim.owner(2))[0])
        await sim.until(lambda: "req-000002" in sim.begun, 120.0)

    sim = play(story)
    assert sim.told == {"req-000001": "done", "req-000002": "done"}


def test_a_cancellation_crosses_shares_and_is_not_taken_back_by_the_next_leader() -> None:
    async def story(sim: SharedSimulation) -> None:
        first = await on_share(sim, 1, 1, hands=1, voyageS=200.0)
        second = await on_share(sim, 2, 2, hands=1, tows=[first])
        third = await on_share(sim, 0, 3, hands=1, tows=[second])
        await sim.until(sim.on_machines)
        await sim.call_off(first)
        for _ in range(10):
            for label in LABELS:
                await sim.poll(second, label)
                await sim.poll(third, label)
            sim.spawn(sim.order_move(2, others(sim.owner(2))[0]))
            await sim.rest(1.0)
        await sim.until(lambda: sim.told[third] == "cancelled" or sim.spawn(sim.poll(third)) is None, 30.0)
        assert sim.told[second] == "cancelled"

    play(story)


def test_a_new_leader_knows_at_once_of_a_cancellation_in_another_share() -> None:
    """Guards against a user who was told of a cancellation by the leader before, and then of a job that waits."""

    async def story(sim: SharedSimulation) -> None:
        first = await on_share(sim, 1, 1, hands=1, voyageS=200.0)
        second = await on_share(sim, 2, 2, hands=1, tows=[first])
        await sim.until(sim.on_machines)
        if sim.owner(1) == sim.owner(2):
            await moved(sim, 2, others(sim.owner(1))[0])
        await sim.call_off(first)
        sim.end(str(sim.owner(2)))
        await sim.until(lambda: sim.owner(2), 30.0)
        await sim.poll(second, sim.owner(2))
        assert sim.told[second] == "cancelled"

    play(story)


def test_only_the_leader_says_how_a_job_stands_that_needs_one_of_another_share() -> None:
    async def story(sim: SharedSimulation) -> None:
        first = await on_share(sim, 1, 1, hands=1, voyageS=30.0)
        second = await on_share(sim, 2, 2, hands=1, tows=[first])
        follower = sim.controllers[others(sim.owner(2))[0]].engines[2]
        with pytest.raises(StoreUnavailableError):
            await follower.users.dependencies.has_cancelled_dependency(sim.specs[second])

    play(story)


def test_a_needed_job_of_another_share_must_have_been_accepted() -> None:
    async def story(sim: SharedSimulation) -> None:
        host = sim.controllers[str(sim.lead())]
        await host.job_directory.register("req-000009", 1)
        await host.job_directory.register("req-000002", 2)
        # The share's leader has asked the cloud for its machine types.
        await sim.rest(3.0)
        status, _ = await sim.ask("POST", "/v1/jobs", raw_job(2, tows=["req-000009"]))
        assert status == 422
        # A claim alone is no job.
        assert (await sim.ask("GET", "/v1/jobs/req-000009"))[0] == 404
        assert (await sim.ask("GET", "/v1/jobs/req-000077"))[0] == 404

    play(story)


def test_a_submission_handed_in_everywhere_at_once_is_one_job() -> None:
    async def story(sim: SharedSimulation) -> None:
        for number in range(1, 7):
            for label in LABELS:
                sim.hand_in(raw_job(number, hands=1), label)
        await sim.rest(10.0)
        for number in range(1, 7):
            job_id = f"req-{number:06d}"
            homes = [share for share in range(3) if shard_key(share, JOBS_PREFIX + job_id) in sim.store.data]
            assert homes == [sim.store.data[JOB_DIRECTORY_PREFIX + job_id][0]]

    play(story)


def test_a_gang_larger_than_its_shares_part_comes_to_its_turn() -> None:
    """Team blue may use six accelerators; every share has two of them while all want more."""

    async def story(sim: SharedSimulation) -> None:
        for number in range(1, 4):
            await on_share(sim, number % 3, number, crew="blue", hands=30, voyageS=5.0, imageGb=0.0)
        await sim.rest(10.0)
        large = await on_share(sim, 1, 10, crew="blue", rig="group", hands=6, voyageS=5.0, imageGb=0.0, rank="high")
        await sim.until(lambda: large in sim.begun, 240.0)

    play(story)


# -- machines ---------------------------------------------------------------------------------------------


def test_a_machine_belongs_to_whoever_registers_it_first_and_to_nobody_else() -> None:
    async def story(sim: SharedSimulation) -> None:
        a, b = sim.controllers["a"], sim.controllers["b"]
        names = [f"vm-9{number:05d}" for number in range(6)]
        assert await a.registry.register(names[:4], 1) == names[:4]
        assert await b.registry.register(names[2:], 2) == names[4:]
        assert await a.registry.register(names, 1) == names[:4]
        stored = {
            key[len(MACHINE_SHARDS_PREFIX) :]: value
            for key, (value, _) in sim.store.data.items()
            if key.startswith(MACHINE_SHARDS_PREFIX)
        }
        assert stored == dict.fromkeys(names[:4], 1) | dict.fromkeys(names[4:], 2)

    play(story)


def test_reports_of_a_machine_that_nobody_has_registered_are_not_taken_in() -> None:
    """Guards against a machine in two shares' pictures: whoever saw it first is not who rented it."""

    async def story(sim: SharedSimulation) -> None:
        host = sim.controllers[str(sim.lead())]
        body = wire.encode({"bollard": "vm-900001", "addr": "x:1", "build": "big", "harbor": "north"})
        assert (await host.handle_front("POST", "/agent/beat", body)).status == 503
        assert (await host.handle_front("POST", "/agent/beat", b'{"bollard":1}')).status == 400
        # Another controller registers it: this one's replica may not know of it yet.
        other = sim.controllers[others(sim.lead())[0]]
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

    play(story)


# -- switching on -----------------------------------------------------------------------------------------


class GrowingSimulation(SharedSimulation):
    """Controllers without sharing at first, and again as long as they are named in `plain`."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.plain = set(LABELS)

    def start(self, label: str) -> None:
        if label in self.plain:
            Simulation.start(self, label)
        else:
            super().start(label)

    def end(self, *labels: str) -> None:
        for label in labels:
            (Simulation if isinstance(self.controllers[label], SimulatedController) else SharedSimulation).end(
                self, label
            )

    def up(self, label: str) -> bool:
        return Simulation.up(self, label) if self._is_plain(label) else super().up(label)

    def _is_plain(self, label: str) -> bool:
        return isinstance(self.controllers[label], SimulatedController)

    def lead(self) -> str | None:
        return next(
            (label for label in sorted(self.processes) if self.up(label) and self.controllers[label].may_decide), None
        )

    def owner(self, share: int) -> str | None:
        hosts = [
            label for label in sorted(self.processes) if not isinstance(self.controllers[label], SimulatedController)
        ]
        return next((label for label in hosts if self.controllers[label].leads(share)), None)


def test_a_deployment_that_switches_sharing_on_keeps_its_jobs_and_begins_once_every_controller_knows_of_it() -> None:
    sim = GrowingSimulation(7)

    async def story(_: Simulation) -> None:
        sim.hand_in(raw_job(1, rig="daemon", hands=2, voyageS=0.0))
        sim.hand_in(raw_job(2, hands=1, voyageS=1.0))
        await sim.until(lambda: len(sim.on_machines()) >= 2)
        await sim.until(lambda: "req-000002" in sim.begun)
        await sim.rest(20.0)
        before = running(sim)
        for label in ("c", "b"):
            sim.plain.discard(label)
            sim.end(label)
            sim.start(label)
            await sim.rest(8.0)
            assert ASSIGNMENT_KEY not in sim.store.data, "a controller without sharing serves"
        sim.plain.clear()
        sim.end("a")
        sim.start("a")
        await sim.until(sim.all_led, 60.0)
        assert before <= running(sim)
        # What was before is known: repeated, asked for and needed.
        for number in (1, 2):
            assert (await sim.ask("POST", "/v1/jobs", raw_job(number, hands=1)))[0] == 200
            assert await sim.poll(f"req-{number:06d}") == 200
        for number in range(3, 9):
            sim.hand_in(raw_job(number, hands=1, voyageS=2.0, tows=["req-000002"] if number == 3 else []))
        await sim.rest(30.0)
        assert len({value for key, (value, _) in sim.store.data.items() if key.startswith(JOB_DIRECTORY_PREFIX)}) > 1
        await sim.settle_down()

    sim.play(story)


def test_more_shares_cost_no_more_renewals_of_the_lease() -> None:
    asked: dict[int, int] = {}
    for shares in (2, 8):

        async def story(sim: SharedSimulation, shares: int = shares) -> None:
            for share in range(1, shares):
                if sim.owner(share) != "a":
                    await moved(sim, share, "a")
            lease = sim.controllers["a"].process_lease
            before = lease.requests
            await sim.rest(30.0)
            asked[shares] = lease.requests - before

        play(story, shares=shares)
    assert asked[8] <= asked[2] * 1.5


def test_a_lopsided_layout_is_evened_out_by_itself() -> None:
    async def story(sim: SharedSimulation) -> None:
        for share in (1, 2):
            if sim.owner(share) != "a":
                await moved(sim, share, "a")
        for number in range(1, 5):
            await on_share(sim, 1 + number % 2, number, rig="daemon", hands=2, voyageS=0.0)
        await sim.until(lambda: len({sim.owner(share) for share in (1, 2)} - {None}) == 2, 200.0)

    play(story, balance=2.0)


def test_the_first_share_keeps_the_keys_of_a_deployment_without_sharing() -> None:
    async def story(sim: SharedSimulation) -> None:
        await on_share(sim, 0, 1, hands=1)
        await on_share(sim, 1, 2, hands=1)
        assert LEADER_KEY in sim.store.data and JOBS_PREFIX + "req-000001" in sim.store.data
        assert shard_prefix(1) + "jobs/req-000002" in sim.store.data
        assert sim.controllers["a"].engines[1].election.role in (Role.LEADER, Role.FOLLOWER)

    play(story)
