package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

const minimal = `
node = "palermo-1"
data_centre = "palermo"
peers.plain = true
platform.store = "http://127.0.0.1:2379"
platform.host_list = "http://127.0.0.1:2380"
`

func TestParseMinimal(t *testing.T) {
	s, err := Parse(minimal)
	assert.NilError(t, err)
	assert.Equal(t, s.Listen.Callers, "127.0.0.1:8080")
	assert.Equal(t, s.Retention.Window.Duration, 10*time.Minute)
}

func TestParseProblems(t *testing.T) {
	cases := []struct {
		name, text string
		fields     []string
	}{
		{"empty", ``, []string{"node", "data_centre", "platform.store", "platform.host_list", "peers.tls"}},
		{"unknown field", minimal + "nodes = 7\n", []string{"nodes"}},
		{"invalid name", minimal + "[[peers.seeds]]\nnode = \"Ü\"\ndata_centre = \"palermo\"\naddress = \"localhost:1\"\n",
			[]string{"peers.seeds[0].node", "peers.seeds[0].address"}},
		{"plain on a non-loopback address", minimal + "listen.peers = \"192.0.2.1:7000\"\n", []string{"peers.plain"}},
		{"invalid key hash", minimal + "[[operators.keys]]\nname = \"ada\"\nsha256 = \"secret\"\n", []string{"operators.keys[0].sha256"}},
		{"numbers out of range", minimal + "callers.max_body_bytes = 0\nplatform.calls_per_second = -1.0\norders.loads_per_minute = 0.0\n",
			[]string{"platform.calls_per_second", "callers.max_body_bytes", "orders.loads_per_minute"}},
		{"invalid log level", minimal + "log.level = \"loud\"\n", []string{"log.level"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse(test.text)
			var problems Problems
			assert.Assert(t, errors.As(err, &problems), "%v", err)
			var fields []string
			for _, problem := range problems {
				fields = append(fields, problem.Field)
			}
			assert.DeepEqual(t, fields, test.fields)
		})
	}
}

func TestErrorOmitsKeyHashValue(t *testing.T) {
	_, err := Parse(minimal + "[[operators.keys]]\nname = \"ada\"\nsha256 = \"my-plain-key\"\n")
	assert.Assert(t, !strings.Contains(err.Error(), "my-plain-key"))
}

func TestParseUnreadable(t *testing.T) {
	_, err := Parse("node = ")
	assert.ErrorIs(t, err, ErrUnreadable)
	_, err = Parse("callers.disconnect_grace = \"soon\"")
	assert.Check(t, is.ErrorContains(err, "not a duration"))
}
