"""Which machines are heard, which are silent, and which hear nothing of us."""

from driftcleat.capacity.failure_detector import FailureDetector
from driftcleat.cluster import Machine, MachineState
from driftcleat.scheduler.context import SchedulerContext

# Reports without an acknowledgement until a machine counts as unresponsive, and the time that takes at the least.
UNACKNOWLEDGED_MOST = 2
UNACKNOWLEDGED_REPORTS = 2
# Reports missed until a machine that the list no longer names is given up.
UNLISTED_REPORTS = 3
# A list may be this many times its lag late.
LIST_LATENESS = 2


class Reachability:
    """Judges machines by their reports, by what they acknowledge, and by the cloud's list."""

    def __init__(self, context: SchedulerContext) -> None:
        self._platform, self._tuning, self._cluster = context.platform, context.tuning, context.cluster
        # The machines that the cloud's newest list names; None before the first.
        self._listed: set[str] | None = None
        # Until when a zone counts as partitioned (under its name), or silent machines as correlated (under none).
        self._remembered: dict[str | None, float] = {}

    def record_listed(self, names: set[str]) -> None:
        """Record the names of all machines in the cloud's newest list."""
        self._listed = names

    def is_running(self, machine: Machine) -> bool:
        """Whether a machine is up as far as its reports or the cloud's list have told."""
        return machine.state in (MachineState.UP, MachineState.DRAINING) or (
            machine.state is MachineState.BOOTING and machine.listed_running_since is not None
        )

    def silent_s(self, machine: Machine, now: float) -> float:
        """Return for how long a machine that runs has not been heard.

        One that the list calls running and that this term has not heard yet does not boot: guards against a new
        leader that returned a whole zone, cut off just then, as machines that came up late.
        """
        since = (
            machine.last_heartbeat_at if machine.last_heartbeat is not None else (machine.listed_running_since or now)
        )
        return now - max(since, self._cluster.started_at)

    def detect_failures(self, now: float) -> FailureDetector:
        """Return which machines are silent, by zone, as it looks now."""
        lease_s, tuning = self._platform.lease_s, self._tuning
        failures = FailureDetector(lease_s * tuning.lost, lease_s * tuning.partitioned, tuning.correlated)
        # Heard of since then, or the term is younger than that: not silent. By far the most are like that.
        heard_since = now - failures.counted_s
        silent: dict[str, int] = {}
        known: dict[str, int] = {}
        for machine in self._cluster.machines.values():
            if not self.is_running(machine):
                continue
            known[machine.zone] = known.get(machine.zone, 0) + 1
            heard = machine.last_heartbeat is not None and machine.last_heartbeat_at >= heard_since
            if not heard and self.silent_s(machine, now) > failures.counted_s:
                silent[machine.zone] = silent.get(machine.zone, 0) + 1
        for zone, count in known.items():
            failures.count_all(zone, silent.get(zone, 0), count)
        for placements in self._cluster.unconfirmed_placements.values():
            for placement in placements.values():
                failures.count(placement.zone, now - self._cluster.started_at)
                break
        failures.remember(self._remembered, now)
        return failures

    def likely_unreachable(self, machine: Machine, now: float) -> bool:
        """Whether a command sent straight to a machine may well find nobody."""
        return now - machine.last_heartbeat_at > self._platform.report_s * 2 or machine.unacknowledged_responses > 1

    def is_unresponsive(self, machine: Machine, now: float) -> bool:
        """Whether a machine reports, yet has not acknowledged our answers for long."""
        return (
            machine.unacknowledged_responses > UNACKNOWLEDGED_MOST
            and now - machine.unacknowledged_since > self._platform.report_s * UNACKNOWLEDGED_REPORTS
        )

    def never_reported(self, now: float) -> set[str]:
        """Return machines that hold tasks but have not been heard of in this term: only their return proves
        the tasks gone."""
        silent_s = now - self._cluster.started_at
        if silent_s <= self._platform.lease_s * self._tuning.lost:
            return set()
        failures = self.detect_failures(now)
        return {
            name
            for name, placements in self._cluster.unconfirmed_placements.items()
            if silent_s > max(failures.tolerated_s(placement.zone) for placement in placements.values())
            or (self._listed is not None and name not in self._listed and silent_s > self._list_covers_s)
        }

    @property
    def _list_covers_s(self) -> float:
        """The age from which every list, however late, names a machine that is there."""
        return self._platform.list_lag_s * LIST_LATENESS + self._platform.report_s

    def no_longer_listed(self, now: float) -> list[Machine]:
        """Return silent machines that the list ought to name and does not: taken back, most likely.

        Guards against a wave of spot machines taken without notice: silent together, and never listed as failed,
        their work waited as long as for machines that were cut off.
        """
        listed = self._listed
        if listed is None:
            return []
        return [
            machine
            for machine in self._cluster.machines.values()
            if machine.name not in listed
            and machine.state in (MachineState.UP, MachineState.DRAINING)
            and now - machine.last_heartbeat_at > self._platform.report_s * UNLISTED_REPORTS
            and now - machine.created_at > self._list_covers_s
        ]
