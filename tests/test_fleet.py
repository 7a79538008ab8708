"""Large fleets: the socket budget, many machines silent at once, partitioned zones, and late duplicates."""

import asyncio
import json
from collections.abc import Callable

import aiohttp
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.capacity.sizing import CapacityPlan
from driftcleat.cluster import MachineState, apply_heartbeat
from driftcleat.leadership import PeerSurvey
from driftcleat.net import ConnectionLimiter, HttpClient, SocketBudget
from driftcleat.net.budget import PROCESS_DESCRIPTORS
from driftcleat.net.limiter import ClientKind
from driftcleat.scheduler import PendingRequest, Scheduler
from driftcleat.wire.workers import Heartbeat, TaskStatus
from driftcleat.workers import WorkerClient

from .protocol_doubles import Site, free_port, wait_until
from .reference_model import ReferenceModel
from .samples import MACHINE_TYPES, job, platform, raw_job
from .test_scheduler_units import commit, scheduler_with_one_machine
from .test_service import disconnect_peers, submit_until_accepted, wait_for_job_state, with_site

PLATFORM = platform()


# Socket budget and connection limiter.


@pytest.mark.parametrize("limit", [160, 500, 924, 1571, 10_000])
@pytest.mark.parametrize("peers", [0, 2, 4])
def test_socket_budget_stays_within_the_descriptor_limit(limit: int, peers: int) -> None:
    """Guards against connections of users and workers that use up the descriptor needed to keep the lease alive."""
    budget = SocketBudget(limit, peers)
    out = [budget.lease, budget.store, budget.cloud, budget.peers, budget.workers]
    assert all(0 < part.max_per_address <= part.max_total for part in out)
    assert (
        PROCESS_DESCRIPTORS
        + sum(part.max_total for part in out)
        + budget.max_back_connections
        + budget.max_front_connections
        <= limit
    )
    assert budget.max_front_connections >= limit // 8, (
        "at least an eighth is left for connections of workers and users"
    )


def make_limiter(max_connections: int) -> tuple[ConnectionLimiter[int], list[int]]:
    """Return a limiter and the list to which it adds each connection that it closes."""
    closed: list[int] = []
    return ConnectionLimiter(max_connections, closed.append), closed


def test_crowded_limiter_closes_connections_of_the_kind_above_its_share() -> None:
    limiter, _ = make_limiter(16)
    for connection in range(16):
        assert limiter.admit(connection)
        limiter.request_started(connection, ClientKind.USER if connection < 2 else ClientKind.WORKER)
    assert limiter.over_soft_limit
    last = {connection for connection in range(16) if limiter.request_finished(connection)}
    assert last and all(connection >= 2 for connection in last), "users below their share keep their connections"
    # No more connections are closed than exceed the bound.
    for connection in last:
        limiter.remove(connection)
    assert not limiter.over_soft_limit and not any(
        limiter.request_finished(connection) for connection in range(16) if connection not in last
    )


