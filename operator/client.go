package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/sycamoreline/sycamoreline/backend"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// Client calls the operator API of entry hosts. It implements Backend. After a
// connection error or a 5xx status, it sends the request to the next entry
// host. Changes are safe to resend, because they have ids.
type Client struct {
	entries    []string
	credential string
	http       *http.Client
}

// NewClient returns a client of the entry hosts at the given base URLs.
func NewClient(entries []string, credential string, c *http.Client) *Client {
	return &Client{entries: entries, credential: credential, http: c}
}

// Apply sends a change.
func (c *Client) Apply(ctx context.Context, change tree.Change) (tree.Outcome, error) {
	data, err := json.Marshal(change)
	if err != nil {
		return tree.Outcome{}, err
	}
	return send[tree.Outcome](ctx, c, http.MethodPost, "/v1/operator/changes", data)
}

// Get returns the entries whose path begins with the prefix. An empty prefix
// selects all entries that the credential may read.
func (c *Client) Get(ctx context.Context, prefix string) (tree.Difference, error) {
	return send[tree.Difference](ctx, c, http.MethodGet, "/v1/operator/tree?prefix="+url.QueryEscape(prefix), nil)
}

// Since returns the changes after a revision. If there are none, the server
// waits up to maxWait for one.
func (c *Client) Since(ctx context.Context, revision int64) (tree.Difference, error) {
	path := "/v1/operator/changes?wait=" + maxWait.String() + "&since=" + strconv.FormatInt(revision, 10)
	return send[tree.Difference](ctx, c, http.MethodGet, path, nil)
}

// Status requests the status of every entry host and merges the responses. It
// fails if no host answers or one rejects the request.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var merged Status
	var lastErr error
	answered := false
	for _, entry := range c.entries {
		var s Status
		err := sendOnce(ctx, c, http.MethodGet, strings.TrimSuffix(entry, "/")+"/v1/operator/status", nil, &s)
		if err != nil && !tryNext(err) {
			return Status{}, err
		}
		if err != nil {
			lastErr = err
			s.EntryHosts = []EntryStatus{{Address: entry, Error: err.Error()}}
		}
		merged = merged.merge(s, err == nil && !answered)
		answered = answered || err == nil
	}
	if !answered {
		return Status{}, lastErr
	}
	return merged, nil
}

// merge adds the status of another entry host. Fields that describe the whole
// deployment are taken from the first response.
func (s Status) merge(other Status, first bool) Status {
	hosts := append(s.EntryHosts, other.EntryHosts...)
	if first {
		other.EntryHosts = hosts
		return other
	}
	s.EntryHosts = hosts
	for _, v := range other.Servers {
		if i := slices.IndexFunc(s.Servers, func(o ServerStatus) bool { return o.Server == v.Server }); i >= 0 {
			s.Servers[i].Running += v.Running
		}
	}
	return s
}

func send[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var answer T
	var err error
	mayHaveRun := false
	for _, entry := range c.entries {
		if err = sendOnce(ctx, c, method, strings.TrimSuffix(entry, "/")+path, body, &answer); !tryNext(err) {
			break
		}
		mayHaveRun = mayHaveRun || verdict.Of(err) == verdict.MayHaveRun
	}
	if mayHaveRun && verdict.Of(err) == verdict.NotRun {
		// Only the last host rejected the request; an earlier one may have
		// forwarded it.
		e := verdict.From(err)
		err = verdict.New(verdict.MayHaveRun, e.Reason(), e.Message())
	}
	return answer, err
}

// tryNext reports whether the request should be sent to the next entry host.
func tryNext(err error) bool {
	if err == nil {
		return false
	}
	e := verdict.From(err)
	return e.Status() >= http.StatusInternalServerError
}

func sendOnce[T any](ctx context.Context, c *Client, method, address string, body []byte, answer *T) error {
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return notRun(verdict.BadRequest, "%s", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.credential)
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if err != nil {
		return connectionError(err)
	}
	defer response.Body.Close()
	if err := backend.CheckStatus(response); err != nil {
		return connectionError(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return connectionError(err)
	}
	if response.Header.Get(verdict.HeaderVerdict) != "" {
		var e verdict.Error
		if err := json.Unmarshal(data, &e); err == nil {
			return &e
		}
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return verdict.Newf(verdict.MayHaveRun, verdict.Internal, "the entry host answered with status %d and an invalid body: %s", response.StatusCode, err)
	}
	return nil
}

func connectionError(err error) error {
	return verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "the connection to the entry host failed", verdict.WithCause(err))
}
