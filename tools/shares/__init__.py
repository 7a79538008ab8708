"""Shares moved among real processes under load, with controllers killed and paused; the history is checked."""
