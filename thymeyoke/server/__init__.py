"""The app server on sockets, one file for each stage of an op's life; docs/architecture.md has the map."""
