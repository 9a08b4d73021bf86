package command

import (
	"net/http"
)

// kind is one kind of stand-in.
type kind struct {
	name, summary string
	// hasControl is true if faults can close the kind's listener; the kind then takes a
	// second listener for the control paths.
	hasControl bool
	// define adds the kind's flags; build is called after they are parsed.
	define func(f *flagSet) (build builder)
}

// builder creates a stand-in, which calls onAvailabilityChange when it starts or
// stops accepting connections.
type builder func(onAvailabilityChange func(available bool)) instance

// instance is a stand-in that is ready to serve.
type instance struct {
	handler http.Handler
	// control serves the control paths alone, for kinds with hasControl.
	control http.Handler
	// close stops background work; nil if there is none.
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
