package conns

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

const (
	millisPerSecond = 1000
	// keepAliveFraction of the server's timeout is used, so that no request is
	// sent while the server closes the connection.
	keepAliveFraction = 0.7
)

// keepAliveMillis returns how long the server keeps an idle connection by its
// Keep-Alive header, less a margin. Without the header there's no limit.
func keepAliveMillis(h http.Header) int64 {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(seconds, 10, 64); err == nil {
			return int64(keepAliveFraction * float64(n*millisPerSecond))
		}
	}
	return math.MaxInt64
}
