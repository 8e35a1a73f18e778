"""Speed and memory, as ratios from one run. No timed test: nothing here runs in CI."""
