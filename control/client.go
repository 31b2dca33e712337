package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	methodPropose   = "propose"
	methodQuery     = "query"
	methodHeartbeat = "heartbeat"
	methodAnnounce  = "announce"
	methodReplica   = "replica-message"
	methodPresence  = "presence"
	methodTakeOver  = "take-over"
	methodInForce   = "in-force"
	methodStatus    = "status"

	// ConfigGroup is the log group of the configuration, the leases and the
	// fencing numbers. Program groups are numbered from 1.
	ConfigGroup = 0

	initialRetryDelay = 10 * time.Millisecond
	maxRetryDelay     = 200 * time.Millisecond
	// attemptTimeout bounds one request to one control host, so that a host
	// that became unreachable without a TCP reset does not use up the caller's
	// time.
	attemptTimeout = 2 * time.Second
)

// HostAddress is the id and the network address of a control host.
type HostAddress struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Client calls the leaders of the log groups on the control hosts.
type Client struct {
	peers         []*Peer
	programGroups int
	self          string
	tls           *tls.Config
	dial          DialFunc

	mu      sync.Mutex
	leaders map[int]int // index in peers, by group
}

// ClientOption sets an optional part of a Client.
type ClientOption func(*Client)

// WithClientTLS sets the TLS configuration; the default is plain TCP.
func WithClientTLS(config *tls.Config) ClientOption {
	return func(c *Client) { c.tls = config }
}

// WithClientDial sets the dial function; the default dials TCP.
func WithClientDial(d DialFunc) ClientOption {
	return func(c *Client) { c.dial = d }
}

// NewClient returns a client of the given control hosts. self is the id by
// which the client identifies itself to them, and programGroups the number of
// program groups, at least 1.
func NewClient(self string, key Key, hosts []HostAddress, programGroups int, opts ...ClientOption) *Client {
	c := &Client{programGroups: programGroups, self: self, leaders: make(map[int]int)}
	for _, o := range opts {
		o(c)
	}
	for _, h := range hosts {
		c.peers = append(c.peers, NewPeer(h.ID, h.Address, self, key, c.tls, c.dial))
	}
	return c
}

// Close closes the connections.
func (c *Client) Close() {
	for _, p := range c.peers {
		p.Close()
	}
}

// GroupOf returns the log group of a program.
func (c *Client) GroupOf(program string) int { return ledger.GroupOf(program, c.programGroups) }

type groupRequest struct {
	Group int             `json:"group"`
	Body  json.RawMessage `json:"body"`
}

// Propose commits a command in a log group and returns the state machine's
// result. It retries until the context ends, so the command must be idempotent.
func Propose[Res any](ctx context.Context, c *Client, group int, command any) (Res, error) {
	return groupCall[Res](ctx, c, methodPropose, group, command)
}

// Query sends a query to the leader of a log group. The result reflects every
// command that was committed before the query began.
func Query[Res any](ctx context.Context, c *Client, group int, query any) (Res, error) {
	return groupCall[Res](ctx, c, methodQuery, group, query)
}

func groupCall[Res any](ctx context.Context, c *Client, method string, group int, body any) (Res, error) {
	var res Res
	data, err := json.Marshal(body)
	if err != nil {
		return res, verdict.New(verdict.NotRun, verdict.BadRequest, method+": parameters cannot be encoded", verdict.WithCause(err))
	}
	err = c.callLeaderJSON(ctx, method, group, groupRequest{Group: group, Body: data}, &res)
	return res, err
}

// callLeaderJSON is callLeader for methods whose result is JSON from a state
// machine.
func (c *Client) callLeaderJSON(ctx context.Context, method string, group int, params, result any) error {
	var data json.RawMessage
	if err := c.callLeader(ctx, method, group, params, &data); err != nil {
		return err
	}
	if err := json.Unmarshal(data, result); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.Internal, method+": result cannot be decoded", verdict.WithCause(err))
	}
	return nil
}

// callLeader tries control hosts until one answers as the group's leader or
// rejects the request permanently. If the context ends first, the verdict of
// the error is NotRun only if no control host can have executed the request.
func (c *Client) callLeader(ctx context.Context, method string, group int, params, result any) error {
	maybeSent := false
	delay := initialRetryDelay
	target := c.leader(group)
	var lastErr error
	for {
		peer := c.peers[target]
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := peer.Call(attempt, method, params, result)
		timedOut := attempt.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil {
			c.setLeader(group, target)
			return nil
		}
		lastErr = err

		var notLeader *NotLeaderError
		var unsent *unsentError
		var v *verdict.Error
		switch {
		case verdict.From(err).Reason() == verdict.Unauthorised:
			return err
		case errors.As(err, &notLeader):
			if i := c.peerIndex(notLeader.leader); i >= 0 && i != target {
				target = i
				if ctx.Err() == nil {
					continue
				}
			}
			target = (target + 1) % len(c.peers)
		case errors.As(err, &unsent):
			target = (target + 1) % len(c.peers)
		case errors.As(err, &v) && !retriable(v):
			return err
		default:
			maybeSent = maybeSent || v == nil || v.Verdict() != verdict.NotRun
			if timedOut {
				peer.Reset()
			}
			target = (target + 1) % len(c.peers)
		}
		if !pause.For(ctx, delay) {
			return c.unavailableError(maybeSent, lastErr)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// retriable returns whether another control host, or the same one later, may
// execute a request that this one rejected. Requests are idempotent, so one with
// an unknown outcome is repeated too.
func retriable(e *verdict.Error) bool {
	switch e.Reason() {
	case verdict.ControlUnavailable, verdict.OutcomeUnknown, verdict.Internal, verdict.Cancelled:
		return true
	default:
		return false
	}
}

func (c *Client) unavailableError(maybeSent bool, lastErr error) error {
	v := verdict.NotRun
	if maybeSent {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.ControlUnavailable, "no leader among the control hosts answered in time",
		verdict.WithCause(lastErr), verdict.WithRetryAfter(time.Second))
}

func (c *Client) leader(group int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, ok := c.leaders[group]; ok {
		return i
	}
	return group % len(c.peers)
}

func (c *Client) setLeader(group, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[group] = index
}

func (c *Client) peerIndex(id string) int {
	for i, p := range c.peers {
		if p.id == id {
			return i
		}
	}
	return -1
}
