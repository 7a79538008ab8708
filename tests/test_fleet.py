"""What a fleet needs: sockets shared out, many machines silent at once, a zone cut off, no call behind another's."""

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
from .test_service import accepted, cut_peers, live, reaches

SITE = platform()


# -- sockets -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("limit", [160, 500, 924, 1571, 10_000])
@pytest.mark.parametrize("peers", [0, 2, 4])
def test_all_that_may_be_opened_stays_below_the_limit(limit: int, peers: int) -> None:
    """Guards against users and reports that take the descriptor which the lease's renewal needs."""
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
    assert budget.max_front_connections >= limit // 8, "most of what there is serves workers and users"


def limiter(most: int) -> tuple[ConnectionLimiter[int], list[int]]:
    """Return a limiter and the list of those it closes."""
    closed: list[int] = []
    return ConnectionLimiter(most, closed.append), closed


def test_beyond_the_bound_those_with_more_than_their_share_get_a_last_answer() -> None:
    limited, _ = limiter(16)
    for guest in range(16):
        assert limited.admit(guest)
        limited.request_started(guest, ClientKind.USER if guest < 2 else ClientKind.WORKER)
    assert limited.over_soft_limit
    last = {guest for guest in range(16) if limited.request_finished(guest)}
    assert last and all(guest >= 2 for guest in last), "users below their share keep theirs"
    # As many as are beyond the bound are given up, no more.
    for guest in last:
        limited.remove(guest)
    assert not limited.over_soft_limit and not any(
        limited.request_finished(guest) for guest in range(16) if guest not in last
    )


def test_idle_users_make_room_for_reports() -> None:
    limited, closed = limiter(16)
    for guest in range(16):
        limited.admit(guest)
        limited.request_started(guest, ClientKind.USER)
        if guest < 12:
            limited.idle[guest] = None
    assert limited.admit(99) and closed == [0], "the one idle for longest"
    # Of the idle ones it is a user's that goes, though a worker's has been idle for longer.
    limited.request_started(1, ClientKind.WORKER)
    limited.idle.clear()
    limited.idle[1] = limited.idle[2] = None
    limited.remove(15)
    limited.admit(15)
    limited.request_started(15, ClientKind.USER)
    assert limited.admit(98) and closed == [0, 2]
    limited.request_started(98, ClientKind.USER)
    for guest in range(1, 12):
        limited.request_started(guest, ClientKind.USER)
    limited.request_started(99, ClientKind.WORKER)
    assert not limited.admit(100) and limited.rejected == 1, "all are busy"
    assert len(limited.open) == 16


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 30), st.booleans()), max_size=120))
def test_the_door_counts_as_a_plain_model_does(moves: list[tuple[int, int, bool]]) -> None:
    limited, closed = limiter(8)
    plain: dict[int, tuple[ClientKind, bool]] = {}
    for move, guest, worker in moves:
        kind = ClientKind.WORKER if worker else ClientKind.USER
        if move == 0 and guest not in plain:
            before = len(closed)
            taken = limited.admit(guest)
            for victim in closed[before:]:
                assert not plain.pop(victim)[1], "only an idle one is closed"
            assert taken == (len(plain) < 8)
            if taken:
                plain[guest] = (ClientKind.UNKNOWN, False)
        elif move == 1 and guest in plain:
            limited.request_started(guest, kind)
            plain[guest] = (kind, True)
        elif move == 2 and guest in plain and plain[guest][1]:
            if limited.request_finished(guest):
                assert len(plain) > limited.soft_limit
                limited.remove(guest)
                del plain[guest]
            else:
                plain[guest] = (plain[guest][0], False)
        elif move == 3:
            limited.remove(guest)
            plain.pop(guest, None)
        assert {known: limited.open[known] for known in limited.open} == {
            known: row[0] for known, row in plain.items()
        }
        assert set(limited.idle) == {known for known, row in plain.items() if not row[1]}
        assert all(limited.counts[kind] == sum(row[0] is kind for row in plain.values()) for kind in ClientKind)


