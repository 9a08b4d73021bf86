package demo

import "hawthornrill.example/hawthornrill/config"

// Endpoints returns the rows of the stand-ins, with their addresses.
func (d *Demo) Endpoints() []config.EndpointRow { return d.table.Clone().Endpoints }
