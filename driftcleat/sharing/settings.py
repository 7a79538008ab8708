"""The settings of sharing: an INI file, checked as a whole before anything is switched on."""

import math
from dataclasses import dataclass

from driftcleat.settings import SettingsError
from driftcleat.settings.operator import read_ini

SECTION = "sharing"
# As many shares as an assignment may name: each costs every controller a watch.
MAX_SHARDS = 32
DEFAULT_SHARDS = 3


@dataclass(frozen=True, slots=True)
class SharingSettings:
    """How many shares there are and when they move. Times are ratios to the report interval."""

    shares: int = DEFAULT_SHARDS
    # Time in which a move has to be done, before it is given up.
    move: float = 5.0
    # The least difference between the most and the least loaded controller, of the mean load, that is worth a move.
    imbalance: float = 0.5
    # Pause between two moves that the planner proposes; 0: it proposes none.
    balance: float = 20.0
    # Time without a word from a controller until its shares are given to others.
    silence: float = 1.5


_RANGES = {
    "shares": (1, MAX_SHARDS),
    "move": (1.0, 100.0),
    "imbalance": (0.1, 10.0),
    "balance": (0.0, 10_000.0),
    "silence": (0.5, 100.0),
}


def load_sharing(path: str) -> SharingSettings:
    """Return the checked settings of a file; `SettingsError` with one line that names file and key otherwise."""
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