@live
async def test_a_crowd_of_connections_is_served_and_the_lease_is_kept(site: Site) -> None:
    """A descriptor budget of a few dozen: every request is answered in full, whoever has too many is closed."""
    leader = site.leader()
    assert leader is not None
    limited = site.controllers[leader].front.limiter
    limited.max_connections, limited.soft_limit = 24, 20
    token = site.controllers[leader].election.fencing_token
    connector = aiohttp.TCPConnector(limit=0, force_close=False)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def ask(number: int) -> int:
            try:
                async with session.get(f"http://{site.platforms[leader].bind}/v1/jobs/req-{number:06d}") as answer:
                    await answer.read()
                    return answer.status
            except aiohttp.ClientError:
                return 0

        for _ in range(3):
            statuses = await asyncio.gather(*(ask(number) for number in range(20)))
            assert set(statuses) <= {404, 503}, "every one got its answer"
            assert len(limited.open) <= limited.max_connections
        await asyncio.gather(*(ask(number) for number in range(80)))
        assert len(limited.open) <= limited.max_connections
    await accepted(site, leader, raw_job(1, voyageS=0.5))
    await reaches(site, leader, "req-000001", "done")
    assert site.controllers[leader].election.fencing_token == token, "it still leads"


def test_a_call_to_a_worker_does_not_wait_for_machines_that_are_silent() -> None:
    """Guards against a stop that a cancellation waits for behind hundreds of calls that take their full time."""

    async def run() -> None:
        asked = asyncio.Event()
        free = asyncio.Event()

        async def handle(request: web.BaseRequest) -> web.Response:
            await request.read()
            if request.path.startswith("/silent"):
                await free.wait()
            asked.set()
            return web.json_response({})

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        port = free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        http = HttpClient(100, 100, 75.0)
        try:
            client = WorkerClient(http, 600.0, 8)
            addrs = [f"127.0.0.1:{port}/silent/{number}" for number in range(50)]
            hanging = [asyncio.ensure_future(client.send(addr, 1, 1, [], likely_unreachable=True)) for addr in addrs]
            await asyncio.sleep(0)
            await asyncio.wait_for(client.send(f"127.0.0.1:{port}/heard", 1, 1, []), 60)
            assert asked.is_set() and not any(task.done() for task in hanging)
            await asyncio.wait_for(client.send(f"127.0.0.1:{port}/silent/0", 1, 1, [], likely_unreachable=True), 60)
            assert len(client.unreachable_in_flight) == 50, "one open call to a likely_unreachable machine is enough"
            free.set()
            await asyncio.gather(*hanging)
            assert not client.unreachable_in_flight
        finally:
            await http.close()
            await runner.cleanup()

    asyncio.run(run())


# -- many machines silent at once ----------------------------------------------------------------------------


def counted(zones: dict[str, tuple[int, int]]) -> FailureDetector:
    """Return a picture with so many silent of so many machines a zone."""
    failures = FailureDetector(10.0, 40.0, 0.05)
    for zone, (silent, known) in zones.items():
        for number in range(known):
            failures.add_machine(zone, 8.0 if number < silent else 0.0)
    return failures


def test_silence_is_borne_longer_the_more_share_it() -> None:
    alone = counted({"north": (1, 60), "south": (2, 60)})
    assert alone.heartbeat_timeout_s("north") == 10.0 and not alone.is_partitioned("south")
    many = counted({"north": (4, 60), "south": (4, 60)})
    assert many.heartbeat_timeout_s("north") == 40.0 and not many.is_partitioned("north")
    zone = counted({"north": (60, 60), "south": (0, 60)})
    assert zone.is_partitioned("north") and not zone.is_partitioned("south")
    ours = counted({"north": (60, 60), "south": (60, 60)})
    assert not ours.is_partitioned("north") and ours.heartbeat_timeout_s("north") == 40.0, "it is us who hear nothing"


