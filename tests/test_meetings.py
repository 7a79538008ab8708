"""Where two troubles meet: the meetings of docs/meetings.md that no other test brings about, on a simulated site."""

from collections.abc import Awaitable, Callable

from driftcleat.leadership import Role
from driftcleat.store.records import ScaleOutRecord

from .samples import raw_job
from .simulation import LABELS, Simulation


def played(seed: int = 1) -> Callable[[Callable[[Simulation], Awaitable[None]]], Callable[[], None]]:
    """Play a test's story on a site of its own."""

    def decorate(story: Callable[[Simulation], Awaitable[None]]) -> Callable[[], None]:
        def run() -> None:
            Simulation(seed).play(story)

        run.__name__, run.__doc__ = story.__name__, story.__doc__
        return run

    return decorate


async def services(sim: Simulation, count: int = 2) -> list[str]:
    """Return services of two replicas that run."""
    ids = [f"req-{number:06d}" for number in range(1, count + 1)]
    for number in range(1, count + 1):
        sim.hand_in(raw_job(number, rig="daemon", hands=2, voyageS=0.0, crew=("red", "blue")[number % 2]))
    await sim.until(lambda: len(sim.on_machines()) == 2 * count)
    await sim.rest(4.0)
    return ids


def on_machines(sim: Simulation, job_id: str) -> int:
    """Return how many tasks of a job are on machines."""
    return sum(task.job.id == job_id for _, task in sim.on_machines())


def others(*labels: str | None) -> list[str]:
    """Return the other controllers."""
    return [label for label in LABELS if label not in labels]


async def next_leader(sim: Simulation, *before: str | None) -> str:
    """Wait for a leader that is none of these."""
    return str(await sim.until(lambda: label if (label := sim.lead()) not in (None, *before) else None))


async def hand_over(sim: Simulation) -> str:
    """The leader ends and another leads; return the one that ended."""
    old = str(sim.lead())
    sim.end(old)
    await next_leader(sim, old)
    return old


async def gone_in_time(sim: Simulation, *job_ids: str) -> None:
    """All tasks of cancelled jobs are gone when the time of their cancellations is up; `Simulation` watches, too."""
    for job_id in job_ids:
        assert sim.told[job_id] == "cancelled"
    await sim.rest(max(sim.cancelled_at.values()) + sim.platform.cancel_s - sim.time() + 1.0)
    assert not any(on_machines(sim, job_id) for job_id in job_ids)


def stay_with(sim: Simulation, label: str) -> None:
    """Every worker reaches this controller alone."""
    for worker in sim.alive():
        sim.attached[worker.name] = label
        worker.only = label  # type: ignore[attr-defined]


# -- the gap -------------------------------------------------------------------------------------------------


@played()
async def test_who_led_before_gives_up_once_a_peer_knows_a_higher_token(sim: Simulation) -> None:
    """The gap: the store refuses the leader alone.

    The next confirms cancellations and is then refused like all, while workers report to the old one. All peers
    are refused, yet one of them has led since.

    The cloud is down, so the new leader has no address to show its token to.
    """
    ids = await services(sim)
    old = sim.lead()
    assert old is not None
    sim.cloud_up = False
    stay_with(sim, old)
    sim.state.down_for.add(old)
    new = await next_leader(sim, old)
    for job_id in ids:
        await sim.call_off(job_id, new)
    sim.state.down_for.add("all")
    await gone_in_time(sim, *ids)
    assert sim.role(new) is Role.UNCONFIRMED_LEADER, "it kept what it had to keep"
    await sim.settle_down()


@played()
async def test_a_leader_goes_on_if_the_outage_comes_before_another_could_lead(sim: Simulation) -> None:
    """Guards against work that ends with its leases: the leader gave up as soon as a peer was served."""
    await services(sim)
    old = sim.lead()
    assert old is not None
    before = {(worker.name, task.job.id, task.attempt) for worker, task in sim.on_machines()}
    sim.state.down_for.add(old)
    await sim.until(lambda: sim.role(old) is Role.UNCONFIRMED_LEADER)
    await sim.rest(0.1)
    sim.state.down_for.add("all")
    await sim.rest(sim.platform.cancel_s + 10.0)
    assert sim.role(old) is Role.UNCONFIRMED_LEADER
    assert before == {(worker.name, task.job.id, task.attempt) for worker, task in sim.on_machines()}
    await sim.settle_down()


