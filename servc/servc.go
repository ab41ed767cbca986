// Package servc holds the configuration of one service.
package servc

// Service is a group of target instances that can serve the same requests.
type Service struct {
	// Name identifies the service; targets announce themselves with it.
	Name string
	// Slots is a hint of how many requests one instance runs at once, used
	// until its admission limit has been measured; 0 leaves it to the target.
	Slots int
	// Connections is the maximum number of connections to one instance; 0 means
	// that there's no limit.
	Connections int
	// SlowStartMillis is the length of the slow start, in milliseconds, during
	// which a new instance gets less than its fraction of the load.
	SlowStartMillis int64
	// ColdRate is what one instance can take in its cold start, in requests per second;
	// 0 means that there's no bound. ColdStartMillis is the length of a cold start.
	ColdRate        float64
	ColdStartMillis int64
	// HealthPath is the path at which an instance reports its health, or empty.
	HealthPath string
}
