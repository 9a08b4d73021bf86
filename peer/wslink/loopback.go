package wslink

import "net/netip"

// isLoopback reports whether the address, in the form "IP:port", is a loopback
// address.
func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}
