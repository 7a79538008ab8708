"""Load test: real controller processes and the protocol doubles of a full-size fleet."""
