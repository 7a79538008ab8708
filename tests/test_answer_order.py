"""Answers about one job keep the order of the commits, whichever controller gives them and from whichever source.

A commit is applied at once, and its response reaches the leader late. Followers cannot reach the leader, so they
answer from the records, which are ahead of the leader's memory.
"""

from collections.abc import Awaitable, Callable

import pytest

from .samples import raw_job
from .simulation import LABELS, Simulation

DELAYS_S = (0.3, 0.8, 1.2)


def leader_and_follower(simulation: Simulation) -> tuple[str, str]:
    leader = str(simulation.leader_label())
    return leader, next(label for label in LABELS if label != leader)


def run_with_late_commit_responses(
    seed: int,
    delay_s: float,
    scenario: Callable[[Simulation], Awaitable[None]],
    before: Callable[[Simulation], Awaitable[None]],
) -> None:
    """Run `before` on a healthy site, then `scenario` with late responses and refused peer connections."""

    async def run(simulation: Simulation) -> None:
        await before(simulation)
        simulation.commit_response_delay_s = delay_s
        simulation.refuses_peers = True
        await scenario(simulation)

    Simulation(seed).run_scenario(run)


async def follower_state(simulation: Simulation, job_id: str) -> str:
    """Return what a follower says of a job, or an empty string."""
    _, follower = leader_and_follower(simulation)
    status, answer = await simulation.request("GET", f"/v1/jobs/{job_id}", label=follower)
    if status != 200:
        return ""
    if job_id in simulation.statuses:
        simulation.record_status(job_id, answer["bearing"])
    return str(answer["bearing"])


async def until_follower_says(simulation: Simulation, job_id: str, state: str) -> None:
    for _ in range(2000):
        if await follower_state(simulation, job_id) == state:
            return
        await simulation.advance(0.01)
    raise AssertionError(f"no follower said that {job_id} is {state}")


async def run_one_task_job(simulation: Simulation, number: int = 1) -> None:
    simulation.submit_until_accepted(raw_job(number, hands=1, voyageS=8.0))
    await simulation.run_until(simulation.tasks_on_machines)


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("seed", [1, 2])
def test_leader_never_calls_a_job_running_that_a_follower_called_done(seed: int, delay_s: float) -> None:
    """Guards against answers from memory while a commit is in flight that the records show already (went_back)."""

    async def scenario(simulation: Simulation) -> None:
        leader, _ = leader_and_follower(simulation)
        await until_follower_says(simulation, "req-000001", "done")
        for _ in range(100):
            await simulation.poll("req-000001", leader)
            await simulation.advance(0.02)

    run_with_late_commit_responses(seed, delay_s, scenario, run_one_task_job)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_isolated_leader_never_calls_a_job_running_that_a_follower_called_done(seed: int) -> None:
    """Guards against the same while the leader is cut off before the response of its commit arrives."""

    async def scenario(simulation: Simulation) -> None:
        leader, _ = leader_and_follower(simulation)
        await until_follower_says(simulation, "req-000001", "done")
        simulation.isolate(leader)
        for _ in range(100):
            await simulation.poll("req-000001", leader)
            await simulation.advance(0.05)

    run_with_late_commit_responses(seed, 0.8, scenario, run_one_task_job)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_repeated_submission_is_not_answered_with_an_older_state(delay_s: float) -> None:
    """Guards against a late retry of a submission that is answered with `running` after a follower said `done`."""

    async def scenario(simulation: Simulation) -> None:
        leader, _ = leader_and_follower(simulation)
        await until_follower_says(simulation, "req-000001", "done")
        status, answer = await simulation.request("POST", "/v1/jobs", raw_job(1, hands=1, voyageS=8.0), leader)
        assert status == 503 or (status, answer["bearing"]) == (200, "done")

    run_with_late_commit_responses(1, delay_s, scenario, run_one_task_job)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_leader_knows_a_job_that_a_follower_called_accepted(delay_s: float) -> None:
    """Guards against 404 and 422 for a job whose creation is in flight while a follower knows it already."""

    async def nothing(simulation: Simulation) -> None:
        await simulation.advance(1.0)

    async def scenario(simulation: Simulation) -> None:
        leader, _ = leader_and_follower(simulation)
        simulation.submit_until_accepted(raw_job(2, hands=1), leader)
        await until_follower_says(simulation, "req-000002", "pending")
        status, _ = await simulation.request("GET", "/v1/jobs/req-000002", label=leader)
        assert status in (200, 503)
        dependent = simulation.request("POST", "/v1/jobs", raw_job(3, hands=1, tows=["req-000002"]), leader)
        simulation.submitted_ids.add("req-000003")
        assert (await dependent)[0] in (201, 503)

    async def immediately_after(simulation: Simulation) -> None:
        """The same, with the first request to the leader being a cancellation or a dependent submission."""
        leader, _ = leader_and_follower(simulation)
        simulation.submit_until_accepted(raw_job(4, hands=1), leader)
        await until_follower_says(simulation, "req-000004", "pending")
        status, _ = await simulation.request("POST", "/v1/jobs/req-000004/cancel", label=leader)
        simulation.cancelled.add("req-000004")
        assert status in (200, 503)

    run_with_late_commit_responses(1, delay_s, scenario, nothing)
    run_with_late_commit_responses(2, delay_s, immediately_after, nothing)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_leader_never_calls_a_job_pending_that_a_follower_called_cancelled(delay_s: float) -> None:
    """Guards against answers from memory while a cancellation is in flight, for the job and for its dependents."""

    async def submit_chain(simulation: Simulation) -> None:
        await run_one_task_job(simulation)
        for number in (2, 3):
            await simulation.submit_until_accepted(raw_job(number, hands=1, tows=[f"req-{number - 1:06d}"]))

    async def scenario(simulation: Simulation) -> None:
        leader, _ = leader_and_follower(simulation)
        simulation.cancel_until_confirmed("req-000001", leader)
        await until_follower_says(simulation, "req-000003", "cancelled")
        for job_id in ("req-000003", "req-000002", "req-000001"):
            await simulation.poll(job_id, leader)

    run_with_late_commit_responses(1, delay_s, scenario, submit_chain)


