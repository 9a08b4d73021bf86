package demo

import (
	"fmt"
	"io"
)

// WriteGuide writes the deployment's addresses and keys, and example commands.
func (d *Demo) WriteGuide(w io.Writer) error {
	deployment := d.options.Deployment
	fmt.Fprintf(w, "%s is running: %d nodes in front of %d engines.\n\nNodes (callers, operators):\n", deployment.Name, len(d.daemons), len(d.engines))
	for i, host := range deployment.Hosts {
		listen := d.daemons[i].Addresses()
		fmt.Fprintf(w, "  %-12s http://%s  http://%s\n", host.Node, listen.Callers, listen.Operators)
	}
	fmt.Fprintf(w, "\nOrganisations (tier, key):\n")
	for _, row := range d.table.Organisations {
		fmt.Fprintf(w, "  %-14s %-9s %s\n", row.ID, row.Tier, deployment.Keys[row.ID])
	}
	listen := d.daemons[0].Addresses()
	org := d.table.Organisations[0].ID
	fmt.Fprintf(w, "\nTry:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", listen.Callers, deployment.Keys[org])
	fmt.Fprintf(w, "    -H 'Content-Type: application/json' -H 'Idempotency-Key: first' \\\n")
	fmt.Fprintf(w, "    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":30,\"messages\":[{\"role\":\"user\",\"content\":\"Good morning\"}]}'\n", deployment.Model)
	fmt.Fprintf(w, "  go run ./cmd/hawthornctl status -node http://%s -key-file %s\n", listen.Operators, d.files.operatorKeyPath())
	fmt.Fprintf(w, "  operators' page: http://%s/operator, key %s\n", listen.Operators, OperatorKey)
	_, err := fmt.Fprintf(w, "  curl http://%s/debug/state\n  curl http://%s/metrics\n\nPress Ctrl-C to drain and exit.\n", listen.Operators, listen.Operators)
	return err
}
