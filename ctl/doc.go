// Package ctl is the operators' command line: hawthornctl. It speaks to any node
// over package operatorapi and keeps nothing of its own but the files that the
// operator names.
package ctl