@played()
async def test_peers_that_were_started_since_confirm_nothing(sim: Simulation) -> None:
    """Controllers hand over, all but the old leader end and are back at once, inside an outage.

    Who was the leader and confirmed a cancellation has forgotten it, and the old one is told of no higher token.
    """
    ids = await services(sim)
    old = sim.lead()
    assert old is not None
    sim.cloud_up = False
    stay_with(sim, old)
    sim.part(old)
    sim.state.down_for.add(old)
    new = await next_leader(sim, old)
    for job_id in ids:
        await sim.call_off(job_id, new)
    sim.state.down_for.add("all")
    for label in others(old):
        sim.end(label)
        sim.start(label)
    sim.apart.clear()
    await gone_in_time(sim, *ids)
    await sim.settle_down()


@played()
async def test_two_bounds_in_turn_do_not_add_up(sim: Simulation) -> None:
    """A zone with the leader, a follower and workers is cut off.

    The next leader outside confirms cancellations. The old one keeps the leases to its bound, and the follower
    must not begin one of its own then. The cloud is down.
    """
    ids = await services(sim)
    old = sim.lead()
    assert old is not None
    mate, outside = others(old)
    sim.cloud_up = False
    sim.part(outside)
    sim.away_from["store"].update((old, mate))
    sim.away_from["workers"].add(outside)
    assert await next_leader(sim, old, mate) == outside
    for job_id in ids:
        await sim.call_off(job_id, outside)
    await gone_in_time(sim, *ids)
    assert sim.controllers[mate].election.lease_keeping_token is None
    await sim.settle_down()


@played()
async def test_an_unsure_leader_carries_committed_cancellations_out(sim: Simulation) -> None:
    """The next leader confirms and is refused before it has heard one worker.

    They all stay with the old one, cut off from everybody but them: it still lists the machines, shows them its
    token and stops the tasks.
    """
    ids = await services(sim)
    old = sim.lead()
    assert old is not None
    for worker in sim.alive():
        sim.attached[worker.name] = old
    sim.cut_off(old)
    new = await next_leader(sim, old)
    for job_id in ids:
        await sim.call_off(job_id, new)
    sim.state.down_for.add("all")
    assert len(sim.on_machines()) == 4, "nothing could be stopped yet"
    await sim.rest(sim.platform.report_s * 4)
    assert not sim.on_machines(), "long before the old leader's bound"
    assert sim.role(new) is Role.UNCONFIRMED_LEADER
    await sim.settle_down()


@played()
async def test_an_unsure_leader_fences_a_hanging_machine(sim: Simulation) -> None:
    """A cancelled task on a machine that hangs for longer than a cancellation has, inside an outage of the store."""
    ids = await services(sim)
    leader = sim.lead()
    for worker, task in sim.on_machines():
        if task.job.id == ids[0]:
            worker.hung = True
    idle = [worker.name for worker in sim.alive() if not worker.hung]
    await sim.call_off(ids[0])
    sim.state.down_for.add("all")
    await gone_in_time(sim, ids[0])
    assert sim.role(str(leader)) is Role.UNCONFIRMED_LEADER
    assert [worker.name for worker in sim.alive()] == idle, "it decides nothing else"
    assert on_machines(sim, ids[1]) == (2 if idle else 0)
    await sim.settle_down()


@played()
async def test_a_cancelled_task_that_has_left_needs_no_fence(sim: Simulation) -> None:
    """Guards against machines returned for tasks long gone, while the batch that would say so waits for the store."""
    ids = await services(sim)
    machines = {worker.name for worker in sim.alive()}
    lapsed = next(worker for worker, task in sim.on_machines() if task.job.id == ids[0])
    await sim.call_off(ids[0])
    # One machine does not even report the exits: it is back with a new session and no tasks.
    lapsed.restart()
    sim.state.down_for.add("all")
    await gone_in_time(sim, ids[0])
    assert {worker.name for worker in sim.alive()} == machines
    await sim.until(lambda: on_machines(sim, ids[1]) == 2)
    await sim.settle_down()


