"""What holds at thousands of machines: bounds from settings, long passes in slices, users who give way to reports."""

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
    """A leader that answers nothing until it is told to."""

    def __init__(self) -> None:
        self.go_on = asyncio.Event()
        self.asked: list[str] = []

    async def send(self, label: str, message: messages.ForwardRequest, timeout_s: float) -> messages.ForwardResponse:
        self.asked.append(message.path)
        await self.go_on.wait()
        return messages.ForwardResponse(200, "{}", None)


def user_api(peers: HangingPeers, max_in_progress: int, max_forwarded: int) -> UserApi:
    """Return a follower's side for users."""
    current: Any = SimpleNamespace(scheduler=None, may_decide=False, leader="b")
    none: Any = None
    clock = asyncio.get_running_loop().time
    return UserApi(SITE, Tuning(), none, peers, current, clock, max_in_progress, max_forwarded)


@pytest.mark.parametrize(("in_progress", "passed_on"), [(2, 9), (9, 2)])
def test_users_are_refused_at_once_when_too_many_are_under_way_but_for_cancellations(
    in_progress: int, passed_on: int
) -> None:
    """Guards against users' requests that take the connections and the time that reports need."""

    async def run() -> None:
        peers = HangingPeers()
        users = user_api(peers, in_progress, passed_on)
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
        assert peers.asked == ["/v1/jobs", "/v1/jobs", "/v1/jobs/req-000001/cancel"]
        peers.go_on.set()
        for answer in await asyncio.gather(*waiting, cancelling):
            assert answer is not None and answer.status == 200
        # The places are free again.
        assert users.requests_shed == 2
        later = await users.handle("GET", "/v1/jobs/req-000001", b"")
        assert later is not None and later.status == 200

    asyncio.run(run())


def test_users_share_of_connections_follows_the_descriptors() -> None:
    small, large = SocketBudget(924, 2), SocketBudget(9240, 2)
    assert 0 < small.max_user_connections < small.max_front_connections / 4 + 1
    assert large.max_user_connections > 8 * small.max_user_connections


def manager(cloud_rps: float) -> FleetManager:
    """Return the loops around a cloud with that rate, without the cloud."""
    none: Any = None
    cloud: Any = SimpleNamespace(rate_limit=TokenBucket(cloud_rps, lambda: 0.0))
    return FleetManager(SITE, Tuning(), cloud, none, none, none, none, none, lambda: 0.0)


def test_as_many_machines_are_rented_as_the_cloud_takes_until_the_next_round() -> None:
    assert manager(0.1).autoscaler.max_scale_out(0.5) == MAX_MACHINES_PER_REQUEST
    assert manager(4.0).autoscaler.max_scale_out(2.0) == 8 * MAX_MACHINES_PER_REQUEST


def test_one_need_for_many_machines_is_several_requests_of_what_the_cloud_takes() -> None:
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
        "a name is never used for two requests"
    )


def test_the_list_takes_a_part_of_the_clouds_calls_however_many_pages_it_has() -> None:
    """Guards against the return for a cancelled task that waits behind the pages of thousands of machines."""
    for machines in (100, 700, 4000, 6000):
        loops = manager(2.0)
        pages = machines // 500 + 1
        assert pages / loops.inventory.list_pause_s(machines) <= 2.0 / 3 + 1e-9


def test_machines_that_keep_a_cancelled_task_are_returned_first() -> None:
    loops = manager(2.0)
    loops.terminator.to_delete = {f"vm-{number:06d}" for number in range(4000)}
    loops.terminator.to_fence = {f"vm-{number:06d}" for number in range(3900, 3950)}
    first = loops.terminator.next_batch(may_decide=True)
    assert len(first) == MAX_MACHINES_PER_DELETE and set(first[:50]) == loops.terminator.to_fence
    assert set(loops.terminator.next_batch(may_decide=False)) == loops.terminator.to_fence


def test_records_are_read_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader that loses its lease while it decodes the records of thousands of machines' work."""
    monkeypatch.setattr(decoding, "decode_head", lambda item: SimpleNamespace(id=item))
    monkeypatch.setattr(decoding, "_load_chunk", lambda jobs, item: False)

    async def run() -> None:
        heads: Any = list(range(1000))
        chunks: Any = [SimpleNamespace(key=str(number)) for number in range(500)]
        loading = asyncio.ensure_future(decoding.decode_jobs(heads, chunks))
        turns = 0
        while not loading.done():
            turns += 1
            await asyncio.sleep(0)
        jobs, orphans = loading.result()
        assert len(jobs) == 1000 and len(orphans) == 500
        assert turns >= 1500 // decoding.RECORDS_PER_SLICE

    asyncio.run(run())


def test_a_scan_looks_only_at_machines_that_may_have_to_be_told_something(monkeypatch: pytest.MonkeyPatch) -> None:
    scheduler, _ = scheduler_with_machines(50)
    looks = Mock(return_value=[])
    monkeypatch.setattr("driftcleat.workers.dispatch.stop_commands", looks)
    none: Any = None
    dispatcher = StopDispatcher(SITE, Tuning(), none, none, none, lambda: 0.0)
    names = list(scheduler.cluster.machines)
    for name in names[:45]:
        scheduler.cluster.machines[name].in_sync = True
    for name in names:
        dispatcher._send_stops(scheduler, name)
    assert looks.call_count == 5


