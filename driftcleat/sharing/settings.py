"""The settings of sharing: an INI file, validated as a whole before the controller starts."""

import math
from dataclasses import dataclass

from driftcleat.settings import SettingsError
from driftcleat.settings.operator import read_ini

SECTION = "sharing"
# Bound on the number of shards: each costs every controller a watch on the store.
MAX_SHARDS = 32
DEFAULT_SHARDS = 3


@dataclass(frozen=True, slots=True)
class SharingSettings:
    """The number of shards, and when they move. The INI keys are the field names.

    Times are multiples of the heartbeat interval.
    """

    shares: int = DEFAULT_SHARDS
    # Timeout of a move, after which it is cancelled.
    move: float = 5.0
    # Minimum gain of a proposed move: by how much it lowers the highest load, as a fraction of the mean load.
    imbalance: float = 0.5
    # Pause between two moves that the planner proposes; 0 disables the planner.
    balance: float = 20.0
    # Time without a status message after which a controller is presumed lost and its shards are reassigned.
    silence: float = 1.5


_RANGES = {
    "shares": (1, MAX_SHARDS),
    "move": (1.0, 100.0),
    "imbalance": (0.1, 10.0),
    "balance": (0.0, 10_000.0),
    "silence": (0.5, 100.0),
}


def load_sharing(path: str) -> SharingSettings:
    """Return the validated settings of a file; `SettingsError` with one line that names file and key if invalid."""
    parser = read_ini(path)
    for section in parser.sections():
        if section != SECTION:
            raise SettingsError(f"{path}: {section}: unknown section")
    if not parser.has_section(SECTION):
        raise SettingsError(f"{path}: {SECTION}: the one section there has to be is missing")
    values = {key: _checked(path, key, text) for key, text in parser.items(SECTION)}
    shares = int(values.pop("shares", DEFAULT_SHARDS))
    return SharingSettings(shares, **values)


def _checked(path: str, key: str, text: str) -> float:
    where = f"{path}: {SECTION}.{key}"
    if key not in _RANGES:
        raise SettingsError(f"{where}: unknown key")
    low, high = _RANGES[key]
    try:
        value = float(text)
    except ValueError:
        raise SettingsError(f"{where}: must be a number") from None
    if not math.isfinite(value) or not low <= value <= high or (key == "shares" and value != int(value)):
        raise SettingsError(f"{where}: must be {'a whole number ' if key == 'shares' else ''}{low:g} to {high:g}")
    return value
