package ctl

// The exit codes of hawthornctl.
const (
	// ExitOK: done, accepted, or nothing to do.
	ExitOK = 0
	// ExitFailed: not done; an edit was certainly not accepted.
	ExitFailed = 1
	// ExitUsage: wrong flags or arguments; nothing was tried.
	ExitUsage = 2
	// ExitUnknown: it is not known whether an edit was accepted.
	ExitUnknown = 3
	// ExitPartialRollout: status found nodes without the latest table, or nodes that
	// can't be reached.
	ExitPartialRollout = 4
)
