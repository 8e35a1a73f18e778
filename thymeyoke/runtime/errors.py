"""Base class of the project's exceptions."""

from __future__ import annotations


class ThymeyokeError(Exception):
    """An error that the caller can handle; its message is meant for people."""
