"""The JSON of `/status` and `/metrics`. Its keys and their order are an interface for operators."""

from collections.abc import Callable
from typing import Any

from driftcleat.cluster import ClusterState
from driftcleat.controller.assembly import ControllerComponents
from driftcleat.leadership import Election
from driftcleat.net import ConnectionLimiter
from driftcleat.scheduler import Scheduler


class StatusReport:
    """Collects the status of one controller from its components."""

    def __init__(self, label: str, clock: Callable[[], float], components: ControllerComponents) -> None:
        self._label = label
        self._clock = clock
        self._components = components

    def read(self) -> dict[str, Any]:
        """Return the current status; a controller without a leader term omits the scheduler's figures."""
        components = self._components
        clients = components.network.clients
        status: dict[str, Any] = {
            **self._leadership(components.election),
            **components.metrics.durations(),
            "requests_shed": components.users.requests_rejected,
            **components.metrics.rejected_messages(),
            "bad_store_answers": clients.store.malformed_responses,
            "bad_cloud_answers": clients.cloud.malformed_responses,
            **_connections(components.network.front.limiter),
        }
        scheduler = components.active_term.scheduler
        if scheduler is not None:
            status |= _workload(scheduler) | _counters(scheduler)
            status["commit_stalled_s"] = round(components.commit_pipeline.progress.stalled_s, 3)
        return status

    def _leadership(self, election: Election) -> dict[str, Any]:
        return {
            "controller": self._label,
            "role": election.role.value,
            "leader": election.leader,
            "term": election.leader_fencing_token,
            "holds": self._components.active_term.may_decide,
            "lease_left_s": round(election.lease.remaining_s(self._clock()), 3),
        }


def _connections(limiter: ConnectionLimiter[Any]) -> dict[str, int]:
    return {
        "connections": len(limiter.open),
        "connections_most": limiter.max_connections,
        "connections_closed": limiter.closed_after_response,
        "connections_refused": limiter.rejected,
    }


def _workload(scheduler: Scheduler) -> dict[str, Any]:
    """Return the leader's outstanding work, and its machines and jobs."""
    return {
        "data_version": 2 if scheduler.layout.version_2_active else 1,
        "records_to_move": len(scheduler.migration.jobs_to_migrate),
        "jobs_waiting_for_others": len(scheduler.cluster.dependencies.unmet_dependencies),
        "machines": _machines_by_state(scheduler.cluster),
        "classes": _jobs_by_class(scheduler.cluster),
        "waiting_submissions": scheduler.admission.waiting_submissions,
        "waiting_cancellations": scheduler.admission.waiting_cancellations,
        "open_rentals": len(scheduler.scale_out.open_requests),
    }


def _counters(scheduler: Scheduler) -> dict[str, Any]:
    """Return the scheduler's counters of this term."""
    counters = scheduler.counters
    return {
        "batches": counters.batches,
        "rounds": counters.rounds,
        "rounds_cut": counters.rounds_truncated,
        "placed": counters.placed,
        "preempted": counters.preempted,
        "rented": counters.machines_created,
        "returned": counters.machines_deleted,
        "exits": counters.exits,
        "batches_rejected": counters.batches_rejected,
        "jobs_postponed": scheduler.splitter.postponed_count,
    }


def _machines_by_state(cluster: ClusterState) -> dict[str, int]:
    machines: dict[str, int] = {}
    for machine in cluster.machines.values():
        machines[machine.state.value] = machines.get(machine.state.value, 0) + 1
    return machines


def _jobs_by_class(cluster: ClusterState) -> dict[str, dict[str, int]]:
    classes: dict[str, dict[str, int]] = {}
    for job in cluster.jobs.values():
        counts = classes.setdefault(job.spec.job_class, {"jobs": 0, "queued": 0, "placed": 0})
        counts["jobs"] += 1
        counts["queued"] += job.tasks_queued
        counts["placed"] += len(job.placements)
    return classes
