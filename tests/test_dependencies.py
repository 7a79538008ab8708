"""Dependencies among jobs: the graph against a simple implementation, and chains of jobs in the reference model."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftcleat.cluster.dependencies import NO_DEADLINE, DependencyGraph, InheritedPriority, OwnPriority
from driftcleat.scheduler import Scheduler
from driftcleat.wire.job_ids import decode_job_ids, encode_job_ids
from driftcleat.wire.job_spec_parsing import InvalidFieldError, parse_submission

from .reference_model import ReferenceModel
from .samples import MACHINE_TYPES, job, platform, raw_job


class ReferenceGraph:
    """A slow dependency graph that recomputes every value from a dictionary of jobs."""

    def __init__(self) -> None:
        self.dependencies: dict[str, tuple[str, ...]] = {}
        self.own: dict[str, OwnPriority] = {}
        self.state: dict[str, str] = {}

    def ready(self, job_id: str) -> bool:
        return all(self.state[dependency] == "done" for dependency in self.dependencies[job_id])

    def depends_on_cancelled(self, job_id: str) -> bool:
        return any(
            self.state[dependency] == "cancelled"
            or (self.state[dependency] == "active" and self.depends_on_cancelled(dependency))
            for dependency in self.dependencies[job_id]
        )

    def _dependents(self, job_id: str) -> list[str]:
        return [
            other
            for other, dependencies in self.dependencies.items()
            if job_id in dependencies and self.state[other] == "active"
        ]

    def level(self, job_id: str) -> int:
        return min([self.own[job_id].level, *(self.level(other) for other in self._dependents(job_id))])

    def required_finish(self, job_id: str) -> float:
        """Return when a job must be done so that its dependents can meet their deadlines."""
        others = self._dependents(job_id)
        return min(
            (
                min(self.own[other].deadline, self.required_finish(other)) - self.own[other].estimated_run_s
                for other in others
            ),
            default=NO_DEADLINE,
        )


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_dependency_graph_agrees_with_the_reference_graph(data: st.DataObject) -> None:
    graph, reference = DependencyGraph(), ReferenceGraph()
    for number in range(data.draw(st.integers(1, 25))):
        active = sorted(job_id for job_id, state in reference.state.items() if state == "active")
        action = data.draw(st.sampled_from(["add", "add", "done", "cancel"]))
        if action == "add" or not active:
            job_id = f"j{number:02d}"
            own = OwnPriority(
                data.draw(st.integers(0, 3)),
                data.draw(st.sampled_from([NO_DEADLINE, 50.0, 70.0, 100.0])),
                data.draw(st.sampled_from([0.0, 8.0, 20.0])),
            )
            some = st.lists(st.sampled_from(sorted(reference.state)), unique=True, max_size=4)
            dependencies = tuple(data.draw(some)) if reference.state else ()
            reference.dependencies[job_id], reference.own[job_id], reference.state[job_id] = (
                dependencies,
                own,
                "active",
            )
            unmet = [dependency for dependency in dependencies if reference.state[dependency] != "done"]
            graph.add(
                job_id,
                dependencies,
                unmet,
                own,
                any(reference.state[dependency] == "cancelled" for dependency in dependencies),
            )
        elif action == "done":
            ready = [job_id for job_id in active if reference.ready(job_id)]
            if ready:
                job_id = data.draw(st.sampled_from(ready))
                before = {other for other in active if reference.ready(other)}
                reference.state[job_id] = "done"
                freed = graph.record_done(job_id)
                graph.remove(job_id)
                assert set(freed) == {other for other in active if reference.ready(other)} - before
        else:
            job_id = data.draw(st.sampled_from(active))
            reference.state[job_id] = "cancelled"
            graph.record_cancelled(job_id)
            graph.remove(job_id)
        for job_id, state in reference.state.items():
            if state == "active":
                assert graph.dependencies_met(job_id) == reference.ready(job_id)
                assert (job_id in graph.pending_cancellations) == reference.depends_on_cancelled(job_id)
                assert graph.inherited_priority(job_id).level == reference.level(job_id)
                assert graph.inherited_priority(job_id).deadline == reference.required_finish(job_id)


def test_deep_chains_and_wide_fan_outs_do_not_recurse() -> None:
    graph = DependencyGraph()
    chain = [f"c{number}" for number in range(5000)]
    for before, job_id in zip([None, *chain], chain, strict=False):
        graph.add(job_id, [before] if before else [], [before] if before else [], OwnPriority(3))
    graph.add("urgent", [chain[-1]], [chain[-1]], OwnPriority(0, 100.0))
    assert graph.inherited_priority(chain[0]) == InheritedPriority(0, 100.0)
    for number in range(2000):
        graph.add(f"f{number}", [chain[0]], [chain[0]], OwnPriority(2))
    graph.record_cancelled(chain[0])
    graph.remove(chain[0])
    assert len(graph.pending_cancellations) == 4999 + 1 + 2000


@given(
    st.sets(
        st.one_of(
            st.integers(0, 999_999).map(lambda number: f"req-{number:06d}"), st.from_regex(r"\Areq-[0-9]{1,18}\Z")
        )
    )
)
def test_job_ids_round_trip(ids: set[str]) -> None:
    assert set(decode_job_ids(encode_job_ids(tuple(ids)))) == ids


def test_dependencies_of_a_submission_are_validated() -> None:
    nothing: list[str] | None
    for nothing in (None, []):
        assert parse_submission(raw_job(1, tows=nothing)).dependencies is None
    assert parse_submission(raw_job(1)).dependencies is None
    twice = parse_submission(raw_job(9, tows=["req-000002", "req-000001", "req-000002"]))
    assert twice.dependencies == ("req-000002", "req-000001")
    for wrong in ("req-000001", [1], ["nonsense"], {"a": 1}, [None], [["req-000001"]]):
        with pytest.raises(InvalidFieldError) as caught:
            parse_submission(raw_job(9, tows=wrong))
        assert caught.value.field == "tows"


# In the reference model.


def submit_chain(model: ReferenceModel, first: int, stages: int = 3, **last: object) -> list[str]:
    """Submit a chain of jobs, each dependent on the previous one; `last` changes the last job. Return the job ids."""
    ids: list[str] = []
    for number in range(first, first + stages):
        more = last if number == first + stages - 1 else {}
        spec = job(number, hands=2, voyageS=5.0, cores=1.0, tows=ids[-1:], **more)
        model.submit(spec)
        model.run(1.0)
        ids.append(spec.id)
    return ids


def known_states(scheduler: Scheduler, job_ids: list[str]) -> set[str]:
    """Return the states of those jobs that the scheduler knows."""
    views = [scheduler.admission.lookup(job_id) for job_id in job_ids]
    return {status.state for status in views if status is not None}


def test_chain_runs_in_order_and_pending_stages_are_not_queued() -> None:
    """`ReferenceModel` raises if a task starts before all dependencies of its job are done."""
    model = ReferenceModel(3, platform(), MACHINE_TYPES)
    model.elect()
    ids = submit_chain(model, 1, 4)
    assert model.leader.scheduler.layout.version_2_active, (
        "dependencies are accepted only once all controllers support data version 2"
    )
    assert [model.statuses[job_id] for job_id in ids[1:]] == ["pending"] * 3
    queued = model.leader.scheduler.queue.queued()
    assert not {job.id for job in queued.jobs} & set(ids[1:]) and not queued.order.guaranteed & set(ids[1:])
    model.leader.crashed = True
    model.elect("b")
    model.settle()
    assert set(model.states().values()) == {"done"}


def test_cancellation_propagates_to_dependents_also_under_the_next_leader() -> None:
    model = ReferenceModel(4, platform(), MACHINE_TYPES)
    model.elect()
    chains = [submit_chain(model, 1, 4), submit_chain(model, 11, 4)]
    model.cancel(chains[0][0])
    model.run(0.5)
    assert model.statuses[chains[0][0]] == "cancelled"
    scheduler = model.leader.scheduler
    assert {status.state for job_id in chains[0] if (status := scheduler.admission.lookup(job_id)) is not None} == {
        "cancelled"
    }
    # The next leader finishes the cancellation from the stored records.
    model.leader.crashed = True
    model.elect("b")
    assert known_states(model.leader.scheduler, chains[0]) <= {"cancelled"}
    model.run(20.0)
    assert [model.states()[job_id] for job_id in chains[0]] == ["cancelled"] * 4
    late = job(30, hands=1, tows=[chains[0][2]])
    model.submit(late)
    model.run(2.0)
    assert model.statuses[late.id] == "cancelled", "a job that depends on a cancelled one is accepted and cancelled"
    model.settle()
    assert [model.states()[job_id] for job_id in chains[1]] == ["done"] * 4


def test_next_leader_finishes_a_partly_committed_cancellation() -> None:
    """The store holds the dependents of a cancelled job as active, while the job's own record is already deleted."""
    model = ReferenceModel(6, platform(txn_ops=4), MACHINE_TYPES)
    model.elect()
    # No machine has 8 GPUs: the job has no task on a machine, so its record is replaced at once.
    ids = submit_chain(model, 1, 1, accelerators=8.0)
    for number in range(2, 12):
        model.submit(job(number, hands=1, tows=ids))
    model.run(5.0)
    model.cancel(ids[0])
    while model.statuses[ids[0]] != "cancelled":
        model.step(0.01)
    model.leader.crashed = True
    left = [key for key in model.store.data if key.startswith("driftcleat/jobs/")]
    assert len(left) > 5 and f"driftcleat/jobs/{ids[0]}" not in left, "the records of the dependents are still there"
    model.elect("b")
    assert {
        model.leader.scheduler.admission.lookup(f"req-{number:06d}").state  # type: ignore[union-attr]
        for number in range(2, 12)
    } == {"cancelled"}
    model.run(10.0)
    assert not [key for key in model.store.data if key.startswith("driftcleat/jobs/")]