def test_idle_user_connections_make_room_for_heartbeats() -> None:
    limiter, closed = make_limiter(16)
    for connection in range(16):
        limiter.admit(connection)
        limiter.request_started(connection, ClientKind.USER)
        if connection < 12:
            limiter.idle[connection] = None
    assert limiter.admit(99) and closed == [0], "the connection that was idle for longest is closed"
    # An idle connection of a user is closed, although one of a worker has been idle for longer.
    limiter.request_started(1, ClientKind.WORKER)
    limiter.idle.clear()
    limiter.idle[1] = limiter.idle[2] = None
    limiter.remove(15)
    limiter.admit(15)
    limiter.request_started(15, ClientKind.USER)
    assert limiter.admit(98) and closed == [0, 2]
    limiter.request_started(98, ClientKind.USER)
    for connection in range(1, 12):
        limiter.request_started(connection, ClientKind.USER)
    limiter.request_started(99, ClientKind.WORKER)
    assert not limiter.admit(100) and limiter.rejected == 1, "all connections are busy"
    assert len(limiter.open) == 16


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 30), st.booleans()), max_size=120))
def test_connection_limiter_agrees_with_a_reference_model(operations: list[tuple[int, int, bool]]) -> None:
    limiter, closed = make_limiter(8)
    reference: dict[int, tuple[ClientKind, bool]] = {}
    for operation, connection, is_worker in operations:
        kind = ClientKind.WORKER if is_worker else ClientKind.USER
        if operation == 0 and connection not in reference:
            before = len(closed)
            admitted = limiter.admit(connection)
            for victim in closed[before:]:
                assert not reference.pop(victim)[1], "only an idle one is closed"
            assert admitted == (len(reference) < 8)
            if admitted:
                reference[connection] = (ClientKind.UNKNOWN, False)
        elif operation == 1 and connection in reference:
            limiter.request_started(connection, kind)
            reference[connection] = (kind, True)
        elif operation == 2 and connection in reference and reference[connection][1]:
            if limiter.request_finished(connection):
                assert len(reference) > limiter.soft_limit
                limiter.remove(connection)
                del reference[connection]
            else:
                reference[connection] = (reference[connection][0], False)
        elif operation == 3:
            limiter.remove(connection)
            reference.pop(connection, None)
        assert {connection: limiter.open[connection] for connection in limiter.open} == {
            connection: row[0] for connection, row in reference.items()
        }
        assert set(limiter.idle) == {connection for connection, row in reference.items() if not row[1]}
        assert all(limiter.counts[kind] == sum(row[0] is kind for row in reference.values()) for kind in ClientKind)


@with_site
async def test_many_connections_are_served_and_the_leader_keeps_its_lease(site: Site) -> None:
    """With a limit of 24 connections, every request is answered in full and surplus connections are closed."""
    leader = site.leader()
    assert leader is not None
    limiter = site.controllers[leader].front.limiter
    limiter.max_connections, limiter.soft_limit = 24, 20
    token = site.controllers[leader].election.fencing_token
    connector = aiohttp.TCPConnector(limit=0, force_close=False)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def get_status(number: int) -> int:
            try:
                async with session.get(f"http://{site.platforms[leader].bind}/v1/jobs/req-{number:06d}") as response:
                    await response.read()
                    return response.status
            except aiohttp.ClientError:
                return 0

        for _ in range(3):
            statuses = await asyncio.gather(*(get_status(number) for number in range(20)))
            assert set(statuses) <= {404, 503}, "every request is answered"
            assert len(limiter.open) <= limiter.max_connections
        await asyncio.gather(*(get_status(number) for number in range(80)))
        assert len(limiter.open) <= limiter.max_connections
    await submit_until_accepted(site, leader, raw_job(1, voyageS=0.5))
    await wait_for_job_state(site, leader, "req-000001", "done")
    assert site.controllers[leader].election.fencing_token == token, "it still leads"


def test_worker_call_does_not_wait_for_calls_to_unreachable_machines() -> None:
    """Guards against a stop command that waits behind hundreds of calls to machines that never answer."""

    async def run() -> None:
        answered = asyncio.Event()
        release = asyncio.Event()

        async def handle(request: web.BaseRequest) -> web.Response:
            await request.read()
            if request.path.startswith("/silent"):
                await release.wait()
            answered.set()
            return web.json_response({})

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        port = free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        http = HttpClient(100, 100, 75.0)
        try:
            client = WorkerClient(http, 600.0, 8)
            addrs = [f"127.0.0.1:{port}/silent/{number}" for number in range(50)]
            stalled = [asyncio.ensure_future(client.send(addr, 1, 1, [], likely_unreachable=True)) for addr in addrs]
            await asyncio.sleep(0)
            await asyncio.wait_for(client.send(f"127.0.0.1:{port}/heard", 1, 1, []), 60)
            assert answered.is_set() and not any(task.done() for task in stalled)
            await asyncio.wait_for(client.send(f"127.0.0.1:{port}/silent/0", 1, 1, [], likely_unreachable=True), 60)
            assert len(client.unreachable_in_flight) == 50, (
                "a machine that is likely unreachable has at most one call in flight"
            )
            release.set()
            await asyncio.gather(*stalled)
            assert not client.unreachable_in_flight
        finally:
            await http.close()
            await runner.cleanup()

    asyncio.run(run())