@played()
async def test_a_cancellation_whose_batch_has_no_answer_is_carried_out(sim: Simulation) -> None:
    """The store takes the cancellation.

    Refuses the leader alone before it hears so, and is down for all a second later. A follower has read the
    record and told the user.
    """
    ids = await services(sim)
    leader = sim.lead()
    assert leader is not None
    sim.lost_answers.add(leader)
    sim.call_off(ids[0], leader)
    await sim.rest(0.1)
    sim.state.down_for.add(leader)
    await sim.until(lambda: sim.role(leader) is Role.UNCONFIRMED_LEADER)
    assert await sim.poll(ids[0], others(leader)[0]) == 200 and sim.told[ids[0]] == "cancelled"
    sim.state.down_for.add("all")
    await gone_in_time(sim, ids[0])
    assert sim.role(leader) is Role.UNCONFIRMED_LEADER and on_machines(sim, ids[1]) == 2
    sim.lost_answers.clear()
    await sim.settle_down()


@played()
async def test_a_leader_that_may_be_followed_starts_nothing(sim: Simulation) -> None:
    """The old leader has placed a job whose start has not gone out, loses store and peers.

    The next confirms the job's cancellation. A machine that still reports to the old one must not be told to
    start it.
    """
    await services(sim, 1)
    old = sim.lead()
    assert old is not None
    for worker in sim.alive():
        worker.deaf = True
    sim.hand_in(raw_job(9, hands=1, voyageS=50.0, crew="blue"))
    cluster = sim.controllers[old].scheduler.cluster  # type: ignore[union-attr]
    await sim.until(lambda: "req-000009" in cluster.jobs and cluster.jobs["req-000009"].placements)
    sim.cut_off(old)
    sim.away_from["workers"].update(others(old))
    new = await next_leader(sim, old)
    await sim.call_off("req-000009", new)
    for worker in sim.alive():
        worker.deaf = False
        sim.attached[worker.name] = old
    await sim.rest(sim.platform.lease_s)
    assert not sim.starts_after_cancel
    await sim.settle_down()


@played()
async def test_the_lease_of_a_machine_that_missed_a_stop_is_not_kept_once_more(sim: Simulation) -> None:
    """A cancelled task's machine hears nothing for a while.

    Then the leader ends, inside an outage of the store and the cloud. The isolated follower keeps leases from its
    last contact on, but not this machine's.
    """
    ids = await services(sim)
    leader = sim.lead()
    assert leader is not None
    sim.cloud_up = False
    for worker, task in sim.on_machines():
        if task.job.id == ids[0]:
            worker.deaf = True
    await sim.call_off(ids[0])
    await sim.rest(6.0)
    sim.state.down_for.add("all")
    sim.end(leader)
    for worker in sim.alive():
        worker.deaf = False
    await gone_in_time(sim, ids[0])
    await sim.settle_down()


@played()
async def test_a_restarted_follower_keeps_no_leases_on_hearsay(sim: Simulation) -> None:
    """It has learnt the last leader's token from a peer and never heard a leader itself.

    How old what it would keep is, it cannot know.
    """
    ids = await services(sim)
    leader = sim.lead()
    assert leader is not None
    back, witness = others(leader)
    sim.cloud_up = False
    await sim.call_off(ids[0])
    for worker in sim.alive():
        worker.deaf = True
    sim.state.down_for.add("all")
    sim.end(leader, back)
    await sim.rest(8.0)
    sim.start(back)
    await sim.until(lambda: sim.up(back))
    sim.controllers[back].election.observe_leader(leader, sim.controllers[witness].election.leader_fencing_token)
    sim.part(back)
    for worker in sim.alive():
        worker.deaf = False
    stay_with(sim, back)
    await sim.rest(4.0)
    assert sim.controllers[back].election.leader_fencing_token > 0
    assert sim.controllers[back].election.lease_keeping_token is None
    await gone_in_time(sim, ids[0])
    await sim.settle_down()


# -- a leader cut from the store and from the others ---------------------------------------------------------


@played()
async def test_a_leader_cut_off_with_its_workers_ends_in_a_cancellations_time(sim: Simulation) -> None:
    """Nobody else reaches the workers and the cloud is down: only the leader's own bound ends their leases."""
    ids = await services(sim)
    old = sim.lead()
    assert old is not None
    sim.cloud_up = False
    stay_with(sim, old)
    sim.cut_off(old)
    new = await next_leader(sim, old)
    for job_id in ids:
        await sim.call_off(job_id, new)
    await gone_in_time(sim, *ids)
    await sim.settle_down()


# -- many leaders, long absences -----------------------------------------------------------------------------


