"""Configuration files of operators and the platform, read into typed values."""
