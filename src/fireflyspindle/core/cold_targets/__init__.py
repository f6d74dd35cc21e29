"""Targets that are cold after a start or an evacuation."""
