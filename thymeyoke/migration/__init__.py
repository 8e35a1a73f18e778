"""Which tenant should go to which node, and how far it is. docs/migration.md."""
