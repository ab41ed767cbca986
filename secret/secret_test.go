package secret_test

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/secret"
)

func derive(t *testing.T, letter string) *secret.Secret {
	t.Helper()
	s, err := secret.New([]byte(strings.Repeat(letter, secret.MinBytes)))
	assert.NilError(t, err)
	return s
}

// handshake connects a client and a server in memory and returns the error of
// each end.
func handshake(ctx context.Context, client, server *tls.Config) (clientErr, serverErr error) {
	a, b := net.Pipe()
	c, s := tls.Client(a, client), tls.Server(b, server)
	done := make(chan error, 1)
	go func() {
		err := s.HandshakeContext(ctx)
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		_ = b.Close()
		done <- err
	}()
	clientErr = c.HandshakeContext(ctx)
	if clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = a.Close()
	return clientErr, <-done
}

func TestHoldersOfTheSameSecretAuthenticate(t *testing.T) {
	clientErr, serverErr := handshake(t.Context(), derive(t, "a").ClientTLS("h2"), derive(t, "a").ServerTLS("h2"))
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)
}

func TestAnotherSecretIsRejected(t *testing.T) {
	clientErr, serverErr := handshake(t.Context(), derive(t, "b").ClientTLS("h2"), derive(t, "a").ServerTLS("h2"))
	assert.Assert(t, clientErr != nil)
	assert.Assert(t, serverErr != nil)
}

func TestMissingCertificateIsRejected(t *testing.T) {
	uncertified := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13} //nolint:gosec // this client doesn't verify the server
	clientErr, serverErr := handshake(t.Context(), uncertified, derive(t, "a").ServerTLS("h2"))
	assert.Assert(t, clientErr != nil)
	assert.Assert(t, serverErr != nil)
}

func TestShortSecretIsRejected(t *testing.T) {
	_, err := secret.New([]byte("short"))
	assert.ErrorContains(t, err, "5 bytes, it needs at least 32")
}
