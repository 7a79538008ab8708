"""Settings and machine types of small deployments, in the form that the users' page on settings explains."""

from copy import deepcopy
from typing import Any

_HELSINKI: dict[str, Any] = {
    "controllers": ["vantaa-a", "espoo-b", "vantaa-a"],
    "count": 3,
    "zones": ["espoo-b", "vantaa-a"],
    "clock_off_ms": 250.0,
    "teams": [
        {"name": f"platform-pohjola-{number:02d}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 250.0}
        for number in range(3)
    ],
    "objectives": [
        {"kind": "wait", "class": "sigverify-live", "within_s": 40.0, "share": 0.85},
        {"kind": "finished", "class": "render-sweep", "within_s": 90.0, "share": 0.82},
        {"kind": "guarantee", "within_s": 10.0, "share": 0.78},
    ],
    "workers": {"report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 42.0},
    "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24},
    "cloud": {"rps": 2.0, "list_lag_s": 10.0},
    "resources": {"core_share": 0.288, "memory_mb": 146.0, "fd_limit": 1000},
}

_HELSINKI_TYPES: list[dict[str, Any]] = [
    {
        "label": "kide-24",
        "cores": 24.0,
        "accelerators": 4.0,
        "memGb": 96.0,
        "cacheGb": 100.0,
        "fetchGbPerS": 0.15,
        "hourly": 11.36,
        "lowPrice": 3.1,
        "startupS": 25.0,
        "harbors": ["vantaa-a", "espoo-b"],
    },
    {
        "label": "tunturi-96",
        "cores": 96.0,
        "accelerators": 8.0,
        "memGb": 576.0,
        "cacheGb": 80.0,
        "fetchGbPerS": 0.12,
        "hourly": 17.77,
        "lowPrice": 4.3,
        "startupS": 25.0,
        "harbors": ["vantaa-a", "espoo-b"],
    },
]


def helsinki() -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Return the settings and the machine types of a deployment of three controllers in two zones."""
    return deepcopy(_HELSINKI), deepcopy(_HELSINKI_TYPES)


_KANDLA: dict[str, Any] = {
    "controllers": ["kandla-north", "kandla-north", "kandla-north"],
    "count": 3,
    "zones": ["kandla-north", "kandla-south"],
    "clock_off_ms": 250.0,
    "teams": [{"name": "dock-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "wait", "class": "tide-train", "within_s": 60.0, "share": 0.9}],
    "workers": {"report_s": 2.5, "lease_s": 14.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 5.0, "list_lag_s": 6.0},
    "resources": {"core_share": 0.432, "memory_mb": 186.0, "fd_limit": 1500},
}

_KANDLA_TYPES: list[dict[str, Any]] = [
    {
        "label": "dhow-12",
        "cores": 12.0,
        "accelerators": 2.0,
        "memGb": 96.0,
        "cacheGb": 120.0,
        "fetchGbPerS": 0.25,
        "hourly": 5.11,
        "lowPrice": 1.75,
        "startupS": 40.0,
        "harbors": ["kandla-north", "kandla-south"],
    }
]


def kandla() -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Return the settings and the machine types of a deployment with a single type of machine."""
    return deepcopy(_KANDLA), deepcopy(_KANDLA_TYPES)
