"""Thousands of machines: limits that follow the settings, work in slices, and precedence of heartbeats over users."""

import asyncio
import json
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from driftcleat import wire
from driftcleat.api import UserApi
from driftcleat.capacity.sizing import CapacityPlan, MachineOffer
from driftcleat.cloud.client import MAX_MACHINES_PER_DELETE
from driftcleat.cloud.manager import FleetManager
from driftcleat.controller.network import MAX_PEER_BODY_BYTES
from driftcleat.controller.overload import OverloadDetector
from driftcleat.net import SocketBudget
from driftcleat.peers.server import MAX_CANCELLED_JOBS
from driftcleat.placement.victims import PreemptibleTasks
from driftcleat.scheduler.scale_out import MAX_MACHINES_PER_REQUEST
from driftcleat.settings import Tuning
from driftcleat.store import decoding
from driftcleat.store.rate_limit import TokenBucket
from driftcleat.wire import peers as messages
from driftcleat.workers.dispatch import StopDispatcher

from .samples import job, platform, raw_job
from .scheduler_fixtures import commit_all, commit_submissions, scheduler_with_machines
from .simulation import Simulation

SITE = platform()


class HangingPeers:
    """A peer client whose leader does not respond until `release` is set."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.requested_paths: list[str] = []

    async def send(self, label: str, message: messages.ForwardRequest, timeout_s: float) -> messages.ForwardResponse:
        self.requested_paths.append(message.path)
        await self.release.wait()
        return messages.ForwardResponse(200, "{}", None)


def user_api(peers: HangingPeers, max_in_progress: int, max_forwarded: int) -> UserApi:
    """Return the user API of a follower with these limits on its requests."""
    current: Any = SimpleNamespace(scheduler=None, may_decide=False, leader="b")
    none: Any = None
    clock = asyncio.get_running_loop().time
    return UserApi(SITE, Tuning(), none, peers, current, clock, max_in_progress, max_forwarded)


@pytest.mark.parametrize(("in_progress", "forwarded"), [(2, 9), (9, 2)])
def test_user_requests_over_the_limit_are_rejected_except_cancellations(in_progress: int, forwarded: int) -> None:
    """Guards against user requests that take the connections and the processor time that heartbeats need."""

    async def run() -> None:
        peers = HangingPeers()
        users = user_api(peers, in_progress, forwarded)
        waiting = [
            asyncio.ensure_future(users.handle("POST", "/v1/jobs", json.dumps(raw_job(number)).encode()))
            for number in (1, 2)
        ]
        await asyncio.sleep(0)
        for method, path in (("GET", "/v1/jobs/req-000001"), ("POST", "/v1/jobs")):
            answer = await asyncio.wait_for(users.handle(method, path, json.dumps(raw_job(3)).encode()), 0.1)
            assert answer is not None and (answer.status, answer.retry_after_s) == (503, users.retry_s)
        cancelling = asyncio.ensure_future(users.handle("POST", "/v1/jobs/req-000001/cancel", b""))
        await asyncio.sleep(0)
        assert peers.requested_paths == ["/v1/jobs", "/v1/jobs", "/v1/jobs/req-000001/cancel"]
        peers.release.set()
        for answer in await asyncio.gather(*waiting, cancelling):
            assert answer is not None and answer.status == 200
        # Completed requests no longer count against the limit.
        assert users.requests_rejected == 2
        later = await users.handle("GET", "/v1/jobs/req-000001", b"")
        assert later is not None and later.status == 200

    asyncio.run(run())


def test_user_connection_limit_grows_with_the_file_descriptor_limit() -> None:
    small, large = SocketBudget(924, 2), SocketBudget(9240, 2)
    assert 0 < small.max_user_connections < small.max_front_connections / 4 + 1
    assert large.max_user_connections > 8 * small.max_user_connections


def fleet_manager(cloud_rps: float) -> FleetManager:
    """Return a fleet manager whose cloud client allows `cloud_rps` requests per second and sends none."""
    none: Any = None
    cloud: Any = SimpleNamespace(rate_limit=TokenBucket(cloud_rps, lambda: 0.0))
    return FleetManager(SITE, Tuning(), cloud, none, none, none, none, none, lambda: 0.0)


def test_scale_out_limit_follows_the_cloud_request_rate() -> None:
    assert fleet_manager(0.1).autoscaler.max_scale_out(0.5) == MAX_MACHINES_PER_REQUEST
    assert fleet_manager(4.0).autoscaler.max_scale_out(2.0) == 8 * MAX_MACHINES_PER_REQUEST


def test_large_scale_out_is_split_into_requests_of_the_maximum_size() -> None:
    scheduler, _ = scheduler_with_machines(1)
    scheduler.scale_out.request(
        CapacityPlan({MachineOffer("big", "north", False): 2 * MAX_MACHINES_PER_REQUEST + 7}, set())
    )
    assert [request.record.count for request in scheduler.scale_out.new_requests] == [
        MAX_MACHINES_PER_REQUEST,
        MAX_MACHINES_PER_REQUEST,
        7,
    ]
    assert len({request.name for request in scheduler.scale_out.new_requests}) == 3, (
        "each request has a name of its own"
    )


def test_machine_listing_uses_a_bounded_part_of_the_cloud_request_rate() -> None:
    """Guards against the deletion for a cancelled task that waits behind the list pages of thousands of machines."""
    for machines in (100, 700, 4000, 6000):
        loops = fleet_manager(2.0)
        pages = machines // 500 + 1
        assert pages / loops.inventory.list_pause_s(machines) <= 2.0 / 3 + 1e-9


def test_machines_that_keep_a_cancelled_task_are_deleted_first() -> None:
    loops = fleet_manager(2.0)
    loops.terminator.to_delete = {f"vm-{number:06d}" for number in range(4000)}
    loops.terminator.to_fence = {f"vm-{number:06d}" for number in range(3900, 3950)}
    first = loops.terminator.next_batch(may_decide=True)
    assert len(first) == MAX_MACHINES_PER_DELETE and set(first[:50]) == loops.terminator.to_fence
    assert set(loops.terminator.next_batch(may_decide=False)) == loops.terminator.to_fence


def test_records_are_decoded_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader that loses its lease while it decodes the job records of thousands of machines."""
    monkeypatch.setattr(decoding, "decode_head", lambda item: SimpleNamespace(id=item))
    monkeypatch.setattr(decoding, "_load_chunk", lambda jobs, item: False)

    async def run() -> None:
        heads: Any = list(range(1000))
        chunks: Any = [SimpleNamespace(key=str(number)) for number in range(500)]
        loading = asyncio.ensure_future(decoding.decode_jobs(heads, chunks))
        loop_iterations = 0
        while not loading.done():
            loop_iterations += 1
            await asyncio.sleep(0)
        jobs, orphans = loading.result()
        assert len(jobs) == 1000 and len(orphans) == 500
        assert loop_iterations >= 1500 // decoding.RECORDS_PER_SLICE

    asyncio.run(run())


