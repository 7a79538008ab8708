"""The error from which all of this package derive."""


class DriftcleatError(Exception):
    """Something that this package reports to its callers."""
