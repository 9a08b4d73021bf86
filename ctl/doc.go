// Package ctl implements hawthornctl, the operators' command-line tool. It calls
// any node through package operatorapi and stores nothing but the files that the
// operator names.
package ctl
