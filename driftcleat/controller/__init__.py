"""One controller: the assembly of its components, loops, HTTP routes, the commit pipeline, recovery and status."""

from .controller import Controller

__all__ = ["Controller"]
