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
	// greeting is what a client of HTTP/2 sends first: the preface and an
	// empty SETTINGS frame.
	greeting     = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	otherSecret  = "another-secret-for-tests-0123456789"
	fleetsSecret = "a-secret-for-tests-only-0123456789"
)

// greet opens a TLS connection, greets, and returns the first byte of what the
// peer port answers.
func greet(t *testing.T, address string, settings *tls.Config) error {
	t.Helper()
	dialer := &tls.Dialer{Config: settings}
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(rawTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, greeting); err != nil {
		return err
	}
	var first [1]byte
	_, err = io.ReadFull(conn, first[:])
	return err
}

// trusting returns the settings without the check of the server's certificate,
// as an intruder would have them.
func trusting(c *tls.Config) *tls.Config {
	c.InsecureSkipVerify = true
	return c
}

func clientOf(t *testing.T, of string, protocol string) *tls.Config {
	t.Helper()
	made, err := secret.New([]byte(of))
	assert.NilError(t, err)
	return made.ClientTLS(protocol)
}

// The peer port serves only holders of the fleet's secret.
func TestThePeerPortServesOnlyTheFleet(t *testing.T) {
	f := start(t, layout.New("c1").WithService("stock", 1))
	peers := f.Instances[0].Peers
	assert.NilError(t, greet(t, peers, clientOf(t, fleetsSecret, "h2")))

	got := exchange(t, peers, "GET /stock/1 HTTP/1.1\r\nHost: node\r\n\r\n")
	assert.Equal(t, got.status, 400, got.body)
	for _, protocol := range []string{"h2", links.Protocol} {
		// The node ends the handshake with an alert, which isn't a timeout.
		err := greet(t, peers, &tls.Config{NextProtos: []string{protocol}, InsecureSkipVerify: true})
		assert.ErrorContains(t, err, "certificate required", protocol)
		err = greet(t, peers, trusting(clientOf(t, otherSecret, protocol)))
		assert.ErrorContains(t, err, "remote error: tls", protocol)
	}
	assert.Equal(t, get(t, f.Instances[0].Callers, "/stock/1?bytes=0"), "")
	runs, err := f.Runs()
	assert.NilError(t, err)
	assert.Equal(t, len(runs), 2)
}

// settingCase is a wrong setting of a node, and what the message must name.
type settingCase struct {
	name  string
	args  []string
	names []string
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
		{"missing file of the secret", []string{"--secret-file", "missing"}, []string{"--secret-file", "missing"}},
		{"empty centre", []string{"--centre", ""}, []string{"--centre", "empty", "data centre"}},
		{"empty region", []string{"--region", ""}, []string{"--region", "empty", "region"}},
		{"no drain", []string{"--drain", "0s"}, []string{"--drain", "0 ms", "positive"}},
		{"drain that is no time", []string{"--drain", "soon"}, []string{"--drain", "soon"}},
		{"negative queue", []string{"--queue=-1ms"}, []string{"--queue", "-1 ms", "not be negative"}},
		{"platform that is no URL", []string{"--platform", "ftp://store"}, []string{"--platform", "ftp://store", "http://"}},
	}
}

// A wrong setting ends a node at its start with exit code 2 and a message with
// the setting, its value and what is allowed.
func TestWrongSettingsEndANodeAtItsStart(t *testing.T) {
	for _, c := range settingCases() {
		t.Run(c.name, func(t *testing.T) {
			args := append([]string{"node", "--platform", "http://127.0.0.1:1", "--centre", "c1", "--secret", fleetsSecret}, c.args...)
			ctx, cancel := context.WithTimeout(t.Context(), rawTimeout)
			defer cancel()
			out, code, err := proc.Run(ctx, binary, args...)
			assert.NilError(t, err)
			assert.Equal(t, code, 2, out)
			for _, name := range c.names {
				assert.Assert(t, strings.Contains(out, name), "no %q in: %s", name, out)
			}
			assert.Assert(t, !strings.Contains(out, fleetsSecret))
		})
	}
}
