"""What every part of a process uses: background tasks and loops that no error ends, and metrics."""