@played(3)
async def test_ten_leaders_in_two_minutes_and_an_outage_between(sim: Simulation) -> None:
    """Transactions of each may be carried out under the next ones; no batch of a term before may count."""
    sim.late_writes = 0.3
    for number in range(1, 7):
        sim.hand_in(
            raw_job(
                number,
                hands=2,
                rig=("array", "group")[number % 2],
                voyageS=60.0,
                crew=("red", "blue")[number % 2],
                cores=1.0,
            )
        )
    await sim.rest(6.0)
    leaders = set()
    for change in range(10):
        leader = sim.lead()
        if leader is not None:
            sim.end(leader)
        if change == 4:
            sim.state.down_for.add("all")
            sim.call_off("req-000003")
        await sim.rest(3.0)
        for label in LABELS:
            if label not in sim.processes:
                sim.start(label)
        if change == 6:
            sim.state.heal()
        await sim.rest(9.0)
        leaders.update({sim.controllers[label].election.fencing_token for label in LABELS if sim.lead() == label})
    assert len(leaders) >= 7
    await sim.settle_down()


@played()
async def test_all_controllers_away_for_longer_than_a_lease(sim: Simulation) -> None:
    """Leases end, sessions change: what ran is proven off by the new sessions and starts once more, once."""
    ids = await services(sim)
    for label in LABELS:
        sim.end(label)
    await sim.rest(sim.platform.lease_s + 3.0)
    assert not sim.on_machines()
    for label in LABELS:
        sim.start(label)
    await sim.until(lambda: len(sim.on_machines()) == 4)
    assert {task.job.id for _, task in sim.on_machines()} == set(ids)
    await sim.settle_down()


@played()
async def test_a_leader_ends_while_machines_cannot_be_reached(sim: Simulation) -> None:
    """Some are cut off, some do not hear the new leader, for less than a lease: their tasks are where they were."""
    await services(sim)
    before = {(worker.name, task.job.id, task.index, task.attempt) for worker, task in sim.on_machines()}
    holders = sorted({worker.name for worker, _ in sim.on_machines()})
    unreached, deaf = sim.workers[holders[0]], [sim.workers[name] for name in holders[1:]]
    unreached.cut = True
    for worker in deaf:
        worker.deaf = True
    await hand_over(sim)
    await sim.rest(4.0)
    unreached.cut = False
    for worker in deaf:
        worker.deaf = False
    await sim.rest(6.0)
    assert before == {(worker.name, task.job.id, task.index, task.attempt) for worker, task in sim.on_machines()}
    await sim.settle_down()


# -- the end of a job's last task ----------------------------------------------------------------------------


@played(5)
async def test_a_cancellation_a_question_and_a_repeat_meet_the_end_of_the_last_task(sim: Simulation) -> None:
    """Whatever is told first stays so; `Simulation` raises if an answer takes another back."""
    raws = {
        f"req-{number:06d}": raw_job(
            number, hands=1, voyageS=8.0, cores=0.5, accelerators=0.1, crew=("red", "blue")[number % 2]
        )
        for number in range(1, 31)
    }
    for raw in raws.values():
        sim.hand_in(raw)
    met: set[str] = set()

    def ended() -> list[str]:
        return [job_id for job_id, index in sorted(sim.finished) if job_id not in met]

    while len(met) < len(raws):
        await sim.until(ended)
        for job_id in ended():
            met.add(job_id)
            for wait_s in (0.0, 0.02, 0.06):
                sim.spawn(sim.poll(job_id))
                if len(met) % 3:
                    sim.call_off(job_id)
                sim.hand_in(raws[job_id])
                await sim.rest(wait_s)
    await sim.rest(5.0)
    for job_id in raws:
        await sim.poll(job_id)
    assert {"done", "cancelled"} >= set(sim.told.values()) and "done" in sim.told.values()
    await sim.settle_down()


@played()
async def test_tasks_that_end_far_apart_across_a_change_of_leader_run_once(sim: Simulation) -> None:
    sim.hand_in(raw_job(1, hands=3, voyageS=10.0, cores=1.0))
    sim.hand_in(raw_job(2, hands=2, voyageS=10.0, cores=1.0, crew="blue"))
    await sim.until(lambda: len(sim.on_machines()) == 5)
    for wait_s, (_, task) in enumerate(sim.on_machines()):
        task.until = sim.time() + 3.0 + 14.0 * (wait_s % 3)
    starts = sim.started
    for _ in range(3):
        await sim.rest(11.0)
        sim.start(await hand_over(sim))
    await sim.settle_down()
    assert sim.started == starts, "no task that was done started again"
    assert set(sim.told.values()) == {"done"}


# -- bound to a zone, at the limit ---------------------------------------------------------------------------


