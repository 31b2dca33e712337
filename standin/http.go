package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const maxBodyBytes = 64 << 20

// ReadBody reads a request body. If that fails, it writes an error response and
// returns false.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		return body, true
	}
	reason := verdict.BadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		reason = verdict.TooLarge
	}
	verdict.New(verdict.NotRun, reason, "cannot read request body", verdict.WithCause(err)).Write(w)
	return nil, false
}

// ReadJSON decodes a JSON request body into v. If that fails, it writes an
// error response and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := ReadBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		verdict.New(verdict.NotRun, verdict.BadRequest, "request body is not valid JSON", verdict.WithCause(err)).Write(w)
		return false
	}
	return true
}

// WriteJSON writes a response with v as its JSON body.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
