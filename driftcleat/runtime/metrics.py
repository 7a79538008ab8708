"""Counters and histograms of one controller, as served on `back`."""

from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from driftcleat.controller.controller import Controller


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
        self.batch_build_time, self.commit_latency, self.user_request_latency, self.heartbeat_latency = (
            Timing(),
            Timing(),
            Timing(),
            Timing(),
        )
        # How late the event loop does what is due: everything else waits as long.
        self.loop_delay = Timing()
        # Seconds spent in the parts of the leader's work that do not wait for anything.
        self.seconds_by_part: dict[str, float] = {}
        self.malformed_heartbeats = self.stale_heartbeats = self.malformed_peer_messages = 0

    def record_part(self, part: str, seconds: float) -> None:
        """Count time that a part has taken."""
        self.seconds_by_part[part] = self.seconds_by_part.get(part, 0.0) + seconds

    def status(self, controller: "Controller") -> dict[str, Any]:
        """Return the state of a controller for operators."""
        election, scheduler = controller.election, controller.scheduler
        out: dict[str, Any] = {
            "controller": controller.platform.label,
            "role": election.role.value,
            "leader": election.leader,
            "term": election.leader_fencing_token,
            "holds": controller.may_decide,
            "lease_left_s": round(election.lease.remaining_s(controller.clock()), 3),
            "build": self.batch_build_time.summary(),
            "batch": self.commit_latency.summary(),
            "users": self.user_request_latency.summary(),
            "reports": self.heartbeat_latency.summary(),
            "loop_delay": self.loop_delay.summary(),
            "parts_s": {part: round(seconds, 3) for part, seconds in sorted(self.seconds_by_part.items())},
            "requests_shed": controller.users.requests_shed,
            "bad_reports": self.malformed_heartbeats,
            "stale_reports": self.stale_heartbeats,
            "bad_peer_messages": self.malformed_peer_messages,
            "bad_store_answers": controller.store.malformed_responses,
            "bad_cloud_answers": controller.cloud.malformed_responses,
            "connections": len(controller.front.limiter.open),
            "connections_most": controller.front.limiter.most,
            "connections_closed": controller.front.limiter.last_answers,
            "connections_refused": controller.front.limiter.turned_away,
        }
        if scheduler is not None:
            machines: dict[str, int] = {}
            for machine in scheduler.cluster.machines.values():
                machines[machine.state.value] = machines.get(machine.state.value, 0) + 1
            classes: dict[str, dict[str, int]] = {}
            for job in scheduler.cluster.jobs.values():
                row = classes.setdefault(job.spec.job_class, {"jobs": 0, "queued": 0, "placed": 0})
                row["jobs"] += 1
                row["queued"] += job.tasks_queued
                row["placed"] += len(job.placements)
            counters = scheduler.counters
            out |= {
                "data_version": 2 if scheduler.layout.version_2_active else 1,
                "records_to_move": len(scheduler.migration.jobs_to_migrate),
                "jobs_waiting_for_others": len(scheduler.cluster.dependencies.unmet_dependencies),
                "machines": machines,
                "classes": classes,
                "waiting_submissions": scheduler.admission.waiting_submissions,
                "waiting_cancellations": scheduler.admission.waiting_cancellations,
                "open_rentals": len(scheduler.scale_out.open),
                "batches": counters.batches,
                "rounds": counters.rounds,
                "rounds_cut": counters.rounds_truncated,
                "placed": counters.placed,
                "preempted": counters.preempted,
                "rented": counters.machines_created,
                "returned": counters.machines_deleted,
                "exits": counters.exits,
            }
        return out
