"""The state service: its client, and how records lie in it."""
