"""The client of the state service, and the layout and encoding of the records that are stored in it."""
