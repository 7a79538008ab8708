"""The operators' settings: an INI file whose values are mostly relative to the platform's settings."""

import math
from dataclasses import Field, dataclass, field, fields
from typing import TYPE_CHECKING, Any

from driftcleat.settings.platform import SettingsError

if TYPE_CHECKING:
    import configparser


def _setting(
    section: str, key: str, default: float, low: float, high: float, help_text: str, alias: str | None = None
) -> Any:
    """Declare a setting: its section and key in the INI file, default, bounds and help text.

    `alias` is the key of earlier versions, which is still accepted. Field names end in the unit: `leases` (worker
    leases, `lease_s`), `ttls` (leader leases), `intervals` (heartbeat intervals, `report_s`), `boot_times`, `share`.
    """
    return field(
        default=default,
        metadata={"section": section, "key": key, "low": low, "high": high, "help": help_text, "alias": alias},
    )


@dataclass(frozen=True, slots=True)
class Tuning:
    """The values that operators may set. Each help text names the unit; times are multiples of platform settings."""

    leader_ttl_leases: float = _setting(
        "leadership", "ttl", 0.12, 0.05, 0.9, "time to live of the leader lease, in worker leases"
    )
    keep_alive_pause_ttls: float = _setting(
        "leadership", "renew", 0.3, 0.1, 0.5, "pause between keep-alives of the leader lease, in leader leases"
    )
    clock_drift_share: float = _setting(
        "leadership", "drift", 0.002, 0.0005, 0.1, "part of a lease subtracted to allow for clock drift"
    )
    max_unconfirmed_leases: float = _setting(
        "leadership",
        "uncertain",
        2.0,
        0.0,
        20.0,
        "longest time an unconfirmed leader continues while another controller does not respond, in worker leases",
        alias="hold",
    )
    heartbeat_loss_timeout_leases: float = _setting(
        "leadership",
        "no_reports",
        0.45,
        0.1,
        2.0,
        "time without any heartbeat until the leader steps down, in worker leases",
        alias="deaf",
    )
    readiness_grace_leases: float = _setting(
        "leadership",
        "ready",
        0.25,
        0.05,
        10.0,
        "time without reaching a leader until a controller reports that it is not ready, in worker leases",
    )
    placement_sample_machines: float = _setting(
        "placement", "sample", 64, 1, 1000, "machines sampled first when placing a task"
    )
    round_budget_intervals: float = _setting(
        "placement", "budget", 0.01, 0.0005, 0.2, "time limit of one placement round, in heartbeat intervals"
    )
    placement_cpu_share: float = _setting(
        "placement", "share", 0.8, 0.05, 1.0, "part of the controller's core share that placement rounds may use"
    )
    image_wait_boot_times: float = _setting(
        "placement",
        "patience",
        2.0,
        0.0,
        20.0,
        "time a job waits for a booting machine rather than use one that fetches another image, in boot times",
    )
    image_preemption_cost_ratio: float = _setting(
        "placement",
        "evict",
        0.5,
        0.0,
        100.0,
        "highest cost of preempting tasks to start where the image is cached, relative to the cost of fetching it",
    )
    preempted_fetch_loss_share: float = _setting(
        "placement",
        "refetch",
        0.25,
        0.0,
        1.0,
        "part of a running task's image fetch that counts as a cost of preempting it",
    )
    command_scan_intervals: float = _setting(
        "placement", "scan", 1.67, 0.2, 20.0, "pause between scans that resend stop commands, in heartbeat intervals"
    )
    max_response_delay_intervals: float = _setting(
        "placement",
        "answer",
        0.15,
        0.0,
        0.5,
        "longest time a heartbeat response waits until task exits are committed, in heartbeat intervals",
    )
    machine_loss_timeout_leases: float = _setting(
        "fleet", "lost", 1.35, 0.5, 10.0, "time without heartbeats until a machine is presumed lost, in worker leases"
    )
    partition_timeout_leases: float = _setting(
        "fleet",
        "partitioned",
        4.5,
        0.5,
        20.0,
        "time without heartbeats until a machine is presumed lost if many others miss theirs too, in worker leases",
        alias="cut",
    )
    correlated_failure_share: float = _setting(
        "fleet",
        "correlated",
        0.05,
        0.0,
        1.0,
        "part of all machines above which missed heartbeats count as a network partition",
        alias="many",
    )
    cancel_fence_share: float = _setting(
        "fleet",
        "fence",
        0.35,
        0.1,
        0.8,
        "time until a machine that may hold a cancelled task is deleted, as a part of the cancellation time limit",
    )
    idle_timeout_boot_times: float = _setting(
        "fleet", "idle", 0.8, 0.0, 100.0, "idle time until a machine is deleted, in boot times"
    )
    boot_timeout_boot_times: float = _setting(
        "fleet",
        "late",
        2.2,
        1.0,
        20.0,
        "time a machine may take to boot until it is replaced, in boot times of its type",
    )
    expected_boot_ratio: float = _setting(
        "fleet", "boots", 1.25, 0.5, 5.0, "boot time assumed in planning, in boot times of the machine type"
    )
    expected_run_ratio: float = _setting(
        "fleet", "doubt", 2.0, 0.5, 10.0, "run time assumed in planning, relative to the owner's estimate"
    )
    arrival_headroom_ratio: float = _setting(
        "fleet",
        "headroom",
        0.5,
        0.0,
        10.0,
        "capacity reserved for arriving jobs, relative to the arrivals expected while a machine boots",
    )
    capacity_planning_cpu_share: float = _setting(
        "fleet", "effort", 0.15, 0.01, 1.0, "part of the controller's core share that capacity planning may use"
    )
    service_headroom_share: float = _setting(
        "fleet",
        "slack",
        0.3,
        0.0,
        2.0,
        "extra capacity created for queued services of the highest priority, relative to what they need",
    )
    consolidation_quiet_boot_times: float = _setting(
        "fleet",
        "consolidate",
        5.0,
        0.0,
        1000.0,
        "time without task changes until a machine's remaining replicas are moved, in boot times",
        alias="thin",
    )
    arrival_window_intervals: float = _setting(
        "fleet", "window", 40.0, 5.0, 1000.0, "time over which the arrival rate is estimated, in heartbeat intervals"
    )
    user_write_share: float = _setting(
        "api", "reserve", 0.15, 0.0, 0.9, "writes reserved for user requests, as a part of the writes per second"
    )
    maintenance_write_share: float = _setting(
        "api",
        "tidy",
        0.35,
        0.0,
        0.9,
        "writes that garbage collection leaves free, as a part of the writes per second",
    )
    max_waiting_write_seconds: float = _setting(
        "api",
        "queue",
        4.0,
        0.1,
        100.0,
        "maximum number of pending user requests, in seconds at the store's write rate",
    )
    poll_timeout_intervals: float = _setting(
        "api", "poll", 0.55, 0.1, 10.0, "time limit of a status request, in heartbeat intervals"
    )
    request_timeout_intervals: float = _setting(
        "api",
        "request",
        1.2,
        0.2,
        10.0,
        "time limit of a submission or cancellation, in heartbeat intervals",
    )
    retry_after_intervals: float = _setting(
        "api", "retry", 0.34, 0.1, 10.0, "value of the Retry-After header, in heartbeat intervals"
    )


