package conns

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

const (
	millisPerSecond = 1000
	// keptPart of the time that the other side names is used, so that a request
	// doesn't cross its close.
	keptPart = 0.7
)

// keptMillis returns for how long the other side says that it keeps an idle
// connection, less a margin.
func keptMillis(h http.Header) int64 {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(seconds, 10, 64); err == nil {
			return int64(keptPart * float64(n*millisPerSecond))
		}
	}
	return math.MaxInt64
}
