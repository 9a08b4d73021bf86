package ctl

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"

	"hawthornrill.example/hawthornrill/config"
)

// keyPrefix makes a leaked key recognisable as one.
const keyPrefix = "hr_"

func defineKey(*flag.FlagSet) commandFunc {
	return func(_ context.Context, s Streams, arguments []string) (int, error) {
		var problems usageProblems
		rejectArguments(arguments, &problems)
		if err := problems.err(); err != nil {
			return ExitUsage, err
		}
		key := keyPrefix + rand.Text()
		_, _ = fmt.Fprintf(s.Out, "key:     %s\n", key)
		_, _ = fmt.Fprintf(s.Out, "sha256:  %s\n", config.FormatKeyHash(config.HashKey(key)))
		_, _ = fmt.Fprintln(s.Err, "Give the key to its owner now; it is kept nowhere. Only the SHA-256 goes into the table or the settings.")
		return ExitOK, nil
	}
}
