"""Command requests sent to workers directly."""

from driftcleat.workers.commands import WorkerClient

__all__ = ["WorkerClient"]
