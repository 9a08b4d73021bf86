package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"
)

// sha256HexLength is the length of a SHA-256 in hexadecimal.
const sha256HexLength = 64

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects problems.
type checker struct{ problems Problems }

func (c *checker) add(field, value, reason string) {
	c.problems = append(c.problems, Problem{Field: field, Value: value, Reason: reason})
}

// Check returns everything that is wrong.
func (s Settings) Check() Problems {
	var c checker
	c.name("node", string(s.Node))
	c.name("data_centre", string(s.DataCentre))
	s.checkListen(&c)
	s.checkPlatform(&c)
	s.checkPeers(&c)
	c.tls("callers.tls", s.Callers.TLS, false)
	c.positive("callers.max_body_bytes", s.Callers.MaxBodyBytes)
	c.duration("callers.disconnect_grace", s.Callers.DisconnectGrace)
	for i, key := range s.Operators.Keys {
		field := fmt.Sprintf("operators.keys[%d]", i)
		c.name(field+".name", key.Name)
		c.sha256(field+".sha256", key.SHA256)
	}
	c.duration("sessions.ttl", s.Sessions.TTL)
	c.duration("retention.window", s.Retention.Window)
	c.positive("retention.max_keys", s.Retention.MaxKeys)
	c.positive("retention.answer_bytes", s.Retention.AnswerBytes)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "console")
	c.duration("shutdown.notice_period", s.Shutdown.NoticePeriod)
	c.duration("shutdown.limit", s.Shutdown.Limit)
	if s.Orders.LoadsPerMinute <= 0 {
		c.add("orders.loads_per_minute", fmt.Sprint(s.Orders.LoadsPerMinute), "must be above 0")
	}
	return c.problems
}

func (s Settings) checkListen(c *checker) {
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
}

func (s Settings) checkPlatform(c *checker) {
	c.baseURL("platform.store", s.Platform.Store, true)
	c.baseURL("platform.host_list", s.Platform.HostList, true)
	c.baseURL("platform.weights", s.Platform.Weights, false)
	if s.Platform.CallsPerSecond <= 0 {
		c.add("platform.calls_per_second", fmt.Sprint(s.Platform.CallsPerSecond), "must be above 0")
	}
}

func (s Settings) checkPeers(c *checker) {
	c.positive("peers.max_frame_bytes", s.Peers.MaxFrameBytes)
	for i, seed := range s.Peers.Seeds {
		field := fmt.Sprintf("peers.seeds[%d]", i)
		c.name(field+".node", string(seed.Node))
		c.name(field+".data_centre", string(seed.DataCentre))
		c.address(field+".address", seed.Address)
	}
	if !s.Peers.Plain {
		c.tls("peers.tls", s.Peers.TLS, true)
		return
	}
	if s.Peers.TLS != (TLS{}) {
		c.add("peers.plain", "true", "contradicts peers.tls")
	}
	if address, err := netip.ParseAddrPort(s.Listen.Peers); err == nil && !address.Addr().IsLoopback() {
		c.add("peers.plain", "true", "is allowed on a loopback address only, and listen.peers is "+s.Listen.Peers)
	}
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.add(field, value, "must be 1 to 63 of a-z, 0-9 and '-', beginning with a letter or digit")
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, value, "must be IP:port")
	}
}

func (c *checker) baseURL(field, value string, required bool) {
	if value == "" {
		if required {
			c.add(field, value, "is required")
		}
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		c.add(field, value, "must be a URL such as http://127.0.0.1:2379")
	}
}

func (c *checker) tls(field string, t TLS, required bool) {
	if t == (TLS{}) {
		if required {
			c.add(field, "", "is required unless peers.plain is true")
		}
		return
	}
	if t.Certificate == "" {
		c.add(field+".certificate", "", "is required with the others of "+field)
	}
	if t.Key == "" {
		c.add(field+".key", "", "is required with the others of "+field)
	}
	if required && t.CA == "" {
		c.add(field+".ca", "", "is required with the others of "+field)
	}
}

func (c *checker) sha256(field, value string) {
	if _, err := hex.DecodeString(value); err != nil || len(value) != sha256HexLength {
		c.add(field, "", "must be a SHA-256 in hexadecimal, as `hawthornctl key new` prints")
	}
}

func (c *checker) positive(field string, value int) {
	if value <= 0 {
		c.add(field, fmt.Sprint(value), "must be above 0")
	}
}

func (c *checker) duration(field string, value Duration) {
	if value.Duration < 0 || value.Duration > 365*24*time.Hour {
		c.add(field, value.String(), "must be between 0 and a year")
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(field, value, fmt.Sprintf("must be one of %q", allowed))
	}
}
