package demo

import "hawthornrill.example/hawthornrill/config"

// Endpoints returns the endpoint rows with the addresses of their stand-ins.
func (d *Demo) Endpoints() []config.EndpointRow { return d.table.Clone().Endpoints }
