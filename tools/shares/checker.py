"""Checks a history event by event and reports each violated invariant."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from driftcleat.settings import Team
from driftcleat.sharing.quota import ROUNDING, team_limit

from .history import (
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

FINAL = ("done", "cancelled")


class Violation(StrEnum):
    """Invariants that a history can violate; the values are printed."""

    TWO_OWNERS = "a machine accepts responses from leaders of two shards"
    MOVED_MACHINE = "a machine was reassigned to another shard"
    NO_OWNER = "a machine received no heartbeat response for too long"
    RAN_TWICE = "a task started while it was running on another machine"
    QUOTA = "a team's tasks use more than its limit"
    OVER_ALLOCATED = "the quota allocations of a team add up to more than its limit"
    RAN_CANCELLED = "a task of a cancelled job was on a machine for too long"
    NOT_DONE = "a job was reported done before each of its tasks was done"
    WENT_BACK = "a job's final state changed to another state"
    FORGOTTEN = "an accepted job is unknown or never reached a final state"


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation, the time at which it was detected, and the machines, jobs or teams concerned."""

    at: float
    violation: Violation
    detail: str


class Checker:
    """Checks events in the order of their times; keeps only the state that checks of later events need."""

    def __init__(self, teams: Mapping[str, Team], max_unanswered_s: float, cancel_s: float) -> None:
        """Create a checker without any findings.

        Args:
            teams: the teams by name, with their limits.
            max_unanswered_s: the longest time for which a machine may receive no heartbeat response.
            cancel_s: the time within which the tasks of a cancelled job must have stopped.
        """
        self._teams, self._max_unanswered_s, self._cancel_s = teams, max_unanswered_s, cancel_s
        self.findings: list[Finding] = []
        # The longest time for which a machine received no heartbeat response; the number of expired worker leases.
        self.longest_unanswered_s = 0.0
        self.expired_leases = 0
        self.terms: dict[int, LeaderElected] = {}
        self._machine_shards: dict[str, int] = {}
        self._answered_at: dict[str, float] = {}
        self._running: dict[tuple[str, int], TaskStarted] = {}
        self._gpus: dict[str, float] = defaultdict(float)
        self._completed_tasks: dict[str, set[int]] = defaultdict(set)
        self._final_reports: dict[str, StateReported] = {}
        self._cancelled_at: dict[str, float] = {}

    def observe(self, event: Event) -> None:
        """Check the next event and add what it violates to `findings`."""
        match event:
            case LeaderElected():
                self.terms[event.fencing_token] = event
            case MachineAssigned():
                self._on_machine_assigned(event)
            case QuotaAllocated():
                limit = team_limit(self._teams[event.team])
                if not limit.covers(event.allocation.total()):
                    self._report(event, Violation.OVER_ALLOCATED, f"{event.team}: {event.allocation.total()}")
            case HeartbeatAnswered():
                self._on_heartbeat_answered(event)
            case LeaseExpired():
                self.expired_leases += 1
                self._answered_at[event.machine] = event.at
            case MachineDeleted():
                self._answered_at.pop(event.machine, None)
            case TaskStarted():
                self._on_task_started(event)
            case TaskStopped():
                self._on_task_stopped(event)
            case StateReported():
                self._on_state_reported(event)
            case HistoryEnded():
                self._on_history_ended(event)

    def _report(self, event: Event, violation: Violation, detail: str) -> None:
        self.findings.append(Finding(event.at, violation, detail))

    def _on_machine_assigned(self, event: MachineAssigned) -> None:
        if self._machine_shards.setdefault(event.machine, event.shard) != event.shard:
            self._report(
                event,
                Violation.MOVED_MACHINE,
                f"{event.machine}: {self._machine_shards[event.machine]}, {event.shard}",
            )

    def _on_heartbeat_answered(self, event: HeartbeatAnswered) -> None:
        term = self.terms.get(event.fencing_token)
        shard = self._machine_shards.get(event.machine)
        if term is None or (shard is not None and term.shard != shard):
            term_shard = term.shard if term is not None else "none"
            self._report(
                event,
                Violation.TWO_OWNERS,
                f"{event.machine} of shard {shard}, fencing token {event.fencing_token} of shard {term_shard}",
            )
        self._check_unanswered(event, event.machine, event.at)
        self._answered_at[event.machine] = event.at

    def _check_unanswered(self, event: Event, machine: str, until: float) -> None:
        unanswered_s = until - self._answered_at.get(machine, until)
        self.longest_unanswered_s = max(self.longest_unanswered_s, unanswered_s)
        if unanswered_s > self._max_unanswered_s:
            self._report(event, Violation.NO_OWNER, f"{machine} for {unanswered_s:.1f} s")

    def _on_task_started(self, event: TaskStarted) -> None:
        key = (event.job, event.index)
        other = self._running.get(key)
        if other is not None and other.machine != event.machine:
            self._report(
                event, Violation.RAN_TWICE, f"{event.job}/{event.index} on {event.machine} and {other.machine}"
            )
        self._running[key] = event
        self._gpus[event.team] += event.gpus
        limit = self._teams[event.team].gpus_max
        if limit > 0 and self._gpus[event.team] > limit + ROUNDING:
            self._report(event, Violation.QUOTA, f"{event.team} uses {self._gpus[event.team]:g} of {limit:g}")
        self._check_cancelled(event, event.job)

    def _on_task_stopped(self, event: TaskStopped) -> None:
        key = (event.job, event.index)
        started = self._running.get(key)
        if event.done:
            self._completed_tasks[event.job].add(event.index)
        if started is not None and started.machine == event.machine:
            self._check_cancelled(event, event.job)
            del self._running[key]
            self._gpus[started.team] -= started.gpus

    def _check_cancelled(self, event: Event, job: str) -> None:
        at = self._cancelled_at.get(job)
        if at is not None and event.at > at + self._cancel_s:
            self._report(event, Violation.RAN_CANCELLED, f"{job} {event.at - at:.1f} s after its cancellation")

    def _on_state_reported(self, event: StateReported) -> None:
        """Check a reported state; only requests sent after a final state was reported must return that state."""
        final = self._final_reports.get(event.job)
        if final is not None and event.requested_at > final.at and event.state != final.state:
            self._report(event, Violation.WENT_BACK, f"{event.job}: {final.state}, then {event.state}")
        if event.state == "done" and len(self._completed_tasks[event.job]) < event.tasks:
            self._report(
                event, Violation.NOT_DONE, f"{event.job}: {len(self._completed_tasks[event.job])} of {event.tasks}"
            )
        if event.state == "cancelled":
            self._cancelled_at.setdefault(event.job, event.at)
        if event.state in FINAL:
            self._final_reports.setdefault(event.job, event)

    def _on_history_ended(self, event: HistoryEnded) -> None:
        for machine in list(self._answered_at):
            self._check_unanswered(event, machine, event.at)
        for job in event.unknown:
            self._report(event, Violation.FORGOTTEN, f"{job}: unknown (404)")
        for job in event.unfinished:
            self._report(event, Violation.FORGOTTEN, f"{job}: no final state")
        for (job, index), started in self._running.items():
            at = self._cancelled_at.get(job)
            if at is not None and event.at > at + self._cancel_s:
                self._report(event, Violation.RAN_CANCELLED, f"{job}/{index} is still on {started.machine}")
