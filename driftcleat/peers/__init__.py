"""Controllers talk to each other: forwarding users' requests and asking who is served by the store."""

from driftcleat.peers.client import PeerClient

__all__ = ["PeerClient"]