def test_a_zone_that_comes_back_is_waited_for_until_its_last_machine_had_its_turn() -> None:
    """Guards against returning the rest of a zone, its work still running, when the first of it was heard again."""
    until_when: dict[str | None, float] = {}
    counted({"north": (60, 60), "south": (0, 60)}).retain_recent_failures(until_when, 100.0)
    back = counted({"north": (2, 60), "south": (0, 60)})
    back.retain_recent_failures(until_when, 105.0)
    assert (
        back.is_partitioned("north")
        and not back.is_partitioned_now("north")
        and back.heartbeat_timeout_s("north") == 40.0
    )
    many: dict[str | None, float] = {}
    counted({"north": (8, 60), "south": (0, 60)}).retain_recent_failures(many, 100.0)
    few = counted({"north": (2, 60), "south": (0, 60)})
    few.retain_recent_failures(many, 105.0)
    assert few.heartbeat_timeout_s("north") == 40.0, "the same for many that hang"
    later = counted({"north": (2, 60), "south": (0, 60)})
    later.retain_recent_failures(until_when, 120.0)
    assert later.heartbeat_timeout_s("north") == 10.0


def fleet_term(now: list[float], count: int, zones: tuple[str, ...] = ("north", "south")) -> Scheduler:
    """Return a term, long begun, with `count` machines in each zone that have just reported."""
    scheduler = scheduler_with_one_machine(now)
    scheduler.cluster.started_at = now[0] - 1000.0
    for zone in zones:
        for number in range(count):
            apply_heartbeat(
                scheduler.cluster, Heartbeat(f"vm-{zone}-{number}", "h:1", "big", zone, False, 1, 1, 5, ()), now[0]
            )
    return scheduler


def hear(
    term: Scheduler,
    now: list[float],
    zone: str,
    seq: int,
    only: Callable[[int], bool] = lambda number: True,
) -> None:
    """Machines of a zone report again."""
    for number in range(20):
        name = f"vm-{zone}-{number}"
        if only(number):
            known = term.cluster.machines[name].last_heartbeat
            tasks = tuple(
                TaskStatus(f"{key[0]}/{key[1]}", place.attempt, "running")
                for key, place in term.cluster.machines[name].tasks.items()
            )
            assert known is not None
            apply_heartbeat(term.cluster, Heartbeat(name, "h:1", "big", zone, False, 1, seq, 5, tasks), now[0])


def kept(term: Scheduler) -> CapacityPlan:
    """Return a plan that needs every machine."""
    return CapacityPlan({}, set(term.cluster.machines))


def partly_silent(now: list[float], silent: int) -> Scheduler:
    """Return a term in which the first so many machines of the north are silent for longer than one alone may be."""
    term = fleet_term(now, 20)
    now[0] += SITE.lease_s * term.tuning.machine_loss_timeout_leases + 0.1
    hear(term, now, "north", 2, lambda number: number >= silent)
    hear(term, now, "south", 2)
    term.cluster.machines["vm-1"].last_heartbeat_at = now[0]
    return term


