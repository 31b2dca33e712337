// Package schedule decides, on one entry host, which program is admitted,
// which call runs next and on which backend server. It is deterministic: time
// is passed in, as the duration since the process started.
package schedule

import "time"

// CallID names one attempt of a call.
type CallID struct {
	Program string
	Call    int
	Attempt int
}

// Class is the priority class of a program, most urgent first.
type Class uint8

// The priority classes. A person waits for interactive programs.
const (
	Interactive Class = iota
	Standard
	Batch
)

// Program is a program that asks for admission.
type Program struct {
	ID       string
	Team     string
	Class    Class
	Deadline time.Duration
}

// Admission is the answer to a Program.
type Admission struct {
	Admitted bool
	// Wait is set when the decision is postponed: the driver asks again with
	// the same program after Wait, which keeps its place.
	Wait       time.Duration
	RetryAfter time.Duration // set when refused
	Reason     string        // kebab-case
}

// Request is a call that waits for a backend server.
type Request struct {
	ID       CallID
	Team     string
	Class    Class
	Deadline time.Duration
	// Model is the model of a model call; Service the service of a tool call.
	// Exactly one is set.
	Model   string
	Version string
	Adapter string
	Service string
	// PromptTokens is the length of the whole prompt with history.
	PromptTokens int
	MaxTokens    int
	// LastServer ran the program's previous model call, and PrefixTokens of
	// the prompt were in its cache then.
	LastServer   string
	PrefixTokens int
	// AttainedTokens is the service that the whole program has had.
	AttainedTokens int64
	Idempotent     bool
	Fingerprint    uint64
	// Affinity names what requests share that run best on the same server,
	// such as the first part of their prompt; 0 for nothing.
	Affinity uint64
	// Session names the line of calls that the request belongs to, whose prompts
	// begin with each other; 0 for none.
	Session uint64
	// Avoid are servers that failed an earlier attempt of this call.
	Avoid []string
}

// Assignment is a call that is to be sent to a server now.
type Assignment struct {
	ID           CallID
	Server       string
	Priority     int    // for the engine, smaller is sooner
	Reason       string // kebab-case, for the decision log
	Alternatives int    // servers that could have run it
	// Hedge is true for a second run of a call that is already running. The
	// driver cancels the first run when the second delivers its first token,
	// and the second one when the first ends before that.
	Hedge bool
	// ResumeFrom is the number of tokens that the call has already produced.
	// Zero for a first run.
	ResumeFrom int
}

// Refused is a queued call that will not be run.
type Refused struct {
	ID         CallID
	Reason     string // kebab-case
	RetryAfter time.Duration
}

// Server is a backend server as the scheduler needs it.
type Server struct {
	ID          string
	Incarnation string
	DataCentre  string
	Models      []ServerModel
	Service     string // set for plain services
	Slots       int
	CacheTokens int64
	Leaving     bool
}

// ServerModel is a model that a server has loaded.
type ServerModel struct {
	Name     string
	Version  string
	Adapters []string
}

// Load is a server's own load report, taken some time ago.
type Load struct {
	Age         time.Duration
	Running     int
	Queued      int
	CacheTokens int64 // tokens in use
}

// Usage is what an answer says of its own cost.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Outcome says how an attempt ended.
type Outcome uint8

// The ends of an attempt.
const (
	Succeeded Outcome = iota
	// Crashed means that the connection broke while the call was in flight.
	Crashed
	// FailedUnsent means that nothing reached the server.
	FailedUnsent
	// Rejected means that the server answered with an error.
	Rejected
	TimedOut
	CallerCancelled
	// Superseded means that the driver cancelled this run because another run
	// of the same call went ahead.
	Superseded
	// Unreachable means that the server refused the connection, so that
	// nothing reached it. Unlike FailedUnsent, it is a failure of the server.
	Unreachable
)

// TeamLimits are the configured limits of a team.
type TeamLimits struct {
	Weight float64 // share of the capacity, relative to other teams
	// MaxPrograms bounds the programs that were active on this entry host in
	// the last minute; 0 means no limit.
	MaxPrograms int
}

// Suspect is a request that was in flight on a server when it crashed.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
	// Server is kept free by the reporting host to run the suspect alone;
	// empty when none is.
	Server string
}

// CacheRelease is an order to a server to release the cached prefix of a program.
type CacheRelease struct {
	Server  string
	Program string
}

// Snapshot describes the scheduler for status pages.
type Snapshot struct {
	Queued   map[Class]int
	Programs int
	Servers  []ServerStatus // by id
}

// ServerStatus describes one backend server in a Snapshot.
type ServerStatus struct {
	ID       string
	InFlight int // runs of this host
	// Speed is the estimated speed relative to the other servers of the same
	// model or service; 1 is typical.
	Speed   float64
	Leaving bool
}
