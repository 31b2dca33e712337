package control

import (
	"context"
	"time"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Programs gives entry hosts access to the program ledger.
type Programs struct {
	client *Client
}

// NewPrograms returns a Programs that uses the client.
func NewPrograms(c *Client) *Programs { return &Programs{client: c} }

func (p *Programs) propose(ctx context.Context, program string, c ledger.Command) (ledger.Result, error) {
	r, err := Propose[ledger.Result](ctx, p.client, p.client.GroupOf(program), c)
	if err != nil {
		return r, err
	}
	return r, refusalError(r.Refusal)
}

func (p *Programs) query(ctx context.Context, program string, q ledger.Query) (ledger.QueryResult, error) {
	r, err := Query[ledger.QueryResult](ctx, p.client, p.client.GroupOf(program), q)
	if err != nil {
		return r, err
	}
	return r, refusalError(r.Refusal)
}

func refusalError(r *ledger.Refusal) error {
	if r == nil {
		return nil
	}
	return verdict.New(r.Verdict, r.Reason, r.Message,
		verdict.WithRetryAfter(time.Duration(r.RetryAfter)*time.Millisecond))
}

func (p *Programs) program(ctx context.Context, id string, c ledger.Command) (ledger.ProgramState, error) {
	r, err := p.propose(ctx, id, c)
	if err != nil {
		return ledger.ProgramState{}, err
	}
	if r.Program == nil {
		return ledger.ProgramState{}, incompleteError("program")
	}
	return *r.Program, nil
}

func (p *Programs) call(ctx context.Context, id string, c ledger.Command) (ledger.CallState, error) {
	r, err := p.propose(ctx, id, c)
	if err != nil {
		return ledger.CallState{}, err
	}
	if r.Call == nil {
		return ledger.CallState{}, incompleteError("call")
	}
	return *r.Call, nil
}

func incompleteError(field string) error {
	return verdict.Newf(verdict.MayHaveRun, verdict.Internal, "response of the control host lacks field %q", field)
}

// OpenProgram opens a program. A sub-program belongs to the group of its
// parent.
func (p *Programs) OpenProgram(ctx context.Context, c ledger.OpenProgram) (ledger.ProgramState, error) {
	return p.program(ctx, c.Program, ledger.Command{OpenProgram: &c})
}

// EndProgram ends a program.
func (p *Programs) EndProgram(ctx context.Context, c ledger.EndProgram) (ledger.ProgramState, error) {
	return p.program(ctx, c.Program, ledger.Command{EndProgram: &c})
}

// OpenCall opens the next call of a program.
func (p *Programs) OpenCall(ctx context.Context, c ledger.OpenCall) (ledger.CallState, error) {
	return p.call(ctx, c.Program, ledger.Command{OpenCall: &c})
}

// MarkSent records the intent to send a call.
func (p *Programs) MarkSent(ctx context.Context, c ledger.MarkSent) (ledger.CallState, error) {
	return p.call(ctx, c.Program, ledger.Command{MarkSent: &c})
}

// SettleCall records the outcome of a call.
func (p *Programs) SettleCall(ctx context.Context, c ledger.SettleCall) (ledger.CallState, error) {
	return p.call(ctx, c.Program, ledger.Command{SettleCall: &c})
}

// takeOverRequest requests the take-over of a call from a host that may have
// failed.
type takeOverRequest struct {
	Group          int             `json:"group"`
	OldHost        string          `json:"old-host"`
	OldIncarnation string          `json:"old-incarnation"`
	TakeOver       ledger.TakeOver `json:"take-over"`
}

// TakeOver starts the next attempt of a call on another host. It is refused
// with the reason call-in-progress while the call's current host reports its
// presence to the control hosts.
func (p *Programs) TakeOver(ctx context.Context, current ledger.CallState, c ledger.TakeOver) (ledger.CallState, error) {
	group := p.client.GroupOf(c.Program)
	request := takeOverRequest{
		Group: group, OldHost: current.Host, OldIncarnation: current.HostIncarnation, TakeOver: c,
	}
	var r ledger.Result
	if err := p.client.callLeaderJSON(ctx, methodTakeOver, group, request, &r); err != nil {
		return ledger.CallState{}, err
	}
	if r.Call == nil {
		return ledger.CallState{}, refusalError(r.Refusal)
	}
	return *r.Call, refusalError(r.Refusal)
}

// Program returns a program's state.
func (p *Programs) Program(ctx context.Context, q ledger.ProgramQuery) (ledger.ProgramState, error) {
	r, err := p.query(ctx, q.Program, ledger.Query{Program: &q})
	if err != nil {
		return ledger.ProgramState{}, err
	}
	if r.Program == nil {
		return ledger.ProgramState{}, incompleteError("program")
	}
	return *r.Program, nil
}

// Call returns the state of the call that has the given idempotency key.
func (p *Programs) Call(ctx context.Context, q ledger.CallQuery) (ledger.CallState, error) {
	r, err := p.query(ctx, q.Program, ledger.Query{Call: &q})
	if err != nil {
		return ledger.CallState{}, err
	}
	if r.Call == nil {
		return ledger.CallState{}, incompleteError("call")
	}
	return *r.Call, nil
}

// History returns a page of a program's history.
func (p *Programs) History(ctx context.Context, q ledger.HistoryQuery) ([]ledger.Message, error) {
	r, err := p.query(ctx, q.Program, ledger.Query{History: &q})
	return r.History, err
}
