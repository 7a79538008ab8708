"""Load test: real controller processes at a fleet's full size, everything around them stood in for."""
