"""The operators' own settings: an INI file whose defaults are ratios to the platform's figures."""

import math
from dataclasses import Field, dataclass, field, fields
from typing import TYPE_CHECKING, Any

from driftcleat.settings.platform import SettingsError

if TYPE_CHECKING:
    import configparser


def _ratio(section: str, default: float, low: float, high: float, help_text: str, alias: str | None = None) -> Any:
    """Declare a setting; `alias` is the name it had in the version before, which is still accepted."""
    return field(
        default=default,
        metadata={"section": section, "low": low, "high": high, "help": help_text, "alias": alias},
    )


@dataclass(frozen=True, slots=True)
class Tuning:
    """What operators may set. Times are ratios to the platform's figures, named in each help text."""

    ttl: float = _ratio("leadership", 0.12, 0.05, 0.9, "leader lease, of the worker lease")
    renew: float = _ratio("leadership", 0.3, 0.1, 0.5, "pause between renewals, of the leader lease")
    drift: float = _ratio("leadership", 0.002, 0.0005, 0.1, "part of a lease given up for clock drift")
    uncertain: float = _ratio(
        "leadership",
        2.0,
        0.0,
        20.0,
        "longest time that an unsure leader goes on while a controller is silent, of the worker lease",
        alias="hold",
    )
    no_reports: float = _ratio(
        "leadership", 0.45, 0.1, 2.0, "time with no report at all, of the worker lease", alias="deaf"
    )
    ready: float = _ratio(
        "leadership",
        0.25,
        0.05,
        10.0,
        "time without reaching a leader until users are sent elsewhere, of the worker lease",
    )
    sample: float = _ratio("placement", 64, 1, 1000, "machines looked at first for a place")
    budget: float = _ratio("placement", 0.01, 0.0005, 0.2, "time of one round, of the report interval")
    share: float = _ratio("placement", 0.8, 0.05, 1.0, "part of the processor's share that placement rounds may take")
    patience: float = _ratio(
        "placement",
        2.0,
        0.0,
        20.0,
        "time a job waits for a machine that fetches no other image, of a machine's boot time",
    )
    evict: float = _ratio(
        "placement", 0.5, 0.0, 100.0, "loss taken to start where an image is, of what fetching it costs"
    )
    refetch: float = _ratio(
        "placement", 0.25, 0.0, 1.0, "part of a running task's fetch that its stop is reckoned to cost"
    )
    scan: float = _ratio("placement", 1.67, 0.2, 20.0, "pause between scans, of the report interval")
    answer: float = _ratio(
        "placement", 0.15, 0.0, 0.5, "longest a report with news waits for its batch, of the report interval"
    )
    lost: float = _ratio("fleet", 1.35, 0.5, 10.0, "silence until a machine is given up, of the worker lease")
    partitioned: float = _ratio(
        "fleet",
        4.5,
        0.5,
        20.0,
        "silence until machines are given up that fell silent with many others, of the worker lease",
        alias="cut",
    )
    correlated: float = _ratio(
        "fleet",
        0.05,
        0.0,
        1.0,
        "part of the machines that fall silent together by a network's fault rather than each by its own",
        alias="many",
    )
    fence: float = _ratio(
        "fleet",
        0.35,
        0.1,
        0.8,
        "time until a machine that keeps a cancelled task is returned, of the time a cancellation has",
    )
    idle: float = _ratio("fleet", 0.8, 0.0, 100.0, "idle time until a machine is returned, of its boot time")
    late: float = _ratio("fleet", 2.2, 1.0, 20.0, "boot time until a machine is replaced, of its usual one")
    boots: float = _ratio("fleet", 1.25, 0.5, 5.0, "boot time to reckon with, of the usual one")
    doubt: float = _ratio("fleet", 2.0, 0.5, 10.0, "run time to reckon with, of the owner's estimate")
    headroom: float = _ratio(
        "fleet", 0.5, 0.0, 10.0, "room kept for arrivals, of what is expected while a machine boots"
    )
    effort: float = _ratio("fleet", 0.15, 0.01, 1.0, "part of the processor's share that sizing may take")
    slack: float = _ratio("fleet", 0.3, 0.0, 2.0, "room rented beyond what waiting services of the highest rank need")
    consolidate: float = _ratio(
        "fleet",
        5.0,
        0.0,
        1000.0,
        "time without an exit until a machine's last replicas are moved, of its boot time",
        alias="thin",
    )
    window: float = _ratio("fleet", 40.0, 5.0, 1000.0, "time over which arrivals are counted, of the report interval")
    reserve: float = _ratio("api", 0.15, 0.0, 0.9, "changes kept free for users, of the changes a second")
    tidy: float = _ratio("api", 0.35, 0.0, 0.9, "changes left free by what only tidies up, of the changes a second")
    queue: float = _ratio("api", 4.0, 0.1, 100.0, "submissions waiting at most, of the changes a second")
    poll: float = _ratio("api", 0.55, 0.1, 10.0, "time within which a question is answered, of the report interval")
    request: float = _ratio(
        "api", 1.2, 0.2, 10.0, "time within which a submission or cancellation is answered, of the report interval"
    )
    retry: float = _ratio("api", 0.34, 0.1, 10.0, "Retry-After, of the report interval")


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
        for name in (entry.name, entry.metadata["alias"]):
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
