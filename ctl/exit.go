package ctl

// Exit codes of hawthornctl.
const (
	// ExitOK means success, an accepted edit, or nothing to do.
	ExitOK = 0
	// ExitFailed means failure; an edit was certainly not accepted.
	ExitFailed = 1
	// ExitUsage means invalid flags or arguments; nothing was attempted.
	ExitUsage = 2
	// ExitUnknown means that an edit may or may not have been accepted.
	ExitUnknown = 3
	// ExitPartialRollout means that status found nodes without the latest table, or
	// unreachable nodes.
	ExitPartialRollout = 4
)
