"""Expected completion and choice of data centres."""
