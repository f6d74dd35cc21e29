"""Runs the command line by `python -m fireflyspindle`."""

from fireflyspindle import cli

cli.main()
