"""What every program of this project stands on: logs, clock, mailboxes, framing, extensions."""
