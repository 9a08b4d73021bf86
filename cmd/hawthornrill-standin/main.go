// Command hawthornrill-standin runs one stand-in of what surrounds the system: a
// model engine, a plain service, or a part of the platform.
package main

import (
	"os"

	"hawthornrill.example/hawthornrill/standin/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
