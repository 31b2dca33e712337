package caller

import (
	"encoding/json"
	"fmt"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/settings"
	"github.com/sycamoreline/sycamoreline/strictjson"
)

// ProgramFile is a program as the run command reads it: how to open it, and
// its steps in order.
type ProgramFile struct {
	Program         string        `json:"program"` // id; chosen by the server if empty
	Class           ledger.Class  `json:"class"`
	Budget          ledger.Budget `json:"budget"`
	DeadlineSeconds *float64      `json:"deadline-seconds"`
	Steps           []Step        `json:"steps"`
}

// Step is one step of a program. Exactly one field is set.
type Step struct {
	Model   *ModelStep         `json:"model"`
	Tool    *ToolStep          `json:"tool"`
	Pause   *settings.Duration `json:"pause"`
	Program *ProgramFile       `json:"program"` // a sub-program
}

// ModelStep is a model call.
type ModelStep struct {
	Model     string           `json:"model"`
	Version   string           `json:"version,omitempty"`
	Adapter   string           `json:"adapter,omitempty"`
	Messages  []ledger.Message `json:"messages"`
	MaxTokens *int             `json:"max-tokens,omitempty"`
}

// ToolStep is a tool call.
type ToolStep struct {
	Service    string          `json:"service"`
	Operation  string          `json:"operation"`
	Idempotent *bool           `json:"idempotent"`
	Body       json.RawMessage `json:"body"`
}

// Check rejects files that the entry host would refuse in part, before
// anything has run.
func (f *ProgramFile) Check() error { return f.check("") }

func (f *ProgramFile) check(prefix string) error {
	open := openProgramBody{Program: f.Program, Class: f.Class, Budget: f.Budget, DeadlineSeconds: f.DeadlineSeconds}
	if err := open.Check(); err != nil {
		return addFieldPrefix(prefix, err)
	}
	if len(f.Steps) == 0 {
		return strictjson.Invalid(prefix+"steps", "[]", "want at least one step")
	}
	for i, s := range f.Steps {
		if err := s.check(fmt.Sprintf("%ssteps[%d]", prefix, i)); err != nil {
			return err
		}
	}
	return nil
}

func (s Step) check(field string) error {
	count := 0
	for _, set := range []bool{s.Model != nil, s.Tool != nil, s.Pause != nil, s.Program != nil} {
		if set {
			count++
		}
	}
	switch {
	case count != 1:
		return &strictjson.Error{Field: field, Allowed: "want exactly one of model, tool, pause and program"}
	case s.Model != nil:
		return s.Model.check(field + ".model.")
	case s.Tool != nil:
		return s.Tool.check(field + ".tool.")
	case s.Program != nil:
		return s.Program.check(field + ".program.")
	}
	return nil
}

func (m *ModelStep) check(prefix string) error {
	if !namePattern.MatchString(m.Model) {
		return strictjson.Invalid(prefix+"model", m.Model, nameAllowed)
	}
	if len(m.Messages) == 0 {
		return strictjson.Invalid(prefix+"messages", "[]", "want at least one message")
	}
	if m.MaxTokens != nil && (*m.MaxTokens < 1 || *m.MaxTokens > maxMaxTokens) {
		return strictjson.Invalid(prefix+"max-tokens", *m.MaxTokens, fmt.Sprintf("want 1 to %d", maxMaxTokens))
	}
	return nil
}

func (t *ToolStep) check(prefix string) error {
	if !namePattern.MatchString(t.Service) {
		return strictjson.Invalid(prefix+"service", t.Service, nameAllowed)
	}
	if !namePattern.MatchString(t.Operation) {
		return strictjson.Invalid(prefix+"operation", t.Operation, nameAllowed)
	}
	return nil
}

func addFieldPrefix(prefix string, err error) error {
	if e, ok := err.(*strictjson.Error); ok { //nolint:errorlint // Check returns it unwrapped.
		e.Field = prefix + e.Field
	}
	return err
}

// ReadProgram reads a program file.
func ReadProgram(path string) (ProgramFile, error) {
	return settings.Read[ProgramFile](path)
}
