"""The command-line programs of Auburn Junction."""
