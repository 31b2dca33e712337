// Package verdict defines errors with a reason and a verdict, which states
// whether the failed request may have run on a backend server. It encodes them
// as HTTP responses but does not retry anything. Start with Verdict, New and
// From.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// Verdict states whether a request may have run. The zero value is MayHaveRun,
// the only safe value if the cause of an error is unknown.
type Verdict int8

// The verdicts.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

var verdictTexts = []string{"may-have-run", "not-run", "ran"}

// String returns the text form used in headers and bodies.
func (v Verdict) String() string {
	if int(v) < 0 || int(v) >= len(verdictTexts) {
		return verdictTexts[MayHaveRun]
	}
	return verdictTexts[v]
}

// MarshalText returns the text form.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses the text form and rejects any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, t := range verdictTexts {
		if t == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("verdict %q: want not-run, may-have-run or ran", text)
}

// Reason is the kebab-case code of an error.
type Reason string

// Common reasons. Other packages define further ones.
const (
	BadRequest           Reason = "bad-request"
	TooLarge             Reason = "body-too-large"
	Unauthorised         Reason = "unauthorised"
	UnknownTeam          Reason = "unknown-team"
	UnknownProgram       Reason = "unknown-program"
	UnknownModel         Reason = "unknown-model"
	UnknownService       Reason = "unknown-service"
	ProgramExists        Reason = "program-exists"
	ProgramEnded         Reason = "program-ended"
	CallInProgress       Reason = "call-in-progress"
	KeyReused            Reason = "idempotency-key-reused"
	BudgetExceeded       Reason = "budget-exceeded"
	QuotaExceeded        Reason = "quota-exceeded"
	DeadlineExceeded     Reason = "deadline-exceeded"
	Overloaded           Reason = "overloaded"
	NoServer             Reason = "no-server"
	ServerFailed         Reason = "server-failed"
	Timeout              Reason = "timeout"
	Cancelled            Reason = "cancelled"
	LeaseExpired         Reason = "lease-expired"
	Draining             Reason = "draining"
	ControlUnavailable   Reason = "control-unavailable"
	CrashedServers       Reason = "crashed-servers"
	StaleAttempt         Reason = "stale-attempt"
	Conflict             Reason = "version-conflict"
	Forbidden            Reason = "forbidden"
	OutcomeUnknown       Reason = "outcome-unknown"
	Internal             Reason = "internal"
	RetryBudgetExhausted Reason = "retry-budget-exhausted"
)

var (
	namespace      = errorx.NewNamespace("sycamoreline")
	notRunType     = namespace.NewType("not-run")
	mayHaveRunType = namespace.NewType("may-have-run")
	ranType        = namespace.NewType("ran")
)

func errorType(v Verdict) *errorx.Type {
	switch v {
	case NotRun:
		return notRunType
	case Ran:
		return ranType
	default:
		return mayHaveRunType
	}
}

// Error is the error of a rejected or failed request, with its verdict.
type Error struct {
	verdict    Verdict
	reason     Reason
	retryAfter time.Duration
	requestID  string
	inner      *errorx.Error
}

// Option configures an Error.
type Option func(*Error)

// WithRetryAfter sets the time after which a retry may succeed.
func WithRetryAfter(d time.Duration) Option {
	return func(e *Error) { e.retryAfter = d }
}

// WithCause sets the error that Unwrap returns.
func WithCause(cause error) Option {
	return func(e *Error) {
		if cause != nil {
			e.inner = errorType(e.verdict).Wrap(cause, "%s", e.inner.Message())
		}
	}
}

// New returns an error with a verdict, a reason and a one-line message.
func New(v Verdict, reason Reason, message string, opts ...Option) *Error {
	e := &Error{verdict: v, reason: reason, inner: errorType(v).New("%s", message)}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Newf is like New with a formatted message and without options.
func Newf(v Verdict, reason Reason, format string, args ...any) *Error {
	return New(v, reason, fmt.Sprintf(format, args...))
}

// Error returns the reason, the message and, if there is one, the cause.
func (e *Error) Error() string {
	message := string(e.reason) + ": " + e.inner.Message()
	if cause := e.inner.Cause(); cause != nil {
		message += ": " + cause.Error()
	}
	return message
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.inner.Cause() }

// Verdict returns whether the request may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Reason returns the kebab-case code.
func (e *Error) Reason() Reason { return e.reason }

// Message returns the message without the reason.
func (e *Error) Message() string { return e.inner.Message() }

// RetryAfter returns the time after which a retry may succeed, or 0.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// RequestID returns the id of the request, or "".
func (e *Error) RequestID() string { return e.requestID }

// WithRequestID returns a copy of the error with the request id.
func (e *Error) WithRequestID(id string) *Error {
	c := *e
	c.requestID = id
	return &c
}

// Of returns the verdict of err. If err is nil or wraps no *Error, so that
// nothing about the request is known, it returns MayHaveRun.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.verdict
	}
	return MayHaveRun
}

// From returns the *Error that err wraps. Any other error is converted to an
// internal error with the verdict MayHaveRun, and nil to nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, Internal, "unexpected failure", WithCause(err))
}
