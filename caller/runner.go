package caller

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/ledger"
)

// Event reports the progress of a run: an opened or ended program, the answer
// of a call, or a pause. Exactly one field besides Program and Step is set.
type Event struct {
	Program string               `json:"program"`
	Step    string               `json:"step,omitempty"` // such as "2"; "2.1" for a step of a sub-program, "2." for the sub-program itself
	Opened  *ledger.ProgramState `json:"opened,omitempty"`
	Model   *ModelEvent          `json:"model,omitempty"`
	Tool    *ToolEvent           `json:"tool,omitempty"`
	Pause   string               `json:"pause,omitempty"`
	Ended   *ledger.ProgramState `json:"ended,omitempty"`
}

// ModelEvent is a model call with its answer.
type ModelEvent struct {
	Model    string               `json:"model"`
	Messages []ledger.Message     `json:"messages"`
	Answer   dispatch.ModelAnswer `json:"answer"`
}

// ToolEvent is a tool call with its answer.
type ToolEvent struct {
	Service   string          `json:"service"`
	Operation string          `json:"operation"`
	Status    int             `json:"status"`
	Body      json.RawMessage `json:"body"`
}

// Runner runs program files through a Client.
type Runner struct {
	client *Client
	key    string // prefix of all idempotency keys of this run
	report func(Event)
}

// NewRunner returns a runner that calls report for each event. Repeating a run
// with the same key continues it, because completed calls return their recorded
// answers.
func NewRunner(c *Client, key string, report func(Event)) *Runner {
	return &Runner{client: c, key: key, report: report}
}

// Run opens the program, runs its steps in order and ends it. A failed step
// ends the program as failed.
func (r *Runner) Run(ctx context.Context, f ProgramFile) error {
	return r.run(ctx, f, "", "")
}

func (r *Runner) run(ctx context.Context, f ProgramFile, parent, prefix string) error {
	state, err := r.client.Open(ctx, r.key+"-"+prefix+"open", parent, openProgramBody{
		Program: f.Program, Class: f.Class, Budget: f.Budget, DeadlineSeconds: f.DeadlineSeconds,
	})
	if err != nil {
		return fmt.Errorf("open program: %w", err)
	}
	r.report(Event{Program: state.Program, Step: prefix, Opened: &state})
	for i, s := range f.Steps {
		number := fmt.Sprintf("%s%d", prefix, i+1)
		if err := r.step(ctx, s, state.Program, number); err != nil {
			_, _ = r.client.End(context.WithoutCancel(ctx), state.Program, ledger.ProgramFailed)
			return fmt.Errorf("step %s: %w", number, err)
		}
	}
	ended, err := r.client.End(ctx, state.Program, ledger.ProgramDone)
	if err != nil {
		return fmt.Errorf("end program: %w", err)
	}
	r.report(Event{Program: state.Program, Step: prefix, Ended: &ended})
	return nil
}

func (r *Runner) step(ctx context.Context, s Step, program, number string) error {
	switch {
	case s.Model != nil:
		return r.model(ctx, s.Model, program, number)
	case s.Tool != nil:
		return r.tool(ctx, s.Tool, program, number)
	case s.Program != nil:
		return r.run(ctx, *s.Program, program, number+".")
	}
	r.report(Event{Program: program, Step: number, Pause: s.Pause.String()})
	return r.client.wait(ctx, s.Pause.D())
}

func (r *Runner) model(ctx context.Context, m *ModelStep, program, number string) error {
	body := struct {
		*ModelStep
		Stream bool `json:"stream"`
	}{m, true}
	answer, err := r.client.Model(ctx, program, r.key+"-"+number, body)
	if err != nil {
		return err
	}
	r.report(Event{Program: program, Step: number, Model: &ModelEvent{
		Model: m.Model, Messages: m.Messages, Answer: answer,
	}})
	return nil
}

func (r *Runner) tool(ctx context.Context, t *ToolStep, program, number string) error {
	body := t.Body
	if body == nil {
		body = json.RawMessage("{}")
	}
	answer, err := r.client.Tool(ctx, program, r.key+"-"+number, t.Service, t.Operation, t.Idempotent, body)
	if err != nil {
		return err
	}
	r.report(Event{Program: program, Step: number, Tool: &ToolEvent{
		Service: t.Service, Operation: t.Operation, Status: answer.Status, Body: answer.Body,
	}})
	if answer.Status >= 400 {
		return fmt.Errorf("service %s/%s answered with status %d: %s", t.Service, t.Operation, answer.Status, shorten(string(answer.Body)))
	}
	return nil
}
