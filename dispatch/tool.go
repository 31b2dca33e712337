package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Tool runs a call of a plain service and returns its answer. Errors carry a
// verdict.
func (d *Dispatcher) Tool(ctx context.Context, t ToolCall) (ToolAnswer, error) {
	if err := d.begin(t.FirstSend); err != nil {
		return ToolAnswer{}, err
	}
	defer d.running.Done()
	operation, found := d.board.Operation(t.Service, t.Operation)
	if !found {
		return ToolAnswer{}, d.rejectWithoutLedger(t.FirstSend, verdict.UnknownService,
			"operation "+t.Service+"/"+t.Operation+" is not offered by any backend server")
	}
	idempotent := operation.Idempotent
	if t.Idempotent != nil {
		idempotent = *t.Idempotent
	}
	x := d.prepareTool(t, idempotent)
	state, err := x.run(ctx)
	if err != nil {
		return ToolAnswer{}, err
	}
	var a ToolAnswer
	if err := json.Unmarshal(state.Answer, &a); err != nil {
		return ToolAnswer{}, verdict.New(verdict.Ran, verdict.Internal, "recorded answer cannot be decoded", verdict.WithCause(err))
	}
	return a, nil
}

func (d *Dispatcher) prepareTool(t ToolCall, idempotent bool) *execution {
	name := t.Service + "/" + t.Operation
	timeout := d.board.Config().ServiceTimeout(t.Service, defaultToolTimeout)
	c := newCall(ledger.ToolCall, idempotent, d.host, d.incarnation)
	return &execution{
		d: d, call: c, deadline: time.Now().Add(timeout),
		sender: &toolSender{d: d, call: c, request: t},
		open: ledger.OpenCall{
			Program: t.Program, Team: t.Team, Key: t.Key, Fingerprint: t.Fingerprint,
			Kind: ledger.ToolCall, Name: name, Idempotent: idempotent,
			Host: d.host, HostIncarnation: d.incarnation, Request: d.newRequestID(),
			Timeout: timeout.Milliseconds(),
		},
		request: schedule.Request{
			Team: t.Team, Service: t.Service, Idempotent: idempotent,
			Fingerprint: bodyFingerprint(t.Fingerprint),
		},
		logger: d.callLogger(t.RequestID, t.Program, t.Team, name),
	}
}

// toolSender sends a tool call to a plain service.
type toolSender struct {
	d       *Dispatcher
	call    *call
	request ToolCall
}

func (s *toolSender) send(ctx context.Context, _ *execution, a send) (sendResult, error) {
	id := backend.CallID{Program: s.request.Program, Call: a.assignment.ID.Call, Attempt: a.number}
	status, body, err := s.d.services.Call(ctx, a.server.Address, s.request.Operation, id, s.request.Body)
	if err != nil {
		return sendResult{send: a}, err
	}
	if status >= http.StatusInternalServerError {
		// The operation may have had effects before the service failed.
		return sendResult{send: a}, verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed,
			"service returned status %d", status)
	}
	if !json.Valid(body) {
		return sendResult{send: a}, verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "service returned invalid JSON")
	}
	answer, err := json.Marshal(ToolAnswer{Call: s.call.state.Call, Status: status, Body: body})
	if err != nil {
		return sendResult{send: a}, verdict.New(verdict.MayHaveRun, verdict.Internal, "answer cannot be encoded", verdict.WithCause(err))
	}
	return sendResult{send: a, answer: answer}, nil
}
