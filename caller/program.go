package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const maxDeadlineSeconds = 30 * 24 * 3600

// openProgramBody is the body of a request that opens a program.
type openProgramBody struct {
	Program         string        `json:"program,omitempty"`
	Team            string        `json:"team,omitempty"`
	Class           ledger.Class  `json:"class,omitempty"`
	Budget          ledger.Budget `json:"budget"`
	DeadlineSeconds *float64      `json:"deadline-seconds,omitempty"`
	Parent          string        `json:"parent,omitempty"`
}

// Check validates each field by itself. openProgram compares the team and the
// parent with the credential and the path.
func (b *openProgramBody) Check() error {
	switch {
	case b.Program != "" && !rootProgramPattern.MatchString(b.Program):
		return strictjson.Invalid("program", b.Program, programAllowed)
	case b.Parent != "" && !programPattern.MatchString(b.Parent):
		return strictjson.Invalid("parent", b.Parent, programAllowed)
	case b.Budget.Tokens < 1:
		return strictjson.Invalid("budget.tokens", b.Budget.Tokens, "want 1 or more")
	case b.Budget.Calls < 1:
		return strictjson.Invalid("budget.calls", b.Budget.Calls, "want 1 or more")
	}
	switch b.Class {
	case "", ledger.Interactive, ledger.Standard, ledger.Batch:
	default:
		return strictjson.Invalid("class", string(b.Class), "want interactive, standard or batch")
	}
	if d := b.DeadlineSeconds; d != nil && (*d <= 0 || *d > maxDeadlineSeconds) {
		return strictjson.Invalid("deadline-seconds", *d, fmt.Sprintf("want more than 0 and at most %d", maxDeadlineSeconds))
	}
	return nil
}

func (p *api) open(w http.ResponseWriter, r *request) error {
	return p.openProgram(w, r, "")
}

func (p *api) openSubProgram(w http.ResponseWriter, r *request) error {
	parent, err := r.programID()
	if err != nil {
		return err
	}
	return p.openProgram(w, r, parent)
}

func (p *api) openProgram(w http.ResponseWriter, r *request, parent string) error {
	key, err := r.key()
	if err != nil {
		return err
	}
	data, err := p.body(w, r)
	if err != nil {
		return err
	}
	b, err := decode[openProgramBody](data)
	if err != nil {
		return err
	}
	if b.Team != "" && b.Team != r.team {
		return notRun(verdict.Forbidden, "field \"team\": value %q: the credential belongs to team %q", shorten(b.Team), r.team)
	}
	if parent != "" && b.Parent != "" && b.Parent != parent {
		return invalid("parent", b.Parent, "want the program id of the path, or omit the field")
	}
	if parent == "" {
		parent = b.Parent
	}
	command, err := p.openCommand(r, key, parent, b)
	if err != nil {
		return err
	}
	if err := p.gate.BeginRequest(parent == ""); err != nil {
		return err
	}
	defer p.gate.EndRequest()
	state, err := p.dispatcher.OpenProgram(r.Context(), command)
	if err != nil {
		return err
	}
	return writeProgram(w, http.StatusCreated, state)
}

// openCommand builds the ledger command and fills in defaults. If the caller
// sets no id, it is derived from team, parent and key, so that a resend finds
// the program.
func (p *api) openCommand(r *request, key, parent string, b openProgramBody) (ledger.OpenProgram, error) {
	command := ledger.OpenProgram{
		Program: b.Program, Team: r.team, Class: b.Class, Budget: b.Budget, Parent: parent, Key: key,
	}
	if command.Program == "" {
		command.Program = derive("p-", r.team, parent, key)
	}
	if parent != "" {
		command.Program = parent + ledger.SubProgramSeparator + command.Program
		if !programPattern.MatchString(command.Program) {
			return command, invalid("program", command.Program, "want at most 256 characters, including the parent's id")
		}
	}
	if b.DeadlineSeconds != nil {
		command.Deadline = p.now().Add(time.Duration(*b.DeadlineSeconds * float64(time.Second))).UnixMilli()
	}
	if parent != "" && (command.Class == "" || command.Deadline == 0) {
		if err := p.inherit(r, &command); err != nil {
			return command, err
		}
	}
	if command.Class == "" {
		command.Class = ledger.Standard
	}
	if command.Deadline == 0 {
		command.Deadline = p.now().Add(defaultDeadline).UnixMilli()
	}
	return command, nil
}

