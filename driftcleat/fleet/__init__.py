"""The fleet: how many machines are wanted (pure), and the cloud client that rents and returns them."""