# Many machines silent at once.


def make_detector(zones: dict[str, tuple[int, int]]) -> FailureDetector:
    """Return a failure detector; `zones` gives for each zone the numbers of suspected and of all machines."""
    detector = FailureDetector(10.0, 40.0, 0.05)
    for zone, (suspected, total) in zones.items():
        for number in range(total):
            detector.add_machine(zone, 8.0 if number < suspected else 0.0)
    return detector


def test_heartbeat_timeout_is_longer_for_correlated_failures() -> None:
    isolated = make_detector({"north": (1, 60), "south": (2, 60)})
    assert isolated.heartbeat_timeout_s("north") == 10.0 and not isolated.is_partitioned("south")
    correlated = make_detector({"north": (4, 60), "south": (4, 60)})
    assert correlated.heartbeat_timeout_s("north") == 40.0 and not correlated.is_partitioned("north")
    zone_failure = make_detector({"north": (60, 60), "south": (0, 60)})
    assert zone_failure.is_partitioned("north") and not zone_failure.is_partitioned("south")
    all_suspected = make_detector({"north": (60, 60), "south": (60, 60)})
    assert not all_suspected.is_partitioned("north") and all_suspected.heartbeat_timeout_s("north") == 40.0, (
        "the controller itself is cut off"
    )


def test_recovering_zone_keeps_the_longer_heartbeat_timeout() -> None:
    """Guards against deleting the rest of a zone, its tasks still running, when its first heartbeat arrives again."""
    failures_until: dict[str | None, float] = {}
    make_detector({"north": (60, 60), "south": (0, 60)}).retain_recent_failures(failures_until, 100.0)
    recovering = make_detector({"north": (2, 60), "south": (0, 60)})
    recovering.retain_recent_failures(failures_until, 105.0)
    assert (
        recovering.is_partitioned("north")
        and not recovering.is_partitioned_now("north")
        and recovering.heartbeat_timeout_s("north") == 40.0
    )
    correlated_until: dict[str | None, float] = {}
    make_detector({"north": (8, 60), "south": (0, 60)}).retain_recent_failures(correlated_until, 100.0)
    few_suspected = make_detector({"north": (2, 60), "south": (0, 60)})
    few_suspected.retain_recent_failures(correlated_until, 105.0)
    assert few_suspected.heartbeat_timeout_s("north") == 40.0, (
        "the same holds for many suspected machines of one zone"
    )
    expired = make_detector({"north": (2, 60), "south": (0, 60)})
    expired.retain_recent_failures(failures_until, 120.0)
    assert expired.heartbeat_timeout_s("north") == 10.0


def make_fleet_scheduler(now: list[float], count: int, zones: tuple[str, ...] = ("north", "south")) -> Scheduler:
    """Return a scheduler, started 1000 s ago, with `count` machines in each zone that have just sent a heartbeat."""
    scheduler = scheduler_with_one_machine(now)
    scheduler.cluster.started_at = now[0] - 1000.0
    for zone in zones:
        for number in range(count):
            apply_heartbeat(
                scheduler.cluster, Heartbeat(f"vm-{zone}-{number}", "h:1", "big", zone, False, 1, 1, 5, ()), now[0]
            )
    return scheduler


def send_heartbeats(
    scheduler: Scheduler,
    now: list[float],
    zone: str,
    seq: int,
    includes: Callable[[int], bool] = lambda number: True,
) -> None:
    """Apply a heartbeat with sequence number `seq` of each machine of a zone whose number satisfies `includes`."""
    for number in range(20):
        name = f"vm-{zone}-{number}"
        if includes(number):
            last_heartbeat = scheduler.cluster.machines[name].last_heartbeat
            tasks = tuple(
                TaskStatus(f"{key[0]}/{key[1]}", place.attempt, "running")
                for key, place in scheduler.cluster.machines[name].tasks.items()
            )
            assert last_heartbeat is not None
            apply_heartbeat(scheduler.cluster, Heartbeat(name, "h:1", "big", zone, False, 1, seq, 5, tasks), now[0])


