"""The history checker reports each injected violation, and no other."""

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

# A history without violations: of two shards one moves; one job completes, another is cancelled and stops in time.
VALID_HISTORY: list[Event] = [
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


def violations_in(history: Sequence[Event]) -> list[Violation]:
    checker = Checker(TEAMS, max_unanswered_s=3.0, cancel_s=4.0)
    for event in sorted(history, key=lambda event: event.at):
        checker.observe(event)
    return [finding.violation for finding in checker.findings]


def valid_history_without(*removed: Event) -> list[Event]:
    return [event for event in VALID_HISTORY if event not in removed]


def test_valid_history_has_no_findings() -> None:
    assert violations_in(VALID_HISTORY) == []
    # A response to a request that was sent before the user received the final state.
    assert violations_in([*VALID_HISTORY, StateReported(5.0, "j1", "running", 2, 4.7)]) == []
    # A lease that expires during a fault is counted but is no violation: its tasks may start elsewhere.
    history_with_expiry = [*VALID_HISTORY, LeaseExpired(5.6, "m2"), TaskStopped(5.6, "m2", "j1", 1, False)]
    assert violations_in(history_with_expiry) == []


@pytest.mark.parametrize(
    ("history", "violation"),
    [
        ([*VALID_HISTORY, HeartbeatAnswered(5.1, "m2", 1)], Violation.TWO_OWNERS),
        ([*VALID_HISTORY, HeartbeatAnswered(5.1, "m2", 77)], Violation.TWO_OWNERS),
        ([*VALID_HISTORY, MachineAssigned(2.5, "m2", 0)], Violation.MOVED_MACHINE),
        (valid_history_without(HeartbeatAnswered(3.0, "m2", 9)), Violation.NO_OWNER),
        ([*VALID_HISTORY, TaskStarted(1.7, "m1", "j2", 0, "red", 0.0)], Violation.RAN_TWICE),
        ([*VALID_HISTORY, TaskStarted(1.7, "m1", "j3", 0, "red", 1.0)], Violation.QUOTA),
        (
            [*VALID_HISTORY, QuotaAllocated(2.0, "red", QuotaAllocation((Amount(0.0, 2.0), Amount(0.0, 2.5))))],
            Violation.OVER_ALLOCATED,
        ),
        (
            [*valid_history_without(TaskStopped(4.0, "m2", "j2", 0, False)), TaskStopped(7.2, "m2", "j2", 0, False)],
            Violation.RAN_CANCELLED,
        ),
        ([*VALID_HISTORY, TaskStarted(7.5, "m2", "j2", 0, "red", 1.0)], Violation.RAN_CANCELLED),
        (
            [*valid_history_without(TaskStopped(4.6, "m2", "j1", 1, True)), TaskStopped(4.6, "m2", "j1", 1, False)],
            Violation.NOT_DONE,
        ),
        ([*VALID_HISTORY, StateReported(6.0, "j1", "running", 2, 6.0)], Violation.WENT_BACK),
        ([*VALID_HISTORY, StateReported(6.0, "j2", "done", 1, 6.0)], Violation.WENT_BACK),
        ([*valid_history_without(VALID_HISTORY[-1]), HistoryEnded(7.0, ("j1",), ())], Violation.FORGOTTEN),
        ([*valid_history_without(VALID_HISTORY[-1]), HistoryEnded(7.0, (), ("j1",))], Violation.FORGOTTEN),
    ],
)
def test_each_injected_violation_is_found_and_no_other(history: list[Event], violation: Violation) -> None:
    found = violations_in(history)
    # A change from one final state to "done" also violates NOT_DONE.
    assert set(found) == {violation} or (
        violation is Violation.WENT_BACK and set(found) == {violation, Violation.NOT_DONE}
    )


def test_cancelled_task_that_never_stops_is_found_at_the_end() -> None:
    history = [
        *valid_history_without(TaskStopped(4.0, "m2", "j2", 0, False), VALID_HISTORY[-1]),
        HeartbeatAnswered(7.0, "m2", 9),
        HistoryEnded(8.0, (), ()),
    ]
    assert violations_in(history) == [Violation.RAN_CANCELLED]
