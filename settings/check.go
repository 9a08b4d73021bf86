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

// sha256HexLength is the length of a hexadecimal SHA-256 hash.
const sha256HexLength = 64

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects the problems of the settings.
type checker struct{ problems Problems }

func (c *checker) addProblem(field, value, reason string) {
	c.problems = append(c.problems, Problem{Field: field, Value: value, Reason: reason})
}

// Check validates the settings and returns all problems.
func (s Settings) Check() Problems {
	var c checker
	c.checkName("node", string(s.Node))
	c.checkName("data_centre", string(s.DataCentre))
	s.checkListen(&c)
	s.checkPlatform(&c)
	s.checkPeers(&c)
	c.checkTLS("callers.tls", s.Callers.TLS, false)
	c.checkPositive("callers.max_body_bytes", s.Callers.MaxBodyBytes)
	c.checkDuration("callers.disconnect_grace", s.Callers.DisconnectGrace)
	for i, key := range s.Operators.Keys {
		field := fmt.Sprintf("operators.keys[%d]", i)
		c.checkName(field+".name", key.Name)
		c.checkSHA256(field+".sha256", key.SHA256)
	}
	c.checkDuration("sessions.ttl", s.Sessions.TTL)
	c.checkDuration("retention.window", s.Retention.Window)
	c.checkPositive("retention.max_keys", s.Retention.MaxKeys)
	c.checkPositive("retention.answer_bytes", s.Retention.AnswerBytes)
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkOneOf("log.format", s.Log.Format, "json", "console")
	c.checkDuration("shutdown.notice_period", s.Shutdown.NoticePeriod)
	c.checkDuration("shutdown.limit", s.Shutdown.Limit)
	if s.Orders.LoadsPerMinute <= 0 {
		c.addProblem("orders.loads_per_minute", fmt.Sprint(s.Orders.LoadsPerMinute), "must be above 0")
	}
	return c.problems
}

func (s Settings) checkListen(c *checker) {
	c.checkAddress("listen.callers", s.Listen.Callers)
	c.checkAddress("listen.peers", s.Listen.Peers)
	c.checkAddress("listen.operators", s.Listen.Operators)
}

func (s Settings) checkPlatform(c *checker) {
	c.checkBaseURL("platform.store", s.Platform.Store, true)
	c.checkBaseURL("platform.host_list", s.Platform.HostList, true)
	c.checkBaseURL("platform.weights", s.Platform.Weights, false)
	if s.Platform.CallsPerSecond <= 0 {
		c.addProblem("platform.calls_per_second", fmt.Sprint(s.Platform.CallsPerSecond), "must be above 0")
	}
}

func (s Settings) checkPeers(c *checker) {
	c.checkPositive("peers.max_frame_bytes", s.Peers.MaxFrameBytes)
	for i, seed := range s.Peers.Seeds {
		field := fmt.Sprintf("peers.seeds[%d]", i)
		c.checkName(field+".node", string(seed.Node))
		c.checkName(field+".data_centre", string(seed.DataCentre))
		c.checkAddress(field+".address", seed.Address)
	}
	if !s.Peers.Plain {
		c.checkTLS("peers.tls", s.Peers.TLS, true)
		return
	}
	if s.Peers.TLS != (TLS{}) {
		c.addProblem("peers.plain", "true", "can't be combined with peers.tls")
	}
	if address, err := netip.ParseAddrPort(s.Listen.Peers); err == nil && !address.Addr().IsLoopback() {
		c.addProblem("peers.plain", "true", "is allowed only if listen.peers is a loopback address; it is "+s.Listen.Peers)
	}
}

func (c *checker) checkName(field, value string) {
	if !namePattern.MatchString(value) {
		c.addProblem(field, value, "must be 1 to 63 characters of a-z, 0-9 and '-', beginning with a letter or digit")
	}
}

func (c *checker) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(field, value, "must be IP:port")
	}
}

func (c *checker) checkBaseURL(field, value string, required bool) {
	if value == "" {
		if required {
			c.addProblem(field, value, "is required")
		}
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		c.addProblem(field, value, "must be a URL such as http://127.0.0.1:2379")
	}
}

func (c *checker) checkTLS(field string, t TLS, required bool) {
	if t == (TLS{}) {
		if required {
			c.addProblem(field, "", "is required unless peers.plain is true")
		}
		return
	}
	if t.Certificate == "" {
		c.addProblem(field+".certificate", "", "is required if any field of "+field+" is set")
	}
	if t.Key == "" {
		c.addProblem(field+".key", "", "is required if any field of "+field+" is set")
	}
	if required && t.CA == "" {
		c.addProblem(field+".ca", "", "is required if any field of "+field+" is set")
	}
}

func (c *checker) checkSHA256(field, value string) {
	if _, err := hex.DecodeString(value); err != nil || len(value) != sha256HexLength {
		c.addProblem(field, "", "must be a hexadecimal SHA-256 hash, as printed by `hawthornctl key new`")
	}
}

func (c *checker) checkPositive(field string, value int) {
	if value <= 0 {
		c.addProblem(field, fmt.Sprint(value), "must be above 0")
	}
}

func (c *checker) checkDuration(field string, value Duration) {
	if value.Duration < 0 || value.Duration > 365*24*time.Hour {
		c.addProblem(field, value.String(), "must be between 0 and 365 days")
	}
}

func (c *checker) checkOneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addProblem(field, value, fmt.Sprintf("must be one of %q", allowed))
	}
}
