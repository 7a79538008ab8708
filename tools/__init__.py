"""Tools for developers; none is part of the service."""
