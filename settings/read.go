// Package settings reads settings files, defines those of entry and control
// hosts, and loads their TLS files. A file with an unknown key or an invalid
// value is rejected with a one-line error that names file, line, column, field,
// value and what is allowed. Files are not reloaded. Start with Read.
package settings

import (
	"errors"
	"io/fs"
	"os"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Checker is a pointer to a settings struct whose Check method fills in
// defaults and validates the settings.
type Checker[T any] interface {
	*T
	Check() error
}

// Read reads and validates a settings file. Every error is a *strictjson.Error.
func Read[T any, P Checker[T]](path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, &strictjson.Error{
			Position: strictjson.Position{Source: path},
			Allowed:  "cannot read the file: " + withoutPath(err).Error(),
		}
	}
	return strictjson.Decode[T](path, data)
}

// withoutPath removes the path from a file error, since the message already
// contains it.
func withoutPath(err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}
