"""Whether a job could ever run on the machines that are on offer."""

from driftcleat.placement.candidates import allowed, fits, spread_limit
from driftcleat.scheduler.queue import ROUNDING
from driftcleat.settings import Platform, Team
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.users import JobKind, JobSpec


def never_fits(spec: JobSpec, types: dict[str, MachineType], platform: Platform) -> str | None:
    """Say why a job can never run, or None. `types` are the cloud's machine types by name."""
    team = platform.teams.get(spec.team)
    if team is None:
        return "crew: unknown team"
    kinds = [
        machine_type
        for machine_type in types.values()
        if spec.machine_types is None or machine_type.name in spec.machine_types
    ]
    if not any(
        fits(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        and any(allowed(spec, machine_type.name, zone, False) for zone in machine_type.zones)
        for machine_type in kinds
    ):
        return "cores: a task fits no allowed machine type"
    return _contradicts_itself(spec, kinds) or _above_limit(spec, team)


def _contradicts_itself(spec: JobSpec, kinds: list[MachineType]) -> str | None:
    """Guards against a gang that waits for ever: by its own wishes its tasks can never be there all at once."""
    if spec.kind is not JobKind.GANG or not spec.spread:
        return None
    zones = {
        zone for machine_type in kinds for zone in machine_type.zones if allowed(spec, machine_type.name, zone, False)
    }
    if spec.tasks > spread_limit(spec) * (1 if spec.single_zone else len(zones)):
        return "spread: the tasks may not all be in the zones that are allowed"
    return None


def _above_limit(spec: JobSpec, team: Team) -> str | None:
    tasks = 1 if spec.kind is JobKind.ARRAY else spec.tasks
    for name, need, limit in (("cores", spec.cpus, team.cpus_max), ("accelerators", spec.gpus, team.gpus_max)):
        if limit > 0 and need * tasks > limit + ROUNDING:
            return f"{name}: the job needs more than the team's limit"
    return None
