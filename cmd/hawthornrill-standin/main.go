// Command hawthornrill-standin runs a stand-in for one of the system's
// dependencies: a model engine, a plain service, or a part of the platform.
package main

import (
	"os"

	"hawthornrill.example/hawthornrill/standin/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
