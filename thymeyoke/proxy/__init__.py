"""Proxy nodes at layer four: forward connections of clients to app servers; see docs/proxy.md."""
