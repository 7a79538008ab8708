"""Workers: taking reports in and sending commands straight to machines."""

from driftcleat.workers.commands import WorkerClient

__all__ = ["WorkerClient"]