def test_stop_scan_skips_machines_that_are_in_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    scheduler, _ = scheduler_with_machines(50)
    calls = Mock(return_value=[])
    monkeypatch.setattr("driftcleat.workers.dispatch.stop_commands", calls)
    none: Any = None
    dispatcher = StopDispatcher(SITE, Tuning(), none, none, none, lambda: 0.0)
    names = list(scheduler.cluster.machines)
    for name in names[:45]:
        scheduler.cluster.machines[name].in_sync = True
    for name in names:
        dispatcher._send_stops(scheduler, name)
    assert calls.call_count == 5


@pytest.mark.parametrize("message", ["view", "pong"])
def test_largest_peer_message_is_accepted(message: str) -> None:
    names = [f"req-{number:06d}" for number in range(999_999 - MAX_CANCELLED_JOBS, 999_999)]
    status = messages.LeaderStatus(1.0, names)
    sent: messages.PeerMessage = messages.Pong("a", True, "a", 7, status, 2)
    if message == "view":
        sent = messages.ViewResponse("a", "leading", "a", 7, 0.1, 0.1, True, status, 2)
    body = wire.encode(sent)
    assert len(body) < MAX_PEER_BODY_BYTES
    assert wire.decode(body, messages.PeerMessage) == sent  # type: ignore[arg-type]
    # The previous version reads the same array and has no limit on the number of job ids.
    assert json.loads(body)[0] == message


