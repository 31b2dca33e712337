package membership

import "github.com/sycamoreline/sycamoreline/verdict"

// Reasons of refusals by this package.
const (
	// StaleIncarnation refuses an incarnation that was replaced or has left.
	StaleIncarnation verdict.Reason = "stale-incarnation"
	// UnknownHost refuses an entry host that is not a member.
	UnknownHost verdict.Reason = "unknown-host"
	// Held refuses a resource that a live host holds.
	Held verdict.Reason = "held"
)

// Command is one log entry for the members. Exactly one field is set.
type Command struct {
	Join        *Join         `json:"join,omitempty"`
	Announce    *Announcement `json:"announce,omitempty"`
	Expire      *Expire       `json:"expire,omitempty"`
	Acquire     *Acquire      `json:"acquire,omitempty"`
	Yield       *Yield        `json:"yield,omitempty"`
	ReportCrash *ReportCrash  `json:"report-crash,omitempty"`
}

// MemberKind tells entry hosts from backend servers.
type MemberKind string

// The kinds of member.
const (
	HostMember   MemberKind = "host"
	ServerMember MemberKind = "server"
)

// Member names one incarnation of an entry host or a backend server.
type Member struct {
	Kind        MemberKind `json:"kind"`
	ID          string     `json:"id"`
	Incarnation string     `json:"incarnation"`
}

// Join makes an entry host a member.
type Join struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
}

// Expire removes members whose lease has run out on the leader's clock. A
// member that has another incarnation by now is left alone.
type Expire struct {
	Members []Member `json:"members"`
}

// Acquire asks for the ownership of a resource and its fencing number.
type Acquire struct {
	Resource string `json:"resource"`
	// Server receives the orders of the owner. Its announcement says whether
	// it checks fencing numbers.
	Server          string `json:"server"`
	Host            string `json:"host"`
	HostIncarnation string `json:"host-incarnation"`
}

// Yield gives a resource up. The owner must know that none of its orders is
// in progress any more.
type Yield struct {
	Resource string `json:"resource"`
	Fencing  int64  `json:"fencing"`
}

// ReportCrash says which calls an entry host had in flight on a server when
// it crashed.
type ReportCrash struct {
	Server            string   `json:"server"`
	ServerIncarnation string   `json:"server-incarnation"`
	Fingerprints      []string `json:"fingerprints"`
}

// Result is the answer to a Command.
type Result struct {
	Refusal  *Refusal `json:"refusal,omitempty"`
	Revision int64    `json:"revision"` // member revision after the command
	Host     *Host    `json:"host,omitempty"`
	Server   *Server  `json:"server,omitempty"`
	Grant    *Grant   `json:"grant,omitempty"`
	// Expired are the members that an Expire removed.
	Expired []Member `json:"expired,omitempty"`
}

// Refusal says why a command was not carried out.
type Refusal struct {
	Reason  verdict.Reason `json:"reason"`
	Message string         `json:"message"`
}

// Grant is the ownership of a resource. It ends with the lease of its host: a
// host whose lease has run out must acquire the resource again, even when it
// has joined again since.
type Grant struct {
	Resource        string `json:"resource"`
	Fencing         int64  `json:"fencing"` // greater than of every grant before
	Host            string `json:"host"`
	HostIncarnation string `json:"host-incarnation"`
	// Wait is how long the new owner must send no order, counted on its own
	// clock from the receipt of the grant. Milliseconds.
	Wait int64 `json:"wait,omitempty"`
}

// Suspect is a fingerprint that was in flight on servers when they crashed.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes counts the crashed server incarnations. 0 means that the
	// fingerprint is no longer suspect.
	Crashes int `json:"crashes"`
	// CrashesAlone counts those crashes in which it was the only call in flight
	// that any entry host has reported.
	CrashesAlone int   `json:"alone"`
	Revision     int64 `json:"revision"`
}

// Query asks for members without changing them. Exactly one field is set.
type Query struct {
	Difference *DifferenceQuery `json:"difference,omitempty"`
	Hosts      *HostsQuery      `json:"hosts,omitempty"`
	Suspect    *SuspectQuery    `json:"suspect,omitempty"`
	Suspects   *SuspectsQuery   `json:"suspects,omitempty"`
	Alive      *AliveQuery      `json:"alive,omitempty"`
	Grant      *GrantQuery      `json:"grant,omitempty"`
}

// DifferenceQuery asks for what changed after a member revision.
type DifferenceQuery struct {
	Since int64 `json:"since"`
}

// HostsQuery asks for all entry hosts.
type HostsQuery struct{}

// SuspectQuery asks for the crash count of a fingerprint.
type SuspectQuery struct {
	Fingerprint string `json:"fingerprint"`
}

// SuspectsQuery asks for all suspects.
type SuspectsQuery struct{}

// AliveQuery asks whether a server incarnation can still hold engine memory.
type AliveQuery struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// GrantQuery asks for the owner of a resource.
type GrantQuery struct {
	Resource string `json:"resource"`
}

// QueryResult is the answer to a Query.
type QueryResult struct {
	Error      string      `json:"error,omitempty"` // set when the query is malformed
	Revision   int64       `json:"revision"`
	Difference *Difference `json:"difference,omitempty"`
	Hosts      []Host      `json:"hosts,omitempty"`
	Suspects   []Suspect   `json:"suspects,omitempty"`
	Alive      bool        `json:"alive,omitempty"`
	Grant      *Grant      `json:"grant,omitempty"`
}
