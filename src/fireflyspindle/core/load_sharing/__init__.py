"""Decisions when load is at its worst."""