def test_polls_of_other_jobs_do_not_wait_for_the_commit_in_flight() -> None:
    """Guards against a cure that makes every poll wait while the state service is slow."""

    async def two_jobs(simulation: Simulation) -> None:
        await run_one_task_job(simulation)
        await simulation.submit_until_accepted(raw_job(2, rig="daemon", hands=1, voyageS=0.0, crew="blue"))

    async def scenario(simulation: Simulation) -> None:
        leader, _ = leader_and_follower(simulation)
        await until_follower_says(simulation, "req-000001", "done")
        started_at = simulation.time()
        assert await simulation.poll("req-000002", leader) == 200
        assert simulation.time() - started_at < 0.01

    run_with_late_commit_responses(1, 1.2, scenario, two_jobs)


@pytest.mark.parametrize("store_delay_s", [0.05, 0.2, 0.5])
@pytest.mark.parametrize("seed", range(3))
def test_poll_that_reads_dependencies_is_not_older_than_a_cancellation(seed: int, store_delay_s: float) -> None:
    """Guards against a follower that reads a job, then its dependencies, and answers what the job was at first."""

    async def scenario(simulation: Simulation) -> None:
        leader, _ = leader_and_follower(simulation)
        await simulation.submit_until_accepted(raw_job(1, hands=1, voyageS=200.0), leader)
        await simulation.submit_until_accepted(raw_job(2, hands=1, tows=["req-000001"]), leader)
        await simulation.run_until(simulation.tasks_on_machines)
        simulation.refuses_peers = True
        simulation.store_delay_s = store_delay_s
        cancelling = simulation.cancel_until_confirmed("req-000002", leader)
        for _ in range(300):
            simulation.spawn(follower_state(simulation, "req-000002"))
            await simulation.advance(0.02)
        await simulation.run_until(cancelling.done)
        simulation.store_delay_s = 0.0
        await until_follower_says(simulation, "req-000002", "cancelled")

    Simulation(seed).run_scenario(scenario)


@pytest.mark.parametrize("store_delay_s", [0.05, 0.2, 0.5])
@pytest.mark.parametrize("seed", range(3))
def test_poll_of_an_unknown_job_is_not_older_than_its_acceptance(seed: int, store_delay_s: float) -> None:
    """Guards against a follower that finds neither record of a job, since it is accepted between the two reads."""

    async def scenario(simulation: Simulation) -> None:
        leader, follower = leader_and_follower(simulation)
        simulation.refuses_peers = True
        simulation.store_delay_s = store_delay_s
        submitting = simulation.submit_until_accepted(raw_job(1, hands=1), leader)
        for _ in range(200):
            simulation.spawn(simulation.poll("req-000001", follower))
            await simulation.advance(0.02)
        await simulation.run_until(submitting.done)
        assert await simulation.poll("req-000001", follower) == 200

    Simulation(seed).run_scenario(scenario)
