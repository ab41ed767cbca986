// Package arrive holds one request that the load generator is to send.
package arrive

// Arrival is one request of the load, with its randomly chosen properties.
type Arrival struct {
	// Number counts the arrivals of a load from 0. Marker identifies the
	// request in the targets' records.
	Number int64
	Marker string
	Team   string
	Key    string
	Route  string
	Method string
	Path   string
	// AnswerBytes is the requested size of the response body; 0 leaves it to the
	// target. UploadBytes is the size of the request body.
	AnswerBytes int64
	UploadBytes int64
	// IdempotencyKey is empty for requests that are idempotent by nature.
	IdempotencyKey string
}