@pytest.mark.parametrize("message", ["view", "pong"])
def test_the_largest_message_between_controllers_is_taken(message: str) -> None:
    names = [f"req-{number:06d}" for number in range(999_999 - MAX_CANCELLED_JOBS, 999_999)]
    status = messages.LeaderStatus(1.0, names)
    sent: messages.PeerMessage = messages.Pong("a", True, "a", 7, status, 2)
    if message == "view":
        sent = messages.ViewResponse("a", "leading", "a", 7, 0.1, 0.1, True, status, 2)
    body = wire.encode(sent)
    assert len(body) < MAX_PEER_BODY_BYTES
    assert wire.decode(body, messages.PeerMessage) == sent  # type: ignore[arg-type]
    # A version before reads the same array, and knows no bound of names.
    assert json.loads(body)[0] == message


def test_a_passed_on_request_at_its_largest_is_taken() -> None:
    """Every byte of a body may take two once it stands in a message's string."""
    body = ("{" + "\t" * 65_000 + "}").encode()
    assert len(wire.encode(messages.ForwardRequest("POST", "/v1/jobs", body.decode()))) < MAX_PEER_BODY_BYTES


def test_the_work_of_a_take_over_grows_with_the_machines_and_not_faster() -> None:
    """Counts of looks at machines in the round after a take-over, 4,000 against 400 machines."""
    looks: dict[int, int] = {}
    for machines in (400, 4000):
        scheduler, _ = scheduler_with_machines(machines)
        spec = job(1, hands=8, accelerators=0.0, cores=1.0, imageGb=0.0)
        commit_submissions(scheduler, spec)
        takes = Mock(side_effect=scheduler.candidates.takes_tasks)
        scheduler.candidates.takes_tasks = takes  # type: ignore[method-assign]
        commit_all(scheduler)
        assert len(scheduler.cluster.jobs["req-000001"].placements) == 8
        looks[machines] = takes.call_count
    assert looks[4000] <= 10 * looks[400]


def test_work_that_can_wait_gives_way_while_reports_are_missing_and_the_event_loop_is_late() -> None:
    """Guards against 2,003 leases that ran out while tasks were placed, seen at 4,000 machines on a small share."""
    overload = OverloadDetector(3.0)
    overload.record_interval(3200, 4000, 0.5)
    halfway = overload.pause_s
    assert 0 < halfway < 3.0
    overload.record_interval(400, 4000, 0.5)
    assert halfway < overload.pause_s <= 3.0, "work gets on at least once a report interval"
    # Machines behind a cut are missing too, but the event loop is idle.
    overload.record_interval(400, 4000, 0.001)
    assert overload.pause_s == 0.0
    # The event loop is late, and every report comes all the same.
    overload.record_interval(400, 4000, 0.5)
    overload.record_interval(3990, 4000, 0.5)
    assert overload.pause_s == 0.0
    overload.record_interval(0, 0, 0.5)
    assert overload.pause_s == 0.0


def test_a_round_is_put_off_while_reports_are_late() -> None:
    scheduler, now = scheduler_with_machines(10)
    scheduler.pacing.record_change()
    scheduler.pacing.end(now[0], now[0])
    assert scheduler.pacing.due(now[0])
    scheduler.pacing.overload_pause_s = lambda: 2.0
    scheduler.pacing.end(now[0], now[0])
    assert not scheduler.pacing.due(now[0] + 1.9) and scheduler.pacing.due(now[0] + 2.0)


def test_nobody_looks_for_work_to_stop_where_an_image_is_that_no_machine_has(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a look at every task of thousands of machines in each round: a third of its time."""
    looks = Mock(side_effect=PreemptibleTasks)
    monkeypatch.setattr("driftcleat.scheduler.preemption_planning.PreemptibleTasks", looks)
    scheduler, now = scheduler_with_machines(20)
    commit_submissions(scheduler, job(1, rig="daemon", hands=2, accelerators=0.0, imageGb=4.0, rank="critical"))
    commit_all(scheduler)
    assert len(scheduler.cluster.jobs["req-000001"].placements) == 2 and looks.call_count == 0
    # Once a machine has the image, it is looked at.
    now[0] += 60.0
    for number, machine in enumerate(scheduler.cluster.machines.values()):
        machine.last_heartbeat_at = now[0]
        if number < 2:
            machine.fetched_images.add("img-01")
    commit_submissions(
        scheduler, job(2, rig="daemon", hands=40, accelerators=0.0, imageGb=4.0, hull="img-01", rank="critical")
    )
    commit_all(scheduler)
    assert looks.call_count > 0


def test_sizing_is_put_off_while_reports_are_late() -> None:
    async def scenario(simulation: Simulation) -> None:
        controller = simulation.controllers[str(simulation.leader_label())]
        scheduler = controller.scheduler
        assert scheduler is not None
        sizes = Mock()
        controller.fleet_manager.autoscaler.scale = sizes  # type: ignore[method-assign]
        await simulation.advance(20.0)
        usual = sizes.call_count
        scheduler.pacing.overload_pause_s = lambda: 2.0
        await simulation.advance(2.0)
        sizes.reset_mock()
        await simulation.advance(20.0)
        assert 0 < sizes.call_count <= usual / 2

    Simulation(5).run_scenario(scenario)
