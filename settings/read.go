// Package settings reads the settings files of the roles. Reading is strict:
// a file with anything unknown or wrong in it is rejected with one line that
// names file, line, column, field, value and what is allowed.
package settings

import (
	"errors"
	"io/fs"
	"os"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Checked is a pointer to a settings struct, which fills in its defaults and
// checks itself.
type Checked[T any] interface {
	*T
	Check() error
}

// Read reads and checks a settings file. Every error is a *strictjson.Error.
func Read[T any, P Checked[T]](path string) (T, error) {
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

// withoutPath drops the path of a file error, which the message already has.
func withoutPath(err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}
