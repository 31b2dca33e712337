// Package membership is the deterministic state machine of entry hosts and
// backend servers: leases, fencing numbers and the confirmation that a
// configuration revision is in force.
package membership

// ServerKind tells model engines from plain services.
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

// Announcement is what a backend server says of itself.
type Announcement struct {
	Server      string      `json:"server"`
	Incarnation string      `json:"incarnation"`
	Address     string      `json:"address"` // host:port
	DataCentre  string      `json:"data-centre"`
	Kind        ServerKind  `json:"kind"`
	Models      []Model     `json:"models,omitempty"`
	ServiceName string      `json:"service,omitempty"`
	Operations  []Operation `json:"operations,omitempty"`
	Slots       int         `json:"slots"`        // calls run at once
	CacheTokens int64       `json:"cache-tokens"` // prefix cache size
	Fencing     bool        `json:"fencing"`      // checks fencing numbers on orders
	Leaving     bool        `json:"leaving,omitempty"`
}

// Server is a backend server as members know it.
type Server struct {
	Announcement
	Revision int64 `json:"revision"` // member revision of the last change
	Gone     bool  `json:"gone,omitempty"`
}

// Host is an entry host.
type Host struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Gone        bool   `json:"gone,omitempty"`
	Revision    int64  `json:"revision"`
	// AppliedRevision is the configuration revision the host reported last.
	// Only Leases.Hosts fills it in, since reports are not replicated.
	AppliedRevision int64 `json:"applied-revision"`
}

// Difference is what changed among members after a revision.
type Difference struct {
	Revision int64    `json:"revision"`
	Full     bool     `json:"full,omitempty"`
	Servers  []Server `json:"servers,omitempty"`
	// Hosts is the number of entry hosts with a live lease.
	Hosts int `json:"hosts"`
	// Suspects are the fingerprints whose crash count changed.
	Suspects []Suspect `json:"suspects,omitempty"`
}
