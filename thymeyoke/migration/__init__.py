"""Migration of tenants between proxy nodes, recommended or carried out; see docs/migration.md."""
