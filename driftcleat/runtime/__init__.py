"""Shared by all parts of a process: background tasks, loops that are restarted after errors, and metrics."""
