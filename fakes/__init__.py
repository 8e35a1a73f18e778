"""Outside systems as stand-ins, scripted from their published specifications; docs name each. Loopback
only."""
