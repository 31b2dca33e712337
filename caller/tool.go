package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// toolCall handles a call of a service operation.
func (p *api) toolCall(w http.ResponseWriter, r *request) error {
	call, err := p.decodeToolCall(w, r)
	if err != nil {
		return err
	}
	if err := p.beginRequest(false, false); err != nil {
		return err
	}
	defer p.gate.EndRequest()
	answer, err := p.dispatcher.Tool(r.Context(), call)
	if err != nil {
		return err
	}
	if answer.Status < http.StatusOK || answer.Status > 599 {
		return verdict.Newf(verdict.Ran, verdict.ServerFailed, "service %s answered with the invalid status %d", call.Service, answer.Status)
	}
	return writeTool(w, call.Program, answer)
}

func (p *api) decodeToolCall(w http.ResponseWriter, r *request) (dispatch.ToolCall, error) {
	call := dispatch.ToolCall{RequestID: r.id, Team: r.team}
	var err error
	if call.Program, err = r.programID(); err != nil {
		return call, err
	}
	if call.Service, err = r.pathName("service"); err != nil {
		return call, err
	}
	if call.Operation, err = r.pathName("operation"); err != nil {
		return call, err
	}
	if call.Key, err = r.key(); err != nil {
		return call, err
	}
	if call.Idempotent, err = r.idempotent(); err != nil {
		return call, err
	}
	data, err := p.body(w, r)
	if err != nil {
		return call, err
	}
	if len(data) == 0 {
		data = []byte("{}")
	}
	if call.Body, err = decode[json.RawMessage](data); err != nil {
		return call, err
	}
	call.Fingerprint = hash("tool", call.Service, call.Operation, string(data))
	return call, nil
}

// idempotent returns the value of the header, or nil if it is absent: the value
// announced by the service then applies.
func (r *request) idempotent() (*bool, error) {
	text := r.Header.Get(HeaderIdempotent)
	switch text {
	case "":
		return nil, nil
	case "true", "false":
		value := text == "true"
		return &value, nil
	}
	return nil, invalidHeader(HeaderIdempotent, text, "want true or false")
}

// writeTool forwards the status and body of the service. The verdict header
// distinguishes an error of the service from an error of Sycamoreline.
func writeTool(w http.ResponseWriter, program string, answer dispatch.ToolAnswer) error {
	h := w.Header()
	h.Set(HeaderProgram, program)
	h.Set(HeaderCall, strconv.Itoa(answer.Call))
	h.Set(verdict.HeaderVerdict, verdict.Ran.String())
	h.Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}
