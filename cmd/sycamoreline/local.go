package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/service"
	"github.com/sycamoreline/sycamoreline/settings"
	"github.com/sycamoreline/sycamoreline/standin"
)

const (
	loopbackAnyPort   = "127.0.0.1:0"
	localControlHosts = 3
	localEntryHosts   = 2
	localEngines      = 3
	localGroups       = 4
)

// localDeployment is a deployment in one process, on free loopback ports, with
// its data in one folder.
type localDeployment struct {
	folder      string
	listeners   map[string]net.Listener // by address
	controls    []settings.Control
	entries     []settings.Entry
	engines     []*engine.StandIn
	services    map[string]*service.StandIn // by service name
	standIns    []localStandIn
	credentials map[string]string // by team; "" for the operator
}

type localStandIn struct {
	role     string
	settings standin.Settings
	server   standIn
}

// newLocalDeployment opens the ports and writes the files that the roles read.
// Close frees the ports of roles that have not started.
func newLocalDeployment(folder string) (*localDeployment, error) {
	d := &localDeployment{
		folder:      folder,
		listeners:   make(map[string]net.Listener),
		services:    make(map[string]*service.StandIn),
		credentials: make(map[string]string),
	}
	if err := d.prepareRoles(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *localDeployment) prepareRoles() error {
	key := filepath.Join(d.folder, "deployment.key")
	if err := os.WriteFile(key, []byte(rand.Text()+"\n"), 0o600); err != nil {
		return err
	}
	credentials, err := d.writeCredentials("tailor-paws", "trois-sillons")
	if err != nil {
		return err
	}
	hosts, err := d.controlHosts()
	if err != nil {
		return err
	}
	for i, h := range hosts {
		d.controls = append(d.controls, settings.Control{
			ID: h.ID, DataCentre: dataCentre(i), Listen: h.Address, ControlHosts: hosts, GroupCount: localGroups,
			DataFolder: filepath.Join(d.folder, h.ID), DeploymentKeyFile: key,
			LeaseTTL: settings.Duration(settings.DefaultLeaseTTL), LogLevel: settings.DefaultLogLevel,
			ConnectionMemoryMB: settings.DefaultControlConnectionMB,
		})
	}
	for i := range localEntryHosts {
		if err := d.addEntry(i, hosts, key, credentials); err != nil {
			return err
		}
	}
	return d.addStandIns()
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%3+1) }

func (d *localDeployment) openPort() (string, error) {
	l, err := listenTCP(loopbackAnyPort)
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	d.listeners[address] = l
	return address, nil
}

// listen returns the listener that was opened for an address, or opens one.
func (d *localDeployment) listen(address string) (net.Listener, error) {
	l, ok := d.listeners[address]
	if !ok {
		return listenTCP(address)
	}
	delete(d.listeners, address)
	return l, nil
}

// Close closes the listeners that no role has taken.
func (d *localDeployment) Close() {
	for _, l := range d.listeners {
		l.Close()
	}
}

// writeCredentials writes a file with one caller credential for each team and
// one for operators.
func (d *localDeployment) writeCredentials(teams ...string) (string, error) {
	type entry struct {
		Team   string           `json:"team,omitempty"`
		Name   string           `json:"name"`
		Scope  credential.Scope `json:"scope"`
		SHA256 string           `json:"sha256"`
	}
	var entries []entry
	for _, team := range append(teams, "") {
		token := rand.Text()
		d.credentials[team] = token
		sum := sha256.Sum256([]byte(token))
		e := entry{Team: team, Name: "local", Scope: credential.Caller, SHA256: hex.EncodeToString(sum[:])}
		if team == "" {
			e.Scope = credential.Operator
		}
		entries = append(entries, e)
	}
	data, err := json.Marshal(struct {
		Credentials []entry `json:"credentials"`
	}{entries})
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.folder, "credentials.json")
	return path, os.WriteFile(path, data, 0o600)
}

func (d *localDeployment) controlHosts() ([]settings.ControlHost, error) {
	var hosts []settings.ControlHost
	for i := range localControlHosts {
		address, err := d.openPort()
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, settings.ControlHost{ID: fmt.Sprintf("control-%d", i+1), Address: address})
	}
	return hosts, nil
}

func (d *localDeployment) addEntry(i int, hosts []settings.ControlHost, key, credentials string) error {
	callers, err := d.openPort()
	if err != nil {
		return err
	}
	operators, err := d.openPort()
	if err != nil {
		return err
	}
	d.entries = append(d.entries, settings.Entry{
		ID: fmt.Sprintf("entry-%d", i+1), DataCentre: dataCentre(i), Listen: callers, OperatorListen: operators,
		ControlHosts: hosts, GroupCount: localGroups, DeploymentKeyFile: key, CredentialsFile: credentials,
		LeaseTTL: settings.Duration(settings.DefaultLeaseTTL), LogLevel: settings.DefaultLogLevel,
		ConnectionMemoryMB: settings.DefaultEntryConnectionMB,
		DefaultMaxTokens:   settings.DefaultMaxTokens, MaxBodyBytes: settings.DefaultMaxBodyBytes,
	})
	return nil
}

func (d *localDeployment) addStandIns() error {
	for i := range localEngines {
		common, err := d.standInSettings(fmt.Sprintf("engine-%d", i+1), i)
		if err != nil {
			return err
		}
		e, err := engine.NewStandIn(engine.StandInSettings{
			Settings: common,
			Models:   []membership.Model{{Name: "pattern-7b", Version: "v1"}, {Name: "finder-3b", Version: "v1"}},
			Slots:    8, PrefillMicroseconds: 50, DecodeMicroseconds: 2000, CacheTokens: 1 << 16, Fencing: true,
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
		d.standIns = append(d.standIns, localStandIn{"stand-in-engine", common, e})
	}
	for i, name := range []string{"orders", "finder"} {
		common, err := d.standInSettings(name+"-1", i)
		if err != nil {
			return err
		}
		s, err := service.NewStandIn(service.StandInSettings{
			Settings: common, Service: name, Slots: 16, OperationMicroseconds: 5000,
		})
		if err != nil {
			return err
		}
		d.services[name] = s
		d.standIns = append(d.standIns, localStandIn{"stand-in-service", common, s})
	}
	return nil
}

func (d *localDeployment) standInSettings(name string, i int) (standin.Settings, error) {
	address, err := d.openPort()
	if err != nil {
		return standin.Settings{}, err
	}
	s := standin.Settings{
		Server: name, DataCentre: dataCentre(i), Listen: address,
		RenewalMilliseconds: (settings.DefaultLeaseTTL / 3 / time.Millisecond).Nanoseconds(),
	}
	for _, e := range d.entries {
		s.EntryHosts = append(s.EntryHosts, e.Listen)
	}
	return s, nil
}

// modules returns the modules of all roles, control hosts first.
func (d *localDeployment) modules(newLog func(role, id string) (*zap.Logger, error)) fx.Option {
	var modules []fx.Option
	for _, s := range d.controls {
		modules = append(modules, controlModule(s, d.listen, newLog))
	}
	for _, s := range d.entries {
		modules = append(modules, entryModule(s, d.listen, newLog))
	}
	for _, s := range d.standIns {
		modules = append(modules, standInModule(s.role, s.settings, s.server, d.listen, newLog))
	}
	return fx.Options(modules...)
}

// entryURLs returns the base URLs for callers.
func (d *localDeployment) entryURLs() []string {
	var urls []string
	for _, e := range d.entries {
		urls = append(urls, "http://"+e.Listen)
	}
	return urls
}
