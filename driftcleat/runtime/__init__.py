"""What every part of a process uses: contained side tasks and loops, and metrics."""
