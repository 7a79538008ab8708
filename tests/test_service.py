"""Real controllers on loopback, with stand-ins for everything around them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest

from driftcleat import wire
from driftcleat.wire import peers

from .protocol_doubles import Site, wait_until
from .samples import job, raw_job


def live(test: Callable[[Site], Awaitable[None]]) -> Callable[[], None]:
    """Run a test with a site of its own."""

    def run() -> None:
        async def inside() -> None:
            async with Site() as site:
                await wait_until(site.leader, "a leader")
                leader = site.leader()
                await wait_until(
                    lambda: all(site.controllers[label].leader == leader for label in site.running),
                    "all know the leader",
                )
                await wait_until(
                    lambda: site.controllers[str(leader)].scheduler.cluster.machine_types, "the machine types"
                )
                await test(site)

        asyncio.run(inside())

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


async def accepted(site: Site, label: str, raw: dict[str, Any]) -> None:
    """Submit until it is accepted, as users do."""
    site.model.specs[raw["nameId"]] = job(int(raw["nameId"][4:]), **raw)

    async def once() -> bool:
        status, _, _ = await site.call(label, "POST", "/v1/jobs", raw)
        assert status in (200, 201, 429, 503)
        return status in (200, 201)

    await wait_until(once, "accepted")


async def state_of(site: Site, label: str, job_id: str) -> str | None:
    """Ask for a job's state."""
    try:
        status, body, _ = await site.call(label, "GET", f"/v1/jobs/{job_id}")
    except aiohttp.ClientError:
        return None
    return body["bearing"] if status == 200 else None


async def reaches(site: Site, label: str, job_id: str, state: str) -> None:
    """Poll until a job has a state."""

    async def once() -> bool:
        return await state_of(site, label, job_id) == state

    await wait_until(once, f"{job_id} {state}")


@live
async def test_users_are_served_by_any_controller(site: Site) -> None:
    followers = [label for label in "abc" if label != site.leader()]
    raw = raw_job(1, voyageS=0.5)
    await accepted(site, followers[0], raw)
    status, body, _ = await site.call(followers[1], "POST", "/v1/jobs", raw)
    assert (status, body["nameId"]) == (200, "req-000001")
    for label in "abc":
        await reaches(site, label, "req-000001", "done")
    # A repeat of any form is known by its id, whatever else it says.
    status, body, _ = await site.call(followers[0], "POST", "/v1/jobs", {"nameId": "req-000001", "crew": 7})
    assert (status, body["bearing"]) == (200, "done")
    status, body, _ = await site.call(followers[0], "POST", "/v1/jobs/req-000001/cancel")
    assert (status, body["bearing"]) == (200, "done")
    await accepted(site, followers[0], raw_job(2, rig="daemon", hands=1))
    await reaches(site, followers[0], "req-000002", "running")
    status, body, _ = await site.call(followers[1], "POST", "/v1/jobs/req-000002/cancel")
    assert (status, body["bearing"]) == (200, "cancelled")
    await wait_until(lambda: not site.model.tasks_on_machines(), "all is gone")
    for label in "abc":
        assert await state_of(site, label, "req-000002") == "cancelled"
        assert (await site.call(label, "GET", "/ready"))[0] == 200


