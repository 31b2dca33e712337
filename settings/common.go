package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// ControlHost contains the id of a control host and the address that other
// hosts connect to.
type ControlHost struct {
	ID      string `json:"id"`
	Address string `json:"address"` // IP address and port
}

// TLS names the certificate and key files of a listening port. Either both are
// set or neither.
type TLS struct {
	CertificateFile string `json:"tls-certificate-file"`
	KeyFile         string `json:"tls-key-file"`
}

// Enabled reports whether the port uses TLS.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

func (t TLS) checkFiles() error {
	if (t.CertificateFile == "") == (t.KeyFile == "") {
		return nil
	}
	if t.KeyFile == "" {
		return strictjson.Invalid("tls-certificate-file", t.CertificateFile, "needs tls-key-file as well")
	}
	return strictjson.Invalid("tls-key-file", t.KeyFile, "needs tls-certificate-file as well")
}

var (
	idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	logLevels = []string{"debug", "info", "warn", "error"}
)

func checkID(field, value string) error {
	if !idPattern.MatchString(value) {
		return strictjson.Invalid(field, value, "want 1 to 63 lower-case letters, digits and hyphens, with a letter or digit first")
	}
	return nil
}

func checkAddress(field, value string) error {
	if a, err := netip.ParseAddrPort(value); err != nil || !a.IsValid() {
		return strictjson.Invalid(field, value, `want an IP address and port such as "127.0.0.1:7101"`)
	}
	return nil
}

func checkFile(field, value string) error {
	if value == "" {
		return strictjson.Invalid(field, value, "want the path of a file")
	}
	return nil
}

func checkLogLevel(level string) error {
	if level != "" && !slices.Contains(logLevels, level) {
		return strictjson.Invalid("log-level", level, "want one of "+strings.Join(logLevels, ", "))
	}
	return nil
}

func checkRange[N int | int64](field string, value, minimum, maximum N) error {
	if value < minimum || value > maximum {
		return strictjson.Invalid(field, value, fmt.Sprintf("want %d to %d", minimum, maximum))
	}
	return nil
}

// checkControlHosts rejects invalid and duplicate ids and addresses. It also
// rejects an even number of hosts, because that tolerates no more failures than
// one host fewer.
func checkControlHosts(hosts []ControlHost) error {
	if len(hosts)%2 == 0 {
		return strictjson.Invalid("control-hosts", len(hosts), "want an odd number of control hosts")
	}
	ids, addresses := map[string]bool{}, map[string]bool{}
	for i, h := range hosts {
		field := fmt.Sprintf("control-hosts[%d]", i)
		if err := firstError(checkID(field+".id", h.ID), checkAddress(field+".address", h.Address)); err != nil {
			return err
		}
		if ids[h.ID] {
			return strictjson.Invalid(field+".id", h.ID, "the id appears twice; ids are unique")
		}
		if addresses[h.Address] {
			return strictjson.Invalid(field+".address", h.Address, "the address appears twice; addresses are unique")
		}
		ids[h.ID], addresses[h.Address] = true, true
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
