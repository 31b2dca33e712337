package membership

import "github.com/sycamoreline/sycamoreline/verdict"

// The reasons for a Refusal, besides verdict.BadRequest.
const (
	// StaleIncarnation means that the incarnation was replaced or can no longer
	// rejoin.
	StaleIncarnation verdict.Reason = "stale-incarnation"
	// UnknownHost means that the incarnation of the entry host is not a member or
	// was replaced.
	UnknownHost verdict.Reason = "unknown-host"
	// Held means that another member owns the resource.
	Held verdict.Reason = "held"
)

// Command is one log entry of the membership group. Exactly one field is set.
type Command struct {
	Join        *Join         `json:"join,omitempty"`
	Announce    *Announcement `json:"announce,omitempty"`
	Expire      *Expire       `json:"expire,omitempty"`
	Acquire     *Acquire      `json:"acquire,omitempty"`
	Yield       *Yield        `json:"yield,omitempty"`
	ReportCrash *ReportCrash  `json:"report-crash,omitempty"`
}

// MemberKind distinguishes entry hosts from backend servers.
type MemberKind string

// The kinds of member.
const (
	HostMember   MemberKind = "host"
	ServerMember MemberKind = "server"
)

// Member identifies one incarnation of an entry host or a backend server.
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

// Expire removes members whose lease has expired on the leader's clock. It has
// no effect on a newer incarnation of such a member.
type Expire struct {
	Members []Member `json:"members"`
}

// Acquire requests the ownership of a resource and a fencing number.
type Acquire struct {
	Resource string `json:"resource"`
	// Server is the server that receives the owner's orders. Its announcement
	// states whether it checks fencing numbers.
	Server          string `json:"server"`
	Host            string `json:"host"`
	HostIncarnation string `json:"host-incarnation"`
}

// Yield releases a resource. The owner must not have an order in progress.
type Yield struct {
	Resource string `json:"resource"`
	Fencing  int64  `json:"fencing"`
}

// ReportCrash reports which calls an entry host had in flight on a server when
// the server crashed.
type ReportCrash struct {
	Server            string   `json:"server"`
	ServerIncarnation string   `json:"server-incarnation"`
	Fingerprints      []string `json:"fingerprints"` // of those calls
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

// Refusal gives the reason why a command was not applied.
type Refusal struct {
	Reason  verdict.Reason `json:"reason"`
	Message string         `json:"message"`
}

// Grant is the ownership of a resource. It ends with the lease of its host: a
// host whose lease has expired must acquire the resource again, even if it has
// rejoined.
type Grant struct {
	Resource        string `json:"resource"`
	Fencing         int64  `json:"fencing"` // greater than in any earlier grant
	Host            string `json:"host"`
	HostIncarnation string `json:"host-incarnation"`
	// Wait is how long the new owner must wait before its first order, in
	// milliseconds on its own clock from the receipt of the grant.
	Wait int64 `json:"wait,omitempty"`
}

// Suspect is the fingerprint of calls that were in flight on servers when these
// crashed, and that may have caused the crashes.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes counts the crashed server incarnations. It is 0 if the fingerprint
	// is no longer suspect.
	Crashes int `json:"crashes"`
	// CrashesAlone counts the crashes for which no other in-flight fingerprint was
	// reported by any entry host.
	CrashesAlone int   `json:"alone"`
	Revision     int64 `json:"revision"`
}

// Query is a read-only request. Exactly one field is set.
type Query struct {
	Difference *DifferenceQuery `json:"difference,omitempty"`
	Hosts      *HostsQuery      `json:"hosts,omitempty"`
	Suspect    *SuspectQuery    `json:"suspect,omitempty"`
	Suspects   *SuspectsQuery   `json:"suspects,omitempty"`
	Alive      *AliveQuery      `json:"alive,omitempty"`
	Grant      *GrantQuery      `json:"grant,omitempty"`
}

// DifferenceQuery reads the changes after a member revision.
type DifferenceQuery struct {
	Since int64 `json:"since"`
}

// HostsQuery lists all entry hosts.
type HostsQuery struct{}

// SuspectQuery reads the crash counts of a fingerprint.
type SuspectQuery struct {
	Fingerprint string `json:"fingerprint"`
}

// SuspectsQuery lists all suspects.
type SuspectsQuery struct{}

// AliveQuery reads whether a server incarnation may still hold engine memory.
type AliveQuery struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// GrantQuery reads the grant of a resource.
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