def plan_keeping_all_machines(scheduler: Scheduler) -> CapacityPlan:
    """Return a capacity plan that needs every machine."""
    return CapacityPlan({}, set(scheduler.cluster.machines))


def make_scheduler_with_silent_machines(now: list[float], silent: int) -> Scheduler:
    """Return a scheduler whose first `silent` machines in the north exceed the timeout of a single machine."""
    scheduler = make_fleet_scheduler(now, 20)
    now[0] += PLATFORM.lease_s * scheduler.tuning.machine_loss_timeout_leases + 0.1
    send_heartbeats(scheduler, now, "north", 2, lambda number: number >= silent)
    send_heartbeats(scheduler, now, "south", 2)
    scheduler.cluster.machines["vm-1"].last_heartbeat_at = now[0]
    return scheduler


def test_machines_silent_together_are_deleted_later_than_one_alone() -> None:
    """Guards against deleting fifty machines that hang together three seconds before they resume."""
    now = [1000.0]
    scheduler = make_scheduler_with_silent_machines(now, 1)
    assert [machine.name for machine in scheduler.select_scale_in(plan_keeping_all_machines(scheduler), now[0])] == [
        "vm-north-0"
    ]

    now = [1000.0]
    scheduler = make_scheduler_with_silent_machines(now, 5)
    # They run tasks for which no other machine has room.
    for machine in scheduler.cluster.machines.values():
        machine.used_cpus, machine.used_gpus = 16.0, 4.0
    scheduler.admission.submit(PendingRequest(lambda status: None, job(1, hands=1), "req-000001"))
    commit(scheduler)
    for number in range(5):
        place = type("P", (), {"attempt": 1, "stop": None, "machine": f"vm-north-{number}", "zone": "north"})()
        scheduler.cluster.machines[f"vm-north-{number}"].tasks[("req-000001", number)] = place
    assert scheduler.select_scale_in(plan_keeping_all_machines(scheduler), now[0]) == []
    for machine in scheduler.cluster.machines.values():
        machine.used_cpus = machine.used_gpus = 0.0
    assert scheduler.select_scale_in(plan_keeping_all_machines(scheduler), now[0]) == [], (
        "they are likely to resume before another machine has fetched the image"
    )
    for machine in scheduler.cluster.machines.values():
        machine.fetched_images.add("img-1")
    assert {machine.name for machine in scheduler.select_scale_in(plan_keeping_all_machines(scheduler), now[0])} == {
        f"vm-north-{n}" for n in range(5)
    }, "they are deleted once other machines have room and the image for their tasks"
    for machine in scheduler.cluster.machines.values():
        machine.used_cpus, machine.used_gpus = 16.0, 4.0
    now[0] += PLATFORM.lease_s * scheduler.tuning.partition_timeout_leases
    assert "vm-north-0" in {
        machine.name for machine in scheduler.select_scale_in(plan_keeping_all_machines(scheduler), now[0])
    }, "the wait is limited"


