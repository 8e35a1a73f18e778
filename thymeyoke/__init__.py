"""thymeyoke: decides, inside each app server of a fleet, which requests it admits, runs and rejects."""

VERSION = "0.1.0"
