package board

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/sycamoreline/sycamoreline/tree"
)

// Config is the decoded configuration tree. It is immutable.
type Config struct {
	teams    map[string]TeamLimits
	services map[string]ServiceConfig
	invalid  []string // paths of values that could not be decoded
}

// TeamLimits is the value of /teams/<team>/limits.
type TeamLimits struct {
	Weight       float64 `json:"weight"`
	MaxPrograms  int     `json:"max-programs"`
	MaxTokens    int64   `json:"max-tokens"` // maximum token budget of a program; 0 means no limit
	MaxCalls     int64   `json:"max-calls"`  // maximum call budget of a program; 0 means no limit
	DefaultClass string  `json:"default-class"`
}

// ServiceConfig is the value of /services/<service>.
type ServiceConfig struct {
	TimeoutSeconds float64 `json:"timeout-seconds"`
}

func newConfig(entries map[string]tree.Entry) *Config {
	c := &Config{teams: make(map[string]TeamLimits), services: make(map[string]ServiceConfig)}
	for path, e := range entries {
		parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
		switch {
		case len(parts) == 3 && parts[0] == "teams" && parts[2] == "limits":
			decode(c, path, e.Value, c.teams, parts[1])
		case len(parts) == 2 && parts[0] == "services":
			decode(c, path, e.Value, c.services, parts[1])
		}
	}
	return c
}

// decode decodes a value and adds it to a map under a name.
func decode[T any](c *Config, path string, value json.RawMessage, dst map[string]T, name string) {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		// Values are validated before they are accepted. If an invalid one is stored
		// nevertheless, the other settings must remain in effect.
		c.invalid = append(c.invalid, path)
		return
	}
	dst[name] = v
}

// Team returns a team's limits, or false if none are configured.
func (c *Config) Team(team string) (TeamLimits, bool) {
	t, ok := c.teams[team]
	return t, ok
}

// Teams returns the names of the teams with configured limits, in no
// particular order.
func (c *Config) Teams() []string {
	names := make([]string, 0, len(c.teams))
	for n := range c.teams {
		names = append(names, n)
	}
	return names
}

// ServiceTimeout returns the timeout of a service's calls, or the given default
// if none is configured.
func (c *Config) ServiceTimeout(service string, defaultTimeout time.Duration) time.Duration {
	s, ok := c.services[service]
	if !ok || s.TimeoutSeconds <= 0 {
		return defaultTimeout
	}
	return time.Duration(s.TimeoutSeconds * float64(time.Second))
}

// Invalid returns the paths of the values that could not be decoded.
func (c *Config) Invalid() []string { return c.invalid }
