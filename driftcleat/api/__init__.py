"""The users' interface and the servers that listen on `bind` and `back`."""

from .http import Answer, Listener, serve
from .users import UserApi

__all__ = ["Answer", "Listener", "UserApi", "serve"]
