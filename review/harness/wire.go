package harness

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// The names and messages of the platform are data, as Go code outside platform/ must not have them.

//go:embed wire.json
var wireData []byte

//go:embed configuration.json
var configuration []byte

// names are the platform's names and messages.
type names struct {
	SettingsVariable string `json:"settings_variable"`
	Store            struct {
		Range, Watch, Write, Grant, Renew, End string
		Configuration, Servers                 string
	} `json:"store"`
	ServerEntry string `json:"server_entry"`
	Fields      struct {
		Request        string `json:"request"`
		ExpectedServer string `json:"expected_server"`
		Server         string `json:"server"`
		Signature      string `json:"signature"`
		Model          string `json:"model"`
	} `json:"fields"`
	StreamRequest string `json:"stream_request"`
	PlainRequest  string `json:"plain_request"`
}

var wire = decodeNames()

func decodeNames() (n names) {
	if err := json.Unmarshal(wireData, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}

// StreamRequest returns the head of a request for a stream, with the length of its body.
func StreamRequest(id string, bodyBytes int) string {
	return fmt.Sprintf(wire.StreamRequest, id, bodyBytes)
}

// PlainRequest returns the head of a request that must not be repeated, with the length of its body.
func PlainRequest(id string, bodyBytes int) string {
	return fmt.Sprintf(wire.PlainRequest, id, bodyBytes)
}
