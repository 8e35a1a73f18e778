"""thymeyoke: decides, inside each app server of a fleet, what it takes, runs and turns away."""

VERSION = "0.1.0"
