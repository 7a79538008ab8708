"""Real controllers on loopback, with protocol doubles of the store, the cloud and the workers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest

from driftcleat import wire
from driftcleat.wire import peers

from .protocol_doubles import Site, wait_until
from .samples import job, raw_job


def is_ready(site: Site) -> bool:
    """Return whether every controller knows the present leader, and that leader has loaded the machine types."""
    leader = site.leader()
    if leader is None or any(site.controllers[label].leader != leader for label in site.running):
        return False
    return bool(site.controllers[leader].scheduler.cluster.machine_types)


def with_site(test: Callable[[Site], Awaitable[None]]) -> Callable[[], None]:
    """Run a test with a `Site` of its own, once a leader is elected and has loaded the machine types."""

    def run() -> None:
        async def main() -> None:
            async with Site() as site:
                await wait_until(lambda: is_ready(site), "all controllers know the leader")
                await test(site)

        asyncio.run(main())

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


async def submit_until_accepted(site: Site, label: str, raw: dict[str, Any]) -> None:
    """Submit a job until it is accepted, retrying after 429 and 503 as users do."""
    site.model.specs[raw["nameId"]] = job(int(raw["nameId"][4:]), **raw)

    async def is_accepted() -> bool:
        status, _, _ = await site.call(label, "POST", "/v1/jobs", raw)
        assert status in (200, 201, 429, 503)
        return status in (200, 201)

    await wait_until(is_accepted, "the job is accepted")


async def get_job_state(site: Site, label: str, job_id: str) -> str | None:
    """Return the state of a job as a controller reports it; None if the request fails."""
    try:
        status, body, _ = await site.call(label, "GET", f"/v1/jobs/{job_id}")
    except aiohttp.ClientError:
        return None
    return body["bearing"] if status == 200 else None


async def wait_for_job_state(site: Site, label: str, job_id: str, state: str) -> None:
    """Poll a controller until it reports a job in a state."""

    async def has_state() -> bool:
        return await get_job_state(site, label, job_id) == state

    await wait_until(has_state, f"{job_id} {state}")


@with_site
async def test_any_controller_serves_users(site: Site) -> None:
    followers = [label for label in "abc" if label != site.leader()]
    raw = raw_job(1, voyageS=0.5)
    await submit_until_accepted(site, followers[0], raw)
    status, body, _ = await site.call(followers[1], "POST", "/v1/jobs", raw)
    assert (status, body["nameId"]) == (200, "req-000001")
    for label in "abc":
        await wait_for_job_state(site, label, "req-000001", "done")
    # A resubmission is recognized by its id, even if its other fields differ.
    status, body, _ = await site.call(followers[0], "POST", "/v1/jobs", {"nameId": "req-000001", "crew": 7})
    assert (status, body["bearing"]) == (200, "done")
    status, body, _ = await site.call(followers[0], "POST", "/v1/jobs/req-000001/cancel")
    assert (status, body["bearing"]) == (200, "done")
    await submit_until_accepted(site, followers[0], raw_job(2, rig="daemon", hands=1))
    await wait_for_job_state(site, followers[0], "req-000002", "running")
    status, body, _ = await site.call(followers[1], "POST", "/v1/jobs/req-000002/cancel")
    assert (status, body["bearing"]) == (200, "cancelled")
    await wait_until(lambda: not site.model.tasks_on_machines(), "no task is left")
    for label in "abc":
        assert await get_job_state(site, label, "req-000002") == "cancelled"
        assert (await site.call(label, "GET", "/ready"))[0] == 200


@with_site
async def test_invalid_input_is_rejected_and_changes_nothing(site: Site) -> None:
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
            status, response, _ = await site.call(label, "POST", "/v1/jobs", body)
            assert (status, response["field"]) == (400, field)
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


@with_site
async def test_accepted_jobs_survive_a_crash_of_all_controllers(site: Site) -> None:
    await submit_until_accepted(site, "a", raw_job(1, hands=3, voyageS=2.0))
    await submit_until_accepted(site, "a", raw_job(2, rig="group", hands=2, voyageS=2.0, crew="blue"))
    await wait_until(site.model.tasks_on_machines, "tasks are running")
    for label in "abc":
        await site.kill(label)
    for label in "abc":
        site.start(label)
    await wait_until(site.leader, "a leader again")
    for number in (1, 2):
        await wait_for_job_state(site, "b", f"req-{number:06d}", "done")


@with_site
async def test_crashed_leader_is_replaced_and_rejoins_as_a_follower(site: Site) -> None:
    first = site.leader()
    assert first is not None
    await submit_until_accepted(site, first, raw_job(1, hands=2, voyageS=3.0))
    token = site.controllers[first].election.fencing_token
    await site.kill(first)
    second = await wait_until(site.leader, "another leader")
    assert second != first and site.controllers[second].election.fencing_token > token
    await wait_for_job_state(site, second, "req-000001", "done")
    site.start(first)
    await wait_for_job_state(site, first, "req-000001", "done")
    status, response, _ = await site.call(first, "POST", "/agent/beat", {})
    assert (status, response) == (421, {"harbormaster": second})


@with_site
async def test_leader_that_alone_loses_the_store_is_replaced(site: Site) -> None:
    first = site.leader()
    assert first is not None
    await submit_until_accepted(site, first, raw_job(1, rig="daemon", hands=1))
    await wait_for_job_state(site, first, "req-000001", "running")
    site.identify_to_store(first)
    site.store.down_for.add(first)
    second = await wait_until(lambda: site.leader() if site.leader() != first else None, "another leader")
    site.store.down_for.clear()
    attempts = {task.attempt for _, task in site.model.tasks_on_machines()}
    assert await get_job_state(site, second, "req-000001") in ("pending", "running")
    await wait_for_job_state(site, second, "req-000001", "running")
    assert {task.attempt for _, task in site.model.tasks_on_machines()} == attempts, "no task was restarted"


@with_site
async def test_leader_that_no_worker_reaches_is_replaced(site: Site) -> None:
    first = site.leader()
    assert first is not None
    await submit_until_accepted(site, first, raw_job(1, rig="daemon", hands=1))
    await wait_for_job_state(site, first, "req-000001", "running")
    address = site.model.controller_addresses.pop(first)
    second = await wait_until(lambda: site.leader() if site.leader() != first else None, "another leader")
    site.model.controller_addresses[first] = address
    await submit_until_accepted(site, second, raw_job(2, voyageS=0.5))
    await wait_for_job_state(site, first, "req-000002", "done")


@with_site
async def test_store_outage_is_answered_with_503_and_stops_no_task(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    await submit_until_accepted(site, leader, raw_job(1, rig="daemon", hands=1))
    await wait_for_job_state(site, leader, "req-000001", "running")
    before = [(worker.name, task.attempt) for worker, task in site.model.tasks_on_machines()]
    site.store.down_for.add("all")
    await wait_until(lambda: site.leader() is None, "no confirmed leader")
    for label in "abc":
        status, _, headers = await site.call(label, "POST", "/v1/jobs", raw_job(2))
        assert status == 503 and int(headers["Retry-After"]) >= 1
        assert (await site.call(label, "GET", "/v1/jobs/req-000009"))[0] == 503, (
            "without the store no controller can tell that the job is unknown"
        )
    site.store.heal()
    await wait_until(site.leader, "a leader again")
    assert [(worker.name, task.attempt) for worker, task in site.model.tasks_on_machines()] == before
    await submit_until_accepted(site, leader, raw_job(2, voyageS=0.5))
    await wait_for_job_state(site, leader, "req-000002", "done")


@with_site
async def test_cloud_outage_delays_a_job_without_losing_it(site: Site) -> None:
    site.model.cloud_down = True
    await submit_until_accepted(site, "a", raw_job(1, voyageS=0.5))
    assert await get_job_state(site, "a", "req-000001") == "pending"
    site.model.cloud_down = False
    await wait_for_job_state(site, "a", "req-000001", "done")


@with_site
async def test_full_queue_is_answered_with_429_and_retry_after(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    scheduler = site.controllers[leader].scheduler
    scheduler.admission.max_waiting = 0.0
    status, _, headers = await site.call(leader, "POST", "/v1/jobs", raw_job(1))
    assert status == 429 and int(headers["Retry-After"]) >= 1


@with_site
async def test_status_and_view_describe_a_running_controller(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    controller = site.controllers[leader]
    response = await controller.handle_back("GET", "/status", b"")
    status = wire.decode(response.body, dict)
    assert status["role"] == "leading" and status["leader"] == leader and status["batch"]["count"] >= 0
    view = wire.decode((await controller.handle_peer(wire.encode(peers.ViewRequest("x")))).body, peers.ViewResponse)
    assert view.leader == leader and 0 <= view.store_success_age_s < 5


def test_with_site_decorator_reports_failures() -> None:
    """Guards against a decorator that hides assertion errors of the tests."""

    @with_site
    async def fails(site: Site) -> None:
        assert site.leader() is None

    with pytest.raises(AssertionError):
        fails()


async def disconnect_peers(site: Site, label: str) -> list[Any]:
    """Cut the connections between a controller and its peers, both ways; return callables that restore them."""
    restore: list[Any] = []
    for other in site.running:
        client = site.controllers[other].peers
        addresses = dict(client.addresses)
        restore.append(lambda client=client, addresses=addresses: client.addresses.update(addresses))
        for name in list(client.addresses):
            if label in (other, name):
                client.addresses[name] = "127.0.0.1:1"
    return restore


@with_site
async def test_isolated_leader_steps_down_on_a_newer_fencing_token(site: Site) -> None:
    first = site.leader()
    assert first is not None
    await submit_until_accepted(site, first, raw_job(1, rig="daemon", hands=2))
    await wait_for_job_state(site, first, "req-000001", "running")
    before = {(worker.name, task.index, task.attempt) for worker, task in site.model.tasks_on_machines()}
    restore = await disconnect_peers(site, first)
    # The limit is raised so that the leader does not step down by itself: only a worker's fencing token can show it
    # that there is a newer leader.
    site.controllers[first].election.max_unconfirmed_s = 1000.0
    site.identify_to_store(first)
    site.store.down_for.add(first)
    second = await wait_until(lambda: site.leader() if site.leader() != first else None, "another leader")
    batches = site.controllers[first].commit_pipeline.batch_sequence
    await wait_until(
        lambda: not site.controllers[first].election.may_respond_to_heartbeats, "the old leader has stepped down"
    )
    assert site.controllers[first].commit_pipeline.batch_sequence == batches, "the old leader built no batch"
    await submit_until_accepted(site, second, raw_job(2, voyageS=0.5))
    await wait_for_job_state(site, second, "req-000002", "done")
    assert before <= {(worker.name, task.index, task.attempt) for worker, task in site.model.tasks_on_machines()}
    for reconnect in restore:
        reconnect()
    site.store.down_for.clear()
    await wait_for_job_state(site, first, "req-000001", "running")


@with_site
async def test_follower_that_cannot_reach_the_leader_is_not_ready(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    follower = next(label for label in "abc" if label != leader)
    assert (await site.call(follower, "GET", "/ready"))[0] == 200
    await submit_until_accepted(site, leader, raw_job(1, voyageS=0.5))
    restore = await disconnect_peers(site, leader)

    async def ready(label: str) -> bool:
        return (await site.call(label, "GET", "/ready"))[0] == 200

    async def follower_is_not_ready() -> bool:
        return not await ready(follower)

    await wait_until(follower_is_not_ready, "the follower is not ready")
    assert await ready(leader)
    status, _, headers = await site.call(follower, "POST", "/v1/jobs", raw_job(2))
    assert (status, headers["Connection"]) == (503, "close") and int(headers["Retry-After"]) >= 1
    assert await get_job_state(site, follower, "req-000001") in ("pending", "running", "done"), (
        "the state is still read from the store"
    )
    for reconnect in restore:
        reconnect()
    await wait_until(lambda: ready(follower), "ready again")


@with_site
async def test_leader_key_of_an_earlier_incarnation_is_revoked_at_once(site: Site) -> None:
    """Guards against waiting for the old lease to expire.

    The store may execute a put of the leader key by an earlier incarnation after the new one has looked for it.
    """
    for label in "abc":
        await site.kill(label)
    site.store.down_for.add("all")
    for label in "abc":
        site.start(label)
    # Every controller has looked for a key of its own, and got no response, before the late put is executed.
    await asyncio.sleep(1.5)
    site.store.last_lease_id += 1
    lease = site.store.last_lease_id
    site.store.ttl[lease] = 3600.0
    site.store.leases[lease] = site.store.now() + 3600.0
    site.store.store.revision += 1
    site.store.store.data["driftcleat/leader"] = (["a", "earlier incarnation"], site.store.store.revision)
    site.store.attached["driftcleat/leader"] = lease
    site.store.heal()
    await wait_until(site.leader, "a leader, long before that lease would expire")


@with_site
async def test_every_controller_answers_after_an_outage_and_restarts(site: Site) -> None:
    for number in (1, 2, 3):
        await submit_until_accepted(
            site, "a", raw_job(number, rig="daemon", hands=1, crew=("red", "blue")[number % 2])
        )
    site.store.down_for.add("all")
    await wait_until(lambda: site.leader() is None, "no confirmed leader")
    for label in "abc":
        await site.kill(label)
    for label in "abc":
        site.start(label)
    site.store.heal()
    for label in "abc":
        for number in (1, 2, 3):

            async def answered(label: str = label, number: int = number) -> bool:
                return await get_job_state(site, label, f"req-{number:06d}") is not None

            await wait_until(answered, f"{label} answers")
    for number in (1, 2, 3):
        await wait_for_job_state(site, "b", f"req-{number:06d}", "running")


@with_site
async def test_unconfirmed_leader_steps_down_only_if_a_peer_is_silent(site: Site) -> None:
    """Guards against losing all running tasks in a store outage of a minute.

    If the leader stepped down after 2 leases although no other controller could lead, the workers' leases expired.
    """
    leader = site.leader()
    assert leader is not None
    election = site.controllers[leader].election
    election.max_unconfirmed_s = 0.8
    site.store.down_for.add("all")
    await wait_until(lambda: election.role.value == "unsure", "the leader is unconfirmed")
    await asyncio.sleep(3.0)
    assert election.role.value == "unsure", "no other controller can lead"
    await site.kill(next(label for label in "abc" if label != leader))
    await wait_until(lambda: election.role.value == "follower", "a peer that does not respond may lead")
    site.store.heal()
    await wait_until(site.leader, "a leader again")
