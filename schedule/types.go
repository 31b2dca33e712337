// Package schedule implements the scheduler of one entry host: program
// admission, the queues of calls, the choice of a backend server, hedging and
// the placement of models. It sends nothing itself: a driver carries out its
// decisions and reports the results. It is deterministic: time is passed in, as
// the duration since the process started. Start reading at Scheduler; Planner,
// which places models, is independent of it.
package schedule

import "time"

// CallID identifies one attempt of a call.
type CallID struct {
	Program string
	Call    int
	Attempt int
}

// Class is the priority class of a program. Lower values are more urgent.
type Class uint8

// The priority classes. Interactive is for programs with a waiting user.
const (
	Interactive Class = iota
	Standard
	Batch
)

// Program describes a program that requests admission.
type Program struct {
	ID       string
	Team     string
	Class    Class
	Deadline time.Duration
}

// Admission is the result of an admission request.
type Admission struct {
	Admitted bool
	// Wait is set when the decision is postponed. The driver repeats the
	// request for the same program after Wait. The maximum wait counts from the
	// first request.
	Wait       time.Duration
	RetryAfter time.Duration // set when refused
	Reason     string        // kebab-case
}

// Request describes a call to be scheduled.
type Request struct {
	ID       CallID
	Team     string
	Class    Class
	Deadline time.Duration
	// Urgency is the strict order of calls if teams share the servers, see SetShares.
	// Lower values go first.
	Urgency int
	// Objective is the time after its arrival in which the call should be answered; 0
	// for none. Calls with less time left go first among equals if teams share the
	// servers.
	Objective time.Duration
	// Model is set for model calls, Service for tool calls. Exactly one of them
	// is set.
	Model   string
	Version string
	Adapter string
	Service string
	// SoftwareVersion restricts the call to servers of one software version. It
	// is empty for a call that any server of its model or service can run.
	SoftwareVersion string
	// PromptTokens is the length of the whole prompt, including the history.
	PromptTokens int
	MaxTokens    int
	// LastServer is the server of the program's previous model call, and
	// PrefixTokens the length of the prompt prefix that it cached then.
	LastServer   string
	PrefixTokens int
	// AttainedTokens is the attained service of the whole program.
	AttainedTokens int64
	// First is set for the first call of a program.
	First       bool
	Idempotent  bool
	Fingerprint uint64 // identifies the request among the suspects; 0 for none
	// Affinity is equal for requests that should run on the same servers. It is
	// a hash of a part that they share, such as the first part of the prompt; 0
	// for none.
	Affinity uint64
	// Session identifies the session of the request: a sequence of calls in
	// which each prompt is a prefix of the next one. It is 0 for none.
	Session uint64
	// Avoid lists the servers that failed earlier attempts of this call, once for
	// each attempt.
	Avoid []string
}

// Assignment is the decision to send a call to a server now.
type Assignment struct {
	ID       CallID
	Server   string
	Priority int // for the engine; lower values run first
	// Level is the priority from 0 to 9 if teams share the servers, see SetShares.
	Level        int
	Reason       string // kebab-case, for the decision log
	Alternatives int    // number of eligible servers
	// Hedge is true for a second run of a call that is already running. The
	// driver cancels the first run when the second produces its first token, or
	// the second run if the first ends before that.
	Hedge bool
	// Trial is true for a run on a server in doubt.
	Trial bool
	// ResumeFrom is the number of tokens that the call has already produced; 0
	// for a first run.
	ResumeFrom int
}

// Refused describes a queued call that will not be run.
type Refused struct {
	ID         CallID
	Reason     string // kebab-case
	RetryAfter time.Duration
}

// Server describes a backend server.
type Server struct {
	ID          string
	Incarnation string
	DataCentre  string
	Models      []ServerModel
	Service     string // set for servers that run no models
	// SoftwareVersion is the version of the server's software, which is
	// independent of the versions of its models. It is empty if unknown.
	SoftwareVersion string
	Slots           int
	CacheTokens     int64
	Leaving         bool
}

// ServerModel describes a model that is loaded on a server.
type ServerModel struct {
	Name     string
	Version  string
	Adapters []string
}

// Load is a load report of a server.
type Load struct {
	Age         time.Duration // since the measurement
	Running     int
	Queued      int
	CacheTokens int64 // used part of the prefix cache
}

// Usage is the token usage that a server reports with its response.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Outcome is the outcome of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	// Crashed means that the connection was lost while the call was in flight.
	Crashed
	// FailedUnsent means that the attempt failed before anything was sent to
	// the server, for a reason that is not a failure of the server.
	FailedUnsent
	// Rejected means that the server returned an error.
	Rejected
	TimedOut
	CallerCancelled
	// Superseded means that the driver cancelled this run in favour of another
	// run of the same call.
	Superseded
	// Unreachable means that the server refused the connection. Nothing was
	// sent, as with FailedUnsent, but it counts as a failure of the server.
	Unreachable
)

// TeamLimits are the configured limits of a team.
type TeamLimits struct {
	Weight float64 // share of the capacity, relative to other teams
	// MaxPrograms limits the programs that were active on this entry host in
	// the last minute; 0 means no limit.
	MaxPrograms int
}

// Suspect is a request that was in flight on a server when the server crashed,
// and so may have caused the crash.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
	// Server is the server that the reporting host has reserved to run the
	// suspect alone; empty if none.
	Server string
}

// CacheRelease instructs a server to release the cached prefix of a program.
type CacheRelease struct {
	Server  string
	Program string
}

// Snapshot is the state of a Scheduler for status pages.
type Snapshot struct {
	Queued   map[Class]int
	Programs int
	Servers  []ServerStatus // sorted by ID
}

// ServerStatus is the state of a backend server in a Snapshot.
type ServerStatus struct {
	ID       string
	InFlight int // runs started by this host
	// Speed is the estimated speed relative to the median of the servers of the
	// same model or service.
	Speed   float64
	Leaving bool
}
