"""The process at layer four that carries seats and moves out. docs/proxy.md."""