@played()
async def test_an_array_bound_to_one_zone_loses_machines(sim: Simulation) -> None:
    """Where some of its tasks may still be, the others must go: also while a machine cannot be asked."""
    sim.hand_in(raw_job(1, hands=4, voyageS=200.0, cores=16.0, accelerators=1.0, together=True))
    await sim.until(lambda: len(sim.on_machines()) == 4)
    await sim.rest(3.0)
    holders = sorted({worker.name for worker, _ in sim.on_machines()})
    zone = sim.workers[holders[0]].zone
    # No room is left in that zone: the cloud has no more, and a machine comes up in the other.
    sim.capacity = 0
    for worker in sim.alive():
        if worker.name not in holders[1:]:
            worker.gone = True
            worker.tasks.clear()
    assert sim.on_machines()
    await hand_over(sim)
    await sim.rest(25.0)
    sim.boot(ScaleOutRecord("big", "south" if zone == "north" else "north", False, 1, 0.0))
    await sim.rest(20.0)
    assert len(sim.on_machines()) < 4, "what was lost waits for its zone"
    sim.capacity = 14
    await sim.settle_down()
    assert sim.told["req-000001"] == "done"


@played()
async def test_a_team_at_its_limit_while_the_leader_changes(sim: Simulation) -> None:
    """Team red may use 8 GPUs and does.

    Some of its machines cannot be asked by the new leader, and a job of it is cancelled meanwhile. What may still
    be there counts, so nothing more of it starts.
    """
    sim.hand_in(raw_job(1, rig="daemon", hands=4, voyageS=0.0, accelerators=1.0, cores=1.0))
    sim.hand_in(raw_job(2, rig="daemon", hands=4, voyageS=0.0, accelerators=1.0, cores=1.0))
    await sim.until(lambda: len(sim.on_machines()) == 8)
    await sim.rest(3.0)
    for worker, task in sim.on_machines():
        if task.job.id == "req-000001":
            worker.cut = True
    old = sim.lead()
    sim.end(str(old))
    sim.hand_in(raw_job(3, hands=8, voyageS=10.0, accelerators=1.0, cores=1.0))
    await next_leader(sim, old)
    sim.call_off("req-000002")
    await sim.rest(20.0)
    await sim.settle_down()
    assert sim.told["req-000003"] == "done"


# -- the store's late answers, slow links --------------------------------------------------------------------


@played(7)
async def test_transactions_carried_out_late_change_nothing_newer(sim: Simulation) -> None:
    """They come after newer ones of the same controller; each batch is conditional on the one before it."""
    sim.late_writes = 0.4
    for number in range(1, 25):
        sim.hand_in(
            raw_job(
                number,
                hands=2,
                voyageS=8.0,
                rig=("array", "group", "array")[number % 3],
                cores=1.0,
                crew=("red", "blue")[number % 2],
            )
        )
        await sim.rest(2.0)
        if number % 4 == 0:
            sim.call_off(f"req-{number - 2:06d}")
        if number == 6:
            old = sim.lead()
            if old is not None:
                sim.end(old)
                sim.start(old)
    for _ in range(3):
        # What a leader reads must be what the one before it had committed.
        await sim.rest(13.0)
        sim.start(await hand_over(sim))
    await sim.settle_down()


@played()
async def test_a_machine_that_reaches_no_controller_hears_direct_commands(sim: Simulation) -> None:
    ids = await services(sim)
    for worker in sim.alive():
        worker.mute = True  # type: ignore[attr-defined]
    await sim.rest(1.0)
    await sim.call_off(ids[0])
    await sim.rest(sim.platform.lease_s / 4)
    assert not on_machines(sim, ids[0]) and on_machines(sim, ids[1]) == 2, "stopped, not lapsed"
    await sim.settle_down()


@played(2)
async def test_more_work_than_room_urgent_and_not_over_slow_links(sim: Simulation) -> None:
    """What is urgent begins within four minutes, what cannot be taken is told at once, all is done in the end."""
    sim.capacity, sim.slow_s, sim.held_commands = 4, 0.3, 0.1
    for number in range(1, 25):
        urgent = number % 6 == 0
        sim.hand_in(
            raw_job(
                number,
                hands=3 if urgent else 2,
                voyageS=12.0,
                cores=4.0,
                accelerators=1.0,
                rig="group" if urgent else "array",
                rank="high" if urgent else "best_effort",
                crew=("red", "blue")[number % 2],
            )
        )
        await sim.rest(0.5)
    begun = sim.time()
    urgent_jobs = {f"req-{number:06d}" for number in range(6, 25, 6)}
    await sim.until(lambda: urgent_jobs <= sim.begun, 240.0)
    assert sim.time() - begun < 240.0
    sim.capacity = 14
    await sim.settle_down()


