"""The JSON of `/metrics` and `/status`: operators' tools read its keys, so the tests list all of them."""

import json
from typing import Any

import pytest

from .samples import raw_job
from .simulation import LABELS, Simulation

# Keys in the status of every controller, in this order.
EVERY_CONTROLLER = [
    "controller",
    "role",
    "leader",
    "term",
    "holds",
    "lease_left_s",
    "build",
    "batch",
    "users",
    "reports",
    "loop_delay",
    "parts_s",
    "requests_shed",
    "bad_reports",
    "stale_reports",
    "bad_peer_messages",
    "bad_store_answers",
    "bad_cloud_answers",
    "connections",
    "connections_most",
    "connections_closed",
    "connections_refused",
]
# Keys that follow in the status of a leader.
LEADER_ONLY = [
    "data_version",
    "records_to_move",
    "jobs_waiting_for_others",
    "machines",
    "classes",
    "waiting_submissions",
    "waiting_cancellations",
    "open_rentals",
    "batches",
    "rounds",
    "rounds_cut",
    "placed",
    "preempted",
    "rented",
    "returned",
    "exits",
    "batches_rejected",
    "jobs_postponed",
    "commit_stalled_s",
]
TIMING = ["count", "p50_ms", "p95_ms", "p99_ms", "p100_ms"]


async def fetch_status(simulation: Simulation, label: str, path: str = "/status") -> dict[str, Any]:
    """Return the decoded body of a GET request to a controller's operator address."""
    answer = await simulation.controllers[label].handle_back("GET", path, b"")
    assert answer.status == 200
    status: dict[str, Any] = json.loads(answer.body)
    return status


@pytest.mark.parametrize("path", ["/status", "/metrics"])
def test_leader_status_has_exactly_these_keys_in_order(path: str) -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.submit_until_accepted(raw_job(1, rig="daemon", hands=2, voyageS=0.0))
        await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 2)
        await simulation.advance(4.0)
        status = await fetch_status(simulation, str(simulation.leader_label()), path)
        assert list(status) == EVERY_CONTROLLER + LEADER_ONLY
        for timing in ("build", "batch", "users", "reports", "loop_delay"):
            assert list(status[timing]) == TIMING
        assert list(status["parts_s"]) == ["build", "commit", "encode", "orders", "reports", "sizing"]
        assert [list(row) for row in status["classes"].values()] == [["jobs", "queued", "placed"]]

    Simulation(5).run_scenario(scenario)


def test_follower_status_has_exactly_these_keys_in_order() -> None:
    async def scenario(simulation: Simulation) -> None:
        follower = next(label for label in LABELS if label != simulation.leader_label())
        status = await fetch_status(simulation, follower)
        assert list(status) == EVERY_CONTROLLER
        assert status["role"] == "follower" and status["holds"] is False and status["lease_left_s"] == 0.0

    Simulation(5).run_scenario(scenario)


def test_status_values_match_their_sources() -> None:
    async def scenario(simulation: Simulation) -> None:
        simulation.submit_until_accepted(raw_job(1, rig="daemon", hands=2, voyageS=0.0))
        await simulation.run_until(lambda: len(simulation.tasks_on_machines()) == 2)
        await simulation.advance(4.0)
        label = str(simulation.leader_label())
        controller = simulation.controllers[label]
        scheduler = controller.scheduler
        assert scheduler is not None
        await controller.handle_front("POST", "/agent/beat", b"{")
        await controller.handle_peer(b"{")
        await controller.handle_front("GET", "/v1/jobs/req-000001", b"")
        status = await fetch_status(simulation, label)
        assert status["controller"] == status["leader"] == label
        assert status["role"] == "leading" and status["holds"] is True
        assert status["term"] == controller.election.fencing_token
        assert 0 < status["lease_left_s"] < controller.election.ttl_s
        assert status["bad_reports"] == 1 and status["bad_peer_messages"] == 1
        assert status["bad_store_answers"] == status["bad_cloud_answers"] == 0
        assert status["connections"] == 0 and status["connections_most"] == 1000
        assert status["users"]["count"] > 0 and status["reports"]["count"] > 0 and status["batch"]["count"] > 0
        assert status["data_version"] in (1, 2) and status["records_to_move"] == 0
        assert status["machines"] == {"up": len(scheduler.cluster.machines)}
        assert status["classes"] == {simulation.specs["req-000001"].job_class: {"jobs": 1, "queued": 0, "placed": 2}}
        assert status["batches"] == scheduler.counters.batches > 0
        assert status["placed"] == scheduler.counters.placed == 2
        assert status["rented"] == scheduler.counters.machines_created > 0

    Simulation(5).run_scenario(scenario)


def test_stall_of_commits_is_reported_once_and_in_the_status(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a standstill that an operator sees nowhere but in repeated lines about single batches."""

    async def scenario(simulation: Simulation) -> None:
        leader = str(simulation.leader_label())
        simulation.lost_responses.add(leader)
        simulation.submit_until_accepted(raw_job(1, hands=1))
        with pytest.MonkeyPatch.context() as patch:
            pipeline = simulation.controllers[leader].commit_pipeline
            patch.setattr(pipeline, "_read_back", simulation.wait_forever)
            await simulation.advance(15.0)
            status = await fetch_status(simulation, leader)
            assert status["commit_stalled_s"] > 10.0
            stalls = [record for record in caplog.records if "nothing has been committed for" in record.message]
            assert len(stalls) == 1
        simulation.lost_responses.clear()

    Simulation(3).run_scenario(scenario)
