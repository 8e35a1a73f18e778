"""Characterization tests: what the program wrote, sent and decided when its names were changed must not change.

The recordings lie under `tests/data/`. A recording that no longer matches is a fault of the program, not of
the recording: `THYMEYOKE_RECORD=1` writes only recordings that are missing.
"""