@live
async def test_bad_input_is_answered_at_once_and_changes_nothing(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    for label in "abc":
        for body, field in (
            (b"{", "body"),
            (b"[]", "body"),
            (b"\xff\xfe", "body"),
            ({"nameId": "x"}, "nameId"),
            (raw_job(5, hands=0), "hands"),
            (raw_job(5, rig="swarm"), "rig"),
        ):
            status, answer, _ = await site.call(label, "POST", "/v1/jobs", body)
            assert (status, answer["field"]) == (400, field)
        assert (await site.call(label, "POST", "/v1/jobs", b" " * 70_000))[0] == 413
        assert (await site.call(label, "POST", "/v1/jobs", raw_job(6, crew="green")))[0] == 422
        assert (await site.call(label, "POST", "/v1/jobs", raw_job(6, cores=99.0)))[0] == 422
        assert (await site.call(label, "GET", "/v1/jobs/req-000006"))[0] == 404
        assert (await site.call(label, "GET", "/v1/jobs/nonsense"))[0] == 404
        assert (await site.call(label, "POST", "/v1/jobs/req-000006/cancel"))[0] == 404
        assert (await site.call(label, "GET", "/v1/jobs"))[0] == 405
        assert (await site.call(label, "DELETE", "/v1/jobs/req-000006"))[0] == 405
        assert (await site.call(label, "GET", "/nowhere"))[0] == 404
    assert (await site.call(leader, "POST", "/agent/beat", b"{}"))[0] == 400
    controller = site.controllers[leader]
    assert controller.metrics.malformed_heartbeats == 1 and not controller.scheduler.cluster.machines
    assert (
        await controller.handle_peer(b'["shutdown"]')
    ).status == 400 and controller.metrics.malformed_peer_messages == 1


@live
async def test_an_accepted_job_outlives_every_controller(site: Site) -> None:
    await accepted(site, "a", raw_job(1, hands=3, voyageS=2.0))
    await accepted(site, "a", raw_job(2, rig="group", hands=2, voyageS=2.0, crew="blue"))
    await wait_until(site.model.tasks_on_machines, "work has begun")
    for label in "abc":
        await site.kill(label)
    for label in "abc":
        site.start(label)
    await wait_until(site.leader, "a leader again")
    for number in (1, 2):
        await reaches(site, "b", f"req-{number:06d}", "done")


@live
async def test_a_leader_that_dies_is_replaced_and_a_restarted_one_joins(site: Site) -> None:
    first = site.leader()
    assert first is not None
    await accepted(site, first, raw_job(1, hands=2, voyageS=3.0))
    token = site.controllers[first].election.fencing_token
    await site.kill(first)
    second = await wait_until(site.leader, "another leader")
    assert second != first and site.controllers[second].election.fencing_token > token
    await reaches(site, second, "req-000001", "done")
    site.start(first)
    await reaches(site, first, "req-000001", "done")
    status, answer, _ = await site.call(first, "POST", "/agent/beat", {})
    assert (status, answer) == (421, {"harbormaster": second})


@live
async def test_a_refusal_seen_by_the_leader_alone_hands_over(site: Site) -> None:
    first = site.leader()
    assert first is not None
    await accepted(site, first, raw_job(1, rig="daemon", hands=1))
    await reaches(site, first, "req-000001", "running")
    site.identify_to_store(first)
    site.store.down_for.add(first)
    second = await wait_until(lambda: site.leader() if site.leader() != first else None, "another leader")
    site.store.down_for.clear()
    attempts = {task.attempt for _, task in site.model.tasks_on_machines()}
    assert await state_of(site, second, "req-000001") in ("pending", "running")
    await reaches(site, second, "req-000001", "running")
    assert {task.attempt for _, task in site.model.tasks_on_machines()} == attempts, "no work was lost"


@live
async def test_a_leader_that_no_worker_reaches_hands_over(site: Site) -> None:
    first = site.leader()
    assert first is not None
    await accepted(site, first, raw_job(1, rig="daemon", hands=1))
    await reaches(site, first, "req-000001", "running")
    front = site.model.controller_addresses.pop(first)
    second = await wait_until(lambda: site.leader() if site.leader() != first else None, "another leader")
    site.model.controller_addresses[first] = front
    await accepted(site, second, raw_job(2, voyageS=0.5))
    await reaches(site, first, "req-000002", "done")


@live
async def test_an_outage_of_the_store_is_told_at_once_and_costs_no_work(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    await accepted(site, leader, raw_job(1, rig="daemon", hands=1))
    await reaches(site, leader, "req-000001", "running")
    before = [(worker.name, task.attempt) for worker, task in site.model.tasks_on_machines()]
    site.store.down_for.add("all")
    await wait_until(lambda: site.leader() is None, "unsure")
    for label in "abc":
        status, _, headers = await site.call(label, "POST", "/v1/jobs", raw_job(2))
        assert status == 503 and int(headers["Retry-After"]) >= 1
        assert (await site.call(label, "GET", "/v1/jobs/req-000009"))[0] == 503, "nobody can say it is unknown"
    site.store.heal()
    await wait_until(site.leader, "a leader again")
    assert [(worker.name, task.attempt) for worker, task in site.model.tasks_on_machines()] == before
    await accepted(site, leader, raw_job(2, voyageS=0.5))
    await reaches(site, leader, "req-000002", "done")


@live
async def test_a_cloud_that_is_down_delays_and_does_not_lose(site: Site) -> None:
    site.model.cloud_down = True
    await accepted(site, "a", raw_job(1, voyageS=0.5))
    assert await state_of(site, "a", "req-000001") == "pending"
    site.model.cloud_down = False
    await reaches(site, "a", "req-000001", "done")


@live
async def test_a_full_queue_is_told_to_come_back(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    term = site.controllers[leader].scheduler
    term.admission.max_waiting = 0.0
    status, _, headers = await site.call(leader, "POST", "/v1/jobs", raw_job(1))
    assert status == 429 and int(headers["Retry-After"]) >= 1


@live
async def test_operators_see_a_running_controller(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    controller = site.controllers[leader]
    answer = await controller.handle_back("GET", "/status", b"")
    status = wire.decode(answer.body, dict)
    assert status["role"] == "leading" and status["leader"] == leader and status["batch"]["count"] >= 0
    view = wire.decode((await controller.handle_peer(wire.encode(peers.ViewRequest("x")))).body, peers.ViewResponse)
    assert view.leader == leader and 0 <= view.store_success_age_s < 5


def test_the_live_decorator_reports_failures() -> None:
    """The other tests here must be able to fail."""

    @live
    async def fails(site: Site) -> None:
        assert site.leader() is None

    with pytest.raises(AssertionError):
        fails()


async def cut_peers(site: Site, label: str) -> list[Any]:
    """No controller reaches this one, and it reaches none; return what undoes it."""
    undo: list[Any] = []
    for other in site.running:
        client = site.controllers[other].peers
        kept = dict(client.addresses)
        undo.append(lambda client=client, kept=kept: client.addresses.update(kept))
        for name in list(client.addresses):
            if label in (other, name):
                client.addresses[name] = "127.0.0.1:1"
    return undo


@live
async def test_a_leader_without_store_and_peers_gives_its_workers_up(site: Site) -> None:
    first = site.leader()
    assert first is not None
    await accepted(site, first, raw_job(1, rig="daemon", hands=2))
    await reaches(site, first, "req-000001", "running")
    before = {(worker.name, task.index, task.attempt) for worker, task in site.model.tasks_on_machines()}
    undo = await cut_peers(site, first)
    # It would step down by itself after a while; here only a worker's token can tell it.
    site.controllers[first].election.max_unconfirmed_s = 1000.0
    site.identify_to_store(first)
    site.store.down_for.add(first)
    second = await wait_until(lambda: site.leader() if site.leader() != first else None, "another leader")
    batches = site.controllers[first].commit_pipeline.batch_sequence
    await wait_until(
        lambda: not site.controllers[first].election.may_respond_to_heartbeats, "the old one has stepped down"
    )
    assert site.controllers[first].commit_pipeline.batch_sequence == batches, "it decided nothing"
    await accepted(site, second, raw_job(2, voyageS=0.5))
    await reaches(site, second, "req-000002", "done")
    assert before <= {(worker.name, task.index, task.attempt) for worker, task in site.model.tasks_on_machines()}
    for back in undo:
        back()
    site.store.down_for.clear()
    await reaches(site, first, "req-000001", "running")


@live
async def test_a_follower_that_cannot_reach_the_leader_sends_users_elsewhere(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    follower = next(label for label in "abc" if label != leader)
    assert (await site.call(follower, "GET", "/ready"))[0] == 200
    await accepted(site, leader, raw_job(1, voyageS=0.5))
    undo = await cut_peers(site, leader)

    async def ready(label: str) -> bool:
        return (await site.call(label, "GET", "/ready"))[0] == 200

    async def unready() -> bool:
        return not await ready(follower)

    await wait_until(unready, "the follower is not ready")
    assert await ready(leader)
    status, _, headers = await site.call(follower, "POST", "/v1/jobs", raw_job(2))
    assert (status, headers["Connection"]) == (503, "close") and int(headers["Retry-After"]) >= 1
    assert await state_of(site, follower, "req-000001") in ("pending", "running", "done"), "the store still tells"
    for back in undo:
        back()
    await wait_until(lambda: ready(follower), "ready again")


@live
async def test_a_key_of_an_earlier_life_is_ended_at_once(site: Site) -> None:
    """A put of a life before may be carried out after its successor has looked: nobody need wait for its lease."""
    for label in "abc":
        await site.kill(label)
    site.store.down_for.add("all")
    for label in "abc":
        site.start(label)
    # Every controller has looked for a key of its own and got no answer before the late put is carried out.
    await asyncio.sleep(1.5)
    site.store.last_lease_id += 1
    lease = site.store.last_lease_id
    site.store.ttl[lease] = 3600.0
    site.store.leases[lease] = site.store.now() + 3600.0
    site.store.store.revision += 1
    site.store.store.data["driftcleat/leader"] = (["a", "a life before"], site.store.store.revision)
    site.store.attached["driftcleat/leader"] = lease
    site.store.heal()
    await wait_until(site.leader, "a leader, long before that lease would end")


@live
async def test_after_all_troubles_every_controller_answers_every_question(site: Site) -> None:
    for number in (1, 2, 3):
        await accepted(site, "a", raw_job(number, rig="daemon", hands=1, crew=("red", "blue")[number % 2]))
    site.store.down_for.add("all")
    await wait_until(lambda: site.leader() is None, "unsure")
    for label in "abc":
        await site.kill(label)
    for label in "abc":
        site.start(label)
    site.store.heal()
    for label in "abc":
        for number in (1, 2, 3):

            async def answered(label: str = label, number: int = number) -> bool:
                return await state_of(site, label, f"req-{number:06d}") is not None

            await wait_until(answered, f"{label} answers")
    for number in (1, 2, 3):
        await reaches(site, "b", f"req-{number:06d}", "running")


@live
async def test_a_leader_stays_unsure_while_all_are_refused_and_not_when_some_are_silent(site: Site) -> None:
    """Seen on the bench: an outage of a minute cost all running work, since the leader gave up after two leases."""
    leader = site.leader()
    assert leader is not None
    election = site.controllers[leader].election
    election.max_unconfirmed_s = 0.8
    site.store.down_for.add("all")
    await wait_until(lambda: election.role.value == "unsure", "unsure")
    await asyncio.sleep(3.0)
    assert election.role.value == "unsure", "nobody else can lead"
    await site.kill(next(label for label in "abc" if label != leader))
    await wait_until(lambda: election.role.value == "follower", "one that is silent may lead")
    site.store.heal()
    await wait_until(site.leader, "a leader again")
