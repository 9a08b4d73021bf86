package daemon

import (
	"encoding/hex"

	"hawthornrill.example/hawthornrill/operatorapi"
	"hawthornrill.example/hawthornrill/settings"
)

// operatorKeys converts the keys of validated settings.
func operatorKeys(s settings.Operators) []operatorapi.Key {
	var keys []operatorapi.Key
	for _, k := range s.Keys {
		key := operatorapi.Key{Name: k.Name}
		if _, err := hex.Decode(key.Hash[:], []byte(k.SHA256)); err != nil {
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
