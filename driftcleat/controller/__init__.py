"""One controller: assembly of its parts, their loops, routes, commits, recovery after a failover, and its status."""

from .controller import Controller

__all__ = ["Controller"]
