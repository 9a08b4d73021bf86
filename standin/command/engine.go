package command

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/standin/engine"
	"hawthornrill.example/hawthornrill/standin/weightserver"
)

// flatInterval is the time between tokens of the speed preset flat.
const flatInterval = 20 * time.Millisecond

// speeds returns the presets of -speed.
func speeds() map[string]engine.Speed {
	return map[string]engine.Speed{
		"gen-a": engine.GenerationA(),
		"gen-b": engine.GenerationB(),
		"flat":  engine.FixedInterval(flatInterval),
		"none":  engine.NoDelay(),
	}
}

func defineEngine(f *flagSet) builder {
	o := engine.DefaultOptions()
	o.Speed = engine.GenerationA()
	var weights string
	var restart time.Duration
	var seed int
	f.define("speed", "speed `preset`: gen-a, gen-b (2.5 times slower), flat (20 ms a token whatever the batch) or none, which takes no time (default gen-a)", func(text string) error {
		speed, ok := speeds()[text]
		if !ok {
			return fmt.Errorf("must be one of %v", slices.Sorted(maps.Keys(speeds())))
		}
		o.Speed = speed
		return nil
	})
	f.define("models", "`names` of the models loaded from the start, separated by commas (default: any model is served)", func(text string) error {
		o.Models = strings.Split(text, ",")
		if slices.Contains(o.Models, "") {
			return fmt.Errorf("must not contain an empty name")
		}
		return nil
	})
	f.integer("batch", &o.BatchLimit, 1, "`sequences` computed at a time")
	f.integer("kv-tokens", &o.KVTokens, 1, "size of the KV cache in `tokens`")
	f.integer("waiting", &o.WaitingLimit, 0, "`requests` that may wait for the batch, 0 for no bound")
	f.duration("retention", &o.Retention, "`time` for which an ended stream can be resumed, 0s for none")
	f.duration("load-lag", &o.LoadLag, "`age` of load reports")
	f.duration("cache-event-delay", &o.CacheEventDelay, "`time` after which cache events appear")
	f.fraction("cache-event-gap", &o.CacheEventLossRate, 0, 1, "`share` of the cache events that never appear")
	f.duration("restart", &restart, "`time` for which the engine is down after a crash, 0s for the time to load a model")
	f.integer("seed", &seed, 0, "`number` that tells this engine's chance events from others'")
	f.BoolVar(&o.IgnoreFencing, "ignore-fencing", false, "obey orders with an old fencing number")
	f.StringVar(&o.Poison, "poison", "", "`text` that crashes the engine when it is in a prompt")
	f.baseURL("weights", &weights, "`URL` of the weight store to load from, such as http://127.0.0.1:8004 (default: none, loading only takes time)")
	return func(onAvailabilityChange func(available bool)) instance {
		o.OnAvailabilityChange = onAvailabilityChange
		o.RestartDelay = restart
		o.Seed = uint64(seed)
		if weights != "" {
			o.FetchWeights = weightserver.NewClient(weights).Fetch
		}
		o.LoadLag = zeroAsNone(o.LoadLag)
		o.Retention = zeroAsNone(o.Retention)
		o.CacheEventDelay = zeroAsNone(o.CacheEventDelay)
		e := engine.New(o)
		return instance{handler: engine.NewHandler(e), control: engine.NewControlHandler(e), close: e.Close}
	}
}

// zeroAsNone replaces zero, for which the options would take their default, by a
// negative value, which means none.
func zeroAsNone(d time.Duration) time.Duration {
	if d == 0 {
		return -1
	}
	return d
}
