// Package load is an open-loop load generator: programs arrive by a schedule
// that is fixed in advance, regardless of how fast the entry hosts answer, and
// latency is measured from the scheduled arrival. Start with Run; Plan generates
// the schedule and Result holds the measurements.
package load

import (
	"net/url"
	"time"

	"github.com/sycamoreline/sycamoreline/settings"
	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Settings describe a run.
type Settings struct {
	// EntryHosts are base URLs of entry hosts. Programs start on them in turn.
	EntryHosts []string `json:"entry-hosts"`
	// CredentialFile holds the credential of the team.
	CredentialFile string   `json:"credential-file"`
	Workload       Workload `json:"workload"`
	// Seed determines arrivals and programs.
	Seed uint64 `json:"seed"`
	// Run is the prefix of idempotency keys; random when empty. A run with the
	// prefix of an earlier run gets the answers recorded for that run.
	Run               string            `json:"run,omitempty"`
	Duration          settings.Duration `json:"duration"`
	ProgramsPerSecond float64           `json:"programs-per-second"`
	// CrestFactor multiplies the rate from CrestStart on, for CrestDuration.
	CrestFactor   float64           `json:"crest-factor,omitempty"`
	CrestStart    settings.Duration `json:"crest-start,omitempty"`
	CrestDuration settings.Duration `json:"crest-duration,omitempty"`
	// MeanPause is the mean time between the calls of a program.
	MeanPause settings.Duration `json:"mean-pause,omitempty"`
	Deadline  settings.Duration `json:"deadline"` // of each program, from its arrival
	Model     string            `json:"model"`
	Service   string            `json:"service"`
	MaxTokens int               `json:"max-tokens"` // per answer
	// Attempts is the maximum number of times that a request is sent.
	Attempts int `json:"attempts"`
	// MaxRunning limits the programs that this generator runs concurrently;
	// arrivals above it are counted as not started.
	MaxRunning int `json:"max-running"`
}

const maxDuration = 24 * time.Hour

// Check validates the settings. Its error names the field, the value and the
// allowed values.
func (s *Settings) Check() error {
	if len(s.EntryHosts) == 0 {
		return strictjson.Invalid("entry-hosts", "", "want at least one URL")
	}
	for _, e := range s.EntryHosts {
		if u, err := url.Parse(e); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return strictjson.Invalid("entry-hosts", e, "want a URL such as http://127.0.0.1:7201")
		}
	}
	checks := []struct {
		field string
		value any
		ok    bool
		want  string
	}{
		{"workload", string(s.Workload), s.Workload.valid(), "want tailor-paws or trois-sillons"},
		{"duration", s.Duration, within(s.Duration, time.Millisecond), "want 1ms to 24h"},
		{"programs-per-second", s.ProgramsPerSecond, s.ProgramsPerSecond > 0 && s.ProgramsPerSecond <= 100_000, "want more than 0, up to 100000"},
		{"crest-factor", s.CrestFactor, s.CrestFactor == 0 || s.CrestFactor >= 1 && s.CrestFactor <= 1000, "want 1 to 1000"},
		{"crest-start", s.CrestStart, within(s.CrestStart, 0), "want 0s to 24h"},
		{"crest-duration", s.CrestDuration, within(s.CrestDuration, 0), "want 0s to 24h"},
		{"mean-pause", s.MeanPause, within(s.MeanPause, 0), "want 0s to 24h"},
		{"deadline", s.Deadline, within(s.Deadline, time.Millisecond), "want 1ms to 24h"},
		{"model", s.Model, s.Model != "", "want a model name"},
		{"service", s.Service, s.Service != "", "want a service name"},
		{"max-tokens", s.MaxTokens, s.MaxTokens >= 1 && s.MaxTokens <= 1_000_000, "want 1 to 1000000"},
		{"attempts", s.Attempts, s.Attempts >= 1 && s.Attempts <= 1000, "want 1 to 1000"},
		{"max-running", s.MaxRunning, s.MaxRunning >= 1 && s.MaxRunning <= 1_000_000, "want 1 to 1000000"},
	}
	for _, c := range checks {
		if !c.ok {
			return strictjson.Invalid(c.field, c.value, c.want)
		}
	}
	return nil
}

func within(d settings.Duration, minimum time.Duration) bool {
	return d.D() >= minimum && d.D() <= maxDuration
}

// inCrest reports whether the rate is raised at a time after the start.
func (s *Settings) inCrest(at time.Duration) bool {
	return s.CrestFactor > 0 && at >= s.CrestStart.D() && at < s.CrestStart.D()+s.CrestDuration.D()
}
