package control

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	methodChallenge = "challenge"
	methodHello     = "hello"

	nonceBytes   = 16
	minKeyLength = 16
)

// Key is the deployment key, a secret that all hosts of a deployment share.
// Hosts without it cannot connect.
type Key struct {
	secret []byte
}

// ReadKey reads the deployment key from a file. Leading and trailing white
// space is removed.
func ReadKey(path string) (Key, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Key{}, fmt.Errorf("deployment key: %w", err)
	}
	return NewKey(strings.TrimSpace(string(data)))
}

// NewKey returns the key with the given text of at least 16 bytes.
func NewKey(text string) (Key, error) {
	if len(text) < minKeyLength {
		return Key{}, fmt.Errorf("deployment key: %d bytes, want at least %d", len(text), minKeyLength)
	}
	return Key{secret: []byte(text)}, nil
}

// String returns a placeholder, so that the key does not appear in logs.
func (Key) String() string { return "[deployment key]" }

// proof returns the HMAC of a role and both nonces. The role keeps one side's
// proof from being replayed as the other's.
func (k Key) proof(role, serverNonce, clientNonce string) string {
	mac := hmac.New(sha256.New, k.secret)
	fmt.Fprintf(mac, "%s\n%s\n%s", role, serverNonce, clientNonce)
	return hex.EncodeToString(mac.Sum(nil))
}

func (k Key) verify(role, serverNonce, clientNonce, proof string) bool {
	want := k.proof(role, serverNonce, clientNonce)
	return subtle.ConstantTimeCompare([]byte(want), []byte(proof)) == 1
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error on supported systems.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

type helloRequest struct {
	Peer  string `json:"peer"`
	Nonce string `json:"nonce"`
	Proof string `json:"proof"`
}

type helloResponse struct {
	Proof string `json:"proof"`
}

// authenticate proves to the server that this host has the deployment key, and
// verifies the server's proof in turn.
func authenticate(ctx context.Context, c *conn, key Key, peer string) error {
	var challenge struct {
		Nonce string `json:"nonce"`
	}
	if err := c.call(ctx, methodChallenge, struct{}{}, &challenge); err != nil {
		return err
	}
	nonce := newNonce()
	hello := helloRequest{
		Peer:  peer,
		Nonce: nonce,
		Proof: key.proof("client "+peer, challenge.Nonce, nonce),
	}
	var response helloResponse
	if err := c.call(ctx, methodHello, hello, &response); err != nil {
		return err
	}
	if !key.verify("server", challenge.Nonce, nonce, response.Proof) {
		return verdict.New(verdict.NotRun, verdict.Unauthorised, "server does not have the deployment key")
	}
	return nil
}
