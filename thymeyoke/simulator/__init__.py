"""The drill: the bench's wire on standard input and output, spoken to the decisions through the port."""
