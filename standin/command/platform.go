package command

import (
	"encoding/json"
	"errors"
	"time"

	"hawthornrill.example/hawthornrill/hostlist"
	"hawthornrill.example/hawthornrill/standin/hostserver"
	"hawthornrill.example/hawthornrill/standin/storeserver"
	"hawthornrill.example/hawthornrill/standin/weightserver"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// Rate limits of the platform's key-value service, as its users describe it.
const (
	writesPerSecond = 300
	readsPerSecond  = 2000
)

func defineStore(f *flagSet) builder {
	writes, reads := writesPerSecond, readsPerSecond
	watchTimeout := storeserver.DefaultWatchTimeout
	f.integer("writes", &writes, 0, "writes `a second`, 0 for no bound")
	f.integer("reads", &reads, 0, "reads `a second`, a waiting watch counting as one, 0 for no bound")
	f.duration("hold", &watchTimeout, "`time` after which a waiting watch is told that nothing has happened")
	return func(func(bool)) instance {
		memory := memstore.New(memstore.Options{WritesPerSecond: float64(writes), ReadsPerSecond: float64(reads)})
		return instance{handler: storeserver.NewHandler(memory, storeserver.Options{WatchTimeout: watchTimeout})}
	}
}

func defineHostList(f *flagSet) builder {
	var lag time.Duration
	var hosts []hostlist.Host
	f.duration("lag", &lag, "`time` after which a change is shown")
	f.define("hosts", "the hosts to begin with as `JSON`, as GET /hosts shows them (default none)", func(text string) error {
		if err := json.Unmarshal([]byte(text), &hosts); err != nil {
			return errors.New(`must be like [{"node":"a","address":"127.0.0.1:7000","data_centre":"taf","state":"live"}]`)
		}
		return nil
	})
	return func(func(bool)) instance {
		return instance{handler: hostserver.NewHandler(hostserver.New(lag, hosts...))}
	}
}

func defineWeights(f *flagSet) builder {
	o := weightserver.DefaultOptions()
	f.integer("bytes-per-second", &o.BytesPerSecond, 1, "`bytes` a second, shared by all transfers")
	f.integer("model-bytes", &o.ModelBytes, 1, "`size` of a model's weights")
	f.integer("adapter-bytes", &o.AdapterBytes, 1, "`size` of an adapter's weights")
	f.integer("transfers", &o.MaxTransfers, 1, "`transfers` at a time, further ones being refused")
	return func(func(bool)) instance {
		return instance{handler: weightserver.NewHandler(weightserver.New(o))}
	}
}
