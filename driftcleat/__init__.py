"""driftcleat: a cluster scheduler whose controllers keep their only lasting state in a small store."""

__version__ = "0.7.0"
