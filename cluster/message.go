package cluster

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Methods of the protocol between hosts.
const (
	methodReplica   = "replica-message" // between replicas of a log, one way
	methodGossip    = "gossip"          // between control hosts, one way
	methodSync      = "sync"            // entry or ledger host to control host
	methodTable     = "table-part"      // entry host to control host
	methodServers   = "servers-part"    // entry host to control host
	methodReserve   = "reserve-turn"    // entry host to the leader of a partition
	methodSettle    = "settle-turn"     // entry host to the leader of a partition
	methodExtend    = "extend-turn"     // entry host to the leader of a partition
	methodRecord    = "record-stream"   // entry host to the leader of a partition
	methodLookup    = "lookup-stream"   // entry host to the leader of a partition
	methodOutput    = "record-output"   // entry host to the leader of a partition
	methodLeave     = "leave"           // between control hosts, to the leader
	methodDeparture = "departure"       // between control hosts, to the leader
	methodPermit    = "permit"          // entry host to the leader of the control hosts
)

// maxReportedCount is the highest count in a report, and maxReportedTime the longest
// time, in microseconds.
const (
	maxReportedCount = 1e6
	maxReportedTime  = 1e9
)

// gossip is a message by which a control host forwards announcements and
// departures of backend servers to the other control hosts.
type gossip struct {
	From    string           `json:"from"`
	Known   []string         `json:"known,omitempty"` // ids of control hosts; unused
	Entries []registry.Entry `json:"entries,omitempty"`
}

// leaveRequest asks the leader to record the departure of a backend server that the
// sender doesn't know.
type leaveRequest struct {
	Server string `json:"server"`
}

// syncRequest reports the state of an entry or ledger host to a control host,
// and requests changes.
type syncRequest struct {
	Host       string `json:"host"`
	DataCentre string `json:"data-centre,omitempty"`
	// LedgerHost is the report of a ledger host; nil from an entry host.
	LedgerHost *LedgerHostReport `json:"keeper,omitempty"`
	// PlanVersion is the version of the ledger plan that the sender has.
	PlanVersion int64 `json:"plan-version,omitempty"`
	serversRequest
	// InFlight is the number of in-flight requests of the entry host, by backend
	// server.
	InFlight map[string]int `json:"runs,omitempty"`
	// Levels and Service are the numbers of calls by level, by service, and the work
	// for workspaces. They are not set without workspaces.
	Levels  map[string][]int  `json:"levels,omitempty"`
	Service *schedule.Service `json:"work,omitempty"`
	// Suspects are requests that were in flight on a server when it crashed.
	Suspects []Suspect `json:"suspects,omitempty"`
	// Limits are the limits of backend servers that this host knows.
	Limits []ServerLimit `json:"limits,omitempty"`
	// Outcomes and Succeeded are the outcomes of recent requests by server, and the
	// successes by service.
	Outcomes  []ServerOutcomes   `json:"outcomes,omitempty"`
	Succeeded map[string]float64 `json:"succeeded,omitempty"`
	// Waiting is the number of calls that wait for a server, by service.
	Waiting map[string]int `json:"waiting,omitempty"`
	// Timings are the mean times per unit of work on the servers that this host has
	// used lately, in microseconds. SpeedsDigest is that of the speeds it has.
	Timings      map[string]int `json:"timings,omitempty"`
	SpeedsDigest uint64         `json:"speeds-digest,omitempty"`
	// WantInFlight requests the in-flight counts of all other entry hosts.
	WantInFlight bool `json:"want-runs,omitempty"`
	// AcceptsTotals is set by hosts that take the in-flight counts of all entry
	// hosts together with their own instead.
	AcceptsTotals bool `json:"accepts-totals,omitempty"`
	// LedgerDigest is that of the last view of the ledger hosts which this control
	// host has sent; 0 if it is to be sent in any case.
	LedgerDigest uint64 `json:"ledger-digest,omitempty"`
	// Confirm asks the leader to confirm that its table is the newest.
	Confirm bool `json:"confirm,omitempty"`
}

