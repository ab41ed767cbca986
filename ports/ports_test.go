package ports_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/ports"
)

func newPorts(t *testing.T) *ports.Ports {
	t.Helper()
	p, err := ports.New()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, p.Close()) })
	return p
}

func TestHoldersGetDifferentPorts(t *testing.T) {
	holders := []*ports.Ports{newPorts(t), newPorts(t), newPorts(t)}
	owners := make(map[string]int)
	for i, p := range holders {
		for range 1000 {
			address, err := p.Next()
			assert.NilError(t, err)
			owner, known := owners[address]
			assert.Assert(t, !known || owner == i, "%s is of holders %d and %d", address, owner, i)
			owners[address] = i
		}
	}
}

func TestPortsInUseAreLeftOut(t *testing.T) {
	p := newPorts(t)
	tcp, err := p.Next()
	assert.NilError(t, err)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", tcp)
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	udp, err := p.Next()
	assert.NilError(t, err)
	socket, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp", udp)
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	for range 1000 {
		address, err := p.Next()
		assert.NilError(t, err)
		assert.Assert(t, address != tcp && address != udp, "%s is in use", address)
	}
}
