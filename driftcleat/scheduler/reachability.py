"""Reachability: which machines send heartbeats, miss them, or do not acknowledge the controller's responses."""

from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.cluster import Machine, MachineState
from driftcleat.scheduler.context import SchedulerContext

# A machine is unresponsive if more responses than this are unacknowledged, over more than this many heartbeat
# intervals.
MAX_UNACKNOWLEDGED_RESPONSES = 2
UNRESPONSIVE_HEARTBEAT_INTERVALS = 2
# A machine is likely unreachable after this many heartbeat intervals without a heartbeat, or if more responses than
# this are unacknowledged. Less evidence suffices, since the result only affects how a command request is sent.
UNREACHABLE_HEARTBEAT_INTERVALS = 2
UNREACHABLE_UNACKNOWLEDGED_RESPONSES = 1
# A machine that is not in the cloud's list is presumed lost after this many heartbeat intervals without a heartbeat.
UNLISTED_HEARTBEAT_INTERVALS = 3
# Maximum delay of the cloud's machine list, as a multiple of its specified lag.
MAX_LIST_LAGS = 2


class Reachability:
    """Classifies machines by their heartbeats, their acknowledgements and the cloud's machine list."""

    def __init__(self, context: SchedulerContext) -> None:
        self._platform = context.platform
        self._tuning = context.tuning
        self._cluster = context.cluster
        # The machines in the cloud's newest list; None before the first list of this term.
        self._listed: set[str] | None = None
        # The time until which a zone counts as partitioned (by zone name), or missed heartbeats as correlated (None).
        self._failures_until: dict[str | None, float] = {}

    def record_listed(self, names: set[str]) -> None:
        """Record the names of all machines in the cloud's newest list."""
        self._listed = names

    def is_running(self, machine: Machine) -> bool:
        """Return whether a machine is up according to its heartbeats or to the cloud's machine list."""
        return machine.state in (MachineState.UP, MachineState.DRAINING) or (
            machine.state is MachineState.BOOTING and machine.listed_running_since is not None
        )

    def heartbeat_age_s(self, machine: Machine, now: float) -> float:
        """Return the seconds since a running machine's last heartbeat or the start of the term, whichever is later.

        A machine that is listed as running but has sent no heartbeat in this term counts as missing heartbeats since
        that listing, not as booting. Otherwise a new leader would scale in a partitioned zone as late to boot.
        """
        since = (
            machine.last_heartbeat_at if machine.last_heartbeat is not None else (machine.listed_running_since or now)
        )
        return now - max(since, self._cluster.started_at)

    def detect_failures(self, now: float) -> FailureDetector:
        """Return a failure detector that has counted by zone the machines that miss heartbeats as of now."""
        lease_s = self._platform.lease_s
        tuning = self._tuning
        failure_detector = FailureDetector(
            lease_s * tuning.machine_loss_timeout_leases,
            lease_s * tuning.partition_timeout_leases,
            tuning.correlated_failure_share,
        )
        # A machine with a heartbeat since then misses none; this cheap check comes first, as it covers most machines.
        not_missing_since = now - failure_detector.suspicion_timeout_s
        missing: dict[str, int] = {}
        known: dict[str, int] = {}
        for machine in self._cluster.machines.values():
            if not self.is_running(machine):
                continue
            known[machine.zone] = known.get(machine.zone, 0) + 1
            is_recent = machine.last_heartbeat is not None and machine.last_heartbeat_at >= not_missing_since
            if not is_recent and self.heartbeat_age_s(machine, now) > failure_detector.suspicion_timeout_s:
                missing[machine.zone] = missing.get(machine.zone, 0) + 1
        for zone, count in known.items():
            failure_detector.add_machines(zone, missing.get(zone, 0), count)
        # A machine that is known only from stored records counts once, in the zone of its first placement.
        for placements in self._cluster.unconfirmed_placements.values():
            for placement in placements.values():
                failure_detector.add_machine(placement.zone, now - self._cluster.started_at)
                break
        failure_detector.retain_recent_failures(self._failures_until, now)
        return failure_detector

    def likely_unreachable(self, machine: Machine, now: float) -> bool:
        """Return whether a command request to a machine is likely to fail."""
        return (
            now - machine.last_heartbeat_at > self._platform.report_s * UNREACHABLE_HEARTBEAT_INTERVALS
            or machine.unacknowledged_responses > UNREACHABLE_UNACKNOWLEDGED_RESPONSES
        )

    def is_unresponsive(self, machine: Machine, now: float) -> bool:
        """Return whether a machine sends heartbeats but has not acknowledged responses for too long."""
        return (
            machine.unacknowledged_responses > MAX_UNACKNOWLEDGED_RESPONSES
            and now - machine.unacknowledged_since > self._platform.report_s * UNRESPONSIVE_HEARTBEAT_INTERVALS
        )

    def presumed_lost_without_heartbeat(self, now: float) -> set[str]:
        """Return presumed lost machines that hold tasks according to the records but sent no heartbeat in this term.

        Only their termination proves that the tasks are gone.
        """
        term_age_s = now - self._cluster.started_at
        if term_age_s <= self._platform.lease_s * self._tuning.machine_loss_timeout_leases:
            return set()
        failure_detector = self.detect_failures(now)
        return {
            name
            for name, placements in self._cluster.unconfirmed_placements.items()
            if term_age_s
            > max(failure_detector.heartbeat_timeout_s(placement.zone) for placement in placements.values())
            or (self._listed is not None and name not in self._listed and term_age_s > self._always_listed_age_s)
        }

    @property
    def _always_listed_age_s(self) -> float:
        """Return the age in seconds from which on a machine that exists is in every list, however late."""
        return self._platform.list_lag_s * MAX_LIST_LAGS + self._platform.report_s

    def no_longer_listed(self, now: float) -> list[Machine]:
        """Return machines that miss heartbeats and are absent from the list: the cloud most likely reclaimed them.

        If many spot instances are reclaimed without notice, they miss heartbeats together and are never listed as
        failed. Without this check their work would wait as long as that of partitioned machines.
        """
        listed = self._listed
        if listed is None:
            return []
        return [
            machine
            for machine in self._cluster.machines.values()
            if machine.name not in listed
            and machine.state in (MachineState.UP, MachineState.DRAINING)
            and now - machine.last_heartbeat_at > self._platform.report_s * UNLISTED_HEARTBEAT_INTERVALS
            and now - machine.created_at > self._always_listed_age_s
        ]
