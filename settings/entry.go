package settings

import (
	"time"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Defaults of optional settings.
const (
	DefaultLeaseTTL           = 1500 * time.Millisecond
	DefaultMaxTokens          = 512
	DefaultMaxBodyBytes int64 = 8 << 20
	DefaultDrainDelay         = 2 * time.Second
	DefaultGroupCount         = 4
	DefaultLogLevel           = "info"
	// DefaultEntryConnectionMB and DefaultControlConnectionMB have room for 16,384
	// and 4,096 connections, a third of that with TLS.
	DefaultEntryConnectionMB   = 256
	DefaultControlConnectionMB = 64
)

// Entry contains the settings of an entry host.
type Entry struct {
	ID                string        `json:"id"`
	DataCentre        string        `json:"data-centre"`
	Listen            string        `json:"listen"`          // for callers and backend servers
	OperatorListen    string        `json:"operator-listen"` // for operators, health checks and metrics
	ControlHosts      []ControlHost `json:"control-hosts"`
	GroupCount        int           `json:"group-count"` // log groups of programs, excluding group 0
	DeploymentKeyFile string        `json:"deployment-key-file"`
	CredentialsFile   string        `json:"credentials-file"`
	ControlCAFile     string        `json:"control-ca-file"` // issuers of the control hosts' certificates
	LeaseTTL          Duration      `json:"lease-ttl"`
	DrainDelay        Duration      `json:"drain-delay"` // time for the load balancer to detect draining
	LogLevel          string        `json:"log-level"`
	DefaultMaxTokens  int           `json:"default-max-tokens"`
	MaxBodyBytes      int64         `json:"max-body-bytes"`
	// ConnectionMemoryMB limits the memory of connections without an accepted
	// request.
	ConnectionMemoryMB int `json:"connection-memory-mb"`
	TLS
}

// withDefaults returns a copy with defaults for the missing settings.
func (e Entry) withDefaults() Entry {
	e.LeaseTTL = Duration(e.LeaseTTL.Or(DefaultLeaseTTL))
	e.DrainDelay = Duration(e.DrainDelay.Or(DefaultDrainDelay))
	e.GroupCount = orDefault(e.GroupCount, DefaultGroupCount)
	e.DefaultMaxTokens = orDefault(e.DefaultMaxTokens, DefaultMaxTokens)
	e.MaxBodyBytes = orDefault(e.MaxBodyBytes, DefaultMaxBodyBytes)
	e.ConnectionMemoryMB = orDefault(e.ConnectionMemoryMB, DefaultEntryConnectionMB)
	e.LogLevel = orDefault(e.LogLevel, DefaultLogLevel)
	return e
}

// Check fills in defaults and validates the settings.
func (e *Entry) Check() error {
	*e = e.withDefaults()
	return firstError(
		checkID("id", e.ID),
		checkID("data-centre", e.DataCentre),
		checkAddress("listen", e.Listen),
		checkAddress("operator-listen", e.OperatorListen),
		e.checkListenAddresses(),
		checkControlHosts(e.ControlHosts),
		checkRange("group-count", e.GroupCount, 1, 1024),
		checkFile("deployment-key-file", e.DeploymentKeyFile),
		checkFile("credentials-file", e.CredentialsFile),
		checkLeaseTTL(e.LeaseTTL),
		checkLogLevel(e.LogLevel),
		checkRange("default-max-tokens", e.DefaultMaxTokens, 1, 1<<20),
		checkRange("connection-memory-mb", e.ConnectionMemoryMB, 1, 1<<20),
		checkRange("max-body-bytes", e.MaxBodyBytes, 1<<10, 1<<30),
		e.checkFiles(),
	)
}

func (e *Entry) checkListenAddresses() error {
	if e.Listen == e.OperatorListen {
		return strictjson.Invalid("operator-listen", e.OperatorListen, `want an address other than that of "listen"`)
	}
	return nil
}

func checkLeaseTTL(ttl Duration) error {
	if ttl.D() < 100*time.Millisecond || ttl.D() > time.Minute {
		return strictjson.Invalid("lease-ttl", ttl.String(), "want 100ms to 1m")
	}
	return nil
}

func orDefault[T comparable](value, def T) T {
	var zero T
	if value == zero {
		return def
	}
	return value
}
