package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/connlimit"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// helloTimeout bounds how long a connection may stay unauthenticated.
const helloTimeout = 5 * time.Second

type handlerFunc func(ctx context.Context, peer string, params cborwire.Raw) (any, error)

// Server accepts connections of hosts that have the deployment key.
type Server struct {
	key      Key
	tls      *tls.Config
	logger   *zap.Logger
	handlers map[string]handlerFunc
	listener net.Listener

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	wait   sync.WaitGroup
}

// ServerOption sets an optional part of a Server.
type ServerOption func(*Server)

// WithServerTLS sets the TLS configuration; the default is plain TCP.
func WithServerTLS(config *tls.Config) ServerOption {
	return func(s *Server) { s.tls = config }
}

// WithServerLogger sets the logger; the default discards all messages.
func WithServerLogger(logger *zap.Logger) ServerOption {
	return func(s *Server) { s.logger = logger }
}

// NewServer returns a server without handlers.
func NewServer(key Key, opts ...ServerOption) *Server {
	s := &Server{
		key:      key,
		logger:   zap.NewNop(),
		handlers: make(map[string]handlerFunc),
		conns:    make(map[*conn]struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handle registers a handler for a method. It must be called before Serve.
func Handle[Req, Res any](s *Server, method string, h func(ctx context.Context, peer string, req Req) (Res, error)) {
	s.handlers[method] = func(ctx context.Context, peer string, params cborwire.Raw) (any, error) {
		var req Req
		if err := cborwire.Unmarshal(params, &req); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.BadRequest, method+": parameters cannot be decoded", verdict.WithCause(err))
		}
		return h(ctx, peer, req)
	}
}

// Serve accepts connections on the listener in the background until Close is
// called.
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
	session := &session{server: s, nonce: newNonce(), accepted: func() { connlimit.Accepted(nc) }}
	c := newConn(nc, session)
	s.conns[c] = struct{}{}
	s.wait.Add(1)
	go s.watch(c, session)
}

// watch closes a connection if it does not authenticate in time, and removes it
// when it has ended.
func (s *Server) watch(c *conn, session *session) {
	defer s.wait.Done()
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
		if !session.authenticated() {
			s.logger.Warn("connection closed: not authenticated in time")
			c.close()
		}
		<-c.done
	}
	<-c.readerDone
	session.wait.Wait()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Close stops listening, closes all connections and waits for their handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for _, c := range conns {
		c.close()
	}
	s.wait.Wait()
}

// session is the server side of one connection.
type session struct {
	server *Server
	nonce  string
	// accepted records that the peer has been authenticated.
	accepted func()
	wait     sync.WaitGroup

	mu   sync.Mutex
	peer string
}

func (s *session) authenticated() bool { return s.peerID() != "" }

func (s *session) peerID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peer
}

// frameLimit implements handler.
func (s *session) frameLimit() uint64 {
	if !s.authenticated() {
		return maxHelloBytes
	}
	return maxFrameBytes
}

// handle implements handler. It runs notifications in order and requests
// concurrently.
func (s *session) handle(c *conn, f frame) {
	ctx := context.Background()
	if f.ID == 0 {
		if _, err := s.call(ctx, f); err != nil {
			s.server.logger.Debug("notification failed", zap.String("method", f.Method), zap.Error(err))
		}
		return
	}
	s.wait.Go(func() {
		result, err := s.call(ctx, f)
		c.reply(f.ID, result, err)
	})
}

func (s *session) call(ctx context.Context, f frame) (any, error) {
	params := f.Body
	if len(params) == 0 {
		params = nullBody
	}
	switch f.Method {
	case methodChallenge:
		return struct {
			Nonce string `json:"nonce"`
		}{s.nonce}, nil
	case methodHello:
		return s.hello(params)
	}
	peer := s.peerID()
	if peer == "" {
		return nil, verdict.New(verdict.NotRun, verdict.Unauthorised, "connection is not authenticated by the deployment key")
	}
	h, ok := s.server.handlers[f.Method]
	if !ok {
		return nil, verdict.Newf(verdict.NotRun, verdict.BadRequest, "unknown method %q", f.Method)
	}
	return h(ctx, peer, params)
}

func (s *session) hello(params cborwire.Raw) (any, error) {
	var hello helloRequest
	if err := cborwire.Unmarshal(params, &hello); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "hello: parameters cannot be decoded", verdict.WithCause(err))
	}
	key := s.server.key
	if hello.Peer == "" || !key.verify("client "+hello.Peer, s.nonce, hello.Nonce, hello.Proof) {
		s.server.logger.Warn("connection rejected: wrong deployment key", zap.String("peer", hello.Peer))
		return nil, verdict.New(verdict.NotRun, verdict.Unauthorised, "wrong deployment key")
	}
	s.mu.Lock()
	s.peer = hello.Peer
	s.mu.Unlock()
	s.accepted()
	return helloResponse{Proof: key.proof("server", s.nonce, hello.Nonce)}, nil
}

// NotLeaderError is the error of a host that does not lead the log group.
type NotLeaderError struct {
	leader string
}

// NewNotLeaderError returns the error with the id of the leader, which is empty
// if unknown.
func NewNotLeaderError(leader string) *NotLeaderError { return &NotLeaderError{leader: leader} }

// Leader returns the id of the leader, or an empty string if it is unknown.
func (e *NotLeaderError) Leader() string { return e.leader }

func (e *NotLeaderError) Error() string {
	if e.leader == "" {
		return "group has no known leader"
	}
	return "group is led by " + e.leader
}

func newWireError(err error) *wireError {
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return &wireError{NotLeader: true, Leader: notLeader.leader}
	}
	data, err := json.Marshal(verdict.From(err))
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return &wireError{Verdict: data}
}

// err returns the error that the handler returned.
func (e *wireError) err() error {
	if e.NotLeader {
		return &NotLeaderError{leader: e.Leader}
	}
	v := new(verdict.Error)
	if err := json.Unmarshal(e.Verdict, v); err != nil {
		return fmt.Errorf("error in a response cannot be decoded: %w", err)
	}
	return v
}
