"""Tests of driftcleat; none needs the bench."""
