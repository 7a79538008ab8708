"""The cloud: its client, and the loops that keep the fleet at the size that the capacity plan asks for."""
