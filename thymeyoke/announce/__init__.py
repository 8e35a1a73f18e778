"""Service addresses over BGP: announced while this instance can serve; docs/announce.md has the whole."""
