package main

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// connection holds the flags for requests to entry hosts.
type connection struct {
	entries        string
	credentialFile string
	caFile         string
}

func (c *connection) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entry", "", "base URLs of the entry hosts, separated by commas")
	f.StringVar(&c.credentialFile, "credential", "", "file with the credential on its first line")
	f.StringVar(&c.caFile, "ca", "", "file with the certificates to trust, in PEM (default: those of the system)")
}

func (c *connection) complete() bool { return c.entries != "" && c.credentialFile != "" }

func (c *connection) urls() []string { return strings.Split(c.entries, ",") }

// newHTTPClient reads the credential and creates an HTTP client.
func (c *connection) newHTTPClient() (token string, client *http.Client, err error) {
	data, err := os.ReadFile(c.credentialFile)
	if err != nil {
		return "", nil, err
	}
	token, _, _ = strings.Cut(string(data), "\n")
	if token = strings.TrimSpace(token); token == "" {
		return "", nil, fmt.Errorf("%s: want a credential on the first line", c.credentialFile)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if c.caFile != "" {
		if transport.TLSClientConfig, err = tlsConfig(c.caFile); err != nil {
			return "", nil, err
		}
	}
	return token, &http.Client{Transport: transport}, nil
}

func tlsConfig(path string) (*tls.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s: want certificates in PEM", path)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