// check returns an error if a count is negative or not finite: it would spoil the
// sums for all hosts.
func (r *syncRequest) check() error {
	valid := func(n float64) bool { return n >= 0 && n <= maxReportedCount }
	for id, n := range r.InFlight {
		if !valid(float64(n)) {
			return verdict.Newf(verdict.NotRun, verdict.BadRequest, "%d in-flight requests on server %q: want 0 to %.0f", n, id, maxReportedCount)
		}
	}
	for _, o := range r.Outcomes {
		if !valid(o.Failed) || !valid(o.Succeeded) {
			return verdict.Newf(verdict.NotRun, verdict.BadRequest, "outcomes %v and %v of server %q: want 0 to %.0f", o.Failed, o.Succeeded, o.Server, maxReportedCount)
		}
	}
	for service, n := range r.Succeeded {
		if !valid(n) {
			return verdict.Newf(verdict.NotRun, verdict.BadRequest, "%v successes on service %q: want 0 to %.0f", n, service, maxReportedCount)
		}
	}
	for id, n := range r.Timings {
		if n <= 0 || float64(n) > maxReportedTime {
			return verdict.Newf(verdict.NotRun, verdict.BadRequest, "%d us on server %q: want 1 to %.0f", n, id, maxReportedTime)
		}
	}
	for service, n := range r.Waiting {
		if !valid(float64(n)) {
			return verdict.Newf(verdict.NotRun, verdict.BadRequest, "%d calls wait for service %q: want 0 to %.0f", n, service, maxReportedCount)
		}
	}
	for service, counts := range r.Levels {
		if i := slices.IndexFunc(counts, func(n int) bool { return !valid(float64(n)) }); i >= 0 {
			return verdict.Newf(verdict.NotRun, verdict.BadRequest, "%d calls of level %d on service %q: want 0 to %.0f", counts[i], i, service, maxReportedCount)
		}
	}
	if r.Service != nil {
		if err := r.Service.Check(); err != nil {
			return verdict.New(verdict.NotRun, verdict.BadRequest, err.Error())
		}
	}
	return nil
}

// serversRequest requests the next part of the changes of the registry.
type serversRequest struct {
	registry.Position
	// PartBytes is the size of the part; 0 for maxServersPartBytes.
	PartBytes int `json:"part,omitempty"`
}

// Suspect is a request that was in flight on servers when they crashed.
type Suspect struct {
	Fingerprint uint64   `json:"fingerprint"`
	Servers     []string `json:"servers"` // ids of the crashed servers
}

type syncResponse struct {
	ID           string   `json:"id"`
	DataCentre   string   `json:"data-centre"`
	Hosts        []string `json:"hosts"`            // ids of control hosts
	Leader       string   `json:"leader,omitempty"` // id of the leader of the control hosts' log
	Term         uint64   `json:"term,omitempty"`   // of that log
	TableVersion int64    `json:"table-version,omitempty"`
	// Provisional is set while the table is one that the host has had before its
	// restart: the log may have a newer one.
	Provisional bool `json:"provisional,omitempty"`
	// ConfirmedAge is the time since the table was confirmed as the newest. It is nil
	// if that was not requested or is not known.
	ConfirmedAge  *time.Duration `json:"confirmed-age,omitempty"`
	registry.Part                // not sent to ledger hosts
	EntryHosts    int            `json:"entry-hosts"`
	// Service is the encoded work of all entry hosts for workspaces, sent together with
	// Totals.
	Service cborwire.Raw `json:"work,omitempty"`
	// Ledger is nil if the sender of the request has it.
	Ledger       *LedgerView `json:"ledger,omitempty"`
	LedgerDigest uint64      `json:"ledger-digest,omitempty"` // without the plan
	// InFlight is the number of in-flight requests of all other entry hosts, by
	// server.
	InFlight map[string]int `json:"runs,omitempty"`
	// Totals is the encoded number of in-flight requests of all entry hosts, by
	// server, of which OwnInFlight are those of the recipient.
	Totals      cborwire.Raw   `json:"total-runs,omitempty"`
	OwnInFlight map[string]int `json:"own-runs,omitempty"`
	// Evidence is an encoded list of ServerEvidence, sent together with Totals.
	Evidence cborwire.Raw `json:"evidence,omitempty"`
	// Queues are the queues of all entry hosts together, by service.
	Queues map[string]schedule.ServiceQueue `json:"queues,omitempty"`
	// Speeds are the speeds of servers that differ from the mean of their service, in
	// percent. They are omitted if the recipient has those of SpeedsDigest.
	Speeds       map[string]int `json:"speeds,omitempty"`
	SpeedsDigest uint64         `json:"speeds-digest,omitempty"`
	Suspects     []Suspect      `json:"suspects,omitempty"`
	// Limits are the limits of backend servers that any host has observed.
	Limits []ServerLimit `json:"limits,omitempty"`
}

