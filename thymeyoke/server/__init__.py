"""The app server on sockets, one module for each stage of a request; docs/architecture.md has the map."""
