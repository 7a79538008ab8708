"""Command requests, which are sent to workers' own addresses."""

from driftcleat.workers.commands import WorkerClient

__all__ = ["WorkerClient"]
