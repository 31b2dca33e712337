package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

const entryText = `{
  "id": "entry-1", "data-centre": "dc-1",
  "listen": "127.0.0.1:7201", "operator-listen": "127.0.0.1:7211",
  "control-hosts": [
    {"id": "control-1", "address": "127.0.0.1:7101"},
    {"id": "control-2", "address": "127.0.0.1:7102"},
    {"id": "control-3", "address": "127.0.0.1:7103"}
  ],
  "deployment-key-file": "key", "credentials-file": "credentials.json"
}`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry-1.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against defaults that are invalid or not filled in.
func TestReadFillsInDefaults(t *testing.T) {
	e, err := Read[Entry](write(t, entryText))
	assert.NilError(t, err)
	assert.Equal(t, e.LeaseTTL.D(), 1500*time.Millisecond)
	assert.Equal(t, e.GroupCount, DefaultGroupCount)
	assert.Equal(t, e.LogLevel, "info")
	assert.Equal(t, e.MaxBodyBytes, DefaultMaxBodyBytes)
	assert.Equal(t, len(e.ControlHosts), 3)
	assert.Assert(t, !e.Enabled())
}

// Guards against invalid settings that are detected only after the host has
// started.
func TestReadRejects(t *testing.T) {
	tests := []struct {
		old, replacement, want string
	}{
		{`"id": "entry-1"`, `"id": "Entry 1"`, `:2:9: field "id": value "Entry 1": want 1 to 63 lower-case`},
		{`"data-centre": "dc-1",`, ``, `field "data-centre": value "": want`},
		{`"127.0.0.1:7201"`, `"localhost:7201"`, `field "listen": value "localhost:7201": want an IP address and port`},
		{`"127.0.0.1:7201"`, `"127.0.0.1"`, `field "listen"`},
		{`"127.0.0.1:7201"`, `"127.0.0.1:7211"`, `field "operator-listen": value "127.0.0.1:7211": want an address other than`},
		{`"id": "control-2"`, `"id": "control-1"`, `:6:12: field "control-hosts[1].id": value "control-1": the id appears twice`},
		{`127.0.0.1:7102`, `127.0.0.1:7101`, `field "control-hosts[1].address": value "127.0.0.1:7101": the address appears twice`},
		{`{"id": "control-2", "address": "127.0.0.1:7102"},`, ``, `field "control-hosts": value 2: want an odd number`},
		{`"key"`, `"key", "lease-ttl": "10ms"`, `field "lease-ttl": value "10ms": want 100ms to 1m`},
		{`"key"`, `"key", "lease-ttl": "-1s"`, `field "lease-ttl": value "-1s": want a duration of 0 or more`},
		{`"key"`, `"key", "lease-ttl": 1500`, `field "lease-ttl": value 1500: want a string`},
		{`"key"`, `"key", "log-level": "loud"`, `field "log-level": value "loud": want one of debug, info, warn, error`},
		{`"key"`, `"key", "group-count": -1`, `field "group-count": value -1: want 1 to 1024`},
		{`"key"`, `"key", "max-body-bytes": 3`, `field "max-body-bytes": value 3`},
		{`"key"`, `"key", "tls-key-file": "k"`, `field "tls-key-file": value "k": needs tls-certificate-file`},
		{`"key"`, `"key", "lease-tll": "2s"`, `field "lease-tll": unknown key; did you mean "lease-ttl"?`},
		{`"key"`, `""`, `field "deployment-key-file": value "": want the path of a file`},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			path := write(t, strings.Replace(entryText, tt.old, tt.replacement, 1))
			_, err := Read[Entry](path)
			assert.Assert(t, err != nil)
			assert.Assert(t, strings.HasPrefix(err.Error(), path+":"), err.Error())
			assert.Assert(t, strings.Contains(err.Error(), tt.want), err.Error())
		})
	}
}

// Guards against a control host that is missing from its own list and would
// wait for a group that it is not a member of.
func TestControlHostMustBeInItsList(t *testing.T) {
	text := `{"id":"control-9","data-centre":"dc-1","listen":"127.0.0.1:7101","data-folder":"d",
		"control-hosts":[{"id":"control-1","address":"127.0.0.1:7101"}],"deployment-key-file":"k"}`
	_, err := Read[Control](write(t, text))
	assert.ErrorContains(t, err, `field "id": value "control-9": want the id of one of "control-hosts"`)
}

// Guards against example settings that are no longer valid.
func TestLocalExamples(t *testing.T) {
	for pattern, read := range map[string]func(string) error{
		"entry-*.json":   func(p string) error { _, err := Read[Entry](p); return err },
		"control-*.json": func(p string) error { _, err := Read[Control](p); return err },
	} {
		paths, err := filepath.Glob(filepath.Join("..", "examples", "local", pattern))
		assert.NilError(t, err)
		assert.Assert(t, len(paths) > 0)
		for _, path := range paths {
			assert.NilError(t, read(path))
		}
	}
}

func ExampleRead() {
	_, err := Read[Entry]("no-such-file.json")
	fmt.Println(err)
	// Output: no-such-file.json: cannot read the file: no such file or directory
}

// Guards against valid settings that change when encoded and decoded again,
// and against errors of more than one line.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(entryText))
	f.Add([]byte(`{"id":"a","lease-ttl":"9223372036854775807ns"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := strictjson.Decode[Entry]("f", data)
		if err != nil {
			assert.Assert(t, !strings.ContainsAny(err.Error(), "\r\n"))
			return
		}
		encoded, err := json.Marshal(e)
		assert.NilError(t, err)
		decoded, err := strictjson.Decode[Entry]("f", encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, e, decoded)
	})
}

// Guards against a control host that starts with an empty disk and loses its
// recorded votes.
func TestCheckDataFolder(t *testing.T) {
	full := filepath.Dir(write(t, "{}"))
	tests := []struct {
		folder string
		expect bool
		want   string
	}{
		{t.TempDir(), false, ""},
		{full, true, ""},
		{t.TempDir(), true, "the folder is empty"},
		{filepath.Join(full, "none"), true, "no such file"},
	}
	for _, tt := range tests {
		err := (&Control{DataFolder: tt.folder, ExpectData: tt.expect}).CheckDataFolder()
		if tt.want == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, tt.want)
		}
	}
}

// Guards against a listener that falls back to clear text if its certificate
// cannot be loaded.
func TestWrapRejectsBadCertificate(t *testing.T) {
	file := write(t, "no certificate")
	_, err := TLS{CertificateFile: file, KeyFile: file}.Wrap(nil)
	assert.ErrorContains(t, err, `field "tls-certificate-file"`)
}

// Guards against control hosts that use TLS in only one direction.
func TestControlTLSNeedsAllFiles(t *testing.T) {
	const text = `{"id":"control-1","data-centre":"dc-1","listen":"127.0.0.1:7101","data-folder":"d",
		"control-hosts":[{"id":"control-1","address":"127.0.0.1:7101"}],"deployment-key-file":"k"%s}`
	tests := []struct{ more, want string }{
		{``, ""},
		{`,"tls-certificate-file":"c","tls-key-file":"k","control-ca-file":"a"`, ""},
		{`,"tls-certificate-file":"c","tls-key-file":"k"`, `field "control-ca-file": value "": want a file`},
		{`,"control-ca-file":"a"`, `field "control-ca-file": value "a": needs tls-certificate-file`},
	}
	for _, tt := range tests {
		_, err := Read[Control](write(t, fmt.Sprintf(text, tt.more)))
		if tt.want == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, tt.want)
		}
	}
}
