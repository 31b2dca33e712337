package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// request is one client attempt, on a connection of its own.
type request struct {
	method, path, id string
	header           map[string]string
	body             []byte
	deadline         time.Duration
}

// answer is what the client has got: status 0 without an answer, and complete if the
// answer came to its end.
type answer struct {
	status   int
	body     []byte
	complete bool
	err      error
}

const host = "ficu95.example"

func (r *run) send(entry *process, q request) answer {
	ask, err := http.NewRequest(q.method, fmt.Sprintf("http://%s:%d%s", entry.ip, callerPort, q.path), bytes.NewReader(q.body))
	must(err)
	ask.Host = host
	ask.Header.Set("X-Sycamoreline-Request-Id", q.id)
	ask.Header.Set("X-Sycamoreline-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for k, v := range q.header {
		ask.Header.Set(k, v)
	}
	c := &http.Client{Timeout: q.deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(ask)
	if err != nil {
		r.log("client: %s got no answer: %v", q.id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.log("client: %s got %d, %d bytes, complete: %v", q.id, resp.StatusCode, len(body), err == nil)
	return answer{status: resp.StatusCode, body: body, complete: err == nil, err: err}
}
