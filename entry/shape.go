package entry

import (
	"net/http"
	"slices"

	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/route"
)

// maxHeaderFields is the largest number of fields in a request's header.
const maxHeaderFields = 100

var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkShape refuses requests that no route accepts. net/http has already
// refused invalid HTTP, such as contradictory lengths.
func checkShape(_ *Entry, x *exchange) (refuse.Refusal, bool) {
	fieldCount := 0
	for _, values := range x.request.Header {
		fieldCount += len(values)
	}
	switch {
	case !slices.Contains(allowedMethods, x.request.Method):
		return refuseWith(reason.MethodNotAllowed)
	case fieldCount > maxHeaderFields:
		return refuse.New(reason.BadRequest).WithDetail("Too many header fields."), true
	case len(x.request.RequestURI) > route.MaxPathBytes:
		return refuse.New(reason.BadRequest).WithDetail("The path is too long."), true
	case x.request.URL.Path == "" || x.request.URL.Path[0] != '/':
		return refuse.New(reason.BadRequest).WithDetail("The path must begin with a slash."), true
	}
	return proceed()
}