def test_machines_that_hang_together_are_waited_for_and_one_alone_is_not() -> None:
    """Guards against returning fifty machines three seconds before they went on, seen on the bench."""
    now = [1000.0]
    term = partly_silent(now, 1)
    assert [machine.name for machine in term.select_scale_in(kept(term), now[0])] == ["vm-north-0"]

    now = [1000.0]
    term = partly_silent(now, 5)
    # They hold work for which there is no room elsewhere.
    for machine in term.cluster.machines.values():
        machine.used_cpus, machine.used_gpus = 16.0, 4.0
    term.admission.submit(PendingRequest(lambda status: None, job(1, hands=1), "req-000001"))
    commit(term)
    for number in range(5):
        place = type("P", (), {"attempt": 1, "stop": None, "machine": f"vm-north-{number}", "zone": "north"})()
        term.cluster.machines[f"vm-north-{number}"].tasks[("req-000001", number)] = place
    assert term.select_scale_in(kept(term), now[0]) == []
    for machine in term.cluster.machines.values():
        machine.used_cpus = machine.used_gpus = 0.0
    assert term.select_scale_in(kept(term), now[0]) == [], (
        "they are likely back before its image is fetched elsewhere"
    )
    for machine in term.cluster.machines.values():
        machine.fetched_images.add("img-1")
    assert {machine.name for machine in term.select_scale_in(kept(term), now[0])} == {
        f"vm-north-{n}" for n in range(5)
    }, "waiting helps nobody once their work has room elsewhere"
    for machine in term.cluster.machines.values():
        machine.used_cpus, machine.used_gpus = 16.0, 4.0
    now[0] += SITE.lease_s * term.tuning.partition_timeout_leases
    assert "vm-north-0" in {machine.name for machine in term.select_scale_in(kept(term), now[0])}, "not for ever"


def test_machines_that_were_taken_back_are_not_waited_for_however_many() -> None:
    """Guards against a wave of spot machines taken without notice: silent together and never listed as failed."""
    now = [1000.0]
    term = fleet_term(now, 20)
    listed = {name for name in term.cluster.machines if not name.startswith("vm-north")}
    term.reachability.record_listed(listed)
    assert term.reachability.no_longer_listed(now[0]) == [], "heard just now"
    now[0] += SITE.report_s * 3 + 0.1
    assert term.reachability.no_longer_listed(now[0]) == [], "a list may be twice its lag late, and these are new"
    for machine in term.cluster.machines.values():
        machine.created_at -= 100.0
    assert {machine.zone for machine in term.reachability.no_longer_listed(now[0])} == {"north"}
    heard = term.cluster.machines["vm-north-0"]
    heard.last_heartbeat_at, before = now[0], heard.last_heartbeat_at
    assert heard not in term.reachability.no_longer_listed(now[0]), "it was heard after the list was drawn up"
    heard.last_heartbeat_at = before
    assert term.select_scale_in(kept(term), now[0]) == [], "what the list does name is waited for"
    # The same for machines that only the records know, after all controllers were gone.
    term.cluster.started_at = now[0] - 2 * SITE.list_lag_s - SITE.report_s - SITE.lease_s
    place = type("P", (), {"zone": "north"})()
    term.cluster.unconfirmed_placements = {
        "vm-taken": {("req-000009", 0): place},
        "vm-south-0x": {("req-000009", 1): place},
    }
    term.reachability.record_listed(listed | {"vm-south-0x"})
    for machine in term.cluster.machines.values():
        machine.last_heartbeat_at = now[0] if machine.zone == "south" else now[0] - SITE.lease_s
    assert term.reachability.presumed_lost_without_heartbeat(now[0]) == {"vm-taken"}


def test_a_new_leader_does_not_take_a_cut_off_zone_for_late_boots() -> None:
    """Guards against returning a whole zone, seen on the bench: its machines were old and had not reported yet."""
    now = [1000.0]
    term = fleet_term(now, 20, ("south",))
    for number in range(20):
        machine = term.cluster.register_machine(f"vm-north-{number}", "big", "north", False, "h:1", now[0])
        machine.created_at, machine.listed_running_since = now[0] - 900.0, now[0]
    now[0] += SITE.lease_s * term.tuning.machine_loss_timeout_leases + 0.1
    hear(term, now, "south", 2)
    term.cluster.machines["vm-1"].last_heartbeat_at = now[0]
    assert term.select_scale_in(kept(term), now[0]) == []
    booting = term.cluster.register_machine("vm-late", "big", "south", False, "h:1", now[0])
    booting.created_at = now[0] - 900.0
    assert term.select_scale_in(kept(term), now[0]) == [booting], "the list does not call this one running"


