"""One controller process: assembly of its parts, their loops, commits, recovery after a failover, and its status."""

from .controller import Controller

__all__ = ["Controller"]
