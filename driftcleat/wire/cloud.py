"""Messages between the leader and the cloud: machine types, creation and deletion of machines, the machine list."""

import msgspec


class MachineType(msgspec.Struct, frozen=True):
    """One machine type of `GET /machine_types`; prices are per hour."""

    name: str = msgspec.field(name="label")
    cpus: float = msgspec.field(name="cores")
    gpus: float = msgspec.field(name="accelerators")
    memory_gb: float = msgspec.field(name="memGb")
    cache_gb: float = msgspec.field(name="cacheGb")
    fetch_gb_per_s: float = msgspec.field(name="fetchGbPerS")
    price: float = msgspec.field(name="hourly")
    spot_price: float = msgspec.field(name="lowPrice")
    boot_s: float = msgspec.field(name="startupS")
    zones: tuple[str, ...] = msgspec.field(name="harbors")


class MachineTypesResponse(msgspec.Struct, frozen=True):
    """The response of `GET /machine_types`."""

    types: tuple[MachineType, ...] = msgspec.field(name="builds")


class CreateMachinesRequest(msgspec.Struct, frozen=True):
    """The request of `POST /rentals`; the cloud carries it out at most once for each `request_id`."""

    request_id: str = msgspec.field(name="charter")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    count: int = msgspec.field(name="howMany")


class CreateMachinesResponse(msgspec.Struct, frozen=True):
    """The response of `POST /rentals`: the names of the machines created, which may be fewer than requested."""

    machines: tuple[str, ...] = msgspec.field(name="bollards")


class DeleteMachinesRequest(msgspec.Struct, frozen=True):
    """The request of `POST /rentals/return`; unknown names are ignored."""

    machines: list[str] = msgspec.field(name="bollards")


class ListedMachine(msgspec.Struct, frozen=True):
    """One machine of `GET /rentals`, possibly outdated by seconds; `state` is `starting`, `running` or `failed`."""

    name: str = msgspec.field(name="nameId")
    address: str = msgspec.field(name="addr")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    state: str = msgspec.field(name="bearing")
    age_s: float = msgspec.field(name="ageS")


class MachineListResponse(msgspec.Struct, frozen=True):
    """The response of `GET /rentals`: a page of the machine list in order of names."""

    machines: tuple[ListedMachine, ...] = msgspec.field(name="bollards")
    more: bool = msgspec.field(name="truncated", default=False)