def test_room_for_the_work_of_many_silent_machines_boots_early_and_none_in_a_partitioned_zone() -> None:
    """Guards against waiting for the cloud's word about a hundred machines before the first new one is rented."""
    now = [1000.0]
    term = fleet_term(now, 20)
    term.admission.submit(
        PendingRequest(lambda status: None, job(1, hands=8, rank="high", rig="daemon"), "req-000001")
    )
    commit(term)
    commit(term)
    held = {place.machine for place in term.cluster.jobs["req-000001"].placements.values()}
    assert held and not term.plan_scale_out(now[0]).scale_out
    for machine in term.cluster.machines.values():
        machine.last_heartbeat_at = now[0] + SITE.lease_s + 0.1
        machine.used_cpus, machine.used_gpus = 16.0, 4.0
    now[0] += SITE.lease_s + 0.1
    before = sum(term.plan_scale_out(now[0]).scale_out.values())
    for machine in term.cluster.machines.values():
        if machine.name in held or machine.name in {f"vm-north-{number}" for number in range(8)}:
            machine.last_heartbeat_at = now[0] - SITE.lease_s - 0.1
    assert sum(term.plan_scale_out(now[0]).scale_out.values()) > before, "their work is reckoned as lost"
    for machine in term.cluster.machines.values():
        if machine.zone == "north":
            machine.last_heartbeat_at = now[0] - SITE.lease_s - 0.1
    assert all(zone != "north" for _, zone, _ in term.plan_scale_out(now[0]).scale_out)


# -- a zone cut off together with a controller ---------------------------------------------------------------


