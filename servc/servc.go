// Package servc holds what the configuration says of one service.
package servc

// Service is a group of target instances that can serve the same requests.
type Service struct {
	// Name identifies the service; targets announce themselves with it.
	Name string
	// Slots is a hint of how many requests one instance runs at once, used
	// until its admission limit has been measured; 0 leaves it to the target.
	Slots int
	// Connections is how many connections one instance takes; 0 means that
	// there's no limit.
	Connections int
	// SlowStartMillis is how long a new instance gets less than its part of
	// the work, in milliseconds.
	SlowStartMillis int64
}
