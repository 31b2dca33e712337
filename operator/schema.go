package operator

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// TeamLimits is the value of /teams/<team>/limits. A limit of 0 means no limit.
type TeamLimits struct {
	Weight       float64 `json:"weight"`       // share of the capacity, relative to other teams; 0 counts as 1
	MaxPrograms  int     `json:"max-programs"` // open programs
	MaxTokens    int64   `json:"max-tokens"`   // token budget of a program
	MaxCalls     int64   `json:"max-calls"`    // call budget of a program
	DefaultClass string  `json:"default-class"`
}

// Check rejects limits that are out of range, and unknown classes.
func (l *TeamLimits) Check() error {
	switch {
	case l.Weight < 0 || l.Weight > 1000:
		return strictjson.Invalid("weight", l.Weight, "want 0 to 1000")
	case l.MaxPrograms < 0:
		return strictjson.Invalid("max-programs", l.MaxPrograms, "want 0 or more")
	case l.MaxTokens < 0:
		return strictjson.Invalid("max-tokens", l.MaxTokens, "want 0 or more")
	case l.MaxCalls < 0:
		return strictjson.Invalid("max-calls", l.MaxCalls, "want 0 or more")
	}
	switch l.DefaultClass {
	case "", "interactive", "standard", "batch":
		return nil
	}
	return strictjson.Invalid("default-class", l.DefaultClass, "want interactive, standard or batch")
}

// Model is the value of /models/<model>.
type Model struct {
	Versions   []string `json:"versions"` // newest last
	Adapters   []string `json:"adapters"`
	MinServers int      `json:"min-servers"`
}

// Check rejects a model without versions or with a negative MinServers.
func (m *Model) Check() error {
	if len(m.Versions) == 0 {
		return strictjson.Invalid("versions", "[]", "want at least one version")
	}
	if m.MinServers < 0 {
		return strictjson.Invalid("min-servers", m.MinServers, "want 0 or more")
	}
	return nil
}

// Service is the value of /services/<service>.
type Service struct {
	TimeoutSeconds float64 `json:"timeout-seconds"`
}

const maxServiceTimeoutSeconds = 3600

// Check rejects timeouts that are out of range.
func (s *Service) Check() error {
	if s.TimeoutSeconds <= 0 || s.TimeoutSeconds > maxServiceTimeoutSeconds {
		return strictjson.Invalid("timeout-seconds", s.TimeoutSeconds,
			fmt.Sprintf("want more than 0 and at most %d", maxServiceTimeoutSeconds))
	}
	return nil
}

// schema combines a pattern of paths with the check of their values.
type schema struct {
	pattern string // as shown in errors
	path    *regexp.Regexp
	check   func(source string, value []byte) error
}

const namePattern = `[a-z0-9][a-z0-9._-]*`

var schemas = []schema{
	{"/teams/<team>/limits", regexp.MustCompile(`^/teams/` + namePattern + `/limits$`), checkAs[TeamLimits]},
	{"/models/<model>", regexp.MustCompile(`^/models/` + namePattern + `$`), checkAs[Model]},
	{"/services/<service>", regexp.MustCompile(`^/services/` + namePattern + `$`), checkAs[Service]},
}

func checkAs[T any](source string, value []byte) error {
	_, err := strictjson.Decode[T](source, value)
	return err
}

// CheckValue checks the value of a path. The source identifies the value in
// the error.
func CheckValue(source, path string, value []byte) error {
	patterns := make([]string, 0, len(schemas))
	for _, s := range schemas {
		if s.path.MatchString(path) {
			return s.check(source, value)
		}
		patterns = append(patterns, s.pattern)
	}
	e := strictjson.Invalid("path", path, "want one of "+strings.Join(patterns, ", "))
	e.Source = source
	return e
}
