"""The cloud: its client, and the loops that keep the fleet at the size that capacity planning asks for."""
