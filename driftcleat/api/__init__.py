"""The users' and workers' interfaces and the servers that listen on `bind` and `back`."""

from driftcleat.api.answers import Answer
from driftcleat.api.heartbeats import HeartbeatApi
from driftcleat.api.server import Listener, serve
from driftcleat.api.users import UserApi

__all__ = ["Answer", "HeartbeatApi", "Listener", "UserApi", "serve"]
