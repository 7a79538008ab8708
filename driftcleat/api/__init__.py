"""The users' interface and the servers that listen on `bind` and `back`."""

from .http import Answer, serve
from .users import UserApi

__all__ = ["Answer", "UserApi", "serve"]
