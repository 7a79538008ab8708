"""Simulation of a site whose controllers divide the machines into shards, with the invariants of sharding checked."""

import asyncio
import json
import random
from types import SimpleNamespace
from typing import Any

from driftcleat import wire
from driftcleat.net import SocketBudget
from driftcleat.settings import Platform, Tuning
from driftcleat.sharing.host import ShardHost
from driftcleat.sharing.keys import ALLOCATIONS_PREFIX, ASSIGNMENT_KEY, MACHINE_SHARDS_PREFIX, shard_prefix
from driftcleat.sharing.quota import QuotaAllocation, team_limit
from driftcleat.sharing.settings import SharingSettings
from driftcleat.store.keys import LEADER_KEY, ROOT_PREFIX

from .protocol_doubles import ChangeLogStoreDouble
from .reference_model import InvariantViolationError
from .reference_worker import ReferenceWorker, WorkerTask
from .simulated_clients import SimulatedPeerClient, attach_to_simulation, simulated_clients, simulated_listener
from .simulation import LABELS, Simulation

SHARD_COUNT = 3


class SimulatedShardHost(ShardHost):
    """A real shard host whose clients and listeners use no sockets."""

    def __init__(self, simulation: "ShardedSimulation", platform: Platform, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(platform, Tuning(), simulation.sharing, rng, loop.time, loop.time)
        self.simulation = simulation

    def connect(self, sockets: SocketBudget) -> list[Any]:
        clients = simulated_clients(self.simulation, self.platform, self.clock)
        self.store, self.cloud, self.workers = clients.store, clients.cloud, clients.workers
        return []

    def make_peers(self, shard: int) -> Any:
        return self.make_sharing_client("/peer" if shard == 0 else f"/peer/{shard}")

    def make_sharing_client(self, path: str) -> Any:
        none: Any = SimpleNamespace()
        client = SimulatedPeerClient(none, self.platform, path)
        attach_to_simulation(client, self.simulation, self.platform)
        return client

    async def listen(self, sockets: SocketBudget) -> list[Any]:
        self.front = simulated_listener()
        return []


class ShardedSimulation(Simulation):
    """A simulation whose three controllers each run some of the shards."""

    controllers: dict[str, SimulatedShardHost]  # type: ignore[assignment]

    def __init__(self, seed: int, shard_count: int = SHARD_COUNT, balance: float = 0.0, **limits: Any) -> None:
        super().__init__(seed, **limits)
        self.sharing = SharingSettings(shares=shard_count, balance=balance)
        self.store_double = ChangeLogStoreDouble(self.store)
        # The shard of each machine as first seen in the store; it must not change.
        self.machine_shards: dict[str, int] = {}
        self.moves = 0

    def start(self, label: str) -> None:
        host = SimulatedShardHost(self, self.platforms[label], random.Random(self.rng.random()))
        self.controllers[label] = host
        self.processes[label] = asyncio.ensure_future(host.run())

    def crash(self, *labels: str) -> None:
        for label in labels:
            if label in self.processes:
                for engine in self.controllers[label].engines.values():
                    for task in engine.background.tasks:
                        task.cancel()
        super().crash(*labels)

    def is_up(self, label: str) -> bool:
        return label in self.processes and self.controllers[label].is_serving(0)

    def leader_label(self) -> str | None:
        return next((label for label in sorted(self.processes) if self.controllers[label].may_decide), None)

    def shard_leader(self, shard: int) -> str | None:
        """Return the controller that leads a shard, or None; fail if there are two."""
        leaders = [label for label in sorted(self.processes) if self.controllers[label].leads(shard)]
        assert len(leaders) <= 1, f"shard {shard} is led by {leaders}"
        return leaders[0] if leaders else None

    def all_shards_led(self) -> bool:
        """Return whether shards are assigned and each has a leader."""
        return ASSIGNMENT_KEY in self.store.data and all(
            self.shard_leader(shard) for shard in range(self.sharing.shares)
        )

    async def wait_until_ready(self) -> None:
        """Wait until shards are assigned and each has a leader."""
        await self.run_until(self.all_shards_led)

    async def request_move(self, shard: int, target: str) -> tuple[int, Any]:
        """Request a shard move as an operator does, at a random controller; return status and decoded body."""
        up = [other for other in LABELS if self.is_up(other)]
        if not up:
            return 0, None
        label = self.rng.choice(up)
        body = wire.encode({"share": shard, "receiver": target})
        response = await self.controllers[label].handle_back("POST", "/shares/move", body)
        return response.status, json.loads(response.body) if response.body else None

    def overwrite_key(self, key: str, value: Any) -> None:
        """Overwrite a key in the store, as a writer outside of the protocol would."""
        self.store.revision += 1
        self.store.data[key] = (value, self.store.revision)
        assert isinstance(self.store_double, ChangeLogStoreDouble)
        self.store_double.record_change({"put": key, "v": value}, self.store.revision)

    def assignment(self) -> Any:
        """Return the shard assignment in the store as decoded JSON."""
        return self.store.data[ASSIGNMENT_KEY][0]

    # Invariants

    def check_shard_invariants(self) -> None:
        """Raise `InvariantViolationError` unless the invariants of `docs/sharing.md` hold now."""
        for shard in range(self.sharing.shares):
            self.shard_leader(shard)
        for key, (value, _) in self.store.data.items():
            if key.startswith(MACHINE_SHARDS_PREFIX):
                name = key[len(MACHINE_SHARDS_PREFIX) :]
                if self.machine_shards.setdefault(name, value) != value:
                    raise InvariantViolationError(
                        f"two owners: {name} moved from shard {self.machine_shards[name]} to {value}"
                    )
            elif key.startswith(ALLOCATIONS_PREFIX):
                self._check_quota_allocation(key[len(ALLOCATIONS_PREFIX) :], value)

    def _check_quota_allocation(self, team: str, value: Any) -> None:
        total = wire.convert(value, QuotaAllocation).total()
        if not team_limit(self.platform.teams[team]).covers(total):
            raise InvariantViolationError(f"quota: allocations of {team} add up to {total}")

    def check_start(self, worker: ReferenceWorker, task: WorkerTask) -> None:
        """Check a starting task as the base class does, and that its machine belongs to the job's home shard."""
        super().check_start(worker, task)
        home_shard = next(
            (
                shard
                for shard in range(self.sharing.shares)
                if f"{shard_prefix(shard)}jobs/{task.job.id}" in self.store.data
            ),
            None,
        )
        machine_shard = self.store.data.get(MACHINE_SHARDS_PREFIX + worker.name, (None, 0))[0]
        if home_shard is not None and machine_shard is not None and machine_shard != home_shard:
            self.failure = InvariantViolationError(
                f"two owners: {worker.name} of shard {machine_shard} runs {task.job.id} of shard {home_shard}"
            )
            raise self.failure

    async def advance(self, seconds: float) -> None:
        await super().advance(seconds)
        self.check_shard_invariants()


def leader_key(shard: int) -> str:
    """Return the store key of a shard's leader."""
    return LEADER_KEY if shard == 0 else shard_prefix(shard) + LEADER_KEY[len(ROOT_PREFIX) :]
