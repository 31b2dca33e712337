// Package backend contains what the protocols of all backend servers share:
// call ids, announcements, and HTTP exchanges whose errors state whether the
// request may have run. Engines and tool services have packages of their own,
// which define their requests. Start reading at Do, which uses net/http, and at
// Pool, which has its own connections and never sends a request twice.
package backend

import (
	"fmt"
	"strconv"
	"strings"
)

// HeaderCall carries the CallID of a request to a backend server. Every
// response to a call repeats it.
const HeaderCall = "Sycamoreline-Call"

// CallID identifies one attempt of one call of a program.
type CallID struct {
	Program string
	Call    int
	Attempt int
}

// String returns the text form, program/call/attempt.
func (c CallID) String() string {
	b := make([]byte, 0, len(c.Program)+16)
	b = append(b, c.Program...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(c.Call), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(c.Attempt), 10)
	return string(b)
}

// ParseCallID parses the text form. The program id may contain slashes.
func ParseCallID(text string) (CallID, error) {
	rest, attempt, ok := cutNumber(text)
	if !ok {
		return CallID{}, fmt.Errorf("call id %q: want program/call/attempt", text)
	}
	program, call, ok := cutNumber(rest)
	if !ok || program == "" {
		return CallID{}, fmt.Errorf("call id %q: want program/call/attempt", text)
	}
	return CallID{Program: program, Call: call, Attempt: attempt}, nil
}

func cutNumber(text string) (before string, number int, ok bool) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.ParseUint(text[i+1:], 10, 31)
	return text[:i], int(n), err == nil
}