def test_machines_missing_from_the_cloud_list_are_lost_however_many() -> None:
    """Guards against waiting for many spot machines that were terminated at once without notice.

    They become silent together, but the cloud drops them from its list instead of listing them as failed.
    """
    now = [1000.0]
    scheduler = make_fleet_scheduler(now, 20)
    listed = {name for name in scheduler.cluster.machines if not name.startswith("vm-north")}
    scheduler.reachability.record_listed(listed)
    assert scheduler.reachability.no_longer_listed(now[0]) == [], "their last heartbeat is recent"
    now[0] += PLATFORM.report_s * 3 + 0.1
    assert scheduler.reachability.no_longer_listed(now[0]) == [], (
        "the list may be as old as twice its lag, and these machines may be newer"
    )
    for machine in scheduler.cluster.machines.values():
        machine.created_at -= 100.0
    assert {machine.zone for machine in scheduler.reachability.no_longer_listed(now[0])} == {"north"}
    reporting = scheduler.cluster.machines["vm-north-0"]
    reporting.last_heartbeat_at, before = now[0], reporting.last_heartbeat_at
    assert reporting not in scheduler.reachability.no_longer_listed(now[0]), (
        "its last heartbeat is newer than the list"
    )
    reporting.last_heartbeat_at = before
    assert scheduler.select_scale_in(plan_keeping_all_machines(scheduler), now[0]) == [], (
        "a machine that the list contains is waited for"
    )
    # The same holds for machines that are known only from the records, after all controllers have restarted.
    scheduler.cluster.started_at = now[0] - 2 * PLATFORM.list_lag_s - PLATFORM.report_s - PLATFORM.lease_s
    place = type("P", (), {"zone": "north"})()
    scheduler.cluster.unconfirmed_placements = {
        "vm-taken": {("req-000009", 0): place},
        "vm-south-0x": {("req-000009", 1): place},
    }
    scheduler.reachability.record_listed(listed | {"vm-south-0x"})
    for machine in scheduler.cluster.machines.values():
        machine.last_heartbeat_at = now[0] if machine.zone == "south" else now[0] - PLATFORM.lease_s
    assert scheduler.reachability.presumed_lost_without_heartbeat(now[0]) == {"vm-taken"}


def test_new_leader_does_not_take_a_partitioned_zone_for_failed_boots() -> None:
    """Guards against deleting a whole zone of old machines that have sent the new leader no heartbeat yet."""
    now = [1000.0]
    scheduler = make_fleet_scheduler(now, 20, ("south",))
    for number in range(20):
        machine = scheduler.cluster.register_machine(f"vm-north-{number}", "big", "north", False, "h:1", now[0])
        machine.created_at, machine.listed_running_since = now[0] - 900.0, now[0]
    now[0] += PLATFORM.lease_s * scheduler.tuning.machine_loss_timeout_leases + 0.1
    send_heartbeats(scheduler, now, "south", 2)
    scheduler.cluster.machines["vm-1"].last_heartbeat_at = now[0]
    assert scheduler.select_scale_in(plan_keeping_all_machines(scheduler), now[0]) == []
    booting = scheduler.cluster.register_machine("vm-late", "big", "south", False, "h:1", now[0])
    booting.created_at = now[0] - 900.0
    assert scheduler.select_scale_in(plan_keeping_all_machines(scheduler), now[0]) == [booting], (
        "the list does not show this machine as running"
    )


def test_scale_out_replaces_many_silent_machines_early_but_not_in_a_partitioned_zone() -> None:
    """Guards against creating the first new machine only when the cloud lists a hundred machines as failed."""
    now = [1000.0]
    scheduler = make_fleet_scheduler(now, 20)
    scheduler.admission.submit(
        PendingRequest(lambda status: None, job(1, hands=8, rank="high", rig="daemon"), "req-000001")
    )
    commit(scheduler)
    commit(scheduler)
    machines_with_tasks = {place.machine for place in scheduler.cluster.jobs["req-000001"].placements.values()}
    assert machines_with_tasks and not scheduler.plan_scale_out(now[0]).scale_out
    for machine in scheduler.cluster.machines.values():
        machine.last_heartbeat_at = now[0] + PLATFORM.lease_s + 0.1
        machine.used_cpus, machine.used_gpus = 16.0, 4.0
    now[0] += PLATFORM.lease_s + 0.1
    before = sum(scheduler.plan_scale_out(now[0]).scale_out.values())
    for machine in scheduler.cluster.machines.values():
        if machine.name in machines_with_tasks or machine.name in {f"vm-north-{number}" for number in range(8)}:
            machine.last_heartbeat_at = now[0] - PLATFORM.lease_s - 0.1
    assert sum(scheduler.plan_scale_out(now[0]).scale_out.values()) > before, "their tasks count as lost"
    for machine in scheduler.cluster.machines.values():
        if machine.zone == "north":
            machine.last_heartbeat_at = now[0] - PLATFORM.lease_s - 0.1
    assert all(zone != "north" for _, zone, _ in scheduler.plan_scale_out(now[0]).scale_out)


