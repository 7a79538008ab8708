"""The operators' own settings: an INI file whose defaults are ratios to the platform's figures."""

import math
from dataclasses import Field, dataclass, field, fields
from typing import TYPE_CHECKING, Any

from driftcleat.settings.platform import SettingsError

if TYPE_CHECKING:
    import configparser


def _ratio(
    section: str, key: str, default: float, low: float, high: float, help_text: str, alias: str | None = None
) -> Any:
    """Declare a setting: its section and key in the INI file, default, bounds, and what it is a ratio of.

    `alias` is the key of earlier versions, which is still accepted. Field names end in what the ratio is of: `leases`
    (the worker lease), `ttls` (the leader's lease), `intervals` (the report interval), `boot_times`, `share`.
    """
    return field(
        default=default,
        metadata={"section": section, "key": key, "low": low, "high": high, "help": help_text, "alias": alias},
    )


@dataclass(frozen=True, slots=True)
class Tuning:
    """What operators may set. Times are ratios to the platform's figures, named in each help text."""

    leader_ttl_leases: float = _ratio("leadership", "ttl", 0.12, 0.05, 0.9, "leader lease, of the worker lease")
    keep_alive_pause_ttls: float = _ratio(
        "leadership", "renew", 0.3, 0.1, 0.5, "pause between renewals, of the leader lease"
    )
    clock_drift_share: float = _ratio(
        "leadership", "drift", 0.002, 0.0005, 0.1, "part of a lease given up for clock drift"
    )
    max_unconfirmed_leases: float = _ratio(
        "leadership",
        "uncertain",
        2.0,
        0.0,
        20.0,
        "longest time that an unsure leader goes on while a controller is silent, of the worker lease",
        alias="hold",
    )
    heartbeat_loss_timeout_leases: float = _ratio(
        "leadership", "no_reports", 0.45, 0.1, 2.0, "time with no report at all, of the worker lease", alias="deaf"
    )
    readiness_grace_leases: float = _ratio(
        "leadership",
        "ready",
        0.25,
        0.05,
        10.0,
        "time without reaching a leader until users are sent elsewhere, of the worker lease",
    )
    placement_sample_machines: float = _ratio(
        "placement", "sample", 64, 1, 1000, "machines looked at first for a place"
    )
    round_budget_intervals: float = _ratio(
        "placement", "budget", 0.01, 0.0005, 0.2, "time of one round, of the report interval"
    )
    placement_cpu_share: float = _ratio(
        "placement", "share", 0.8, 0.05, 1.0, "part of the processor's share that placement rounds may take"
    )
    image_wait_boot_times: float = _ratio(
        "placement",
        "patience",
        2.0,
        0.0,
        20.0,
        "time a job waits for a machine that fetches no other image, of a machine's boot time",
    )
    image_preemption_cost_ratio: float = _ratio(
        "placement", "evict", 0.5, 0.0, 100.0, "loss taken to start where an image is, of what fetching it costs"
    )
    preempted_fetch_loss_share: float = _ratio(
        "placement", "refetch", 0.25, 0.0, 1.0, "part of a running task's fetch that its stop is reckoned to cost"
    )
    command_scan_intervals: float = _ratio(
        "placement", "scan", 1.67, 0.2, 20.0, "pause between scans, of the report interval"
    )
    max_response_delay_intervals: float = _ratio(
        "placement",
        "answer",
        0.15,
        0.0,
        0.5,
        "longest a report with news waits for its batch, of the report interval",
    )
    machine_loss_timeout_leases: float = _ratio(
        "fleet", "lost", 1.35, 0.5, 10.0, "silence until a machine is given up, of the worker lease"
    )
    partition_timeout_leases: float = _ratio(
        "fleet",
        "partitioned",
        4.5,
        0.5,
        20.0,
        "silence until machines are given up that fell silent with many others, of the worker lease",
        alias="cut",
    )
    correlated_failure_share: float = _ratio(
        "fleet",
        "correlated",
        0.05,
        0.0,
        1.0,
        "part of the machines that fall silent together by a network's fault rather than each by its own",
        alias="many",
    )
    cancel_fence_share: float = _ratio(
        "fleet",
        "fence",
        0.35,
        0.1,
        0.8,
        "time until a machine that keeps a cancelled task is returned, of the time a cancellation has",
    )
    idle_timeout_boot_times: float = _ratio(
        "fleet", "idle", 0.8, 0.0, 100.0, "idle time until a machine is returned, of its boot time"
    )
    boot_timeout_boot_times: float = _ratio(
        "fleet", "late", 2.2, 1.0, 20.0, "boot time until a machine is replaced, of its usual one"
    )
    expected_boot_ratio: float = _ratio(
        "fleet", "boots", 1.25, 0.5, 5.0, "boot time to reckon with, of the usual one"
    )
    expected_run_ratio: float = _ratio(
        "fleet", "doubt", 2.0, 0.5, 10.0, "run time to reckon with, of the owner's estimate"
    )
    arrival_headroom_ratio: float = _ratio(
        "fleet", "headroom", 0.5, 0.0, 10.0, "room kept for arrivals, of what is expected while a machine boots"
    )
    capacity_planning_cpu_share: float = _ratio(
        "fleet", "effort", 0.15, 0.01, 1.0, "part of the processor's share that sizing may take"
    )
    service_headroom_share: float = _ratio(
        "fleet", "slack", 0.3, 0.0, 2.0, "room rented beyond what waiting services of the highest rank need"
    )
    consolidation_quiet_boot_times: float = _ratio(
        "fleet",
        "consolidate",
        5.0,
        0.0,
        1000.0,
        "time without an exit until a machine's last replicas are moved, of its boot time",
        alias="thin",
    )
    arrival_window_intervals: float = _ratio(
        "fleet", "window", 40.0, 5.0, 1000.0, "time over which arrivals are counted, of the report interval"
    )
    user_write_share: float = _ratio(
        "api", "reserve", 0.15, 0.0, 0.9, "changes kept free for users, of the changes a second"
    )
    maintenance_write_share: float = _ratio(
        "api", "tidy", 0.35, 0.0, 0.9, "changes left free by what only tidies up, of the changes a second"
    )
    max_waiting_write_seconds: float = _ratio(
        "api", "queue", 4.0, 0.1, 100.0, "submissions waiting at most, of the changes a second"
    )
    poll_timeout_intervals: float = _ratio(
        "api", "poll", 0.55, 0.1, 10.0, "time within which a question is answered, of the report interval"
    )
    request_timeout_intervals: float = _ratio(
        "api",
        "request",
        1.2,
        0.2,
        10.0,
        "time within which a submission or cancellation is answered, of the report interval",
    )
    retry_after_intervals: float = _ratio("api", "retry", 0.34, 0.1, 10.0, "Retry-After, of the report interval")


def load_tuning(path: str | None) -> Tuning:
    """Return the checked settings of an INI file (none: the defaults); `SettingsError` with one line."""
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
                raise SettingsError(f"{path}: {section}.{key}: is set twice, also under its other name")
            values[entry.name] = _checked_value(f"{path}: {section}.{key}", text, entry)
    return Tuning(**values)


def read_ini(path: str) -> "configparser.ConfigParser":
    """Return an INI file as it stands; `SettingsError` with one line if it is none."""
    # Loaded only where there is such a file: serving without one must not wait for it.
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
    """Return the settings by section and name, each also under its name of the version before."""
    known: dict[tuple[str, str], Field[float]] = {}
    for entry in fields(Tuning):
        for name in (entry.metadata["key"], entry.metadata["alias"]):
            if name is not None:
                known[(entry.metadata["section"], name)] = entry
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
