"""What the cases 6 to 10 share: the program's processes, the settings, and the record of a case."""
