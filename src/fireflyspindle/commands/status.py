"""Exit statuses of the command line."""

SUCCESS = 0
FAILURE = 1
USAGE_ERROR = 2