# A zone that is partitioned together with a controller.


def test_leases_kept_in_a_partitioned_zone_expire_within_the_cancellation_limit() -> None:
    """Guards against a cancelled task that runs on past the cancellation limit in a partitioned zone.

    The cloud is down too, so only the expiry of worker leases can stop the tasks. The test fails if a controller may
    keep leases without confirmation for one lease time longer.
    """
    model = ReferenceModel(5, platform(), dict(MACHINE_TYPES))
    model.elect()
    for number in range(1, 5):
        model.submit(job(number, hands=2, rig="daemon", crew="red" if number < 3 else "blue"))
    model.run(10.0)
    assert model.tasks_on_machines()
    site = model.platform
    max_unconfirmed_s = min(site.lease_s * 2.0, site.cancel_s - site.lease_s - site.report_s)
    begun = model.now
    for worker in model.alive():
        worker.partitioned = True
    model.cloud_up = False
    for number in range(1, 5):
        model.cancel(f"req-{number:06d}")
    while model.now < begun + site.cancel_s + 5.0:
        if model.now < begun + max_unconfirmed_s:
            for worker in model.alive():
                worker.lease_renewed_at = model.now
        model.step()
    assert set(model.statuses.values()) == {"cancelled"}
    assert not model.tasks_on_machines()


@with_site
async def test_isolated_follower_keeps_worker_leases_for_a_limited_time(site: Site) -> None:
    """Guards against the expiry of all worker leases of a partitioned zone although a controller is in that zone."""
    leader = site.leader()
    assert leader is not None
    isolated = next(label for label in "abc" if label != leader)
    election = site.controllers[isolated].election
    token = site.controllers[leader].election.fencing_token
    heartbeat = {
        "bollard": "vm-9",
        "addr": "127.0.0.1:1",
        "build": "big",
        "harbor": "north",
        "driftwood": False,
        "watch": 1,
        "knot": 3,
        "helm": token,
        "warningS": None,
        "hands": [],
    }
    status, _, _ = await site.call(isolated, "POST", "/agent/beat", heartbeat)
    assert status == 421, "a follower names the leader"
    restore = await disconnect_peers(site, isolated)
    site.identify_to_store(isolated)
    site.store.down_for.add(isolated)
    await wait_until(lambda: election.lease_keeping_token is not None, "the follower is isolated")
    status, response, _ = await site.call(isolated, "POST", "/agent/beat", heartbeat)
    assert (status, response) == (200, {"helm": token, "signals": []}), (
        "the response has the last leader's token and no command"
    )
    status, _, _ = await site.call(isolated, "POST", "/agent/beat", heartbeat | {"helm": token + 1})
    assert status == 421 and election.lease_keeping_token is None, (
        "the lease of a worker that has seen a newer leader is not kept"
    )
    # The follower remains isolated, and keeps no worker's lease any more.
    await asyncio.sleep(4 * election.ttl_s)
    assert election.lease_keeping_token is None
    election.superseded = False
    await wait_until(lambda: election.lease_keeping_token is not None, "the follower is isolated")
    election.max_unconfirmed_s = 0.0
    assert (await site.call(isolated, "POST", "/agent/beat", heartbeat))[0] == 421, (
        "leases are kept for a limited time only"
    )
    for reconnect in restore:
        reconnect()
    site.store.down_for.clear()
    await wait_until(lambda: election.role.value == "follower", "it is a follower again")
    status, response, _ = await site.call(isolated, "POST", "/agent/beat", heartbeat)
    assert (status, response) == (421, {"harbormaster": leader})


