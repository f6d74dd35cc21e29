"""Hedged requests within an operator's limit on the platform."""
