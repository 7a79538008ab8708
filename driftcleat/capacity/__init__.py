"""Capacity planning: which machines the queue needs, arrival rates, and the failure detector for machines."""
