"""Messages between controllers: forwarded user requests, pings, and views of the store and the leader."""

from driftcleat.peers.client import PeerClient

__all__ = ["PeerClient"]
