"""Reachability: which machines are heard, which are silent, and which do not hear us."""

from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.cluster import Machine, MachineState
from driftcleat.scheduler.context import SchedulerContext

# A machine is unresponsive beyond so many responses without an acknowledgement, over so many report intervals.
MAX_UNACKNOWLEDGED_RESPONSES = 2
UNRESPONSIVE_REPORT_INTERVALS = 2
# A machine is likely unreachable after so many report intervals without a heartbeat, or beyond so many responses
# without an acknowledgement: this only affects how a command request is sent, so it takes less evidence.
UNREACHABLE_REPORT_INTERVALS = 2
UNREACHABLE_UNACKNOWLEDGED_RESPONSES = 1
# A machine that the list no longer names is given up after so many report intervals without a heartbeat.
UNLISTED_REPORT_INTERVALS = 3
# A list may be late by so many times its specified lag.
MAX_LIST_LAGS = 2


class Reachability:
    """Judges machines by their heartbeats, by what they acknowledge, and by the cloud's list."""

    def __init__(self, context: SchedulerContext) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        # The machines that the cloud's newest list names; None before the first list of this term.
        self._listed: set[str] | None = None
        # Until when a zone counts as partitioned (by its name), or silent machines as correlated (under None).
        self._failures_until: dict[str | None, float] = {}

    def record_listed(self, names: set[str]) -> None:
        """Record the names of all machines in the cloud's newest list."""
        self._listed = names

    def is_running(self, machine: Machine) -> bool:
        """Return whether a machine is up, by its heartbeats or by the cloud's list."""
        return machine.state in (MachineState.UP, MachineState.DRAINING) or (
            machine.state is MachineState.BOOTING and machine.listed_running_since is not None
        )

    def silent_s(self, machine: Machine, now: float) -> float:
        """Return for how many seconds a running machine has not been heard.

        One that the list calls running and that this term has not heard yet counts as silent, not as booting. Guards
        against a new leader that scaled in a whole zone, partitioned just then, as machines that came up late.
        """
        since = (
            machine.last_heartbeat_at if machine.last_heartbeat is not None else (machine.listed_running_since or now)
        )
        return now - max(since, self._cluster.started_at)

    def detect_failures(self, now: float) -> FailureDetector:
        """Return which machines are silent, by zone, as of now."""
        lease_s = self._platform.lease_s
        tuning = self._tuning
        failures = FailureDetector(
            lease_s * tuning.machine_loss_timeout_leases,
            lease_s * tuning.partition_timeout_leases,
            tuning.correlated_failure_share,
        )
        # A machine heard since then is not silent: a cheap test first, since by far the most are like that.
        heard_since = now - failures.suspicion_timeout_s
        silent: dict[str, int] = {}
        known: dict[str, int] = {}
        for machine in self._cluster.machines.values():
            if not self.is_running(machine):
                continue
            known[machine.zone] = known.get(machine.zone, 0) + 1
            heard = machine.last_heartbeat is not None and machine.last_heartbeat_at >= heard_since
            if not heard and self.silent_s(machine, now) > failures.suspicion_timeout_s:
                silent[machine.zone] = silent.get(machine.zone, 0) + 1
        for zone, count in known.items():
            failures.add_machines(zone, silent.get(zone, 0), count)
        # A machine that only records know counts once, in the zone of its first placement.
        for placements in self._cluster.unconfirmed_placements.values():
            for placement in placements.values():
                failures.add_machine(placement.zone, now - self._cluster.started_at)
                break
        failures.retain_recent_failures(self._failures_until, now)
        return failures

    def likely_unreachable(self, machine: Machine, now: float) -> bool:
        """Return whether a command request to a machine is likely to fail."""
        return (
            now - machine.last_heartbeat_at > self._platform.report_s * UNREACHABLE_REPORT_INTERVALS
            or machine.unacknowledged_responses > UNREACHABLE_UNACKNOWLEDGED_RESPONSES
        )

    def is_unresponsive(self, machine: Machine, now: float) -> bool:
        """Return whether a machine sends heartbeats, yet has not acknowledged our responses for long."""
        return (
            machine.unacknowledged_responses > MAX_UNACKNOWLEDGED_RESPONSES
            and now - machine.unacknowledged_since > self._platform.report_s * UNRESPONSIVE_REPORT_INTERVALS
        )

    def never_reported(self, now: float) -> set[str]:
        """Return machines to give up that hold tasks by the records, but sent no heartbeat in this term.

        Only their termination proves the tasks gone.
        """
        silent_s = now - self._cluster.started_at
        if silent_s <= self._platform.lease_s * self._tuning.machine_loss_timeout_leases:
            return set()
        failures = self.detect_failures(now)
        return {
            name
            for name, placements in self._cluster.unconfirmed_placements.items()
            if silent_s > max(failures.heartbeat_timeout_s(placement.zone) for placement in placements.values())
            or (self._listed is not None and name not in self._listed and silent_s > self._listed_after_s)
        }

    @property
    def _listed_after_s(self) -> float:
        """Return the age from which every list, however late, names a machine that exists."""
        return self._platform.list_lag_s * MAX_LIST_LAGS + self._platform.report_s

    def no_longer_listed(self, now: float) -> list[Machine]:
        """Return silent machines that the list ought to name and does not: most likely reclaimed by the cloud.

        Guards against a wave of spot instances reclaimed without notice: silent together, and never listed as failed,
        their work waited as long as that of partitioned machines.
        """
        listed = self._listed
        if listed is None:
            return []
        return [
            machine
            for machine in self._cluster.machines.values()
            if machine.name not in listed
            and machine.state in (MachineState.UP, MachineState.DRAINING)
            and now - machine.last_heartbeat_at > self._platform.report_s * UNLISTED_REPORT_INTERVALS
            and now - machine.created_at > self._listed_after_s
        ]
