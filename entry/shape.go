package entry

import (
	"net/http"
	"slices"

	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// Bounds of a request's head.
const (
	maxHeaderFields = 100
	maxPathBytes    = 8 * 1024
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkShape refuses what no route can take. What is broken as HTTP, such as
// contradicting lengths, was already refused by net/http.
func checkShape(_ *Entry, k *work) (refuse.Refusal, bool) {
	fields := 0
	for _, values := range k.in.Header {
		fields += len(values)
	}
	switch {
	case !slices.Contains(methods, k.in.Method):
		return stop(reason.MethodNotAllowed)
	case fields > maxHeaderFields:
		return refuse.New(reason.BadRequest).WithDetail("Too many header fields."), true
	case len(k.in.RequestURI) > maxPathBytes:
		return refuse.New(reason.BadRequest).WithDetail("The path is too long."), true
	case k.in.URL.Path == "" || k.in.URL.Path[0] != '/':
		return refuse.New(reason.BadRequest).WithDetail("The path must begin with a slash."), true
	}
	return pass()
}
