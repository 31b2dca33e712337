package cluster

import (
	"encoding/json"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/replica"
	"github.com/sycamoreline/sycamoreline/route"
)

// Methods between hosts.
const (
	methodReplica = "replica-message" // between control hosts, one way
	methodGossip  = "gossip"          // between control hosts, one way
	methodSync    = "sync"            // entry host to control host
	methodTable   = "table"           // entry host to control host
	methodReserve = "reserve-turn"    // entry host to the leader of a partition
	methodSettle  = "settle-turn"     // entry host to the leader of a partition
	methodExtend  = "extend-turn"     // entry host to the leader of a partition
)

// gossip is what a control host tells the others: who it is, and the
// announcements that it has heard.
type gossip struct {
	From    string           `json:"from"`
	Known   []string         `json:"known,omitempty"` // control hosts
	Entries []registry.Entry `json:"entries,omitempty"`
}

// syncRequest asks a control host for what has changed.
type syncRequest struct {
	Host string `json:"host"`
	// LedgerHost is set by a host of the ledger.
	LedgerHost *LedgerHostReport `json:"keeper,omitempty"`
	// PlanVersion is that of the plan of the ledger which the host knows.
	PlanVersion int64 `json:"plan-version,omitempty"`
	// Incarnation and Revision are the control host's incarnation and the revision of
	// its registry that the entry host holds.
	Incarnation     uint64 `json:"life,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	// InFlight are the entry host's own requests under way, by backend server.
	InFlight map[string]int `json:"runs,omitempty"`
	// Suspects are requests that were under way on a server when it crashed.
	Suspects []Suspect `json:"suspects,omitempty"`
	// WantInFlight asks for the requests of all entry hosts.
	WantInFlight bool `json:"want-runs,omitempty"`
}

// Suspect is a request that was under way on servers when they crashed.
type Suspect struct {
	Fingerprint uint64   `json:"fingerprint"`
	Servers     []string `json:"servers"` // instances that crashed
}

type syncResponse struct {
	ID           string            `json:"id"`
	DataCentre   string            `json:"data-centre"`
	Hosts        []string          `json:"hosts"` // control hosts
	Leader       string            `json:"leader,omitempty"`
	Term         uint64            `json:"term,omitempty"`
	TableVersion int64             `json:"table-version,omitempty"`
	Incarnation         uint64            `json:"life"`
	Revision     int64             `json:"revision"`
	Full         bool              `json:"full,omitempty"`
	Changes      []registry.Change `json:"changes,omitempty"`
	EntryHosts   int               `json:"entry-hosts"`
	Ledger       LedgerView        `json:"ledger"`
	// InFlight are the requests under way of all other entry hosts, by server.
	InFlight     map[string]int `json:"runs,omitempty"`
	Suspects []Suspect      `json:"suspects,omitempty"`
}

// LedgerHostReport is what a host of the ledger says of itself.
type LedgerHostReport struct {
	Name       string            `json:"name"` // as operators call the host
	DataCentre string            `json:"data-centre"`
	Partitions []PartitionReport `json:"partitions,omitempty"`
}

// PartitionReport is what a host says of its copy of a partition.
type PartitionReport struct {
	Partition int    `json:"partition"`
	Leader    string `json:"leader,omitempty"`
	Term      uint64 `json:"term,omitempty"`
	// Members are those of the log group, and empty while a change of them is
	// not committed: a host that is only about to leave may not be taken away.
	Members []string `json:"members,omitempty"`
}

// LedgerView is what control hosts know of the hosts of the ledger.
type LedgerView struct {
	Hosts []string `json:"hosts,omitempty"`
	// Plan is left out if the host that asks knows it.
	Plan    *Plan             `json:"plan,omitempty"`
	Leaders []PartitionReport `json:"leaders,omitempty"` // without members
}

type tableResponse struct {
	Table *route.Table `json:"table"`
}

type reserveRequest struct {
	Partition int `json:"partition"`
	ledger.ReserveTurn
	// WantChain asks for the conversation up to the previous turn.
	WantChain bool `json:"want-chain,omitempty"`
}

type settleRequest struct {
	Partition int `json:"partition"`
	ledger.SettleTurn
}

type extendRequest struct {
	Partition int `json:"partition"`
	ledger.ExtendTurn
}

type turnResponse struct {
	Result ledger.Result `json:"result"`
	Chain  []byte        `json:"chain,omitempty"`
}

// replicaMessage is a message of a log group: that of the control hosts, whose
// partition is 0, or that of a partition of the ledger.
type replicaMessage struct {
	Partition int             `json:"partition,omitempty"`
	Message   replica.Message `json:"message"`
}

// Source is a routing table with the text in which the operator gave it.
type Source struct {
	Table *route.Table
	Text  json.RawMessage
}
