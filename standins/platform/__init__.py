"""Stand-ins for the users' platform on loopback: store, engines, machines."""
