package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/layout"
	"bergamotloom.example/runst"
)

// maxProcessBytes is the memory that a node may use.
const maxProcessBytes = 128 << 20

// Callers that send heads of very many headers take the memory of a node; the heads needn't
// be complete.
func TestHeadsOfManyHeadersFillTheMemoryOfANode(t *testing.T) {
	f := start(t, layout.New("c1").WithService("stock", 1))
	var head strings.Builder
	head.WriteString("GET /stock/1 HTTP/1.1\r\nHost: node\r\n")
	for i := 0; head.Len() < 30_000; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	var group sync.WaitGroup
	for range 1000 {
		group.Go(func() {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.Instances[0].Callers)
			if !assert.Check(t, err) {
				return
			}
			defer func() { _ = conn.Close() }()
			// The node may refuse it before all was sent.
			_, _ = io.WriteString(conn, head.String())
			// Those that aren't refused stall.
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			_ = response.Body.Close()
			assert.Check(t, response.StatusCode == http.StatusServiceUnavailable, "status %d", response.StatusCode)
			assert.Check(t, response.Header.Get(runst.Header) == string(runst.Never))
		})
	}
	group.Wait()
	most := peakMemoryBytes(t, f)[0]
	t.Logf("the node took %d MB", most>>20)
	assert.Assert(t, most < maxProcessBytes)
}
