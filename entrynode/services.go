package entrynode

// endpointCount returns the number of endpoints of a service.
func (n *Node) endpointCount(service string) int { return len(n.directory.Current().Service(service)) }

// cacheTokens returns the cache size of a service's engines in tokens.
func (n *Node) cacheTokens(service string) int {
	if table := n.follower.Table(); table != nil {
		return table.Services[service].CacheTokens
	}
	return 0
}
