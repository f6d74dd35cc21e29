"""Exit statuses of the command line."""

SUCCESS = 0
FAILURE = 1
BAD_USE = 2
