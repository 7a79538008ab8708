"""Settings, machine types and jobs of the two sites, at the figures of the users' pages."""

from typing import Any


def hki(gpus: float = 8.0, gpus_max: float = 250.0) -> dict[str, Any]:
    """Return the deployment's settings of allekirjoitus-hki, without the aims; the arguments are each team's."""
    return {
        "count": 3,
        "zones": ["espoo-b", "vantaa-a"],
        "clock_off_ms": 250.0,
        "teams": [
            {
                "name": f"platform-pohjola-{number:02d}",
                "cpus": 0.0,
                "cpus_max": 0.0,
                "gpus": gpus,
                "gpus_max": gpus_max,
            }
            for number in range(12)
        ],
        "workers": {"report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 42.0},
        "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 2.0, "list_lag_s": 10.0},
        "resources": {"core_share": 0.288, "memory_mb": 146.0, "fd_limit": 1000},
    }


def hki_grown() -> dict[str, Any]:
    """Return the deployment's settings of allekirjoitus-hki-grown, without the aims."""
    return hki(200.0, 10_000.0)


HKI_DOMAINS = ["vantaa-a", "espoo-b", "vantaa-a"]


def hki_types(startup_s: float) -> list[dict[str, Any]]:
    """Return the machine types of allekirjoitus-hki; machines are up after `startup_s`."""
    return [
        {
            "label": "kide-24",
            "cores": 24,
            "accelerators": 4,
            "memGb": 96,
            "cacheGb": 100,
            "fetchGbPerS": 0.15,
            "hourly": 11.36,
            "lowPrice": 3.1,
            "startupS": startup_s,
            "harbors": ["vantaa-a", "espoo-b"],
        },
        {
            "label": "tunturi-96",
            "cores": 96,
            "accelerators": 8,
            "memGb": 576,
            "cacheGb": 80,
            "fetchGbPerS": 0.12,
            "hourly": 17.77,
            "lowPrice": 4.3,
            "startupS": startup_s,
            "harbors": ["vantaa-a"],
        },
    ]


def array(number: int, hands: int, run_s: float, **changes: Any) -> dict[str, Any]:
    """Return the submission of an array of small tasks."""
    return {
        "nameId": f"req-{number:06d}",
        "cargo": "render-sweep",
        "crew": "platform-pohjola-00",
        "rig": "array",
        "rank": "best_effort",
        "hands": hands,
        "cores": 2.0,
        "accelerators": 1.0,
        "memGb": 8.0,
        "hull": "img-01",
        "imageGb": 0.1,
        "builds": None,
        "harbor": None,
        "together": False,
        "spread": False,
        "driftwood": False,
        "voyageS": run_s,
        "mooringS": 0.0,
        "stowS": 0.0,
        "tideS": None,
    } | changes
