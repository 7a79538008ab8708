"""The interfaces for users and workers, and the HTTP server that listens on the addresses `bind` and `back`."""

from driftcleat.api.heartbeats import HeartbeatApi
from driftcleat.api.responses import Response
from driftcleat.api.server import Listener, serve
from driftcleat.api.users import UserApi

__all__ = ["HeartbeatApi", "Listener", "Response", "UserApi", "serve"]
