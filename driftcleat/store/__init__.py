"""The state service: its client, and the layout and encoding of the records that are stored in it."""