// permitRequest requests a permit to send one request to a limited server, or
// permits for requests of workspaces.
type permitRequest struct {
	Host         string `json:"host"`
	*ServerLimit        // nil in a request for workspaces
	// Workspaces are the requests that wait at the host, by workspace.
	Workspaces []workspaceRequest `json:"workspaces,omitempty"`
}

// workspaceRequest requests permits for requests of a workspace.
type workspaceRequest struct {
	Workspace string `json:"name"`
	// Table is the version of the routing table of the host, and the limit is the one
	// in that table.
	Table int64 `json:"table"`
	QuotaLimit
	// Continuations is the number of permits requested, without those for requests
	// that begin a program, which are Beginnings.
	Continuations int `json:"continue,omitempty"`
	Beginnings    int `json:"begin,omitempty"`
	// Repeated is the number of them that have been requested before.
	Repeated int            `json:"again,omitempty"`
	Refunds  []permitRefund `json:"refunds,omitempty"`
}

// permitRefund returns permits of one response that have not been used.
type permitRefund struct {
	Term  uint64        `json:"term"`
	At    time.Duration `json:"at"`
	Count int           `json:"count"`
}

type permitResponse struct {
	// Wait is 0 if the request may be sent now, or else the time after which to
	// ask again.
	Wait time.Duration `json:"wait,omitempty"`
	// Term and At identify the permits for workspaces that this response grants: the
	// term of the leader and its time.
	Term       uint64           `json:"term,omitempty"`
	At         time.Duration    `json:"at,omitempty"`
	Workspaces []workspaceGrant `json:"workspaces,omitempty"` // in the order of the request
}

// workspaceGrant is the number of permits that are granted to a host.
type workspaceGrant struct {
	Continuations int `json:"continue,omitempty"`
	Beginnings    int `json:"begin,omitempty"`
	// Exceeded is set if more is requested than the limit allows.
	Exceeded bool `json:"exceeded,omitempty"`
	// Wait and BeginWait are the times after which the other requests may get a
	// permit, or after which to ask again if the limit is not exceeded. They are to be
	// spread over Spread and BeginSpread.
	Wait        time.Duration `json:"wait,omitempty"`
	Spread      time.Duration `json:"spread,omitempty"`
	BeginWait   time.Duration `json:"begin-wait,omitempty"`
	BeginSpread time.Duration `json:"begin-spread,omitempty"`
	// QuotaLimit is the limit that the leader applies; zero if all is granted.
	QuotaLimit
}

// LedgerHostReport is the state that a ledger host reports to control hosts.
type LedgerHostReport struct {
	Name       string            `json:"name"` // by which operators refer to the host
	DataCentre string            `json:"data-centre"`
	Partitions []PartitionReport `json:"partitions,omitempty"`
}

// PartitionReport is the state of a replica of a partition.
type PartitionReport struct {
	Partition int    `json:"partition"`
	Leader    string `json:"leader,omitempty"`
	Term      uint64 `json:"term,omitempty"`
	// Members holds the ids of the members of the log group. It is empty while a
	// membership change is uncommitted: a host that is about to leave is still a
	// member and must not be shut down.
	Members []string `json:"members,omitempty"`
}

