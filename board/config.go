package board

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/sycamoreline/sycamoreline/tree"
)

// Config is the typed view of the configuration tree. It does not change once
// it is built.
type Config struct {
	teams    map[string]TeamLimits
	services map[string]ServiceConfig
	invalid  []string
}

// TeamLimits is the value of /teams/<team>/limits.
type TeamLimits struct {
	Weight       float64 `json:"weight"`
	MaxPrograms  int     `json:"max-programs"`
	MaxTokens    int64   `json:"max-tokens"` // upper bound of a program's token budget; 0 means none
	MaxCalls     int64   `json:"max-calls"`  // upper bound of a program's call budget; 0 means none
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

func decode[T any](c *Config, path string, value json.RawMessage, into map[string]T, name string) {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		// Values are checked before they are accepted; one that slipped through
		// must not take the other teams' settings down.
		c.invalid = append(c.invalid, path)
		return
	}
	into[name] = v
}

// Team returns a team's limits; false means that the team has none set.
func (c *Config) Team(team string) (TeamLimits, bool) {
	t, ok := c.teams[team]
	return t, ok
}

// Teams returns the names of the teams with limits.
func (c *Config) Teams() []string {
	names := make([]string, 0, len(c.teams))
	for n := range c.teams {
		names = append(names, n)
	}
	return names
}

// ServiceTimeout returns the timeout of a service's calls, or the given
// default.
func (c *Config) ServiceTimeout(service string, otherwise time.Duration) time.Duration {
	s, ok := c.services[service]
	if !ok || s.TimeoutSeconds <= 0 {
		return otherwise
	}
	return time.Duration(s.TimeoutSeconds * float64(time.Second))
}

// Invalid returns the paths whose values could not be read.
func (c *Config) Invalid() []string { return c.invalid }
