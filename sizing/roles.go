package sizing

// Roles returns the components of a node.
func Roles() []Role {
	return []Role{
		entryRole(),
		ledgerRole(),
		queueRole(),
		ownerRole(),
		routerRole(),
		limitsRole(),
		membershipRole(),
		configurationRole(),
		coordinatorRole(),
		linksRole(),
		nodeRole(),
	}
}
