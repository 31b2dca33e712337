package settings

import (
	"os"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Control contains the settings of a control host.
type Control struct {
	ID                string        `json:"id"`
	DataCentre        string        `json:"data-centre"`
	Listen            string        `json:"listen"`
	ControlHosts      []ControlHost `json:"control-hosts"` // this host included
	GroupCount        int           `json:"group-count"`   // log groups of programs, excluding group 0
	DataFolder        string        `json:"data-folder"`
	ExpectData        bool          `json:"expect-data"` // refuse to start with an empty data folder
	DeploymentKeyFile string        `json:"deployment-key-file"`
	ControlCAFile     string        `json:"control-ca-file"` // issuers of the control hosts' certificates
	LeaseTTL          Duration      `json:"lease-ttl"`
	LogLevel          string        `json:"log-level"`
	// ConnectionMemoryMB limits the memory of connections that are not
	// authenticated.
	ConnectionMemoryMB int `json:"connection-memory-mb"`
	TLS
}

func (c Control) withDefaults() Control {
	c.LeaseTTL = Duration(c.LeaseTTL.Or(DefaultLeaseTTL))
	c.GroupCount = orDefault(c.GroupCount, DefaultGroupCount)
	c.ConnectionMemoryMB = orDefault(c.ConnectionMemoryMB, DefaultControlConnectionMB)
	c.LogLevel = orDefault(c.LogLevel, DefaultLogLevel)
	return c
}

// Check fills in defaults and validates the settings.
func (c *Control) Check() error {
	*c = c.withDefaults()
	return firstError(
		checkRange("connection-memory-mb", c.ConnectionMemoryMB, 1, 1<<20),
		checkID("id", c.ID),
		checkID("data-centre", c.DataCentre),
		checkAddress("listen", c.Listen),
		checkControlHosts(c.ControlHosts),
		c.checkListed(),
		checkRange("group-count", c.GroupCount, 1, 1024),
		checkFile("data-folder", c.DataFolder),
		checkFile("deployment-key-file", c.DeploymentKeyFile),
		checkLeaseTTL(c.LeaseTTL),
		checkLogLevel(c.LogLevel),
		c.checkFiles(),
		c.checkControlTLS(),
	)
}

// checkControlTLS rejects a host that accepts TLS but connects to other control
// hosts in clear text, or the reverse.
func (c *Control) checkControlTLS() error {
	if c.Enabled() == (c.ControlCAFile != "") {
		return nil
	}
	if c.Enabled() {
		return strictjson.Invalid("control-ca-file", c.ControlCAFile, "want a file, since tls-certificate-file is set")
	}
	return strictjson.Invalid("control-ca-file", c.ControlCAFile, "needs tls-certificate-file as well")
}

func (c *Control) checkListed() error {
	for _, h := range c.ControlHosts {
		if h.ID == c.ID {
			return nil
		}
	}
	return strictjson.Invalid("id", c.ID, `want the id of one of "control-hosts"`)
}

// CheckDataFolder rejects an empty data folder if data is expected: a host that
// starts with the wrong disk would otherwise lose its replicas silently.
func (c *Control) CheckDataFolder() error {
	if !c.ExpectData {
		return nil
	}
	entries, err := os.ReadDir(c.DataFolder)
	if err != nil {
		return strictjson.Invalid("data-folder", c.DataFolder, `want a folder with data, since "expect-data" is true: `+withoutPath(err).Error())
	}
	if len(entries) == 0 {
		return strictjson.Invalid("data-folder", c.DataFolder, `want a folder with data, since "expect-data" is true: the folder is empty`)
	}
	return nil
}