def test_dependencies_inherit_the_priority_of_an_urgent_job() -> None:
    model = ReferenceModel(5, platform(), MACHINE_TYPES)
    model.elect()
    ids = submit_chain(model, 1, 3, rank="critical")
    jobs = model.leader.scheduler.cluster.jobs
    assert {jobs[job_id].priority_level for job_id in ids if job_id in jobs} == {0}
    model.leader.crashed = True
    model.elect("b")
    jobs = model.leader.scheduler.cluster.jobs
    assert {jobs[job_id].priority_level for job_id in ids if job_id in jobs} == {0}
    model.cancel(ids[2])
    model.run(2.0)
    jobs = model.leader.scheduler.cluster.jobs
    assert {jobs[job_id].priority_level for job_id in ids if job_id in jobs} <= {2}


def test_deadline_propagates_to_the_first_stage_of_a_chain() -> None:
    """Only the last stage has a deadline, which counts from its own submission.

    A first stage that must start soon to meet it precedes an older job of the same priority; without the deadline it
    does not.
    """
    model = ReferenceModel(9, platform(), MACHINE_TYPES)
    model.elect()
    # No machine has 8 GPUs, so all jobs stay queued.
    wide = {"hands": 1, "cores": 1.0, "accelerators": 8.0, "voyageS": 10.0}
    model.submit(job(1, **wide))
    model.run(5.0)
    model.submit(job(2, **wide))
    model.submit(job(3, **wide, tows=["req-000002"]))
    model.run(1.0)
    queued = model.leader.scheduler.queue.queued
    assert [found.id for found in queued().jobs] == ["req-000001", "req-000002"]
    model.run(4.0)
    model.submit(job(4, **wide, tows=["req-000003"], tideS=50.0))
    model.run(1.0)
    jobs = model.leader.scheduler.cluster.jobs
    submitted_at = jobs["req-000004"].submitted_at
    assert jobs["req-000002"].start_deadline == submitted_at + 50.0 - 3 * 10.0
    assert [found.id for found in queued().jobs] == ["req-000002", "req-000001"]
    model.leader.crashed = True
    model.elect("b")
    assert [found.id for found in model.leader.scheduler.queue.queued().jobs] == ["req-000002", "req-000001"]
    model.cancel("req-000004")
    model.run(1.0)
    assert [found.id for found in model.leader.scheduler.queue.queued().jobs] == ["req-000001", "req-000002"]


