"""The base of all exceptions that this project raises on purpose."""

from __future__ import annotations


class ThymeyokeError(Exception):
    """Something that the caller can act on; the text is for people."""
