"""Assembly of a controller: its components exist before it runs, and its listeners are closed when it ends."""

import asyncio
import dataclasses
import socket

import pytest

from driftcleat.controller.controller import Controller
from driftcleat.leadership import Role
from driftcleat.settings import Platform, Tuning

from .protocol_doubles import free_port
from .samples import platform
from .simulation import Simulation


def loopback_platform() -> Platform:
    """Return platform settings with free loopback addresses."""
    return dataclasses.replace(platform(), bind=f"127.0.0.1:{free_port()}", back=f"127.0.0.1:{free_port()}")


def is_listening(address: str) -> bool:
    """Return whether a connection to the address is accepted."""
    host, _, port = address.partition(":")
    try:
        socket.create_connection((host, int(port)), 1.0).close()
    except ConnectionRefusedError:
        return False
    return True


def test_controller_is_fully_assembled_before_it_runs() -> None:
    async def scenario() -> None:
        controller = Controller(loopback_platform(), Tuning())
        assert not controller.is_serving and not controller.may_decide
        assert controller.election is controller.active_term.election and controller.election.role is Role.FOLLOWER
        assert controller.leader is None and controller.scheduler is None
        components = (
            controller.front,
            controller.store,
            controller.cloud,
            controller.workers,
            controller.peers,
            controller.users,
            controller.heartbeats,
            controller.peer_api,
            controller.commit_pipeline,
            controller.dispatcher,
            controller.fleet_manager,
            controller.metrics,
            controller.overload,
        )
        assert all(component is not None for component in components)
        assert (await controller.handle_back("GET", "/status", b"")).status == 200
        assert (await controller.handle_front("GET", "/nowhere", b"")).status == 404

    asyncio.run(scenario())


def test_controller_listens_only_while_it_runs() -> None:
    async def scenario() -> None:
        settings = loopback_platform()
        controller = Controller(settings, Tuning())
        running = asyncio.ensure_future(controller.run())
        await asyncio.sleep(0.1)
        assert controller.is_serving
        assert await asyncio.to_thread(is_listening, settings.bind) and await asyncio.to_thread(
            is_listening, settings.back
        )
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running
        assert not await asyncio.to_thread(is_listening, settings.bind)
        assert not await asyncio.to_thread(is_listening, settings.back)

    asyncio.run(scenario())


def test_start_fails_and_leaves_nothing_open_if_an_address_is_in_use() -> None:
    async def scenario() -> None:
        settings = loopback_platform()
        host, _, port = settings.back.partition(":")
        with socket.create_server((host, int(port))):
            controller = Controller(settings, Tuning())
            with pytest.raises(OSError, match="in use"):
                await controller.run()
            assert not controller.is_serving
            assert not await asyncio.to_thread(is_listening, settings.bind)

    asyncio.run(scenario())


def test_cancelled_loop_ends_its_controller() -> None:
    """Guards against a controller that keeps running after one of its loops was cancelled."""

    async def scenario(simulation: Simulation) -> None:
        label = str(simulation.leader_label())

        async def raise_cancelled() -> None:
            raise asyncio.CancelledError

        simulation.crash(label)
        simulation.start(label)
        simulation.controllers[label].dispatcher.scan = raise_cancelled  # type: ignore[method-assign]
        process = simulation.processes.pop(label)
        await asyncio.wait([process], timeout=5.0)
        assert process.cancelled()

    Simulation(5).run_scenario(scenario)