@pytest.mark.parametrize("seed", range(12))
def test_random_dependency_graphs_break_no_invariant(seed: int) -> None:
    """Random graphs, cancellations and leader changes, with small limits on the changes in a transaction."""
    rng = random.Random(seed)
    model = ReferenceModel(seed, platform(txn_ops=rng.choice([4, 8, 24])), MACHINE_TYPES)
    model.elect()
    model.fault_rate = rng.choice([0.0, 0.3])
    for number in range(1, 41):
        known = sorted(model.statuses)
        dependencies = rng.sample(known, min(len(known), rng.randrange(4)))
        model.submit(
            job(
                number,
                hands=rng.choice([1, 2, 3]),
                cores=1.0,
                accelerators=0.5,
                rig=rng.choice(["array", "array", "group"]),
                crew=rng.choice(["red", "blue"]),
                rank=rng.choice(["high", "standard", "best_effort"]),
                voyageS=rng.choice([2.0, 8.0]),
                tows=dependencies,
            )
        )
        if known and rng.random() < 0.15:
            model.cancel(rng.choice(known))
        if rng.random() < 0.1:
            model.leader.crashed = rng.random() < 0.7
            model.elect(rng.choice("abc"))
        if model.leader.stepped_down:
            model.elect()
        model.run(rng.uniform(0.2, 3.0))
        model.poll_all()
    model.settle()
    assert set(model.states().values()) <= {"done", "cancelled"} and model.task_starts > 10
