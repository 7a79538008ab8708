"""Tests of driftcleat; they need nothing outside of the repository."""
