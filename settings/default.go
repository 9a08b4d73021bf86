package settings

import "time"

// Default returns the default settings, which apply to fields that the file does not
// set.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:8080",
			Peers:     "127.0.0.1:7080",
			Operators: "127.0.0.1:9080",
		},
		Platform:  Platform{CallsPerSecond: 20},
		Peers:     Peers{MaxFrameBytes: 4 << 20},
		Callers:   Callers{MaxBodyBytes: 8 << 20, DisconnectGrace: Duration{30 * time.Second}},
		Sessions:  Sessions{TTL: Duration{24 * time.Hour}},
		Retention: Retention{Window: Duration{10 * time.Minute}, MaxKeys: 100_000, AnswerBytes: 64 << 20},
		Log:       Log{Level: "info", Format: "json"},
		Shutdown:  Shutdown{NoticePeriod: Duration{5 * time.Second}},
		Orders:    Orders{LoadsPerMinute: 30},
	}
}
