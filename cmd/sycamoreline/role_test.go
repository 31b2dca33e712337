package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/settings"
	"github.com/sycamoreline/sycamoreline/strictjson"
)

// writeCertificate writes a certificate of 127.0.0.1 and its key.
func writeCertificate(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	out := settings.TLS{CertificateFile: filepath.Join(t.TempDir(), "c.pem"), KeyFile: filepath.Join(t.TempDir(), "k.pem")}
	assert.NilError(t, os.WriteFile(out.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	assert.NilError(t, os.WriteFile(out.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	return out
}

// Guards against a port that answers in clear text although a certificate is
// set, and against -ca being ignored.
func TestTLSPort(t *testing.T) {
	certificate := writeCertificate(t)
	l, err := listenFunc(listenTCP).open("listen", loopbackAnyPort, certificate)
	assert.NilError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }),
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	token := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(token, []byte("secret\n"), 0o600))
	tests := []struct {
		ca string
		ok bool
	}{{certificate.CertificateFile, true}, {"", false}}
	for _, tt := range tests {
		c := connection{credentialFile: token, caFile: tt.ca}
		_, client, err := c.newHTTPClient()
		assert.NilError(t, err)
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "https://"+l.Addr().String(), nil)
		assert.NilError(t, err)
		resp, err := client.Do(r)
		if !tt.ok {
			var unknown *tls.CertificateVerificationError
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			continue
		}
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, string(body), "hello")
		client.CloseIdleConnections()
	}
	assert.NilError(t, server.Close())
	assert.Assert(t, errors.Is(<-done, http.ErrServerClosed))
}

// Guards against a port in use being reported without its field and address.
func TestPortInUse(t *testing.T) {
	l, err := listenTCP(loopbackAnyPort)
	assert.NilError(t, err)
	defer l.Close()
	_, err = listenFunc(listenTCP).open("operator-listen", l.Addr().String(), settings.TLS{})
	var invalid *strictjson.Error
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, invalid.Field, "operator-listen")
	assert.ErrorContains(t, err, l.Addr().String())
	assert.ErrorContains(t, err, "address already in use")
}

// Guards against trust in a control host with a certificate of another issuer.
// The issuer matters because certificates are not checked for a name.
func TestControlTLS(t *testing.T) {
	trusted, untrusted := writeCertificate(t), writeCertificate(t)
	client, err := settings.ControlTLS(trusted.CertificateFile)
	assert.NilError(t, err)
	tests := []struct {
		server settings.TLS
		ok     bool
	}{{trusted, true}, {untrusted, false}}
	for _, tt := range tests {
		config, err := tt.server.Config()
		assert.NilError(t, err)
		clientConn, serverConn := net.Pipe()
		serverErr := make(chan error, 1)
		go func() { serverErr <- tls.Server(serverConn, config).HandshakeContext(context.Background()) }()
		err = tls.Client(clientConn, client).HandshakeContext(context.Background())
		clientConn.Close()
		assert.Equal(t, <-serverErr == nil, tt.ok)
		serverConn.Close()
		var unknown x509.UnknownAuthorityError
		assert.Equal(t, err == nil, tt.ok)
		assert.Equal(t, errors.As(err, &unknown), !tt.ok)
	}
}
