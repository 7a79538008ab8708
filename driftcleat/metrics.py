"""Counters and histograms of one controller, as served on `back`."""

from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from driftcleat.controller import Controller


class Timing:
    """A histogram of durations, in microseconds up to a minute."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, 60_000_000, 2)

    def record(self, seconds: float) -> None:
        """Count one duration."""
        self._histogram.record_value(max(1, min(60_000_000, round(seconds * 1e6))))

    def summary(self) -> dict[str, float]:
        """Return count and percentiles in milliseconds."""
        out: dict[str, float] = {"count": self._histogram.get_total_count()}
        for share in (50, 95, 99, 100):
            out[f"p{share}_ms"] = self._histogram.get_value_at_percentile(share) / 1000
        return out


class Metrics:
    """What this process has counted."""

    def __init__(self) -> None:
        self.build_ms, self.batch_ms, self.user_ms, self.report_ms = Timing(), Timing(), Timing(), Timing()
        # How late the event loop does what is due: everything else waits as long.
        self.loop_delay = Timing()
        # Seconds spent in the parts of the leader's work that do not wait for anything.
        self.parts: dict[str, float] = {}
        self.bad_reports = self.stale_reports = self.bad_peer_messages = 0

    def spent(self, part: str, seconds: float) -> None:
        """Count time that a part has taken."""
        self.parts[part] = self.parts.get(part, 0.0) + seconds

    def status(self, controller: "Controller") -> dict[str, Any]:
        """Return the state of a controller for operators."""
        election, term = controller.election, controller.term
        out: dict[str, Any] = {
            "controller": controller.platform.label,
            "role": election.role.value,
            "leader": election.leader,
            "term": election.leader_token,
            "holds": controller.holds,
            "lease_left_s": round(election.lease.left(controller.clock()), 3),
            "build": self.build_ms.summary(),
            "batch": self.batch_ms.summary(),
            "users": self.user_ms.summary(),
            "reports": self.report_ms.summary(),
            "loop_delay": self.loop_delay.summary(),
            "parts_s": {part: round(seconds, 3) for part, seconds in sorted(self.parts.items())},
            "requests_shed": controller.users.shed,
            "bad_reports": self.bad_reports,
            "stale_reports": self.stale_reports,
            "bad_peer_messages": self.bad_peer_messages,
            "bad_store_answers": controller.store.malformed,
            "bad_cloud_answers": controller.cloud.malformed,
            "connections": len(controller.front.limiter.open),
            "connections_most": controller.front.limiter.most,
            "connections_closed": controller.front.limiter.last_answers,
            "connections_refused": controller.front.limiter.turned_away,
        }
        if term is not None:
            machines: dict[str, int] = {}
            for machine in term.cluster.machines.values():
                machines[machine.state.value] = machines.get(machine.state.value, 0) + 1
            classes: dict[str, dict[str, int]] = {}
            for job in term.cluster.jobs.values():
                row = classes.setdefault(job.spec.job_class, {"jobs": 0, "queued": 0, "placed": 0})
                row["jobs"] += 1
                row["queued"] += job.queued
                row["placed"] += len(job.places)
            counters = term.counters
            out |= {
                "data_version": 2 if term.layout.switched else 1,
                "records_to_move": len(term.migration.unmoved),
                "jobs_waiting_for_others": len(term.cluster.needs.unmet),
                "machines": machines,
                "classes": classes,
                "waiting_submissions": term.admission.waiting_submissions,
                "waiting_cancellations": term.admission.waiting_cancellations,
                "open_rentals": len(term.rentals.open),
                "batches": counters.batches,
                "rounds": counters.rounds,
                "rounds_cut": counters.rounds_cut,
                "placed": counters.placed,
                "preempted": counters.preempted,
                "rented": counters.rented,
                "returned": counters.returned,
                "exits": counters.failures,
            }
        return out
