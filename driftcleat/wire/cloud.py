"""Messages between the leader and the cloud: types, rentals, the machine list."""

import msgspec


class MachineType(msgspec.Struct, frozen=True):
    """What the cloud says of one type of machine."""

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
    """All types on offer."""

    types: tuple[MachineType, ...] = msgspec.field(name="builds")


class CreateMachinesRequest(msgspec.Struct, frozen=True):
    """A rental, carried out once under its name."""

    request_id: str = msgspec.field(name="charter")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    count: int = msgspec.field(name="howMany")


class CreateMachinesResponse(msgspec.Struct, frozen=True):
    """The names of the machines rented."""

    machines: tuple[str, ...] = msgspec.field(name="bollards")


class DeleteMachinesRequest(msgspec.Struct, frozen=True):
    """Machines to be deleted."""

    machines: list[str] = msgspec.field(name="bollards")


class ListedMachine(msgspec.Struct, frozen=True):
    """One machine in the cloud's list, as it was some time ago."""

    name: str = msgspec.field(name="nameId")
    address: str = msgspec.field(name="addr")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    state: str = msgspec.field(name="bearing")
    age_s: float = msgspec.field(name="ageS")


class MachineListResponse(msgspec.Struct, frozen=True):
    """A page of the machine list."""

    machines: tuple[ListedMachine, ...] = msgspec.field(name="bollards")
    more: bool = msgspec.field(name="truncated", default=False)
