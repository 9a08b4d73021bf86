package command

import (
	"net/http"
)

// kind is one kind of stand-in.
type kind struct {
	name, summary string
	// goesDown is true if faults can close its listener; it then has a second one
	// for the tests' side.
	goesDown bool
	// define adds the kind's flags; build is called after they are read.
	define func(f *flagSet) (build builder)
}

// builder makes a stand-in, which calls onUp when it begins and ceases to refuse
// connections.
type builder func(onUp func(up bool)) stand

// stand is a stand-in that is ready to be served.
type stand struct {
	handler http.Handler
	// control is the tests' side alone, for kinds that go down.
	control http.Handler
	// close ends what still runs in it, nil for nothing.
	close func()
}

func kinds() []kind {
	return []kind{
		{"engine", "a model engine", true, defineEngine},
		{"service", "a plain service: catalogue, jobs, scoreboard, unlocks", true, defineService},
		{"store", "the platform's key-value service", false, defineStore},
		{"hostlist", "the platform's list of the system's hosts", false, defineHostList},
		{"weights", "the platform's weight store", false, defineWeights},
	}
}

func findKind(name string) (kind, bool) {
	for _, k := range kinds() {
		if k.name == name {
			return k, true
		}
	}
	return kind{}, false
}
