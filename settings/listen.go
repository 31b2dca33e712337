package settings

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Listen opens the listening port that a field of the settings names, with
// TLS if a certificate is set. Its error names the field and the value.
func (t TLS) Listen(ctx context.Context, field, address string) (net.Listener, error) {
	config, err := t.Config()
	if err != nil {
		return nil, err
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, strictjson.Invalid(field, address, "want an address of this machine with a free port: "+reason(err).Error())
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return l, nil
}

// Config reads the certificate. It returns nil if none is set.
func (t TLS) Config() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, strictjson.Invalid("tls-certificate-file", t.CertificateFile, "want a certificate in PEM that fits tls-key-file: "+pathless(err).Error())
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}, nil
}

// reason drops what the message about an address already says.
func reason(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Err
	}
	return err
}