# -- bad input -----------------------------------------------------------------------------------------------


@played()
async def test_bad_input_is_answered_at_once_during_troubles(sim: Simulation) -> None:
    """What can be told without the state service is told; else 503 with when to come back, and nothing is held."""
    ids = await services(sim, 1)
    lacking = {key: value for key, value in raw_job(7).items() if key != "crew"}
    calls = [
        ("POST", "/v1/jobs", b"{", {400}),
        ("POST", "/v1/jobs", {"nameId": "x"}, {400}),
        ("POST", "/v1/jobs", lacking, {400, 503}),
        ("POST", "/v1/jobs", raw_job(8, cores=99.0), {422, 503}),
        ("POST", "/v1/jobs", raw_job(9, rig="group", spread=True, together=True), {422, 503}),
        ("GET", "/v1/jobs", None, {405}),
        ("GET", "/v1/jobs/nonsense", None, {404}),
        ("GET", "/v1/jobs/req-000099", None, {404, 503}),
        ("POST", "/v1/jobs/req-000099/cancel", None, {404, 503}),
        ("GET", "/nowhere", None, {404}),
        ("POST", "/agent/beat", b"{}", {400, 421}),
    ]

    async def ask_all(certain: bool, without: str = "") -> None:
        for label in LABELS:
            for method, path, body, expected in calls:
                if path == without:
                    continue
                asked_at = sim.time()
                status, _ = await sim.ask(method, path, body, label)
                assert status in (expected - {503} if certain and path != "/agent/beat" else expected), (label, path)
                assert sim.time() - asked_at < sim.platform.report_s, (label, path)

    await ask_all(certain=True)
    leader = sim.lead()
    assert leader is not None
    sim.state.down_for.add(leader)
    await sim.rest(0.5)
    await ask_all(certain=False)
    sim.state.down_for.add("all")
    await sim.rest(3.0)
    await ask_all(certain=False)
    sim.state.heal()
    sim.slow_s = 0.5
    await sim.rest(5.0)
    # The question about an unknown job has a test of its own, below.
    await ask_all(certain=False, without="/v1/jobs/req-000099")
    assert set(sim.told) == set(ids)
    await sim.settle_down()


@played()
async def test_a_question_about_an_unknown_job_is_answered_in_time_while_the_store_is_slow(sim: Simulation) -> None:
    """Users wait 2 s: what cannot be said by then is 503, not silence.

    A follower waits for the leader's answer, and then reads two records itself: one deadline bounds the sum.
    """
    await services(sim, 1)
    sim.slow_s = 0.5
    await sim.rest(5.0)
    statuses = [(await sim.ask("GET", "/v1/jobs/req-000099", None, label))[0] for label in LABELS for _ in range(10)]
    assert set(statuses) <= {404, 503}, statuses


@played()
async def test_every_request_is_answered_before_its_user_gives_up_however_slow_the_store_is(sim: Simulation) -> None:
    """Users wait 2 s for an answer to a question and 5 s for one to a submission or cancellation.

    `Simulation.ask` as well (0: no answer). Looking up the job, each job that it needs and the decision count as
    one request.
    """
    leader = sim.lead()
    needs = [f"req-{number:06d}" for number in range(1, 25)]
    for number in range(1, 25):
        sim.hand_in(raw_job(number, hands=1, voyageS=1.0))
    while set(sim.told.values()) != {"done"} or len(sim.told) < len(needs):
        await sim.rest(1.0)
        for job_id in needs:
            await sim.poll(job_id, leader)
    # The next leader knows these jobs from the store alone.
    await hand_over(sim)
    sim.slow_s = 0.3
    await sim.rest(3.0)
    statuses = []
    for number, label in enumerate([label for label in LABELS if sim.up(label)] * 4, 100):
        path = f"/v1/jobs/req-{number:06d}"
        statuses.append((await sim.ask("POST", "/v1/jobs", raw_job(number, tows=needs), label))[0])
        statuses.append((await sim.ask("POST", f"{path}/cancel", None, label))[0])
        statuses.append((await sim.ask("GET", path, None, label))[0])
    assert 0 not in statuses, statuses
    assert 503 in statuses