@with_site
async def test_follower_that_reaches_a_peer_keeps_no_worker_leases(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    follower = next(label for label in "abc" if label != leader)
    site.identify_to_store(follower)
    site.store.down_for.add(follower)
    election = site.controllers[follower].election
    peers_reach_store: list[bool] = []
    query_peers = election.callbacks.query_peers

    async def ask_and_record() -> PeerSurvey:
        survey: PeerSurvey = await query_peers()
        peers_reach_store.append(survey.peer_reaches_store)
        return survey

    election.callbacks.query_peers = ask_and_record
    await wait_until(lambda: len(peers_reach_store) > 3, "it has asked its peers")
    assert all(peers_reach_store) and election.lease_keeping_token is None
    assert election.role.value == "follower"


# Duplicates and late requests.


@with_site
async def test_late_duplicates_of_requests_change_no_later_decision(site: Site) -> None:
    """Guards against late duplicates that take effect again after a crash and immediate restart of the leader.

    Sent again are submissions, a forwarded cancellation (a peer message) and a lease request.
    """
    leader = site.leader()
    assert leader is not None
    await submit_until_accepted(site, leader, raw_job(1, voyageS=0.3))
    await wait_for_job_state(site, leader, "req-000001", "done")
    await submit_until_accepted(site, leader, raw_job(2, rig="daemon", hands=1))
    await wait_for_job_state(site, leader, "req-000002", "running")
    await wait_until(lambda: try_cancel(site, leader, 2), "cancelled")
    await site.kill(leader)
    site.start(leader)
    second = await wait_until(site.leader, "a leader")
    started = site.model.task_starts
    for label in "abc":
        for raw in (raw_job(1, voyageS=0.3), raw_job(2, rig="daemon", hands=1)):
            await wait_until(
                lambda label=label, raw=raw: try_resubmit(site, label, raw), "the resubmission is answered with 200"
            )
    forward = json.dumps(["forward", "POST", "/v1/jobs/req-000001/cancel", ""]).encode()
    assert site.model.session is not None
    async with site.model.session.post(f"http://{site.platforms[second].back}/peer", data=forward) as response:
        assert b'"done"' in (await response.read()).replace(b"\\", b"")
    # A lease whose request was abandoned has no key attached, so its expiry changes nothing.
    site.store.last_lease_id += 1
    site.store.leases[site.store.last_lease_id], site.store.ttl[site.store.last_lease_id] = (
        site.store.now() + 0.2,
        0.2,
    )
    await asyncio.sleep(0.6)
    assert site.leader() == second and site.model.task_starts == started, "no task was started again"
    await wait_for_job_state(site, second, "req-000001", "done")
    await wait_for_job_state(site, second, "req-000002", "cancelled")


async def try_cancel(site: Site, label: str, number: int) -> bool:
    """Send a cancellation once; return whether it was confirmed."""
    status, body, _ = await site.call(label, "POST", f"/v1/jobs/req-{number:06d}/cancel")
    return status == 200 and body["bearing"] == "cancelled"


async def try_resubmit(site: Site, label: str, raw: dict[str, object]) -> bool:
    """Send a submission again; return whether it was answered with the final state of the known job."""
    status, body, _ = await site.call(label, "POST", "/v1/jobs", raw)
    assert status in (200, 503), "a resubmission must never be accepted as a new job"
    return status == 200 and body["bearing"] in ("done", "cancelled")


def test_late_create_and_late_delete_leave_no_machine_unaccounted() -> None:
    """Guards against machines that the scheduler does not know, or knows after their deletion.

    If a create request is executed after the scheduler has given up on it, its machines send heartbeats, are adopted,
    and are used or deleted. A heartbeat that arrives after a deletion does not bring the machine back.
    """
    now = [1000.0]
    scheduler = make_fleet_scheduler(now, 2, ("north",))
    heartbeat = Heartbeat("vm-late", "h:1", "big", "north", False, 1, 2, 5, ())
    machine = apply_heartbeat(scheduler.cluster, heartbeat, now[0])
    assert machine is not None and machine.state is MachineState.UP
    now[0] += 1000.0
    for other in scheduler.cluster.machines.values():
        other.last_heartbeat_at = now[0]
    assert machine in scheduler.select_scale_in(CapacityPlan({}, set()), now[0]), "no job needs it"
    scheduler.cluster.record_terminated(machine, now[0])
    assert (
        apply_heartbeat(scheduler.cluster, Heartbeat("vm-late", "h:1", "big", "north", False, 1, 9, 5, ()), now[0])
        is None
    )
    assert "vm-late" not in scheduler.cluster.machines
