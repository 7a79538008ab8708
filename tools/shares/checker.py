"""Reads a history event by event and names every rule and invariant that it breaks."""

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
    """What can be wrong with a history."""

    TWO_OWNERS = "a machine obeys leaders of two shares"
    MOVED_MACHINE = "a machine went from one share to another"
    NO_OWNER = "a machine was answered by nobody for too long"
    RAN_TWICE = "a task started while it was on another machine"
    QUOTA = "a team's tasks use more than its limit"
    OVER_ALLOCATED = "the parts of a team's limit add up to more than the limit"
    RAN_CANCELLED = "a task of a cancelled job was on a machine for too long"
    NOT_DONE = "a job was called done before every task was"
    WENT_BACK = "a job's final state was taken back"
    FORGOTTEN = "an accepted job is not known, or never ended"


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong, and when."""

    at: float
    violation: Violation
    what: str


class Checker:
    """Takes events in the order of their times; keeps only what is needed to judge what follows."""

    def __init__(self, teams: Mapping[str, Team], max_unanswered_s: float, cancel_s: float) -> None:
        """`silence_s`: how long a machine may be answered by nobody; `cancel_s`: what a cancellation has."""
        self._teams, self._silence_s, self._cancel_s = teams, max_unanswered_s, cancel_s
        self.findings: list[Finding] = []
        # The longest time for which a machine was answered by nobody, and the leases that ran out.
        self.longest_unanswered_s = 0.0
        self.expired_leases = 0
        self.terms: dict[int, LeaderElected] = {}
        self._shares: dict[str, int] = {}
        self._answered_at: dict[str, float] = {}
        self._running: dict[tuple[str, int], TaskStarted] = {}
        self._gpus: dict[str, float] = defaultdict(float)
        self._done: dict[str, set[int]] = defaultdict(set)
        self._final: dict[str, StateReported] = {}
        self._cancelled_at: dict[str, float] = {}

    def observe(self, event: Event) -> None:
        """Judge the next event."""
        match event:
            case LeaderElected():
                self.terms[event.token] = event
            case MachineAssigned():
                self._assigned(event)
            case QuotaAllocated():
                limit = team_limit(self._teams[event.team])
                if not limit.covers(event.allocation.total()):
                    self._find(event, Violation.OVER_ALLOCATED, f"{event.team}: {event.allocation.total()}")
            case HeartbeatAnswered():
                self._answered(event)
            case LeaseExpired():
                self.expired_leases += 1
                self._answered_at[event.machine] = event.at
            case MachineDeleted():
                self._answered_at.pop(event.machine, None)
            case TaskStarted():
                self._started(event)
            case TaskStopped():
                self._stopped(event)
            case StateReported():
                self._told_a_user(event)
            case HistoryEnded():
                self._ended(event)

    def _find(self, event: Event, violation: Violation, what: str) -> None:
        self.findings.append(Finding(event.at, violation, what))

    def _assigned(self, event: MachineAssigned) -> None:
        if self._shares.setdefault(event.machine, event.share) != event.share:
            self._find(
                event, Violation.MOVED_MACHINE, f"{event.machine}: {self._shares[event.machine]}, {event.share}"
            )

    def _answered(self, event: HeartbeatAnswered) -> None:
        term = self.terms.get(event.token)
        share = self._shares.get(event.machine)
        if term is None or (share is not None and term.share != share):
            led = term.share if term is not None else "none"
            self._find(event, Violation.TWO_OWNERS, f"{event.machine} of share {share}, token {event.token} of {led}")
        self._note_silence(event, event.machine, event.at)
        self._answered_at[event.machine] = event.at

    def _note_silence(self, event: Event, machine: str, until: float) -> None:
        silent_s = until - self._answered_at.get(machine, until)
        self.longest_unanswered_s = max(self.longest_unanswered_s, silent_s)
        if silent_s > self._silence_s:
            self._find(event, Violation.NO_OWNER, f"{machine} for {silent_s:.1f} s")

    def _started(self, event: TaskStarted) -> None:
        key = (event.job, event.index)
        other = self._running.get(key)
        if other is not None and other.machine != event.machine:
            self._find(
                event, Violation.RAN_TWICE, f"{event.job}/{event.index} on {event.machine} and {other.machine}"
            )
        self._running[key] = event
        self._gpus[event.team] += event.gpus
        limit = self._teams[event.team].gpus_max
        if limit > 0 and self._gpus[event.team] > limit + ROUNDING:
            self._find(event, Violation.QUOTA, f"{event.team} uses {self._gpus[event.team]:g} of {limit:g}")
        self._check_cancelled(event, event.job)

    def _stopped(self, event: TaskStopped) -> None:
        key = (event.job, event.index)
        started = self._running.get(key)
        if event.done:
            self._done[event.job].add(event.index)
        if started is not None and started.machine == event.machine:
            self._check_cancelled(event, event.job)
            del self._running[key]
            self._gpus[started.team] -= started.gpus

    def _check_cancelled(self, event: Event, job: str) -> None:
        at = self._cancelled_at.get(job)
        if at is not None and event.at > at + self._cancel_s:
            self._find(event, Violation.RAN_CANCELLED, f"{job} {event.at - at:.1f} s after")

    def _told_a_user(self, event: StateReported) -> None:
        """A final state holds for whoever asks after it was told; what was asked before may cross it on its way."""
        final = self._final.get(event.job)
        if final is not None and event.requested_at > final.at and event.state != final.state:
            self._find(event, Violation.WENT_BACK, f"{event.job}: {final.state}, then {event.state}")
        if event.state == "done" and len(self._done[event.job]) < event.tasks:
            self._find(event, Violation.NOT_DONE, f"{event.job}: {len(self._done[event.job])} of {event.tasks}")
        if event.state == "cancelled":
            self._cancelled_at.setdefault(event.job, event.at)
        if event.state in FINAL:
            self._final.setdefault(event.job, event)

    def _ended(self, event: HistoryEnded) -> None:
        for machine in list(self._answered_at):
            self._note_silence(event, machine, event.at)
        for job in event.unknown:
            self._find(event, Violation.FORGOTTEN, f"{job}: 404")
        for job in event.unfinished:
            self._find(event, Violation.FORGOTTEN, f"{job}: never ended")
        for (job, index), started in self._running.items():
            at = self._cancelled_at.get(job)
            if at is not None and event.at > at + self._cancel_s:
                self._find(event, Violation.RAN_CANCELLED, f"{job}/{index} on {started.machine} still")
