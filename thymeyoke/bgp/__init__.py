"""Service addresses over BGP: announced while this instance can serve; docs/bgp.md has the whole."""
