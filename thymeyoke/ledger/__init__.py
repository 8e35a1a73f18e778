"""Usage per tenant: recorded in closed periods and exported exactly once."""
