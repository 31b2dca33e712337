// Package history extracts the log lines about one request, program or session
// from the JSON logs of many hosts and merges them by time. It reads logs that
// were already collected and fetches none. Start reading at Find.
package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line in bytes. Find returns an
// error for a longer line.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	At      time.Time
	Host    string
	Message string
	Fields  map[string]any // all fields but host, msg, ts and level
}

// Find returns the lines whose request, program or session field is id, sorted by
// time. It ignores any text before the JSON object of a line, and lines without
// one.
func Find(id string, logs ...io.Reader) ([]Line, error) {
	var matches []Line
	for _, r := range logs {
		lines := bufio.NewScanner(r)
		lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for lines.Scan() {
			if l, ok := parseMatch(id, lines.Bytes()); ok {
				matches = append(matches, l)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	slices.SortStableFunc(matches, func(a, b Line) int { return a.At.Compare(b.At) })
	return matches, nil
}

// parseMatch parses a log line. It returns false unless the request, program or
// session field of the line is id.
func parseMatch(id string, text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(id)) {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	if fields["request"] != id && fields["program"] != id && fields["session"] != id {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Host, _ = fields["host"].(string)
	l.Message, _ = fields["msg"].(string)
	if at, ok := fields["ts"].(string); ok {
		// zap's ISO 8601 time format
		l.At, _ = time.Parse("2006-01-02T15:04:05.000Z0700", at)
	}
	for _, name := range []string{"host", "msg", "ts", "level"} {
		delete(fields, name)
	}
	return l, true
}

// ErrNotFound means that there are no lines to write.
var ErrNotFound = errors.New("no log line has this id as its request, program or session")

// Write writes the lines as a table in which times are relative to the first line.
func Write(w io.Writer, lines []Line) error {
	if len(lines) == 0 {
		return ErrNotFound
	}
	for _, l := range lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
		if _, err := fmt.Fprintf(w, "%10s  %-20s  %-18s  %s\n", l.At.Sub(lines[0].At), l.Host, l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
