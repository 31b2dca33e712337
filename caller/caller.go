// Package caller implements the HTTP API for callers: chat completions in the
// OpenAI format, and programs with their model and tool calls. It validates
// requests, passes them to a Dispatcher and encodes answers, streams and
// errors; it keeps no state between requests. Start with New, or with Client
// and Runner for the client side.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/ledger"
)

// Dispatcher executes the requests of callers. Its errors are verdict errors;
// any other error counts as may-have-run.
type Dispatcher interface {
	OpenProgram(ctx context.Context, c ledger.OpenProgram) (ledger.ProgramState, error)
	// Model makes a model call. With a nil sink the answer is not streamed.
	// If the answer is already recorded, the sink receives no tokens.
	Model(ctx context.Context, c dispatch.ModelCall, s dispatch.Sink) (dispatch.ModelAnswer, error)
	Tool(ctx context.Context, c dispatch.ToolCall) (dispatch.ToolAnswer, error)
	EndProgram(ctx context.Context, c ledger.EndProgram) (ledger.ProgramState, error)
	Program(ctx context.Context, team, program string) (ledger.ProgramState, error)
	History(ctx context.Context, team, program string, from, limit int) ([]ledger.Message, error)
}

// Authenticator returns the identity of a credential's holder.
type Authenticator interface {
	Find(credential string) (credential.Identity, bool)
}

// Gate counts the in-flight requests, and rejects requests while the host
// drains.
type Gate interface {
	// BeginRequest counts the request as in flight and returns nil, or rejects
	// it with an error. While the host drains, new programs are rejected first,
	// and requests of open programs later.
	BeginRequest(newProgram bool) error
	EndRequest()
}

const (
	defaultMaxTokens    = 512
	defaultMaxBodyBytes = 8 << 20
	// defaultMaxInFlightBytes suits small hosts; 2,000 requests of 128 KB fit.
	defaultMaxInFlightBytes = 256 << 20
	defaultBodyTimeout      = 30 * time.Second
	defaultWriteTimeout     = 30 * time.Second
	// defaultDeadline applies to programs opened without a deadline.
	defaultDeadline = time.Hour
	// singleCallDeadline is the deadline of a program that wraps a single call.
	singleCallDeadline = 10 * time.Minute
	// singleCallAttempts is how many attempts the budget of a single call
	// covers. Each time another entry host takes over the call of a failed
	// host, the ledger reserves the worst-case cost once more.
	singleCallAttempts = 3
	// endProgramTimeout limits the command that ends the program of a single
	// call. The command is not cancelled when the caller disconnects.
	endProgramTimeout = 5 * time.Second
	// framingTokens is the assumed maximum number of tokens that an engine adds
	// around a message.
	framingTokens = 64
)

type api struct {
	dispatcher       Dispatcher
	auth             Authenticator
	gate             Gate
	log              *zap.Logger
	metrics          tally.Scope
	now              func() time.Time
	newID            func() string
	maxTokens        int
	maxBodyBytes     int64
	maxInFlightBytes int64
	bodyMemory       *semaphore.Weighted // bytes reserved for the bodies of in-flight requests
	bodyTimeout      time.Duration
	writeTimeout     time.Duration
}

// Option configures the API.
type Option func(*api)

// WithAuthenticator sets the Authenticator. Without it, every request is
// rejected.
func WithAuthenticator(a Authenticator) Option { return func(p *api) { p.auth = a } }

// WithGate sets the Gate that rejects requests while the host drains.
func WithGate(g Gate) Option { return func(p *api) { p.gate = g } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(p *api) { p.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(s tally.Scope) Option { return func(p *api) { p.metrics = s } }

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option { return func(p *api) { p.now = now } }

// WithIDs replaces the generator of request ids and keys.
func WithIDs(newID func() string) Option { return func(p *api) { p.newID = newID } }

// WithDefaultMaxTokens sets the token limit of answers to requests that set
// none.
func WithDefaultMaxTokens(n int) Option { return func(p *api) { p.maxTokens = n } }

// WithMaxBodyBytes limits the size of a request body.
func WithMaxBodyBytes(n int64) Option { return func(p *api) { p.maxBodyBytes = n } }

// WithMaxInFlightBytes limits the total size of the bodies of in-flight
// requests. The effective limit is at least that of a single body.
func WithMaxInFlightBytes(n int64) Option { return func(p *api) { p.maxInFlightBytes = n } }

// WithBodyTimeout limits the time to receive a request body.
func WithBodyTimeout(d time.Duration) Option { return func(p *api) { p.bodyTimeout = d } }

// WithWriteTimeout limits the time of one write to a stream.
func WithWriteTimeout(d time.Duration) Option { return func(p *api) { p.writeTimeout = d } }

// New returns the HTTP handler of the API.
func New(d Dispatcher, opts ...Option) http.Handler {
	p := &api{
		dispatcher:       d,
		auth:             denyAll{},
		gate:             allowAll{},
		log:              zap.NewNop(),
		metrics:          tally.NoopScope,
		now:              time.Now,
		newID:            randomID,
		maxTokens:        defaultMaxTokens,
		maxBodyBytes:     defaultMaxBodyBytes,
		maxInFlightBytes: defaultMaxInFlightBytes,
		bodyTimeout:      defaultBodyTimeout,
		writeTimeout:     defaultWriteTimeout,
	}
	for _, o := range opts {
		o(p)
	}
	p.bodyMemory = semaphore.NewWeighted(max(p.maxInFlightBytes, p.maxBodyBytes))
	return p.router()
}

func (p *api) router() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.Handle("/v1/chat/completions", p.handle("chat", p.chat)).Methods(http.MethodPost)
	r.Handle("/v1/programs", p.handle("open-program", p.open)).Methods(http.MethodPost)
	r.Handle("/v1/programs/{program}", p.handle("program", p.programStatus)).Methods(http.MethodGet)
	r.Handle("/v1/programs/{program}/history", p.handle("history", p.history)).Methods(http.MethodGet)
	r.Handle("/v1/programs/{program}/calls", p.handle("model-call", p.modelCall)).Methods(http.MethodPost)
	r.Handle("/v1/programs/{program}/programs", p.handle("open-sub-program", p.openSubProgram)).Methods(http.MethodPost)
	r.Handle("/v1/programs/{program}/end", p.handle("end-program", p.endProgram)).Methods(http.MethodPost)
	r.Handle("/v1/programs/{program}/tools/{service}/{operation}", p.handle("tool-call", p.toolCall)).Methods(http.MethodPost)
	r.NotFoundHandler = p.handle("unknown", notFound)
	r.MethodNotAllowedHandler = p.handle("unknown", methodNotAllowed)
	return r
}

type denyAll struct{}

func (denyAll) Find(string) (credential.Identity, bool) { return credential.Identity{}, false }

type allowAll struct{}

func (allowAll) BeginRequest(bool) error { return nil }
func (allowAll) EndRequest()             {}
