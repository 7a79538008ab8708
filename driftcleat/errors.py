"""The base class of all errors of this package."""


class DriftcleatError(Exception):
    """Base class of the errors that this package raises to its callers."""
