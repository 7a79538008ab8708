"""Load test that moves shards among real controller processes, injects faults and checks the event history."""
