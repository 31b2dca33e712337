package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// helloTimeout bounds how long a connection may stay unauthenticated.
const helloTimeout = 5 * time.Second

// codeVerdict is the jsonrpc2 error code of an error whose data is a
// verdict.Error. codeNotLeader carries the id of the group's leader.
const (
	codeVerdict   = 1
	codeNotLeader = 2
)

type handlerFunc func(ctx context.Context, peer string, params json.RawMessage) (any, error)

// Server accepts connections of hosts that hold the deployment key.
type Server struct {
	key      Key
	tls      *tls.Config
	logger   *zap.Logger
	handlers map[string]handlerFunc
	listener net.Listener

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
	wait   sync.WaitGroup
}

// ServerOption sets an optional part of a Server.
type ServerOption func(*Server)

// WithServerTLS makes the server speak TLS.
func WithServerTLS(config *tls.Config) ServerOption {
	return func(s *Server) { s.tls = config }
}

// WithServerLogger sets the logger; the default discards.
func WithServerLogger(logger *zap.Logger) ServerOption {
	return func(s *Server) { s.logger = logger }
}

// NewServer returns a server without handlers.
func NewServer(key Key, opts ...ServerOption) *Server {
	s := &Server{
		key:      key,
		logger:   zap.NewNop(),
		handlers: make(map[string]handlerFunc),
		conns:    make(map[*jsonrpc2.Conn]struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handle registers a handler for a method. It must be called before Serve.
func Handle[Req, Res any](s *Server, method string, h func(ctx context.Context, peer string, req Req) (Res, error)) {
	s.handlers[method] = func(ctx context.Context, peer string, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.BadRequest, method+": bad parameters", verdict.WithCause(err))
		}
		return h(ctx, peer, req)
	}
}

// Serve accepts connections on the listener until Close. It returns at once.
func (s *Server) Serve(listener net.Listener) {
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	s.listener = listener
	s.wait.Add(1)
	go s.accept()
}

func (s *Server) accept() {
	defer s.wait.Done()
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.logger.Warn("accept failed", zap.Error(err))
			// Avoids a busy loop while the process is out of file descriptors.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.add(nc)
	}
}

func (s *Server) add(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		nc.Close()
		return
	}
	session := &session{server: s, nonce: newNonce()}
	stream := jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(context.Background(), stream, session)
	s.conns[conn] = struct{}{}
	s.wait.Add(1)
	go s.watch(conn, session)
}

// watch closes a connection that does not authenticate in time, and forgets
// it when it ends.
func (s *Server) watch(conn *jsonrpc2.Conn, session *session) {
	defer s.wait.Done()
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case <-conn.DisconnectNotify():
	case <-timer.C:
		if !session.authenticated() {
			s.logger.Warn("connection closed: no proof of the deployment key in time")
			conn.Close()
		}
		<-conn.DisconnectNotify()
	}
	session.wait.Wait()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close stops listening, closes all connections and waits for their handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for _, c := range conns {
		c.Close()
	}
	s.wait.Wait()
}

// session is the server's side of one connection.
type session struct {
	server *Server
	nonce  string
	wait   sync.WaitGroup

	mu   sync.Mutex
	peer string
}

func (c *session) authenticated() bool { return c.peerName() != "" }

func (c *session) peerName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// Handle runs notifications in order and requests concurrently.
func (c *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		_, err := c.call(ctx, req)
		if err != nil {
			c.server.logger.Debug("notification failed", zap.String("method", req.Method), zap.Error(err))
		}
		return
	}
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		result, err := c.call(ctx, req)
		if err != nil {
			_ = conn.ReplyWithError(ctx, req.ID, wireError(err))
			return
		}
		_ = conn.Reply(ctx, req.ID, result)
	}()
}

func (c *session) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	switch req.Method {
	case methodChallenge:
		return struct {
			Nonce string `json:"nonce"`
		}{c.nonce}, nil
	case methodHello:
		return c.hello(params)
	}
	peer := c.peerName()
	if peer == "" {
		return nil, verdict.New(verdict.NotRun, verdict.Unauthorised, "connection has not proved the deployment key")
	}
	h, ok := c.server.handlers[req.Method]
	if !ok {
		return nil, verdict.Newf(verdict.NotRun, verdict.BadRequest, "unknown method %q", req.Method)
	}
	return h(ctx, peer, params)
}

func (c *session) hello(params json.RawMessage) (any, error) {
	var hello helloRequest
	if err := json.Unmarshal(params, &hello); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "hello: bad parameters", verdict.WithCause(err))
	}
	key := c.server.key
	if hello.Peer == "" || !key.check("client "+hello.Peer, c.nonce, hello.Nonce, hello.Proof) {
		c.server.logger.Warn("connection refused: wrong deployment key", zap.String("peer", hello.Peer))
		return nil, verdict.New(verdict.NotRun, verdict.Unauthorised, "wrong deployment key")
	}
	c.mu.Lock()
	c.peer = hello.Peer
	c.mu.Unlock()
	return helloResponse{Proof: key.proof("server", c.nonce, hello.Nonce)}, nil
}

// NotLeaderError says that another control host leads the group.
type NotLeaderError struct {
	leader string
}

// NewNotLeaderError names the leader, which is empty when it is not known.
func NewNotLeaderError(leader string) *NotLeaderError { return &NotLeaderError{leader: leader} }

// Leader returns the id of the leader, or nothing if it is not known.
func (e *NotLeaderError) Leader() string { return e.leader }

func (e *NotLeaderError) Error() string {
	if e.leader == "" {
		return "group has no known leader"
	}
	return "group is led by " + e.leader
}

func wireError(err error) *jsonrpc2.Error {
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		e := &jsonrpc2.Error{Code: codeNotLeader, Message: err.Error()}
		e.SetError(notLeader.leader)
		return e
	}
	v := verdict.From(err)
	e := &jsonrpc2.Error{Code: codeVerdict, Message: v.Error()}
	e.SetError(v)
	return e
}

// readError turns a jsonrpc2 error back into the error that the handler
// returned. Errors of the connection itself are returned as they are.
func readError(err error) error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) || e.Data == nil {
		return err
	}
	switch e.Code {
	case codeNotLeader:
		var leader string
		if json.Unmarshal(*e.Data, &leader) == nil {
			return &NotLeaderError{leader: leader}
		}
	case codeVerdict:
		var v verdict.Error
		if json.Unmarshal(*e.Data, &v) == nil {
			return &v
		}
	}
	return err
}
