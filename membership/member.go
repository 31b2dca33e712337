// Package membership is the deterministic state machine of the membership group:
// entry hosts, backend servers, grants with fencing numbers, and fingerprints
// suspected of crashing servers. Leases is the leader's table of leases, which
// also determines whether a configuration revision is in force. The package does
// not replicate or send anything. Start reading at Command and StateMachine.
package membership

// ServerKind distinguishes model engines from plain services.
type ServerKind string

// The kinds of backend server.
const (
	Engine  ServerKind = "engine"
	Service ServerKind = "service"
)

// Model is a model that an engine has loaded.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Operation is one operation of a plain service.
type Operation struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
}

// Announcement is what a backend server advertises about itself.
type Announcement struct {
	Server      string      `json:"server"`
	Incarnation string      `json:"incarnation"`
	Address     string      `json:"address"` // host:port
	DataCentre  string      `json:"data-centre"`
	Kind        ServerKind  `json:"kind"`
	Models      []Model     `json:"models,omitempty"`
	ServiceName string      `json:"service,omitempty"`
	Operations  []Operation `json:"operations,omitempty"`
	Slots       int         `json:"slots"`             // maximum concurrent calls
	CacheTokens int64       `json:"cache-tokens"`      // size of the prefix cache
	Fencing     bool        `json:"fencing"`           // checks fencing numbers on orders
	Leaving     bool        `json:"leaving,omitempty"` // accepts no new work
}

// Server is the public state of a backend server.
type Server struct {
	Announcement
	Revision int64 `json:"revision"`       // member revision of the last change
	Gone     bool  `json:"gone,omitempty"` // no longer a member
}

// Host is the public state of an entry host.
type Host struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Gone        bool   `json:"gone,omitempty"` // no longer a member
	Revision    int64  `json:"revision"`       // member revision of the last change
	// AppliedRevision is the latest configuration revision that the host has
	// reported as applied. Only Leases.Hosts sets it, since reports are not
	// replicated.
	AppliedRevision int64 `json:"applied-revision"`
}

// Difference has the servers and suspects that changed after a member revision.
type Difference struct {
	Revision int64    `json:"revision"`
	Full     bool     `json:"full,omitempty"` // has all current servers and suspects
	Servers  []Server `json:"servers,omitempty"`
	// Hosts is the number of entry hosts that are members.
	Hosts int `json:"hosts"`
	// Suspects has the fingerprints whose crash counts changed.
	Suspects []Suspect `json:"suspects,omitempty"`
}