def test_leases_kept_in_a_cut_off_zone_end_within_a_cancellations_time() -> None:
    """The cloud is down too, so only the end of the leases can make a cancellation true.

    The bound on tending and on being unsure is what this needs: with a lease more it fails.
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


@live
async def test_a_follower_cut_off_from_everything_keeps_leases_for_a_while(site: Site) -> None:
    """Guards against all work of a zone ending with its leases although a controller inside could be asked."""
    leader = site.leader()
    assert leader is not None
    inside = next(label for label in "abc" if label != leader)
    election = site.controllers[inside].election
    token = site.controllers[leader].election.fencing_token
    report = {
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
    status, _, _ = await site.call(inside, "POST", "/agent/beat", report)
    assert status == 421, "a follower names the leader"
    undo = await cut_peers(site, inside)
    site.identify_to_store(inside)
    site.store.down_for.add(inside)
    await wait_until(lambda: election.lease_keeping_token is not None, "it is isolated")
    status, answer, _ = await site.call(inside, "POST", "/agent/beat", report)
    assert (status, answer) == (200, {"helm": token, "signals": []}), "the last leader's token, and no command"
    status, _, _ = await site.call(inside, "POST", "/agent/beat", report | {"helm": token + 1})
    assert status == 421 and election.lease_keeping_token is None, (
        "a worker that has heard of a newer leader is not held"
    )
    # It goes on finding nobody, and still keeps nobody's lease.
    await asyncio.sleep(4 * election.ttl_s)
    assert election.lease_keeping_token is None
    election.superseded = False
    await wait_until(lambda: election.lease_keeping_token is not None, "it is isolated")
    election.max_unconfirmed_s = 0.0
    assert (await site.call(inside, "POST", "/agent/beat", report))[0] == 421, "not for ever"
    for back in undo:
        back()
    site.store.down_for.clear()
    await wait_until(lambda: election.role.value == "follower", "it follows again")
    status, answer, _ = await site.call(inside, "POST", "/agent/beat", report)
    assert (status, answer) == (421, {"harbormaster": leader})


@live
async def test_a_follower_that_still_reaches_a_controller_keeps_no_leases(site: Site) -> None:
    leader = site.leader()
    assert leader is not None
    inside = next(label for label in "abc" if label != leader)
    site.identify_to_store(inside)
    site.store.down_for.add(inside)
    election = site.controllers[inside].election
    asked: list[bool] = []
    ask = election.callbacks.query_peers

    async def noted() -> PeerSurvey:
        outlook: PeerSurvey = await ask()
        asked.append(outlook.peer_reaches_store)
        return outlook

    election.callbacks.query_peers = noted
    await wait_until(lambda: len(asked) > 3, "it has asked")
    assert all(asked) and election.lease_keeping_token is None
    assert election.role.value == "follower"


# -- repeats and late copies ---------------------------------------------------------------------------------


@live
async def test_late_copies_of_requests_change_nothing_that_was_decided_since(site: Site) -> None:
    """Submission, cancellation, peer message and lease request once more, after the controllers were back at once."""
    leader = site.leader()
    assert leader is not None
    await accepted(site, leader, raw_job(1, voyageS=0.3))
    await reaches(site, leader, "req-000001", "done")
    await accepted(site, leader, raw_job(2, rig="daemon", hands=1))
    await reaches(site, leader, "req-000002", "running")
    await wait_until(lambda: cancelled(site, leader, 2), "cancelled")
    await site.kill(leader)
    site.start(leader)
    second = await wait_until(site.leader, "a leader")
    started = site.model.task_starts
    for label in "abc":
        for raw in (raw_job(1, voyageS=0.3), raw_job(2, rig="daemon", hands=1)):
            await wait_until(
                lambda label=label, raw=raw: repeated(site, label, raw), "the repeat is answered with 200"
            )
    forward = json.dumps(["forward", "POST", "/v1/jobs/req-000001/cancel", ""]).encode()
    assert site.model.session is not None
    async with site.model.session.post(f"http://{site.platforms[second].back}/peer", data=forward) as answer:
        assert b'"done"' in (await answer.read()).replace(b"\\", b"")
    # A lease that nobody waits for any more holds no key, whatever becomes of it.
    site.store.last_lease_id += 1
    site.store.leases[site.store.last_lease_id], site.store.ttl[site.store.last_lease_id] = (
        site.store.now() + 0.2,
        0.2,
    )
    await asyncio.sleep(0.6)
    assert site.leader() == second and site.model.task_starts == started, "no task was started again"
    await reaches(site, second, "req-000001", "done")
    await reaches(site, second, "req-000002", "cancelled")


async def cancelled(site: Site, label: str, number: int) -> bool:
    """Cancel a job once; whether that was answered."""
    status, body, _ = await site.call(label, "POST", f"/v1/jobs/req-{number:06d}/cancel")
    return status == 200 and body["bearing"] == "cancelled"


async def repeated(site: Site, label: str, raw: dict[str, object]) -> bool:
    """Send a submission again; whether it was answered as known."""
    status, body, _ = await site.call(label, "POST", "/v1/jobs", raw)
    assert status in (200, 503), "never taken anew"
    return status == 200 and body["bearing"] in ("done", "cancelled")


def test_a_rental_and_a_return_carried_out_late_leave_no_machine_unaccounted() -> None:
    """A rental that is carried out after we gave up on it.

    Its machines report, are adopted and used or returned. A return once more: what is gone stays gone, whatever
    the list still says.
    """
    now = [1000.0]
    term = fleet_term(now, 2, ("north",))
    late = Heartbeat("vm-late", "h:1", "big", "north", False, 1, 2, 5, ())
    machine = apply_heartbeat(term.cluster, late, now[0])
    assert machine is not None and machine.state is MachineState.UP
    now[0] += 1000.0
    for known in term.cluster.machines.values():
        known.last_heartbeat_at = now[0]
    assert machine in term.select_scale_in(CapacityPlan({}, set()), now[0]), "nobody needs it"
    term.cluster.record_terminated(machine, now[0])
    assert (
        apply_heartbeat(term.cluster, Heartbeat("vm-late", "h:1", "big", "north", False, 1, 9, 5, ()), now[0]) is None
    )
    assert "vm-late" not in term.cluster.machines
