"""The users' and workers' interfaces and the servers that listen on `bind` and `back`."""

from .answers import Answer
from .reports import ReportApi
from .server import Listener, serve
from .users import UserApi

__all__ = ["Answer", "Listener", "ReportApi", "UserApi", "serve"]
