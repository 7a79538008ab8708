"""Settings: the platform's TOML file and the operators' own INI file, both checked before use."""

from .operator import Tuning, load_tuning
from .platform import Objective, Peer, Platform, SettingsError, Team, load_platform

__all__ = ["Objective", "Peer", "Platform", "SettingsError", "Team", "Tuning", "load_platform", "load_tuning"]
