"""The files that operators and the platform write, as typed values."""
