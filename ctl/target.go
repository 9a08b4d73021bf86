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
	nodesEnv   = "HAWTHORNRILL_NODES"
	keyFileEnv = "HAWTHORNRILL_KEY_FILE"
)

// target holds the flags that select the nodes and the operator's key.
type target struct {
	nodes, keyFile string
}

// addTargetFlags adds the flags of all commands that send requests to a node.
func addTargetFlags(flags *flag.FlagSet) *target {
	t := &target{}
	flags.StringVar(&t.nodes, "node", os.Getenv(nodesEnv), "`addresses` of nodes, http://IP:port, separated by commas; the first that can be reached is asked")
	flags.StringVar(&t.keyFile, "key-file", os.Getenv(keyFileEnv), "`file` that holds the operator's key")
	return t
}

// client returns a client for the target and adds the problems of its flags.
func (t *target) client(s Streams, problems *usageProblems) *operatorapi.Client {
	var nodes []string
	for _, node := range strings.Split(t.nodes, ",") {
		node = strings.TrimSpace(node)
		if reason := checkNodeURL(node); reason != "" {
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

func checkNodeURL(node string) string {
	if node == "" {
		return "must be given, here or in " + nodesEnv
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

func (t *target) key(problems *usageProblems) string {
	if t.keyFile == "" {
		problems.add("-key-file", "", "must be given, here or in "+keyFileEnv)
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

// requireOneArgument returns the only argument and adds a problem if there is not
// exactly one.
func requireOneArgument(name string, arguments []string, problems *usageProblems) string {
	if len(arguments) != 1 {
		problems.add(name, strings.Join(arguments, " "), "exactly one must be given, after the flags")
		return ""
	}
	return arguments[0]
}

// rejectArguments adds a problem if there are any arguments.
func rejectArguments(arguments []string, problems *usageProblems) {
	if len(arguments) > 0 {
		problems.add("arguments", strings.Join(arguments, " "), "the command takes none")
	}
}
