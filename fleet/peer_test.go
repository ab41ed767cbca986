package fleet_test

import (
	"context"
	"crypto/tls"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/layout"
	"bergamotloom.example/links"
	"bergamotloom.example/proc"
	"bergamotloom.example/secret"
)

const (
	// clientPreface is what an HTTP/2 client sends first: the connection preface
	// and an empty SETTINGS frame.
	clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	otherSecret   = "another-secret-for-tests-0123456789"
	fleetSecret   = "a-secret-for-tests-only-0123456789"
)

// sendPreface opens a TLS connection, sends the HTTP/2 client preface, and reads
// the first byte of the response. It returns the first error.
func sendPreface(t *testing.T, address string, config *tls.Config) error {
	t.Helper()
	dialer := &tls.Dialer{Config: config}
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(rawTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, clientPreface); err != nil {
		return err
	}
	var first [1]byte
	_, err = io.ReadFull(conn, first[:])
	return err
}

// withoutServerCheck returns the configuration without verification of the
// server's certificate, as an attacker would use it.
func withoutServerCheck(c *tls.Config) *tls.Config {
	c.InsecureSkipVerify = true
	return c
}

func clientConfig(t *testing.T, secretText string, protocol string) *tls.Config {
	t.Helper()
	holder, err := secret.New([]byte(secretText))
	assert.NilError(t, err)
	return holder.ClientTLS(protocol)
}

// The peer port serves only holders of the fleet's secret.
func TestPeerPortServesOnlyHoldersOfTheSecret(t *testing.T) {
	f := start(t, layout.New("c1").WithService("stock", 1))
	peers := f.Instances[0].Peers
	assert.NilError(t, sendPreface(t, peers, clientConfig(t, fleetSecret, "h2")))

	got := exchange(t, peers, "GET /stock/1 HTTP/1.1\r\nHost: node\r\n\r\n")
	assert.Equal(t, got.status, 400, got.body)
	for _, protocol := range []string{"h2", links.Protocol} {
		// The node rejects the handshake with a TLS alert. A timeout wouldn't
		// show that it does.
		err := sendPreface(t, peers, &tls.Config{NextProtos: []string{protocol}, InsecureSkipVerify: true})
		assert.ErrorContains(t, err, "certificate required", protocol)
		err = sendPreface(t, peers, withoutServerCheck(clientConfig(t, otherSecret, protocol)))
		assert.ErrorContains(t, err, "remote error: tls", protocol)
	}
	assert.Equal(t, getBody(t, f.Instances[0].Callers, "/stock/1?bytes=0"), "")
	runs, err := f.Runs()
	assert.NilError(t, err)
	// The request of waitReady and the one above. None of the rejected ones ran.
	assert.Equal(t, len(runs), 2)
}

// settingCase is an invalid setting of a node, and the texts that the message
// must contain.
type settingCase struct {
	name     string
	args     []string
	contains []string
}

func settingCases() []settingCase {
	return []settingCase{
		{"callers by name", []string{"--callers", "localhost:0"}, []string{"--callers", "localhost:0", "IP number"}},
		{"peers without a port", []string{"--peers", "127.0.0.1"}, []string{"--peers", `"127.0.0.1"`, "port"}},
		{"operators out of range", []string{"--operators", "127.0.0.1:70000"}, []string{"--operators", "127.0.0.1:70000", "port"}},
		{"local on all addresses", []string{"--local", "0.0.0.0:0"}, []string{"--local", "0.0.0.0:0", "loopback"}},
		{"local on another address", []string{"--local", "192.0.2.1:7000"}, []string{"--local", "192.0.2.1:7000", "loopback"}},
		{"advertise by name", []string{"--advertise", "node:1"}, []string{"--advertise", "node:1", "IP number"}},
		{"join by name", []string{"--join", "127.0.0.1:1,peer"}, []string{"--join", "peer", "IP numbers"}},
		{"short secret", []string{"--secret", "short"}, []string{"--secret", "5 bytes", "at least 32"}},
		{"missing secret file", []string{"--secret-file", "missing"}, []string{"--secret-file", "missing"}},
		{"empty centre", []string{"--centre", ""}, []string{"--centre", "empty", "data centre"}},
		{"empty region", []string{"--region", ""}, []string{"--region", "empty", "region"}},
		{"zero drain", []string{"--drain", "0s"}, []string{"--drain", "0 ms", "positive"}},
		{"drain that isn't a duration", []string{"--drain", "soon"}, []string{"--drain", "soon"}},
		{"negative queue", []string{"--queue=-1ms"}, []string{"--queue", "-1 ms", "not be negative"}},
		{"platform that isn't an HTTP URL", []string{"--platform", "ftp://store"}, []string{"--platform", "ftp://store", "http://"}},
	}
}

// With an invalid setting, a node exits at its start with code 2 and a message
// that names the setting, its value and what is allowed.
func TestInvalidSettingsEndANodeAtItsStart(t *testing.T) {
	for _, c := range settingCases() {
		t.Run(c.name, func(t *testing.T) {
			args := append([]string{"node", "--platform", "http://127.0.0.1:1", "--centre", "c1", "--secret", fleetSecret}, c.args...)
			ctx, cancel := context.WithTimeout(t.Context(), rawTimeout)
			defer cancel()
			out, code, err := proc.Run(ctx, binary, args...)
			assert.NilError(t, err)
			assert.Equal(t, code, 2, out)
			for _, text := range c.contains {
				assert.Assert(t, strings.Contains(out, text), "no %q in: %s", text, out)
			}
			assert.Assert(t, !strings.Contains(out, fleetSecret))
		})
	}
}
