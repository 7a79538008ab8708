"""Workers: taking reports in and sending commands straight to machines."""

from .commands import WorkerClient

__all__ = ["WorkerClient"]