// inFlight returns the in-flight requests of all other entry hosts, by server.
func (r *syncResponse) inFlight() (map[string]int, error) {
	if len(r.Totals) == 0 {
		return r.InFlight, nil // from a control host of an earlier build
	}
	total := map[string]int{}
	if err := cborwire.Unmarshal(r.Totals, &total); err != nil {
		return nil, err
	}
	return withoutOwn(total, r.OwnInFlight), nil
}

// evidence returns what the entry hosts have seen of servers that fail requests.
func (r *syncResponse) evidence() ([]ServerEvidence, error) {
	if len(r.Evidence) == 0 {
		return nil, nil
	}
	var list []ServerEvidence
	if err := cborwire.Unmarshal(r.Evidence, &list); err != nil {
		return nil, err
	}
	return list, nil
}

// service returns the work of all entry hosts for workspaces, or nil.
func (r *syncResponse) service() (*schedule.Service, error) {
	if len(r.Service) == 0 {
		return nil, nil
	}
	v := new(schedule.Service)
	return v, cborwire.Unmarshal(r.Service, v)
}

// LedgerView is the state of the ledger hosts, as last reported to a control
// host.
type LedgerView struct {
	Hosts []string `json:"hosts,omitempty"`
	// Plan is omitted if the requesting host has this version.
	Plan    *Plan             `json:"plan,omitempty"`
	Leaders []PartitionReport `json:"leaders,omitempty"` // without members
}

// tablePartRequest requests a part of an update of the routing table.
type tablePartRequest struct {
	Base int64 `json:"base,omitempty"` // version that the sender has, or 0
	// Update and Version are the id and the version of the update to continue at
	// Offset, or 0 to start an update to the newest version.
	Update  uint64 `json:"update,omitempty"`
	Version int64  `json:"version,omitempty"`
	Offset  int    `json:"offset,omitempty"` // in bytes
}

// tablePartResponse carries a part of an encoded route.Delta. Its Offset is 0
// if the requested update cannot be continued. Update is 0 without a table.
type tablePartResponse struct {
	Update  uint64 `json:"update"` // checksum of the whole update
	Version int64  `json:"version"`
	Size    int    `json:"size"` // of the whole update, in bytes
	Offset  int    `json:"offset,omitempty"`
	Data    []byte `json:"data,omitempty"`
}

type reserveRequest struct {
	Partition int `json:"partition"`
	ledger.ReserveTurn
	// WantChain requests the conversation up to the previous turn.
	WantChain bool `json:"want-chain,omitempty"`
	// Elsewhere is set if the turn continues one in another partition.
	Elsewhere bool `json:"elsewhere,omitempty"`
}

type settleRequest struct {
	Partition int `json:"partition"`
	ledger.SettleTurn
}

type extendRequest struct {
	Partition int `json:"partition"`
	ledger.ExtendTurn
	// OmitChain is set if the conversation up to the turn is not requested.
	OmitChain bool `json:"omit-chain,omitempty"`
}

type outputRequest struct {
	Partition int `json:"partition"`
	ledger.RecordOutput
}

type turnResponse struct {
	Result ledger.Result `json:"result"`
	Chain  []byte        `json:"chain,omitempty"`
}

type recordStreamRequest struct {
	Partition int `json:"partition"`
	ledger.RecordStream
}

type lookupStreamRequest struct {
	Partition int `json:"partition"`
	ledger.LookupStream
}

type streamResponse struct {
	Result ledger.Result `json:"result"`
}

// replicaMessage carries a message of a log group. Partition 0 is the log of
// the control hosts.
type replicaMessage struct {
	Partition int             `json:"partition,omitempty"`
	Message   replica.Message `json:"message"`
}

// Source is a routing table with the text that the operator supplied.
type Source struct {
	Table *route.Table
	Text  json.RawMessage
}
