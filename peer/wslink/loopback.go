package wslink

import "net/netip"

// isLoopback reports whether the address, "IP:port", is on loopback.
func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}
