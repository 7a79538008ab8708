"""Requests whose users no longer wait: a retry takes their place, and submissions without a retry are dropped."""

from typing import Any

from driftcleat.scheduler import PendingRequest
from driftcleat.scheduler.admission import ABANDONED_SUBMISSION_INTERVALS

from .samples import job, platform, raw_job
from .scheduler_fixtures import commit_all, scheduler_with_machines
from .simulation import Simulation


def test_retries_of_abandoned_requests_do_not_fill_the_queue() -> None:
    """Guards against a queue that grows with each retry while nothing is committed, until it is full."""
    scheduler, now = scheduler_with_machines(0)
    answers: list[Any] = []
    for _ in range(10):
        for number in range(1, 6):
            request = PendingRequest(answers.append, job(number, hands=1), f"req-{number:06d}")
            scheduler.admission.submit(request)
            request.abandoned_at = now[0]
            cancellation = PendingRequest(answers.append, None, f"req-{number:06d}")
            scheduler.admission.cancel(cancellation)
            cancellation.abandoned_at = now[0]
        now[0] += 2.0
    assert scheduler.admission.waiting_submissions == 5 and scheduler.admission.waiting_cancellations == 5
    scheduler.admission.max_waiting = 0.0
    assert scheduler.admission.may_submit("req-000003") and not scheduler.admission.may_submit("req-000009")
    assert scheduler.admission.may_cancel("req-000003") and not scheduler.admission.may_cancel("req-000009")


def test_only_submissions_without_a_retry_are_dropped() -> None:
    """Guards against jobs that start although their users gave up; a cancellation is carried out all the same."""
    scheduler, now = scheduler_with_machines(0)
    answers: list[Any] = []
    keep_s = ABANDONED_SUBMISSION_INTERVALS * platform().report_s
    for number, abandoned_at in ((1, None), (2, 0.0), (3, 1.0)):
        spec = job(number, hands=1)
        scheduler.admission.submit(PendingRequest(answers.append, spec, spec.id, abandoned_at=abandoned_at))
    now[0] = keep_s + 0.5
    commit_all(scheduler)
    assert sorted(scheduler.cluster.jobs) == ["req-000001", "req-000003"]
    scheduler.admission.cancel(PendingRequest(answers.append, None, "req-000001", abandoned_at=0.0))
    commit_all(scheduler)
    assert sorted(scheduler.cluster.jobs) == ["req-000003"]


def test_submission_given_up_in_an_outage_starts_no_job() -> None:
    """Guards against a service that runs without an owner: its user was told nothing but 503."""

    async def scenario(simulation: Simulation) -> None:
        leader = str(simulation.leader_label())
        pipeline = simulation.controllers[leader].commit_pipeline
        run_next, pipeline._commit_next = pipeline._commit_next, lambda scheduler: simulation.advance(0.1)  # type: ignore[method-assign]
        service = raw_job(7, rig="daemon", hands=1, voyageS=0.0)
        status, _ = await simulation.request("POST", "/v1/jobs", service, leader)
        assert status == 503
        patient = raw_job(8, rig="daemon", hands=1, voyageS=0.0)
        accepted = simulation.submit_until_accepted(patient, leader)
        await simulation.advance(ABANDONED_SUBMISSION_INTERVALS * simulation.platform.report_s + 1.0)
        pipeline._commit_next = run_next  # type: ignore[method-assign]
        await simulation.run_until(accepted.done)
        assert await simulation.poll("req-000007", leader) == 404
        assert await simulation.poll("req-000008", leader) == 200

    Simulation(2).run_scenario(scenario)
