"""driftcleat: a cluster scheduler whose controllers keep all persistent state in a small key-value store."""

__version__ = "0.7.1"
