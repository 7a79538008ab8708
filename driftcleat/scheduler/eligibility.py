"""Eligibility: whether a job can ever run, given the cloud's machine types and its team's quota."""

from driftcleat.placement.candidates import ROUNDING_TOLERANCE, fits, satisfies_constraints, spread_limit
from driftcleat.settings import Platform, Team
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobKind, JobSpec


def unschedulable_reason(spec: JobSpec, types: dict[str, MachineType], platform: Platform) -> str | None:
    """Return a message for the user that says why a job can never run; None if it can.

    `types` are the cloud's machine types by name. The message starts with the submission's field that is at fault.
    """
    team = platform.teams.get(spec.team)
    if team is None:
        return "crew: unknown team"
    allowed_types = [
        machine_type
        for machine_type in types.values()
        if spec.machine_types is None or machine_type.name in spec.machine_types
    ]
    if not any(
        fits(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        and any(satisfies_constraints(spec, machine_type.name, zone, False) for zone in machine_type.zones)
        for machine_type in allowed_types
    ):
        return "cores: a task fits no allowed machine type"
    return _unsatisfiable_spread(spec, allowed_types) or _above_quota(spec, team)


def _unsatisfiable_spread(spec: JobSpec, allowed_types: list[MachineType]) -> str | None:
    """Return why a gang's zone constraints never let all its tasks be placed at once; it would be queued for ever."""
    if spec.kind is not JobKind.GANG or not spec.spread:
        return None
    zones = {
        zone
        for machine_type in allowed_types
        for zone in machine_type.zones
        if satisfies_constraints(spec, machine_type.name, zone, False)
    }
    if spec.tasks > spread_limit(spec) * (1 if spec.single_zone else len(zones)):
        return "spread: the tasks may not all be in the zones that are allowed"
    return None


def _above_quota(spec: JobSpec, team: Team) -> str | None:
    """Return why a job's tasks can never fit the team's quota limits; tasks of an array may run one by one."""
    tasks = 1 if spec.kind is JobKind.ARRAY else spec.tasks
    for field, need, limit in (("cores", spec.cpus, team.cpus_max), ("accelerators", spec.gpus, team.gpus_max)):
        if limit > 0 and need * tasks > limit + ROUNDING_TOLERANCE:
            return f"{field}: the job needs more than the team's limit"
    return None
