package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Wrap returns a TLS listener on l if a certificate is set, otherwise l.
func (t TLS) Wrap(l net.Listener) (net.Listener, error) {
	config, err := t.Config()
	if err != nil || config == nil {
		return l, err
	}
	return tls.NewListener(l, config), nil
}

// Config returns the TLS configuration of a listening port, or nil if no
// certificate is set.
func (t TLS) Config() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, strictjson.Invalid("tls-certificate-file", t.CertificateFile, "want a certificate in PEM that matches tls-key-file: "+withoutPath(err).Error())
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}, nil
}

// ControlTLS returns the TLS configuration of connections to control hosts, or
// nil if caFile is empty.
func ControlTLS(caFile string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, strictjson.Invalid("control-ca-file", caFile, "want certificates in PEM: "+withoutPath(err).Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, strictjson.Invalid("control-ca-file", caFile, "want certificates in PEM")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// Control hosts are identified by address and prove possession of the
		// deployment key, so only the issuer of their certificates is verified.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyIssuer(pool, s) },
	}, nil
}

func verifyIssuer(pool *x509.CertPool, s tls.ConnectionState) error {
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
	return err
}
