package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/connlimit/crowd"
	"github.com/sycamoreline/sycamoreline/pause"
)

// crowdBound is above the memory of a process without connections and the account
// of the test's settings, and above the connections that fit into that.
var crowdBound = crowd.Bound{MemoryMB: 72, Descriptors: 300}

// Guards against callers that fill the memory of an entry or control host, or use
// up its descriptors, without a request that is accepted.
func TestCrowdsAreBounded(t *testing.T) {
	const connectionMemoryMB = 4
	certificate := writeCertificate(t)
	client, err := tlsConfig(certificate.CertificateFile)
	assert.NilError(t, err)
	for _, r := range []struct {
		role string
		tls  *tls.Config
	}{{"entry", nil}, {"entry", client}, {"control", nil}} {
		role := r.role
		for _, c := range crowd.All() {
			t.Run(fmt.Sprint(role, " ", c.Name, " tls ", r.tls != nil), func(t *testing.T) {
				folder := t.TempDir()
				d, err := newLocalDeployment(folder)
				assert.NilError(t, err)
				d.Close()
				p := newProcesses(t, d, folder)
				entry, control := d.entries[0], d.controls[0]
				entry.ConnectionMemoryMB, control.ConnectionMemoryMB = connectionMemoryMB, connectionMemoryMB
				name, addresses, answering := control.ID, []string{control.Listen}, 0
				if r.tls != nil {
					entry.TLS = certificate
				}
				if role == "entry" {
					name, addresses, answering = entry.ID, []string{entry.Listen, entry.OperatorListen}, 2
					p.writeSettings(name, entry)
				} else {
					p.writeSettings(name, control)
				}
				p.start(role, name)
				for _, a := range addresses {
					for !accepts(t, a) {
						assert.Assert(t, pause.For(t.Context(), 20*time.Millisecond))
					}
				}
				crowd.Process{PID: p.running[name].Process.Pid, TLS: r.tls}.Meet(t, c, addresses, addresses[:answering], crowdBound)
			})
		}
	}
}

// accepts reports whether a connection to an address can be opened.
func accepts(t *testing.T, address string) bool {
	nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		return false
	}
	nc.Close()
	return true
}
