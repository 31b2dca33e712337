package verdict

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// HTTP headers of the verdict, the reason and the request id.
const (
	HeaderVerdict   = "Sycamoreline-Verdict"
	HeaderReason    = "Sycamoreline-Reason"
	HeaderRequestID = "Sycamoreline-Request-Id"
)

// wireError is the JSON form of an Error. OpenAI clients read the fields
// message, type and code.
type wireError struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Code       Reason  `json:"code"`
	Verdict    Verdict `json:"verdict"`
	Reason     Reason  `json:"reason"`
	RetryAfter float64 `json:"retry-after-seconds,omitempty"`
	RequestID  string  `json:"request-id,omitempty"`
}

// MarshalJSON encodes the error as {"error":{...}}.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Error wireError `json:"error"`
	}{wireError{
		Message:    e.Error(),
		Type:       openAITypes[e.Status()],
		Code:       e.reason,
		Verdict:    e.verdict,
		Reason:     e.reason,
		RetryAfter: e.retryAfter.Seconds(),
		RequestID:  e.requestID,
	}})
}

// UnmarshalJSON decodes {"error":{...}}.
func (e *Error) UnmarshalJSON(data []byte) error {
	var body struct {
		Error *wireError `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return err
	}
	if body.Error == nil {
		return fmt.Errorf("error body: field \"error\" is missing")
	}
	w := body.Error
	*e = *New(w.Verdict, w.Reason, trimReason(w.Message, w.Reason),
		WithRetryAfter(time.Duration(w.RetryAfter*float64(time.Second))))
	e.requestID = w.RequestID
	return nil
}

func trimReason(message string, reason Reason) string {
	prefix := string(reason) + ": "
	if len(message) > len(prefix) && message[:len(prefix)] == prefix {
		return message[len(prefix):]
	}
	return message
}

var openAITypes = map[int]string{
	http.StatusBadRequest:            "invalid_request_error",
	http.StatusUnauthorized:          "authentication_error",
	http.StatusForbidden:             "permission_error",
	http.StatusNotFound:              "not_found_error",
	http.StatusConflict:              "conflict_error",
	http.StatusRequestEntityTooLarge: "invalid_request_error",
	http.StatusTooManyRequests:       "rate_limit_error",
	http.StatusBadGateway:            "server_error",
	http.StatusServiceUnavailable:    "server_error",
	http.StatusGatewayTimeout:        "timeout_error",
	http.StatusInternalServerError:   "server_error",
}

var httpStatuses = map[Reason]int{
	BadRequest:           http.StatusBadRequest,
	TooLarge:             http.StatusRequestEntityTooLarge,
	Unauthorised:         http.StatusUnauthorized,
	Forbidden:            http.StatusForbidden,
	UnknownTeam:          http.StatusNotFound,
	UnknownProgram:       http.StatusNotFound,
	UnknownModel:         http.StatusNotFound,
	UnknownService:       http.StatusNotFound,
	ProgramExists:        http.StatusConflict,
	ProgramEnded:         http.StatusConflict,
	CallInProgress:       http.StatusConflict,
	KeyReused:            http.StatusConflict,
	StaleAttempt:         http.StatusConflict,
	Conflict:             http.StatusConflict,
	OutcomeUnknown:       http.StatusConflict,
	BudgetExceeded:       http.StatusTooManyRequests,
	Overloaded:           http.StatusTooManyRequests,
	RetryBudgetExhausted: http.StatusTooManyRequests,
	DeadlineExceeded:     http.StatusGatewayTimeout,
	Timeout:              http.StatusGatewayTimeout,
	Cancelled:            http.StatusServiceUnavailable,
	NoServer:             http.StatusServiceUnavailable,
	LeaseExpired:         http.StatusServiceUnavailable,
	Draining:             http.StatusServiceUnavailable,
	ControlUnavailable:   http.StatusServiceUnavailable,
	ServerFailed:         http.StatusBadGateway,
	CrashedServers:       http.StatusBadGateway,
}

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	if s, ok := httpStatuses[e.reason]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Write writes the error as an HTTP response, in headers and body.
func (e *Error) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderVerdict, e.verdict.String())
	h.Set(HeaderReason, string(e.reason))
	if e.requestID != "" {
		h.Set(HeaderRequestID, e.requestID)
	}
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(e.Status())
	body, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = w.Write(append(body, '\n'))
}