// inherit sets a missing class or deadline to that of the parent.
func (p *api) inherit(r *request, command *ledger.OpenProgram) error {
	parent, err := p.dispatcher.Program(r.Context(), r.team, command.Parent)
	if err != nil {
		return err
	}
	if command.Class == "" {
		command.Class = parent.Class
	}
	if command.Deadline == 0 {
		command.Deadline = parent.Deadline
	}
	return nil
}

func (p *api) programStatus(w http.ResponseWriter, r *request) error {
	program, err := r.programID()
	if err != nil {
		return err
	}
	state, err := p.dispatcher.Program(r.Context(), r.team, program)
	if err != nil {
		return err
	}
	return writeProgram(w, http.StatusOK, state)
}

// endProgramBody is the optional body of a request that ends a program.
type endProgramBody struct {
	Status ledger.ProgramStatus `json:"status"`
	Reason string               `json:"reason"`
}

// Check rejects statuses that a caller may not set.
func (b *endProgramBody) Check() error {
	switch b.Status {
	case "", ledger.ProgramDone, ledger.ProgramFailed:
		return nil
	}
	return strictjson.Invalid("status", string(b.Status), "want ended or failed")
}

func (p *api) endProgram(w http.ResponseWriter, r *request) error {
	program, err := r.programID()
	if err != nil {
		return err
	}
	data, err := p.body(w, r)
	if err != nil {
		return err
	}
	b := endProgramBody{}
	if len(data) > 0 {
		if b, err = decode[endProgramBody](data); err != nil {
			return err
		}
	}
	if b.Status == "" {
		b.Status = ledger.ProgramDone
	}
	if err := p.gate.BeginRequest(false); err != nil {
		return err
	}
	defer p.gate.EndRequest()
	state, err := p.dispatcher.EndProgram(r.Context(), ledger.EndProgram{
		Program: program, Team: r.team, Status: b.Status, Reason: b.Reason,
	})
	if err != nil {
		return err
	}
	return writeProgram(w, http.StatusOK, state)
}

const (
	defaultHistoryLimit = 100
	maxHistoryLimit     = 1000
)

func (p *api) history(w http.ResponseWriter, r *request) error {
	program, err := r.programID()
	if err != nil {
		return err
	}
	from, err := r.intParameter("from", 0, 0, 1<<31-1)
	if err != nil {
		return err
	}
	limit, err := r.intParameter("limit", defaultHistoryLimit, 1, maxHistoryLimit)
	if err != nil {
		return err
	}
	messages, err := p.dispatcher.History(r.Context(), r.team, program, from, limit)
	if err != nil {
		return err
	}
	if messages == nil {
		messages = []ledger.Message{}
	}
	w.Header().Set(HeaderProgram, program)
	return writeJSON(w, http.StatusOK, struct {
		Program  string           `json:"program"`
		From     int              `json:"from"`
		Next     int              `json:"next"`
		Messages []ledger.Message `json:"messages"`
	}{program, from, from + len(messages), messages})
}

// intParameter returns a query parameter, or def if it is absent.
func (r *request) intParameter(name string, def, minimum, maximum int) (int, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return def, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < minimum || n > maximum {
		return 0, invalid(name, shorten(text), fmt.Sprintf("want a whole number from %d to %d", minimum, maximum))
	}
	return n, nil
}

func writeProgram(w http.ResponseWriter, status int, state ledger.ProgramState) error {
	w.Header().Set(HeaderProgram, state.Program)
	return writeJSON(w, status, state)
}

// writeJSON writes a response. If it returns an error, nothing has been written.
func writeJSON(w http.ResponseWriter, status int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
	return nil
}
