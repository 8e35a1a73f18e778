"""Characterization tests: renaming must not change what the program writes, sends and decides.

The recordings lie under `tests/data/`. A recording that no longer matches is a fault of the program, not of
the recording: `THYMEYOKE_RECORD=1` writes only recordings that are missing.
"""
