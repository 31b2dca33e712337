package operator

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Folder contains the values of a settings directory by tree path. The file
// teams/tailor-paws/limits.json holds the value of /teams/tailor-paws/limits.
type Folder map[string]json.RawMessage

// ReadFolder reads and checks all files of a settings directory. Files and
// directories whose names begin with a dot are skipped.
func ReadFolder(root string) (Folder, error) {
	f := Folder{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := path != root && strings.HasPrefix(entry.Name(), ".")
		switch {
		case hidden && entry.IsDir():
			return filepath.SkipDir
		case hidden || entry.IsDir():
			return nil
		}
		return f.add(root, path)
	})
	return f, err
}

func (f Folder) add(root, path string) error {
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return err
	}
	stem, ok := strings.CutSuffix(filepath.ToSlash(relative), ".json")
	if !ok {
		return &strictjson.Error{Position: strictjson.Position{Source: path}, Allowed: "want only files with the ending .json"}
	}
	value, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := CheckValue(path, "/"+stem, value); err != nil {
		return err
	}
	f["/"+stem] = canonical(value)
	return nil
}

// canonical returns the value without insignificant whitespace and with sorted
// keys, as the tree stores it, so that values that differ only in layout are
// equal.
func canonical(value json.RawMessage) json.RawMessage {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	var v any
	if decoder.Decode(&v) != nil {
		return value
	}
	data, err := json.Marshal(v)
	if err != nil {
		return value
	}
	return data
}
