"""Evacuation of failure domains."""
