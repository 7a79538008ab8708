"""The users' and workers' interfaces and the servers that listen on `bind` and `back`."""

from driftcleat.api.heartbeats import HeartbeatApi
from driftcleat.api.responses import Response
from driftcleat.api.server import Listener, serve
from driftcleat.api.users import UserApi

__all__ = ["HeartbeatApi", "Listener", "Response", "UserApi", "serve"]
