"""Settings: the platform's TOML file and the operators' INI file, both validated before use."""

from driftcleat.settings.operator import Tuning, load_tuning
from driftcleat.settings.platform import Objective, Peer, Platform, SettingsError, Team, load_platform

__all__ = ["Objective", "Peer", "Platform", "SettingsError", "Team", "Tuning", "load_platform", "load_tuning"]
