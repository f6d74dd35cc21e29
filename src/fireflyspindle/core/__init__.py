"""The pure core: a reducer over events, with effects as data."""
