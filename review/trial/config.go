package trial

import (
	"encoding/json"
	"time"
)

// Host is the host of all routes, Key the key of the only tenant.
const (
	Host = "ficu95.example"
	Key  = "i9n73hh2b9wu3fexd9dn"
)

// PutConfiguration writes the configuration as the operator does.
func PutConfiguration(s *Store) time.Time { return s.Put("op/config", json.RawMessage(configuration)) }
