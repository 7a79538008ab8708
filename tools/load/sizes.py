"""Sizes of deployments: fleet sizes and limits of the site files, and fleets half as large again."""

import dataclasses
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Size:
    """The number of machines of a deployment, and the limits that the platform sets for it."""

    machines: int
    report_s: float
    lease_s: float
    cancel_s: float
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    core_share: float
    memory_mb: float
    fd_limit: int
    # Response time of the state service.
    store_s: float


_SITES = {
    "hki": Size(619, 3.0, 17.0, 42.0, 200.0, 50.0, 8.0, 24, 2.0, 10.0, 0.252, 151.0, 924, 0.002),
    "kandla": Size(591, 2.5, 14.0, 34.0, 300.0, 120.0, 16.0, 12, 6.0, 6.0, 0.468, 201.0, 1571, 0.002),
    "hki-lean": Size(692, 3.0, 17.0, 42.0, 200.0, 50.0, 8.0, 24, 2.0, 10.0, 0.086, 98.0, 1000, 0.002),
    "kandla-lean": Size(552, 2.5, 14.0, 34.0, 250.0, 100.0, 16.0, 12, 5.0, 6.0, 0.13, 122.0, 1500, 0.002),
}

SIZES = _SITES | {
    f"{name}-half-more": dataclasses.replace(size, machines=size.machines * 3 // 2) for name, size in _SITES.items()
}
