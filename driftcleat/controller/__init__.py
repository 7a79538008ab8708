"""One controller: the assembly of its parts, their loops, HTTP routes, the commit pipeline, recovery and status."""

from .controller import Controller

__all__ = ["Controller"]
