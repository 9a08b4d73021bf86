package ctl

import (
	"flag"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"hawthornrill.example/hawthornrill/operatorapi"
)

const (
	environmentNodes   = "HAWTHORNRILL_NODES"
	environmentKeyFile = "HAWTHORNRILL_KEY_FILE"
)

// target is where a command's requests go.
type target struct {
	nodes, keyFile string
}

// addTarget adds the flags that all commands which ask a node have.
func addTarget(flags *flag.FlagSet) *target {
	t := &target{}
	flags.StringVar(&t.nodes, "node", os.Getenv(environmentNodes), "`addresses` of nodes, http://IP:port, separated by commas; the first that can be reached is asked")
	flags.StringVar(&t.keyFile, "key-file", os.Getenv(environmentKeyFile), "`file` that holds the operator's key")
	return t
}

// client returns a client, and notes what is wrong with the flags.
func (t *target) client(s Streams, problems *fieldProblems) *operatorapi.Client {
	var nodes []string
	for _, node := range strings.Split(t.nodes, ",") {
		node = strings.TrimSpace(node)
		if reason := refuseNode(node); reason != "" {
			problems.add("-node", node, reason)
		}
		nodes = append(nodes, node)
	}
	client := operatorapi.NewClient(nodes, t.key(problems))
	if s.transport != nil {
		client.SetTransport(s.transport)
	}
	return client
}

func refuseNode(node string) string {
	if node == "" {
		return "must be given, here or in " + environmentNodes
	}
	u, err := url.Parse(node)
	if err != nil || u.Scheme != "http" || strings.Trim(u.Path, "/") != "" {
		return "must be http://IP:port"
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "must be http://IP:port"
	}
	return ""
}

func (t *target) key(problems *fieldProblems) string {
	if t.keyFile == "" {
		problems.add("-key-file", "", "must be given, here or in "+environmentKeyFile)
		return ""
	}
	data, err := os.ReadFile(t.keyFile)
	if err != nil {
		problems.add("-key-file", t.keyFile, err.Error())
		return ""
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsAny(key, " \n\t") {
		problems.add("-key-file", t.keyFile, "must hold one key and nothing else")
	}
	return key
}

// oneArgument returns the only argument, and notes if there isn't just one.
func oneArgument(name string, arguments []string, problems *fieldProblems) string {
	if len(arguments) != 1 {
		problems.add(name, strings.Join(arguments, " "), "exactly one must be given, after the flags")
		return ""
	}
	return arguments[0]
}

// noArguments notes arguments that a command doesn't take.
func noArguments(arguments []string, problems *fieldProblems) {
	if len(arguments) > 0 {
		problems.add("arguments", strings.Join(arguments, " "), "the command takes none")
	}
}
