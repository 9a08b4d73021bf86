package trial

import (
	_ "embed"
	"encoding/json"
	"maps"
)

//go:embed wire.json
var wireFile []byte

//go:embed configuration.json
var configuration []byte

// wire holds names of the platform's protocol.
var wire = readWire()

// wireNames are names of the platform's protocol, and the fields of a runner's entry that are the same for all runners.
type wireNames struct {
	RangePath        string         `json:"range_path"`
	WatchPath        string         `json:"watch_path"`
	WritePath        string         `json:"write_path"`
	SettingsVariable string         `json:"settings_variable"`
	KeyField         string         `json:"key_field"`
	InstanceField    string         `json:"instance_field"`
	NotRunField      string         `json:"not_run_field"`
	SignatureField   string         `json:"signature_field"`
	Entry            map[string]any `json:"entry"`
}

func readWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}

// entry returns a runner's entry.
func (w wireNames) entry(service, address, zone string) map[string]any {
	e := maps.Clone(w.Entry)
	e["service"], e["address"], e["zone"] = service, address, zone
	return e
}
