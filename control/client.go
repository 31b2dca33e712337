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

	// ConfigGroup is the log group of configuration, leases and fencing
	// numbers. Program groups are numbered from 1.
	ConfigGroup = 0

	initialRetryDelay = 10 * time.Millisecond
	maxRetryDelay   = 200 * time.Millisecond
	// attemptTimeout bounds one request to one control host, so that a host
	// that was cut off silently does not use up the caller's whole time.
	attemptTimeout = 2 * time.Second
)

// Address is a control host with its address.
type Address struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Client reaches the leaders of the log groups on the control hosts.
type Client struct {
	peers  []*Peer
	programGroups int
	self   string
	tls    *tls.Config
	dial   DialFunc

	mu      sync.Mutex
	leaders map[int]int // group to index in peers
}

// ClientOption sets an optional part of a Client.
type ClientOption func(*Client)

// WithClientTLS makes the client speak TLS.
func WithClientTLS(config *tls.Config) ClientOption {
	return func(c *Client) { c.tls = config }
}

// WithClientDial replaces TCP.
func WithClientDial(d DialFunc) ClientOption {
	return func(c *Client) { c.dial = d }
}

// NewClient returns a client that calls itself self and knows the given
// control hosts. programGroups is the number of program groups, at least 1.
func NewClient(self string, key Key, hosts []Address, programGroups int, opts ...ClientOption) *Client {
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

// Propose commits a command in a log group and returns the machine's result.
// It retries until the context ends, so the command must be safe to apply
// twice.
func Propose[Res any](ctx context.Context, c *Client, group int, command any) (Res, error) {
	return groupCall[Res](ctx, c, methodPropose, group, command)
}

// Query asks the leader of a log group. The result reflects every command
// that was committed before the query began.
func Query[Res any](ctx context.Context, c *Client, group int, query any) (Res, error) {
	return groupCall[Res](ctx, c, methodQuery, group, query)
}

func groupCall[Res any](ctx context.Context, c *Client, method string, group int, body any) (Res, error) {
	var res Res
	data, err := json.Marshal(body)
	if err != nil {
		return res, verdict.New(verdict.NotRun, verdict.BadRequest, method+": cannot be encoded", verdict.WithCause(err))
	}
	err = c.callLeaderJSON(ctx, method, group, groupRequest{Group: group, Body: data}, &res)
	return res, err
}

// callLeaderJSON is callLeader for methods whose result a machine gives in JSON.
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

// callLeader tries control hosts until one answers as the group's leader. The
// verdict of its error is NotRun only when no request may have arrived.
func (c *Client) callLeader(ctx context.Context, method string, group int, params, result any) error {
	unknown := false
	delay := initialRetryDelay
	target := c.leader(group)
	var last error
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
		last = err

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
			unknown = unknown || v == nil || v.Verdict() != verdict.NotRun
			if timedOut {
				peer.Reset()
			}
			target = (target + 1) % len(c.peers)
		}
		if !pause.For(ctx, delay) {
			return c.unavailable(unknown, last)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// retriable says whether another control host, or the same one later, may
// carry out what this one refused.
func retriable(e *verdict.Error) bool {
	switch e.Reason() {
	case verdict.ControlUnavailable, verdict.Internal, verdict.Cancelled:
		return true
	default:
		return false
	}
}

func (c *Client) unavailable(unknown bool, last error) error {
	v := verdict.NotRun
	if unknown {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.ControlUnavailable, "no leader among the control hosts answered in time",
		verdict.WithCause(last), verdict.WithRetryAfter(time.Second))
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
