package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	maxChangeBytes = 8 << 20
	bodyTimeout    = 30 * time.Second
	// maxWait limits how long one watch request waits; the client then sends
	// another.
	maxWait = 30 * time.Second
	// watchPollInterval is how often a waiting watch polls for changes.
	watchPollInterval = 250 * time.Millisecond
)

type server struct {
	backend      Backend
	auth         Authenticator
	pollInterval time.Duration
}

// New returns the HTTP handler of the API.
func New(b Backend, a Authenticator) http.Handler {
	s := &server{backend: b, auth: a, pollInterval: watchPollInterval}
	return s.router()
}

func (s *server) router() http.Handler {
	r := mux.NewRouter()
	r.Handle("/v1/operator/changes", s.handle(s.apply)).Methods(http.MethodPost)
	r.Handle("/v1/operator/changes", s.handle(s.since)).Methods(http.MethodGet)
	r.Handle("/v1/operator/tree", s.handle(s.get)).Methods(http.MethodGet)
	r.Handle("/v1/operator/status", s.handle(s.status)).Methods(http.MethodGet)
	return r
}

// handler returns the response body and its HTTP status.
type handler func(w http.ResponseWriter, r *http.Request, identity credential.Identity) (any, int, error)

func (s *server) handle(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// Only the response writers of tests do not support this; they
			// need no deadline.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		identity, err := s.authenticate(r)
		if err != nil {
			verdict.From(err).Write(w)
			return
		}
		body, status, err := h(w, r, identity)
		if err != nil {
			verdict.From(err).Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	})
}

func (s *server) authenticate(r *http.Request) (credential.Identity, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	identity, ok := s.auth.Find(strings.TrimSpace(token))
	if !strings.EqualFold(scheme, "Bearer") || !ok {
		return identity, notRun(verdict.Unauthorised, `header "Authorization": want "Bearer <credential>" with a known credential`)
	}
	if identity.Scope != credential.Operator && identity.Scope != credential.TeamOperator {
		return identity, notRun(verdict.Forbidden, "the credential has the scope %s; want operator or team-operator", identity.Scope)
	}
	return identity, nil
}

func notRun(reason verdict.Reason, format string, args ...any) error {
	return verdict.Newf(verdict.NotRun, reason, format, args...)
}

// subtree returns the prefix of the paths that the holder may read and change.
func subtree(identity credential.Identity) string {
	if identity.Scope == credential.TeamOperator {
		return "/teams/" + identity.Team + "/"
	}
	return "/"
}

func (s *server) apply(w http.ResponseWriter, r *http.Request, identity credential.Identity) (any, int, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, 0, notRun(verdict.TooLarge, "the request body is too large: at most %d bytes are allowed", maxChangeBytes)
	}
	if err != nil {
		return nil, 0, verdict.New(verdict.MayHaveRun, verdict.BadRequest, "the request body ends too early: "+err.Error())
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	change, err := strictjson.Decode[tree.Change]("body", data)
	if err != nil {
		return nil, 0, notRun(verdict.BadRequest, "%s", err)
	}
	change.Team, change.Author = identity.Team, identity.Name
	if err := checkChange(change, subtree(identity)); err != nil {
		return nil, 0, err
	}
	outcome, err := s.backend.Apply(r.Context(), change)
	return outcome, statusOf(outcome), err
}

// checkChange rejects incomplete changes, paths outside the allowed prefix and
// values that are invalid for their path.
func checkChange(c tree.Change, allowed string) error {
	if c.ChangeID == "" {
		return notRun(verdict.BadRequest, `field "change-id": the field is missing`)
	}
	if len(c.Writes) == 0 {
		return notRun(verdict.BadRequest, `field "writes": want at least one write`)
	}
	for i, write := range c.Writes {
		if !strings.HasPrefix(write.Path, allowed) {
			return notRun(verdict.Forbidden, "field \"writes[%d].path\": value %q: the credential may change only %s", i, write.Path, allowed)
		}
		if write.Delete {
			continue
		}
		if err := CheckValue("", write.Path, write.Value); err != nil {
			return notRun(verdict.BadRequest, "field \"writes[%d]\": path %s: %s", i, write.Path, err)
		}
	}
	return nil
}

func statusOf(o tree.Outcome) int {
	switch {
	case o.Applied:
		return http.StatusOK
	case o.Reason == verdict.Forbidden:
		return http.StatusForbidden
	case o.Reason == verdict.BadRequest:
		return http.StatusBadRequest
	}
	return http.StatusConflict
}

func (s *server) get(_ http.ResponseWriter, r *http.Request, identity credential.Identity) (any, int, error) {
	prefix := r.URL.Query().Get("prefix")
	if prefix == "" {
		prefix = subtree(identity)
	}
	if !strings.HasPrefix(prefix, subtree(identity)) {
		return nil, 0, notRun(verdict.Forbidden, "parameter \"prefix\": value %q: the credential may read only %s", prefix, subtree(identity))
	}
	d, err := s.backend.Get(r.Context(), prefix)
	return d, http.StatusOK, err
}

// since returns the changes after a revision. The parameter wait is the
// maximum time to wait for a change.
func (s *server) since(_ http.ResponseWriter, r *http.Request, identity credential.Identity) (any, int, error) {
	revision, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil || revision < 0 {
		return nil, 0, notRun(verdict.BadRequest, "parameter \"since\": value %q: want a revision of 0 or more", r.URL.Query().Get("since"))
	}
	wait := time.Duration(0)
	if text := r.URL.Query().Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 || wait > maxWait {
			return nil, 0, notRun(verdict.BadRequest, "parameter \"wait\": value %q: want a duration from 0s to %s", text, maxWait)
		}
	}
	d, err := s.waitForChange(r.Context(), revision, wait, subtree(identity))
	return d, http.StatusOK, err
}

func (s *server) waitForChange(ctx context.Context, revision int64, wait time.Duration, allowed string) (tree.Difference, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	ticker := time.NewTicker(s.pollInterval)
	defer ticker.Stop()
	for {
		d, err := s.backend.Since(ctx, revision)
		if err != nil {
			return d, err
		}
		d.Entries = entriesWithPrefix(d.Entries, allowed)
		if len(d.Entries) > 0 || d.Full || wait == 0 {
			return d, nil
		}
		select {
		case <-ctx.Done():
			return d, nil
		case <-timeout.C:
			return d, nil
		case <-ticker.C:
		}
	}
}

func entriesWithPrefix(entries []tree.Entry, prefix string) []tree.Entry {
	var out []tree.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Path, prefix) {
			out = append(out, e)
		}
	}
	return out
}

func (s *server) status(_ http.ResponseWriter, r *http.Request, identity credential.Identity) (any, int, error) {
	if identity.Scope != credential.Operator {
		return nil, 0, notRun(verdict.Forbidden, "the credential has the scope %s; want operator", identity.Scope)
	}
	status, err := s.backend.Status(r.Context())
	if err != nil {
		return nil, 0, fmt.Errorf("status: %w", err)
	}
	return status, http.StatusOK, nil
}
