"""Shared machines: several controllers decide at once, each for the shares that it owns.

A share is a set of machines and the jobs homed on them: a scheduler of its own with its own leader key, batches and
records. Nothing here is loaded unless `deploy/sharing.ini` (or another file given by `DRIFTCLEAT_SHARING`) is named.
See `docs/sharing.md`.
"""
