package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// HTTP headers of requests and responses.
const (
	HeaderProgram    = "Sycamoreline-Program"
	HeaderCall       = "Sycamoreline-Call"
	HeaderIdempotent = "Sycamoreline-Idempotent"
	HeaderKey        = "Idempotency-Key"
)

// request is an HTTP request with its id and the team of its sender.
type request struct {
	*http.Request
	id            string
	team          string
	reservedBytes int64 // reserved from api.bodyMemory
}

// handler handles a request. serve writes the returned error as the response,
// unless it is a writtenError.
type handler func(w http.ResponseWriter, r *request) error

func (p *api) handle(endpoint string, h handler) http.Handler {
	metrics := newEndpointMetrics(p.metrics, endpoint)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := p.now()
		metrics.begin()
		err := p.serve(w, r, h)
		metrics.end(p.now().Sub(start), err)
	})
}

// serve handles one request and returns the error that the caller received.
func (p *api) serve(w http.ResponseWriter, r *http.Request, h handler) error {
	req := &request{Request: r, id: p.requestID(r)}
	defer func() { p.bodyMemory.Release(req.reservedBytes) }()
	w.Header().Set(verdict.HeaderRequestID, req.id)
	p.limitBodyTime(w, r)
	err := p.authenticate(req)
	if err == nil {
		err = h(w, req)
	}
	var written writtenError
	if err != nil && !errors.As(err, &written) {
		verdict.From(err).WithRequestID(req.id).Write(w)
	}
	return err
}

// limitBodyTime sets the read deadline of the body. If the request is rejected
// before its body is read, the deadline stays set, because the HTTP server
// reads the rest of the body.
func (p *api) limitBodyTime(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		setReadDeadline(w, p.now().Add(p.bodyTimeout))
	}
}

func setReadDeadline(w http.ResponseWriter, t time.Time) {
	// Only the response writers of tests do not support this; they need no deadline.
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

func (p *api) authenticate(r *request) error {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return notRun(verdict.Unauthorised, `header "Authorization": want "Bearer <credential>"`)
	}
	identity, ok := p.auth.Find(strings.TrimSpace(token))
	if !ok {
		return notRun(verdict.Unauthorised, `header "Authorization": the credential is not known`)
	}
	if identity.Scope != credential.Caller {
		return notRun(verdict.Forbidden, "the credential has the scope %s; want caller", identity.Scope)
	}
	r.team = identity.Team
	return nil
}

func notRun(reason verdict.Reason, format string, args ...any) error {
	return verdict.Newf(verdict.NotRun, reason, format, args...)
}

func badRequest(err error) error {
	return verdict.New(verdict.NotRun, verdict.BadRequest, err.Error())
}

func invalid(field string, value any, allowed string) error {
	return badRequest(strictjson.Invalid(field, value, allowed))
}

func invalidHeader(name, value, allowed string) error {
	return notRun(verdict.BadRequest, "header %q: value %q: %s", name, shorten(value), allowed)
}

// maxEchoBytes limits how much of an invalid value an error repeats.
const maxEchoBytes = 60

func shorten(s string) string {
	if len(s) <= maxEchoBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxEchoBytes], "") + "..."
}

var (
	keyPattern         = regexp.MustCompile(`^[\x21-\x7e]{1,128}$`)
	programPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:~-]{0,255}$`) // also matches ids of sub-programs
	rootProgramPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	namePattern        = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
)

const (
	keyAllowed     = "want 1 to 128 visible ASCII characters"
	programAllowed = `want 1 to 128 letters, digits and ".", "_", ":", "-", with a letter or digit first`
	nameAllowed    = `want 1 to 128 letters, digits and ".", "_", "-", with a letter or digit first`
)

// key returns the idempotency key, or an error if it is missing or invalid.
func (r *request) key() (string, error) {
	key, err := r.optionalKey()
	if err == nil && key == "" {
		err = notRun(verdict.BadRequest, "header %q is missing: %s", HeaderKey, keyAllowed)
	}
	return key, err
}

func (r *request) optionalKey() (string, error) {
	key := r.Header.Get(HeaderKey)
	if key != "" && !keyPattern.MatchString(key) {
		return "", invalidHeader(HeaderKey, key, keyAllowed)
	}
	return key, nil
}

// programID returns the program id in the path.
func (r *request) programID() (string, error) {
	id := mux.Vars(r.Request)["program"]
	if !programPattern.MatchString(id) {
		return "", invalid("program", id, programAllowed)
	}
	return id, nil
}

// pathName returns the name of a service or operation from the path.
func (r *request) pathName(variable string) (string, error) {
	value := mux.Vars(r.Request)[variable]
	if !namePattern.MatchString(value) {
		return "", invalid(variable, value, nameAllowed)
	}
	return value, nil
}

// body reads the whole body within the size and time limits.
func (p *api) body(w http.ResponseWriter, r *request) ([]byte, error) {
	if r.ContentLength > p.maxBodyBytes {
		return nil, p.tooLarge(fmt.Sprintf("%d bytes", r.ContentLength))
	}
	if err := p.reserveBody(r); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		setReadDeadline(w, time.Time{})
		return data, nil
	case errors.As(err, &tooLarge):
		return nil, p.tooLarge("too many bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, r.bodyError(verdict.Timeout, fmt.Sprintf("the request body took longer than %s", p.bodyTimeout))
	default:
		return nil, r.bodyError(verdict.BadRequest, "the request body ends too early: "+err.Error())
	}
}

// reserveBody reserves memory for a body until the request has been answered.
// For a body of unknown length, it reserves the maximum size.
func (p *api) reserveBody(r *request) error {
	size := r.ContentLength
	if size < 0 {
		size = p.maxBodyBytes
	}
	if !p.bodyMemory.TryAcquire(size) {
		return r.bodyError(verdict.Overloaded, "the bodies of in-flight requests have reached the memory limit", verdict.WithRetryAfter(time.Second))
	}
	r.reservedBytes = size
	return nil
}

// bodyError returns the error for a request whose body was not read completely.
// With an idempotency key, the verdict is MayHaveRun, because an earlier send
// with the same key may have been received completely.
func (r *request) bodyError(reason verdict.Reason, message string, opts ...verdict.Option) error {
	v := verdict.NotRun
	if r.Header.Get(HeaderKey) != "" {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, reason, message, opts...)
}

func (p *api) tooLarge(size string) error {
	return notRun(verdict.TooLarge, "the request body has %s: at most %d bytes are allowed", size, p.maxBodyBytes)
}

// decode strictly decodes a body into a T.
func decode[T any](data []byte) (T, error) {
	value, err := strictjson.Decode[T]("body", data)
	if err != nil {
		return value, badRequest(err)
	}
	return value, nil
}

func notFound(_ http.ResponseWriter, r *request) error {
	return notRun(verdict.BadRequest, "path %q: no such resource", shorten(r.URL.Path))
}

func methodNotAllowed(_ http.ResponseWriter, r *request) error {
	return notRun(verdict.BadRequest, "method %q is not allowed on path %q", shorten(r.Method), shorten(r.URL.Path))
}
