"""Common infrastructure of all programs: logs, clock, mailboxes, framing, extensions."""
