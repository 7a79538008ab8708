"""Sharing: the machines are divided into shards, so that several controllers schedule at the same time.

A shard is a set of machines and the jobs homed on them. It has its own scheduler, leader key, batches and records,
and is led by the controller that it is assigned to. Operators know a shard as a "share". This package is only
imported if a settings file of sharing, such as `deploy/sharing.ini`, is given by `--sharing` or `DRIFTCLEAT_SHARING`.
See `docs/sharing.md`.
"""
