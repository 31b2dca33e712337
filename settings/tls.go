package settings

import (
	"crypto/tls"
	"net"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Wrap returns the listener with TLS if a certificate is set, else as it is.
func (t TLS) Wrap(l net.Listener) (net.Listener, error) {
	if !t.Enabled() {
		return l, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, strictjson.Invalid("tls-certificate-file", t.CertificateFile, "want a certificate in PEM that fits tls-key-file: "+pathless(err).Error())
	}
	return tls.NewListener(l, &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}), nil
}