def test_largest_forwarded_request_is_accepted() -> None:
    """Each byte of a body may take two bytes once it is escaped in a message's string."""
    body = ("{" + "\t" * 65_000 + "}").encode()
    assert len(wire.encode(messages.ForwardRequest("POST", "/v1/jobs", body.decode()))) < MAX_PEER_BODY_BYTES


def test_work_of_a_recovery_grows_at_most_linearly_with_the_machines() -> None:
    """Compares how many machines the placement round after a recovery checks, with 4,000 and with 400 machines."""
    calls: dict[int, int] = {}
    for machines in (400, 4000):
        scheduler, _ = scheduler_with_machines(machines)
        spec = job(1, hands=8, accelerators=0.0, cores=1.0, imageGb=0.0)
        commit_submissions(scheduler, spec)
        takes_tasks = Mock(side_effect=scheduler.candidates.takes_tasks)
        scheduler.candidates.takes_tasks = takes_tasks  # type: ignore[method-assign]
        commit_all(scheduler)
        assert len(scheduler.cluster.jobs["req-000001"].placements) == 8
        calls[machines] = takes_tasks.call_count
    assert calls[4000] <= 10 * calls[400]


def test_overload_pause_needs_missing_heartbeats_and_a_late_event_loop() -> None:
    """Guards against leases that expire while tasks are placed: 2,003 at 4,000 machines, on a share of a core."""
    overload = OverloadDetector(3.0)
    overload.record_interval(3200, 4000, 0.5)
    halfway = overload.pause_s
    assert 0 < halfway < 3.0
    overload.record_interval(400, 4000, 0.5)
    assert halfway < overload.pause_s <= 3.0, "work continues at least once per heartbeat interval"
    # Heartbeats of partitioned machines are missing too, but the event loop is idle.
    overload.record_interval(400, 4000, 0.001)
    assert overload.pause_s == 0.0
    # The event loop is late, but nearly all heartbeats arrive.
    overload.record_interval(400, 4000, 0.5)
    overload.record_interval(3990, 4000, 0.5)
    assert overload.pause_s == 0.0
    overload.record_interval(0, 0, 0.5)
    assert overload.pause_s == 0.0


def test_placement_round_is_deferred_while_heartbeats_are_late() -> None:
    scheduler, now = scheduler_with_machines(10)
    scheduler.pacing.record_change()
    scheduler.pacing.end(now[0], now[0])
    assert scheduler.pacing.due(now[0])
    scheduler.pacing.overload_pause_s = lambda: 2.0
    scheduler.pacing.end(now[0], now[0])
    assert not scheduler.pacing.due(now[0] + 1.9) and scheduler.pacing.due(now[0] + 2.0)


def test_no_preemption_search_for_an_image_that_no_machine_has(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against checking every task of thousands of machines in each round, a third of the round's time."""
    calls = Mock(side_effect=PreemptibleTasks)
    monkeypatch.setattr("driftcleat.scheduler.preemption_planning.PreemptibleTasks", calls)
    scheduler, now = scheduler_with_machines(20)
    commit_submissions(scheduler, job(1, rig="daemon", hands=2, accelerators=0.0, imageGb=4.0, rank="critical"))
    commit_all(scheduler)
    assert len(scheduler.cluster.jobs["req-000001"].placements) == 2 and calls.call_count == 0
    # Machines that have the image are searched.
    now[0] += 60.0
    for number, machine in enumerate(scheduler.cluster.machines.values()):
        machine.last_heartbeat_at = now[0]
        if number < 2:
            machine.fetched_images.add("img-01")
    commit_submissions(
        scheduler, job(2, rig="daemon", hands=40, accelerators=0.0, imageGb=4.0, hull="img-01", rank="critical")
    )
    commit_all(scheduler)
    assert calls.call_count > 0


def test_sizing_is_deferred_while_heartbeats_are_late() -> None:
    async def scenario(simulation: Simulation) -> None:
        controller = simulation.controllers[str(simulation.leader_label())]
        scheduler = controller.scheduler
        assert scheduler is not None
        scale = Mock()
        controller.fleet_manager.autoscaler.scale = scale  # type: ignore[method-assign]
        await simulation.advance(20.0)
        usual = scale.call_count
        scheduler.pacing.overload_pause_s = lambda: 2.0
        await simulation.advance(2.0)
        scale.reset_mock()
        await simulation.advance(20.0)
        assert 0 < scale.call_count <= usual / 2

    Simulation(5).run_scenario(scenario)
