"""The checker of histories names each planted fault, and nothing else."""

from collections.abc import Sequence

import pytest

from driftcleat.settings import Team
from driftcleat.sharing.quota import Amount, QuotaAllocation
from tools.shares.checker import Checker, Violation
from tools.shares.history import (
    Event,
    HeartbeatAnswered,
    HistoryEnded,
    LeaderElected,
    LeaseExpired,
    MachineAssigned,
    MachineDeleted,
    QuotaAllocated,
    StateReported,
    TaskStarted,
    TaskStopped,
)

TEAMS = {"red": Team("red", 0.0, 0.0, 0.0, 4.0)}

# A history in which nothing is wrong: two shares, one of them moves; a job runs, one is cancelled in time.
GOOD: list[Event] = [
    LeaderElected(0.0, 0, "a", 1),
    LeaderElected(0.1, 1, "b", 2),
    MachineAssigned(0.2, "m1", 0),
    MachineAssigned(0.2, "m2", 1),
    QuotaAllocated(0.3, "red", QuotaAllocation((Amount(0.0, 2.0), Amount(0.0, 2.0)))),
    HeartbeatAnswered(1.0, "m1", 1),
    HeartbeatAnswered(1.0, "m2", 2),
    StateReported(1.1, "j1", "pending", 2, 1.1),
    StateReported(1.1, "j2", "pending", 1, 1.1),
    TaskStarted(1.5, "m1", "j1", 0, "red", 2.0),
    TaskStarted(1.5, "m2", "j1", 1, "red", 1.0),
    TaskStarted(1.6, "m2", "j2", 0, "red", 1.0),
    LeaderElected(2.0, 1, "c", 9),
    HeartbeatAnswered(3.0, "m1", 1),
    HeartbeatAnswered(3.0, "m2", 9),
    StateReported(3.1, "j2", "cancelled", 1, 3.1),
    TaskStopped(4.0, "m2", "j2", 0, False),
    TaskStopped(4.5, "m1", "j1", 0, True),
    TaskStopped(4.6, "m2", "j1", 1, True),
    StateReported(4.8, "j1", "done", 2, 4.8),
    HeartbeatAnswered(5.0, "m1", 1),
    HeartbeatAnswered(5.0, "m2", 9),
    MachineDeleted(5.5, "m1"),
    HistoryEnded(7.0, (), ()),
]


def findings(history: Sequence[Event]) -> list[Violation]:
    checker = Checker(TEAMS, max_unanswered_s=3.0, cancel_s=4.0)
    for event in sorted(history, key=lambda event: event.at):
        checker.observe(event)
    return [finding.violation for finding in checker.findings]


def without(*gone: Event) -> list[Event]:
    return [event for event in GOOD if event not in gone]


def test_valid_history_has_no_findings() -> None:
    assert findings(GOOD) == []
    # An answer that was under way when the user was told.
    assert findings([*GOOD, StateReported(5.0, "j1", "running", 2, 4.7)]) == []
    # A lease that ran out in a trouble is counted and not called broken: its tasks may start elsewhere.
    again = [*GOOD, LeaseExpired(5.6, "m2"), TaskStopped(5.6, "m2", "j1", 1, False)]
    assert findings(again) == []


@pytest.mark.parametrize(
    ("history", "violation"),
    [
        ([*GOOD, HeartbeatAnswered(5.1, "m2", 1)], Violation.TWO_OWNERS),
        ([*GOOD, HeartbeatAnswered(5.1, "m2", 77)], Violation.TWO_OWNERS),
        ([*GOOD, MachineAssigned(2.5, "m2", 0)], Violation.MOVED_MACHINE),
        (without(HeartbeatAnswered(3.0, "m2", 9)), Violation.NO_OWNER),
        ([*GOOD, TaskStarted(1.7, "m1", "j2", 0, "red", 0.0)], Violation.RAN_TWICE),
        ([*GOOD, TaskStarted(1.7, "m1", "j3", 0, "red", 1.0)], Violation.QUOTA),
        (
            [*GOOD, QuotaAllocated(2.0, "red", QuotaAllocation((Amount(0.0, 2.0), Amount(0.0, 2.5))))],
            Violation.OVER_ALLOCATED,
        ),
        (
            [*without(TaskStopped(4.0, "m2", "j2", 0, False)), TaskStopped(7.2, "m2", "j2", 0, False)],
            Violation.RAN_CANCELLED,
        ),
        ([*GOOD, TaskStarted(7.5, "m2", "j2", 0, "red", 1.0)], Violation.RAN_CANCELLED),
        (
            [*without(TaskStopped(4.6, "m2", "j1", 1, True)), TaskStopped(4.6, "m2", "j1", 1, False)],
            Violation.NOT_DONE,
        ),
        ([*GOOD, StateReported(6.0, "j1", "running", 2, 6.0)], Violation.WENT_BACK),
        ([*GOOD, StateReported(6.0, "j2", "done", 1, 6.0)], Violation.WENT_BACK),
        ([*without(GOOD[-1]), HistoryEnded(7.0, ("j1",), ())], Violation.FORGOTTEN),
        ([*without(GOOD[-1]), HistoryEnded(7.0, (), ("j1",))], Violation.FORGOTTEN),
    ],
)
def test_each_injected_violation_is_found_and_no_other(history: list[Event], violation: Violation) -> None:
    found = findings(history)
    # A final state that changes to another may be wrong in itself as well.
    assert set(found) == {violation} or (
        violation is Violation.WENT_BACK and set(found) == {violation, Violation.NOT_DONE}
    )


def test_cancelled_task_that_never_stops_is_found_at_the_end() -> None:
    history = [
        *without(TaskStopped(4.0, "m2", "j2", 0, False), GOOD[-1]),
        HeartbeatAnswered(7.0, "m2", 9),
        HistoryEnded(8.0, (), ()),
    ]
    assert findings(history) == [Violation.RAN_CANCELLED]
