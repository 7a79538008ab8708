"""Capacity planning: which machines the queue needs, arrival rates, and telling failed machines from partitions."""
