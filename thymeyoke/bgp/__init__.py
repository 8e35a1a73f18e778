"""Advertises service addresses over BGP while this app server can serve."""
