"""The checker of histories names each planted fault, and nothing else."""

from collections.abc import Sequence

import pytest

from driftcleat.settings import Team
from driftcleat.sharing.quota import Amount, QuotaAllocation
from tools.shares.checker import Broken, Checker
from tools.shares.history import (
    Allotted,
    Answered,
    Ended,
    Event,
    Lapsed,
    Led,
    MachineAssigned,
    MachineEnded,
    Started,
    Stopped,
    Told,
)

TEAMS = {"red": Team("red", 0.0, 0.0, 0.0, 4.0)}

# A history in which nothing is wrong: two shares, one of them moves; a job runs, one is cancelled in time.
GOOD: list[Event] = [
    Led(0.0, 0, "a", 1),
    Led(0.1, 1, "b", 2),
    MachineAssigned(0.2, "m1", 0),
    MachineAssigned(0.2, "m2", 1),
    Allotted(0.3, "red", QuotaAllocation((Amount(0.0, 2.0), Amount(0.0, 2.0)))),
    Answered(1.0, "m1", 1),
    Answered(1.0, "m2", 2),
    Told(1.1, "j1", "pending", 2, 1.1),
    Told(1.1, "j2", "pending", 1, 1.1),
    Started(1.5, "m1", "j1", 0, "red", 2.0),
    Started(1.5, "m2", "j1", 1, "red", 1.0),
    Started(1.6, "m2", "j2", 0, "red", 1.0),
    Led(2.0, 1, "c", 9),
    Answered(3.0, "m1", 1),
    Answered(3.0, "m2", 9),
    Told(3.1, "j2", "cancelled", 1, 3.1),
    Stopped(4.0, "m2", "j2", 0, False),
    Stopped(4.5, "m1", "j1", 0, True),
    Stopped(4.6, "m2", "j1", 1, True),
    Told(4.8, "j1", "done", 2, 4.8),
    Answered(5.0, "m1", 1),
    Answered(5.0, "m2", 9),
    MachineEnded(5.5, "m1"),
    Ended(7.0, (), ()),
]


def findings(history: Sequence[Event]) -> list[Broken]:
    checker = Checker(TEAMS, silence_s=3.0, cancel_s=4.0)
    for event in sorted(history, key=lambda event: event.at):
        checker.take(event)
    return [finding.broken for finding in checker.findings]


def without(*gone: Event) -> list[Event]:
    return [event for event in GOOD if event not in gone]


def test_nothing_is_found_in_a_good_history() -> None:
    assert findings(GOOD) == []
    # An answer that was under way when the user was told.
    assert findings([*GOOD, Told(5.0, "j1", "running", 2, 4.7)]) == []
    # A lease that ran out in a trouble is counted and not called broken: its tasks may start elsewhere.
    again = [*GOOD, Lapsed(5.6, "m2"), Stopped(5.6, "m2", "j1", 1, False)]
    assert findings(again) == []


@pytest.mark.parametrize(
    ("history", "broken"),
    [
        ([*GOOD, Answered(5.1, "m2", 1)], Broken.TWO_OWNERS),
        ([*GOOD, Answered(5.1, "m2", 77)], Broken.TWO_OWNERS),
        ([*GOOD, MachineAssigned(2.5, "m2", 0)], Broken.MOVED_MACHINE),
        (without(Answered(3.0, "m2", 9)), Broken.NO_OWNER),
        ([*GOOD, Started(1.7, "m1", "j2", 0, "red", 0.0)], Broken.RAN_TWICE),
        ([*GOOD, Started(1.7, "m1", "j3", 0, "red", 1.0)], Broken.QUOTA),
        ([*GOOD, Allotted(2.0, "red", QuotaAllocation((Amount(0.0, 2.0), Amount(0.0, 2.5))))], Broken.OVER_ALLOTTED),
        ([*without(Stopped(4.0, "m2", "j2", 0, False)), Stopped(7.2, "m2", "j2", 0, False)], Broken.RAN_CANCELLED),
        ([*GOOD, Started(7.5, "m2", "j2", 0, "red", 1.0)], Broken.RAN_CANCELLED),
        ([*without(Stopped(4.6, "m2", "j1", 1, True)), Stopped(4.6, "m2", "j1", 1, False)], Broken.NOT_DONE),
        ([*GOOD, Told(6.0, "j1", "running", 2, 6.0)], Broken.WENT_BACK),
        ([*GOOD, Told(6.0, "j2", "done", 1, 6.0)], Broken.WENT_BACK),
        ([*without(GOOD[-1]), Ended(7.0, ("j1",), ())], Broken.FORGOTTEN),
        ([*without(GOOD[-1]), Ended(7.0, (), ("j1",))], Broken.FORGOTTEN),
    ],
)
def test_each_planted_fault_is_named_and_nothing_else(history: list[Event], broken: Broken) -> None:
    found = findings(history)
    # A final state that changes to another may be wrong in itself as well.
    assert set(found) == {broken} or (broken is Broken.WENT_BACK and set(found) == {broken, Broken.NOT_DONE})


def test_a_task_of_a_cancelled_job_that_is_never_stopped_is_found_in_the_end() -> None:
    history = [*without(Stopped(4.0, "m2", "j2", 0, False), GOOD[-1]), Answered(7.0, "m2", 9), Ended(8.0, (), ())]
    assert findings(history) == [Broken.RAN_CANCELLED]