def load_tuning(path: str | None) -> Tuning:
    """Return the validated settings of an INI file, the defaults without a path; `SettingsError` has one line."""
    if path is None:
        return Tuning()
    parser = read_ini(path)
    known = _known_settings()
    values: dict[str, float] = {}
    for section in parser.sections():
        for key, text in parser.items(section):
            entry = known.get((section, key))
            if entry is None:
                raise SettingsError(f"{path}: {section}.{key}: unknown key")
            if entry.name in values:
                raise SettingsError(f"{path}: {section}.{key}: is already set under its other name")
            values[entry.name] = _checked_value(f"{path}: {section}.{key}", text, entry)
    return Tuning(**values)


def read_ini(path: str) -> "configparser.ConfigParser":
    """Return a parsed INI file; raise `SettingsError`, whose text is one line, if it cannot be read or parsed."""
    # Imported only if there is an INI file: start-up without one must not wait for the import.
    import configparser

    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror or error}") from None
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not INI: {' '.join(str(error).split())}") from None
    if parser.defaults():
        raise SettingsError(f"{path}: DEFAULT: unknown section")
    return parser


def _known_settings() -> dict[tuple[str, str], Field[float]]:
    """Return the settings by section and key; a setting with an alias appears under both keys."""
    known: dict[tuple[str, str], Field[float]] = {}
    for entry in fields(Tuning):
        for key in (entry.metadata["key"], entry.metadata["alias"]):
            if key is not None:
                known[(entry.metadata["section"], key)] = entry
    return known


def _checked_value(where: str, text: str, entry: Field[float]) -> float:
    try:
        value = float(text)
    except ValueError:
        raise SettingsError(f"{where}: must be a number") from None
    low, high = entry.metadata["low"], entry.metadata["high"]
    if not math.isfinite(value) or not low <= value <= high:
        raise SettingsError(f"{where}: must be {low:g} to {high:g}")
    return value
